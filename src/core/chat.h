#ifndef DY_CORE_CHAT_H
#define DY_CORE_CHAT_H

/**
 * NAME
 *   chat - a caller's chat-completions request, checked, and its worst case in tokens
 *
 * DESCRIPTION
 *   The worst case is the prompt bound plus max_tokens for each of the n answers. A token covers at
 *   least one byte of text, so the prompt has at most as many tokens as bytes, plus a few for each
 *   message that the engine's chat template adds.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct
{
  char *model;
  int64_t max_tokens; /* of one answer */
  int64_t n_choices;
  int64_t prompt_bytes;
  int64_t worst_case_tokens;
  bool stream;
  bool include_usage; /* the caller wants the usage part of a stream */
  char *body;         /* to be sent to the engine: the caller's, with usage reports asked for */
} DyChatRequest;

/* Parses BODY. Returns DY_OK; DY_BAD_JSON, DY_MISSING_MAX_TOKENS or DY_BAD_REQUEST with a static
 * text in DETAIL that names the member. Only after DY_OK is there something to finish. */
int dy_chat_request_init (DyChatRequest *request, const char *body, size_t n, const char **detail);
void dy_chat_request_finish (DyChatRequest *request);

/* Sets the engine priority of the request, lower is sooner. */
void dy_chat_request_set_priority (DyChatRequest *request, int64_t priority);

/* Returns the tokens to charge when the engine reported no usage: the parts sent and an estimate
 * of the prompt, never more than the worst case. */
int64_t dy_chat_request_estimate_tokens (const DyChatRequest *request, int64_t n_parts);

#endif
