#include "lc-raft-private.h"

#include <string.h>

/* === private: leader contact ================================================================ */

/* Follows the sender as leader; false when it can't be the leader of this term. */
static bool
lc_raft__follow_leader (LcRaft *raft, const LcRaftMessage *m)
{
  if (raft->role == LC_RAFT_LEADER || (raft->leader != 0 && raft->leader != m->from))
    {
      raft->counters.malformed_total++;
      return false;
    }
  lc_raft__become_follower (raft, raft->term, m->from);
  raft->leader_contact_clock_us = raft->clock_us;
  raft->is_fresh = false;
  raft->leader_alive_clock_us = raft->clock_us;
  return true;
}

/* Reports up to which index this replica's log on disk matches the leader's. */
void
lc_raft__acknowledge (LcRaft *raft, int64_t sent_us)
{
  LcRaftMessage reply = { .kind = LC_RAFT_APPEND_REPLY, .to = raft->leader, .term = raft->term };

  reply.append_reply.is_ok = true;
  reply.append_reply.match_index = MIN (raft->stable_index, raft->leader_match_index);
  reply.append_reply.sent_us = sent_us;
  lc_raft__send (raft, &reply);
}

static void
lc_raft__reject (LcRaft *raft, const LcRaftMessage *m, uint64_t hint)
{
  LcRaftMessage reply = { .kind = LC_RAFT_APPEND_REPLY, .to = m->from, .term = raft->term };

  reply.append_reply.match_index = hint;
  reply.append_reply.sent_us = m->append.sent_us;
  lc_raft__send (raft, &reply);
}

/* === received entries ======================================================================= */

/* Whether the log holds (index, term).  Entries before the log's base are committed and match. */
static bool
lc_raft__matches (const LcRaft *raft, uint64_t index, uint64_t term)
{
  if (index < raft->base_index)
    return true;
  return index <= lc_raft_last_index (raft) && lc_raft_term_at (raft, index) == term;
}

/* An index before all entries of the conflicting term, where the leader tries next. */
static uint64_t
lc_raft__conflict_hint (const LcRaft *raft, uint64_t prev_index)
{
  uint64_t at = MIN (prev_index, lc_raft_last_index (raft));
  uint64_t term = lc_raft_term_at (raft, at);

  if (at < prev_index)
    return at;
  while (at > raft->commit_index && lc_raft_term_at (raft, at) == term)
    at--;
  return at;
}

static bool
lc_raft__is_well_formed (const LcRaftMessage *m)
{
  const GArray *entries = m->append.entries;

  for (guint i = 0; entries != NULL && i < entries->len; i++)
    {
      const LcRaftEntry *e = &g_array_index (entries, LcRaftEntry, i);

      if (e->index != m->append.prev_index + i + 1 || e->term > m->term ||
          e->kind < LC_RAFT_ENTRY_NOOP || e->kind > LC_RAFT_ENTRY_COMMAND)
        return false;
    }
  return true;
}

/* Appends one entry; false when it conflicts with a committed one, which only a faulty peer
 * sends. */
static bool
lc_raft__accept_entry (LcRaft *raft, const LcRaftEntry *e)
{
  if (e->index <= raft->base_index || lc_raft__matches (raft, e->index, e->term))
    return true;
  if (e->index <= raft->commit_index)
    return false;
  if (e->index <= lc_raft_last_index (raft))
    lc_raft__truncate (raft, e->index);
  lc_raft__append (raft, e);
  return true;
}

static void
lc_raft__accept_entries (LcRaft *raft, const LcRaftMessage *m)
{
  uint64_t last_new = m->append.prev_index;

  for (guint i = 0; m->append.entries != NULL && i < m->append.entries->len; i++)
    {
      if (!lc_raft__accept_entry (raft, &g_array_index (m->append.entries, LcRaftEntry, i)))
        {
          raft->counters.malformed_total++;
          return;
        }
      last_new++;
    }
  raft->leader_match_index = MAX (raft->leader_match_index, last_new);
  raft->commit_index = MAX (raft->commit_index, MIN (m->append.commit_index, last_new));
  lc_raft__acknowledge (raft, m->append.sent_us);
}

void
lc_raft__on_append (LcRaft *raft, const LcRaftMessage *m)
{
  if (!lc_raft__is_well_formed (m))
    {
      raft->counters.malformed_total++;
      return;
    }
  if (!lc_raft__follow_leader (raft, m))
    return;
  if (raft->installing.index > 0)
    lc_raft__reject (raft, m, raft->commit_index);
  else if (!lc_raft__matches (raft, m->append.prev_index, m->append.prev_term))
    lc_raft__reject (raft, m, lc_raft__conflict_hint (raft, m->append.prev_index));
  else
    lc_raft__accept_entries (raft, m);
}

/* === received snapshots ===================================================================== */

void
lc_raft__drop_incoming (LcRaft *raft)
{
  if (raft->incoming != NULL)
    g_byte_array_unref (raft->incoming);
  raft->incoming = NULL;
  raft->incoming_index = 0;
  raft->incoming_term = 0;
}

static void
lc_raft__acknowledge_chunk (LcRaft *raft, const LcRaftMessage *m, uint64_t next_offset)
{
  LcRaftMessage reply = { .kind = LC_RAFT_SNAPSHOT_REPLY, .to = m->from, .term = raft->term };

  reply.snapshot_reply.last_index = m->snapshot.last_index;
  reply.snapshot_reply.next_offset = next_offset;
  reply.snapshot_reply.sent_us = m->snapshot.sent_us;
  lc_raft__send (raft, &reply);
}

/* Appends the chunk if it is the next one; returns the offset wanted next. */
static uint64_t
lc_raft__append_chunk (LcRaft *raft, const LcRaftMessage *m)
{
  gsize len = 0;
  const uint8_t *bytes = g_bytes_get_data (m->snapshot.chunk, &len);

  if (raft->incoming == NULL || raft->incoming_index != m->snapshot.last_index ||
      raft->incoming_term != m->snapshot.last_term)
    {
      lc_raft__drop_incoming (raft);
      raft->incoming = g_byte_array_new ();
      raft->incoming_index = m->snapshot.last_index;
      raft->incoming_term = m->snapshot.last_term;
    }
  if (m->snapshot.offset == raft->incoming->len &&
      len <= m->snapshot.total_bytes - raft->incoming->len)
    g_byte_array_append (raft->incoming, bytes, (guint)len);
  return raft->incoming->len;
}

static void
lc_raft__begin_install (LcRaft *raft, const LcRaftMessage *m)
{
  GByteArray *bytes = raft->incoming;

  raft->incoming = NULL;
  lc_raft__drop_incoming (raft);
  raft->installing.index = m->snapshot.last_index;
  raft->installing.term = m->snapshot.last_term;
  raft->installing.config = *m->snapshot.config;
  raft->installing.data = g_byte_array_free_to_bytes (bytes);
  raft->is_install_dirty = true;
  raft->sequence++;
}

void
lc_raft__on_snapshot (LcRaft *raft, const LcRaftMessage *m)
{
  uint64_t wanted;

  if (m->snapshot.chunk == NULL || m->snapshot.config == NULL ||
      m->snapshot.total_bytes > LC_RAFT_SNAPSHOT_BYTES_MAX ||
      m->snapshot.offset > m->snapshot.total_bytes)
    {
      raft->counters.malformed_total++;
      return;
    }
  if (!lc_raft__follow_leader (raft, m))
    return;
  if (raft->installing.index > 0)
    {
      lc_raft__acknowledge_chunk (raft, m, m->snapshot.total_bytes);
      return;
    }
  if (m->snapshot.last_index <= raft->commit_index ||
      (m->snapshot.last_index <= lc_raft_last_index (raft) &&
       lc_raft_term_at (raft, m->snapshot.last_index) == m->snapshot.last_term))
    {
      /* The log already contains the snapshot. */
      raft->leader_match_index = MAX (raft->leader_match_index, m->snapshot.last_index);
      raft->commit_index = MAX (raft->commit_index, m->snapshot.last_index);
      lc_raft__acknowledge (raft, m->snapshot.sent_us);
      return;
    }
  wanted = lc_raft__append_chunk (raft, m);
  lc_raft__acknowledge_chunk (raft, m, wanted);
  if (wanted == m->snapshot.total_bytes)
    lc_raft__begin_install (raft, m);
}

/* The snapshot is on disk and replaces the log, which ended before it or conflicted with it. */
void
lc_raft__finish_install (LcRaft *raft)
{
  raft->is_install_taken = false;
  g_array_set_size (raft->log, 0);
  lc_raft_snapshot_finish (&raft->snapshot);
  raft->snapshot = raft->installing;
  memset (&raft->installing, 0, sizeof raft->installing);
  raft->base_index = raft->snapshot.index;
  raft->base_term = raft->snapshot.term;
  raft->base_config = raft->snapshot.config;
  raft->commit_index = raft->base_index;
  raft->applied_index = raft->base_index;
  raft->stable_index = raft->base_index;
  raft->taken_index = raft->base_index;
  raft->dirty_index = 0;
  raft->leader_match_index = MAX (raft->leader_match_index, raft->base_index);
  raft->has_new_snapshot = true;
  raft->counters.snapshots_loaded_total++;
  lc_raft__refresh_config (raft);
}
