#include "services/endpoints/directory_private.h"

#include "kernel/error.h"
#include "kernel/log.h"

enum
{
  /* Part of the bound of the endpoint records, and of the evacuations, that the sending of a
     request may take. */
  SEND_MARGIN_US = 100 * 1000,
  /* Time for which requests wait for what the others confirm, from when the router is late. A
   * router that stood still has that within a round trip. */
  CATCH_UP_US = 100 * 1000,
  TEST_PART = 3, /* this part of a bound is the age from which the router tests if it is on time */
  US_PER_MS = 1000,
};

static const double PROBE_TIMEOUT_S = 0.3;

static DyKnowledgeEvidence
evidence_of_time (const DyDirectory *directory)
{
  return (DyKnowledgeEvidence){ .call_limit_us
                                = directory->kernel->settings->platform_timeout_ms * US_PER_MS,
                                .on_time_since_us = directory->clocks.on_time_since_us,
                                .on_time_until_us = directory->clocks.on_time_until_us };
}

/* Returns what is needed to judge what WATCH knows; if that is current, no more than shows it. */
static DyKnowledgeEvidence
evidence_of (const DyDirectory *directory, const DyObjectWatch *watch)
{
  const DyPlatform *platform = directory->platform;
  const DySettings *settings = directory->kernel->settings;
  bool of_routes = watch == &directory->routes_watch;
  int64_t bound_ms = of_routes                                ? settings->routes_bound_ms
                     : watch == &directory->evacuations.watch ? settings->evacuations_bound_ms
                                                              : settings->endpoints_bound_ms;
  DyKnowledgeEvidence evidence = evidence_of_time (directory);
  evidence.confirmed_us = watch->age.confirmed_us;
  /* Only what is known of routes is not needed at the moment of sending. */
  evidence.bound_us = bound_ms * US_PER_MS - (of_routes ? 0 : SEND_MARGIN_US);
  evidence.behind = watch->age.behind_us != 0;
  evidence.behind_us = watch->age.behind_us;
  if (dy_kernel_boot_us () - evidence.confirmed_us <= evidence.bound_us)
    return evidence;
  evidence.in_vain
      = of_routes && evidence.behind && dy_change_requests_are_in_vain (&watch->requests);
  evidence.away_us = platform->away_us;
  evidence.silent_us = platform->silent_us;
  evidence.asked_us = dy_platform_asked_us (platform);
  evidence.others_away = !dy_platform_answers (platform)
                         && dy_members_lack_platform (&directory->peers->members,
                                                      dy_kernel_now_us (directory->kernel));
  return evidence;
}

static DyKnowledge
judge (const DyDirectory *directory, const DyObjectWatch *watch)
{
  DyKnowledgeEvidence evidence = evidence_of (directory, watch);
  return dy_knowledge_judge (&evidence, dy_kernel_boot_us ());
}

DyKnowledge
dy_directory_routes_knowledge (const DyDirectory *directory)
{
  return judge (directory, &directory->routes_watch);
}

DyKnowledge
dy_directory_endpoints_knowledge (const DyDirectory *directory)
{
  return judge (directory, &directory->endpoints_watch);
}

DyKnowledge
dy_directory_evacuations_knowledge (const DyDirectory *directory)
{
  const DyEvacuationWatch *evacuations = &directory->evacuations;
  if (!evacuations->enabled)
    return DY_KNOWLEDGE_CURRENT;
  /* Nothing that was never read can be acted on. Relays ask for no readiness. */
  if (!dy_evacuation_watch_ready (evacuations))
    return DY_KNOWLEDGE_LATE;
  return judge (directory, &evacuations->watch);
}

int
dy_directory_check_age (const DyDirectory *directory)
{
  if (dy_directory_routes_knowledge (directory) == DY_KNOWLEDGE_LATE)
    return DY_ROUTES_STALE;
  if (dy_directory_endpoints_knowledge (directory) == DY_KNOWLEDGE_LATE)
    return DY_ENDPOINTS_STALE;
  if (dy_directory_evacuations_knowledge (directory) == DY_KNOWLEDGE_LATE)
    return DY_EVACUATIONS_STALE;
  return DY_OK;
}

bool
dy_directory_is_catching_up (DyDirectory *directory)
{
  int64_t boot_us = dy_kernel_boot_us ();
  if (!dy_directory_ready (directory) || dy_directory_check_age (directory) == DY_OK)
    directory->late_since_us = 0;
  else if (directory->late_since_us == 0)
    directory->late_since_us = boot_us;
  return directory->late_since_us != 0 && boot_us - directory->late_since_us < CATCH_UP_US;
}

static bool
is_unanswered (void *ctx, int64_t sent_us)
{
  DyKnowledgeEvidence evidence = evidence_of_time (ctx);
  return dy_knowledge_is_unanswered (&evidence, sent_us, dy_kernel_boot_us ());
}

static void
on_time_probed (void *ctx, DyLinkProbeResult result, int64_t started_us)
{
  DyDirectory *directory = ctx;
  (void) started_us;
  if (result == DY_LINK_PROBE_WORKS)
    dy_clocks_record_round_trip (&directory->clocks, directory->probed_us);
}

static bool
has_not_failed (const void *ctx, const char *id)
{
  (void) ctx;
  (void) id;
  return false;
}

/* Returns whether what is known of one kind of objects has not been confirmed for part of its
 * bound.
 */
static bool
is_ageing (int64_t age_ms, int64_t bound_ms)
{
  return bound_ms > 0 && age_ms >= bound_ms / TEST_PART;
}

/* Asks whether this router is on time, if what it knows has not been confirmed for a while: that
 * may be needed soon. */
static void
check_time (DyDirectory *directory)
{
  const DySettings *settings = directory->kernel->settings;
  if (!dy_directory_ready (directory)
      || !(is_ageing (dy_directory_routes_age_ms (directory), settings->routes_bound_ms)
           || is_ageing (dy_directory_endpoints_age_ms (directory), settings->endpoints_bound_ms)
           || is_ageing (dy_directory_evacuations_age_ms (directory),
                         settings->evacuations_bound_ms)))
    {
      directory->testing_since_us = 0;
      return;
    }
  if (directory->testing_since_us == 0)
    directory->testing_since_us = dy_kernel_boot_us ();
  dy_clocks_test (&directory->clocks);
  if (!dy_knowledge_is_probe_due (directory->clocks.on_time_until_us, directory->testing_since_us,
                                  dy_kernel_boot_us ()))
    return;
  const DyPlacementEndpoint *endpoint
      = dy_placement_choose_for_probe (&directory->placement, has_not_failed, NULL);
  if (endpoint
      && dy_link_probe_start (&directory->time_probe, dy_placement_endpoint_address (endpoint),
                              NULL, settings->connect_from))
    directory->probed_us = dy_kernel_boot_us ();
}

/* Logs EVENT with the terms that decide what may be done by what WATCH knows. */
static void
log_terms (const DyDirectory *directory, DyEvent event, int error, const DyObjectWatch *watch)
{
  int64_t boot_us = dy_kernel_boot_us ();
  DyKnowledgeEvidence evidence = evidence_of (directory, watch);
  DyKnowledgeTerms terms = dy_knowledge_terms (&evidence, boot_us);
  dy_log (event,
          "kind=%s routes_age_ms=%" G_GINT64_FORMAT " list_age_ms=%" G_GINT64_FORMAT
          " evacuations_age_ms=%" G_GINT64_FORMAT " on_time_ms=%" G_GINT64_FORMAT
          " away_ms=%" G_GINT64_FORMAT
          " would_hear=%d refused=%d unanswered=%d others_away=%d behind_ms=%" G_GINT64_FORMAT
          " asked=%u in_vain=%d cut_off=%d",
          dy_error_info (error)->kind, dy_directory_routes_age_ms (directory),
          dy_directory_endpoints_age_ms (directory), dy_directory_evacuations_age_ms (directory),
          (boot_us - directory->clocks.on_time_until_us) / US_PER_MS,
          (boot_us - directory->platform->away_us) / US_PER_MS, terms.would_hear, terms.refused,
          terms.unanswered, evidence.others_away,
          evidence.behind ? (boot_us - evidence.behind_us) / US_PER_MS : 0,
          watch->requests.missed.n_requests, evidence.in_vain, terms.cut_off);
}

static void
log_lateness (DyDirectory *directory)
{
  const DyObjectWatch *routes = &directory->routes_watch;
  int error = dy_directory_ready (directory) ? dy_directory_check_age (directory) : DY_OK;
  bool is_late = error != DY_OK;
  bool outdated = !is_late && routes->age.behind_us != 0
                  && dy_directory_routes_knowledge (directory) == DY_KNOWLEDGE_BRIDGED;
  dy_counters_set (&directory->kernel->counters, DY_COUNTER_LATE, is_late);
  dy_counters_set (&directory->kernel->counters, DY_COUNTER_OUTDATED, outdated);
  if (is_late != directory->is_late)
    log_terms (directory, is_late ? DY_EVENT_KNOWLEDGE_LATE : DY_EVENT_KNOWLEDGE_IN_TIME, error,
               error == DY_ENDPOINTS_STALE     ? &directory->endpoints_watch
               : error == DY_EVACUATIONS_STALE ? &directory->evacuations.watch
                                               : routes);
  if (outdated && !directory->is_outdated)
    log_terms (directory, DY_EVENT_ROUTES_OUTDATED, DY_ROUTES_STALE, routes);
  directory->is_late = is_late;
  directory->is_outdated = outdated;
}

void
dy_directory_update_knowledge (DyDirectory *directory)
{
  check_time (directory);
  dy_directory_is_catching_up (directory);
  log_lateness (directory);
}

void
dy_directory_start_knowledge (DyDirectory *directory)
{
  DyKernel *kernel = directory->kernel;
  dy_clocks_init (&directory->clocks, kernel, directory->peers);
  dy_link_probe_init (&directory->time_probe, kernel->loop, PROBE_TIMEOUT_S, on_time_probed,
                      directory);
  directory->platform->is_unanswered = is_unanswered;
  directory->platform->is_unanswered_ctx = directory;
}

void
dy_directory_finish_knowledge (DyDirectory *directory)
{
  directory->platform->is_unanswered = NULL;
  dy_link_probe_finish (&directory->time_probe);
  dy_clocks_finish (&directory->clocks);
}
