#ifndef DY_CLI_SENDINGS_H
#define DY_CLI_SENDINGS_H

/**
 * NAME
 *   sendings - how often a request was sent to endpoints, and why, from its log lines
 *
 * DESCRIPTION
 *   For each sending, dy_cli_print_sendings() prints the endpoint, how it ended, whether its
 *   connection had been used before and whether the request was sent again. Lines with other events
 *   of the request follow the sending that they came after. All further fields of a line are
 *   printed as they are; one that is missing is left out.
 */

#include <glib.h>

/* LINES are the parsed log lines (json_t) of one request, ordered by time. */
void dy_cli_print_sendings (const GPtrArray *lines);

#endif
