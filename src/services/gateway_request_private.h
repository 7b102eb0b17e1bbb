#ifndef DY_SERVICES_GATEWAY_REQUEST_PRIVATE_H
#define DY_SERVICES_GATEWAY_REQUEST_PRIVATE_H

/**
 * NAME
 *   gateway_request_private - declarations shared by the files of a routed request
 *
 * DESCRIPTION
 *   gateway_request.c  the request's events, answer and end
 *   gateway_send.c     the start of its attempts, and whether another one may follow
 */

#include "core/event_stream.h"
#include "core/request_course.h"
#include "services/gateway_attempt.h"
#include "services/gateway_plan.h"

typedef struct
{
  DyGateway *gateway;
  DyHttpCall *call; /* NULL once it is closed */
  DyGatewayPlan plan;
  DyCourse course;
  int64_t reserving_us; /* monotonic time at which the reservation was requested; 0: none was */
  int64_t event_us;     /* monotonic time at which the latest event was passed on */
  DyTicket *ticket;
  DyGatewayAttempt attempt;
  bool relayed;     /* another router makes the latest attempt */
  GPtrArray *tried; /* ids of the endpoints tried, NULL at the end */
  bool stream_started;
  char *version;          /* of the endpoint that began the stream; NULL: not begun */
  DyOriginLookup *lookup; /* of version, in progress; NULL: none */
  char *attempt_version;  /* of the endpoint of the latest attempt, when that was placed */
  DyEventStream events;
  GString *body;           /* of the answer; of a stream, the complete events not passed on yet */
  ev_timer deadline_timer; /* ends the request at its deadline */
  ev_timer read_timer;     /* abandons an attempt after the read timeout */
  ev_timer resend_timer;   /* sends the request again after a pause */
} DyGatewayRequest;

/* Starts an attempt, at an endpoint that this router chooses or through another router. Returns
 * false, with nothing started, if there is none. */
bool dy_gateway_send_attempt (DyGatewayRequest *request, const DyGatewayAttemptWatcher *watcher);

/* Records the endpoint that the attempt of the request CTX is about to be sent to. */
void dy_gateway_take_placement (void *ctx, const char *endpoint_id, const char *version);

/* Returns the read timeout: the milliseconds without data after which a repeatable request may be
 * sent to another endpoint; 0: no limit. */
int64_t dy_gateway_read_timeout_ms (const DyGatewayRequest *request);

/* Returns whether an attempt after EVENT counts as a resend. */
bool dy_gateway_may_resend_after (const DyGatewayRequest *request, DyCourseEvent event);

/* Returns what matters for EVENT, with the ERROR of one that denies the request. */
DyCourseSituation dy_gateway_situation (DyGatewayRequest *request, DyCourseEvent event, int error);

#endif
