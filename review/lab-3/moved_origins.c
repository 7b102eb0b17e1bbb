/* Two routers and workers of two software versions. The routers are restarted in turn, as planned
 * work. While the first one starts, streams wait at a worker of version v1 for their first event;
 * the worker crashes, and the second router sends them to other workers, where they begin. When the
 * second router has to end them, their callers take them up again at the first one. A stream may go
 * on only at the version that began it. */

#include "config.h"
#include "lab.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

enum
{
  N_WORKERS = 8, /* the first half of v1, the others of v2 */
  N_STREAMS = 128,
  N_EVENTS = 110,
  EVENT_GAP_MS = 100,
  FIRST_EVENT_MS = 50,
  SLOW_FIRST_EVENT_MS = 1000, /* at the worker that crashes */
  SENT_GAP_MS = 2,
  /* After the first request. */
  START_MS = 350,        /* the first router is started again */
  CRASH_MS = 900,        /* the worker crashes */
  BACK_MS = 3500,        /* and is back under another id */
  SECOND_TERM_MS = 1650, /* the second router gets SIGTERM: 1.3 s after the first one's start */
  MAX_MIXED = 2,         /* streams: the bound of the rule */
};

static bool
answer (Worker *worker, int fd, const char *head, const char *version)
{
  bool slow = strcmp (worker->id, "i-0") == 0;
  return lab_answer_stream (fd, head, version, slow ? SLOW_FIRST_EVENT_MS : FIRST_EVENT_MS,
                            N_EVENTS, EVENT_GAP_MS);
}

typedef struct
{
  Exchange first;
  Exchange again;
  bool resumed;
  Pieces pieces;
} Stream;

static char *
format_headers (const char *id, int64_t deadline_ms, const char *more)
{
  guint hash = g_str_hash (id);
  return g_strdup_printf ("X-Deadline-Ms: %" G_GINT64_FORMAT "\r\nX-Model: m\r\n"
                          "X-Token-Counts: 100,660\r\nX-Prompt-Prefix: a%x:50,%x:50\r\n%s",
                          deadline_ms, hash % 8, hash, more);
}

static void *
run_client (void *data)
{
  Stream *stream = data;
  int64_t end_ms = lab_now_ms () + 12000;
  lab_exchange (&stream->first);
  lab_pieces_add (&stream->pieces, stream->first.content->str);
  if (stream->first.complete || stream->pieces.n_events == 0 || lab_now_ms () >= end_ms)
    return NULL;
  lab_record ("%s was cut off after event %d (%s)", stream->first.id, stream->pieces.last,
              stream->pieces.latest);
  char *more = g_strdup_printf ("Last-Event-Id: %d\r\nResumes: %s\r\n", stream->pieces.last,
                                stream->first.id);
  stream->again = stream->first;
  stream->again.router = 0;
  stream->again.complete = false;
  stream->again.status = 0;
  g_snprintf (stream->again.id, sizeof stream->again.id, "again-%s",
              stream->first.id + strlen ("stream-"));
  stream->again.headers = format_headers (stream->again.id, end_ms - lab_now_ms (), more);
  lab_exchange (&stream->again);
  lab_pieces_add (&stream->pieces, stream->again.content->str);
  stream->resumed = true;
  g_free (more);
  return NULL;
}

int
main (int argc, char **argv)
{
  Worker *workers[N_WORKERS];
  static Stream streams[N_STREAMS];
  GThread *threads[N_STREAMS];
  int n_mixed = 0;
  int n_resumed = 0;
  if (argc != 2)
    return 2;
  lab_open (argv[1], lab_config);
  for (uint32_t i = 0; i < N_WORKERS; i++)
    workers[i] = lab_start_worker (i, "llm", i < N_WORKERS / 2 ? "v1" : "v2", answer);
  lab_start_router_unready (0);
  lab_start_router_unready (1);
  lab_wait_ready (0);
  lab_wait_ready (1);
  lab_sleep_until (lab_now_ms () + 2000);
  lab_signal_router (0, SIGTERM);
  lab_wait_exit (0);
  int64_t start_ms = lab_now_ms () + 500;
  for (uint32_t i = 0; i < N_STREAMS; i++)
    {
      Exchange *first = &streams[i].first;
      *first = (Exchange){
        .router = 1, .method = "POST", .target = "/note/draft", .body = "hello", .timeout_ms = 13000
      };
      g_snprintf (first->id, sizeof first->id, "stream-%03u", i);
      first->headers = format_headers (first->id, 12000, "");
      lab_sleep_until (start_ms + i * SENT_GAP_MS);
      threads[i] = g_thread_new ("client", run_client, &streams[i]);
    }
  lab_record ("%d streams were sent to edge-2", N_STREAMS);
  lab_sleep_until (start_ms + START_MS);
  lab_start_router_unready (0);
  lab_sleep_until (start_ms + CRASH_MS);
  if (lab_has_trouble ())
    lab_crash_worker (workers[0]);
  lab_wait_ready (0);
  lab_sleep_until (start_ms + SECOND_TERM_MS);
  lab_signal_router (1, SIGTERM);
  lab_sleep_until (start_ms + BACK_MS);
  if (lab_has_trouble ())
    lab_start_worker (N_WORKERS, "llm", "v1", answer);
  for (uint32_t i = 0; i < N_STREAMS; i++)
    {
      const Stream *stream = &streams[i];
      g_thread_join (threads[i]);
      lab_record ("%s: status %d, then %d; %d events, first %s, latest %s%s%s", stream->first.id,
                  stream->first.status, stream->again.status, stream->pieces.n_events,
                  stream->pieces.first, stream->pieces.latest,
                  stream->pieces.in_order ? "" : ", NOT IN ORDER",
                  stream->pieces.mixed ? ", MIXED" : "");
      n_mixed += stream->pieces.mixed;
      n_resumed += stream->resumed;
    }
  lab_record (
      "ORDER: %d streams hold events of two software versions, %d are allowed; %d were taken "
      "up again",
      n_mixed, MAX_MIXED, n_resumed);
  printf ("%d mixed of %d taken up again\n", n_mixed, n_resumed);
  lab_close (n_mixed > MAX_MIXED);
}
