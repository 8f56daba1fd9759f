#include "lc-replica-private.h"

#include "lc-control-frames.h"
#include "proto/lc-control.pb-c.h"

#include <string.h>

enum
{
  LC_REPLICA_BACKOFF_MAX_MS = 200,
  LC_REPLICA_HELLO_AFTER_US = 500000,   /* after contact within this no hello is needed */
  LC_REPLICA_PEER_EXPIRY_US = 30000000, /* silence after which the link to a non-member is closed */
};

/* === peers ================================================================================== */

void
lc_replica__send_hello (LcReplicaPeer *peer, LcLink *link)
{
  Lc__Wire__ControlHello hello = LC__WIRE__CONTROL_HELLO__INIT;

  hello.replica = peer->replica->id;
  hello.cluster = peer->replica->cluster;
  hello.name = (char *)peer->replica->desc.settings->name;
  hello.ipv4 = peer->replica->desc.settings->ipv4;
  hello.port = peer->replica->desc.settings->peer_port;
  (void)lc_link_send (link, LC_FRAME_CONTROL_HELLO, &hello.base);
}

static void
lc_replica__on_peer_up (void *user, LcLink *link)
{
  LcReplicaPeer *peer = user;

  LC_INFO ("control.peer-up", "ipv4", LC_U64 (peer->ipv4), "port", LC_U64 (peer->port));
  lc_replica__send_hello (peer, link);
}

static void
lc_replica__on_peer_down (void *user, LcLink *link, const char *why)
{
  LcReplicaPeer *peer = user;

  (void)link;
  LC_INFO ("control.peer-down", "ipv4", LC_U64 (peer->ipv4), "port", LC_U64 (peer->port), "why",
           LC_STR (why));
}

static void
lc_replica__on_peer_frame (void *user, LcLink *link, const LcFrame *frame)
{
  LcReplicaPeer *peer = user;

  lc_link_set_peer (link, peer);
  lc_replica__on_frame (peer->replica, link, frame);
}

static LcReplicaPeer *
lc_replica__add_peer (LcReplica *replica, uint32_t index, uint32_t ipv4, uint16_t port)
{
  LcReplicaPeer *peer = g_new0 (LcReplicaPeer, 1);
  LcLinkClientDesc desc = { .loop = replica->desc.app->loop,
                            .ipv4 = ipv4,
                            .port = port,
                            .source_ipv4 = replica->desc.settings->ipv4,
                            .backoff_max_ms = LC_REPLICA_BACKOFF_MAX_MS,
                            .connect_timeout_ms = replica->desc.settings->connect_timeout_ms,
                            .handler = { peer, lc_replica__on_peer_frame, lc_replica__on_peer_up,
                                         lc_replica__on_peer_down } };

  peer->replica = replica;
  peer->ipv4 = ipv4;
  peer->port = port;
  replica->peers[index] = peer;
  lc_link_client_init (&peer->client, &desc);
  return peer;
}

LcReplicaPeer *
lc_replica__ensure_peer (LcReplica *replica, uint32_t ipv4, uint16_t port)
{
  for (uint32_t i = 0; i < LC_REPLICA_PEERS_MAX; i++)
    {
      LcReplicaPeer *peer = replica->peers[i];

      if (peer == NULL)
        return lc_replica__add_peer (replica, i, ipv4, port);
      if (peer->ipv4 == ipv4 && peer->port == port)
        return peer;
    }
  return NULL;
}

void
lc_replica__free_peers (LcReplica *replica)
{
  for (uint32_t i = 0; i < LC_REPLICA_PEERS_MAX && replica->peers[i] != NULL; i++)
    {
      lc_link_client_finish (&replica->peers[i]->client);
      g_free (replica->peers[i]);
      replica->peers[i] = NULL;
    }
}

void
lc_replica__update_sender (LcReplica *replica, LcReplicaId from, uint32_t ipv4, uint16_t port)
{
  LcReplicaPeer *peer = NULL;

  if (ipv4 != 0 && port != 0)
    peer = lc_replica__ensure_peer (replica, ipv4, port);
  if (peer == NULL)
    return;
  peer->id = from;
  peer->received_us = lc_replica__now_us ();
}

void
lc_replica__connect_members (LcReplica *replica)
{
  const LcRaftConfig *config = &replica->raft.config;

  for (uint32_t i = 0; i < config->n_members; i++)
    if (config->members[i].id != replica->id)
      (void)lc_replica__ensure_peer (replica, config->members[i].ipv4,
                                     config->members[i].peer_port);
}

static bool
lc_replica__is_seed (const LcReplica *replica, const LcReplicaPeer *peer)
{
  for (uint32_t i = 0; i < replica->n_seeds; i++)
    if (replica->seeds[i].ipv4 == peer->ipv4 && replica->seeds[i].port == peer->port)
      return true;
  return false;
}

static bool
lc_replica__should_keep_peer (const LcReplica *replica, const LcReplicaPeer *peer)
{
  const LcControlReplace *replace = &replica->state.replace;

  if (lc_raft_config_find_address (&replica->raft.config, peer->ipv4, peer->port) != NULL)
    return true;
  if (lc_replica__is_seed (replica, peer) ||
      (!replica->is_formed && lc_replica__is_reported_member (replica, peer)))
    return true;
  if (replace->is_active && replace->replacement.ipv4 == peer->ipv4 &&
      replace->replacement.peer_port == peer->port)
    return true;
  return lc_replica__now_us () - peer->received_us < LC_REPLICA_PEER_EXPIRY_US;
}

void
lc_replica__expire_peers (LcReplica *replica)
{
  uint32_t n_kept = 0;

  for (uint32_t i = 0; i < LC_REPLICA_PEERS_MAX && replica->peers[i] != NULL; i++)
    {
      LcReplicaPeer *peer = replica->peers[i];

      replica->peers[i] = NULL;
      if (lc_replica__should_keep_peer (replica, peer))
        replica->peers[n_kept++] = peer;
      else
        {
          lc_link_client_finish (&peer->client);
          g_free (peer);
        }
    }
}

/* === hello ================================================================================== */

/* A VM that sent a hello is up: connects to it now if the link waits for its next attempt.  Log
 * messages go over this VM's own link only, so after a start of all VMs waiting delays recovery. */
static void
lc_replica__connect_back (LcReplica *replica, uint32_t ipv4, uint16_t port)
{
  LcReplicaPeer *peer = lc_replica__ensure_peer (replica, ipv4, port);

  if (peer != NULL && lc_link_client_link (&peer->client) == NULL)
    lc_link_client_retarget (&peer->client, ipv4, port);
}

/* Connects back to a blank replica, to record it as a standby.  A replica in no cluster connects
 * back to every sender: their replies list the members. */
void
lc_replica__on_hello (LcReplica *replica, LcLink *link, const LcFrame *frame)
{
  Lc__Wire__ControlHello *m =
      lc__wire__control_hello__unpack (NULL, frame->payload_len, frame->payload);

  if (m == NULL)
    {
      lc_metric_add (replica->metrics.malformed_total, 1);
      return;
    }
  if (m->replica != 0 && m->replica != replica->id && m->ipv4 != 0 && m->port != 0 &&
      m->port <= UINT16_MAX &&
      (m->cluster == 0 || !replica->is_formed ||
       lc_raft_config_find_address (&replica->raft.config, m->ipv4, (uint16_t)m->port) != NULL))
    lc_replica__connect_back (replica, m->ipv4, (uint16_t)m->port);
  lc__wire__control_hello__free_unpacked (m, NULL);
  lc_replica__send_hello_reply (replica, link);
}

void
lc_replica__send_hello_reply (LcReplica *replica, LcLink *link)
{
  Lc__Wire__ControlHelloReply reply = LC__WIRE__CONTROL_HELLO_REPLY__INIT;
  GBytes *initial = lc_raft_config_encode (&replica->recovered.initial);
  LcRaftConfig config;
  uint64_t members_index = lc_replica__committed_members (replica, &config);
  GBytes *members = members_index > 0 ? lc_raft_config_encode (&config) : NULL;
  gsize len;

  reply.replica = replica->id;
  reply.cluster = replica->cluster;
  reply.name = (char *)replica->desc.settings->name;
  reply.initial.data = (uint8_t *)g_bytes_get_data (initial, &len);
  reply.initial.len = len;
  reply.members_index = members_index;
  reply.leader = replica->is_formed ? replica->raft.leader : replica->reported.leader;
  reply.has_no_disk = !lc_replica__has_disk (replica);
  if (members != NULL)
    {
      reply.members.data = (uint8_t *)g_bytes_get_data (members, &len);
      reply.members.len = len;
    }
  (void)lc_link_send (link, LC_FRAME_CONTROL_HELLO_REPLY, &reply.base);
  g_bytes_unref (initial);
  if (members != NULL)
    g_bytes_unref (members);
}

/* A blank replica at a member's address: that member has lost its data folder. */
static void
lc_replica__detect_lost_disk (LcReplica *replica, const LcReplicaPeer *peer)
{
  const LcRaftConfig *config = &replica->raft.config;

  for (uint32_t i = 0; replica->is_formed && peer->cluster == 0 && i < config->n_members; i++)
    if (config->members[i].ipv4 == peer->ipv4 && config->members[i].peer_port == peer->port &&
        config->members[i].id != peer->id)
      lc_raft_mark_gone (&replica->raft, config->members[i].id);
}

void
lc_replica__on_hello_reply (LcReplica *replica, LcLink *link, const LcFrame *frame)
{
  LcReplicaPeer *peer = lc_link_peer (link);
  Lc__Wire__ControlHelloReply *m =
      lc__wire__control_hello_reply__unpack (NULL, frame->payload_len, frame->payload);
  LcReplicaMembership reported = { 0 };
  LcRaftConfig initial;

  if (m == NULL || peer == NULL || strlen (m->name) >= LC_NAME_MAX ||
      lc_raft_config_decode (&initial, m->initial.data, m->initial.len) < 0 ||
      (m->members.len > 0 &&
       lc_raft_config_decode (&reported.members, m->members.data, m->members.len) < 0))
    lc_metric_add (replica->metrics.malformed_total, 1);
  else
    {
      peer->id = m->replica;
      peer->cluster = m->cluster;
      peer->has_no_disk = m->has_no_disk;
      peer->initial = initial;
      peer->received_us = lc_replica__now_us ();
      (void)g_strlcpy (peer->name, m->name, sizeof peer->name);
      lc_replica__detect_lost_disk (replica, peer);
      reported.members_index = m->members.len > 0 ? m->members_index : 0;
      reported.leader = m->leader;
      lc_replica__update_membership (replica, peer, &reported);
    }
  if (m != NULL)
    lc__wire__control_hello_reply__free_unpacked (m, NULL);
}

/* === when to send ============================================================================= */

bool
lc_replica__is_self (const LcReplica *replica, const LcSocketAddress *address)
{
  return address->ipv4 == replica->desc.settings->ipv4 &&
         address->port == replica->desc.settings->peer_port;
}

static void
lc_replica__connect_seeds (LcReplica *replica)
{
  for (uint32_t i = 0; i < replica->n_seeds; i++)
    if (!lc_replica__is_self (replica, &replica->seeds[i]))
      (void)lc_replica__ensure_peer (replica, replica->seeds[i].ipv4, replica->seeds[i].port);
}

/* Seeds may be standbys that have no other peer: a hello makes them connect to this member. */
void
lc_replica__probe_seeds (LcReplica *replica)
{
  int64_t now_us = lc_replica__now_us ();

  lc_replica__connect_seeds (replica);
  for (uint32_t i = 0; i < LC_REPLICA_PEERS_MAX && replica->peers[i] != NULL; i++)
    {
      LcReplicaPeer *peer = replica->peers[i];

      if (lc_replica__is_seed (replica, peer) &&
          (peer->received_us == 0 || now_us - peer->received_us >= LC_REPLICA_HELLO_AFTER_US))
        lc_replica__send_hello (peer, lc_link_client_link (&peer->client));
    }
}

/* Repeated to every peer: a reply sent right after a start may lack the committed members. */
void
lc_replica__probe_all (LcReplica *replica)
{
  lc_replica__connect_seeds (replica);
  lc_replica__connect_reported (replica);
  for (uint32_t i = 0; i < LC_REPLICA_PEERS_MAX && replica->peers[i] != NULL; i++)
    lc_replica__send_hello (replica->peers[i], lc_link_client_link (&replica->peers[i]->client));
}

void
lc_replica_set_seeds (LcReplica *replica, const LcSocketAddress *seeds, uint32_t n)
{
  replica->n_seeds = MIN (n, (uint32_t)LC_CONTROL_MEMBERS_MAX);
  memcpy (replica->seeds, seeds, replica->n_seeds * sizeof *seeds);
}

/* To members that don't reply to log messages, and to standbys. */
void
lc_replica__probe_if_silent (LcReplica *replica, LcReplicaPeer *peer)
{
  const LcRaftProgress *progress = lc_raft_progress (&replica->raft, peer->id);
  bool is_sure = progress != NULL &&
                 replica->raft.clock_us - progress->reply_clock_us < LC_REPLICA_HELLO_AFTER_US;

  if (!is_sure)
    lc_replica__send_hello (peer, lc_link_client_link (&peer->client));
}
