/* Idle timeouts of the configuration: flows that pause for less than the one in force are reached,
 * whatever it was before, which agents restart and how far the agents' views lag. */
#include "return-world.h"
#include "tests/fakes/lc-fake-run.h"

#include <check.h>

enum
{
  DIRECT = 3,  /* agents; packets are sent to all of them */
  ROUNDS = 20, /* agents are queried in rounds */
  STEPS_MAX = 6,
};

/* Of the agents' settings, and the timeout that the configuration has at first. */
#define SETTING_US (20 * LC_US_PER_S)
#define FIRST_MS 15000U

typedef enum
{
  END = 0,
  PAUSE,   /* seconds */
  TIMEOUT, /* seconds; on all agents */
  LATE,    /* the same, but the view of agent 0 stays old */
  RESTART, /* agents 0 to `value` - 1 */
} Kind;

typedef struct
{
  Kind kind;
  int64_t value;
} Step;

static const struct
{
  const char *what;
  Step steps[STEPS_MAX];
} CASES[] = {
  { "unchanged", { { PAUSE, 14 } } },
  { "raised before the pause", { { TIMEOUT, 45 }, { PAUSE, 44 } } },
  { "raised in the pause", { { PAUSE, 10 }, { TIMEOUT, 45 }, { PAUSE, 34 } } },
  { "raised after the former one had passed", { { PAUSE, 25 }, { TIMEOUT, 45 }, { PAUSE, 19 } } },
  { "raised twice",
    { { PAUSE, 30 }, { TIMEOUT, 45 }, { PAUSE, 30 }, { TIMEOUT, 90 }, { PAUSE, 29 } } },
  { "raised, an agent restarts",
    { { TIMEOUT, 45 }, { PAUSE, 10 }, { RESTART, 1 }, { PAUSE, 34 } } },
  { "raised, all agents restart",
    { { TIMEOUT, 45 }, { PAUSE, 10 }, { RESTART, 99 }, { PAUSE, 34 } } },
  { "raised after the former one had passed, an agent restarts",
    { { PAUSE, 25 }, { TIMEOUT, 45 }, { RESTART, 1 }, { PAUSE, 19 } } },
  { "lowered in the pause", { { TIMEOUT, 45 }, { PAUSE, 5 }, { TIMEOUT, 15 }, { PAUSE, 39 } } },
  { "lowered in the pause, all agents restart",
    { { TIMEOUT, 45 }, { PAUSE, 5 }, { TIMEOUT, 15 }, { RESTART, 99 }, { PAUSE, 39 } } },
  { "lowered and raised again",
    { { TIMEOUT, 45 },
      { PAUSE, 5 },
      { TIMEOUT, 15 },
      { PAUSE, 20 },
      { TIMEOUT, 45 },
      { PAUSE, 19 } } },
  { "raised, an agent has an old view", { { LATE, 45 }, { PAUSE, 44 } } },
};

static const int SIZES[] = { DIRECT, ROUNDS };

static void
set_timeout (RwWorld *w, int64_t timeout_s, bool is_late)
{
  const LcService *s = lc_view_service (&w->view, 1);
  uint32_t before_ms = lc_service_longest_idle_ms (s);
  uint32_t timeout_ms = (uint32_t)timeout_s * 1000;

  rw_set_idle_timeout (w, timeout_ms, before_ms > timeout_ms ? before_ms : 0);
  for (int i = is_late ? 1 : 0; i < w->n_agents; i++)
    rw_show_agent (w, i);
  rw_show_balancer (w);
}

static void
carry_out (RwWorld *w, const Step *s)
{
  switch (s->kind)
    {
    case PAUSE:
      for (int64_t us = 0; us < s->value * LC_US_PER_S; us += LC_FLOW_TICK_US)
        rw_pass (w, LC_FLOW_TICK_US);
      break;
    case TIMEOUT:
    case LATE:
      set_timeout (w, s->value, s->kind == LATE);
      break;
    case RESTART:
      for (int i = 0; i < MIN (s->value, w->n_agents); i++)
        rw_restart_agent (w, i);
      break;
    case END:
      break;
    }
}

/* Nothing read the idle timeout of the configuration: agents discarded idle flows after the timeout
 * of their settings, and claimed that their tables were complete. */
START_TEST (test_idle_flows_are_reached)
{
  uint32_t i = (uint32_t)_i % G_N_ELEMENTS (CASES);
  RwWorld w;

  rw_start_sized (&w, SIZES[_i / G_N_ELEMENTS (CASES)], SIZES[_i / G_N_ELEMENTS (CASES)], false);
  w.idle_us = SETTING_US;
  for (int k = 0; k < w.n_agents; k++)
    rw_restart_agent (&w, k);
  set_timeout (&w, FIRST_MS / 1000, false);
  carry_out (&w, &(Step){ PAUSE, 25 });
  rw_open_flows (&w);
  for (int k = 0; k < STEPS_MAX; k++)
    carry_out (&w, &CASES[i].steps[k]);
  for (uint32_t f = 0; f < RW_N_FLOWS; f++)
    ck_assert_msg (rw_reaches_owner (&w, f), "%s, %d agents: flow %u", CASES[i].what, w.n_agents,
                   f);
  ck_assert_uint_eq (w.n_resets + rw_take_resets (&w), 0);
  rw_stop (&w);
}
END_TEST

/* A flow that no backend server holds is reset at once, as long as all tables are complete; after a
 * longer timeout came into force, once the packet was tried. */
START_TEST (test_unowned_flow_is_still_reset)
{
  for (size_t size = 0; size < G_N_ELEMENTS (SIZES); size++)
    for (int is_raised = 0; is_raised < 2; is_raised++)
      {
        LcPacket p = rw_packet_of (7, false);
        uint32_t n_resets = 0;
        RwWorld w;

        rw_start_sized (&w, SIZES[size], SIZES[size], true);
        carry_out (&w, &(Step){ PAUSE, 30 });
        if (is_raised)
          set_timeout (&w, 45, false);
        (void)rw_send (&w, &p);
        for (int tick = 0; tick < 20; tick++)
          {
            rw_pass (&w, LC_FLOW_AGENT_TICK_US);
            n_resets += rw_take_resets (&w);
          }
        ck_assert_uint_eq (n_resets, 1);
        rw_stop (&w);
      }
}
END_TEST

/* The longer timeout keeps idle flows no longer than it says, with the slack. */
START_TEST (test_idle_flows_end)
{
  RwWorld w;
  uint32_t n_owned = 0;

  rw_start_sized (&w, DIRECT, DIRECT, true);
  w.idle_us = SETTING_US;
  for (int k = 0; k < w.n_agents; k++)
    rw_restart_agent (&w, k);
  set_timeout (&w, 45, false);
  rw_open_flows (&w);
  carry_out (&w, &(Step){ PAUSE, 45 });
  for (int k = 0; k < w.n_agents; k++)
    n_owned += w.nodes[k].agent.table.n_owned;
  ck_assert_uint_eq (n_owned, RW_N_FLOWS);
  carry_out (&w, &(Step){ PAUSE, 2 + LC_FLOW_IDLE_SLACK_US / LC_US_PER_S });
  for (int k = 0; k < w.n_agents; k++)
    ck_assert_uint_eq (w.nodes[k].agent.table.n_owned, 0);
  rw_stop (&w);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("flow-idle");
  TCase *idle = tcase_create ("idle");

  tcase_add_loop_test (idle, test_idle_flows_are_reached, 0,
                       G_N_ELEMENTS (CASES) * G_N_ELEMENTS (SIZES));
  tcase_add_test (idle, test_unowned_flow_is_still_reset);
  tcase_add_test (idle, test_idle_flows_end);
  suite_add_tcase (suite, idle);
  return lc_fake_run (suite);
}
