/* lc-heal: the next change of members that keeps the replicated log at its number of voters.
 *
 * WHAT IT IS
 *   Control VMs lose their disks, or are replaced by empty ones at another address.  The leader
 *   sees who stands at which address, who is silent, and who is blank (has an empty data folder and
 *   belongs to no cluster), and asks here what to change.  Changes are made one at a time, each
 * from what the log says then, so that a new leader goes on where the old one stopped.
 *     - A member whose address another replica now speaks from has lost its disk for good: the
 *       other, if blank, is taken in as a learner, made a voter when it has caught up, and the lost
 *       one is removed.
 *     - A voter that stays silent is replaced in the same way by a blank one that stands by at an
 *       address of its own.
 *   A blank replica never votes before it has been taken in: its random id is in no list of
 * members.
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
 *   The newcomer is made a voter before the lost one is removed: for that moment a majority of one
 *   voter more is needed.  Removing first would leave fewer live copies on the way.
 */
#ifndef LC_HEAL_H
#define LC_HEAL_H

#include "lc-raft-types.h"

#ifdef __cplusplus
extern "C"
{
#endif

  /* What the leader knows of a replica, member or not. */
  typedef struct
  {
    LcReplicaId id;
    uint32_t ipv4; /* where it listens */
    uint16_t port;
    bool is_blank;      /* it says that it belongs to no cluster */
    bool has_caught_up; /* members: its copy of the log is as good as whole */
    int64_t silent_us;  /* since it was heard; INT64_MAX: never */
    char name[LC_NAME_MAX];
  } LcHealSeen;

  typedef struct
  {
    LcReplicaId self;  /* the leader: never removed */
    uint32_t n_voters; /* wanted */
    int64_t gone_us;   /* 0: 2 s; a voter silent for so long is replaced if another stands by */
  } LcHealDesc;

  typedef struct
  {
    LcRaftChange kind;
    LcRaftMember member;
  } LcHealChange;

  /* A member's own knowledge of its membership. */
  typedef struct
  {
    LcReplicaId id;
    const LcRaftConfig *members; /* newest in its log, committed or not */
    uint64_t members_index;      /* lc_raft_config_as_of */
    int64_t silent_us;           /* since it heard a leader, or since it joined if it never did */
  } LcHealSelf;

  /* Whether committed members, as of `index`, prove that the cluster goes on without this replica,
   * which may then empty its folder.  News of its removal must be later than what took it in: a
   * member that lags, or whose log begins after a snapshot, names older members.  One that never
   * got the log has nothing to compare; it is given up by its own silence (20 s) alone. */
  bool lc_heal_is_removed (const LcHealSelf *self, const LcRaftConfig *members, uint64_t index);
  /* False: nothing is to be changed now. */
  bool lc_heal_next (const LcHealDesc *desc,
                     const LcRaftConfig *config,
                     const LcHealSeen *seen,
                     uint32_t n_seen,
                     LcHealChange *change);

#ifdef __cplusplus
}
#endif

#endif /* LC_HEAL_H */
