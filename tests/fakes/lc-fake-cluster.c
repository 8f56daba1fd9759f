#include "lc-fake-private.h"

#include "control/lc-control-codec.h"

#include <string.h>

/* === private: random numbers, event queue =================================================== */

uint64_t
lc_fake_cluster_random (LcFakeCluster *c, uint64_t below)
{
  c->random = c->random * UINT64_C (6364136223846793005) + UINT64_C (1442695040888963407);
  return below > 0 ? (c->random >> 33) % below : 0;
}

int64_t
lc_fake__random_between (LcFakeCluster *c, int64_t min, int64_t max)
{
  return max > min ? min + (int64_t)lc_fake_cluster_random (c, (uint64_t)(max - min + 1)) : min;
}

static gint
lc_fake__compare (gconstpointer a, gconstpointer b, gpointer user)
{
  const LcFakeEvent *x = a;
  const LcFakeEvent *y = b;

  if (x->at_us != y->at_us)
    return x->at_us < y->at_us ? -1 : 1;
  return x->sequence < y->sequence ? -1 : x->sequence > y->sequence;
}

static void
lc_fake__free_event (gpointer data)
{
  LcFakeEvent *event = data;

  if (event->bytes != NULL)
    g_bytes_unref (event->bytes);
  g_free (event);
}

void
lc_fake__schedule (
    LcFakeCluster *c, int64_t at_us, LcFakeEventKind kind, uint32_t node, GBytes *bytes)
{
  LcFakeEvent *event = g_new0 (LcFakeEvent, 1);

  event->at_us = at_us;
  event->sequence = ++c->sequence;
  event->kind = kind;
  event->node = node;
  event->epoch = kind == LC_FAKE_OPERATOR || kind == LC_FAKE_LEADER_STEP ? 0 : c->nodes[node].epoch;
  event->bytes = bytes != NULL ? g_bytes_ref (bytes) : NULL;
  g_sequence_insert_sorted (c->events, event, lc_fake__compare, NULL);
}

int64_t
lc_fake__clock (const LcFakeCluster *c, const LcFakeNode *n)
{
  return c->now_us + n->clock_offset_us;
}

/* === private: dispatch ====================================================================== */

static void
lc_fake__dispatch (LcFakeCluster *c, const LcFakeEvent *e)
{
  LcFakeNode *n = &c->nodes[e->node];

  if (e->kind == LC_FAKE_OPERATOR)
    {
      lc_fake__on_operator (c, e->node);
      return;
    }
  if (e->kind == LC_FAKE_LEADER_STEP)
    {
      lc_fake__on_leader_step (c);
      return;
    }
  if (!n->is_up || (n->epoch != e->epoch && e->kind != LC_FAKE_DELIVER))
    return;
  if (n->paused_until_us > c->now_us)
    {
      lc_fake__schedule (c, n->paused_until_us, e->kind, e->node, e->bytes);
      return;
    }
  switch (e->kind)
    {
    case LC_FAKE_DELIVER:
      lc_fake__on_deliver (c, n, e->bytes);
      break;
    case LC_FAKE_FORWARD:
      lc_fake__propose (c, e->node, e->bytes, false);
      break;
    case LC_FAKE_TICK:
      lc_fake__on_tick (c, n);
      break;
    default:
      lc_fake__on_stored (c, n);
      break;
    }
}

void
lc_fake_cluster_run (LcFakeCluster *c, int64_t for_us)
{
  int64_t until_us = c->now_us + for_us;

  for (;;)
    {
      GSequenceIter *first = g_sequence_get_begin_iter (c->events);
      LcFakeEvent *e;
      LcFakeEvent copy;

      if (g_sequence_iter_is_end (first))
        break;
      e = g_sequence_get (first);
      if (e->at_us > until_us)
        break;
      c->now_us = MAX (c->now_us, e->at_us);
      copy = *e;
      e->bytes = NULL;
      g_sequence_remove (first);
      c->verdict.n_events++;
      lc_fake__dispatch (c, &copy);
      if (copy.bytes != NULL)
        g_bytes_unref (copy.bytes);
    }
  c->now_us = until_us;
}

/* === faults ================================================================================= */

void
lc_fake_cluster_crash (LcFakeCluster *c, uint32_t node)
{
  LcFakeNode *n = &c->nodes[node];

  if (!n->is_up)
    return;
  /* A pending write reaches the disk in part and is never acknowledged. */
  if (n->is_writing)
    {
      n->disk->syncs_left = (int64_t)lc_fake_cluster_random (c, 4);
      (void)lc_store_write (&n->store, &n->persist, NULL);
      lc_raft_persist_finish (&n->persist);
    }
  lc_fake_disk_crash (n->disk);
  c->verdict.n_elections += n->raft.counters.elections_total;
  c->verdict.n_snapshots_loaded += n->raft.counters.snapshots_loaded_total;
  lc_raft_finish (&n->raft);
  lc_store_finish (&n->store);
  lc_control_state_finish (&n->state);
  n->is_up = false;
  n->is_writing = false;
  n->epoch++;
}

static LcReplicaId
lc_fake__id (uint32_t node)
{
  return 1000 + node;
}

static void
lc_fake__initial_config (const LcFakeCluster *c, LcRaftConfig *config)
{
  memset (config, 0, sizeof *config);
  for (uint32_t i = 0; i < c->desc.n_members; i++)
    {
      LcRaftMember member = { .id = lc_fake__id (i) };

      (void)g_snprintf (member.name, sizeof member.name, "control-%u", i);
      (void)lc_raft_config_put (config, &member);
    }
}

static void
lc_fake__start_raft (LcFakeCluster *c, LcFakeNode *n, const LcStoreRecovered *found)
{
  LcRaftDesc desc = { .id = n->id,
                      .seed = c->desc.seed + n->epoch,
                      .trailing = c->desc.trailing,
                      .term = found->term,
                      .vote = found->vote,
                      .snapshot = found->snapshot,
                      .entries = (const LcRaftEntry *)found->entries->data,
                      .n_entries = found->entries->len,
                      .commit_index = found->commit_index,
                      .initial_config = found->initial };

  lc_raft_init (&n->raft, &desc, lc_fake__clock (c, n));
  lc_control_state_init (&n->state);
  n->snapshot_index = found->snapshot.index;
  n->seen_revision = 0;
  n->paused_until_us = 0;
  n->is_up = true;
  lc_fake__pump (c, n);
  lc_fake__schedule (c, c->now_us + LC_FAKE_TICK_US, LC_FAKE_TICK, (uint32_t)(n - c->nodes), NULL);
}

int
lc_fake_cluster_start (LcFakeCluster *c, uint32_t node)
{
  LcFakeNode *n = &c->nodes[node];
  LcStoreDesc desc = { .segment_bytes = c->desc.segment_bytes };
  LcStoreRecovered found;
  LcError error = { 0 };
  int r;

  if (n->is_up || n->is_gone)
    return 0;
  desc.disk = lc_fake_disk_interface (n->disk);
  lc_store_init (&n->store, &desc);
  r = lc_store_open (&n->store, &found, &error);
  c->verdict.n_torn += n->store.counters.torn_total;
  if (r == 0)
    lc_fake__start_raft (c, n, &found);
  else
    {
      c->verdict.refused_recoveries++;
      lc_store_finish (&n->store);
    }
  lc_store_recovered_finish (&found);
  return r;
}

void
lc_fake_cluster_pause (LcFakeCluster *c, uint32_t node, int64_t for_us)
{
  c->nodes[node].paused_until_us = c->now_us + for_us;
}

void
lc_fake_cluster_cut (LcFakeCluster *c, uint32_t from, uint32_t to, bool is_cut)
{
  c->is_cut[from][to] = is_cut;
}

void
lc_fake_cluster_heal (LcFakeCluster *c)
{
  memset (c->is_cut, 0, sizeof c->is_cut);
}

void
lc_fake_cluster_step_clock (LcFakeCluster *c, uint32_t node, int64_t by_us)
{
  /* Setting a paused VM's clock back would hide the pause and so break every lease;
   * CLOCK_BOOTTIME never goes back. */
  if (by_us > 0 || c->nodes[node].paused_until_us <= c->now_us)
    c->nodes[node].clock_offset_us += by_us;
}

/* Formats an empty data folder, as a first start does. */
static void
lc_fake__format_node (LcFakeCluster *c, uint32_t node, bool is_founder)
{
  LcFakeNode *n = &c->nodes[node];
  LcStoreDesc desc = { .segment_bytes = c->desc.segment_bytes };
  LcRaftConfig initial;
  LcStore store;

  n->id = lc_fake__id (node);
  (void)g_snprintf (n->name, sizeof n->name, "control-%u", node);
  n->disk = lc_fake_disk_new (c->desc.seed * 31 + node);
  desc.disk = lc_fake_disk_interface (n->disk);
  lc_store_init (&store, &desc);
  lc_fake__initial_config (c, &initial);
  (void)lc_store_format (&store, n->id, NULL);
  (void)lc_store_set_cluster (&store, LC_FAKE_CLUSTER_ID, is_founder ? &initial : NULL, NULL);
  lc_store_finish (&store);
}

void
lc_fake_cluster_replace (LcFakeCluster *c, uint32_t node)
{
  if (c->replaced >= 0 || c->n_nodes == LC_FAKE_NODES_MAX)
    return;
  lc_fake_cluster_crash (c, node);
  c->nodes[node].is_gone = true;
  c->replaced = (int)node;
  c->replacement = (int)c->n_nodes++;
  lc_fake__format_node (c, (uint32_t)c->replacement, false);
  (void)lc_fake_cluster_start (c, (uint32_t)c->replacement);
}

bool
lc_fake_cluster_is_replacing (const LcFakeCluster *c)
{
  return c->replaced >= 0;
}

void
lc_fake_cluster_set_load (LcFakeCluster *c, int64_t think_us)
{
  c->desc.think_us = think_us;
}

void
lc_fake_cluster_set_loss (LcFakeCluster *c, uint32_t loss_percent)
{
  c->desc.loss_percent = loss_percent;
}

/* === queries ================================================================================ */

int64_t
lc_fake_cluster_now_us (const LcFakeCluster *c)
{
  return c->now_us;
}

uint32_t
lc_fake_cluster_n_nodes (const LcFakeCluster *c)
{
  return c->n_nodes;
}

bool
lc_fake_cluster_is_up (const LcFakeCluster *c, uint32_t node)
{
  return c->nodes[node].is_up;
}

bool
lc_fake_cluster_is_member (const LcFakeCluster *c, uint32_t node)
{
  return !c->nodes[node].is_gone;
}

int
lc_fake_cluster_leader (const LcFakeCluster *c)
{
  int best = -1;

  for (uint32_t i = 0; i < c->n_nodes; i++)
    if (c->nodes[i].is_up && lc_raft_is_leader (&c->nodes[i].raft) &&
        (best < 0 || c->nodes[i].raft.term > c->nodes[best].raft.term))
      best = (int)i;
  return best;
}

LcRaft *
lc_fake_cluster_raft (LcFakeCluster *c, uint32_t node)
{
  return &c->nodes[node].raft;
}

LcControlState *
lc_fake_cluster_state (LcFakeCluster *c, uint32_t node)
{
  return &c->nodes[node].state;
}

LcFakeDisk *
lc_fake_cluster_disk (LcFakeCluster *c, uint32_t node)
{
  return c->nodes[node].disk;
}

const LcControlAnswer *
lc_fake_cluster_ask (LcFakeCluster *c,
                     uint32_t node,
                     const LcControlCommand *command,
                     int64_t limit_us)
{
  int64_t until_us = c->now_us + limit_us;
  int64_t resend_us = c->now_us;
  GBytes *bytes = lc_control_command_pack (command);
  const LcControlAnswer *answer = NULL;

  while (answer == NULL && c->now_us < until_us)
    {
      LcFakeNode *n = &c->nodes[node];
      bool is_up = n->is_up && n->paused_until_us <= c->now_us;

      answer = is_up ? lc_control_state_answer (&n->state, command->request_id) : NULL;
      if (answer != NULL)
        lc_fake__record_answer (c, command, answer);
      else if (c->now_us >= resend_us)
        {
          if (is_up)
            lc_fake__propose (c, node, bytes, true);
          else
            node = (node + 1) % c->n_nodes;
          resend_us = c->now_us + (is_up ? LC_FAKE_RESEND_US : 0);
        }
      lc_fake_cluster_run (c, 1000);
    }
  g_bytes_unref (bytes);
  return answer;
}

GArray *
lc_fake_cluster_commit_us (LcFakeCluster *c)
{
  return c->commit_us;
}

/* Counts the plans that the audit history confirms more than once. */
static void
lc_fake__check_history (LcFakeCluster *c, const LcControlState *state)
{
  GHashTable *seen = g_hash_table_new (NULL, NULL);

  for (guint i = 0; i < state->history->len; i++)
    {
      const LcAudit *audit = &g_array_index (state->history, LcAudit, i);

      if (strcmp (audit->action, "confirm") == 0 &&
          !g_hash_table_add (seen, GUINT_TO_POINTER ((guint)audit->plan_id)))
        c->verdict.applied_twice++;
    }
  g_hash_table_destroy (seen);
}

LcFakeVerdict
lc_fake_cluster_verdict (LcFakeCluster *c)
{
  LcFakeVerdict out;
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  for (uint32_t i = 0; i < c->n_nodes; i++)
    {
      LcFakeNode *n = &c->nodes[i];
      const LcControlAnswer *oldest; /* older answers have been evicted */

      if (n->is_gone || !n->is_up)
        continue;
      lc_fake__check_history (c, &n->state);
      if (n->raft.applied_index < c->acknowledged)
        continue; /* lags; check_entry checks the rest as it is applied */
      oldest =
          n->state.answer_order.length < LC_CONTROL_ANSWERS_MAX
              ? NULL
              : lc_control_state_answer (&n->state, g_queue_peek_head (&n->state.answer_order));
      g_hash_table_iter_init (&iter, c->answered);
      while (g_hash_table_iter_next (&iter, &key, &value))
        if ((oldest == NULL || ((LcControlAnswer *)value)->index >= oldest->index) &&
            lc_control_state_answer (&n->state, key) == NULL)
          c->verdict.lost_commits++;
    }
  out = c->verdict;
  for (uint32_t i = 0; i < c->n_nodes; i++)
    {
      out.n_syncs += c->nodes[i].disk->n_syncs;
      if (!c->nodes[i].is_up)
        continue;
      out.n_elections += c->nodes[i].raft.counters.elections_total;
      out.n_snapshots_loaded += c->nodes[i].raft.counters.snapshots_loaded_total;
    }
  return out;
}

/* === lifetime =============================================================================== */

static void
lc_fake__defaults (LcFakeClusterDesc *d)
{
  d->n_members = d->n_members != 0 ? d->n_members : 3;
  d->n_operators = d->n_operators != 0 ? d->n_operators : 1;
  d->n_endpoints = d->n_endpoints != 0 ? d->n_endpoints : LC_FAKE_ENDPOINTS;
  d->snapshot_every = d->snapshot_every != 0 ? d->snapshot_every : 64;
  d->trailing = d->trailing != 0 ? d->trailing : 16;
  d->segment_bytes = d->segment_bytes != 0 ? d->segment_bytes : 8 << 10;
  d->delay_min_us = d->delay_min_us != 0 ? d->delay_min_us : 500;
  d->delay_max_us = MAX (d->delay_max_us, d->delay_min_us);
  d->sync_min_us = d->sync_min_us != 0 ? d->sync_min_us : 1000;
  d->sync_max_us = MAX (d->sync_max_us, d->sync_min_us);
}

/* Declares a data centre and a service, so that there are endpoints to drain. */
static void
lc_fake__open_market (LcFakeCluster *c)
{
  LcControlCommand plan;
  LcControlCommand confirm;
  const LcControlAnswer *answer;
  LcDeclaration *d = &plan.intent.declaration;

  lc_fake__new_request (c, &plan, LC_COMMAND_PLAN);
  plan.intent.kind = LC_INTENT_OPEN_MARKET;
  lc_fake__declare (c, &plan.intent);
  d->n_dcs = 1;
  d->dcs = g_new0 (LcDeclaredDc, 1);
  (void)g_strlcpy (d->dcs[0].name, "hall-atl", LC_NAME_MAX);
  answer = lc_fake_cluster_ask (c, 0, &plan, 60 * LC_US_PER_S);
  lc_control_command_finish (&plan);
  if (answer == NULL)
    return;
  lc_fake__new_request (c, &confirm, LC_COMMAND_CONFIRM);
  confirm.plan_id = answer->plan_id;
  (void)lc_fake_cluster_ask (c, 0, &confirm, 60 * LC_US_PER_S);
}

LcFakeCluster *
lc_fake_cluster_new (const LcFakeClusterDesc *desc)
{
  LcFakeCluster *c = g_new0 (LcFakeCluster, 1);

  c->desc = *desc;
  lc_fake__defaults (&c->desc);
  c->random = desc->seed * UINT64_C (0x9e3779b97f4a7c15) + 1;
  c->events = g_sequence_new (lc_fake__free_event);
  c->committed = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  c->leaders = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  c->digests = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  c->answered = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  c->commit_us = g_array_new (FALSE, FALSE, sizeof (int64_t));
  c->now_us = 1000000;
  c->replaced = -1;
  c->n_nodes = c->desc.n_members;
  for (uint32_t i = 0; i < c->n_nodes; i++)
    lc_fake__format_node (c, i, true);
  for (uint32_t i = 0; i < c->n_nodes; i++)
    (void)lc_fake_cluster_start (c, i);
  lc_fake__schedule (c, c->now_us, LC_FAKE_LEADER_STEP, 0, NULL);
  lc_fake__open_market (c);
  for (uint32_t i = 0; i < c->desc.n_operators; i++)
    lc_fake__schedule (c, c->now_us + 1000 * i, LC_FAKE_OPERATOR, i, NULL);
  return c;
}

void
lc_fake_cluster_free (LcFakeCluster *c)
{
  for (uint32_t i = 0; i < c->n_nodes; i++)
    {
      lc_fake_cluster_crash (c, i);
      lc_fake_disk_free (c->nodes[i].disk);
    }
  for (uint32_t i = 0; i < G_N_ELEMENTS (c->operators); i++)
    lc_control_command_finish (&c->operators[i].command);
  g_sequence_free (c->events);
  g_hash_table_destroy (c->committed);
  g_hash_table_destroy (c->leaders);
  g_hash_table_destroy (c->digests);
  g_hash_table_destroy (c->answered);
  g_array_unref (c->commit_us);
  g_free (c);
}
