/* lc-flow-world-private: the state that the parts of lc-flow-world share. */
#ifndef LC_FLOW_WORLD_PRIVATE_H
#define LC_FLOW_WORLD_PRIVATE_H

#include "lc-flow-world.h"

#ifdef __cplusplus
extern "C"
{
#endif

  enum
  {
    LC_WORLD_SERVICE = 1,
    LC_WORLD_OTHER_SERVICE = 2,
    LC_WORLD_PORT = 7100,
    LC_WORLD_HINTS = 8192, /* entries of a balancer's cache of owners */
  };

  typedef enum
  {
    LC_WORLD_START = 1, /* a flow begins */
    LC_WORLD_SEND,      /* a flow's next packet */
    LC_WORLD_RETRY,     /* not delivered yet? again */
    LC_WORLD_BALANCER,  /* a packet reaches a balancer */
    LC_WORLD_DATAGRAM,  /* an envelope reaches an address */
    LC_WORLD_DIRECT,    /* a baseline's packet reaches an endpoint */
    LC_WORLD_MESSAGE,   /* between agents */
    LC_WORLD_VIEW,      /* operations reach a node */
    LC_WORLD_TICK,      /* of an agent */
    LC_WORLD_CONTROL,   /* control looks for what to settle */
    LC_WORLD_SECOND,    /* imbalance is measured */
    LC_WORLD_CHANGE,
    LC_WORLD_LEAVE_STEP, /* a leaving agent: hand over, then gone */
    LC_WORLD_LOST,       /* a lease ran out */
    LC_WORLD_ACTIVE,     /* a joining endpoint has ramped up */
    LC_WORLD_RETURN,     /* a restarted agent announces itself */
  } LcWorldEventKind;

  typedef struct
  {
    int64_t when_us;
    uint64_t order;
    LcWorldEventKind kind;
    uint32_t a;
    uint32_t b;
    void *data; /* owned */
  } LcWorldEvent;

  typedef enum
  {
    LC_WORLD_FLOW_NEW,
    LC_WORLD_FLOW_OPEN,
    LC_WORLD_FLOW_DONE,
  } LcWorldFlowState;

  typedef struct
  {
    LcFlowKey key;
    LcWorldFlowState state;
    LcEndpointId backend; /* 0: not established */
    LcEndpointId ideal;   /* the ideal policy's choice */
    uint32_t packet;      /* index of the newest one sent */
    uint32_t delivered;   /* packets delivered, in order */
    uint32_t tries;
    uint32_t weight;
    int64_t end_us;
    bool is_closing;
  } LcWorldFlow;

  typedef struct
  {
    LcFlowAgent agent;
    LcView view;
    LcServiceId service_id;
    LcEndpointId id;
    LcInstance instance;
    uint32_t address; /* index */
    uint32_t ops;     /* operations applied */
    LcRevision acked;
    LcRevision registered;
    int64_t leaving_us;
    bool is_alive;
    bool is_restarting; /* comes back after it has left */
  } LcWorldAgent;

  typedef struct
  {
    LcFlowBalancer balancer;
    LcView view;
    LcBalancerId id;
    LcDcId dc;
    uint32_t ops;
    LcRevision acked;
    int64_t lag_us;
    bool is_alive;
    bool is_cut;
    bool is_lost;        /* committed */
    GHashTable *tracked; /* baseline: flow -> endpoint */
    LcCandidate *hints;
    LcFlowKey *hint_keys;
  } LcWorldBalancer;

  typedef struct
  {
    LcEnvelope envelope;
    LcPacket packet;
    uint32_t flow;
    uint32_t index; /* of the packet */
    uint32_t hops;
    uint32_t balancer;
  } LcWorldDatagram;

  struct LcFlowWorld
  {
    LcFlowWorldDesc desc;
    LcFlowWorldCounts counts;
    int64_t now_us;
    uint64_t order;
    GArray *events; /* heap of LcWorldEvent */
    GRand *callers; /* one stream each, so that a policy changes no event of another */
    GRand *network;
    GRand *control;
    GArray *ops; /* LcViewOp, in order */
    LcView view; /* control's */
    LcRevision revision;
    int64_t last_change_us;
    LcWorldAgent *agents[LC_FLOW_WORLD_AGENTS];
    LcWorldBalancer *balancers[LC_FLOW_WORLD_BALANCERS];
    uint32_t n_balancers;
    uint32_t next_endpoint;
    uint32_t next_balancer;
    LcInstance next_instance;
    GArray *flows; /* LcWorldFlow */
    uint32_t open[LC_FLOW_WORLD_ENDPOINTS];
    uint64_t weight[LC_FLOW_WORLD_ENDPOINTS];
    int64_t joined_us[LC_FLOW_WORLD_ENDPOINTS];
    bool is_dead[LC_FLOW_WORLD_ENDPOINTS]; /* backend server gone */
    bool is_warm[LC_FLOW_WORLD_ENDPOINTS]; /* backend server has run before */
    uint8_t service_of[LC_FLOW_WORLD_ENDPOINTS];
    char complaint[256];
  };

  /* Events: `data` is owned by the event. */
  void lc_world_push (
      LcFlowWorld *w, int64_t when_us, LcWorldEventKind kind, uint32_t a, uint32_t b, void *data);
  int64_t lc_world_delay (LcFlowWorld *w, GRand *stream, int64_t longest_us);
  double lc_world_exponential (GRand *stream, double mean);
  void lc_world_complain (LcFlowWorld *w, const char *format, ...)
      __attribute__ ((format (printf, 2, 3)));

  /* Nodes and control. */
  void lc_world_commit (LcFlowWorld *w, LcViewOp op);
  LcWorldAgent *lc_world_add_agent (LcFlowWorld *w, LcServiceId service, LcEndpointId id);
  void lc_world_add_balancer (LcFlowWorld *w);
  void lc_world_free_agent (LcWorldAgent *agent);
  void lc_world_free_balancer (LcWorldBalancer *balancer);
  void lc_world_on_view (LcFlowWorld *w, bool is_balancer, uint32_t node);
  void lc_world_on_control (LcFlowWorld *w);
  void lc_world_on_tick (LcFlowWorld *w, uint32_t address, LcInstance instance);
  void lc_world_on_change (LcFlowWorld *w, const LcFlowChange *change);
  void lc_world_on_leave_step (LcFlowWorld *w, uint32_t address, LcInstance instance);
  void lc_world_on_lost (LcFlowWorld *w, bool is_balancer, uint32_t id);
  void lc_world_on_active (LcFlowWorld *w, LcEndpointId id, LcInstance instance);
  void lc_world_send_messages (LcFlowWorld *w, LcWorldAgent *agent);

  /* Callers and packets. */
  void lc_world_on_start (LcFlowWorld *w);
  void lc_world_on_send (LcFlowWorld *w, uint32_t flow);
  void lc_world_on_retry (LcFlowWorld *w, uint32_t flow, uint32_t packet);
  void lc_world_on_balancer (LcFlowWorld *w, uint32_t balancer, const LcWorldDatagram *d);
  void lc_world_on_datagram (LcFlowWorld *w, uint32_t address, LcWorldDatagram *d);
  void lc_world_on_direct (LcFlowWorld *w, LcEndpointId to, const LcWorldDatagram *d);
  void lc_world_doom (LcFlowWorld *w, const LcWorldAgent *agent);
  void lc_world_measure (LcFlowWorld *w);
  double lc_world_capacity (const LcFlowWorld *w, const LcEndpoint *e);

  /* What an agent's table says of a flow. */
  typedef struct
  {
    LcFlowKind kind;
    LcEndpointId other; /* the owner, assigner or origin */
    LcInstance instance;
    uint32_t epoch;
    uint8_t flags;
  } LcWorldSeen;

  LcWorldSeen lc_world_seen (const LcWorldAgent *agent, const LcFlowKey *key);
  void lc_world_trace_packet (const LcFlowWorld *w,
                              const LcWorldAgent *agent,
                              const LcEnvelope *came,
                              const LcWorldDatagram *d,
                              const LcWorldSeen *before,
                              const LcFlowAction *action);
  void lc_world_trace_message (const LcFlowWorld *w,
                               const LcWorldAgent *agent,
                               const LcFlowMessage *message,
                               const LcFlowKey *key,
                               const LcWorldSeen *before);
  LcFlowKey lc_world_key_of (const LcFlowWorld *w, uint32_t flow);

  LcEndpointId lc_world_baseline (LcFlowWorld *w, uint32_t balancer, const LcWorldDatagram *d);

#ifdef __cplusplus
}
#endif

#endif /* LC_FLOW_WORLD_PRIVATE_H */
