#include "lc-flow-search.h"

#include <string.h>

enum
{
  LC_FLOW_SEARCH_WAYS = 8,       /* slots that a flow's search may use */
  LC_FLOW_SEARCH_WORD_BITS = 64, /* bits in a word of LcFlowMemberSet */
};

/* === private: sets of members =============================================================== */

static bool
lc_flow_search__has (const LcFlowMemberSet *set, uint32_t i)
{
  return (set->words[i / LC_FLOW_SEARCH_WORD_BITS] >> (i % LC_FLOW_SEARCH_WORD_BITS) & 1U) != 0;
}

static void
lc_flow_search__add (LcFlowMemberSet *set, uint32_t i)
{
  set->words[i / LC_FLOW_SEARCH_WORD_BITS] |= (uint64_t)1 << (i % LC_FLOW_SEARCH_WORD_BITS);
}

static uint32_t
lc_flow_search__n_listed (const LcFlowSearches *s)
{
  return MIN (s->n_members, (uint32_t)LC_FLOW_SEARCH_MEMBERS_MAX);
}

/* The member's index; -1: not a member, or at another address. */
static int
lc_flow_search__position (const LcFlowSearches *s, const LcFlowSearchMember *member)
{
  uint32_t low = 0;
  uint32_t high = lc_flow_search__n_listed (s);

  while (low < high)
    {
      uint32_t mid = low + (high - low) / 2;

      if (s->members[mid].id < member->id)
        low = mid + 1;
      else
        high = mid;
    }
  return low < lc_flow_search__n_listed (s) && s->members[low].id == member->id &&
                 s->members[low].ipv4 == member->ipv4
             ? (int)low
             : -1;
}

/* Maps a set to the indexes of the current list, without members that are no longer in it. */
static LcFlowMemberSet
lc_flow_search__remap_set (const LcFlowSearches *s,
                           const LcFlowMemberSet *set,
                           const LcFlowSearchMember *before,
                           uint32_t n_before)
{
  LcFlowMemberSet moved = { 0 };

  for (uint32_t i = 0; i < MIN (n_before, (uint32_t)LC_FLOW_SEARCH_MEMBERS_MAX); i++)
    {
      int at = lc_flow_search__has (set, i) ? lc_flow_search__position (s, &before[i]) : -1;

      if (at >= 0)
        lc_flow_search__add (&moved, (uint32_t)at);
    }
  return moved;
}

static bool
lc_flow_search__has_all (const LcFlowSearches *s, const LcFlowMemberSet *set)
{
  uint32_t n = s->n_members;

  if (n == 0 || n > LC_FLOW_SEARCH_MEMBERS_MAX)
    return false;
  for (uint32_t i = 0; i < n / LC_FLOW_SEARCH_WORD_BITS; i++)
    if (set->words[i] != UINT64_MAX)
      return false;
  return n % LC_FLOW_SEARCH_WORD_BITS == 0 ||
         set->words[n / LC_FLOW_SEARCH_WORD_BITS] ==
             ((uint64_t)1 << (n % LC_FLOW_SEARCH_WORD_BITS)) - 1;
}

/* === private: searches ====================================================================== */

static bool
lc_flow_search__is_running (const LcFlowSearch *s, int64_t now_us)
{
  return s->is_used && now_us - s->started_us < LC_FLOW_SEARCH_TIMEOUT_US;
}

static LcFlowSearch *
lc_flow_search__find (LcFlowSearches *s, const LcFlowKey *key)
{
  uint64_t hash = lc_flow_key_hash (key);

  for (uint64_t way = 0; way < LC_FLOW_SEARCH_WAYS && s->slots != NULL; way++)
    {
      LcFlowSearch *search = &s->slots[(hash + way) % LC_FLOW_SEARCHES_MAX];

      if (search->is_used && lc_flow_key_equal (&search->packet.key, key))
        return search;
    }
  return NULL;
}

static LcFlowSearch *
lc_flow_search__oldest (LcFlowSearches *s, const LcFlowKey *key)
{
  uint64_t hash = lc_flow_key_hash (key);
  LcFlowSearch *oldest = &s->slots[hash % LC_FLOW_SEARCHES_MAX];

  for (uint64_t way = 0; way < LC_FLOW_SEARCH_WAYS && oldest->is_used; way++)
    {
      LcFlowSearch *search = &s->slots[(hash + way) % LC_FLOW_SEARCHES_MAX];

      if (!search->is_used || search->started_us < oldest->started_us)
        oldest = search;
    }
  return oldest;
}

static void
lc_flow_search__end (LcFlowSearches *s, LcFlowSearch *search)
{
  if (!search->is_used)
    return;
  s->n_unqueried -= search->round == 0;
  s->n_used--;
  search->is_used = false;
}

/* Ends the search if all members are ruled out, unless an answer had a newer roster: an endpoint
 * that is unknown here may hold the flow. */
static void
lc_flow_search__end_if_unowned (LcFlowSearches *s, LcFlowSearch *search)
{
  LcFlowUnowned unowned;

  if (!search->is_used || search->newest_roster > s->membership ||
      !lc_flow_search__has_all (s, &search->ruled_out))
    return;
  unowned = (LcFlowUnowned){ search->packet, lc_flow_search_slot_of (s, search) };
  g_array_append_val (s->unowned, unowned);
  lc_flow_search__end (s, search);
}

/* === private: rounds ======================================================================== */

static LcFlowRound *
lc_flow_search__round_of (LcFlowSearches *s, uint32_t id)
{
  for (int i = 0; i < LC_FLOW_ROUNDS_MAX && id != 0 && s->rounds != NULL; i++)
    if (s->rounds[i].id == id)
      return &s->rounds[i];
  return NULL;
}

/* Ends the rounds that every member has answered or whose searches have timed out. */
static void
lc_flow_search__end_rounds (LcFlowSearches *s, int64_t now_us)
{
  for (int i = 0; i < LC_FLOW_ROUNDS_MAX && s->rounds != NULL; i++)
    {
      LcFlowRound *r = &s->rounds[i];

      if (r->id != 0 && (now_us - r->started_us >= LC_FLOW_SEARCH_TIMEOUT_US ||
                         lc_flow_search__has_all (s, &r->answered)))
        r->id = 0;
    }
}

static void
lc_flow_search__record_silent (LcFlowSearches *s, const LcFlowSearch *search)
{
  for (uint32_t i = 0; i < lc_flow_search__n_listed (s); i++)
    if (!lc_flow_search__has (&search->ruled_out, i))
      {
        s->expired_total++;
        s->silent = s->members[i];
        return;
      }
}

static void
lc_flow_search__end_expired (LcFlowSearches *s, int64_t now_us)
{
  for (uint32_t i = 0; i < LC_FLOW_SEARCHES_MAX && s->n_used > 0; i++)
    if (s->slots[i].is_used && !lc_flow_search__is_running (&s->slots[i], now_us))
      {
        lc_flow_search__record_silent (s, &s->slots[i]);
        lc_flow_search__end (s, &s->slots[i]);
      }
}

static LcFlowRound *
lc_flow_search__free_round (LcFlowSearches *s)
{
  if (s->rounds == NULL)
    s->rounds = g_new0 (LcFlowRound, LC_FLOW_ROUNDS_MAX);
  for (int i = 0; i < LC_FLOW_ROUNDS_MAX; i++)
    if (s->rounds[i].id == 0)
      return &s->rounds[i];
  return NULL;
}

static void
lc_flow_search__fill_round (LcFlowSearches *s, LcFlowRound *round, int64_t now_us)
{
  memset (round, 0, sizeof *round);
  round->id = ++s->last_round != 0 ? s->last_round : ++s->last_round;
  round->started_us = now_us;
  for (uint32_t i = 0; i < LC_FLOW_SEARCHES_MAX && round->n < LC_FLOW_ROUND_KEYS; i++)
    {
      LcFlowSearch *search = &s->slots[i];

      if (!search->is_used || search->round != 0)
        continue;
      search->round = round->id;
      s->n_unqueried--;
      round->keys[round->n++] = search->packet.key;
    }
}

/* === public ================================================================================= */

void
lc_flow_searches_init (LcFlowSearches *s, int64_t now_us)
{
  memset (s, 0, sizeof *s);
  s->last_round = (uint32_t)now_us;
  s->round_us = now_us - LC_FLOW_ROUND_INTERVAL_US;
  s->unowned = g_array_new (FALSE, FALSE, sizeof (LcFlowUnowned));
}

void
lc_flow_searches_finish (LcFlowSearches *s)
{
  g_free (s->members);
  g_free (s->slots);
  g_free (s->rounds);
  g_array_unref (s->unowned);
  memset (s, 0, sizeof *s);
}

bool
lc_flow_searches_has_members (const LcFlowSearches *s,
                              const LcFlowSearchMember *members,
                              uint32_t n,
                              LcRevision membership)
{
  if (s->n_members != n || s->membership != membership)
    return false;
  for (uint32_t i = 0; i < n; i++)
    if (s->members[i].id != members[i].id || s->members[i].ipv4 != members[i].ipv4)
      return false;
  return true;
}

void
lc_flow_searches_set_members (LcFlowSearches *s,
                              const LcFlowSearchMember *members,
                              uint32_t n,
                              LcRevision membership)
{
  LcFlowSearchMember *before = s->members;
  uint32_t n_before = s->n_members;

  s->members = n > 0 ? g_memdup2 (members, n * sizeof *members) : NULL;
  s->n_members = n;
  s->membership = membership;
  for (int i = 0; i < LC_FLOW_ROUNDS_MAX && s->rounds != NULL; i++)
    if (s->rounds[i].id != 0)
      s->rounds[i].answered =
          lc_flow_search__remap_set (s, &s->rounds[i].answered, before, n_before);
  for (uint32_t i = 0; i < LC_FLOW_SEARCHES_MAX && s->n_used > 0; i++)
    {
      LcFlowSearch *search = &s->slots[i];

      if (!search->is_used)
        continue;
      search->ruled_out = lc_flow_search__remap_set (s, &search->ruled_out, before, n_before);
      search->tried = lc_flow_search__remap_set (s, &search->tried, before, n_before);
      search->unsure = lc_flow_search__remap_set (s, &search->unsure, before, n_before);
      lc_flow_search__end_if_unowned (s, search);
    }
  g_free (before);
}

LcFlowSearch *
lc_flow_search_begin (LcFlowSearches *s, const LcPacket *packet, int64_t now_us)
{
  LcFlowSearch *search = lc_flow_search__find (s, &packet->key);

  if (search != NULL && lc_flow_search__is_running (search, now_us))
    {
      search->packet = *packet;
      return search;
    }
  if (s->slots == NULL)
    s->slots = g_new0 (LcFlowSearch, LC_FLOW_SEARCHES_MAX);
  if (search == NULL)
    search = lc_flow_search__oldest (s, &packet->key);
  lc_flow_search__end (s, search);
  memset (search, 0, sizeof *search);
  search->is_used = true;
  search->packet = *packet;
  search->started_us = now_us;
  s->n_unqueried++;
  s->n_used++;
  return search;
}

/* Chooses members that may get the packet and are in neither `tried` nor `excluded`. */
static uint32_t
lc_flow_search__choose_members (const LcFlowSearches *s,
                                LcFlowSearch *search,
                                const LcFlowMemberSet *excluded,
                                bool (*may_try) (void *user, LcEndpointId id),
                                void *user,
                                LcEndpointId out[LC_FLOW_SEARCH_TARGETS_MAX])
{
  uint32_t n_listed = lc_flow_search__n_listed (s);
  uint64_t first = lc_flow_key_hash (&search->packet.key);
  uint32_t n = 0;

  for (uint32_t k = 0; k < n_listed && n < LC_FLOW_SEARCH_TARGETS_MAX; k++)
    {
      uint32_t i = (uint32_t)((first + k) % n_listed);

      if (lc_flow_search__has (excluded, i) || lc_flow_search__has (&search->tried, i) ||
          (!lc_flow_search__has (&search->unsure, i) && !may_try (user, s->members[i].id)))
        continue;
      lc_flow_search__add (&search->tried, i);
      out[n++] = s->members[i].id;
    }
  return n;
}

uint32_t
lc_flow_search_choose_targets (const LcFlowSearches *s,
                               LcFlowSearch *search,
                               LcFlowSearchTargets turn,
                               bool (*may_try) (void *user, LcEndpointId id),
                               void *user,
                               LcEndpointId out[LC_FLOW_SEARCH_TARGETS_MAX])
{
  static const LcFlowMemberSet none = { 0 };
  uint32_t n = 0;

  if (turn != LC_FLOW_SEARCH_ALL)
    n = lc_flow_search__choose_members (s, search, &search->ruled_out, may_try, user, out);
  if (n > 0 || turn == LC_FLOW_SEARCH_UNTRIED)
    return n;
  memset (&search->tried, 0, sizeof search->tried);
  return lc_flow_search__choose_members (s, search, &none, may_try, user, out);
}

LcFlowSearch *
lc_flow_search_at (LcFlowSearches *s, uint32_t slot, int64_t now_us)
{
  if (s->n_used == 0 || !lc_flow_search__is_running (&s->slots[slot], now_us))
    return NULL;
  return &s->slots[slot];
}

uint32_t
lc_flow_search_slot_of (const LcFlowSearches *s, const LcFlowSearch *search)
{
  return (uint32_t)(search - s->slots);
}

void
lc_flow_search_rule_out (LcFlowSearches *s,
                         const LcFlowKey *key,
                         const LcFlowSearchMember *member,
                         LcRevision membership,
                         int64_t now_us)
{
  LcFlowSearch *search = lc_flow_search__find (s, key);
  int position = lc_flow_search__position (s, member);

  if (search == NULL || position < 0 || !lc_flow_search__is_running (search, now_us))
    return;
  lc_flow_search__add (&search->ruled_out, (uint32_t)position);
  search->newest_roster = MAX (search->newest_roster, membership);
  lc_flow_search__end_if_unowned (s, search);
}

void
lc_flow_search_mark_unsure (LcFlowSearches *s,
                            const LcFlowKey *key,
                            const LcFlowSearchMember *member)
{
  LcFlowSearch *search = lc_flow_search__find (s, key);
  int position = lc_flow_search__position (s, member);

  if (search != NULL && position >= 0)
    lc_flow_search__add (&search->unsure, (uint32_t)position);
}

bool
lc_flow_search_is_running (LcFlowSearches *s, const LcFlowKey *key, int64_t now_us)
{
  LcFlowSearch *search = lc_flow_search__find (s, key);

  return search != NULL && lc_flow_search__is_running (search, now_us);
}

bool
lc_flow_search_end_found (LcFlowSearches *s, const LcFlowKey *key, uint32_t *slot)
{
  LcFlowSearch *search = lc_flow_search__find (s, key);

  if (search == NULL)
    return false;
  *slot = lc_flow_search_slot_of (s, search);
  lc_flow_search__end (s, search);
  return true;
}

const LcFlowRound *
lc_flow_search_next_round (LcFlowSearches *s, int64_t now_us)
{
  LcFlowRound *round;

  lc_flow_search__end_rounds (s, now_us);
  lc_flow_search__end_expired (s, now_us);
  for (int i = 0; i < LC_FLOW_ROUNDS_MAX && s->rounds != NULL; i++)
    {
      round = &s->rounds[i];
      if (round->id != 0 && now_us - round->sent_us >= LC_FLOW_ROUND_RETRY_US)
        {
          round->sent_us = now_us;
          return round;
        }
    }
  if (s->n_unqueried == 0 || now_us - s->round_us < LC_FLOW_ROUND_INTERVAL_US)
    return NULL;
  round = lc_flow_search__free_round (s);
  if (round == NULL)
    return NULL;
  lc_flow_search__fill_round (s, round, now_us);
  round->sent_us = now_us;
  s->round_us = now_us;
  return round;
}

bool
lc_flow_search_is_unanswered (const LcFlowRound *round, uint32_t member)
{
  return member < LC_FLOW_SEARCH_MEMBERS_MAX && !lc_flow_search__has (&round->answered, member);
}

const LcFlowRound *
lc_flow_search_next_unanswered (const LcFlowSearches *s,
                                const LcFlowSearchMember *member,
                                uint32_t *at)
{
  int position = lc_flow_search__position (s, member);

  while (s->rounds != NULL && position >= 0 && *at < LC_FLOW_ROUNDS_MAX)
    {
      const LcFlowRound *round = &s->rounds[(*at)++];

      if (round->id != 0 && lc_flow_search_is_unanswered (round, (uint32_t)position))
        return round;
    }
  return NULL;
}

void
lc_flow_search_record_answer (LcFlowSearches *s,
                              uint32_t id,
                              const LcFlowSearchMember *member,
                              LcRevision membership,
                              int64_t now_us)
{
  LcFlowRound *round = lc_flow_search__round_of (s, id);
  int position = lc_flow_search__position (s, member);

  if (round == NULL || position < 0)
    return;
  lc_flow_search__add (&round->answered, (uint32_t)position);
  for (uint32_t i = 0; i < round->n; i++)
    {
      LcFlowSearch *search = lc_flow_search__find (s, &round->keys[i]);

      if (search != NULL && !lc_flow_search__has (&search->unsure, (uint32_t)position))
        lc_flow_search_rule_out (s, &round->keys[i], member, membership, now_us);
    }
}

void
lc_flow_search_record_incomplete (LcFlowSearches *s, uint32_t id, const LcFlowSearchMember *member)
{
  LcFlowRound *round = lc_flow_search__round_of (s, id);
  int position = lc_flow_search__position (s, member);

  if (round != NULL && position >= 0)
    lc_flow_search__add (&round->answered, (uint32_t)position);
}

bool
lc_flow_search_next_unowned (LcFlowSearches *s, LcFlowUnowned *unowned)
{
  if (s->unowned->len == 0)
    return false;
  *unowned = g_array_index (s->unowned, LcFlowUnowned, s->unowned->len - 1);
  g_array_set_size (s->unowned, s->unowned->len - 1);
  return true;
}
