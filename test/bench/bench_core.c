/* Benchmark of the decision core: CPU time of each operation and heap memory of each item at
 * several sizes, and the encoded size of messages between routers. Prints a line for each figure,
 * then all of them as JSON. */

#include "core/admission.h"
#include "core/declarations.h"
#include "core/ledger.h"
#include "core/members.h"
#include "core/routing.h"
#include "kernel/error.h"
#include "services/peers/wire.h"

#include <inttypes.h>
#include <jansson.h>
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  N_ROUNDS = 200000,
  N_HOME_ROUNDS = 20000,
  GRANT_TOKENS = 1000000000,
  TICK_ROUNDS = 20,
};

static json_t *results;

static int64_t
now_ns (void)
{
  struct timespec t;
  clock_gettime (CLOCK_THREAD_CPUTIME_ID, &t);
  return (int64_t) t.tv_sec * 1000000000 + t.tv_nsec;
}

static int64_t
heap_bytes (void)
{
  return (int64_t) mallinfo2 ().uordblks;
}

/* Adds a figure: NS of CPU time for one operation on SIZE items, and BYTES of heap for one item or
 * of the encoded message or ledger entry. 0: not measured. */
static void
record (const char *label, uint32_t size, double ns, double bytes)
{
  printf ("%-34s size %7u  ns %10.1f  bytes %8.1f\n", label, size, ns, bytes);
  json_array_append_new (results, json_pack ("{s:s, s:i, s:f, s:f}", "what", label, "size",
                                             (int) size, "ns", ns, "bytes", bytes));
}

/* --- ledger --- */

/* A ledger and its platform, which replies in complete_platform_calls(). */
typedef struct
{
  DyLedger ledger;
  char account[32]; /* of the pending platform call */
  bool reading;
  bool writing;
  uint64_t version;    /* of the latest reply */
  DyLedgerEntry entry; /* ledger entry that every read returns, whatever the account */
} Holder;

static void
on_read (void *ctx, const char *account)
{
  Holder *holder = ctx;
  holder->reading = true;
  g_strlcpy (holder->account, account, sizeof holder->account);
}

static void
on_write (void *ctx, const char *account, uint64_t version, const DyLedgerEntry *entry)
{
  Holder *holder = ctx;
  (void) version;
  (void) entry;
  holder->writing = true;
  g_strlcpy (holder->account, account, sizeof holder->account);
}

static void
on_reserved (void *ctx, const DyRequestId *id, int error)
{
  (void) ctx;
  (void) id;
  if (error)
    abort ();
}

static const DyLedgerActions actions
    = { .read = on_read, .write = on_write, .reserved = on_reserved };

static void
complete_platform_calls (Holder *holder, int64_t now_us)
{
  while (holder->reading || holder->writing)
    if (holder->reading)
      {
        holder->reading = false;
        dy_ledger_on_read (&holder->ledger, holder->account, DY_OK, ++holder->version,
                           &holder->entry, now_us);
      }
    else
      {
        holder->writing = false;
        dy_ledger_on_write (&holder->ledger, holder->account, DY_OK, ++holder->version, now_us);
      }
}

static void
reserve_and_settle (Holder *holder, uint32_t budget, uint64_t request_number, int64_t now_us)
{
  char name[32];
  DyRequestId id = { 5, request_number };
  g_snprintf (name, sizeof name, "account-%u", budget);
  dy_ledger_reserve (&holder->ledger, name, &id, 100, 0, now_us + 1000000, now_us);
  complete_platform_calls (holder, now_us);
  dy_ledger_settle (&holder->ledger, name, &id, 80, now_us);
  dy_ledger_raise_oldest_open (&holder->ledger, 5, request_number + 1);
}

static void
bench_ledger (uint32_t n_budgets)
{
  DyLedgerPolicy policy = { .horizon_us = 5000000,
                            .unsettled_percent = 100,
                            .minimum_tokens = GRANT_TOKENS,
                            .percent = 50,
                            .settle_interval_us = INT64_MAX / 2,
                            .idle_return_us = INT64_MAX / 2 };
  Holder *holder = g_new0 (Holder, 1);
  dy_ledger_entry_init (&holder->entry);
  holder->entry.paid_tokens = INT64_C (4) * GRANT_TOKENS;
  dy_ledger_init (&holder->ledger, 4, "r1", 1, &policy, &actions, holder);
  int64_t heap_before = heap_bytes ();
  for (uint32_t i = 0; i < n_budgets; i++)
    reserve_and_settle (holder, i, i, 1);
  dy_ledger_tick (&holder->ledger, 20000000);
  double bytes = (double) (heap_bytes () - heap_before) / n_budgets;
  int64_t start = now_ns ();
  for (uint32_t i = 0; i < N_ROUNDS; i++)
    reserve_and_settle (holder, (uint32_t) ((uint64_t) i * 2654435761U % n_budgets), n_budgets + i,
                        20000001);
  record ("reserve and settle", n_budgets, (double) (now_ns () - start) / N_ROUNDS, bytes);
  start = now_ns ();
  for (int i = 0; i < TICK_ROUNDS; i++)
    dy_ledger_tick (&holder->ledger, 20000002);
  record ("ledger tick, all budgets", n_budgets, (double) (now_ns () - start) / TICK_ROUNDS, 0);
  dy_ledger_finish (&holder->ledger);
  dy_ledger_entry_finish (&holder->entry);
  g_free (holder);
}

static void
bench_ledger_entry (uint32_t n_parts)
{
  DyLedgerEntry entry;
  dy_ledger_entry_init (&entry);
  entry.paid_tokens = GRANT_TOKENS;
  dy_ledger_entry_add_row (&entry, 4, "router-1")->granted_tokens = GRANT_TOKENS;
  for (uint32_t i = 0; i < n_parts; i++)
    dy_ledger_entry_raise_part (&entry, 4, UINT64_C (0x1000000000000000) + i, 1000);
  int64_t start = now_ns ();
  char *text = NULL;
  for (int i = 0; i < 1000; i++)
    {
      free (text);
      text = dy_ledger_entry_format (&entry);
    }
  record ("ledger entry written, by askers", n_parts, (double) (now_ns () - start) / 1000,
          (double) strlen (text));
  free (text);
  dy_ledger_entry_finish (&entry);
}

/* --- members, routing, admission, declarations --- */

static void
bench_home (uint32_t n_members)
{
  DyMembers members;
  int64_t heap_before = heap_bytes ();
  dy_members_init (&members, "router-0", 1000000);
  for (uint32_t i = 1; i < n_members; i++)
    {
      char name[32];
      g_snprintf (name, sizeof name, "router-%u", i);
      dy_members_put (&members, name, "10.0.0.1:8082", "dc-a", false);
      dy_members_record_heartbeat (&members, name, i, false, 0);
    }
  double bytes = (double) (heap_bytes () - heap_before) / n_members;
  int64_t start = now_ns ();
  for (int i = 0; i < N_HOME_ROUNDS; i++)
    {
      char name[32];
      g_snprintf (name, sizeof name, "account-%d", i);
      dy_members_home (&members, name, NULL, 0);
    }
  record ("home choice, members", n_members, (double) (now_ns () - start) / N_HOME_ROUNDS, bytes);
  dy_members_finish (&members);
}

static void
bench_routing (uint32_t n_endpoints)
{
  static const char *const models[] = { "m", NULL };
  DyRouting routing;
  int64_t heap_before = heap_bytes ();
  dy_routing_init (&routing, "dc-a", 1);
  for (uint32_t i = 0; i < n_endpoints; i++)
    {
      char name[32];
      g_snprintf (name, sizeof name, "endpoint-%u", i);
      DyEndpointSpec spec = { .name = name,
                              .url = "http://10.0.0.1:9000",
                              .data_centre = i % 4 ? "dc-b" : "dc-a",
                              .models = models };
      dy_routing_put (&routing, &spec);
    }
  double bytes = (double) (heap_bytes () - heap_before) / n_endpoints;
  int64_t start = now_ns ();
  for (int i = 0; i < N_ROUNDS; i++)
    {
      const DyEndpoint *endpoint = dy_routing_pick (&routing, "m", DY_ENDPOINT_ENGINE, NULL, i);
      dy_routing_done (&routing, endpoint->name, false, i);
    }
  record ("endpoint choice", n_endpoints, (double) (now_ns () - start) / N_ROUNDS, bytes);
  dy_routing_finish (&routing);
}

static void
ignore_item (void *ctx, void *item)
{
  (void) ctx;
  (void) item;
}

static void
ignore_refusal (void *ctx, void *item, int error)
{
  (void) ctx;
  (void) item;
  (void) error;
}

static void
bench_admission (uint32_t n_accounts)
{
  static const DyAdmissionActions no_actions = { .admit = ignore_item, .refuse = ignore_refusal };
  DyAdmissionPolicy policy = { .n_slots = 512, .kept_percent = 40, .queue_length = 128 };
  DyAdmission adm;
  dy_admission_init (&adm, &policy, &no_actions, NULL);
  dy_admission_set_total_share (&adm, n_accounts);
  int64_t start = now_ns ();
  for (int i = 0; i < N_ROUNDS; i++)
    {
      char name[32];
      g_snprintf (name, sizeof name, "account-%u", (uint32_t) i % n_accounts);
      dy_admission_submit (&adm, name, 1, 100, INT64_MAX, NULL);
      dy_admission_done (&adm, name, 20);
    }
  record ("admission", n_accounts, (double) (now_ns () - start) / N_ROUNDS, 0);
  dy_admission_finish (&adm);
}

static void
bench_declarations (uint32_t n_accounts)
{
  DyDeclarations decl;
  char *error_text = NULL;
  int64_t heap_before = heap_bytes ();
  dy_declarations_init (&decl);
  dy_declarations_put (
      &decl, "config/template/t", 1,
      "[template]\nname=t\nshare=${share}\nbudget_tokens=1000\nmax_tokens_per_request=10\n", NULL,
      &error_text);
  int64_t start = now_ns ();
  for (uint32_t i = 0; i < n_accounts; i++)
    {
      char *key = g_strdup_printf ("config/account/account-%u", i);
      char *text = g_strdup_printf (
          "[account]\nname=account-%u\ntemplate=t\n[parameters]\nshare=2\n[keys]\nsha256=%064u\n",
          i, i);
      dy_declarations_put (&decl, key, 2, text, NULL, &error_text);
      g_free (key);
      g_free (text);
    }
  double ns = (double) (now_ns () - start) / n_accounts;
  record ("declaration in force", n_accounts, ns,
          (double) (heap_bytes () - heap_before) / n_accounts);
  dy_declarations_finish (&decl);
}

/* --- messages --- */

static size_t
encoded_bytes (const DyMessage *message)
{
  msgpack_sbuffer out;
  msgpack_sbuffer_init (&out);
  dy_wire_pack (message, &out);
  size_t n = out.size;
  msgpack_sbuffer_destroy (&out);
  return n;
}

static void
bench_messages (void)
{
  DyRequestId id = { UINT64_C (0x1234567890abcdee), 123456 };
  DyMessage reserve = { .type = DY_MESSAGE_RESERVE };
  DyMessage reserved = { .type = DY_MESSAGE_RESERVED };
  DyMessage settle = { .type = DY_MESSAGE_SETTLE };
  DyMessage settled = { .type = DY_MESSAGE_SETTLED };
  DyMessage ping = { .type = DY_MESSAGE_PING };
  reserve.u.reserve.id = settle.u.settle.id = reserved.u.result.id = settled.u.result.id = id;
  reserve.u.reserve.home_id = settle.u.settle.home_id = id.origin_id;
  reserve.u.reserve.tokens = 3000;
  reserve.u.reserve.wait_us = 3000000;
  reserve.u.reserve.body_hash = settle.u.settle.body_hash = id.origin_id;
  reserve.u.reserve.oldest_open = settle.u.settle.oldest_open = 123000;
  settle.u.settle.used_tokens = settled.u.result.charged_tokens = 500;
  g_strlcpy (reserve.u.reserve.account, "account-1234", DY_NAME_SIZE);
  g_strlcpy (settle.u.settle.account, "account-1234", DY_NAME_SIZE);
  ping.u.heartbeat.config_version = 1000000;
  record ("wire: reserve", 1, 0, (double) encoded_bytes (&reserve));
  record ("wire: reserved", 1, 0, (double) encoded_bytes (&reserved));
  record ("wire: settle", 1, 0, (double) encoded_bytes (&settle));
  record ("wire: settled", 1, 0, (double) encoded_bytes (&settled));
  record ("wire: heartbeat", 1, 0, (double) encoded_bytes (&ping));
  int64_t start = now_ns ();
  for (int i = 0; i < N_ROUNDS; i++)
    {
      DyMessage decoded;
      msgpack_sbuffer out;
      msgpack_sbuffer_init (&out);
      dy_wire_pack (&reserve, &out);
      dy_wire_unpack (out.data + DY_FRAME_HEADER_BYTES, out.size - DY_FRAME_HEADER_BYTES, &decoded);
      msgpack_sbuffer_destroy (&out);
    }
  record ("wire: reserve packed and read", 1, (double) (now_ns () - start) / N_ROUNDS, 0);
}

int
main (void)
{
  results = json_array ();
  bench_ledger (10);
  bench_ledger (1000);
  bench_ledger (150000);
  bench_ledger_entry (7);
  bench_ledger_entry (360);
  bench_home (9);
  bench_home (360);
  bench_routing (20);
  bench_routing (7500);
  bench_admission (10);
  bench_admission (2900);
  bench_declarations (10);
  bench_declarations (2900);
  bench_messages ();
  char *text = json_dumps (results, JSON_COMPACT);
  printf ("%s\n", text);
  free (text);
  json_decref (results);
  return EXIT_SUCCESS;
}
