/* Tests of admission control in virtual time: requests occupy their slots for a fixed time. */

#include "core/admission.h"
#include "kernel/error.h"
#include "support/suite.h"

#include <string.h>

enum
{
  N_SMALL = 9,
  N_ACCOUNTS = N_SMALL + 1,
  MS = 1000,
  SECOND = 1000 * 1000,
  RUN_US = 60 * SECOND,
  MAX_SMALL_WAIT_US = 2 * SECOND,
  WARM_UP_US = 5 * SECOND, /* not measured: slots are still free and go to the first requests */
  MAX_ITEMS = 40000,
};

typedef struct
{
  int account;
  int64_t submitted_us;
  int64_t end_us; /* time at which it frees its slot; 0: not running */
  int64_t tokens;
} Item;

typedef struct
{
  DyAdmission adm;
  char names[N_ACCOUNTS][16];
  Item items[MAX_ITEMS];
  int n_items;
  int64_t now_us;
  int64_t service_us;                /* time for which a request occupies its slot */
  int64_t served_tokens[N_ACCOUNTS]; /* tokens of requests that ended after the warm-up */
  int64_t longest_wait_us[N_ACCOUNTS];
  int n_refused[N_ACCOUNTS];
} Model;

static void
on_admit (void *ctx, void *data)
{
  Model *model = ctx;
  Item *item = data;
  int64_t wait_us = model->now_us - item->submitted_us;
  item->end_us = model->now_us + model->service_us;
  model->longest_wait_us[item->account] = MAX (model->longest_wait_us[item->account], wait_us);
}

static void
on_refuse (void *ctx, void *data, int error)
{
  Model *model = ctx;
  const Item *item = data;
  ck_assert_int_eq (error, DY_QUEUE_FULL);
  model->n_refused[item->account]++;
}

static const DyAdmissionActions actions = { .admit = on_admit, .refuse = on_refuse };

static void
model_init (Model *model, int64_t service_us)
{
  DyAdmissionPolicy policy = { .n_slots = 20, .kept_percent = 40, .queue_length = 64 };
  memset (model, 0, sizeof *model);
  model->service_us = service_us;
  for (int i = 0; i < N_ACCOUNTS; i++)
    g_snprintf (model->names[i], sizeof model->names[i], "account-%d", i);
  dy_admission_init (&model->adm, &policy, &actions, model);
}

static void
submit (Model *model, int account, int64_t share, int64_t tokens)
{
  ck_assert_int_lt (model->n_items, MAX_ITEMS);
  Item *item = &model->items[model->n_items++];
  *item = (Item){ .account = account, .submitted_us = model->now_us, .tokens = tokens };
  dy_admission_submit (&model->adm, model->names[account], share, tokens,
                       model->now_us + 10 * SECOND, item);
}

static void
end_items (Model *model)
{
  for (int i = 0; i < model->n_items; i++)
    {
      Item *item = &model->items[i];
      if (item->end_us == 0 || item->end_us > model->now_us)
        continue;
      item->end_us = 0;
      if (model->now_us >= WARM_UP_US)
        model->served_tokens[item->account] += item->tokens;
      dy_admission_done (&model->adm, model->names[item->account], 0);
    }
}

/* Account 0 requests at least ten times its share beside nine small accounts; all requests have the
 * same service time. Small accounts below their share must not wait long or be refused; if all
 * accounts request more than their share, each must get it. */
static const struct
{
  int64_t service_us;
  int64_t small_interval_us;
} load_cases[] = {
  { 200 * MS, 500 * MS },    /* small accounts below their share */
  { 1000 * MS, 400 * MS },   /* all accounts above their share */
  { 8000 * MS, 20000 * MS }, /* small accounts below their share, long requests */
};

START_TEST (no_account_is_starved)
{
  Model *model = g_new (Model, 1);
  int64_t service_us = load_cases[_i].service_us;
  int64_t small_us = load_cases[_i].small_interval_us;
  int64_t large_us = service_us / 20;
  bool overloaded = small_us < service_us / 2;
  model_init (model, service_us);
  dy_admission_set_total_share (&model->adm, N_ACCOUNTS);
  for (model->now_us = 0; model->now_us < RUN_US; model->now_us += 10 * MS)
    {
      end_items (model);
      dy_admission_refuse_expired (&model->adm, model->now_us);
      if (model->now_us % MAX (large_us / 10, 10 * MS) == 0)
        submit (model, 0, 1, 100);
      for (int i = 1; i < N_ACCOUNTS; i++)
        if ((model->now_us + i * small_us / N_ACCOUNTS / (10 * MS) * 10 * MS) % small_us == 0)
          submit (model, i, 1, 100);
    }
  for (int i = 1; i < N_ACCOUNTS; i++)
    {
      if (overloaded)
        /* All request more than a tenth: each gets at least 9/10 of what account 0 gets. */
        ck_assert_int_ge (model->served_tokens[i] * 10 * 10, (model->served_tokens[0] * 10) * 9);
      else
        {
          ck_assert_int_le (model->longest_wait_us[i], MAX_SMALL_WAIT_US);
          ck_assert_int_eq (model->n_refused[i], 0);
        }
    }
  ck_assert_int_gt (model->n_refused[0], 0);
  dy_admission_finish (&model->adm);
  g_free (model);
}
END_TEST

START_TEST (tokens_are_proportional_to_shares)
{
  Model *model = g_new (Model, 1);
  model_init (model, 100 * MS);
  for (model->now_us = 0; model->now_us < RUN_US; model->now_us += 10 * MS)
    {
      end_items (model);
      submit (model, 0, 3, 100);
      submit (model, 0, 3, 100);
      submit (model, 1, 1, 100);
    }
  double ratio = (double) model->served_tokens[0] / (double) model->served_tokens[1];
  ck_assert_double_ge (ratio, 2.7);
  ck_assert_double_le (ratio, 3.3);
  dy_admission_finish (&model->adm);
  g_free (model);
}
END_TEST

START_TEST (waits_and_queues_are_bounded)
{
  Model *model = g_new (Model, 1);
  model_init (model, 100 * SECOND);
  for (int i = 0; i < 100; i++)
    submit (model, 0, 1, 100);
  /* The only account may use all 20 slots, and its queue holds 64 requests. */
  ck_assert_int_eq (model->n_refused[0], 100 - 20 - 64);
  model->now_us = 10 * SECOND;
  dy_admission_refuse_expired (&model->adm, model->now_us);
  ck_assert_int_eq (model->n_refused[0], 100 - 20);
  ck_assert_uint_eq (model->adm.n_queued, 0);
  dy_admission_finish (&model->adm);
  g_free (model);
}
END_TEST

START_TEST (a_cancelled_item_is_removed)
{
  Model *model = g_new (Model, 1);
  model_init (model, 100 * SECOND);
  for (int i = 0; i < 21; i++)
    submit (model, 0, 1, 100);
  ck_assert_uint_eq (model->adm.n_queued, 1);
  dy_admission_cancel (&model->adm, model->names[0], &model->items[20]);
  dy_admission_done (&model->adm, model->names[0], 0);
  ck_assert_uint_eq (model->adm.n_queued, 0);
  ck_assert_uint_eq (model->adm.n_running, 19);
  dy_admission_finish (&model->adm);
  g_free (model);
}
END_TEST

int
main (void)
{
  TCase *tcase = tcase_create ("admission");
  tcase_add_loop_test (tcase, no_account_is_starved, 0, G_N_ELEMENTS (load_cases));
  tcase_add_test (tcase, tokens_are_proportional_to_shares);
  tcase_add_test (tcase, waits_and_queues_are_bounded);
  tcase_add_test (tcase, a_cancelled_item_is_removed);
  return suite_run ("admission", tcase);
}
