#include "lc-link-private.h"

#include <errno.h>
#include <glib.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  LC_LINK_BACKOFF_MIN_MS = 50,
  LC_LINK_BACKOFF_MAX_MS = 2000,
  LC_LINK_CONNECT_TIMEOUT_MS = 1000,
};

/* === private: connecting ==================================================================== */

static uint32_t
lc_link_client__or_default (uint32_t value, uint32_t fallback)
{
  return value != 0 ? value : fallback;
}

/* Half of the back-off is random, so that the many clients of a lost server don't reconnect at the
 * same moment. */
void
lc_link_client__schedule_connect (LcLinkClient *client)
{
  uint32_t max = lc_link_client__or_default (client->desc.backoff_max_ms, LC_LINK_BACKOFF_MAX_MS);
  uint32_t half = client->backoff_ms / 2;
  uint32_t wait_ms = half + (uint32_t)g_random_int_range (0, (gint32)half + 1);

  client->backoff_ms = MIN (client->backoff_ms * 2, max);
  lc_timer_start (&client->timer, wait_ms);
}

static void
lc_link_client__on_connected (h2o_socket_t *socket, const char *err)
{
  LcLinkClient *client = socket->data;
  LcLink *link;

  client->connecting = NULL;
  lc_timer_stop (&client->timer);
  if (err != NULL)
    {
      h2o_socket_close (socket);
      lc_link_client__schedule_connect (client);
      return;
    }
  link = lc_link__new (socket, client->desc.loop, &client->desc.handler,
                       client->desc.max_backlog_bytes, &client->desc.keep_alive);
  link->client = client;
  link->malformed_total = &client->malformed_total;
  link->id = ++client->next_id;
  client->link = link;
  client->connects_total++;
  client->backoff_ms =
      lc_link_client__or_default (client->desc.backoff_min_ms, LC_LINK_BACKOFF_MIN_MS);
  lc_link__start (link);
}

/* h2o_socket_connect can't bind a source address, so a client that must use its own VM's address
 * creates the socket itself and waits until it is writable. */
static h2o_socket_t *
lc_link_client__connect_from (LcLinkClient *client, const struct sockaddr_in *address)
{
  struct sockaddr_in source = { .sin_family = AF_INET,
                                .sin_addr.s_addr = htonl (client->desc.source_ipv4) };
  int on = 1;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  h2o_socket_t *socket;

  if (fd < 0)
    return NULL;
  (void)setsockopt (fd, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &on, sizeof on);
  if (bind (fd, (struct sockaddr *)&source, sizeof source) < 0 ||
      (connect (fd, (const struct sockaddr *)address, sizeof *address) < 0 && errno != EINPROGRESS))
    {
      close (fd);
      return NULL;
    }
  socket = h2o_evloop_socket_create (client->desc.loop, fd, H2O_SOCKET_FLAG_IS_CONNECTING);
  h2o_socket_notify_write (socket, lc_link_client__on_connected);
  return socket;
}

static void
lc_link_client__connect (LcLinkClient *client)
{
  struct sockaddr_in address = { .sin_family = AF_INET,
                                 .sin_port = htons (client->desc.port),
                                 .sin_addr.s_addr = htonl (client->desc.ipv4) };

  client->connecting = lc_link_client__connect_from (client, &address);
  if (client->connecting == NULL)
    {
      lc_link_client__schedule_connect (client);
      return;
    }
  client->connecting->data = client;
  lc_timer_start (&client->timer, lc_link_client__or_default (client->desc.connect_timeout_ms,
                                                              LC_LINK_CONNECT_TIMEOUT_MS));
}

/* The timer is the connection timeout while connecting, else the back-off. */
static void
lc_link_client__on_timer (void *user)
{
  LcLinkClient *client = user;

  if (client->connecting == NULL)
    {
      lc_link_client__connect (client);
      return;
    }
  h2o_socket_close (client->connecting);
  client->connecting = NULL;
  lc_link_client__schedule_connect (client);
}

/* === public ================================================================================= */

void
lc_link_client_init (LcLinkClient *client, const LcLinkClientDesc *desc)
{
  memset (client, 0, sizeof *client);
  client->desc = *desc;
  client->backoff_ms = lc_link_client__or_default (desc->backoff_min_ms, LC_LINK_BACKOFF_MIN_MS);
  lc_timer_init (&client->timer, desc->loop, lc_link_client__on_timer, client);
  lc_link_client__connect (client);
}

static void
lc_link_client__stop (LcLinkClient *client, const char *why)
{
  lc_timer_stop (&client->timer);
  if (client->connecting != NULL)
    h2o_socket_close (client->connecting);
  client->connecting = NULL;
  if (client->link != NULL)
    lc_link_close (client->link, why);
}

/* When finished in a callback of its own link, the link outlives the client: unlink them. */
static void
lc_link_client__detach_busy_link (LcLinkClient *client)
{
  LcLink *link = client->link;

  if (link == NULL || !link->is_busy)
    return;
  link->client = NULL;
  link->malformed_total = NULL;
  client->link = NULL;
  lc_link_close (link, "client stops");
}

void
lc_link_client_finish (LcLinkClient *client)
{
  client->is_finished = true;
  lc_link_client__detach_busy_link (client);
  lc_link_client__stop (client, "client stops");
  lc_timer_finish (&client->timer);
}

LcLink *
lc_link_client_link (LcLinkClient *client)
{
  return client->link != NULL && !client->link->is_closing ? client->link : NULL;
}

void
lc_link_client_retarget (LcLinkClient *client, uint32_t ipv4, uint16_t port)
{
  client->desc.ipv4 = ipv4;
  client->desc.port = port;
  client->backoff_ms =
      lc_link_client__or_default (client->desc.backoff_min_ms, LC_LINK_BACKOFF_MIN_MS);
  if (client->link != NULL)
    {
      lc_link_close (client->link, "peer changed"); /* schedules the next connect */
      return;
    }
  lc_link_client__stop (client, "peer changed");
  lc_link_client__connect (client);
}
