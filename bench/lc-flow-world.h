/* lc-flow-world: small fakes around the flow plane's decisions, in simulated time.
 *
 * WHAT IT IS
 *   Balancers and agents (the real lc-flow-balancer and lc-flow-agent), a fabric that sprays each
 *   packet at random, a network that delays datagrams, and a control that commits view operations
 *   and hands them to each node at its own time.  Everything follows from the seed.  The bench and
 *   the property tests run the same world; the baselines replace only the decision at the balancer.
 *
 * HOW TO USE IT
 *     LcFlowWorldDesc desc = { .seed = 1, .n_endpoints = 7, .n_balancers = 4, ... };
 *     LcFlowWorld *world = lc_flow_world_new (&desc);
 *     lc_flow_world_at (world, 5 * LC_US_PER_S, (LcFlowChange){ .kind = LC_CHANGE_DRAIN });
 *     lc_flow_world_run (world);
 *     ... read world->counts ...
 *     lc_flow_world_free (world);
 *
 * WHAT COUNTS
 *   A flow is established by its first delivery.  It is broken when a packet of it reaches another
 *   backend server, or when a packet is not delivered in LC_FLOW_WORLD_TRIES tries.
 */
#ifndef LC_FLOW_WORLD_H
#define LC_FLOW_WORLD_H

#include "core/flow/lc-flow-agent.h"
#include "core/flow/lc-flow-balancer.h"

#ifdef __cplusplus
extern "C"
{
#endif

  enum
  {
    LC_FLOW_WORLD_AGENTS = 96, /* processes at once; also addresses */
    LC_FLOW_WORLD_BALANCERS = 24,
    LC_FLOW_WORLD_ENDPOINTS = 1024, /* ids over a run */
    LC_FLOW_WORLD_TRIES = 30,       /* 21 s: more than a lease and the slowest view take together */
  };

  /* How packets are steered. */
  typedef enum
  {
    LC_POLICY_LYCHEE = 0,
    LC_POLICY_MODULO = 1,   /* hash modulo the balancer's endpoints */
    LC_POLICY_TRACKING = 2, /* rendezvous, and each balancer remembers its flows */
    LC_POLICY_ONE_STEP = 3, /* rendezvous, second hop at the owner by the set before */
    LC_POLICY_IDEAL = 4,    /* knows every load and every flow at once */
  } LcFlowPolicy;

  typedef enum
  {
    LC_CHANGE_DRAIN = 1,        /* an endpoint leaves for good */
    LC_CHANGE_JOIN = 2,         /* a new endpoint */
    LC_CHANGE_RESTART = 3,      /* an agent's planned restart beside a running backend server */
    LC_CHANGE_BALANCER_DIE = 4, /* without warning */
    LC_CHANGE_BALANCER_JOIN = 5,
    LC_CHANGE_BALANCER_CUT = 6,  /* cut off from control, still steering */
    LC_CHANGE_BALANCER_HEAL = 7, /* hears from control again */
    LC_CHANGE_AGENT_DIE = 8,     /* with its backend server, without warning */
    LC_CHANGE_WEIGHT = 9,
    LC_CHANGE_REUSE = 10,            /* an endpoint of the other service takes a freed address */
    LC_CHANGE_LOOK_BAD = 11,         /* health endpoints of `amount` endpoints turn bad, falsely */
    LC_CHANGE_BALANCER_RESTART = 12, /* planned */
    LC_CHANGE_REPEAT = 13,           /* every node gets its last operations again */
  } LcFlowChangeKind;

  typedef struct
  {
    LcFlowChangeKind kind;
    uint32_t subject; /* picks the node, modulo those that fit */
    uint32_t amount;
  } LcFlowChange;

  typedef struct
  {
    uint64_t seed;
    LcFlowPolicy policy;
    uint32_t n_endpoints;        /* 0: 7 */
    uint32_t n_balancers;        /* 0: 4 */
    uint32_t flows;              /* open flows an endpoint; 0: 50 */
    int64_t length_us;           /* 0: 60 s */
    int64_t flow_mean_us;        /* 0: 10 s */
    int64_t packet_gap_us;       /* 0: 1 s */
    int64_t view_delay_us;       /* longest delay of an operation to a node; 0: 50 ms */
    int64_t uneven_us;           /* one balancer in three lags this much more */
    int64_t lease_us;            /* 0: 3 s */
    int64_t hand_over_us;        /* a leaving agent hands over after this; 0: 20 s */
    uint32_t duplicate_permille; /* first packets that are sent twice at once */
    uint32_t loss_permille;      /* datagrams lost */
    int64_t reorder_us;          /* longest delay of a datagram; 0: 1 ms */
    uint32_t n_dcs;              /* 0: 1 */
    uint32_t heavy_permille;     /* flows that weigh heavy_weight and live ten times longer */
    uint32_t heavy_weight;       /* 0: 20 */
    uint32_t connection_limit;   /* 0: 2000 */
    bool is_udp;                 /* no first-packet mark */
    bool has_hints;              /* balancers cache the owners that agents tell them */
    LcFlowAgentDesc agent;       /* policy of the agents; self and service are filled in */
    bool checks_tables;          /* looks at every agent's table after each event */
    uint32_t trace_flow;         /* prints where packets of this flow go; 0: none */
    bool breaks_order;           /* the newest set assigns: a wrong variant, for the tests */
    bool breaks_settling;        /* time alone settles a view: a wrong variant, for the tests */
    bool breaks_instance;        /* agents ignore whom a packet is for: a wrong variant */
  } LcFlowWorldDesc;

  typedef struct
  {
    uint64_t flows; /* begun */
    uint64_t established;
    uint64_t refused;       /* never established */
    uint64_t broken;        /* established, then cut or moved; the dead owners' included */
    uint64_t doomed;        /* owned by an endpoint that died */
    uint64_t second_owners; /* delivered to two backend servers */
    uint64_t misdelivered;  /* to another service */
    uint64_t late_accepts;  /* first packets taken by a leaving endpoint */
    uint64_t endless;       /* walks that ran out of hops */
    uint64_t table_faults;  /* agents' tables found inconsistent; see checks_tables */
    uint64_t packets;       /* delivered */
    uint64_t sends;         /* datagrams between balancers and agents for those */
    uint64_t retries;
    uint64_t message_bytes;
    uint64_t settled;        /* times that control settled */
    uint64_t in_dc;          /* flows taken in the balancer's data centre */
    uint64_t agent_bytes;    /* at the peak */
    uint64_t balancer_bytes; /* state of flows at the peak */
    uint64_t peak_open;
    double node_seconds; /* agents alive times seconds */
    GArray *imbalance;   /* double a second after the warm-up */
  } LcFlowWorldCounts;

  typedef struct LcFlowWorld LcFlowWorld;

  LcFlowWorld *lc_flow_world_new (const LcFlowWorldDesc *desc);
  void lc_flow_world_free (LcFlowWorld *world);
  void lc_flow_world_at (LcFlowWorld *world, int64_t when_us, LcFlowChange change);
  void lc_flow_world_run (LcFlowWorld *world);
  const LcFlowWorldCounts *lc_flow_world_counts (const LcFlowWorld *world);
  /* What went wrong first, for a failed test; "" when nothing. */
  const char *lc_flow_world_complaint (const LcFlowWorld *world);

#ifdef __cplusplus
}
#endif

#endif /* LC_FLOW_WORLD_H */
