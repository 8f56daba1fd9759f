/* Warm-up rate limit, alone and in the admission queue. */
#include "core/flow/lc-warmup-limit.h"
#include "core/flow/lc-flow-gate.h"
#include "tests/fakes/lc-fake-run.h"

#include <check.h>

enum
{
  MS = LC_US_PER_MS,
  N_BURSTS = 4,
};

static const struct
{
  const char *what;
  uint32_t rate_mrps;
  uint32_t overshoot_permille;
  uint32_t slack;
  bool is_known; /* there were no earlier grants */
  bool is_cold;
  struct
  {
    int64_t at_ms;
    uint32_t n_wanted;
    uint32_t n_granted;
  } bursts[N_BURSTS];
} CASES[] = {
  { "warm", 10000, 0, 0, true, false, { { 0, 50, 50 } } },
  { "no limit", 0, 0, 0, true, true, { { 0, 50, 50 } } },
  { "a burst", 10000, 0, 0, true, true, { { 1, 50, 10 } } },
  { "a burst across two fixed windows",
    10000,
    0,
    0,
    true,
    true,
    { { 950, 10, 10 }, { 1050, 10, 0 }, { 1999, 10, 0 }, { 2001, 50, 10 } } },
  { "grants expire one by one",
    4000,
    0,
    0,
    true,
    true,
    { { 1, 2, 2 }, { 501, 4, 2 }, { 1052, 4, 2 }, { 1552, 4, 2 } } },
  { "rate below one a second",
    400,
    0,
    0,
    true,
    true,
    { { 1, 3, 1 }, { 1000, 3, 0 }, { 1100, 3, 1 } } },
  { "rate above the maximum",
    9000000,
    0,
    0,
    true,
    true,
    { { 1, 2000, LC_WARMUP_LIMIT_MAX_RATE } } },
  { "agent start without overshoot or slack",
    10000,
    0,
    0,
    false,
    true,
    { { 1, 50, 0 }, { 1049, 50, 0 }, { 1050, 50, 10 } } },
  { "agent start: half of overshoot and slack",
    20000,
    1500,
    6,
    false,
    true,
    { { 1, 50, 8 }, { 1049, 50, 0 }, { 1050, 50, 12 }, { 1100, 50, 8 } } },
  { "agent start with much slack: at most the rate",
    2000,
    1000,
    100,
    false,
    true,
    { { 1, 50, 2 }, { 1060, 50, 2 } } },
};

/* No window of a second gets more than the rate, wherever it begins. */
START_TEST (test_any_window_keeps_the_rate)
{
  LcWarmupLimitDesc desc = { CASES[_i].overshoot_permille, CASES[_i].slack };
  LcWarmupLimit limit;

  lc_warmup_limit_init (&limit, &desc, 0);
  if (CASES[_i].is_known)
    lc_warmup_limit_skip_first_window (&limit);
  lc_warmup_limit_set_rate (&limit, CASES[_i].rate_mrps);
  lc_warmup_limit_set_cold (&limit, CASES[_i].is_cold);
  for (int b = 0; b < N_BURSTS; b++)
    {
      uint32_t n = 0;

      for (uint32_t k = 0; k < CASES[_i].bursts[b].n_wanted; k++)
        if (lc_warmup_limit_allows (&limit, CASES[_i].bursts[b].at_ms * MS))
          {
            lc_warmup_limit_record (&limit, CASES[_i].bursts[b].at_ms * MS);
            n++;
          }
      ck_assert_msg (n == CASES[_i].bursts[b].n_granted, "%s: burst %d: %u", CASES[_i].what, b, n);
    }
}
END_TEST

/* After a restart of the server, grants from before it count against the rate. */
START_TEST (test_grants_before_a_cold_start_count)
{
  LcWarmupLimitDesc desc = { 0 };
  LcWarmupLimit limit;

  lc_warmup_limit_init (&limit, &desc, 0);
  lc_warmup_limit_skip_first_window (&limit);
  lc_warmup_limit_set_rate (&limit, 5000);
  for (int k = 0; k < 20; k++)
    lc_warmup_limit_record (&limit, (2000 + k) * MS);
  lc_warmup_limit_set_cold (&limit, true);
  ck_assert (!lc_warmup_limit_allows (&limit, 2100 * MS));
  ck_assert (lc_warmup_limit_allows (&limit, 3100 * MS));
}
END_TEST

/* In the gate neither a probe nor a full queue exceeds the rate, and waiting requests pass as the
 * window slides. */
START_TEST (test_gate_keeps_the_rate)
{
  LcFlowGateDesc desc = { .max_waiting = 4 };
  LcFlowGate gate;
  uint32_t n_passed = 0;
  uint32_t n_later = 0;
  uint32_t flow;

  lc_flow_gate_init (&gate, &desc);
  lc_flow_gate_set_server (&gate, 2, 500 * MS);
  lc_warmup_limit_init (&gate.cold, &(LcWarmupLimitDesc){ 0 }, 0);
  lc_warmup_limit_skip_first_window (&gate.cold);
  lc_warmup_limit_set_rate (&gate.cold, 3000);
  lc_warmup_limit_set_cold (&gate.cold, true);
  for (uint32_t i = 1; i <= 20; i++)
    {
      if (lc_flow_gate_submit (&gate, i, MS, MS) != LC_FLOW_GATE_PASS)
        continue;
      n_passed++;
      lc_flow_gate_remove (&gate, i);
    }
  ck_assert_uint_eq (n_passed, 3);
  ck_assert (!lc_flow_gate_pass_next (&gate, 900 * MS, &flow));
  while (lc_flow_gate_pass_next (&gate, 1060 * MS, &flow))
    {
      lc_flow_gate_remove (&gate, flow);
      n_later++;
    }
  ck_assert_uint_eq (n_later, 3);
  lc_flow_gate_finish (&gate);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("cold-limit");
  TCase *tcase = tcase_create ("windows");

  tcase_add_loop_test (tcase, test_any_window_keeps_the_rate, 0, (int)G_N_ELEMENTS (CASES));
  tcase_add_test (tcase, test_grants_before_a_cold_start_count);
  tcase_add_test (tcase, test_gate_keeps_the_rate);
  suite_add_tcase (suite, tcase);
  return lc_fake_run (suite);
}
