#ifndef DY_SERVICES_REQUEST_BLOCKS_H
#define DY_SERVICES_REQUEST_BLOCKS_H

/**
 * NAME
 *   request_blocks - requests that crash endpoints whenever they come, known to all routers
 *
 * DESCRIPTION
 *   Feeds core/crash_counts with the crashes and complete answers of this router's requests and
 *   exchanges them with the other routers, as objects sent by dy_peers_send_object():
 *
 *     requestcrashes/HASH         {"endpoint": id, "sent_ms": n, "withdrawn": bool}
 *       The endpoint crashed under the request, which was sent to it so long ago; or that is
 *       withdrawn, as nothing showed it.
 *
 *     crashingparts/request-HASH  {"crashes": n, "trials": n}
 *       What is counted. Removed: the request had a complete answer.
 *
 *   A crash is also sent as DY_MESSAGE_CRASH, for routers of builds that do not know these objects.
 *
 *   A router whose connection to another one comes up sends that one what is blocked. Blocks
 *   outlive a restart of all routers in the platform's store, as objects of the same key and
 *   value (services/block_records.h), and so do counts that may soon be blocks. The home of a
 *   request lets it through now and then, as a trial.
 */

#include "core/crash_counts.h"
#include "services/block_records.h"

#define DY_SERVICE_REQUEST_BLOCKS "request_blocks"

typedef struct
{
  DyKernel *kernel;
  DyPeers *peers;
  DyCrashCounts counts;
  DyBlockRecords records;
  ev_timer timer; /* removal of old counts */
} DyRequestBlocks;

/* Adds the service "request_blocks", whose interface is a DyRequestBlocks. */
void dy_request_blocks_add_service (DyKernel *kernel, DyRequestBlocks *blocks);

/* Returns whether the blocks in the store are known; requests must wait until then. */
bool dy_request_blocks_loaded (const DyRequestBlocks *blocks);

/* Records that ENDPOINT crashed while it ran the request with HASH, which was sent to it at SENT_US
 * by the monotonic clock. */
void dy_request_blocks_report_crash (DyRequestBlocks *blocks,
                                     uint64_t hash,
                                     const char *endpoint,
                                     int64_t sent_us);

/* Takes that back, as nothing showed that the endpoint crashed. */
void dy_request_blocks_withdraw (DyRequestBlocks *blocks, uint64_t hash, const char *endpoint);

/* Records that the request with HASH had a complete answer. */
void dy_request_blocks_report_success (DyRequestBlocks *blocks, uint64_t hash);

/* Returns whether the request REQUEST_ID with HASH must not be sent. If MAY_TRY, it may be let
 * through as a trial. */
bool dy_request_blocks_refuse (DyRequestBlocks *blocks,
                               const char *request_id,
                               uint64_t hash,
                               bool may_try);

#endif
