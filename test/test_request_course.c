/* The course of a request: each state with each event, and random sequences of events. */

#include "core/request_course.h"
#include "kernel/error.h"
#include "support/suite.h"

#include <glib.h>
#include <string.h>

/* A cell has the action and the next state:
 * w wait, r reserve, s send, x replace, y switch, z pause, p pass on, e refuse with an error, a
 * abort, d drop; L looking up, V reserving, P placing, R running, Q resuming, S streaming, Z
 * pausing, H halting, O over. The columns are the events in their order: granted, denied, started,
 * no endpoint; data, answered, declined, failed; broken, not run, not sent, endpoint left; silent,
 * replaced, other ran, other unrun; pause over, deadline, caller left, stop. */
static const char action_letters[] = "wrsxyzpead";
static const char state_letters[] = "LVPRQSZHO";

static const struct
{
  const char *name;
  bool may_resend;
  bool other_sent;
  const char *rows[DY_COURSE_N_STATES];
} tables[] = {
  { "another attempt is allowed",
    true,
    false,
    { "rV eO wL wL  wL wL wL wL  wL wL wL wL  wL wL wL wL  wL eO dO eO",
      "sP eO wV wV  wV wV wV wV  wV wV wV wV  wV wV wV wV  wV eO dO eO",
      "wP wP wR eO  wP wP wP wP  wP wP wP wP  wP wP wP wP  wP eO dO eO",
      "wR wR wR wR  wS pO pO sP  sP sP sP sP  xR wR wR wR  wR eO dO eO",
      "wQ wQ wS zH  wQ wQ wQ wQ  wQ wQ wQ wQ  wQ wQ wQ wQ  wQ aO dO aO",
      "wS wS wS wS  wS pO sQ sQ  sQ sQ sQ sQ  xS wS wS wS  wS aO dO aO",
      "wZ wZ wZ wZ  wZ wZ wZ wZ  wZ wZ wZ wZ  wZ wZ wZ wZ  sP eO dO eO",
      "wH wH wH wH  wH wH wH wH  wH wH wH wH  wH wH wH wH  sQ aO dO aO",
      "wO wO wO wO  wO wO wO wO  wO wO wO wO  wO wO wO wO  wO wO wO wO" } },
  { "no other attempt is allowed",
    false,
    false,
    { "rV eO wL wL  wL wL wL wL  wL wL wL wL  wL wL wL wL  wL eO dO eO",
      "sP eO wV wV  wV wV wV wV  wV wV wV wV  wV wV wV wV  wV eO dO eO",
      "wP wP wR eO  wP wP wP wP  wP wP wP wP  wP wP wP wP  wP eO dO eO",
      "wR wR wR wR  wS pO pO pO  eO eO eO sP  wR wR wR wR  wR eO dO eO",
      "wQ wQ wS zH  wQ wQ wQ wQ  wQ wQ wQ wQ  wQ wQ wQ wQ  wQ aO dO aO",
      "wS wS wS wS  wS pO zH zH  zH zH zH sQ  wS wS wS wS  wS aO dO aO",
      "wZ wZ wZ wZ  wZ wZ wZ wZ  wZ wZ wZ wZ  wZ wZ wZ wZ  zZ eO dO eO",
      "wH wH wH wH  wH wH wH wH  wH wH wH wH  wH wH wH wH  zH aO dO aO",
      "wO wO wO wO  wO wO wO wO  wO wO wO wO  wO wO wO wO  wO wO wO wO" } },
  { "another attempt is open and was sent",
    false,
    true,
    { "rV eO wL wL  wL wL wL wL  wL wL wL wL  wL wL wL wL  wL eO dO eO",
      "sP eO wV wV  wV wV wV wV  wV wV wV wV  wV wV wV wV  wV eO dO eO",
      "wP wP wR eO  wP wP wP wP  wP wP wP wP  wP wP wP wP  wP eO dO eO",
      "wR wR wR wR  wS pO pO yR  yR yR yR yR  wR wR wR wR  wR eO dO eO",
      "wQ wQ wS zH  wQ wQ wQ wQ  wQ wQ wQ wQ  wQ wQ wQ wQ  wQ aO dO aO",
      "wS wS wS wS  wS pO yS yS  yS yS yS yS  wS wS wS wS  wS aO dO aO",
      "wZ wZ wZ wZ  wZ wZ wZ wZ  wZ wZ wZ wZ  wZ wZ wZ wZ  zZ eO dO eO",
      "wH wH wH wH  wH wH wH wH  wH wH wH wH  wH wH wH wH  zH aO dO aO",
      "wO wO wO wO  wO wO wO wO  wO wO wO wO  wO wO wO wO  wO wO wO wO" } },
};

static const DyCourseSituation all_allowed = { .error = DY_SUSPENDED,
                                               .sent = true,
                                               .within_budget = true,
                                               .has_other = true,
                                               .time_left_ms = 1000 };

static DyCourse
course_in (DyCourseState state)
{
  bool begun
      = state == DY_COURSE_RESUMING || state == DY_COURSE_STREAMING || state == DY_COURSE_HALTING;
  return (DyCourse){ .state = state,
                     .repeatable = true,
                     .has_deadline = true,
                     .may_have_run = begun,
                     .max_attempts = 3,
                     .n_started = begun ? 1 : 0 };
}

/* Returns the cell of EVENT in ROW, whose cells are separated by spaces. */
static const char *
cell (const char *row, int event)
{
  for (row += strspn (row, " "); event > 0; event--)
    {
      row += strcspn (row, " ");
      row += strspn (row, " ");
    }
  return row;
}

START_TEST (each_event_in_each_state_has_its_action)
{
  for (int state = 0; state < DY_COURSE_N_STATES; state++)
    for (int event = 0; event < DY_COURSE_N_EVENTS; event++)
      {
        const char *expected = cell (tables[_i].rows[state], event);
        DyCourse course = course_in ((DyCourseState) state);
        DyCourseSituation situation = all_allowed;
        situation.within_budget = tables[_i].may_resend;
        situation.other_sent = tables[_i].other_sent;
        bool had_attempt = dy_course_has_attempt (&course);
        DyCourseStep step = dy_course_step (&course, (DyCourseEvent) event, &situation);
        ck_assert_msg (action_letters[step.action] == expected[0]
                           && state_letters[course.state] == expected[1],
                       "%s: state %c, event %d: %c%c, expected %.2s", tables[_i].name,
                       state_letters[state], event, action_letters[step.action],
                       state_letters[course.state], expected);
        bool has_error = step.action == DY_COURSE_REFUSE || step.action == DY_COURSE_ABORT;
        ck_assert_msg (has_error == (step.error != DY_OK), "state %d, event %d", state, event);
        bool cuts = event == DY_COURSE_REPLACED || dy_course_ends (step.action);
        cuts = cuts && event >= DY_COURSE_SILENT;
        ck_assert_msg (step.abandons == (had_attempt && cuts), "state %d, event %d", state, event);
      }
}
END_TEST

static const struct
{
  const char *name;
  DyCourseState state;
  DyCourseEvent event;
  bool may_have_run; /* by an earlier attempt */
  bool sent;         /* the open attempt */
  int error;
  bool other_sent;
} error_cases[] = {
  { "denied", DY_COURSE_RESERVING, DY_COURSE_DENIED, false, false, DY_SUSPENDED, false },
  { "late, origin", DY_COURSE_LOOKING_UP, DY_COURSE_DEADLINE, false, false, DY_ORIGIN_UNKNOWN,
    false },
  { "late, budget", DY_COURSE_RESERVING, DY_COURSE_DEADLINE, false, false, DY_BUDGET_UNAVAILABLE,
    false },
  { "late, not sent", DY_COURSE_RUNNING, DY_COURSE_DEADLINE, false, false, DY_NO_ENDPOINT, false },
  { "late, sent", DY_COURSE_RUNNING, DY_COURSE_DEADLINE, false, true, DY_TIMEOUT, false },
  { "late, sent before", DY_COURSE_RUNNING, DY_COURSE_DEADLINE, true, false, DY_TIMEOUT, false },
  { "late, streaming", DY_COURSE_STREAMING, DY_COURSE_DEADLINE, true, true, DY_TIMEOUT, false },
  { "stop, not sent", DY_COURSE_RUNNING, DY_COURSE_STOP, false, false, DY_DRAINING, false },
  { "stop, sent", DY_COURSE_RUNNING, DY_COURSE_STOP, false, true, DY_OUTCOME_UNKNOWN, false },
  { "stop, streaming", DY_COURSE_STREAMING, DY_COURSE_STOP, true, true, DY_OUTCOME_UNKNOWN, false },
  { "no endpoint", DY_COURSE_PLACING, DY_COURSE_NO_ENDPOINT, false, false, DY_NO_ENDPOINT, false },
  { "none after one", DY_COURSE_PLACING, DY_COURSE_NO_ENDPOINT, true, false, DY_OUTCOME_UNKNOWN,
    false },
  { "none to resume until the deadline", DY_COURSE_HALTING, DY_COURSE_DEADLINE, true, false,
    DY_TIMEOUT, false },
  { "broken", DY_COURSE_RUNNING, DY_COURSE_BROKEN, false, true, DY_OUTCOME_UNKNOWN, false },
  { "not run", DY_COURSE_RUNNING, DY_COURSE_NOT_RUN, false, true, DY_NO_ENDPOINT, false },
  { "not run after one", DY_COURSE_RUNNING, DY_COURSE_NOT_RUN, true, true, DY_OUTCOME_UNKNOWN,
    false },
  { "stream broken", DY_COURSE_STREAMING, DY_COURSE_BROKEN, true, true, DY_STREAM_BROKEN, false },
  { "stream failed", DY_COURSE_STREAMING, DY_COURSE_FAILED, true, true, DY_STREAM_BROKEN, false },
  { "late, only the other sent", DY_COURSE_RUNNING, DY_COURSE_DEADLINE, false, false, DY_TIMEOUT,
    true },
  { "stop, only the other sent", DY_COURSE_RUNNING, DY_COURSE_STOP, false, false,
    DY_OUTCOME_UNKNOWN, true },
};

START_TEST (error_tells_what_may_have_run)
{
  DyCourse course = course_in (error_cases[_i].state);
  DyCourseSituation situation = all_allowed;
  situation.within_budget = false;
  situation.sent = error_cases[_i].sent;
  situation.other_sent = error_cases[_i].other_sent;
  course.may_have_run = error_cases[_i].may_have_run;
  if (course.state == DY_COURSE_STREAMING)
    course.n_started = course.max_attempts - 1; /* the open attempt is the last one */
  DyCourseStep step = dy_course_step (&course, error_cases[_i].event, &situation);
  ck_assert_msg (step.error == error_cases[_i].error, "%s: %d", error_cases[_i].name, step.error);
}
END_TEST

/* What forbids another attempt; the defaults allow it. */
static const struct
{
  const char *name;
  bool not_repeatable;
  bool beyond_budget;
  bool blocked;
  bool no_other;
  bool no_time;
  uint32_t n_started;
  uint32_t n_refused;
  bool waits;
} silence_cases[] = {
  { .name = "allowed", .n_started = 1 },
  { .name = "not repeatable", .not_repeatable = true, .waits = true },
  { .name = "beyond the retry budget", .beyond_budget = true, .waits = true },
  { .name = "blocked", .blocked = true, .waits = true },
  { .name = "no other endpoint", .no_other = true, .waits = true },
  { .name = "no time", .no_time = true, .waits = true },
  { .name = "the open attempt is the last", .n_started = 2, .waits = true },
  { .name = "rejected too often", .n_refused = 3, .waits = true },
};

START_TEST (silence_changes_nothing_unless_another_attempt_follows)
{
  static const DyCourseState states[] = { DY_COURSE_RUNNING, DY_COURSE_STREAMING };
  for (size_t i = 0; i < G_N_ELEMENTS (states); i++)
    {
      DyCourse course = course_in (states[i]);
      course.repeatable = !silence_cases[_i].not_repeatable;
      course.n_started = silence_cases[_i].n_started;
      course.n_refused = silence_cases[_i].n_refused;
      DyCourse before = course;
      DyCourseSituation situation = { .sent = true,
                                      .within_budget = !silence_cases[_i].beyond_budget,
                                      .blocked = silence_cases[_i].blocked,
                                      .has_other = !silence_cases[_i].no_other,
                                      .time_left_ms = silence_cases[_i].no_time ? 10 : 1000 };
      DyCourseStep step = dy_course_step (&course, DY_COURSE_SILENT, &situation);
      bool waits = silence_cases[_i].waits;
      ck_assert_msg (step.action == (waits ? DY_COURSE_WAIT : DY_COURSE_REPLACE), "%s: %d",
                     silence_cases[_i].name, step.action);
      ck_assert_msg (!step.abandons && course.state == before.state
                         && course.n_started == before.n_started && !course.persists,
                     "%s", silence_cases[_i].name);
      step = dy_course_step (&course, DY_COURSE_REPLACED, &situation);
      ck_assert_msg (step.action == DY_COURSE_WAIT && step.abandons && course.persists
                         && course.n_started == before.n_started + 1
                         && course.state == before.state,
                     "%s", silence_cases[_i].name);
    }
}
END_TEST

static const struct
{
  const char *name;
  DyCourseState state;
  DyCourseEvent event;
  uint32_t n_refused;
  DyCourseAction action;
  bool blocked;
} persistent_cases[] = {
  { "no endpoint", DY_COURSE_PLACING, DY_COURSE_NO_ENDPOINT, 0, DY_COURSE_PAUSE, false },
  { "no endpoint to resume", DY_COURSE_RESUMING, DY_COURSE_NO_ENDPOINT, 0, DY_COURSE_PAUSE, false },
  { "not run", DY_COURSE_RUNNING, DY_COURSE_NOT_RUN, 0, DY_COURSE_SEND, false },
  { "not run, too often", DY_COURSE_RUNNING, DY_COURSE_NOT_RUN, 3, DY_COURSE_PAUSE, false },
  { "not run, too often, a stream", DY_COURSE_STREAMING, DY_COURSE_NOT_RUN, 3, DY_COURSE_PAUSE,
    false },
  { "broken, not run too often", DY_COURSE_STREAMING, DY_COURSE_BROKEN, 3, DY_COURSE_PAUSE, false },
  { "silent, not run too often", DY_COURSE_STREAMING, DY_COURSE_SILENT, 3, DY_COURSE_REPLACE,
    false },
  { "the caller leaves", DY_COURSE_PAUSING, DY_COURSE_CALLER_LEFT, 0, DY_COURSE_DROP, false },
  { "late", DY_COURSE_PAUSING, DY_COURSE_DEADLINE, 0, DY_COURSE_REFUSE, false },
  { "late, a stream", DY_COURSE_HALTING, DY_COURSE_DEADLINE, 0, DY_COURSE_ABORT, false },
  { "blocked in the pause", DY_COURSE_PAUSING, DY_COURSE_PAUSE_OVER, 0, DY_COURSE_REFUSE, true },
  { "blocked in the pause, a stream", DY_COURSE_HALTING, DY_COURSE_PAUSE_OVER, 0, DY_COURSE_ABORT,
    true },
};

START_TEST (request_goes_on_after_its_silent_attempt_was_abandoned)
{
  DyCourse course = course_in (persistent_cases[_i].state);
  course.persists = true;
  course.may_have_run = true;
  course.n_started = 1;
  course.n_refused = persistent_cases[_i].n_refused;
  DyCourseSituation situation = all_allowed;
  situation.blocked = persistent_cases[_i].blocked;
  DyCourseStep step = dy_course_step (&course, persistent_cases[_i].event, &situation);
  ck_assert_msg (step.action == persistent_cases[_i].action, "%s: %d", persistent_cases[_i].name,
                 step.action);
}
END_TEST

/* Requests that persist waited until their time limit for the end of an evacuation, which takes
 * seconds. */
START_TEST (a_request_does_not_wait_for_the_end_of_an_evacuation)
{
  static const struct
  {
    DyCourseState state;
    DyCourseAction action;
    int error;
  } states[] = { { DY_COURSE_PLACING, DY_COURSE_REFUSE, DY_OUTCOME_UNKNOWN },
                 { DY_COURSE_RESUMING, DY_COURSE_ABORT, DY_STREAM_BROKEN } };
  for (size_t i = 0; i < G_N_ELEMENTS (states); i++)
    {
      DyCourse course = course_in (states[i].state);
      DyCourseSituation situation = all_allowed;
      course.persists = true;
      course.may_have_run = true;
      situation.has_place_soon = true;
      situation.evacuated = true;
      DyCourseStep step = dy_course_step (&course, DY_COURSE_NO_ENDPOINT, &situation);
      ck_assert_int_eq (step.action, states[i].action);
      ck_assert_int_eq (step.error, states[i].error);
    }
}
END_TEST

/* A resend that waits for a place. */
static const struct
{
  const char *name;
  bool within_budget;
  bool waited_out;
  bool persists;
  DyCourseAction action;
} place_wait_cases[] = { { "allowed", true, false, false, DY_COURSE_SEND },
                         { "allowed in the end", true, true, false, DY_COURSE_SEND },
                         { "not allowed, may wait", false, false, false, DY_COURSE_PAUSE },
                         { "not allowed", false, true, false, DY_COURSE_REFUSE },
                         { "not allowed, persists", false, true, true, DY_COURSE_PAUSE } };

/* A request that may not be sent any more waited until its deadline. */
START_TEST (wait_for_a_place_ends_without_budget)
{
  DyCourse course = course_in (DY_COURSE_PAUSING);
  course.persists = place_wait_cases[_i].persists;
  course.n_refused = 1;
  DyCourseSituation situation = all_allowed;
  situation.within_budget = place_wait_cases[_i].within_budget;
  situation.waited_out = place_wait_cases[_i].waited_out;
  DyCourseStep step = dy_course_step (&course, DY_COURSE_PAUSE_OVER, &situation);
  ck_assert_msg (step.action == place_wait_cases[_i].action, "%s: %d", place_wait_cases[_i].name,
                 step.action);
}
END_TEST

/* A broken stream without a deadline would wait for ever. */
START_TEST (begun_stream_without_a_deadline_ends_when_it_cannot_be_resumed)
{
  static const struct
  {
    DyCourseState state;
    DyCourseEvent event;
  } events[] = { { DY_COURSE_STREAMING, DY_COURSE_BROKEN },
                 { DY_COURSE_STREAMING, DY_COURSE_FAILED },
                 { DY_COURSE_RESUMING, DY_COURSE_NO_ENDPOINT } };
  for (size_t i = 0; i < G_N_ELEMENTS (events); i++)
    {
      DyCourse course = course_in (events[i].state);
      DyCourseSituation situation = all_allowed;
      course.has_deadline = false;
      situation.within_budget = false;
      DyCourseStep step = dy_course_step (&course, events[i].event, &situation);
      ck_assert_int_eq (step.action, DY_COURSE_ABORT);
      ck_assert_int_eq (step.error, DY_STREAM_BROKEN);
    }
}
END_TEST

/* Refusals of attempts beside the silent one ended the request with that one. */
START_TEST (refusals_beside_a_silent_attempt_do_not_end_the_request)
{
  enum
  {
    N_REFUSALS = 3,
  };
  static const DyCourseEvent ends[] = { DY_COURSE_BROKEN, DY_COURSE_NOT_RUN, DY_COURSE_NOT_SENT };
  static const DyCourseState states[] = { DY_COURSE_RUNNING, DY_COURSE_STREAMING };
  for (size_t i = 0; i < G_N_ELEMENTS (states); i++)
    {
      DyCourse course = course_in (states[i]);
      for (int n = 0; n < N_REFUSALS; n++)
        {
          ck_assert_int_eq (dy_course_step (&course, DY_COURSE_SILENT, &all_allowed).action,
                            DY_COURSE_REPLACE);
          dy_course_step (&course, DY_COURSE_OTHER_UNRUN, &all_allowed);
        }
      ck_assert_int_eq (dy_course_step (&course, ends[_i], &all_allowed).action, DY_COURSE_PAUSE);
    }
}
END_TEST

static DyCourseSituation
random_situation (GRand *rng)
{
  return (DyCourseSituation){ .error = DY_BUDGET_UNAVAILABLE,
                              .sent = g_rand_boolean (rng),
                              .within_budget = g_rand_int_range (rng, 0, 4) > 0,
                              .blocked = g_rand_int_range (rng, 0, 8) == 0,
                              .has_other = g_rand_int_range (rng, 0, 4) > 0,
                              .time_left_ms = g_rand_int_range (rng, 0, 200) };
}

/* The attempt beside the open one, as the gateway keeps it. */
typedef struct
{
  bool open;
  bool sent;
} Other;

static bool
is_of_attempt (DyCourseEvent event)
{
  return event >= DY_COURSE_DATA && event <= DY_COURSE_ENDPOINT_LEFT;
}

static bool
is_of_other (DyCourseEvent event)
{
  return event >= DY_COURSE_REPLACED && event <= DY_COURSE_OTHER_UNRUN;
}

/* Returns the event that follows for the course from EVENT of the open attempt, or of OTHER. */
static DyCourseEvent
keep_other (Other *other, DyCourseEvent event)
{
  if (other->open && is_of_attempt (event) && !other->sent)
    other->open = false;
  if (other->open && event == DY_COURSE_DATA)
    event = DY_COURSE_OTHER_RAN;
  if (is_of_other (event))
    other->open = false;
  return event;
}

/* Events come at random, most of them without sense in their state; the deadline comes at last. An
 * attempt is replaced only by one that was started. */
START_TEST (any_sequence_of_events_has_exactly_one_end)
{
  enum
  {
    N_SEQUENCES = 100000,
    MAX_EVENTS = 40,
  };
  GRand *rng = g_rand_new_with_seed (41);
  for (int n = 0; n < N_SEQUENCES; n++)
    {
      DyCourse course;
      Other other = { 0 };
      int n_ends = 0;
      int n_events = g_rand_int_range (rng, 1, MAX_EVENTS);
      uint32_t max_attempts = (uint32_t) g_rand_int_range (rng, 1, 4);
      dy_course_init (&course, g_rand_boolean (rng), g_rand_boolean (rng), max_attempts);
      course.has_deadline = g_rand_boolean (rng);
      for (int i = 0; i <= n_events; i++)
        {
          DyCourseEvent event = i == n_events
                                    ? DY_COURSE_DEADLINE
                                    : (DyCourseEvent) g_rand_int_range (rng, 0, DY_COURSE_N_EVENTS);
          if (is_of_other (event) && !other.open)
            continue;
          event = keep_other (&other, event);
          DyCourseSituation situation = random_situation (rng);
          situation.other_sent = other.open && other.sent;
          bool had_run = course.may_have_run;
          DyCourseStep step = dy_course_step (&course, event, &situation);
          bool ends = dy_course_ends (step.action);
          n_ends += ends;
          if ((ends && event == DY_COURSE_SILENT) || n_ends != (course.state == DY_COURSE_OVER)
              || (ends && is_of_other (event)) || (n_ends > ends && step.action != DY_COURSE_WAIT)
              || (step.action == DY_COURSE_SEND && had_run && !course.repeatable)
              || (step.action == DY_COURSE_SEND && other.open)
              || (step.action == DY_COURSE_SWITCH && !other.open)
              || course.n_started > max_attempts)
            ck_abort_msg ("sequence %d, event %d: %d, action %d, state %d", n, i, event,
                          step.action, course.state);
          bool starts = step.action == DY_COURSE_REPLACE && !other.open;
          other.open = (other.open && step.action != DY_COURSE_SWITCH && !ends) || starts;
          other.sent = !starts && (other.sent || g_rand_boolean (rng));
        }
      if (n_ends != 1)
        ck_abort_msg ("sequence %d: %d ends", n, n_ends);
    }
  g_rand_free (rng);
}
END_TEST

int
main (void)
{
  TCase *tcase = tcase_create ("request_course");
  tcase_set_timeout (tcase, 60);
  tcase_add_loop_test (tcase, each_event_in_each_state_has_its_action, 0,
                       (int) G_N_ELEMENTS (tables));
  tcase_add_loop_test (tcase, error_tells_what_may_have_run, 0, (int) G_N_ELEMENTS (error_cases));
  tcase_add_loop_test (tcase, silence_changes_nothing_unless_another_attempt_follows, 0,
                       (int) G_N_ELEMENTS (silence_cases));
  tcase_add_loop_test (tcase, request_goes_on_after_its_silent_attempt_was_abandoned, 0,
                       (int) G_N_ELEMENTS (persistent_cases));
  tcase_add_loop_test (tcase, wait_for_a_place_ends_without_budget, 0,
                       G_N_ELEMENTS (place_wait_cases));
  tcase_add_test (tcase, a_request_does_not_wait_for_the_end_of_an_evacuation);
  tcase_add_test (tcase, begun_stream_without_a_deadline_ends_when_it_cannot_be_resumed);
  tcase_add_loop_test (tcase, refusals_beside_a_silent_attempt_do_not_end_the_request, 0, 3);
  tcase_add_test (tcase, any_sequence_of_events_has_exactly_one_end);
  return suite_run ("request_course", tcase);
}
