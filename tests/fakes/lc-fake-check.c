#include "lc-fake-private.h"

#include "io/lc-wire-view.h"

#include <xxhash.h>

/* === private: invariants ==================================================================== */

static void
lc_fake__add_digest (void *user, const LcViewOp *op)
{
  uint64_t *sum = user;
  LcWireViewOps one;
  LcViewOp copy = *op;
  size_t len;
  uint8_t *bytes;

  copy.revision = 0;
  lc_wire_view_ops_init (&one);
  lc_wire_view_ops_add (&one, &copy);
  len = protobuf_c_message_get_packed_size (&one.ops[0]->base);
  bytes = g_malloc (len + 1);
  (void)protobuf_c_message_pack (&one.ops[0]->base, bytes);
  /* A sum, because the iteration order of hash tables differs between members. */
  *sum += XXH3_64bits (bytes, len);
  g_free (bytes);
  lc_wire_view_ops_finish (&one);
}

void
lc_fake__check_view (LcFakeCluster *c, LcFakeNode *n)
{
  gpointer key = GUINT_TO_POINTER ((guint)n->state.applied);
  uint64_t digest = n->state.view.revision;
  uint64_t *expected;

  if (n->state.view.revision < n->seen_revision)
    c->verdict.reverted++;
  n->seen_revision = n->state.view.revision;
  if (n->state.applied % LC_FAKE_DIGEST_EVERY != 0)
    return;
  lc_view_snapshot (&n->state.view, lc_fake__add_digest, &digest);
  expected = g_hash_table_lookup (c->digests, key);
  if (expected != NULL && *expected != digest)
    c->verdict.reverted++;
  if (expected == NULL)
    g_hash_table_insert (c->digests, key, g_memdup2 (&digest, sizeof digest));
}

void
lc_fake__check_entry (LcFakeCluster *c, const LcRaftEntry *e)
{
  gpointer key = GUINT_TO_POINTER ((guint)e->index);
  gsize len = 0;
  const guint8 *data = e->data != NULL ? g_bytes_get_data (e->data, &len) : NULL;
  uint64_t hash = XXH3_64bits_withSeed (data, len, e->term * 4 + e->kind);
  uint64_t *expected = g_hash_table_lookup (c->committed, key);

  if (expected == NULL)
    {
      g_hash_table_insert (c->committed, key, g_memdup2 (&hash, sizeof hash));
      c->verdict.n_commits++;
    }
  else if (*expected != hash)
    c->verdict.lost_commits++;
}

void
lc_fake__check_leader (LcFakeCluster *c, const LcFakeNode *n)
{
  gpointer key = GUINT_TO_POINTER ((guint)n->raft.term);
  LcReplicaId *expected;

  if (!lc_raft_is_leader (&n->raft))
    return;
  expected = g_hash_table_lookup (c->leaders, key);
  if (expected == NULL)
    g_hash_table_insert (c->leaders, key, g_memdup2 (&n->id, sizeof n->id));
  else if (*expected != n->id)
    {
      c->verdict.two_leaders++;
      *expected = n->id;
    }
}

/* A lease read must include every commit that an operator has an answer from. */
void
lc_fake__check_read (LcFakeCluster *c, LcFakeNode *n)
{
  if (!lc_raft_can_read (&n->raft, lc_fake__clock (c, n)))
    return;
  c->verdict.n_reads++;
  if (n->raft.applied_index < c->acknowledged)
    c->verdict.stale_reads++;
}
