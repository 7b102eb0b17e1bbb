/* Texts packed for the way between routers: tables of cases. */

#include "support/suite.h"

#include "services/peers/packed_text.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <string.h>

enum
{
  MAX_BYTES = 256 * 1024,
  MIN_RATIO = 5, /* of a route table */
};

static const char ROUTE[]
    = "{\"name\":\"large-%u\",\"pathPrefix\":\"/large-%u/\",\"timeoutMs\":%u}";

/* Returns the text of N routes. */
static GString *
make_text (uint32_t n)
{
  GString *text = g_string_new (NULL);
  for (uint32_t i = 0; i < n; i++)
    g_string_append_printf (text, ROUTE, i, i * 7, 800 + i % 9);
  return text;
}

static const uint32_t lengths[] = { 0, 1, 10, 400, 3000 };

START_TEST (a_packed_text_is_read_back)
{
  size_t n;
  GString *text = make_text (lengths[_i]);
  char *packed = dy_packed_text_encode (text->str, text->len);
  char *read = dy_packed_text_decode (packed, strlen (packed), MAX_BYTES, &n);
  ck_assert_ptr_nonnull (read);
  ck_assert_uint_eq (n, text->len);
  ck_assert_mem_eq (read, text->str, n + 1);
  ck_assert (lengths[_i] < 400 || strlen (packed) * MIN_RATIO <= text->len);
  g_free (read);
  g_free (packed);
  g_string_free (text, TRUE);
}
END_TEST

/* Bytes removed from the end, or changed, and the longest text that is allowed. */
static const struct
{
  const char *name;
  size_t n_removed;
  size_t changed_at; /* SIZE_MAX: none */
  size_t max_bytes;
  bool valid;
} inputs[] = {
  { "whole", 0, SIZE_MAX, MAX_BYTES, true },
  { "just as long as allowed", 0, SIZE_MAX, 0, true },
  { "one byte too long", 0, SIZE_MAX, 1, false },
  { "far too long", 0, SIZE_MAX, MAX_BYTES / 1024, false },
  { "cut off", 64, SIZE_MAX, MAX_BYTES, false },
  { "without its end", 4, SIZE_MAX, MAX_BYTES, false },
  { "changed at the start", 0, 0, MAX_BYTES, false },
  { "changed inside", 0, 100, MAX_BYTES, false },
};

START_TEST (a_text_that_is_not_packed_properly_is_not_valid)
{
  size_t n;
  GString *text = make_text (400);
  char *packed = dy_packed_text_encode (text->str, text->len);
  size_t n_packed = strlen (packed) - inputs[_i].n_removed;
  /* 0 stands for the text's length, 1 for one byte less. */
  size_t max_bytes
      = inputs[_i].max_bytes <= 1 ? text->len - inputs[_i].max_bytes : inputs[_i].max_bytes;
  if (inputs[_i].changed_at != SIZE_MAX)
    packed[inputs[_i].changed_at] = packed[inputs[_i].changed_at] == 'A' ? 'Z' : 'A';
  char *read = dy_packed_text_decode (packed, n_packed, max_bytes, &n);
  ck_assert_msg ((read != NULL) == inputs[_i].valid, "%s", inputs[_i].name);
  ck_assert (inputs[_i].valid || n == 0);
  g_free (read);
  g_free (packed);
  g_string_free (text, TRUE);
}
END_TEST

static const char *const texts[] = { "", "{}", "eJw=", "not packed", "AAAA" };

START_TEST (another_text_is_not_valid)
{
  size_t n;
  ck_assert_ptr_null (dy_packed_text_decode (texts[_i], strlen (texts[_i]), MAX_BYTES, &n));
}
END_TEST

int
main (void)
{
  TCase *tcase = tcase_create ("packed_text");
  tcase_add_loop_test (tcase, a_packed_text_is_read_back, 0, G_N_ELEMENTS (lengths));
  tcase_add_loop_test (tcase, a_text_that_is_not_packed_properly_is_not_valid, 0,
                       G_N_ELEMENTS (inputs));
  tcase_add_loop_test (tcase, another_text_is_not_valid, 0, G_N_ELEMENTS (texts));
  return suite_run ("packed_text", tcase);
}
