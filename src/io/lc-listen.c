#include "lc-listen.h"

#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  LC_LISTEN_BACKLOG = 1024,
};

int
lc_listen_tcp (uint32_t ipv4, uint16_t port, const char *remedy, LcError *error)
{
  struct sockaddr_in address = { .sin_family = AF_INET,
                                 .sin_port = htons (port),
                                 .sin_addr.s_addr = htonl (ipv4) };
  int on = 1;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);

  if (fd < 0)
    return lc_error_set (error, LC_ERR_IO, "raise the limit of open files", "no socket: %s",
                         g_strerror (errno));
  (void)setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind (fd, (struct sockaddr *)&address, sizeof address) < 0 ||
      listen (fd, LC_LISTEN_BACKLOG) < 0)
    {
      int saved = errno;

      close (fd);
      return lc_error_set (error, LC_ERR_IO, remedy, "can't listen on %u.%u.%u.%u:%u: %s",
                           ipv4 >> 24, (ipv4 >> 16) & 255, (ipv4 >> 8) & 255, ipv4 & 255, port,
                           g_strerror (saved));
    }
  return fd;
}
