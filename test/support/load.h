#ifndef TEST_SUPPORT_LOAD_H
#define TEST_SUPPORT_LOAD_H

/**
 * NAME
 *   load - generates chat requests and checks their answers
 *
 * DESCRIPTION
 *   Sends requests for the model "drafter" to routers or fake engines, a fixed number of them at a
 *   time. The content of each request differs, and fake_engine repeats it in each token, so that an
 *   answer is checked to be complete and to belong to its request.
 */

#include <ev.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct
{
  const char *const *targets; /* "address:port", taken in turn; NULL at the end */
  const char *secret;         /* bearer key */
  const char *prefix;         /* the content of request N, from 0, is "PREFIX-N" */
  uint32_t n_requests;
  uint32_t n_concurrent; /* requests in progress at a time */
  uint32_t max_tokens;   /* tokens of each answer; the engine sends just as many */
  uint32_t spacing_us;   /* time between the first n_concurrent starts; 0: all at once */
  bool single_body;      /* the answer comes in one JSON body instead of a stream */
} LoadSpec;

typedef struct
{
  uint32_t n_completed;  /* complete answers with the content of their own request */
  uint32_t n_mismatched; /* ended without an error, with other content or missing tokens */
  uint32_t n_failed;     /* no complete HTTP answer, or one with an error event */
  GHashTable *refusals;  /* error kind, "no_kind" without one, to the number of refusals */
  int64_t used_tokens;   /* prompt and completion tokens of the complete answers */
  int64_t elapsed_us;
  GArray *first_us; /* int64_t: time to the first token of each complete answer; without a stream,
                     * to its end */
  GArray *gap_us;   /* int64_t: times between tokens of all streams */
} LoadResult;

/* Sends the requests of SPEC and runs LOOP until all have ended. RESULT is freed with
 * load_result_finish(). */
void load_run (struct ev_loop *loop, const LoadSpec *spec, LoadResult *result);
void load_result_finish (LoadResult *result);

/* Returns how many requests were refused with the error kind KIND. */
uint32_t load_refused (const LoadResult *result, const char *kind);

/* Sorts SAMPLES (int64_t) and returns the value below which PERCENT of them lie, 0 if there are
 * none. */
int64_t load_percentile (GArray *samples, double percent);

#endif
