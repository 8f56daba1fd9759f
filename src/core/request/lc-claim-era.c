#include "lc-claim-era.h"

#include <string.h>

#define LC_CLAIM_ERA_LOST_AFTER_US (65 * LC_US_PER_S)

/* Live members are read from every 100 ms: after this time those that can answer have done so. */
#define LC_CLAIM_ERA_ASKED_US (500 * LC_US_PER_MS)

/* === private: sets ========================================================================== */

static void
lc_claim_era__set_clear (gpointer data)
{
  g_free (((LcClaimSet *)data)->members);
}

static LcClaimSet *
lc_claim_era__set (const LcClaimEra *era, guint i)
{
  return &g_array_index (era->sets, LcClaimSet, i);
}

static void
lc_claim_era__add_set (LcClaimEra *era,
                       LcRevision since,
                       const LcEndpoint *endpoints,
                       uint32_t n_endpoints)
{
  LcClaimSet set = { .since = since, .members = g_new (LcMemberRef, n_endpoints + 1) };

  for (uint32_t i = 0; i < n_endpoints; i++)
    if (lc_endpoint_is_candidate (&endpoints[i]))
      set.members[set.n_members++] = (LcMemberRef){ endpoints[i].id, endpoints[i].instance };
  g_array_append_val (era->sets, set);
}

static bool
lc_claim_era__has (const LcClaimSet *set, LcMemberRef member)
{
  for (uint32_t i = 0; i < set->n_members; i++)
    if (lc_member_ref_equal (set->members[i], member))
      return true;
  return false;
}

/* Whether `member` is this process or one of its earlier incarnations. */
static bool
lc_claim_era__is_self (const LcClaimEra *era, LcMemberRef member)
{
  if (lc_member_ref_equal (member, era->desc.self))
    return true;
  for (uint32_t i = 0; i < era->n_earlier; i++)
    if (lc_member_ref_equal (member, era->earlier[i]))
      return true;
  return false;
}

/* This process's entry in a set, or NULL; a set holds one instance of each endpoint. */
static const LcMemberRef *
lc_claim_era__self_in (const LcClaimEra *era, const LcClaimSet *set)
{
  for (uint32_t i = 0; i < set->n_members; i++)
    if (lc_claim_era__is_self (era, set->members[i]))
      return &set->members[i];
  return NULL;
}

static bool
lc_claim_era__is_among (const GArray *members, LcMemberRef member)
{
  for (guint i = 0; i < members->len; i++)
    if (lc_member_ref_equal (g_array_index (members, LcMemberRef, i), member))
      return true;
  return false;
}

static bool
lc_claim_era__is_source (const LcClaimEra *era, LcMemberRef member)
{
  return lc_claim_era__is_among (era->sources, member);
}

/* The index of the era that is being read for; sets->len when there is none. */
static guint
lc_claim_era__target (const LcClaimEra *era)
{
  if (era->complete == 0)
    {
      for (guint i = 0; i < era->sets->len; i++)
        if (lc_claim_era__self_in (era, lc_claim_era__set (era, i)) != NULL)
          return i;
      return era->sets->len;
    }
  for (guint i = 0; i < era->sets->len; i++)
    if (lc_claim_era__set (era, i)->since == era->complete)
      return i + 1;
  return era->sets->len;
}

/* === private: steps ========================================================================= */

static void
lc_claim_era__clear_step (LcClaimEra *era, int64_t now_us)
{
  g_array_set_size (era->sources, 0);
  g_array_set_size (era->of_previous, 0);
  g_array_set_size (era->stalled, 0);
  era->step_since_us = now_us;
}

/* The set before the target, or NULL when the view no longer has it. */
static const LcClaimSet *
lc_claim_era__former (const LcClaimEra *era, guint target)
{
  return target > 0 ? lc_claim_era__set (era, target - 1) : NULL;
}

/* Whether this agent is itself a source for the keys that it homed in the previous set. */
static bool
lc_claim_era__was_whole (const LcClaimEra *era, const LcClaimSet *former)
{
  return era->complete != 0 && era->complete == former->since &&
         lc_claim_era__self_in (era, former) != NULL;
}

static uint32_t
lc_claim_era__count (const LcClaimEra *era, bool before)
{
  uint32_t n = 0;

  for (guint i = 0; i < era->of_previous->len; i++)
    n += g_array_index (era->of_previous, gboolean, i) == before;
  return n;
}

/* Whether the sources cover every key: any n - r + 1 of n members include one of its r homes. */
static bool
lc_claim_era__is_covered (const LcClaimEra *era, guint target)
{
  const LcClaimSet *set = lc_claim_era__set (era, target);
  const LcClaimSet *former = lc_claim_era__former (era, target);
  uint32_t r = MIN (set->n_members, LC_CLAIM_HOMES);
  uint32_t n;

  if (lc_claim_era__self_in (era, set) == NULL)
    return true;
  if (former != NULL && former->n_members == 0 && former->since == 0)
    return true; /* the service's first members: no claim exists */
  /* This agent is one of the r homes, but not a source at the target era. */
  if (r > 1 && lc_claim_era__count (era, false) >= set->n_members - r + 1)
    return true;
  if (former == NULL)
    return false;
  r = MIN (former->n_members, LC_CLAIM_HOMES);
  n = lc_claim_era__count (era, true) + lc_claim_era__was_whole (era, former);
  return r > 0 && n >= former->n_members - r + 1;
}

static void
lc_claim_era__enter (LcClaimEra *era, guint target, int64_t now_us)
{
  LcRevision since = lc_claim_era__set (era, target)->since;

  if (era->complete == 0)
    era->complete_from = since;
  era->complete = since;
  lc_claim_era__clear_step (era, now_us);
}

static void
lc_claim_era__advance (LcClaimEra *era, int64_t now_us)
{
  guint target = lc_claim_era__target (era);

  while (target < era->sets->len && lc_claim_era__is_covered (era, target))
    {
      lc_claim_era__enter (era, target, now_us);
      target = lc_claim_era__target (era);
    }
}

static GArray *
lc_claim_era__new_sets (void)
{
  GArray *sets = g_array_new (FALSE, TRUE, sizeof (LcClaimSet));

  g_array_set_clear_func (sets, lc_claim_era__set_clear);
  return sets;
}

/* === public ================================================================================= */

void
lc_claim_era_init (LcClaimEra *era, const LcClaimEraDesc *desc)
{
  memset (era, 0, sizeof *era);
  era->desc = *desc;
  if (era->desc.lost_after_us == 0)
    era->desc.lost_after_us = LC_CLAIM_ERA_LOST_AFTER_US;
  era->sets = lc_claim_era__new_sets ();
  era->alive = g_array_new (FALSE, TRUE, sizeof (LcMemberRef));
  era->sources = g_array_new (FALSE, TRUE, sizeof (LcMemberRef));
  era->of_previous = g_array_new (FALSE, TRUE, sizeof (gboolean));
  era->stalled = g_array_new (FALSE, TRUE, sizeof (LcClaimStalled));
}

void
lc_claim_era_finish (LcClaimEra *era)
{
  g_array_free (era->sets, TRUE);
  g_array_free (era->alive, TRUE);
  g_array_free (era->sources, TRUE);
  g_array_free (era->of_previous, TRUE);
  g_array_free (era->stalled, TRUE);
  memset (era, 0, sizeof *era);
}

void
lc_claim_era_resume (LcClaimEra *era, const LcClaimEraState *state)
{
  era->n_earlier = MIN (state->n_incarnations, LC_CLAIM_ERA_MAX_SELVES - 1);
  memcpy (era->earlier, state->incarnations, era->n_earlier * sizeof *era->earlier);
  era->complete = state->complete;
  era->complete_from = state->complete_from;
}

void
lc_claim_era_state (const LcClaimEra *era, LcClaimEraState *state)
{
  memset (state, 0, sizeof *state);
  if (era->desc.self.id != 0)
    state->incarnations[state->n_incarnations++] = era->desc.self;
  for (uint32_t i = 0; i < era->n_earlier; i++)
    state->incarnations[state->n_incarnations++] = era->earlier[i];
  state->complete = era->complete;
  state->complete_from = era->complete_from;
}

bool
lc_claim_era_state_equal (const LcClaimEraState *a, const LcClaimEraState *b)
{
  if (a->n_incarnations != b->n_incarnations || a->complete != b->complete ||
      a->complete_from != b->complete_from)
    return false;
  for (uint32_t i = 0; i < a->n_incarnations; i++)
    if (!lc_member_ref_equal (a->incarnations[i], b->incarnations[i]))
      return false;
  return true;
}

static void
lc_claim_era__set_alive (LcClaimEra *era, const LcService *service)
{
  for (uint32_t i = 0; service != NULL && i < service->n_endpoints; i++)
    {
      LcMemberRef member = { service->endpoints[i].id, service->endpoints[i].instance };

      if (service->endpoints[i].state != LC_ENDPOINT_LOST)
        g_array_append_val (era->alive, member);
    }
}

static int64_t
lc_claim_era__known_loss_us (const GArray *known, const LcClaimSet *set)
{
  for (guint i = 0; i < known->len; i++)
    if (g_array_index (known, LcClaimSet, i).since == set->since)
      return g_array_index (known, LcClaimSet, i).lost_us;
  return 0;
}

/* Sets lost_us.  `known` and `were_alive` are the sets and live members of the previous view. */
static void
lc_claim_era__note_lost (const LcClaimEra *era,
                         LcClaimSet *set,
                         const GArray *known,
                         const GArray *were_alive,
                         int64_t now_us)
{
  bool is_any_lost = false;
  bool is_new = false;

  for (uint32_t i = 0; i < set->n_members; i++)
    if (!lc_claim_era__is_among (era->alive, set->members[i]))
      {
        is_any_lost = true;
        is_new = is_new || lc_claim_era__is_among (were_alive, set->members[i]);
      }
  if (!is_any_lost)
    return;
  set->lost_us = is_new ? now_us : lc_claim_era__known_loss_us (known, set);
  if (set->lost_us == 0)
    set->lost_us = now_us; /* lost before this agent first saw the set */
}

/* Drops state of eras that the view no longer has.  A view older than `complete`, as a process that
 * has just started may get, drops nothing. */
static void
lc_claim_era__forget_old (LcClaimEra *era)
{
  uint32_t n = 0;

  if (era->complete > lc_claim_era_now (era))
    return;
  if (lc_claim_era_find (era, era->complete) == NULL)
    {
      era->complete = 0;
      era->complete_from = 0;
    }
  for (uint32_t i = 0; i < era->n_earlier; i++)
    {
      bool is_remembered = false;

      for (guint k = 0; k < era->sets->len; k++)
        is_remembered =
            is_remembered || lc_claim_era__has (lc_claim_era__set (era, k), era->earlier[i]);
      if (is_remembered && era->complete != 0)
        era->earlier[n++] = era->earlier[i];
    }
  era->n_earlier = n;
}

/* Sources of the present step stay valid when only newer eras were added; the step is the same one
 * when its target is. */
void
lc_claim_era_set (LcClaimEra *era, const LcService *service, int64_t now_us)
{
  LcRevision target = lc_claim_era_target (era);
  GArray *known = era->sets;
  GArray *were_alive = era->alive;

  era->sets = lc_claim_era__new_sets ();
  era->alive = g_array_new (FALSE, TRUE, sizeof (LcMemberRef));
  lc_claim_era__set_alive (era, service);
  if (service != NULL)
    {
      for (uint32_t i = service->n_former; i > 0; i--)
        lc_claim_era__add_set (era, service->former[i - 1].since_revision,
                               service->former[i - 1].endpoints,
                               service->former[i - 1].n_endpoints);
      lc_claim_era__add_set (era, service->membership_revision, service->endpoints,
                             service->n_endpoints);
    }
  for (guint i = 0; i < era->sets->len; i++)
    lc_claim_era__note_lost (era, &g_array_index (era->sets, LcClaimSet, i), known, were_alive,
                             now_us);
  g_array_free (known, TRUE);
  g_array_free (were_alive, TRUE);
  lc_claim_era__forget_old (era);
  if (lc_claim_era_target (era) != target || target == 0)
    lc_claim_era__clear_step (era, now_us);
  lc_claim_era__advance (era, now_us);
}

LcRevision
lc_claim_era_now (const LcClaimEra *era)
{
  return era->sets->len > 0 ? lc_claim_era__set (era, era->sets->len - 1)->since : 0;
}

const LcClaimSet *
lc_claim_era_present (const LcClaimEra *era)
{
  return era->sets->len > 0 ? lc_claim_era__set (era, era->sets->len - 1) : NULL;
}

LcRevision
lc_claim_era_target (const LcClaimEra *era)
{
  guint target = lc_claim_era__target (era);

  return target < era->sets->len ? lc_claim_era__set (era, target)->since : 0;
}

const LcClaimSet *
lc_claim_era_find (const LcClaimEra *era, LcRevision since)
{
  for (guint i = 0; i < era->sets->len; i++)
    if (lc_claim_era__set (era, i)->since == since)
      return lc_claim_era__set (era, i);
  return NULL;
}

static uint32_t
lc_claim_era__want (
    const LcClaimEra *era, const LcClaimSet *set, LcMemberRef *out, uint32_t n, uint32_t max)
{
  for (uint32_t i = 0; i < set->n_members && n < max; i++)
    {
      LcMemberRef member = set->members[i];
      bool is_known = lc_claim_era__is_self (era, member);

      for (uint32_t k = 0; k < n; k++)
        is_known = is_known || lc_member_ref_equal (out[k], member);
      if (!is_known && !lc_claim_era__is_source (era, member))
        out[n++] = member;
    }
  return n;
}

uint32_t
lc_claim_era_n_members (const LcClaimEra *era)
{
  uint32_t n = 0;

  for (guint i = 0; i < era->sets->len; i++)
    n += lc_claim_era__set (era, i)->n_members;
  return n;
}

uint32_t
lc_claim_era_wanted (const LcClaimEra *era, LcMemberRef *out, uint32_t max)
{
  guint target = lc_claim_era__target (era);
  const LcClaimSet *former;
  uint32_t n = 0;

  if (target >= era->sets->len)
    return 0;
  former = lc_claim_era__former (era, target);
  if (former != NULL)
    n = lc_claim_era__want (era, former, out, n, max);
  return lc_claim_era__want (era, lc_claim_era__set (era, target), out, n, max);
}

/* Whether the source was a member of `set` and complete there; `set` may be NULL. */
static bool
lc_claim_era__was_whole_at (const LcClaimSource *source, const LcClaimSet *set)
{
  return set != NULL && source->complete >= set->since && source->complete_from <= set->since &&
         source->complete_from != 0 && lc_claim_era__has (set, source->member);
}

/* Replaces what a live member reported of how long it waits for lost members. */
static void
lc_claim_era__note_stalled (LcClaimEra *era, const LcClaimSource *source, int64_t now_us)
{
  LcClaimStalled stalled = { source->member, now_us + source->lost_for_us };

  for (guint i = 0; i < era->stalled->len; i++)
    if (lc_member_ref_equal (g_array_index (era->stalled, LcClaimStalled, i).member,
                             source->member))
      {
        g_array_remove_index_fast (era->stalled, i);
        break;
      }
  if (source->lost_for_us > 0)
    g_array_append_val (era->stalled, stalled);
}

void
lc_claim_era_source (LcClaimEra *era, const LcClaimSource *source, int64_t now_us)
{
  guint target = lc_claim_era__target (era);
  const LcClaimSet *set;
  const LcClaimSet *former;
  gboolean before;

  if (target >= era->sets->len || lc_claim_era__is_source (era, source->member))
    return;
  set = lc_claim_era__set (era, target);
  if (source->target_era != set->since)
    return; /* a late answer to an earlier step: it may lack records that this one needs */
  lc_claim_era__note_stalled (era, source, now_us);
  former = lc_claim_era__former (era, target);
  before =
      former != NULL && source->era >= set->since && lc_claim_era__was_whole_at (source, former);
  if (!before && !lc_claim_era__was_whole_at (source, set))
    return;
  g_array_append_val (era->sources, source->member);
  g_array_append_val (era->of_previous, before);
  lc_claim_era__advance (era, now_us);
}

/* Whether `member` was in the previous set and is not a source yet. */
static bool
lc_claim_era__is_awaited (const LcClaimEra *era, const LcClaimSet *former, LcMemberRef member)
{
  return lc_claim_era__has (former, member) && !lc_claim_era__is_source (era, member) &&
         !lc_claim_era__is_self (era, member);
}

/* Whether a live member of the previous set may still answer. */
static bool
lc_claim_era__may_answer (const LcClaimEra *era, guint target)
{
  const LcClaimSet *former = lc_claim_era__former (era, target);

  for (guint i = 0; former != NULL && i < era->alive->len; i++)
    if (lc_claim_era__is_awaited (era, former, g_array_index (era->alive, LcMemberRef, i)))
      return true;
  return false;
}

/* When the wait for lost members began: with the step, or with the loss of the last missing member
 * if that was earlier. */
static int64_t
lc_claim_era__unanswered_since_us (const LcClaimEra *era, guint target)
{
  const LcClaimSet *former = lc_claim_era__former (era, target);

  if (former == NULL || former->lost_us == 0)
    return era->step_since_us;
  return MIN (former->lost_us, era->step_since_us);
}

void
lc_claim_era_tick (LcClaimEra *era, int64_t now_us)
{
  guint target = lc_claim_era__target (era);

  while (target < era->sets->len &&
         now_us - lc_claim_era__unanswered_since_us (era, target) >= era->desc.lost_after_us &&
         !lc_claim_era__may_answer (era, target))
    {
      era->lost_total++;
      lc_claim_era__enter (era, target, now_us);
      lc_claim_era__advance (era, now_us);
      target = lc_claim_era__target (era);
    }
}

/* Whether one of the key's own homes is a source: in the last step that is enough for the key. */
static bool
lc_claim_era__is_key_covered (const LcClaimEra *era, guint target, LcRequestKey key)
{
  const LcClaimSet *set = lc_claim_era__set (era, target);
  const LcClaimSet *former = lc_claim_era__former (era, target);

  for (guint i = 0; i < era->sources->len; i++)
    {
      const LcClaimSet *of = g_array_index (era->of_previous, gboolean, i) ? former : set;

      if (lc_claim_is_home (key, of->members, of->n_members,
                            g_array_index (era->sources, LcMemberRef, i)))
        return true;
    }
  return former != NULL && lc_claim_era__was_whole (era, former) &&
         lc_claim_is_home (key, former->members, former->n_members,
                           *lc_claim_era__self_in (era, former));
}

bool
lc_claim_era_knows (const LcClaimEra *era, LcRequestKey key)
{
  const LcClaimSet *present = lc_claim_era_present (era);
  guint target;

  if (present == NULL ||
      !lc_claim_is_home (key, present->members, present->n_members, era->desc.self))
    return false;
  if (era->complete == present->since)
    return true;
  target = lc_claim_era__target (era);
  return target == era->sets->len - 1 && lc_claim_era__is_key_covered (era, target, key);
}

/* Until when a member waits for lost members; 0: it has not reported that it does. */
static int64_t
lc_claim_era__stalled_until_us (const LcClaimEra *era, LcMemberRef member)
{
  for (guint i = 0; i < era->stalled->len; i++)
    if (lc_member_ref_equal (g_array_index (era->stalled, LcClaimStalled, i).member, member))
      return g_array_index (era->stalled, LcClaimStalled, i).until_us;
  return 0;
}

/* When the first of the awaited members stops waiting for lost ones; 0: one of them doesn't wait.
 * Each of them is at an earlier era than this agent, so that members never wait in a cycle. */
static int64_t
lc_claim_era__first_to_go_on_us (const LcClaimEra *era, guint target)
{
  const LcClaimSet *former = lc_claim_era__former (era, target);
  int64_t first_us = INT64_MAX;

  for (guint i = 0; former != NULL && i < era->alive->len; i++)
    {
      LcMemberRef member = g_array_index (era->alive, LcMemberRef, i);

      if (lc_claim_era__is_awaited (era, former, member))
        first_us = MIN (first_us, lc_claim_era__stalled_until_us (era, member));
    }
  return first_us;
}

int64_t
lc_claim_era_stalled_for_us (const LcClaimEra *era, int64_t now_us)
{
  guint target = lc_claim_era__target (era);
  int64_t until_us;

  if (target >= era->sets->len || now_us - era->step_since_us < LC_CLAIM_ERA_ASKED_US)
    return 0;
  until_us = lc_claim_era__may_answer (era, target)
                 ? lc_claim_era__first_to_go_on_us (era, target)
                 : lc_claim_era__unanswered_since_us (era, target) + era->desc.lost_after_us;
  return MAX (until_us - now_us, 0);
}

int64_t
lc_claim_era_lost_for_us (const LcClaimEra *era, LcRequestKey key, int64_t now_us)
{
  return lc_claim_era_knows (era, key) ? 0 : lc_claim_era_stalled_for_us (era, now_us);
}
