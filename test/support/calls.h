#ifndef TEST_SUPPORT_CALLS_H
#define TEST_SUPPORT_CALLS_H

/**
 * NAME
 *   calls - single requests to the routers and fakes of a fleet
 */

#include "support/fleet.h"

/* Header of the account "qadri" of the example declarations. */
#define QADRI_AUTHORIZATION "Authorization: Bearer qadri-example-key"
#define CHAT_PATH "/v1/chat/completions"

/* Returns the body of a chat request, to be freed with free(). */
char *call_chat_body (const char *content, int max_tokens, bool stream);

/* Sends REQUEST and returns the HTTP status, 0 without a complete answer. KIND gets the error kind
 * of the answer, or "". */
unsigned call_send_body (Fleet *fleet, const FleetRequest *request, char kind[64]);

/* Sends a chat request for at most 20 tokens to router number ROUTER, not streamed; returns as
 * call_send_body() does. HEADERS end with NULL. */
unsigned call_send_chat (
    Fleet *fleet, uint32_t router, const char *const *headers, const char *content, char kind[64]);

/* Returns the integer NAME of /admin/stats of the engine at the address ENGINE, or 0. */
int64_t call_engine_stat (Fleet *fleet, const char *engine, const char *name);

/* Returns how often the engine at the address ENGINE, or all engines together, ran the request
 * NAME: the content of a chat request, or "METHOD PATH BODY" of a service call. */
int64_t call_engine_runs (Fleet *fleet, const char *engine, const char *name);
int64_t call_total_runs (Fleet *fleet, const char *name);

#endif
