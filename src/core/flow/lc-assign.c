#include "lc-assign.h"

#include <string.h>

enum
{
  LC_ASSIGN_TOLERANCE_PERMILLE = 20,
  LC_ASSIGN_TOLERANCE_FLOWS = 1,
  LC_ASSIGN_SPILLOVER_PERMILLE = 100,
  LC_ASSIGN_STATIC_THRESHOLD = 50,
  LC_ASSIGN_SAMPLE = 16,
  LC_ASSIGN_BYTES_IGNORED_PERMILLE = 1150, /* of the mean; byte rates up to this add no load */
  LC_ASSIGN_RAMP_FIRST_PERMILLE = 100,
  LC_ASSIGN_MAX_SAMPLE = 64,
};

#define LC_ASSIGN_RAMP_US (10 * LC_US_PER_S)
#define LC_ASSIGN_REFUSAL_US LC_US_PER_S

/* === private: peers ========================================================================= */

static uint32_t
lc_assign__or_default (uint32_t value, uint32_t when_zero)
{
  return value != 0 ? value : when_zero;
}

static int
lc_assign__find_index (const LcAssign *a, LcEndpointId id)
{
  uint32_t low = 0;
  uint32_t high = a->n_peers;

  while (low < high)
    {
      uint32_t mid = low + (high - low) / 2;

      if (a->peers[mid].agent.id < id)
        low = mid + 1;
      else
        high = mid;
    }
  return low < a->n_peers && a->peers[low].agent.id == id ? (int)low : -1;
}

static LcAssignPeer
lc_assign__make_peer (const LcAssign *a, const LcEndpoint *e, int64_t now_us)
{
  const LcAssignPeer *known = lc_assign_find_peer (a, e->id);
  LcAssignPeer peer = { .is_accepting = true };

  if (known != NULL && known->agent.instance == e->instance)
    peer = *known;
  peer.agent = (LcCandidate){ e->id, e->ipv4, e->instance, e->flow_port };
  peer.dc = e->dc;
  peer.slots = e->slots;
  peer.weight_percent = e->weight_percent;
  peer.connection_limit = e->connection_limit;
  peer.is_candidate = lc_endpoint_is_candidate (e);
  if (e->state != LC_ENDPOINT_JOINING)
    peer.joined_us = 0;
  else if (peer.joined_us == 0)
    peer.joined_us = now_us;
  if (e->state != LC_ENDPOINT_LOST)
    peer.lost_us = 0;
  else if (peer.lost_us == 0)
    peer.lost_us = now_us;
  return peer;
}

/* === private: load ========================================================================== */

static uint64_t
lc_assign__flow_load (const LcAssign *a, const LcAssignPeer *p, int64_t now_us)
{
  uint64_t flows = (uint64_t)p->open_flows + 1 + (uint64_t)p->at_work * a->desc.work_weight;

  return flows * 1000000U / lc_assign_capacity (a, p, now_us);
}

static uint64_t
lc_assign__byte_load (const LcAssign *a, const LcAssignPeer *p, int64_t now_us)
{
  return (uint64_t)p->byte_rate * 1000U / lc_assign_capacity (a, p, now_us);
}

/* Load per capacity after one more flow, in thousandths of a flow.  The byte rate adds to it only
 * where it is well above the mean: below that, differences are noise. */
static uint64_t
lc_assign__load (const LcAssign *a, const LcAssignPeer *p, int64_t now_us)
{
  uint64_t flows = lc_assign__flow_load (a, p, now_us);
  uint64_t share = a->desc.byte_permille;
  uint64_t usual = a->mean_byte_load * LC_ASSIGN_BYTES_IGNORED_PERMILLE / 1000U;
  uint64_t bytes;

  if (share == 0 || a->mean_byte_load == 0)
    return flows;
  bytes = lc_assign__byte_load (a, p, now_us);
  if (bytes <= usual)
    return flows;
  return flows + (bytes - usual) * a->mean_flow_load / a->mean_byte_load * share / 1000U;
}

typedef struct
{
  uint16_t items[LC_ASSIGN_MAX_SAMPLE];
  uint32_t n;
  uint32_t n_bad;
} LcAssignEligible;

/* It reported before and stopped: the agent, or the network path to it, is down. */
static bool
lc_assign__is_stale (const LcAssign *a, const LcAssignPeer *p, int64_t now_us)
{
  return a->desc.stale_us != 0 && p->agent.id != a->self_id && p->reported_us != 0 &&
         now_us - p->reported_us > a->desc.stale_us;
}

static bool
lc_assign__is_eligible (LcAssign *a, const LcAssignPeer *p, LcRegionMask regions, int64_t now_us)
{
  if (!lc_region_is_in (regions, p->region))
    {
      if (a->failure == LC_DROP_NO_ENDPOINT)
        a->failure = LC_DROP_NO_HOME;
      return false;
    }
  if (!p->is_candidate || lc_assign__is_stale (a, p, now_us))
    return false;
  if (p->is_evacuated)
    {
      if (a->failure == LC_DROP_NO_ENDPOINT || a->failure == LC_DROP_NO_HOME)
        a->failure = LC_DROP_EVACUATED;
      return false;
    }
  if (!p->is_accepting || now_us < p->refusing_until_us ||
      (p->connection_limit != 0 && p->open_flows >= p->connection_limit))
    {
      a->failure = LC_DROP_LIMIT;
      return false;
    }
  return true;
}

/* Of a large service only a sample is compared: self and consecutive peers from a pseudo-random
 * start. */
static void
lc_assign__sample_eligible (
    LcAssign *a, uint64_t key_hash, LcRegionMask regions, int64_t now_us, LcAssignEligible *out)
{
  uint32_t sample = lc_assign__or_default (a->desc.sample, LC_ASSIGN_SAMPLE);
  uint32_t start = 0;
  int self = lc_assign__find_index (a, a->self_id);

  out->n = 0;
  out->n_bad = 0;
  a->failure = LC_DROP_NO_ENDPOINT;
  if (sample > LC_ASSIGN_MAX_SAMPLE)
    sample = LC_ASSIGN_MAX_SAMPLE;
  if (a->n_peers > sample)
    start = (uint32_t)((key_hash ^ (++a->draws * UINT64_C (0x9e3779b97f4a7c15))) % a->n_peers);
  if (self >= 0 && lc_assign__is_eligible (a, &a->peers[self], regions, now_us))
    {
      out->items[out->n++] = (uint16_t)self;
      out->n_bad += a->peers[self].looks_bad;
    }
  for (uint32_t k = 0; k < a->n_peers && out->n < sample; k++)
    {
      uint32_t i = (start + k) % a->n_peers;

      if ((int)i == self || !lc_assign__is_eligible (a, &a->peers[i], regions, now_us))
        continue;
      out->items[out->n++] = (uint16_t)i;
      out->n_bad += a->peers[i].looks_bad;
    }
}

/* A bad health signal of most endpoints is more likely wrong than right: none is excluded then. */
static void
lc_assign__exclude_bad (const LcAssign *a, LcAssignEligible *e)
{
  uint32_t n = 0;

  if (e->n_bad == 0 || e->n_bad * 2 > e->n)
    return;
  for (uint32_t i = 0; i < e->n; i++)
    if (!a->peers[e->items[i]].looks_bad)
      e->items[n++] = e->items[i];
  e->n = n;
}

static void
lc_assign__compute_means (LcAssign *a, const LcAssignEligible *e, int64_t now_us)
{
  a->mean_flow_load = 0;
  a->mean_byte_load = 0;
  for (uint32_t i = 0; i < e->n; i++)
    {
      a->mean_flow_load += lc_assign__flow_load (a, &a->peers[e->items[i]], now_us) / e->n;
      a->mean_byte_load += lc_assign__byte_load (a, &a->peers[e->items[i]], now_us) / e->n;
    }
}

/* === private: policies ====================================================================== */

static int
lc_assign__find_lowest (const LcAssign *a, const LcAssignEligible *e, LcDcId dc, int64_t now_us)
{
  uint64_t best_load = UINT64_MAX;
  int best = -1;

  for (uint32_t i = 0; i < e->n; i++)
    {
      const LcAssignPeer *p = &a->peers[e->items[i]];
      uint64_t load = lc_assign__load (a, p, now_us);

      if ((dc == 0 || p->dc == dc) && load < best_load)
        {
          best = e->items[i];
          best_load = load;
        }
    }
  return best;
}

/* Few enough requests at work that one more most likely gets a free slot at once. */
static bool
lc_assign__has_free_slots (const LcAssign *a, const LcAssignPeer *p)
{
  return (uint64_t)p->at_work * 1000U < (uint64_t)p->slots * a->desc.near_permille;
}

static int
lc_assign__choose_least (const LcAssign *a, const LcAssignEligible *e, LcDcId dc, int64_t now_us)
{
  uint64_t permille =
      lc_assign__or_default (a->desc.tolerance_permille, LC_ASSIGN_TOLERANCE_PERMILLE);
  uint64_t flows = lc_assign__or_default (a->desc.tolerance_flows, LC_ASSIGN_TOLERANCE_FLOWS);
  uint64_t spill = lc_assign__or_default (a->desc.spillover_permille, LC_ASSIGN_SPILLOVER_PERMILLE);
  int best = lc_assign__find_lowest (a, e, 0, now_us);
  int near = lc_assign__find_lowest (a, e, dc, now_us);
  const LcAssignPeer *self;
  uint64_t best_load;
  uint64_t self_load;
  uint32_t capacity;

  if (best < 0)
    return best;
  best_load = lc_assign__load (a, &a->peers[best], now_us);
  if (near >= 0 &&
      (lc_assign__load (a, &a->peers[near], now_us) * 1000U <= best_load * (1000U + spill) ||
       lc_assign__has_free_slots (a, &a->peers[near])))
    best = near;
  if (a->peers[e->items[0]].agent.id != a->self_id)
    return best;
  self = &a->peers[e->items[0]];
  if (self->dc != a->peers[best].dc)
    return best;
  best_load = lc_assign__load (a, &a->peers[best], now_us);
  self_load = lc_assign__load (a, self, now_us);
  /* One flow is a large share of a small capacity, as in a slow start: the larger one counts. */
  capacity =
      MAX (lc_assign_capacity (a, self, now_us), lc_assign_capacity (a, &a->peers[best], now_us));
  if (self_load * 1000U <= best_load * (1000U + permille) ||
      self_load <= best_load + flows * 1000000U / capacity)
    return e->items[0];
  return best;
}

static int
lc_assign__choose_by_hash (const LcAssignEligible *e, uint64_t key_hash, uint32_t choice)
{
  uint64_t x = (key_hash + choice) * UINT64_C (0x9e3779b97f4a7c15);

  return e->items[(x >> 32) % e->n];
}

static int
lc_assign__choose_of_two (const LcAssign *a,
                          const LcAssignEligible *e,
                          uint64_t key_hash,
                          int64_t now_us)
{
  int first = lc_assign__choose_by_hash (e, key_hash, 1);
  int second = lc_assign__choose_by_hash (e, key_hash, 2);

  return lc_assign__load (a, &a->peers[second], now_us) <
                 lc_assign__load (a, &a->peers[first], now_us)
             ? second
             : first;
}

/* SRLB: the first of two choices by hash takes the flow if its load is below a threshold, else the
 * second does. */
static int
lc_assign__choose_srlb (const LcAssign *a,
                        const LcAssignEligible *e,
                        uint64_t key_hash,
                        int64_t now_us)
{
  int first = lc_assign__choose_by_hash (e, key_hash, 1);
  uint64_t threshold = lc_assign__or_default (a->desc.static_threshold, LC_ASSIGN_STATIC_THRESHOLD);
  uint64_t total = 0;

  if (a->desc.policy == LC_ASSIGN_SRLB_DYNAMIC)
    {
      /* At the mean load the first choice takes about half of the flows. */
      for (uint32_t i = 0; i < e->n; i++)
        total += lc_assign__load (a, &a->peers[e->items[i]], now_us);
      threshold = total / e->n / 1000U;
    }
  if (lc_assign__load (a, &a->peers[first], now_us) <= threshold * 1000U)
    return first;
  return lc_assign__choose_by_hash (e, key_hash, 2);
}

/* === public ================================================================================= */

void
lc_assign_init (LcAssign *a, const LcAssignDesc *desc)
{
  memset (a, 0, sizeof *a);
  a->desc = *desc;
}

void
lc_assign_finish (LcAssign *a)
{
  g_free (a->peers);
  memset (a, 0, sizeof *a);
}

void
lc_assign_set_members (LcAssign *a, const LcService *service, LcEndpointId self_id, int64_t now_us)
{
  uint32_t n = service != NULL ? service->n_endpoints : 0;
  LcAssignPeer *peers = g_new0 (LcAssignPeer, n + 1);

  for (uint32_t i = 0; i < n; i++)
    peers[i] = lc_assign__make_peer (a, &service->endpoints[i], now_us);
  g_free (a->peers);
  a->peers = peers;
  a->n_peers = n;
  a->self_id = self_id;
}

void
lc_assign_update_dcs (LcAssign *a, const LcView *view)
{
  for (uint32_t i = 0; i < a->n_peers; i++)
    {
      a->peers[i].is_evacuated = lc_view_is_evacuated (view, a->peers[i].dc);
      a->peers[i].region = lc_view_region (view, a->peers[i].dc);
    }
}

LcAssignPeer *
lc_assign_find_peer (const LcAssign *a, LcEndpointId id)
{
  int i = lc_assign__find_index (a, id);

  return i >= 0 ? &a->peers[i] : NULL;
}

void
lc_assign_record_load (LcAssign *a, const LcFlowLoad *load, int64_t now_us)
{
  LcAssignPeer *p = lc_assign_find_peer (a, load->agent.id);

  if (p == NULL || p->agent.instance != load->agent.instance)
    return;
  p->open_flows = load->open_flows;
  p->at_work = load->at_work;
  p->byte_rate = load->byte_rate;
  p->is_accepting = load->is_accepting;
  p->looks_bad = load->looks_bad;
  p->is_warm = load->is_warm;
  p->coverage = load->coverage;
  p->reported_us = now_us;
}

void
lc_assign_record_refusal (LcAssign *a, LcEndpointId id, int64_t now_us)
{
  LcAssignPeer *p = lc_assign_find_peer (a, id);

  if (p != NULL)
    p->refusing_until_us = now_us + LC_ASSIGN_REFUSAL_US;
}

bool
lc_assign_may_exclude_self (LcAssign *a, LcRegionMask regions, int64_t now_us)
{
  uint32_t n_good = 0;
  uint32_t n_bad = 0;

  for (uint32_t i = 0; i < a->n_peers; i++)
    {
      const LcAssignPeer *p = &a->peers[i];
      bool is_bad = p->looks_bad || p->agent.id == a->self_id;

      if (is_bad || lc_assign__is_eligible (a, p, regions, now_us))
        *(is_bad ? &n_bad : &n_good) += 1;
    }
  return n_good >= n_bad;
}

uint32_t
lc_assign_capacity (const LcAssign *a, const LcAssignPeer *p, int64_t now_us)
{
  int64_t ramp_us = a->desc.ramp_us != 0 ? a->desc.ramp_us : LC_ASSIGN_RAMP_US;
  int64_t age_us = now_us - p->joined_us;
  uint32_t capacity = p->weight_percent * 10U;
  int64_t permille;
  int64_t first;

  if (p->joined_us == 0 || p->is_warm || age_us >= ramp_us)
    return capacity != 0 ? capacity : 1;
  first = lc_assign__or_default (a->desc.ramp_first_permille, LC_ASSIGN_RAMP_FIRST_PERMILLE);
  permille = first + (1000 - first) * (age_us > 0 ? age_us : 0) / ramp_us;
  capacity = (uint32_t)(capacity * permille / 1000);
  return capacity != 0 ? capacity : 1;
}

int
lc_assign_choose (LcAssign *a, uint64_t key_hash, LcDcId dc, LcRegionMask regions, int64_t now_us)
{
  LcAssignEligible e;

  lc_assign__sample_eligible (a, key_hash, regions, now_us, &e);
  lc_assign__exclude_bad (a, &e);
  if (e.n == 0)
    return -1;
  if (a->desc.byte_permille != 0)
    lc_assign__compute_means (a, &e, now_us);
  switch (a->desc.policy)
    {
    case LC_ASSIGN_HASH:
      return e.items[0]; /* the assigner itself, which is the first home */
    case LC_ASSIGN_SRLB_STATIC:
    case LC_ASSIGN_SRLB_DYNAMIC:
      return lc_assign__choose_srlb (a, &e, key_hash, now_us);
    case LC_ASSIGN_TWO_CHOICES:
      return lc_assign__choose_of_two (a, &e, key_hash, now_us);
    case LC_ASSIGN_LEAST_LOAD:
    default:
      return lc_assign__choose_least (a, &e, dc, now_us);
    }
}

void
lc_assign_count_flow (LcAssign *a, int index)
{
  a->peers[index].open_flows++;
  a->peers[index].at_work++; /* a caller opens a flow to send a request */
}
