#ifndef DY_CORE_REQUEST_COURSE_H
#define DY_CORE_REQUEST_COURSE_H

/**
 * NAME
 *   request_course - what follows each event in the course of a routed request
 *
 * DESCRIPTION
 *   A request is looked up if its caller resumes a stream, reserved if it is prepaid, and sent in
 *   attempts, one at a time, until it ends. dy_course_step() takes each event and returns the
 *   action that follows, by a table with a rule for every state and event. An event that cannot
 *   matter in a state is ignored there.
 *
 *   Exactly one step returns one of the actions that end the request: its answer is passed on, an
 *   error takes the place of an answer, a begun stream is aborted, or the request is dropped. Every
 *   state but the last ends at the deadline, at the latest.
 *
 *   An attempt that ended without a complete answer is followed by another one if core/resend
 *   allows it. The same holds for a complete answer that is no success if the caller has received
 *   part of a stream, as that stream cannot end with another answer.
 *
 *   Silence of the endpoint never ends a request. Another attempt is started beside the open one
 *   if it may be sent, with the open one counted. The open one is abandoned once the other endpoint
 *   has accepted the request, and stays in use if that one turns it away. If the open one ends
 *   first, without an answer for the caller, the other one takes its place. After such an attempt
 *   the request is not ended because none may be sent now: it is sent again after a pause. The same
 *   holds for a begun stream with a deadline, whose caller can be given no other answer any more.
 *
 *   If all endpoints are evacuated, a request that needs another attempt ends at once.
 *
 *   A request that has not begun to be answered waits for a short time for a place at an endpoint
 *   that takes no more at a time than it has places for.
 *
 * ERRORS
 *   Those of core/resend, and those with which an event states that the request was denied.
 *   DY_ORIGIN_UNKNOWN      the time limit was reached before the stream's origin was known
 *   DY_BUDGET_UNAVAILABLE  it was reached before the tokens were reserved
 *   DY_DRAINING            the router stops, and the request did not run
 */

#include <stdbool.h>
#include <stdint.h>

typedef enum
{
  DY_COURSE_LOOKING_UP, /* the version that began the stream which the caller resumes */
  DY_COURSE_RESERVING,
  DY_COURSE_PLACING,   /* an attempt is to be started */
  DY_COURSE_RUNNING,   /* an attempt is open */
  DY_COURSE_RESUMING,  /* as PLACING, but the caller has received part of a stream */
  DY_COURSE_STREAMING, /* as RUNNING, but the caller has received part of a stream */
  DY_COURSE_PAUSING,   /* an attempt is to be started after a pause */
  DY_COURSE_HALTING,   /* as PAUSING, but the caller has received part of a stream */
  DY_COURSE_OVER,
  DY_COURSE_N_STATES
} DyCourseState;

typedef enum
{
  DY_COURSE_GRANTED,       /* the origin was found, or the tokens are reserved */
  DY_COURSE_DENIED,        /* neither is possible, or the request must not be sent */
  DY_COURSE_STARTED,       /* an attempt was started */
  DY_COURSE_NO_ENDPOINT,   /* no attempt could be started */
  DY_COURSE_DATA,          /* part of a stream was passed on */
  DY_COURSE_ANSWERED,      /* complete with a success */
  DY_COURSE_DECLINED,      /* complete with another status that is not the endpoint's failure */
  DY_COURSE_FAILED,        /* complete with the endpoint's failure */
  DY_COURSE_BROKEN,        /* no complete answer, and it may have run */
  DY_COURSE_NOT_RUN,       /* the endpoint reported that it did not run */
  DY_COURSE_NOT_SENT,      /* no byte reached the endpoint */
  DY_COURSE_ENDPOINT_LEFT, /* not sent, as the endpoint left after it was chosen */
  DY_COURSE_SILENT,        /* the open attempt brought nothing for the read timeout */
  DY_COURSE_REPLACED,      /* the other attempt takes the place of the open one */
  DY_COURSE_OTHER_RAN,     /* the other attempt is over, and it may have run */
  DY_COURSE_OTHER_UNRUN,   /* it is over and did not run */
  DY_COURSE_PAUSE_OVER,
  DY_COURSE_DEADLINE,
  DY_COURSE_CALLER_LEFT,
  DY_COURSE_STOP, /* the router stops */
  DY_COURSE_N_EVENTS
} DyCourseEvent;

typedef enum
{
  DY_COURSE_WAIT,
  DY_COURSE_RESERVE,
  DY_COURSE_SEND,    /* start an attempt; its result is STARTED or NO_ENDPOINT */
  DY_COURSE_REPLACE, /* start one beside the open one, which stays in use until REPLACED */
  DY_COURSE_SWITCH,  /* go on with the other attempt, as the open one is over */
  DY_COURSE_PAUSE,   /* report PAUSE_OVER after a while */
  /* These end the request: */
  DY_COURSE_PASS_ON, /* the complete answer */
  DY_COURSE_REFUSE,  /* answer with the error */
  DY_COURSE_ABORT,   /* close the begun stream visibly incomplete */
  DY_COURSE_DROP,    /* nobody waits for an answer */
} DyCourseAction;

typedef struct
{
  DyCourseState state;
  bool repeatable; /* idempotent, or a stream that can be resumed */
  bool may_have_run;
  bool has_deadline;
  bool persists; /* an attempt was abandoned for its silence, or one beside it turned away */
  uint32_t max_attempts; /* most attempts that may run */
  uint32_t n_started;    /* ended or abandoned attempts that may have run */
  uint32_t n_refused;    /* attempts that certainly did not run */
} DyCourse;

/* What holds when the event comes. */
typedef struct
{
  int error;            /* of DENIED */
  bool sent;            /* bytes of the open attempt may have reached the endpoint */
  bool other_sent;      /* the same of the other attempt, which was not turned away so far */
  bool within_budget;   /* the retry budget allows another attempt, if it needs any */
  bool blocked;         /* the request must not be sent again */
  bool has_other;       /* an endpoint that was not tried yet can take it now */
  bool has_place_soon;  /* of NO_ENDPOINT: one will have a place for it, for which it may wait */
  bool evacuated;       /* of NO_ENDPOINT: all endpoints are, for seconds at least */
  bool waited_out;      /* of PAUSE_OVER: it has waited for a place as long as it may */
  int64_t time_left_ms; /* until the request's deadline */
} DyCourseSituation;

typedef struct
{
  DyCourseAction action;
  int error;     /* of REFUSE and ABORT */
  bool abandons; /* the open attempt is to be cancelled before the action */
} DyCourseStep;

/* Sets COURSE to its first state; LOOKS_UP is whether the request resumes a stream. */
void dy_course_init (DyCourse *course, bool looks_up, bool repeatable, uint32_t max_attempts);

/* Takes EVENT into account and returns what is to be done. */
DyCourseStep
dy_course_step (DyCourse *course, DyCourseEvent event, const DyCourseSituation *situation);

/* Returns whether an attempt is open. */
bool dy_course_has_attempt (const DyCourse *course);

/* Returns whether ACTION ends the request. */
bool dy_course_ends (DyCourseAction action);

#endif
