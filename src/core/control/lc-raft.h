/* lc-raft: one replica of a Raft consensus group, as a state machine without I/O.
 *
 * WHAT IT IS
 *   Leader election with pre-vote and check-quorum, batched log replication, chunked snapshots,
 *   lease reads on the leader, and single-member configuration changes by way of a learner.
 *   Inputs are ticks, messages, proposals and confirmations of writes; outputs are messages to
 *   send, state to write, and entries to apply.
 *
 * HOW TO USE IT
 *     lc_raft_init (&raft, &desc, now_us);
 *     lc_raft_tick (&raft, now_us);                       every 10 ms or so
 *     lc_raft_receive (&raft, &message, now_us);          from a peer
 *     lc_raft_propose (&raft, bytes, now_us, &index, &error);
 *     if (lc_raft_take_persist (&raft, &persist))         while no other write is under way
 *       ... write and fsync it, then lc_raft_mark_persisted (&raft, persist.sequence, now_us)
 *     while (lc_raft_take_message (&raft, &message, now_us))
 *       ... send it, then lc_raft_message_finish (&message)
 *     if (lc_raft_take_snapshot (&raft, &snapshot))       load it into the state machine
 *     while ((entry = lc_raft_next_committed (&raft)))  apply it, then lc_raft_mark_applied (&raft)
 *     lc_raft_finish (&raft);
 *
 * GUARANTEES
 *   - An acknowledgement or a vote is sent only after the caller has confirmed the write of the
 *     state behind it.
 *   - At most one leader per term; a committed entry is in the log of every later leader.
 *   - lc_raft_can_read is true only while no other replica can have become leader.
 *
 * CLOCKS
 *   now_us is a clock that continues while the process is stopped (CLOCK_BOOTTIME).  Election
 *   timers, and with them the rule not to vote while a leader is alive, use the replica's own
 *   clock_us, which advances by at most LC_RAFT_MAX_STEP_US per input, so that a forward step or a
 *   pause lengthens them.  The read lease is timed by now_us and given up when now_us goes back.
 *   A clock that is set back while the process is stopped breaks the lease: it can't be detected.
 *
 * LIFETIME
 *   The caller owns the struct; entries and messages hold references to immutable GBytes.
 *
 * LIMITS
 *   LC_RAFT_MEMBERS_MAX members.  With LC_RAFT_UNCOMMITTED_MAX entries uncommitted, proposals fail
 *   with LC_ERR_FULL.
 */
#ifndef LC_RAFT_H
#define LC_RAFT_H

#include "lc-raft-types.h"

#ifdef __cplusplus
extern "C"
{
#endif

  typedef struct
  {
    LcReplicaId id;           /* random, created with the data folder; a lost disk means a new id */
    uint64_t seed;            /* of the election timeouts */
    uint32_t heartbeat_ms;    /* 0: 50 */
    uint32_t election_min_ms; /* 0: 500; also how long after leader contact votes are denied */
    uint32_t election_max_ms; /* 0: 900 */
    uint32_t lease_percent;   /* 0: 60; of election_min_ms; the rest is margin for clock drift */
    uint32_t batch_bytes;     /* 0: 256 KiB; entries per message, and size of a snapshot chunk */
    uint32_t window_entries;  /* 0: 512; unacknowledged entries in flight per peer */
    uint32_t trailing; /* 0: 1024; entries before a snapshot kept in memory for slow followers */
    uint32_t trailing_bytes; /* 0: 2 MiB; size limit of these entries */

    /* Recovered state; all zero for an empty data folder. */
    uint64_t term;
    LcReplicaId vote;
    LcRaftSnapshot snapshot;    /* references are taken */
    const LcRaftEntry *entries; /* contiguous, after the snapshot; references are taken */
    size_t n_entries;
    /* A recorded lower bound of the commit index: entries up to it are applied at once, before a
     * leader is elected. */
    uint64_t commit_index;
    LcRaftConfig initial_config; /* used while neither snapshot nor log holds a configuration */
  } LcRaftDesc;

  /* The leader's replication state of one peer. */
  typedef struct
  {
    LcReplicaId id;
    uint64_t match_index;
    uint64_t next_index;
    uint64_t snapshot_offset;
    LcRaftSnapshot sending; /* index 0: none */
    int64_t acked_sent_us;  /* now_us at which the newest acknowledged message was sent */
    int64_t reply_clock_us; /* clock_us of the last reply */
    int64_t sent_clock_us;  /* clock_us of the last message sent */
    bool is_probing;        /* one message at a time until a matching index is found */
    bool is_waiting;        /* probe or chunk: a reply is outstanding */
  } LcRaftProgress;

  typedef struct
  {
    uint64_t elections_total; /* elections started */
    uint64_t leader_total;    /* elections won */
    uint64_t stepped_down_total;
    uint64_t malformed_total; /* invalid messages, dropped */
    uint64_t snapshots_sent_total;
    uint64_t snapshots_loaded_total;
    uint64_t messages_sent_total;
  } LcRaftCounters;

  typedef struct
  {
    LcRaftDesc desc;
    LcRaftRole role;
    uint64_t term;
    LcReplicaId vote;
    LcReplicaId leader; /* 0: unknown */
    uint64_t random_state;

    GArray *log; /* LcRaftEntry, after base_index */
    uint64_t base_index;
    uint64_t base_term;
    LcRaftConfig base_config; /* members as of base_index */
    uint64_t commit_index;
    uint64_t applied_index;
    uint64_t stable_index;       /* on disk */
    uint64_t leader_match_index; /* follower: log matches the leader's up to here */
    LcRaftSnapshot snapshot;     /* newest durable one */
    LcRaftConfig config;         /* newest in the log, committed or not */
    uint64_t config_index;

    /* Writes: `sequence` numbers the changes to write, in order. */
    uint64_t sequence;
    uint64_t persisted_sequence; /* on disk up to here */
    uint64_t hard_sequence;      /* of the newest change of term or vote */
    uint64_t taken_sequence;     /* handed out by lc_raft_take_persist up to here */
    uint64_t taken_index;        /* last entry handed out */
    uint64_t dirty_index;        /* first entry not yet handed out; 0: none */
    bool is_writing;
    bool is_hard_dirty;
    LcRaftSnapshot installing; /* completely received, not yet on disk */
    bool is_install_dirty;
    bool is_install_taken;
    bool has_new_snapshot; /* lc_raft_take_snapshot returns one */

    /* Snapshot being received. */
    GByteArray *incoming;
    uint64_t incoming_index;
    uint64_t incoming_term;

    GArray *outbox; /* LcRaftQueuedMessage */
    LcRaftProgress progress[LC_RAFT_MEMBERS_MAX];
    uint32_t n_progress;
    LcReplicaId votes[LC_RAFT_MEMBERS_MAX]; /* voters that granted */
    uint32_t n_votes;

    int64_t now_us;
    int64_t clock_us; /* see CLOCKS */
    int64_t election_due_clock_us;
    int64_t leader_contact_clock_us;
    LcReplicaId gone[LC_RAFT_MEMBERS_MAX]; /* members known to be gone for good */
    uint32_t n_gone;
    bool is_fresh;              /* started less than election_min_ms ago, no leader contact since */
    int64_t fresh_due_clock_us; /* next fresh pre-vote (lc-raft-elect.c) */
    int64_t leader_alive_clock_us; /* last leader contact, or on the leader last quorum contact */
    int64_t heartbeat_clock_us;
    int64_t transfer_until_clock_us; /* 0: no leadership transfer in progress */
    bool has_lost_lease;             /* for the rest of the term, see CLOCKS */
    bool needs_flush;                /* new entries or commit index to send to peers */
    bool is_suspended;               /* disk not writable: neither leads nor campaigns */
    LcRaftCounters counters;
  } LcRaft;

  void lc_raft_init (LcRaft *raft, const LcRaftDesc *desc, int64_t now_us);
  void lc_raft_finish (LcRaft *raft);

  /* Inputs. */
  void lc_raft_tick (LcRaft *raft, int64_t now_us);
  void lc_raft_receive (LcRaft *raft, const LcRaftMessage *message, int64_t now_us);
  /* Appends the bytes as one entry at `index` (may be NULL).  LC_ERR_NOT_LEADER, LC_ERR_FULL. */
  int lc_raft_propose (LcRaft *raft, GBytes *data, int64_t now_us, uint64_t *index, LcError *error);
  /* Adds a learner, promotes a learner that has caught up, or removes a member.  One change at a
   * time: LC_ERR_UNAVAILABLE until the previous one is committed. */
  int lc_raft_propose_change (LcRaft *raft,
                              LcRaftChange change,
                              const LcRaftMember *member,
                              int64_t now_us,
                              LcError *error);
  /* Everything handed out up to `sequence` is on disk. */
  void lc_raft_mark_persisted (LcRaft *raft, uint64_t sequence, int64_t now_us);
  /* Makes a snapshot at the applied index from the state machine's bytes; write it to disk, then
   * pass it to lc_raft_compact. */
  void lc_raft_make_snapshot (const LcRaft *raft, GBytes *data, LcRaftSnapshot *snapshot);
  /* The snapshot is on disk: discards the log before it, except the trailing entries. */
  void lc_raft_compact (LcRaft *raft, const LcRaftSnapshot *snapshot);
  /* Transfers leadership to the most up-to-date voter, before a planned stop. */
  void lc_raft_transfer_leadership (LcRaft *raft, int64_t now_us);
  /* A member is gone for good: a replica without state sends from its address.  It can't be
   * leading, so a fresh election (lc-raft-elect.c) does not need its answer. */
  void lc_raft_mark_gone (LcRaft *raft, LcReplicaId id);
  /* While its disk is not writable a replica gives up leadership and doesn't campaign. */
  void lc_raft_suspend (LcRaft *raft, bool is_suspended, int64_t now_us);

  /* Outputs. */
  bool lc_raft_take_persist (LcRaft *raft, LcRaftPersist *persist);
  bool lc_raft_take_message (LcRaft *raft, LcRaftMessage *message, int64_t now_us);
  bool lc_raft_take_snapshot (LcRaft *raft, LcRaftSnapshot *snapshot);
  const LcRaftEntry *lc_raft_next_committed (const LcRaft *raft);
  void lc_raft_mark_applied (LcRaft *raft);

  /* Queries. */
  bool lc_raft_can_read (LcRaft *raft, int64_t now_us);
  bool lc_raft_is_leader (const LcRaft *raft);
  uint64_t lc_raft_last_index (const LcRaft *raft);
  /* The term of the entry at `index`; 0 (unknown) before the log's base. */
  uint64_t lc_raft_term_at (const LcRaft *raft, uint64_t index);
  /* Time since the last leader contact: 0 on the leader, -1 if there was none yet. */
  int64_t lc_raft_leader_silence_us (const LcRaft *raft);
  const LcRaftProgress *lc_raft_progress (const LcRaft *raft, LcReplicaId id);
  /* The index that `config` is valid as of: its own entry's, or the log's base where it comes from
   * a snapshot. */
  uint64_t lc_raft_config_as_of (const LcRaft *raft);
  /* Whether a learner may become a voter: within LC_RAFT_CATCH_UP_ENTRIES of the commit index, and
   * holding the newest configuration entry, so that no quorum counts a replica without it. */
  bool lc_raft_has_caught_up (const LcRaft *raft, LcReplicaId id);

#ifdef __cplusplus
}
#endif

#endif /* LC_RAFT_H */
