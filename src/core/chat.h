#ifndef DY_CORE_CHAT_H
#define DY_CORE_CHAT_H

/**
 * NAME
 *   chat - validates a chat-completions request and bounds the tokens that it may use
 *
 * DESCRIPTION
 *   The worst case is the bound on the prompt's tokens plus max_tokens for each of the n choices. A
 *   token covers at least one byte of text, so the prompt has at most as many tokens as bytes, plus
 *   a few that the engine's chat template adds to each message.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct
{
  char *model;
  int64_t max_tokens;   /* for each choice */
  int64_t n_choices;    /* "n" of the request: answers to generate */
  int64_t prompt_bytes; /* text of messages and tools */
  int64_t worst_case_tokens;
  bool stream;
  bool include_usage; /* the caller asked for the usage event of a stream */
  char *body; /* JSON for the engine: without the caller's priority, asking for the usage event */
} DyChatRequest;

/* Parses BODY, N bytes of JSON. Returns DY_OK, or DY_BAD_JSON, DY_MISSING_MAX_TOKENS or
 * DY_BAD_REQUEST with a static text in DETAIL that says what is wrong. dy_chat_request_finish() is
 * to be called only after DY_OK. */
int dy_chat_request_init (DyChatRequest *request, const char *body, size_t n, const char **detail);
void dy_chat_request_finish (DyChatRequest *request);

/* Adds a scheduling priority for the engine to the body; a lower number runs sooner. To be called
 * at most once. */
void dy_chat_request_set_priority (DyChatRequest *request, int64_t priority);

/* Returns the tokens to charge when the engine reported no usage: an estimate for the prompt plus
 * one for each of the N_PARTS events of the answer, at most the worst case. */
int64_t dy_chat_request_estimate_tokens (const DyChatRequest *request, int64_t n_parts);

#endif
