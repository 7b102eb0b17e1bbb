#ifndef DY_SERVICES_PLATFORM_HTTP_H
#define DY_SERVICES_PLATFORM_HTTP_H

/**
 * NAME
 *   platform_http - client of the platform's object API over HTTP, as a DyPlatformOps
 *
 * PROTOCOL
 *   GET /v1/objects/KEY                       200, the value, with ETag: "VERSION"; or 404
 *   PUT /v1/objects/KEY                       If-Match: "VERSION" or If-None-Match: *;
 *                                             200 with ETag, or 412 with the current ETag
 *   DELETE /v1/objects/KEY                    If-Match: "VERSION"; 200 or 412
 *   GET /v1/objects?prefix=P                  200 {"version": number, "objects":
 *                                             [{"key": text, "version": number,
 *                                               "value": text or null}]}
 *   GET /v1/objects?prefix=P&watch=VERSION&wait_ms=MS
 *                                             the same for the objects that changed after VERSION,
 *                                             null for removed ones; waits up to MS for a change
 *   GET /v1/vms                               200, the VM list of DyPlatformOps
 *
 *   The reply to any call may also be 429 (refused, without effect) or 5xx (unavailable). Other
 *   statuses break the protocol.
 */

#include "services/platform.h"

extern const DyPlatformOps dy_platform_http_ops;

/* Returns the IMPL of dy_platform_http_ops, freed by its free(). URL is the base URL, without the
 * paths above. A call times out after TIMEOUT_MS. A watch waits up to WATCH_TIMEOUT_MS and times
 * out TIMEOUT_MS later. */
void *dy_platform_http_new (struct ev_loop *loop,
                            const char *url,
                            int64_t timeout_ms,
                            int64_t watch_timeout_ms);

#endif
