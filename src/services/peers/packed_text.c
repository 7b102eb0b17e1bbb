#include "services/peers/packed_text.h"

#include <glib.h>
#include <stdbool.h>
#include <string.h>
#include <zlib.h>

enum
{
  FIRST_RATIO = 8, /* of a text's length to its packed one, for the first guess of its length */
};

char *
dy_packed_text_encode (const char *text, size_t n)
{
  uLongf n_packed = compressBound (n);
  guchar *packed = g_malloc (n_packed);
  /* The buffer suffices, and g_malloc() ends the process if there is no memory. */
  int result = compress2 (packed, &n_packed, (const Bytef *) text, n, Z_BEST_SPEED);
  char *encoded = result == Z_OK ? g_base64_encode (packed, n_packed) : NULL;
  g_free (packed);
  return encoded;
}

/* Inflates PACKED into BUFFER, which grows up to MAX_BYTES and a null byte. Returns whether it was
 * valid and complete. */
static bool
inflate_all (z_stream *stream, GString *buffer, size_t max_bytes)
{
  int result = Z_OK;
  size_t n = 0;
  while (result == Z_OK && n <= max_bytes)
    {
      g_string_set_size (buffer, MIN (MAX (n * 2, buffer->len), max_bytes + 1));
      stream->next_out = (Bytef *) buffer->str + n;
      stream->avail_out = (uInt) (buffer->len - n);
      result = inflate (stream, Z_NO_FLUSH);
      n = buffer->len - stream->avail_out;
      if (result == Z_OK && stream->avail_out > 0)
        return false;
    }
  if (result != Z_STREAM_END || n > max_bytes)
    return false;
  g_string_set_size (buffer, n);
  return true;
}

char *
dy_packed_text_decode (const char *packed, size_t n, size_t max_bytes, size_t *n_text)
{
  z_stream stream;
  gsize n_bytes;
  char *text = g_strndup (packed, n);
  guchar *bytes = g_base64_decode (text, &n_bytes);
  g_free (text);
  memset (&stream, 0, sizeof stream);
  stream.next_in = bytes;
  stream.avail_in = (uInt) n_bytes;
  if (inflateInit (&stream) != Z_OK)
    {
      g_free (bytes);
      return NULL;
    }
  GString *buffer = g_string_new (NULL);
  g_string_set_size (buffer, MAX (n_bytes * FIRST_RATIO, 1));
  bool valid = inflate_all (&stream, buffer, max_bytes);
  *n_text = valid ? buffer->len : 0;
  inflateEnd (&stream);
  g_free (bytes);
  return g_string_free (buffer, !valid);
}
