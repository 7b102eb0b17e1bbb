#include "services/origins_private.h"

#include "kernel/error.h"

enum
{
  /* A router writes an origin later than it passes on the first event. */
  SECOND_READ_US = 300 * 1000,
  /* The same while other routers are asked, which may be late. */
  ASKED_READ_US = 700 * 1000,
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
  bool asked;           /* ROUTERS and OUT_OF_REACH are set */
  GHashTable *routers;  /* set of the names of those that are asked and have not answered */
  bool out_of_reach;    /* one that may have begun the stream cannot be asked */
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
  g_hash_table_unref (lookup->routers);
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

/* Returns the base version of the service of LOOKUP if that began the stream, as no router can have
 * begun it at another version; NULL: that is not known. */
static const char *
find_base (const DyOrigins *origins, const DyOriginLookup *lookup)
{
  const DyOriginService *entry = g_hash_table_lookup (origins->services, lookup->service);
  DyUnlistedEvidence evidence
      = { .read = lookup->asked,
          .versions_known
          = origins->versions_loaded
            && !dy_version_knowledge_needs_read (&origins->knowledge, dy_kernel_boot_us ()),
          .restored = dy_platform_was_restored_within (origins->platform, DY_VERSION_RETENTION_US),
          .inherited = entry && now_us (origins) < entry->inherited_until_us,
          .out_of_reach = lookup->out_of_reach,
          .n_asked = g_hash_table_size (lookup->routers) };
  return dy_version_knowledge_judge_unlisted (&evidence)
             ? dy_stream_origins_base (&origins->table, lookup->service, now_us (origins))
             : NULL;
}

/* Adds the routers to QUESTIONS that may have begun the stream of LOOKUP without listing it: those
 * that declare the service mixed. */
static void
ask (DyOrigins *origins, DyOriginLookup *lookup, DyOriginQuestions *questions)
{
  const char *base = dy_stream_origins_base (&origins->table, lookup->service, now_us (origins));
  GHashTableIter iter;
  gpointer router;
  gpointer services;
  lookup->asked = true;
  g_hash_table_iter_init (&iter, origins->declarations);
  while (g_hash_table_iter_next (&iter, &router, &services))
    {
      const char *declared = g_hash_table_lookup (services, lookup->service);
      /* A declaration with another base is from before that one was the only version. */
      if (!declared || (base && declared[0] && strcmp (declared, base) != 0))
        continue;
      if (dy_origins_questions_add (questions, origins, router, lookup->service,
                                    lookup->request_id))
        g_hash_table_add (lookup->routers, g_strdup (router));
      else
        lookup->out_of_reach = true;
    }
}

void
dy_origins_take_denial (DyOrigins *origins,
                        const char *router,
                        const char *service,
                        const char *request_id)
{
  GHashTableIter iter;
  gpointer key;
  g_hash_table_iter_init (&iter, origins->lookups);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      const DyOriginLookup *lookup = key;
      if (g_strcmp0 (lookup->request_id, request_id) == 0 && strcmp (lookup->service, service) == 0)
        g_hash_table_remove (lookup->routers, router);
    }
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
  if (!version)
    {
      source = "unlisted";
      version = find_base (origins, lookup);
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
  DyOriginQuestions questions;
  dy_origins_questions_init (&questions);
  dy_origins_update_knowledge (origins);
  for (GList *l = lookups; l; l = l->next)
    {
      DyOriginLookup *lookup = l->data;
      if (!g_hash_table_contains (origins->lookups, lookup) || !lookup->waiting)
        continue;
      lookup->waiting = false;
      lookup->n_reads++;
      if (!failed && lookup->request_id && !lookup->asked
          && !dy_stream_origins_get (&origins->table, lookup->request_id, &(DyStreamOrigin){ 0 }))
        ask (origins, lookup, &questions);
      bool asks = g_hash_table_size (lookup->routers) > 0;
      lookup->next_read_us = now_us (origins) + (asks ? ASKED_READ_US : SECOND_READ_US);
      bool ended = origins->versions_loaded && decide (origins, lookup);
      if (!ended && (failed || !lookup->request_id || lookup->n_reads >= MAX_READS))
        end_lookup (origins, lookup, NULL,
                    failed ? "store_failed"
                           : (lookup->out_of_reach ? "out_of_reach" : "unrecorded"));
    }
  g_list_free (lookups);
  dy_origins_questions_send (&questions, origins);
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
  lookup->routers = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
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
