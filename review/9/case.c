/* A request that crashes its workers comes again every 40 s or so. See claim.txt. */

#include "review/lab-2/lab.h"

#include <pthread.h>
#include <string.h>
#include <unistd.h>

enum
{
  N_WORKERS = 8,
  N_ROUNDS = 3,
  TRIES_PER_ROUND = 5,
  ROUND_MS = 42000,
  TRY_GAP_MS = 1000,
  SOUND_GAP_MS = 100,
  DOWN_MS = 2500,
  MAX_ARRIVALS = 256,
  MAX_LATE = 3,
  N_CRASHES = 3,
  READY_WAIT_MS = 20000,
};

static pthread_mutex_t mutex = PTHREAD_MUTEX_INITIALIZER;
static int64_t arrived_ms[MAX_ARRIVALS]; /* of the request that crashes workers */
static uint32_t n_arrived;
static volatile bool ended;

static bool
crash (LabWorker *worker, int fd, const LabWorkerRequest *request)
{
  enum
  {
    WORK_US = 20000,
  };
  (void) fd;
  if (!lab_has_trouble () || strcmp (request->target, "/order/crash") != 0)
    return false;
  pthread_mutex_lock (&mutex);
  if (n_arrived < MAX_ARRIVALS)
    arrived_ms[n_arrived++] = lab_now_ms ();
  pthread_mutex_unlock (&mutex);
  g_usleep (WORK_US);
  lab_crash_worker (worker, DOWN_MS);
  return true;
}

static LabAnswer
send_order (uint32_t router, const char *target, const char *id)
{
  LabRequest request
      = { .method = "GET", .target = target, .id = id, .deadline_ms = 1000, .wait_ms = 1500 };
  LabAnswer answer = lab_send (router, &request);
  lab_note ("client sent %s %s to router %u: status %d", id, target, router, answer.status);
  return answer;
}

static gpointer
send_sound (gpointer data)
{
  uint32_t router = GPOINTER_TO_UINT (data);
  for (uint32_t n = 0; !ended; n++)
    {
      char *id = g_strdup_printf ("s%u-%u", router, n);
      LabAnswer answer = send_order (router, "/order/x", id);
      g_free (id);
      lab_sleep_until (answer.sent_ms + SOUND_GAP_MS);
    }
  return NULL;
}

/* Returns the number of arrivals that count: later than contactMs after the third crash. */
static uint32_t
count_late (void)
{
  uint32_t n = 0;
  for (uint32_t i = N_CRASHES; i < n_arrived; i++)
    n += arrived_ms[i] > arrived_ms[N_CRASHES - 1] + LAB_CONTACT_MS;
  return n;
}

int
main (int argc, char **argv)
{
  GThread *threads[LAB_N_ROUTERS];
  uint32_t n = 0;
  if (argc != 2)
    return LAB_NOT_RUN;
  lab_begin (argv[1]);
  lab_put_config (1000, false);
  for (int i = 0; i < N_WORKERS; i++)
    {
      char *id = g_strdup_printf ("i-%d", i);
      lab_start_worker (id, "station-desk", "v1", crash);
      g_free (id);
    }
  lab_start_worker ("i-llm", "horo-llm", "v1", NULL);
  if (!lab_start_routers (true, READY_WAIT_MS))
    lab_fail ("the routers were not ready");
  for (uint32_t i = 0; i < LAB_N_ROUTERS; i++)
    threads[i] = g_thread_new ("sound", send_sound, GUINT_TO_POINTER (i));
  lab_sleep_until (lab_now_ms () + LAB_CONTACT_MS);
  int64_t begun_ms = lab_now_ms ();
  for (int round = 0; round < N_ROUNDS; round++)
    for (int i = 0; i < TRIES_PER_ROUND; i++, n++)
      {
        char *id = g_strdup_printf ("c%u", n);
        lab_sleep_until (begun_ms + round * ROUND_MS + i * TRY_GAP_MS);
        send_order (n % LAB_N_ROUTERS, "/order/crash", id);
        g_free (id);
      }
  ended = true;
  for (uint32_t i = 0; i < LAB_N_ROUTERS; i++)
    g_thread_join (threads[i]);
  uint32_t n_late = count_late ();
  lab_note ("the request reached workers %u times, %u of them later than %d ms after the third "
            "crash",
            n_arrived, n_late, LAB_CONTACT_MS);
  lab_end (n_late > MAX_LATE);
}
