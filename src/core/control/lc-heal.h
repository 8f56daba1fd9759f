/* lc-heal: automatic replacement of failed members of the Raft group.
 *
 * WHAT IT IS
 *   Control VMs lose their disks, or are replaced by empty ones at another address.  From the
 *   replicas that the leader has contact with, lc_heal_next derives the next configuration change
 *   that brings the group back to its number of voters:
 *     - A member has lost its disk when another replica uses its address.  That one, if blank (with
 *       an empty data folder, in no cluster), is added as a learner and promoted when it has caught
 *       up; then the lost member is removed.
 *     - A silent voter is replaced in the same way by a standby: a blank replica at an address of
 *       its own.
 *   Changes are made one at a time, each derived from the configuration in the log, so that a new
 *   leader continues where the old one stopped.  A blank replica never votes before it was added:
 *   its random id is in no configuration.
 *
 * HOW TO USE IT
 *     LcHealChange change;
 *     if (lc_heal_next (&desc, &config, seen, n_seen, &change))
 *       lc_raft_propose_change (&raft, change.kind, &change.member, now_us, &error);
 *
 * LIFETIME
 *   Plain values.
 *
 * LIMITS
 *   The new member is promoted before the lost one is removed, so in between a quorum is counted
 *   with one voter more.  Removing first would leave fewer live copies in between.
 */
#ifndef LC_HEAL_H
#define LC_HEAL_H

#include "lc-raft-types.h"

#ifdef __cplusplus
extern "C"
{
#endif

  /* A replica as observed by the leader, member or not. */
  typedef struct
  {
    LcReplicaId id;
    uint32_t ipv4; /* its peer address */
    uint16_t port;
    bool is_blank;      /* it reports that it is in no cluster */
    bool has_caught_up; /* members: lc_raft_has_caught_up */
    int64_t silent_us;  /* since its last message; INT64_MAX: none yet */
    char name[LC_NAME_MAX];
  } LcHealReplica;

  typedef struct
  {
    LcReplicaId self;         /* the leader, which is never removed */
    uint32_t n_voters;        /* target */
    int64_t replace_after_us; /* 0: 2 s; silence after which a voter is replaced by a standby */
  } LcHealDesc;

  typedef struct
  {
    LcRaftChange kind;
    LcRaftMember member;
  } LcHealChange;

  /* A replica's own view of its membership. */
  typedef struct
  {
    LcReplicaId id;
    const LcRaftConfig *members; /* newest in its log, committed or not */
    uint64_t members_index;      /* lc_raft_config_as_of */
    int64_t silent_us;           /* since leader contact, or since it joined if there was none */
  } LcHealSelf;

  /* Whether the committed members as of `index` prove that this replica was removed, so that it may
   * empty its folder.  They must be newer than the configuration that added it: a member that lags,
   * or whose log begins after a snapshot, reports older ones.  A replica that never received the
   * log can't compare; it counts as removed after 20 s without a leader. */
  bool lc_heal_is_removed (const LcHealSelf *self, const LcRaftConfig *members, uint64_t index);
  /* The next change; false: none is needed or possible now. */
  bool lc_heal_next (const LcHealDesc *desc,
                     const LcRaftConfig *config,
                     const LcHealReplica *seen,
                     uint32_t n_seen,
                     LcHealChange *change);

#ifdef __cplusplus
}
#endif

#endif /* LC_HEAL_H */
