#include "support/listen.h"

#include "net/address.h"

#include <sys/socket.h>
#include <unistd.h>

enum
{
  LISTEN_BACKLOG = 8,
};

int
listen_on (const char *address)
{
  struct sockaddr_in addr;
  int one = 1;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (dy_address_parse (address, &addr) == 0
      && bind (fd, (struct sockaddr *) &addr, sizeof addr) == 0 && listen (fd, LISTEN_BACKLOG) == 0)
    return fd;
  close (fd);
  return -1;
}
