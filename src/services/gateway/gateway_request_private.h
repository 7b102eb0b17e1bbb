#ifndef DY_SERVICES_GATEWAY_GATEWAY_REQUEST_PRIVATE_H
#define DY_SERVICES_GATEWAY_GATEWAY_REQUEST_PRIVATE_H

/**
 * NAME
 *   gateway_request_private - declarations shared by the files of a routed request
 *
 * DESCRIPTION
 *   gateway_request.c  the request's events, answer and end
 *   gateway_admit.c    the origin of a resumed stream, and the reservation until it is settled
 *   gateway_origin.c   the version at which a stream begins
 *   gateway_send.c     the start of its attempts, and whether another one may follow
 *   gateway_replacement.c  the attempt beside a silent one, until one of the two is over
 */

#include "core/event_stream.h"
#include "core/request_course.h"
#include "services/gateway/gateway_attempt.h"
#include "services/gateway/gateway_plan.h"

typedef struct
{
  DyGateway *gateway;
  DyHttpCall *call; /* NULL once it is closed */
  DyGatewayPlan plan;
  DyCourse course;
  int64_t reserving_us; /* monotonic time at which the reservation was requested; 0: none was */
  int64_t event_us;     /* monotonic time at which the latest event was passed on */
  DyTicket *ticket;
  DyGatewayAttempt attempts[2];
  DyGatewayAttempt *attempt;   /* the latest one that was started or has replaced another one */
  bool replacing;              /* the other one is open, too, and may take its place */
  int64_t replacement_sent_us; /* monotonic time; 0: the other one is not open, or not sent */
  uint32_t n_sendings;         /* attempts that reached an endpoint, or still may */
  int64_t resend_us[2];        /* when each was recorded as a resend; 0: it was not */
  bool budget_denied;          /* a resend was not allowed by the resend budget */
  bool waits_for_room;         /* for a place at an endpoint; counted in the gateway */
  GPtrArray *tried;            /* ids of the endpoints tried, NULL at the end */
  bool stream_started;
  bool held;              /* the first event waits for dy_origins_may_begin() */
  char *version;          /* of the endpoint that began the stream; NULL: not begun */
  DyOriginLookup *lookup; /* of version, in progress; NULL: none */
  DyEventStream events;
  GString *body;           /* of the answer; of a stream, the complete events not passed on yet */
  ev_timer deadline_timer; /* ends the request at its deadline */
  ev_timer read_timer;     /* reports a silence of the endpoint after the read timeout */
  ev_timer accept_timer;   /* ends the time for which two attempts that were sent are open */
  ev_timer resend_timer;   /* sends the request again after a pause */
} DyGatewayRequest;

/* Takes EVENT, with the ERROR of one that denies the request, and does what follows it. */
void dy_gateway_take_event (DyGatewayRequest *request, DyCourseEvent event, int error);

/* Looks up the version that began the stream which the caller resumes. Reports GRANTED or DENIED,
 * possibly before it returns. */
void dy_gateway_look_up_origin (DyGatewayRequest *request);

/* Ends a lookup in progress, if there is one, without an event. */
void dy_gateway_cancel_lookup (DyGatewayRequest *request);

/* Reserves the tokens of a prepaid request. Reports GRANTED or DENIED, possibly before it returns.
 */
void dy_gateway_reserve (DyGatewayRequest *request);

/* Settles the tokens that may have been used, or releases the reservation if no attempt can have
 * run. COMPLETE is whether the answer was passed on. */
void dy_gateway_settle (DyGatewayRequest *request, bool complete);

/* Starts ATTEMPT, at an endpoint that this router chooses or through another router. Returns false,
 * with nothing started, if there is none. */
bool dy_gateway_send_attempt (DyGatewayRequest *request,
                              DyGatewayAttempt *attempt,
                              const DyGatewayAttemptWatcher *watcher);

/* Returns whether the request, for which no endpoint has a place, may wait for one. */
bool dy_gateway_may_wait_for_room (const DyGatewayRequest *request);

/* Records an endpoint that an attempt of the request CTX was placed at. */
void dy_gateway_take_placement (void *ctx, const char *endpoint_id);

/* Returns the only version at which the request may go on, or begin; NULL: any. */
const char *dy_gateway_required_version (const DyGatewayRequest *request);

/* Returns whether the first event of the attempt in use must not be passed on yet. */
bool dy_gateway_holds_first_event (DyGatewayRequest *request);

/* Records that the attempt in use begins the stream: its first event is about to be passed on. */
void dy_gateway_record_origin (const DyGatewayRequest *request);

/* Returns the event that the end of ATTEMPT is. */
DyCourseEvent dy_gateway_classify_end (const DyGatewayRequest *request,
                                       const DyGatewayAttempt *attempt,
                                       const DyGatewayAttemptResult *result);

/* Records what the end of ATTEMPT, which is EVENT, tells of crashes. */
void dy_gateway_record_end (const DyGatewayRequest *request,
                            const DyGatewayAttempt *attempt,
                            DyCourseEvent event,
                            const DyGatewayAttemptResult *result);

/* Makes ATTEMPT, which is open, the one in use. */
void dy_gateway_use_attempt (DyGatewayRequest *request, DyGatewayAttempt *attempt);

/* Reports the silence of the attempt in use once more, after a pause. */
void dy_gateway_report_silence_again (DyGatewayRequest *request);

void dy_gateway_init_replacement (DyGatewayRequest *request);

/* Starts an attempt beside the silent one, unless there is one already. It takes the silent one's
 * place, which is reported as REPLACED, once its endpoint has accepted the request. If that
 * endpoint turns the request away, the silent attempt stays in use. */
void dy_gateway_start_replacement (DyGatewayRequest *request);

/* Cancels the attempt beside the one in use, if there is one. */
void dy_gateway_end_replacement (DyGatewayRequest *request);

/* The same, unless it was sent and its endpoint may accept the request. */
void dy_gateway_end_refused_replacement (DyGatewayRequest *request);

/* Returns whether there is one that was sent. */
bool dy_gateway_replacement_was_sent (const DyGatewayRequest *request);

/* Makes the attempt beside the one in use, which has ended, the one in use. */
void dy_gateway_switch_attempt (DyGatewayRequest *request);

/* Takes ATTEMPT, which is over and reached no endpoint, back from the sendings. All of these but
 * one count as resends. */
void dy_gateway_return_sending (DyGatewayRequest *request, const DyGatewayAttempt *attempt);

/* Returns the read timeout: the milliseconds without data after which a repeatable request may be
 * sent to another endpoint; 0: no limit. */
int64_t dy_gateway_read_timeout_ms (const DyGatewayRequest *request);

/* Returns whether EVENT may be followed by an attempt that needs the resend budget. */
bool dy_gateway_may_resend_after (const DyGatewayRequest *request, DyCourseEvent event);

/* Returns what matters for EVENT, with the ERROR of one that denies the request. */
DyCourseSituation dy_gateway_situation (DyGatewayRequest *request, DyCourseEvent event, int error);

#endif
