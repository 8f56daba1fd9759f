/* lc-store: the durable state of a replica: identity, write-ahead log and snapshot.
 *
 * WHAT IT IS
 *   Files of the data folder, all through one LcDisk:
 *     identity                replica id, cluster id and its first members
 *     wal-<number>            segments of the write-ahead log (lc-wal.h)
 *     snapshot                the newest snapshot
 *     discard                 exists while the folder is being emptied
 *   identity and snapshot are written as <name>.new and renamed.  Opening recovers from a crash: a
 *   torn end of the newest segment is truncated.  Any other damage fails with LC_ERR_CORRUPT and a
 *   remedy, and changes nothing.
 *
 * HOW TO USE IT
 *     lc_store_init (&store, &desc);
 *     lc_store_open (&store, &found, &error);        free with lc_store_recovered_finish (&found)
 *     lc_store_write (&store, &persist, &error);     one batch, one fsync
 *     lc_store_save_snapshot (&store, &snapshot, &error);
 *     lc_store_finish (&store);
 *   For an empty folder found.replica is 0: the caller chooses an id, calls lc_store_format, and
 *   when the cluster is formed or joined, lc_store_set_cluster.
 *
 * AFTER AN ERROR
 *   LC_ERR_FULL: the batch was rolled back and may be retried.  Any other error: the state of the
 *   folder is unknown (a failed fsync may have dropped pages): is_broken is set, further writes
 *   fail, and the process must be restarted.
 *
 * THREADS
 *   One thread at a time.
 */
#ifndef LC_STORE_H
#define LC_STORE_H

#include "lc-disk.h"
#include "lc-wal.h"

#ifdef __cplusplus
extern "C"
{
#endif

  typedef struct
  {
    LcDisk disk;
    uint32_t segment_bytes; /* 0: 8 MiB; size after which a new segment is started */
  } LcStoreDesc;

  typedef struct
  {
    uint64_t fsyncs_total;
    uint64_t bytes_total;
    uint64_t batches_total;
    uint64_t snapshots_total;
    uint64_t torn_total; /* torn ends truncated when opening */
    uint64_t torn_bytes;
    uint64_t full_total; /* writes failed for lack of space */
    uint64_t io_error_total;
  } LcStoreCounters;

  typedef struct
  {
    LcStoreDesc desc;
    LcReplicaId replica;
    uint64_t segment_number;
    uint64_t segment_size;
    uint64_t first_segment;
    uint64_t last_index; /* newest entry on disk */
    uint64_t next_batch;
    GArray *segment_ends; /* uint64_t: last index in each segment from first_segment on */
    uint64_t term;
    LcReplicaId vote;
    uint64_t snapshot_index;
    uint64_t snapshot_term;
    bool needs_reset; /* the log on disk doesn't continue at the snapshot */
    bool is_broken;
    LcStoreCounters counters;
  } LcStore;

  /* The recovered state. */
  typedef struct
  {
    LcReplicaId replica;  /* 0: empty folder */
    uint64_t cluster;     /* 0: not a member of any cluster yet */
    LcRaftConfig initial; /* first members; none if it joined by a snapshot */
    uint64_t term;
    LcReplicaId vote;
    LcRaftSnapshot snapshot;
    GArray *entries; /* LcRaftEntry, after the snapshot */
    uint64_t
        commit_index; /* entries up to here are committed, maybe later ones as well; 0: unknown */
  } LcStoreRecovered;

  void lc_store_init (LcStore *store, const LcStoreDesc *desc);
  void lc_store_finish (LcStore *store);
  int lc_store_open (LcStore *store, LcStoreRecovered *found, LcError *error);
  void lc_store_recovered_finish (LcStoreRecovered *found);
  /* Writes the replica id into an empty folder. */
  int lc_store_format (LcStore *store, LcReplicaId replica, LcError *error);
  /* Writes the cluster id and the cluster's first members; `initial` NULL: it joins by a
   * snapshot. */
  int lc_store_set_cluster (LcStore *store,
                            uint64_t cluster,
                            const LcRaftConfig *initial,
                            LcError *error);
  /* Empties the folder of a replica that was removed from its cluster.  After a crash the next
   * lc_store_open completes it.  Only lc_store_finish may follow. */
  int lc_store_discard (LcStore *store, LcError *error);
  int lc_store_write (LcStore *store, const LcRaftPersist *persist, LcError *error);
  /* Writes a snapshot of applied entries and removes the segments that it covers. */
  int lc_store_save_snapshot (LcStore *store, const LcRaftSnapshot *snapshot, LcError *error);

#ifdef __cplusplus
}
#endif

#endif /* LC_STORE_H */
