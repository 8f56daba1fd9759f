/* lc-control-codec: Protobuf encoding of commands, state machine snapshots and Raft messages.
 *
 * HOW TO USE IT
 *     GBytes *bytes = lc_control_command_pack (&command);
 *     lc_control_command_unpack (&command, bytes, len, &error);   then lc_control_command_finish
 *     GBytes *snapshot = lc_control_state_pack (&state);
 *     lc_control_state_unpack (&state, snapshot, &error);         replaces the state
 *     bytes = lc_raft_message_pack (&message, &envelope);
 *     lc_raft_message_unpack (&message, &envelope, bytes, len, &error);
 *
 * LIMITS
 *   Names and lists over their bounds are refused with LC_ERR_INVALID; a state is replaced only by
 *   a snapshot that is valid as a whole.
 */
#ifndef LC_CONTROL_CODEC_H
#define LC_CONTROL_CODEC_H

#include "core/control/lc-control-state.h"
#include "core/control/lc-raft-types.h"

#ifdef __cplusplus
extern "C"
{
#endif

  GBytes *lc_control_command_pack (const LcControlCommand *command);
  int lc_control_command_unpack (LcControlCommand *command,
                                 const uint8_t *bytes,
                                 size_t len,
                                 LcError *error);

  GBytes *lc_control_state_pack (const LcControlState *state);
  int lc_control_state_unpack (LcControlState *state, GBytes *bytes, LcError *error);

  /* Header of a Raft message. */
  typedef struct
  {
    uint64_t cluster;
    uint32_t ipv4; /* the sender's peer address */
    uint16_t port;
  } LcRaftEnvelope;

  GBytes *lc_raft_message_pack (const LcRaftMessage *message, const LcRaftEnvelope *envelope);
  int lc_raft_message_unpack (LcRaftMessage *message,
                              LcRaftEnvelope *envelope,
                              const uint8_t *bytes,
                              size_t len,
                              LcError *error);

#ifdef __cplusplus
}
#endif

#endif /* LC_CONTROL_CODEC_H */
