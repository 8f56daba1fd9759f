/* lc-link: persistent TCP connections that carry frames, on an h2o event loop.
 *
 * WHAT IT IS
 *   LcLinkServer accepts links on one address; LcLinkClient maintains one link to one address and
 *   reconnects with exponential back-off and jitter.  Both pass whole frames to a handler.
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
 *   returns; to refer to it for longer, keep lc_link_id and look it up.  A client may be finished
 *   and its memory freed in a callback of its own link; `down` is still called for that link.
 *
 * LIMITS
 *   A link whose unsent bytes would exceed max_backlog_bytes refuses a message with LC_ERR_FULL.  A
 *   malformed frame closes the link, is counted (malformed_total) and is the reason in `down`.
 *   A link that receives nothing for 2.5 s is closed (keep_alive), because TCP alone notices a dead
 *   peer only by unacknowledged bytes.  Time in which this process was stalled does not count.
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

/* Detects connections that went silent without a reset while new ones work. */
typedef struct
{
  uint32_t period_ms; /* 0: 1000; a client that sent or received nothing for so long pings */
  uint32_t silent_ms; /* 0: 2500; a link that received nothing for so long is closed */
} LcLinkKeepAlive;

typedef struct
{
  h2o_loop_t *loop;
  uint32_t ipv4;              /* host byte order */
  uint16_t port;              /* 0: the kernel picks one, see lc_link_server_port */
  uint32_t max_links;         /* 0: 4096 */
  uint32_t max_backlog_bytes; /* 0: 8 MiB a link */
  LcLinkKeepAlive keep_alive; /* closes a link one period later than its client does */
  LcLinkHandler handler;
} LcLinkServerDesc;

typedef struct
{
  LcLinkServerDesc desc;
  h2o_socket_t *listener;
  LcLink *links; /* a linked list */
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
  LcLink *link;             /* NULL while not connected */
  LcTimer timer;            /* connection timeout, else back-off */
  h2o_socket_t *connecting; /* NULL unless connecting */
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
/* Closes the current link, if any, and connects to another address. */
void lc_link_client_retarget (LcLinkClient *client, uint32_t ipv4, uint16_t port);

/* Packs and queues one message: 0, LC_ERR_FULL (backlog), or LC_ERR_UNAVAILABLE (link is NULL or
 * closing). */
int lc_link_send (LcLink *link, uint16_t type, const ProtobufCMessage *message);
/* The same with the payload already packed. */
int lc_link_send_bytes (LcLink *link, uint16_t type, const uint8_t *payload, size_t len);
/* Closes after the running callback of the link, if any, and calls `down`. */
void lc_link_close (LcLink *link, const char *why);
uint64_t lc_link_id (const LcLink *link);
size_t lc_link_backlog_bytes (const LcLink *link);
/* Bytes sent and received, for traffic metrics. */
uint64_t lc_link_bytes_total (const LcLink *link);
/* The handler's own state of this peer. */
void lc_link_set_peer (LcLink *link, void *peer);
void *lc_link_peer (const LcLink *link);

#endif /* LC_LINK_H */
