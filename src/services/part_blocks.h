#ifndef DY_SERVICES_PART_BLOCKS_H
#define DY_SERVICES_PART_BLOCKS_H

/**
 * NAME
 *   part_blocks - prompt parts that crash endpoints, known to all routers
 *
 * DESCRIPTION
 *   Feeds core/crash_cause with the crashes and outputs of this router's requests and exchanges
 *   them with the other routers, as objects sent by dy_peers_send_object():
 *
 *     crashes/ENDPOINT  {"parts": [{"id": hex, "depth": n}]}
 *       These parts may have caused a crash of the endpoint.
 *     crashingparts/ID  {"crashes": n, "trials": n}
 *       The part is blocked. Removed: a request with it had output, or another part explains the
 *       crashes.
 *
 *   A router whose connection to another one comes up sends that one the blocked parts.
 *
 *   The blocks outlive a restart of all routers as objects of the same key and value in the
 *   platform's store (services/block_records.h). The home of a part also lets a request through now
 *   and then, as a trial.
 */

#include "core/crash_cause.h"
#include "services/block_records.h"

#define DY_SERVICE_PART_BLOCKS "part_blocks"

typedef struct
{
  DyKernel *kernel;
  DyPeers *peers;
  DyCrashCause cause;
  DyBlockRecords records;
  ev_timer timer; /* decisions */
} DyPartBlocks;

/* Adds the service "part_blocks", whose interface is a DyPartBlocks. */
void dy_part_blocks_add_service (DyKernel *kernel, DyPartBlocks *blocks);

/* Returns whether the blocks in the store are known; requests must wait until then. */
bool dy_part_blocks_loaded (const DyPartBlocks *blocks);

/* Records that ENDPOINT crashed while a request with the N parts IDS had no output yet. */
void dy_part_blocks_report_crash (DyPartBlocks *blocks,
                                  const char *endpoint,
                                  const uint64_t *ids,
                                  uint32_t n);

/* Records that a request with the N parts IDS had output. */
void dy_part_blocks_report_output (DyPartBlocks *blocks, const uint64_t *ids, uint32_t n);

/* Returns whether the request REQUEST_ID with the N parts IDS must not be sent. If MAY_TRY, a
 * request with a blocked part may be let through as a trial. */
bool dy_part_blocks_refuse (
    DyPartBlocks *blocks, const char *request_id, const uint64_t *ids, uint32_t n, bool may_try);

#endif
