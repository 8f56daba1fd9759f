/* lc-store: a replica's data folder: identity, write-ahead log, snapshot.
 *
 * WHAT IT IS
 *   Files, all through one LcDisk:
 *     identity                replica id and cluster, written once
 *     wal-<number>            segments of the write-ahead log (lc-wal.h)
 *     snapshot                the newest snapshot; written as snapshot.new and renamed
 *     discard                 while the folder is being emptied
 *   Opening recovers what a crash left: a torn end of the newest segment is cut; anything else
 *   that is bad is refused with LC_ERR_CORRUPT and the remedy, and nothing is changed.
 *
 * HOW TO USE IT
 *     lc_store_init (&store, &desc);
 *     lc_store_open (&store, &found, &error);        then lc_store_found_finish (&found)
 *     lc_store_write (&store, &persist, &error);     one batch, one fsync
 *     lc_store_save_snapshot (&store, &snapshot, &error);
 *     lc_store_finish (&store);
 *   An empty folder gives found.replica 0: the caller makes an id, calls lc_store_format, and once
 *   it knows the first members, lc_store_form.
 *
 * AFTER AN ERROR
 *   LC_ERR_FULL: nothing of the batch counts; the file was cut back, the same batch may be tried
 *   again.  Anything else: the folder's state is unknown (a failed fsync may have dropped pages):
 *   is_broken is set, every further write is refused, and the process must be started again.
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
    uint32_t segment_bytes; /* 0: 8 MiB; a new segment is begun after this many */
  } LcStoreDesc;

  typedef struct
  {
    uint64_t fsyncs_total;
    uint64_t bytes_total;
    uint64_t batches_total;
    uint64_t snapshots_total;
    uint64_t torn_total; /* torn ends cut at opening */
    uint64_t torn_bytes;
    uint64_t full_total; /* writes refused for lack of space */
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
    GArray *segment_ends; /* uint64_t: newest index in each segment from first_segment on */
    uint64_t term;
    LcReplicaId vote;
    uint64_t snapshot_index;
    uint64_t snapshot_term;
    bool needs_reset; /* the log on disk ends elsewhere than the snapshot */
    bool is_broken;
    LcStoreCounters counters;
  } LcStore;

  /* What opening found. */
  typedef struct
  {
    LcReplicaId replica;  /* 0: an empty folder */
    uint64_t cluster;     /* 0: not a member of any cluster yet */
    LcRaftConfig initial; /* members that the cluster was formed with */
    uint64_t term;
    LcReplicaId vote;
    LcRaftSnapshot snapshot;
    GArray *entries;       /* LcRaftEntry, after the snapshot */
    uint64_t commit_index; /* entries up to it were known to be committed; 0: not known */
  } LcStoreFound;

  void lc_store_init (LcStore *store, const LcStoreDesc *desc);
  void lc_store_finish (LcStore *store);
  int lc_store_open (LcStore *store, LcStoreFound *found, LcError *error);
  void lc_store_found_finish (LcStoreFound *found);
  /* Gives an empty folder its replica id. */
  int lc_store_format (LcStore *store, LcReplicaId replica, LcError *error);
  /* Makes it a member of a cluster: its first members, or none when it joins by a snapshot. */
  int lc_store_form (LcStore *store, uint64_t cluster, const LcRaftConfig *initial, LcError *error);
  /* Empties the folder of a replica that its cluster has removed; a crash on the way is finished by
   * the next lc_store_open.  Only lc_store_finish may follow. */
  int lc_store_discard (LcStore *store, LcError *error);
  int lc_store_write (LcStore *store, const LcRaftPersist *persist, LcError *error);
  /* Saves a snapshot of applied entries and removes the segments that it makes needless. */
  int lc_store_save_snapshot (LcStore *store, const LcRaftSnapshot *snapshot, LcError *error);

#ifdef __cplusplus
}
#endif

#endif /* LC_STORE_H */
