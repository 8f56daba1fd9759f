/* lc-raft-private: internal functions shared by the source files of lc-raft.
 *
 *   lc-raft.c         lifetime, clock, writes, message dispatch
 *   lc-raft-elect.c   terms, roles, votes
 *   lc-raft-log.c     the in-memory log and the configurations in it
 *   lc-raft-leader.c  replication, commit, lease, configuration changes
 *   lc-raft-follow.c  received entries and snapshots
 */
#ifndef LC_RAFT_PRIVATE_H
#define LC_RAFT_PRIVATE_H

#include "lc-raft.h"

/* An outgoing message. */
typedef struct
{
  LcRaftMessage message;
  uint64_t after_sequence; /* held back until this write sequence is on disk */
} LcRaftQueuedMessage;

/* lc-raft.c */
int64_t lc_raft__election_min_us (const LcRaft *raft);
int64_t lc_raft__heartbeat_us (const LcRaft *raft);
/* Queues and owns the message; it is held back until the newest term and vote are on disk. */
void lc_raft__send (LcRaft *raft, LcRaftMessage *message);

/* lc-raft-elect.c */
uint32_t lc_raft__quorum (const LcRaft *raft);
void lc_raft__reset_election_timer (LcRaft *raft);
/* Whether a leader's lease may still rely on this replica not voting for another candidate. */
bool lc_raft__is_in_lease (const LcRaft *raft);
/* Fresh elections, after a restart of the whole group: see lc-raft-elect.c. */
void lc_raft__fresh_start (LcRaft *raft);
void lc_raft__fresh_tick (LcRaft *raft);
bool lc_raft__may_campaign (const LcRaft *raft);
void lc_raft__become_follower (LcRaft *raft, uint64_t term, LcReplicaId leader);
void lc_raft__become_pre_candidate (LcRaft *raft);
void lc_raft__count_vote (LcRaft *raft, LcReplicaId voter);
void lc_raft__on_vote (LcRaft *raft, const LcRaftMessage *message);
void lc_raft__on_vote_reply (LcRaft *raft, const LcRaftMessage *message);
void lc_raft__on_timeout_now (LcRaft *raft);

/* lc-raft-log.c */
LcRaftEntry *lc_raft__entry_at (const LcRaft *raft, uint64_t index);
void lc_raft__append (LcRaft *raft, const LcRaftEntry *entry);
void lc_raft__truncate (LcRaft *raft, uint64_t from_index);
void lc_raft__refresh_config (LcRaft *raft);
LcRaftConfig lc_raft__config_at (const LcRaft *raft, uint64_t index);
void lc_raft__truncate_before (LcRaft *raft, uint64_t base_index);

/* lc-raft-leader.c */
void lc_raft__become_leader (LcRaft *raft);
void lc_raft__leader_tick (LcRaft *raft);
void lc_raft__leader_flush (LcRaft *raft);
void lc_raft__maybe_commit (LcRaft *raft);
void lc_raft__refresh_progress (LcRaft *raft);
void lc_raft__clear_progress (LcRaft *raft);
void lc_raft__on_append_reply (LcRaft *raft, const LcRaftMessage *message);
void lc_raft__on_snapshot_reply (LcRaft *raft, const LcRaftMessage *message);

/* lc-raft-follow.c */
void lc_raft__on_append (LcRaft *raft, const LcRaftMessage *message);
void lc_raft__on_snapshot (LcRaft *raft, const LcRaftMessage *message);
void lc_raft__acknowledge (LcRaft *raft, int64_t sent_us);
void lc_raft__finish_install (LcRaft *raft);
void lc_raft__drop_incoming (LcRaft *raft);

#endif /* LC_RAFT_PRIVATE_H */
