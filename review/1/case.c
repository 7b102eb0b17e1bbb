/* All routers but an account's home are killed at once and start again; later the home is killed,
 * while requests of its own clients are still open. */

#include "../harness/harness.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  PREPAID = 2000000,
  PROMPT = 20000,
  MAX_OUTPUT = 600,
  EVENT_TOKENS = 6,
  N_OPEN = 30, /* streams that are open at the home when it is killed */
  N_EVENTS_LONG = 40,
  N_EVENTS_SHORT = 2,
  EVENT_MS = 250,
  RESTART_MS = 500,
  MAX_CALLS = 1200,
  N_SPENDERS = 6,
  SPEND_MS = 45000,
};

typedef struct
{
  int router;
  int n_events;
  bool has_run;
  Answer answer;
} Sent;

static Sent sent[MAX_CALLS];
static int n_sent;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static int64_t spend_until_ms;

/* Streams as many events as the path says. */
static bool
serve (Worker *worker, int fd, const Request *request)
{
  char id[64] = "";
  int n_events = atoi (strrchr (request->target, '/') + 1);
  get_header (request->headers, "X-Request-Id", id, sizeof id);
  pthread_mutex_lock (&lock);
  sent[atoi (id + 1)].has_run = true;
  pthread_mutex_unlock (&lock);
  (void) worker;
  if (!write_head (fd, request, 200, "text/event-stream", -1))
    return false;
  for (int i = 1; i <= n_events; i++)
    {
      char event[64];
      int n = snprintf (event, sizeof event, "id: %d\ndata: piece-%d\n\n", i, i);
      if (is_closed (fd) || !write_chunk (fd, event, (size_t) n))
        return false;
      sleep_ms (i < n_events ? EVENT_MS : 0);
    }
  return write_all (fd, "0\r\n\r\n", 5);
}

static Sent *
new_call (int router, int n_events)
{
  pthread_mutex_lock (&lock);
  Sent *s = n_sent < MAX_CALLS ? &sent[n_sent++] : NULL;
  pthread_mutex_unlock (&lock);
  if (s)
    {
      s->router = router;
      s->n_events = n_events;
    }
  return s;
}

static void *
run_call (void *ctx)
{
  Sent *s = ctx;
  char headers[512];
  char target[64];
  int number = (int) (s - sent);
  snprintf (headers, sizeof headers,
            "X-Request-Id: c%d\r\nX-Model: m\r\nX-Token-Counts: %d,%d\r\n"
            "X-Prompt-Prefix: a1:200,%x:%d\r\nX-Deadline-Ms: 12000\r\nAuthorization: Bearer %s\r\n",
            number, PROMPT, MAX_OUTPUT, 0x100 + number, PROMPT - 200, key);
  snprintf (target, sizeof target, "/notes/%d", s->n_events);
  Call call = { .method = "POST",
                .target = target,
                .headers = headers,
                .body = "{}",
                .n_body = 2,
                .leave_ms = 12000,
                .gap_ms = 3200 };
  send_call (routers[s->router].ip, FRONT_PORT, &call, &s->answer);
  return NULL;
}

/* Sends one request after the other, at all routers in turn, until the time is over. */
static void *
spend (void *ctx)
{
  int i = (int) (intptr_t) ctx;
  while (now_ms () < spend_until_ms)
    {
      Sent *s = new_call (i++ % n_routers, N_EVENTS_SHORT);
      if (!s)
        return NULL;
      run_call (s);
      if (s->answer.status != 200)
        sleep_ms (400);
    }
  return NULL;
}

/* Returns the router that holds the account, as the ledger entry in the store names it. */
static int
find_holder (void)
{
  Answer answer;
  const Call call
      = { .method = "GET", .target = "/objects/ledger/tenant-1", .headers = "", .leave_ms = 2000 };
  send_call (store_address (), STORE_PORT, &call, &answer);
  record ("ledger entry: %s", answer.body ? answer.body : "-");
  int found = -1;
  for (int i = 0; i < n_routers && answer.body; i++)
    {
      char name[128];
      snprintf (name, sizeof name, "\"name\":\"%.63s\"", routers[i].name);
      const char *rows = strstr (answer.body, "\"rows\"");
      if (rows && strstr (rows, name))
        found = i;
    }
  free_answer (&answer);
  return found;
}

static void
restart (int i)
{
  start_router (&routers[i]);
}

static long long
consumed_tokens (void)
{
  long long sum = 0;
  for (int i = 0; i < n_sent; i++)
    {
      const Answer *a = &sent[i].answer;
      int n_events = 0;
      for (const char *p = a->body; p && (p = strstr (p, "\n\n")); p += 2)
        n_events++;
      if (sent[i].has_run)
        sum += PROMPT + n_events * EVENT_TOKENS;
    }
  return sum;
}

static void
record_calls (void)
{
  static const char *const ends[] = { "complete", "closed", "still open", "refused" };
  for (int i = 0; i < n_sent; i++)
    {
      const Answer *a = &sent[i].answer;
      record ("request c%d sent at %.3f to %s: status %d, %s, %s", i, (double) a->sent_ms / 1e3,
              routers[sent[i].router].name, a->status, ends[a->end],
              sent[i].has_run ? "has run" : "has not run");
    }
}

int
main (int argc, char **argv)
{
  pthread_t threads[N_OPEN];
  pthread_t spenders[N_SPENDERS];
  if (argc != 2)
    return CASE_NOT_RUN;
  site_init (argv[1], 3);
  put_config (1,
              "[{\"name\":\"r-notes\",\"host\":\"site.example\",\"pathPrefix\":\"/notes/\","
              "\"routeType\":\"streaming\",\"timeoutMs\":12000,\"targetLatencyMs\":400,"
              "\"priority\":0,\"service\":\"llm\",\"maxAttempts\":1,\"public\":false,"
              "\"sticky\":true,\"resumable\":false,\"gapTargetMs\":400}]",
              "[{\"name\":\"llm\",\"healthPath\":\"/health\",\"maxConnections\":370,"
              "\"protocol\":\"h1\",\"tls\":false,\"runtime\":{\"slots\":64,\"stride\":6}}]",
              PREPAID);
  for (int i = 0; i < 3; i++)
    {
      char id[16];
      snprintf (id, sizeof id, "i-%d", i + 1);
      add_worker (id, "llm", "v1", serve);
    }
  for (int i = 0; i < n_routers; i++)
    start_router (&routers[i]);
  for (int i = 0; i < n_routers; i++)
    wait_ready (&routers[i]);
  for (int i = 0; i < n_routers; i++)
    run_call (new_call (i, N_EVENTS_SHORT));
  sleep_ms (2500);
  int home = find_holder ();
  if (home < 0)
    give_up ("the ledger entry names no holder");
  record ("the account's holder is %s", routers[home].name);
  for (int i = 0; i < N_OPEN; i++)
    pthread_create (&threads[i], NULL, run_call, new_call (home, N_EVENTS_LONG));
  sleep_ms (1500);
  if (trouble)
    {
      for (int i = 0; i < n_routers; i++)
        if (i != home)
          kill_router (&routers[i], SIGKILL);
      sleep_ms (RESTART_MS);
      for (int i = 0; i < n_routers; i++)
        if (i != home)
          restart (i);
      for (int i = 0; i < n_routers; i++)
        if (i != home)
          wait_ready (&routers[i]);
    }
  /* The other routers' clients go on. */
  for (int i = 0; i < n_routers; i++)
    if (i != home)
      run_call (new_call (i, N_EVENTS_SHORT));
  sleep_ms (2000);
  if (trouble)
    {
      kill_router (&routers[home], SIGKILL);
      sleep_ms (RESTART_MS);
      restart (home);
      wait_ready (&routers[home]);
    }
  for (int i = 0; i < N_OPEN; i++)
    pthread_join (threads[i], NULL);
  record ("consumed so far: %lld of %d", consumed_tokens (), PREPAID);
  spend_until_ms = now_ms () + SPEND_MS;
  for (int i = 0; i < N_SPENDERS; i++)
    pthread_create (&spenders[i], NULL, spend, (void *) (intptr_t) i);
  for (int i = 0; i < N_SPENDERS; i++)
    pthread_join (spenders[i], NULL);
  find_holder ();
  record_calls ();
  long long tokens = consumed_tokens ();
  record ("the tenant has got %lld tokens of %d prepaid", tokens, PREPAID);
  if (!trouble && tokens < PREPAID / 2)
    finish (CASE_NOT_RUN);
  finish (tokens > PREPAID ? CASE_BROKEN : CASE_HELD);
}
