#ifndef DY_SERVICES_DIALECT_H
#define DY_SERVICES_DIALECT_H

/**
 * NAME
 *   dialect - interface to the formats of a platform: headers, routes and endpoint records
 *
 * DESCRIPTION
 *   A DyDialect is a table of functions and object keys. The functions decode headers and stored
 *   texts into the types below and encode the headers that the router itself sets. They make no
 *   routing decisions. The daemon adds the table as the service "dialect".
 *
 * ERRORS
 *   DY_PROTOCOL  a stored text is malformed or lacks a required field
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
  uint64_t id;
  int64_t tokens; /* length of the part; 0: not stated */
} DyPromptPart;

/* The decoded headers of a caller's request. Texts belong to the call, except the key. */
typedef struct
{
  const char *request_id;    /* NULL: none */
  const char *host;          /* NULL: none */
  char *key;                 /* bearer key, to be freed with g_free(); NULL: none */
  const char *resume_from;   /* id of the last event that the caller received; NULL: none */
  const char *resumes_id;    /* id of the request that brought the first event; NULL: none */
  int64_t time_limit_ms;     /* time for which the caller waits; -1: not stated */
  int64_t prompt_tokens;     /* 0: not a model request */
  int64_t max_output_tokens; /* 0: not stated */
  DyPromptPart parts[DY_MAX_PROMPT_PARTS]; /* of the prompt, in order */
  uint32_t n_parts;
} DyRequestHead;

/* The headers that the router adds to a request to an endpoint. */
typedef struct
{
  const char *account;     /* NULL: none */
  const char *endpoint_id; /* of the endpoint that the request is meant for; NULL: not stated */
  const char *resume_from; /* id of the event after which a stream resumes; NULL: from the start */
  int64_t time_left_ms;    /* until the caller's time limit; -1: not limited */
  uint32_t priority;       /* 0 is the most urgent, 9 the least */
  bool has_priority;
} DyAttemptHead;

/* The decoded headers of an endpoint's answer. Texts belong to the answer. */
typedef struct
{
  const char *request_id; /* NULL: none */
  bool sealed;            /* has the endpoint's signature header; the signature is not verified */
  bool not_run;           /* the endpoint states that it did not run the request */
  bool encoded;           /* the body has a content coding and is not the endpoint's own */
  bool closes;            /* the endpoint closes the connection after the answer */
  bool has_load;          /* the endpoint's running and waiting requests are stated */
  uint32_t n_running;
  uint32_t n_waiting;
  /* How long work takes at the endpoint at this moment, as it shares its machine with others; 100:
   * as long as usual; 0: not stated. */
  uint32_t slowness_percent;
  /* Requests in a thousand seconds that the endpoint accepts from all routers; 0: not limited. */
  int64_t limit_per_1000_s;
  bool leaving; /* the endpoint states that it leaves */
  /* Time for which an endpoint that turns a request away wants no other from this router; 0: not
   * stated. */
  int64_t wait_ms;
  bool brittle; /* the endpoint states that it may fall over */
  /* Refusals in a second beyond which it does. */
  int64_t refusals_per_s;
  /* Name of a header field of these that cannot be read; its value counts as not stated. NULL:
   * none. */
  const char *unreadable;
  int64_t max_idle_s; /* time after which the endpoint closes an idle connection; 0: not stated */
  int64_t cold_ms;    /* how much longer the endpoint stays cold; -1: not stated */
} DyAnswerHead;

typedef struct
{
  const char *routes_key;       /* key of the object that holds the route table */
  const char *routes_prefix;    /* key prefix to watch for changes of that object */
  const char *endpoints_prefix; /* key prefix of the endpoint records */
  /* Key prefix of the evacuations, each named after its data centre. */
  const char *evacuations_prefix;
  const char *ready_path; /* path of the router's readiness check */

  /* Decode a text of N bytes. Return DY_OK, or DY_PROTOCOL with nothing to free. */
  int (*decode_routes) (const char *text, size_t n, DyRouteTable *table);
  /* The texts of RECORD belong to DOCUMENT, to be released with json_decref(), and to ID. */
  int (*decode_endpoint) (
      const char *id, const char *text, size_t n, DyEndpointRecord *record, json_t **document);

  void (*decode_request) (DyHttpCall *call, DyRequestHead *head);
  void (*decode_answer) (const DyHttpHeader *headers, uint32_t n, DyAnswerHead *head);
  /* Return whether a header of a caller's request is forwarded to the endpoint, and whether one of
   * an answer is forwarded to the caller. */
  bool (*forwards_to_endpoint) (const char *name);
  bool (*forwards_to_caller) (const char *name);
  /* Appends "Name: value" texts to LINES, to be freed with g_free(). */
  void (*encode_attempt) (const DyAttemptHead *head, GPtrArray *lines);
  /* Returns the value of a Retry-After header, to be freed with g_free(). */
  char *(*encode_retry_after) (int64_t wait_ms);
} DyDialect;

#endif
