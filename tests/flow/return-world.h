/* return-world: a few agents with backend servers that return what they do not hold, joined by
 * plain function calls: no clock, no socket.  Each agent and the balancer have views of their own,
 * which lag until they are shown the newest.
 */
#ifndef RETURN_WORLD_H
#define RETURN_WORLD_H

#include "core/flow/lc-flow-balancer.h"
#include "core/flow/lc-flow-finder.h"
#include "core/flow/lc-flow-return.h"

#ifdef __cplusplus
extern "C"
{
#endif

  enum
  {
    RW_N_AGENTS = 5, /* of rw_start */
    RW_N_FLOWS = 40,
    RW_MAX_STEPS = 200, /* of one packet: every walk ends long before */
    RW_LARGE = 300,     /* agents from which on all share one view */
  };

  typedef struct
  {
    LcFlowAgent agent;
    bool is_up;
    bool is_dead;    /* its backend server says nothing */
    bool is_full;    /* returns first packets */
    bool is_failing; /* takes first packets, and resets the flow at its first request */
    LcDcId dc;
    bool holds[RW_N_FLOWS]; /* flows of its backend server */
    LcPacket *kept;         /* of searches, by place */
    uint32_t n_firsts;      /* first packets that its backend server took */
    uint32_t n_delivered;   /* other packets that it held the flow of */
  } RwNode;

  typedef struct
  {
    LcView view;  /* the newest */
    LcView *seen; /* by each agent; of large worlds all see the newest */
    LcView balancer_view;
    LcFlowBalancer balancer;
    RwNode *nodes;
    int n_agents;
    uint32_t max_steps; /* of one packet */
    int64_t idle_us;    /* after which a flow that says nothing has ended; 0: the default */
    uint64_t n_messages;
    uint32_t lose_each; /* of messages between agents every so manieth is lost; 0: none */
    LcRevision revision;
    int64_t now_us;
    uint32_t n_steps;
    uint32_t n_resets;
    uint32_t n_searches;
  } RwWorld;

  /* A packet of a flow: its first one, or another. */
  LcPacket rw_packet_of (uint32_t flow, bool may_open);
  uint32_t rw_flow_of (const LcPacket *p);
  void rw_put_endpoint (RwWorld *w, int i, LcEndpointState state);
  /* Moves the endpoint and its agent to a data centre; 0, where all begin: none. */
  void rw_place (RwWorld *w, int i, LcDcId dc);
  /* In the newest view only, until it is shown. */
  void rw_evacuate (RwWorld *w, LcDcId dc, bool is_evacuated);
  /* Names the data centre's region, and the regions that new flows are kept to (lc-homes.h); in the
   * newest view only, until it is shown. */
  void rw_put_region (RwWorld *w, LcDcId dc, const char *region);
  void rw_set_homes (RwWorld *w, const char *homes);
  /* States what a cold endpoint bears; in the newest view only, until it is shown. */
  void rw_set_cold_rate (RwWorld *w, uint32_t rate_mrps);
  void rw_show_agent (RwWorld *w, int i);
  void rw_show_balancer (RwWorld *w);
  /* Everybody sees the newest view. */
  void rw_show_view (RwWorld *w);
  /* The process beside the backend server starts again; what that one holds stays. */
  void rw_restart_agent (RwWorld *w, int i);
  /* `n` endpoints in the view, all agents running. */
  void rw_start (RwWorld *w, int n);
  /* The same with `n_agents` agents, of which `n` are in the view; their backend servers began
   * under them if `is_fresh`. */
  void rw_start_sized (RwWorld *w, int n, int n_agents, bool is_fresh);
  void rw_stop (RwWorld *w);
  uint32_t rw_n_held (const RwWorld *w, uint32_t flow);
  /* Time passes, with one tick at its end; then agents' messages, until there are none. */
  void rw_pass (RwWorld *w, int64_t us);
  /* 300 ms of it. */
  void rw_settle (RwWorld *w);
  /* Resets since the last call; each must be of a flow that nobody holds. */
  uint32_t rw_take_resets (RwWorld *w);
  /* From a caller through the balancer; 0, or why it went nowhere. */
  int rw_send (RwWorld *w, const LcPacket *p);
  void rw_open_flows (RwWorld *w);
  /* Each flow's packets reach the one backend server that holds it. */
  void rw_check_all_reach (RwWorld *w, const char *what);

#ifdef __cplusplus
}
#endif

#endif /* RETURN_WORLD_H */
