#ifndef DY_CORE_NOTICES_H
#define DY_CORE_NOTICES_H

/**
 * NAME
 *   notices - what endpoints say of themselves in their answers
 *
 * DESCRIPTION
 *   A notice belongs to one start of an endpoint: it ends when the endpoint starts again.
 *
 *   An endpoint that leaves says so in all its answers, while its record may never say it. As it
 *   gets nothing new from then on, it cannot take that back either, so the notice also ends a long
 *   time after it was last given, if the endpoint is still there.
 *
 *   An endpoint that turns a request away may say for how long it wants no other from this router.
 *   Such a wait binds only the router that was turned away.
 *
 * UNITS
 *   Times are microseconds, start times Unix milliseconds (0: not stated). The module reads no
 *   clock; the time is passed in as NOW_US.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct
{
  char *endpoint;
  int64_t start_ms; /* start of the endpoint that gave the notice */
  bool leaving;
  int64_t wait_until_us; /* it wants nothing from this router before; INT64_MIN / 2: not said */
  int64_t said_us;       /* time of the latest answer with it, to any router, as far as known */
  bool from_peer;        /* first learned from another router */
} DyNotice;

typedef struct
{
  GHashTable *by_endpoint; /* id to DyNotice */
} DyNotices;

void dy_notices_init (DyNotices *notices);
void dy_notices_finish (DyNotices *notices);

/* Records that ENDPOINT, started at START_MS, said at SAID_US that it leaves. Returns whether that
 * was not known. What an earlier start said is ignored. */
bool dy_notices_take_leaving (
    DyNotices *notices, const char *endpoint, int64_t start_ms, int64_t said_us, bool from_peer);

/* Records that ENDPOINT, started at START_MS, said at SAID_US that it wants nothing from this
 * router before UNTIL_US. */
void dy_notices_take_wait (
    DyNotices *notices, const char *endpoint, int64_t start_ms, int64_t said_us, int64_t until_us);

/* Returns the time before which ENDPOINT, started at START_MS, wants nothing from this router. */
int64_t dy_notices_wait_until_us (const DyNotices *notices, const char *endpoint, int64_t start_ms);

/* Returns whether ENDPOINT, started at START_MS, has said that it leaves. */
bool dy_notices_is_leaving (const DyNotices *notices, const char *endpoint, int64_t start_ms);

/* Returns what ENDPOINT has said, or NULL. */
const DyNotice *dy_notices_find (const DyNotices *notices, const char *endpoint);

/* Removes a notice that has ended by its age and returns it, to be freed with dy_notice_free().
 * Returns NULL if there is none. */
DyNotice *dy_notices_take_ended (DyNotices *notices, int64_t now_us);

void dy_notice_free (gpointer notice);

#endif
