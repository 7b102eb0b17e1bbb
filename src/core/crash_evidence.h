#ifndef DY_CORE_CRASH_EVIDENCE_H
#define DY_CORE_CRASH_EVIDENCE_H

/**
 * NAME
 *   crash_evidence - tells crashes of endpoints from faults of the link to them
 *
 * DESCRIPTION
 *   A connection that breaks before the answer is complete is a sign that the endpoint crashed, or
 *   that the link between this router and the endpoint failed. So each such failure is held until
 *   there is evidence:
 *
 *   - Bytes from the same endpoint soon after, on another connection: it did not crash.
 *   - The endpoint has started again: it crashed.
 *   - Bytes from another endpoint soon after: the link works, so the endpoint crashed; unless
 *     another request failed at another endpoint meanwhile, or the failed connection was new, as
 *     old connections may live on over a link on which new ones fail.
 *   - A new connection to an endpoint that was opened soon after: the link works.
 *
 *   A kept connection may also end because the endpoint closed it as the request went out, or
 *   because it had long been dead. So one that ends before any of the answer counts only if the
 *   endpoint, besides, does not accept a new connection, or has started again.
 *
 *   A failure for which there is none of these is dropped.
 *
 *   Bytes that come within a short time of the failure count for neither: they may have been
 *   received before it.
 *
 * UNITS
 *   Times are microseconds; the module reads no clock, the time is passed in as NOW_US.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct
{
  int64_t gap_us;     /* time in which bytes may have been received before the failure */
  int64_t hold_us;    /* time in which the endpoint may show that it did not crash */
  int64_t link_us;    /* time in which bytes of another endpoint show that the link worked */
  int64_t restart_us; /* time in which a crashed endpoint starts again */
} DyCrashEvidencePolicy;

extern const DyCrashEvidencePolicy dy_crash_evidence_policy;

typedef enum
{
  DY_EVIDENCE_LINK_WORKS, /* counts: other endpoints answered */
  DY_EVIDENCE_RESTARTED,  /* counts: the endpoint has started again */
  DY_EVIDENCE_ALIVE,      /* does not count: the endpoint answered */
  DY_EVIDENCE_NONE,       /* does not count: no evidence came in time */
} DyEvidence;

typedef enum
{
  DY_BREAK_NEW,     /* of a connection that was opened for the request */
  DY_BREAK_KEPT,    /* of one that had been used before, inside the answer */
  DY_BREAK_UNBEGUN, /* of one that had been used before, before any of the answer */
} DyBreakKind;

typedef struct
{
  /* PAYLOAD, as given to dy_crash_evidence_fail(), is decided on and is the callee's now. */
  void (*decided) (void *ctx, void *payload, const char *endpoint, DyEvidence evidence);
  void (*free_payload) (void *payload);
} DyCrashEvidenceWatcher;

typedef struct
{
  DyCrashEvidencePolicy policy;
  const DyCrashEvidenceWatcher *watcher;
  void *ctx;
  GPtrArray *failures; /* not decided on yet, in the order of their times */
} DyCrashEvidence;

void dy_crash_evidence_init (DyCrashEvidence *evidence,
                             const DyCrashEvidencePolicy *policy,
                             const DyCrashEvidenceWatcher *watcher,
                             void *ctx);
/* Frees the payloads of failures that were not decided on. */
void dy_crash_evidence_finish (DyCrashEvidence *evidence);

/* Records that the connection of the request REQUEST to ENDPOINT broke. */
void dy_crash_evidence_fail (DyCrashEvidence *evidence,
                             const char *endpoint,
                             const char *request,
                             DyBreakKind kind,
                             void *payload,
                             int64_t now_us);

/* Records bytes of an answer of ENDPOINT. */
void dy_crash_evidence_bytes (DyCrashEvidence *evidence, const char *endpoint, int64_t now_us);

/* Returns whether a new connection to an endpoint would help to decide on a failure. */
bool dy_crash_evidence_needs_probe (const DyCrashEvidence *evidence, int64_t now_us);

/* Returns the id of an endpoint for which a new connection to it would help to decide, or NULL. It
 * is valid until the next call that decides on failures. */
const char *dy_crash_evidence_endpoint_to_probe (const DyCrashEvidence *evidence, int64_t now_us);

/* Records that a new connection to ENDPOINT that was started at OPENED_US was accepted or not. */
void dy_crash_evidence_probed (DyCrashEvidence *evidence,
                               const char *endpoint,
                               bool accepted,
                               int64_t opened_us);

/* Returns whether a connection to ENDPOINT broke and was not decided on. */
bool dy_crash_evidence_has_failed (const DyCrashEvidence *evidence, const char *endpoint);

/* Records that a new connection to an endpoint was opened at OPENED_US. */
void dy_crash_evidence_link_works (DyCrashEvidence *evidence, int64_t opened_us);

/* Drops the failures of the request REQUEST, which was answered elsewhere. */
void dy_crash_evidence_forget (DyCrashEvidence *evidence, const char *request);

/* Calls VISIT for the payload of each failure. */
void dy_crash_evidence_visit (const DyCrashEvidence *evidence,
                              void (*visit) (void *ctx, void *payload),
                              void *ctx);

/* Records that ENDPOINT has started again, or that its record was removed. */
void dy_crash_evidence_restarted (DyCrashEvidence *evidence, const char *endpoint);

/* Drops all failures, as the link has failed. */
void dy_crash_evidence_link_failed (DyCrashEvidence *evidence);

/* Decides on the failures that are old enough. */
void dy_crash_evidence_tick (DyCrashEvidence *evidence, int64_t now_us);

#endif
