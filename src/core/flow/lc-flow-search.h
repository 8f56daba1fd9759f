/* lc-flow-search: which endpoints are accounted for in the search for a flow's owner.
 *
 * WHAT IT IS
 *   A packet came whose owner no home knows.  The agent that searches accounts for each endpoint of
 * the service, in one of two ways:
 *     - an agent that knows all that its backend server holds says whether the flow is among it.
 * Such agents are asked in rounds, each for many flows at once, so that the messages of a second
 * depend on the endpoints and not on the flows that are looked for;
 *     - beside a backend server whose agent does not know all (it was restarted), the packet itself
 * is tried; the backend server returns what it does not hold.
 *   When every endpoint is accounted for, nobody holds the flow: its caller can be told at once
 *   instead of being left to wait.  Such an answer stays true: a flow only comes to a backend
 * server by a first packet.
 *
 * HOW TO USE IT
 *     lc_flow_searches_init (&searches, now_us);
 *     lc_flow_searches_set_members (&searches, members, n, membership);     at each change of them
 *     search = lc_flow_search_begin (&searches, &packet, now_us);
 *     n = lc_flow_search_try (&searches, search, is_tried, user, ids);     give the packet to these
 *     lc_flow_search_clear (&searches, &key, &member, its_membership, now_us);  it was returned
 * there while ((round = lc_flow_search_round (&searches, now_us)) != NULL) ask each member for
 * which lc_flow_search_is_asked (&searches, round, i) for round->keys lc_flow_search_answer
 * (&searches, round_id, &member, its_membership, now_us); while (lc_flow_search_next_lost
 * (&searches, &packet)) nobody holds the flow of `packet` lc_flow_searches_finish (&searches);
 *
 * LIFETIME
 *   The searches own copies of all they are given.
 *
 * LIMITS
 *   LC_FLOW_SEARCHES at a time; a newer one takes the place of the oldest with a like hash, whose
 *   caller then waits for its own next packet.  In a service of more than LC_FLOW_SEARCH_MEMBERS
 *   endpoints owners are found, but no flow is ever said to be nobody's.  A member that knows of an
 *   endpoint that came later (`membership`: the revision of the newest) holds a search open until
 *   that one is known here, too.  Restarts and losses of known ones hold nothing open.
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
    LC_FLOW_SEARCHES = 512,  /* of which each keeps one packet */
    LC_FLOW_SEARCH_MAX = 64, /* endpoints that one packet is sent to */
    LC_FLOW_SEARCH_MEMBERS = 2048,
    LC_FLOW_ROUNDS = 64, /* under way at a time: one member that says nothing keeps each open for as
                            long as a search lasts, and 20 a second begin */
    LC_FLOW_ROUND_KEYS = 32, /* flows that a round asks for: one message (LC_FLOW_BATCH_MAX) */
  };

#define LC_FLOW_SEARCH_US (2 * LC_US_PER_S) /* a search that has not ended by then begins anew */
/* Between rounds: a search waits for so long at most before it is asked for, and 20 rounds a second
 * to 163 endpoints are 3,260 messages. */
#define LC_FLOW_ROUND_US (50 * LC_US_PER_MS)
/* Members that have not answered a round are asked again: datagrams get lost, and five round trips
 * between data centres have passed. */
#define LC_FLOW_ROUND_RETRY_US (100 * LC_US_PER_MS)

  /* An endpoint at its address: the agent there speaks for whatever backend server is beside it
   * now. One that starts anew later holds nothing of before, so that its instance does not matter.
   */
  typedef struct
  {
    LcEndpointId id;
    uint32_t ipv4;
  } LcFlowSearchMember;

  /* A set of members, by their places in the list. */
  typedef struct
  {
    uint64_t words[LC_FLOW_SEARCH_MEMBERS / 64];
  } LcFlowMemberSet;

  typedef struct
  {
    bool is_used;
    LcPacket packet;    /* the newest that was searched for */
    LcEndpointId home;  /* that sent the packet on, and is told of the owner; 0: none */
    bool is_new_packet; /* the caller sent it since it was tried last */
    int64_t started_us;
    LcRevision newest;       /* membership that anybody who answered knows */
    uint32_t round;          /* that asks for it; 0: none yet */
    LcFlowMemberSet cleared; /* accounted for: they don't hold it */
    LcFlowMemberSet tried;   /* the packet was given to them */
    LcFlowMemberSet doubted; /* their agents know all but this flow: the packet has to be tried */
  } LcFlowSearch;

  /* Which members are given the packet. */
  typedef enum
  {
    LC_FLOW_SEARCH_NEXT,     /* some that are not accounted for and have not had it */
    LC_FLOW_SEARCH_NEXT_NEW, /* the same for a new packet: when all have had it, all once more */
    LC_FLOW_SEARCH_ALL,      /* a new packet: all */
  } LcFlowSearchTurn;

  typedef struct
  {
    uint32_t id; /* 0: free */
    int64_t started_us;
    int64_t sent_us;
    uint32_t n;
    LcFlowKey keys[LC_FLOW_ROUND_KEYS];
    LcFlowMemberSet answered;
  } LcFlowRound;

  typedef struct
  {
    LcFlowSearchMember *members; /* owned; ordered by id */
    uint32_t n_members;
    LcRevision membership;
    LcFlowSearch *slots; /* owned; NULL before the first search, as most agents never search */
    uint32_t n_used;
    LcFlowRound *rounds; /* owned; NULL before the first one */
    uint32_t last_round;
    int64_t round_us; /* when the newest round began */
    uint32_t n_unasked;
    uint64_t expired_total;    /* searches that ended because somebody said nothing */
    LcFlowSearchMember silent; /* one of these, at the last such search */
    GArray *lost;              /* LcPacket */
  } LcFlowSearches;

  /* Rounds are numbered from the time, so that an answer to a process before this one is none. */
  void lc_flow_searches_init (LcFlowSearches *searches, int64_t now_us);
  void lc_flow_searches_finish (LcFlowSearches *searches);
  bool lc_flow_searches_has_members (const LcFlowSearches *searches,
                                     const LcFlowSearchMember *members,
                                     uint32_t n,
                                     LcRevision membership);
  /* Those whose word counts, ordered by id.  What was said by those that are still among them, at
   * the same address, is kept. */
  void lc_flow_searches_set_members (LcFlowSearches *searches,
                                     const LcFlowSearchMember *members,
                                     uint32_t n,
                                     LcRevision membership);

  /* The search for the packet's flow: the one under way, with this packet for its newest, or one
   * that begins now. */
  LcFlowSearch *
  lc_flow_search_begin (LcFlowSearches *searches, const LcPacket *packet, int64_t now_us);
  bool lc_flow_search_is_running (LcFlowSearches *searches, const LcFlowKey *key, int64_t now_us);
  /* Whom to give the packet, up to LC_FLOW_SEARCH_MAX of those members for which `may_try` holds or
   * that are doubted.  Returns how many. */
  uint32_t lc_flow_search_try (const LcFlowSearches *searches,
                               LcFlowSearch *search,
                               LcFlowSearchTurn turn,
                               bool (*may_try) (void *user, LcEndpointId id),
                               void *user,
                               LcEndpointId out[LC_FLOW_SEARCH_MAX]);
  /* The search in this place, if one is under way: 0 to LC_FLOW_SEARCHES. */
  LcFlowSearch *lc_flow_search_at (LcFlowSearches *searches, uint32_t place, int64_t now_us);
  uint32_t lc_flow_search_place (const LcFlowSearches *searches, const LcFlowSearch *search);
  /* This member does not hold the flow; `membership` is the newest that it knows. */
  void lc_flow_search_clear (LcFlowSearches *searches,
                             const LcFlowKey *key,
                             const LcFlowSearchMember *member,
                             LcRevision membership,
                             int64_t now_us);
  /* The member's agent knows of this flow, but not whether its backend server still holds it. */
  void lc_flow_search_doubt (LcFlowSearches *searches,
                             const LcFlowKey *key,
                             const LcFlowSearchMember *member);
  /* The flow's owner is known now: the search ends.  False: there was none; `place` is its own. */
  bool lc_flow_search_found (LcFlowSearches *searches, const LcFlowKey *key, uint32_t *place);

  /* The next round to be sent, new or again, marked as sent now; NULL: none. */
  const LcFlowRound *lc_flow_search_round (LcFlowSearches *searches, int64_t now_us);
  bool lc_flow_search_is_asked (const LcFlowRound *round, uint32_t member);
  /* The next round under way that this member has not answered, from place `*at` (0 first) on;
   * NULL: there is none. */
  const LcFlowRound *lc_flow_search_unanswered (const LcFlowSearches *searches,
                                                const LcFlowSearchMember *member,
                                                uint32_t *at);
  /* The member knows all that its backend server holds, and none of the round's flows is among it
   * but those told to lc_flow_search_found or lc_flow_search_doubt before. */
  void lc_flow_search_answer (LcFlowSearches *searches,
                              uint32_t round,
                              const LcFlowSearchMember *member,
                              LcRevision membership,
                              int64_t now_us);
  /* The member can't say: it is asked no more in this round. */
  void lc_flow_search_cannot_say (LcFlowSearches *searches,
                                  uint32_t round,
                                  const LcFlowSearchMember *member);

  /* A flow that nobody holds, by its newest packet; false: there is none. */
  bool lc_flow_search_next_lost (LcFlowSearches *searches, LcPacket *packet);

#ifdef __cplusplus
}
#endif

#endif /* LC_FLOW_SEARCH_H */
