#include "support/engine.h"

#include <string.h>

void
engine_init (Engine *engine, const EngineSpeed *speed)
{
  memset (engine, 0, sizeof *engine);
  engine->speed = *speed;
  engine->step_factor = 1;
  engine->speed_percent = 100;
  engine->running = g_ptr_array_new_with_free_func (g_free);
  g_queue_init (&engine->waiting);
  engine->cached = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
}

void
engine_finish (Engine *engine)
{
  g_hash_table_unref (engine->cached);
  g_queue_clear_full (&engine->waiting, g_free);
  g_ptr_array_unref (engine->running);
}

/* Puts RUN into a slot. A prefix that is in the cache needs no prefill. */
static void
start_run (Engine *engine, EngineRun *run)
{
  bool is_cached
      = run->prefix_hash == 0 || g_hash_table_contains (engine->cached, &run->prefix_hash);
  run->unprefilled_tokens = run->own_tokens + (is_cached ? 0 : run->shared_tokens);
  if (!is_cached)
    {
      engine->cache_missed_tokens += run->shared_tokens;
      g_hash_table_add (engine->cached, g_memdup2 (&run->prefix_hash, sizeof run->prefix_hash));
    }
  run->context_tokens = run->own_tokens + run->shared_tokens;
  engine->context_tokens += run->context_tokens;
  g_ptr_array_add (engine->running, run);
}

/* Returns the tokens that RUN holds in the memory at most. */
static int64_t
memory_of (const EngineRun *run)
{
  return run->own_tokens + run->shared_tokens + run->max_output_tokens;
}

static void
end_run (Engine *engine, guint i)
{
  const EngineRun *run = g_ptr_array_index (engine->running, i);
  engine->held_tokens -= memory_of (run);
  engine->context_tokens -= run->context_tokens;
  g_ptr_array_remove_index (engine->running, i);
}

static void
fill_slots (Engine *engine)
{
  while (engine->running->len < engine->speed.n_slots && engine->waiting.length > 0)
    start_run (engine, g_queue_pop_head (&engine->waiting));
}

bool
engine_submit (Engine *engine, const EngineRun *run)
{
  EngineRun copy = *run;
  copy.max_output_tokens = run->remaining_tokens;
  int64_t held_tokens = engine->held_tokens + memory_of (&copy);
  if (engine->waiting.length >= engine->speed.n_slots / 2 + 1
      || (engine->speed.memory_tokens > 0 && held_tokens > engine->speed.memory_tokens))
    return false;
  engine->held_tokens = held_tokens;
  g_queue_push_tail (&engine->waiting, g_memdup2 (&copy, sizeof copy));
  fill_slots (engine);
  return true;
}

bool
engine_cancel (Engine *engine, const void *request)
{
  for (guint i = 0; i < engine->running->len; i++)
    if (((const EngineRun *) g_ptr_array_index (engine->running, i))->request == request)
      {
        end_run (engine, i);
        fill_slots (engine);
        return true;
      }
  for (GList *link = engine->waiting.head; link; link = link->next)
    if (((const EngineRun *) link->data)->request == request)
      {
        engine->held_tokens -= memory_of (link->data);
        g_free (link->data);
        g_queue_delete_link (&engine->waiting, link);
        return true;
      }
  return false;
}

static EngineRun *
first_in_prefill (const Engine *engine)
{
  for (guint i = 0; i < engine->running->len; i++)
    {
      EngineRun *run = g_ptr_array_index (engine->running, i);
      if (run->unprefilled_tokens > 0)
        return run;
    }
  return NULL;
}

int64_t
engine_begin_step (Engine *engine)
{
  const EngineRun *prefilling = first_in_prefill (engine);
  if (engine->running->len == 0)
    return 0;
  engine->stepping = true;
  int64_t chunk_tokens
      = engine->speed.chunk_tokens > 0 ? engine->speed.chunk_tokens : ENGINE_CHUNK_TOKENS;
  engine->chunk_tokens = prefilling ? MIN (prefilling->unprefilled_tokens, chunk_tokens) : 0;
  int64_t us = engine->speed.step_us + (int64_t) engine->running->len * engine->speed.us_per_running
               + engine->chunk_tokens * engine->speed.ns_per_prompt_token / 1000
               + engine->context_tokens * engine->speed.ns_per_context_token / 1000;
  return us * engine->step_factor * 100 / engine->speed_percent;
}

void
engine_end_step (Engine *engine, void (*token) (void *ctx, void *request, bool last), void *ctx)
{
  EngineRun *prefilled = first_in_prefill (engine);
  engine->stepping = false;
  if (prefilled)
    prefilled->unprefilled_tokens -= MIN (engine->chunk_tokens, prefilled->unprefilled_tokens);
  for (guint i = engine->running->len; i > 0; i--)
    {
      EngineRun *run = g_ptr_array_index (engine->running, i - 1);
      if (run->unprefilled_tokens > 0)
        continue;
      bool last = --run->remaining_tokens <= 0;
      run->context_tokens++;
      engine->context_tokens++;
      token (ctx, run->request, last);
      if (last)
        end_run (engine, i - 1);
    }
  fill_slots (engine);
}
