#include "net/http_call_end.h"

#include "kernel/log.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>

enum
{
  MAX_ID_LENGTH = 64,
};

DyPeerState
dy_peer_state (int fd)
{
  struct tcp_info info;
  socklen_t n = sizeof info;
  memset (&info, 0, sizeof info);
  if (getsockopt (fd, IPPROTO_TCP, TCP_INFO, &info, &n) != 0)
    return DY_PEER_GONE;
  switch (info.tcpi_state)
    {
    case TCP_ESTABLISHED:
    case TCP_FIN_WAIT1:
    case TCP_FIN_WAIT2:
      return DY_PEER_OPEN;
    case TCP_CLOSE:
      return DY_PEER_GONE;
    default:
      return DY_PEER_FINISHED;
    }
}

/* Returns TEXT if it can be a field's value in a log line, else "-". */
static const char *
printable_id (const char *text)
{
  if (!text || text[0] == '\0' || strlen (text) > MAX_ID_LENGTH)
    return "-";
  for (const char *p = text; *p; p++)
    if (!g_ascii_isgraph (*p))
      return "-";
  return text;
}

static const char *
reason (const DyHttpCallEnd *end)
{
  static const char *const cuts[] = { [DY_CUT_CALLER] = "caller_closed",
                                      [DY_CUT_RESET] = "reset",
                                      [DY_CUT_WRITER] = "aborted",
                                      [DY_CUT_STOP] = "server_stops",
                                      [DY_CUT_IDLE] = "idle_timeout" };
  static const char *const codes[] = { [MHD_REQUEST_TERMINATED_COMPLETED_OK] = "-",
                                       [MHD_REQUEST_TERMINATED_WITH_ERROR] = "library_error",
                                       [MHD_REQUEST_TERMINATED_TIMEOUT_REACHED] = "send_timeout",
                                       [MHD_REQUEST_TERMINATED_DAEMON_SHUTDOWN] = "server_stops",
                                       [MHD_REQUEST_TERMINATED_READ_ERROR] = "reset",
                                       [MHD_REQUEST_TERMINATED_CLIENT_ABORT] = "caller_closed" };
  return end->cut == DY_CUT_LIBRARY ? codes[end->code] : cuts[end->cut];
}

void
dy_http_call_end_report (const DyHttpCallEnd *end, const char *request_id, DyCounters *counters)
{
  static const char *const peers[]
      = { [DY_PEER_OPEN] = "open", [DY_PEER_FINISHED] = "finished", [DY_PEER_GONE] = "gone" };
  static const char *const received[]
      = { [DY_RECEIVED_LINE] = "line", [DY_RECEIVED_HEAD] = "head", [DY_RECEIVED_WHOLE] = "whole" };
  dy_log (DY_EVENT_CALL_CUT,
          "request=%s reason=%s code=%d peer=%s received=%s body_bytes=%" G_GUINT64_FORMAT
          " waiting=%d shut=%d status=%u begun=%d unsent_bytes=%" G_GUINT64_FORMAT
          " ms=%" G_GINT64_FORMAT,
          printable_id (request_id), reason (end), (int) end->code, peers[end->peer],
          received[end->received], end->body_bytes, end->waiting, end->shut, end->status,
          end->answer_begun, end->unsent_bytes, end->age_us / 1000);
  if (!counters)
    return;
  dy_counters_add (counters, DY_COUNTER_CALLS_CUT, 1);
  if (end->received == DY_RECEIVED_WHOLE && !end->answer_begun)
    dy_counters_add (counters, DY_COUNTER_CALLS_UNANSWERED, 1);
}
