#ifndef DY_NET_ADDRESS_H
#define DY_NET_ADDRESS_H

/**
 * NAME
 *   address - parsing of "ADDRESS:PORT" with a numeric IPv4 address and a decimal port
 *
 * ERRORS
 *   DY_SETTINGS: the text has no port, the port is not a number from 0 to 65535, or the address is
 *   not in dotted-decimal notation. Host names are not resolved.
 */

#include <netinet/in.h>

/* Parses TEXT into OUT. Returns DY_OK or DY_SETTINGS; OUT is undefined after an error. */
int dy_address_parse (const char *text, struct sockaddr_in *out);

#endif
