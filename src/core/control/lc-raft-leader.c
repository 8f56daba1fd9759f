#include "lc-raft-private.h"

#include <string.h>

enum
{
  /* An unacknowledged probe or chunk is resent after this many heartbeat intervals. */
  LC_RAFT_RESEND_HEARTBEATS = 3,
};

/* === private: progress of the peers ========================================================= */

static LcRaftProgress *
lc_raft__find_progress (LcRaft *raft, LcReplicaId id)
{
  for (uint32_t i = 0; i < raft->n_progress; i++)
    if (raft->progress[i].id == id)
      return &raft->progress[i];
  return NULL;
}

static void
lc_raft__start_progress (LcRaft *raft, LcReplicaId id)
{
  LcRaftProgress *p = &raft->progress[raft->n_progress++];

  memset (p, 0, sizeof *p);
  p->id = id;
  p->next_index = lc_raft_last_index (raft) + 1;
  p->reply_clock_us = raft->clock_us;
  p->is_probing = true;
}

/* Updates the progress entries after a configuration change. */
void
lc_raft__refresh_progress (LcRaft *raft)
{
  for (uint32_t i = 0; i < raft->n_progress;)
    if (lc_raft_config_find (&raft->config, raft->progress[i].id) != NULL)
      i++;
    else
      {
        lc_raft_snapshot_finish (&raft->progress[i].sending);
        raft->progress[i] = raft->progress[--raft->n_progress];
      }
  for (uint32_t i = 0; i < raft->config.n_members; i++)
    {
      LcReplicaId id = raft->config.members[i].id;

      if (id != raft->desc.id && lc_raft__find_progress (raft, id) == NULL)
        lc_raft__start_progress (raft, id);
    }
}

void
lc_raft__clear_progress (LcRaft *raft)
{
  for (uint32_t i = 0; i < raft->n_progress; i++)
    lc_raft_snapshot_finish (&raft->progress[i].sending);
  raft->n_progress = 0;
}

/* === private: sending ======================================================================= */

static void
lc_raft__send_chunk (LcRaft *raft, LcRaftProgress *p)
{
  LcRaftMessage m = { .kind = LC_RAFT_SNAPSHOT, .to = p->id, .term = raft->term };
  gsize total = g_bytes_get_size (p->sending.data);
  gsize at = MIN (p->snapshot_offset, total);

  m.snapshot.last_index = p->sending.index;
  m.snapshot.last_term = p->sending.term;
  m.snapshot.offset = at;
  m.snapshot.total_bytes = total;
  m.snapshot.sent_us = raft->now_us;
  m.snapshot.config = g_new (LcRaftConfig, 1);
  *m.snapshot.config = p->sending.config;
  m.snapshot.chunk =
      g_bytes_new_from_bytes (p->sending.data, at, MIN (total - at, raft->desc.batch_bytes));
  p->sent_clock_us = raft->clock_us;
  p->is_waiting = true;
  lc_raft__send (raft, &m);
}

static void
lc_raft__begin_snapshot (LcRaft *raft, LcRaftProgress *p)
{
  lc_raft_snapshot_copy (&p->sending, &raft->snapshot);
  p->snapshot_offset = 0;
  raft->counters.snapshots_sent_total++;
  lc_raft__send_chunk (raft, p);
}

/* Copies entries from next_index on, up to the batch size and the window. */
static GArray *
lc_raft__copy_batch (LcRaft *raft, const LcRaftProgress *p)
{
  uint64_t last = MIN (lc_raft_last_index (raft), p->match_index + raft->desc.window_entries);
  GArray *entries = NULL;
  size_t bytes = 0;

  for (uint64_t i = p->next_index; i <= last && bytes < raft->desc.batch_bytes; i++)
    {
      LcRaftEntry copy = lc_raft_entry_copy (lc_raft__entry_at (raft, i));

      bytes += copy.data != NULL ? g_bytes_get_size (copy.data) : 0;
      if (entries == NULL)
        entries = lc_raft_entries_new ();
      g_array_append_val (entries, copy);
    }
  return entries;
}

/* Sends entries if the peer's window has room for some, else a heartbeat. */
static void
lc_raft__send_append (LcRaft *raft, LcRaftProgress *p)
{
  LcRaftMessage m = { .kind = LC_RAFT_APPEND, .to = p->id, .term = raft->term };

  m.append.prev_index = p->next_index - 1;
  m.append.prev_term = lc_raft_term_at (raft, p->next_index - 1);
  m.append.commit_index = raft->commit_index;
  m.append.sent_us = raft->now_us;
  m.append.entries = p->is_probing ? NULL : lc_raft__copy_batch (raft, p);
  if (m.append.entries != NULL)
    p->next_index += m.append.entries->len;
  p->sent_clock_us = raft->clock_us;
  p->is_waiting = true;
  lc_raft__send (raft, &m);
}

static void
lc_raft__send_to (LcRaft *raft, LcRaftProgress *p)
{
  int64_t resend_us = LC_RAFT_RESEND_HEARTBEATS * lc_raft__heartbeat_us (raft);
  bool is_resend_due = raft->clock_us - p->sent_clock_us >= resend_us;

  if (p->sending.index > 0)
    {
      if (!p->is_waiting || is_resend_due)
        lc_raft__send_chunk (raft, p);
    }
  else if (p->next_index <= raft->base_index)
    lc_raft__begin_snapshot (raft, p);
  else
    lc_raft__send_append (raft, p);
}

/* Sends new entries to all peers.  Called just before messages are taken, so that the proposals of
 * one event loop iteration share a batch. */
void
lc_raft__leader_flush (LcRaft *raft)
{
  raft->needs_flush = false;
  for (uint32_t i = 0; i < raft->n_progress; i++)
    {
      LcRaftProgress *p = &raft->progress[i];

      if (p->is_probing && p->is_waiting)
        continue;
      lc_raft__send_to (raft, p);
    }
}

static void
lc_raft__heartbeat (LcRaft *raft)
{
  raft->heartbeat_clock_us = raft->clock_us;
  for (uint32_t i = 0; i < raft->n_progress; i++)
    lc_raft__send_to (raft, &raft->progress[i]);
}

/* === private: commit and quorum ============================================================= */

static int
lc_raft__compare_descending (gconstpointer a, gconstpointer b)
{
  int64_t x = *(const int64_t *)a;
  int64_t y = *(const int64_t *)b;

  return (x < y) - (x > y);
}

/* The highest value reached by a quorum of voters; `own` is this replica's value. */
static int64_t
lc_raft__quorum_value (LcRaft *raft, int64_t own, int64_t (*value) (const LcRaftProgress *p))
{
  int64_t values[LC_RAFT_MEMBERS_MAX];
  uint32_t n = 0;

  for (uint32_t i = 0; i < raft->config.n_members; i++)
    {
      const LcRaftMember *member = &raft->config.members[i];
      const LcRaftProgress *p = lc_raft__find_progress (raft, member->id);

      if (member->is_learner)
        continue;
      values[n++] = member->id == raft->desc.id ? own : p != NULL ? value (p) : 0;
    }
  if (n == 0)
    return 0;
  qsort (values, n, sizeof values[0], lc_raft__compare_descending);
  return values[n / 2];
}

static int64_t
lc_raft__match_index_of (const LcRaftProgress *p)
{
  return (int64_t)p->match_index;
}

static int64_t
lc_raft__reply_clock_of (const LcRaftProgress *p)
{
  return p->reply_clock_us;
}

static int64_t
lc_raft__acked_sent_of (const LcRaftProgress *p)
{
  return p->acked_sent_us;
}

/* Only entries of the leader's own term are committed by counting replicas (Raft, 5.4.2); that
 * commits all entries before them. */
void
lc_raft__maybe_commit (LcRaft *raft)
{
  uint64_t index =
      (uint64_t)lc_raft__quorum_value (raft, (int64_t)raft->stable_index, lc_raft__match_index_of);

  if (index <= raft->commit_index || lc_raft_term_at (raft, index) != raft->term)
    return;
  raft->commit_index = index;
  raft->needs_flush = true;
  if (raft->config_index <= index && !lc_raft_config_is_voter (&raft->config, raft->desc.id))
    lc_raft__become_follower (raft, raft->term, 0);
}

/* === private: becoming leader =============================================================== */

static uint64_t
lc_raft__append_own (LcRaft *raft, LcRaftEntryKind kind, GBytes *data)
{
  LcRaftEntry entry = {
    .index = lc_raft_last_index (raft) + 1, .term = raft->term, .kind = (uint8_t)kind, .data = data
  };

  lc_raft__append (raft, &entry);
  raft->needs_flush = true;
  return entry.index;
}

void
lc_raft__become_leader (LcRaft *raft)
{
  raft->n_progress = 0;
  raft->transfer_until_clock_us = 0;
  lc_raft__refresh_progress (raft);
  (void)lc_raft__append_own (raft, LC_RAFT_ENTRY_NOOP, NULL);
  lc_raft__heartbeat (raft);
}

void
lc_raft__leader_tick (LcRaft *raft)
{
  int64_t quorum_us = lc_raft__quorum_value (raft, raft->clock_us, lc_raft__reply_clock_of);
  bool has_transferred =
      raft->transfer_until_clock_us > 0 && raft->clock_us >= raft->transfer_until_clock_us;

  raft->leader_alive_clock_us = quorum_us;
  /* Steps down when the quorum is lost (check-quorum), or when a transfer was not taken up. */
  if (raft->clock_us - quorum_us >= lc_raft__election_min_us (raft) || has_transferred)
    {
      lc_raft__become_follower (raft, raft->term, 0);
      return;
    }
  if (raft->clock_us - raft->heartbeat_clock_us >= lc_raft__heartbeat_us (raft))
    lc_raft__heartbeat (raft);
}

/* === replies ================================================================================ */

/* Any reply in this term shows that the peer followed this leader when it sent it. */
static LcRaftProgress *
lc_raft__note_reply (LcRaft *raft, LcReplicaId from, int64_t sent_us)
{
  LcRaftProgress *p = raft->role == LC_RAFT_LEADER ? lc_raft__find_progress (raft, from) : NULL;

  if (p == NULL)
    return NULL;
  p->reply_clock_us = raft->clock_us;
  if (sent_us <= raft->now_us)
    p->acked_sent_us = MAX (p->acked_sent_us, sent_us);
  return p;
}

static void
lc_raft__on_rejected (LcRaft *raft, LcRaftProgress *p, uint64_t hint)
{
  p->is_waiting = false;
  if (p->sending.index > 0)
    return;
  p->is_probing = true;
  p->next_index = CLAMP (hint + 1, p->match_index + 1, MAX (p->match_index + 1, p->next_index - 1));
  lc_raft__send_to (raft, p);
}

static void
lc_raft__on_matched (LcRaft *raft, LcRaftProgress *p, uint64_t match_index)
{
  bool has_moved = p->is_probing || match_index > p->match_index;

  p->is_waiting = false;
  p->is_probing = false;
  p->match_index = MAX (p->match_index, match_index);
  p->next_index = MAX (p->next_index, p->match_index + 1);
  if (p->sending.index > 0 && p->match_index >= p->sending.index)
    lc_raft_snapshot_finish (&p->sending);
  /* Only a reply that made progress triggers more messages, else messages and replies would
   * loop. */
  if (has_moved && p->next_index <= lc_raft_last_index (raft))
    raft->needs_flush = true;
  lc_raft__maybe_commit (raft);
}

void
lc_raft__on_append_reply (LcRaft *raft, const LcRaftMessage *m)
{
  LcRaftProgress *p = lc_raft__note_reply (raft, m->from, m->append_reply.sent_us);

  if (p == NULL)
    return;
  if (m->append_reply.is_ok && m->append_reply.match_index > lc_raft_last_index (raft))
    raft->counters.malformed_total++;
  else if (m->append_reply.is_ok)
    lc_raft__on_matched (raft, p, m->append_reply.match_index);
  else
    lc_raft__on_rejected (raft, p, m->append_reply.match_index);
}

void
lc_raft__on_snapshot_reply (LcRaft *raft, const LcRaftMessage *m)
{
  LcRaftProgress *p = lc_raft__note_reply (raft, m->from, m->snapshot_reply.sent_us);

  if (p == NULL || p->sending.index == 0 || p->sending.index != m->snapshot_reply.last_index)
    return;
  p->snapshot_offset = m->snapshot_reply.next_offset;
  p->is_waiting = p->snapshot_offset >= g_bytes_get_size (p->sending.data);
  if (!p->is_waiting)
    lc_raft__send_chunk (raft, p);
}

/* === public: proposals ====================================================================== */

static int
lc_raft__check_leader (const LcRaft *raft, LcError *error)
{
  if (raft->role != LC_RAFT_LEADER || raft->transfer_until_clock_us > 0)
    return lc_error_set (error, LC_ERR_NOT_LEADER,
                         "retry on the leader, or shortly on any control VM",
                         "this replica is not the leader");
  if (lc_raft_last_index (raft) - raft->commit_index >= LC_RAFT_UNCOMMITTED_MAX)
    return lc_error_set (error, LC_ERR_FULL, "retry in a second", "%d log entries are uncommitted",
                         LC_RAFT_UNCOMMITTED_MAX);
  return 0;
}

int
lc_raft_propose (LcRaft *raft, GBytes *data, int64_t now_us, uint64_t *index, LcError *error)
{
  int r = lc_raft__check_leader (raft, error);
  uint64_t at;

  if (r < 0)
    return r;
  if (g_bytes_get_size (data) > LC_RAFT_ENTRY_BYTES_MAX)
    return lc_error_set (error, LC_ERR_INVALID, "split the declaration into several",
                         "log entry of %zu bytes exceeds the limit of %d", g_bytes_get_size (data),
                         LC_RAFT_ENTRY_BYTES_MAX);
  (void)now_us;
  at = lc_raft__append_own (raft, LC_RAFT_ENTRY_COMMAND, data);
  if (index != NULL)
    *index = at;
  return 0;
}

static int
lc_raft__changed_config (const LcRaft *raft,
                         LcRaftChange change,
                         const LcRaftMember *member,
                         LcRaftConfig *config,
                         LcError *error)
{
  const LcRaftMember *known = lc_raft_config_find (&raft->config, member->id);
  LcRaftMember copy = known != NULL ? *known : *member;

  *config = raft->config;
  if ((change == LC_RAFT_ADD_LEARNER) != (known == NULL))
    return lc_error_set (error, known != NULL ? LC_ERR_EXISTS : LC_ERR_NOT_FOUND,
                         "see the members in `lychee status`", "member %s %s", member->name,
                         known != NULL ? "exists already" : "does not exist");
  if (change == LC_RAFT_PROMOTE && !lc_raft_has_caught_up (raft, member->id))
    return lc_error_set (error, LC_ERR_UNAVAILABLE, "wait until it has caught up",
                         "learner %s has not caught up with the log", member->name);
  copy.is_learner = change == LC_RAFT_ADD_LEARNER;
  if (change == LC_RAFT_REMOVE)
    lc_raft_config_remove (config, member->id);
  else if (lc_raft_config_put (config, &copy) < 0)
    return lc_error_set (error, LC_ERR_FULL, "remove a member first",
                         "the cluster has %d members already", LC_RAFT_MEMBERS_MAX);
  if (lc_raft_config_n_voters (config) == 0)
    return lc_error_set (error, LC_ERR_REFUSED, "add and promote another member first",
                         "member %s is the last voter", member->name);
  return 0;
}

/* Successive configurations differ by one member, so their majorities overlap, provided that the
 * previous one is committed and this leader has committed an entry of its own term. */
int
lc_raft_propose_change (
    LcRaft *raft, LcRaftChange change, const LcRaftMember *member, int64_t now_us, LcError *error)
{
  LcRaftConfig config;
  GBytes *data;
  int r = lc_raft__check_leader (raft, error);

  (void)now_us;
  if (r < 0)
    return r;
  if (raft->config_index > raft->commit_index ||
      lc_raft_term_at (raft, raft->commit_index) != raft->term)
    return lc_error_set (error, LC_ERR_UNAVAILABLE, "wait until it is committed",
                         "another change of the control VMs is in progress");
  r = lc_raft__changed_config (raft, change, member, &config, error);
  if (r < 0)
    return r;
  data = lc_raft_config_encode (&config);
  (void)lc_raft__append_own (raft, LC_RAFT_ENTRY_CONFIG, data);
  g_bytes_unref (data);
  return 0;
}

/* === public: leadership transfer ============================================================ */

void
lc_raft_transfer_leadership (LcRaft *raft, int64_t now_us)
{
  LcRaftMessage m = { .kind = LC_RAFT_TIMEOUT_NOW, .term = raft->term };
  const LcRaftProgress *best = NULL;

  raft->now_us = MAX (raft->now_us, now_us);
  if (raft->role != LC_RAFT_LEADER || raft->transfer_until_clock_us > 0)
    return;
  for (uint32_t i = 0; i < raft->n_progress; i++)
    if (lc_raft_config_is_voter (&raft->config, raft->progress[i].id) &&
        (best == NULL || raft->progress[i].match_index > best->match_index))
      best = &raft->progress[i];
  if (best == NULL)
    return;
  /* Votes for the successor ignore this leader's lease, and its election may go unnoticed here: no
   * lease reads for the rest of this term. */
  raft->has_lost_lease = true;
  raft->transfer_until_clock_us = raft->clock_us + lc_raft__election_min_us (raft);
  m.to = best->id;
  lc_raft__send (raft, &m);
}

/* === public: queries ======================================================================== */

bool
lc_raft_can_read (LcRaft *raft, int64_t now_us)
{
  int64_t lease_us = lc_raft__election_min_us (raft) * raft->desc.lease_percent / 100;
  int64_t start_us;

  if (now_us < raft->now_us)
    raft->has_lost_lease = true;
  if (raft->role != LC_RAFT_LEADER || raft->has_lost_lease ||
      raft->applied_index != raft->commit_index ||
      lc_raft_term_at (raft, raft->commit_index) != raft->term)
    return false;
  start_us = lc_raft__quorum_value (raft, now_us, lc_raft__acked_sent_of);
  return start_us > 0 && now_us - start_us < lease_us;
}

const LcRaftProgress *
lc_raft_progress (const LcRaft *raft, LcReplicaId id)
{
  return lc_raft__find_progress ((LcRaft *)raft, id);
}

bool
lc_raft_has_caught_up (const LcRaft *raft, LcReplicaId id)
{
  const LcRaftProgress *p = lc_raft_progress (raft, id);

  return p != NULL && p->sending.index == 0 && p->match_index > 0 &&
         p->match_index >= raft->config_index &&
         p->match_index + LC_RAFT_CATCH_UP_ENTRIES >= raft->commit_index;
}
