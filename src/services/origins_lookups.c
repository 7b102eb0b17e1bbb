#include "services/origins_private.h"

#include "kernel/error.h"

enum
{
  /* A router writes an origin later than it passes on the first event. */
  SECOND_READ_US = 300 * 1000,
  MAX_READS = 2,
};

struct DyOriginLookup
{
  char *service;
  char *request_id; /* NULL: not stated */
  DyOriginDone done;
  void *ctx;
  int64_t asked_us;     /* by dy_kernel_boot_us() */
  uint32_t n_reads;     /* reads of the streams since it began */
  int64_t next_read_us; /* no read for it before this time */
  bool waiting;         /* a read that serves it is in progress */
};

static int64_t
now_us (const DyOrigins *origins)
{
  return dy_kernel_now_us (origins->kernel);
}

void
dy_origins_free_lookup (gpointer data)
{
  DyOriginLookup *lookup = data;
  g_free (lookup->service);
  g_free (lookup->request_id);
  g_free (lookup);
}

static DyOriginAnswer
answer_of (const DyOrigins *origins,
           const char *request_id,
           const char *version,
           const char *source)
{
  DyOriginAnswer answer = { .version = version, .source = source, .age_ms = -1 };
  DyStreamOrigin origin;
  if (!version || !dy_stream_origins_get (&origins->table, request_id, &origin))
    return answer;
  answer.router = origin.router ? origin.router : origins->kernel->settings->node_name;
  answer.age_ms = (now_us (origins) - origin.known_us) / 1000;
  return answer;
}

/* Ends LOOKUP with VERSION (NULL: unknown). */
static void
end_lookup (DyOrigins *origins, DyOriginLookup *lookup, const char *version, const char *source)
{
  DyOriginAnswer answer = answer_of (origins, lookup->request_id, version, source);
  char *router = g_strdup (answer.router);
  char *copy = g_strdup (version);
  answer.router = router;
  answer.version = copy;
  g_hash_table_steal (origins->lookups, lookup);
  lookup->done (lookup->ctx, &answer);
  g_free (copy);
  g_free (router);
  dy_origins_free_lookup (lookup);
}

/* Returns whether no router that may run reaches the store, so that no endpoint can have been
 * listed since it went away. */
static bool
are_all_cut_off (const DyOrigins *origins)
{
  const DyDirectory *directory = origins->directory;
  return !dy_platform_answers (origins->platform) && directory->endpoints_watch.age.behind_us == 0
         && dy_members_all_lack_platform (&directory->peers->members,
                                          now_us (origins) - DY_VERSION_RETENTION_US,
                                          now_us (origins));
}

static void
see_listed (void *ctx, const char *service, const char *version)
{
  dy_origins_see_version (ctx, service, version);
}

void
dy_origins_update_knowledge (DyOrigins *origins)
{
  dy_placement_visit_versions (&origins->directory->placement, see_listed, origins);
  dy_version_knowledge_extend (&origins->knowledge,
                               origins->directory->endpoints_watch.age.confirmed_us);
}

/* Returns whether all versions that may have begun the stream of LOOKUP are known. */
static DyVersionVerdict
judge (const DyOrigins *origins, const DyOriginLookup *lookup)
{
  DyVersionEvidence evidence
      = { .asked_us = lookup->asked_us,
          .cut_off = dy_directory_endpoints_knowledge (origins->directory) == DY_KNOWLEDGE_BRIDGED,
          .all_cut_off = are_all_cut_off (origins),
          .restored = dy_platform_was_restored_within (origins->platform, DY_VERSIONS_REWRITE_US),
          .stored = dy_origins_is_stored (origins, lookup->service) };
  return dy_version_knowledge_judge (&origins->knowledge, &evidence, dy_kernel_boot_us ());
}

/* Ends LOOKUP if it is decided by what is known here. Returns whether it did. */
static bool
decide (DyOrigins *origins, DyOriginLookup *lookup)
{
  const char *service = lookup->service;
  const char *id = lookup->request_id;
  DyVersionVerdict verdict = judge (origins, lookup);
  const char *source = "recorded";
  const char *version = dy_stream_origins_find (&origins->table, service, id, false);
  if (!version && verdict == DY_VERSIONS_COMPLETE)
    {
      source = "listed";
      version = dy_stream_origins_find (&origins->table, service, id, true);
    }
  bool refuses = !version && verdict == DY_VERSIONS_UNKNOWN
                 && dy_directory_endpoints_knowledge (origins->directory) == DY_KNOWLEDGE_BRIDGED;
  if (!version && !refuses)
    return false;
  end_lookup (origins, lookup, version, refuses ? "cut_off" : source);
  return true;
}

bool
dy_origins_decide_lookups (DyOrigins *origins)
{
  GList *lookups = g_hash_table_get_keys (origins->lookups);
  bool awaits = false;
  dy_origins_update_knowledge (origins);
  for (GList *l = lookups; l && origins->versions_loaded; l = l->next)
    {
      DyOriginLookup *lookup = l->data;
      if (!g_hash_table_contains (origins->lookups, lookup) || lookup->waiting)
        continue;
      if (!decide (origins, lookup))
        awaits = true;
    }
  g_list_free (lookups);
  return awaits;
}

void
dy_origins_confirm_records (DyOrigins *origins)
{
  uint32_t n_routers = dy_members_possible_count (&origins->directory->peers->members);
  if (now_us (origins) - origins->confirm_us < dy_stream_origins_confirm_interval_us (n_routers))
    return;
  origins->confirm_us = now_us (origins);
  dy_object_watch_confirm (&origins->directory->endpoints_watch);
}

void
dy_origins_end_lookups (DyOrigins *origins, bool failed)
{
  GList *lookups = g_hash_table_get_keys (origins->lookups);
  dy_origins_update_knowledge (origins);
  for (GList *l = lookups; l; l = l->next)
    {
      DyOriginLookup *lookup = l->data;
      if (!g_hash_table_contains (origins->lookups, lookup) || !lookup->waiting)
        continue;
      lookup->waiting = false;
      lookup->n_reads++;
      lookup->next_read_us = now_us (origins) + SECOND_READ_US;
      bool ended = origins->versions_loaded && decide (origins, lookup);
      if (!ended && (failed || !lookup->request_id || lookup->n_reads >= MAX_READS))
        end_lookup (origins, lookup, NULL, failed ? "store_failed" : "unrecorded");
    }
  g_list_free (lookups);
}

void
dy_origins_refuse_lookups (DyOrigins *origins)
{
  GHashTableIter iter;
  gpointer key;
  g_hash_table_iter_init (&iter, origins->lookups);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    ((DyOriginLookup *) key)->waiting = true;
  dy_origins_end_lookups (origins, true);
}

/* Returns whether LOOKUP needs the streams: not while what is known may soon show that there is
 * only one version. */
static bool
needs_streams (const DyOrigins *origins, const DyOriginLookup *lookup)
{
  return now_us (origins) >= lookup->next_read_us
         && !(dy_stream_origins_has_one_version (&origins->table, lookup->service)
              && judge (origins, lookup) == DY_VERSIONS_AWAITED);
}

bool
dy_origins_begin_read (DyOrigins *origins)
{
  GHashTableIter iter;
  gpointer key;
  bool due = false;
  g_hash_table_iter_init (&iter, origins->lookups);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      DyOriginLookup *lookup = key;
      lookup->waiting = needs_streams (origins, lookup);
      due = due || lookup->waiting;
    }
  return due;
}

DyOriginLookup *
dy_origins_look_up (DyOrigins *origins,
                    const char *service,
                    const char *request_id,
                    DyOriginDone done,
                    void *ctx,
                    DyOriginAnswer *answer)
{
  const char *version = dy_stream_origins_find (&origins->table, service, request_id, false);
  *answer = answer_of (origins, request_id, version, "recorded");
  if (version)
    return NULL;
  DyOriginLookup *lookup = g_new0 (DyOriginLookup, 1);
  lookup->service = g_strdup (service);
  lookup->request_id = g_strdup (request_id);
  lookup->done = done;
  lookup->ctx = ctx;
  lookup->asked_us = dy_kernel_boot_us ();
  g_hash_table_add (origins->lookups, lookup);
  if (dy_stream_origins_has_one_version (&origins->table, service))
    dy_origins_confirm_records (origins);
  return lookup;
}

void
dy_origins_cancel (DyOrigins *origins, DyOriginLookup *lookup)
{
  g_hash_table_remove (origins->lookups, lookup);
}
