#ifndef DY_CORE_EVENT_STREAM_H
#define DY_CORE_EVENT_STREAM_H

/**
 * NAME
 *   event_stream - splits an event stream into whole events
 *
 * DESCRIPTION
 *   Bytes that do not yet end with an empty line are held back, so that a stream which breaks in
 *   the middle of an event can go on from another endpoint with the event after the last whole one.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum
{
  DY_EVENT_ID_SIZE = 64,
};

typedef struct
{
  GString *partial;               /* bytes of an event that is not complete */
  char last_id[DY_EVENT_ID_SIZE]; /* of the latest whole event; empty: none */
  uint64_t n_events;
} DyEventStream;

void dy_event_stream_init (DyEventStream *stream);
void dy_event_stream_finish (DyEventStream *stream);

/* Takes N bytes and appends the events that became whole to OUT. */
void dy_event_stream_feed (DyEventStream *stream, const char *data, size_t n, GString *out);

/* Forgets the bytes of an event that did not become whole. */
void dy_event_stream_drop_partial (DyEventStream *stream);

/* Returns whether all bytes belong to whole events. */
bool dy_event_stream_at_boundary (const DyEventStream *stream);

#endif
