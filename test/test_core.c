/* Table-driven tests of retries, routing, members, register, reservations, declarations, chat
 * requests, answer streams and messages between routers. */

#include "core/answer_stream.h"
#include "core/chat.h"
#include "core/declarations.h"
#include "core/members.h"
#include "core/register.h"
#include "core/reservations.h"
#include "core/retry.h"
#include "core/routing.h"
#include "kernel/error.h"
#include "services/peers/wire.h"
#include "support/suite.h"

#include <malloc.h>
#include <string.h>

enum
{
  SECOND = 1000 * 1000,
};

/* --- retries --- */

static const struct
{
  DyAttemptOutcome outcome;
  bool idempotent, answer_seen, may_have_run;
  bool retry;
  int error;
} retry_cases[] = {
  { DY_ATTEMPT_NOT_SENT, false, false, false, true, DY_OK },
  { DY_ATTEMPT_NOT_RUN, false, false, false, true, DY_OK },
  { DY_ATTEMPT_UNANSWERED, true, false, false, true, DY_OK },
  { DY_ATTEMPT_UNANSWERED, false, false, false, false, DY_OUTCOME_UNKNOWN },
  { DY_ATTEMPT_BROKEN, true, false, false, true, DY_OK },
  { DY_ATTEMPT_BROKEN, true, true, false, false, DY_STREAM_BROKEN },
  { DY_ATTEMPT_BROKEN, false, false, false, false, DY_STREAM_BROKEN },
  { DY_ATTEMPT_REJECTED, true, false, false, false, DY_ENDPOINT_REFUSED },
  { DY_ATTEMPT_REJECTED, true, false, true, false, DY_OUTCOME_UNKNOWN },
};

START_TEST (retry_depends_on_attempt_outcome)
{
  DyRetryBudget budget;
  DyRetryQuery query = { .outcome = retry_cases[_i].outcome,
                         .idempotent = retry_cases[_i].idempotent,
                         .answer_seen = retry_cases[_i].answer_seen,
                         .may_have_run = retry_cases[_i].may_have_run,
                         .n_attempts = 1,
                         .max_attempts = 3 };
  dy_retry_budget_init (&budget, 20);
  DyRetryDecision decision = dy_retry_decide (&budget, &query);
  ck_assert_int_eq (decision.retry, retry_cases[_i].retry);
  ck_assert_int_eq (decision.error, retry_cases[_i].error);
}
END_TEST

START_TEST (retry_stops_after_two_endpoint_failures)
{
  DyRetryBudget budget;
  DyRetryQuery query = { .outcome = DY_ATTEMPT_BROKEN, .idempotent = true, .max_attempts = 9 };
  dy_retry_budget_init (&budget, 20);
  query.n_attempts = query.n_crashes = 1;
  ck_assert (dy_retry_decide (&budget, &query).retry);
  query.n_attempts = query.n_crashes = 2;
  ck_assert (!dy_retry_decide (&budget, &query).retry);
}
END_TEST

/* If the last attempt was not sent but an earlier one may have run, the error must not state that
 * the request did not run. */
START_TEST (not_run_is_reported_only_when_certain)
{
  DyRetryBudget budget;
  DyRetryQuery query = { .outcome = DY_ATTEMPT_NOT_SENT,
                         .idempotent = true,
                         .may_have_run = true,
                         .n_attempts = 3,
                         .max_attempts = 3 };
  dy_retry_budget_init (&budget, 20);
  ck_assert_int_eq (dy_retry_decide (&budget, &query).error, DY_OUTCOME_UNKNOWN);
  query.may_have_run = false;
  ck_assert_int_eq (dy_error_info (dy_retry_decide (&budget, &query).error)->run, DY_RUN_NOT_RUN);
}
END_TEST

START_TEST (retry_budget_limits_retries)
{
  DyRetryBudget budget;
  DyRetryQuery query
      = { .outcome = DY_ATTEMPT_NOT_SENT, .idempotent = true, .n_attempts = 1, .max_attempts = 3 };
  int n_retries = 0;
  dy_retry_budget_init (&budget, 20);
  for (int i = 0; i < 1000; i++)
    {
      dy_retry_budget_deposit (&budget);
      n_retries += dy_retry_decide (&budget, &query).retry;
    }
  ck_assert_int_le (n_retries, 1000 / 5 + 20);
  ck_assert_int_ge (n_retries, 1000 / 5);
}
END_TEST

/* --- routing --- */

static void
put_endpoint (DyRouting *routing, const char *name, const char *data_centre, bool leaving)
{
  static const char *const models[] = { "m", NULL };
  DyEndpointSpec spec = { .name = name,
                          .url = "http://127.0.0.1:1",
                          .data_centre = data_centre,
                          .models = models,
                          .kind = DY_ENDPOINT_ENGINE,
                          .leaving = leaving };
  dy_routing_put (routing, &spec);
}

static const char *
pick_name (DyRouting *routing, const char *const *avoid, int64_t now_us)
{
  const DyEndpoint *endpoint = dy_routing_pick (routing, "m", DY_ENDPOINT_ENGINE, avoid, now_us);
  return endpoint ? endpoint->name : "";
}

START_TEST (routing_prefers_near_and_skips_leaving)
{
  DyRouting routing;
  static const char *const avoid[] = { "near", NULL };
  dy_routing_init (&routing, "dc-a", 1);
  put_endpoint (&routing, "near", "dc-a", false);
  put_endpoint (&routing, "far", "dc-b", false);
  for (int i = 0; i < 20; i++)
    ck_assert_str_eq (pick_name (&routing, NULL, 0), "near");
  ck_assert_str_eq (pick_name (&routing, avoid, 0), "far");
  dy_routing_report (&routing, "near", 0, true, 0);
  for (int i = 0; i < 20; i++)
    ck_assert_str_eq (pick_name (&routing, NULL, 0), "far");
  put_endpoint (&routing, "far", "dc-b", true);
  ck_assert_str_eq (pick_name (&routing, NULL, 0), "");
  dy_routing_finish (&routing);
}
END_TEST

START_TEST (routing_picks_the_less_loaded_of_two)
{
  DyRouting routing;
  int n_idle = 0;
  dy_routing_init (&routing, "dc-a", 1);
  put_endpoint (&routing, "busy", "dc-a", false);
  put_endpoint (&routing, "idle", "dc-a", false);
  dy_routing_report (&routing, "busy", 1000, false, 0);
  for (int i = 0; i < 100; i++)
    n_idle += strcmp (pick_name (&routing, NULL, 0), "idle") == 0;
  /* The busy one is picked only when all samples hit it: once in 2^8 on average. */
  ck_assert_int_ge (n_idle, 95);
  dy_routing_finish (&routing);
}
END_TEST

START_TEST (breaker_opens_probes_and_closes)
{
  DyRouting routing;
  dy_routing_init (&routing, "dc-a", 1);
  put_endpoint (&routing, "only", "dc-a", false);
  for (int i = 0; i < 5; i++)
    {
      ck_assert_str_eq (pick_name (&routing, NULL, 0), "only");
      dy_routing_done (&routing, "only", true, 0);
    }
  ck_assert_str_eq (pick_name (&routing, NULL, 0), "");
  ck_assert_str_eq (pick_name (&routing, NULL, 30 * SECOND), "only"); /* the probe */
  ck_assert_str_eq (pick_name (&routing, NULL, 30 * SECOND), "");
  dy_routing_done (&routing, "only", false, 30 * SECOND);
  ck_assert_str_eq (pick_name (&routing, NULL, 30 * SECOND), "only");
  dy_routing_finish (&routing);
}
END_TEST

/* --- members --- */

START_TEST (lost_member_moves_only_its_accounts)
{
  enum
  {
    N_ACCOUNTS = 300
  };
  DyMembers members;
  char before[N_ACCOUNTS][16];
  int n_moved = 0;
  dy_members_init (&members, "r0", SECOND);
  for (int i = 1; i < 6; i++)
    {
      char *name = g_strdup_printf ("r%d", i);
      dy_members_put (&members, name, "127.0.0.1:1", "dc-a", false);
      dy_members_record_heartbeat (&members, name, 100 + (uint64_t) i, false, 0);
      g_free (name);
    }
  for (int pass = 0; pass < 2; pass++)
    {
      for (int i = 0; i < N_ACCOUNTS; i++)
        {
          char *account = g_strdup_printf ("account-%d", i);
          const DyMember *home = dy_members_home (&members, account, NULL, 0);
          const char *name = home ? home->name : "r0";
          if (pass == 0)
            g_strlcpy (before[i], name, sizeof before[i]);
          else if (strcmp (before[i], name) != 0)
            {
              ck_assert_str_eq (before[i], "r3");
              n_moved++;
            }
          g_free (account);
        }
      dy_members_disconnected (&members, "r3");
    }
  ck_assert_int_ge (n_moved, N_ACCOUNTS / 12);
  ck_assert_uint_eq (dy_members_count (&members, 0), 5);
  ck_assert_uint_eq (dy_members_count (&members, 2 * SECOND), 1);
  dy_members_finish (&members);
}
END_TEST

/* A router that is silent, drains or is missing on a restored list may still spend its share. */
START_TEST (routers_that_may_run_stay_counted)
{
  DyMembers members;
  dy_members_init (&members, "r0", SECOND);
  ck_assert_uint_eq (dy_members_possible_count (&members), 1);
  dy_members_put (&members, "r0", "127.0.0.1:1", "dc-a", false);
  ck_assert_uint_eq (dy_members_possible_count (&members), 1);
  dy_members_put (&members, "r1", "127.0.0.1:1", "dc-a", false);
  dy_members_put (&members, "r2", "127.0.0.1:1", "dc-a", true);
  ck_assert_uint_eq (dy_members_possible_count (&members), 3);
  dy_members_record_seen (&members, "r2");
  dy_members_record_seen (&members, "r3");
  ck_assert_uint_eq (dy_members_possible_count (&members), 4);
  dy_members_record_heartbeat (&members, "r1", 101, true, 0);
  dy_members_remove (&members, "r2", 0);
  ck_assert_uint_eq (dy_members_possible_count (&members), 4);
  ck_assert_uint_eq (dy_members_count (&members, 2 * SECOND), 1);
  dy_members_finish (&members);
}
END_TEST

/* Heartbeats wait behind data on a connection that is full. */
START_TEST (member_that_sends_anything_is_live)
{
  DyMembers members;
  dy_members_init (&members, "r0", SECOND);
  dy_members_put (&members, "r1", "127.0.0.1:1", "dc-a", false);
  dy_members_record_contact (&members, "r1", 0);
  ck_assert_uint_eq (dy_members_count (&members, 0), 1);
  dy_members_record_heartbeat (&members, "r1", 101, false, 0);
  dy_members_record_contact (&members, "r1", SECOND - 1);
  ck_assert_uint_eq (dy_members_count (&members, 2 * SECOND - 2), 2);
  ck_assert_uint_eq (dy_members_count (&members, 2 * SECOND - 1), 1);
  dy_members_disconnected (&members, "r1");
  dy_members_record_contact (&members, "r1", 2 * SECOND);
  ck_assert_uint_eq (dy_members_count (&members, 2 * SECOND), 1);
  dy_members_finish (&members);
}
END_TEST

START_TEST (rank_among_all_that_may_run_does_not_depend_on_who_is_heard)
{
  enum
  {
    N_OTHERS = 8,
  };
  DyMembers members;
  dy_members_init (&members, "r0", SECOND);
  ck_assert_uint_eq (dy_members_possible_rank (&members, "e"), 0);
  for (int i = 1; i <= N_OTHERS; i++)
    {
      char name[16];
      g_snprintf (name, sizeof name, "r%d", i);
      dy_members_put (&members, name, "127.0.0.1:1", "dc-a", false);
      dy_members_record_heartbeat (&members, name, 100 + (uint64_t) i, false, 0);
    }
  uint32_t rank = dy_members_rank (&members, "e", 0);
  ck_assert_uint_eq (dy_members_possible_rank (&members, "e"), rank);
  dy_members_disconnected (&members, "r1");
  dy_members_remove (&members, "r2", 0);
  members.self_leaving = true;
  ck_assert_uint_eq (dy_members_possible_rank (&members, "e"), rank);
  dy_members_finish (&members);
}
END_TEST

typedef enum
{
  NOT_REACHED,
  REACHED,
  DRAINING,
} MemberState;

static const struct
{
  const char *name;
  bool joining;
  bool list_read;
  int n_members; /* listed members: "best" ranks above this router, "other" below */
  MemberState best;
  MemberState other;
  bool known;
} home_cases[] = {
  { "a router that has joined", false, true, 2, NOT_REACHED, NOT_REACHED, true },
  { "the list was not read", true, false, 0, NOT_REACHED, NOT_REACHED, false },
  { "no other router is listed", true, true, 0, NOT_REACHED, NOT_REACHED, true },
  { "no other router is reached", true, true, 2, NOT_REACHED, NOT_REACHED, false },
  { "only a lower-ranked router is reached", true, true, 2, NOT_REACHED, REACHED, false },
  { "the home router is reached", true, true, 2, REACHED, NOT_REACHED, true },
  { "the home router drains, this router ranks next", true, true, 2, DRAINING, REACHED, true },
  { "the home router drains, no other router is reached", true, true, 2, DRAINING, NOT_REACHED,
    false },
};

/* Returns the name of a router that ranks above or below this one as the home of "acct". */
static char *
ranked_name (const DyMembers *members, bool above)
{
  for (int i = 1;; i++)
    {
      char *name = g_strdup_printf ("r%d", i);
      if (dy_members_ranks_above (members, "acct", name) == above)
        return name;
      g_free (name);
    }
}

START_TEST (joining_router_detects_a_known_home)
{
  DyMembers members;
  dy_members_init (&members, "r0", SECOND);
  char *names[] = { ranked_name (&members, true), ranked_name (&members, false) };
  const MemberState states[2] = { home_cases[_i].best, home_cases[_i].other };
  members.joining = home_cases[_i].joining;
  if (home_cases[_i].list_read)
    dy_members_put (&members, "r0", "127.0.0.1:1", "dc-a", false);
  for (int i = 0; i < MIN (home_cases[_i].n_members, 2); i++)
    {
      dy_members_put (&members, names[i], "127.0.0.1:1", "dc-a", false);
      if (states[i] != NOT_REACHED)
        dy_members_record_heartbeat (&members, names[i], 100 + (uint64_t) i, states[i] == DRAINING,
                                     0);
    }
  ck_assert_msg (dy_members_home_is_known (&members, "acct", 0) == home_cases[_i].known, "%s",
                 home_cases[_i].name);
  dy_members_finish (&members);
  g_free (names[0]);
  g_free (names[1]);
}
END_TEST

/* --- register --- */

typedef struct
{
  bool idempotent;
  DyRequestEnd end;
  int64_t used;          /* tokens that the first request uses */
  int second_error;      /* result of a repeat with the same key and body */
  int64_t second_charge; /* in tokens, when the second request uses 100 */
} RegisterCase;

static const RegisterCase register_cases[] = {
  { true, DY_END_COMPLETE, 100, DY_OK, 0 },
  { true, DY_END_PARTIAL, 30, DY_OK, 70 },
  { true, DY_END_NOT_RUN, 0, DY_OK, 100 },
  { true, DY_END_UNKNOWN, 0, DY_OK, 100 },
  { false, DY_END_COMPLETE, 100, DY_ALREADY_ANSWERED, 0 },
  { false, DY_END_UNKNOWN, 0, DY_OUTCOME_UNKNOWN, 0 },
  { false, DY_END_NOT_RUN, 0, DY_OK, 100 },
};

START_TEST (register_detects_repeated_requests)
{
  const RegisterCase *c = &register_cases[_i];
  DyRegister reg;
  DyRegisterRequest request = { .id = { 1, 1 },
                                .key = dy_register_hash ("a", "key"),
                                .body_hash = 5,
                                .idempotent = c->idempotent };
  DyRegisterRequest repeat = request;
  repeat.id.number = 2;
  dy_register_init (&reg);
  ck_assert_int_eq (dy_register_begin (&reg, &request, 0), DY_OK);
  ck_assert_int_eq (dy_register_begin (&reg, &request, 0), DY_OK);
  ck_assert_int_eq (dy_register_begin (&reg, &repeat, 0), DY_REQUEST_RUNNING);
  ck_assert_int_eq (dy_register_charge (&reg, &request.id, c->used), c->used);
  dy_register_end (&reg, &request.id, c->end, 0);
  ck_assert_int_eq (dy_register_begin (&reg, &repeat, 0), c->second_error);
  if (c->second_error == DY_OK)
    ck_assert_int_eq (dy_register_charge (&reg, &repeat.id, 100), c->second_charge);
  repeat.body_hash = 6;
  if (c->second_error == DY_OK)
    ck_assert_int_eq (dy_register_begin (&reg, &repeat, 0), DY_KEY_REUSED);
  dy_register_finish (&reg);
}
END_TEST

/* --- reservations --- */

static void
ignore_ledger_read (void *ctx, DyPool pool, const char *account)
{
  (void) ctx;
  (void) pool;
  (void) account;
}

static void
ignore_ledger_write (
    void *ctx, DyPool pool, const char *account, uint64_t version, const DyLedgerEntry *entry)
{
  (void) ctx;
  (void) pool;
  (void) account;
  (void) version;
  (void) entry;
}

static int
count_message (void *ctx, const char *name, const DyMessage *message)
{
  int *n_sent = ctx;
  (void) name;
  (void) message;
  (*n_sent)++;
  return DY_OK;
}

static void
ignore_reply (void *ctx, uint64_t link, const DyMessage *message)
{
  (void) ctx;
  (void) link;
  (void) message;
}

static void
ignore_result (void *ctx, int error, int64_t charged_tokens)
{
  (void) ctx;
  (void) error;
  (void) charged_tokens;
}

/* The home router was lost before it replied, so nobody acknowledges the release of the
 * reservation. The drain must not wait for that. */
START_TEST (unacknowledged_release_does_not_delay_a_drain)
{
  static const DyReservationsActions actions = { .read = ignore_ledger_read,
                                                 .write = ignore_ledger_write,
                                                 .send = count_message,
                                                 .reply = ignore_reply };
  static const DyReservationsPolicy policy
      = { .self_id = 2, .self_name = "r0", .reserve_wait_us = SECOND, .settle_wait_us = SECOND };
  DyMembers members;
  DyReservations res;
  DyTicket *ticket = NULL;
  int n_sent = 0;
  DyReservationSpec spec = { .tokens = 10, .idempotent = true };
  char account[16];
  dy_members_init (&members, "r0", 10 * SECOND);
  dy_members_put (&members, "r1", "", "dc-a", false);
  dy_members_record_heartbeat (&members, "r1", 4, false, 0);
  dy_reservations_init (&res, &policy, &members, 1, &actions, &n_sent);
  for (int i = 0; n_sent == 0; i++)
    {
      g_snprintf (account, sizeof account, "a%d", i);
      if (!dy_members_home (&members, account, NULL, 0))
        continue;
      spec.account = account;
      dy_reservations_reserve (&res, &spec, ignore_result, NULL, &ticket, 0);
    }
  dy_members_disconnected (&members, "r1");
  dy_reservations_on_down (&res, "r1", 1);
  ck_assert (dy_reservations_busy (&res));
  dy_reservations_release (&res, ticket, DY_END_NOT_RUN, 0, 2);
  ck_assert (!dy_reservations_busy (&res));
  dy_reservations_finish (&res);
  dy_members_finish (&members);
}
END_TEST

/* --- declarations --- */

#define TEMPLATE                                                                                   \
  "[template]\nname=t\nshare=${share}\nbudget_tokens=100\nmax_tokens_per_request=10\n"
#define KEY_DIGEST "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"

static const struct
{
  const char *text;
  const char *expected; /* part of the error text; NULL: valid */
} declaration_cases[] = {
  { TEMPLATE, NULL },
  { "[account]\nname=a\ntemplate=t\n[parameters]\nshare=2\n[keys]\nsha256=" KEY_DIGEST "\n", NULL },
  { "[endpoint]\nname=e\nkind=engine\nurl=http://127.0.0.1:1\ndata_centre=a\nmodels=m\n", NULL },
  { "[endpoint]\nname=e\nkind=robot\nurl=u\ndata_centre=a\nmodels=m\n",
    "[endpoint] kind: 'robot'" },
  { "[endpoint]\nname=e\nkind=engine\nurl=u\ndata_centre=a\n", "[endpoint] models: required" },
  { "[template]\nname=T!\nshare=1\n", "[template] name: must be" },
  { "[template]\nname=t\nshare=1\n", "[template] budget_tokens: required" },
  { "[template]\nname=t\nprice=1\n", "[template] price: unknown key" },
  { "[template]\nname=t\n[extra]\n", "[extra]: unknown section" },
  { "[account]\nname=a\n", "[account] template: required" },
  { "[account]\nname=a\ntemplate=t\n[keys]\nsha256=secret\n", "[keys] sha256: 'secret' is not" },
  { "[other]\nname=a\n", "one of the sections" },
};

START_TEST (declarations_are_validated)
{
  char *error_text = NULL;
  char *key = dy_declarations_key_of (declaration_cases[_i].text, &error_text);
  if (declaration_cases[_i].expected)
    ck_assert_msg (error_text && strstr (error_text, declaration_cases[_i].expected), "%s",
                   error_text ? error_text : key);
  else
    ck_assert_msg (key != NULL, "%s", error_text);
  g_free (key);
  g_free (error_text);
}
END_TEST

static const char account_text[]
    = "[account]\nname=a\ntemplate=t\n[parameters]\nshare=2\n[keys]\nsha256=" KEY_DIGEST "\n";

static int
put_declaration (DyDeclarations *decl, const char *key, uint64_t version, const char *text)
{
  char *error_text = NULL;
  int error = dy_declarations_put (decl, key, version, text, NULL, &error_text);
  g_free (error_text);
  return error;
}

START_TEST (declarations_never_revert)
{
  static const char other[]
      = "[template]\nname=t\nshare=9\nbudget_tokens=100\nmax_tokens_per_request=10\n";
  DyDeclarations decl;
  dy_declarations_init (&decl);
  ck_assert_int_eq (put_declaration (&decl, "config/account/a", 5, account_text), DY_OK);
  ck_assert_ptr_null (dy_declarations_account (&decl, "a"));
  ck_assert_int_eq (put_declaration (&decl, "config/template/t", 7, TEMPLATE), DY_OK);
  ck_assert_int_eq (dy_declarations_account (&decl, "a")->share, 2);
  ck_assert_int_eq (put_declaration (&decl, "config/template/t", 6, other), DY_OK);
  ck_assert_int_eq (dy_declarations_account (&decl, "a")->share, 2);
  ck_assert_int_eq (
      put_declaration (&decl, "config/template/t", 8, "[template]\nname=t\nshare=x\n"),
      DY_SETTINGS);
  ck_assert_int_eq (dy_declarations_account (&decl, "a")->share, 2);
  ck_assert_int_eq (put_declaration (&decl, "config/template/t", 9, other), DY_OK);
  ck_assert_int_eq (dy_declarations_account (&decl, "a")->share, 9);
  dy_declarations_remove (&decl, "config/account/a", 10, NULL);
  ck_assert_ptr_null (dy_declarations_account (&decl, "a"));
  ck_assert_int_eq (put_declaration (&decl, "config/account/a", 9, account_text), DY_OK);
  ck_assert_ptr_null (dy_declarations_account (&decl, "a"));
  dy_declarations_finish (&decl);
}
END_TEST

START_TEST (missing_parameters_are_detected)
{
  DyDeclarations decl;
  char *error_text = NULL;
  dy_declarations_init (&decl);
  ck_assert_int_eq (put_declaration (&decl, "config/template/t", 1, TEMPLATE), DY_OK);
  ck_assert_int_eq (
      put_declaration (&decl, "config/account/a", 2, "[account]\nname=a\ntemplate=t\n"), DY_OK);
  ck_assert_int_eq (dy_declarations_check (&decl, &error_text), DY_SETTINGS);
  ck_assert_msg (strstr (error_text, "[parameters] share") != NULL, "%s", error_text);
  g_free (error_text);
  dy_declarations_finish (&decl);
}
END_TEST

/* --- chat requests --- */

#define MESSAGES "\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]"

static const struct
{
  const char *body;
  int error;
  int64_t worst_case_tokens;
} chat_cases[] = {
  /* "role", "user", "content" and "hello" have 20 bytes; the chat template adds 16 tokens. */
  { "{\"model\":\"m\"," MESSAGES ",\"max_tokens\":5}", DY_OK, 41 },
  { "{\"model\":\"m\"," MESSAGES ",\"max_tokens\":5,\"n\":3}", DY_OK, 51 },
  { "{\"model\":\"m\"," MESSAGES ",\"max_completion_tokens\":5,\"stream\":true}", DY_OK, 41 },
  { "{\"model\":\"m\"," MESSAGES "}", DY_MISSING_MAX_TOKENS, 0 },
  { "{\"model\":\"m\"," MESSAGES ",\"max_tokens\":0}", DY_BAD_REQUEST, 0 },
  { "{\"model\":\"m\"," MESSAGES ",\"max_tokens\":-3}", DY_BAD_REQUEST, 0 },
  { "{\"model\":\"m\"," MESSAGES ",\"max_tokens\":1e3}", DY_BAD_REQUEST, 0 },
  { "{\"model\":\"m\"," MESSAGES ",\"max_tokens\":5,\"max_tokens\":6}", DY_BAD_JSON, 0 },
  { "{\"model\":\"m\",\"messages\":[],\"max_tokens\":5}", DY_BAD_REQUEST, 0 },
  { "{\"model\":3," MESSAGES ",\"max_tokens\":5}", DY_BAD_REQUEST, 0 },
  { "{\"model\":\"m\"," MESSAGES ",\"max_tokens\":5,\"n\":17}", DY_BAD_REQUEST, 0 },
  { "{\"model\":\"m\"," MESSAGES ",\"max_tokens\":5,\"best_of\":2}", DY_BAD_REQUEST, 0 },
  { "[]", DY_BAD_JSON, 0 },
  { "{", DY_BAD_JSON, 0 },
  { "", DY_BAD_JSON, 0 },
};

START_TEST (chat_requests_are_validated)
{
  DyChatRequest chat;
  const char *detail;
  const char *body = chat_cases[_i].body;
  int error = dy_chat_request_init (&chat, body, strlen (body), &detail);
  ck_assert_msg (error == chat_cases[_i].error, "%s: %s", body, detail);
  if (error)
    return;
  ck_assert_int_eq (chat.worst_case_tokens, chat_cases[_i].worst_case_tokens);
  dy_chat_request_finish (&chat);
}
END_TEST

/* --- streamed answers --- */

#define TOKEN "data: {\"choices\":[{\"delta\":{\"content\":\"x\"},\"finish_reason\":null}]}\n\n"
#define LAST "data: {\"choices\":[{\"delta\":{},\"finish_reason\": \"stop\"}]}\n\n"
#define USAGE "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":3,\"completion_tokens\":4}}\n\n"
#define DONE "data: [DONE]\n\n"

static const struct
{
  const char *in;
  bool relay_usage;
  const char *out;  /* events to be sent at once */
  const char *held; /* events to be sent after the settlement */
  bool complete;
  int64_t usage_tokens; /* -1: not reported */
} stream_cases[] = {
  { TOKEN TOKEN LAST USAGE DONE, true, TOKEN TOKEN, LAST USAGE DONE, true, 7 },
  { TOKEN LAST USAGE DONE, false, TOKEN, LAST DONE, true, 7 },
  { TOKEN TOKEN, true, TOKEN TOKEN, "", false, -1 },
  { ": ping\n\n" TOKEN, true, TOKEN, "", false, -1 },
  { TOKEN DONE, true, TOKEN, DONE, true, -1 },
};

/* Each case is fed in one piece and byte by byte. */
START_TEST (end_of_an_answer_is_held_back)
{
  for (size_t step = 1; step <= 1000; step += 999)
    {
      DyAnswerStream stream;
      GString *out = g_string_new (NULL);
      const char *in = stream_cases[_i].in;
      dy_answer_stream_init (&stream, stream_cases[_i].relay_usage);
      for (size_t i = 0; i < strlen (in); i += step)
        dy_answer_stream_feed (&stream, in + i, MIN (step, strlen (in) - i), out);
      ck_assert_str_eq (out->str, stream_cases[_i].out);
      ck_assert_str_eq (stream.held->str, stream_cases[_i].held);
      ck_assert_int_eq (stream.complete, stream_cases[_i].complete);
      ck_assert_int_eq (stream.usage_tokens, stream_cases[_i].usage_tokens);
      dy_answer_stream_finish (&stream);
      g_string_free (out, TRUE);
    }
}
END_TEST

/* --- platform probes --- */

/* When all routers lose the platform, only a few of them probe it; all do once one of them reaches
 * it. */
START_TEST (few_routers_probe_a_lost_platform)
{
  enum
  {
    N_MEMBERS = 40,
  };
  int n_probers = 0;
  for (int self = 0; self < N_MEMBERS; self++)
    {
      DyMembers members;
      char name[16];
      g_snprintf (name, sizeof name, "r%d", self);
      dy_members_init (&members, name, 1000);
      for (int i = 0; i < N_MEMBERS; i++)
        {
          g_snprintf (name, sizeof name, "r%d", i);
          dy_members_put (&members, name, "127.0.0.1:1", "a", false);
          dy_members_record_heartbeat (&members, name, 100 + (uint64_t) i, false, 0);
        }
      n_probers += dy_members_is_prober (&members, 0);
      dy_members_set_platform (&members, self == 7 ? "r8" : "r7", true);
      ck_assert (dy_members_is_prober (&members, 0));
      dy_members_finish (&members);
    }
  ck_assert_int_eq (n_probers, 3);
}
END_TEST

/* --- messages --- */

START_TEST (messages_round_trip_through_the_wire_format)
{
  for (int type = DY_MESSAGE_HELLO; type <= DY_MESSAGE_RELAY; type++)
    {
      DyMessage message;
      DyMessage decoded;
      msgpack_sbuffer out;
      msgpack_sbuffer reencoded;
      memset (&message, 0, sizeof message);
      message.type = (DyMessageType) type;
      if (type == DY_MESSAGE_RESERVE)
        {
          message.u.reserve.id = (DyRequestId){ UINT64_MAX, 3 };
          message.u.reserve.tokens = INT64_C (1) << 40;
          message.u.reserve.idempotent = true;
          g_strlcpy (message.u.reserve.account, "magnolia", DY_NAME_SIZE);
        }
      if (type == DY_MESSAGE_RELAY)
        {
          message.u.relay.part = DY_RELAY_DATA;
          message.u.relay.data = "ab";
          message.u.relay.n_data = 2;
        }
      if (type == DY_MESSAGE_SETTLED)
        message.u.result.error = DY_NOT_FOUND;
      msgpack_sbuffer_init (&out);
      dy_wire_pack (&message, &out);
      const char *frame = out.data + DY_FRAME_HEADER_BYTES;
      size_t n = out.size - DY_FRAME_HEADER_BYTES;
      ck_assert_int_eq (dy_wire_unpack (frame, n, &decoded), DY_OK);
      msgpack_sbuffer_init (&reencoded);
      dy_wire_pack (&decoded, &reencoded);
      ck_assert_uint_eq (reencoded.size, out.size);
      ck_assert_mem_eq (reencoded.data, out.data, out.size);
      msgpack_sbuffer_destroy (&reencoded);
      for (size_t i = 0; i < n; i++)
        ck_assert_int_eq (dy_wire_unpack (frame, i, &decoded), DY_PROTOCOL);
      msgpack_sbuffer_destroy (&out);
    }
}
END_TEST

/* Heartbeats of this and earlier builds: four fields, and any third one but 0 is has_platform. */
static const struct
{
  bool has_platform;
  bool within_share;
  char flags;
  bool decoded_within;
} heartbeat_cases[] = { { false, false, 0, false },
                        { true, false, 1, false },
                        { true, true, 3, true },
                        { false, true, 0, false } };

START_TEST (heartbeats_are_read_by_earlier_builds)
{
  const char expected[] = { (char) 0x94, DY_MESSAGE_PING, 1, heartbeat_cases[_i].flags, 5 };
  DyMessage message = { .type = DY_MESSAGE_PING };
  DyMessage decoded;
  msgpack_sbuffer out;
  message.u.heartbeat.leaving = true;
  message.u.heartbeat.has_platform = heartbeat_cases[_i].has_platform;
  message.u.heartbeat.within_share = heartbeat_cases[_i].within_share;
  message.u.heartbeat.config_version = 5;
  msgpack_sbuffer_init (&out);
  dy_wire_pack (&message, &out);
  ck_assert_uint_eq (out.size, DY_FRAME_HEADER_BYTES + sizeof expected);
  ck_assert_mem_eq (out.data + DY_FRAME_HEADER_BYTES, expected, sizeof expected);
  ck_assert_int_eq (dy_wire_unpack (expected, sizeof expected, &decoded), DY_OK);
  ck_assert_int_eq (decoded.u.heartbeat.has_platform, heartbeat_cases[_i].has_platform);
  ck_assert_int_eq (decoded.u.heartbeat.within_share, heartbeat_cases[_i].decoded_within);
  msgpack_sbuffer_destroy (&out);
}
END_TEST

START_TEST (random_frames_are_rejected_or_decoded)
{
  GRand *rng = g_rand_new_with_seed (7);
  for (int i = 0; i < 20000; i++)
    {
      char frame[40];
      DyMessage message;
      for (size_t j = 0; j < sizeof frame; j++)
        frame[j] = (char) g_rand_int (rng);
      frame[0] = (char) (0x90 + g_rand_int_range (rng, 0, 12));
      frame[1] = (char) g_rand_int_range (rng, 0, 12);
      dy_wire_unpack (frame, sizeof frame, &message);
    }
  g_rand_free (rng);
}
END_TEST

/* Frames with length fields far beyond the bytes that they contain. */
static const struct
{
  size_t n;
  const char *bytes;
} oversized_length_cases[] = {
  { 5, "\xdd\xff\xff\xff\xff" },         /* an array of 2^32 - 1 elements */
  { 6, "\x91\xdd\xff\xff\xff\xff" },     /* the same inside a message */
  { 6, "\x91\xdf\xff\xff\xff\xff" },     /* a map */
  { 7, "\x92\x01\xdb\xff\xff\xff\xff" }, /* a string */
  { 7, "\x92\x01\xc6\xff\xff\xff\xff" }, /* binary data */
  { 1, "\x9f" },                         /* an array of 15 elements, all of them missing */
};

START_TEST (oversized_lengths_are_not_allocated)
{
  DyMessage message;
  struct mallinfo2 before = mallinfo2 ();
  ck_assert_int_eq (
      dy_wire_unpack (oversized_length_cases[_i].bytes, oversized_length_cases[_i].n, &message),
      DY_PROTOCOL);
  ck_assert_uint_le (mallinfo2 ().arena, before.arena + DY_MAX_FRAME_BYTES);
}
END_TEST

int
main (void)
{
  TCase *tcase = tcase_create ("core");
  tcase_add_loop_test (tcase, retry_depends_on_attempt_outcome, 0, G_N_ELEMENTS (retry_cases));
  tcase_add_test (tcase, retry_stops_after_two_endpoint_failures);
  tcase_add_test (tcase, not_run_is_reported_only_when_certain);
  tcase_add_test (tcase, retry_budget_limits_retries);
  tcase_add_test (tcase, routing_prefers_near_and_skips_leaving);
  tcase_add_test (tcase, routing_picks_the_less_loaded_of_two);
  tcase_add_test (tcase, breaker_opens_probes_and_closes);
  tcase_add_test (tcase, lost_member_moves_only_its_accounts);
  tcase_add_test (tcase, routers_that_may_run_stay_counted);
  tcase_add_test (tcase, member_that_sends_anything_is_live);
  tcase_add_test (tcase, rank_among_all_that_may_run_does_not_depend_on_who_is_heard);
  tcase_add_loop_test (tcase, joining_router_detects_a_known_home, 0, G_N_ELEMENTS (home_cases));
  tcase_add_loop_test (tcase, register_detects_repeated_requests, 0, G_N_ELEMENTS (register_cases));
  tcase_add_test (tcase, unacknowledged_release_does_not_delay_a_drain);
  tcase_add_loop_test (tcase, declarations_are_validated, 0, G_N_ELEMENTS (declaration_cases));
  tcase_add_test (tcase, declarations_never_revert);
  tcase_add_test (tcase, missing_parameters_are_detected);
  tcase_add_loop_test (tcase, chat_requests_are_validated, 0, G_N_ELEMENTS (chat_cases));
  tcase_add_loop_test (tcase, end_of_an_answer_is_held_back, 0, G_N_ELEMENTS (stream_cases));
  tcase_add_test (tcase, few_routers_probe_a_lost_platform);
  tcase_add_test (tcase, messages_round_trip_through_the_wire_format);
  tcase_add_loop_test (tcase, oversized_lengths_are_not_allocated, 0,
                       G_N_ELEMENTS (oversized_length_cases));
  tcase_add_loop_test (tcase, heartbeats_are_read_by_earlier_builds, 0,
                       G_N_ELEMENTS (heartbeat_cases));
  tcase_add_test (tcase, random_frames_are_rejected_or_decoded);
  return suite_run ("core", tcase);
}
