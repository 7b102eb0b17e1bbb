#ifndef DY_SERVICES_ENDPOINTS_DIRECTORY_PRIVATE_H
#define DY_SERVICES_ENDPOINTS_DIRECTORY_PRIVATE_H

/**
 * NAME
 *   directory_private - declarations shared by the files of the directory service
 *
 * DESCRIPTION
 *   directory.c            routes and endpoint records
 *   directory_knowledge.c  whether what is known of them may be acted on
 *   directory_notices.c    what endpoints say of themselves in answers
 */

#include "services/endpoints/directory.h"

typedef struct
{
  int64_t start_ms; /* Unix time; 0: not stated */
  bool leaving;     /* by the record */
  bool expiring;
  int64_t remove_us; /* if expiring: monotonic time at which the endpoint is removed */
} DyEndpointState;

/* Starts and finishes the clocks and the probe that tell whether this router is on time. */
void dy_directory_start_knowledge (DyDirectory *directory);
void dy_directory_finish_knowledge (DyDirectory *directory);

/* Tests whether this router is on time, if that may be needed soon, and logs whether what it knows
 * is too old. To be called at short intervals. */
void dy_directory_update_knowledge (DyDirectory *directory);

#endif
