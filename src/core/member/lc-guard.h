/* lc-guard: holds back mass losses, which are more often a network failure than deaths.
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
 *     lc_guard_init (&guard, &desc);
 *     switch (lc_guard_check (&guard, &view, &change, now_us))
 *       case LC_GUARD_PASS: propose it
 *       case LC_GUARD_HOLD: drop it; the watcher reports it again
 *     lc_guard_note (&guard, &op, now_us);     each committed operation
 *     lc_guard_finish (&guard);
 *
 * LIFETIME
 *   Owns one small record per data centre and service with recent losses.
 */
#ifndef LC_GUARD_H
#define LC_GUARD_H

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
  } LcGuardDesc;

  typedef enum
  {
    LC_GUARD_PASS,
    LC_GUARD_HOLD,
  } LcGuardVerdict;

  typedef struct
  {
    LcGuardDesc desc;
    GHashTable *last_endpoints; /* name of a held last endpoint -> LcGuardLast */
    GHashTable *groups;         /* (kind, id) -> LcGuardGroup */
    uint64_t held_total;
    uint64_t released_total;
    bool is_holding;
    int64_t holding_since_us;
    int64_t last_held_us;
    char holding_what[2 * LC_NAME_MAX]; /* for the status page */
  } LcGuard;

  void lc_guard_init (LcGuard *guard, const LcGuardDesc *desc);
  void lc_guard_finish (LcGuard *guard);
  LcGuardVerdict
  lc_guard_check (LcGuard *guard, const LcView *view, const LcMemberChange *change, int64_t now_us);
  void lc_guard_note (LcGuard *guard, const LcViewOp *op, int64_t now_us);
  /* Counts the last endpoints of services whose loss has been reported without a gap and held for
   * longer than hold_ms: settling doesn't wait for them. */
  uint32_t lc_guard_n_excused (const LcGuard *guard, int64_t now_us);
  /* Whether a loss was held within the last two seconds. */
  bool lc_guard_is_holding (const LcGuard *guard, int64_t now_us);

#ifdef __cplusplus
}
#endif

#endif /* LC_GUARD_H */
