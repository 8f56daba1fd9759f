/* lc-claim-era: whether this agent knows every claim that it must know.
 *
 * WHAT IT IS
 *   An era is the time during which a service's candidate set stays as it is; it is named by the
 *   membership revision that began it.  A claim names its owner's era, and a home grants only
 *   claims of its own newest era.  When an era begins, an agent becomes home of keys whose claims
 *   others have recorded; before it may grant any it reads them from members of the era before.
 *
 * THE RULE
 *   An agent is `whole` at an era when it knows, for each key of which it is a home there, every
 *   claim that was granted by all homes under an earlier era.  It advances one era at a time.  For
 *   a key that it homes at era E it needs one source:
 *     - a home of that key in the set before E that was whole there and has applied E or later
 *       when it answers (so it grants nothing under the earlier era from then on), possibly
 *       itself; or
 *     - another home of that key at E that is whole at E already.
 *   A claim needs all homes of its era, so one such source knows every claim of that key that may
 *   have run.  Eras that an agent jumped over are walked through all the same, because sets of
 *   homes can come back while one member missed the claims between.
 *   When too many members of a former set are gone, the step ends after `lost_after_us`: by then
 *   every request claimed there has passed its deadline, and only a later resend can run again.
 *   This is counted in lost_total.  It does not happen while the view still shows a member that
 *   could answer: a slow or cut-off one is waited for.  Sets that are lost one after the other are
 *   waited for together: the time counts from when the view lost the last of the members that are
 *   missing.  What only missing members know was claimed before that, since a claim needs them all.
 *
 * HOW TO USE IT
 *     lc_claim_era_init (&era, &(LcClaimEraDesc){ .self = me });
 *     lc_claim_era_set (&era, lc_view_service (view, id), now_us);   after each view change
 *     n = lc_claim_era_wanted (&era, now_us, members, max);          whom to read from, if any
 *     lc_claim_era_source (&era, &source, now_us);                   a read has ended
 *     lc_claim_era_knows (&era, key)                                 may a claim be granted?
 *
 * LIFETIME
 *   Owns its copies of the candidate sets.
 *
 * LIMITS
 *   A step asks every member: its messages grow with the square of a service's endpoints.
 *
 * AFTER A RESTART
 *   A process that has kept its claims and its state (lc_claim_era_state) goes on as the members
 *   that it was before as well as the one that it is now: it knows what they knew, and they grant
 *   nothing any more.  The caller makes sure that what is resumed is whole, and that the earlier
 *   process has ended.
 */
#ifndef LC_CLAIM_ERA_H
#define LC_CLAIM_ERA_H

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
  } LcClaimEraDesc;

  typedef struct
  {
    LcRevision since;
    LcMemberRef *members; /* owned */
    uint32_t n_members;
    int64_t lost_us; /* when the view last lost one of them; 0: it shows all */
  } LcClaimSet;

  typedef struct
  {
    LcMemberRef member;
    int64_t until_us;
  } LcClaimStalled;

  enum
  {
    LC_CLAIM_ERA_MAX_SELVES =
        16, /* restarts within the time that claims are kept; more are forgotten */
  };

  /* What a process must keep besides its claims to go on after a restart. */
  typedef struct
  {
    LcMemberRef selves[LC_CLAIM_ERA_MAX_SELVES]; /* the present member first, then earlier ones */
    uint32_t n_selves;
    LcRevision whole;
    LcRevision whole_from;
  } LcClaimEraState;

  typedef struct
  {
    LcClaimEraDesc desc;
    LcMemberRef earlier[LC_CLAIM_ERA_MAX_SELVES]; /* members that this process was before */
    uint32_t n_earlier;
    GArray *sets;          /* LcClaimSet, oldest first; the last one is the present era */
    LcRevision whole;      /* 0: nothing is known yet */
    LcRevision whole_from; /* and at every era since this one */
    GArray *alive;         /* LcMemberRef of the view that are not lost */
    GArray *sources;       /* LcMemberRef that have answered in the present step */
    GArray *stalled; /* LcClaimStalled: members that live and can't tell in the present step */
    GArray *before;  /* gboolean for each: as a member of the set before (else of the era itself) */
    int64_t step_since_us;
    uint64_t lost_total;
  } LcClaimEra;

  void lc_claim_era_init (LcClaimEra *era, const LcClaimEraDesc *desc);
  void lc_claim_era_finish (LcClaimEra *era);

  /* Goes on from what an earlier process kept; call it right after init. */
  void lc_claim_era_resume (LcClaimEra *era, const LcClaimEraState *state);

  /* What to keep for a restart. */
  void lc_claim_era_state (const LcClaimEra *era, LcClaimEraState *state);
  bool lc_claim_era_state_equal (const LcClaimEraState *a, const LcClaimEraState *b);

  /* Takes the candidate sets of the newest view; `service` may be NULL (removed). */
  void lc_claim_era_set (LcClaimEra *era, const LcService *service, int64_t now_us);

  /* The present era: 0 before any. */
  LcRevision lc_claim_era_now (const LcClaimEra *era);

  /* The members of the present era. */
  const LcClaimSet *lc_claim_era_present (const LcClaimEra *era);

  /* The era that the present step leads to; 0 when nothing is left to do. */
  LcRevision lc_claim_era_target (const LcClaimEra *era);

  /* The set of an era that is still remembered, or NULL. */
  const LcClaimSet *lc_claim_era_find (const LcClaimEra *era, LcRevision since);

  /* Members of all sets together: room for lc_claim_era_wanted. */
  uint32_t lc_claim_era_n_members (const LcClaimEra *era);

  /* Members to read from in the present step that have not answered yet. */
  uint32_t lc_claim_era_wanted (const LcClaimEra *era, LcMemberRef *out, uint32_t max);

  /* What a member said of itself when it began to answer. */
  typedef struct
  {
    LcMemberRef member;
    LcRevision asked;      /* the step's target when it was asked: it chose its records by that */
    LcRevision era;        /* it has applied this */
    LcRevision whole;      /* it is whole at this era */
    LcRevision whole_from; /* and was at every one since this */
    int64_t lost_for_us;   /* it can't know more before that; 0: soon, or not known */
  } LcClaimSource;

  /* A member has sent all it knows. */
  void lc_claim_era_source (LcClaimEra *era, const LcClaimSource *source, int64_t now_us);

  /* Ends a step whose sources are gone for good.  Call it now and then. */
  void lc_claim_era_tick (LcClaimEra *era, int64_t now_us);

  /* Whether this agent may answer for `key` in the present era. */
  bool lc_claim_era_knows (const LcClaimEra *era, LcRequestKey key);

  /* For how long it can't, because nobody is left who could tell what was claimed, or those who
   * are left wait for that themselves, in us.  0: it may answer now, or as soon as somebody has
   * told.
   */
  int64_t lc_claim_era_lost_for_us (const LcClaimEra *era, LcRequestKey key, int64_t now_us);

  /* The same of the present step, whatever the key: what a member says of itself when it is read.
   */
  int64_t lc_claim_era_stalled_for_us (const LcClaimEra *era, int64_t now_us);

#ifdef __cplusplus
}
#endif

#endif /* LC_CLAIM_ERA_H */
