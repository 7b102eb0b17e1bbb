#include "core/request_course.h"

#include "core/resend.h"
#include "kernel/error.h"

enum
{
  MIN_ATTEMPT_MS = 20, /* remaining time below which another attempt is not worthwhile */
};

typedef enum
{
  IGNORE,
  RESERVE,
  SEND,    /* nothing is counted */
  OPEN,    /* the attempt */
  BEGIN,   /* the stream */
  PASS_ON, /* the answer */
  RETRY_OR_PASS_ON,
  RETRY_RAN,   /* after an attempt that may have run */
  RETRY_UNRUN, /* after one that did not */
  REPLACE,     /* start another attempt, if it may be sent, that replaces the open one */
  ABANDON,     /* the open attempt, which the other one replaces */
  COUNT_RAN,   /* the other attempt */
  COUNT_UNRUN,
  SEND_ELSEWHERE, /* the open attempt was not sent */
  SEND_OR_PAUSE,
  DENY,
  NO_ENDPOINT,
  EXPIRE,
  DROP,
  STOP,
} Rule;

/* What may come in any state before the end. */
#define ANY_TIME                                                                                   \
  [DY_COURSE_DEADLINE] = EXPIRE, [DY_COURSE_CALLER_LEFT] = DROP, [DY_COURSE_STOP] = STOP

#define TO_WAIT [DY_COURSE_PAUSE_OVER] = SEND_OR_PAUSE, ANY_TIME

#define TO_BE_STARTED [DY_COURSE_STARTED] = OPEN, [DY_COURSE_NO_ENDPOINT] = NO_ENDPOINT, ANY_TIME

#define ATTEMPT_OPEN                                                                               \
  [DY_COURSE_ANSWERED] = PASS_ON, [DY_COURSE_BROKEN] = RETRY_RAN,                                  \
  [DY_COURSE_NOT_RUN] = RETRY_UNRUN, [DY_COURSE_NOT_SENT] = RETRY_UNRUN,                           \
  [DY_COURSE_ENDPOINT_LEFT] = SEND_ELSEWHERE, [DY_COURSE_SILENT] = REPLACE,                        \
  [DY_COURSE_REPLACED] = ABANDON, [DY_COURSE_OTHER_RAN] = COUNT_RAN,                               \
  [DY_COURSE_OTHER_UNRUN] = COUNT_UNRUN, ANY_TIME

static const Rule rules[DY_COURSE_N_STATES][DY_COURSE_N_EVENTS] = {
  [DY_COURSE_LOOKING_UP] = { [DY_COURSE_GRANTED] = RESERVE, [DY_COURSE_DENIED] = DENY, ANY_TIME },
  [DY_COURSE_RESERVING] = { [DY_COURSE_GRANTED] = SEND, [DY_COURSE_DENIED] = DENY, ANY_TIME },
  [DY_COURSE_PLACING] = { TO_BE_STARTED },
  [DY_COURSE_RESUMING] = { TO_BE_STARTED },
  [DY_COURSE_RUNNING] = { [DY_COURSE_DATA] = BEGIN,
                          [DY_COURSE_DECLINED] = PASS_ON,
                          [DY_COURSE_FAILED] = RETRY_OR_PASS_ON,
                          ATTEMPT_OPEN },
  [DY_COURSE_STREAMING]
  = { [DY_COURSE_DECLINED] = RETRY_RAN, [DY_COURSE_FAILED] = RETRY_RAN, ATTEMPT_OPEN },
  [DY_COURSE_PAUSING] = { TO_WAIT },
  [DY_COURSE_HALTING] = { TO_WAIT },
};

void
dy_course_init (DyCourse *course, bool looks_up, bool repeatable, uint32_t max_attempts)
{
  *course = (DyCourse){ .state = looks_up ? DY_COURSE_LOOKING_UP : DY_COURSE_RESERVING,
                        .repeatable = repeatable,
                        .max_attempts = max_attempts };
}

bool
dy_course_has_attempt (const DyCourse *course)
{
  return course->state == DY_COURSE_RUNNING || course->state == DY_COURSE_STREAMING;
}

bool
dy_course_ends (DyCourseAction action)
{
  return action >= DY_COURSE_PASS_ON;
}

static bool
is_begun (const DyCourse *course)
{
  return course->state == DY_COURSE_RESUMING || course->state == DY_COURSE_STREAMING
         || course->state == DY_COURSE_HALTING;
}

static DyCourseStep
wait_on (void)
{
  return (DyCourseStep){ .action = DY_COURSE_WAIT };
}

static DyCourseStep
end (DyCourse *course, DyCourseAction action)
{
  course->state = DY_COURSE_OVER;
  return (DyCourseStep){ .action = action };
}

static DyCourseStep
end_with_error (DyCourse *course, int error)
{
  DyCourseStep step = end (course, is_begun (course) ? DY_COURSE_ABORT : DY_COURSE_REFUSE);
  step.error = error;
  return step;
}

static DyCourseStep
send_again (DyCourse *course)
{
  course->state = is_begun (course) ? DY_COURSE_RESUMING : DY_COURSE_PLACING;
  return (DyCourseStep){ .action = DY_COURSE_SEND };
}

static DyCourseStep
pause_before_attempt (DyCourse *course)
{
  course->state = is_begun (course) ? DY_COURSE_HALTING : DY_COURSE_PAUSING;
  return (DyCourseStep){ .action = DY_COURSE_PAUSE };
}

/* Counts an attempt that ended; RAN is whether it may have run. */
static void
count_attempt (DyCourse *course, bool ran)
{
  if (ran)
    course->n_started++;
  else
    course->n_refused++;
  course->may_have_run = course->may_have_run || ran;
}

/* Returns whether the request is sent until its deadline. The caller of a begun stream can be given
 * no other answer any more. */
static bool
persists (const DyCourse *course)
{
  return course->persists || (course->has_deadline && is_begun (course));
}

static DyResendQuery
resend_query (const DyCourse *course, bool ran, const DyCourseSituation *situation)
{
  return (DyResendQuery){ .outcome = ran ? DY_ATTEMPT_BROKEN : DY_ATTEMPT_NOT_RUN,
                          .repeatable = course->repeatable,
                          .may_have_run = course->may_have_run,
                          .answer_seen = is_begun (course),
                          .persists = persists (course),
                          .n_started = course->n_started,
                          .n_refused = course->n_refused,
                          .max_attempts = situation->blocked ? 0 : course->max_attempts,
                          .within_budget = situation->within_budget,
                          .time_left_ms = situation->time_left_ms,
                          .time_needed_ms = MIN_ATTEMPT_MS };
}

/* Returns what core/resend decides for the attempts counted. */
static int
decide (const DyCourse *course, bool ran, const DyCourseSituation *situation)
{
  DyResendQuery query = resend_query (course, ran, situation);
  return dy_resend_decide (&query);
}

/* The open attempt is over and was counted; the other one, which was sent, takes its place. */
static DyCourseStep
switch_attempt (void)
{
  return (DyCourseStep){ .action = DY_COURSE_SWITCH };
}

static DyCourseStep
retry (DyCourse *course, bool ran, const DyCourseSituation *situation)
{
  count_attempt (course, ran);
  if (situation->other_sent)
    return switch_attempt ();
  int error = decide (course, ran, situation);
  if (error == DY_RESEND_LATER)
    return pause_before_attempt (course);
  return error ? end_with_error (course, error) : send_again (course);
}

static DyCourseStep
pass_on (DyCourse *course)
{
  count_attempt (course, true);
  return end (course, DY_COURSE_PASS_ON);
}

/* Another endpoint may not fail. The failure is passed on if the request cannot be sent there. */
static DyCourseStep
retry_or_pass_on (DyCourse *course, const DyCourseSituation *situation)
{
  count_attempt (course, true);
  if (situation->other_sent)
    return switch_attempt ();
  if (course->repeatable && decide (course, true, situation) == DY_OK)
    return send_again (course);
  return end (course, DY_COURSE_PASS_ON);
}

static DyCourseStep
replace (const DyCourse *course, const DyCourseSituation *situation)
{
  DyResendQuery query = resend_query (course, true, situation);
  query.persists = course->persists;
  bool replaces = dy_resend_replaces_silent (&query, situation->has_other);
  return (DyCourseStep){ .action = replaces ? DY_COURSE_REPLACE : DY_COURSE_WAIT };
}

static DyCourseStep
abandon (DyCourse *course, const DyCourseSituation *situation)
{
  count_attempt (course, situation->sent);
  course->persists = true;
  return (DyCourseStep){ .action = DY_COURSE_WAIT, .abandons = true };
}

static DyCourseStep
count_other (DyCourse *course, bool ran)
{
  count_attempt (course, ran);
  course->persists = true;
  return wait_on ();
}

/* Open attempts that are cut short may have run, too. */
static void
cut_short (DyCourse *course, const DyCourseSituation *situation)
{
  bool sent = situation->sent || situation->other_sent;
  course->may_have_run = course->may_have_run || (dy_course_has_attempt (course) && sent);
}

static DyCourseStep
expire (DyCourse *course, const DyCourseSituation *situation)
{
  int error = DY_NO_ENDPOINT;
  cut_short (course, situation);
  if (course->state == DY_COURSE_LOOKING_UP)
    error = DY_ORIGIN_UNKNOWN;
  else if (course->state == DY_COURSE_RESERVING)
    error = DY_BUDGET_UNAVAILABLE;
  else if (course->may_have_run)
    error = DY_TIMEOUT;
  bool abandons = dy_course_has_attempt (course);
  DyCourseStep step = end_with_error (course, error);
  step.abandons = abandons;
  return step;
}

static DyCourseStep
stop (DyCourse *course, const DyCourseSituation *situation)
{
  bool abandons = dy_course_has_attempt (course);
  cut_short (course, situation);
  DyCourseStep step
      = end_with_error (course, course->may_have_run ? DY_OUTCOME_UNKNOWN : DY_DRAINING);
  step.abandons = abandons;
  return step;
}

static DyCourseStep
drop (DyCourse *course, const DyCourseSituation *situation)
{
  bool abandons = dy_course_has_attempt (course);
  cut_short (course, situation);
  DyCourseStep step = end (course, DY_COURSE_DROP);
  step.abandons = abandons;
  return step;
}

static DyCourseStep
go_without_endpoint (DyCourse *course, const DyCourseSituation *situation)
{
  bool may_wait = persists (course) || (situation->has_place_soon && !is_begun (course));
  if (may_wait && !situation->evacuated)
    return pause_before_attempt (course);
  int error = course->may_have_run ? DY_OUTCOME_UNKNOWN : DY_NO_ENDPOINT;
  return end_with_error (course, is_begun (course) ? DY_STREAM_BROKEN : error);
}

/* What forbids another attempt for good may have come up in the pause. */
static DyCourseStep
send_or_pause (DyCourse *course, const DyCourseSituation *situation)
{
  if (situation->blocked)
    return end_with_error (course, decide (course, course->may_have_run, situation));
  if (!situation->within_budget && situation->waited_out)
    return go_without_endpoint (course, situation);
  if (!situation->within_budget || situation->time_left_ms <= MIN_ATTEMPT_MS)
    return pause_before_attempt (course);
  return send_again (course);
}

DyCourseStep
dy_course_step (DyCourse *course, DyCourseEvent event, const DyCourseSituation *situation)
{
  switch (rules[course->state][event])
    {
    case RESERVE:
      course->state = DY_COURSE_RESERVING;
      return (DyCourseStep){ .action = DY_COURSE_RESERVE };
    case SEND:
      return send_again (course);
    case OPEN:
      course->state = is_begun (course) ? DY_COURSE_STREAMING : DY_COURSE_RUNNING;
      return wait_on ();
    case BEGIN:
      course->state = DY_COURSE_STREAMING;
      return wait_on ();
    case PASS_ON:
      return pass_on (course);
    case RETRY_OR_PASS_ON:
      return retry_or_pass_on (course, situation);
    case RETRY_RAN:
      return retry (course, true, situation);
    case RETRY_UNRUN:
      return retry (course, false, situation);
    case REPLACE:
      return replace (course, situation);
    case ABANDON:
      return abandon (course, situation);
    case SEND_OR_PAUSE:
      return send_or_pause (course, situation);
    case COUNT_RAN:
      return count_other (course, true);
    case COUNT_UNRUN:
      return count_other (course, false);
    case SEND_ELSEWHERE:
      return situation->other_sent ? switch_attempt () : send_again (course);
    case DENY:
      return end_with_error (course, situation->error);
    case NO_ENDPOINT:
      return go_without_endpoint (course, situation);
    case EXPIRE:
      return expire (course, situation);
    case DROP:
      return drop (course, situation);
    case STOP:
      return stop (course, situation);
    case IGNORE:
      break;
    }
  return wait_on ();
}
