/* lc-candidates: which endpoints a packet visits, computed alike on every node.
 *
 * WHAT IT IS
 *   A service's candidate sets, compiled from a view for fast choice: the current set, then the
 *   former sets that have not settled.  For a flow the homes of a set are its first and second
 *   choice by weighted rendezvous hashing.  A packet's list holds the homes of the newest set
 *   first and those of the oldest set last, without repeats, and names the one endpoint that may
 *   assign a new flow: the first home of the oldest set.
 *
 * WHY THE OLDEST SET ASSIGNS
 *   While views differ, every balancer still knows the oldest unsettled set, so all of them name
 *   the same assigner, and a flow begun through two views at once gets one owner.
 *
 * HOW TO USE IT
 *     LcCandidateSets sets = { 0 };
 *     lc_candidate_sets_compile (&sets, lc_view_service (&view, id));
 *     LcCandidateList list;
 *     lc_candidates_pick (&sets, lc_flow_key_hash (&key), &list);
 *     lc_candidate_sets_finish (&sets);
 *
 * LIFETIME
 *   The sets own copies; the service may change afterwards.
 *
 * LIMITS
 *   Choice is O(endpoints of all sets).  At most LC_CANDIDATES_MAX entries: with more unsettled
 *   sets than fit, those between the newest and the oldest are left out, oldest of them first.
 */
#ifndef LC_CANDIDATES_H
#define LC_CANDIDATES_H

#include "core/lc-view.h"

#ifdef __cplusplus
extern "C"
{
#endif

  enum
  {
    LC_CANDIDATES_MAX = 14, /* entries of a list */
    LC_HOMES = 2,           /* of a set, for one flow */
    LC_CANDIDATE_SETS_MAX = 16,
  };

  /* One process at one address; the instance tells it from a later one. */
  typedef struct
  {
    LcEndpointId id;
    uint32_t ipv4;
    LcInstance instance;
    uint16_t port;
  } LcCandidate;

  typedef struct
  {
    LcCandidate candidate;
    uint64_t seed; /* of the endpoint's id */
    uint16_t weight_percent;
    LcDcId dc;
    uint8_t region;  /* lc_view_region; LC_REGION_NONE until lc_candidate_sets_place */
    bool is_suspect; /* it does not answer (lc-reach.h): not a home while there are others */
  } LcSetMember;

  typedef struct
  {
    LcRevision until_revision; /* UINT64_MAX: the current set */
    uint32_t first;            /* of `members` */
    uint32_t n;
    bool is_weighted; /* members differ in weight */
  } LcCandidateSet;

  typedef struct
  {
    LcServiceId service_id;
    LcRevision membership_revision;
    LcCandidateSet sets[LC_CANDIDATE_SETS_MAX]; /* newest first */
    uint32_t n_sets;
    LcSetMember *members; /* owned */
    uint32_t n_members;
  } LcCandidateSets;

  typedef struct
  {
    LcCandidate items[LC_CANDIDATES_MAX];
    uint8_t n;
    uint8_t n_current;   /* homes of the newest set: the list begins with them */
    uint8_t assigner;    /* index; counts when n > 0 */
    LcRevision set_rank; /* until_revision of the assigner's set: lower is older */
  } LcCandidateList;

  /* Replaces what the sets held.  Former members that the view knows to be gone are left out. */
  void lc_candidate_sets_compile (LcCandidateSets *sets, const LcService *service);
  /* Notes the regions of the members' data centres: before choices that are kept to regions. */
  void lc_candidate_sets_place (LcCandidateSets *sets, const LcView *view);
  void lc_candidate_sets_copy (LcCandidateSets *to, const LcCandidateSets *from);
  void lc_candidate_sets_finish (LcCandidateSets *sets);

  /* Of each set the homes in these regions. */
  void lc_candidates_pick (const LcCandidateSets *sets,
                           uint64_t key_hash,
                           LcRegionMask regions,
                           LcCandidateList *list);

  /* Homes of one set by choice; returns how many (at most LC_HOMES). */
  uint32_t lc_candidates_homes (const LcCandidateSets *sets,
                                uint32_t set,
                                uint64_t key_hash,
                                LcRegionMask regions,
                                const LcSetMember *homes[LC_HOMES]);

  /* Homes of the newest set for a flow whose packets come in at one data centre: the first choices
   * there, then those elsewhere.  Where the owner is found without a settled list (lc-flow-return),
   * they keep packets, pointers and flows inside the data centre. */
  uint32_t lc_candidates_near_homes (const LcCandidateSets *sets,
                                     uint64_t key_hash,
                                     LcDcId dc,
                                     LcRegionMask regions,
                                     const LcSetMember *homes[LC_HOMES]);

  static inline bool
  lc_candidate_equal (const LcCandidate *a, const LcCandidate *b)
  {
    return a->id == b->id && a->instance == b->instance;
  }

  /* Whether the view has settled on the current set. */
  static inline bool
  lc_candidate_sets_settled (const LcCandidateSets *sets)
  {
    return sets->n_sets <= 1;
  }

#ifdef __cplusplus
}
#endif

#endif /* LC_CANDIDATES_H */
