/* lc-control-plan: a dry run of an intent: its view operations, steps and safety checks.
 *
 * WHAT IT IS
 *   Computes the view operations of an intent against the current state, and the texts that a plan
 *   shows.  Planning discards the operations, confirming computes them again and applies them.
 *
 * HOW TO USE IT
 *     LcPlanBuilder builder;
 *     lc_plan_builder_init (&builder, &state);
 *     r = lc_plan_builder_run (&builder, &intent, &error);     LC_ERR_REFUSED: unsafe
 *     builder.ops, builder.steps, builder.breaks ...
 *     lc_plan_builder_finish (&builder);
 */
#ifndef LC_CONTROL_PLAN_H
#define LC_CONTROL_PLAN_H

#include "lc-control-state.h"

typedef struct
{
  const LcControlState *state;
  GArray *ops;        /* LcViewOp, revision unset */
  GString *steps;     /* one per line */
  GString *breaks;    /* what would break, one per line */
  uint32_t n_moved;   /* endpoints that stop taking new work */
  uint32_t n_emptied; /* services left without an endpoint */
  uint32_t n_cut;     /* removed addresses, whose flows are cut */
  uint32_t next_service_id;
  uint32_t next_dc_id;
  uint32_t next_route_id;
  GHashTable *addresses_by_service; /* service id -> GArray of LcAddress; NULL: not built */
  GHashTable *routes_by_service;    /* service id -> GArray of LcRoute */
  GHashTable *routes_by_key;        /* lc_plan__route_key -> LcRoute of the view */
  const char *drain_target;         /* endpoint to drain or undrain, or NULL */
  bool sets_drain;
  bool replaces_control;
  bool waits_for_flows;
} LcPlanBuilder;

void lc_plan_builder_init (LcPlanBuilder *builder, const LcControlState *state);
void lc_plan_builder_finish (LcPlanBuilder *builder);
int lc_plan_builder_run (LcPlanBuilder *builder, const LcIntent *intent, LcError *error);
/* Whether it changes nothing. */
bool lc_plan_builder_is_empty (const LcPlanBuilder *builder);

#endif /* LC_CONTROL_PLAN_H */
