/* lc-fake-cluster: deterministic simulation of the control VMs' Raft group in one process.
 *
 * WHAT IT IS
 *   Runs lc-raft, lc-store and lc-control-state of each member in virtual time, on an in-memory
 *   network, disk and clock. Injects message loss, delay, duplication and reordering, one-way
 *   cuts, crashes that lose unsynced bytes, pauses, clock steps and member replacement.
 *   Checks the invariants after each event.
 *
 * HOW TO USE IT
 *     LcFakeClusterDesc desc = { .seed = 1, .n_members = 3, .loss_percent = 10 };
 *     LcFakeCluster *cluster = lc_fake_cluster_new (&desc);
 *     lc_fake_cluster_run (cluster, 5 * LC_US_PER_S);
 *     lc_fake_cluster_crash (cluster, 0);  lc_fake_cluster_start (cluster, 0);
 *     lc_fake_cluster_verdict (cluster);   violations (must be 0) and counts
 *     lc_fake_cluster_free (cluster);
 */
#ifndef LC_FAKE_CLUSTER_H
#define LC_FAKE_CLUSTER_H

#include "core/control/lc-control-state.h"
#include "core/control/lc-raft.h"
#include "core/control/lc-store.h"
#include "lc-fake-disk.h"

#ifdef __cplusplus
extern "C"
{
#endif

  enum
  {
    LC_FAKE_NODES_MAX = 12,
  };

  typedef struct
  {
    uint64_t seed;
    uint32_t n_members; /* 0: 3 */
    uint32_t loss_percent;
    uint32_t double_percent;
    int64_t delay_min_us;
    int64_t delay_max_us;
    int64_t sync_min_us;
    int64_t sync_max_us;
    uint32_t snapshot_every; /* 0: 64 */
    uint32_t trailing;       /* 0: 16 */
    uint32_t segment_bytes;  /* 0: 8 KiB */
    int64_t think_us;        /* between an operator's commands; 0: no load */
    uint32_t n_operators;    /* 0: 1 */
    bool steps_clocks;
    uint32_t n_endpoints; /* 0: 6 */
    void *user;
    /* Called with each change that a member applies to its view; may be NULL. */
    void (*applied) (void *user, uint32_t node, const LcViewOp *ops, size_t n_ops, int64_t now_us);
  } LcFakeClusterDesc;

  /* Violations, which must be 0, and counts. */
  typedef struct
  {
    uint64_t lost_commits;       /* committed entries that differ, answered commands missing */
    uint64_t reverted;           /* a view's revision went back, or two members' views differ */
    uint64_t applied_twice;      /* plans confirmed twice, or resends with another answer */
    uint64_t two_leaders;        /* terms with more than one leader */
    uint64_t stale_reads;        /* lease reads that miss an acknowledged commit */
    uint64_t refused_recoveries; /* disks called corrupt; wrong if only unsynced bytes are lost */
    uint64_t n_commits;
    uint64_t n_answers;
    uint64_t n_reads;
    uint64_t n_conflicts;
    uint64_t n_elections;
    uint64_t n_snapshots_loaded;
    uint64_t n_torn;
    uint64_t n_events;
    uint64_t n_syncs;
  } LcFakeVerdict;

  typedef struct LcFakeCluster LcFakeCluster;

  LcFakeCluster *lc_fake_cluster_new (const LcFakeClusterDesc *desc);
  void lc_fake_cluster_free (LcFakeCluster *cluster);
  void lc_fake_cluster_run (LcFakeCluster *cluster, int64_t for_us);
  int64_t lc_fake_cluster_now_us (const LcFakeCluster *cluster);
  uint64_t lc_fake_cluster_random (LcFakeCluster *cluster, uint64_t below);

  /* Nodes are numbered from 0; numbers aren't reused. */
  uint32_t lc_fake_cluster_n_nodes (const LcFakeCluster *cluster);
  bool lc_fake_cluster_is_up (const LcFakeCluster *cluster, uint32_t node);
  bool lc_fake_cluster_is_member (const LcFakeCluster *cluster, uint32_t node);
  /* The leader with the highest term, or -1. */
  int lc_fake_cluster_leader (const LcFakeCluster *cluster);
  LcRaft *lc_fake_cluster_raft (LcFakeCluster *cluster, uint32_t node);
  LcControlState *lc_fake_cluster_state (LcFakeCluster *cluster, uint32_t node);
  LcFakeDisk *lc_fake_cluster_disk (LcFakeCluster *cluster, uint32_t node);

  void lc_fake_cluster_crash (LcFakeCluster *cluster, uint32_t node);
  /* 0, or LC_ERR_CORRUPT if recovery refuses the disk (right only if it was damaged). */
  int lc_fake_cluster_start (LcFakeCluster *cluster, uint32_t node);
  /* Suspends a node as SIGSTOP does; its events are deferred. */
  void lc_fake_cluster_pause (LcFakeCluster *cluster, uint32_t node, int64_t for_us);
  void lc_fake_cluster_cut (LcFakeCluster *cluster, uint32_t from, uint32_t to, bool is_cut);
  void lc_fake_cluster_heal (LcFakeCluster *cluster);
  void lc_fake_cluster_step_clock (LcFakeCluster *cluster, uint32_t node, int64_t by_us);
  /* Drops a node with its disk; a new one joins as learner, then as voter. */
  void lc_fake_cluster_replace (LcFakeCluster *cluster, uint32_t node);
  bool lc_fake_cluster_is_replacing (const LcFakeCluster *cluster);
  void lc_fake_cluster_set_load (LcFakeCluster *cluster, int64_t think_us);
  void lc_fake_cluster_set_loss (LcFakeCluster *cluster, uint32_t loss_percent);

  /* Sends a command and runs until it is answered; NULL after `limit_us`.
   * Resends to `node`, or to the next one while it is down, with the same request id. */
  const LcControlAnswer *lc_fake_cluster_ask (LcFakeCluster *cluster,
                                              uint32_t node,
                                              const LcControlCommand *command,
                                              int64_t limit_us);
  /* Also checks the final state; first start all members and heal the network. */
  LcFakeVerdict lc_fake_cluster_verdict (LcFakeCluster *cluster);
  /* Latencies (int64_t, us) of the operators' commands from first send to answer. */
  GArray *lc_fake_cluster_commit_us (LcFakeCluster *cluster);

#ifdef __cplusplus
}
#endif

#endif /* LC_FAKE_CLUSTER_H */
