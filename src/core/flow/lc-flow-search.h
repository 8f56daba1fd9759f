/* lc-flow-search: bookkeeping of searches for flow owners: which endpoints are accounted for.
 *
 * WHAT IT IS
 *   A search begins when a packet arrives whose owner no home has.  The searcher accounts for each
 *   endpoint of the service in one of two ways:
 *     - an agent whose table has all flows of its backend server answers whether the flow is among
 *       them.  Such agents are queried in rounds, each for many flows at once, so that the messages
 *       a second depend on the number of endpoints and not on that of searched flows;
 *     - if the agent's knowledge is incomplete (it was restarted), the packet itself is sent to the
 *       backend server, which returns it if it does not hold the flow.
 *   When every endpoint is accounted for, no backend server holds the flow: its caller can get a
 *   reset at once instead of waiting.  The result stays valid, as a flow reaches a backend server
 *   only by a first packet.
 *
 * HOW TO USE IT
 *     lc_flow_searches_init (&searches, now_us);
 *     lc_flow_searches_set_members (&searches, members, n, membership);    after each change
 *     search = lc_flow_search_begin (&searches, &packet, now_us);
 *     n = lc_flow_search_choose_targets (&searches, search, turn, may_try, user, ids);
 *       send the packet to these n endpoints
 *     lc_flow_search_rule_out (&searches, &key, &member, its_membership, now_us);   returned there
 *     while ((round = lc_flow_search_next_round (&searches, now_us)) != NULL)
 *       send round->keys to each member i with lc_flow_search_is_unanswered (round, i)
 *     lc_flow_search_record_answer (&searches, round_id, &member, its_membership, now_us);
 *     while (lc_flow_search_next_unowned (&searches, &unowned))
 *       no backend server holds the flow of `unowned.packet`
 *     lc_flow_searches_finish (&searches);
 *
 * LIFETIME
 *   The searches own copies of all they are given.
 *
 * LIMITS
 *   LC_FLOW_SEARCHES_MAX at a time; a newer one replaces the oldest of the LC_FLOW_SEARCH_WAYS
 *   slots of its hash, whose caller has to send another packet.  In a service of more than
 *   LC_FLOW_SEARCH_MEMBERS_MAX endpoints owners are found, but no flow is ever reported as unowned.
 *   An answer from a member with a newer roster (`membership`: the revision of its newest endpoint)
 *   holds the search open until that endpoint is in the list here, too.  Restarts and losses of
 *   known endpoints do not hold it open.
 */
#ifndef LC_FLOW_SEARCH_H
#define LC_FLOW_SEARCH_H

#include "lc-flow-key.h"

#include <glib.h>

#ifdef __cplusplus
extern "C"
{
#endif

  enum
  {
    LC_FLOW_SEARCHES_MAX = 512,      /* concurrent searches; each stores one packet */
    LC_FLOW_SEARCH_TARGETS_MAX = 64, /* endpoints to which a packet is sent at a time */
    LC_FLOW_SEARCH_MEMBERS_MAX = 2048,
    /* Concurrent rounds: one silent member keeps each open for LC_FLOW_SEARCH_TIMEOUT_US, and 20 a
     * second begin. */
    LC_FLOW_ROUNDS_MAX = 64,
    LC_FLOW_ROUND_KEYS = 32, /* flows of a round: one message (LC_FLOW_BATCH_MAX) */
  };

#define LC_FLOW_SEARCH_TIMEOUT_US (2 * LC_US_PER_S) /* after which a search starts over */
/* Between rounds, and so the longest wait of a search for its first query; 20 rounds a second to
 * 163 endpoints are 3,260 messages. */
#define LC_FLOW_ROUND_INTERVAL_US (50 * LC_US_PER_MS)
/* After which a round is resent to the members that have not answered, as datagrams may be lost:
 * five round trips between data centres. */
#define LC_FLOW_ROUND_RETRY_US (100 * LC_US_PER_MS)

  /* An endpoint at its address.  Its agent answers for the current backend server there; one that
   * is started later holds no earlier flow, so that the instance does not matter. */
  typedef struct
  {
    LcEndpointId id;
    uint32_t ipv4;
  } LcFlowSearchMember;

  /* A bit set of members, by their indexes in the list. */
  typedef struct
  {
    uint64_t words[LC_FLOW_SEARCH_MEMBERS_MAX / 64];
  } LcFlowMemberSet;

  typedef struct
  {
    bool is_used;
    LcPacket packet;    /* the flow's newest */
    LcEndpointId home;  /* that forwarded the packet and gets the owner; 0: none */
    bool is_new_packet; /* not yet sent to any endpoint */
    int64_t started_us;
    LcRevision newest_roster;  /* roster revision in the answers */
    uint32_t round;            /* that has its key; 0: none yet */
    LcFlowMemberSet ruled_out; /* do not hold the flow */
    LcFlowMemberSet tried;     /* the packet was sent to them */
    LcFlowMemberSet unsure;    /* agents can't answer for this flow: send the packet */
  } LcFlowSearch;

  /* Which members get the packet. */
  typedef enum
  {
    LC_FLOW_SEARCH_UNTRIED,        /* members not accounted for that have not had it */
    LC_FLOW_SEARCH_UNTRIED_OR_ALL, /* the same for a new packet; if all have had it, all again */
    LC_FLOW_SEARCH_ALL,            /* a new packet: all */
  } LcFlowSearchTargets;

  typedef struct
  {
    uint32_t id; /* 0: free */
    int64_t started_us;
    int64_t sent_us;
    uint32_t n;
    LcFlowKey keys[LC_FLOW_ROUND_KEYS];
    LcFlowMemberSet answered;
  } LcFlowRound;

  /* A search that has ruled out every member. */
  typedef struct
  {
    LcPacket packet; /* the flow's newest */
    uint32_t slot;   /* that the search had */
  } LcFlowUnowned;

  typedef struct
  {
    LcFlowSearchMember *members; /* owned; sorted by id */
    uint32_t n_members;
    LcRevision membership;
    LcFlowSearch *slots; /* owned; NULL before the first search: most agents never search */
    uint32_t n_used;
    LcFlowRound *rounds; /* owned; NULL before the first one */
    uint32_t last_round;
    int64_t round_us;          /* start of the newest round */
    uint32_t n_unqueried;      /* searches that are in no round yet */
    uint64_t expired_total;    /* searches that timed out on a silent member */
    LcFlowSearchMember silent; /* such a member of the last of these searches */
    GArray *unowned;           /* LcFlowUnowned */
  } LcFlowSearches;

  /* Round ids start from the time, so that answers to an earlier process match none. */
  void lc_flow_searches_init (LcFlowSearches *searches, int64_t now_us);
  void lc_flow_searches_finish (LcFlowSearches *searches);
  /* Whether these are the current members and roster revision. */
  bool lc_flow_searches_has_members (const LcFlowSearches *searches,
                                     const LcFlowSearchMember *members,
                                     uint32_t n,
                                     LcRevision membership);
  /* Sets the endpoints to account for, sorted by id.  Answers of members that stay at the same
   * address are kept. */
  void lc_flow_searches_set_members (LcFlowSearches *searches,
                                     const LcFlowSearchMember *members,
                                     uint32_t n,
                                     LcRevision membership);

  /* Begins a search for the packet's flow, or adds the packet to the one under way. */
  LcFlowSearch *
  lc_flow_search_begin (LcFlowSearches *searches, const LcPacket *packet, int64_t now_us);
  bool lc_flow_search_is_running (LcFlowSearches *searches, const LcFlowKey *key, int64_t now_us);
  /* Chooses the members that get the packet, among those that are unsure or for which `may_try`
   * returns true.  Returns how many. */
  uint32_t lc_flow_search_choose_targets (const LcFlowSearches *searches,
                                          LcFlowSearch *search,
                                          LcFlowSearchTargets turn,
                                          bool (*may_try) (void *user, LcEndpointId id),
                                          void *user,
                                          LcEndpointId out[LC_FLOW_SEARCH_TARGETS_MAX]);
  /* The search in this slot (0 to LC_FLOW_SEARCHES_MAX - 1) if it is under way, or NULL. */
  LcFlowSearch *lc_flow_search_at (LcFlowSearches *searches, uint32_t slot, int64_t now_us);
  uint32_t lc_flow_search_slot_of (const LcFlowSearches *searches, const LcFlowSearch *search);
  /* Records that the member does not hold the flow; `membership`: its newest roster revision. */
  void lc_flow_search_rule_out (LcFlowSearches *searches,
                                const LcFlowKey *key,
                                const LcFlowSearchMember *member,
                                LcRevision membership,
                                int64_t now_us);
  /* Records that the member's agent can't tell whether its backend server holds the flow. */
  void lc_flow_search_mark_unsure (LcFlowSearches *searches,
                                   const LcFlowKey *key,
                                   const LcFlowSearchMember *member);
  /* Ends the search and returns its `slot`, as the owner is known; false: no search. */
  bool lc_flow_search_end_found (LcFlowSearches *searches, const LcFlowKey *key, uint32_t *slot);

  /* The next round to send or resend, marked as sent now; NULL: none. */
  const LcFlowRound *lc_flow_search_next_round (LcFlowSearches *searches, int64_t now_us);
  /* Whether the member has not answered the round. */
  bool lc_flow_search_is_unanswered (const LcFlowRound *round, uint32_t member);
  /* The next round that this member has not answered, from `*at` (0 at first) on, or NULL. */
  const LcFlowRound *lc_flow_search_next_unanswered (const LcFlowSearches *searches,
                                                     const LcFlowSearchMember *member,
                                                     uint32_t *at);
  /* Records an answer of a member with complete knowledge: it holds none of the round's flows but
   * those passed to lc_flow_search_end_found or lc_flow_search_mark_unsure before. */
  void lc_flow_search_record_answer (LcFlowSearches *searches,
                                     uint32_t round,
                                     const LcFlowSearchMember *member,
                                     LcRevision membership,
                                     int64_t now_us);
  /* Records an answer of a member with incomplete knowledge: the round is not resent to it. */
  void lc_flow_search_record_incomplete (LcFlowSearches *searches,
                                         uint32_t round,
                                         const LcFlowSearchMember *member);

  /* Next flow that no backend server holds; false: none. */
  bool lc_flow_search_next_unowned (LcFlowSearches *searches, LcFlowUnowned *unowned);

#ifdef __cplusplus
}
#endif

#endif /* LC_FLOW_SEARCH_H */
