#ifndef DY_SERVICES_DIALECT_H
#define DY_SERVICES_DIALECT_H

/**
 * NAME
 *   dialect - how routed requests, configuration and endpoint records are written
 *
 * DESCRIPTION
 *   One table of functions decodes texts and headers into the types below and encodes what is sent
 *   to endpoints. It decides nothing. The daemon registers it as the service "dialect".
 */

#include "core/endpoint_record.h"
#include "core/route_table.h"
#include "net/http_client.h"
#include "net/http_server.h"

#include <jansson.h>

#define DY_SERVICE_DIALECT "dialect"

enum
{
  DY_MAX_PROMPT_PARTS = 32,
};

typedef struct
{
  uint64_t hash; /* of the part's id */
  int64_t tokens;
} DyPromptPart;

/* What the headers of a caller's request say. Texts belong to the call. */
typedef struct
{
  const char *request_id; /* NULL: none */
  const char *host;
  char *key;               /* bearer key, belongs to this struct; NULL: none */
  const char *resume_from; /* id of the last event that the caller has; NULL: none */
  int64_t time_limit_ms;   /* that the caller waits; -1: not stated */
  int64_t prompt_tokens;   /* 0: not a model request */
  int64_t max_output_tokens;
  DyPromptPart parts[DY_MAX_PROMPT_PARTS]; /* of the prompt, in order */
  uint32_t n_parts;
} DyRequestHead;

/* What the router itself tells an endpoint. */
typedef struct
{
  const char *account;     /* NULL: none */
  const char *endpoint_id; /* that the request is meant for */
  const char *resume_from; /* NULL: from the start */
  int64_t time_left_ms;    /* -1: not limited */
  uint32_t priority;       /* 0 is the most urgent, 9 the least */
  bool has_priority;
} DyAttemptHead;

/* What the headers of an endpoint's answer say. Texts belong to the answer. */
typedef struct
{
  const char *request_id; /* NULL: none */
  bool sealed;            /* bears the endpoint's signature */
  bool not_run;           /* the endpoint says that it did not run the request */
  bool encoded;           /* the body is not the endpoint's own */
  bool closes;            /* the endpoint closes the connection */
  bool has_load;
  uint32_t n_running;
  uint32_t n_waiting;
  int64_t max_idle_s; /* for which the endpoint keeps an idle connection; 0: not stated */
} DyAnswerHead;

typedef struct
{
  const char *routes_key;       /* of the object that holds the route table */
  const char *routes_prefix;    /* of the keys to watch for it */
  const char *endpoints_prefix; /* of the endpoint records' keys */
  const char *ready_path;       /* at which readiness is asked for */

  /* Return DY_OK, or DY_PROTOCOL for a text that does not hold what it must. */
  int (*decode_routes) (const char *text, size_t n, DyRouteTable *table);
  /* DOCUMENT keeps the record's texts, to be dropped with json_decref(). */
  int (*decode_endpoint) (
      const char *id, const char *text, size_t n, DyEndpointRecord *record, json_t **document);

  void (*decode_request) (DyHttpCall *call, DyRequestHead *head);
  void (*decode_answer) (const DyHttpHeader *headers, uint32_t n, DyAnswerHead *head);
  /* Tell whether a header of a caller's request, or of an answer, is passed on. */
  bool (*forwards_to_endpoint) (const char *name);
  bool (*forwards_to_caller) (const char *name);
  /* Appends "Name: value" texts. */
  void (*encode_attempt) (const DyAttemptHead *head, GPtrArray *lines);
  /* Returns the text of a Retry-After header, to be freed with g_free(). */
  char *(*encode_retry_after) (int64_t wait_ms);
} DyDialect;

#endif
