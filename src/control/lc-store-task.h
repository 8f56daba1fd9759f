/* lc-store-task: disk thread for the log and snapshots, so that the event loop never blocks.
 *
 * WHAT IT IS
 *   Takes writes and snapshots in order, carries them out with lc-store, and reports each on the
 *   event loop.  While a write is under way the replica gathers the next one (group commit).
 *
 * HOW TO USE IT
 *     lc_store_task_init (&task, &desc);
 *     lc_store_task_write (&task, &persist);           takes ownership of its contents
 *     lc_store_task_save_snapshot (&task, &snapshot);  likewise
 *     lc_store_task_finish (&task);                    waits for what is under way and queued
 *   `done` is called on the loop for each job, and also for each attempt that found the disk full:
 *   then `is_final` is false and the task retries it every half second.
 *
 * THREADS
 *   The store belongs to the task's thread between init and finish.
 */
#ifndef LC_STORE_TASK_H
#define LC_STORE_TASK_H

#include "core/control/lc-store.h"

#include <h2o.h>
#include <h2o/multithread.h>

typedef struct
{
  bool is_snapshot;
  bool is_final;
  uint64_t sequence;       /* of a write */
  LcRaftSnapshot snapshot; /* if is_snapshot; valid during the call */
  int result;
  LcError error;
  int64_t took_us;
  LcStoreCounters counters; /* after the job */
} LcStoreReport;

typedef struct
{
  h2o_loop_t *loop;
  LcStore *store;
  void *user;
  void (*done) (void *user, const LcStoreReport *report);
} LcStoreTaskDesc;

typedef struct
{
  LcStoreTaskDesc desc;
  h2o_multithread_queue_t *queue;
  h2o_multithread_receiver_t receiver;
  GAsyncQueue *jobs;
  GThread *thread;
  GMutex lock;
  GCond stopped;
  bool is_stopping; /* under lock */
} LcStoreTask;

void lc_store_task_init (LcStoreTask *task, const LcStoreTaskDesc *desc);
void lc_store_task_finish (LcStoreTask *task);
void lc_store_task_write (LcStoreTask *task, LcRaftPersist *persist);
void lc_store_task_save_snapshot (LcStoreTask *task, LcRaftSnapshot *snapshot);

#endif /* LC_STORE_TASK_H */
