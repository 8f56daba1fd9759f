#include "lc-store-task.h"

#include "io/lc-clock.h"

#include <string.h>

enum
{
  LC_STORE_RETRY_MS = 500, /* while the disk is full */
};

typedef enum
{
  LC_STORE_JOB_WRITE,
  LC_STORE_JOB_SNAPSHOT,
  LC_STORE_JOB_STOP,
} LcStoreJobKind;

typedef struct
{
  LcStoreJobKind kind;
  LcRaftPersist persist;
  LcRaftSnapshot snapshot;
} LcStoreJob;

typedef struct
{
  h2o_multithread_message_t super;
  LcStoreReport report;
} LcStoreMessage;

/* === on the task's thread =================================================================== */

static void
lc_store_task__report (
    LcStoreTask *task, const LcStoreJob *job, int r, const LcError *error, int64_t took_us)
{
  LcStoreMessage *message = g_new0 (LcStoreMessage, 1);

  message->report.is_snapshot = job->kind == LC_STORE_JOB_SNAPSHOT;
  message->report.is_final = r != LC_ERR_FULL;
  message->report.sequence = job->persist.sequence;
  if (message->report.is_snapshot)
    lc_raft_snapshot_copy (&message->report.snapshot, &job->snapshot);
  message->report.result = r;
  message->report.error = *error;
  message->report.took_us = took_us;
  message->report.counters = task->desc.store->counters;
  h2o_multithread_send_message (&task->receiver, &message->super);
}

/* Waits before the next attempt; false when the task is stopping. */
static bool
lc_store_task__wait_for_retry (LcStoreTask *task)
{
  gint64 until = g_get_monotonic_time () + LC_STORE_RETRY_MS * G_TIME_SPAN_MILLISECOND;
  bool is_stopping;

  g_mutex_lock (&task->lock);
  while (!task->is_stopping && g_cond_wait_until (&task->stopped, &task->lock, until))
    ;
  is_stopping = task->is_stopping;
  g_mutex_unlock (&task->lock);
  return !is_stopping;
}

static int
lc_store_task__attempt (LcStoreTask *task, const LcStoreJob *job, LcError *error)
{
  if (job->kind == LC_STORE_JOB_SNAPSHOT)
    return lc_store_save_snapshot (task->desc.store, &job->snapshot, error);
  return lc_store_write (task->desc.store, &job->persist, error);
}

static void
lc_store_task__run_job (LcStoreTask *task, const LcStoreJob *job)
{
  for (;;)
    {
      LcError error = { 0 };
      int64_t start_us = lc_clock_now_us ();
      int r = lc_store_task__attempt (task, job, &error);

      lc_store_task__report (task, job, r, &error, lc_clock_now_us () - start_us);
      if (r != LC_ERR_FULL || !lc_store_task__wait_for_retry (task))
        return;
    }
}

static void
lc_store_task__free_job (LcStoreJob *job)
{
  lc_raft_persist_finish (&job->persist);
  lc_raft_snapshot_finish (&job->snapshot);
  g_free (job);
}

static gpointer
lc_store_task__run (gpointer data)
{
  LcStoreTask *task = data;
  bool is_running = true;

  while (is_running)
    {
      LcStoreJob *job = g_async_queue_pop (task->jobs);

      is_running = job->kind != LC_STORE_JOB_STOP;
      if (is_running)
        lc_store_task__run_job (task, job);
      lc_store_task__free_job (job);
    }
  return NULL;
}

/* === on the event loop ====================================================================== */

static void
lc_store_task__free_message (gpointer data)
{
  LcStoreMessage *message = data;

  lc_raft_snapshot_finish (&message->report.snapshot);
  g_free (message);
}

/* Takes all messages off the list, in order. */
static GPtrArray *
lc_store_task__take_messages (h2o_linklist_t *messages)
{
  GPtrArray *all = g_ptr_array_new_with_free_func (lc_store_task__free_message);

  while (!h2o_linklist_is_empty (messages))
    {
      h2o_linklist_t *first = messages->next;

      h2o_linklist_unlink (first);
      g_ptr_array_add (all, H2O_STRUCT_FROM_MEMBER (LcStoreMessage, super.link, first));
    }
  return all;
}

static void
lc_store_task__on_messages (h2o_multithread_receiver_t *receiver, h2o_linklist_t *messages)
{
  LcStoreTask *task = H2O_STRUCT_FROM_MEMBER (LcStoreTask, receiver, receiver);
  GPtrArray *all = lc_store_task__take_messages (messages);

  for (guint i = 0; i < all->len; i++)
    task->desc.done (task->desc.user, &((LcStoreMessage *)g_ptr_array_index (all, i))->report);
  g_ptr_array_unref (all);
}

void
lc_store_task_init (LcStoreTask *task, const LcStoreTaskDesc *desc)
{
  memset (task, 0, sizeof *task);
  task->desc = *desc;
  g_mutex_init (&task->lock);
  g_cond_init (&task->stopped);
  task->queue = h2o_multithread_create_queue (desc->loop);
  h2o_multithread_register_receiver (task->queue, &task->receiver, lc_store_task__on_messages);
  task->jobs = g_async_queue_new ();
  task->thread = g_thread_new ("lc-store", lc_store_task__run, task);
}

/* Reports that were not delivered are freed: the replica has acknowledged none of these writes. */
void
lc_store_task_finish (LcStoreTask *task)
{
  LcStoreJob *stop = g_new0 (LcStoreJob, 1);

  stop->kind = LC_STORE_JOB_STOP;
  g_mutex_lock (&task->lock);
  task->is_stopping = true;
  g_cond_signal (&task->stopped);
  g_mutex_unlock (&task->lock);
  g_async_queue_push (task->jobs, stop);
  g_thread_join (task->thread);
  g_ptr_array_unref (lc_store_task__take_messages (&task->receiver._messages));
  h2o_multithread_unregister_receiver (task->queue, &task->receiver);
  h2o_multithread_destroy_queue (task->queue);
  g_async_queue_unref (task->jobs);
  g_cond_clear (&task->stopped);
  g_mutex_clear (&task->lock);
}

void
lc_store_task_write (LcStoreTask *task, LcRaftPersist *persist)
{
  LcStoreJob *job = g_new0 (LcStoreJob, 1);

  job->kind = LC_STORE_JOB_WRITE;
  job->persist = *persist;
  memset (persist, 0, sizeof *persist);
  g_async_queue_push (task->jobs, job);
}

void
lc_store_task_save_snapshot (LcStoreTask *task, LcRaftSnapshot *snapshot)
{
  LcStoreJob *job = g_new0 (LcStoreJob, 1);

  job->kind = LC_STORE_JOB_SNAPSHOT;
  job->snapshot = *snapshot;
  memset (snapshot, 0, sizeof *snapshot);
  g_async_queue_push (task->jobs, job);
}
