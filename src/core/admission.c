#include "core/admission.h"

#include "kernel/error.h"

#include <string.h>

enum
{
  MAX_PRIORITY = 1000,
};

static const double TOKENS_PER_PRIORITY = 1000.0;

typedef struct
{
  void *item;
  int64_t cost_tokens;
  int64_t deadline_us;
} Queued;

typedef struct
{
  char *name;
  int64_t share;
  double next_tag; /* start tag of its next request */
  uint32_t n_running;
  GQueue queue;
} Account;

static void
free_account (gpointer data)
{
  Account *acct = data;
  g_queue_clear_full (&acct->queue, g_free);
  g_free (acct->name);
  g_free (acct);
}

static Account *
find_account (const DyAdmission *adm, const char *name)
{
  return g_hash_table_lookup (adm->accounts, name);
}

/* An account that was idle does not catch up on what it did not use. */
static Account *
get_account (DyAdmission *adm, const char *name, int64_t share)
{
  Account *acct = find_account (adm, name);
  if (!acct)
    {
      acct = g_new0 (Account, 1);
      acct->name = g_strdup (name);
      acct->next_tag = adm->virtual_time;
      g_queue_init (&acct->queue);
      g_hash_table_insert (adm->accounts, acct->name, acct);
    }
  acct->share = MAX (share, 1);
  if (acct->queue.length == 0)
    acct->next_tag = MAX (acct->next_tag, adm->virtual_time);
  return acct;
}

/* An account without requests whose turn has passed is as one never seen. */
static void
forget_if_idle (DyAdmission *adm, Account *acct)
{
  if (acct->n_running > 0 || acct->queue.length > 0 || acct->next_tag > adm->virtual_time)
    return;
  g_hash_table_remove (adm->accounts, acct->name);
}

static bool
below_share (const DyAdmission *adm, const Account *acct)
{
  int64_t slots = (int64_t) adm->policy.n_slots * acct->share / MAX (adm->total_share, acct->share);
  return acct->n_running < MAX (slots, 1);
}

static bool
may_run (const DyAdmission *adm, const Account *acct)
{
  uint32_t open = adm->policy.n_slots - adm->policy.n_slots * adm->policy.kept_percent / 100;
  if (adm->n_running >= adm->policy.n_slots)
    return false;
  return adm->n_running < open || below_share (adm, acct);
}

static Account *
next_account (const DyAdmission *adm)
{
  Account *best = NULL;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, adm->accounts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Account *acct = value;
      if (acct->queue.length == 0 || !may_run (adm, acct))
        continue;
      if (!best || acct->next_tag < best->next_tag)
        best = acct;
    }
  return best;
}

static void
admit_one (DyAdmission *adm, Account *acct)
{
  Queued *queued = g_queue_pop_head (&acct->queue);
  void *item = queued->item;
  adm->virtual_time = MAX (adm->virtual_time, acct->next_tag);
  acct->next_tag += (double) queued->cost_tokens / (double) acct->share;
  acct->n_running++;
  adm->n_running++;
  adm->n_queued--;
  g_free (queued);
  adm->actions->admit (adm->ctx, item);
}

/* Admitted requests may end at once and come back here; the outer call goes on for them. */
static void
admit_waiting (DyAdmission *adm)
{
  Account *acct;
  if (adm->admitting)
    return;
  adm->admitting = true;
  while (adm->n_queued > 0 && (acct = next_account (adm)))
    admit_one (adm, acct);
  adm->admitting = false;
}

void
dy_admission_init (DyAdmission *adm,
                   const DyAdmissionPolicy *policy,
                   const DyAdmissionActions *actions,
                   void *ctx)
{
  memset (adm, 0, sizeof *adm);
  adm->policy = *policy;
  adm->actions = actions;
  adm->ctx = ctx;
  adm->accounts = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_account);
}

void
dy_admission_finish (DyAdmission *adm)
{
  g_hash_table_unref (adm->accounts);
  memset (adm, 0, sizeof *adm);
}

void
dy_admission_set_total_share (DyAdmission *adm, int64_t total_share)
{
  adm->total_share = total_share;
}

void
dy_admission_submit (DyAdmission *adm,
                     const char *account,
                     int64_t share,
                     int64_t cost_tokens,
                     int64_t deadline_us,
                     void *item)
{
  Account *acct = get_account (adm, account, share);
  if (acct->queue.length >= adm->policy.queue_length)
    {
      adm->actions->refuse (adm->ctx, item, DY_QUEUE_FULL);
      return;
    }
  Queued *queued = g_new (Queued, 1);
  *queued = (Queued){ .item = item, .cost_tokens = cost_tokens, .deadline_us = deadline_us };
  g_queue_push_tail (&acct->queue, queued);
  adm->n_queued++;
  admit_waiting (adm);
}

void
dy_admission_done (DyAdmission *adm, const char *account, int64_t unused_tokens)
{
  Account *acct = find_account (adm, account);
  if (!acct || acct->n_running == 0)
    return;
  acct->n_running--;
  adm->n_running--;
  acct->next_tag -= (double) unused_tokens / (double) acct->share;
  forget_if_idle (adm, acct);
  admit_waiting (adm);
}

void
dy_admission_cancel (DyAdmission *adm, const char *account, const void *item)
{
  Account *acct = find_account (adm, account);
  for (GList *link = acct ? acct->queue.head : NULL; link; link = link->next)
    if (((const Queued *) link->data)->item == item)
      {
        g_free (link->data);
        g_queue_delete_link (&acct->queue, link);
        adm->n_queued--;
        return;
      }
}

/* Moves the items of ACCT that are past their deadline to EXPIRED. */
static void
take_expired (DyAdmission *adm, Account *acct, int64_t now_us, GPtrArray *expired)
{
  GList *link = acct->queue.head;
  while (link)
    {
      GList *next = link->next;
      Queued *queued = link->data;
      if (now_us >= queued->deadline_us)
        {
          g_ptr_array_add (expired, queued->item);
          g_free (queued);
          g_queue_delete_link (&acct->queue, link);
          adm->n_queued--;
        }
      link = next;
    }
}

void
dy_admission_refuse_expired (DyAdmission *adm, int64_t now_us)
{
  GPtrArray *expired = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, adm->accounts);
  while (adm->n_queued > 0 && g_hash_table_iter_next (&iter, NULL, &value))
    take_expired (adm, value, now_us, expired);
  for (guint i = 0; i < expired->len; i++)
    adm->actions->refuse (adm->ctx, g_ptr_array_index (expired, i), DY_QUEUE_FULL);
  g_ptr_array_unref (expired);
}

int64_t
dy_admission_priority (const DyAdmission *adm, const char *account)
{
  const Account *acct = find_account (adm, account);
  if (!acct)
    return 0;
  double ahead = (acct->next_tag - adm->virtual_time) / TOKENS_PER_PRIORITY;
  return (int64_t) CLAMP (ahead, 0.0, (double) MAX_PRIORITY);
}
