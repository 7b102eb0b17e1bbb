#ifndef DY_SERVICES_ORIGINS_PRIVATE_H
#define DY_SERVICES_ORIGINS_PRIVATE_H

/**
 * NAME
 *   origins_private - declarations shared by the files of the origins service
 *
 * DESCRIPTION
 *   origins.c            the objects of streams in the store, and the service
 *   origins_versions.c   the versions of each service, and which of them this router may begin
 *   origins_questions.c  questions to other routers about streams that are not recorded
 *   origins_lookups.c    lookups, until they are decided
 */

#include "services/origins.h"

#include <jansson.h>

#define DY_VERSIONS_PREFIX "stream-versions/" /* the platform has a kind "versions" of its own */

enum
{
  DY_ORIGINS_RETRY_US = 500 * 1000,
};

/* What this router does in the store for a service. */
typedef struct
{
  DyOrigins *origins;
  char *service;
  uint64_t stored_version; /* of the object of its versions; 0: not known */
  bool stored;             /* the store has it, of STORED_ERA */
  uint64_t stored_era;
  uint64_t sent_era; /* of the write in progress */
  char *sent_base;   /* of the latest write; NULL: none */
  bool synced;       /* the store has the versions that are known here */
  bool busy;
  int64_t next_try_us;
  char *declared; /* base with which the own object declares it mixed; NULL: it does not, or may not
                   */
  char *declaring;            /* the same of the write in progress */
  int64_t mixed_us;           /* when several versions were last known; 0: never */
  int64_t inherited_until_us; /* until then streams of the process before this one, which had
                                 declared it mixed, may be resumed and not be listed */
} DyOriginService;

/* Records that VERSION of SERVICE is listed, or that the store has it. */
void dy_origins_see_version (DyOrigins *origins, const char *service, const char *version);

/* Records the STREAMS, {service: {version: [request id, ...]}}, whose first events ROUTER passed
 * on.
 */
void dy_origins_load_streams (DyOrigins *origins,
                              const json_t *streams,
                              const char *router,
                              int64_t expires_us);

DyOriginService *dy_origins_get_service (DyOrigins *origins, const char *service);
void dy_origins_free_service (gpointer data);

/* Takes an object of versions from the store. */
void dy_origins_load_versions (DyOrigins *origins, const DyObject *object);

/* Writes the objects of versions that differ from what is known, of the services whose home is this
 * router. DROPPED: a version was dropped. */
void dy_origins_sync_services (DyOrigins *origins, bool dropped);

/* Takes what this router wrote of services as lost. */
void dy_origins_withdraw_services (DyOrigins *origins);

void dy_origins_collect_version (void *ctx, const char *version);

/* Returns whether the store has the versions of SERVICE, written since it was last restored. */
bool dy_origins_is_stored (const DyOrigins *origins, const char *service);

/* Returns the services to declare mixed, {service: base}, for a write of the own object that begins
 * now, and takes the end of that write. */
json_t *dy_origins_begin_declarations (DyOrigins *origins);
void dy_origins_end_declarations (DyOrigins *origins, bool ok);

/* Returns whether the own object declares other services mixed than it should. */
bool dy_origins_declarations_differ (DyOrigins *origins);

/* Returns whether this router may begin streams of a service only at its base version. */
bool dy_origins_awaits_base (const DyOrigins *origins);

/* Takes that the own object, left by the process before this one, declares SERVICE mixed with BASE;
 * NULL: the process was of an earlier build. */
void dy_origins_inherit_declaration (DyOrigins *origins, const char *service, const char *base);

/* Takes that the object of ROUTER declares SERVICE mixed with BASE; "": with none. */
void dy_origins_record_declaration (DyOrigins *origins,
                                    const char *router,
                                    const char *service,
                                    const char *base);

/* Reports that the services which are declared mixed may have changed. */
void dy_origins_report_declared (DyOrigins *origins);

/* Registers for the questions of other routers, and their answers. */
void dy_origins_start_questions (DyOrigins *origins);

/* Questions about streams that are to be sent, by router. */
typedef struct
{
  GHashTable *by_router; /* name to a JSON object, {service: [request id, ...]} */
} DyOriginQuestions;

void dy_origins_questions_init (DyOriginQuestions *questions);

/* Adds the stream REQUEST_ID of SERVICE to what ROUTER is asked for. Returns whether there is a
 * connection to it. */
bool dy_origins_questions_add (DyOriginQuestions *questions,
                               const DyOrigins *origins,
                               const char *router,
                               const char *service,
                               const char *request_id);

/* Sends the questions and frees them. */
void dy_origins_questions_send (DyOriginQuestions *questions, DyOrigins *origins);

void dy_origins_free_lookup (gpointer lookup);

/* Takes that ROUTER did not pass on the first event of the stream REQUEST_ID of SERVICE. */
void dy_origins_take_denial (DyOrigins *origins,
                             const char *router,
                             const char *service,
                             const char *request_id);

/* Takes the versions that are listed, and until when they are known to be all. */
void dy_origins_update_knowledge (DyOrigins *origins);

/* Ends the lookups that are decided. Returns whether one is left that waits for a confirmation. */
bool dy_origins_decide_lookups (DyOrigins *origins);

/* Asks for the endpoint records, which show whether there are versions that are not known. */
void dy_origins_confirm_records (DyOrigins *origins);

/* Notes the lookups that a read of the streams, which begins now, is for. Returns whether there are
 * any. */
bool dy_origins_begin_read (DyOrigins *origins);

/* Ends the lookups for which the streams were read, or could not be: FAILED. */
void dy_origins_end_lookups (DyOrigins *origins, bool failed);

/* Ends all lookups: without the store's versions none can be decided. */
void dy_origins_refuse_lookups (DyOrigins *origins);

#endif
