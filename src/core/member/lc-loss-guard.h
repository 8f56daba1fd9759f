/* lc-loss-guard: holds back mass losses, which are more often a network failure than deaths.
 *
 * WHAT IT IS
 *   When many endpoints or balancers are lost within a short time, a watcher or network that fails
 *   is more likely than so many deaths.  Removing them from the view would move all of their flows
 *   and overload the rest.  The guard holds such losses for a while; what is still reported when
 *   the hold ends passes, so that the death of a data centre needs no operator.  The last candidate
 *   of a service is never removed: without it nothing could serve the service, with it something
 *   might.
 *
 * HOW TO USE IT
 *     lc_loss_guard_init (&guard, &desc);
 *     switch (lc_loss_guard_check (&guard, &view, &change, now_us))
 *       case LC_LOSS_GUARD_PASS: propose it
 *       case LC_LOSS_GUARD_HOLD: drop it; the watcher reports it again
 *     lc_loss_guard_record (&guard, &op, now_us);     each committed operation
 *     lc_loss_guard_finish (&guard);
 *
 * LIFETIME
 *   Owns one small record per data centre and service with recent losses.
 */
#ifndef LC_LOSS_GUARD_H
#define LC_LOSS_GUARD_H

#include "lc-member-change.h"

#ifdef __cplusplus
extern "C"
{
#endif

  typedef struct
  {
    uint32_t share_percent; /* of a data centre's or service's members; 0: 50 */
    uint32_t min_losses;    /* fewer are never held; 0: 3 */
    uint32_t window_ms;     /* in which losses are counted; 0: 10 000 */
    uint32_t hold_ms;       /* 0: 20 000 */
  } LcLossGuardDesc;

  typedef enum
  {
    LC_LOSS_GUARD_PASS,
    LC_LOSS_GUARD_HOLD,
  } LcLossGuardVerdict;

  typedef struct
  {
    LcLossGuardDesc desc;
    GHashTable *last_endpoints; /* name of a held last endpoint -> LcLossGuardLast */
    GHashTable *groups;         /* (kind, id) -> LcLossGuardGroup */
    uint64_t held_total;
    uint64_t released_total;
    bool is_holding;
    int64_t holding_since_us;
    int64_t last_held_us;
    char holding_what[2 * LC_NAME_MAX]; /* for the status page */
  } LcLossGuard;

  void lc_loss_guard_init (LcLossGuard *guard, const LcLossGuardDesc *desc);
  void lc_loss_guard_finish (LcLossGuard *guard);
  LcLossGuardVerdict lc_loss_guard_check (LcLossGuard *guard,
                                          const LcView *view,
                                          const LcMemberChange *change,
                                          int64_t now_us);
  void lc_loss_guard_record (LcLossGuard *guard, const LcViewOp *op, int64_t now_us);
  /* Counts the last endpoints of services whose loss has been reported without a gap and held for
   * longer than hold_ms: settling doesn't wait for them. */
  uint32_t lc_loss_guard_count_exempt (const LcLossGuard *guard, int64_t now_us);
  /* Whether a loss was held within the last two seconds. */
  bool lc_loss_guard_is_holding (const LcLossGuard *guard, int64_t now_us);

#ifdef __cplusplus
}
#endif

#endif /* LC_LOSS_GUARD_H */
