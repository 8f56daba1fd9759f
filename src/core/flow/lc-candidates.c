#include "lc-candidates.h"

#include <string.h>
#define XXH_INLINE_ALL
#include <xxhash.h>

/* === private: scores ======================================================================== */

static uint64_t
lc_candidates__mix (uint64_t key_hash, uint64_t seed)
{
  /* Multiply and fold.  The key is well hashed already; this only has to make the endpoints' ranks
   * independent of each other. */
  __uint128_t p = (__uint128_t)(key_hash ^ seed) * (seed | 1U);

  return (uint64_t)p ^ (uint64_t)(p >> 64);
}

/* -log2 (hash / 2^64) in units of 1/2^32.  Integer arithmetic only, so that every CPU and compiler
 * computes the same ranks. */
static uint64_t
lc_candidates__minus_log2 (uint64_t hash)
{
  uint64_t x = hash | 1U;
  unsigned zeros = (unsigned)__builtin_clzll (x);
  uint64_t fraction = 0;
  uint64_t m = (x << zeros) >> 32; /* 1.31 fixed point, in [2^31, 2^32) */

  for (int bit = 0; bit < 20; bit++)
    {
      m = (m * m) >> 31;
      fraction <<= 1;
      if (m >= UINT64_C (1) << 32)
        {
          fraction |= 1;
          m >>= 1;
        }
    }
  return ((uint64_t)(zeros + 1) << 32) - (fraction << 12);
}

/* The highest score wins; an endpoint wins a share of the flows proportional to its weight. */
static uint64_t
lc_candidates__score (const LcSetMember *member, uint64_t key_hash, bool is_weighted)
{
  uint64_t hash = lc_candidates__mix (key_hash, member->seed);

  if (!is_weighted)
    return hash;
  return UINT64_MAX - lc_candidates__minus_log2 (hash) * 256U / member->weight_percent;
}

/* === private: compiling ===================================================================== */

/* Binary search by id.  A linear search of 15 former sets of 2,000 endpoints took 50 ms at each
 * change of the view (now 2 ms, one core). */
static const LcEndpoint *
lc_candidates__find_endpoint (const LcService *s, LcEndpointId id)
{
  uint32_t low = 0;
  uint32_t high = s->n_endpoints;

  while (low < high)
    {
      uint32_t mid = low + (high - low) / 2;

      if (s->endpoints[mid].id < id)
        low = mid + 1;
      else
        high = mid;
    }
  return low < s->n_endpoints && s->endpoints[low].id == id ? &s->endpoints[low] : NULL;
}

/* A former candidate that is gone can neither answer nor assign. */
static bool
lc_candidates__is_gone (const LcService *s, const LcEndpoint *former)
{
  const LcEndpoint *now = lc_candidates__find_endpoint (s, former->id);

  return now == NULL || now->instance != former->instance || now->state == LC_ENDPOINT_LOST;
}

static void
lc_candidates__add_member (LcCandidateSets *sets, LcCandidateSet *set, const LcEndpoint *e)
{
  LcSetMember *member = &sets->members[sets->n_members++];

  member->candidate = (LcCandidate){ e->id, e->ipv4, e->instance, e->flow_port };
  member->seed = XXH3_64bits (&e->id, sizeof e->id);
  member->weight_percent = e->weight_percent;
  member->dc = e->dc;
  member->region = LC_REGION_NONE;
  if (set->n > 0 && sets->members[set->first].weight_percent != e->weight_percent)
    set->is_weighted = true;
  set->n++;
}

static LcCandidateSet *
lc_candidates__begin_set (LcCandidateSets *sets, LcRevision until_revision)
{
  LcCandidateSet *set = &sets->sets[sets->n_sets++];

  *set = (LcCandidateSet){ .until_revision = until_revision, .first = sets->n_members };
  return set;
}

static void
lc_candidates__add_former (LcCandidateSets *sets, const LcService *s, const LcFormerSet *former)
{
  LcCandidateSet *set = lc_candidates__begin_set (sets, former->until_revision);

  for (uint32_t i = 0; i < former->n_endpoints; i++)
    if (!lc_candidates__is_gone (s, &former->endpoints[i]))
      lc_candidates__add_member (sets, set, &former->endpoints[i]);
  if (set->n == 0)
    sets->n_sets--; /* no member of it is left */
}

static uint32_t
lc_candidates__count_endpoints (const LcService *s)
{
  uint32_t n = s->n_endpoints;

  for (uint32_t i = 0; i < s->n_former; i++)
    n += s->former[i].n_endpoints;
  return n;
}

/* === public: sets =========================================================================== */

void
lc_candidate_sets_compile (LcCandidateSets *sets, const LcService *service)
{
  LcCandidateSet *current;
  uint32_t skip;

  lc_candidate_sets_finish (sets);
  if (service == NULL)
    return;
  sets->service_id = service->id;
  sets->membership_revision = service->membership_revision;
  sets->members = g_new0 (LcSetMember, lc_candidates__count_endpoints (service) + 1);
  current = lc_candidates__begin_set (sets, UINT64_MAX);
  for (uint32_t i = 0; i < service->n_endpoints; i++)
    if (lc_endpoint_is_candidate (&service->endpoints[i]))
      lc_candidates__add_member (sets, current, &service->endpoints[i]);
  /* The oldest set must stay: its homes have every pointer, and it names the assigner. */
  skip = service->n_former >= LC_CANDIDATE_SETS_MAX
             ? service->n_former - (LC_CANDIDATE_SETS_MAX - 1)
             : 0;
  for (uint32_t i = 0; i < service->n_former; i++)
    if (i + 1 == service->n_former || i + 1 + skip < service->n_former)
      lc_candidates__add_former (sets, service, &service->former[i]);
}

void
lc_candidate_sets_set_regions (LcCandidateSets *sets, const LcView *view)
{
  for (uint32_t i = 0; i < sets->n_members; i++)
    sets->members[i].region = lc_view_region (view, sets->members[i].dc);
}

void
lc_candidate_sets_copy (LcCandidateSets *to, const LcCandidateSets *from)
{
  lc_candidate_sets_finish (to);
  *to = *from;
  to->members = g_memdup2 (from->members, (from->n_members + 1) * sizeof *from->members);
}

void
lc_candidate_sets_finish (LcCandidateSets *sets)
{
  g_free (sets->members);
  memset (sets, 0, sizeof *sets);
}

/* === public: choice ========================================================================= */

/* Inlined with constant `is_weighted` and `regions` where flows may go anywhere, so that the loop
 * has no branch for them. */
static inline __attribute__ ((always_inline)) uint32_t
lc_candidates__find_top_two (const LcSetMember *members,
                             uint32_t n,
                             uint64_t key_hash,
                             bool is_weighted,
                             LcRegionMask regions,
                             const LcSetMember *homes[LC_HOMES])
{
  uint64_t first = 0;
  uint64_t second = 0;
  uint32_t first_at = 0;
  uint32_t second_at = 0;

  for (uint32_t i = 0; i < n; i++)
    {
      uint64_t score = lc_region_is_in (regions, members[i].region)
                           ? lc_candidates__score (&members[i], key_hash, is_weighted) | 1U
                           : 0;
      bool is_first = score > first;
      bool is_second = score > second;

      second_at = is_first ? first_at : is_second ? i : second_at;
      second = is_first ? first : is_second ? score : second;
      first_at = is_first ? i : first_at;
      first = is_first ? score : first;
    }
  homes[0] = first != 0 ? &members[first_at] : NULL;
  homes[1] = second != 0 ? &members[second_at] : NULL;
  return (first != 0) + (second != 0);
}

uint32_t
lc_candidates_homes (const LcCandidateSets *sets,
                     uint32_t set_index,
                     uint64_t key_hash,
                     LcRegionMask regions,
                     const LcSetMember *homes[LC_HOMES])
{
  const LcCandidateSet *set = &sets->sets[set_index];
  const LcSetMember *members = &sets->members[set->first];

  if (regions != LC_REGIONS_ALL)
    return lc_candidates__find_top_two (members, set->n, key_hash, set->is_weighted, regions,
                                        homes);
  if (set->is_weighted)
    return lc_candidates__find_top_two (members, set->n, key_hash, true, LC_REGIONS_ALL, homes);
  return lc_candidates__find_top_two (members, set->n, key_hash, false, LC_REGIONS_ALL, homes);
}

/* The highest-scoring member of the newest set in these regions except `other`; in `dc` only if
 * `is_inside`, suspect ones only if `is_any`. */
static const LcSetMember *
lc_candidates__find_best (const LcCandidateSets *sets,
                          uint64_t key_hash,
                          LcDcId dc,
                          bool is_inside,
                          bool is_any,
                          LcRegionMask regions,
                          const LcSetMember *other)
{
  const LcCandidateSet *set = &sets->sets[0];
  const LcSetMember *best = NULL;
  uint64_t best_score = 0;

  for (uint32_t i = 0; i < set->n; i++)
    {
      const LcSetMember *m = &sets->members[set->first + i];
      uint64_t score = lc_candidates__score (m, key_hash, set->is_weighted) | 1U;

      if (m == other || (is_inside && m->dc != dc) || (m->is_suspect && !is_any) ||
          score <= best_score || !lc_region_is_in (regions, m->region))
        continue;
      best = m;
      best_score = score;
    }
  return best;
}

uint32_t
lc_candidates_local_homes (const LcCandidateSets *sets,
                           uint64_t key_hash,
                           LcDcId dc,
                           LcRegionMask regions,
                           const LcSetMember *homes[LC_HOMES])
{
  uint32_t n = 0;

  while (sets->n_sets > 0 && n < LC_HOMES)
    {
      const LcSetMember *before = n > 0 ? homes[n - 1] : NULL;
      const LcSetMember *best =
          lc_candidates__find_best (sets, key_hash, dc, true, false, regions, before);

      if (best == NULL)
        best = lc_candidates__find_best (sets, key_hash, dc, false, false, regions, before);
      if (best == NULL)
        best = lc_candidates__find_best (sets, key_hash, dc, false, true, regions, before);
      if (best == NULL)
        break;
      homes[n++] = best;
    }
  return n;
}

static uint8_t
lc_candidates__index_of (const LcCandidateList *list, const LcCandidate *candidate)
{
  uint8_t i = 0;

  while (i < list->n && !lc_candidate_equal (&list->items[i], candidate))
    i++;
  return i;
}

/* Adds the candidate unless it is listed; returns its index. */
static uint8_t
lc_candidates__add (LcCandidateList *list, const LcCandidate *candidate, uint8_t limit)
{
  uint8_t i = lc_candidates__index_of (list, candidate);

  if (i == list->n && list->n < limit)
    list->items[list->n++] = *candidate;
  return i;
}

static void
lc_candidates__add_set (const LcCandidateSets *sets,
                        uint32_t set,
                        uint64_t key_hash,
                        LcRegionMask regions,
                        LcCandidateList *list)
{
  bool is_oldest = set + 1 == sets->n_sets;
  uint8_t limit = is_oldest ? LC_CANDIDATES_MAX : LC_CANDIDATES_MAX - LC_HOMES;
  const LcSetMember *homes[LC_HOMES];
  uint32_t n = lc_candidates_homes (sets, set, key_hash, regions, homes);

  if (n == 0)
    return;
  if (!is_oldest || set == 0)
    {
      for (uint32_t i = 0; i < n; i++)
        (void)lc_candidates__add (list, &homes[i]->candidate, limit);
      if (set == 0)
        list->n_current = list->n;
      list->assigner = 0;
    }
  else
    {
      /* The assigner comes last: a packet that visits the list ends there. */
      if (n == 2)
        (void)lc_candidates__add (list, &homes[1]->candidate, limit);
      list->assigner = lc_candidates__add (list, &homes[0]->candidate, limit);
    }
  list->set_rank = sets->sets[set].until_revision;
}

void
lc_candidates_pick (const LcCandidateSets *sets,
                    uint64_t key_hash,
                    LcRegionMask regions,
                    LcCandidateList *list)
{
  list->n = 0;
  list->n_current = 0;
  list->assigner = 0;
  list->set_rank = UINT64_MAX;
  for (uint32_t i = 0; i < sets->n_sets; i++)
    lc_candidates__add_set (sets, i, key_hash, regions, list);
}
