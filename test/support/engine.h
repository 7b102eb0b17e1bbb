#ifndef TEST_SUPPORT_ENGINE_H
#define TEST_SUPPORT_ENGINE_H

/**
 * NAME
 *   engine - model of an inference engine with continuous batching, in virtual time
 *
 * DESCRIPTION
 *   An engine works in steps. Each step prefills up to ENGINE_CHUNK_TOKENS prompt tokens of one
 *   request (chunked prefill) and generates one token for every running request whose prefill is
 *   complete by then. A step takes longer the more prompt tokens it prefills, so long prompts delay
 *   the tokens of all requests in the batch.
 *
 *   As many requests run at once as there are slots; the queue holds n_slots / 2 + 1 requests, and
 *   further ones are refused. So are requests whose prompts and answers would not fit into the
 *   engine's memory for tokens, beside those that run or wait. The shared part of a prompt (its
 * prefix) is prefilled once and then taken from the prefix cache, which never evicts.
 *
 *   The model has no clock: the simulation that uses it asks for the duration of each step and ends
 *   the step when that time has passed.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum
{
  ENGINE_CHUNK_TOKENS = 512,
};

typedef struct
{
  uint32_t n_slots;             /* requests that run at once */
  int64_t step_us;              /* duration of a step without the two parts below */
  int64_t us_per_running;       /* added for each running request */
  int64_t ns_per_prompt_token;  /* added for each prompt token that the step prefills */
  int64_t ns_per_context_token; /* added for each token of the contexts that run */
  int64_t chunk_tokens;         /* prompt tokens of a step; 0: ENGINE_CHUNK_TOKENS */
  int64_t memory_tokens;        /* of prompts and answers, running and waiting; 0: not limited */
} EngineSpeed;

/* A request at an engine. */
typedef struct
{
  void *request;              /* identifies the request; passed to the token callback */
  uint64_t prefix_hash;       /* of the shared part of the prompt; 0: that part is not prefilled */
  int64_t shared_tokens;      /* prompt tokens in the shared part */
  int64_t own_tokens;         /* prompt tokens in the rest */
  int64_t unprefilled_tokens; /* prompt tokens that remain to be prefilled; set by the engine */
  int64_t remaining_tokens;   /* tokens that remain to be generated */
  int64_t max_output_tokens;  /* the same at the start; set by the engine */
  int64_t context_tokens;     /* of the prompt and the answer so far; set by the engine */
} EngineRun;

typedef struct
{
  EngineSpeed speed;
  int64_t step_factor;         /* factor on the duration of all steps; 1 by default */
  int64_t speed_percent;       /* divisor of the duration of all steps; 100 by default */
  int64_t held_tokens;         /* of prompts and answers, running and waiting */
  int64_t context_tokens;      /* sum over the requests that run */
  bool stepping;               /* a step has begun and not ended */
  int64_t chunk_tokens;        /* prompt tokens that the current step prefills */
  GPtrArray *running;          /* of EngineRun, owned */
  GQueue waiting;              /* of EngineRun, owned */
  GHashTable *cached;          /* prefix hashes in the prefix cache */
  int64_t cache_missed_tokens; /* shared tokens that missed the prefix cache, the first miss of each
                                  prefix included */
} Engine;

void engine_init (Engine *engine, const EngineSpeed *speed);
void engine_finish (Engine *engine);

/* Starts or queues a copy of RUN. Returns false when all slots are taken and the queue is full,
 * or the memory is. */
bool engine_submit (Engine *engine, const EngineRun *run);

/* Cancels REQUEST, whether it runs or waits. Returns false when it is not at this engine. */
bool engine_cancel (Engine *engine, const void *request);

/* Begins the next step. Returns its duration in microseconds, or 0 when no request is running. */
int64_t engine_begin_step (Engine *engine);

/* Ends the step. Calls TOKEN for each request that gets a token; LAST: the answer is complete. */
void
engine_end_step (Engine *engine, void (*token) (void *ctx, void *request, bool last), void *ctx);

#endif
