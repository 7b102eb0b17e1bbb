#include "core/reservations_private.h"

#include "kernel/error.h"

enum
{
  INQUIRY_TIMEOUT_US = 500 * 1000,
  N_CHARGE_COPIES = 2, /* routers with a record of each charge: the home and the origin */
};

/* Time for which a register keeps a key, so a new home must ask the other members for as long. */
static const int64_t KEY_RETENTION_US = INT64_C (600) * 1000 * 1000;

bool
dy_reservations_has_key (const DyKeyHash *key)
{
  return key->high != 0 || key->low != 0;
}

bool
dy_reservations_must_inquire (const DyReservations *res, const DyMessage *reserve)
{
  DyMessage state = { .type = DY_MESSAGE_KEY_STATE };
  if (!dy_reservations_has_key (&reserve->u.reserve.key)
      || res->now_us - res->members_changed_us >= KEY_RETENTION_US)
    return false;
  dy_register_look_up (&res->reg, &reserve->u.reserve.key, &state);
  return state.u.key.state == DY_KEY_UNSEEN;
}

/* Counts the routers that died within KEY_RETENTION_US; their records of keys are lost. */
static uint32_t
count_recent_deaths (const DyReservations *res)
{
  uint32_t n = 0;
  for (guint i = 0; i < res->recent_deaths->len; i++)
    n += res->now_us - g_array_index (res->recent_deaths, DyRouterDeath, i).detected_us
         < KEY_RETENTION_US;
  return n;
}

/* Returns whether another router may have been the home of ACCOUNT within KEY_RETENTION_US. */
static bool
another_was_home (const DyReservations *res, const char *account, uint32_t n_recent_deaths)
{
  GHashTableIter iter;
  gpointer name;
  bool joined_recently = res->now_us - res->joined_us < KEY_RETENTION_US;
  bool found = joined_recently && n_recent_deaths > 0;
  g_hash_table_iter_init (&iter, res->members->by_name);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    found = found || dy_members_ranks_above (res->members, account, name);
  for (guint i = 0; i < res->recent_deaths->len; i++)
    {
      const DyRouterDeath *death = &g_array_index (res->recent_deaths, DyRouterDeath, i);
      const char *dead_name = g_hash_table_lookup (res->dead_names, &death->id);
      bool recent = res->now_us - death->detected_us < KEY_RETENTION_US;
      found = found
              || (recent && dead_name && dy_members_ranks_above (res->members, account, dead_name));
    }
  return found;
}

/* Returns whether INQUIRY may have missed a charge for its key. Two routers have a record of each
 * charge, and an isolated router refuses requests with a key. So a charge can be missed only when
 * two routers that may have one are unreachable or dead. That cannot happen to the member with the
 * highest rendezvous hash for the account, unless it restarted recently: other routers that cannot
 * reach it refuse the key. */
static bool
may_miss_charge (const DyReservations *res, const DyInquiry *inquiry)
{
  uint32_t n_recent_deaths = MAX (count_recent_deaths (res), inquiry->n_recent_deaths);
  uint32_t n_without_reply = 0;
  GHashTableIter iter;
  gpointer member;
  g_hash_table_iter_init (&iter, res->members->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &member))
    n_without_reply += !dy_inquiry_has_reply (inquiry, member);
  if (n_without_reply == 0)
    return false;
  if (n_without_reply == g_hash_table_size (res->members->by_name))
    return true;
  return n_without_reply + n_recent_deaths >= N_CHARGE_COPIES
         && another_was_home (res, inquiry->reserve.u.reserve.account, n_recent_deaths);
}

int
dy_reservations_check_key_isolated (const DyReservations *res, const DyKeyHash *key)
{
  bool others = g_hash_table_size (res->members->by_name) > 0;
  return others && dy_reservations_has_key (key) ? DY_KEY_UNCHECKED : DY_OK;
}

void
dy_reservations_record_charge (DyReservations *res,
                               const DyKeyHash *key,
                               uint64_t body_hash,
                               bool idempotent,
                               int64_t key_tokens)
{
  DyMessage state = { .type = DY_MESSAGE_KEY_STATE };
  if (!dy_reservations_has_key (key))
    return;
  state.u.key.key = *key;
  state.u.key.state = DY_KEY_CHARGED;
  state.u.key.body_hash = body_hash;
  state.u.key.idempotent = idempotent;
  state.u.key.charged_tokens = key_tokens;
  dy_register_import (&res->origin_reg, &state, res->now_us);
}

/* Adds the record that a member, or this router, has of INQUIRY's key to the register. */
static void
import_key_state (DyReservations *res, DyInquiry *inquiry, const DyMessage *state)
{
  if (state->u.key.state == DY_KEY_RUNNING)
    inquiry->running = true;
  else if (state->u.key.state != DY_KEY_UNSEEN)
    dy_register_import (&res->reg, state, res->now_us);
}

void
dy_reservations_inquire (DyReservations *res, const DyMessage *reserve, uint64_t link)
{
  DyMessage message = { .type = DY_MESSAGE_KEY_QUERY };
  if (dy_inquiries_find (&res->inquiries, &reserve->u.reserve.id))
    return;
  message.u.key.id = reserve->u.reserve.id;
  message.u.key.key = reserve->u.reserve.key;
  DyMessage own = message;
  DyInquiry *inquiry
      = dy_inquiries_add (&res->inquiries, reserve, link, res->now_us + INQUIRY_TIMEOUT_US);
  dy_register_look_up (&res->origin_reg, &message.u.key.key, &own);
  import_key_state (res, inquiry, &own);
  dy_reservations_send_to_members (res, &message, NULL);
}

/* Reserves for the request of INQUIRY, or refuses it, after the last reply or the timeout. */
static void
end_inquiry (DyReservations *res, const DyInquiry *inquiry)
{
  DyMessage reserve = inquiry->reserve;
  bool remote = inquiry->link != 0;
  int error = inquiry->running ? DY_REQUEST_RUNNING : DY_OK;
  if (!error && dy_reservations_must_inquire (res, &reserve) && may_miss_charge (res, inquiry))
    error = DY_KEY_UNCHECKED;
  dy_inquiries_remove (&res->inquiries, &reserve.u.reserve.id);
  DyTicket *ticket = g_hash_table_lookup (res->tickets, &reserve.u.reserve.id);
  if (remote)
    dy_reservations_admit_remote (res, &reserve, error);
  else if (ticket)
    dy_reservations_admit_local (res, ticket, error);
}

void
dy_reservations_check_inquiries (DyReservations *res)
{
  GList *inquiries = g_hash_table_get_values (res->inquiries.table);
  for (GList *l = inquiries; l; l = l->next)
    if (dy_inquiry_is_over (l->data, res->members, res->now_us))
      end_inquiry (res, l->data);
  g_list_free (inquiries);
}

void
dy_reservations_on_key_query_message (DyReservations *res, uint64_t link, const DyMessage *message)
{
  DyMessage reply = *message;
  reply.type = DY_MESSAGE_KEY_STATE;
  reply.u.key.member_id = res->policy.self_id;
  reply.u.key.n_recent_deaths = count_recent_deaths (res);
  dy_register_look_up (&res->origin_reg, &message->u.key.key, &reply);
  if (reply.u.key.state == DY_KEY_UNSEEN)
    dy_register_look_up (&res->reg, &message->u.key.key, &reply);
  res->actions->reply (res->ctx, link, &reply);
}

void
dy_reservations_on_key_state_message (DyReservations *res, const DyMessage *message)
{
  DyInquiry *inquiry = dy_inquiries_find (&res->inquiries, &message->u.key.id);
  if (!inquiry)
    return;
  g_hash_table_add (inquiry->responders, g_memdup2 (&message->u.key.member_id, sizeof (uint64_t)));
  inquiry->n_recent_deaths = MAX (inquiry->n_recent_deaths, message->u.key.n_recent_deaths);
  import_key_state (res, inquiry, message);
  if (dy_inquiry_is_over (inquiry, res->members, res->now_us))
    end_inquiry (res, inquiry);
}
