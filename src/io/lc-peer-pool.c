#include "lc-peer-pool.h"

#include "core/lc-types.h"

enum
{
  LC_PEER_POOL_IDLE_MS = 60000,
};

typedef struct
{
  LcLinkClient client;
  int64_t last_used_us;
} LcPeerPoolEntry;

static void
lc_peer_pool__free_entry (gpointer data)
{
  LcPeerPoolEntry *entry = data;

  lc_link_client_finish (&entry->client);
  g_free (entry);
}

void
lc_peer_pool_init (LcPeerPool *pool, const LcPeerPoolDesc *desc)
{
  pool->desc = *desc;
  pool->peers =
      g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, lc_peer_pool__free_entry);
}

void
lc_peer_pool_finish (LcPeerPool *pool)
{
  if (pool->peers != NULL)
    g_hash_table_destroy (pool->peers);
  pool->peers = NULL;
}

static LcPeerPoolEntry *
lc_peer_pool__add (LcPeerPool *pool, uint64_t key, uint32_t ipv4, uint16_t port)
{
  LcLinkClientDesc desc = { .loop = pool->desc.loop,
                            .ipv4 = ipv4,
                            .port = port,
                            .source_ipv4 = pool->desc.source_ipv4,
                            .handler = pool->desc.handler };
  LcPeerPoolEntry *entry = g_new0 (LcPeerPoolEntry, 1);
  uint64_t *owned = g_new (uint64_t, 1);

  *owned = key;
  g_hash_table_insert (pool->peers, owned, entry);
  lc_link_client_init (&entry->client, &desc);
  return entry;
}

LcLink *
lc_peer_pool_get (LcPeerPool *pool, uint32_t ipv4, uint16_t port, int64_t now_us)
{
  /* g_int64_hash uses only the low 32 bits, so the address, which differs most, is there. */
  uint64_t key = ((uint64_t)port << 32) | ipv4;
  LcPeerPoolEntry *entry = g_hash_table_lookup (pool->peers, &key);

  if (entry == NULL)
    entry = lc_peer_pool__add (pool, key, ipv4, port);
  entry->last_used_us = now_us;
  return lc_link_client_link (&entry->client);
}

void
lc_peer_pool_expire (LcPeerPool *pool, int64_t now_us)
{
  uint32_t idle_ms = pool->desc.idle_ms != 0 ? pool->desc.idle_ms : LC_PEER_POOL_IDLE_MS;
  int64_t oldest_us = now_us - (int64_t)idle_ms * LC_US_PER_MS;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, pool->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((LcPeerPoolEntry *)value)->last_used_us < oldest_us)
      g_hash_table_iter_remove (&iter);
}

uint32_t
lc_peer_pool_size (const LcPeerPool *pool)
{
  return g_hash_table_size (pool->peers);
}

uint64_t
lc_peer_pool_bytes_total (const LcPeerPool *pool)
{
  GHashTableIter iter;
  gpointer value;
  uint64_t bytes = 0;

  g_hash_table_iter_init (&iter, pool->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      LcLink *link = ((LcPeerPoolEntry *)value)->client.link;

      if (link != NULL)
        bytes += lc_link_bytes_total (link);
    }
  return bytes;
}
