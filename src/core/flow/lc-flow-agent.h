/* lc-flow-agent: the flow plane of one agent, without its sockets.
 *
 * WHAT IT IS
 *   Joins the table of flows, the candidate sets, the assigner's knowledge and the steering rule
 *   into one state machine.  Packets, messages, views and the time go in; what to do with the
 *   packet, and messages to send, come out.
 *
 * OWNERS AND POINTERS
 *   The owner of a flow registers a pointer with every home that any balancer may still ask: the
 *   homes of the current candidate set and of each former set that has not settled.  It sends each
 *   until the home has acknowledged, again a minute later, and says when the flow ended.  When all
 *   owned flows are registered with the current homes, lc_flow_agent_registered_revision reaches
 *   the view's revision; only then may control settle the former sets.
 *
 * PLANNED STOP
 *   lc_flow_agent_leave refuses new flows at once.  lc_flow_agent_hand_over gives what is still
 *   owned to agents that go on delivering to this agent's backend server; when an agent of the same
 *   endpoint id comes back, they return it.
 *
 * HOW TO USE IT
 *     lc_flow_agent_init (&agent, &desc, now_us);
 *     lc_flow_agent_set_view (&agent, view, now_us);          after each change of the view
 *     action = lc_flow_agent_packet (&agent, &envelope, &packet, now_us);
 *     lc_flow_agent_message (&agent, &message, now_us);
 *     lc_flow_agent_tick (&agent, now_us);                    every LC_FLOW_AGENT_TICK_US
 *     while (lc_flow_agent_next (&agent, &message, now_us)) send it to message.to
 *     lc_flow_agent_finish (&agent);
 *
 * LIFETIME
 *   `view` must stay valid until the next set_view or finish.
 *
 * LIMITS
 *   A PENDING mark lives LC_FLOW_PENDING_US: a first packet and its owner's registration are
 *   expected to take less.  At most desc.max_flows entries; a flow beyond is dropped and counted.
 */
#ifndef LC_FLOW_AGENT_H
#define LC_FLOW_AGENT_H

#include "core/request/lc-outlier.h"
#include "lc-flow-gate.h"
#include "lc-flow-message.h"
#include "lc-flow-returners.h"
#include "lc-flow-search.h"
#include "lc-steer.h"

#ifdef __cplusplus
extern "C"
{
#endif

#define LC_FLOW_AGENT_TICK_US (50 * LC_US_PER_MS)
#define LC_FLOW_PENDING_US (5 * LC_US_PER_S)
#define LC_FLOW_LINGER_US LC_US_PER_S
#define LC_FLOW_SETTLE_US LC_US_PER_S

  typedef struct
  {
    LcCandidate self;
    LcServiceId service_id;
    uint32_t connection_limit;   /* 0: 2000 */
    uint32_t max_flows;          /* entries of every kind; 0: 4 million */
    int64_t udp_idle_us;         /* 0: 300 s */
    int64_t tcp_idle_us;         /* 0: 2 h */
    int64_t refresh_us;          /* 0: 60 s; pointers live three and a half times this long */
    int64_t load_interval_us;    /* 0: 500 ms */
    int64_t tell_min_us;         /* a changed load is told no sooner after the last; 0: a tick */
    uint32_t load_fanout;        /* peers told each interval; 0: 16 */
    uint32_t registrations_tick; /* owned flows sent again a tick after a change; 0: 64 */
    uint32_t backend_ipv4;       /* named in hand-overs */
    uint16_t backend_port;
    bool is_returning; /* the backend server returns what it does not hold: lc-flow-return.h */
    bool is_fresh;     /* the backend server began under this agent: it holds nothing yet */
    bool has_gate;     /* and requests wait beside it when it has no free slot: lc-flow-gate.h */
    LcFlowGateDesc gate;
    LcColdLimitDesc cold;
    LcAssignDesc assign;
  } LcFlowAgentDesc;

  /* What is known of the backend server, as far as new flows go. */
  typedef enum
  {
    LC_FLOW_BACKEND_OPEN = 0,  /* it says that it takes them, or says nothing of itself ever */
    LC_FLOW_BACKEND_ASKED = 1, /* it has not reported itself to this process: asked on trust */
    LC_FLOW_BACKEND_NONE = 2,  /* it leaves, is silent, or was not there */
  } LcFlowBackend;

  typedef enum
  {
    LC_FLOW_ACTION_DELIVER = 1,
    LC_FLOW_ACTION_SEND = 2, /* the envelope was rewritten; send it to ipv4 and port */
    LC_FLOW_ACTION_DROP = 3,

    /* Where backend servers return what they do not hold: */
    LC_FLOW_ACTION_TRY = 4,    /* give it to the backend server with try_mark; nobody owns it yet */
    LC_FLOW_ACTION_SEARCH = 5, /* keep it until its owner is found, and try it here if is_here */
    LC_FLOW_ACTION_RESET = 6,  /* tell the caller that the flow can't be opened, for `reason` */
    LC_FLOW_ACTION_HOLD = 7, /* keep it with the others of `hold_flow`: lc_flow_return_next_held */
  } LcFlowActionKind;

  typedef struct
  {
    LcFlowActionKind kind;
    union
    {
      struct
      {
        uint32_t flow;         /* index in the table */
        bool is_new;           /* taken by this packet */
        uint32_t backend_ipv4; /* of an adopted flow; 0: this agent's own backend server */
        uint16_t backend_port;
        uint32_t mark; /* comes back with the packet if it is returned */
      } deliver;
      struct
      {
        uint32_t ipv4;
        uint16_t port;
      } send;
      LcDropReason reason;
      uint32_t try_mark;
      uint32_t hold_flow; /* index in the table */
      struct
      {
        uint32_t place; /* keep the packet under this number: lc_flow_finder_next_try */
        bool is_here;   /* try it on the backend server here, too */
      } search;
    };
  } LcFlowAction;

  /* What a packet of the backend server answers. */
  typedef enum
  {
    LC_FLOW_ANSWER_NONE = 0,
    LC_FLOW_ANSWER_OPENED = 1, /* the flow's first packet */
    LC_FLOW_ANSWER_BEGUN = 2,  /* a request: its answer begins */
  } LcFlowAnswerKind;

  typedef struct
  {
    LcFlowAnswerKind kind;
    int64_t after_us; /* since the packet that it answers; whole milliseconds */
  } LcFlowAnswer;

  /* What becomes of the packets that were held for a flow. */
  typedef struct
  {
    uint32_t flow; /* as in LcFlowAction.hold_flow */
    bool is_given; /* to the backend server now; false: dropped */
  } LcFlowHeld;

  typedef struct
  {
    uint32_t place; /* LcFlowAction.search.place */
    LcCandidate owner;
  } LcFlowFound;

  typedef struct
  {
    uint64_t delivered_total;
    uint64_t forwarded_total;
    uint64_t taken_total;
    uint64_t assigned_total; /* as the assigner, to itself or another */
    uint64_t passed_total;   /* of these, to another */
    uint64_t refused_total;
    uint64_t conflicts_total; /* a home knew another owner: the flow was given up */
    uint64_t adopted_total;
    uint64_t broken_total; /* flows of owners that are gone, seen by their first home */
    uint64_t messages_total;
    uint64_t returned_total; /* packets that the backend server did not hold the flow of */
    uint64_t searched_total; /* packets whose owner was searched for */
    uint64_t denied_total;   /* searches that ended with nobody holding the flow */
    uint64_t asked_total;    /* messages of rounds, to agents that may know the owner */
    uint64_t ejected_total;  /* times that the backend server was left out for its failures */
    uint64_t dropped_total[LC_N_DROP_REASONS];
  } LcFlowAgentCounts;

  typedef struct
  {
    LcFlowAgentDesc desc;
    LcFlowTable table;
    LcAssign assign;
    const LcView *view;
    LcCandidateSets sets;
    LcCandidateSets previous_sets;
    LcCandidateSets settling_sets; /* as they were before a set settled, for LC_FLOW_SETTLE_US */
    int64_t settling_until_us;
    int64_t settling_from_us;
    LcRevision roster; /* of its service: LcService.roster_revision */
    uint32_t sets_version;
    uint64_t homes_digest; /* of the addresses with homes, and where those are, in the view */
    uint32_t n_behind;
    uint32_t n_adopted; /* owned, of another's backend server */
    LcFlowGate gate;    /* requests that the backend server works on, and those that wait */
    LcColdLimit firsts; /* first packets given to it */
    LcFlowReturners returners;
    GArray *held;      /* LcFlowHeld: what is to be done with packets that were held */
    uint32_t n_ended;  /* owned and not adopted, waiting for stragglers after the last packet */
    LcDcId dc;         /* of this agent */
    LcDcId arrival_dc; /* where the packet at hand came in; 0: not known */
    bool is_leaving;
    bool is_cut_off;
    LcFlowBackend backend;
    bool has_refused; /* it was asked on trust, and returned a first packet */
    bool is_handing_over;
    bool looks_bad;
    LcOutlier outlier; /* returning formats: requests that the backend server resets, in a row */
    bool told_bad;     /* as the peers were told last */
    bool told_spent;   /* that a cold backend server's rate is */
    bool is_warm;      /* flows of its backend server were handed back to it */
    uint32_t n_ticks;
    uint32_t next_try; /* place of the search that is looked at next for whom to try */
    int64_t next_load_us;
    int64_t knows_all_us; /* from then on it knows every flow of its backend server */
    int64_t busy_us;      /* a flow was owned, or given to another agent, at this time */
    uint32_t load_turn;
    uint32_t told_flows; /* open flows when the peers were told last */
    int64_t told_us;
    uint32_t registration_budget;
    uint64_t bytes_window;
    int64_t bytes_since_us;
    uint32_t byte_rate;
    GQueue *outbox;           /* LcFlowMessage, owned */
    LcFlowSearches *searches; /* owned; NULL: backend servers don't return packets */
    GArray *resets;           /* LcPacket: flows that nobody holds */
    GArray *found;            /* LcFlowFound: packets to be given to the owners that were found */
    LcFlowAgentCounts counts;
  } LcFlowAgent;

  void lc_flow_agent_init (LcFlowAgent *agent, const LcFlowAgentDesc *desc, int64_t now_us);
  void lc_flow_agent_finish (LcFlowAgent *agent);
  void lc_flow_agent_set_view (LcFlowAgent *agent, const LcView *view, int64_t now_us);

  /* Decides about one packet and rewrites the envelope when it is to be sent on. */
  LcFlowAction lc_flow_agent_packet (LcFlowAgent *agent,
                                     LcEnvelope *envelope,
                                     const LcPacket *packet,
                                     int64_t now_us);
  void lc_flow_agent_message (LcFlowAgent *agent, const LcFlowMessage *message, int64_t now_us);
  void lc_flow_agent_tick (LcFlowAgent *agent, int64_t now_us);
  bool lc_flow_agent_next (LcFlowAgent *agent, LcFlowMessage *message, int64_t now_us);

  /* Whether upstream was last heard so long ago that this endpoint may count as lost. */
  void lc_flow_agent_set_cut_off (LcFlowAgent *agent, bool is_cut_off);
  void lc_flow_agent_set_backend (LcFlowAgent *agent, LcFlowBackend backend);
  /* Whether the backend server is cold still, or may be, for all that is known. */
  void lc_flow_agent_set_cold (LcFlowAgent *agent, bool is_cold);
  void lc_flow_agent_set_dc (LcFlowAgent *agent, LcDcId dc);
  /* The same backend server goes on under this name: its flows are registered anew. */
  void lc_flow_agent_rename (LcFlowAgent *agent, const LcCandidate *self);
  void lc_flow_agent_set_looks_bad (LcFlowAgent *agent, bool looks_bad);
  void lc_flow_agent_leave (LcFlowAgent *agent);
  /* What was said of leaving was of an earlier backend server: new flows are taken again. */
  void lc_flow_agent_stay (LcFlowAgent *agent);
  void lc_flow_agent_hand_over (LcFlowAgent *agent);
  /* Whether a leaving agent may end: it owns nothing, its view has settled without it, and whatever
   * it gave to others has arrived (LC_FLOW_LINGER_US). */
  bool lc_flow_agent_is_drained (const LcFlowAgent *agent, int64_t now_us);
  /* Whether another endpoint can take over what this agent owns. */
  bool lc_flow_agent_has_heir (const LcFlowAgent *agent);

  /* Newest view revision with whose homes every owned flow is registered; 0: none yet. */
  LcRevision lc_flow_agent_registered_revision (const LcFlowAgent *agent);
  /* Flows of this agent's own backend server. */
  uint32_t lc_flow_agent_open_flows (const LcFlowAgent *agent);
  /* Requests without an answer: those that the backend server has, and those that wait for it. */
  uint32_t lc_flow_agent_at_work (const LcFlowAgent *agent);

#ifdef __cplusplus
}
#endif

#endif /* LC_FLOW_AGENT_H */
