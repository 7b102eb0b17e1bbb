#ifndef DY_KERNEL_LOG_H
#define DY_KERNEL_LOG_H

/**
 * NAME
 *   log - structured log events as text or JSON lines on standard output, through GLib logging
 *
 * DESCRIPTION
 *   Each event has a fixed number, level and name, which DY_EVENT_LIST below lists. The message
 *   consists of "field=value" pairs separated by blanks; in a JSON line each pair becomes a member.
 *
 *   Lines are collected in a bounded buffer and written only as far as standard output accepts them
 *   without blocking. Lines that exceed the rate limit, from which warnings are exempt, and lines
 *   that find the buffer full are dropped. Before the next line that is accepted, the event
 *   LINES_DROPPED reports their number.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* X (symbol, number, level, name) */
#define DY_EVENT_LIST(X)                                                                           \
  X (STARTED, 1001, MESSAGE, "daemon started")                                                     \
  X (READY, 1002, MESSAGE, "daemon ready")                                                         \
  X (DRAINING, 1003, MESSAGE, "drain started")                                                     \
  X (STOPPED, 1004, MESSAGE, "daemon stopped")                                                     \
  X (STATE_DUMP, 1005, MESSAGE, "state dump")                                                      \
  X (SERVICE_FAILED, 1006, WARNING, "service failed to start")                                     \
  X (SETTINGS_INVALID, 1007, WARNING, "settings invalid")                                          \
  X (SETTINGS_RELOADED, 1008, MESSAGE, "settings read again")                                      \
  X (LINES_DROPPED, 1009, WARNING, "log lines dropped")                                            \
  X (LOOP_DELAYED, 1010, WARNING, "event loop delayed")                                            \
  X (LOAD_CHANGED, 1011, MESSAGE, "load state changed")                                            \
  X (PLATFORM_DOWN, 2001, WARNING, "platform unreachable")                                         \
  X (PLATFORM_UP, 2002, MESSAGE, "platform reachable")                                             \
  X (PLATFORM_THROTTLED, 2003, WARNING, "platform calls held back")                                \
  X (PLATFORM_CALL_SLOW, 2004, INFO, "platform call failed or slow")                               \
  X (STORE_ERA, 2005, MESSAGE, "store states its era")                                             \
  X (STORE_RESTORED, 2006, WARNING, "store restored from an older copy")                           \
  X (WATCH_REPLACED, 2007, MESSAGE, "watch sent again")                                            \
  X (SPREAD_INVALID, 2008, WARNING, "changes from a peer rejected")                                \
  X (KNOWLEDGE_LATE, 2009, WARNING, "knowledge too old to act on")                                 \
  X (KNOWLEDGE_IN_TIME, 2010, MESSAGE, "knowledge may be acted on again")                          \
  X (CHANGES_ASKED, 2011, INFO, "changes asked for at a router")                                   \
  X (CHANGES_ANSWERED, 2012, INFO, "router answered that lacks changes")                           \
  X (CHANGES_APPLIED, 2013, MESSAGE, "changes of a router in force")                               \
  X (ROUTES_OUTDATED, 2014, WARNING, "outdated routes acted on")                                   \
  X (DECLARATION_APPLIED, 3001, MESSAGE, "declaration in force")                                   \
  X (DECLARATION_REJECTED, 3002, WARNING, "declaration rejected")                                  \
  X (PEER_UP, 4001, MESSAGE, "peer connected")                                                     \
  X (PEER_DOWN, 4002, WARNING, "peer lost")                                                        \
  X (PEER_REJECTED, 4003, WARNING, "peer rejected")                                                \
  X (REGISTERED, 4004, MESSAGE, "own record written")                                              \
  X (HISTORY_GONE, 4005, WARNING, "watch history gone")                                            \
  X (PEER_MESSAGE_TOO_LARGE, 4006, WARNING, "message to a peer too large")                         \
  X (LOAD_UNREADABLE, 4007, WARNING, "load of a peer unreadable")                                  \
  X (LEDGER_CONFLICT, 5001, INFO, "ledger write conflict")                                         \
  X (LEDGER_INVALID, 5002, WARNING, "ledger entry invalid")                                        \
  X (SETTLE_FAILED, 5003, WARNING, "settlement not acknowledged")                                  \
  X (LEDGER_READ, 5004, INFO, "ledger entry read")                                                 \
  X (LEDGER_WRITTEN, 5005, INFO, "ledger entry to be written")                                     \
  X (RESERVATION_REFUSED, 5006, INFO, "reservation refused")                                       \
  X (RESTORE_COMPLETE, 5007, MESSAGE, "grants are written again after a restore")                  \
  X (ROW_RECOVERED, 5008, MESSAGE, "row of a dead holder recovered")                               \
  X (ENDPOINT_FAILED, 6001, WARNING, "endpoint attempt failed")                                    \
  X (ENDPOINT_OPEN, 6002, WARNING, "endpoint breaker opened")                                      \
  X (ENDPOINT_CLOSED, 6003, MESSAGE, "endpoint breaker closed")                                    \
  X (ENDPOINT_LISTED, 6004, MESSAGE, "endpoint listed")                                            \
  X (ENDPOINT_REMOVED, 6005, MESSAGE, "endpoint removed")                                          \
  X (ENDPOINT_REJECTED, 6006, WARNING, "endpoint record unreadable")                               \
  X (ENDPOINT_CRASHED, 6007, INFO, "endpoint crashed under request")                               \
  X (PART_BLOCKED, 6008, WARNING, "prompt part blocked")                                           \
  X (PART_RELEASED, 6009, WARNING, "prompt part released")                                         \
  X (LIMIT_NAMED, 6010, INFO, "answer names a limit")                                              \
  X (LIMIT_KNOWN, 6011, MESSAGE, "endpoint limit in force")                                        \
  X (LIMIT_ENDED, 6012, MESSAGE, "endpoint limit ended")                                           \
  X (ENDPOINT_HELD, 6013, MESSAGE, "record of an endpoint that left is held back")                 \
  X (VERSION_SEEN, 6014, MESSAGE, "software version of a service seen")                            \
  X (LINK_FAILED, 6015, INFO, "broken connection not counted as a crash")                          \
  X (OUT_OF_REACH, 6016, WARNING, "endpoints out of reach")                                        \
  X (REACHES_AGAIN, 6017, MESSAGE, "endpoints reached again")                                      \
  X (REACH_FAILED, 6018, INFO, "new connection to endpoint failed")                                \
  X (NOTICE_KNOWN, 6019, MESSAGE, "endpoint says something of itself")                             \
  X (NOTICE_ENDED, 6020, MESSAGE, "notice of an endpoint ended")                                   \
  X (NOTICE_UNREADABLE, 6021, WARNING, "notice of an endpoint unreadable")                         \
  X (SERVICE_BRITTLE, 6022, MESSAGE, "endpoints of a service may fall over")                       \
  X (SERVICE_BRITTLE_ENDED, 6023, MESSAGE, "endpoints of a service may no longer fall over")       \
  X (EVACUATED, 6024, MESSAGE, "data centre evacuated")                                            \
  X (EVACUATION_ENDED, 6025, MESSAGE, "evacuation of a data centre ended")                         \
  X (EVACUATION_UNKNOWN, 6026, WARNING, "evacuation of an unknown data centre")                    \
  X (CRASHING_REQUEST_BLOCKED, 6027, WARNING, "request blocked")                                   \
  X (CRASHING_REQUEST_RELEASED, 6028, WARNING, "request released")                                 \
  X (ENDPOINT_COLD, 6030, MESSAGE, "endpoint cold")                                                \
  X (ENDPOINT_WARM, 6031, MESSAGE, "endpoint warm")                                                \
  X (COLD_TIME_INVALID, 6032, WARNING, "cold time invalid")                                        \
  X (VERSIONS_DECLARED, 6033, MESSAGE, "service declared mixed")                                   \
  X (REQUEST_REFUSED, 7001, INFO, "request refused")                                               \
  X (REQUEST_CANCELLED, 7002, INFO, "request cancelled by caller")                                 \
  X (REQUEST_PLACED, 7003, INFO, "request sent to endpoint")                                       \
  X (REQUEST_ENDED, 7004, INFO, "request ended")                                                   \
  X (ATTEMPT_ABANDONED, 7005, INFO, "silent attempt abandoned")                                    \
  X (REQUEST_RESERVING, 7006, INFO, "reservation asked for")                                       \
  X (REQUEST_BLOCKED, 7007, INFO, "request has a blocked part")                                    \
  X (REQUEST_TRIED, 7008, WARNING, "request with a blocked part let through")                      \
  X (LIMIT_APPLIED, 7009, INFO, "endpoint passed over for its limit")                              \
  X (ORIGIN_FOUND, 7010, INFO, "origin of a resumed stream looked up")                             \
  X (REQUEST_RELAYED, 7011, INFO, "request relayed")                                               \
  X (RELAY_PLACED, 7012, INFO, "relayed request sent to endpoint")                                 \
  X (REPLACEMENT_REFUSED, 7013, INFO, "attempt beside a silent one turned away")                   \
  X (RELAY_LOST, 7014, INFO, "relay ended with its connection")                                    \
  X (RELAY_CANCELLED, 7015, INFO, "relayed attempt cancelled")                                     \
  X (RELAY_REFUSED, 7016, INFO, "relay refused")                                                   \
  X (REQUEST_HELD, 7017, INFO, "request not sent by old knowledge")                                \
  X (RESEND_DENIED, 7018, INFO, "resend not allowed by the resend budget")                         \
  X (ENDPOINTS_EVACUATED, 7019, INFO, "endpoints passed over for an evacuation")                   \
  X (CRASHING_REQUEST_REFUSED, 7020, INFO, "request refused as it crashes endpoints")              \
  X (CRASHING_REQUEST_TRIED, 7021, WARNING, "request that crashed endpoints let through")          \
  X (FIRST_EVENT_HELD, 7022, INFO, "first event waits for a declaration")                          \
  X (COLD_SHARE_APPLIED, 7030, INFO, "endpoint passed over as it is cold")                         \
  X (CALL_CUT, 8001, INFO, "call ended without a complete answer")                                 \
  X (ANSWER_DISCARDED, 8002, WARNING, "second answer to a call discarded")                         \
  X (ANSWER_HEAD_TOO_LARGE, 8003, WARNING, "head of an answer too large")                          \
  X (UNREAD_CLOSED, 8004, WARNING, "connection closed with unread bytes")                          \
  X (CONNECTIONS_LEFT, 8005, MESSAGE, "server stopped with open connections")                      \
  X (CONNECTION_REJECTED, 8006, WARNING, "connection not taken as the server stops")

typedef enum
{
#define DY_EVENT_ENUM(symbol, number, level, name) DY_EVENT_##symbol,
  DY_EVENT_LIST (DY_EVENT_ENUM)
#undef DY_EVENT_ENUM
      DY_N_EVENTS
} DyEvent;

typedef struct
{
  uint32_t number;
  GLogLevelFlags level;
  const char *name;
} DyEventInfo;

const DyEventInfo *dy_event_info (DyEvent event);

/* Installs the log writer. JSON selects JSON lines; events less severe than LEVEL are not logged;
 * LINES_PER_S is the rate limit. */
void dy_log_init (bool json, GLogLevelFlags level, int64_t lines_per_s);

/* Writes as many buffered lines as standard output accepts without blocking. To be called
 * regularly. */
void dy_log_flush (void);

/* Flushes once and discards the remaining lines. */
void dy_log_finish (void);

/* Logs EVENT with a printf-style message of "field=value" pairs. */
void dy_log (DyEvent event, const char *format, ...) G_GNUC_PRINTF (2, 3);

#endif
