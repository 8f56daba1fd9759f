#include "lc-raft-private.h"

#include <string.h>

enum
{
  LC_RAFT_HEARTBEAT_MS = 50,
  LC_RAFT_ELECTION_MIN_MS = 500,
  LC_RAFT_ELECTION_MAX_MS = 900,
  LC_RAFT_LEASE_PERCENT = 60,
  LC_RAFT_BATCH_BYTES = 256 << 10,
  LC_RAFT_WINDOW_ENTRIES = 512,
  LC_RAFT_TRAILING = 1024,
  LC_RAFT_TRAILING_BYTES = 2 << 20, /* about twenty of the largest declarations in use */
};

/* === private: clock and defaults ============================================================ */

static uint32_t
lc_raft__or_default (uint32_t value, uint32_t fallback)
{
  return value != 0 ? value : fallback;
}

int64_t
lc_raft__election_min_us (const LcRaft *raft)
{
  return (int64_t)raft->desc.election_min_ms * LC_US_PER_MS;
}

int64_t
lc_raft__heartbeat_us (const LcRaft *raft)
{
  return (int64_t)raft->desc.heartbeat_ms * LC_US_PER_MS;
}

/* See CLOCKS in the header. */
static void
lc_raft__advance_clock (LcRaft *raft, int64_t now_us)
{
  int64_t step_us = now_us - raft->now_us;

  if (step_us < 0)
    raft->has_lost_lease = true;
  raft->clock_us += CLAMP (step_us, 0, (int64_t)LC_RAFT_MAX_STEP_US);
  raft->now_us = now_us;
}

/* === private: outgoing messages ============================================================= */

void
lc_raft__send (LcRaft *raft, LcRaftMessage *message)
{
  LcRaftQueuedMessage held = { .message = *message };

  held.message.from = raft->desc.id;
  if (raft->hard_sequence > raft->persisted_sequence)
    held.after_sequence = raft->hard_sequence;
  g_array_append_val (raft->outbox, held);
}

static void
lc_raft__clear_queued (gpointer data)
{
  lc_raft_message_finish (&((LcRaftQueuedMessage *)data)->message);
}

/* === public: lifetime ======================================================================= */

static void
lc_raft__set_defaults (LcRaftDesc *desc)
{
  desc->heartbeat_ms = lc_raft__or_default (desc->heartbeat_ms, LC_RAFT_HEARTBEAT_MS);
  desc->election_min_ms = lc_raft__or_default (desc->election_min_ms, LC_RAFT_ELECTION_MIN_MS);
  desc->election_max_ms = lc_raft__or_default (desc->election_max_ms, LC_RAFT_ELECTION_MAX_MS);
  desc->election_max_ms = MAX (desc->election_max_ms, desc->election_min_ms);
  desc->lease_percent = lc_raft__or_default (desc->lease_percent, LC_RAFT_LEASE_PERCENT);
  desc->batch_bytes = lc_raft__or_default (desc->batch_bytes, LC_RAFT_BATCH_BYTES);
  desc->window_entries = lc_raft__or_default (desc->window_entries, LC_RAFT_WINDOW_ENTRIES);
  desc->trailing = lc_raft__or_default (desc->trailing, LC_RAFT_TRAILING);
  desc->trailing_bytes = lc_raft__or_default (desc->trailing_bytes, LC_RAFT_TRAILING_BYTES);
}

/* Recovered state is already on disk: none of it is handed out for writing. */
static void
lc_raft__load (LcRaft *raft, const LcRaftDesc *desc)
{
  lc_raft_snapshot_copy (&raft->snapshot, &desc->snapshot);
  raft->base_index = desc->snapshot.index;
  raft->base_term = desc->snapshot.term;
  raft->base_config = desc->snapshot.index > 0 ? desc->snapshot.config : desc->initial_config;
  raft->has_new_snapshot = desc->snapshot.index > 0;
  for (size_t i = 0; i < desc->n_entries; i++)
    {
      LcRaftEntry copy = lc_raft_entry_copy (&desc->entries[i]);

      g_array_append_val (raft->log, copy);
    }
  lc_raft__refresh_config (raft);
  raft->commit_index = CLAMP (desc->commit_index, raft->base_index, lc_raft_last_index (raft));
  raft->applied_index = raft->base_index;
  raft->stable_index = lc_raft_last_index (raft);
  raft->taken_index = raft->stable_index;
}

void
lc_raft_init (LcRaft *raft, const LcRaftDesc *desc, int64_t now_us)
{
  memset (raft, 0, sizeof *raft);
  raft->desc = *desc;
  lc_raft__set_defaults (&raft->desc);
  raft->random_state = desc->seed ^ desc->id;
  raft->term = desc->term;
  raft->vote = desc->vote;
  raft->log = lc_raft_entries_new ();
  raft->outbox = g_array_new (FALSE, TRUE, sizeof (LcRaftQueuedMessage));
  g_array_set_clear_func (raft->outbox, lc_raft__clear_queued);
  lc_raft__load (raft, desc);
  raft->desc.entries = NULL;
  raft->desc.n_entries = 0;
  memset (&raft->desc.snapshot, 0, sizeof raft->desc.snapshot);
  raft->now_us = now_us;
  /* It may have acknowledged a leader just before the restart: leader_contact_clock_us is 0, the
   * start of clock_us, so that no vote breaks that leader's lease. */
  lc_raft__reset_election_timer (raft);
  lc_raft__fresh_start (raft);
}

void
lc_raft_finish (LcRaft *raft)
{
  lc_raft__clear_progress (raft);
  lc_raft__drop_incoming (raft);
  lc_raft_snapshot_finish (&raft->snapshot);
  lc_raft_snapshot_finish (&raft->installing);
  g_array_unref (raft->outbox);
  g_array_unref (raft->log);
  memset (raft, 0, sizeof *raft);
}

/* === public: inputs ========================================================================= */

void
lc_raft_tick (LcRaft *raft, int64_t now_us)
{
  lc_raft__advance_clock (raft, now_us);
  if (raft->role == LC_RAFT_LEADER)
    {
      lc_raft__leader_tick (raft);
      return;
    }
  lc_raft__fresh_tick (raft);
  if (raft->clock_us < raft->election_due_clock_us)
    return;
  if (lc_raft__may_campaign (raft))
    lc_raft__become_pre_candidate (raft);
  else
    lc_raft__reset_election_timer (raft);
}

/* Whether a message of a newer term moves this replica to that term. */
static bool
lc_raft__adopts_term (LcRaft *raft, const LcRaftMessage *m)
{
  switch (m->kind)
    {
    case LC_RAFT_VOTE:
      return !m->vote.is_pre && (m->vote.is_transfer || (m->vote.is_fresh && raft->is_fresh) ||
                                 !lc_raft__is_in_lease (raft));
    case LC_RAFT_VOTE_REPLY:
      return !m->vote_reply.is_granted;
    default:
      return true;
    }
}

static void
lc_raft__on_newer_term (LcRaft *raft, const LcRaftMessage *m)
{
  bool is_from_leader = m->kind == LC_RAFT_APPEND || m->kind == LC_RAFT_SNAPSHOT;

  if (lc_raft__adopts_term (raft, m))
    lc_raft__become_follower (raft, m->term, is_from_leader ? m->from : 0);
}

/* Replies with the current term, which makes a deposed leader or candidate step down. */
static void
lc_raft__on_older_term (LcRaft *raft, const LcRaftMessage *m)
{
  LcRaftMessage reply = { .to = m->from, .term = raft->term };

  if (m->kind == LC_RAFT_VOTE)
    {
      reply.kind = LC_RAFT_VOTE_REPLY;
      reply.vote_reply.is_pre = m->vote.is_pre;
    }
  else if (m->kind == LC_RAFT_APPEND || m->kind == LC_RAFT_SNAPSHOT)
    reply.kind = LC_RAFT_APPEND_REPLY;
  else
    return;
  lc_raft__send (raft, &reply);
}

static void
lc_raft__dispatch (LcRaft *raft, const LcRaftMessage *m)
{
  switch (m->kind)
    {
    case LC_RAFT_VOTE:
      lc_raft__on_vote (raft, m);
      break;
    case LC_RAFT_VOTE_REPLY:
      lc_raft__on_vote_reply (raft, m);
      break;
    case LC_RAFT_APPEND:
      lc_raft__on_append (raft, m);
      break;
    case LC_RAFT_APPEND_REPLY:
      lc_raft__on_append_reply (raft, m);
      break;
    case LC_RAFT_SNAPSHOT:
      lc_raft__on_snapshot (raft, m);
      break;
    case LC_RAFT_SNAPSHOT_REPLY:
      lc_raft__on_snapshot_reply (raft, m);
      break;
    case LC_RAFT_TIMEOUT_NOW:
      lc_raft__on_timeout_now (raft);
      break;
    }
}

void
lc_raft_receive (LcRaft *raft, const LcRaftMessage *m, int64_t now_us)
{
  bool is_vote = m->kind == LC_RAFT_VOTE || m->kind == LC_RAFT_VOTE_REPLY;

  lc_raft__advance_clock (raft, now_us);
  if (m->to != raft->desc.id || m->from == raft->desc.id || m->from == 0)
    {
      raft->counters.malformed_total++;
      return;
    }
  if (m->term > raft->term)
    lc_raft__on_newer_term (raft, m);
  if (m->term < raft->term)
    lc_raft__on_older_term (raft, m);
  /* Pre-votes carry a term that is not in force yet. */
  else if (m->term == raft->term || is_vote)
    lc_raft__dispatch (raft, m);
}

void
lc_raft_suspend (LcRaft *raft, bool is_suspended, int64_t now_us)
{
  lc_raft__advance_clock (raft, now_us);
  if (is_suspended && raft->role != LC_RAFT_FOLLOWER)
    lc_raft__become_follower (raft, raft->term, 0);
  raft->is_suspended = is_suspended;
}

/* === public: writes ========================================================================= */

static void
lc_raft__take_entries (LcRaft *raft, LcRaftPersist *persist)
{
  uint64_t last = lc_raft_last_index (raft);

  if (raft->dirty_index == 0 || raft->dirty_index > last)
    return;
  persist->entries = lc_raft_entries_new ();
  for (uint64_t i = raft->dirty_index; i <= last; i++)
    {
      LcRaftEntry copy = lc_raft_entry_copy (lc_raft__entry_at (raft, i));

      g_array_append_val (persist->entries, copy);
    }
}

bool
lc_raft_take_persist (LcRaft *raft, LcRaftPersist *persist)
{
  if (raft->is_writing || raft->taken_sequence == raft->sequence)
    return false;
  memset (persist, 0, sizeof *persist);
  persist->sequence = raft->sequence;
  persist->has_hard_state = raft->is_hard_dirty;
  persist->term = raft->term;
  persist->vote = raft->vote;
  persist->commit_index = raft->commit_index;
  if (raft->is_install_dirty)
    lc_raft_snapshot_copy (&persist->snapshot, &raft->installing);
  else
    lc_raft__take_entries (raft, persist);
  raft->is_install_taken = raft->is_install_dirty;
  raft->is_install_dirty = false;
  raft->is_hard_dirty = false;
  raft->dirty_index = 0;
  raft->taken_index = lc_raft_last_index (raft);
  raft->taken_sequence = raft->sequence;
  raft->is_writing = true;
  return true;
}

void
lc_raft_mark_persisted (LcRaft *raft, uint64_t sequence, int64_t now_us)
{
  lc_raft__advance_clock (raft, now_us);
  raft->is_writing = false;
  raft->persisted_sequence = MAX (raft->persisted_sequence, sequence);
  if (raft->is_install_taken)
    lc_raft__finish_install (raft);
  else
    raft->stable_index = MAX (raft->stable_index, raft->taken_index);
  if (raft->role == LC_RAFT_CANDIDATE && raft->hard_sequence <= raft->persisted_sequence)
    lc_raft__count_vote (raft, raft->desc.id);
  if (raft->role == LC_RAFT_LEADER)
    lc_raft__maybe_commit (raft);
  else if (raft->leader != 0 && raft->leader_match_index > 0)
    lc_raft__acknowledge (raft, 0);
}

/* === public: messages, snapshots and entries ================================================ */

bool
lc_raft_take_message (LcRaft *raft, LcRaftMessage *message, int64_t now_us)
{
  lc_raft__advance_clock (raft, now_us);
  if (raft->role == LC_RAFT_LEADER && raft->needs_flush)
    lc_raft__leader_flush (raft);
  for (guint i = 0; i < raft->outbox->len; i++)
    {
      LcRaftQueuedMessage *held = &g_array_index (raft->outbox, LcRaftQueuedMessage, i);

      if (held->after_sequence > raft->persisted_sequence)
        continue;
      *message = held->message;
      memset (held, 0, sizeof *held);
      g_array_remove_index (raft->outbox, i);
      raft->counters.messages_sent_total++;
      return true;
    }
  return false;
}

bool
lc_raft_take_snapshot (LcRaft *raft, LcRaftSnapshot *snapshot)
{
  if (!raft->has_new_snapshot)
    return false;
  raft->has_new_snapshot = false;
  lc_raft_snapshot_copy (snapshot, &raft->snapshot);
  return true;
}

/* Only entries on this replica's own disk are applied, so that after a restart the state machine is
 * never ahead of the log. */
const LcRaftEntry *
lc_raft_next_committed (const LcRaft *raft)
{
  uint64_t limit = MIN (raft->commit_index, raft->stable_index);

  if (raft->has_new_snapshot || raft->applied_index >= limit)
    return NULL;
  return lc_raft__entry_at (raft, raft->applied_index + 1);
}

void
lc_raft_mark_applied (LcRaft *raft)
{
  raft->applied_index++;
}

void
lc_raft_make_snapshot (const LcRaft *raft, GBytes *data, LcRaftSnapshot *snapshot)
{
  snapshot->index = raft->applied_index;
  snapshot->term = lc_raft_term_at (raft, raft->applied_index);
  snapshot->config = lc_raft__config_at (raft, raft->applied_index);
  snapshot->data = g_bytes_ref (data);
}

/* The index before the oldest entry kept.  Trailing entries spare slightly slow followers a
 * snapshot; they are limited in bytes as well, since entries may be large. */
static uint64_t
lc_raft__trailing_base (const LcRaft *raft, uint64_t snapshot_index)
{
  uint64_t base = snapshot_index;
  size_t bytes = 0;

  while (base > raft->base_index && snapshot_index - base < raft->desc.trailing)
    {
      const LcRaftEntry *e = lc_raft__entry_at (raft, base);

      bytes += e->data != NULL ? g_bytes_get_size (e->data) : 0;
      if (bytes > raft->desc.trailing_bytes)
        break;
      base--;
    }
  return base;
}

void
lc_raft_compact (LcRaft *raft, const LcRaftSnapshot *snapshot)
{
  if (snapshot->index <= raft->snapshot.index || snapshot->index > raft->applied_index)
    return;
  lc_raft_snapshot_finish (&raft->snapshot);
  lc_raft_snapshot_copy (&raft->snapshot, snapshot);
  lc_raft__truncate_before (raft, lc_raft__trailing_base (raft, snapshot->index));
}

/* === public: queries ======================================================================== */

bool
lc_raft_is_leader (const LcRaft *raft)
{
  return raft->role == LC_RAFT_LEADER;
}

int64_t
lc_raft_leader_silence_us (const LcRaft *raft)
{
  if (raft->role == LC_RAFT_LEADER)
    return 0;
  return raft->leader_alive_clock_us > 0 ? raft->clock_us - raft->leader_alive_clock_us : -1;
}
