#ifndef DY_SERVICES_PEERS_PACKED_TEXT_H
#define DY_SERVICES_PEERS_PACKED_TEXT_H

/**
 * NAME
 *   packed_text - long texts, packed for the way between routers
 *
 * DESCRIPTION
 *   The packed form is the base64 of the zlib format (RFC 1950), so it can stand in JSON. A route
 *   table becomes about eight times shorter.
 *
 * ERRORS
 *   A text that is not in the packed form, is cut off, or would become too long is not valid.
 */

#include <stddef.h>

enum
{
  DY_PACKED_TEXT_MIN_BYTES = 4 * 1024, /* routers send shorter texts as they are */
};

/* Returns the N bytes of TEXT packed, to be freed with g_free(). */
char *dy_packed_text_encode (const char *text, size_t n);

/* Returns the text that PACKED (N bytes) stands for, to be freed with g_free(), and sets N_TEXT to
 * its length; a null byte follows it. NULL if PACKED is not valid, or the text has more than
 * MAX_BYTES. */
char *dy_packed_text_decode (const char *packed, size_t n, size_t max_bytes, size_t *n_text);

#endif
