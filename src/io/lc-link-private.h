/* lc-link-private: the link itself, shared by the sources of lc-link.
 *
 *   lc-link.c         framing, keep-alive and teardown of a link; the server
 *   lc-link-client.c  the client: connecting and reconnecting
 */
#ifndef LC_LINK_PRIVATE_H
#define LC_LINK_PRIVATE_H

#include "lc-link.h"

#include <glib.h>

struct LcLink
{
  h2o_socket_t *socket; /* NULL once closed */
  LcLinkHandler handler;
  LcLinkServer *server; /* NULL for a client's link */
  LcLinkClient *client; /* NULL for a server's link */
  LcLink *next;         /* in the server's list */
  LcLink **previous;
  GByteArray *unsent;  /* collects frames while `writing` is being written */
  GByteArray *writing; /* owned by h2o until the write completes */
  uint64_t *malformed_total;
  uint64_t id;
  uint64_t bytes_total;
  uint32_t max_backlog_bytes;
  LcTimer keep_alive_timer;
  LcLinkKeepAlive keep_alive;
  int64_t last_check_us;    /* keep_alive_timer fired */
  int64_t last_received_us; /* bytes */
  int64_t last_sent_us;     /* bytes */
  bool is_busy;             /* a callback of this link is running: closing waits for it */
  bool is_writing;
  bool is_closing;
  char why[96];
  void *peer;
};

LcLink *lc_link__new (h2o_socket_t *socket,
                      h2o_loop_t *loop,
                      const LcLinkHandler *handler,
                      uint32_t max_backlog_bytes,
                      const LcLinkKeepAlive *keep_alive);
void lc_link__start (LcLink *link);
/* Schedules the next connection attempt after the back-off. */
void lc_link_client__schedule_connect (LcLinkClient *client);

#endif /* LC_LINK_PRIVATE_H */
