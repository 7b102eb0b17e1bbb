/* Changes of objects as other routers get them: tables of cases. */

#include "support/suite.h"

#include "services/peers/object_changes.h"

#include <math.h>
#include <string.h>
#include <time.h>

#define OBJECT(key, version, value)                                                                \
  {                                                                                                \
    key, version, value, sizeof value - 1                                                          \
  }
#define REMOVAL(key, version)                                                                      \
  {                                                                                                \
    key, version, NULL, 0                                                                          \
  }

enum
{
  MAX_BYTES = 300,
  MAX_OBJECTS = 4,
};

/* Longer than a change may be once its quotes are escaped. */
static const char quotes[]
    = "\"\"\"\"\"\"\"\"\"\"\"\"\"\"\"\"\"\"\"\"\"\"\"\"\"\"\"\"\"\"\"\"\"\"\"\"\"\"\"\"\"\"\"\"\"\""
      "\"\"\"\"\"\"\"\"\"\"\"\"\"\"\"\"\"\"\"\"\"\"\"\"\"\"\"\"\"\"\"\"\"\"\"\"\"\"\"\"\"\"\"\"\"\""
      "\"\"\"\"\"\"\"\"\"\"\"\"\"\"\"\"\"\"\"\"\"\"\"\"\"\"\"\"\"\"\"\"\"\"\"";

static const struct
{
  const char *name;
  DyObject objects[MAX_OBJECTS];
  uint32_t n;
  const char *text; /* NULL: too large */
} encodings[] = {
  { "one", { OBJECT ("k/a", 7, "x") }, 1, "[{\"key\":\"k/a\",\"version\":7,\"value\":\"x\"}]" },
  { "removed", { REMOVAL ("k/a", 7) }, 1, "[{\"key\":\"k/a\",\"version\":7,\"value\":null}]" },
  { "the latest of each object",
    { OBJECT ("k/a", 7, "x"), OBJECT ("k/b", 8, "y"), REMOVAL ("k/a", 9), OBJECT ("k/a", 10, "z") },
    4,
    "[{\"key\":\"k/b\",\"version\":8,\"value\":\"y\"},"
    "{\"key\":\"k/a\",\"version\":10,\"value\":\"z\"}]" },
  { "too large", { { "k/a", 7, quotes, sizeof quotes - 1 } }, 1, NULL },
  { "an earlier state is too large",
    { { "k/a", 7, quotes, sizeof quotes - 1 }, OBJECT ("k/a", 8, "x") },
    2,
    "[{\"key\":\"k/a\",\"version\":8,\"value\":\"x\"}]" },
};

START_TEST (of_each_object_the_latest_state_is_passed_on)
{
  json_t *changes = dy_object_changes_encode (encodings[_i].objects, encodings[_i].n, MAX_BYTES);
  char *text = changes ? json_dumps (changes, JSON_COMPACT) : NULL;
  ck_assert_pstr_eq (text, encodings[_i].text);
  ck_assert (!changes || dy_object_changes_are_valid (changes, "k/"));
  free (text);
  json_decref (changes);
}
END_TEST

/* Known at version 7: k/a and k/b. */
static const struct
{
  const char *name;
  DyObject objects[MAX_OBJECTS];
  uint32_t n;
  const char *text;
} lists[] = {
  { "nothing changed", { OBJECT ("k/a", 3, "x"), OBJECT ("k/b", 7, "y") }, 2, "[]" },
  { "changed",
    { OBJECT ("k/a", 8, "z"), OBJECT ("k/b", 7, "y") },
    2,
    "[{\"key\":\"k/a\",\"version\":8,\"value\":\"z\"}]" },
  { "new",
    { OBJECT ("k/a", 3, "x"), OBJECT ("k/b", 7, "y"), OBJECT ("k/c", 9, "z") },
    3,
    "[{\"key\":\"k/c\",\"version\":9,\"value\":\"z\"}]" },
  { "removed", { OBJECT ("k/b", 7, "y") }, 1, "[{\"key\":\"k/a\",\"version\":9,\"value\":null}]" },
};

START_TEST (a_list_shows_what_has_changed)
{
  static const char *const known[] = { "k/a", "k/b" };
  GHashTable *keys = g_hash_table_new (g_str_hash, g_str_equal);
  for (size_t i = 0; i < G_N_ELEMENTS (known); i++)
    g_hash_table_add (keys, (gpointer) known[i]);
  DyPlatformReply list = { .version = 9, .objects = lists[_i].objects, .n_objects = lists[_i].n };
  json_t *changes = dy_object_changes_of_list (keys, 7, &list, MAX_BYTES);
  char *text = json_dumps (changes, JSON_COMPACT);
  ck_assert_msg (strcmp (text, lists[_i].text) == 0, "%s: %s", lists[_i].name, text);
  free (text);
  json_decref (changes);
  g_hash_table_unref (keys);
}
END_TEST

/* Returns the processor time to encode changes of N objects. */
static double
time_to_encode (uint32_t n)
{
  DyObject *objects = g_new0 (DyObject, n);
  for (uint32_t i = 0; i < n; i++)
    objects[i] = (DyObject){ .key = g_strdup_printf ("servers/worker-%06u", i),
                             .version = i + 1,
                             .value = "{}",
                             .n_value = 2 };
  clock_t start = clock ();
  json_t *changes = dy_object_changes_encode (objects, n, DY_OBJECT_CHANGES_MAX_BYTES);
  double time = (double) (clock () - start);
  ck_assert_uint_eq (json_array_size (changes), n);
  json_decref (changes);
  for (uint32_t i = 0; i < n; i++)
    g_free ((char *) objects[i].key);
  g_free (objects);
  return time;
}

/* A router stood still while it compared each object of a list with all others, for another router
 * that had missed changes. */
START_TEST (time_to_encode_a_list_grows_with_its_length)
{
  enum
  {
    FEW = 1000,
    MORE = 16,
    N_TRIES = 5,
  };
  double few = HUGE_VAL;
  double many = HUGE_VAL;
  for (int i = 0; i < N_TRIES; i++)
    {
      few = MIN (few, time_to_encode (FEW));
      many = MIN (many, time_to_encode (FEW * MORE));
    }
  /* Linear: 16 times; with comparisons of pairs over 100 times. */
  ck_assert_msg (many < few * 3.0 * MORE, "%.0f of %.0f us", many, few);
}
END_TEST

static const struct
{
  const char *text;
  bool valid;
} inputs[] = {
  { "[]", true },
  { "[{\"key\":\"k/a\",\"version\":7,\"value\":\"x\"}]", true },
  { "{}", false },
  { "null", false },
  { "[7]", false },
  { "[{\"key\":\"other/a\",\"version\":7,\"value\":\"x\"}]", false },
  { "[{\"key\":\"k/a\",\"value\":\"x\"}]", false },
  { "[{\"key\":\"k/a\",\"version\":\"7\",\"value\":\"x\"}]", false },
  { "[{\"key\":\"k/a\",\"version\":7}]", false },
  { "[{\"key\":\"k/a\",\"version\":7,\"value\":{}}]", false },
  { "[{\"key\":\"k/a\",\"version\":7,\"value\":\"x\"},{\"key\":null}]", false },
};

START_TEST (changes_of_another_format_are_not_valid)
{
  json_t *changes = json_loads (inputs[_i].text, JSON_DECODE_ANY, NULL);
  ck_assert_msg (dy_object_changes_are_valid (changes, "k/") == inputs[_i].valid, "%s",
                 inputs[_i].text);
  json_decref (changes);
}
END_TEST

int
main (void)
{
  TCase *tcase = tcase_create ("object_changes");
  tcase_add_loop_test (tcase, a_list_shows_what_has_changed, 0, (int) G_N_ELEMENTS (lists));
  tcase_add_loop_test (tcase, of_each_object_the_latest_state_is_passed_on, 0,
                       G_N_ELEMENTS (encodings));
  tcase_add_test (tcase, time_to_encode_a_list_grows_with_its_length);
  tcase_add_loop_test (tcase, changes_of_another_format_are_not_valid, 0, G_N_ELEMENTS (inputs));
  return suite_run ("object_changes", tcase);
}
