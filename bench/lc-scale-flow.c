/* The flow plane: choice of candidates and steering a packet, the flow table of an agent. */
#include "lc-scale.h"

#include "core/flow/lc-flow-balancer.h"
#include "core/flow/lc-flow-table.h"

enum
{
  LC_SCALE_PICKS = 200000,
  LC_SCALE_FULL = 59000,
};

static const uint32_t LC_SCALE_SET_SIZES[] = { 3, 7, 14, 28, 56 }; /* the last is the check */
static const uint32_t LC_SCALE_STEER_SIZES[] = { 7400, 14800, 29500, 44300, LC_SCALE_FULL };
static const uint32_t LC_SCALE_FLOWS[] = { 1000, 10000, 100000, 500000, 1000000 };

/* Adds a point, or the check when it is the last of its sizes. */
static void
lc_scale_flow__put (LcScaleSeries *s, const uint32_t *sizes, size_t n, size_t i, double value)
{
  if (i + 1 == n)
    lc_scale_check (s, sizes[i], value);
  else
    lc_scale_add (s, sizes[i], value);
}

/* === choice against the endpoints of a service ============================================== */

static void
lc_scale_flow__service (LcView *view, uint32_t n_endpoints)
{
  LcViewOp service = { .revision = 1, .kind = LC_VIEW_SERVICE };
  LcViewOp settled = { .revision = 1, .kind = LC_VIEW_SETTLED, .settled_revision = 1 };

  service.service.id = 1;
  (void)lc_view_apply (view, &service, NULL);
  for (uint32_t i = 1; i <= n_endpoints; i++)
    {
      LcViewOp op = { .revision = 1, .kind = LC_VIEW_ENDPOINT };

      op.endpoint = (LcEndpoint){
        .id = i, .service_id = 1, .instance = i, .state = LC_ENDPOINT_ACTIVE, .weight_percent = 100
      };
      (void)lc_view_apply (view, &op, NULL);
    }
  (void)lc_view_apply (view, &settled, NULL);
}

static double
lc_scale_flow__pick_ns (uint32_t n_endpoints, uint32_t seed)
{
  LcCandidateSets sets = { 0 };
  LcView view;
  double began_us;
  uint32_t n_picked = 0;

  lc_view_init (&view);
  lc_scale_flow__service (&view, n_endpoints);
  lc_candidate_sets_compile (&sets, lc_view_service (&view, 1));
  began_us = lc_scale_cpu_us ();
  for (uint32_t i = 0; i < LC_SCALE_PICKS; i++)
    {
      LcCandidateList list;

      lc_candidates_pick (&sets, (uint64_t)(i + seed) * 0x9e3779b97f4a7c15U, LC_REGIONS_ALL, &list);
      n_picked += list.n;
    }
  began_us = lc_scale_cpu_us () - began_us;
  if (n_picked < LC_SCALE_PICKS)
    g_error ("bench: a flow has no candidate");
  lc_candidate_sets_finish (&sets);
  lc_view_finish (&view);
  return began_us * 1000 / LC_SCALE_PICKS;
}

/* === steering against the size of the view ================================================== */

static double
lc_scale_flow__steer_ns (const LcView *view, double *bytes)
{
  uint32_t n_services = g_hash_table_size (view->services);
  LcFlowBalancer balancer;
  double heap = lc_scale_heap_bytes ();
  double began_us = 0;

  if (n_services == 0)
    g_error ("bench: the view has no services");
  lc_flow_balancer_init (&balancer, 1);
  lc_flow_balancer_set_view (&balancer, view);
  for (uint32_t i = 0; i < LC_SCALE_PICKS + n_services; i++)
    {
      LcPacket packet = { .total_len = 100 };
      LcEnvelope envelope;
      LcCandidate to;

      if (i == n_services) /* every service is compiled */
        began_us = lc_scale_cpu_us ();
      packet.key = (LcFlowKey){ .source_ipv4 = i * 2654435761U,
                                .target_ipv4 = 0x0b000001 + i % n_services,
                                .source_port = (uint16_t)i,
                                .target_port = 443,
                                .protocol = LC_PROTOCOL_TCP };
      if (lc_flow_balancer_steer (&balancer, &packet, &envelope, &to) < 0)
        g_error ("bench: a packet has no endpoint");
    }
  began_us = lc_scale_cpu_us () - began_us;
  *bytes = lc_scale_heap_bytes () - heap;
  lc_flow_balancer_finish (&balancer);
  return began_us * 1000 / LC_SCALE_PICKS;
}

/* === the flow table ========================================================================= */

typedef struct
{
  double bytes;
  double add_ns;
  double find_ns;
} LcScaleTable;

static LcFlowKey
lc_scale_flow__key (uint32_t i)
{
  return (LcFlowKey){ .source_ipv4 = 0x0a000000 + i,
                      .target_ipv4 = 0x0b000001,
                      .source_port = (uint16_t)(i * 7),
                      .target_port = 443,
                      .protocol = LC_PROTOCOL_TCP };
}

static LcScaleTable
lc_scale_flow__table (uint32_t n)
{
  LcScaleTable result = { 0 };
  LcFlowTable table;
  double began_us;
  double added_us;

  lc_flow_table_init (&table, n, LC_US_PER_S);
  began_us = lc_scale_cpu_us ();
  for (uint32_t i = 0; i < n; i++)
    {
      LcFlowKey key = lc_scale_flow__key (i);

      if (lc_flow_table_add (&table, &key, lc_flow_key_hash (&key)) == NULL)
        g_error ("bench: the flow table is full");
    }
  added_us = lc_scale_cpu_us ();
  for (uint32_t i = 0; i < n; i++)
    {
      LcFlowKey key = lc_scale_flow__key (i);

      if (lc_flow_table_find (&table, &key, lc_flow_key_hash (&key)) == NULL)
        g_error ("bench: a flow is lost");
    }
  result.find_ns = (lc_scale_cpu_us () - added_us) * 1000 / n;
  result.add_ns = (added_us - began_us) * 1000 / n;
  result.bytes = (double)lc_flow_table_bytes (&table);
  lc_flow_table_finish (&table);
  return result;
}

/* === public ================================================================================= */

static int
lc_scale_flow__steering (uint32_t seed)
{
  LcScaleSeries steer = { "balancer", "steer_packet", "ns", "endpoints", .n_sizes = 0 };
  LcScaleSeries sets = { "balancer", "candidate_set_bytes", "bytes", "endpoints", .n_sizes = 0 };
  size_t n = G_N_ELEMENTS (LC_SCALE_STEER_SIZES);

  for (size_t i = 0; i < n; i++)
    {
      LcView view;
      double bytes;

      lc_view_init (&view);
      lc_scale_fill (&view, LC_SCALE_STEER_SIZES[i], seed);
      lc_scale_flow__put (&steer, LC_SCALE_STEER_SIZES, n, i,
                          lc_scale_flow__steer_ns (&view, &bytes));
      lc_scale_flow__put (&sets, LC_SCALE_STEER_SIZES, n, i, bytes);
      lc_view_finish (&view);
    }
  return lc_scale_print (&steer) | lc_scale_print (&sets);
}

int
lc_scale_flow (uint32_t seed)
{
  LcScaleSeries pick = { "balancer", "choose_candidates", "ns", "endpoints of the service",
                         .n_sizes = 0 };
  LcScaleSeries bytes = { "agent", "flow_table_bytes", "bytes", "flows", .n_sizes = 0 };
  LcScaleSeries add = { "agent", "flow_add", "ns", "flows", .n_sizes = 0 };
  LcScaleSeries find = { "agent", "flow_look_up", "ns", "flows", .n_sizes = 0 };
  size_t n_sets = G_N_ELEMENTS (LC_SCALE_SET_SIZES);
  size_t n_flows = G_N_ELEMENTS (LC_SCALE_FLOWS);
  int failed;

  for (size_t i = 0; i < n_sets; i++)
    lc_scale_flow__put (&pick, LC_SCALE_SET_SIZES, n_sets, i,
                        lc_scale_flow__pick_ns (LC_SCALE_SET_SIZES[i], seed));
  for (size_t i = 0; i < n_flows; i++)
    {
      LcScaleTable t = lc_scale_flow__table (LC_SCALE_FLOWS[i]);

      lc_scale_flow__put (&bytes, LC_SCALE_FLOWS, n_flows, i, t.bytes);
      lc_scale_flow__put (&add, LC_SCALE_FLOWS, n_flows, i, t.add_ns);
      lc_scale_flow__put (&find, LC_SCALE_FLOWS, n_flows, i, t.find_ns);
    }
  failed = lc_scale_print (&pick) | lc_scale_print (&bytes) | lc_scale_print (&add) |
           lc_scale_print (&find);
  return failed | lc_scale_flow__steering (seed);
}
