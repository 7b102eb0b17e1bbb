#include "support/play_load.h"

#include <stdio.h>
#include <string.h>

bool
play_load_read_number (const char *text, int64_t *number)
{
  char *end;
  *number = g_ascii_strtoll (text, &end, 10);
  return *text != '\0' && *end == '\0';
}

/* Parses WORDS, pairs of a name and a number, and stores each number in the element of VALUES at
 * the name's index in NAMES. Both WORDS and NAMES end with NULL. */
static bool
parse_pairs (char **words, const char *const *names, int64_t *const *values)
{
  for (; words[0]; words += 2)
    {
      int i = 0;
      while (names[i] && strcmp (names[i], words[0]) != 0)
        i++;
      if (!names[i] || !words[1] || !play_load_read_number (words[1], values[i]))
        return false;
    }
  return true;
}

static bool
parse_class (PlayLoad *load, char **words)
{
  static const char *const names[]
      = { "rate",   "shared",   "own",      "events",      "event_tokens",
          "aim_ms", "limit_ms", "sessions", "hot_percent", NULL };
  if (!words[0] || load->n_classes == PLAY_MAX_CLASSES)
    return false;
  PlayClass *class = &load->classes[load->n_classes++];
  int64_t *const values[] = { &class->rate,     &class->shared,       &class->own,
                              &class->events,   &class->event_tokens, &class->aim_ms,
                              &class->limit_ms, &class->sessions,     &class->hot_percent };
  g_strlcpy (class->name, words[0], sizeof class->name);
  return parse_pairs (words + 1, names, values) && class->rate > 0 && class->sessions > 0
         && class->event_tokens > 0;
}

static bool
parse_settings (PlayLoad *load, char **words)
{
  static const char *const names[] = { "seed",
                                       "routers",
                                       "seconds",
                                       "endpoints",
                                       "slots",
                                       "step_us",
                                       "us_per_running",
                                       "ns_per_prompt_token",
                                       "chunk_tokens",
                                       "ns_per_context_token",
                                       "memory_tokens",
                                       "data_centres",
                                       "together_ms",
                                       "report_delay_ms",
                                       "states_slowness",
                                       NULL };
  int64_t seed = load->seed;
  int64_t n_routers = load->n_routers;
  int64_t seconds = load->end_us / 1000000;
  int64_t n_endpoints = load->n_endpoints;
  int64_t n_slots = load->speed.n_slots;
  int64_t n_data_centres = MAX (load->n_data_centres, 1);
  int64_t together_ms = load->together_us / 1000;
  int64_t report_delay_ms = load->report_delay_us / 1000;
  int64_t states_slowness = load->states_slowness;
  int64_t *const values[] = { &seed,
                              &n_routers,
                              &seconds,
                              &n_endpoints,
                              &n_slots,
                              &load->speed.step_us,
                              &load->speed.us_per_running,
                              &load->speed.ns_per_prompt_token,
                              &load->speed.chunk_tokens,
                              &load->speed.ns_per_context_token,
                              &load->speed.memory_tokens,
                              &n_data_centres,
                              &together_ms,
                              &report_delay_ms,
                              &states_slowness };
  if (!parse_pairs (words, names, values) || n_routers < 0 || n_routers > PLAY_MAX_ROUTERS
      || n_endpoints < 0 || n_endpoints > PLAY_MAX_ENDPOINTS || n_data_centres < 1
      || n_data_centres > PLAY_MAX_DATA_CENTRES)
    return false;
  load->seed = (uint32_t) seed;
  load->n_routers = (uint32_t) n_routers;
  load->end_us = seconds * 1000000;
  load->n_endpoints = (uint32_t) n_endpoints;
  load->speed.n_slots = (uint32_t) n_slots;
  load->n_data_centres = (uint32_t) n_data_centres;
  load->together_us = together_ms * 1000;
  load->report_delay_us = report_delay_ms * 1000;
  load->states_slowness = states_slowness != 0;
  return true;
}

static bool
parse_change (PlayLoad *load, char **words)
{
  static const char *const kinds[] = {
    [PLAY_CHANGE_RATE] = "rate", [PLAY_CHANGE_SLOW] = "slow", [PLAY_CHANGE_UNREACHABLE] = "gone"
  };
  int64_t from_s;
  int64_t for_s;
  if (g_strv_length (words) != 5 || strcmp (words[3], "for") != 0
      || load->n_changes == PLAY_MAX_CHANGES)
    return false;
  PlayChange *change = &load->changes[load->n_changes++];
  guint kind = 0;
  while (kind < G_N_ELEMENTS (kinds) && strcmp (kinds[kind], words[1]) != 0)
    kind++;
  change->kind = (PlayChangeKind) kind;
  if (kind == G_N_ELEMENTS (kinds) || !play_load_read_number (words[0], &from_s)
      || !play_load_read_number (words[2], &change->value)
      || !play_load_read_number (words[4], &for_s))
    return false;
  change->from_us = from_s * 1000000;
  change->to_us = change->from_us + for_s * 1000000;
  return true;
}

static bool
parse_speeds (PlayLoad *load, char **words)
{
  for (; *words; words++)
    if (load->n_speeds == PLAY_MAX_SPEEDS
        || !play_load_read_number (*words, &load->speeds[load->n_speeds])
        || load->speeds[load->n_speeds++] <= 0)
      return false;
  return true;
}

static bool
parse_line (PlayLoad *load, char *line)
{
  char **words = g_strsplit (g_strstrip (line), " ", -1);
  bool ok = true;
  if (words[0] == NULL || words[0][0] == '#' || words[0][0] == '\0')
    ok = true;
  else if (strcmp (words[0], "class") == 0)
    ok = parse_class (load, words + 1);
  else if (strcmp (words[0], "at") == 0)
    ok = parse_change (load, words + 1);
  else if (strcmp (words[0], "speeds") == 0)
    ok = parse_speeds (load, words + 1);
  else if (strcmp (words[0], "expect") == 0)
    g_ptr_array_add (load->expectations, g_strjoinv (" ", words + 1));
  else
    ok = parse_settings (load, words);
  g_strfreev (words);
  return ok;
}

bool
play_load_init (PlayLoad *load, const char *path)
{
  char *text = NULL;
  memset (load, 0, sizeof *load);
  load->expectations = g_ptr_array_new_with_free_func (g_free);
  if (!g_file_get_contents (path, &text, NULL, NULL))
    {
      fprintf (stderr, "%s: cannot be read\n", path);
      return false;
    }
  char **lines = g_strsplit (text, "\n", -1);
  bool ok = true;
  for (int i = 0; lines[i] && ok; i++)
    if (!parse_line (load, lines[i]))
      {
        fprintf (stderr, "%s:%d: not understood\n", path, i + 1);
        ok = false;
      }
  g_strfreev (lines);
  g_free (text);
  return ok && load->n_classes > 0 && load->n_routers > 0 && load->n_endpoints > 0
         && load->speed.n_slots > 0;
}

void
play_load_finish (PlayLoad *load)
{
  g_ptr_array_unref (load->expectations);
}
