/* lc-peer-pool: a connection pool: links to many peers, opened on demand and closed when idle.
 *
 * WHAT IT IS
 *   A table of LcLinkClient keyed by (ipv4, port).  The first lc_peer_pool_get of a peer starts to
 *   connect; the link is NULL until it is up.
 *
 * HOW TO USE IT
 *     LcPeerPoolDesc desc = { .loop = loop, .handler = { .user = me, .frame = on_frame } };
 *     lc_peer_pool_init (&pool, &desc);
 *     LcLink *link = lc_peer_pool_get (&pool, ipv4, port, now_us);
 *     lc_peer_pool_expire (&pool, now_us);    every few seconds
 *     lc_peer_pool_finish (&pool);
 *
 * LIFETIME
 *   The pool owns its clients; a link is valid until `down`.
 */
#ifndef LC_PEER_POOL_H
#define LC_PEER_POOL_H

#include "lc-link.h"

#include <glib.h>

typedef struct
{
  h2o_loop_t *loop;
  uint32_t source_ipv4;
  uint32_t idle_ms; /* 0: 60 000; a peer not used for so long is closed */
  LcLinkHandler handler;
} LcPeerPoolDesc;

typedef struct
{
  LcPeerPoolDesc desc;
  GHashTable *peers; /* packed (port, ipv4) -> private entry */
} LcPeerPool;

void lc_peer_pool_init (LcPeerPool *pool, const LcPeerPoolDesc *desc);
void lc_peer_pool_finish (LcPeerPool *pool);
/* The peer's link, or NULL while it connects. */
LcLink *lc_peer_pool_get (LcPeerPool *pool, uint32_t ipv4, uint16_t port, int64_t now_us);
void lc_peer_pool_expire (LcPeerPool *pool, int64_t now_us);
uint32_t lc_peer_pool_size (const LcPeerPool *pool);
/* Bytes sent and received on the current links. */
uint64_t lc_peer_pool_bytes_total (const LcPeerPool *pool);

#endif /* LC_PEER_POOL_H */
