/* lc-control-plan-private: internal functions shared by the source files of lc-control-plan.
 *
 *   lc-control-plan.c     drains, data centres, control VMs, safety
 *   lc-control-declare.c  declarations: the difference to the current view
 */
#ifndef LC_CONTROL_PLAN_PRIVATE_H
#define LC_CONTROL_PLAN_PRIVATE_H

#include "lc-control-plan.h"

#include "lc-control-private.h"

/* Appends a line to the steps or breaks. */
void lc_plan__add_line (GString *lines, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));
/* Appends an empty operation; the pointer is valid until the next one is added. */
LcViewOp *lc_plan__add_op (LcPlanBuilder *builder, LcViewOpKind kind);
/* Sets LC_ERR_NOT_FOUND for an object of the kind `what`. */
int lc_plan__set_not_found (const char *what, const char *name, LcError *error);
int lc_plan__declare (LcPlanBuilder *builder, const LcIntent *intent, LcError *error);

#endif /* LC_CONTROL_PLAN_PRIVATE_H */
