#ifndef DY_SERVICES_ORIGINS_PRIVATE_H
#define DY_SERVICES_ORIGINS_PRIVATE_H

/**
 * NAME
 *   origins_private - declarations shared by the files of the origins service
 *
 * DESCRIPTION
 *   origins.c          the objects in the store, and the service
 *   origins_lookups.c  lookups, until they are decided
 */

#include "services/origins.h"

/* Records that VERSION of SERVICE is listed, or that the store has it. */
void dy_origins_see_version (DyOrigins *origins, const char *service, const char *version);

/* Returns whether the store has the versions of SERVICE, written since it was last restored. */
bool dy_origins_is_stored (const DyOrigins *origins, const char *service);

void dy_origins_free_lookup (gpointer lookup);

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
