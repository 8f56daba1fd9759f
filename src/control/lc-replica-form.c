#include "lc-replica-private.h"

#include "io/lc-clock.h"

#include "core/control/lc-heal.h"
#include "lc-control-frames.h"
#include "proto/lc-control.pb-c.h"

#include <string.h>
#include <xxhash.h>

enum
{
  LC_REPLICA_REPLY_MAX_AGE_US = 2000000, /* older hello replies don't count for forming */
};

/* === forming ================================================================================ */

static void
lc_replica__join_cluster (LcReplica *replica, uint64_t cluster, const LcRaftConfig *initial)
{
  LcError error = { 0 };

  if (lc_store_set_cluster (&replica->store, cluster, initial, &error) < 0)
    {
      LC_ERROR ("control.form-failed", "message", LC_STR (error.message), "remedy",
                LC_STR (error.remedy));
      return;
    }
  replica->cluster = cluster;
  if (initial != NULL)
    replica->recovered.initial = *initial;
  LC_INFO ("control.joined", "cluster", LC_U64 (cluster), "replica", LC_U64 (replica->id),
           "members", LC_U64 (initial != NULL ? initial->n_members : 0));
  lc_replica__start_raft (replica);
}

static void
lc_replica__add_first_member (LcRaftConfig *config,
                              LcReplicaId id,
                              const char *name,
                              const LcSocketAddress *address)
{
  LcRaftMember member = { .id = id, .ipv4 = address->ipv4, .peer_port = address->port };

  (void)g_strlcpy (member.name, name, sizeof member.name);
  (void)lc_raft_config_put (config, &member);
}

/* The first members: the VMs of `members` that have a disk.  False unless each VM replied lately
 * that it is in no cluster; then all of them arrive at the same list. */
static bool
lc_replica__collect_first_members (LcReplica *replica, LcRaftConfig *config)
{
  const LcControlSettings *s = replica->desc.settings;
  int64_t oldest_us = lc_replica__now_us () - LC_REPLICA_REPLY_MAX_AGE_US;
  uint32_t n_without_disk = 0;

  memset (config, 0, sizeof *config);
  for (uint32_t i = 0; i < s->n_members; i++)
    {
      const LcReplicaPeer *peer;

      if (lc_replica__is_self (replica, &s->members[i]))
        {
          lc_replica__add_first_member (config, replica->id, s->name, &s->members[i]);
          continue;
        }
      peer = lc_replica__ensure_peer (replica, s->members[i].ipv4, s->members[i].port);
      if (peer == NULL || peer->received_us == 0 || peer->cluster != 0 ||
          peer->received_us < oldest_us)
        return false;
      if (peer->has_no_disk)
        n_without_disk++;
      else
        lc_replica__add_first_member (config, peer->id, peer->name, &s->members[i]);
    }
  return config->n_members + n_without_disk == s->n_members &&
         lc_raft_config_find (config, replica->id) != NULL;
}

/* A peer in a cluster, if possible one that lists this replica as a first member; or NULL. */
static const LcReplicaPeer *
lc_replica__find_formed_peer (LcReplica *replica)
{
  const LcReplicaPeer *found = NULL;

  for (uint32_t i = 0; i < LC_REPLICA_PEERS_MAX && replica->peers[i] != NULL; i++)
    {
      const LcReplicaPeer *peer = replica->peers[i];

      if (peer->cluster != 0 && lc_raft_config_find (&peer->initial, replica->id) != NULL)
        return peer;
      if (peer->cluster != 0)
        found = peer;
    }
  return found;
}

static void
lc_replica__log_waiting (LcReplica *replica, const LcReplicaPeer *peer)
{
  if (replica->is_waiting_logged)
    return;
  replica->is_waiting_logged = true;
  LC_WARN (
      "control.waiting", "message",
      LC_STR ("this VM has a new data folder, or none, and the cluster is formed without it"),
      "peer", LC_STR (peer->name), "remedy",
      LC_STR ("none is needed where control VMs replace each other (setting `heals`); else add "
              "it by `lychee plan replace-control-vm OLD --with NAME=ADDRESS:PORT`"));
}

void
lc_replica__form_step (LcReplica *replica)
{
  const LcReplicaPeer *formed = lc_replica__find_formed_peer (replica);
  LcRaftConfig config;
  GBytes *bytes;
  gsize len;
  const guint8 *data;

  if (formed != NULL && lc_raft_config_find (&formed->initial, replica->id) != NULL)
    {
      lc_replica__join_cluster (replica, formed->cluster, &formed->initial);
      return;
    }
  if (formed != NULL)
    lc_replica__log_waiting (replica, formed);
  else if (replica->desc.settings->may_form && lc_replica__has_disk (replica) &&
           lc_replica__collect_first_members (replica, &config))
    {
      bytes = lc_raft_config_encode (&config);
      data = g_bytes_get_data (bytes, &len);
      lc_replica__join_cluster (replica, XXH3_64bits (data, len) | 1, &config);
      g_bytes_unref (bytes);
      return;
    }
  lc_replica__probe_all (replica);
}

/* A log message to this replica's random id proves that the sender's cluster added it: only VMs
 * that received its hello replies hold the id.  A first member also needs the list of first
 * members, which is not in the log. */
bool
lc_replica__join_if_added (LcReplica *replica, const LcRaftMessage *message, uint64_t cluster)
{
  const LcReplicaPeer *formed = lc_replica__find_formed_peer (replica);

  if (replica->is_removed || message->to != replica->id || cluster == 0 || formed == NULL ||
      formed->cluster != cluster)
    return false;
  if (lc_raft_config_find (&formed->initial, replica->id) != NULL)
    lc_replica__join_cluster (replica, cluster, &formed->initial);
  else
    lc_replica__join_cluster (replica, cluster, NULL);
  return replica->is_formed;
}

/* === healing ================================================================================ */

static void
lc_replica__propose_change (LcReplica *replica, LcRaftChange change, const LcRaftMember *member)
{
  static const char *const NAMES[] = { "", "add-learner", "promote", "remove" };
  LcError error = { 0 };
  int r = lc_raft_propose_change (&replica->raft, change, member, lc_replica__now_us (), &error);

  if (r == 0)
    LC_INFO ("control.member-change", "change", LC_STR (NAMES[change]), "member",
             LC_STR (member->name));
  else
    LC_DEBUG ("control.member-change-waits", "message", LC_STR (error.message));
  lc_replica__process_outputs (replica);
}

static void
lc_replica__observe_peer (LcReplica *replica, const LcReplicaPeer *peer, LcHealReplica *seen)
{
  const LcRaftProgress *progress = lc_raft_progress (&replica->raft, peer->id);
  int64_t silent_us = lc_replica__now_us () - peer->received_us;

  memset (seen, 0, sizeof *seen);
  seen->id = peer->id;
  seen->ipv4 = peer->ipv4;
  seen->port = peer->port;
  seen->is_blank = peer->cluster == 0;
  seen->silent_us = silent_us;
  if (progress != NULL)
    {
      seen->has_caught_up = lc_raft_has_caught_up (&replica->raft, peer->id);
      seen->silent_us = MIN (silent_us, replica->raft.clock_us - progress->reply_clock_us);
    }
  (void)g_strlcpy (seen->name, peer->name, sizeof seen->name);
}

void
lc_replica__heal_step (LcReplica *replica)
{
  LcHealDesc desc = { .self = replica->id,
                      .n_voters = lc_control_settings_voters (replica->desc.settings) };
  LcHealReplica seen[LC_REPLICA_PEERS_MAX];
  LcHealChange change;
  uint32_t n = 0;

  for (uint32_t i = 0; i < LC_REPLICA_PEERS_MAX && replica->peers[i] != NULL; i++)
    {
      lc_replica__probe_if_silent (replica, replica->peers[i]);
      if (replica->peers[i]->id != 0)
        lc_replica__observe_peer (replica, replica->peers[i], &seen[n++]);
    }
  if (lc_heal_next (&desc, &replica->raft.config, seen, n, &change))
    lc_replica__propose_change (replica, change.kind, &change.member);
}

/* === replacing a member ===================================================================== */

/* The member to remove: it has the old name and is not the replacement. */
static const LcRaftMember *
lc_replica__find_outgoing (const LcReplica *replica, LcReplicaId replacement)
{
  for (uint32_t i = 0; i < replica->raft.config.n_members; i++)
    {
      const LcRaftMember *member = &replica->raft.config.members[i];

      if (member->id != replacement && strcmp (member->name, replica->state.replace.old_name) == 0)
        return member;
    }
  return NULL;
}

static void
lc_replica__finish_replace (LcReplica *replica)
{
  LcControlCommand command = { .kind = LC_COMMAND_REPLACED };
  LcError error = { 0 };

  command.plan_id = replica->state.replace.plan_id;
  command.wall_us = lc_clock_wall_us ();
  (void)g_strlcpy (command.who, replica->desc.settings->name, sizeof command.who);
  (void)lc_replica_propose (replica, &command, &error);
}

/* One change at a time, each derived from the configuration in the log, so that a new leader
 * continues where the old one stopped. */
void
lc_replica__replace_step (LcReplica *replica)
{
  const LcControlAddress *to = &replica->state.replace.replacement;
  LcReplicaPeer *peer = lc_replica__ensure_peer (replica, to->ipv4, to->peer_port);
  const LcRaftMember *known;
  const LcRaftMember *outgoing;
  LcRaftMember member = { .is_learner = true };

  if (peer == NULL || peer->id == 0 || (peer->cluster != 0 && peer->cluster != replica->cluster))
    {
      if (peer != NULL)
        lc_replica__send_hello (peer, lc_link_client_link (&peer->client));
      return;
    }
  known = lc_raft_config_find (&replica->raft.config, peer->id);
  outgoing = lc_replica__find_outgoing (replica, peer->id);
  member.id = peer->id;
  member.ipv4 = to->ipv4;
  member.peer_port = to->peer_port;
  member.http_port = to->http_port;
  (void)g_strlcpy (member.name, to->name, sizeof member.name);
  if (known == NULL)
    lc_replica__propose_change (replica, LC_RAFT_ADD_LEARNER, &member);
  else if (known->is_learner)
    lc_replica__propose_change (replica, LC_RAFT_PROMOTE, &member);
  else if (outgoing == NULL)
    lc_replica__finish_replace (replica);
  else if (outgoing->id == replica->id)
    lc_raft_transfer_leadership (&replica->raft, lc_replica__now_us ());
  else
    lc_replica__propose_change (replica, LC_RAFT_REMOVE, outgoing);
}
