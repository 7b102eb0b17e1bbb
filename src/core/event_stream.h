#ifndef DY_CORE_EVENT_STREAM_H
#define DY_CORE_EVENT_STREAM_H

/**
 * NAME
 *   event_stream - splits a stream of server-sent events into complete events
 *
 * DESCRIPTION
 *   An event is passed on, unchanged, once the empty line that ends it has arrived. When a stream
 *   breaks in the middle of an event, it can thus be resumed at another endpoint with the event
 *   after the last complete one, whose id is stored for this. Lines end with LF or CRLF.
 *
 *   The work is proportional to the bytes, in whatever pieces they come.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum
{
  DY_EVENT_ID_SIZE = 64, /* bytes, with the terminating 0; longer ids are ignored */
};

typedef struct
{
  GString *partial;               /* received bytes of an incomplete event */
  size_t line;                    /* offset in them of the line that is not complete */
  size_t searched;                /* bytes of them that were searched for its end */
  char last_id[DY_EVENT_ID_SIZE]; /* latest id field of a complete event; empty: none */
  uint64_t n_events;              /* complete events that are not empty */
} DyEventStream;

void dy_event_stream_init (DyEventStream *stream);
void dy_event_stream_finish (DyEventStream *stream);

/* Takes the next N bytes of the stream and appends the events that they complete to OUT. */
void dy_event_stream_feed (DyEventStream *stream, const char *data, size_t n, GString *out);

/* Discards the bytes of an incomplete event. */
void dy_event_stream_drop_partial (DyEventStream *stream);

/* Returns the number of bytes held of an incomplete event. */
size_t dy_event_stream_partial_bytes (const DyEventStream *stream);

/* Returns whether all bytes so far belong to complete events. */
bool dy_event_stream_at_boundary (const DyEventStream *stream);

#endif
