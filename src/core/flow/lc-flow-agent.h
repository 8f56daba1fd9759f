/* lc-flow-agent: flow state machine of one agent: packets, messages and time in, actions out.
 *
 * WHAT IT IS
 *   Joins the flow table, the candidate sets, the load-based endpoint choice and the steering rule.
 *   It has no sockets: packets, messages, views and the time are passed in; what to do with each
 *   packet, and messages to send to other agents, come out.
 *
 * OWNERS AND POINTERS
 *   The owner of a flow registers a pointer with every home that a balancer may still query: the
 *   homes of the current candidate set and of each former set that has not settled.  It resends
 *   each until the home acknowledges it, refreshes it every desc.refresh_us, and unregisters when
 *   the flow ends.  Once all owned flows are registered with the current homes,
 *   lc_flow_agent_registered_revision reaches the view's revision; only then may control settle the
 *   former sets.
 *
 * PLANNED STOP
 *   lc_flow_agent_leave refuses new flows at once.  lc_flow_agent_hand_over transfers the flows
 *   that are still owned to agents that go on delivering to this agent's backend server; when an
 *   agent of the same endpoint id comes back, they transfer them back.
 *
 * HOW TO USE IT
 *     lc_flow_agent_init (&agent, &desc, now_us);
 *     lc_flow_agent_set_view (&agent, view, now_us);          after each change of the view
 *     action = lc_flow_agent_handle_packet (&agent, &envelope, &packet, now_us);
 *     lc_flow_agent_handle_message (&agent, &message, now_us);
 *     lc_flow_agent_tick (&agent, now_us);                    every LC_FLOW_AGENT_TICK_US
 *     while (lc_flow_agent_next_message (&agent, &message, now_us))
 *       send it to message.to
 *     lc_flow_agent_finish (&agent);
 *
 * LIFETIME
 *   `view` must stay valid until the next set_view or finish.
 *
 * LIMITS
 *   A PENDING entry lives LC_FLOW_PENDING_US: a first packet and its owner's registration are
 *   expected to take less.  At most desc.max_flows entries; packets of flows beyond are dropped and
 *   counted.
 */
#ifndef LC_FLOW_AGENT_H
#define LC_FLOW_AGENT_H

#include "core/request/lc-outlier.h"
#include "lc-flow-gate.h"
#include "lc-flow-message.h"
#include "lc-flow-reconnects.h"
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
/* A flow is kept longer than its service's idle timeout: the packet that ends its pause may take
 * its time, or get lost and be retransmitted. */
#define LC_FLOW_IDLE_SLACK_US (5 * LC_US_PER_S)

  typedef struct
  {
    LcCandidate self;
    LcServiceId service_id;
    uint32_t connection_limit;    /* 0: 2000 */
    uint32_t max_flows;           /* table entries of every kind; 0: 4 million */
    int64_t udp_idle_us;          /* 0: 300 s; raised to the service's idle timeout */
    int64_t tcp_idle_us;          /* 0: 2 h; the same */
    int64_t refresh_us;           /* 0: 60 s; pointers expire after 3.5 times this */
    int64_t load_interval_us;     /* 0: 500 ms */
    int64_t load_min_interval_us; /* between reports of a changed load; 0: a tick */
    uint32_t load_fanout;         /* peers that get each load report; 0: 16 */
    uint32_t registrations_tick;  /* resent registrations a tick; 0: 64 */
    uint32_t backend_ipv4;        /* of the backend server, for hand-overs */
    uint16_t backend_port;
    bool returns_packets;  /* backend servers return packets of unknown flows: lc-flow-return.h */
    bool is_backend_fresh; /* the backend server started after this agent and holds no flow yet */
    bool has_gate;         /* also queue requests while it has no free slot: lc-flow-gate.h */
    LcFlowGateDesc gate;
    LcWarmupLimitDesc cold;
    LcAssignDesc assign;
  } LcFlowAgentDesc;

  /* Whether the backend server may be given new flows. */
  typedef enum
  {
    LC_FLOW_BACKEND_OPEN = 0,        /* reported open, or it never reports its state */
    LC_FLOW_BACKEND_UNCONFIRMED = 1, /* no report to this process yet: used until it returns one */
    LC_FLOW_BACKEND_UNAVAILABLE = 2, /* leaving, silent or absent */
  } LcFlowBackendState;

  /* Why an owned flow left the table.  Only the first one is normal for an open flow. */
  typedef enum
  {
    LC_FLOW_RELEASE_IDLE = 0,    /* idle for too long, or ended */
    LC_FLOW_RELEASE_RETURNED,    /* the backend server returned one of its packets */
    LC_FLOW_RELEASE_UNANSWERED,  /* the backend server left its first packet unanswered */
    LC_FLOW_RELEASE_REFUSED,     /* a home refused the registration */
    LC_FLOW_RELEASE_CLAIMED,     /* another agent registered it with a higher epoch */
    LC_FLOW_RELEASE_HANDED_OVER, /* another agent has taken it over */
    LC_FLOW_RELEASE_REPLACED,    /* the entry was needed for a newer flow of the same key */
    LC_N_FLOW_RELEASES,
  } LcFlowRelease;

  /* An owned flow that left the table. */
  typedef struct
  {
    LcFlowKey key;
    LcFlowRelease reason;
    LcCandidate by; /* the other agent; id 0: none */
  } LcFlowReleased;

  /* Why a flow's owner is searched for. */
  typedef enum
  {
    LC_FLOW_SEARCH_UNKNOWN = 0,  /* no home has its owner */
    LC_FLOW_SEARCH_NOT_HERE = 1, /* nor is it in this agent's table, which is complete */
    LC_FLOW_SEARCH_RETURNED = 2, /* the own backend server returned the packet */
  } LcFlowSearchCause;

  typedef enum
  {
    LC_FLOW_ACTION_DELIVER = 1,
    LC_FLOW_ACTION_SEND = 2, /* the envelope was rewritten; send it to ipv4 and port */
    LC_FLOW_ACTION_DROP = 3,

    /* With desc.returns_packets only: */
    LC_FLOW_ACTION_TRY = 4,    /* give it to the backend server with try_mark; no owner known */
    LC_FLOW_ACTION_SEARCH = 5, /* store it until its owner is found; try it here if is_local */
    LC_FLOW_ACTION_RESET = 6,  /* reset the caller: the flow can't be opened, for `reason` */
    LC_FLOW_ACTION_HOLD = 7,   /* queue it for `hold.flow` until lc_flow_return_next_held */
  } LcFlowActionKind;

  typedef struct
  {
    LcFlowActionKind kind;
    union
    {
      struct
      {
        uint32_t flow;         /* index in the table */
        bool is_new;           /* this packet created the flow */
        uint32_t backend_ipv4; /* of an adopted flow; 0: the own backend server */
        uint16_t backend_port;
        uint32_t mark; /* attached again if the packet is returned */
      } deliver;
      struct
      {
        uint32_t ipv4;
        uint16_t port;
      } send;
      LcDropReason reason;
      uint32_t try_mark;
      struct
      {
        uint32_t flow; /* index in the table */
        uint32_t mark; /* as in `deliver` */
      } hold;
      struct
      {
        uint32_t slot; /* store the packet under it: lc_flow_finder_next_try */
        bool is_local; /* also try it on the own backend server */
        LcFlowSearchCause cause;
      } search;
    };
  } LcFlowAction;

  /* What a packet of the backend server responds to. */
  typedef enum
  {
    LC_FLOW_RESPONSE_NONE = 0,
    LC_FLOW_RESPONSE_ACCEPT = 1, /* the flow's first packet: the flow is accepted */
    LC_FLOW_RESPONSE_DATA = 2,   /* a request: first data of the response */
  } LcFlowResponseKind;

  typedef struct
  {
    LcFlowResponseKind kind;
    int64_t elapsed_us; /* since the packet it responds to; whole milliseconds */
  } LcFlowResponse;

  /* What to do with the packets held for a flow. */
  typedef struct
  {
    uint32_t flow;    /* as in LcFlowAction.hold */
    bool is_released; /* deliver them now; false: drop them */
  } LcFlowHeld;

  typedef struct
  {
    uint32_t slot; /* LcFlowAction.search.slot */
    LcCandidate owner;
  } LcFlowFound;

  typedef struct
  {
    uint32_t slot;       /* LcFlowAction.search.slot */
    LcEnvelope envelope; /* to its candidate `hop` */
  } LcFlowPassed;

  enum
  {
    LC_FLOW_TRIED_MAX = 64, /* packets of searches whose answer by the backend server is awaited */
  };

  /* A packet of another agent's search that was given to the backend server. */
  typedef struct
  {
    LcFlowKey key;
    LcCandidate searcher; /* id 0: none */
    int64_t tried_us;
  } LcFlowTried;

  typedef struct
  {
    uint64_t delivered_total;
    uint64_t forwarded_total;
    uint64_t accepted_total;
    uint64_t assigned_total;      /* flows for which this agent chose the endpoint */
    uint64_t assigned_away_total; /* of these, to another endpoint */
    uint64_t refused_total;
    uint64_t conflicts_total; /* a home refused the claim: another owner */
    uint64_t adopted_total;
    uint64_t broken_total; /* owner is gone, counted by the first home */
    uint64_t messages_total;
    uint64_t returned_total; /* packets returned by the backend server */
    uint64_t searched_total; /* packets whose owner was searched for */
    uint64_t unowned_total;  /* searches that found no owner in any service */
    uint64_t passed_total;   /* searches that went on in another service */
    uint64_t queries_total;  /* query messages of search rounds */
    uint64_t ejected_total;  /* times the backend server was ejected as an outlier */
    uint64_t released_total[LC_N_FLOW_RELEASES]; /* owned flows that left the table */
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
    LcCandidateSets settling_sets; /* before a set settled; kept LC_FLOW_SETTLE_US */
    int64_t settling_until_us;
    int64_t settling_from_us;
    LcRevision roster; /* LcService.roster_revision */
    uint32_t sets_version;
    uint64_t home_regions_digest; /* of the view's addresses and their home regions */
    uint32_t n_behind;            /* owned, not yet registered with all current homes */
    uint32_t n_adopted;           /* owned, delivered to another agent's backend server */
    LcFlowGate gate;              /* requests in work and queued */
    LcWarmupLimit first_packets;  /* rate limit of first packets while it is cold */
    LcFlowReconnects reconnects;
    GArray *held;      /* LcFlowHeld: decisions on held packets */
    uint32_t n_ended;  /* owned, not adopted, lingering for late packets after the last one */
    LcDcId dc;         /* of this agent */
    LcDcId arrival_dc; /* where the current packet entered; 0: not known */
    bool is_leaving;
    bool is_cut_off;
    LcFlowBackendState backend;
    bool has_returned_first; /* while unconfirmed, it returned a first packet */
    bool is_handing_over;
    bool looks_bad;
    LcOutlier outlier;   /* consecutive failures of the backend server */
    bool reported_bad;   /* looks_bad in the last load report */
    bool reported_spent; /* cold rate used up, in the last load report */
    bool is_warm;        /* flows of its backend server were handed back */
    uint32_t n_ticks;
    uint32_t next_try_slot; /* next search slot to check for packets to send */
    int64_t next_load_us;
    int64_t started_us;
    int64_t service_idle_us;  /* idle timeout of the service, with the slack; 0: not set */
    int64_t complete_from_us; /* from then on the table has every flow of its backend server */
    int64_t last_busy_us;     /* last time a flow was owned or assigned to another agent */
    uint32_t next_load_peer;  /* peer index at which the next load report begins */
    uint32_t reported_load;   /* weighted load in the last report */
    int64_t reported_us;
    uint32_t registration_budget;
    uint64_t bytes_window;
    int64_t bytes_since_us;
    uint32_t byte_rate;
    GQueue *outbox;           /* LcFlowMessage, owned */
    LcFlowSearches *searches; /* owned; NULL without desc.returns_packets */
    GArray *resets;           /* LcPacket: of flows that no backend server holds */
    GArray *found;            /* LcFlowFound: stored packets to send to their owners */
    GHashTable *envelopes;    /* search slot -> LcEnvelope, of packets that name several services */
    GArray *passed;           /* LcFlowPassed: stored packets to send to another service */
    LcFlowTried tried[LC_FLOW_TRIED_MAX]; /* by the flow's hash */
    GArray *released; /* LcFlowReleased: for the log, LC_FLOW_RELEASED_MAX at most */
    LcFlowAgentCounts counts;
  } LcFlowAgent;

  void lc_flow_agent_init (LcFlowAgent *agent, const LcFlowAgentDesc *desc, int64_t now_us);
  void lc_flow_agent_finish (LcFlowAgent *agent);
  void lc_flow_agent_set_view (LcFlowAgent *agent, const LcView *view, int64_t now_us);

  /* Decides what to do with a packet; rewrites the envelope if the packet is forwarded. */
  LcFlowAction lc_flow_agent_handle_packet (LcFlowAgent *agent,
                                            LcEnvelope *envelope,
                                            const LcPacket *packet,
                                            int64_t now_us);
  void
  lc_flow_agent_handle_message (LcFlowAgent *agent, const LcFlowMessage *message, int64_t now_us);
  void lc_flow_agent_tick (LcFlowAgent *agent, int64_t now_us);
  bool lc_flow_agent_next_message (LcFlowAgent *agent, LcFlowMessage *message, int64_t now_us);
  /* Takes the next owned flow that left the table, except idle ones; false: none.  Beyond
   * LC_FLOW_RELEASED_MAX between two calls they are only counted. */
  bool lc_flow_agent_next_released (LcFlowAgent *agent, LcFlowReleased *released);

  /* Whether upstream has been silent so long that control may have marked this endpoint lost. */
  void lc_flow_agent_set_cut_off (LcFlowAgent *agent, bool is_cut_off);
  void lc_flow_agent_set_backend (LcFlowAgent *agent, LcFlowBackendState backend);
  /* Whether the backend server is, or may be, still cold. */
  void lc_flow_agent_set_cold (LcFlowAgent *agent, bool is_cold);
  void lc_flow_agent_set_dc (LcFlowAgent *agent, LcDcId dc);
  /* Changes this agent's identity (same backend server) and registers its flows again. */
  void lc_flow_agent_set_identity (LcFlowAgent *agent, const LcCandidate *self);
  void lc_flow_agent_set_looks_bad (LcFlowAgent *agent, bool looks_bad);
  void lc_flow_agent_leave (LcFlowAgent *agent);
  /* Takes new flows again: the leave request concerned an earlier backend server.  No effect after
   * lc_flow_agent_hand_over. */
  void lc_flow_agent_cancel_leave (LcFlowAgent *agent);
  void lc_flow_agent_hand_over (LcFlowAgent *agent);
  /* Whether a leaving agent may stop: it owns nothing, its view has settled without it, and packets
   * it assigned to others have arrived (LC_FLOW_LINGER_US). */
  bool lc_flow_agent_is_drained (const LcFlowAgent *agent, int64_t now_us);
  /* Whether another endpoint can take over the flows of this agent. */
  bool lc_flow_agent_has_successor (const LcFlowAgent *agent);

  /* Newest view revision for which every owned flow is registered with all homes; 0: none. */
  LcRevision lc_flow_agent_registered_revision (const LcFlowAgent *agent);
  /* Open flows of this agent's own backend server. */
  uint32_t lc_flow_agent_open_flows (const LcFlowAgent *agent);
  /* Unanswered requests: those in work at the backend server and those queued for it. */
  uint32_t lc_flow_agent_unanswered_requests (const LcFlowAgent *agent);

#ifdef __cplusplus
}
#endif

#endif /* LC_FLOW_AGENT_H */
