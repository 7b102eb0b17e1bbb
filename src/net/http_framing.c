#include "net/http_framing.h"

#include "net/http_status.h"

#include <glib.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

bool
dy_http_ends_with_connection (unsigned status,
                              const DyHttpHeader *headers,
                              uint32_t n,
                              bool has_body)
{
  if (!has_body || status == DY_HTTP_NO_CONTENT || status == DY_HTTP_NOT_MODIFIED)
    return false;
  for (uint32_t i = 0; i < n; i++)
    if (g_ascii_strcasecmp (headers[i].name, "Content-Length") == 0
        || g_ascii_strcasecmp (headers[i].name, "Transfer-Encoding") == 0)
      return false;
  return true;
}

bool
dy_http_was_reset (int fd)
{
  struct tcp_info info = { 0 };
  socklen_t n = sizeof info;
  return getsockopt (fd, IPPROTO_TCP, TCP_INFO, &info, &n) == 0 && info.tcpi_state == TCP_CLOSE;
}
