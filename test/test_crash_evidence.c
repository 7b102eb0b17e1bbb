/* Evidence that an endpoint crashed, and not the link to it: cases in virtual time. */

#include "support/suite.h"

#include "core/crash_evidence.h"

enum
{
  MS = 1000, /* microseconds */
  MAX_STEPS = 8,
};

typedef enum
{
  END,
  FAIL,         /* the connection of REQUEST to ENDPOINT breaks */
  FAIL_NEW,     /* the same, and it was opened for the request */
  FAIL_UNBEGUN, /* the same, it was a kept one, and no byte of the answer had come */
  BYTES,        /* bytes come from ENDPOINT */
  PROBED,       /* a new connection was opened */
  ACCEPTS,      /* ENDPOINT accepts a new connection */
  REFUSES,      /* ENDPOINT does not accept a new connection */
  RESTART,      /* ENDPOINT has started again */
  ANSWERED,     /* REQUEST was answered elsewhere */
} StepKind;

typedef struct
{
  int64_t at_ms;
  StepKind kind;
  const char *endpoint;
  const char *request;
} Step;

static const struct
{
  const char *name;
  Step steps[MAX_STEPS];
  int n_crashes; /* of the failures, decided on by the end */
  int n_dropped;
} cases[] = {
  { "another endpoint answers", { { 0, FAIL, "e1", "r1" }, { 30, BYTES, "e2", NULL } }, 1, 0 },
  { "bytes received before", { { 0, FAIL, "e1", "r1" }, { 10, BYTES, "e2", NULL } }, 0, 1 },
  { "no answer from anywhere", { { 0, FAIL, "e1", "r1" } }, 0, 1 },
  { "answers long after", { { 0, FAIL, "e1", "r1" }, { 1500, BYTES, "e2", NULL } }, 0, 1 },
  { "the endpoint answers",
    { { 0, FAIL, "e1", "r1" }, { 30, BYTES, "e2", NULL }, { 100, BYTES, "e1", NULL } },
    0,
    1 },
  { "many requests at one endpoint",
    { { 0, FAIL, "e1", "r1" },
      { 1, FAIL, "e1", "r2" },
      { 2, FAIL, "e1", "r3" },
      { 30, BYTES, "e2", NULL } },
    3,
    0 },
  { "two requests at two endpoints",
    { { 0, FAIL, "e1", "r1" }, { 5, FAIL, "e2", "r2" }, { 60, BYTES, "e3", NULL } },
    0,
    2 },
  { "two requests at two endpoints, restarted",
    { { 0, FAIL, "e1", "r1" },
      { 5, FAIL, "e2", "r2" },
      { 60, BYTES, "e3", NULL },
      { 3000, RESTART, "e1", NULL },
      { 3500, RESTART, "e2", NULL } },
    2,
    0 },
  { "two requests at two endpoints, new connections work",
    { { 0, FAIL, "e1", "r1" }, { 5, FAIL, "e2", "r2" }, { 60, PROBED, NULL, NULL } },
    2,
    0 },
  { "one request at two endpoints, others answer between",
    { { 0, FAIL, "e1", "r1" },
      { 40, BYTES, "e3", NULL },
      { 60, FAIL, "e2", "r1" },
      { 90, BYTES, "e3", NULL } },
    2,
    0 },
  { "two crashes, others answer between",
    { { 0, FAIL, "e1", "r1" },
      { 40, BYTES, "e3", NULL },
      { 60, FAIL, "e2", "r2" },
      { 90, BYTES, "e3", NULL } },
    2,
    0 },
  { "old connections live on over the link",
    { { 0, FAIL_NEW, "e1", "r1" }, { 30, BYTES, "e2", NULL } },
    0,
    1 },
  { "new connections work", { { 0, FAIL_NEW, "e1", "r1" }, { 30, PROBED, NULL, NULL } }, 1, 0 },
  { "kept connection closed as the request went out",
    { { 0, FAIL_UNBEGUN, "e1", "r1" }, { 30, BYTES, "e2", NULL }, { 60, ACCEPTS, "e1", NULL } },
    0,
    1 },
  { "kept connection closed as the request went out, others work",
    { { 0, FAIL_UNBEGUN, "e1", "r1" }, { 30, BYTES, "e2", NULL }, { 60, PROBED, NULL, NULL } },
    0,
    1 },
  { "crash under a request on a kept connection",
    { { 0, FAIL_UNBEGUN, "e1", "r1" }, { 30, BYTES, "e2", NULL }, { 60, REFUSES, "e1", NULL } },
    1,
    0 },
  { "crash under requests on kept connections",
    { { 0, FAIL_UNBEGUN, "e1", "r1" },
      { 1, FAIL_UNBEGUN, "e1", "r2" },
      { 2, FAIL, "e1", "r3" },
      { 30, BYTES, "e2", NULL },
      { 260, REFUSES, "e1", NULL } },
    3,
    0 },
  { "crash under a request on a kept connection, and a fast start",
    { { 0, FAIL_UNBEGUN, "e1", "r1" },
      { 30, BYTES, "e2", NULL },
      { 60, ACCEPTS, "e1", NULL },
      { 3000, RESTART, "e1", NULL } },
    1,
    0 },
  { "kept connection closed, another endpoint accepts nothing",
    { { 0, FAIL_UNBEGUN, "e1", "r1" }, { 30, BYTES, "e2", NULL }, { 60, REFUSES, "e3", NULL } },
    0,
    1 },
  { "kept connection closed, the endpoint accepted nothing before",
    { { 0, REFUSES, "e1", NULL }, { 30, FAIL_UNBEGUN, "e1", "r1" }, { 60, BYTES, "e2", NULL } },
    0,
    1 },
  { "no link is known to work",
    { { 0, FAIL_UNBEGUN, "e1", "r1" }, { 60, REFUSES, "e1", NULL } },
    0,
    1 },
  { "answered elsewhere", { { 0, FAIL, "e1", "r1" }, { 30, ANSWERED, NULL, "r1" } }, 0, 0 },
  { "a cut and its end",
    { { 0, FAIL, "e1", "r1" },
      { 400, FAIL, "e2", "r2" },
      { 800, FAIL, "e3", "r3" },
      { 900, BYTES, "e3", NULL },
      { 950, BYTES, "e1", NULL },
      { 960, BYTES, "e2", NULL } },
    0,
    3 },
};

typedef struct
{
  int n_crashes;
  int n_dropped;
} Counts;

static void
on_decided (void *ctx, void *payload, const char *endpoint, DyEvidence evidence)
{
  Counts *counts = ctx;
  (void) payload;
  (void) endpoint;
  if (evidence == DY_EVIDENCE_LINK_WORKS || evidence == DY_EVIDENCE_RESTARTED)
    counts->n_crashes++;
  else
    counts->n_dropped++;
}

static void
ignore_payload (void *payload)
{
  (void) payload;
}

static const DyCrashEvidenceWatcher watcher
    = { .decided = on_decided, .free_payload = ignore_payload };

static void
take_step (DyCrashEvidence *evidence, const Step *step)
{
  int64_t now_us = step->at_ms * MS;
  switch (step->kind)
    {
    case FAIL:
      dy_crash_evidence_fail (evidence, step->endpoint, step->request, DY_BREAK_KEPT, NULL, now_us);
      break;
    case FAIL_NEW:
      dy_crash_evidence_fail (evidence, step->endpoint, step->request, DY_BREAK_NEW, NULL, now_us);
      break;
    case FAIL_UNBEGUN:
      dy_crash_evidence_fail (evidence, step->endpoint, step->request, DY_BREAK_UNBEGUN, NULL,
                              now_us);
      break;
    case BYTES:
      dy_crash_evidence_bytes (evidence, step->endpoint, now_us);
      break;
    case PROBED:
      dy_crash_evidence_link_works (evidence, now_us);
      break;
    case ACCEPTS:
    case REFUSES:
      dy_crash_evidence_probed (evidence, step->endpoint, step->kind == ACCEPTS, now_us);
      break;
    case RESTART:
      dy_crash_evidence_restarted (evidence, step->endpoint);
      break;
    case ANSWERED:
      dy_crash_evidence_forget (evidence, step->request);
      break;
    case END:
      break;
    }
}

START_TEST (a_broken_connection_counts_as_a_crash_only_with_evidence)
{
  enum
  {
    END_MS = 12000,
    TICK_MS = 10,
  };
  Counts counts = { 0, 0 };
  DyCrashEvidence evidence;
  int n = 0;
  dy_crash_evidence_init (&evidence, &dy_crash_evidence_policy, &watcher, &counts);
  for (int64_t now_ms = 0; now_ms < END_MS; now_ms += TICK_MS)
    {
      while (n < MAX_STEPS && cases[_i].steps[n].kind != END && cases[_i].steps[n].at_ms <= now_ms)
        take_step (&evidence, &cases[_i].steps[n++]);
      dy_crash_evidence_tick (&evidence, now_ms * MS);
    }
  dy_crash_evidence_finish (&evidence);
  ck_assert_msg (counts.n_crashes == cases[_i].n_crashes && counts.n_dropped == cases[_i].n_dropped,
                 "%s: %d crashes, %d dropped", cases[_i].name, counts.n_crashes, counts.n_dropped);
}
END_TEST

int
main (void)
{
  TCase *tcase = tcase_create ("crash_evidence");
  tcase_add_loop_test (tcase, a_broken_connection_counts_as_a_crash_only_with_evidence, 0,
                       G_N_ELEMENTS (cases));
  return suite_run ("crash_evidence", tcase);
}
