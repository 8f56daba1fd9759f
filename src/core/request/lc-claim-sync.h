/* lc-claim-sync: state transfer of claims when a service's membership changes.
 *
 * WHAT IT IS
 *   An era is the time during which a service's candidate set does not change; its name is the
 *   membership revision that began it.  A claim carries its owner's era, and a home grants claims
 *   of its own newest era only.  When an era begins, an agent becomes home of keys whose claims
 *   are recorded elsewhere; before it may grant any it reads them from members of the previous era.
 *
 * THE RULE
 *   An agent is `complete` at an era when it holds, for each key of which it is a home
 *   there, every claim that was granted by all homes under an earlier era.  It advances one era at
 *   a time.  For a key that it homes at era E it needs one source:
 *     - a home of that key in the set before E, possibly itself, that was complete there and has
 *       applied E or later when it answers, so that it grants nothing more under the earlier era;
 *     - or another home of that key at E that is complete at E already.
 *   A claim needs all homes of its era, so one such source holds every claim of that key that may
 *   have run.  An agent that skipped eras still goes through each of them, because a set of homes
 *   can return while one of its members missed the claims between.
 *   When too many members of the previous set are gone, the step ends after `lost_after_us`: by
 *   then every request claimed there has passed its deadline, and only a later resend can run
 *   again.  lost_total counts this.  While the view still shows a member that could answer, even a
 *   slow or disconnected one, the step waits.  Sets that are lost one after another are waited for
 *   together: the time counts from when the view lost the last of the missing members, because a
 *   claim needs them all and so was granted before that.
 *
 * HOW TO USE IT
 *     lc_claim_sync_init (&sync, &(LcClaimSyncDesc){ .self = me });
 *     lc_claim_sync_set_service (&sync, lc_view_service (view, id), now_us); after each view change
 *     n = lc_claim_sync_missing (&sync, members, max);         members to read from, if any
 *     lc_claim_sync_add_source (&sync, &source, now_us);                   a read has ended
 *     lc_claim_sync_tick (&sync, now_us);                              regularly
 *     lc_claim_sync_may_grant (&sync, key)                                 may a claim be granted?
 *
 * LIFETIME
 *   Owns its copies of the candidate sets.
 *
 * LIMITS
 *   A step reads from every member: its messages grow with the square of a service's endpoints.
 *
 * AFTER A RESTART
 *   A process that has persisted its claims and its state (lc_claim_sync_progress) continues as its
 *   earlier incarnations as well as the present one: it holds their claims, and they grant nothing
 *   more.  The caller makes sure that the resumed claims are complete and the earlier process has
 *   ended.
 */
#ifndef LC_CLAIM_SYNC_H
#define LC_CLAIM_SYNC_H

#include "core/lc-view.h"
#include "lc-claim-homes.h"

#ifdef __cplusplus
extern "C"
{
#endif

  typedef struct
  {
    LcMemberRef self;
    int64_t lost_after_us; /* 0: 65 s, five more than the longest deadline */
  } LcClaimSyncDesc;

  /* The members of one era. */
  typedef struct
  {
    LcRevision since;
    LcMemberRef *members; /* owned */
    uint32_t n_members;
    int64_t lost_us; /* when the view last lost one of them; 0: none is lost */
  } LcClaimMembers;

  /* A live member that has reported that it waits for lost members until `until_us`. */
  typedef struct
  {
    LcMemberRef member;
    int64_t until_us;
  } LcClaimWaitingMember;

  enum
  {
    /* restarts within the time that claims are kept; older ones are dropped */
    LC_CLAIM_SYNC_MAX_INCARNATIONS = 16,
  };

  /* What a process must persist besides its claims to resume after a restart. */
  typedef struct
  {
    LcMemberRef incarnations[LC_CLAIM_SYNC_MAX_INCARNATIONS]; /* the present one first */
    uint32_t n_incarnations;
    LcRevision complete; /* as in LcClaimSync */
    LcRevision complete_from;
  } LcClaimProgress;

  typedef struct
  {
    LcClaimSyncDesc desc;
    LcMemberRef earlier[LC_CLAIM_SYNC_MAX_INCARNATIONS]; /* incarnations before restarts */
    uint32_t n_earlier;
    GArray *sets;             /* LcClaimMembers, oldest first; the last is the present era */
    LcRevision complete;      /* newest era at which this agent is complete; 0: none */
    LcRevision complete_from; /* complete at every era since this one */
    GArray *alive;            /* LcMemberRef: members in the view that are not lost */
    GArray *sources;          /* LcMemberRef: members read from in the present step */
    GArray *stalled;          /* LcClaimWaitingMember, of the present step */
    GArray *of_previous; /* gboolean for each source: of the previous set, else of the target */
    int64_t step_since_us;
    uint64_t lost_total;
  } LcClaimSync;

  void lc_claim_sync_init (LcClaimSync *sync, const LcClaimSyncDesc *desc);
  void lc_claim_sync_finish (LcClaimSync *sync);

  /* Restores the state that an earlier process persisted; call it right after init. */
  void lc_claim_sync_resume (LcClaimSync *sync, const LcClaimProgress *state);

  /* The state to persist for a restart. */
  void lc_claim_sync_progress (const LcClaimSync *sync, LcClaimProgress *state);
  bool lc_claim_progress_equal (const LcClaimProgress *a, const LcClaimProgress *b);

  /* Sets the candidate sets of the newest view; `service` is NULL when it was removed. */
  void lc_claim_sync_set_service (LcClaimSync *sync, const LcService *service, int64_t now_us);

  /* The revision of the present era; 0 before the first. */
  LcRevision lc_claim_sync_present_era (const LcClaimSync *sync);

  /* The members of the present era. */
  const LcClaimMembers *lc_claim_sync_present_members (const LcClaimSync *sync);

  /* The era that is being read for; 0 when this agent is complete. */
  LcRevision lc_claim_sync_target_era (const LcClaimSync *sync);

  /* The members of an era; NULL when the view no longer has it. */
  const LcClaimMembers *lc_claim_sync_find_members (const LcClaimSync *sync, LcRevision since);

  /* The number of members in all sets: an upper bound for lc_claim_sync_missing. */
  uint32_t lc_claim_sync_count_members (const LcClaimSync *sync);

  /* Writes the members that the present step still has to read from. */
  uint32_t lc_claim_sync_missing (const LcClaimSync *sync, LcMemberRef *out, uint32_t max);

  /* The state that a member reports with its claims. */
  typedef struct
  {
    LcMemberRef member;
    LcRevision target_era;    /* the target era of the read, by which it chose its records */
    LcRevision era;           /* newest era that it has applied */
    LcRevision complete;      /* newest era at which it is complete */
    LcRevision complete_from; /* complete at every era since this one */
    int64_t lost_for_us;      /* it waits for lost members so long; 0: not, or not known */
  } LcClaimSource;

  /* All records of one member have arrived. */
  void lc_claim_sync_add_source (LcClaimSync *sync, const LcClaimSource *source, int64_t now_us);

  /* Ends a step whose missing sources are lost for good. */
  void lc_claim_sync_tick (LcClaimSync *sync, int64_t now_us);

  /* Whether this agent is a home of `key` and holds all of its earlier claims. */
  bool lc_claim_sync_may_grant (const LcClaimSync *sync, LcRequestKey key);

  /* How long claims of `key` can't be granted because every source is lost or itself waits for
   * lost members.  0: they can be granted now, or as soon as a source answers. */
  int64_t
  lc_claim_sync_key_unavailable_us (const LcClaimSync *sync, LcRequestKey key, int64_t now_us);

  /* The same for the present step, whatever the key: a member reports it when it is read. */
  int64_t lc_claim_sync_unavailable_us (const LcClaimSync *sync, int64_t now_us);

#ifdef __cplusplus
}
#endif

#endif /* LC_CLAIM_SYNC_H */
