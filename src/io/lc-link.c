#include "lc-link-private.h"

#include "lc-clock.h"
#include "lc-listen.h"
#include "lc-log.h"

#include <glib.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  LC_LINK_MAX_LINKS = 4096,
  LC_LINK_BACKLOG_BYTES = 8 << 20,
  LC_LINK_USER_TIMEOUT_MS = 10000,
  LC_LINK_MALFORMED_LOGS_PER_S = 2,

  /* A silent link must be replaced before the leases renewed over it expire (3 s), and before a
   * cluster has missed a member for the 4 s that platforms allow. */
  LC_LINK_KEEP_ALIVE_MS = 1000,
  LC_LINK_SILENT_MS = 2500, /* two and a half ping periods */
};

/* === private: teardown ====================================================================== */

static void
lc_link__remove_from_server (LcLink *link)
{
  if (link->server == NULL)
    return;
  *link->previous = link->next;
  if (link->next != NULL)
    link->next->previous = link->previous;
  link->server->n_links--;
}

static void
lc_link__free (LcLink *link)
{
  g_byte_array_unref (link->unsent);
  g_byte_array_unref (link->writing);
  g_free (link);
}

/* Closes and frees a link; never while it is busy. */
static void
lc_link__destroy (LcLink *link)
{
  LcLinkClient *client = link->client;

  lc_timer_finish (&link->keep_alive_timer);
  h2o_socket_close (link->socket);
  link->socket = NULL;
  lc_link__remove_from_server (link);
  if (client != NULL)
    client->link = NULL;
  link->is_busy = true;
  if (link->handler.down != NULL)
    link->handler.down (link->handler.user, link, link->why);
  lc_link__free (link);
  if (client != NULL && !client->is_finished)
    lc_link_client__schedule_connect (client);
}

/* Brackets each callback.  Callbacks may nest: only the outermost one destroys the link. */
static bool
lc_link__enter (LcLink *link)
{
  bool was_busy = link->is_busy;

  link->is_busy = true;
  return was_busy;
}

static void
lc_link__leave (LcLink *link, bool was_busy)
{
  link->is_busy = was_busy;
  if (!was_busy && link->is_closing)
    lc_link__destroy (link);
}

/* === private: writing ======================================================================= */

static void lc_link__flush (LcLink *link);

static void
lc_link__on_written (h2o_socket_t *socket, const char *err)
{
  LcLink *link = socket->data;
  bool was_busy = lc_link__enter (link);

  link->is_writing = false;
  g_byte_array_set_size (link->writing, 0);
  if (err != NULL)
    lc_link_close (link, err);
  else
    lc_link__flush (link);
  /* Only a link that is not busy is freed.  NOLINTNEXTLINE(clang-analyzer-unix.Malloc) */
  lc_link__leave (link, was_busy);
}

static void
lc_link__flush (LcLink *link)
{
  GByteArray *full = link->unsent;
  h2o_iovec_t buffer;

  if (link->is_writing || full->len == 0 || link->is_closing)
    return;
  link->unsent = link->writing;
  link->writing = full;
  link->is_writing = true;
  link->last_sent_us = lc_clock_now_us ();
  link->bytes_total += full->len;
  buffer = h2o_iovec_init (full->data, full->len);
  h2o_socket_write (link->socket, &buffer, 1, lc_link__on_written);
}

/* === private: reading ======================================================================= */

static void
lc_link__report_malformed (LcLink *link, const LcError *error)
{
  static LcLogLimit limit; /* of the process: bad peers must not flood the log */

  if (link->malformed_total != NULL)
    (*link->malformed_total)++;
  if (lc_log_allow (&limit, lc_clock_now_us (), LC_LINK_MALFORMED_LOGS_PER_S))
    LC_WARN ("link.malformed", "message", LC_STR (error->message), "remedy",
             LC_STR (error->remedy));
}

/* Handles frames of the keep-alive; false: the frame is for the link's handler. */
static bool
lc_link__handle_keep_alive (LcLink *link, const LcFrame *frame)
{
  if (frame->type == LC_FRAME_LINK_PING)
    (void)lc_link_send_bytes (link, LC_FRAME_LINK_PONG, NULL, 0);
  return frame->type == LC_FRAME_LINK_PING || frame->type == LC_FRAME_LINK_PONG;
}

static void
lc_link__on_read (h2o_socket_t *socket, const char *err)
{
  LcLink *link = socket->data;
  LcError error = { 0 };
  bool was_busy = lc_link__enter (link);

  link->last_received_us = lc_clock_now_us ();
  if (err != NULL)
    lc_link_close (link, err);
  /* Only a link that is not busy is freed.  NOLINTNEXTLINE(clang-analyzer-unix.Malloc) */
  while (!link->is_closing && socket->input->size > 0)
    {
      LcFrame frame;
      int n = lc_frame_decode (&frame, (const uint8_t *)socket->input->bytes, socket->input->size,
                               &error);

      if (n == 0)
        break;
      if (n < 0)
        {
          lc_link__report_malformed (link, &error);
          lc_link_close (link, error.message);
          break;
        }
      link->bytes_total += (uint64_t)n;
      if (!lc_link__handle_keep_alive (link, &frame))
        link->handler.frame (link->handler.user, link, &frame);
      if (!link->is_closing)
        h2o_buffer_consume (&socket->input, (size_t)n);
    }
  /* Only a link that is not busy is freed.  NOLINTNEXTLINE(clang-analyzer-unix.Malloc) */
  lc_link__leave (link, was_busy);
}

static void
lc_link__set_options (int fd)
{
  int on = 1;
  unsigned int user_timeout_ms = LC_LINK_USER_TIMEOUT_MS;

  (void)setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  (void)setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &user_timeout_ms, sizeof user_timeout_ms);
}

/* === private: keep-alive ==================================================================== */

static int64_t
lc_link__silence_limit_us (const LcLink *link)
{
  /* A server waits one period longer: its client pings only after a period of silence. */
  int64_t limit_ms =
      link->keep_alive.silent_ms + (link->server != NULL ? link->keep_alive.period_ms : 0);

  return limit_ms * LC_US_PER_MS;
}

/* After a stall of this process, what the peer sent meanwhile is not read yet, so the stall is not
 * counted as silence of the peer. */
static void
lc_link__discount_stall (LcLink *link, int64_t now_us)
{
  if (now_us - link->last_check_us >= 2 * (int64_t)link->keep_alive.period_ms * LC_US_PER_MS)
    link->last_received_us =
        MAX (link->last_received_us, now_us - link->keep_alive.period_ms * LC_US_PER_MS);
  link->last_check_us = now_us;
}

static void
lc_link__on_keep_alive (void *user)
{
  LcLink *link = user;
  int64_t now_us = lc_clock_now_us ();
  int64_t period_us = (int64_t)link->keep_alive.period_ms * LC_US_PER_MS;

  lc_link__discount_stall (link, now_us);
  if (now_us - link->last_received_us >= lc_link__silence_limit_us (link))
    {
      LC_WARN ("link.silent", "silent_ms",
               LC_I64 ((now_us - link->last_received_us) / LC_US_PER_MS), "remedy",
               LC_STR ("none needed: the client connects again"));
      lc_link_close (link, "silent");
      return;
    }
  lc_timer_start (&link->keep_alive_timer, link->keep_alive.period_ms);
  if (link->client != NULL &&
      (now_us - link->last_received_us >= period_us || now_us - link->last_sent_us >= period_us))
    (void)lc_link_send_bytes (link, LC_FRAME_LINK_PING, NULL, 0);
}

/* === private: setup ========================================================================= */

LcLink *
lc_link__new (h2o_socket_t *socket,
              h2o_loop_t *loop,
              const LcLinkHandler *handler,
              uint32_t max_backlog_bytes,
              const LcLinkKeepAlive *keep_alive)
{
  LcLink *link = g_new0 (LcLink, 1);

  link->socket = socket;
  link->handler = *handler;
  link->max_backlog_bytes = max_backlog_bytes != 0 ? max_backlog_bytes : LC_LINK_BACKLOG_BYTES;
  link->unsent = g_byte_array_new ();
  link->writing = g_byte_array_new ();
  link->keep_alive.period_ms =
      keep_alive->period_ms != 0 ? keep_alive->period_ms : LC_LINK_KEEP_ALIVE_MS;
  link->keep_alive.silent_ms =
      keep_alive->silent_ms != 0 ? keep_alive->silent_ms : LC_LINK_SILENT_MS;
  lc_timer_init (&link->keep_alive_timer, loop, lc_link__on_keep_alive, link);
  socket->data = link;
  lc_link__set_options (h2o_socket_get_fd (socket));
  return link;
}

void
lc_link__start (LcLink *link)
{
  bool was_busy = lc_link__enter (link);

  link->last_received_us = lc_clock_now_us ();
  link->last_sent_us = link->last_received_us;
  link->last_check_us = link->last_received_us;
  lc_timer_start (&link->keep_alive_timer, link->keep_alive.period_ms);
  if (link->handler.up != NULL)
    link->handler.up (link->handler.user, link);
  if (!link->is_closing)
    h2o_socket_read_start (link->socket, lc_link__on_read);
  lc_link__leave (link, was_busy);
}

/* === public: a link ========================================================================= */

int
lc_link_send_bytes (LcLink *link, uint16_t type, const uint8_t *payload, size_t len)
{
  uint8_t header[LC_FRAME_HEADER_BYTES];

  if (link == NULL || link->is_closing || link->socket == NULL)
    return LC_ERR_UNAVAILABLE;
  if (len > LC_FRAME_PAYLOAD_MAX || lc_link_backlog_bytes (link) + len > link->max_backlog_bytes)
    return LC_ERR_FULL;
  lc_frame_encode_header (header, type, (uint32_t)len);
  g_byte_array_append (link->unsent, header, sizeof header);
  if (len > 0)
    g_byte_array_append (link->unsent, payload, (guint)len);
  lc_link__flush (link);
  return 0;
}

int
lc_link_send (LcLink *link, uint16_t type, const ProtobufCMessage *message)
{
  uint8_t stack[2048];
  size_t len;
  uint8_t *bytes;
  int r;

  if (link == NULL)
    return LC_ERR_UNAVAILABLE;
  len = protobuf_c_message_get_packed_size (message);
  bytes = len <= sizeof stack ? stack : g_malloc (len);
  (void)protobuf_c_message_pack (message, bytes);
  r = lc_link_send_bytes (link, type, bytes, len);
  if (bytes != stack)
    g_free (bytes);
  return r;
}

void
lc_link_close (LcLink *link, const char *why)
{
  if (link == NULL || link->is_closing)
    return;
  link->is_closing = true;
  (void)g_strlcpy (link->why, why != NULL ? why : "closed", sizeof link->why);
  if (!link->is_busy)
    lc_link__destroy (link);
}

uint64_t
lc_link_id (const LcLink *link)
{
  return link->id;
}

size_t
lc_link_backlog_bytes (const LcLink *link)
{
  return (size_t)link->unsent->len + link->writing->len;
}

uint64_t
lc_link_bytes_total (const LcLink *link)
{
  return link->bytes_total;
}

void
lc_link_set_peer (LcLink *link, void *peer)
{
  link->peer = peer;
}

void *
lc_link_peer (const LcLink *link)
{
  return link->peer;
}

/* === public: server ========================================================================= */

static void
lc_link_server__accept (LcLinkServer *server, h2o_socket_t *socket)
{
  uint32_t max_links = server->desc.max_links != 0 ? server->desc.max_links : LC_LINK_MAX_LINKS;
  LcLink *link;

  if (server->n_links >= max_links)
    {
      server->refused_total++;
      h2o_socket_close (socket);
      return;
    }
  link = lc_link__new (socket, server->desc.loop, &server->desc.handler,
                       server->desc.max_backlog_bytes, &server->desc.keep_alive);
  link->server = server;
  link->malformed_total = &server->malformed_total;
  link->id = ++server->next_id;
  link->next = server->links;
  link->previous = &server->links;
  if (link->next != NULL)
    link->next->previous = &link->next;
  server->links = link;
  server->n_links++;
  server->accepted_total++;
  lc_link__start (link);
}

static void
lc_link_server__on_accept (h2o_socket_t *listener, const char *err)
{
  LcLinkServer *server = listener->data;
  h2o_socket_t *socket;

  if (err != NULL)
    return;
  while ((socket = h2o_evloop_socket_accept (listener)) != NULL)
    lc_link_server__accept (server, socket);
}

int
lc_link_server_init (LcLinkServer *server, const LcLinkServerDesc *desc, LcError *error)
{
  int fd;

  memset (server, 0, sizeof *server);
  server->desc = *desc;
  fd = lc_listen_tcp (desc->ipv4, desc->port,
                      "free the port or change `address` and `peer_port` in the settings", error);
  if (fd < 0)
    return fd;
  server->listener = h2o_evloop_socket_create (desc->loop, fd, H2O_SOCKET_FLAG_DONT_READ);
  server->listener->data = server;
  h2o_socket_read_start (server->listener, lc_link_server__on_accept);
  return 0;
}

void
lc_link_server_finish (LcLinkServer *server)
{
  if (server->listener != NULL)
    h2o_socket_close (server->listener);
  server->listener = NULL;
  for (LcLink *link = server->links, *next; link != NULL; link = next)
    {
      next = link->next;
      lc_link_close (link, "server stops");
    }
}

uint16_t
lc_link_server_port (const LcLinkServer *server)
{
  struct sockaddr_in address = { 0 };
  socklen_t len = sizeof address;

  if (getsockname (h2o_socket_get_fd (server->listener), (struct sockaddr *)&address, &len) < 0)
    return 0;
  return ntohs (address.sin_port);
}

LcLink *
lc_link_server_find (LcLinkServer *server, uint64_t link_id)
{
  for (LcLink *link = server->links; link != NULL; link = link->next)
    if (link->id == link_id && !link->is_closing)
      return link;
  return NULL;
}
