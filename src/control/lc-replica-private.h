/* lc-replica-private: functions shared by the source files of lc-replica.
 *
 *   lc-replica.c          lifetime, lc-raft's outputs, disk reports, frames, proposals
 *   lc-replica-peers.c    links to other control VMs, hellos
 *   lc-replica-form.c     forming the cluster, healing, replacing a member
 *   lc-replica-standby.c  membership as peers report it, starting over
 *   lc-replica-metrics.c
 */
#ifndef LC_REPLICA_PRIVATE_H
#define LC_REPLICA_PRIVATE_H

#include "lc-replica.h"

/* CLOCK_BOOTTIME, for elections and leases: it continues while the VM is suspended. */
int64_t lc_replica__now_us (void);
void lc_replica__init_metrics (LcReplica *replica);
void lc_replica__update_metrics (LcReplica *replica);
/* Sends, writes and applies all that lc-raft has to output. */
void lc_replica__process_outputs (LcReplica *replica);
/* Starts lc-raft; `cluster` is set. */
void lc_replica__start_raft (LcReplica *replica);
void lc_replica__on_frame (void *user, LcLink *link, const LcFrame *frame);

/* Finds the peer, or adds it and connects to it; NULL: there are too many. */
LcReplicaPeer *lc_replica__ensure_peer (LcReplica *replica, uint32_t ipv4, uint16_t port);
void lc_replica__free_peers (LcReplica *replica);
/* Replies to a log message go to its sender's address, also before the configuration in this VM's
 * log lists it. */
void lc_replica__update_sender (LcReplica *replica, LcReplicaId from, uint32_t ipv4, uint16_t port);
/* Connects to the members early: a vote without a link is lost, and costs an election timeout. */
void lc_replica__connect_members (LcReplica *replica);
/* Closes links to VMs that are not needed; not from a link's callback. */
void lc_replica__expire_peers (LcReplica *replica);
void lc_replica__on_hello (LcReplica *replica, LcLink *link, const LcFrame *frame);
void lc_replica__send_hello (LcReplicaPeer *peer, LcLink *link);
void lc_replica__send_hello_reply (LcReplica *replica, LcLink *link);
void lc_replica__on_hello_reply (LcReplica *replica, LcLink *link, const LcFrame *frame);
/* The newest committed members, from the log or, in no cluster, from peers; returns 1 + their log
 * index (1: the first members), or 0: none are known. */
uint64_t lc_replica__committed_members (const LcReplica *replica, LcRaftConfig *members);
/* Takes the members from a hello reply: a standby connects to them; a replica that was one of them
 * and is no longer starts over at the next tick. */
void lc_replica__update_membership (LcReplica *replica,
                                    const LcReplicaPeer *peer,
                                    const LcReplicaMembership *reported);
bool lc_replica__is_reported_member (const LcReplica *replica, const LcReplicaPeer *peer);
/* Sent without a leader: a reply may show that this replica was removed. */
void lc_replica__probe_members (LcReplica *replica);
void lc_replica__connect_reported (LcReplica *replica);
void lc_replica__start_over (LcReplica *replica);
/* Opens the data folder; an empty one gets a new replica id. */
int lc_replica__open_store (LcReplica *replica, LcError *error);
bool lc_replica__has_disk (const LcReplica *replica);
/* Joins the cluster of a log message to this id, if it may; returns whether it did. */
bool lc_replica__join_if_added (LcReplica *replica, const LcRaftMessage *message, uint64_t cluster);
void lc_replica__form_step (LcReplica *replica);
bool lc_replica__is_self (const LcReplica *replica, const LcSocketAddress *address);
void lc_replica__probe_all (LcReplica *replica);
void lc_replica__probe_if_silent (LcReplica *replica, LcReplicaPeer *peer);
void lc_replica__probe_seeds (LcReplica *replica);
void lc_replica__replace_step (LcReplica *replica);
/* On the leader: the next step towards the configured number of voters. */
void lc_replica__heal_step (LcReplica *replica);

#endif /* LC_REPLICA_PRIVATE_H */
