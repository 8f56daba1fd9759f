/* lc-raft: one replica of the replicated log, as a pure state machine.
 *
 * WHAT IT IS
 *   Election with pre-vote and check-quorum, log replication with batching, snapshots in chunks, a
 *   leader's lease for reads, and change of one member at a time through a learner.  It does no
 *   I/O: it is fed ticks, messages, proposals and "this is on disk now", and hands out messages to
 *   send, state to write, and entries to apply.
 *
 * HOW TO USE IT
 *     lc_raft_init (&raft, &desc, now_us);
 *     lc_raft_tick (&raft, now_us);                       every 10 ms or so
 *     lc_raft_receive (&raft, &message, now_us);          from a peer
 *     lc_raft_propose (&raft, bytes, now_us, &index, &error);
 *     if (lc_raft_take_persist (&raft, &persist))         while no other write is under way
 *       ... write and fsync it, then lc_raft_persisted (&raft, persist.sequence, now_us);
 *     while (lc_raft_take_message (&raft, &message, now_us))
 *       ... send it, then lc_raft_message_finish (&message);
 *     if (lc_raft_take_snapshot (&raft, &snapshot))       load it into the state machine
 *     while ((entry = lc_raft_next_committed (&raft)))    apply it, then lc_raft_applied (&raft)
 *     lc_raft_finish (&raft);
 *
 * WHAT IT PROMISES
 *   - Nothing is acknowledged, and no vote is sent, before the caller has confirmed the write that
 *     it rests on.
 *   - At most one leader a term; a committed entry is in the log of every later leader.
 *   - lc_raft_can_read is true only while no other replica can have become leader.
 *
 * CLOCKS
 *   now_us is a clock that goes on while the process is stopped (CLOCK_BOOTTIME).  Promises to
 *   others (not to vote while a leader is alive) are timed by a clock of the replica's own that
 *   advances by at most LC_RAFT_MAX_STEP_US an input, so that a step forward or a pause lengthens
 *   them; the lease is timed by now_us itself and given up when now_us goes back.  What a lease
 *   can't bear is a clock set back while the process stands still: nothing shows that time passed.
 *
 * LIFETIME
 *   Memory of the caller; entries and messages hold references to immutable GBytes.
 *
 * LIMITS
 *   LC_RAFT_MEMBERS_MAX members; at most LC_RAFT_UNCOMMITTED_MAX entries wait for commit, then
 *   proposals are refused with LC_ERR_FULL.
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
    LcReplicaId id;           /* random, made with the data folder; a lost disk means a new id */
    uint64_t seed;            /* of the election timeouts */
    uint32_t heartbeat_ms;    /* 0: 50 */
    uint32_t election_min_ms; /* 0: 500; also how long a voter stays with a leader it heard */
    uint32_t election_max_ms; /* 0: 900 */
    uint32_t lease_percent;   /* 0: 60; of election_min_ms, the rest is margin for clocks */
    uint32_t batch_bytes;     /* 0: 256 KiB of entries a message, and a chunk of a snapshot */
    uint32_t window_entries;  /* 0: 512 sent ahead of a peer's acknowledgements */
    uint32_t trailing;        /* 0: 1024 entries kept in memory behind a snapshot */
    uint32_t trailing_bytes;  /* 0: 2 MiB; of these entries at most so much */

    /* What recovery found; all zero for an empty data folder. */
    uint64_t term;
    LcReplicaId vote;
    LcRaftSnapshot snapshot;    /* references are taken */
    const LcRaftEntry *entries; /* after the snapshot, without gaps; references are taken */
    size_t n_entries;
    /* Entries up to it are committed, whatever other members say: they are applied at once, so that
     * a state is there before a leader is.  It lags behind what was committed in the end. */
    uint64_t commit_index;
    LcRaftConfig initial_config; /* in force where neither snapshot nor entries name another */
  } LcRaftDesc;

  /* What the leader knows of one peer. */
  typedef struct
  {
    LcReplicaId id;
    uint64_t match_index;
    uint64_t next_index;
    uint64_t snapshot_offset;
    LcRaftSnapshot sending; /* index 0: none */
    int64_t acked_sent_us;  /* now_us at which the newest answered message was sent */
    int64_t heard_clock_us; /* replica's clock at the last answer */
    int64_t sent_clock_us;  /* replica's clock at the last message */
    bool is_probing;        /* one message at a time until the logs are known to agree */
    bool is_waiting;        /* probing: an answer is outstanding */
  } LcRaftProgress;

  typedef struct
  {
    uint64_t elections_total; /* candidacies */
    uint64_t leader_total;    /* times it became leader */
    uint64_t stepped_down_total;
    uint64_t malformed_total; /* messages that make no sense, dropped */
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

    /* The log: entries after base_index. */
    GArray *log; /* LcRaftEntry */
    uint64_t base_index;
    uint64_t base_term;
    LcRaftConfig base_config; /* members as of base_index */
    uint64_t commit_index;
    uint64_t applied_index;
    uint64_t stable_index;       /* on disk */
    uint64_t leader_match_index; /* follower: agrees with the leader's log up to here */
    LcRaftSnapshot snapshot;     /* newest durable one */
    LcRaftConfig config;         /* newest in the log, committed or not */
    uint64_t config_index;

    /* Writes: everything up to `sequence` is wanted, `persisted` is done. */
    uint64_t sequence;
    uint64_t persisted_sequence;
    uint64_t hard_sequence; /* of the newest change of term or vote */
    uint64_t taken_sequence;
    uint64_t taken_index;
    uint64_t dirty_index; /* first entry not yet handed out for writing */
    bool is_writing;
    bool is_hard_dirty;
    LcRaftSnapshot installing; /* received whole, not yet on disk */
    bool is_install_dirty;
    bool is_install_taken;
    bool has_loaded; /* lc_raft_take_snapshot has something */

    /* Arriving snapshot. */
    GByteArray *incoming;
    uint64_t incoming_index;
    uint64_t incoming_term;

    GArray *outbox; /* LcRaftHeld: messages, some waiting for a write */
    LcRaftProgress progress[LC_RAFT_MEMBERS_MAX];
    uint32_t n_progress;
    LcReplicaId votes[LC_RAFT_MEMBERS_MAX]; /* who granted */
    uint32_t n_votes;

    int64_t now_us;
    int64_t clock_us; /* see CLOCKS */
    int64_t election_clock_us;
    int64_t heard_leader_clock_us;
    LcReplicaId ended[LC_RAFT_MEMBERS_MAX]; /* members that will never speak again */
    uint32_t n_ended;
    bool is_fresh;            /* no leader heard since the start, which was less than the shortest
                                 election timeout ago */
    int64_t fresh_clock_us;   /* when to ask next whether all voters are fresh */
    int64_t vouched_clock_us; /* when a leader was last heard, or it last led with a quorum */
    int64_t heartbeat_clock_us;
    int64_t transfer_until_clock_us; /* 0: no transfer is under way */
    bool has_lost_lease;             /* for the rest of the term, see CLOCKS */
    bool has_news;                   /* entries or a commit index that peers should hear of */
    bool is_suspended;               /* its disk takes nothing: neither leads nor stands */
    LcRaftCounters counters;
  } LcRaft;

  void lc_raft_init (LcRaft *raft, const LcRaftDesc *desc, int64_t now_us);
  void lc_raft_finish (LcRaft *raft);

  /* Inputs. */
  void lc_raft_tick (LcRaft *raft, int64_t now_us);
  void lc_raft_receive (LcRaft *raft, const LcRaftMessage *message, int64_t now_us);
  /* The bytes become one entry; `index` (may be NULL) is where.  LC_ERR_NOT_LEADER, LC_ERR_FULL. */
  int lc_raft_propose (LcRaft *raft, GBytes *data, int64_t now_us, uint64_t *index, LcError *error);
  /* Adds a learner, makes a learner that has caught up a voter, or removes a member.  One change
   * at a time: LC_ERR_UNAVAILABLE until the one before is committed. */
  int lc_raft_propose_change (LcRaft *raft,
                              LcRaftChange change,
                              const LcRaftMember *member,
                              int64_t now_us,
                              LcError *error);
  /* Everything handed out up to `sequence` is on disk. */
  void lc_raft_persisted (LcRaft *raft, uint64_t sequence, int64_t now_us);
  /* Makes the snapshot of what is applied now from the state machine's bytes; write it to disk,
   * then give it to lc_raft_compact. */
  void lc_raft_make_snapshot (const LcRaft *raft, GBytes *data, LcRaftSnapshot *snapshot);
  /* The snapshot is on disk: the log before it may go. */
  void lc_raft_compact (LcRaft *raft, const LcRaftSnapshot *snapshot);
  /* A leader asks the most advanced voter to take over; a planned stop. */
  void lc_raft_transfer (LcRaft *raft, int64_t now_us);
  /* While its disk takes no writes a replica gives up leadership and doesn't stand. */
  /* A member has ended for good: a blank replica speaks from its address.  It leads nobody, so a
   * start of all need not ask it (lc-raft-elect.c). */
  void lc_raft_note_ended (LcRaft *raft, LcReplicaId id);
  void lc_raft_suspend (LcRaft *raft, bool is_suspended, int64_t now_us);

  /* Outputs. */
  bool lc_raft_take_persist (LcRaft *raft, LcRaftPersist *persist);
  bool lc_raft_take_message (LcRaft *raft, LcRaftMessage *message, int64_t now_us);
  bool lc_raft_take_snapshot (LcRaft *raft, LcRaftSnapshot *snapshot);
  const LcRaftEntry *lc_raft_next_committed (const LcRaft *raft);
  void lc_raft_applied (LcRaft *raft);

  /* Questions. */
  bool lc_raft_can_read (LcRaft *raft, int64_t now_us);
  bool lc_raft_is_leader (const LcRaft *raft);
  uint64_t lc_raft_last_index (const LcRaft *raft);
  /* Terms of entries at or before the log's start are 0 (unknown). */
  uint64_t lc_raft_term_at (const LcRaft *raft, uint64_t index);
  /* Microseconds since a leader was last heard (0 on the leader), -1: never. */
  int64_t lc_raft_silence_us (const LcRaft *raft);
  const LcRaftProgress *lc_raft_progress (const LcRaft *raft, LcReplicaId id);
  /* The log up to here was read for `config`: the newest configuration up to this index, which is
   * that of its own entry, or the start of the log where a snapshot named it. */
  uint64_t lc_raft_config_as_of (const LcRaft *raft);
  /* Whether a learner is close enough to the leader's log to become a voter, and holds the entry
   * that named it: a majority never counts one that does not know that it belongs to it. */
  bool lc_raft_has_caught_up (const LcRaft *raft, LcReplicaId id);

#ifdef __cplusplus
}
#endif

#endif /* LC_RAFT_H */
