/* lc-pick: load balancing policy: picks the endpoint for the next attempt.
 *
 * WHAT IT IS
 *   Power of d choices: a few endpoints are drawn at random and the lowest score wins.  The score
 *   estimates, in microseconds, when a request would end there, from this balancer's outstanding
 *   attempts, the load of other balancers by the agent's newest report (decaying with age), its
 *   slots, slow start, shed requests and the distance to its data centre.  Endpoints of the own
 *   data centre score lower until their slots are taken, then requests spill over.  Ejected
 *   endpoints, and silent ones with open attempts, are avoided while at least half are left.
 *
 * HOW TO USE IT
 *     lc_pick_init (&pick, &(LcPickDesc){ .own_dc = dc });
 *     lc_pick_set_service (&pick, lc_view_service (view, id), now_us);    after each view change
 *     LcPickTarget *t = lc_pick_choose (&pick, random, tried, n_tried, now_us);
 *     lc_pick_begin_attempt (t, now_us);   when it is sent; lc_pick_end_attempt (t) when it ends
 *     lc_pick_apply_report (&pick, instance, &report, now_us);
 *
 * LIFETIME
 *   Owns its table; pointers are valid until the next lc_pick_set_service.
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
    uint32_t choices;     /* drawn per pick; 0: all of up to 8, else 4 */
    int64_t distance_us;  /* penalty of other data centres; 0: 2 ms */
    int64_t half_life_us; /* of reported load; 0: 250 ms */
    int64_t ramp_us;      /* length of slow start; 0: 10 s */
    int64_t silence_us;   /* without a message while attempts are open; 0: 100 ms */
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
    uint32_t outstanding; /* this balancer's open attempts */
    uint32_t others_load; /* other balancers' requests by the newest report */
    int64_t last_report_us;
    int64_t service_us;      /* 0: not reported yet */
    int64_t joined_us;       /* begin of slow start; 0: none */
    int64_t last_message_us; /* last message, or first attempt sent after none were open */
    uint32_t shed_share;     /* smoothed share of attempts shed by its backend server, in 1/256 */
    bool is_draining;
    bool is_evacuated;     /* its data centre is evacuated */
    bool is_reachable;     /* its link is up or was never tried */
    int64_t connecting_us; /* when connecting began; 0: not connecting */
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

  /* Sets the service's candidates; the state of instances that stay is kept. */
  void lc_pick_set_service (LcPick *pick, const LcService *service, int64_t now_us);

  /* Marks the endpoints of evacuated data centres: none of them is chosen. */
  void lc_pick_set_evacuated (LcPick *pick, const LcView *view);

  void lc_pick_begin_attempt (LcPickTarget *target, int64_t now_us);
  void lc_pick_end_attempt (LcPickTarget *target);

  /* Records whether an attempt was shed by the backend server. */
  void lc_pick_record_shed (LcPickTarget *target, bool is_shed);

  LcPickTarget *lc_pick_find (LcPick *pick, LcInstance instance);

  void lc_pick_apply_report (LcPick *pick,
                             LcInstance instance,
                             const LcPickReport *report,
                             int64_t now_us);

  /* The score of one endpoint, in microseconds; lower is better. */
  int64_t lc_pick_score (const LcPick *pick, const LcPickTarget *target, int64_t now_us);

  /* Whether an attempt sent now would wait for a slot. */
  bool lc_pick_is_full (const LcPick *pick, const LcPickTarget *target, int64_t now_us);

  /* An attempt could not be sent because its link is still connecting. */
  void lc_pick_set_connecting (LcPickTarget *target, int64_t now_us);

  /* Whether the link began to connect less than 100 ms ago. */
  bool lc_pick_is_connecting (const LcPickTarget *target, int64_t now_us);

  /* The link is up; or it is lost or could not connect. */
  void lc_pick_set_reachable (LcPickTarget *target, bool is_reachable);

  /* Picks an endpoint, drawing with `random`; skips tried, unreachable, draining, evacuated and
   * avoided ones; NULL when none is left. */
  LcPickTarget *lc_pick_choose (
      LcPick *pick, uint64_t random, const LcInstance *tried, uint32_t n_tried, int64_t now_us);

#ifdef __cplusplus
}
#endif

#endif /* LC_PICK_H */
