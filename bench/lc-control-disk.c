#include "lc-control-disk.h"

#include "io/lc-disk-posix.h"
#include "control/lc-store-task.h"
#include "core/control/lc-raft.h"
#include "io/lc-clock.h"

#include <glib/gstdio.h>
#include <stdio.h>
#include <string.h>

enum
{
  LC_DISK_REPLICAS = 3,
  LC_DISK_ROUNDS = 300,
  LC_DISK_COMMAND_BYTES = 200,
  LC_DISK_BURST = 64,
  LC_DISK_LIMIT_US = 20000000,
};

typedef struct LcDiskBench LcDiskBench;

typedef struct
{
  LcDiskBench *bench;
  LcDiskPosix posix;
  LcStore store;
  LcStoreTask task;
  LcRaft raft;
  char folder[256];
  uint64_t n_syncs;
} LcDiskReplica;

typedef struct
{
  LcDiskPosix *posix;
  int64_t took_us[LC_DISK_ROUNDS];
} LcDiskBeside;

struct LcDiskBench
{
  h2o_loop_t *loop;
  LcDiskReplica replicas[LC_DISK_REPLICAS];
  LcDiskPosix probe;
  char probe_folder[256];
  GArray *sync_us;   /* one alone */
  GArray *beside_us; /* three at once */
  GArray *commit_us;
  double burst_per_s;
};

gint
lc_bench_compare_us (gconstpointer a, gconstpointer b)
{
  int64_t x = *(const int64_t *)a;
  int64_t y = *(const int64_t *)b;

  return (x > y) - (x < y);
}

/* === private: replicas ====================================================================== */

static void
lc_disk__pump (LcDiskBench *b)
{
  bool has_worked = true;

  while (has_worked)
    {
      has_worked = false;
      for (int i = 0; i < LC_DISK_REPLICAS; i++)
        {
          LcDiskReplica *r = &b->replicas[i];
          LcRaftPersist persist;
          LcRaftMessage m;

          while (lc_raft_next_committed (&r->raft) != NULL)
            lc_raft_mark_applied (&r->raft);
          if (lc_raft_take_persist (&r->raft, &persist))
            lc_store_task_write (&r->task, &persist);
          while (lc_raft_take_message (&r->raft, &m, lc_clock_now_us ()))
            {
              lc_raft_receive (&b->replicas[m.to - 1].raft, &m, lc_clock_now_us ());
              lc_raft_message_finish (&m);
              has_worked = true;
            }
        }
    }
}

static void
lc_disk__on_stored (void *user, const LcStoreReport *report)
{
  LcDiskReplica *r = user;

  r->n_syncs = report->counters.fsyncs_total;
  if (report->result == 0)
    lc_raft_mark_persisted (&r->raft, report->sequence, lc_clock_now_us ());
  lc_disk__pump (r->bench);
}

static void
lc_disk__initial (LcRaftConfig *config)
{
  memset (config, 0, sizeof *config);
  for (int i = 0; i < LC_DISK_REPLICAS; i++)
    {
      LcRaftMember member = { .id = (LcReplicaId)i + 1 };

      (void)lc_raft_config_put (config, &member);
    }
}

static int
lc_disk__start (LcDiskBench *b, int i, const char *parent, LcError *error)
{
  LcDiskReplica *r = &b->replicas[i];
  LcStoreTaskDesc task = {
    .loop = b->loop, .store = &r->store, .user = r, .done = lc_disk__on_stored
  };
  LcRaftDesc raft = { .id = (LcReplicaId)i + 1, .seed = 1 };
  LcStoreDesc store = { 0 };
  int result;

  r->bench = b;
  (void)g_snprintf (r->folder, sizeof r->folder, "%s/replica-%d", parent, i);
  result = lc_disk_posix_init (&r->posix, r->folder, error);
  if (result < 0)
    return result;
  store.disk = lc_disk_posix_interface (&r->posix);
  lc_store_init (&r->store, &store);
  result = lc_store_format (&r->store, raft.id, error);
  lc_disk__initial (&raft.initial_config);
  lc_raft_init (&r->raft, &raft, lc_clock_now_us ());
  lc_store_task_init (&r->task, &task);
  return result;
}

static void
lc_disk__remove (const char *folder)
{
  GDir *dir = g_dir_open (folder, 0, NULL);
  const char *name;

  while (dir != NULL && (name = g_dir_read_name (dir)) != NULL)
    {
      char *path = g_build_filename (folder, name, NULL);

      (void)g_remove (path);
      g_free (path);
    }
  if (dir != NULL)
    g_dir_close (dir);
  (void)g_rmdir (folder);
}

/* === private: measuring ===================================================================== */

/* One append and fsync of a command's size, as the log does it, on an idle log. */
static bool
lc_disk__measure_sync (LcDiskBench *b)
{
  LcDisk disk = lc_disk_posix_interface (&b->probe);
  uint8_t bytes[LC_DISK_COMMAND_BYTES] = { 0 };
  int64_t start_us = lc_clock_now_us ();
  int64_t took_us;

  if (disk.append (disk.user, "probe", bytes, sizeof bytes, NULL) < 0 ||
      disk.sync (disk.user, "probe", NULL) < 0)
    return false;
  took_us = lc_clock_now_us () - start_us;
  g_array_append_val (b->sync_us, took_us);
  return true;
}

static gpointer
lc_disk__sync_beside (gpointer data)
{
  LcDiskBeside *beside = data;
  LcDisk disk = lc_disk_posix_interface (beside->posix);
  uint8_t bytes[LC_DISK_COMMAND_BYTES] = { 0 };

  for (int i = 0; i < LC_DISK_ROUNDS; i++)
    {
      int64_t start_us = lc_clock_now_us ();

      (void)disk.append (disk.user, "beside", bytes, sizeof bytes, NULL);
      (void)disk.sync (disk.user, "beside", NULL);
      beside->took_us[i] = lc_clock_now_us () - start_us;
    }
  return NULL;
}

/* The same by three threads at once, as the three replicas of this process do it: a file system
 * may answer one lone sync later than three together. */
static void
lc_disk__measure_beside (LcDiskBench *b)
{
  GThread *threads[LC_DISK_REPLICAS];
  LcDiskBeside *beside = g_new0 (LcDiskBeside, LC_DISK_REPLICAS);

  for (int i = 0; i < LC_DISK_REPLICAS; i++)
    {
      beside[i].posix = &b->replicas[i].posix;
      threads[i] = g_thread_new ("beside", lc_disk__sync_beside, &beside[i]);
    }
  for (int i = 0; i < LC_DISK_REPLICAS; i++)
    {
      (void)g_thread_join (threads[i]);
      g_array_append_vals (b->beside_us, beside[i].took_us, LC_DISK_ROUNDS);
    }
  g_free (beside);
}

static LcDiskReplica *
lc_disk__leader (LcDiskBench *b)
{
  int64_t until_us = lc_clock_now_us () + LC_DISK_LIMIT_US;

  while (lc_clock_now_us () < until_us)
    {
      for (int i = 0; i < LC_DISK_REPLICAS; i++)
        {
          lc_raft_tick (&b->replicas[i].raft, lc_clock_now_us ());
          if (lc_raft_can_read (&b->replicas[i].raft, lc_clock_now_us ()))
            return &b->replicas[i];
        }
      lc_disk__pump (b);
      (void)h2o_evloop_run (b->loop, 1);
    }
  return NULL;
}

/* Proposes `n` commands and waits until the last is applied on the leader. */
static bool
lc_disk__commit (LcDiskBench *b, LcDiskReplica *leader, int n)
{
  int64_t until_us = lc_clock_now_us () + LC_DISK_LIMIT_US;
  uint64_t index = 0;

  for (int i = 0; i < n; i++)
    {
      GBytes *bytes = g_bytes_new_take (g_malloc0 (LC_DISK_COMMAND_BYTES), LC_DISK_COMMAND_BYTES);

      (void)lc_raft_propose (&leader->raft, bytes, lc_clock_now_us (), &index, NULL);
      g_bytes_unref (bytes);
    }
  lc_disk__pump (b);
  while (leader->raft.applied_index < index && lc_clock_now_us () < until_us)
    {
      (void)h2o_evloop_run (b->loop, 5);
      for (int i = 0; i < LC_DISK_REPLICAS; i++)
        lc_raft_tick (&b->replicas[i].raft, lc_clock_now_us ());
      lc_disk__pump (b);
    }
  return leader->raft.applied_index >= index && index > 0;
}

static bool
lc_disk__measure_commits (LcDiskBench *b, LcDiskReplica *leader)
{
  int64_t start_us;

  for (int i = 0; i < LC_DISK_ROUNDS; i++)
    {
      int64_t took_us;

      /* By turns, so that both meet the same disk. */
      if (!lc_disk__measure_sync (b))
        return false;
      start_us = lc_clock_now_us ();
      if (!lc_disk__commit (b, leader, 1))
        return false;
      took_us = lc_clock_now_us () - start_us;
      g_array_append_val (b->commit_us, took_us);
    }
  start_us = lc_clock_now_us ();
  for (int i = 0; i < LC_DISK_BURST; i++)
    if (!lc_disk__commit (b, leader, LC_DISK_BURST))
      return false;
  b->burst_per_s = (double)LC_DISK_BURST * LC_DISK_BURST * (double)LC_US_PER_S /
                   (double)(lc_clock_now_us () - start_us);
  return true;
}

static double
lc_disk__at_ms (GArray *values, uint32_t percent)
{
  guint at;

  g_array_sort (values, lc_bench_compare_us);
  at = (values->len - 1) * percent / 100;
  return (double)g_array_index (values, int64_t, at) / 1000.0;
}

static void
lc_disk__print (LcDiskBench *b, const LcDiskReplica *leader)
{
  double commits = (double)leader->raft.commit_index;

  (void)printf ("{\"case\":\"steady-disk\",\"fsync_ms_p50\":%.3f,\"fsync_ms_p99\":%.3f,"
                "\"fsync_of_three_ms_p50\":%.3f,\"fsync_of_three_ms_p99\":%.3f,"
                "\"commit_ms_p50\":%.3f,\"commit_ms_p99\":%.3f,\"commit_per_fsync_p50\":%.2f,"
                "\"commits_per_s\":%.0f,\"fsyncs_per_commit\":%.3f,\"time\":\"real\"}\n",
                lc_disk__at_ms (b->sync_us, 50), lc_disk__at_ms (b->sync_us, 99),
                lc_disk__at_ms (b->beside_us, 50), lc_disk__at_ms (b->beside_us, 99),
                lc_disk__at_ms (b->commit_us, 50), lc_disk__at_ms (b->commit_us, 99),
                lc_disk__at_ms (b->commit_us, 50) / lc_disk__at_ms (b->sync_us, 50), b->burst_per_s,
                (double)leader->n_syncs / commits);
}

/* === public ================================================================================= */

bool
lc_bench_control_disk (const char *folder)
{
  LcDiskBench b = { .loop = h2o_evloop_create () };
  char *parent = g_build_filename (folder, "lychee-bench-XXXXXX", NULL);
  LcDiskReplica *leader = NULL;
  LcError error = { 0 };
  bool ok = g_mkdtemp (parent) != NULL;
  int n_started = 0;

  b.beside_us = g_array_new (FALSE, FALSE, sizeof (int64_t));
  b.sync_us = g_array_new (FALSE, FALSE, sizeof (int64_t));
  b.commit_us = g_array_new (FALSE, FALSE, sizeof (int64_t));
  for (; ok && n_started < LC_DISK_REPLICAS; n_started++)
    ok = lc_disk__start (&b, n_started, parent, &error) == 0;
  (void)g_snprintf (b.probe_folder, sizeof b.probe_folder, "%s/probe", parent);
  ok = ok && lc_disk_posix_init (&b.probe, b.probe_folder, &error) == 0;
  if (ok)
    leader = lc_disk__leader (&b);
  ok = ok && leader != NULL && lc_disk__measure_commits (&b, leader);
  for (int i = 0; i < n_started; i++)
    lc_store_task_finish (&b.replicas[i].task);
  if (ok)
    lc_disk__measure_beside (&b);
  if (ok)
    lc_disk__print (&b, leader);
  else
    (void)fprintf (stderr, "error: steady-disk could not run in %s: %s\n", parent, error.message);
  for (int i = 0; i < n_started; i++)
    {
      lc_raft_finish (&b.replicas[i].raft);
      lc_store_finish (&b.replicas[i].store);
      lc_disk_posix_finish (&b.replicas[i].posix);
      lc_disk__remove (b.replicas[i].folder);
    }
  lc_disk_posix_finish (&b.probe);
  lc_disk__remove (b.probe_folder);
  (void)g_rmdir (parent);
  g_array_unref (b.sync_us);
  g_array_unref (b.beside_us);
  g_array_unref (b.commit_us);
  g_free (parent);
  return ok;
}
