#include "lc-flow-finder.h"

#include "lc-flow-agent-private.h"
#include "lc-flow-pointers.h"

#include <xxhash.h>

/* After this time the flows of a lost endpoint that sends nothing count as gone: longer than the
 * lease, and than the time after which a platform reports a cut-off VM as disconnected (4 to 5 s). */
#define LC_FLOW_LOST_TIMEOUT_US (5 * LC_US_PER_S)

/* An agent that has sent a message within this time is alive, whatever the view says of its
 * endpoint: all balancers that could report it may be gone.  Longer than a load report takes to come
 * round in a service of some hundred endpoints. */
#define LC_FLOW_HEARD_TIMEOUT_US (5 * LC_US_PER_S / 2)

/* An endpoint that leaves queries unanswered for this long counts as dead or cut off.  When all
 * endpoints restart at once, the view may not show that for 15 s, since nobody has a lease of one
 * that did not come back; one such endpoint kept every caller of a lost flow waiting for its time
 * limit.  Longer than the restart of an agent: 0.15 s to its end, some 0.5 s until it is started,
 * 1 s for its first view when its first upstream has none. */
#define LC_FLOW_SILENT_TIMEOUT_US (5 * LC_US_PER_S / 2)

/* === private: members ======================================================================= */

static bool
lc_flow_finder__is_direct (const LcFlowAgent *a)
{
  return a->assign.n_peers <= LC_FLOW_FINDER_DIRECT_MAX;
}

/* Whether a search waits for this endpoint.  One that is LOST in the view may be alive and cut
 * off; after LC_FLOW_LOST_TIMEOUT_US without a message its callers are better served by a new flow,
 * and so are those of an endpoint that does not answer. */
static bool
lc_flow_finder__is_awaited (const LcAssignPeer *p, int64_t now_us)
{
  if (p->asked_us != 0 && now_us - p->asked_us >= LC_FLOW_SILENT_TIMEOUT_US)
    return false;
  return p->lost_us == 0 || now_us - p->lost_us < LC_FLOW_LOST_TIMEOUT_US ||
         (p->heard_us != 0 && now_us - p->heard_us < LC_FLOW_HEARD_TIMEOUT_US);
}

static LcFlowSearchMember
lc_flow_finder__self (const LcFlowAgent *a)
{
  return (LcFlowSearchMember){ a->desc.self.id, a->desc.self.ipv4 };
}

static LcFlowSearchMember
lc_flow_finder__sender (const LcFlowMessage *m)
{
  return (LcFlowSearchMember){ m->load.agent.id, m->load.agent.ipv4 };
}

/* Roster revision of the sender.  An older program sends that of its candidate set only: if that is
 * newer than the set here, the sender may have an endpoint that is unknown here. */
static LcRevision
lc_flow_finder__sender_roster (const LcFlowAgent *a, const LcFlowMessage *m)
{
  if (m->roster != 0)
    return m->roster;
  return m->membership > a->sets.membership_revision ? a->roster + 1 : 0;
}

/* === private: searchers ===================================================================== */

/* The agents that rotate as searchers of this flow: the highest rendezvous scores for its shard. */
static uint32_t
lc_flow_finder__rank_searchers (const LcFlowAgent *a,
                                const LcPacket *packet,
                                const LcAssignPeer *best[LC_FLOW_FINDER_SEARCHERS])
{
  uint64_t shard = lc_flow_key_hash (&packet->key) % LC_FLOW_FINDER_SHARDS;
  uint64_t scores[LC_FLOW_FINDER_SEARCHERS] = { 0 };
  uint32_t n = 0;

  for (uint32_t i = 0; i < a->assign.n_peers; i++)
    {
      const LcAssignPeer *p = &a->assign.peers[i];
      uint64_t score = XXH3_64bits_withSeed (&p->agent.id, sizeof p->agent.id, shard);
      uint32_t at = n;

      if (p->lost_us != 0)
        continue;
      while (at > 0 && scores[at - 1] < score)
        at--;
      if (at == LC_FLOW_FINDER_SEARCHERS)
        continue;
      n = MIN (n + 1, (uint32_t)LC_FLOW_FINDER_SEARCHERS);
      for (uint32_t k = n - 1; k > at; k--)
        {
          scores[k] = scores[k - 1];
          best[k] = best[k - 1];
        }
      scores[at] = score;
      best[at] = p;
    }
  return n;
}

static const LcCandidate *
lc_flow_finder__choose_searcher (const LcFlowAgent *a, const LcPacket *packet, int64_t now_us)
{
  const LcAssignPeer *best[LC_FLOW_FINDER_SEARCHERS];
  uint32_t n = lc_flow_finder__rank_searchers (a, packet, best);

  return n > 0 ? &best[(uint64_t)(now_us / LC_FLOW_FINDER_ROTATION_US) % n]->agent : NULL;
}

/* === private: the searcher ================================================================== */

/* Ends a search that found no owner in this service: it goes on in the next service that may hold
 * the flow, or the caller gets a reset. */
static void
lc_flow_finder__end_unowned (LcFlowAgent *a, const LcFlowUnowned *unowned)
{
  gpointer slot = GUINT_TO_POINTER (unowned->slot);
  LcEnvelope *e = g_hash_table_lookup (a->envelopes, slot);
  LcFlowPassed passed = { .slot = unowned->slot };
  LcEnvelopeSearch next = LC_ENVELOPE_SEARCH_DONE;

  if (e != NULL)
    {
      lc_envelope_rule_out (e, a->desc.service_id);
      next = lc_envelope_next_search (e);
      passed.envelope = *e;
      (void)g_hash_table_remove (a->envelopes, slot);
    }
  switch (next)
    {
    case LC_ENVELOPE_SEARCH_SERVICE:
      a->counts.passed_total++;
      g_array_append_val (a->passed, passed);
      break;
    case LC_ENVELOPE_SEARCH_DONE:
      a->counts.unowned_total++;
      g_array_append_val (a->resets, unowned->packet);
      break;
    case LC_ENVELOPE_SEARCH_IMPOSSIBLE:
      (void)lc_flow_agent__drop (a, LC_DROP_NO_OWNER);
      break;
    }
}

static void
lc_flow_finder__end_all_unowned (LcFlowAgent *a)
{
  LcFlowUnowned unowned;

  while (lc_flow_search_next_unowned (a->searches, &unowned))
    lc_flow_finder__end_unowned (a, &unowned);
}

static void
lc_flow_finder__query_member (LcFlowAgent *a,
                              const LcFlowRound *round,
                              LcAssignPeer *peer,
                              int64_t now_us)
{
  LcFlowMessage *m = lc_flow_pointers_add_message (a, LC_FLOW_QUERY, &peer->agent);

  m->round = round->id;
  m->n = round->n;
  if (peer->asked_us == 0)
    peer->asked_us = now_us;
  peer->asked_last_us = now_us;
  for (uint32_t k = 0; k < round->n; k++)
    m->entries[k].key = round->keys[k];
  a->counts.queries_total++;
}

/* Whether it was queried and has sent nothing since for longer than an answer takes. */
static bool
lc_flow_finder__is_silent (const LcAssignPeer *peer, int64_t now_us)
{
  return peer->asked_us != 0 && now_us - peer->asked_us >= LC_FLOW_ROUND_RETRY_US;
}

/* Queries the members that have not answered the round, also those with incomplete knowledge, which
 * may be complete by now.  A silent member gets one query a retry interval, of any round, to detect
 * that it is back: queries of each round would grow with the square of the time. */
static void
lc_flow_finder__send_round (LcFlowAgent *a, const LcFlowRound *round, int64_t now_us)
{
  for (uint32_t i = 0; i < a->searches->n_members; i++)
    {
      LcAssignPeer *peer = lc_assign_find_peer (&a->assign, a->searches->members[i].id);

      if (peer == NULL || peer->agent.id == a->desc.self.id ||
          !lc_flow_search_is_unanswered (round, i))
        continue;
      if (lc_flow_finder__is_silent (peer, now_us) &&
          now_us - peer->asked_last_us < LC_FLOW_ROUND_RETRY_US)
        continue;
      lc_flow_finder__query_member (a, round, peer, now_us);
    }
}

static void
lc_flow_finder__send_rounds (LcFlowAgent *a, int64_t now_us)
{
  const LcFlowRound *round;

  while (!lc_flow_finder__is_direct (a) &&
         (round = lc_flow_search_next_round (a->searches, now_us)) != NULL)
    lc_flow_finder__send_round (a, round, now_us);
}

static LcFlowSearchTargets
lc_flow_finder__targets (const LcFlowAgent *a, const LcFlowSearch *search)
{
  if (!search->is_new_packet)
    return LC_FLOW_SEARCH_UNTRIED;
  return lc_flow_finder__is_direct (a) ? LC_FLOW_SEARCH_ALL : LC_FLOW_SEARCH_UNTRIED_OR_ALL;
}

static bool
lc_flow_finder__may_try (void *user, LcEndpointId id)
{
  const LcFlowAgent *a = user;
  const LcAssignPeer *peer = lc_assign_find_peer (&a->assign, id);

  return peer != NULL && id != a->desc.self.id &&
         (lc_flow_finder__is_direct (a) || peer->coverage == LC_FLOW_COVERAGE_PARTIAL);
}

/* === private: queries ======================================================================= */

/* Whether the own backend server, which has responded on the flow, may hold it although the homes
 * point to another owner. */
static bool
lc_flow_finder__is_unsure (const LcFlow *f)
{
  return f->kind != LC_FLOW_OWNED && (f->flags & LC_FLOW_ANSWERED) != 0;
}

/* Adds what this agent has of the flow to the answer: owner, confirmed pointer or unsure. */
static void
lc_flow_finder__add_answer (LcFlowAgent *a, const LcFlowKey *key, LcFlowMessage *answer)
{
  LcFlow *f = lc_flow_table_find (&a->table, key, lc_flow_key_hash (key));
  LcSteerEntry known = lc_flow_agent__describe_entry (a, f);
  bool is_pointer = known.kind == LC_FLOW_POINTER && known.is_live && known.is_confirmed;
  LcCandidate owner = is_pointer ? known.other : (LcCandidate){ 0 };
  LcFlowEntry *entry;

  if (f == NULL || (f->kind != LC_FLOW_OWNED && !is_pointer && !lc_flow_finder__is_unsure (f)))
    return;
  if (f->kind == LC_FLOW_OWNED)
    owner = a->desc.self;
  if (f->kind == LC_FLOW_OWNED && (f->flags & LC_FLOW_QUEUED) == 0)
    lc_flow_pointers_begin_registration (a, f); /* its homes have lost it */
  entry = &answer->entries[answer->n++];
  entry->key = *key;
  entry->is_unsure = lc_flow_finder__is_unsure (f);
  entry->backend_id = owner.id;
  entry->backend_instance = owner.instance;
  entry->backend_ipv4 = owner.ipv4;
  entry->backend_port = owner.port;
}

/* === public: searching ====================================================================== */

LcFlowAction
lc_flow_finder_end_walk (LcFlowAgent *a, LcEnvelope *e, const LcPacket *packet, int64_t now_us)
{
  const LcCandidate *searcher =
      lc_flow_finder__is_direct (a) ? NULL : lc_flow_finder__choose_searcher (a, packet, now_us);

  if (lc_envelope_next_search (e) != LC_ENVELOPE_SEARCH_SERVICE)
    return lc_flow_agent__drop (a, LC_DROP_NO_OWNER);
  if (e->service_id != a->desc.service_id)
    return lc_flow_agent__send (a, e, LC_MODE_WALK, &e->candidates[e->hop]);
  if (searcher == NULL || lc_candidate_equal (searcher, &a->desc.self))
    return lc_flow_finder_search (a, e, packet, now_us);
  e->stray_id = a->desc.self.id; /* the home that gets the owner */
  return lc_flow_agent__send (a, e, LC_MODE_FIND, searcher);
}

void
lc_flow_finder_send_owner (LcFlowAgent *a, LcEndpointId home, const LcFlowKey *key)
{
  const LcAssignPeer *peer = lc_assign_find_peer (&a->assign, home);

  if (peer != NULL && home != a->desc.self.id)
    lc_flow_finder__add_answer (
        a, key, lc_flow_pointers_add_message (a, LC_FLOW_QUERY_REPLY, &peer->agent));
}

static LcFlowTried *
lc_flow_finder__tried_of (LcFlowAgent *a, const LcFlowKey *key)
{
  return &a->tried[lc_flow_key_hash (key) % LC_FLOW_TRIED_MAX];
}

void
lc_flow_finder_record_try (LcFlowAgent *a,
                           const LcCandidate *searcher,
                           const LcFlowKey *key,
                           int64_t now_us)
{
  *lc_flow_finder__tried_of (a, key) =
      (LcFlowTried){ .key = *key, .searcher = *searcher, .tried_us = now_us };
}

void
lc_flow_finder_report_owned (LcFlowAgent *a, const LcCandidate *searcher, const LcFlowKey *key)
{
  LcFlowEntry *entry = lc_flow_pointers_add_entry (a, LC_FLOW_QUERY_REPLY, searcher);

  entry->key = *key;
  entry->backend_id = a->desc.self.id;
  entry->backend_instance = a->desc.self.instance;
  entry->backend_ipv4 = a->desc.self.ipv4;
  entry->backend_port = a->desc.self.port;
}

void
lc_flow_finder_end_answered (LcFlowAgent *a, const LcFlowKey *key, int64_t now_us)
{
  LcFlowTried *tried = lc_flow_finder__tried_of (a, key);
  uint32_t slot;

  if (a->searches != NULL)
    (void)lc_flow_search_end_found (a->searches, key, &slot);
  if (tried->searcher.id == 0 || !lc_flow_key_equal (&tried->key, key))
    return;
  if (now_us - tried->tried_us < LC_FLOW_SEARCH_TIMEOUT_US)
    lc_flow_finder_report_owned (a, &tried->searcher, key);
  tried->searcher.id = 0;
}

/* Drops what is left of the search that had the slot before. */
static void
lc_flow_finder__clear_slot (LcFlowAgent *a, uint32_t slot)
{
  (void)g_hash_table_remove (a->envelopes, GUINT_TO_POINTER (slot));
  for (guint i = a->passed->len; i > 0; i--)
    if (g_array_index (a->passed, LcFlowPassed, i - 1).slot == slot)
      g_array_remove_index_fast (a->passed, i - 1);
}

/* Begins or continues a search; `is_ruled_out`: the own backend server does not hold the flow. */
static LcFlowSearch *
lc_flow_finder__begin (LcFlowAgent *a, const LcPacket *packet, bool is_ruled_out, int64_t now_us)
{
  LcFlowSearchMember self = lc_flow_finder__self (a);
  bool is_joined = lc_flow_search_is_running (a->searches, &packet->key, now_us);
  LcFlowSearch *search = lc_flow_search_begin (a->searches, packet, now_us);
  uint32_t slot = lc_flow_search_slot_of (a->searches, search);

  if (!is_joined)
    lc_flow_finder__clear_slot (a, slot);
  a->counts.searched_total++;
  lc_flow_reconnects_add (&a->reconnects, packet->key.source_ipv4, now_us);
  search->is_new_packet = true;
  a->next_try_slot = MIN (a->next_try_slot, slot);
  if (is_ruled_out)
    lc_flow_search_rule_out (a->searches, &packet->key, &self, a->roster, now_us);
  return search;
}

/* Stores the envelope, if it names other services in which the search may have to go on. */
static void
lc_flow_finder__store_envelope (LcFlowAgent *a, const LcEnvelope *e, uint32_t slot)
{
  if (e->n_services > 0)
    (void)g_hash_table_insert (a->envelopes, GUINT_TO_POINTER (slot), g_memdup2 (e, sizeof *e));
}

/* Sends the packet also to homes of the balancer's view that are not in the view here: they may
 * hold the flow. */
static void
lc_flow_finder__send_to_unknown (LcFlowAgent *a, const LcEnvelope *e, uint32_t slot)
{
  for (uint32_t i = lc_envelope_service_first (e); i < lc_envelope_service_end (e); i++)
    {
      LcFlowFound unknown = { slot, e->candidates[i] };

      if (lc_assign_find_peer (&a->assign, e->candidates[i].id) == NULL)
        g_array_append_val (a->found, unknown);
    }
}

/* Whether the own backend server is known not to hold the flow, without asking it: the table has all
 * its flows, and nothing of this one. */
static bool
lc_flow_finder__is_not_here (const LcFlowAgent *a,
                             const LcEnvelope *e,
                             const LcPacket *packet,
                             int64_t now_us)
{
  const LcFlow *f = lc_flow_table_find (&a->table, &packet->key, lc_flow_key_hash (&packet->key));
  bool is_behind = e->revision > a->view->revision; /* the idle timeout may have changed */

  return !is_behind && lc_flow_finder_knowledge (a, now_us) == LC_FLOW_COVERAGE_FULL &&
         (f == NULL || !lc_flow_finder__is_unsure (f));
}

LcFlowAction
lc_flow_finder_search (LcFlowAgent *a, const LcEnvelope *e, const LcPacket *packet, int64_t now_us)
{
  bool knows_all = lc_flow_finder__is_not_here (a, e, packet, now_us);
  LcFlowSearch *search = lc_flow_finder__begin (a, packet, knows_all, now_us);
  LcFlowAction action = { .kind = LC_FLOW_ACTION_SEARCH };

  search->home = e->mode == LC_MODE_FIND ? e->stray_id : 0;
  action.search.slot = lc_flow_search_slot_of (a->searches, search);
  lc_flow_finder__store_envelope (a, e, action.search.slot);
  action.search.is_local = !knows_all;
  action.search.cause = knows_all ? LC_FLOW_SEARCH_NOT_HERE : LC_FLOW_SEARCH_UNKNOWN;
  lc_flow_finder__send_to_unknown (a, e, action.search.slot);
  lc_flow_finder__send_rounds (a, now_us);
  lc_flow_finder__end_all_unowned (a);
  return action;
}

LcFlowAction
lc_flow_finder_search_returned (LcFlowAgent *a, const LcPacket *packet, int64_t now_us)
{
  LcFlowSearch *search = lc_flow_finder__begin (a, packet, true, now_us);
  LcFlowAction action = { .kind = LC_FLOW_ACTION_SEARCH,
                          .search = { .cause = LC_FLOW_SEARCH_RETURNED } };

  action.search.slot = lc_flow_search_slot_of (a->searches, search);
  lc_flow_finder__send_rounds (a, now_us);
  lc_flow_finder__end_all_unowned (a);
  return action;
}

LcFlowAction
lc_flow_finder_report_denial (LcFlowAgent *a, const LcPacket *packet, int64_t now_us)
{
  const LcAssignPeer *peer = lc_assign_find_peer (&a->assign, packet->mark);
  LcFlowSearchMember self = lc_flow_finder__self (a);

  if (packet->mark == a->desc.self.id)
    {
      lc_flow_search_rule_out (a->searches, &packet->key, &self, a->roster, now_us);
      lc_flow_finder__end_all_unowned (a);
    }
  else if (peer != NULL)
    lc_flow_pointers_add_entry (a, LC_FLOW_NOT_HELD, &peer->agent)->key = packet->key;
  return lc_flow_agent__drop (a, LC_DROP_NO_OWNER);
}

/* A packet that goes on to another service: false: none, or it has no hops left. */
static bool
lc_flow_finder__next_passed (LcFlowAgent *a, LcFlowTry *next)
{
  while (a->passed->len > 0)
    {
      LcFlowPassed passed = g_array_index (a->passed, LcFlowPassed, a->passed->len - 1);
      LcEnvelope *e = &passed.envelope;
      LcCandidate to = e->candidates[e->hop];

      g_array_set_size (a->passed, a->passed->len - 1);
      if (lc_flow_agent__send (a, e, LC_MODE_WALK, &to).kind != LC_FLOW_ACTION_SEND)
        continue;
      *next = (LcFlowTry){ .slot = passed.slot, .n = 1, .to = { to }, .is_passed = true };
      next->envelope = *e;
      return true;
    }
  return false;
}

bool
lc_flow_finder_next_try (LcFlowAgent *a, int64_t now_us, LcFlowTry *next)
{
  LcEndpointId ids[LC_FLOW_SEARCH_TARGETS_MAX];

  if (lc_flow_finder__next_passed (a, next))
    return true;
  next->is_passed = false;
  if (a->found->len > 0)
    {
      LcFlowFound *found = &g_array_index (a->found, LcFlowFound, a->found->len - 1);

      *next = (LcFlowTry){ .slot = found->slot, .n = 1, .to = { found->owner } };
      g_array_set_size (a->found, a->found->len - 1);
      return true;
    }

  while (a->searches != NULL && a->next_try_slot < LC_FLOW_SEARCHES_MAX)
    {
      LcFlowSearch *search = lc_flow_search_at (a->searches, a->next_try_slot++, now_us);

      if (search == NULL)
        continue;
      next->n =
          lc_flow_search_choose_targets (a->searches, search, lc_flow_finder__targets (a, search),
                                         lc_flow_finder__may_try, a, ids);
      search->is_new_packet = false;
      if (next->n == 0)
        continue;
      next->slot = a->next_try_slot - 1;
      for (uint32_t i = 0; i < next->n; i++)
        next->to[i] = lc_assign_find_peer (&a->assign, ids[i])->agent;
      return true;
    }
  return false;
}

/* === public: messages ======================================================================= */

bool
lc_flow_finder_record_contact (LcAssignPeer *peer, int64_t now_us)
{
  bool was_silent = lc_flow_finder__is_silent (peer, now_us);

  peer->asked_us = 0;
  peer->heard_us = now_us;
  return was_silent;
}

void
lc_flow_finder_send_missed_rounds (LcFlowAgent *a, LcEndpointId id, int64_t now_us)
{
  LcAssignPeer *peer = lc_assign_find_peer (&a->assign, id);
  LcFlowSearchMember member;
  const LcFlowRound *round;

  if (a->searches == NULL || peer == NULL || lc_flow_finder__is_direct (a))
    return;
  member = (LcFlowSearchMember){ peer->agent.id, peer->agent.ipv4 };
  for (uint32_t i = 0; (round = lc_flow_search_next_unanswered (a->searches, &member, &i)) != NULL;)
    lc_flow_finder__query_member (a, round, peer, now_us);
}

void
lc_flow_finder_handle_denial (LcFlowAgent *a, const LcFlowMessage *m, int64_t now_us)
{
  LcFlowSearchMember sender = lc_flow_finder__sender (m);

  if (a->searches == NULL)
    return;
  for (uint32_t i = 0; i < m->n; i++)
    lc_flow_search_rule_out (a->searches, &m->entries[i].key, &sender,
                             lc_flow_finder__sender_roster (a, m), now_us);
  lc_flow_finder__end_all_unowned (a);
}

void
lc_flow_finder_handle_query (LcFlowAgent *a, const LcFlowMessage *m)
{
  LcFlowMessage *answer = lc_flow_pointers_add_message (a, LC_FLOW_QUERY_REPLY, &m->load.agent);

  answer->round = m->round;
  for (uint32_t i = 0; i < m->n; i++)
    lc_flow_finder__add_answer (a, &m->entries[i].key, answer);
}

/* Forwards the stored packet to the owner at once: a retransmission would come 0.2 s later.  In a
 * small service the owner has had it, as each endpoint was sent it. */
static void
lc_flow_finder__end_found (LcFlowAgent *a, const LcFlowKey *key, const LcCandidate *owner)
{
  LcFlowFound found = { 0, *owner };

  if (!lc_flow_search_end_found (a->searches, key, &found.slot))
    return;
  lc_flow_finder_send_owner (a, a->searches->slots[found.slot].home, key);
  if (!lc_flow_finder__is_direct (a))
    g_array_append_val (a->found, found);
}

/* Whether the sender has every flow of its backend server that may be open.  One without the last
 * change of the idle timeout may have discarded flows that are no longer idle for too long. */
static bool
lc_flow_finder__is_conclusive (const LcFlowAgent *a, const LcFlowMessage *m)
{
  const LcService *service = a->view != NULL ? lc_view_service (a->view, a->desc.service_id) : NULL;
  LcRevision idle_revision = service != NULL ? service->idle_revision : 0;

  return m->load.coverage == LC_FLOW_COVERAGE_FULL && m->load.revision >= idle_revision;
}

void
lc_flow_finder_handle_answer (LcFlowAgent *a, const LcFlowMessage *m, int64_t now_us)
{
  LcFlowSearchMember sender = lc_flow_finder__sender (m);

  if (a->searches == NULL)
    return;
  for (uint32_t i = 0; i < m->n; i++)
    {
      const LcFlowEntry *e = &m->entries[i];
      LcCandidate owner = { e->backend_id, e->backend_ipv4, e->backend_instance, e->backend_port };

      if (e->is_unsure)
        lc_flow_search_mark_unsure (a->searches, &e->key, &sender);
      if (owner.id == 0)
        continue;
      /* An owner's own claim counts even if the view has it as LOST. */
      if (lc_flow_pointers_store_reported (a, &e->key, &owner, m->load.revision, now_us) ||
          lc_candidate_equal (&owner, &m->load.agent))
        lc_flow_finder__end_found (a, &e->key, &owner);
    }
  if (lc_flow_finder__is_conclusive (a, m))
    lc_flow_search_record_answer (a->searches, m->round, &sender,
                                  lc_flow_finder__sender_roster (a, m), now_us);
  else
    lc_flow_search_record_incomplete (a->searches, m->round, &sender);
  lc_flow_finder__end_all_unowned (a);
}

/* === public: time =========================================================================== */

void
lc_flow_finder_update_members (LcFlowAgent *a, int64_t now_us)
{
  LcFlowSearchMember *members = g_new (LcFlowSearchMember, a->assign.n_peers + 1);
  uint32_t n = 0;

  for (uint32_t i = 0; i < a->assign.n_peers; i++)
    {
      const LcAssignPeer *p = &a->assign.peers[i];

      if (lc_flow_finder__is_awaited (p, now_us))
        members[n++] = (LcFlowSearchMember){ p->agent.id, p->agent.ipv4 };
    }
  if (!lc_flow_searches_has_members (a->searches, members, n, a->roster))
    lc_flow_searches_set_members (a->searches, members, n, a->roster);
  lc_flow_finder__end_all_unowned (a);
  g_free (members);
}

void
lc_flow_finder_tick (LcFlowAgent *a, int64_t now_us)
{
  if (a->searches == NULL || a->searches->n_used == 0)
    return;
  lc_flow_finder_update_members (a, now_us); /* lost and silent ones time out */
  lc_flow_finder__send_rounds (a, now_us);
  a->next_try_slot = 0;
}

LcFlowCoverage
lc_flow_finder_knowledge (const LcFlowAgent *a, int64_t now_us)
{
  return now_us >= a->complete_from_us ? LC_FLOW_COVERAGE_FULL : LC_FLOW_COVERAGE_PARTIAL;
}
