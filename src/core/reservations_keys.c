#include "core/reservations_private.h"

#include "kernel/error.h"

enum
{
  INQUIRY_US = 500 * 1000,
  N_KNOWERS = 2, /* of each charge: the home and the router that accepted the request */
};

/* How long a register remembers, so a moved home must ask others for as long. */
static const int64_t KEY_MEMORY_US = INT64_C (600) * 1000 * 1000;

bool
dy_reservations_has_key (const DyKeyHash *key)
{
  return key->high != 0 || key->low != 0;
}

bool
dy_reservations_must_inquire (const DyReservations *res, const DyMessage *reserve)
{
  DyMessage known = { .type = DY_MESSAGE_KEY_STATE };
  if (!dy_reservations_has_key (&reserve->u.reserve.key)
      || res->now_us - res->members_changed_us >= KEY_MEMORY_US)
    return false;
  dy_register_look_up (&res->reg, &reserve->u.reserve.key, &known);
  return known.u.key.state == DY_KEY_UNSEEN;
}

/* Returns the number of routers that left lately, so that what they knew of keys is lost. */
static uint32_t
count_departed (const DyReservations *res)
{
  uint32_t n = 0;
  for (guint i = 0; i < res->departures->len; i++)
    n += res->now_us - g_array_index (res->departures, DyDeparture, i).departed_us < KEY_MEMORY_US;
  return n;
}

/* Returns whether another router may have been the home of ACCOUNT for as long as keys are kept. */
static bool
was_home_elsewhere (const DyReservations *res, const char *account, uint32_t n_departed)
{
  GHashTableIter iter;
  gpointer name;
  bool young = res->now_us - res->joined_us < KEY_MEMORY_US;
  bool found = young && n_departed > 0;
  g_hash_table_iter_init (&iter, res->members->by_name);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    found = found || dy_members_ranks_above (res->members, account, name);
  for (guint i = 0; i < res->departures->len; i++)
    {
      const DyDeparture *departure = &g_array_index (res->departures, DyDeparture, i);
      const char *gone = g_hash_table_lookup (res->gone, &departure->id);
      bool late = res->now_us - departure->departed_us < KEY_MEMORY_US;
      found = found || (late && gone && dy_members_ranks_above (res->members, account, gone));
    }
  return found;
}

/* Two routers know of each charge for a key, and a router without any other takes no keys. So a
 * charge may be overlooked only when two that may know of it are out of reach or gone. The router
 * that is to be the account's home, all being well, is spared, unless it restarted lately: where it
 * cannot be reached, nobody else takes the key. */
static bool
is_doubtful (const DyReservations *res, const DyInquiry *inquiry)
{
  uint32_t n_departed = MAX (count_departed (res), inquiry->n_departed);
  uint32_t n_unheard = 0;
  GHashTableIter iter;
  gpointer member;
  g_hash_table_iter_init (&iter, res->members->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &member))
    n_unheard += !dy_inquiry_has_reply (inquiry, member);
  if (n_unheard == 0)
    return false;
  if (n_unheard == g_hash_table_size (res->members->by_name))
    return true;
  return n_unheard + n_departed >= N_KNOWERS
         && was_home_elsewhere (res, inquiry->reserve.u.reserve.account, n_departed);
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
  dy_register_import (&res->sent, &state, res->now_us);
}

/* Takes what a member, this one included, knows of the key that INQUIRY is about. */
static void
learn_key (DyReservations *res, DyInquiry *inquiry, const DyMessage *state)
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
  DyInquiry *inquiry = dy_inquiries_add (&res->inquiries, reserve, link, res->now_us + INQUIRY_US);
  dy_register_look_up (&res->sent, &message.u.key.key, &own);
  learn_key (res, inquiry, &own);
  dy_reservations_send_to_members (res, &message, NULL);
}

/* All who may know of the key have answered. */
static void
end_inquiry (DyReservations *res, const DyInquiry *inquiry)
{
  DyMessage reserve = inquiry->reserve;
  bool remote = inquiry->link != 0;
  int error = inquiry->running ? DY_REQUEST_RUNNING : DY_OK;
  if (!error && dy_reservations_must_inquire (res, &reserve) && is_doubtful (res, inquiry))
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
  reply.u.key.n_departed = count_departed (res);
  dy_register_look_up (&res->sent, &message->u.key.key, &reply);
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
  g_hash_table_add (inquiry->heard, g_memdup2 (&message->u.key.member_id, sizeof (uint64_t)));
  inquiry->n_departed = MAX (inquiry->n_departed, message->u.key.n_departed);
  learn_key (res, inquiry, message);
  if (dy_inquiry_is_over (inquiry, res->members, res->now_us))
    end_inquiry (res, inquiry);
}
