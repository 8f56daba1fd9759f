#include "lc-flow-balancer.h"

#include <string.h>

static void
lc_flow_balancer__free_sets (gpointer data)
{
  lc_candidate_sets_finish (data);
  g_free (data);
}

void
lc_flow_balancer_init (LcFlowBalancer *b, LcDcId dc)
{
  memset (b, 0, sizeof *b);
  b->services = g_hash_table_new_full (NULL, NULL, NULL, lc_flow_balancer__free_sets);
  b->entries = g_new0 (LcFlowBalancerEntry, LC_FLOW_BALANCER_CACHE);
  b->dc = dc;
}

void
lc_flow_balancer_finish (LcFlowBalancer *b)
{
  g_hash_table_destroy (b->services);
  g_free (b->entries);
  memset (b, 0, sizeof *b);
}

void
lc_flow_balancer_set_view (LcFlowBalancer *b, const LcView *view)
{
  b->view = view;
  g_hash_table_remove_all (b->services);
  memset (b->entries, 0, LC_FLOW_BALANCER_CACHE * sizeof *b->entries);
}

void
lc_flow_balancer_drop_service (LcFlowBalancer *b, LcServiceId service_id)
{
  g_hash_table_remove (b->services, GUINT_TO_POINTER (service_id));
  memset (b->entries, 0, LC_FLOW_BALANCER_CACHE * sizeof *b->entries);
}

static const LcCandidateSets *
lc_flow_balancer__get_sets (LcFlowBalancer *b, LcServiceId id)
{
  LcCandidateSets *sets = g_hash_table_lookup (b->services, GUINT_TO_POINTER (id));

  if (sets != NULL)
    return sets;
  sets = g_new0 (LcCandidateSets, 1);
  lc_candidate_sets_compile (sets, lc_view_service (b->view, id));
  lc_candidate_sets_set_regions (sets, b->view);
  g_hash_table_insert (b->services, GUINT_TO_POINTER (id), sets);
  return sets;
}

/* NULL: no service at the packet's target. */
static const LcFlowBalancerEntry *
lc_flow_balancer__look_up (LcFlowBalancer *b, const LcFlowKey *key)
{
  uint32_t x = (key->target_ipv4 ^ ((uint32_t)key->target_port << 8) ^ key->protocol) * 0x9e3779b1U;
  LcFlowBalancerEntry *entry = &b->entries[x >> 22];
  const LcAddress *address;

  if (entry->sets != NULL && entry->ipv4 == key->target_ipv4 && entry->port == key->target_port &&
      entry->protocol == key->protocol)
    return entry;
  address = lc_view_address (b->view, key->target_ipv4, key->target_port, key->protocol);
  if (address == NULL)
    return NULL;
  *entry = (LcFlowBalancerEntry){ key->target_ipv4,
                                  key->target_port,
                                  key->protocol,
                                  lc_view_home_regions (b->view, address->homes),
                                  lc_flow_balancer__get_sets (b, address->service_id),
                                  address };
  return entry;
}

static bool
lc_envelope__put_homes (LcEnvelope *e, const LcSetMember *const *homes, uint32_t n)
{
  for (uint32_t i = 0; i < n; i++)
    e->candidates[i] = homes[i]->candidate;
  e->n = (uint8_t)n;
  e->assigner = 0;
  e->set_rank = UINT64_MAX;
  return n > 0;
}

/* The usual case: one set, whose homes are the whole list. */
static bool
lc_envelope__fill_settled (LcEnvelope *e,
                           const LcCandidateSets *sets,
                           uint64_t key_hash,
                           LcRegionMask regions)
{
  const LcSetMember *homes[LC_HOMES];
  uint32_t n = lc_candidates_homes (sets, 0, key_hash, regions, homes);

  return lc_envelope__put_homes (e, homes, n);
}

static bool
lc_envelope__fill_unsettled (LcEnvelope *e,
                             const LcCandidateSets *sets,
                             uint64_t key_hash,
                             LcRegionMask regions)
{
  LcCandidateList list;

  lc_candidates_pick (sets, key_hash, regions, &list);
  e->n = list.n;
  e->assigner = list.assigner;
  e->set_rank = list.set_rank;
  memcpy (e->candidates, list.items, list.n * sizeof list.items[0]);
  return list.n > 0;
}

/* The homes nearest to `dc`, for services whose agents find owners without a settled list. */
static bool
lc_envelope__fill_local (
    LcEnvelope *e, const LcCandidateSets *sets, uint64_t key_hash, LcRegionMask regions, LcDcId dc)
{
  const LcSetMember *homes[LC_HOMES];
  uint32_t n = lc_candidates_local_homes (sets, key_hash, dc, regions, homes);

  return lc_envelope__put_homes (e, homes, n);
}

static bool
lc_envelope__begin_list (LcEnvelope *e, const LcCandidateSets *sets, bool is_filled)
{
  if (!is_filled)
    return false;
  e->mode = LC_MODE_WALK;
  e->hop = 0;
  e->service_id = sets->service_id;
  e->target_id = e->candidates[0].id;
  e->target_instance = e->candidates[0].instance;
  return true;
}

bool
lc_envelope_fill (LcEnvelope *e,
                  const LcCandidateSets *sets,
                  uint64_t key_hash,
                  LcRegionMask regions)
{
  bool is_filled = sets->n_sets == 1 ? lc_envelope__fill_settled (e, sets, key_hash, regions)
                                     : lc_envelope__fill_unsettled (e, sets, key_hash, regions);

  return lc_envelope__begin_list (e, sets, is_filled);
}

void
lc_flow_balancer_set_returning (LcFlowBalancer *b, bool is_returning)
{
  b->is_returning = is_returning;
}

void
lc_flow_balancer_mark_suspects (LcFlowBalancer *b, const LcProbeDetector *detector, int64_t now_us)
{
  bool has_suspects = lc_probe_detector_has_suspects (detector, now_us);
  GHashTableIter iter;
  gpointer value;

  /* The usual case: nothing to mark or unmark, so the endpoints need not be visited. */
  if (!has_suspects && !b->has_suspects)
    return;
  b->has_suspects = has_suspects;
  g_hash_table_iter_init (&iter, b->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      LcCandidateSets *sets = value;

      for (uint32_t i = 0; i < sets->n_members; i++)
        sets->members[i].is_suspect = lc_probe_detector_is_suspect (
            detector, sets->members[i].candidate.ipv4, sets->members[i].candidate.port, now_us);
    }
}

void
lc_flow_balancer_set_cut_off (LcFlowBalancer *b, bool is_cut_off)
{
  b->is_cut_off = is_cut_off;
}

/* Puts an endpoint of the newest set in front of the list, round-robin: if it is alive and has a
 * newer view, it replaces the list. */
static void
lc_flow_balancer__add_detour (LcFlowBalancer *b, const LcCandidateSets *sets, LcEnvelope *e)
{
  uint32_t n = sets->sets[0].n;

  if (n == 0)
    return;
  memmove (&e->candidates[1], &e->candidates[0], e->n * sizeof e->candidates[0]);
  e->candidates[0] = sets->members[sets->sets[0].first + b->n_detours++ % n].candidate;
  e->n++;
  e->assigner++;
  e->target_id = e->candidates[0].id;
  e->target_instance = e->candidates[0].instance;
}

/* No endpoint takes new flows, but those that are leaving still have theirs: one of them, chosen by
 * hash, searches for the owner. */
static bool
lc_flow_balancer__fill_any_endpoint (const LcFlowBalancer *b,
                                     LcServiceId service_id,
                                     uint64_t key_hash,
                                     LcEnvelope *e)
{
  const LcService *s = lc_view_service (b->view, service_id);
  const LcEndpoint *any;

  if (s == NULL || s->n_endpoints == 0)
    return false;
  any = &s->endpoints[key_hash % s->n_endpoints];
  e->candidates[0] = (LcCandidate){ any->id, any->ipv4, any->instance, any->flow_port };
  e->n = 1;
  e->mode = LC_MODE_WALK;
  e->service_id = service_id;
  e->set_rank = UINT64_MAX;
  e->target_id = any->id;
  e->target_instance = any->instance;
  return true;
}

/* The homes in one service whose backend servers return packets, or any of its endpoints. */
static bool
lc_flow_balancer__fill_service (const LcFlowBalancer *b,
                                const LcCandidateSets *sets,
                                uint64_t key_hash,
                                LcRegionMask regions,
                                LcEnvelope *e)
{
  bool is_filled = lc_envelope__fill_local (e, sets, key_hash, regions, b->dc);

  return lc_envelope__begin_list (e, sets, is_filled) ||
         lc_flow_balancer__fill_any_endpoint (b, sets->service_id, key_hash, e);
}

/* Appends the homes of a service that the flow may have been opened at. */
static void
lc_flow_balancer__append_service (LcEnvelope *e, const LcEnvelope *part)
{
  LcEnvelopeService service = { .id = part->service_id, .first = e->n };

  if (e->n == 0)
    *e = *part;
  else
    {
      memcpy (&e->candidates[e->n], part->candidates, part->n * sizeof part->candidates[0]);
      e->n = (uint8_t)(e->n + part->n);
    }
  e->services[e->n_services++] = service;
}

/* Lists the homes of the address's service, then those of its former ones.  The regions of an
 * address are a rule for new flows, which former services get none of. */
static bool
lc_flow_balancer__fill_services (LcFlowBalancer *b,
                                 const LcFlowBalancerEntry *target,
                                 uint64_t key_hash,
                                 LcEnvelope *e)
{
  const LcAddress *address = target->address;
  LcEnvelope empty = *e;
  bool has_others = false;

  e->n = 0;
  for (int i = -1; i < address->n_former; i++)
    {
      LcServiceId id = i < 0 ? address->service_id : address->former[i];
      LcRegionMask regions = i < 0 ? target->regions : LC_REGIONS_ALL;
      LcEnvelope part = empty;

      if (id == LC_ADDRESS_FORMER_OTHERS)
        has_others = true;
      else if (lc_flow_balancer__fill_service (b, lc_flow_balancer__get_sets (b, id), key_hash,
                                               regions, &part))
        lc_flow_balancer__append_service (e, &part);
    }
  if (e->n == 0)
    return false;
  if (has_others)
    {
      e->services[e->n_services] =
          (LcEnvelopeService){ .id = LC_ADDRESS_FORMER_OTHERS, .first = e->n };
      e->n_services++;
    }
  if (e->n_services == 1)
    e->n_services = 0;
  return true;
}

static bool
lc_flow_balancer__fill_list (LcFlowBalancer *b,
                             const LcFlowBalancerEntry *target,
                             const LcPacket *packet,
                             LcEnvelope *e)
{
  uint64_t key_hash = lc_flow_key_hash (&packet->key);

  if (!b->is_returning)
    return lc_envelope_fill (e, target->sets, key_hash, target->regions);
  if (target->address->n_former > 0 && !packet->may_open)
    return lc_flow_balancer__fill_services (b, target, key_hash, e);
  return lc_flow_balancer__fill_service (b, target->sets, key_hash, target->regions, e);
}

int
lc_flow_balancer_steer (LcFlowBalancer *b, const LcPacket *packet, LcEnvelope *e, LcCandidate *to)
{
  const LcFlowKey *key = &packet->key;
  const LcFlowBalancerEntry *target = b->view != NULL ? lc_flow_balancer__look_up (b, key) : NULL;

  if (target == NULL)
    return -LC_DROP_NO_SERVICE;
  e->hops_left = LC_ENVELOPE_HOPS;
  e->refusal = LC_DROP_NONE;
  e->dc = b->dc;
  e->revision = b->view->revision;
  e->stray_id = 0;
  e->stray_instance = 0;
  e->hop = 0;
  e->assigner = 0;
  e->n_services = 0;
  e->is_walked = false;
  if (!lc_flow_balancer__fill_list (b, target, packet, e))
    return -LC_DROP_NO_ENDPOINT;
  if (b->is_cut_off && !b->is_returning)
    lc_flow_balancer__add_detour (b, target->sets, e);
  *to = e->candidates[0];
  return 0;
}
