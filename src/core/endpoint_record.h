#ifndef DY_CORE_ENDPOINT_RECORD_H
#define DY_CORE_ENDPOINT_RECORD_H

/**
 * NAME
 *   endpoint_record - the record that an endpoint publishes in the platform's store
 *
 * DESCRIPTION
 *   A decoded record. It owns none of its strings.
 */

#include <stdbool.h>
#include <stdint.h>

/* In place of a cold time in milliseconds. */
typedef enum
{
  DY_COLD_TIME_NOT_STATED = -1,
  DY_COLD_TIME_INVALID = -2, /* negative, huge or not a number */
} DyColdTime;

typedef struct
{
  const char *id; /* usually new after a restart */
  const char *service;
  const char *address; /* IPv4 address and port, "10.0.0.1:8000" */
  const char *data_centre;
  const char *version; /* of its software; NULL: not stated */
  uint32_t slots;      /* requests that it can run at the same time; 0: not limited */
  int64_t start_ms;    /* start time, Unix time; 0: not stated */
  bool leaving;        /* it finishes its requests and takes no new ones */
  int64_t cold_ms;     /* how much longer it stays cold, as of the write; or as of DyColdTime */
} DyEndpointRecord;

#endif
