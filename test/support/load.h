#ifndef TEST_SUPPORT_LOAD_H
#define TEST_SUPPORT_LOAD_H

/* Sends chat requests to routers or engines and checks that each answer is whole and its own. */

#include <ev.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct
{
  const char *const *targets; /* "address:port", taken in turn; NULL at the end */
  const char *secret;         /* bearer key */
  const char *prefix;         /* of each content, which ends in the request's number */
  uint32_t n_requests;
  uint32_t n_concurrent;
  uint32_t max_tokens;
  uint32_t spacing_us; /* between the first requests; 0: all at once */
  bool whole;          /* not streamed */
} LoadSpec;

typedef struct
{
  uint32_t n_completed;  /* answers that were complete and their own */
  uint32_t n_mismatched; /* answers with foreign or missing parts and no error */
  uint32_t n_failed;     /* no HTTP answer, or a broken stream */
  GHashTable *refusals;  /* error kind to the number of refusals */
  int64_t used_tokens;   /* of the whole answers */
  int64_t elapsed_us;
  GArray *first_us; /* int64_t: time to the first token of each whole answer */
  GArray *gap_us;   /* int64_t: times between tokens */
} LoadResult;

void load_run (struct ev_loop *loop, const LoadSpec *spec, LoadResult *result);
void load_result_finish (LoadResult *result);

/* Returns how often requests were refused with KIND. */
uint32_t load_refused (const LoadResult *result, const char *kind);

/* Returns the value below which PERCENT of SAMPLES lie; sorts them. */
int64_t load_percentile (GArray *samples, double percent);

#endif
