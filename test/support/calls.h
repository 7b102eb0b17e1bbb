#ifndef TEST_SUPPORT_CALLS_H
#define TEST_SUPPORT_CALLS_H

/* Single calls to the routers and stand-ins of a fleet. */

#include "support/fleet.h"

#define QADRI_AUTHORIZATION "Authorization: Bearer qadri-example-key"
#define CHAT_PATH "/v1/chat/completions"

/* Returns the body of a chat request, to be freed with free(). */
char *call_chat_body (const char *content, int max_tokens, bool stream);

/* Sends a request and returns its status; KIND gets the error kind, or "". */
unsigned call_send_body (Fleet *fleet, const FleetRequest *request, char kind[64]);

/* Sends a chat request for 20 tokens to ROUTER. */
unsigned call_send_chat (
    Fleet *fleet, uint32_t router, const char *const *headers, const char *content, char kind[64]);

/* Returns a number of an engine's statistics, or the runs that it counted under NAME. */
int64_t call_engine_stat (Fleet *fleet, const char *engine, const char *name);
int64_t call_engine_runs (Fleet *fleet, const char *engine, const char *name);
int64_t call_total_runs (Fleet *fleet, const char *name);

#endif
