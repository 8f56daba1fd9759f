/* Fuzzes what control reads.  The first byte selects commands, snapshots, Raft messages, log
 * segments or operators' JSON. */
#include "control/lc-control-codec.h"
#include "control/lc-control-json.h"
#include "core/control/lc-raft.h"
#include "core/control/lc-wal.h"

#include <stdlib.h>

enum
{
  SELF_ID = 1,
  N_MEMBERS = 3,
  N_KINDS = 5,
  MESSAGES_MAX = 64,
};

static void
lc_fuzz__command (const uint8_t *bytes, size_t len)
{
  LcControlCommand command;
  LcControlState state;
  LcRevision revision;

  if (lc_control_command_unpack (&command, bytes, len, NULL) < 0)
    return;
  lc_control_state_init (&state);
  for (uint64_t index = 1; index <= 2; index++)
    {
      revision = state.view.revision;
      lc_control_state_apply (&state, index, &command);
      if (state.view.revision < revision || state.view.revision > index)
        abort (); /* revisions are log indices and never decrease */
    }
  lc_control_state_finish (&state);
  lc_control_command_finish (&command);
}

static void
lc_fuzz__snapshot (const uint8_t *bytes, size_t len)
{
  GBytes *packed = g_bytes_new (bytes, len);
  LcControlState state;

  lc_control_state_init (&state);
  if (lc_control_state_unpack (&state, packed, NULL) == 0)
    {
      GBytes *again = lc_control_state_pack (&state);

      if (lc_control_state_unpack (&state, again, NULL) < 0)
        abort (); /* must survive a round trip */
      g_bytes_unref (again);
    }
  lc_control_state_finish (&state);
  g_bytes_unref (packed);
}

static void
lc_fuzz__check_log (const LcRaft *raft)
{
  uint64_t last = lc_raft_last_index (raft);

  if (raft->commit_index > last || raft->stable_index > last ||
      raft->applied_index > raft->commit_index || raft->base_index > last)
    abort (); /* the log's indices are out of order */
}

/* Completes all pending output, as the control task would. */
static void
lc_fuzz__complete_outputs (LcRaft *raft, int64_t now_us)
{
  LcRaftSnapshot snapshot;
  LcRaftPersist persist;
  LcRaftMessage out;

  while (lc_raft_take_persist (raft, &persist))
    {
      lc_raft_mark_persisted (raft, persist.sequence, now_us);
      lc_raft_persist_finish (&persist);
    }
  if (lc_raft_take_snapshot (raft, &snapshot))
    lc_raft_snapshot_finish (&snapshot);
  while (lc_raft_next_committed (raft) != NULL)
    lc_raft_mark_applied (raft);
  while (lc_raft_take_message (raft, &out, now_us))
    lc_raft_message_finish (&out);
}

/* A sequence of messages, each after its length in two bytes. */
static void
lc_fuzz__messages (const uint8_t *bytes, size_t len)
{
  LcRaftDesc desc = { .id = SELF_ID, .seed = 1 };
  int64_t now_us = 1000000;
  LcRaft raft;

  for (LcReplicaId id = 1; id <= N_MEMBERS; id++)
    {
      LcRaftMember member = { .id = id };

      (void)lc_raft_config_put (&desc.initial_config, &member);
    }
  lc_raft_init (&raft, &desc, now_us);
  for (int i = 0; i < MESSAGES_MAX && len > 2; i++)
    {
      size_t n = ((size_t)bytes[0] << 8 | bytes[1]) % (len - 1);
      LcRaftEnvelope envelope;
      LcRaftMessage message;

      if (lc_raft_message_unpack (&message, &envelope, bytes + 2, MIN (n, len - 2), NULL) == 0)
        {
          message.to = SELF_ID;
          lc_raft_receive (&raft, &message, now_us);
          lc_raft_message_finish (&message);
        }
      now_us += 100000;
      lc_raft_tick (&raft, now_us);
      lc_fuzz__complete_outputs (&raft, now_us);
      lc_fuzz__check_log (&raft);
      bytes += MIN (n + 2, len);
      len -= MIN (n + 2, len);
    }
  lc_raft_finish (&raft);
}

static int
lc_fuzz__count_record (void *user, const LcWalRecord *record, LcError *error)
{
  (*(size_t *)user)++;
  return 0;
}

static void
lc_fuzz__segment (const uint8_t *bytes, size_t len)
{
  size_t n_whole = 0;
  size_t n_records = 0;

  (void)lc_wal_scan (bytes, len, "wal", true, lc_fuzz__count_record, &n_records, &n_whole, NULL);
  if (n_whole > len)
    abort ();
}

static void
lc_fuzz__json (const uint8_t *bytes, size_t len)
{
  LcControlCommand command;

  if (lc_control_json_read_plan (&command, (const char *)bytes, len, NULL) == 0)
    lc_control_command_finish (&command);
  if (lc_control_json_read_evacuation (&command, (const char *)bytes, len, NULL) == 0)
    lc_control_command_finish (&command);
  if (lc_control_json_read_confirm (&command, (const char *)bytes, len, NULL) == 0)
    lc_control_command_finish (&command);
}

int
LLVMFuzzerTestOneInput (const uint8_t *bytes, size_t len)
{
  if (len < 1)
    return 0;
  switch (bytes[0] % N_KINDS)
    {
    case 0:
      lc_fuzz__command (bytes + 1, len - 1);
      break;
    case 1:
      lc_fuzz__snapshot (bytes + 1, len - 1);
      break;
    case 2:
      lc_fuzz__messages (bytes + 1, len - 1);
      break;
    case 3:
      lc_fuzz__segment (bytes + 1, len - 1);
      break;
    default:
      lc_fuzz__json (bytes + 1, len - 1);
      break;
    }
  return 0;
}
