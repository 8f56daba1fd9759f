/* lc-replica: the task that runs this VM's replica of the log.
 *
 * WHAT IT IS
 *   Ties lc-raft to the clock, the disk thread and the links to the other control VMs, applies
 *   committed commands to the state machine, takes snapshots, forms the cluster at its first start
 *   and carries out the replacement of a control VM while it leads.
 *
 * HOW TO USE IT
 *     lc_replica_init (&replica, &desc, &error);
 *     lc_replica_propose (&replica, &command, &error);   a follower hands it to the leader
 *     lc_replica_state (&replica)                        the applied state
 *     lc_replica_frame (&replica, link, frame);          frames 200..299 of the peer server
 *     lc_replica_finish (&replica);
 *   `applied` is called after each batch of applied commands; the answer of a plan or confirm is
 *   then in the state under its request id, on every VM.
 *
 * FORMING A CLUSTER
 *   A replica's id is random and made with its data folder, so a VM that lost its disk comes back
 *   as somebody else and can't vote twice.  With an empty folder it asks the VMs of `members` who
 *   they are.  When all answer that they belong to no cluster, each forms the same one from the
 *   same list.  When one belongs to a cluster whose first members include this id, it joins that;
 *   otherwise it stands by until the leader takes it in (setting `heals`), or an operator adds it
 * by `replace-control-vm`.
 *
 * STANDING BY
 *   A replica that belongs to no cluster asks the VMs of `members`, and those they name, who the
 *   members are, so that the leader sees it and calls can be passed on (lc-replica-standby.c).  One
 *   without a disk stands by for ever.  A replica that learns that its cluster has removed it, say
 *   while it was frozen, empties its folder and stands by under a new id.
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
  /* `is_reset`: the state was replaced by a snapshot, `ops` is empty. */
  void (*applied) (void *user, const LcViewOp *ops, size_t n_ops, bool is_reset);
  /* A VM that stands by has learned of other members than before. */
  void (*learned) (void *user);
} LcReplicaDesc;

typedef struct LcReplica LcReplica;

/* A control VM that this one talks to. */
typedef struct
{
  LcReplica *replica;
  uint32_t ipv4;
  uint16_t port;
  bool is_used;
  LcLinkClient client;
  LcReplicaId id; /* as it said itself; 0: unknown */
  uint64_t cluster;
  bool has_no_disk;
  char name[LC_NAME_MAX];
  LcRaftConfig initial;
  int64_t heard_us;
} LcReplicaPeer;

/* What others say of the cluster's members. */
typedef struct
{
  LcRaftConfig members;
  uint64_t members_index; /* one more than where in the log they were set; 0: nothing is known */
  LcReplicaId leader;
} LcReplicaLearned;

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
  LcStoreRecovered found;
  LcReplicaId id;
  uint64_t cluster;
  bool is_formed;
  int64_t formed_us; /* when it began to take part in the log */
  LcRaft raft;
  LcControlState state;
  GArray *ops; /* LcViewOp applied since `applied` was last called */
  LcReplicaPeer *peers[LC_REPLICA_PEERS_MAX];
  LcSocketAddress seeds[LC_CONTROL_MEMBERS_MAX]; /* VMs of the newest settings */
  uint32_t n_seeds;
  LcTimer timer;
  LcReplicaMetrics metrics;
  LcLogLimit log_limit;
  LcReplicaLearned learned; /* while it belongs to no cluster */
  bool is_removed;          /* its cluster goes on without it: it starts over at the next tick */
  uint64_t snapshot_index;  /* newest saved or being saved */
  uint64_t log_bytes;       /* applied since then */
  bool is_snapshotting;
  LcReplicaId noted_leader; /* as it was logged last */
  uint64_t noted_term;
  bool is_pumping;
  bool has_disk_full;
  bool is_waiting_logged;
  int64_t slow_tick_us; /* of the next forming or replacing step */
  int64_t proposed_us;  /* when the oldest command that waits for commit was proposed here */
  uint64_t proposed_index;
};

int lc_replica_init (LcReplica *replica, const LcReplicaDesc *desc, LcError *error);
void lc_replica_finish (LcReplica *replica);
void lc_replica_frame (LcReplica *replica, LcLink *link, const LcFrame *frame);

/* 0: proposed, or handed to the leader; the outcome shows in the state.  LC_ERR_UNAVAILABLE: no
 * leader is known now. */
int lc_replica_propose (LcReplica *replica, const LcControlCommand *command, LcError *error);
/* The settings name other VMs to start from.  Who founded the cluster stays as it was. */
void lc_replica_set_seeds (LcReplica *replica, const LcSocketAddress *seeds, uint32_t n);
/* A planned stop: hands leadership over. */
void lc_replica_leave (LcReplica *replica);
/* Whether leadership is handed over, or there is nobody to hand it to. */
bool lc_replica_may_stop (const LcReplica *replica);

const LcControlState *lc_replica_state (const LcReplica *replica);
bool lc_replica_is_leader (const LcReplica *replica);
/* Whether reads of the state now are as new as any commit anywhere. */
bool lc_replica_can_read (LcReplica *replica);
/* The leader as a member, or NULL. */
const LcRaftMember *lc_replica_leader (const LcReplica *replica);
/* It belongs to no cluster, and knows who does. */
bool lc_replica_stands_by (const LcReplica *replica);
/* While it belongs to no cluster: a VM that does and answered lately, best the leader, or NULL. */
const LcReplicaPeer *lc_replica_route (const LcReplica *replica);
/* The members' addresses, as far as this VM knows them; returns how many of `max`. */
uint32_t lc_replica_addresses (const LcReplica *replica, LcSocketAddress *out, uint32_t max);
/* Microseconds since this VM last heard a leader; 0 on the leader; -1: never. */
int64_t lc_replica_silence_us (const LcReplica *replica);

#endif /* LC_REPLICA_H */
