#ifndef DY_KERNEL_COUNTERS_H
#define DY_KERNEL_COUNTERS_H

/**
 * NAME
 *   counters - metrics of the daemon and their output in the Prometheus text format
 *
 * DESCRIPTION
 *   Counters, gauges, and latency histograms with fixed buckets from one millisecond to ten
 *   seconds. GET /metrics at the operators' address returns all of them.
 */

#include <glib.h>
#include <stdint.h>

/* X (symbol, type, metric name, help text) */
#define DY_COUNTER_LIST(X)                                                                         \
  X (REQUESTS, counter, "dogwoodyoke_requests_total", "requests accepted from callers")            \
  X (REFUSED, counter, "dogwoodyoke_refused_total", "requests refused as not run")                 \
  X (REFUSED_BUDGET_SPENT, counter, "dogwoodyoke_refused_budget_spent_total",                      \
     "requests refused because the budget is spent")                                               \
  X (REFUSED_BUDGET_UNAVAILABLE, counter, "dogwoodyoke_refused_budget_unavailable_total",          \
     "requests refused because the budget could not be checked")                                   \
  X (ANSWERED, counter, "dogwoodyoke_answered_total", "requests answered in full")                 \
  X (CALLS_CUT, counter, "dogwoodyoke_calls_cut_total",                                            \
     "calls that ended without a complete answer")                                                 \
  X (CALLS_UNANSWERED, counter, "dogwoodyoke_calls_unanswered_total",                              \
     "requests that were read whole and ended without any answer")                                 \
  X (BROKEN, counter, "dogwoodyoke_broken_total", "answers that ended early")                      \
  X (CANCELLED, counter, "dogwoodyoke_cancelled_total", "requests cancelled by their callers")     \
  X (IN_FLIGHT, gauge, "dogwoodyoke_in_flight", "requests now in flight")                          \
  X (BILLED_TOKENS, counter, "dogwoodyoke_billed_tokens_total", "tokens settled by this entry")    \
  X (CAPPED_TOKENS, counter, "dogwoodyoke_capped_tokens_total",                                    \
     "tokens used beyond a reservation and not billed")                                            \
  X (ATTEMPTS, counter, "dogwoodyoke_attempts_total", "attempts sent to endpoints")                \
  X (RETRIES, counter, "dogwoodyoke_retries_total", "attempts repeated on another endpoint")       \
  X (ABANDONED, counter, "dogwoodyoke_abandoned_total", "attempts abandoned for their silence")    \
  X (PLATFORM_CALLS, counter, "dogwoodyoke_platform_calls_total",                                  \
     "calls to the platform, watches included")                                                    \
  X (PLATFORM_ERRORS, counter, "dogwoodyoke_platform_errors_total", "platform calls that failed")  \
  X (PLATFORM_HELD, counter, "dogwoodyoke_platform_held_total",                                    \
     "platform calls held back by the call limit")                                                 \
  X (LEDGER_WRITES, counter, "dogwoodyoke_ledger_writes_total", "ledger writes tried")             \
  X (LEDGER_CONFLICTS, counter, "dogwoodyoke_ledger_conflicts_total",                              \
     "ledger writes that met another version")                                                     \
  X (PEER_MESSAGES_OUT, counter, "dogwoodyoke_peer_messages_sent_total", "messages sent to peers") \
  X (PEER_BYTES_OUT, counter, "dogwoodyoke_peer_bytes_sent_total", "bytes sent to peers")          \
  X (PEER_MESSAGES_IN, counter, "dogwoodyoke_peer_messages_received_total",                        \
     "messages received from peers")                                                               \
  X (PEER_REJECTED, counter, "dogwoodyoke_peer_rejected_total", "peer connections rejected")       \
  X (STORE_ERA, gauge, "dogwoodyoke_store_era", "restores of the platform's store, as it states")  \
  X (STORE_RESTORES, counter, "dogwoodyoke_store_restores_total",                                  \
     "restores of the platform's store that this router has noticed")                              \
  X (MEMBERS, gauge, "dogwoodyoke_members", "members now heard from, this node included")          \
  X (POSSIBLE_MEMBERS, gauge, "dogwoodyoke_possible_members",                                      \
     "routers that may run, this node included")                                                   \
  X (RESEND_PARTS, gauge, "dogwoodyoke_resend_parts",                                              \
     "parts of the slack of the resend budget, of which this router may use one; 0: it has none")  \
  X (RESENDS_DENIED, counter, "dogwoodyoke_resends_denied_total",                                  \
     "requests that were not sent again at once for want of resend budget")                        \
  X (ENDPOINT_CRASHES, counter, "dogwoodyoke_endpoint_crashes_total",                              \
     "attempts whose connection broke before the answer was complete")                             \
  X (BLOCKED_PARTS, gauge, "dogwoodyoke_blocked_parts",                                            \
     "prompt parts that are blocked as they crash endpoints")                                      \
  X (BLOCKED_REQUESTS, gauge, "dogwoodyoke_blocked_requests",                                      \
     "requests that are blocked as they crash endpoints")                                          \
  X (LIMITED_ENDPOINTS, gauge, "dogwoodyoke_limited_endpoints", "endpoints that name a limit")     \
  X (LIMIT_SKIPS, counter, "dogwoodyoke_limit_skips_total",                                        \
     "requests that passed over an endpoint for its limit")                                        \
  X (COLD_ENDPOINTS, gauge, "dogwoodyoke_cold_endpoints", "endpoints that are cold")               \
  X (COLD_SKIPS, counter, "dogwoodyoke_cold_skips_total",                                          \
     "requests that passed over an endpoint as it is cold")                                        \
  X (COLD_WITHHELD, counter, "dogwoodyoke_cold_withheld_total",                                    \
     "requests not sent to the endpoint chosen for them as it had become cold")                    \
  X (BRITTLE, gauge, "dogwoodyoke_brittle_services", "services whose endpoints may fall over")     \
  X (ROOM_WAITS, counter, "dogwoodyoke_room_waits_total",                                          \
     "requests that waited for a place at an endpoint that may fall over")                         \
  X (RETURNS_SCHEDULED, counter, "dogwoodyoke_returns_scheduled_total",                            \
     "refusals for want of room whose Retry-After is when room is expected")                       \
  X (BUSIEST_PERCENT, gauge, "dogwoodyoke_busiest_endpoint_percent",                               \
     "load of the busiest endpoint by its latest report, of the mean of its service")              \
  X (SLOW_ENDPOINTS, gauge, "dogwoodyoke_slow_endpoints",                                          \
     "endpoints at which work takes twice the usual time or longer")                               \
  X (NOTICES, gauge, "dogwoodyoke_endpoint_notices",                                               \
     "endpoints that said something of themselves in answers")                                     \
  X (EVACUATED, gauge, "dogwoodyoke_evacuated_data_centres", "data centres that are evacuated")    \
  X (RESUMES, counter, "dogwoodyoke_resumes_total", "streams that callers resumed")                \
  X (RESUMES_REFUSED, counter, "dogwoodyoke_resumes_refused_total",                                \
     "resumed streams whose origin was not known")                                                 \
  X (ORIGIN_WRITES, counter, "dogwoodyoke_origin_writes_total",                                    \
     "writes of the origins of streams to the platform's store")                                   \
  X (WATCH_CHECKS, counter, "dogwoodyoke_watch_checks_total",                                      \
     "calls that checked whether a watch had missed changes")                                      \
  X (WATCHES_REPLACED, counter, "dogwoodyoke_watches_replaced_total",                              \
     "watches given up as a check had shown changes that they lacked")                             \
  X (CHANGES_TAKEN, counter, "dogwoodyoke_changes_taken_total",                                    \
     "changes of watched objects that another router passed on")                                   \
  X (CHANGES_ASKED, counter, "dogwoodyoke_changes_asked_total",                                    \
     "requests to other routers for changes that this one had missed")                             \
  X (CHANGES_ANSWERED, counter, "dogwoodyoke_changes_answered_total",                              \
     "replies to other routers that had missed changes")                                           \
  X (LATE, gauge, "dogwoodyoke_knowledge_late", "1: what this router knows is too old to act on")  \
  X (OUTDATED, gauge, "dogwoodyoke_routes_outdated",                                               \
     "1: this router acts on routes that it knows to be outdated")                                 \
  X (HELD, counter, "dogwoodyoke_held_total",                                                      \
     "requests that were not sent as what is known was too old")                                   \
  X (OUT_OF_REACH, gauge, "dogwoodyoke_out_of_reach",                                              \
     "1: this router does not reach the endpoints")                                                \
  X (RELAYS, counter, "dogwoodyoke_relays_total",                                                  \
     "attempts that other routers were asked to make")                                             \
  X (RELAYS_SERVED, counter, "dogwoodyoke_relays_served_total", "attempts made for other routers") \
  X (LOAD_STATE, gauge, "dogwoodyoke_load_state",                                                  \
     "load of this router beside the others: 0 normal, 1 shedding, 2 full")                        \
  X (LOAD_PRESSURE, gauge, "dogwoodyoke_load_pressure", "load in percent of what it can handle")   \
  X (LOAD_OUT, gauge, "dogwoodyoke_load_out", "1: this router is not ready for its load")          \
  X (LOAD_CLOSED, counter, "dogwoodyoke_load_closed_total",                                        \
     "answers that closed their connection for the load")                                          \
  X (LOAD_REFUSED, counter, "dogwoodyoke_load_refused_total",                                      \
     "requests refused as less urgent than others while this router was full")                     \
  X (LOAD_STATEMENTS, counter, "dogwoodyoke_load_statements_total",                                \
     "statements of the load to other routers")                                                    \
  X (CONFIG_VERSION, gauge, "dogwoodyoke_config_version", "highest platform version in force")     \
  X (DECLARATIONS_REJECTED, counter, "dogwoodyoke_declarations_rejected_total",                    \
     "declarations rejected as invalid")

typedef enum
{
#define DY_COUNTER_ENUM(symbol, ...) DY_COUNTER_##symbol,
  DY_COUNTER_LIST (DY_COUNTER_ENUM)
#undef DY_COUNTER_ENUM
      DY_N_COUNTERS
} DyCounter;

/* X (symbol, metric name, labels, help text). The rows of one metric must be adjacent; the help
 * text of the first one is used. */
#define DY_HISTOGRAM_LIST(X)                                                                       \
  X (ANSWER_IDEMPOTENT, "dogwoodyoke_answer_seconds", "kind=\"idempotent\"",                       \
     "time from a request's first byte to the end of its answer")                                  \
  X (ANSWER_ONCE, "dogwoodyoke_answer_seconds", "kind=\"at_most_once\"", "")                       \
  X (ANSWER_STREAM, "dogwoodyoke_answer_seconds", "kind=\"stream\"", "")                           \
  X (FIRST_EVENT, "dogwoodyoke_first_event_seconds", "",                                           \
     "time from a request's first byte to the first event of its stream")                          \
  X (EVENT_GAP, "dogwoodyoke_event_pause_seconds", "", "pause between parts of a stream")          \
  X (RESERVE, "dogwoodyoke_reserve_seconds", "", "wait for the reservation of a budget")           \
  X (PLATFORM_CALL, "dogwoodyoke_platform_call_seconds", "",                                       \
     "time of a platform call, watches excepted")                                                  \
  X (SEND, "dogwoodyoke_send_seconds", "",                                                         \
     "time from the choice of an endpoint to the sending of the request")                          \
  X (LOOP_TURN, "dogwoodyoke_loop_turn_seconds", "", "time of a turn of the event loop")

typedef enum
{
#define DY_HISTOGRAM_ENUM(symbol, ...) DY_HISTOGRAM_##symbol,
  DY_HISTOGRAM_LIST (DY_HISTOGRAM_ENUM)
#undef DY_HISTOGRAM_ENUM
      DY_N_HISTOGRAMS
} DyHistogram;

enum
{
  DY_HISTOGRAM_BUCKETS = 13, /* the last one has no upper bound */
};

typedef struct
{
  int64_t counts[DY_HISTOGRAM_BUCKETS]; /* events per bucket, not cumulative */
  int64_t sum_us;
} DyHistogramValues;

typedef struct
{
  int64_t values[DY_N_COUNTERS];
  DyHistogramValues histograms[DY_N_HISTOGRAMS];
} DyCounters;

static inline void
dy_counters_add (DyCounters *counters, DyCounter counter, int64_t n)
{
  counters->values[counter] += n;
}

static inline void
dy_counters_set (DyCounters *counters, DyCounter counter, int64_t value)
{
  counters->values[counter] = value;
}

/* Counts a request that was refused with ERROR; errors after which it may have run are ignored. */
void dy_counters_add_refusal (DyCounters *counters, int error);

/* Adds an observation of TIME_US microseconds to HISTOGRAM. */
void dy_counters_observe (DyCounters *counters, DyHistogram histogram, int64_t time_us);

const char *dy_histogram_name (DyHistogram histogram);

const char *dy_counter_name (DyCounter counter);

/* Appends all metrics to OUT in the Prometheus text format. */
void dy_counters_expose (const DyCounters *counters, GString *out);

#endif
