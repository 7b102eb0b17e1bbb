#ifndef TEST_SUPPORT_PLAY_LOAD_H
#define TEST_SUPPORT_PLAY_LOAD_H

/**
 * NAME
 *   play_load - reads the load files of the placement simulation (play.c)
 *
 * DESCRIPTION
 *   A load file has one statement a line, with words separated by single spaces; a line that starts
 *   with '#' is a comment. S is a time in whole seconds.
 *
 *   seed N | routers N | seconds N
 *     NAME NUMBER pairs, also several on a line. New requests arrive for that many seconds.
 *
 *   endpoints N slots N step_us N us_per_running N ns_per_prompt_token N
 *     Number and speed of the endpoints' engines, see support/engine.h.
 *
 *   chunk_tokens N ns_per_context_token N memory_tokens N
 *     The same; 0 where they are not stated.
 *   speeds N N ...
 *     Speeds of the endpoints in turn, as percentages; 100 where they are not stated.
 *   data_centres N
 *     Routers and endpoints are in so many data centres in turn; 1 unless stated.
 *   together_ms N
 *     Requests arrive together, at multiples of that time.
 *   report_delay_ms N
 *     Load reports reach the router that much later than the answer that carries them.
 *   states_slowness N
 *     1: load reports state how slow the endpoint is at the moment.
 *
 *   class NAME rate N shared N own N events N event_tokens N aim_ms N limit_ms N sessions N
 *     hot_percent N (on the same line)
 *     A class of requests, see PlayClass.
 *
 *   at S rate PERCENT for S
 *     Scales the arrival rate of all classes. The first S is the start, the second the duration.
 *   at S slow N for S
 *     The steps of the first N endpoints take four times as long.
 *   at S gone N for S
 *     The last N endpoints accept no connection; requests that are there already go on.
 *
 *   Of overlapping changes of one kind the first in the file applies.
 *
 *   expect POLICY.FIELD <=|>= POLICY.FIELD|NUMBER
 *     An expected outcome, see policy_names and outcome_fields in play.c.
 */

#include "support/engine.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum
{
  PLAY_MAX_ENDPOINTS = 256,
  PLAY_MAX_ROUTERS = 96,
  PLAY_MAX_SPEEDS = 16,
  PLAY_MAX_DATA_CENTRES = 8,
  PLAY_MAX_CLASSES = 8,
  PLAY_MAX_CHANGES = 32,
};

typedef struct
{
  char name[32];
  int64_t rate;         /* mean arrivals a second over all routers */
  int64_t shared;       /* prompt tokens that are the same for all requests of a session */
  int64_t own;          /* prompt tokens of the request alone */
  int64_t events;       /* events in an answer */
  int64_t event_tokens; /* tokens in an event */
  int64_t aim_ms;       /* target for the time to the first token */
  int64_t limit_ms;     /* time after which a request fails */
  int64_t sessions;     /* number of sessions that share the rest of the requests evenly */
  int64_t hot_percent;  /* share of the requests that belong to one further session */
} PlayClass;

typedef enum
{
  PLAY_CHANGE_RATE,
  PLAY_CHANGE_SLOW,
  PLAY_CHANGE_UNREACHABLE,
} PlayChangeKind;

typedef struct
{
  PlayChangeKind kind;
  int64_t from_us;
  int64_t to_us;
  int64_t value; /* percent of the rate, or number of endpoints */
} PlayChange;

typedef struct
{
  uint32_t seed;
  uint32_t n_routers;
  uint32_t n_endpoints;
  int64_t end_us; /* end of the arrivals */
  EngineSpeed speed;
  int64_t speeds[PLAY_MAX_SPEEDS]; /* percentages, of the endpoints in turn */
  uint32_t n_speeds;               /* 0: all as SPEED */
  uint32_t n_data_centres;
  int64_t together_us;     /* interval of arrivals; 0: at any time */
  int64_t report_delay_us; /* between an answer and the use of its load report */
  bool states_slowness;
  PlayClass classes[PLAY_MAX_CLASSES];
  uint32_t n_classes;
  PlayChange changes[PLAY_MAX_CHANGES];
  uint32_t n_changes;
  GPtrArray *expectations; /* of char *, the text after `expect` */
} PlayLoad;

/* Reads the file PATH. Returns false when it cannot be read, when a line has a syntax error (both
 * with a message on standard error), or when it names no class, routers, endpoints or slots. LOAD
 * is to be released with play_load_finish() in each case. */
bool play_load_init (PlayLoad *load, const char *path);
void play_load_finish (PlayLoad *load);

/* Returns whether TEXT is a decimal integer, which is stored in NUMBER. */
bool play_load_read_number (const char *text, int64_t *number);

#endif
