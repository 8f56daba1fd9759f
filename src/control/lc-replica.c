#include "lc-replica-private.h"

#include "io/lc-clock.h"
#include "lc-control-codec.h"
#include "lc-control-frames.h"
#include "proto/lc-control.pb-c.h"

#include <string.h>
#include <time.h>
#include <unistd.h>

enum
{
  LC_REPLICA_TICK_MS = 10,
  LC_REPLICA_NO_DISK_TICK_MS = 100, /* without a disk it takes part in no elections */
  LC_REPLICA_SLOW_TICK_US = 200000,
  LC_REPLICA_LOGS_PER_S = 2,
};

int64_t
lc_replica__now_us (void)
{
  struct timespec t;

  (void)clock_gettime (CLOCK_BOOTTIME, &t);
  return (int64_t)t.tv_sec * LC_US_PER_S + t.tv_nsec / 1000;
}

/* === private: sending ======================================================================= */

static void
lc_replica__send (LcReplica *replica, const LcRaftMessage *message)
{
  const LcRaftMember *member = lc_raft_config_find (&replica->raft.config, message->to);
  LcReplicaPeer *peer = NULL;
  LcRaftEnvelope envelope;
  GBytes *bytes;
  gsize len;
  const guint8 *data;

  if (member != NULL)
    peer = lc_replica__ensure_peer (replica, member->ipv4, member->peer_port);
  /* A candidate or leader that is not in this VM's configuration yet gets replies too. */
  for (uint32_t i = 0; peer == NULL && i < LC_REPLICA_PEERS_MAX; i++)
    if (replica->peers[i] != NULL && replica->peers[i]->id == message->to)
      peer = replica->peers[i];
  if (peer == NULL)
    return;
  envelope.cluster = replica->cluster;
  envelope.ipv4 = replica->desc.settings->ipv4;
  envelope.port = replica->desc.settings->peer_port;
  bytes = lc_raft_message_pack (message, &envelope);
  data = g_bytes_get_data (bytes, &len);
  (void)lc_link_send_bytes (lc_link_client_link (&peer->client), LC_FRAME_CONTROL_RAFT, data, len);
  g_bytes_unref (bytes);
}

/* === private: applying ====================================================================== */

static void
lc_replica__load_snapshot (LcReplica *replica, const LcRaftSnapshot *snapshot)
{
  LcError error = { 0 };

  if (lc_control_state_unpack (&replica->state, snapshot->data, &error) < 0)
    {
      LC_ERROR ("control.snapshot-unreadable", "message", LC_STR (error.message), "remedy",
                LC_STR (error.remedy));
      _exit (1);
    }
  replica->snapshot_index = MAX (replica->snapshot_index, snapshot->index);
  g_array_set_size (replica->ops, 0);
  LC_INFO ("control.snapshot-loaded", "index", LC_U64 (snapshot->index));
  replica->desc.applied (replica->desc.user, NULL, 0, true);
}

static void
lc_replica__apply (LcReplica *replica, const LcRaftEntry *entry)
{
  LcControlCommand command;
  gsize len = 0;
  const guint8 *data;

  if (entry->kind != LC_RAFT_ENTRY_COMMAND)
    return;
  data = g_bytes_get_data (entry->data, &len);
  if (lc_control_command_unpack (&command, data, len, NULL) < 0)
    {
      /* Skipped by every replica, so that their states stay the same. */
      lc_metric_add (replica->metrics.malformed_total, 1);
      return;
    }
  replica->log_bytes += len;
  lc_control_state_apply (&replica->state, entry->index, &command);
  if (replica->state.ops->len > 0)
    g_array_append_vals (replica->ops, replica->state.ops->data, replica->state.ops->len);
  lc_control_command_finish (&command);
  lc_metric_add (replica->metrics.applied_total, 1);
}

static bool
lc_replica__apply_committed (LcReplica *replica)
{
  const LcRaftEntry *entry;
  bool has_applied = false;

  while ((entry = lc_raft_next_committed (&replica->raft)) != NULL)
    {
      lc_replica__apply (replica, entry);
      if (replica->proposed_index != 0 && entry->index >= replica->proposed_index)
        {
          lc_metric_observe_us (replica->metrics.commit_us,
                                lc_clock_now_us () - replica->proposed_us);
          replica->proposed_index = 0;
        }
      lc_raft_mark_applied (&replica->raft);
      has_applied = true;
    }
  if (!has_applied)
    return false;
  replica->desc.applied (replica->desc.user, (const LcViewOp *)replica->ops->data,
                         replica->ops->len, false);
  g_array_set_size (replica->ops, 0);
  return true;
}

static void
lc_replica__maybe_snapshot (LcReplica *replica)
{
  const LcControlSettings *s = replica->desc.settings;
  bool is_due = replica->raft.applied_index >= replica->snapshot_index + s->snapshot_every ||
                replica->log_bytes >= (uint64_t)s->snapshot_every_kb << 10;
  LcRaftSnapshot snapshot;
  GBytes *data;

  if (replica->is_snapshotting || !is_due)
    return;
  data = lc_control_state_pack (&replica->state);
  lc_raft_make_snapshot (&replica->raft, data, &snapshot);
  g_bytes_unref (data);
  replica->is_snapshotting = true;
  replica->log_bytes = 0;
  lc_store_task_save_snapshot (&replica->task, &snapshot);
}

/* Logs each change of leader or term, also when there is no leader. */
static void
lc_replica__log_leader_change (LcReplica *replica)
{
  const LcRaft *raft = &replica->raft;
  const LcRaftMember *leader = lc_raft_config_find (&raft->config, raft->leader);

  if (raft->leader == replica->logged_leader && raft->term == replica->logged_term)
    return;
  replica->logged_leader = raft->leader;
  replica->logged_term = raft->term;
  LC_INFO ("control.leader", "leader", LC_STR (leader != NULL ? leader->name : ""), "is_self",
           LC_U64 (lc_raft_is_leader (raft)), "term", LC_U64 (raft->term), "commit_index",
           LC_U64 (raft->commit_index), "voters", LC_U64 (lc_raft_config_n_voters (&raft->config)));
}

/* === private: outputs ======================================================================= */

static bool
lc_replica__process_outputs_once (LcReplica *replica)
{
  LcRaftSnapshot snapshot;
  LcRaftPersist persist;
  LcRaftMessage message;
  bool has_worked = false;

  if (lc_raft_take_snapshot (&replica->raft, &snapshot))
    {
      lc_replica__load_snapshot (replica, &snapshot);
      lc_raft_snapshot_finish (&snapshot);
      has_worked = true;
    }
  has_worked |= lc_replica__apply_committed (replica);
  if (lc_raft_take_persist (&replica->raft, &persist))
    lc_store_task_write (&replica->task, &persist);
  while (lc_raft_take_message (&replica->raft, &message, lc_replica__now_us ()))
    {
      lc_replica__send (replica, &message);
      lc_raft_message_finish (&message);
    }
  return has_worked;
}

void
lc_replica__process_outputs (LcReplica *replica)
{
  if (replica->is_pumping || !replica->is_formed)
    return;
  replica->is_pumping = true;
  while (lc_replica__process_outputs_once (replica))
    ;
  replica->is_pumping = false;
  lc_replica__log_leader_change (replica);
  lc_replica__maybe_snapshot (replica);
  lc_replica__update_metrics (replica);
}

/* === private: the disk's reports ============================================================ */

static void
lc_replica__on_disk_full (LcReplica *replica, const LcStoreReport *report)
{
  if (!replica->has_disk_full)
    LC_ERROR ("control.disk-full", "message", LC_STR (report->error.message), "remedy",
              LC_STR (report->error.remedy));
  replica->has_disk_full = true;
  lc_raft_suspend (&replica->raft, true, lc_replica__now_us ());
}

/* Only confirmed writes were acknowledged, so ending here loses nothing; what the folder holds is
 * only known after recovery. */
static void
lc_replica__on_disk_failed (const LcStoreReport *report)
{
  LC_ERROR ("control.disk-failed", "message", LC_STR (report->error.message), "remedy",
            LC_STR (report->error.remedy));
  _exit (1);
}

static void
lc_replica__on_stored (void *user, const LcStoreReport *report)
{
  LcReplica *replica = user;

  lc_metric_set (replica->metrics.fsyncs_total, (int64_t)report->counters.fsyncs_total);
  lc_metric_set (replica->metrics.full_total, (int64_t)report->counters.full_total);
  if (report->result == LC_ERR_FULL)
    {
      lc_replica__on_disk_full (replica, report);
      lc_replica__process_outputs (replica);
      return;
    }
  if (report->result < 0)
    lc_replica__on_disk_failed (report);
  if (replica->has_disk_full)
    {
      replica->has_disk_full = false;
      LC_INFO ("control.disk-has-space");
      lc_raft_suspend (&replica->raft, false, lc_replica__now_us ());
    }
  if (report->is_snapshot)
    {
      replica->is_snapshotting = false;
      replica->snapshot_index = report->snapshot.index;
      lc_raft_compact (&replica->raft, &report->snapshot);
    }
  else
    {
      lc_metric_observe_us (replica->metrics.write_us, report->took_us);
      lc_raft_mark_persisted (&replica->raft, report->sequence, lc_replica__now_us ());
    }
  lc_replica__process_outputs (replica);
}

/* === private: ticks ========================================================================= */

static void
lc_replica__on_tick (void *user)
{
  LcReplica *replica = user;
  int64_t now_us = lc_replica__now_us ();

  lc_timer_start (&replica->timer,
                  lc_replica__has_disk (replica) ? LC_REPLICA_TICK_MS : LC_REPLICA_NO_DISK_TICK_MS);
  if (replica->is_formed)
    {
      lc_raft_tick (&replica->raft, now_us);
      lc_replica__process_outputs (replica);
    }
  if (now_us < replica->slow_tick_us)
    return;
  replica->slow_tick_us = now_us + LC_REPLICA_SLOW_TICK_US;
  if (replica->is_removed)
    lc_replica__start_over (replica);
  else if (!replica->is_formed)
    lc_replica__form_step (replica);
  else if (replica->raft.leader == 0)
    lc_replica__probe_members (replica);
  else if (lc_raft_is_leader (&replica->raft) && replica->state.replace.is_active)
    lc_replica__replace_step (replica);
  else if (lc_raft_is_leader (&replica->raft) && replica->desc.settings->heals)
    lc_replica__heal_step (replica);
  if (replica->is_formed)
    {
      lc_replica__connect_members (replica);
      lc_replica__probe_seeds (replica);
    }
  lc_replica__expire_peers (replica);
}

/* === public: lifetime ======================================================================= */

void
lc_replica__start_raft (LcReplica *replica)
{
  const LcControlSettings *s = replica->desc.settings;
  LcRaftDesc desc = { .id = replica->id,
                      .seed = (uint64_t)lc_clock_wall_us (),
                      .heartbeat_ms = s->heartbeat_ms,
                      .election_min_ms = s->election_min_ms,
                      .election_max_ms = s->election_max_ms,
                      .term = replica->recovered.term,
                      .vote = replica->recovered.vote,
                      .snapshot = replica->recovered.snapshot,
                      .entries = (const LcRaftEntry *)replica->recovered.entries->data,
                      .n_entries = replica->recovered.entries->len,
                      .commit_index = replica->recovered.commit_index,
                      .initial_config = replica->recovered.initial };
  LcStoreTaskDesc task = { .loop = replica->desc.app->loop,
                           .store = &replica->store,
                           .user = replica,
                           .done = lc_replica__on_stored };

  lc_raft_init (&replica->raft, &desc, lc_replica__now_us ());
  replica->snapshot_index = replica->recovered.snapshot.index;
  lc_store_recovered_finish (&replica->recovered);
  lc_store_task_init (&replica->task, &task);
  replica->is_formed = true;
  replica->formed_us = lc_replica__now_us ();
  lc_replica__connect_members (replica);
  lc_replica__process_outputs (replica);
}

static LcReplicaId
lc_replica__new_id (void)
{
  return ((uint64_t)g_random_int () << 32) | g_random_int () | 1U;
}

int
lc_replica__open_store (LcReplica *replica, LcError *error)
{
  LcStoreDesc desc = { 0 };
  int r;

  desc.disk = lc_disk_posix_interface (&replica->disk);
  lc_store_init (&replica->store, &desc);
  r = lc_store_open (&replica->store, &replica->recovered, error);
  if (r == 0 && replica->recovered.replica == 0)
    {
      replica->recovered.replica = lc_replica__new_id ();
      r = lc_store_format (&replica->store, replica->recovered.replica, error);
    }
  if (replica->store.counters.torn_total > 0)
    LC_WARN ("control.torn-tail-cut", "bytes", LC_U64 (replica->store.counters.torn_bytes),
             "meaning", LC_STR ("a write was cut off by a crash; it was never acknowledged"));
  lc_metric_set (replica->metrics.torn_total, (int64_t)replica->store.counters.torn_total);
  replica->id = replica->recovered.replica;
  replica->cluster = replica->recovered.cluster;
  return r;
}

static int
lc_replica__open_disk (LcReplica *replica, LcError *error)
{
  int r = lc_disk_posix_init (&replica->disk, replica->desc.settings->data_folder, error);

  return r == 0 ? lc_replica__open_store (replica, error) : r;
}

int
lc_replica_init (LcReplica *replica, const LcReplicaDesc *desc, LcError *error)
{
  int r;

  memset (replica, 0, sizeof *replica);
  replica->desc = *desc;
  lc_replica_set_seeds (replica, desc->settings->members, desc->settings->n_members);
  lc_replica__init_metrics (replica);
  r = lc_replica__has_disk (replica) ? lc_replica__open_disk (replica, error) : 0;
  if (r < 0)
    return r;
  lc_control_state_init (&replica->state);
  replica->ops = g_array_new (FALSE, TRUE, sizeof (LcViewOp));
  lc_timer_init (&replica->timer, desc->app->loop, lc_replica__on_tick, replica);
  lc_timer_start (&replica->timer, LC_REPLICA_TICK_MS);
  if (replica->cluster != 0)
    lc_replica__start_raft (replica);
  return 0;
}

void
lc_replica_finish (LcReplica *replica)
{
  lc_timer_finish (&replica->timer);
  lc_replica__free_peers (replica);
  if (replica->is_formed)
    {
      lc_store_task_finish (&replica->task);
      lc_raft_finish (&replica->raft);
    }
  if (lc_replica__has_disk (replica))
    {
      lc_store_recovered_finish (&replica->recovered);
      lc_store_finish (&replica->store);
      lc_disk_posix_finish (&replica->disk);
    }
  lc_control_state_finish (&replica->state);
  g_array_unref (replica->ops);
}

/* === public: frames ========================================================================= */

static void
lc_replica__on_raft (LcReplica *replica, const LcFrame *frame)
{
  LcRaftMessage message;
  LcError error = { 0 };
  LcRaftEnvelope envelope = { 0 };

  if (lc_raft_message_unpack (&message, &envelope, frame->payload, frame->payload_len, &error) < 0)
    {
      lc_metric_add (replica->metrics.malformed_total, 1);
      return;
    }
  if (!replica->is_formed)
    (void)lc_replica__join_if_added (replica, &message, envelope.cluster);
  if (replica->is_formed && envelope.cluster == replica->cluster && message.to == replica->id)
    {
      lc_replica__update_sender (replica, message.from, envelope.ipv4, envelope.port);
      lc_raft_receive (&replica->raft, &message, lc_replica__now_us ());
    }
  else if (replica->is_formed)
    {
      lc_metric_add (replica->metrics.malformed_total, 1);
      if (lc_log_allow (&replica->log_limit, lc_clock_now_us (), LC_REPLICA_LOGS_PER_S))
        LC_WARN ("control.wrong-cluster", "from", LC_U64 (message.from), "remedy",
                 LC_STR ("a VM with another data folder uses an address of this cluster: stop it, "
                         "or replace it with an empty folder"));
    }
  lc_raft_message_finish (&message);
  lc_replica__process_outputs (replica);
}

static void
lc_replica__on_forward (LcReplica *replica, const LcFrame *frame)
{
  Lc__Wire__ControlForward *m =
      lc__wire__control_forward__unpack (NULL, frame->payload_len, frame->payload);
  LcControlCommand command;
  LcError error = { 0 };

  if (m == NULL ||
      lc_control_command_unpack (&command, m->command.data, m->command.len, &error) < 0)
    lc_metric_add (replica->metrics.malformed_total, 1);
  else
    {
      /* One hop only: a follower drops it, and the sender proposes it again. */
      if (replica->is_formed && lc_raft_is_leader (&replica->raft))
        (void)lc_replica_propose (replica, &command, &error);
      lc_control_command_finish (&command);
    }
  if (m != NULL)
    lc__wire__control_forward__free_unpacked (m, NULL);
}

void
lc_replica__on_frame (void *user, LcLink *link, const LcFrame *frame)
{
  LcReplica *replica = user;

  switch ((LcControlFrameType)frame->type)
    {
    case LC_FRAME_CONTROL_RAFT:
      lc_replica__on_raft (replica, frame);
      break;
    case LC_FRAME_CONTROL_HELLO:
      lc_replica__on_hello (replica, link, frame);
      break;
    case LC_FRAME_CONTROL_HELLO_REPLY:
      lc_replica__on_hello_reply (replica, link, frame);
      break;
    case LC_FRAME_CONTROL_FORWARD:
      lc_replica__on_forward (replica, frame);
      break;
    default:
      lc_metric_add (replica->metrics.malformed_total, 1);
      break;
    }
}

void
lc_replica_receive (LcReplica *replica, LcLink *link, const LcFrame *frame)
{
  lc_replica__on_frame (replica, link, frame);
}

/* === public: proposals ====================================================================== */

static int
lc_replica__forward (LcReplica *replica, const LcControlCommand *command, LcError *error)
{
  const LcRaftMember *leader = lc_replica_leader (replica);
  Lc__Wire__ControlForward m = LC__WIRE__CONTROL_FORWARD__INIT;
  LcReplicaPeer *peer = NULL;
  GBytes *bytes;
  gsize len;
  int r;

  if (leader != NULL)
    peer = lc_replica__ensure_peer (replica, leader->ipv4, leader->peer_port);
  if (peer == NULL)
    return lc_error_set (error, LC_ERR_UNAVAILABLE,
                         "send it again in a second with the same request id; if it stays so, see "
                         "`lychee status` for control VMs that are down",
                         "no leader is known to this control VM");
  bytes = lc_control_command_pack (command);
  m.command.data = (uint8_t *)g_bytes_get_data (bytes, &len);
  m.command.len = len;
  r = lc_link_send (lc_link_client_link (&peer->client), LC_FRAME_CONTROL_FORWARD, &m.base);
  g_bytes_unref (bytes);
  if (r < 0)
    return lc_error_set (error, LC_ERR_UNAVAILABLE,
                         "send it again in a second with the same request id",
                         "the leader %s can't be reached from this control VM", leader->name);
  return 0;
}

int
lc_replica_propose (LcReplica *replica, const LcControlCommand *command, LcError *error)
{
  GBytes *bytes;
  uint64_t index = 0;
  int r;

  if (!replica->is_formed)
    return lc_error_set (error, LC_ERR_UNAVAILABLE, "ask another control VM",
                         "this control VM does not belong to a cluster yet");
  if (!lc_raft_is_leader (&replica->raft))
    return lc_replica__forward (replica, command, error);
  bytes = lc_control_command_pack (command);
  r = lc_raft_propose (&replica->raft, bytes, lc_replica__now_us (), &index, error);
  g_bytes_unref (bytes);
  if (r < 0)
    return r;
  if (replica->proposed_index == 0)
    {
      replica->proposed_index = index;
      replica->proposed_us = lc_clock_now_us ();
    }
  lc_replica__process_outputs (replica);
  return 0;
}

void
lc_replica_transfer_leadership (LcReplica *replica)
{
  if (!replica->is_formed)
    return;
  lc_raft_transfer_leadership (&replica->raft, lc_replica__now_us ());
  lc_replica__process_outputs (replica);
}

bool
lc_replica_may_stop (const LcReplica *replica)
{
  return !lc_replica_is_leader (replica) || lc_raft_config_n_voters (&replica->raft.config) < 2;
}

/* === public: queries ======================================================================== */

const LcControlState *
lc_replica_state (const LcReplica *replica)
{
  return &replica->state;
}

bool
lc_replica_is_leader (const LcReplica *replica)
{
  return replica->is_formed && lc_raft_is_leader (&replica->raft);
}

bool
lc_replica_can_read (LcReplica *replica)
{
  return replica->is_formed && lc_raft_can_read (&replica->raft, lc_replica__now_us ());
}

const LcRaftMember *
lc_replica_leader (const LcReplica *replica)
{
  return replica->is_formed ? lc_raft_config_find (&replica->raft.config, replica->raft.leader)
                            : NULL;
}

int64_t
lc_replica_leader_silence_us (const LcReplica *replica)
{
  return replica->is_formed ? lc_raft_leader_silence_us (&replica->raft) : -1;
}
