/* Streams run at workers that all have one software version. A router stands still for some
 * seconds; in this time the first worker of another version starts, as planned work. The callers of
 * the router give their streams up and take them up again at the other routers. */

#include "config.h"
#include "lab.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

enum
{
  N_ROUTERS = 3,
  N_WORKERS = 4,  /* of v1 */
  N_STREAMS = 24, /* at the router that stands still */
  N_NEW = 24,     /* streams that begin at the others at the time of the return */
  N_EVENTS = 90,
  EVENT_GAP_MS = 100,
  FIRST_EVENT_MS = 50,
  SENT_GAP_MS = 20,
  /* Callers abandon a stream after a gap of two seconds, four times the objective (400 ms) or eight
   * times the longest pause (400 ms). */
  ABANDON_MS = 3200,
  /* After the first request. */
  FREEZE_MS = 2000,
  RELEASE_MS = 3000,
  WAKE_MS = 6000,
  NEW_MS = 5200,
};

static bool
answer (Worker *worker, int fd, const char *head, const char *version)
{
  (void) worker;
  return lab_answer_stream (fd, head, version, FIRST_EVENT_MS, N_EVENTS, EVENT_GAP_MS);
}

typedef struct
{
  Exchange first;
  Exchange again;
  bool resumed;
  int n_before; /* events before the stream was taken up again */
  Pieces pieces;
} Stream;

static char *
format_headers (const char *id, int64_t deadline_ms, const char *more)
{
  guint hash = g_str_hash (id);
  return g_strdup_printf ("X-Deadline-Ms: %" G_GINT64_FORMAT "\r\nX-Model: m\r\n"
                          "X-Token-Counts: 100,540\r\nX-Prompt-Prefix: a%x:50,%x:50\r\n%s",
                          deadline_ms, hash % 8, hash, more);
}

static void *
run_client (void *data)
{
  Stream *stream = data;
  int64_t end_ms = lab_now_ms () + 12000;
  lab_exchange (&stream->first);
  lab_pieces_add (&stream->pieces, stream->first.content->str);
  stream->n_before = stream->pieces.n_events;
  if (stream->first.complete || stream->n_before == 0 || lab_now_ms () >= end_ms)
    return NULL;
  char *more = g_strdup_printf ("Last-Event-Id: %d\r\nResumes: %s\r\n", stream->pieces.last,
                                stream->first.id);
  stream->again = stream->first;
  stream->again.complete = false;
  stream->again.status = 0;
  g_snprintf (stream->again.id, sizeof stream->again.id, "again-%s",
              stream->first.id + strlen ("stream-"));
  stream->again.router = 1 + g_str_hash (stream->again.id) % (N_ROUTERS - 1);
  stream->again.headers = format_headers (stream->again.id, end_ms - lab_now_ms (), more);
  lab_exchange (&stream->again);
  lab_pieces_add (&stream->pieces, stream->again.content->str);
  stream->resumed = true;
  g_free (more);
  return NULL;
}

static GThread *
start_stream (Stream *stream, uint32_t i, uint32_t router)
{
  Exchange *first = &stream->first;
  *first = (Exchange){ .router = router,
                       .method = "POST",
                       .target = "/note/draft",
                       .body = "hello",
                       .timeout_ms = ABANDON_MS };
  g_snprintf (first->id, sizeof first->id, "stream-%03u", i);
  first->headers = format_headers (first->id, 12000, "");
  return g_thread_new ("client", run_client, stream);
}

int
main (int argc, char **argv)
{
  static Stream streams[N_STREAMS + N_NEW];
  GThread *threads[N_STREAMS + N_NEW];
  int n_resumed = 0;
  int n_went_on = 0;
  int n_begun = 0;
  if (argc != 2)
    return 2;
  lab_open (argv[1], lab_config);
  for (uint32_t i = 0; i < N_WORKERS; i++)
    lab_start_worker (i, "llm", "v1", answer);
  for (uint32_t i = 0; i < N_ROUTERS; i++)
    lab_start_router_unready (i);
  for (uint32_t i = 0; i < N_ROUTERS; i++)
    lab_wait_ready (i);
  int64_t start_ms = lab_now_ms () + 2000;
  for (uint32_t i = 0; i < N_STREAMS; i++)
    {
      lab_sleep_until (start_ms + i * SENT_GAP_MS);
      threads[i] = start_stream (&streams[i], i, 0);
    }
  lab_record ("%d streams were sent to edge-1", N_STREAMS);
  lab_sleep_until (start_ms + FREEZE_MS);
  if (lab_has_trouble ())
    lab_signal_router (0, SIGSTOP);
  lab_sleep_until (start_ms + RELEASE_MS);
  lab_start_worker (N_WORKERS, "llm", "v2", answer);
  for (uint32_t i = 0; i < N_NEW; i++)
    {
      lab_sleep_until (start_ms + NEW_MS + i * SENT_GAP_MS);
      threads[N_STREAMS + i] = start_stream (&streams[N_STREAMS + i], N_STREAMS + i, 1 + i % 2);
    }
  lab_sleep_until (start_ms + WAKE_MS);
  if (lab_has_trouble ())
    lab_signal_router (0, SIGCONT);
  for (uint32_t i = 0; i < N_STREAMS + N_NEW; i++)
    {
      const Stream *stream = &streams[i];
      g_thread_join (threads[i]);
      bool went_on = stream->resumed && stream->pieces.n_events > stream->n_before;
      lab_record ("%s at edge-%u: status %d, %d events%s; %d events in all%s", stream->first.id,
                  stream->first.router + 1, stream->first.status, stream->n_before,
                  stream->first.complete ? ", complete" : "", stream->pieces.n_events,
                  stream->pieces.mixed ? ", MIXED" : "");
      if (stream->resumed)
        lab_record ("  %s at edge-%u: status %d, %s", stream->again.id, stream->again.router + 1,
                    stream->again.status, went_on ? "goes on" : "does not go on");
      if (i < N_STREAMS)
        {
          n_resumed += stream->resumed;
          n_went_on += went_on;
        }
      else
        n_begun += stream->n_before > 0;
    }
  lab_record ("LOST: %d of %d streams that were taken up again go on, %d of %d new ones begin",
              n_went_on, n_resumed, n_begun, N_NEW);
  printf ("%d of %d go on, %d of %d begin\n", n_went_on, n_resumed, n_begun, N_NEW);
  /* Under half of the share of the new streams, of twelve or more. */
  lab_close (n_resumed >= 12 && 2 * n_went_on * N_NEW < n_resumed * n_begun);
}
