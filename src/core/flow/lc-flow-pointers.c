#include "lc-flow-pointers.h"

#include "lc-flow-agent-private.h"

#include <string.h>

enum
{
  LC_FLOW_RETRY_MS = 200,
  LC_FLOW_OUTBOX_LOOK_BACK = 24, /* queued messages searched for one with room */
  LC_FLOW_HAND_OVER_MAX_LEFT_MS = 1 << 30,
  LC_FLOW_RELEASED_MAX = 64, /* logged releases between two calls of lc_flow_agent_next_released */
};

/* === private: batches ======================================================================= */

LcFlowEntry *
lc_flow_pointers_add_entry (LcFlowAgent *a, LcFlowMessageKind kind, const LcCandidate *to)
{
  uint32_t looked = 0;
  LcFlowMessage *m;

  for (GList *l = a->outbox->tail; l != NULL && looked < LC_FLOW_OUTBOX_LOOK_BACK;
       l = l->prev, looked++)
    {
      m = l->data;
      if (m->kind == kind && m->n < LC_FLOW_BATCH_MAX && lc_candidate_equal (&m->to, to))
        return &m->entries[m->n++];
    }
  m = lc_flow_pointers_add_message (a, kind, to);
  return &m->entries[m->n++];
}

static uint16_t
lc_flow_pointers__all_bits (const LcCandidateList *list)
{
  return (uint16_t)((1U << list->n) - 1);
}

static uint16_t
lc_flow_pointers__bit_of (const LcCandidateList *list, const LcCandidate *who)
{
  for (uint8_t i = 0; i < list->n; i++)
    if (lc_candidate_equal (&list->items[i], who))
      return (uint16_t)(1U << i);
  return 0;
}

static void
lc_flow_pointers__pick_homes (const LcFlowAgent *a,
                              const LcCandidateSets *sets,
                              const LcFlow *f,
                              LcCandidateList *list)
{
  LcRegionMask regions = lc_flow_agent__home_regions (a, &f->key);
  uint64_t hash = lc_flow_key_hash (&f->key);
  const LcSetMember *homes[LC_HOMES];

  if (!a->desc.returns_packets)
    {
      lc_candidates_pick (sets, hash, regions, list);
      return;
    }
  list->n = (uint8_t)lc_candidates_local_homes (sets, hash, f->dc, regions, homes);
  list->n_current = list->n;
  list->assigner = 0;
  list->set_rank = UINT64_MAX;
  for (uint8_t i = 0; i < list->n; i++)
    list->items[i] = homes[i]->candidate;
}

/* The bits of the current set's homes, with which the list begins. */
static uint16_t
lc_flow_pointers__current_bits (const LcCandidateList *list)
{
  return (uint16_t)((1U << list->n_current) - 1);
}

/* === private: state of one owned flow ======================================================= */

static void
lc_flow_pointers__set_behind (LcFlowAgent *a, LcFlow *f, bool is_behind)
{
  bool was = (f->flags & LC_FLOW_UNREGISTERED) != 0;

  if (was == is_behind)
    return;
  f->flags ^= LC_FLOW_UNREGISTERED;
  a->n_behind += is_behind ? 1 : -1;
}

/* Updates the flow's place in the queue and in n_behind from its acknowledgements. */
static void
lc_flow_pointers__update_queue (LcFlowAgent *a, LcFlow *f, const LcCandidateList *list)
{
  uint16_t current = lc_flow_pointers__current_bits (list);

  f->acked |= lc_flow_pointers__bit_of (list, &a->desc.self);
  lc_flow_pointers__set_behind (a, f, (f->acked & current) != current);
  if (f->acked == lc_flow_pointers__all_bits (list))
    lc_flow_table_dequeue (&a->table, f);
  else
    lc_flow_table_enqueue (&a->table, f);
}

/* Carries the acknowledgements of the homes in `before` over to the present homes. */
static void
lc_flow_pointers__carry_acks (LcFlowAgent *a, LcFlow *f, const LcCandidateList *before)
{
  LcCandidateList list;
  uint16_t acked = 0;

  lc_flow_pointers__pick_homes (a, &a->sets, f, &list);
  for (uint8_t i = 0; i < before->n; i++)
    if ((f->acked & (1U << i)) != 0)
      acked |= lc_flow_pointers__bit_of (&list, &before->items[i]);
  f->acked = acked;
  f->sets_version = a->sets_version;
  f->sent_ms = 0;
  lc_flow_pointers__update_queue (a, f, &list);
}

static void
lc_flow_pointers__update_flow_homes (LcFlowAgent *a, LcFlow *f)
{
  LcCandidateList before = { 0 };

  if (f->sets_version + 1 == a->sets_version)
    lc_flow_pointers__pick_homes (a, &a->previous_sets, f, &before);
  lc_flow_pointers__carry_acks (a, f, &before);
}

static void
lc_flow_pointers__send (LcFlowAgent *a, LcFlow *f)
{
  LcCandidateList list;

  lc_flow_pointers__pick_homes (a, &a->sets, f, &list);
  for (uint8_t i = 0; i < list.n; i++)
    {
      LcFlowEntry *entry;

      if ((f->acked & (1U << i)) != 0)
        continue;
      entry = lc_flow_pointers_add_entry (a, LC_FLOW_POINTERS, &list.items[i]);
      entry->key = f->key;
      entry->epoch = f->epoch;
    }
}

/* === public: the view ======================================================================= */

bool
lc_flow_view_is_gone (const LcView *view, const LcCandidate *who, LcRevision revision)
{
  const LcEndpoint *e = view != NULL ? lc_view_endpoint (view, who->id) : NULL;

  if (e != NULL && e->instance == who->instance)
    return e->state == LC_ENDPOINT_LOST;
  return view != NULL && revision <= view->revision;
}

/* === public: the owner's side =============================================================== */

void
lc_flow_pointers_begin_registration (LcFlowAgent *a, LcFlow *f)
{
  LcCandidateList list;

  f->acked = 0;
  f->sets_version = a->sets_version;
  f->sent_ms = 0;
  lc_flow_table_dequeue (&a->table, f);
  lc_flow_pointers__pick_homes (a, &a->sets, f, &list);
  lc_flow_pointers__update_queue (a, f, &list);
  if ((f->flags & LC_FLOW_QUEUED) != 0)
    lc_flow_pointers__send (a, f);
}

void
lc_flow_pointers_update_homes (LcFlowAgent *a)
{
  for (uint32_t i = 0; i < a->table.capacity; i++)
    if (a->table.flows[i].kind == LC_FLOW_OWNED)
      lc_flow_pointers__update_flow_homes (a, &a->table.flows[i]);
}

void
lc_flow_pointers_set_arrival_dc (LcFlowAgent *a, LcFlow *f, LcDcId dc)
{
  LcCandidateList before;

  lc_flow_pointers__pick_homes (a, &a->sets, f, &before);
  f->dc = dc;
  lc_flow_pointers__carry_acks (a, f, &before);
  if ((f->flags & LC_FLOW_QUEUED) != 0)
    lc_flow_pointers__send (a, f);
}

void
lc_flow_pointers_unregister (LcFlowAgent *a, LcFlow *f, LcFlowRelease reason)
{
  LcCandidateList list;

  lc_flow_pointers__pick_homes (a, &a->sets, f, &list);
  for (uint8_t i = 0; i < list.n; i++)
    if (!lc_candidate_equal (&list.items[i], &a->desc.self))
      {
        LcFlowEntry *entry = lc_flow_pointers_add_entry (a, LC_FLOW_POINTERS, &list.items[i]);

        entry->key = f->key;
        entry->is_end = true;
      }
  lc_flow_pointers_disown (a, f, reason, NULL);
}

static void
lc_flow_pointers__record_release (LcFlowAgent *a,
                                  const LcFlow *f,
                                  LcFlowRelease reason,
                                  const LcCandidate *by)
{
  LcFlowReleased released = { .key = f->key, .reason = reason };

  a->counts.released_total[reason]++;
  if (reason == LC_FLOW_RELEASE_IDLE || a->released->len >= LC_FLOW_RELEASED_MAX)
    return;
  if (by != NULL)
    released.by = *by;
  g_array_append_val (a->released, released);
}

void
lc_flow_pointers_disown (LcFlowAgent *a, LcFlow *f, LcFlowRelease reason, const LcCandidate *by)
{
  lc_flow_pointers__record_release (a, f, reason, by);
  lc_flow_pointers__set_behind (a, f, false);
  a->n_adopted -= (f->flags & LC_FLOW_ADOPTED) != 0;
  a->n_ended -= (f->flags & (LC_FLOW_ENDED | LC_FLOW_ADOPTED)) == LC_FLOW_ENDED;
  lc_flow_agent__end_request (a, f);
  f->flags &= (uint8_t) ~(LC_FLOW_ADOPTED | LC_FLOW_ENDED);
  lc_flow_table_dequeue (&a->table, f);
  lc_flow_table_set_kind (&a->table, f, LC_FLOW_PENDING);
}

void
lc_flow_pointers_send_due (LcFlowAgent *a, int64_t now_us)
{
  uint32_t now_ms = (uint32_t)(now_us / LC_US_PER_MS) | 1U;
  uint32_t n = a->table.n_queued;

  while (n-- > 0 && a->registration_budget > 0)
    {
      LcFlow *f = &a->table.flows[a->table.queue_head];

      if (f->sent_ms != 0 && now_ms - f->sent_ms < LC_FLOW_RETRY_MS)
        break;
      lc_flow_pointers__send (a, f);
      f->sent_ms = now_ms;
      lc_flow_table_dequeue (&a->table, f);
      lc_flow_table_enqueue (&a->table, f);
      a->registration_budget--;
    }
}

/* A backend server that returns packets may still hold a flow that it has answered: the entry stays,
 * so that a search tries it (lc-flow-finder.h).  Any other entry is removed. */
static void
lc_flow_pointers__keep_unsure (LcFlowAgent *a, LcFlow *f, int64_t now_us)
{
  if (a->desc.returns_packets && (f->flags & LC_FLOW_ANSWERED) != 0)
    lc_flow_table_set_deadline (&a->table, f, now_us + lc_flow_agent__tcp_idle_us (a));
  else
    lc_flow_table_remove (&a->table, f);
}

static void
lc_flow_pointers__release_refused (LcFlowAgent *a,
                                   LcFlow *f,
                                   const LcCandidate *home,
                                   int64_t now_us)
{
  lc_flow_pointers_disown (a, f, LC_FLOW_RELEASE_REFUSED, home);
  a->counts.conflicts_total++;
  lc_flow_pointers__keep_unsure (a, f, now_us);
}

void
lc_flow_pointers_drop_pointer (LcFlowAgent *a, LcFlow *f, int64_t now_us)
{
  lc_flow_table_set_kind (&a->table, f, LC_FLOW_PENDING);
  f->flags &= (uint8_t)~LC_FLOW_CONFIRMED;
  lc_flow_pointers__keep_unsure (a, f, now_us);
}

void
lc_flow_pointers_handle_ack (LcFlowAgent *a, const LcFlowMessage *m, int64_t now_us)
{
  for (uint32_t i = 0; i < m->n; i++)
    {
      const LcFlowKey *key = &m->entries[i].key;
      LcFlow *f = lc_flow_table_find (&a->table, key, lc_flow_key_hash (key));
      LcCandidateList list;

      if (f == NULL || f->kind != LC_FLOW_OWNED)
        continue;
      if (m->entries[i].is_refused)
        {
          lc_flow_pointers__release_refused (a, f, &m->load.agent, now_us);
          continue;
        }
      lc_flow_pointers__pick_homes (a, &a->sets, f, &list);
      f->acked |= lc_flow_pointers__bit_of (&list, &m->load.agent);
      lc_flow_pointers__update_queue (a, f, &list);
    }
}

/* === public: the home's side ================================================================ */

/* Whether this home has another live owner, which takes precedence over the claim. */
static bool
lc_flow_pointers__must_refuse (const LcFlowAgent *a,
                               const LcFlow *f,
                               const LcFlowEntry *entry,
                               const LcCandidate *claimant)
{
  LcCandidate known = { .id = f->endpoint_id, .instance = f->instance };

  if (f->kind == LC_FLOW_OWNED)
    return entry->epoch <= f->epoch;
  if (f->kind != LC_FLOW_POINTER || (f->flags & LC_FLOW_CONFIRMED) == 0)
    return false;
  if (lc_candidate_equal (&known, claimant) || entry->epoch > f->epoch)
    return false;
  return !lc_flow_view_is_gone (a->view, &known, f->revision);
}

/* Queries the registered owner about a competing claim: it may have ended the flow and the message
 * been lost.  It sends the claimant a refusal, or this home that the flow ended. */
static void
lc_flow_pointers__contest (LcFlowAgent *a, const LcFlow *f, const LcCandidate *claimant)
{
  LcCandidate owner = { f->endpoint_id, f->ipv4, f->instance, f->port };
  LcFlowEntry *entry = lc_flow_pointers_add_entry (a, LC_FLOW_CONFLICT, &owner);

  entry->key = f->key;
  entry->backend_id = claimant->id;
  entry->backend_instance = claimant->instance;
  entry->backend_ipv4 = claimant->ipv4;
  entry->backend_port = claimant->port;
}

static void
lc_flow_pointers__set_pointer (
    LcFlowAgent *a, LcFlow *f, const LcCandidate *owner, LcRevision revision, int64_t now_us)
{
  if (f->kind == LC_FLOW_OWNED)
    lc_flow_pointers_disown (a, f, LC_FLOW_RELEASE_CLAIMED, owner);
  lc_flow_table_set_kind (&a->table, f, LC_FLOW_POINTER);
  f->flags |= LC_FLOW_CONFIRMED;
  f->endpoint_id = owner->id;
  f->instance = owner->instance;
  f->ipv4 = owner->ipv4;
  f->port = owner->port;
  f->revision = revision;
  lc_flow_table_set_deadline (&a->table, f, now_us + a->desc.refresh_us * 7 / 2);
}

static void
lc_flow_pointers__unregister_one (LcFlowAgent *a,
                                  LcFlow *f,
                                  const LcCandidate *owner,
                                  int64_t now_us)
{
  if (f != NULL && f->kind == LC_FLOW_POINTER && f->endpoint_id == owner->id &&
      f->instance == owner->instance)
    lc_flow_pointers_drop_pointer (a, f, now_us);
}

static void
lc_flow_pointers__register_one (LcFlowAgent *a,
                                const LcFlowMessage *m,
                                const LcFlowEntry *entry,
                                int64_t now_us)
{
  const LcCandidate *claimant = &m->load.agent;
  uint64_t hash = lc_flow_key_hash (&entry->key);
  LcFlow *f = lc_flow_table_find (&a->table, &entry->key, hash);
  bool is_refused = f != NULL && lc_flow_pointers__must_refuse (a, f, entry, claimant);
  LcFlowEntry *ack;

  if (is_refused && f->kind == LC_FLOW_POINTER)
    {
      lc_flow_pointers__contest (a, f, claimant);
      return; /* the claimant retries */
    }
  if (f == NULL)
    f = lc_flow_table_add (&a->table, &entry->key, hash);
  if (f == NULL)
    return;
  if (!is_refused)
    {
      lc_flow_pointers__set_pointer (a, f, claimant, m->load.revision, now_us);
      f->epoch = entry->epoch;
    }
  ack = lc_flow_pointers_add_entry (a, LC_FLOW_POINTERS_ACK, claimant);
  ack->key = entry->key;
  ack->is_refused = is_refused;
}

bool
lc_flow_pointers_store_reported (LcFlowAgent *a,
                                 const LcFlowKey *key,
                                 const LcCandidate *owner,
                                 LcRevision revision,
                                 int64_t now_us)
{
  uint64_t hash = lc_flow_key_hash (key);
  LcFlow *f = lc_flow_table_find (&a->table, key, hash);

  if (lc_candidate_equal (owner, &a->desc.self) ||
      lc_flow_view_is_gone (a->view, owner, revision) || (f != NULL && f->kind == LC_FLOW_OWNED))
    return false;
  if (f == NULL)
    f = lc_flow_table_add (&a->table, key, hash);
  if (f == NULL)
    return false;
  lc_flow_pointers__set_pointer (a, f, owner, revision, now_us);
  return true;
}

void
lc_flow_pointers_handle_registration (LcFlowAgent *a, const LcFlowMessage *m, int64_t now_us)
{
  for (uint32_t i = 0; i < m->n; i++)
    {
      const LcFlowEntry *entry = &m->entries[i];

      /* An owner is no home of its own flow: refusing the own claim would release the flow. */
      if (lc_candidate_equal (&m->load.agent, &a->desc.self))
        return;
      if (entry->is_end)
        lc_flow_pointers__unregister_one (
            a, lc_flow_table_find (&a->table, &entry->key, lc_flow_key_hash (&entry->key)),
            &m->load.agent, now_us);
      else
        lc_flow_pointers__register_one (a, m, entry, now_us);
    }
}

void
lc_flow_pointers_handle_contest (LcFlowAgent *a, const LcFlowMessage *m)
{
  for (uint32_t i = 0; i < m->n; i++)
    {
      const LcFlowEntry *e = &m->entries[i];
      LcCandidate claimant = { e->backend_id, e->backend_ipv4, e->backend_instance,
                               e->backend_port };
      const LcFlow *f = lc_flow_table_find (&a->table, &e->key, lc_flow_key_hash (&e->key));
      bool is_owned = f != NULL && f->kind == LC_FLOW_OWNED;
      LcFlowEntry *answer = is_owned
                                ? lc_flow_pointers_add_entry (a, LC_FLOW_POINTERS_ACK, &claimant)
                                : lc_flow_pointers_add_entry (a, LC_FLOW_POINTERS, &m->load.agent);

      answer->key = e->key;
      answer->is_refused = is_owned;
      answer->is_end = !is_owned;
    }
}

/* === public: hand-over ====================================================================== */

/* The agent that takes over a leaving agent's flow: its first other home. */
static bool
lc_flow_pointers__find_adopter (const LcFlowAgent *a, const LcFlow *f, LcCandidate *out)
{
  const LcSetMember *homes[LC_HOMES];
  uint32_t n;

  if (a->sets.n_sets == 0)
    return false;
  n = lc_candidates_homes (&a->sets, 0, lc_flow_key_hash (&f->key),
                           lc_flow_agent__home_regions (a, &f->key), homes);
  for (uint32_t i = 0; i < n; i++)
    if (homes[i]->candidate.id != a->desc.self.id)
      {
        *out = homes[i]->candidate;
        return true;
      }
  return false;
}

/* The newer process of the endpoint whose backend server holds an adopted flow. */
static bool
lc_flow_pointers__find_restarted (const LcFlowAgent *a, const LcFlow *f, LcCandidate *out)
{
  const LcEndpoint *e = a->view != NULL ? lc_view_endpoint (a->view, f->endpoint_id) : NULL;

  if (e == NULL || e->instance == f->instance || !lc_endpoint_is_candidate (e))
    return false;
  *out = (LcCandidate){ e->id, e->ipv4, e->instance, e->flow_port };
  return true;
}

/* Chooses the agent to offer a flow to.  An offer stays with one agent until it is acknowledged or
 * that agent is gone: two agents that adopt one flow would each refuse the other's claim. */
static bool
lc_flow_pointers__choose_successor (const LcFlowAgent *a, const LcFlow *f, LcCandidate *to)
{
  bool is_adopted = (f->flags & LC_FLOW_ADOPTED) != 0;
  LcCandidate offered = { .id = f->offered_id, .instance = f->offered_instance };

  if (f->offered_id != 0 && !lc_flow_view_is_gone (a->view, &offered, 0))
    {
      const LcEndpoint *e = lc_view_endpoint (a->view, f->offered_id);

      *to = (LcCandidate){ e->id, e->ipv4, e->instance, e->flow_port };
      return true;
    }
  /* An adopted flow moves on only after it is registered here: homes accept a claim only from the
   * owner that they have. */
  if (is_adopted && (f->flags & LC_FLOW_QUEUED) != 0)
    return false;
  if (is_adopted && lc_flow_pointers__find_restarted (a, f, to))
    return true;
  return a->is_handing_over && lc_flow_pointers__find_adopter (a, f, to);
}

static void
lc_flow_pointers__offer (LcFlowAgent *a, LcFlow *f, const LcCandidate *to, int64_t now_us)
{
  bool is_adopted = (f->flags & LC_FLOW_ADOPTED) != 0;
  LcFlowEntry *entry = lc_flow_pointers_add_entry (a, LC_FLOW_HAND_OVER, to);
  int64_t left_ms = ((int64_t)f->expiry_tick - lc_flow_tick (now_us)) * LC_FLOW_TICK_US / 1000;

  entry->key = f->key;
  entry->backend_id = is_adopted ? f->endpoint_id : a->desc.self.id;
  entry->backend_instance = is_adopted ? f->instance : a->desc.self.instance;
  entry->backend_ipv4 = is_adopted ? f->ipv4 : a->desc.backend_ipv4;
  entry->backend_port = is_adopted ? f->port : a->desc.backend_port;
  entry->relay_port = f->relay_port;
  entry->epoch = f->epoch + 1;
  entry->is_end = (f->flags & LC_FLOW_ENDED) != 0;
  entry->idle_ms = left_ms <= 0                              ? 1
                   : left_ms < LC_FLOW_HAND_OVER_MAX_LEFT_MS ? (uint32_t)left_ms
                                                             : LC_FLOW_HAND_OVER_MAX_LEFT_MS;
}

void
lc_flow_pointers_hand_over (LcFlowAgent *a, uint32_t budget, int64_t now_us)
{
  if (!a->is_handing_over && a->n_adopted == 0)
    return;
  for (uint32_t i = 0; i < a->table.capacity && budget > 0; i++)
    {
      LcFlow *f = &a->table.flows[i];
      LcCandidate to;

      if (f->kind != LC_FLOW_OWNED)
        continue;
      if (!lc_flow_pointers__choose_successor (a, f, &to))
        continue;
      f->offered_id = to.id;
      f->offered_instance = to.instance;
      lc_flow_pointers__offer (a, f, &to, now_us);
      budget--;
    }
}

static void
lc_flow_pointers__adopt_one (LcFlowAgent *a,
                             const LcFlowMessage *m,
                             const LcFlowEntry *entry,
                             int64_t now_us)
{
  uint64_t hash = lc_flow_key_hash (&entry->key);
  LcFlow *f = lc_flow_table_find (&a->table, &entry->key, hash);
  bool is_own = entry->backend_id == a->desc.self.id;

  if (f != NULL && f->kind == LC_FLOW_OWNED)
    return; /* a resent offer */
  if (f == NULL)
    f = lc_flow_table_add (&a->table, &entry->key, hash);
  if (f == NULL)
    return;
  lc_flow_table_set_kind (&a->table, f, LC_FLOW_OWNED);
  f->began_ms = 0;
  f->data_end = 0;
  f->flags = (uint8_t)((is_own ? 0 : LC_FLOW_ADOPTED) | (entry->is_end ? LC_FLOW_ENDED : 0));
  a->n_adopted += !is_own;
  a->n_ended += is_own && entry->is_end;
  a->is_warm |= is_own;
  f->endpoint_id = entry->backend_id;
  f->instance = entry->backend_instance;
  f->ipv4 = entry->backend_ipv4;
  f->port = entry->backend_port;
  f->relay_port = entry->relay_port;
  f->epoch = entry->epoch;
  f->offered_id = 0;
  f->expiry_tick = lc_flow_tick (now_us + (int64_t)entry->idle_ms * LC_US_PER_MS) + 1;
  lc_flow_table_set_deadline (&a->table, f, now_us + a->desc.refresh_us);
  lc_flow_pointers_begin_registration (a, f);
  a->counts.adopted_total++;
}

void
lc_flow_pointers_handle_hand_over (LcFlowAgent *a, const LcFlowMessage *m, int64_t now_us)
{
  for (uint32_t i = 0; i < m->n; i++)
    {
      LcFlowEntry *ack;

      lc_flow_pointers__adopt_one (a, m, &m->entries[i], now_us);
      ack = lc_flow_pointers_add_entry (a, LC_FLOW_HAND_OVER_ACK, &m->load.agent);
      ack->key = m->entries[i].key;
      ack->epoch = m->entries[i].epoch;
    }
}

void
lc_flow_pointers_handle_hand_over_ack (LcFlowAgent *a, const LcFlowMessage *m, int64_t now_us)
{
  for (uint32_t i = 0; i < m->n; i++)
    {
      const LcFlowKey *key = &m->entries[i].key;
      LcFlow *f = lc_flow_table_find (&a->table, key, lc_flow_key_hash (key));

      if (f == NULL || f->kind != LC_FLOW_OWNED)
        continue;
      lc_flow_pointers_disown (a, f, LC_FLOW_RELEASE_HANDED_OVER, &m->load.agent);
      lc_flow_pointers__set_pointer (a, f, &m->load.agent, m->load.revision, now_us);
      f->epoch = m->entries[i].epoch;
    }
}

/* === public: batches ======================================================================== */

LcFlowMessage *
lc_flow_pointers_add_message (LcFlowAgent *a, LcFlowMessageKind kind, const LcCandidate *to)
{
  LcFlowMessage *m = g_new0 (LcFlowMessage, 1);

  m->kind = kind;
  m->service_id = a->desc.service_id;
  m->to = *to;
  g_queue_push_tail (a->outbox, m);
  return m;
}
