/* lc-control-json: JSON encoding of operators' requests and answers.
 *
 * WHAT IT IS
 *   Reads the bodies of POST /v1/plan, /v1/confirm and /v1/evacuate into commands; errors contain
 *   the path of a field that is unknown or out of range.  Writes plans, history and status.
 *
 * HOW TO USE IT
 *     lc_control_json_read_plan (&command, body, len, &error);     then lc_control_command_finish
 *     json_t *out = lc_control_json_plan (&state, plan);           then json_decref
 *   docs/protocol/control.md describes every field.
 */
#ifndef LC_CONTROL_JSON_H
#define LC_CONTROL_JSON_H

#include "core/control/lc-control-state.h"

#include <jansson.h>

int
lc_control_json_read_plan (LcControlCommand *command, const char *body, size_t len, LcError *error);
int lc_control_json_read_confirm (LcControlCommand *command,
                                  const char *body,
                                  size_t len,
                                  LcError *error);

int lc_control_json_read_evacuation (LcControlCommand *command,
                                     const char *body,
                                     size_t len,
                                     LcError *error);

json_t *lc_control_json_plan (const LcControlState *state, const LcPlan *plan);
/* Of the newest `max` entries those with a revision over `after`, oldest first. */
json_t *lc_control_json_history (const LcControlState *state, LcRevision after, uint32_t max);
json_t *lc_control_json_services (const LcControlState *state);
/* Per service: how many endpoints still take new work during evacuations, and of how many. */
json_t *lc_control_json_capacity (const LcControlState *state);
/* At most `max`, ordered by the names of their services. */
json_t *lc_control_json_endpoints (const LcControlState *state, uint32_t max);
json_t *lc_control_json_balancers (const LcControlState *state);
/* Confirmed plans that are not finished. */
json_t *lc_control_json_unfinished_plans (const LcControlState *state);

#endif /* LC_CONTROL_JSON_H */
