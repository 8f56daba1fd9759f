/* lc-link-private: what the parts of lc-link share.
 *
 *   lc-link.c         a link: frames out and in, keep-alive, its end; and the server's side
 *   lc-link-client.c  the client's side: connecting, and again
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
  LcLink *next;         /* server's list */
  LcLink **previous;
  GByteArray *unsent;  /* filled while `writing` is under way */
  GByteArray *writing; /* owned by h2o until the write completes */
  uint64_t *malformed_total;
  uint64_t id;
  uint64_t bytes_total;
  uint32_t max_backlog_bytes;
  LcTimer keep_alive;
  LcLinkKeepAlive pace;
  int64_t looked_us; /* when keep_alive fired last */
  int64_t heard_us;  /* when bytes came last */
  int64_t spoke_us;  /* when bytes went last */
  bool is_busy;      /* a callback of this link is running: closing waits for its end */
  bool is_writing;
  bool is_closing;
  char why[96];
  void *peer;
};

LcLink *lc_link__new (h2o_socket_t *socket,
                      h2o_loop_t *loop,
                      const LcLinkHandler *handler,
                      uint32_t max_backlog_bytes,
                      const LcLinkKeepAlive *pace);
void lc_link__start (LcLink *link);
/* A client's link is down: it connects again after its back-off. */
void lc_link_client__schedule (LcLinkClient *client);

#endif /* LC_LINK_PRIVATE_H */
