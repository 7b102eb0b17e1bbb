#ifndef TEST_SUPPORT_LISTEN_H
#define TEST_SUPPORT_LISTEN_H

/* Returns a socket that listens on ADDRESS, "address:port", or -1. */
int listen_on (const char *address);

#endif
