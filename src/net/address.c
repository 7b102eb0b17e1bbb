#include "net/address.h"

#include "kernel/error.h"

#include <arpa/inet.h>
#include <glib.h>
#include <string.h>

int
dy_address_parse (const char *text, struct sockaddr_in *out)
{
  const char *colon = strrchr (text, ':');
  char host[INET_ADDRSTRLEN];
  guint64 port;
  if (!colon || (size_t) (colon - text) >= sizeof host)
    return DY_SETTINGS;
  memcpy (host, text, colon - text);
  host[colon - text] = '\0';
  memset (out, 0, sizeof *out);
  out->sin_family = AF_INET;
  if (!g_ascii_string_to_unsigned (colon + 1, 10, 0, UINT16_MAX, &port, NULL))
    return DY_SETTINGS;
  out->sin_port = htons ((uint16_t) port);
  return inet_pton (AF_INET, host, &out->sin_addr) == 1 ? DY_OK : DY_SETTINGS;
}
