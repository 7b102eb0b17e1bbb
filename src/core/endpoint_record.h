#ifndef DY_CORE_ENDPOINT_RECORD_H
#define DY_CORE_ENDPOINT_RECORD_H

/**
 * NAME
 *   endpoint_record - what an endpoint says of itself in the platform's store
 */

#include <stdbool.h>
#include <stdint.h>

typedef struct
{
  const char *id; /* new at most starts */
  const char *service;
  const char *address; /* ip:port */
  const char *data_centre;
  uint32_t slots;   /* requests that it works on at once */
  int64_t start_ms; /* Unix time of its start; 0: not stated */
  bool leaving;
} DyEndpointRecord;

#endif
