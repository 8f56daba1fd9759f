#include "lc-envelope-list.h"

#include "lc-flow-agent-private.h"
#include "lc-flow-balancer.h"

bool
lc_envelope_list_set_assigner (LcEnvelope *e, const LcCandidate *assigner)
{
  uint8_t i = 0;

  while (i < e->n && !lc_candidate_equal (&e->candidates[i], assigner))
    i++;
  if (i == LC_CANDIDATES_MAX + 2)
    return false;
  if (i == e->n)
    e->candidates[e->n++] = *assigner;
  e->assigner = i;
  return true;
}

/* The packet may be of another service, if the address of one of its endpoints was reused here. */
bool
lc_envelope_list_replace (LcFlowAgent *a, LcEnvelope *e, const LcPacket *packet)
{
  uint64_t hash = lc_flow_key_hash (&packet->key);
  LcRegionMask regions = lc_flow_agent__home_regions (a, &packet->key);
  LcCandidateSets other = { 0 };
  bool is_filled;

  if (e->service_id == a->desc.service_id)
    is_filled = lc_envelope_fill (e, &a->sets, hash, regions);
  else
    {
      lc_candidate_sets_compile (&other, lc_view_service (a->view, e->service_id));
      lc_candidate_sets_set_regions (&other, a->view);
      is_filled = lc_envelope_fill (e, &other, hash, regions);
      lc_candidate_sets_finish (&other);
    }
  if (is_filled)
    e->revision = a->view->revision;
  return is_filled;
}

/* A set settles once all counted balancers have acknowledged it.  A balancer below the settled
 * revision was not counted, so its list may lack every home. */
bool
lc_envelope_list_is_stale (const LcFlowAgent *a, const LcEnvelope *e)
{
  return e->revision < a->view->settled_revision &&
         (e->mode == LC_MODE_WALK || e->mode == LC_MODE_ASSIGN);
}

static LcRevision
lc_envelope_list__oldest_rank (const LcCandidateSets *sets)
{
  return sets->n_sets > 0 ? sets->sets[sets->n_sets - 1].until_revision : 0;
}

/* A balancer that missed a change ranks its set as the current one.  In this agent's newer view it
 * is a former set, older than those that followed it. */
void
lc_envelope_list_correct_rank (const LcFlowAgent *a, LcEnvelope *e)
{
  if (e->set_rank != UINT64_MAX || e->service_id != a->desc.service_id)
    return;
  for (uint32_t i = a->sets.n_sets; i > 0; i--)
    if (a->sets.sets[i - 1].until_revision > e->revision)
      {
        e->set_rank = a->sets.sets[i - 1].until_revision;
        return;
      }
}

/* A first packet that left a balancer before it acknowledged the new set may still be in transit,
 * and so may the registrations of its owner. */
void
lc_envelope_list_save_settling (LcFlowAgent *a, int64_t now_us)
{
  const LcCandidateSets *before = &a->previous_sets;

  if (before->n_sets == 0 ||
      lc_envelope_list__oldest_rank (before) == lc_envelope_list__oldest_rank (&a->sets))
    return;
  if (now_us >= a->settling_until_us || now_us - a->settling_from_us > 3 * LC_FLOW_SETTLE_US)
    {
      lc_candidate_sets_copy (&a->settling_sets, before);
      a->settling_from_us = now_us;
    }
  a->settling_until_us = now_us + LC_FLOW_SETTLE_US;
}

/* During that time a packet that may open a flow also visits the homes of sets that have just
 * settled, and is assigned where it would have been before. */
void
lc_envelope_list_extend (const LcFlowAgent *a,
                         LcEnvelope *e,
                         const LcPacket *packet,
                         int64_t now_us)
{
  uint8_t assigner = e->assigner;
  LcCandidateList list;

  if (now_us >= a->settling_until_us || e->mode != LC_MODE_WALK || !packet->may_open ||
      e->service_id != a->desc.service_id)
    return;
  lc_candidates_pick (&a->settling_sets, lc_flow_key_hash (&packet->key),
                      lc_flow_agent__home_regions (a, &packet->key), &list);
  if (list.n == 0 || list.set_rank >= e->set_rank)
    return;
  for (uint8_t i = 0; i < list.n && e->n < LC_CANDIDATES_MAX; i++)
    (void)lc_envelope_list_set_assigner (e, &list.items[i]);
  e->assigner = assigner;
  if (lc_envelope_list_set_assigner (e, &list.items[list.assigner]))
    e->set_rank = list.set_rank;
}
