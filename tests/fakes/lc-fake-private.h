/* lc-fake-private: what the sources of lc-fake-cluster share.
 *
 *   lc-fake-cluster.c    lifetime, event queue, faults, queries
 *   lc-fake-member.c     a member's messages, log, disk and clock
 *   lc-fake-check.c      invariants
 *   lc-fake-operators.c  operators' commands, member replacement
 */
#ifndef LC_FAKE_PRIVATE_H
#define LC_FAKE_PRIVATE_H

#include "lc-fake-cluster.h"

enum
{
  LC_FAKE_TICK_US = 10000,
  LC_FAKE_RESEND_US = 400000,
  LC_FAKE_ENDPOINTS = 6,
  LC_FAKE_DIGEST_EVERY = 16,
  LC_FAKE_CLUSTER_ID = 7,
};

typedef enum
{
  LC_FAKE_DELIVER,
  LC_FAKE_FORWARD,
  LC_FAKE_TICK,
  LC_FAKE_STORED,
  LC_FAKE_OPERATOR,
  LC_FAKE_LEADER_STEP,
} LcFakeEventKind;

typedef struct
{
  int64_t at_us;
  uint64_t sequence;
  LcFakeEventKind kind;
  uint32_t node; /* or operator */
  uint32_t epoch;
  GBytes *bytes;
} LcFakeEvent;

typedef struct
{
  LcReplicaId id;
  LcFakeDisk *disk;
  LcStore store;
  LcRaft raft;
  LcControlState state;
  uint32_t epoch; /* rises at a crash; events of earlier ones are void */
  bool is_up;
  bool is_gone; /* its disk is lost for good */
  bool is_writing;
  LcRaftPersist persist;
  int64_t paused_until_us;
  int64_t clock_offset_us;
  int64_t next_step_us;
  LcRevision seen_revision;
  uint64_t snapshot_index;
  char name[LC_NAME_MAX];
} LcFakeNode;

typedef struct
{
  LcControlCommand command;
  bool is_waiting;
  bool has_asked; /* the answer was checked with another member too */
  int64_t asked_us;
  int64_t resend_us;
  uint64_t plan_id;
  LcControlAnswer answer;
} LcFakeOperator;

struct LcFakeCluster
{
  LcFakeClusterDesc desc;
  GSequence *events;
  uint64_t sequence;
  uint64_t random;
  int64_t now_us;
  LcFakeNode nodes[LC_FAKE_NODES_MAX];
  uint32_t n_nodes;
  bool is_cut[LC_FAKE_NODES_MAX][LC_FAKE_NODES_MAX];
  LcFakeOperator operators[8];
  GHashTable *committed; /* index -> hash of the entry */
  GHashTable *leaders;   /* term -> replica id */
  GHashTable *digests;   /* index -> digest of the view */
  GHashTable *answered;  /* request id -> LcControlAnswer */
  uint64_t acknowledged; /* highest index of an operator's answer */
  uint64_t next_request;
  int replaced; /* node, or -1 */
  int replacement;
  GArray *commit_us;
  LcFakeVerdict verdict;
};

/* lc-fake-cluster.c */
int64_t lc_fake__random_between (LcFakeCluster *c, int64_t min, int64_t max);
void lc_fake__schedule (
    LcFakeCluster *c, int64_t at_us, LcFakeEventKind kind, uint32_t node, GBytes *bytes);
int64_t lc_fake__clock (const LcFakeCluster *c, const LcFakeNode *n);

/* lc-fake-check.c */
void lc_fake__check_view (LcFakeCluster *c, LcFakeNode *n);
void lc_fake__check_entry (LcFakeCluster *c, const LcRaftEntry *e);
void lc_fake__check_leader (LcFakeCluster *c, const LcFakeNode *n);
void lc_fake__check_read (LcFakeCluster *c, LcFakeNode *n);

/* lc-fake-member.c */
int lc_fake__node_of (const LcFakeCluster *c, LcReplicaId id);
void lc_fake__pump (LcFakeCluster *c, LcFakeNode *n);
void lc_fake__on_stored (LcFakeCluster *c, LcFakeNode *n);
void lc_fake__on_deliver (LcFakeCluster *c, LcFakeNode *n, GBytes *bytes);
void lc_fake__on_tick (LcFakeCluster *c, LcFakeNode *n);
void lc_fake__propose (LcFakeCluster *c, uint32_t node, GBytes *bytes, bool may_forward);

/* lc-fake-operators.c */
void lc_fake__record_answer (LcFakeCluster *c,
                             const LcControlCommand *command,
                             const LcControlAnswer *answer);
void lc_fake__new_request (LcFakeCluster *c, LcControlCommand *command, LcControlCommandKind kind);
void lc_fake__declare (LcFakeCluster *c, LcIntent *intent);
void lc_fake__on_operator (LcFakeCluster *c, uint32_t index);
void lc_fake__on_leader_step (LcFakeCluster *c);

#endif /* LC_FAKE_PRIVATE_H */
