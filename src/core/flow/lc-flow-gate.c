#include "lc-flow-gate.h"

#include <string.h>

enum
{
  LC_FLOW_GATE_AHEAD = 1,
  LC_FLOW_GATE_MAX_WAITING = 256,
};

/* Of the objective; the rest is for the work itself and the answer's way back. */
#define LC_FLOW_GATE_LATE_PERMILLE 800
#define LC_FLOW_GATE_OBJECTIVE_US (500 * LC_US_PER_MS)
#define LC_FLOW_GATE_ANSWER_TIMEOUT_US LC_US_PER_S
#define LC_FLOW_GATE_PROBE_US (200 * LC_US_PER_MS)
#define LC_FLOW_GATE_GIVE_UP_US (2 * LC_US_PER_S)

/* === private ================================================================================ */

static int64_t
lc_flow_gate__or_default (int64_t value_us, int64_t when_zero_us)
{
  return value_us != 0 ? value_us : when_zero_us;
}

static LcFlowGateRequest *
lc_flow_gate__at (const GArray *requests, guint i)
{
  return &g_array_index (requests, LcFlowGateRequest, i);
}

/* Returns the array's length if the flow has no request in it. */
static guint
lc_flow_gate__find (const GArray *requests, uint32_t flow)
{
  guint i = 0;

  while (i < requests->len && lc_flow_gate__at (requests, i)->flow != flow)
    i++;
  return i;
}

static void
lc_flow_gate__append (GArray *requests, uint32_t flow, int64_t at_us)
{
  LcFlowGateRequest request = { flow, at_us };

  g_array_append_val (requests, request);
}

static void
lc_flow_gate__uncount_unanswered (LcFlowGate *gate, int64_t now_us)
{
  guint n = 0;

  while (n < gate->in_flight->len &&
         now_us - lc_flow_gate__at (gate->in_flight, n)->at_us >= gate->desc.answer_timeout_us)
    n++;
  if (n == 0)
    return;
  g_array_remove_range (gate->in_flight, 0, n);
  gate->unanswered_total += n;
}

static bool
lc_flow_gate__is_late (const LcFlowGate *gate, const LcFlowGateRequest *request, int64_t now_us)
{
  return now_us - request->at_us > gate->late_us;
}

static guint
lc_flow_gate__oldest (const LcFlowGate *gate)
{
  guint oldest = 0;

  for (guint i = 1; i < gate->waiting->len; i++)
    if (lc_flow_gate__at (gate->waiting, i)->at_us <
        lc_flow_gate__at (gate->waiting, oldest)->at_us)
      oldest = i;
  return oldest;
}

static guint
lc_flow_gate__newest (const LcFlowGate *gate)
{
  guint newest = 0;

  for (guint i = 1; i < gate->waiting->len; i++)
    if (lc_flow_gate__at (gate->waiting, i)->at_us >=
        lc_flow_gate__at (gate->waiting, newest)->at_us)
      newest = i;
  return newest;
}

/* The request to pass next; at least one waits. */
static guint
lc_flow_gate__choose (const LcFlowGate *gate, int64_t now_us)
{
  guint oldest = lc_flow_gate__oldest (gate);

  switch (gate->desc.order)
    {
    case LC_FLOW_GATE_OLDEST_FIRST:
      return oldest;
    case LC_FLOW_GATE_NEWEST_FIRST:
      return lc_flow_gate__newest (gate);
    case LC_FLOW_GATE_ADAPTIVE:
    default:
      return lc_flow_gate__is_late (gate, lc_flow_gate__at (gate->waiting, oldest), now_us)
                 ? lc_flow_gate__newest (gate)
                 : oldest;
    }
}

/* For the waiting request at this index. */
static bool
lc_flow_gate__may_pass (LcFlowGate *gate, guint index, int64_t now_us)
{
  bool is_late = lc_flow_gate__is_late (gate, lc_flow_gate__at (gate->waiting, index), now_us);
  uint32_t limit = gate->slots + (is_late ? 0 : gate->desc.ahead);

  if (!lc_warmup_limit_allows (&gate->cold, now_us))
    return false;
  if (gate->slots == 0 || gate->in_flight->len < limit)
    return true;
  if (now_us - gate->last_passed_us < gate->desc.probe_us)
    return false;
  gate->probes_total++;
  return true;
}

static void
lc_flow_gate__pass (LcFlowGate *gate, uint32_t flow, int64_t now_us)
{
  lc_flow_gate__append (gate->in_flight, flow, now_us);
  lc_warmup_limit_record (&gate->cold, now_us);
  gate->last_passed_us = now_us;
}

/* === public ================================================================================= */

void
lc_flow_gate_init (LcFlowGate *gate, const LcFlowGateDesc *desc)
{
  LcFlowGateDesc *d = &gate->desc;

  memset (gate, 0, sizeof *gate);
  *d = *desc;
  d->ahead = d->ahead != 0 ? d->ahead : LC_FLOW_GATE_AHEAD;
  d->max_waiting = d->max_waiting != 0 ? d->max_waiting : LC_FLOW_GATE_MAX_WAITING;
  d->answer_timeout_us =
      lc_flow_gate__or_default (d->answer_timeout_us, LC_FLOW_GATE_ANSWER_TIMEOUT_US);
  d->probe_us = lc_flow_gate__or_default (d->probe_us, LC_FLOW_GATE_PROBE_US);
  d->give_up_us = lc_flow_gate__or_default (d->give_up_us, LC_FLOW_GATE_GIVE_UP_US);
  gate->in_flight = g_array_new (FALSE, FALSE, sizeof (LcFlowGateRequest));
  gate->waiting = g_array_new (FALSE, FALSE, sizeof (LcFlowGateRequest));
}

void
lc_flow_gate_finish (LcFlowGate *gate)
{
  g_array_unref (gate->in_flight);
  g_array_unref (gate->waiting);
  memset (gate, 0, sizeof *gate);
}

void
lc_flow_gate_set_server (LcFlowGate *gate, uint32_t slots, int64_t objective_us)
{
  gate->slots = slots;
  gate->late_us = lc_flow_gate__or_default (objective_us, LC_FLOW_GATE_OBJECTIVE_US) *
                  LC_FLOW_GATE_LATE_PERMILLE / 1000;
}

LcFlowGateVerdict
lc_flow_gate_submit (LcFlowGate *gate, uint32_t flow, int64_t began_us, int64_t now_us)
{
  if (lc_flow_gate__find (gate->in_flight, flow) < gate->in_flight->len)
    return LC_FLOW_GATE_PASS;
  if (lc_flow_gate__find (gate->waiting, flow) < gate->waiting->len)
    return LC_FLOW_GATE_WAIT;
  if (gate->waiting->len >= gate->desc.max_waiting && lc_warmup_limit_allows (&gate->cold, now_us))
    {
      gate->overflows_total++;
      lc_flow_gate__pass (gate, flow, now_us);
      return LC_FLOW_GATE_PASS;
    }
  lc_flow_gate__uncount_unanswered (gate, now_us);
  lc_flow_gate__append (gate->waiting, flow, began_us);
  if (lc_flow_gate__choose (gate, now_us) == gate->waiting->len - 1 &&
      lc_flow_gate__may_pass (gate, gate->waiting->len - 1, now_us))
    {
      g_array_set_size (gate->waiting, gate->waiting->len - 1);
      lc_flow_gate__pass (gate, flow, now_us);
      return LC_FLOW_GATE_PASS;
    }
  gate->waited_total++;
  return LC_FLOW_GATE_WAIT;
}

void
lc_flow_gate_remove (LcFlowGate *gate, uint32_t flow)
{
  guint in_flight = lc_flow_gate__find (gate->in_flight, flow);
  guint waiting = lc_flow_gate__find (gate->waiting, flow);

  if (waiting < gate->waiting->len)
    g_array_remove_index (gate->waiting, waiting);
  if (in_flight < gate->in_flight->len)
    g_array_remove_index (gate->in_flight, in_flight);
}

bool
lc_flow_gate_pass_next (LcFlowGate *gate, int64_t now_us, uint32_t *flow)
{
  guint i;

  lc_flow_gate__uncount_unanswered (gate, now_us);
  if (gate->waiting->len == 0)
    return false;
  i = lc_flow_gate__choose (gate, now_us);
  if (!lc_flow_gate__may_pass (gate, i, now_us))
    return false;
  *flow = lc_flow_gate__at (gate->waiting, i)->flow;
  g_array_remove_index (gate->waiting, i);
  lc_flow_gate__pass (gate, *flow, now_us);
  return true;
}

bool
lc_flow_gate_drop_expired (LcFlowGate *gate, int64_t now_us, uint32_t *flow)
{
  for (guint i = 0; i < gate->waiting->len; i++)
    if (now_us - lc_flow_gate__at (gate->waiting, i)->at_us >= gate->desc.give_up_us)
      {
        *flow = lc_flow_gate__at (gate->waiting, i)->flow;
        g_array_remove_index (gate->waiting, i);
        gate->given_up_total++;
        return true;
      }
  return false;
}

uint32_t
lc_flow_gate_n_in_flight (const LcFlowGate *gate)
{
  return gate->in_flight->len;
}

uint32_t
lc_flow_gate_n_waiting (const LcFlowGate *gate)
{
  return gate->waiting->len;
}

uint32_t
lc_flow_gate_load (const LcFlowGate *gate, int64_t now_us)
{
  uint32_t n = gate->in_flight->len;

  for (guint i = 0; i < gate->waiting->len; i++)
    n += !lc_flow_gate__is_late (gate, lc_flow_gate__at (gate->waiting, i), now_us);
  return n;
}
