/* lc-replica: one Raft replica of the control cluster: its log, disk, peers and membership.
 *
 * WHAT IT IS
 *   Drives lc-raft with the clock, the store thread and the links to the other control VMs, applies
 *   committed commands to the state machine, takes snapshots, forms the cluster at its first start
 *   and, on the leader, replaces control VMs.
 *
 * HOW TO USE IT
 *     lc_replica_init (&replica, &desc, &error);
 *     lc_replica_propose (&replica, &command, &error);   a follower forwards it to the leader
 *     lc_replica_state (&replica)                        the applied state
 *     lc_replica_receive (&replica, link, frame);        frames 200..299 of the peer server
 *     lc_replica_finish (&replica);
 *   `applied` is called after each batch of applied commands; the answer to a plan or confirm is
 *   then in the state under its request id, on every VM.
 *
 * FORMING A CLUSTER
 *   A replica's id is random and created with its data folder, so a VM that lost its disk has a new
 *   id and can't vote twice.  With an empty folder it sends hellos to the VMs of `members`:
 *     - All reply that they are in no cluster: each forms the same one from the same list.
 *     - One is in a cluster whose first members include this id: it joins that.
 *     - Otherwise it is a standby until the leader adds it (setting `heals`), or an operator
 *       does (`replace-control-vm`).
 *
 * STANDBY
 *   A replica in no cluster sends hellos to the VMs of `members` and to the members that replies
 *   list, so that the leader can find it and it can redirect calls (lc-replica-standby.c).  One
 *   without a disk stays a standby.  A replica that its cluster removed, say while it was frozen,
 *   empties its folder as soon as a reply shows it, and is a standby under a new id.
 *
 * LIFETIME
 *   The caller owns the struct; app and settings outlive it.
 *
 * THREADS
 *   Everything on app->loop's thread; the disk has its own (lc-store-task).
 *
 * FAILURES
 *   A full disk suspends the replica until there is space.  A failed or corrupt disk ends the
 *   process: what was acknowledged is on the other VMs too.
 */
#ifndef LC_REPLICA_H
#define LC_REPLICA_H

#include "core/control/lc-control-state.h"
#include "core/control/lc-raft.h"
#include "io/lc-app.h"
#include "lc-control-settings.h"
#include "io/lc-disk-posix.h"
#include "lc-store-task.h"

enum
{
  LC_REPLICA_PEERS_MAX = 2 * LC_RAFT_MEMBERS_MAX,
};

typedef struct
{
  LcApp *app;
  const LcControlSettings *settings;
  void *user;
  /* `is_reset`: a snapshot replaced the state, or it was emptied; `ops` is empty. */
  void (*applied) (void *user, const LcViewOp *ops, size_t n_ops, bool is_reset);
  /* On a standby: its peers report other members than before. */
  void (*members_changed) (void *user);
} LcReplicaDesc;

typedef struct LcReplica LcReplica;

/* Another control VM, and the link to it. */
typedef struct
{
  LcReplica *replica;
  uint32_t ipv4;
  uint16_t port;
  bool is_used;
  LcLinkClient client;
  LcReplicaId id; /* from its hello reply or log messages; 0: unknown */
  uint64_t cluster;
  bool has_no_disk;
  char name[LC_NAME_MAX];
  LcRaftConfig initial;
  int64_t received_us; /* its last hello reply or log message; 0: none */
} LcReplicaPeer;

/* Membership of the cluster as a peer reports it. */
typedef struct
{
  LcRaftConfig members;
  uint64_t members_index; /* 1 + log index of the configuration; 0: unknown */
  LcReplicaId leader;
} LcReplicaMembership;

typedef struct
{
  LcMetric *is_leader;
  LcMetric *term;
  LcMetric *commit_index;
  LcMetric *applied_total;
  LcMetric *elections_total;
  LcMetric *stepped_down_total;
  LcMetric *fsyncs_total;
  LcMetric *write_us;
  LcMetric *commit_us;
  LcMetric *full_total;
  LcMetric *torn_total;
  LcMetric *malformed_total;
  LcMetric *ignored_total;
  LcMetric *duplicates_total;
} LcReplicaMetrics;

struct LcReplica
{
  LcReplicaDesc desc;
  LcDiskPosix disk;
  LcStore store;
  LcStoreTask task;
  LcStoreRecovered recovered;
  LcReplicaId id;
  uint64_t cluster;
  bool is_formed;
  int64_t formed_us; /* when lc-raft was started */
  LcRaft raft;
  LcControlState state;
  GArray *ops; /* LcViewOp, applied since the last call of `applied` */
  LcReplicaPeer *peers[LC_REPLICA_PEERS_MAX];
  LcSocketAddress seeds[LC_CONTROL_MEMBERS_MAX]; /* `members` of the newest settings */
  uint32_t n_seeds;
  LcTimer timer;
  LcReplicaMetrics metrics;
  LcLogLimit log_limit;
  LcReplicaMembership reported; /* while it is in no cluster */
  bool is_removed;              /* by its cluster: it starts over at the next tick */
  uint64_t snapshot_index;      /* newest saved or being saved */
  uint64_t log_bytes;           /* applied since then */
  bool is_snapshotting;
  LcReplicaId logged_leader; /* as of the last log line */
  uint64_t logged_term;
  bool is_pumping;
  bool has_disk_full;
  bool is_waiting_logged;
  int64_t slow_tick_us; /* due time of the next step that forms, heals or replaces */
  int64_t proposed_us;  /* of the oldest command proposed here that is not committed */
  uint64_t proposed_index;
};

int lc_replica_init (LcReplica *replica, const LcReplicaDesc *desc, LcError *error);
void lc_replica_finish (LcReplica *replica);
void lc_replica_receive (LcReplica *replica, LcLink *link, const LcFrame *frame);

/* 0: proposed, or forwarded to the leader; the result is in the state once applied.
 * LC_ERR_UNAVAILABLE: no leader is known or reachable now. */
int lc_replica_propose (LcReplica *replica, const LcControlCommand *command, LcError *error);
/* After a reload of `members`; the cluster's first members stay the same. */
void lc_replica_set_seeds (LcReplica *replica, const LcSocketAddress *seeds, uint32_t n);
/* For a planned stop: begins the transfer of leadership. */
void lc_replica_transfer_leadership (LcReplica *replica);
/* Whether it is no leader, or the only voter. */
bool lc_replica_may_stop (const LcReplica *replica);

const LcControlState *lc_replica_state (const LcReplica *replica);
bool lc_replica_is_leader (const LcReplica *replica);
/* Whether a read of the state is linearizable now: this is the leader and its lease holds. */
bool lc_replica_can_read (LcReplica *replica);
/* NULL: none is known. */
const LcRaftMember *lc_replica_leader (const LcReplica *replica);
/* Whether it is in no cluster, and its peers report the members of one. */
bool lc_replica_is_standby (const LcReplica *replica);
/* On a standby: a member to redirect calls to, the leader if it replied lately; or NULL. */
const LcReplicaPeer *lc_replica_redirect_target (const LcReplica *replica);
/* The peer addresses of the known members; returns how many, `max` at most. */
uint32_t lc_replica_member_addresses (const LcReplica *replica, LcSocketAddress *out, uint32_t max);
/* Time since the last contact with a leader; 0 on the leader; -1: none yet. */
int64_t lc_replica_leader_silence_us (const LcReplica *replica);

#endif /* LC_REPLICA_H */
