#include "lc-flow-agent-private.h"
#include "lc-flow-finder.h"
#include "lc-envelope-list.h"
#include "lc-flow-pointers.h"
#include "lc-flow-return.h"

#include <string.h>
#include <xxhash.h>

enum
{
  LC_FLOW_CONNECTION_LIMIT = 2000,
  LC_FLOW_LOAD_FANOUT = 16,
  LC_FLOW_REGISTRATIONS_TICK = 64,
  LC_FLOW_HAND_OVER_BATCH = 1024,
  LC_FLOW_BYTE_SMOOTHING = 8, /* seconds, of the moving average */
  LC_FLOW_LOAD_CHANGE_PERMILLE =
      50,                      /* change of the load that is reported before the interval ends */
  LC_FLOW_HAND_OVER_TICKS = 4, /* ticks between resends of an offer */
};

#define LC_FLOW_UDP_IDLE_US (300 * LC_US_PER_S)
#define LC_FLOW_TCP_IDLE_US (7200 * LC_US_PER_S)
#define LC_FLOW_REFRESH_US (60 * LC_US_PER_S)
#define LC_FLOW_LOAD_INTERVAL_US (500 * LC_US_PER_MS)

/* === private: time ========================================================================== */

static void
lc_flow_agent__expire (LcFlowAgent *a, int64_t now_us)
{
  LcFlow *f;

  while ((f = lc_flow_table_next_expired (&a->table, now_us)) != NULL)
    {
      if (f->kind == LC_FLOW_POINTER)
        {
          lc_flow_pointers_drop_pointer (a, f, now_us);
          continue;
        }
      if (f->kind != LC_FLOW_OWNED)
        {
          lc_flow_table_remove (&a->table, f);
          continue;
        }
      if (f->expiry_tick <= lc_flow_tick (now_us))
        {
          lc_flow_pointers_unregister (a, f, LC_FLOW_RELEASE_IDLE);
          lc_flow_table_remove (&a->table, f);
          continue;
        }
      lc_flow_table_set_deadline (
          &a->table, f,
          MIN (now_us + a->desc.refresh_us, (int64_t)f->expiry_tick * LC_FLOW_TICK_US));
      lc_flow_pointers_begin_registration (a, f);
    }
}

/* Smooths the byte rate: packets of one flow may be seconds apart. */
static void
lc_flow_agent__measure_bytes (LcFlowAgent *a, int64_t now_us)
{
  if (now_us - a->bytes_since_us < LC_US_PER_S)
    return;
  a->byte_rate =
      (uint32_t)(((uint64_t)a->byte_rate * (LC_FLOW_BYTE_SMOOTHING - 1) +
                  a->bytes_window * LC_US_PER_S / (uint64_t)(now_us - a->bytes_since_us)) /
                 LC_FLOW_BYTE_SMOOTHING);
  a->bytes_window = 0;
  a->bytes_since_us = now_us;
}

/* Load in flows, as peers compare it: a request in work weighs more than an open flow. */
static uint32_t
lc_flow_agent__weighted_load (const LcFlowAgent *a, int64_t now_us)
{
  return lc_flow_agent_open_flows (a) +
         lc_flow_gate_load (&a->gate, now_us) * a->desc.assign.work_weight;
}

/* Whether the load changed enough since the last report to mislead assigners. */
static bool
lc_flow_agent__has_load_changed (const LcFlowAgent *a, int64_t now_us)
{
  uint32_t open = lc_flow_agent__weighted_load (a, now_us);
  uint32_t change = open > a->reported_load ? open - a->reported_load : a->reported_load - open;

  return (uint64_t)change * 1000 > (uint64_t)a->reported_load * LC_FLOW_LOAD_CHANGE_PERMILLE ||
         a->reported_bad != lc_flow_agent__looks_bad (a, now_us) ||
         a->reported_spent == lc_warmup_limit_allows (&a->first_packets, now_us);
}

/* Reports the load to up to desc.load_fanout peers, in rotation. */
static void
lc_flow_agent__report_load (LcFlowAgent *a, int64_t now_us)
{
  uint32_t n = a->assign.n_peers;
  uint32_t sent = 0;

  if (n == 0 ||
      (now_us < a->next_load_us && (now_us - a->reported_us < a->desc.load_min_interval_us ||
                                    !lc_flow_agent__has_load_changed (a, now_us))))
    return;
  a->reported_load = lc_flow_agent__weighted_load (a, now_us);
  a->reported_us = now_us;
  a->reported_bad = lc_flow_agent__looks_bad (a, now_us);
  a->reported_spent = !lc_warmup_limit_allows (&a->first_packets, now_us);
  a->next_load_us = now_us + a->desc.load_interval_us;
  for (uint32_t k = 0; k < n && sent < a->desc.load_fanout; k++)
    {
      const LcAssignPeer *p = &a->assign.peers[(a->next_load_peer + k) % n];

      if (p->agent.id == a->desc.self.id)
        continue;
      (void)lc_flow_pointers_add_message (a, LC_FLOW_LOAD, &p->agent);
      sent++;
    }
  a->next_load_peer = (a->next_load_peer + sent) % n;
}

static uint32_t
lc_flow_agent__or_default (uint32_t value, uint32_t fallback)
{
  return value != 0 ? value : fallback;
}

static int64_t
lc_flow_agent__or_default_us (int64_t value_us, int64_t fallback_us)
{
  return value_us != 0 ? value_us : fallback_us;
}

static void
lc_flow_agent__set_service_limits (LcFlowAgent *a, const LcService *service)
{
  const LcAssignPeer *self = lc_assign_find_peer (&a->assign, a->desc.self.id);
  uint32_t slots = a->desc.has_gate && self != NULL ? self->slots : 0;
  int64_t objective_ms = service != NULL ? service->objective_latency_ms : 0;

  lc_flow_gate_set_server (&a->gate, slots, objective_ms * LC_US_PER_MS);
  lc_warmup_limit_set_rate (&a->gate.cold, service != NULL ? service->cold_rate_mrps : 0);
  lc_warmup_limit_set_rate (&a->first_packets, service != NULL ? service->cold_rate_mrps : 0);
}

/* Flows that are kept stay for the longer time.  Others were idle for the former one: the table is
 * complete again when they have been idle for the longer one. */
static void
lc_flow_agent__extend_idle (LcFlowAgent *a, int64_t former_us, int64_t more_us, int64_t now_us)
{
  for (uint32_t i = 0; i < a->table.capacity; i++)
    {
      LcFlow *f = &a->table.flows[i];

      if (f->kind == LC_FLOW_OWNED && (f->flags & LC_FLOW_ENDED) == 0)
        f->expiry_tick += lc_flow_tick (more_us);
    }
  if (now_us < a->complete_from_us || now_us - a->started_us >= former_us)
    a->complete_from_us = MAX (a->complete_from_us, now_us) + more_us;
}

static void
lc_flow_agent__set_service_idle (LcFlowAgent *a, const LcService *service, int64_t now_us)
{
  int64_t idle_ms = service != NULL ? lc_service_longest_idle_ms (service) : 0;
  int64_t former_us = lc_flow_agent__tcp_idle_us (a);

  a->service_idle_us = idle_ms != 0 ? idle_ms * LC_US_PER_MS + LC_FLOW_IDLE_SLACK_US : 0;
  if (lc_flow_agent__tcp_idle_us (a) > former_us)
    lc_flow_agent__extend_idle (a, former_us, lc_flow_agent__tcp_idle_us (a) - former_us, now_us);
}

/* Digest of each address and its home regions; independent of the order of the addresses. */
static uint64_t
lc_flow_agent__digest_home_regions (const LcView *view)
{
  uint64_t digest = 0;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, view->addresses);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const LcAddress *a = value;
      uint64_t words[3] = { ((uint64_t)a->ipv4 << 16) | a->port, a->protocol,
                            lc_view_home_regions (view, a->homes) };

      digest += XXH3_64bits (words, sizeof words);
    }
  return digest;
}

/* Acknowledgements are carried over from the previous sets (version + 1) only if the home regions
 * are unchanged. */
static void
lc_flow_agent__update_sets_version (LcFlowAgent *a, const LcView *view)
{
  uint64_t digest = lc_flow_agent__digest_home_regions (view);

  a->sets_version += digest == a->home_regions_digest ? 1 : 2;
  a->home_regions_digest = digest;
}

/* === public: lifetime and view ============================================================== */

void
lc_flow_agent_init (LcFlowAgent *a, const LcFlowAgentDesc *desc, int64_t now_us)
{
  LcFlowAgentDesc *d = &a->desc;

  memset (a, 0, sizeof *a);
  *d = *desc;
  d->connection_limit = lc_flow_agent__or_default (d->connection_limit, LC_FLOW_CONNECTION_LIMIT);
  d->udp_idle_us = lc_flow_agent__or_default_us (d->udp_idle_us, LC_FLOW_UDP_IDLE_US);
  d->tcp_idle_us = lc_flow_agent__or_default_us (d->tcp_idle_us, LC_FLOW_TCP_IDLE_US);
  d->refresh_us = lc_flow_agent__or_default_us (d->refresh_us, LC_FLOW_REFRESH_US);
  d->load_interval_us =
      lc_flow_agent__or_default_us (d->load_interval_us, LC_FLOW_LOAD_INTERVAL_US);
  d->load_fanout = lc_flow_agent__or_default (d->load_fanout, LC_FLOW_LOAD_FANOUT);
  d->registrations_tick =
      lc_flow_agent__or_default (d->registrations_tick, LC_FLOW_REGISTRATIONS_TICK);
  lc_flow_table_init (&a->table, d->max_flows, now_us);
  lc_assign_init (&a->assign, &d->assign);
  a->outbox = g_queue_new ();
  a->started_us = now_us;
  a->complete_from_us = d->is_backend_fresh ? now_us : now_us + d->tcp_idle_us;
  if (d->returns_packets)
    {
      a->searches = g_new (LcFlowSearches, 1);
      lc_flow_searches_init (a->searches, now_us);
    }
  a->resets = g_array_new (FALSE, FALSE, sizeof (LcPacket));
  a->found = g_array_new (FALSE, FALSE, sizeof (LcFlowFound));
  a->envelopes = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  a->passed = g_array_new (FALSE, FALSE, sizeof (LcFlowPassed));
  a->released = g_array_new (FALSE, FALSE, sizeof (LcFlowReleased));
  a->held = g_array_new (FALSE, FALSE, sizeof (LcFlowHeld));
  lc_flow_gate_init (&a->gate, &d->gate);
  lc_warmup_limit_init (&a->gate.cold, &d->cold, now_us);
  lc_warmup_limit_init (&a->first_packets, &d->cold, now_us);
  if (!d->is_backend_fresh)
    return;
  lc_warmup_limit_skip_first_window (&a->gate.cold);
  lc_warmup_limit_skip_first_window (&a->first_packets);
}

void
lc_flow_agent_finish (LcFlowAgent *a)
{
  lc_flow_table_finish (&a->table);
  lc_assign_finish (&a->assign);
  lc_candidate_sets_finish (&a->sets);
  lc_candidate_sets_finish (&a->previous_sets);
  lc_candidate_sets_finish (&a->settling_sets);
  g_queue_free_full (a->outbox, g_free);
  if (a->searches != NULL)
    lc_flow_searches_finish (a->searches);
  g_free (a->searches);
  g_array_unref (a->resets);
  g_array_unref (a->found);
  g_hash_table_destroy (a->envelopes);
  g_array_unref (a->passed);
  g_array_unref (a->released);
  g_array_unref (a->held);
  lc_flow_gate_finish (&a->gate);
  memset (a, 0, sizeof *a);
}

void
lc_flow_agent_set_view (LcFlowAgent *a, const LcView *view, int64_t now_us)
{
  const LcService *service = lc_view_service (view, a->desc.service_id);

  a->view = view;
  lc_assign_set_members (&a->assign, service, a->desc.self.id, now_us);
  lc_assign_update_dcs (&a->assign, view);
  lc_candidate_sets_finish (&a->previous_sets);
  a->previous_sets = a->sets;
  memset (&a->sets, 0, sizeof a->sets);
  lc_candidate_sets_compile (&a->sets, service);
  a->roster = service != NULL ? service->roster_revision : 0;
  lc_candidate_sets_set_regions (&a->sets, view);
  lc_envelope_list_save_settling (a, now_us);
  lc_flow_agent__update_sets_version (a, view);
  lc_flow_pointers_update_homes (a);
  lc_flow_agent__set_service_limits (a, service);
  lc_flow_agent__set_service_idle (a, service, now_us);
  if (a->searches != NULL)
    lc_flow_finder_update_members (a, now_us);
}

/* A searcher may still have the instance of an earlier process of this endpoint.  It is answered
 * nevertheless, or it would count this endpoint as silent. */
static bool
lc_flow_agent__is_for_self (const LcFlowAgent *a, const LcFlowMessage *m)
{
  return lc_candidate_equal (&m->to, &a->desc.self) ||
         (m->kind == LC_FLOW_QUERY && m->to.id == a->desc.self.id);
}

/* === public: packets and messages =========================================================== */

LcFlowAction
lc_flow_agent_handle_packet (LcFlowAgent *a, LcEnvelope *e, const LcPacket *packet, int64_t now_us)
{
  bool is_renewed = false;

  if (a->view == NULL)
    return lc_flow_agent__drop (a, LC_DROP_NO_SERVICE);
  if (a->desc.returns_packets)
    return lc_flow_return_steer (a, e, packet, now_us);
  if (lc_envelope_list_is_stale (a, e))
    is_renewed = lc_envelope_list_replace (a, e, packet);
  lc_envelope_list_correct_rank (a, e);
  return lc_flow_agent__steer (a, e, packet, now_us, !is_renewed);
}

static void
lc_flow_agent__dispatch_message (LcFlowAgent *a, const LcFlowMessage *m, int64_t now_us)
{
  if (m->service_id != a->desc.service_id || !lc_flow_agent__is_for_self (a, m))
    return;
  a->counts.messages_total++;
  lc_assign_record_load (&a->assign, &m->load, now_us);
  switch (m->kind)
    {
    case LC_FLOW_POINTERS:
      lc_flow_pointers_handle_registration (a, m, now_us);
      break;
    case LC_FLOW_POINTERS_ACK:
      lc_flow_pointers_handle_ack (a, m, now_us);
      break;
    case LC_FLOW_CONFLICT:
      lc_flow_pointers_handle_contest (a, m);
      break;
    case LC_FLOW_HAND_OVER:
      lc_flow_pointers_handle_hand_over (a, m, now_us);
      break;
    case LC_FLOW_HAND_OVER_ACK:
      lc_flow_pointers_handle_hand_over_ack (a, m, now_us);
      break;
    case LC_FLOW_NOT_HELD:
      lc_flow_finder_handle_denial (a, m, now_us);
      break;
    case LC_FLOW_QUERY:
      lc_flow_finder_handle_query (a, m);
      break;
    case LC_FLOW_QUERY_REPLY:
      lc_flow_finder_handle_answer (a, m, now_us);
      break;
    case LC_FLOW_LOAD:
    default:
      break;
    }
}

void
lc_flow_agent_handle_message (LcFlowAgent *a, const LcFlowMessage *m, int64_t now_us)
{
  LcAssignPeer *sender = lc_assign_find_peer (&a->assign, m->load.agent.id);
  /* Any instance counts: the endpoint responds. */
  bool was_silent = sender != NULL && lc_flow_finder_record_contact (sender, now_us);

  lc_flow_agent__dispatch_message (a, m, now_us);
  if (was_silent)
    lc_flow_finder_send_missed_rounds (a, m->load.agent.id, now_us);
}

void
lc_flow_agent_tick (LcFlowAgent *a, int64_t now_us)
{
  a->registration_budget = a->desc.registrations_tick;
  if (a->table.n_owned > 0)
    a->last_busy_us = now_us;
  lc_flow_agent__expire (a, now_us);
  lc_flow_pointers_send_due (a, now_us);
  if (a->n_ticks++ % LC_FLOW_HAND_OVER_TICKS == 0)
    lc_flow_pointers_hand_over (a, LC_FLOW_HAND_OVER_BATCH, now_us);
  lc_flow_agent__measure_bytes (a, now_us);
  lc_flow_agent__report_load (a, now_us);
  lc_flow_finder_tick (a, now_us);
}

bool
lc_flow_agent_next_message (LcFlowAgent *a, LcFlowMessage *out, int64_t now_us)
{
  LcFlowMessage *m = g_queue_pop_head (a->outbox);

  if (m == NULL)
    return false;
  *out = *m;
  g_free (m);
  out->load.agent = a->desc.self;
  out->load.revision = a->view != NULL ? a->view->revision : 0;
  out->load.open_flows = lc_flow_agent_open_flows (a);
  out->load.at_work = lc_flow_gate_load (&a->gate, now_us);
  out->load.byte_rate = a->byte_rate;
  out->load.is_accepting =
      lc_flow_agent__may_accept (a, now_us) && out->load.open_flows < a->desc.connection_limit;
  out->load.looks_bad = lc_flow_agent__looks_bad (a, now_us);
  out->load.is_warm = a->is_warm;
  out->load.coverage = lc_flow_finder_knowledge (a, now_us);
  out->membership = a->sets.membership_revision;
  out->roster = a->roster;
  return true;
}

bool
lc_flow_agent_next_released (LcFlowAgent *a, LcFlowReleased *released)
{
  if (a->released->len == 0)
    return false;
  *released = g_array_index (a->released, LcFlowReleased, 0);
  g_array_remove_index (a->released, 0);
  return true;
}

/* === public: state ========================================================================== */

void
lc_flow_agent_set_cut_off (LcFlowAgent *a, bool is_cut_off)
{
  a->is_cut_off = is_cut_off;
}

void
lc_flow_agent_set_backend (LcFlowAgent *a, LcFlowBackendState backend)
{
  a->backend = backend;
  a->has_returned_first = a->has_returned_first && backend == LC_FLOW_BACKEND_UNCONFIRMED;
}

void
lc_flow_agent_set_cold (LcFlowAgent *a, bool is_cold)
{
  lc_warmup_limit_set_cold (&a->gate.cold, is_cold);
  lc_warmup_limit_set_cold (&a->first_packets, is_cold);
}

void
lc_flow_agent_set_dc (LcFlowAgent *a, LcDcId dc)
{
  a->dc = dc;
}

void
lc_flow_agent_set_identity (LcFlowAgent *a, const LcCandidate *self)
{
  a->desc.self = *self;
  for (uint32_t i = 0; i < a->table.capacity; i++)
    if (a->table.flows[i].kind == LC_FLOW_OWNED)
      lc_flow_pointers_begin_registration (a, &a->table.flows[i]);
}

void
lc_flow_agent_set_looks_bad (LcFlowAgent *a, bool looks_bad)
{
  a->looks_bad = looks_bad;
}

void
lc_flow_agent_leave (LcFlowAgent *a)
{
  a->is_leaving = true;
}

void
lc_flow_agent_cancel_leave (LcFlowAgent *a)
{
  a->is_leaving = a->is_handing_over;
}

void
lc_flow_agent_hand_over (LcFlowAgent *a)
{
  a->is_leaving = true;
  a->is_handing_over = true;
}

bool
lc_flow_agent_is_drained (const LcFlowAgent *a, int64_t now_us)
{
  return a->is_leaving && a->table.n_owned == 0 && now_us - a->last_busy_us >= LC_FLOW_LINGER_US &&
         now_us >= a->settling_until_us && lc_candidate_sets_settled (&a->sets);
}

bool
lc_flow_agent_has_successor (const LcFlowAgent *a)
{
  for (uint32_t i = 0; a->sets.n_sets > 0 && i < a->sets.sets[0].n; i++)
    if (a->sets.members[a->sets.sets[0].first + i].candidate.id != a->desc.self.id)
      return true;
  return false;
}

LcRevision
lc_flow_agent_registered_revision (const LcFlowAgent *a)
{
  return a->view != NULL && a->n_behind == 0 ? a->view->revision : 0;
}

uint32_t
lc_flow_agent_unanswered_requests (const LcFlowAgent *a)
{
  return lc_flow_gate_n_in_flight (&a->gate) + lc_flow_gate_n_waiting (&a->gate);
}

uint32_t
lc_flow_agent_open_flows (const LcFlowAgent *a)
{
  uint32_t n_other = a->n_adopted + a->n_ended;

  return a->table.n_owned > n_other ? a->table.n_owned - n_other : 0;
}
