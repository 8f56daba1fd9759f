/* lc-flow-gate: admission queue of one backend server: a concurrency limit with adaptive LIFO.
 *
 * WHAT IT IS
 *   A backend server works on as many requests as it has slots, queues a few more first in, first
 *   out, and refuses the rest.  When more come than it can handle, after an outage or while it is
 *   slow or cold, its queue fills with requests that are late already, and each new one waits
 *   behind them until it is late, too.  The gate keeps that queue short: it counts the requests in
 *   flight, passes no more than the slots and a few ahead, and holds the others in the agent until
 *   a slot frees.  While no waiting request is late, the oldest goes first, so that none becomes
 *   late by chance.  As soon as one is late there is a backlog: then the newest goes first, being
 *   the most likely to be in time, and late ones get the capacity that is left over.
 *
 * LOAD PATTERN
 *   All callers of an outage at once, in front of cold backend servers: a backlog of one to two
 *   seconds of requests, with new ones at two thirds of the capacity.
 *
 * LIMITS, AND WHY
 *   - A request passes for every slot, and `ahead` more: a slot that frees has its next request at
 *     once, without waiting for the agent.  A late request, whose caller has waited for most of the
 *     latency objective, passes for free slots only: in the place ahead it would delay the next
 *     new one.
 *   - A request without an answer for `answer_timeout_us` no longer counts: its caller may have
 *     given up silently.  So the count can't leak, and held requests resume by themselves.
 *   - When no request has passed for `probe_us`, one passes whatever the count is.
 *   - At most `max_waiting` wait; further ones pass, and the server's own refusal answers them for
 *     certain.
 *   - A request that has waited for `give_up_us` is dropped: its caller has given up.
 *   - A cold backend server gets no more than its rate (lc-warmup-limit.h): neither a probe nor a
 *     full queue lets a request pass beyond it.
 *
 * HOW TO USE IT
 *     lc_flow_gate_init (&gate, &desc);
 *     lc_flow_gate_set_server (&gate, slots, objective_us);
 *     if (lc_flow_gate_submit (&gate, flow, began_us, now_us) == LC_FLOW_GATE_WAIT)
 *       hold its packets
 *     lc_flow_gate_remove (&gate, flow);                         answered, or ended otherwise
 *     while (lc_flow_gate_pass_next (&gate, now_us, &flow))
 *       give its packets to the backend server
 *     while (lc_flow_gate_drop_expired (&gate, now_us, &flow))
 *       drop its packets
 *     lc_flow_gate_finish (&gate);
 *
 * LIFETIME
 *   `flow` is a number that the user of the gate chooses.  A flow has at most one request at a
 *   time; end it before its number is reused.
 */
#ifndef LC_FLOW_GATE_H
#define LC_FLOW_GATE_H

#include "lc-warmup-limit.h"

#include <glib.h>

#ifdef __cplusplus
extern "C"
{
#endif

  typedef enum
  {
    LC_FLOW_GATE_ADAPTIVE = 0,     /* oldest first; newest first while a waiting request is late */
    LC_FLOW_GATE_NEWEST_FIRST = 1, /* baselines for benchmarks */
    LC_FLOW_GATE_OLDEST_FIRST = 2,
  } LcFlowGateOrder;

  typedef struct
  {
    LcFlowGateOrder order;
    uint32_t ahead;            /* requests passed beyond the slots; 0: 1 */
    uint32_t max_waiting;      /* 0: 256 */
    int64_t answer_timeout_us; /* 0: 1 s, longer than slow backend servers take for a request */
    int64_t probe_us;          /* 0: 200 ms, ten typical requests */
    int64_t give_up_us;        /* 0: 2 s, the shortest timeout of callers */
  } LcFlowGateDesc;

  typedef enum
  {
    LC_FLOW_GATE_PASS = 1,
    LC_FLOW_GATE_WAIT = 2,
  } LcFlowGateVerdict;

  typedef struct
  {
    uint32_t flow;
    int64_t at_us; /* in flight: when it passed; waiting: when its caller began it */
  } LcFlowGateRequest;

  typedef struct
  {
    LcFlowGateDesc desc;
    uint32_t slots;         /* of the backend server; 0: not known, all pass */
    int64_t late_us;        /* a request older than this is late */
    GArray *in_flight;      /* LcFlowGateRequest, the oldest first */
    GArray *waiting;        /* LcFlowGateRequest */
    int64_t last_passed_us; /* when a request last passed */
    LcWarmupLimit cold;
    uint64_t waited_total;
    uint64_t given_up_total;
    uint64_t unanswered_total; /* not counted any more, for want of an answer */
    uint64_t probes_total;
    uint64_t overflows_total; /* passed because max_waiting were waiting */
  } LcFlowGate;

  void lc_flow_gate_init (LcFlowGate *gate, const LcFlowGateDesc *desc);
  void lc_flow_gate_finish (LcFlowGate *gate);
  /* `objective_us`: latency objective of the service; 0: 500 ms. */
  void lc_flow_gate_set_server (LcFlowGate *gate, uint32_t slots, int64_t objective_us);

  /* Call it for each packet of a request; the first one submits the request. */
  LcFlowGateVerdict
  lc_flow_gate_submit (LcFlowGate *gate, uint32_t flow, int64_t began_us, int64_t now_us);
  /* Removes the flow's request, if any: it is answered, given up, or moved to another agent. */
  void lc_flow_gate_remove (LcFlowGate *gate, uint32_t flow);
  /* Passes the next waiting request that there is room for; false: none. */
  bool lc_flow_gate_pass_next (LcFlowGate *gate, int64_t now_us, uint32_t *flow);
  /* Removes a request that has waited for give_up_us; false: none. */
  bool lc_flow_gate_drop_expired (LcFlowGate *gate, int64_t now_us, uint32_t *flow);
  /* Requests passed to the backend server and not ended. */
  uint32_t lc_flow_gate_n_in_flight (const LcFlowGate *gate);
  uint32_t lc_flow_gate_n_waiting (const LcFlowGate *gate);
  /* Requests that go before a new one: those at the server, and those waiting that are not late. */
  uint32_t lc_flow_gate_load (const LcFlowGate *gate, int64_t now_us);

#ifdef __cplusplus
}
#endif

#endif /* LC_FLOW_GATE_H */
