/* lc-flow-gate: which requests a backend server is given now, and which wait beside it.
 *
 * WHAT IT IS
 *   A backend server works on as many requests as it has slots, queues a few more in the order in
 *   which they come, and refuses the rest.  When more come than it can work on, after an outage or
 *   while it is slow or cold, its queue is filled with requests that are late already, and each new
 *   one waits behind them: all are late.  The gate keeps that queue short.  It counts the requests
 *   that the server works on, lets no more pass than the slots and a few ahead, and gives another
 * one when a slot frees.  While all that wait can still be in time the oldest goes first, so that
 * none becomes late by chance.  As soon as one is late there is a backlog: the newest goes first
 * then, since it has the best chance, and those that are late get what capacity is left over.
 *
 * LOAD PATTERN
 *   All callers of an outage at once, before backend servers that are cold: a backlog of one to two
 *   seconds of requests, new ones at two thirds of the capacity.
 *
 * LIMITS, AND WHY
 *   - A request passes for every slot, and `ahead` more: a slot that frees finds the next request
 *     there, without the time that the agent needs to send it.  One that is late already, whose
 *     caller has waited for most of the latency objective, is given for free slots only: the place
 *     ahead is for the next new one, which would else wait behind it.
 *   - A request that shows no answer for `doubt_us` no longer counts: its caller may have given it
 *     up without a word.  So the count can't leak, and what it holds back comes back by itself.
 *   - When no request has passed for `probe_us`, one passes whatever the count says.
 *   - At most `max_waiting` wait; what comes beyond passes, and the server's own refusal, which is
 *     certain, answers it.
 *   - What has waited for `give_up_us` is given up: its caller is gone.
 *   - A cold backend server gets no more than its rate (lc-cold-limit.h): neither a probe nor too
 *     many that wait let one pass beyond it.
 *
 * HOW TO USE IT
 *     lc_flow_gate_init (&gate, &desc);
 *     lc_flow_gate_set_server (&gate, slots, objective_us);
 *     if (lc_flow_gate_request (&gate, flow, began_us, now_us) == LC_FLOW_GATE_WAIT)
 *       keep its packets
 *     lc_flow_gate_end (&gate, flow);                         it is answered, or ended otherwise
 *     while (lc_flow_gate_next (&gate, now_us, &flow))
 *       give its packets to the backend server
 *     while (lc_flow_gate_give_up (&gate, now_us, &flow))
 *       drop its packets
 *     lc_flow_gate_finish (&gate);
 *
 * LIFETIME
 *   `flow` is the caller's own number of a flow, which has at most one request at a time; end it
 *   before the number is used for another.
 */
#ifndef LC_FLOW_GATE_H
#define LC_FLOW_GATE_H

#include "lc-cold-limit.h"

#include <glib.h>

#ifdef __cplusplus
extern "C"
{
#endif

  typedef enum
  {
    LC_FLOW_GATE_ADAPTIVE = 0,     /* oldest first, newest first while one that waits is late */
    LC_FLOW_GATE_NEWEST_FIRST = 1, /* baselines */
    LC_FLOW_GATE_OLDEST_FIRST = 2,
  } LcFlowGateOrder;

  typedef struct
  {
    LcFlowGateOrder order;
    uint32_t ahead;       /* 0: 1 */
    uint32_t max_waiting; /* 0: 256 */
    int64_t doubt_us;     /* 0: 1 s, longer than slow backend servers take for a request */
    int64_t probe_us;     /* 0: 200 ms, ten usual requests */
    int64_t give_up_us;   /* 0: 2 s, the shortest time for which callers wait */
  } LcFlowGateDesc;

  typedef enum
  {
    LC_FLOW_GATE_PASS = 1,
    LC_FLOW_GATE_WAIT = 2,
  } LcFlowGateVerdict;

  typedef struct
  {
    uint32_t flow;
    int64_t at_us; /* working: given then; waiting: its caller began it then */
  } LcFlowGateRequest;

  typedef struct
  {
    LcFlowGateDesc desc;
    uint32_t slots;   /* of the backend server; 0: not known, nothing waits */
    int64_t late_us;  /* a request that waits for longer is late */
    GArray *working;  /* LcFlowGateRequest, the oldest first */
    GArray *waiting;  /* LcFlowGateRequest */
    int64_t moved_us; /* when a request last passed */
    LcColdLimit cold;
    uint64_t waited_total;
    uint64_t given_up_total;
    uint64_t doubted_total;
    uint64_t probes_total;
    uint64_t overflows_total; /* passed because too many waited */
  } LcFlowGate;

  void lc_flow_gate_init (LcFlowGate *gate, const LcFlowGateDesc *desc);
  void lc_flow_gate_finish (LcFlowGate *gate);
  /* `objective_us`: within which a good request of the service is answered; 0: 500 ms. */
  void lc_flow_gate_set_server (LcFlowGate *gate, uint32_t slots, int64_t objective_us);

  /* The first packet of a request, or another one of it. */
  LcFlowGateVerdict
  lc_flow_gate_request (LcFlowGate *gate, uint32_t flow, int64_t began_us, int64_t now_us);
  /* The request of this flow, if there is one, is answered, given up or moved. */
  void lc_flow_gate_end (LcFlowGate *gate, uint32_t flow);
  bool lc_flow_gate_next (LcFlowGate *gate, int64_t now_us, uint32_t *flow);
  bool lc_flow_gate_give_up (LcFlowGate *gate, int64_t now_us, uint32_t *flow);
  /* Requests that the backend server works on or has before it, and those that wait for it. */
  uint32_t lc_flow_gate_n_working (const LcFlowGate *gate);
  uint32_t lc_flow_gate_n_waiting (const LcFlowGate *gate);
  /* What a new request competes with here: all that the server has, and those that wait and are not
   * late.  The late ones go after it, however many there are. */
  uint32_t lc_flow_gate_load (const LcFlowGate *gate, int64_t now_us);

#ifdef __cplusplus
}
#endif

#endif /* LC_FLOW_GATE_H */
