#include "lc-replica-private.h"

#include "core/control/lc-heal.h"

#include <string.h>

/* Peers without a reply for five hello intervals are taken as unreachable. */
#define LC_REPLICA_REDIRECT_MAX_AGE_US (1 * LC_US_PER_S)

/* === private: peers ========================================================================= */

static LcReplicaPeer *
lc_replica__find_peer (const LcReplica *replica, uint32_t ipv4, uint16_t port)
{
  for (uint32_t i = 0; i < LC_REPLICA_PEERS_MAX && replica->peers[i] != NULL; i++)
    if (replica->peers[i]->ipv4 == ipv4 && replica->peers[i]->port == port)
      return replica->peers[i];
  return NULL;
}

/* === shared: members ======================================================================== */

bool
lc_replica__has_disk (const LcReplica *replica)
{
  return replica->desc.settings->data_folder[0] != '\0';
}

uint64_t
lc_replica__committed_members (const LcReplica *replica, LcRaftConfig *members)
{
  const LcRaft *raft = &replica->raft;

  if (!replica->is_formed)
    {
      *members = replica->reported.members;
      return replica->reported.members_index;
    }
  *members = raft->config;
  return raft->config_index <= raft->commit_index ? lc_raft_config_as_of (raft) + 1 : 0;
}

static bool
lc_replica__was_removed (const LcReplica *replica,
                         const LcReplicaPeer *peer,
                         const LcReplicaMembership *reported)
{
  const LcRaft *raft = &replica->raft;
  int64_t silence_us = lc_raft_leader_silence_us (raft);
  LcHealSelf self = { .id = replica->id,
                      .members = &raft->config,
                      .members_index = lc_raft_config_as_of (raft),
                      .silent_us = silence_us >= 0 ? silence_us
                                                   : lc_replica__now_us () - replica->formed_us };

  return replica->is_formed && peer->cluster == replica->cluster && reported->members_index > 0 &&
         lc_heal_is_removed (&self, &reported->members, reported->members_index - 1);
}

void
lc_replica__update_membership (LcReplica *replica,
                               const LcReplicaPeer *peer,
                               const LcReplicaMembership *reported)
{
  bool has_changed;

  if (lc_replica__was_removed (replica, peer, reported))
    replica->is_removed = true;
  if (replica->is_formed || reported->members_index == 0 ||
      reported->members_index < replica->reported.members_index)
    return;
  has_changed = reported->members_index != replica->reported.members_index;
  replica->reported = *reported;
  lc_replica__connect_reported (replica); /* a hello is sent when a link is up */
  if (has_changed)
    replica->desc.members_changed (replica->desc.user);
}

bool
lc_replica__is_reported_member (const LcReplica *replica, const LcReplicaPeer *peer)
{
  return lc_raft_config_find_address (&replica->reported.members, peer->ipv4, peer->port) != NULL;
}

void
lc_replica__connect_reported (LcReplica *replica)
{
  const LcRaftConfig *members = &replica->reported.members;

  for (uint32_t i = 0; i < members->n_members; i++)
    (void)lc_replica__ensure_peer (replica, members->members[i].ipv4,
                                   members->members[i].peer_port);
}

void
lc_replica__probe_members (LcReplica *replica)
{
  const LcRaftConfig *members = &replica->raft.config;

  for (uint32_t i = 0; i < members->n_members; i++)
    {
      const LcRaftMember *member = &members->members[i];
      LcReplicaPeer *peer = lc_replica__find_peer (replica, member->ipv4, member->peer_port);

      if (peer != NULL && member->id != replica->id)
        lc_replica__send_hello (peer, lc_link_client_link (&peer->client));
    }
}

/* === shared: starting over ================================================================== */

static void
lc_replica__reset_state (LcReplica *replica)
{
  LC_WARN (
      "control.removed", "replica", LC_U64 (replica->id), "meaning",
      LC_STR ("the cluster has removed this VM: it empties its data folder and becomes a standby "
              "under a new id"));
  lc_store_task_finish (&replica->task);
  lc_raft_finish (&replica->raft);
  memset (&replica->raft, 0, sizeof replica->raft);
  replica->is_formed = false;
  replica->logged_leader = 0;
  replica->proposed_index = 0;
  replica->log_bytes = 0;
  replica->snapshot_index = 0;
  replica->is_snapshotting = false;
  replica->has_disk_full = false;
  memset (&replica->reported, 0, sizeof replica->reported);
  lc_control_state_finish (&replica->state);
  lc_control_state_init (&replica->state);
  g_array_set_size (replica->ops, 0);
  replica->desc.applied (replica->desc.user, NULL, 0, true);
}

/* If the disk fails, the next tick tries again; until then hello replies still carry the cluster,
 * so that this VM isn't added as a blank one. */
void
lc_replica__start_over (LcReplica *replica)
{
  LcError error = { 0 };
  LcDisk disk = lc_disk_posix_interface (&replica->disk);
  LcStoreDesc desc = { .disk = disk };
  int r;

  if (replica->is_formed)
    lc_replica__reset_state (replica);
  lc_store_finish (&replica->store);
  lc_store_init (&replica->store, &desc);
  r = lc_store_discard (&replica->store, &error);
  lc_store_finish (&replica->store);
  lc_store_recovered_finish (&replica->recovered);
  if (r == 0)
    r = lc_replica__open_store (replica, &error);
  else
    lc_store_init (&replica->store, &desc);
  if (r == 0)
    {
      replica->is_removed = false;
      LC_INFO ("control.stands-by", "replica", LC_U64 (replica->id));
      return;
    }
  if (lc_log_allow (&replica->log_limit, lc_replica__now_us (), 1))
    LC_ERROR ("control.start-over-failed", "message", LC_STR (error.message), "remedy",
              LC_STR (error.remedy));
}

/* === public ================================================================================= */

bool
lc_replica_is_standby (const LcReplica *replica)
{
  return !replica->is_formed && replica->reported.members.n_members > 0;
}

const LcReplicaPeer *
lc_replica_redirect_target (const LcReplica *replica)
{
  int64_t oldest_us = lc_replica__now_us () - LC_REPLICA_REDIRECT_MAX_AGE_US;
  const LcRaftConfig *members = &replica->reported.members;
  const LcReplicaPeer *found = NULL;

  for (uint32_t i = 0; i < members->n_members; i++)
    {
      const LcReplicaPeer *peer =
          lc_replica__find_peer (replica, members->members[i].ipv4, members->members[i].peer_port);

      if (peer == NULL || peer->received_us < oldest_us || peer->cluster == 0)
        continue;
      if (found == NULL || peer->id == replica->reported.leader)
        found = peer;
    }
  return found;
}

uint32_t
lc_replica_member_addresses (const LcReplica *replica, LcSocketAddress *out, uint32_t max)
{
  const LcRaftConfig *members =
      replica->is_formed ? &replica->raft.config : &replica->reported.members;
  uint32_t n = 0;

  for (uint32_t i = 0; i < members->n_members && n < max; i++)
    out[n++] = (LcSocketAddress){ .ipv4 = members->members[i].ipv4,
                                  .port = members->members[i].peer_port };
  return n;
}
