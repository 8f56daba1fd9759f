/* Admission queue: which requests pass, wait or are dropped; a backlog after an outage. */
#include "core/flow/lc-flow-gate.h"
#include "core/flow/lc-flow-reconnects.h"
#include "tests/fakes/lc-fake-run.h"

#include <check.h>
#include <string.h>

enum
{
  N_STEPS = 12,
  MS = LC_US_PER_MS,
  OBJECTIVE_MS = 500, /* a request is late after 400 ms */
};

typedef enum
{
  END_OF_STEPS,
  ASK,     /* request of `flow`, begun at `began_ms`; `expected` is the verdict */
  END,     /* the request of `flow` ends */
  NEXT,    /* `expected` is the flow that passes, 0: none */
  GIVE_UP, /* `expected` is the flow that is dropped, 0: none */
} StepKind;

typedef struct
{
  StepKind kind;
  int64_t at_ms;
  uint32_t flow;
  int64_t began_ms;
  uint32_t expected;
} Step;

typedef struct
{
  const char *what;
  LcFlowGateOrder order;
  uint32_t slots;
  uint32_t max_waiting;
  Step steps[N_STEPS];
} Case;

#define PASSES LC_FLOW_GATE_PASS
#define WAITS LC_FLOW_GATE_WAIT

/* One ahead of the slots. */
static const Case CASES[] = {
  { "one for the slot and one ahead",
    LC_FLOW_GATE_NEWEST_FIRST,
    1,
    0,
    { { ASK, 0, 1, 0, PASSES }, { ASK, 0, 2, 0, PASSES }, { ASK, 0, 3, 0, WAITS } } },
  { "unknown slots: all pass",
    LC_FLOW_GATE_NEWEST_FIRST,
    0,
    0,
    { { ASK, 0, 1, 0, PASSES }, { ASK, 0, 2, 0, PASSES }, { ASK, 0, 3, 0, PASSES } } },
  { "further packets of the same request",
    LC_FLOW_GATE_NEWEST_FIRST,
    1,
    0,
    { { ASK, 0, 1, 0, PASSES },
      { ASK, 0, 2, 0, PASSES },
      { ASK, 0, 1, 0, PASSES },
      { ASK, 0, 3, 0, WAITS },
      { ASK, 1, 3, 1, WAITS } } },
  { "newest first",
    LC_FLOW_GATE_NEWEST_FIRST,
    1,
    0,
    { { ASK, 0, 1, 0, PASSES },
      { ASK, 0, 2, 0, PASSES },
      { ASK, 10, 3, 10, WAITS },
      { ASK, 20, 4, 20, WAITS },
      { NEXT, 20, 0, 0, 0 },
      { END, 30, 1, 0, 0 },
      { NEXT, 30, 0, 0, 4 },
      { NEXT, 30, 0, 0, 0 },
      { END, 40, 2, 0, 0 },
      { NEXT, 40, 0, 0, 3 } } },
  { "oldest first, also before a new request",
    LC_FLOW_GATE_OLDEST_FIRST,
    1,
    0,
    { { ASK, 0, 1, 0, PASSES },
      { ASK, 0, 2, 0, PASSES },
      { ASK, 10, 3, 10, WAITS },
      { END, 20, 1, 0, 0 },
      { ASK, 20, 4, 20, WAITS },
      { NEXT, 20, 0, 0, 3 } } },
  { "newest by when the caller began, not by arrival",
    LC_FLOW_GATE_NEWEST_FIRST,
    1,
    0,
    { { ASK, 0, 1, 0, PASSES },
      { ASK, 0, 2, 0, PASSES },
      { ASK, 10, 3, 10, WAITS },
      { ASK, 20, 4, -380, WAITS },
      { END, 30, 1, 0, 0 },
      { NEXT, 30, 0, 0, 3 } } },
  { "adaptive: oldest first while none is late",
    LC_FLOW_GATE_ADAPTIVE,
    1,
    0,
    { { ASK, 0, 1, 0, PASSES },
      { ASK, 0, 2, 0, PASSES },
      { ASK, 10, 3, 10, WAITS },
      { ASK, 20, 4, 20, WAITS },
      { END, 30, 1, 0, 0 },
      { NEXT, 30, 0, 0, 3 },
      { END, 40, 2, 0, 0 },
      { NEXT, 40, 0, 0, 4 } } },
  { "adaptive: newest first while one is late",
    LC_FLOW_GATE_ADAPTIVE,
    1,
    0,
    { { ASK, 0, 1, 0, PASSES },
      { ASK, 0, 2, 0, PASSES },
      { ASK, 10, 3, -490, WAITS },
      { ASK, 20, 4, 20, WAITS },
      { ASK, 25, 5, 25, WAITS },
      { END, 30, 1, 0, 0 },
      { NEXT, 30, 0, 0, 5 },
      { END, 40, 2, 0, 0 },
      { NEXT, 40, 0, 0, 4 },
      { END, 50, 4, 0, 0 },
      { END, 50, 5, 0, 0 },
      { NEXT, 50, 0, 0, 3 } } },
  { "a waiting request that ends",
    LC_FLOW_GATE_NEWEST_FIRST,
    1,
    0,
    { { ASK, 0, 1, 0, PASSES },
      { ASK, 0, 2, 0, PASSES },
      { ASK, 10, 3, 10, WAITS },
      { END, 20, 3, 0, 0 },
      { END, 30, 1, 0, 0 },
      { NEXT, 30, 0, 0, 0 } } },
  { "a request without an answer stops counting after a second",
    LC_FLOW_GATE_NEWEST_FIRST,
    1,
    0,
    { { ASK, 0, 1, 0, PASSES },
      { ASK, 0, 2, 0, PASSES },
      { ASK, 950, 3, 950, PASSES }, /* a probe */
      { ASK, 999, 4, 999, WAITS },
      { NEXT, 999, 0, 0, 0 },
      { NEXT, 1000, 0, 0, 4 },
      { ASK, 1000, 5, 1000, WAITS } } },
  { "a probe passes when nothing has for 200 ms",
    LC_FLOW_GATE_NEWEST_FIRST,
    1,
    0,
    { { ASK, 0, 1, 0, PASSES },
      { ASK, 0, 2, 0, PASSES },
      { ASK, 100, 3, 100, WAITS },
      { ASK, 100, 4, 100, WAITS },
      { NEXT, 199, 0, 0, 0 },
      { NEXT, 200, 0, 0, 4 },
      { NEXT, 200, 0, 0, 0 },
      { NEXT, 400, 0, 0, 3 } } },
  { "a late request passes for a free slot only",
    LC_FLOW_GATE_NEWEST_FIRST,
    1,
    0,
    { { ASK, 0, 1, 0, PASSES },
      { ASK, 0, 2, 0, PASSES },
      { ASK, 10, 3, -590, WAITS },
      { END, 20, 1, 0, 0 },
      { NEXT, 20, 0, 0, 0 },
      { ASK, 30, 4, 30, PASSES },
      { END, 40, 2, 0, 0 },
      { NEXT, 40, 0, 0, 0 },
      { END, 50, 4, 0, 0 },
      { NEXT, 50, 0, 0, 3 } } },
  { "a request beyond max_waiting passes",
    LC_FLOW_GATE_NEWEST_FIRST,
    1,
    1,
    { { ASK, 0, 1, 0, PASSES },
      { ASK, 0, 2, 0, PASSES },
      { ASK, 0, 3, 0, WAITS },
      { ASK, 0, 4, 0, PASSES },
      { NEXT, 0, 0, 0, 0 } } },
  { "a request is dropped after its caller's timeout",
    LC_FLOW_GATE_NEWEST_FIRST,
    1,
    0,
    { { ASK, 0, 1, 0, PASSES },
      { ASK, 0, 2, 0, PASSES },
      { ASK, 10, 3, -590, WAITS },
      { GIVE_UP, 1409, 0, 0, 0 },
      { GIVE_UP, 1410, 0, 0, 3 },
      { GIVE_UP, 1410, 0, 0, 0 } } },
};

static uint32_t
take_step (LcFlowGate *gate, const Step *s)
{
  int64_t now_us = s->at_ms * MS;
  uint32_t flow = 0;

  switch (s->kind)
    {
    case ASK:
      return lc_flow_gate_submit (gate, s->flow, s->began_ms * MS, now_us);
    case NEXT:
      return lc_flow_gate_pass_next (gate, now_us, &flow) ? flow : 0;
    case GIVE_UP:
      return lc_flow_gate_drop_expired (gate, now_us, &flow) ? flow : 0;
    case END:
      lc_flow_gate_remove (gate, s->flow);
      return 0;
    case END_OF_STEPS:
      break;
    }
  return 0;
}

/* A wrong count holds requests for ever; a wrong order makes all late. */
START_TEST (test_admission_order)
{
  const Case *c = &CASES[_i];
  LcFlowGateDesc desc = { .order = c->order, .max_waiting = c->max_waiting };
  LcFlowGate gate;

  lc_flow_gate_init (&gate, &desc);
  lc_flow_gate_set_server (&gate, c->slots, OBJECTIVE_MS * MS);
  for (int i = 0; i < N_STEPS && c->steps[i].kind != END_OF_STEPS; i++)
    {
      uint32_t got = take_step (&gate, &c->steps[i]);

      ck_assert_msg (got == c->steps[i].expected, "%s: step %d: %u", c->what, i + 1, got);
    }
  lc_flow_gate_finish (&gate);
}
END_TEST

/* Late requests go after a new one, so they don't count as load. */
START_TEST (test_load_excludes_late_requests)
{
  LcFlowGateDesc desc = { 0 };
  LcFlowGate gate;

  lc_flow_gate_init (&gate, &desc);
  lc_flow_gate_set_server (&gate, 1, OBJECTIVE_MS * MS);
  for (uint32_t flow = 1; flow <= 4; flow++)
    (void)lc_flow_gate_submit (&gate, flow, flow == 4 ? -600 * MS : 0, 0);
  ck_assert_uint_eq (lc_flow_gate_n_in_flight (&gate), 2);
  ck_assert_uint_eq (lc_flow_gate_n_waiting (&gate), 2);
  ck_assert_uint_eq (lc_flow_gate_load (&gate, 0), 3);
  ck_assert_uint_eq (lc_flow_gate_load (&gate, 401 * MS), 2);
  lc_flow_gate_finish (&gate);
}
END_TEST

/* A caller counts as returning once for each flow it lost, and only for 250 ms. */
START_TEST (test_returning_callers)
{
  static LcFlowReconnects r;
  int64_t now_us = 7000 * MS;

  memset (&r, 0, sizeof r);
  ck_assert (!lc_flow_reconnects_take (&r, 1, now_us));
  lc_flow_reconnects_add (&r, 1, now_us);
  lc_flow_reconnects_add (&r, 1, now_us + 10 * MS);
  lc_flow_reconnects_add (&r, 2, now_us + 20 * MS);
  ck_assert (!lc_flow_reconnects_take (&r, 3, now_us + 30 * MS));
  ck_assert (lc_flow_reconnects_take (&r, 1, now_us + 30 * MS));
  ck_assert (lc_flow_reconnects_take (&r, 1, now_us + 30 * MS));
  ck_assert (!lc_flow_reconnects_take (&r, 1, now_us + 30 * MS));
  ck_assert (!lc_flow_reconnects_take (&r, 2, now_us + 271 * MS));
  /* A full table drops the oldest. */
  lc_flow_reconnects_add (&r, 9, now_us + 300 * MS);
  for (uint32_t i = 0; i < LC_FLOW_RECONNECTS_MAX; i++)
    lc_flow_reconnects_add (&r, 100 + i, now_us + 300 * MS);
  ck_assert (!lc_flow_reconnects_take (&r, 9, now_us + 300 * MS));
  ck_assert (lc_flow_reconnects_take (&r, 100, now_us + 300 * MS));
}
END_TEST

/* === backlog after an outage ================================================================ */

/* A backend server has just started, cold.  The callers of an outage of 1.2 s come at once, and new
 * ones at two thirds of its capacity.  It works on `SERVER_SLOTS` requests, queues `SERVER_QUEUE`
 * first in, first out, and refuses the rest. */
enum
{
  SERVER_SLOTS = 3,
  SERVER_QUEUE = 12,
  COLD_WORK_MS = 38,
  BACKLOG = 64,
  BACKLOG_MS = 1200,
  NEW_EACH_MS = 19,
  AIM_MS = 120,
  SIMULATED_MS = 2000,
  N_REQUESTS = 512,
};

typedef struct
{
  int64_t began_ms;
  int64_t ends_ms; /* 0: not started */
} Request;

typedef struct
{
  LcFlowGate gate;
  bool has_gate;
  Request requests[N_REQUESTS];
  uint32_t n_requests;
  uint32_t at_work[SERVER_SLOTS];
  uint32_t n_at_work;
  uint32_t queue[SERVER_QUEUE];
  uint32_t n_queued;
  uint32_t n_refused;
  uint32_t n_new;         /* sent after the outage */
  uint32_t n_new_in_time; /* of them, answered within AIM_MS */
} Simulation;

static void
start_work (Simulation *r, uint32_t request, int64_t now_ms)
{
  r->requests[request].ends_ms = now_ms + COLD_WORK_MS;
  r->at_work[r->n_at_work++] = request;
}

static void
give_to_server (Simulation *r, uint32_t request, int64_t now_ms)
{
  if (r->n_at_work < SERVER_SLOTS)
    start_work (r, request, now_ms);
  else if (r->n_queued < SERVER_QUEUE)
    r->queue[r->n_queued++] = request;
  else
    {
      r->n_refused++;
      lc_flow_gate_remove (&r->gate, request);
    }
}

static void
send_request (Simulation *r, int64_t began_ms, int64_t now_ms)
{
  uint32_t request = r->n_requests++;

  r->requests[request].began_ms = began_ms;
  r->n_new += began_ms >= 0;
  if (!r->has_gate ||
      lc_flow_gate_submit (&r->gate, request, began_ms * MS, now_ms * MS) == LC_FLOW_GATE_PASS)
    give_to_server (r, request, now_ms);
}

static void
finish_work (Simulation *r, int64_t now_ms)
{
  for (uint32_t i = 0; i < r->n_at_work;)
    {
      uint32_t request = r->at_work[i];
      const Request *a = &r->requests[request];

      if (a->ends_ms > now_ms)
        {
          i++;
          continue;
        }
      r->n_new_in_time += a->began_ms >= 0 && now_ms - a->began_ms <= AIM_MS;
      r->at_work[i] = r->at_work[--r->n_at_work];
      lc_flow_gate_remove (&r->gate, request);
      if (r->n_queued == 0)
        continue;
      start_work (r, r->queue[0], now_ms);
      memmove (r->queue, r->queue + 1, --r->n_queued * sizeof r->queue[0]);
    }
}

static void
simulate (Simulation *r, bool has_gate, LcFlowGateOrder order)
{
  LcFlowGateDesc desc = { .order = order };
  uint32_t flow;

  memset (r, 0, sizeof *r);
  r->has_gate = has_gate;
  lc_flow_gate_init (&r->gate, &desc);
  lc_flow_gate_set_server (&r->gate, SERVER_SLOTS, AIM_MS * MS);
  for (int64_t now_ms = 0; now_ms < SIMULATED_MS + AIM_MS; now_ms++)
    {
      finish_work (r, now_ms);
      /* The callers of the outage arrive within 100 ms. */
      if (now_ms < 100 && now_ms * BACKLOG / 100 < (now_ms + 1) * BACKLOG / 100)
        send_request (r, now_ms - 1 - (now_ms * 7919) % BACKLOG_MS, now_ms);
      if (now_ms % NEW_EACH_MS == 0 && now_ms < SIMULATED_MS)
        send_request (r, now_ms, now_ms);
      while (r->has_gate && lc_flow_gate_pass_next (&r->gate, now_ms * MS, &flow))
        give_to_server (r, flow, now_ms);
      while (lc_flow_gate_drop_expired (&r->gate, now_ms * MS, &flow))
        ;
    }
  lc_flow_gate_finish (&r->gate);
}

static const struct
{
  const char *what;
  bool has_gate;
  LcFlowGateOrder order;
  uint32_t least_percent; /* of the new requests that are answered in time */
  uint32_t most_percent;
  uint32_t least_refused;
  uint32_t most_refused;
} SIMULATIONS[] = {
  { "the server's own queue", false, 0, 0, 89, 40, 64 },
  { "oldest first", true, LC_FLOW_GATE_OLDEST_FIRST, 0, 60, 0, 0 },
  { "newest first", true, LC_FLOW_GATE_NEWEST_FIRST, 90, 100, 0, 0 },
  { "newest first while there is a backlog", true, LC_FLOW_GATE_ADAPTIVE, 90, 100, 0, 0 },
};

/* First in, first out, new requests would be late behind the backlog. */
START_TEST (test_new_requests_are_in_time_after_an_outage)
{
  static Simulation r;
  uint32_t percent;

  simulate (&r, SIMULATIONS[_i].has_gate, SIMULATIONS[_i].order);
  percent = r.n_new_in_time * 100 / r.n_new;
  ck_assert_msg (
      percent >= SIMULATIONS[_i].least_percent && percent <= SIMULATIONS[_i].most_percent,
      "%s: %u %% of %u in time, %u refused", SIMULATIONS[_i].what, percent, r.n_new, r.n_refused);
  ck_assert_msg (r.n_refused >= SIMULATIONS[_i].least_refused &&
                     r.n_refused <= SIMULATIONS[_i].most_refused,
                 "%s: %u refused", SIMULATIONS[_i].what, r.n_refused);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("flow-gate");
  TCase *tcase = tcase_create ("gate");

  tcase_add_loop_test (tcase, test_admission_order, 0, (int)(sizeof CASES / sizeof CASES[0]));
  tcase_add_loop_test (tcase, test_new_requests_are_in_time_after_an_outage, 0,
                       (int)(sizeof SIMULATIONS / sizeof SIMULATIONS[0]));
  tcase_add_test (tcase, test_load_excludes_late_requests);
  tcase_add_test (tcase, test_returning_callers);
  suite_add_tcase (suite, tcase);
  return lc_fake_run (suite);
}
