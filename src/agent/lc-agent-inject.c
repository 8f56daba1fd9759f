#include "lc-agent-inject.h"

#include <errno.h>
#include <glib.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

int
lc_agent_inject_init (LcAgentInject *inject, LcError *error)
{
  memset (inject, 0, sizeof *inject);
  /* with IPPROTO_RAW the packet contains its IP header */
  inject->fd = socket (AF_INET, SOCK_RAW | SOCK_NONBLOCK | SOCK_CLOEXEC, IPPROTO_RAW);
  if (inject->fd < 0)
    return lc_error_set (error, LC_ERR_IO,
                         "give the program CAP_NET_RAW, or set \"delivery\" to \"relay\"",
                         "raw socket: %s", g_strerror (errno));
  return LC_OK;
}

void
lc_agent_inject_finish (LcAgentInject *inject)
{
  if (inject->fd > 0)
    (void)close (inject->fd);
  inject->fd = 0;
}

void
lc_agent_inject_send (LcAgentInject *inject,
                      uint8_t *bytes,
                      const LcPacket *packet,
                      uint32_t backend_ipv4,
                      uint16_t backend_port)
{
  struct sockaddr_in to = { .sin_family = AF_INET };

  to.sin_addr.s_addr = htonl (backend_ipv4);
  lc_dnat_rewrite (bytes, packet, backend_ipv4, backend_port);
  if (sendto (inject->fd, bytes, packet->total_len, MSG_DONTWAIT, (struct sockaddr *)&to,
              sizeof to) < 0)
    inject->failed_total++;
  else
    inject->sent_total++;
}
