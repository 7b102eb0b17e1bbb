#ifndef DY_CORE_ANSWER_STREAM_H
#define DY_CORE_ANSWER_STREAM_H

/**
 * NAME
 *   answer_stream - splits an engine's streamed answer into events and holds back its end
 *
 * DESCRIPTION
 *   The answer to a chat-completions request arrives as server-sent events. They are passed on as
 *   they arrive, up to the first one that ends the answer: one with a finish_reason, a usage report
 *   or [DONE]. This event and all later ones are collected in `held`; the user of this module sends
 *   them once the request is settled. Events that do not begin with "data:" are dropped.
 *
 * ERRORS
 *   When an event or the held events exceed 1 MiB, `malformed` is set and further input is ignored.
 */

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct
{
  GString *event;       /* received bytes of an incomplete event */
  GString *held;        /* events to be sent after settlement */
  bool holding;         /* an event that ends the answer has arrived */
  bool complete;        /* [DONE] has arrived */
  bool relay_usage;     /* pass on an event that only reports the usage */
  bool malformed;       /* too long */
  int64_t n_parts;      /* events with a part of the answer */
  int64_t usage_tokens; /* prompt and completion; -1: not reported */
} DyAnswerStream;

/* RELAY_USAGE: the caller asked for the event that reports the usage. */
void dy_answer_stream_init (DyAnswerStream *stream, bool relay_usage);
void dy_answer_stream_finish (DyAnswerStream *stream);

/* Takes the next N bytes of the engine's answer and appends the events to be sent now to OUT. */
void dy_answer_stream_feed (DyAnswerStream *stream, const char *data, size_t n, GString *out);

/* Returns the sum of the prompt and completion tokens in the "usage" member of BODY, N bytes
 * of JSON, or -1 if there is none. */
int64_t dy_answer_usage_tokens (const char *body, size_t n);

#endif
