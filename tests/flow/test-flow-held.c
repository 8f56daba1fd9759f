/* Flows that a living backend server holds, but whose owner's entry left the agent's table: the
 * agent tries its own backend server before it counts the flow as lost. */
#include "return-world.h"
#include "tests/fakes/lc-fake-run.h"

#include <check.h>

enum
{
  N_AGENTS = 3,
  N_ENDPOINTS_LARGE = 20, /* searches query agents in rounds */
};

#define LONGER_THAN_A_POINTER_US (220 * LC_US_PER_S)

static int
owner_of (const RwWorld *w, uint32_t flow)
{
  int i = 0;

  while (!w->nodes[i].holds[flow])
    i++;
  return i;
}

/* Gives the owner's agent a message about the flow, as from the agent `from`. */
static void
tell_owner (RwWorld *w, uint32_t flow, int from, LcFlowMessageKind kind, LcFlowEntry entry)
{
  int owner = owner_of (w, flow);
  LcFlowMessage m = { .kind = kind,
                      .service_id = 1,
                      .load.agent = w->nodes[from].agent.desc.self,
                      .load.revision = w->revision,
                      .to = w->nodes[owner].agent.desc.self,
                      .n = 1 };

  entry.key = rw_packet_of (flow, false).key;
  m.entries[0] = entry;
  lc_flow_agent_handle_message (&w->nodes[owner].agent, &m, w->now_us);
}

typedef enum
{
  REFUSED,
  CLAIMED,
  CLAIMED_AND_ENDED,
  CLAIMED_LONG_AGO,
  OWN_CLAIM,
} Way;

static void
release (RwWorld *w, uint32_t flow, Way way)
{
  int owner = owner_of (w, flow);
  int other = (owner + 1) % w->n_agents;

  switch (way)
    {
    case REFUSED:
      tell_owner (w, flow, other, LC_FLOW_POINTERS_ACK, (LcFlowEntry){ .is_refused = true });
      break;
    case CLAIMED:
    case CLAIMED_LONG_AGO:
      tell_owner (w, flow, other, LC_FLOW_POINTERS, (LcFlowEntry){ .epoch = 5 });
      break;
    case CLAIMED_AND_ENDED:
      tell_owner (w, flow, other, LC_FLOW_POINTERS, (LcFlowEntry){ .epoch = 5 });
      tell_owner (w, flow, other, LC_FLOW_POINTERS, (LcFlowEntry){ .is_end = true });
      break;
    case OWN_CLAIM:
      tell_owner (w, flow, owner, LC_FLOW_POINTERS, (LcFlowEntry){ 0 });
      break;
    }
}

static const struct
{
  const char *what;
  Way way;
  int n_agents;
  bool is_released;
} RELEASES[] = {
  { "a home refuses the registration", REFUSED, N_AGENTS, true },
  { "another agent claims it", CLAIMED, N_AGENTS, true },
  { "another agent claims it and ends its claim", CLAIMED_AND_ENDED, N_AGENTS, true },
  { "the pointer to another agent has expired", CLAIMED_LONG_AGO, N_AGENTS, true },
  { "its own registration comes back", OWN_CLAIM, N_AGENTS, false },
  { "a home refuses it, in a large service", REFUSED, N_ENDPOINTS_LARGE, true },
  { "another agent claims it and ends its claim, in a large service", CLAIMED_AND_ENDED,
    N_ENDPOINTS_LARGE, true },
};

static uint32_t
n_released (const RwWorld *w)
{
  uint64_t n = 0;

  for (int i = 0; i < w->n_agents; i++)
    n += w->nodes[i].agent.counts.released_total[LC_FLOW_RELEASE_REFUSED] +
         w->nodes[i].agent.counts.released_total[LC_FLOW_RELEASE_CLAIMED];
  return (uint32_t)n;
}

/* The owner relied on its table, which had lost the entry, and reset the caller of a flow that its
 * backend server held. */
START_TEST (test_released_flows_are_tried_here)
{
  RwWorld w;

  rw_start_sized (&w, RELEASES[_i].n_agents, RELEASES[_i].n_agents, true);
  rw_open_flows (&w);
  rw_settle (&w);
  for (uint32_t f = 0; f < RW_N_FLOWS; f++)
    release (&w, f, RELEASES[_i].way);
  rw_settle (&w);
  ck_assert_msg (n_released (&w) == (RELEASES[_i].is_released ? RW_N_FLOWS : 0), "%s: %u released",
                 RELEASES[_i].what, n_released (&w));
  /* Homes have lost their pointers as well, so that each packet is searched for. */
  for (int i = 0; i < w.n_agents && RELEASES[_i].way != OWN_CLAIM; i++)
    for (uint32_t f = 0; f < RW_N_FLOWS; f++)
      {
        LcFlowKey key = rw_packet_of (f, false).key;
        LcFlow *known = lc_flow_table_find (&w.nodes[i].agent.table, &key, lc_flow_key_hash (&key));

        if (known != NULL && i != owner_of (&w, f))
          lc_flow_table_remove (&w.nodes[i].agent.table, known);
      }
  if (RELEASES[_i].way == CLAIMED_LONG_AGO)
    rw_pass (&w, LONGER_THAN_A_POINTER_US);
  for (uint32_t f = 0; f < RW_N_FLOWS; f++)
    ck_assert_msg (rw_reaches_owner (&w, f), "%s: flow %u", RELEASES[_i].what, f);
  ck_assert_uint_eq (w.n_resets + rw_take_resets (&w), 0);
  rw_stop (&w);
}
END_TEST

/* The log names each release with the other agent; what is not taken is counted only. */
START_TEST (test_releases_are_reported)
{
  LcFlowReleased released;
  uint32_t n = 0;
  RwWorld w;

  rw_start_sized (&w, N_AGENTS, N_AGENTS, true);
  rw_open_flows (&w);
  for (uint32_t f = 0; f < RW_N_FLOWS; f++)
    release (&w, f, f % 2 == 0 ? REFUSED : CLAIMED);
  for (int i = 0; i < w.n_agents; i++)
    while (lc_flow_agent_next_released (&w.nodes[i].agent, &released))
      {
        uint32_t flow = released.key.source_ipv4 - 0x64400000;

        ck_assert_int_eq (released.reason,
                          flow % 2 == 0 ? LC_FLOW_RELEASE_REFUSED : LC_FLOW_RELEASE_CLAIMED);
        ck_assert_uint_eq (released.by.id, w.nodes[(i + 1) % N_AGENTS].agent.desc.self.id);
        n++;
      }
  ck_assert_uint_eq (n, RW_N_FLOWS);
  rw_stop (&w);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("flow-held");
  TCase *tc = tcase_create ("held");

  tcase_set_timeout (tc, 30);
  tcase_add_loop_test (tc, test_released_flows_are_tried_here, 0, G_N_ELEMENTS (RELEASES));
  tcase_add_test (tc, test_releases_are_reported);
  suite_add_tcase (suite, tc);
  return lc_fake_run (suite);
}
