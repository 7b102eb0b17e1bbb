/* One part of some prompts crashes each worker that begins to write an answer on it: the worker
 * sends the first event and falls over. It is back after some seconds. Sound requests share their
 * caller and their other parts. */

#include "config.h"
#include "lab.h"

#include <stdio.h>
#include <string.h>

enum
{
  N_ROUTERS = 3,
  N_WORKERS = 8,
  N_REQUESTS = 400,
  SENT_GAP_MS = 100,
  BAD_OF = 8, /* one of so many requests has the part */
  N_EVENTS = 20,
  EVENT_GAP_MS = 30,
  FIRST_EVENT_MS = 30,
  CRASH_MS = 20, /* after the first event of the answer */
  DOWN_MS = 3000,
  CONTACT_MS = 3000,
  N_CRASHES = 5, /* from the last of which on the rule counts */
  MAX_LATE = 3,  /* requests: the bound of the rule */
};

static GMutex mutex;
static int n_crashes;
static int64_t last_crash_ms; /* the fifth crash, or the latest before it */
static int n_bad;             /* requests with the part that reached workers */
static int n_late;            /* of them, later than the rule allows */

static void *
run_crash (void *data)
{
  Worker *worker = data;
  bool up;
  g_usleep (CRASH_MS * 1000);
  g_mutex_lock (&mutex);
  up = worker->listener >= 0;
  if (up)
    lab_crash_worker (worker);
  if (up && n_crashes++ < N_CRASHES)
    last_crash_ms = lab_now_ms ();
  g_mutex_unlock (&mutex);
  if (!up)
    return NULL;
  g_usleep (DOWN_MS * 1000);
  lab_restart_worker (worker, "v1");
  return NULL;
}

static bool
answer (Worker *worker, int fd, const char *head, const char *version)
{
  char *parts = lab_field (head, "X-Prompt-Prefix");
  bool bad = parts && strstr (parts, "bad0:") && lab_has_trouble ();
  g_free (parts);
  if (!bad)
    return lab_answer_stream (fd, head, version, FIRST_EVENT_MS, N_EVENTS, EVENT_GAP_MS);
  g_mutex_lock (&mutex);
  n_bad++;
  if (n_crashes >= N_CRASHES && lab_now_ms () > last_crash_ms + CONTACT_MS)
    n_late++;
  g_mutex_unlock (&mutex);
  g_thread_unref (g_thread_new ("crash", run_crash, worker));
  /* The first event goes out, and the crash ends the connection. */
  lab_answer_stream (fd, head, version, 0, N_EVENTS, DOWN_MS);
  return false;
}

static void *
run_client (void *data)
{
  lab_exchange (data);
  return NULL;
}

int
main (int argc, char **argv)
{
  static Exchange requests[N_REQUESTS];
  static GThread *threads[N_REQUESTS];
  int n_sound = 0;
  int n_served = 0;
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
  for (uint32_t i = 0; i < N_REQUESTS; i++)
    {
      bool bad = i % BAD_OF == BAD_OF - 1;
      requests[i] = (Exchange){ .router = i % N_ROUTERS,
                                .method = "POST",
                                .target = "/note/draft",
                                .body = "hello",
                                .timeout_ms = 3200 };
      g_snprintf (requests[i].id, sizeof requests[i].id, "%s-%03u", bad ? "bad" : "sound", i);
      requests[i].headers
          = g_strdup_printf ("X-Deadline-Ms: 4000\r\nX-Model: m\r\nX-Token-Counts: 150,120\r\n"
                             "X-Prompt-Prefix: a1:50,%s%x:50\r\n",
                             bad     ? "bad0:50,"
                             : i % 2 ? "c1:50,"
                                     : "c2:50,",
                             0x1000 + i);
      lab_sleep_until (start_ms + i * SENT_GAP_MS);
      threads[i] = g_thread_new ("client", run_client, &requests[i]);
    }
  for (uint32_t i = 0; i < N_REQUESTS; i++)
    {
      Pieces pieces = { 0 };
      g_thread_join (threads[i]);
      lab_pieces_add (&pieces, requests[i].content->str);
      lab_record ("%s at edge-%u: status %d, %d events%s", requests[i].id, requests[i].router + 1,
                  requests[i].status, pieces.n_events, requests[i].complete ? ", complete" : "");
      if (requests[i].id[0] != 's')
        continue;
      n_sound++;
      n_served += requests[i].complete && pieces.n_events == N_EVENTS;
    }
  lab_record (
      "BUDGET: %d requests with the part reached workers later than %d ms after the fifth crash, "
      "%d are allowed; %d crashes, %d such requests in all; %d of %d sound ones were served",
      n_late, CONTACT_MS, MAX_LATE, n_crashes, n_bad, n_served, n_sound);
  printf ("%d late, %d crashes, %d of %d sound ones served\n", n_late, n_crashes, n_served,
          n_sound);
  lab_close (n_late > MAX_LATE);
}
