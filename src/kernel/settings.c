#include "kernel/settings.h"

#include "kernel/error.h"

#include <glib.h>
#include <stddef.h>
#include <string.h>

#define STRING(section, key, field, fallback, help)                                                \
  {                                                                                                \
    section, key, DY_SETTING_STRING, offsetof (DySettings, field), NULL, fallback, 0, 0, help,     \
        false                                                                                      \
  }
#define CHOICE(section, key, field, choices, fallback, help)                                       \
  {                                                                                                \
    section, key, DY_SETTING_CHOICE, offsetof (DySettings, field), choices, fallback, 0, 0, help,  \
        false                                                                                      \
  }
#define INTEGER(section, key, fallback, min, max, help)                                            \
  {                                                                                                \
    section, #key, DY_SETTING_INTEGER, offsetof (DySettings, key), NULL, fallback, min, max, help, \
        false                                                                                      \
  }
/* A decimal number, stored in thousandths like its bounds, so that seconds are stored as
 * milliseconds. A reload takes effect because the value is read each time it is used. */
#define RELOADABLE_DECIMAL(section, key, field, fallback, min, max, help)                          \
  {                                                                                                \
    section, key, DY_SETTING_DECIMAL, offsetof (DySettings, field), NULL, fallback, min, max,      \
        help, true                                                                                 \
  }
/* An integer that is read each time it is used, so that a reload takes effect. */
#define RELOADABLE_INTEGER(section, key, fallback, min, max, help)                                 \
  {                                                                                                \
    section, #key, DY_SETTING_INTEGER, offsetof (DySettings, key), NULL, fallback, min, max, help, \
        true                                                                                       \
  }

static const DySettingSpec specs[] = {
  STRING ("node", "name", node_name, NULL, "name of this router, as in the VM list"),
  STRING ("node", "data_centre", data_centre, NULL, "data centre of this VM"),
  STRING ("node", "caller_listen", caller_listen, "127.0.0.1:8080", "address for callers"),
  STRING ("node", "operator_listen", operator_listen, "127.0.0.1:8081", "address for operators"),
  STRING ("node", "peer_listen", peer_listen, "127.0.0.1:8082", "address for other routers"),
  STRING ("node",
          "ready_listen",
          ready_listen,
          "",
          "address of the load balancer's readiness probe, kind objects only; empty: none"),
  STRING ("node",
          "connect_from",
          connect_from,
          "",
          "local IP address of connections to endpoints, kind objects only; empty: any"),
  CHOICE ("node",
          "first_start",
          first_start,
          "yes|no",
          "yes",
          "no: the fleet ran before, and the store may have lost this router's record"),
  CHOICE ("node",
          "shed_load",
          shed_load,
          "yes|no",
          "no",
          "yes: a router with more load than it can handle, beside others with room, has callers "
          "sent elsewhere, kind objects only"),
  CHOICE ("node",
          "schedule_returns",
          schedule_returns,
          "yes|no",
          "no",
          "yes: Retry-After follows from the rate at which room appears, kind objects only"),
  RELOADABLE_INTEGER ("node",
                      cpu_percent,
                      "0",
                      0,
                      6400,
                      "share of a core that the VM has, for shed_load; 0: unknown"),
  RELOADABLE_INTEGER ("node",
                      drain_notice_ms,
                      "2500",
                      0,
                      60000,
                      "shortest time from the start of a shutdown to exit, for the load balancer, "
                      "kind objects only"),
  RELOADABLE_INTEGER (
      "node", drain_timeout_ms, "300000", 0, 3600000, "longest wait for open streams at shutdown"),
  RELOADABLE_DECIMAL ("node",
                      "grace_s",
                      grace_ms,
                      "0",
                      0,
                      3600000,
                      "time from the start of a shutdown until the process is killed; 0: no limit"),
  CHOICE ("platform",
          "kind",
          platform_kind,
          "http|memory|objects",
          "http",
          "object API over HTTP, in-process store, or the users' platform"),
  STRING ("platform", "url", platform_url, "http://127.0.0.1:8000", "base URL of the object API"),
  STRING ("platform",
          "declarations_dir",
          declarations_dir,
          "",
          "directory of declarations applied at start, kind memory only"),
  INTEGER ("platform",
           platform_timeout_ms,
           "1000",
           10,
           60000,
           "time limit of a platform call; three times as long at a router that is late"),
  INTEGER ("platform",
           platform_calls_per_s,
           "50",
           1,
           2000,
           "limit on platform calls per second of this router"),
  INTEGER ("platform",
           watch_timeout_ms,
           "20000",
           100,
           300000,
           "time after which a watch without changes returns"),
  INTEGER (
      "platform", vm_list_interval_ms, "2000", 100, 60000, "interval between reads of the VM list"),
  INTEGER ("platform",
           vm_list_idle_ms,
           "100",
           100,
           600000,
           "interval while the VM list does not change, if longer"),
  INTEGER ("platform",
           routes_bound_ms,
           "2000",
           2000,
           60000,
           "time within which a change of the routes must be in force"),
  INTEGER ("platform",
           endpoints_bound_ms,
           "2000",
           2000,
           60000,
           "time within which a leaving endpoint must get no new requests"),
  STRING ("peers", "secret", peer_secret, "", "shared secret of all routers; empty: no peers"),
  INTEGER ("peers", heartbeat_ms, "300", 10, 60000, "interval between heartbeats"),
  INTEGER ("peers",
           peer_timeout_ms,
           "1500",
           50,
           60000,
           "time without a heartbeat after which a peer is not a live member"),
  INTEGER ("budget", reserve_wait_ms, "3000", 10, 60000, "longest wait for a reservation"),
  INTEGER ("budget",
           settle_interval_ms,
           "1000",
           10,
           60000,
           "interval between ledger writes of settled tokens"),
  INTEGER ("budget",
           carry_wait_ms,
           "500",
           10,
           60000,
           "wait for the holder before a settlement is handed off to another router"),
  INTEGER ("budget", settle_wait_ms, "5000", 10, 60000, "longest wait for a settlement"),
  INTEGER (
      "budget", grant_horizon_ms, "5000", 10, 600000, "time whose expected demand a grant covers"),
  INTEGER ("budget",
           grant_minimum_tokens,
           "4000",
           1,
           1000000000,
           "smallest grant requested ahead of demand"),
  INTEGER ("budget",
           grant_percent,
           "50",
           1,
           100,
           "largest percentage of the free budget granted ahead of demand"),
  INTEGER (
      "budget",
      unsettled_percent,
      "100",
      1,
      100,
      "largest percentage of the paid tokens, granted and unsettled, for a grant ahead of demand"),
  INTEGER (
      "budget",
      float_percent,
      "25",
      0,
      100,
      "percentage of the free budget that a home router keeps as idle grant for platform outages"),
  INTEGER (
      "budget", idle_return_ms, "10000", 100, 3600000, "idle time after which a grant is returned"),
  INTEGER ("budget",
           keep_urgent_ms,
           "0",
           0,
           600000,
           "time whose demand of more urgent requests is kept as headroom of an account; 0: none"),
  INTEGER ("budget",
           resume_percent,
           "0",
           0,
           50,
           "largest percentage of the paid tokens kept free for streams that callers resume"),
  INTEGER (
      "budget",
      recovery_delay_ms,
      "30000",
      0,
      3600000,
      "shortest time until a dead router's grant is released; must exceed the lag of the VM list"),
  INTEGER ("budget",
           store_copy_age_ms,
           "0",
           0,
           600000,
           "age of the oldest copy that the store may be restored from; 0: it is never restored"),
  INTEGER ("budget",
           ceiling_percent,
           "60",
           1,
           100,
           "largest percentage of the free budget that is committed within store_copy_age_ms"),
  INTEGER ("callers", max_body_bytes, "1048576", 1024, 67108864, "largest request body"),
  INTEGER ("callers", max_header_bytes, "16384", 1024, 65536, "memory for a connection's headers"),
  INTEGER ("callers",
           max_answer_bytes,
           "4194304",
           1024,
           67108864,
           "largest answer that is not streamed"),
  INTEGER ("callers",
           stream_buffer_bytes,
           "65536",
           1024,
           16777216,
           "most bytes of a stream buffered for a slow caller"),
  INTEGER ("callers", max_in_flight, "2000", 1, 100000, "most requests in flight"),
  INTEGER ("callers",
           run_slots,
           "512",
           1,
           100000,
           "most requests of this router that run at endpoints at a time"),
  INTEGER ("callers",
           kept_percent,
           "40",
           0,
           90,
           "percentage of the slots kept as headroom for accounts below their share"),
  INTEGER ("callers",
           queue_length,
           "128",
           1,
           100000,
           "most requests of a client account that wait for a slot"),
  INTEGER ("callers", queue_wait_ms, "10000", 10, 600000, "longest wait for a slot"),
  INTEGER ("endpoints",
           connect_timeout_ms,
           "1000",
           10,
           60000,
           "time limit for connecting to an endpoint"),
  INTEGER ("endpoints",
           attempt_timeout_ms,
           "120000",
           100,
           3600000,
           "time without a byte of the answer after which an attempt is given up"),
  INTEGER ("endpoints", max_attempts, "3", 1, 10, "most attempts of a request"),
  INTEGER (
      "endpoints", retry_percent, "20", 0, 100, "most retries, as a percentage of first attempts"),
  RELOADABLE_DECIMAL (
      "endpoints",
      "resend_ratio",
      resend_ratio_thousandths,
      "0.2",
      0,
      1000,
      "most resends of the fleet to a service, as a fraction of its requests, kind objects only"),
  RELOADABLE_DECIMAL (
      "endpoints",
      "resend_slack",
      resend_slack_thousandths,
      "50",
      0,
      100000000,
      "resends of the fleet allowed per window beyond resend_ratio, kind objects only"),
  RELOADABLE_DECIMAL ("endpoints",
                      "resend_window_s",
                      resend_window_ms,
                      "10",
                      100,
                      600000,
                      "length of the sliding window of resends, kind objects only"),
  RELOADABLE_DECIMAL ("endpoints",
                      "cold_overage",
                      cold_overage_thousandths,
                      "0",
                      0,
                      1000000,
                      "most requests of the fleet to a cold endpoint in a second, as a multiple of "
                      "those that its service states; 0: not limited, kind objects only"),
  RELOADABLE_DECIMAL ("endpoints",
                      "cold_slack",
                      cold_slack_thousandths,
                      "0",
                      0,
                      1000000000,
                      "requests allowed in a second beyond cold_overage, kind objects only"),
  CHOICE ("endpoints",
          "spread_load",
          spread_load,
          "yes|no|stated",
          "no",
          "yes: spread load evenly though reports of it are old; stated: once an endpoint says how "
          "slow work is there; kind objects only"),
  INTEGER ("endpoints",
           load_poll_ms,
           "100",
           10,
           60000,
           "interval between reads of a load report, of one endpoint at a time"),
  INTEGER ("endpoints",
           evacuations_bound_ms,
           "0",
           0,
           60000,
           "time within which an evacuated data centre must get no new requests, kind objects "
           "only; 0: evacuations are not watched"),
  CHOICE ("log", "format", log_format, "text|json", "text", "format of log lines"),
  INTEGER ("log",
           log_lines_per_s,
           "500",
           1,
           100000,
           "limit on log lines per second; warnings are exempt"),
  CHOICE ("log", "level", log_level, "warning|notice|info", "notice", "lowest level written"),
};

enum
{
  N_SPECS = sizeof specs / sizeof specs[0]
};

/* Each field of DySettings has a row in the table; all fields have the same size. */
G_STATIC_ASSERT (sizeof (DySettings) == N_SPECS * sizeof (int64_t));

static bool
is_number (const DySettingSpec *spec)
{
  return spec->type == DY_SETTING_INTEGER || spec->type == DY_SETTING_DECIMAL;
}

/* Returns the row of KEY in SECTION, or NULL. When KEY is NULL, returns any row of SECTION. */
static const DySettingSpec *
find_spec (const char *section, const char *key)
{
  for (int i = 0; i < N_SPECS; i++)
    if (strcmp (specs[i].section, section) == 0 && (!key || strcmp (specs[i].key, key) == 0))
      return &specs[i];
  return NULL;
}

/* Returns an error message for the first section or key that the table does not have, or NULL. */
static char *
check_keys_are_known (GKeyFile *file, const char *path)
{
  char *text = NULL;
  gchar **sections = g_key_file_get_groups (file, NULL);
  for (gchar **s = sections; *s && !text; s++)
    {
      if (!find_spec (*s, NULL))
        {
          text = g_strdup_printf ("%s: [%s]: unknown section", path, *s);
          break;
        }
      gchar **keys = g_key_file_get_keys (file, *s, NULL, NULL);
      for (gchar **k = keys; *k && !text; k++)
        if (!find_spec (*s, *k))
          text = g_strdup_printf ("%s: [%s] %s: unknown key", path, *s, *k);
      g_strfreev (keys);
    }
  g_strfreev (sections);
  return text;
}

static bool
is_choice (const char *choices, const char *value)
{
  gchar **words = g_strsplit (choices, "|", -1);
  bool found = g_strv_contains ((const gchar *const *) words, value);
  g_strfreev (words);
  return found;
}

static char *
store_integer (DySettings *settings, const DySettingSpec *spec, const char *path, const char *value)
{
  int64_t n = 0;
  if (!g_ascii_string_to_signed (value, 10, spec->min, spec->max, &n, NULL))
    return g_strdup_printf ("%s: [%s] %s: '%s' is not an integer from %" G_GINT64_FORMAT
                            " to %" G_GINT64_FORMAT,
                            path, spec->section, spec->key, value, spec->min, spec->max);
  memcpy ((char *) settings + spec->offset, &n, sizeof n);
  return NULL;
}

static char *
store_decimal (DySettings *settings, const DySettingSpec *spec, const char *path, const char *value)
{
  char *end = NULL;
  double number = g_ascii_strtod (value, &end);
  double thousandths = number * 1000.0;
  if (end == value || *end != '\0' || thousandths < (double) spec->min
      || thousandths > (double) spec->max)
    return g_strdup_printf ("%s: [%s] %s: '%s' is not a number from %g to %g", path, spec->section,
                            spec->key, value, (double) spec->min / 1000.0,
                            (double) spec->max / 1000.0);
  int64_t n = (int64_t) (thousandths + 0.5);
  memcpy ((char *) settings + spec->offset, &n, sizeof n);
  return NULL;
}

static char *
store_string (DySettings *settings, const DySettingSpec *spec, const char *path, const char *value)
{
  if (spec->type == DY_SETTING_CHOICE && !is_choice (spec->choices, value))
    return g_strdup_printf ("%s: [%s] %s: '%s' is not one of %s", path, spec->section, spec->key,
                            value, spec->choices);
  if (!spec->fallback && value[0] == '\0')
    return g_strdup_printf ("%s: [%s] %s: must not be empty", path, spec->section, spec->key);
  char *copy = g_strdup (value);
  memcpy ((char *) settings + spec->offset, &copy, sizeof copy);
  return NULL;
}

/* Reads the value of SPEC from FILE into its field of SETTINGS. Returns an error message or NULL;
 * so do the store functions. */
static char *
read_value (DySettings *settings, const DySettingSpec *spec, GKeyFile *file, const char *path)
{
  gchar *value = g_key_file_get_string (file, spec->section, spec->key, NULL);
  if (!value && !spec->fallback)
    return g_strdup_printf ("%s: [%s] %s: required key is missing", path, spec->section, spec->key);
  if (!value)
    value = g_strdup (spec->fallback);
  char *text = NULL;
  if (spec->type == DY_SETTING_INTEGER)
    text = store_integer (settings, spec, path, value);
  else if (spec->type == DY_SETTING_DECIMAL)
    text = store_decimal (settings, spec, path, value);
  else
    text = store_string (settings, spec, path, value);
  g_free (value);
  return text;
}

const DySettingSpec *
dy_settings_specs (uint32_t *n)
{
  *n = N_SPECS;
  return specs;
}

int
dy_settings_init (DySettings *settings, const char *path, char **error_text)
{
  memset (settings, 0, sizeof *settings);
  GKeyFile *file = g_key_file_new ();
  GError *error = NULL;
  char *text = NULL;
  if (!g_key_file_load_from_file (file, path, G_KEY_FILE_NONE, &error))
    {
      text = g_strdup_printf ("%s: %s", path, error->message);
      g_error_free (error);
    }
  if (!text)
    text = check_keys_are_known (file, path);
  for (int i = 0; i < N_SPECS && !text; i++)
    text = read_value (settings, &specs[i], file, path);
  g_key_file_free (file);
  if (!text)
    return DY_OK;
  *error_text = text;
  dy_settings_finish (settings);
  return DY_SETTINGS;
}

void
dy_settings_finish (DySettings *settings)
{
  for (int i = 0; i < N_SPECS; i++)
    {
      char *value;
      if (is_number (&specs[i]))
        continue;
      memcpy (&value, (char *) settings + specs[i].offset, sizeof value);
      g_free (value);
    }
  memset (settings, 0, sizeof *settings);
}

static bool
is_equal (const DySettingSpec *spec, const void *a, const void *b)
{
  const char *text_a;
  const char *text_b;
  if (is_number (spec))
    return memcmp (a, b, sizeof (int64_t)) == 0;
  memcpy (&text_a, a, sizeof text_a);
  memcpy (&text_b, b, sizeof text_b);
  return strcmp (text_a, text_b) == 0;
}

char *
dy_settings_update (DySettings *settings, DySettings *from)
{
  GString *changed = g_string_new (NULL);
  for (int i = 0; i < N_SPECS; i++)
    {
      const DySettingSpec *spec = &specs[i];
      void *value = (char *) settings + spec->offset;
      const void *other = (const char *) from + spec->offset;
      if (is_equal (spec, value, other))
        continue;
      g_string_append_printf (changed, "%s%s.%s%s", changed->len > 0 ? "," : "", spec->section,
                              spec->key, spec->reloadable ? "" : "(restart)");
      if (spec->reloadable)
        memcpy (value, other, sizeof (int64_t));
    }
  return g_string_free (changed, FALSE);
}
