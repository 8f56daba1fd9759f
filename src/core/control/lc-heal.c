#include "lc-heal.h"

#include <glib.h>
#include <string.h>

/* A replica counts as alive for this long after its last message: two hellos and a margin. */
#define LC_HEAL_ALIVE_US (1 * LC_US_PER_S)
#define LC_HEAL_REPLACE_US (2 * LC_US_PER_S)
/* A learner that is silent for this long is removed, so that a standby can take its place. */
#define LC_HEAL_LEARNER_US (10 * LC_US_PER_S)
/* Twice that time: by then a leader that added it has sent it the log or removed it. */
#define LC_HEAL_ABANDONED_US (2 * LC_HEAL_LEARNER_US)

/* === private: replicas ====================================================================== */

static const LcHealReplica *
lc_heal__find (const LcHealReplica *seen, uint32_t n, LcReplicaId id)
{
  for (uint32_t i = 0; i < n; i++)
    if (seen[i].id == id)
      return &seen[i];
  return NULL;
}

static int64_t
lc_heal__silent_us (const LcHealReplica *seen, uint32_t n, LcReplicaId id)
{
  const LcHealReplica *s = lc_heal__find (seen, n, id);

  return s != NULL ? s->silent_us : INT64_MAX;
}

/* The live replica that uses the member's address in its place, or NULL. */
static const LcHealReplica *
lc_heal__find_successor (const LcRaftMember *member, const LcHealReplica *seen, uint32_t n)
{
  for (uint32_t i = 0; i < n; i++)
    if (seen[i].id != member->id && seen[i].ipv4 == member->ipv4 &&
        seen[i].port == member->peer_port && seen[i].silent_us <= LC_HEAL_ALIVE_US)
      return &seen[i];
  return NULL;
}

/* === private: changes ======================================================================= */

static bool
lc_heal__set_change (LcHealChange *change, LcRaftChange kind, const LcRaftMember *member)
{
  change->kind = kind;
  change->member = *member;
  return true;
}

static bool
lc_heal__add_learner (LcHealChange *change, const LcHealReplica *s)
{
  LcRaftMember member = { .id = s->id, .ipv4 = s->ipv4, .peer_port = s->port, .is_learner = true };

  (void)g_strlcpy (member.name, s->name, sizeof member.name);
  return lc_heal__set_change (change, LC_RAFT_ADD_LEARNER, &member);
}

static const LcRaftMember *
lc_heal__find_learner (const LcRaftConfig *config)
{
  for (uint32_t i = 0; i < config->n_members; i++)
    if (config->members[i].is_learner)
      return &config->members[i];
  return NULL;
}

/* There is at most one learner: promotes it, or removes it when it failed. */
static bool
lc_heal__advance_learner (const LcRaftMember *learner,
                          const LcHealReplica *seen,
                          uint32_t n_seen,
                          LcHealChange *change)
{
  const LcHealReplica *s = lc_heal__find (seen, n_seen, learner->id);

  if (lc_heal__silent_us (seen, n_seen, learner->id) > LC_HEAL_LEARNER_US ||
      lc_heal__find_successor (learner, seen, n_seen) != NULL)
    return lc_heal__set_change (change, LC_RAFT_REMOVE, learner);
  if (s != NULL && s->has_caught_up && s->silent_us <= LC_HEAL_ALIVE_US)
    return lc_heal__set_change (change, LC_RAFT_PROMOTE, learner);
  return false;
}

/* Replaces a member whose address is used by another replica: it has lost its disk. */
static bool
lc_heal__replace_lost_disk (const LcHealDesc *desc,
                            const LcRaftConfig *config,
                            const LcHealReplica *seen,
                            uint32_t n_seen,
                            LcHealChange *change)
{
  for (uint32_t i = 0; i < config->n_members; i++)
    {
      const LcRaftMember *member = &config->members[i];
      const LcHealReplica *successor = lc_heal__find_successor (member, seen, n_seen);

      if (member->id == desc->self || successor == NULL)
        continue;
      if (lc_raft_config_find (config, successor->id) != NULL)
        return lc_heal__set_change (change, LC_RAFT_REMOVE, member);
      if (successor->is_blank)
        return lc_heal__add_learner (change, successor);
    }
  return false;
}

/* The voter with the longest silence, if that is over the limit, or NULL. */
static const LcRaftMember *
lc_heal__find_silent_voter (const LcHealDesc *desc,
                            const LcRaftConfig *config,
                            const LcHealReplica *seen,
                            uint32_t n_seen)
{
  int64_t longest_us =
      (desc->replace_after_us != 0 ? desc->replace_after_us : LC_HEAL_REPLACE_US) - 1;
  const LcRaftMember *gone = NULL;

  for (uint32_t i = 0; i < config->n_members; i++)
    {
      const LcRaftMember *member = &config->members[i];
      int64_t silent_us = lc_heal__silent_us (seen, n_seen, member->id);

      if (member->id == desc->self || member->is_learner || silent_us <= longest_us)
        continue;
      gone = member;
      longest_us = silent_us;
    }
  return gone;
}

static const LcHealReplica *
lc_heal__find_standby (const LcRaftConfig *config, const LcHealReplica *seen, uint32_t n_seen)
{
  for (uint32_t i = 0; i < n_seen; i++)
    if (seen[i].is_blank && seen[i].silent_us <= LC_HEAL_ALIVE_US &&
        lc_raft_config_find (config, seen[i].id) == NULL &&
        lc_raft_config_find_address (config, seen[i].ipv4, seen[i].port) == NULL)
      return &seen[i];
  return NULL;
}

/* === public ================================================================================= */

bool
lc_heal_is_removed (const LcHealSelf *self, const LcRaftConfig *members, uint64_t index)
{
  if (members->n_members == 0 || lc_raft_config_find (members, self->id) != NULL)
    return false;
  if (lc_raft_config_find (self->members, self->id) == NULL)
    return self->silent_us >= LC_HEAL_ABANDONED_US;
  return index > self->members_index;
}

bool
lc_heal_next (const LcHealDesc *desc,
              const LcRaftConfig *config,
              const LcHealReplica *seen,
              uint32_t n_seen,
              LcHealChange *change)
{
  uint32_t n_voters = lc_raft_config_n_voters (config);
  const LcRaftMember *learner = lc_heal__find_learner (config);
  const LcRaftMember *gone = lc_heal__find_silent_voter (desc, config, seen, n_seen);
  const LcHealReplica *standby = lc_heal__find_standby (config, seen, n_seen);

  if (learner != NULL)
    return lc_heal__advance_learner (learner, seen, n_seen, change);
  if (lc_heal__replace_lost_disk (desc, config, seen, n_seen, change))
    return true;
  if (n_voters > desc->n_voters && gone != NULL)
    return lc_heal__set_change (change, LC_RAFT_REMOVE, gone);
  if (standby != NULL &&
      (n_voters < desc->n_voters || (n_voters == desc->n_voters && gone != NULL)))
    return lc_heal__add_learner (change, standby);
  return false;
}
