/* lc-replica-private: what the parts of lc-replica share.
 *
 *   lc-replica.c          lifetime, pumping the log, disk reports, frames, proposals
 *   lc-replica-peers.c    links to other control VMs, greetings
 *   lc-replica-form.c     forming the cluster, healing, replacing a member
 *   lc-replica-standby.c  learning of a cluster that it does not belong to, starting over
 *   lc-replica-metrics.c
 */
#ifndef LC_REPLICA_PRIVATE_H
#define LC_REPLICA_PRIVATE_H

#include "lc-replica.h"

/* The clock of elections and leases: it goes on while the VM is suspended. */
int64_t lc_replica__now_us (void);
void lc_replica__init_metrics (LcReplica *replica);
void lc_replica__update_metrics (LcReplica *replica);
/* Carries out everything that the log wants done now. */
void lc_replica__pump (LcReplica *replica);
/* Starts the log once the cluster is known. */
void lc_replica__start_raft (LcReplica *replica);
void lc_replica__on_frame (void *user, LcLink *link, const LcFrame *frame);

LcReplicaPeer *lc_replica__peer (LcReplica *replica, uint32_t ipv4, uint16_t port);
void lc_replica__free_peers (LcReplica *replica);
/* A log message came from this address: it is answered there, whether or not this VM's own list of
 * members names it. */
void lc_replica__note_sender (LcReplica *replica, LcReplicaId from, uint32_t ipv4, uint16_t port);
/* Opens the links to the members: a vote that finds no link is lost, and costs an election timeout.
 */
void lc_replica__link_members (LcReplica *replica);
/* Closes links to VMs that are members no more; outside of any link's callback. */
void lc_replica__expire_peers (LcReplica *replica);
void lc_replica__on_hello (LcReplica *replica, LcLink *link, const LcFrame *frame);
void lc_replica__say_hello (LcReplicaPeer *peer, LcLink *link);
void lc_replica__answer_hello (LcReplica *replica, LcLink *link);
void lc_replica__on_hello_reply (LcReplica *replica, LcLink *link, const LcFrame *frame);
/* The newest committed members, those that this VM leads by or has learned; returns one more than
 * where in the log they were set (1: as the cluster was formed), 0: none is known. */
uint64_t lc_replica__members (const LcReplica *replica, LcRaftConfig *members);
/* A reply names the members: a VM that stands by greets them, too; one that they leave out, though
 * it was one of them, starts over at the next tick. */
void
lc_replica__learn (LcReplica *replica, const LcReplicaPeer *peer, const LcReplicaLearned *learned);
bool lc_replica__is_learned (const LcReplica *replica, const LcReplicaPeer *peer);
/* A member that knows no leader asks the others, one of which may know that it was removed. */
void lc_replica__greet_members (LcReplica *replica);
void lc_replica__link_learned (LcReplica *replica);
void lc_replica__start_over (LcReplica *replica);
/* Opens the data folder and gives an empty one its replica id. */
int lc_replica__open_store (LcReplica *replica, LcError *error);
bool lc_replica__has_disk (const LcReplica *replica);
/* A log message reached a VM that belongs to no cluster yet: whether it may join. */
bool lc_replica__may_join (LcReplica *replica, const LcRaftMessage *message, uint64_t cluster);
void lc_replica__form_step (LcReplica *replica);
bool lc_replica__is_self (const LcReplica *replica, const LcSocketAddress *address);
void lc_replica__greet_all (LcReplica *replica);
void lc_replica__greet_unsure (LcReplica *replica, LcReplicaPeer *peer);
void lc_replica__greet_strangers (LcReplica *replica);
void lc_replica__replace_step (LcReplica *replica);
/* The next step towards the wanted number of voters; on the leader. */
void lc_replica__heal_step (LcReplica *replica);

#endif /* LC_REPLICA_PRIVATE_H */
