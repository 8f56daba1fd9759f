/* Property tests of evacuations: orders and their reversal through VMs that lag behind, and where
 * first packets go while views lag and agents restart.
 */
#include "core/control/lc-evacuation.h"
#include "prop-steps.hh"
#include "return-world.h"

#include <rapidcheck.h>

#include <vector>

namespace
{

const int N_AGENTS = 4; /* two in each data centre; the world has a fifth, which is in no view */
const int N_DCS = 2;

enum Kind
{
  OPEN,
  EVACUATE,
  TAKE_BACK,
  RESTART,
  SHOW_AGENT,
  SHOW_BALANCER,
  CHANGE, /* an unrelated change of the view */
  SETTLE,
  N_KINDS
};

LcDcId
dc_of (uint32_t subject)
{
  return (LcDcId)(subject % N_DCS + 1);
}

/* A backend server whose own agent has the evacuation in its view gets no first packet, whatever
 * the others' views; each opened flow is held by exactly one. */
void
open_flow (RwWorld &w, uint32_t flow)
{
  LcPacket p = rw_packet_of (flow, true);
  uint32_t before[N_AGENTS];

  if (rw_n_held (&w, flow) != 0)
    return;
  for (int i = 0; i < N_AGENTS; i++)
    before[i] = w.nodes[i].n_firsts;
  (void)rw_send (&w, &p);
  for (int i = 0; i < N_AGENTS; i++)
    if (lc_view_is_evacuated (&w.seen[i], w.nodes[i].dc))
      RC_ASSERT (w.nodes[i].n_firsts == before[i]);
  RC_ASSERT (rw_n_held (&w, flow) <= 1U);
}

void
carry_out (RwWorld &w, const Step &s)
{
  int agent = (int)(s.subject % N_AGENTS);

  switch (s.kind)
    {
    case OPEN:
      open_flow (w, s.subject % RW_N_FLOWS);
      break;
    case EVACUATE:
    case TAKE_BACK:
      rw_evacuate (&w, dc_of (s.subject), s.kind == EVACUATE);
      break;
    case RESTART:
      rw_restart_agent (&w, agent);
      break;
    case SHOW_AGENT:
      rw_show_agent (&w, agent);
      break;
    case SHOW_BALANCER:
      rw_show_balancer (&w);
      break;
    case CHANGE:
      rw_put_endpoint (&w, agent, LC_ENDPOINT_ACTIVE);
      break;
    default:
      rw_settle (&w);
      break;
    }
}

/* The holder of a flow gets its packets, also in an evacuated data centre. */
void
send_data (RwWorld &w, uint32_t flow)
{
  LcPacket p = rw_packet_of (flow, false);
  uint32_t before = 0;
  uint32_t after = 0;

  for (int i = 0; i < w.n_agents; i++)
    before += w.nodes[i].n_delivered;
  RC_ASSERT (rw_send (&w, &p) == 0);
  for (int i = 0; i < w.n_agents; i++)
    after += w.nodes[i].n_delivered;
  RC_ASSERT (after > before);
}

/* Once all have the newest view: all open flows are reached, and new ones open if a data centre is
 * left. */
void
check_end (RwWorld &w)
{
  bool is_any_left = false;

  rw_show_view (&w);
  rw_pass (&w, 2 * LC_US_PER_S); /* an endpoint that refused is excluded for a second */
  rw_settle (&w);
  for (uint32_t flow = 0; flow < RW_N_FLOWS; flow++)
    if (rw_n_held (&w, flow) != 0)
      send_data (w, flow);
  for (LcDcId dc = 1; dc <= N_DCS; dc++)
    is_any_left = is_any_left || !lc_view_is_evacuated (&w.view, dc);
  for (uint32_t flow = 0; flow < RW_N_FLOWS; flow++)
    {
      bool was_held = rw_n_held (&w, flow) != 0;

      open_flow (w, flow);
      RC_ASSERT ((rw_n_held (&w, flow) == 1U) == (was_held || is_any_left));
    }
}

void
run_world (const std::vector<Step> &all)
{
  RwWorld w;

  rw_start (&w, N_AGENTS);
  for (int i = 0; i < N_AGENTS; i++)
    rw_place (&w, i, (LcDcId)(i * N_DCS / N_AGENTS + 1));
  rw_evacuate (&w, 1, false);
  rw_evacuate (&w, 2, false);
  rw_show_view (&w);
  for (const Step &s : all)
    carry_out (w, s);
  check_end (w);
  rw_stop (&w);
}

/* === orders ================================================================================= */

/* A copy of an order, delayed at the VM that received it. */
struct Copy
{
  bool is_wanted;
  LcRevision seen;
};

/* An operator gives one order after the other, each to VMs that lag by up to two changes until one
 * answers that it is in force.  Copies that were delayed may be carried out at any later time: they
 * must never change what the last answer confirmed. */
void
give_orders (const std::vector<uint32_t> &draws)
{
  std::vector<LcRevision> changes = { 0 };
  std::vector<Copy> delayed;
  LcDataCentre dc = {};
  LcRevision revision = 0;
  bool is_wanted = false;

  for (uint32_t draw : draws)
    {
      size_t lag = draw % 3;
      bool is_done = false;

      is_wanted = !is_wanted;
      for (int attempt = 0; !is_done; attempt++)
        {
          size_t newest = changes.size () - 1;
          size_t sees = attempt > 0 || lag > newest ? newest : newest - lag;
          LcEvacuation order = {};

          order.is_wanted = is_wanted;
          order.seen_revision = changes[sees];
          if (attempt == 0 && draw % 2 == 0)
            {
              delayed.push_back ({ is_wanted, order.seen_revision });
              continue;
            }
          if (lc_evacuation_decide (&order, &dc) == LC_EVACUATION_SUPERSEDED)
            continue;
          dc.is_evacuated = is_wanted;
          dc.evacuation_revision = ++revision;
          changes.push_back (revision);
          is_done = true;
        }
      for (const Copy &copy : delayed)
        {
          LcEvacuation late = {};

          late.is_wanted = copy.is_wanted;
          late.seen_revision = copy.seen;
          RC_ASSERT (lc_evacuation_decide (&late, &dc) != LC_EVACUATION_CHANGE);
        }
      RC_ASSERT (dc.is_evacuated == is_wanted);
    }
}

} // namespace

int
main ()
{
  bool ok = rc::check ("a backend server gets no first packet once its agent has the evacuation",
                       [] { run_world (*steps (N_KINDS)); });

  ok = rc::check ("a delayed copy of an order changes nothing after the order was answered",
                  [] {
                    give_orders (*rc::gen::container<std::vector<uint32_t> > (
                        rc::gen::inRange<uint32_t> (0, 1000)));
                  }) &&
       ok;
  return ok ? 0 : 1;
}
