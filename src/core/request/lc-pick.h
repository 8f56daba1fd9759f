/* lc-pick: which endpoint of a service gets the next attempt.
 *
 * WHAT IT IS
 *   A score in microseconds for each endpoint: the time until a request would end there, from this
 *   balancer's own outstanding attempts, the agent's newest report less what of it was our own
 *   (discounted by age), its slots, the ramp of a cold start, and the distance to its data centre.
 *   A few endpoints are drawn at random (power of choices) and the lowest score wins; endpoints of
 *   the own data centre have the lower score until their slots are taken, then work spills over.
 *   An endpoint that sheds scores worse; one that has open attempts and says nothing is avoided
 *   while at least half of the others are left.
 *
 * HOW TO USE IT
 *     lc_pick_init (&pick, &(LcPickDesc){ .own_dc = dc });
 *     lc_pick_set (&pick, lc_view_service (view, id), now_us);    after each view change
 *     LcPickTarget *t = lc_pick_choose (&pick, random, tried, n_tried, now_us);
 *     lc_pick_begin (t, now_us) when the attempt is sent, lc_pick_end (t) when it ends
 *     lc_pick_report (&pick, instance, &report, now_us);
 *
 * LIFETIME
 *   Owns its table; pointers are valid until the next lc_pick_set.
 */
#ifndef LC_PICK_H
#define LC_PICK_H

#include "core/lc-view.h"
#include "lc-outlier.h"
#include "lc-request-id.h"

#ifdef __cplusplus
extern "C"
{
#endif

  typedef struct
  {
    LcDcId own_dc;
    uint32_t choices;     /* drawn for each pick; 0: all up to 8, then 4 */
    int64_t distance_us;  /* added for another data centre; 0: 2 ms */
    int64_t half_life_us; /* of a report; 0: 250 ms */
    int64_t ramp_us;      /* of a cold start; 0: 10 s */
    int64_t silence_us;   /* with attempts open it is avoided after this; 0: 100 ms */
    LcOutlierDesc outlier;
  } LcPickDesc;

  typedef struct
  {
    uint32_t running;
    uint32_t queued;
    uint32_t limit;
    int64_t service_us;
    bool is_draining;
  } LcPickReport;

  typedef struct
  {
    LcMemberRef ref;
    LcDcId dc;
    uint32_t ipv4;
    uint16_t peer_port;
    uint32_t slots;
    uint32_t weight_percent;
    uint32_t outstanding; /* our own attempts there */
    uint32_t others;      /* by the newest report: what was not our own */
    int64_t reported_us;
    int64_t service_us; /* 0: not reported yet */
    int64_t joined_us;  /* first seen; 0 when it was there from the start */
    int64_t heard_us;   /* last message from it, or first attempt sent since */
    uint32_t refusals;  /* smoothed share of attempts that its backend server shed, in 1/256 */
    bool is_draining;
    bool is_evacuated;     /* its data centre is */
    bool is_reachable;     /* its link is up, or not yet tried */
    int64_t connecting_us; /* its link was first asked for then and is being made; 0: it is not */
    LcOutlier outlier;
  } LcPickTarget;

  typedef struct
  {
    LcPickDesc desc;
    LcPickTarget *targets; /* owned */
    uint32_t n_targets;
    bool has_view;
  } LcPick;

  void lc_pick_init (LcPick *pick, const LcPickDesc *desc);
  void lc_pick_finish (LcPick *pick);

  /* Takes the service's candidates; what is known of an instance that stays is kept. */
  void lc_pick_set (LcPick *pick, const LcService *service, int64_t now_us);

  /* Marks the endpoints whose data centres the view has as evacuated: none of them is chosen. */
  void lc_pick_set_evacuated (LcPick *pick, const LcView *view);

  void lc_pick_begin (LcPickTarget *target, int64_t now_us);
  void lc_pick_end (LcPickTarget *target);

  /* How an attempt ended there: shed by the backend server, or not. */
  void lc_pick_note (LcPickTarget *target, bool is_shed);

  LcPickTarget *lc_pick_find (LcPick *pick, LcInstance instance);

  void
  lc_pick_report (LcPick *pick, LcInstance instance, const LcPickReport *report, int64_t now_us);

  /* The score of one endpoint, in microseconds; lower is better. */
  int64_t lc_pick_score (const LcPick *pick, const LcPickTarget *target, int64_t now_us);

  /* Whether an attempt sent there now would wait for a slot. */
  bool lc_pick_is_full (const LcPick *pick, const LcPickTarget *target, int64_t now_us);

  /* An attempt could not be sent, since there is no link yet; one is being made. */
  void lc_pick_connect (LcPickTarget *target, int64_t now_us);

  /* Whether the link is being made and may be up within moments. */
  bool lc_pick_is_connecting (const LcPickTarget *target, int64_t now_us);

  /* The link is up, or lost, or could not be made. */
  void lc_pick_set_reachable (LcPickTarget *target, bool is_reachable);

  /* Draws with `random`; skips the instances tried before, unreachable, draining and ejected ones;
   * NULL when none is left. */
  LcPickTarget *lc_pick_choose (
      LcPick *pick, uint64_t random, const LcInstance *tried, uint32_t n_tried, int64_t now_us);

#ifdef __cplusplus
}
#endif

#endif /* LC_PICK_H */
