#ifndef DY_KERNEL_SETTINGS_H
#define DY_KERNEL_SETTINGS_H

/**
 * NAME
 *   settings - settings of the daemon, read from an INI file and validated against a table
 *
 * DESCRIPTION
 *   Each setting has a row in the table of dy_settings_specs(): section, key, type, default value
 *   and range. A key that is absent takes its default value.
 *
 * ERRORS
 *   DY_SETTINGS with a text that names the file, section, key and allowed range: the file cannot be
 *   read, a section or key is unknown, a required key is missing, or a value is out of range.
 */

#include <stdbool.h>
#include <stdint.h>

/* Values of the settings. A suffix such as _ms, _bytes, _percent or _thousandths is the unit. */
typedef struct
{
  char *node_name;
  char *data_centre;
  char *caller_listen;
  char *operator_listen;
  char *peer_listen;
  char *ready_listen;
  char *connect_from;
  char *platform_kind;
  char *platform_url;
  char *declarations_dir;
  char *peer_secret;
  char *first_start;
  char *shed_load;
  char *schedule_returns;
  char *spread_load;
  char *log_format;
  char *log_level;
  int64_t log_lines_per_s;
  int64_t platform_timeout_ms;
  int64_t platform_calls_per_s;
  int64_t watch_timeout_ms;
  int64_t vm_list_interval_ms;
  int64_t vm_list_idle_ms;
  int64_t routes_bound_ms;
  int64_t endpoints_bound_ms;
  int64_t heartbeat_ms;
  int64_t peer_timeout_ms;
  int64_t reserve_wait_ms;
  int64_t settle_interval_ms;
  int64_t carry_wait_ms;
  int64_t settle_wait_ms;
  int64_t grant_horizon_ms;
  int64_t grant_minimum_tokens;
  int64_t grant_percent;
  int64_t unsettled_percent;
  int64_t float_percent;
  int64_t idle_return_ms;
  int64_t keep_urgent_ms;
  int64_t resume_percent;
  int64_t store_copy_age_ms;
  int64_t ceiling_percent;
  int64_t recovery_delay_ms;
  int64_t max_body_bytes;
  int64_t max_header_bytes;
  int64_t max_answer_bytes;
  int64_t stream_buffer_bytes;
  int64_t max_in_flight;
  int64_t run_slots;
  int64_t kept_percent;
  int64_t queue_length;
  int64_t queue_wait_ms;
  int64_t connect_timeout_ms;
  int64_t attempt_timeout_ms;
  int64_t max_attempts;
  int64_t retry_percent;
  int64_t load_poll_ms;
  int64_t evacuations_bound_ms;
  int64_t drain_timeout_ms;
  int64_t drain_notice_ms;
  int64_t grace_ms;
  int64_t resend_ratio_thousandths;
  int64_t resend_slack_thousandths;
  int64_t resend_window_ms;
  int64_t cold_overage_thousandths;
  int64_t cold_slack_thousandths;
  int64_t cpu_percent;
} DySettings;

typedef enum
{
  DY_SETTING_STRING,
  DY_SETTING_CHOICE, /* one of the words in choices */
  DY_SETTING_INTEGER,
  DY_SETTING_DECIMAL, /* a decimal number, stored in thousandths */
} DySettingType;

typedef struct
{
  const char *section;
  const char *key;
  DySettingType type;
  uint32_t offset;      /* of the field in DySettings */
  const char *choices;  /* allowed words, separated by '|'; NULL for other types */
  const char *fallback; /* default value as written in the file; NULL: the key is required */
  int64_t min;          /* of numbers; DY_SETTING_DECIMAL in thousandths */
  int64_t max;
  const char *help;
  bool reloadable; /* a changed value takes effect without a restart */
} DySettingSpec;

/* Returns the table of all settings and stores its number of rows in N. */
const DySettingSpec *dy_settings_specs (uint32_t *n);

/* Reads the file PATH into SETTINGS. On failure returns DY_SETTINGS and stores a newly allocated
 * message in ERROR_TEXT, to be freed with g_free(); SETTINGS then needs no dy_settings_finish(). */
int dy_settings_init (DySettings *settings, const char *path, char **error_text);
void dy_settings_finish (DySettings *settings);

/* Copies the reloadable values of FROM into SETTINGS. Returns a newly allocated comma-separated
 * list of the keys that differ, as "section.key", with "(restart)" after those that are not
 * reloadable; empty when none differ. */
char *dy_settings_update (DySettings *settings, DySettings *from);

#endif
