/* lc-link: TCP connections that carry frames, on an h2o event loop.
 *
 * WHAT IT IS
 *   LcLinkServer accepts links on one address; LcLinkClient keeps one link to one address and
 *   connects again with exponential back-off and jitter.  Both give whole frames to a handler.
 *
 * HOW TO USE IT
 *     LcLinkClientDesc desc = { .loop = loop, .ipv4 = 0x7f000001, .port = 7000,
 *                               .handler = { .user = me, .frame = on_frame, .up = on_up } };
 *     lc_link_client_init (&client, &desc);
 *     lc_link_send (lc_link_client_link (&client), TYPE, &message.base);
 *     lc_link_client_finish (&client);
 *
 * THREADS
 *   Everything is called on the loop's thread.
 *
 * LIFETIME
 *   Client and server live in memory the caller owns.  An LcLink is valid from `up` until `down`
 *   returns; keep lc_link_id and look the link up when it may have gone.  A client may be finished
 *   and its memory freed in a callback of its own link; `down` still comes for that link.
 *
 * LIMITS
 *   A link whose unsent bytes pass max_backlog_bytes refuses more with LC_ERR_FULL.  A malformed
 *   frame closes the link, is counted (malformed_total) and reported through `down`.
 *   A link over which nothing comes for 2.5 s is closed (keep_alive); TCP alone would notice only
 *   bytes of its own that nobody acknowledges.  Time in which this process stood still itself does
 *   not count.
 */
#ifndef LC_LINK_H
#define LC_LINK_H

#include "lc-frame.h"
#include "lc-timer.h"

#include <h2o.h>
#include <protobuf-c/protobuf-c.h>

typedef struct LcLink LcLink;

typedef struct
{
  void *user;
  void (*frame) (void *user, LcLink *link, const LcFrame *frame);
  void (*up) (void *user, LcLink *link);                    /* may be NULL */
  void (*down) (void *user, LcLink *link, const char *why); /* may be NULL */
} LcLinkHandler;

/* Connections may fall silent for good without a reset, while new ones work. */
typedef struct
{
  uint32_t period_ms; /* 0: 1000; a client that neither spoke nor heard for so long pings */
  uint32_t silent_ms; /* 0: 2500; nothing was heard for so long: the link is closed */
} LcLinkKeepAlive;

typedef struct
{
  h2o_loop_t *loop;
  uint32_t ipv4;              /* host byte order */
  uint16_t port;              /* 0: the kernel picks one, see lc_link_server_port */
  uint32_t max_links;         /* 0: 4096 */
  uint32_t max_backlog_bytes; /* 0: 8 MiB a link */
  LcLinkKeepAlive keep_alive; /* it closes a link one period later than its client does */
  LcLinkHandler handler;
} LcLinkServerDesc;

typedef struct
{
  LcLinkServerDesc desc;
  h2o_socket_t *listener;
  LcLink *links; /* list */
  uint32_t n_links;
  uint64_t accepted_total;
  uint64_t malformed_total;
  uint64_t refused_total;
  uint64_t next_id;
} LcLinkServer;

int lc_link_server_init (LcLinkServer *server, const LcLinkServerDesc *desc, LcError *error);
void lc_link_server_finish (LcLinkServer *server);
uint16_t lc_link_server_port (const LcLinkServer *server);
/* The link with this id, or NULL once it is down. */
LcLink *lc_link_server_find (LcLinkServer *server, uint64_t link_id);

typedef struct
{
  h2o_loop_t *loop;
  uint32_t ipv4;
  uint16_t port;
  uint32_t source_ipv4;        /* 0: the kernel picks */
  uint32_t backoff_min_ms;     /* 0: 50 */
  uint32_t backoff_max_ms;     /* 0: 2000 */
  uint32_t connect_timeout_ms; /* 0: 1000 */
  uint32_t max_backlog_bytes;  /* 0: 8 MiB */
  LcLinkKeepAlive keep_alive;
  LcLinkHandler handler;
} LcLinkClientDesc;

typedef struct
{
  LcLinkClientDesc desc;
  LcLink *link; /* NULL while not connected */
  LcTimer timer;
  h2o_socket_t *connecting;
  uint32_t backoff_ms;
  uint64_t next_id;
  uint64_t malformed_total;
  uint64_t connects_total;
  bool is_finished;
} LcLinkClient;

void lc_link_client_init (LcLinkClient *client, const LcLinkClientDesc *desc);
void lc_link_client_finish (LcLinkClient *client);
/* NULL while not connected. */
LcLink *lc_link_client_link (LcLinkClient *client);
/* Closes the present connection, if any, and connects to another address. */
void lc_link_client_retarget (LcLinkClient *client, uint32_t ipv4, uint16_t port);

/* Sends one message.  0, LC_ERR_FULL (too much unsent), or LC_ERR_UNAVAILABLE (link is NULL or
 * closing). The message is copied. */
int lc_link_send (LcLink *link, uint16_t type, const ProtobufCMessage *message);
/* The same with the payload already packed. */
int lc_link_send_bytes (LcLink *link, uint16_t type, const uint8_t *payload, size_t len);
/* Closes soon, after the running callback; `down` is called. */
void lc_link_close (LcLink *link, const char *why);
uint64_t lc_link_id (const LcLink *link);
size_t lc_link_backlog_bytes (const LcLink *link);
/* Bytes sent and received, for control-traffic figures. */
uint64_t lc_link_bytes_total (const LcLink *link);
/* For the owner of a plane: one pointer to its own state of this peer. */
void lc_link_set_peer (LcLink *link, void *peer);
void *lc_link_peer (const LcLink *link);

#endif /* LC_LINK_H */
