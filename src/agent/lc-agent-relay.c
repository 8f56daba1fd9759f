#include "lc-agent-relay.h"

#include <errno.h>
#include <string.h>
#include <sys/resource.h>
#include <unistd.h>

enum
{
  LC_AGENT_RELAY_SWEEP_SLOTS = 512, /* slots checked a call */
  LC_AGENT_RELAY_READS_MAX = 32,    /* answers read before other events are handled */
};

typedef struct
{
  LcAgentRelay *relay;
  h2o_socket_t *socket;
  LcFlowKey key;
  uint32_t backend_ipv4;
  uint16_t backend_port;
  uint16_t source_port;
} LcAgentRelaySocket;

/* === private: answers ======================================================================= */

static void
lc_agent_relay__on_readable (h2o_socket_t *socket, const char *why)
{
  LcAgentRelaySocket *s = socket->data;
  uint8_t bytes[LC_DATAGRAM_BYTES];

  if (why != NULL)
    return;
  for (uint32_t i = 0; i < LC_AGENT_RELAY_READS_MAX; i++)
    {
      ssize_t n = recv (h2o_socket_get_fd (socket), bytes, sizeof bytes, MSG_DONTWAIT);

      if (n < 0)
        break;
      (void)lc_datagram_send (s->relay->desc.answers, s->key.source_ipv4, s->key.source_port, bytes,
                              (size_t)n, NULL, 0);
      s->relay->answered_total++;
    }
  lc_datagram_flush (s->relay->desc.answers);
}

/* === private: sockets ======================================================================= */

static int
lc_agent_relay__connect (const LcAgentRelay *r, LcAgentRelaySocket *s)
{
  struct sockaddr_in from = { .sin_family = AF_INET, .sin_port = htons (s->source_port) };
  struct sockaddr_in to = { .sin_family = AF_INET, .sin_port = htons (s->backend_port) };
  socklen_t len = sizeof from;
  int fd = socket (AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

  if (fd < 0)
    return -1;
  from.sin_addr.s_addr = htonl (r->desc.ipv4);
  to.sin_addr.s_addr = htonl (s->backend_ipv4);
  if (bind (fd, (struct sockaddr *)&from, sizeof from) < 0)
    {
      /* the port handed over with the flow may be in use here: any other one works */
      from.sin_port = 0;
      (void)bind (fd, (struct sockaddr *)&from, sizeof from);
    }
  if (connect (fd, (struct sockaddr *)&to, sizeof to) < 0 ||
      getsockname (fd, (struct sockaddr *)&from, &len) < 0)
    {
      (void)close (fd);
      return -1;
    }
  s->source_port = ntohs (from.sin_port);
  return fd;
}

static uint32_t
lc_agent_relay__allocate_slot (LcAgentRelay *r)
{
  uint32_t slot;

  if (r->free_slots->len == 0)
    {
      g_ptr_array_add (r->sockets, NULL);
      return r->sockets->len - 1;
    }
  slot = g_array_index (r->free_slots, uint32_t, r->free_slots->len - 1);
  g_array_set_size (r->free_slots, r->free_slots->len - 1);
  return slot;
}

static uint32_t
lc_agent_relay__open (LcAgentRelay *r, const LcAgentRelaySocket *wanted)
{
  LcAgentRelaySocket *s = g_new0 (LcAgentRelaySocket, 1);
  uint32_t slot;
  int fd;

  *s = *wanted;
  s->relay = r;
  fd = lc_agent_relay__connect (r, s);
  if (fd < 0)
    {
      g_free (s);
      return LC_AGENT_RELAY_NO_SLOT;
    }
  s->socket = h2o_evloop_socket_create (r->desc.loop, fd, H2O_SOCKET_FLAG_DONT_READ);
  s->socket->data = s;
  h2o_socket_read_start (s->socket, lc_agent_relay__on_readable);
  slot = lc_agent_relay__allocate_slot (r);
  g_ptr_array_index (r->sockets, slot) = s;
  r->n_open++;
  return slot;
}

static void
lc_agent_relay__close (LcAgentRelay *r, uint32_t slot)
{
  LcAgentRelaySocket *s = g_ptr_array_index (r->sockets, slot);

  h2o_socket_close (s->socket);
  g_free (s);
  g_ptr_array_index (r->sockets, slot) = NULL;
  g_array_append_val (r->free_slots, slot);
  r->n_open--;
}

static void
lc_agent_relay__raise_fd_limit (void)
{
  struct rlimit limit;

  if (getrlimit (RLIMIT_NOFILE, &limit) == 0)
    {
      limit.rlim_cur = limit.rlim_max;
      (void)setrlimit (RLIMIT_NOFILE, &limit);
    }
}

/* A slot may be reused after a sweep, so the key is compared. */
static LcAgentRelaySocket *
lc_agent_relay__find (const LcAgentRelay *r, uint32_t slot, const LcFlowKey *key)
{
  LcAgentRelaySocket *s;

  if (slot >= r->sockets->len)
    return NULL;
  s = g_ptr_array_index (r->sockets, slot);
  return s != NULL && lc_flow_key_equal (&s->key, key) ? s : NULL;
}

/* === public ================================================================================= */

void
lc_agent_relay_init (LcAgentRelay *r, const LcAgentRelayDesc *desc)
{
  memset (r, 0, sizeof *r);
  r->desc = *desc;
  r->sockets = g_ptr_array_new ();
  r->free_slots = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  lc_agent_relay__raise_fd_limit ();
}

void
lc_agent_relay_finish (LcAgentRelay *r)
{
  if (r->sockets == NULL)
    return;
  for (uint32_t i = 0; i < r->sockets->len; i++)
    if (g_ptr_array_index (r->sockets, i) != NULL)
      lc_agent_relay__close (r, i);
  g_ptr_array_free (r->sockets, TRUE);
  g_array_free (r->free_slots, TRUE);
  memset (r, 0, sizeof *r);
}

uint32_t
lc_agent_relay_send (LcAgentRelay *r,
                     uint32_t slot,
                     const LcFlowKey *key,
                     uint16_t source_port,
                     uint32_t backend_ipv4,
                     uint16_t backend_port,
                     const void *payload,
                     size_t len)
{
  LcAgentRelaySocket *s = lc_agent_relay__find (r, slot, key);

  if (s == NULL)
    {
      LcAgentRelaySocket wanted = { .key = *key,
                                    .backend_ipv4 = backend_ipv4,
                                    .backend_port = backend_port,
                                    .source_port = source_port };

      slot = lc_agent_relay__open (r, &wanted);
      if (slot == LC_AGENT_RELAY_NO_SLOT)
        {
          r->failed_total++;
          return slot;
        }
      s = g_ptr_array_index (r->sockets, slot);
    }
  if (send (h2o_socket_get_fd (s->socket), payload, len, MSG_DONTWAIT) < 0)
    r->failed_total++;
  else
    r->sent_total++;
  return slot;
}

uint16_t
lc_agent_relay_source_port (const LcAgentRelay *r, uint32_t slot)
{
  const LcAgentRelaySocket *s =
      slot < r->sockets->len ? g_ptr_array_index (r->sockets, slot) : NULL;

  return s != NULL ? s->source_port : 0;
}

void
lc_agent_relay_sweep (LcAgentRelay *r)
{
  uint32_t n = MIN (LC_AGENT_RELAY_SWEEP_SLOTS, r->sockets->len);

  for (uint32_t i = 0; i < n; i++)
    {
      uint32_t slot = r->sweep_at++ % r->sockets->len;
      const LcAgentRelaySocket *s = g_ptr_array_index (r->sockets, slot);

      if (s != NULL && !r->desc.is_owned (r->desc.user, &s->key))
        lc_agent_relay__close (r, slot);
    }
}
