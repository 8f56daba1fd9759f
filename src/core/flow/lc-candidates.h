/* lc-candidates: weighted rendezvous hashing of flows over the endpoints of a service.
 *
 * WHAT IT IS
 *   A service's candidate sets, compiled from a view: the current set, then the former sets that
 *   have not settled (some balancer may still use them).  A flow's homes are the two best endpoints
 *   of a set, alike on all VMs with the same view; they hold the pointer to its owner.  A packet's
 *   list has the homes of the newest set first and those of the oldest set last, without repeats,
 *   and names the one endpoint that may assign a new flow: the first home of the oldest set.
 *
 * WHY THE OLDEST SET ASSIGNS
 *   While views differ, every balancer still has the oldest unsettled set, so all of them name the
 *   same assigner, and a flow opened through two views at once gets one owner.
 *
 * HOW TO USE IT
 *     LcCandidateSets sets = { 0 };
 *     lc_candidate_sets_compile (&sets, lc_view_service (&view, id));
 *     LcCandidateList list;
 *     lc_candidate_sets_set_regions (&sets, &view);
 *     lc_candidates_pick (&sets, lc_flow_key_hash (&key), LC_REGIONS_ALL, &list);
 *     lc_candidate_sets_finish (&sets);
 *
 * LIFETIME
 *   The sets own copies; the service may change afterwards.
 *
 * LIMITS
 *   A choice is O(endpoints of all sets).  At most LC_CANDIDATES_MAX entries: with more unsettled
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
    LC_HOMES = 2,           /* per flow and set */
    LC_CANDIDATE_SETS_MAX = 16,
  };

  /* One agent process.  The instance differs from that of a later process at the same address. */
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
    uint64_t seed; /* hash of the endpoint's id */
    uint16_t weight_percent;
    LcDcId dc;
    uint8_t region;  /* lc_view_region; LC_REGION_NONE until lc_candidate_sets_set_regions */
    bool is_suspect; /* by lc-probe-detector.h: a home only if others are too few */
  } LcSetMember;

  typedef struct
  {
    LcRevision until_revision; /* UINT64_MAX: the current set */
    uint32_t first;            /* index into `members` */
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
    uint8_t assigner;    /* index; valid if n > 0 */
    LcRevision set_rank; /* until_revision of the assigner's set: lower is older */
  } LcCandidateList;

  /* Replaces the sets.  Former members that are gone from the service are left out. */
  void lc_candidate_sets_compile (LcCandidateSets *sets, const LcService *service);
  /* Sets the members' regions: required before a choice that is kept to regions. */
  void lc_candidate_sets_set_regions (LcCandidateSets *sets, const LcView *view);
  void lc_candidate_sets_copy (LcCandidateSets *to, const LcCandidateSets *from);
  void lc_candidate_sets_finish (LcCandidateSets *sets);

  /* Lists the homes, in these regions, of each set. */
  void lc_candidates_pick (const LcCandidateSets *sets,
                           uint64_t key_hash,
                           LcRegionMask regions,
                           LcCandidateList *list);

  /* Homes in one set, highest score first; returns how many (at most LC_HOMES). */
  uint32_t lc_candidates_homes (const LcCandidateSets *sets,
                                uint32_t set,
                                uint64_t key_hash,
                                LcRegionMask regions,
                                const LcSetMember *homes[LC_HOMES]);

  /* Homes in the newest set for a flow whose packets come in at `dc`: endpoints there first, then
   * others, suspect ones last.  Where the owner is found without a settled list (lc-flow-return),
   * packets, pointers and flows stay inside the data centre. */
  uint32_t lc_candidates_local_homes (const LcCandidateSets *sets,
                                      uint64_t key_hash,
                                      LcDcId dc,
                                      LcRegionMask regions,
                                      const LcSetMember *homes[LC_HOMES]);

  static inline bool
  lc_candidate_equal (const LcCandidate *a, const LcCandidate *b)
  {
    return a->id == b->id && a->instance == b->instance;
  }

  /* Whether every balancer uses the current set. */
  static inline bool
  lc_candidate_sets_settled (const LcCandidateSets *sets)
  {
    return sets->n_sets <= 1;
  }

#ifdef __cplusplus
}
#endif

#endif /* LC_CANDIDATES_H */
