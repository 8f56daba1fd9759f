/* lc-control-json: operators' requests and answers as JSON.
 *
 * WHAT IT IS
 *   Reads the bodies of POST /v1/plan, /v1/confirm and /v1/evacuate into commands, naming the place
 * of anything unknown or out of range, and writes plans, history and status.
 *
 * HOW TO USE IT
 *     lc_control_json_read_plan (&command, body, len, &error);     then lc_control_command_finish
 *     json_t *plan = lc_control_json_plan (&state, plan);          json_decref it
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
/* The newest `max` entries whose revision is over `after`, oldest first. */
json_t *lc_control_json_history (const LcControlState *state, LcRevision after, uint32_t max);
json_t *lc_control_json_services (const LcControlState *state);
/* Of each service how many endpoints take new work, of how many: what evacuations leave. */
json_t *lc_control_json_left (const LcControlState *state);
/* At most `max` endpoints, by name order of their services. */
json_t *lc_control_json_endpoints (const LcControlState *state, uint32_t max);
json_t *lc_control_json_balancers (const LcControlState *state);
/* Confirmed plans whose work is not done. */
json_t *lc_control_json_work (const LcControlState *state);

#endif /* LC_CONTROL_JSON_H */
