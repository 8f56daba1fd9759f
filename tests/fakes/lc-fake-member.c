#include "lc-fake-private.h"

#include "control/lc-control-codec.h"

#include <string.h>

/* === private: network ======================================================================= */

int
lc_fake__node_of (const LcFakeCluster *c, LcReplicaId id)
{
  for (uint32_t i = 0; i < c->n_nodes; i++)
    if (c->nodes[i].id == id)
      return (int)i;
  return -1;
}

static void
lc_fake__transmit (
    LcFakeCluster *c, uint32_t from, uint32_t to, LcFakeEventKind kind, GBytes *bytes)
{
  uint32_t n_copies = 1;

  if (c->is_cut[from][to] || lc_fake_cluster_random (c, 100) < c->desc.loss_percent)
    return;
  if (lc_fake_cluster_random (c, 100) < c->desc.double_percent)
    n_copies = 2;
  for (uint32_t i = 0; i < n_copies; i++)
    lc_fake__schedule (
        c, c->now_us + lc_fake__random_between (c, c->desc.delay_min_us, c->desc.delay_max_us),
        kind, to, bytes);
}

/* === private: a member ====================================================================== */

static void
lc_fake__apply (LcFakeCluster *c, LcFakeNode *n)
{
  const LcRaftEntry *e;

  while ((e = lc_raft_next_committed (&n->raft)) != NULL)
    {
      LcControlCommand command;
      gsize len = 0;
      const guint8 *data = e->data != NULL ? g_bytes_get_data (e->data, &len) : NULL;

      lc_fake__check_entry (c, e);
      if (e->kind == LC_RAFT_ENTRY_COMMAND &&
          lc_control_command_unpack (&command, data, len, NULL) == 0)
        {
          lc_control_state_apply (&n->state, e->index, &command);
          lc_control_command_finish (&command);
          lc_fake__check_view (c, n);
          if (c->desc.applied != NULL && n->state.ops->len > 0)
            c->desc.applied (c->desc.user, (uint32_t)(n - c->nodes),
                             (const LcViewOp *)n->state.ops->data, n->state.ops->len, c->now_us);
        }
      lc_raft_mark_applied (&n->raft);
    }
}

static void
lc_fake__send_all (LcFakeCluster *c, LcFakeNode *n)
{
  const LcRaftEnvelope envelope = { .cluster = LC_FAKE_CLUSTER_ID };
  LcRaftMessage m;

  while (lc_raft_take_message (&n->raft, &m, lc_fake__clock (c, n)))
    {
      int to = lc_fake__node_of (c, m.to);
      GBytes *bytes = lc_raft_message_pack (&m, &envelope);

      if (to >= 0)
        lc_fake__transmit (c, (uint32_t)(n - c->nodes), (uint32_t)to, LC_FAKE_DELIVER, bytes);
      g_bytes_unref (bytes);
      lc_raft_message_finish (&m);
    }
}

static void
lc_fake__maybe_snapshot (LcFakeCluster *c, LcFakeNode *n)
{
  LcRaftSnapshot snapshot;
  GBytes *data;

  if (n->is_writing || n->raft.applied_index < n->snapshot_index + c->desc.snapshot_every)
    return;
  data = lc_control_state_pack (&n->state);
  lc_raft_make_snapshot (&n->raft, data, &snapshot);
  g_bytes_unref (data);
  if (lc_store_save_snapshot (&n->store, &snapshot, NULL) == 0)
    {
      lc_raft_compact (&n->raft, &snapshot);
      n->snapshot_index = snapshot.index;
    }
  lc_raft_snapshot_finish (&snapshot);
}

void
lc_fake__pump (LcFakeCluster *c, LcFakeNode *n)
{
  LcRaftSnapshot snapshot;

  if (lc_raft_take_snapshot (&n->raft, &snapshot))
    {
      if (lc_control_state_unpack (&n->state, snapshot.data, NULL) < 0)
        c->verdict.lost_commits++;
      n->snapshot_index = MAX (n->snapshot_index, snapshot.index);
      lc_fake__check_view (c, n);
      lc_raft_snapshot_finish (&snapshot);
    }
  lc_fake__apply (c, n);
  if (lc_raft_take_persist (&n->raft, &n->persist))
    {
      n->is_writing = true;
      lc_fake__schedule (
          c, c->now_us + lc_fake__random_between (c, c->desc.sync_min_us, c->desc.sync_max_us),
          LC_FAKE_STORED, (uint32_t)(n - c->nodes), NULL);
    }
  lc_fake__send_all (c, n);
  lc_fake__maybe_snapshot (c, n);
  lc_fake__check_leader (c, n);
}

void
lc_fake__on_stored (LcFakeCluster *c, LcFakeNode *n)
{
  LcError error;
  int r = lc_store_write (&n->store, &n->persist, &error);

  if (r == LC_ERR_FULL)
    {
      lc_raft_suspend (&n->raft, true, lc_fake__clock (c, n));
      lc_fake__schedule (c, c->now_us + 500000, LC_FAKE_STORED, (uint32_t)(n - c->nodes), NULL);
      lc_fake__pump (c, n);
      return;
    }
  if (r < 0)
    {
      lc_fake_cluster_crash (c, (uint32_t)(n - c->nodes));
      return;
    }
  lc_raft_suspend (&n->raft, false, lc_fake__clock (c, n));
  n->is_writing = false;
  lc_raft_mark_persisted (&n->raft, n->persist.sequence, lc_fake__clock (c, n));
  lc_raft_persist_finish (&n->persist);
  lc_fake__pump (c, n);
}

void
lc_fake__on_deliver (LcFakeCluster *c, LcFakeNode *n, GBytes *bytes)
{
  LcRaftMessage m;
  LcRaftEnvelope envelope;
  gsize len;
  const guint8 *data = g_bytes_get_data (bytes, &len);

  if (lc_raft_message_unpack (&m, &envelope, data, len, NULL) < 0)
    {
      c->verdict.lost_commits++;
      return;
    }
  lc_raft_receive (&n->raft, &m, lc_fake__clock (c, n));
  lc_raft_message_finish (&m);
  lc_fake__pump (c, n);
}

static void
lc_fake__maybe_step_clock (LcFakeCluster *c, LcFakeNode *n)
{
  if (!c->desc.steps_clocks || c->now_us < n->next_step_us)
    return; /* at most one step per lease */
  n->next_step_us = c->now_us + lc_fake__random_between (c, 600000, 5000000);
  n->clock_offset_us += lc_fake__random_between (c, -400000, 3000000);
}

void
lc_fake__on_tick (LcFakeCluster *c, LcFakeNode *n)
{
  lc_fake__schedule (c, c->now_us + LC_FAKE_TICK_US, LC_FAKE_TICK, (uint32_t)(n - c->nodes), NULL);
  /* First, since a read right after a pause comes before any tick. */
  lc_fake__check_read (c, n);
  lc_fake__maybe_step_clock (c, n);
  lc_raft_tick (&n->raft, lc_fake__clock (c, n));
  lc_fake__pump (c, n);
}

/* Proposes a command if the node leads; otherwise forwards it to the leader, if known. */
void
lc_fake__propose (LcFakeCluster *c, uint32_t node, GBytes *bytes, bool may_forward)
{
  LcFakeNode *n = &c->nodes[node];
  int leader = lc_fake__node_of (c, n->raft.leader);

  if (lc_raft_is_leader (&n->raft))
    (void)lc_raft_propose (&n->raft, bytes, lc_fake__clock (c, n), NULL, NULL);
  else if (may_forward && leader >= 0)
    lc_fake__transmit (c, node, (uint32_t)leader, LC_FAKE_FORWARD, bytes);
  lc_fake__pump (c, n);
}
