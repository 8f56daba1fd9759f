#include "lc-claim-sync.h"

#include <string.h>

#define LC_CLAIM_SYNC_LOST_AFTER_US (65 * LC_US_PER_S)

/* Live members are read from every 100 ms: after this time those that can answer have done so. */
#define LC_CLAIM_SYNC_READ_TIME_US (500 * LC_US_PER_MS)

/* === private: sets ========================================================================== */

static void
lc_claim_sync__clear_set (gpointer data)
{
  g_free (((LcClaimMembers *)data)->members);
}

static LcClaimMembers *
lc_claim_sync__set_at (const LcClaimSync *sync, guint i)
{
  return &g_array_index (sync->sets, LcClaimMembers, i);
}

static void
lc_claim_sync__add_set (LcClaimSync *sync,
                        LcRevision since,
                        const LcEndpoint *endpoints,
                        uint32_t n_endpoints)
{
  LcClaimMembers set = { .since = since, .members = g_new (LcMemberRef, n_endpoints + 1) };

  for (uint32_t i = 0; i < n_endpoints; i++)
    if (lc_endpoint_is_candidate (&endpoints[i]))
      set.members[set.n_members++] = (LcMemberRef){ endpoints[i].id, endpoints[i].instance };
  g_array_append_val (sync->sets, set);
}

static bool
lc_claim_sync__has_member (const LcClaimMembers *set, LcMemberRef member)
{
  for (uint32_t i = 0; i < set->n_members; i++)
    if (lc_member_ref_equal (set->members[i], member))
      return true;
  return false;
}

/* Whether `member` is this process or one of its earlier incarnations. */
static bool
lc_claim_sync__is_self (const LcClaimSync *sync, LcMemberRef member)
{
  if (lc_member_ref_equal (member, sync->desc.self))
    return true;
  for (uint32_t i = 0; i < sync->n_earlier; i++)
    if (lc_member_ref_equal (member, sync->earlier[i]))
      return true;
  return false;
}

/* This process's entry in a set, or NULL; a set holds one instance of each endpoint. */
static const LcMemberRef *
lc_claim_sync__find_self (const LcClaimSync *sync, const LcClaimMembers *set)
{
  for (uint32_t i = 0; i < set->n_members; i++)
    if (lc_claim_sync__is_self (sync, set->members[i]))
      return &set->members[i];
  return NULL;
}

static bool
lc_claim_sync__is_among (const GArray *members, LcMemberRef member)
{
  for (guint i = 0; i < members->len; i++)
    if (lc_member_ref_equal (g_array_index (members, LcMemberRef, i), member))
      return true;
  return false;
}

static bool
lc_claim_sync__is_source (const LcClaimSync *sync, LcMemberRef member)
{
  return lc_claim_sync__is_among (sync->sources, member);
}

/* The index of the era that is being read for; sets->len when there is none. */
static guint
lc_claim_sync__target_index (const LcClaimSync *sync)
{
  if (sync->complete == 0)
    {
      for (guint i = 0; i < sync->sets->len; i++)
        if (lc_claim_sync__find_self (sync, lc_claim_sync__set_at (sync, i)) != NULL)
          return i;
      return sync->sets->len;
    }
  for (guint i = 0; i < sync->sets->len; i++)
    if (lc_claim_sync__set_at (sync, i)->since == sync->complete)
      return i + 1;
  return sync->sets->len;
}

/* === private: steps ========================================================================= */

static void
lc_claim_sync__clear_step (LcClaimSync *sync, int64_t now_us)
{
  g_array_set_size (sync->sources, 0);
  g_array_set_size (sync->of_previous, 0);
  g_array_set_size (sync->stalled, 0);
  sync->step_since_us = now_us;
}

/* The set before the target, or NULL when the view no longer has it. */
static const LcClaimMembers *
lc_claim_sync__previous_set (const LcClaimSync *sync, guint target)
{
  return target > 0 ? lc_claim_sync__set_at (sync, target - 1) : NULL;
}

/* Whether this agent is itself a source for the keys that it homed in the previous set. */
static bool
lc_claim_sync__is_own_source (const LcClaimSync *sync, const LcClaimMembers *former)
{
  return sync->complete != 0 && sync->complete == former->since &&
         lc_claim_sync__find_self (sync, former) != NULL;
}

static uint32_t
lc_claim_sync__count_sources (const LcClaimSync *sync, bool before)
{
  uint32_t n = 0;

  for (guint i = 0; i < sync->of_previous->len; i++)
    n += g_array_index (sync->of_previous, gboolean, i) == before;
  return n;
}

/* Whether the sources cover every key: any n - r + 1 of n members include one of its r homes. */
static bool
lc_claim_sync__is_covered (const LcClaimSync *sync, guint target)
{
  const LcClaimMembers *set = lc_claim_sync__set_at (sync, target);
  const LcClaimMembers *former = lc_claim_sync__previous_set (sync, target);
  uint32_t r = MIN (set->n_members, LC_CLAIM_HOMES);
  uint32_t n;

  if (lc_claim_sync__find_self (sync, set) == NULL)
    return true;
  if (former != NULL && former->n_members == 0 && former->since == 0)
    return true; /* the service's first members: no claim exists */
  /* This agent is one of the r homes, but not a source at the target era. */
  if (r > 1 && lc_claim_sync__count_sources (sync, false) >= set->n_members - r + 1)
    return true;
  if (former == NULL)
    return false;
  r = MIN (former->n_members, LC_CLAIM_HOMES);
  n = lc_claim_sync__count_sources (sync, true) + lc_claim_sync__is_own_source (sync, former);
  return r > 0 && n >= former->n_members - r + 1;
}

static void
lc_claim_sync__enter_era (LcClaimSync *sync, guint target, int64_t now_us)
{
  LcRevision since = lc_claim_sync__set_at (sync, target)->since;

  if (sync->complete == 0)
    sync->complete_from = since;
  sync->complete = since;
  lc_claim_sync__clear_step (sync, now_us);
}

static void
lc_claim_sync__advance (LcClaimSync *sync, int64_t now_us)
{
  guint target = lc_claim_sync__target_index (sync);

  while (target < sync->sets->len && lc_claim_sync__is_covered (sync, target))
    {
      lc_claim_sync__enter_era (sync, target, now_us);
      target = lc_claim_sync__target_index (sync);
    }
}

static GArray *
lc_claim_sync__new_sets (void)
{
  GArray *sets = g_array_new (FALSE, TRUE, sizeof (LcClaimMembers));

  g_array_set_clear_func (sets, lc_claim_sync__clear_set);
  return sets;
}

/* === public ================================================================================= */

void
lc_claim_sync_init (LcClaimSync *sync, const LcClaimSyncDesc *desc)
{
  memset (sync, 0, sizeof *sync);
  sync->desc = *desc;
  if (sync->desc.lost_after_us == 0)
    sync->desc.lost_after_us = LC_CLAIM_SYNC_LOST_AFTER_US;
  sync->sets = lc_claim_sync__new_sets ();
  sync->alive = g_array_new (FALSE, TRUE, sizeof (LcMemberRef));
  sync->sources = g_array_new (FALSE, TRUE, sizeof (LcMemberRef));
  sync->of_previous = g_array_new (FALSE, TRUE, sizeof (gboolean));
  sync->stalled = g_array_new (FALSE, TRUE, sizeof (LcClaimWaitingMember));
}

void
lc_claim_sync_finish (LcClaimSync *sync)
{
  g_array_free (sync->sets, TRUE);
  g_array_free (sync->alive, TRUE);
  g_array_free (sync->sources, TRUE);
  g_array_free (sync->of_previous, TRUE);
  g_array_free (sync->stalled, TRUE);
  memset (sync, 0, sizeof *sync);
}

void
lc_claim_sync_resume (LcClaimSync *sync, const LcClaimProgress *state)
{
  sync->n_earlier = MIN (state->n_incarnations, LC_CLAIM_SYNC_MAX_INCARNATIONS - 1);
  memcpy (sync->earlier, state->incarnations, sync->n_earlier * sizeof *sync->earlier);
  sync->complete = state->complete;
  sync->complete_from = state->complete_from;
}

void
lc_claim_sync_progress (const LcClaimSync *sync, LcClaimProgress *state)
{
  memset (state, 0, sizeof *state);
  if (sync->desc.self.id != 0)
    state->incarnations[state->n_incarnations++] = sync->desc.self;
  for (uint32_t i = 0; i < sync->n_earlier; i++)
    state->incarnations[state->n_incarnations++] = sync->earlier[i];
  state->complete = sync->complete;
  state->complete_from = sync->complete_from;
}

bool
lc_claim_progress_equal (const LcClaimProgress *a, const LcClaimProgress *b)
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
lc_claim_sync__set_alive (LcClaimSync *sync, const LcService *service)
{
  for (uint32_t i = 0; service != NULL && i < service->n_endpoints; i++)
    {
      LcMemberRef member = { service->endpoints[i].id, service->endpoints[i].instance };

      if (service->endpoints[i].state != LC_ENDPOINT_LOST)
        g_array_append_val (sync->alive, member);
    }
}

static int64_t
lc_claim_sync__previous_lost_us (const GArray *known, const LcClaimMembers *set)
{
  for (guint i = 0; i < known->len; i++)
    if (g_array_index (known, LcClaimMembers, i).since == set->since)
      return g_array_index (known, LcClaimMembers, i).lost_us;
  return 0;
}

/* Sets lost_us.  `known` and `were_alive` are the sets and live members of the previous view. */
static void
lc_claim_sync__update_lost_us (const LcClaimSync *sync,
                               LcClaimMembers *set,
                               const GArray *known,
                               const GArray *were_alive,
                               int64_t now_us)
{
  bool is_any_lost = false;
  bool is_new = false;

  for (uint32_t i = 0; i < set->n_members; i++)
    if (!lc_claim_sync__is_among (sync->alive, set->members[i]))
      {
        is_any_lost = true;
        is_new = is_new || lc_claim_sync__is_among (were_alive, set->members[i]);
      }
  if (!is_any_lost)
    return;
  set->lost_us = is_new ? now_us : lc_claim_sync__previous_lost_us (known, set);
  if (set->lost_us == 0)
    set->lost_us = now_us; /* lost before this agent first saw the set */
}

/* Drops state of eras that the view no longer has.  A view older than `complete`, as a process that
 * has just started may get, drops nothing. */
static void
lc_claim_sync__drop_old_state (LcClaimSync *sync)
{
  uint32_t n = 0;

  if (sync->complete > lc_claim_sync_present_era (sync))
    return;
  if (lc_claim_sync_find_members (sync, sync->complete) == NULL)
    {
      sync->complete = 0;
      sync->complete_from = 0;
    }
  for (uint32_t i = 0; i < sync->n_earlier; i++)
    {
      bool is_remembered = false;

      for (guint k = 0; k < sync->sets->len; k++)
        is_remembered = is_remembered || lc_claim_sync__has_member (lc_claim_sync__set_at (sync, k),
                                                                    sync->earlier[i]);
      if (is_remembered && sync->complete != 0)
        sync->earlier[n++] = sync->earlier[i];
    }
  sync->n_earlier = n;
}

/* Sources of the present step stay valid when only newer eras were added; the step is the same one
 * when its target is. */
void
lc_claim_sync_set_service (LcClaimSync *sync, const LcService *service, int64_t now_us)
{
  LcRevision target = lc_claim_sync_target_era (sync);
  GArray *known = sync->sets;
  GArray *were_alive = sync->alive;

  sync->sets = lc_claim_sync__new_sets ();
  sync->alive = g_array_new (FALSE, TRUE, sizeof (LcMemberRef));
  lc_claim_sync__set_alive (sync, service);
  if (service != NULL)
    {
      for (uint32_t i = service->n_former; i > 0; i--)
        lc_claim_sync__add_set (sync, service->former[i - 1].since_revision,
                                service->former[i - 1].endpoints,
                                service->former[i - 1].n_endpoints);
      lc_claim_sync__add_set (sync, service->membership_revision, service->endpoints,
                              service->n_endpoints);
    }
  for (guint i = 0; i < sync->sets->len; i++)
    lc_claim_sync__update_lost_us (sync, &g_array_index (sync->sets, LcClaimMembers, i), known,
                                   were_alive, now_us);
  g_array_free (known, TRUE);
  g_array_free (were_alive, TRUE);
  lc_claim_sync__drop_old_state (sync);
  if (lc_claim_sync_target_era (sync) != target || target == 0)
    lc_claim_sync__clear_step (sync, now_us);
  lc_claim_sync__advance (sync, now_us);
}

LcRevision
lc_claim_sync_present_era (const LcClaimSync *sync)
{
  return sync->sets->len > 0 ? lc_claim_sync__set_at (sync, sync->sets->len - 1)->since : 0;
}

const LcClaimMembers *
lc_claim_sync_present_members (const LcClaimSync *sync)
{
  return sync->sets->len > 0 ? lc_claim_sync__set_at (sync, sync->sets->len - 1) : NULL;
}

LcRevision
lc_claim_sync_target_era (const LcClaimSync *sync)
{
  guint target = lc_claim_sync__target_index (sync);

  return target < sync->sets->len ? lc_claim_sync__set_at (sync, target)->since : 0;
}

const LcClaimMembers *
lc_claim_sync_find_members (const LcClaimSync *sync, LcRevision since)
{
  for (guint i = 0; i < sync->sets->len; i++)
    if (lc_claim_sync__set_at (sync, i)->since == since)
      return lc_claim_sync__set_at (sync, i);
  return NULL;
}

static uint32_t
lc_claim_sync__add_missing (
    const LcClaimSync *sync, const LcClaimMembers *set, LcMemberRef *out, uint32_t n, uint32_t max)
{
  for (uint32_t i = 0; i < set->n_members && n < max; i++)
    {
      LcMemberRef member = set->members[i];
      bool is_known = lc_claim_sync__is_self (sync, member);

      for (uint32_t k = 0; k < n; k++)
        is_known = is_known || lc_member_ref_equal (out[k], member);
      if (!is_known && !lc_claim_sync__is_source (sync, member))
        out[n++] = member;
    }
  return n;
}

uint32_t
lc_claim_sync_count_members (const LcClaimSync *sync)
{
  uint32_t n = 0;

  for (guint i = 0; i < sync->sets->len; i++)
    n += lc_claim_sync__set_at (sync, i)->n_members;
  return n;
}

uint32_t
lc_claim_sync_missing (const LcClaimSync *sync, LcMemberRef *out, uint32_t max)
{
  guint target = lc_claim_sync__target_index (sync);
  const LcClaimMembers *former;
  uint32_t n = 0;

  if (target >= sync->sets->len)
    return 0;
  former = lc_claim_sync__previous_set (sync, target);
  if (former != NULL)
    n = lc_claim_sync__add_missing (sync, former, out, n, max);
  return lc_claim_sync__add_missing (sync, lc_claim_sync__set_at (sync, target), out, n, max);
}

/* Whether the source was a member of `set` and complete there; `set` may be NULL. */
static bool
lc_claim_sync__was_complete_at (const LcClaimSource *source, const LcClaimMembers *set)
{
  return set != NULL && source->complete >= set->since && source->complete_from <= set->since &&
         source->complete_from != 0 && lc_claim_sync__has_member (set, source->member);
}

/* Replaces what a live member reported of how long it waits for lost members. */
static void
lc_claim_sync__update_waiting (LcClaimSync *sync, const LcClaimSource *source, int64_t now_us)
{
  LcClaimWaitingMember stalled = { source->member, now_us + source->lost_for_us };

  for (guint i = 0; i < sync->stalled->len; i++)
    if (lc_member_ref_equal (g_array_index (sync->stalled, LcClaimWaitingMember, i).member,
                             source->member))
      {
        g_array_remove_index_fast (sync->stalled, i);
        break;
      }
  if (source->lost_for_us > 0)
    g_array_append_val (sync->stalled, stalled);
}

void
lc_claim_sync_add_source (LcClaimSync *sync, const LcClaimSource *source, int64_t now_us)
{
  guint target = lc_claim_sync__target_index (sync);
  const LcClaimMembers *set;
  const LcClaimMembers *former;
  gboolean before;

  if (target >= sync->sets->len || lc_claim_sync__is_source (sync, source->member))
    return;
  set = lc_claim_sync__set_at (sync, target);
  if (source->target_era != set->since)
    return; /* a late answer to an earlier step: it may lack records that this one needs */
  lc_claim_sync__update_waiting (sync, source, now_us);
  former = lc_claim_sync__previous_set (sync, target);
  before = former != NULL && source->era >= set->since &&
           lc_claim_sync__was_complete_at (source, former);
  if (!before && !lc_claim_sync__was_complete_at (source, set))
    return;
  g_array_append_val (sync->sources, source->member);
  g_array_append_val (sync->of_previous, before);
  lc_claim_sync__advance (sync, now_us);
}

/* Whether `member` was in the previous set and is not a source yet. */
static bool
lc_claim_sync__is_awaited (const LcClaimSync *sync,
                           const LcClaimMembers *former,
                           LcMemberRef member)
{
  return lc_claim_sync__has_member (former, member) && !lc_claim_sync__is_source (sync, member) &&
         !lc_claim_sync__is_self (sync, member);
}

/* Whether a live member of the previous set may still answer. */
static bool
lc_claim_sync__is_any_awaited (const LcClaimSync *sync, guint target)
{
  const LcClaimMembers *former = lc_claim_sync__previous_set (sync, target);

  for (guint i = 0; former != NULL && i < sync->alive->len; i++)
    if (lc_claim_sync__is_awaited (sync, former, g_array_index (sync->alive, LcMemberRef, i)))
      return true;
  return false;
}

/* When the wait for lost members began: with the step, or with the loss of the last missing member
 * if that was earlier. */
static int64_t
lc_claim_sync__waiting_since_us (const LcClaimSync *sync, guint target)
{
  const LcClaimMembers *former = lc_claim_sync__previous_set (sync, target);

  if (former == NULL || former->lost_us == 0)
    return sync->step_since_us;
  return MIN (former->lost_us, sync->step_since_us);
}

void
lc_claim_sync_tick (LcClaimSync *sync, int64_t now_us)
{
  guint target = lc_claim_sync__target_index (sync);

  while (target < sync->sets->len &&
         now_us - lc_claim_sync__waiting_since_us (sync, target) >= sync->desc.lost_after_us &&
         !lc_claim_sync__is_any_awaited (sync, target))
    {
      sync->lost_total++;
      lc_claim_sync__enter_era (sync, target, now_us);
      lc_claim_sync__advance (sync, now_us);
      target = lc_claim_sync__target_index (sync);
    }
}

/* Whether one of the key's own homes is a source: in the last step that is enough for the key. */
static bool
lc_claim_sync__is_key_covered (const LcClaimSync *sync, guint target, LcRequestKey key)
{
  const LcClaimMembers *set = lc_claim_sync__set_at (sync, target);
  const LcClaimMembers *former = lc_claim_sync__previous_set (sync, target);

  for (guint i = 0; i < sync->sources->len; i++)
    {
      const LcClaimMembers *of = g_array_index (sync->of_previous, gboolean, i) ? former : set;

      if (lc_claim_is_home (key, of->members, of->n_members,
                            g_array_index (sync->sources, LcMemberRef, i)))
        return true;
    }
  return former != NULL && lc_claim_sync__is_own_source (sync, former) &&
         lc_claim_is_home (key, former->members, former->n_members,
                           *lc_claim_sync__find_self (sync, former));
}

bool
lc_claim_sync_may_grant (const LcClaimSync *sync, LcRequestKey key)
{
  const LcClaimMembers *present = lc_claim_sync_present_members (sync);
  guint target;

  if (present == NULL ||
      !lc_claim_is_home (key, present->members, present->n_members, sync->desc.self))
    return false;
  if (sync->complete == present->since)
    return true;
  target = lc_claim_sync__target_index (sync);
  return target == sync->sets->len - 1 && lc_claim_sync__is_key_covered (sync, target, key);
}

/* Until when a member waits for lost members; 0: it has not reported that it does. */
static int64_t
lc_claim_sync__member_waits_until_us (const LcClaimSync *sync, LcMemberRef member)
{
  for (guint i = 0; i < sync->stalled->len; i++)
    if (lc_member_ref_equal (g_array_index (sync->stalled, LcClaimWaitingMember, i).member, member))
      return g_array_index (sync->stalled, LcClaimWaitingMember, i).until_us;
  return 0;
}

/* When the first of the awaited members stops waiting for lost ones; 0: one of them doesn't wait.
 * Each of them is at an earlier era than this agent, so that members never wait in a cycle. */
static int64_t
lc_claim_sync__first_continues_us (const LcClaimSync *sync, guint target)
{
  const LcClaimMembers *former = lc_claim_sync__previous_set (sync, target);
  int64_t first_us = INT64_MAX;

  for (guint i = 0; former != NULL && i < sync->alive->len; i++)
    {
      LcMemberRef member = g_array_index (sync->alive, LcMemberRef, i);

      if (lc_claim_sync__is_awaited (sync, former, member))
        first_us = MIN (first_us, lc_claim_sync__member_waits_until_us (sync, member));
    }
  return first_us;
}

int64_t
lc_claim_sync_unavailable_us (const LcClaimSync *sync, int64_t now_us)
{
  guint target = lc_claim_sync__target_index (sync);
  int64_t until_us;

  if (target >= sync->sets->len || now_us - sync->step_since_us < LC_CLAIM_SYNC_READ_TIME_US)
    return 0;
  until_us = lc_claim_sync__is_any_awaited (sync, target)
                 ? lc_claim_sync__first_continues_us (sync, target)
                 : lc_claim_sync__waiting_since_us (sync, target) + sync->desc.lost_after_us;
  return MAX (until_us - now_us, 0);
}

int64_t
lc_claim_sync_key_unavailable_us (const LcClaimSync *sync, LcRequestKey key, int64_t now_us)
{
  return lc_claim_sync_may_grant (sync, key) ? 0 : lc_claim_sync_unavailable_us (sync, now_us);
}
