/* lc-scope: filters the view to the part that a subscriber needs.
 *
 * WHAT IT IS
 *   A balancer needs the whole view.  An agent needs its own service with its endpoints and former
 *   sets, those of its addresses that have homes, the balancers of its own data centre, and the
 *   data centres; it gets no other service, no other address and no route.  A relay filters
 *   operations and snapshots by the scope.
 *
 * HOW TO USE IT
 *     LcScope scope = { .is_scoped = true, .service = "order-desk", .data_centre = "hall-atl" };
 *     lc_scope_resolve (&scope, &view);       names to ids, before anything is sent
 *     if (lc_scope_includes (&scope, &op)) ...   in order, as operations may update the ids
 *     lc_scope_snapshot (&scope, &view, each, user);
 *
 * LIFETIME
 *   A plain value.
 */
#ifndef LC_SCOPE_H
#define LC_SCOPE_H

#include "core/lc-view.h"

#ifdef __cplusplus
extern "C"
{
#endif

  typedef struct
  {
    bool is_scoped; /* false: the whole view */
    LcServiceId service_id;
    LcDcId dc_id;
    char service[LC_NAME_MAX];
    char data_centre[LC_NAME_MAX];
  } LcScope;

  void lc_scope_resolve (LcScope *scope, const LcView *view);
  bool lc_scope_includes (LcScope *scope, const LcViewOp *op);
  void lc_scope_snapshot (const LcScope *scope, const LcView *view, LcViewEach each, void *user);
  /* Size of a snapshot in operations, to compare it with a delta. */
  size_t lc_scope_snapshot_ops (const LcScope *scope, const LcView *view);

#ifdef __cplusplus
}
#endif

#endif /* LC_SCOPE_H */
