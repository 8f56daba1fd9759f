/* lc-lychee-world: the fake network and processes of the policy `lychee` in lychee-bench request.
 *
 * WHAT IT IS
 *   lc-request-lychee.c  messages in, time, the run
 *   lc-lychee-net.c      the heap of events, delays and cuts
 *   lc-lychee-act.c      what agents and balancers decided to do
 *   lc-lychee-view.c     operations of the view, starts and stops of processes
 */
#ifndef LC_LYCHEE_WORLD_H
#define LC_LYCHEE_WORLD_H

#include "core/request/lc-request-agent.h"
#include "core/request/lc-request-balancer.h"
#include "lc-request-sim.h"
#include <string.h>

enum
{
  LC_LYCHEE_TICK_US = 5000,
  LC_LYCHEE_LEASE_US = 3000000,
  LC_LYCHEE_SPREAD_US = 100000,          /* an update reaches processes within this time */
  LC_LYCHEE_BALANCER = LC_SIM_ENDPOINTS, /* process numbers: agents, then balancers */
  LC_LYCHEE_PROCESSES = LC_SIM_ENDPOINTS + LC_SIM_BALANCERS,
  LC_LYCHEE_COPIES = 4,
};

typedef enum
{
  LC_EV_ARRIVE,
  LC_EV_TICK,
  LC_EV_REPORT,
  LC_EV_VIEW, /* a process applies the operations up to `n_ops` */
  LC_EV_OPEN, /* the plan of the case: an endpoint comes or goes */
  LC_EV_LOST, /* the lease of a dead agent has expired */
  LC_EV_RUN_END,
  LC_EV_ATTEMPT,
  LC_EV_CANCEL,
  LC_EV_ANSWER,
  LC_EV_REFUSE,
  LC_EV_LINK_DOWN,
  LC_EV_CLAIM,
  LC_EV_CLAIM_REPLY,
  LC_EV_RELEASE,
  LC_EV_READ,
  LC_EV_READ_ANSWER,
} LcEventKind;

typedef struct
{
  int64_t at_us;
  uint64_t order_of; /* of events at one time */
  LcEventKind kind;
  uint32_t to;   /* process */
  uint32_t from; /* process */
  LcInstance to_instance;
  union
  {
    uint32_t order; /* ARRIVE */
    guint n_ops;    /* VIEW */
    struct
    {
      uint64_t run_id;
      LcRunResult how;
      int64_t started_us;
    } run;
    struct
    {
      LcAgentAttempt attempt;
      int64_t left_us;
      uint32_t order;
    } attempt;
    LcAttemptId ask;
    struct
    {
      LcAttemptRef ref;
      uint32_t order; /* whose answer it is */
      bool is_whole;
      LcRefusal refusal;
      int64_t retry_after_us;
      LcPickReport report;
      LcInstance reporter;
    } back;
    uint64_t link_id;
    struct
    {
      LcMemberRef home;
      LcMemberRef owner;
      LcRequestKey key;
      uint64_t sequence;
      LcRevision era;
      int64_t keep_us;
    } claim;
    LcClaimReply reply;
    struct
    {
      LcMemberRef reader;
      LcRevision era;
      LcClaimSource source;
      GArray *members; /* owned by the event */
      GArray *holds;   /* owned by the event */
    } read;
  };
} LcEvent;

typedef struct
{
  bool is_alive;
  LcInstance instance;
  LcView view;
  guint n_applied;
  LcRequestAgent agent;
  LcRequestBalancer balancer;
  GHashTable *payloads; /* agents: run id -> order + 1 */
  GHashTable *flights;  /* balancers: flight id -> LcCopy */
  GHashTable *started;  /* agents: run id -> start */
} LcNode;

/* One copy of an order on its way. */
typedef struct
{
  uint32_t order;
  LcRequestId id;
  LcRequestKey key;
  bool is_caller_key;
  uint64_t digest;
} LcCopy;

typedef struct
{
  LcSim *sim;
  GPtrArray *heap;
  uint64_t n_events;
  int64_t now_us;
  LcNode nodes[LC_LYCHEE_PROCESSES];
  GArray *ops;
  LcRevision revision;
  uint64_t next_random;
  uint64_t next_instance;
} LcLychee;

LcEvent *lc_lychee__push (LcLychee *l, LcEventKind kind, uint32_t to, int64_t at_us);
LcEvent *lc_lychee__pop (LcLychee *l);
uint32_t lc_lychee__dc (uint32_t process);
bool lc_lychee__is_cut (const LcLychee *l, uint32_t a, uint32_t b);
LcEvent *lc_lychee__message (LcLychee *l, LcEventKind kind, uint32_t from, uint32_t to);
uint64_t lc_lychee__link (const LcLychee *l, uint32_t balancer, uint32_t agent);
uint32_t lc_lychee__link_balancer (uint64_t link_id);
uint32_t lc_lychee__member (LcMemberRef ref);
LcPickReport lc_lychee__report (const LcNode *node);
void lc_lychee__count_busy (LcLychee *l, uint32_t p, uint64_t run_id);
void lc_lychee__act_agent (LcLychee *l, uint32_t p);
void lc_lychee__order_over (LcLychee *l, uint32_t index, uint32_t p);
uint32_t lc_lychee__flight_order (LcLychee *l, uint32_t p, uint64_t flight_id);
void lc_lychee__act_balancer (LcLychee *l, uint32_t p);
void lc_lychee__start_copy (LcLychee *l, uint32_t index, uint32_t p);
void lc_lychee__op_endpoint (LcLychee *l, uint32_t i, LcEndpointState state);
void lc_lychee__op_service (LcLychee *l);
void lc_lychee__apply (LcLychee *l, uint32_t p, guint n_ops);
void lc_lychee__publish (LcLychee *l);
void lc_lychee__start_node (LcLychee *l, uint32_t p);
void lc_lychee__stop_node (LcLychee *l, uint32_t p);
void lc_lychee__open (LcLychee *l, uint32_t p);
void lc_lychee__end_drains (LcLychee *l);

#endif /* LC_LYCHEE_WORLD_H */
