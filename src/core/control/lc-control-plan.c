#include "lc-control-plan-private.h"

#include <string.h>

/* === public: lifetime ======================================================================= */

void
lc_plan_builder_init (LcPlanBuilder *builder, const LcControlState *state)
{
  memset (builder, 0, sizeof *builder);
  builder->state = state;
  builder->ops = g_array_new (FALSE, TRUE, sizeof (LcViewOp));
  builder->steps = g_string_new (NULL);
  builder->breaks = g_string_new (NULL);
  builder->next_service_id = state->next_service_id;
  builder->next_dc_id = state->next_dc_id;
  builder->next_route_id = state->next_route_id;
}

void
lc_plan_builder_finish (LcPlanBuilder *builder)
{
  g_array_unref (builder->ops);
  g_string_free (builder->steps, TRUE);
  g_string_free (builder->breaks, TRUE);
  if (builder->routes_by_key == NULL)
    return;
  g_hash_table_destroy (builder->addresses_by_service);
  g_hash_table_destroy (builder->routes_by_service);
  g_hash_table_destroy (builder->routes_by_key);
}

bool
lc_plan_builder_is_empty (const LcPlanBuilder *builder)
{
  return builder->ops->len == 0 && builder->drain_target == NULL && !builder->replaces_control;
}

/* === private: lines and operations ========================================================== */

void
lc_plan__add_line (GString *lines, const char *format, ...)
{
  va_list args;

  va_start (args, format);
  g_string_append_vprintf (lines, format, args);
  va_end (args);
  g_string_append_c (lines, '\n');
}

LcViewOp *
lc_plan__add_op (LcPlanBuilder *builder, LcViewOpKind kind)
{
  LcViewOp op = { .kind = kind };

  g_array_append_val (builder->ops, op);
  return &g_array_index (builder->ops, LcViewOp, builder->ops->len - 1);
}

int
lc_plan__set_not_found (const char *what, const char *name, LcError *error)
{
  return lc_error_set (error, LC_ERR_NOT_FOUND, "look at `lychee status` for the known names",
                       "there is no %s %s", what, name);
}

/* === private: draining ====================================================================== */

/* Endpoints in an evacuated data centre take no new work and don't count. */
static uint32_t
lc_plan__n_candidates (const LcPlanBuilder *builder, const LcService *s)
{
  return lc_evacuation_n_candidates (&builder->state->view, s, 0);
}

static void
lc_plan__note_emptied (LcPlanBuilder *builder, const LcService *s, uint32_t n_left)
{
  if (n_left > 0)
    return;
  builder->n_emptied++;
  lc_plan__add_line (builder->breaks,
                     "service %s would have no endpoint: its new requests and flows fail", s->name);
}

static void
lc_plan__set_state (LcPlanBuilder *builder, const LcEndpoint *e, LcEndpointState state)
{
  LcViewOp *op = lc_plan__add_op (builder, LC_VIEW_ENDPOINT);

  op->endpoint = *e;
  op->endpoint.state = (uint8_t)state;
}

static int
lc_plan__drain (LcPlanBuilder *builder, const LcIntent *intent, LcError *error)
{
  const LcEndpointRecord *record = g_hash_table_lookup (builder->state->endpoints, intent->target);
  const LcEndpoint *e =
      record != NULL ? lc_view_endpoint (&builder->state->view, record->id) : NULL;
  const LcService *s = e != NULL ? lc_view_service (&builder->state->view, e->service_id) : NULL;
  uint32_t n_left;

  if (record == NULL)
    return lc_plan__set_not_found ("endpoint", intent->target, error);
  if (record->is_drained)
    return 0;
  builder->drain_target = record->name;
  builder->sets_drain = true;
  lc_plan__add_line (builder->steps, "%s takes no new work, also after a restart of its agent",
                     record->name);
  if (s == NULL || !lc_endpoint_is_candidate (e))
    return 0;
  n_left = lc_plan__n_candidates (builder, s);
  if (!lc_view_is_evacuated (&builder->state->view, e->dc))
    n_left--;
  builder->n_moved = 1;
  builder->waits_for_flows = true;
  lc_plan__set_state (builder, e, LC_ENDPOINT_DRAINING);
  lc_plan__add_line (builder->steps, "new work of %s goes to its %u other endpoints", s->name,
                     n_left);
  lc_plan__add_line (builder->steps,
                     "established flows and running requests of %s end by themselves",
                     record->name);
  lc_plan__note_emptied (builder, s, n_left);
  return 0;
}

static int
lc_plan__undrain (LcPlanBuilder *builder, const LcIntent *intent, LcError *error)
{
  const LcEndpointRecord *record = g_hash_table_lookup (builder->state->endpoints, intent->target);
  const LcEndpoint *e =
      record != NULL ? lc_view_endpoint (&builder->state->view, record->id) : NULL;
  LcEndpointRecord lifted;

  if (record == NULL)
    return lc_plan__set_not_found ("endpoint", intent->target, error);
  if (!record->is_drained)
    return 0;
  builder->drain_target = record->name;
  lc_plan__add_line (builder->steps, "%s takes new work again", record->name);
  lifted = *record;
  lifted.is_drained = false;
  if (e != NULL)
    lc_plan__set_state (builder, e, lc_control__endpoint_state (builder->state, &lifted, e->dc));
  return 0;
}

/* === private: data centres ================================================================== */

static uint32_t
lc_plan__drain_service_in (LcPlanBuilder *builder, const LcService *s, LcDcId dc)
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < s->n_endpoints; i++)
    {
      const LcEndpoint *e = &s->endpoints[i];

      if (e->dc != dc || !lc_endpoint_is_candidate (e))
        continue;
      lc_plan__set_state (builder, e, LC_ENDPOINT_DRAINING);
      n++;
    }
  return n;
}

static int
lc_plan__retire_dc (LcPlanBuilder *builder, const LcIntent *intent, LcError *error)
{
  const LcDataCentre *dc = lc_view_dc_by_name (&builder->state->view, intent->target);
  GPtrArray *services;

  if (dc == NULL)
    return lc_plan__set_not_found ("data centre", intent->target, error);
  if (dc->state == LC_DC_RETIRING)
    return 0;
  lc_plan__add_op (builder, LC_VIEW_DC)->dc = *dc;
  g_array_index (builder->ops, LcViewOp, builder->ops->len - 1).dc.state = LC_DC_RETIRING;
  lc_plan__add_line (builder->steps, "endpoints that announce themselves in %s take no new work",
                     dc->name);
  services = lc_control_state_services (builder->state);
  for (guint i = 0; i < services->len; i++)
    {
      const LcService *s = g_ptr_array_index (services, i);
      uint32_t n = lc_plan__drain_service_in (builder, s, dc->id);
      uint32_t n_left = lc_evacuation_n_candidates (&builder->state->view, s, dc->id);

      if (n == 0)
        continue;
      builder->n_moved += n;
      builder->waits_for_flows = true;
      lc_plan__add_line (builder->steps, "%u endpoints of %s drain, new work goes to %u elsewhere",
                         n, s->name, n_left);
      lc_plan__note_emptied (builder, s, n_left);
    }
  g_ptr_array_unref (services);
  lc_plan__add_line (builder->steps, "balancers of %s go on steering until they are stopped",
                     dc->name);
  return 0;
}

/* Restores endpoints that drain only because of the data centre; an operator's drain stays. */
static void
lc_plan__restore_service_in (LcPlanBuilder *builder, const LcService *s, LcDcId dc)
{
  for (uint32_t i = 0; i < s->n_endpoints; i++)
    {
      const LcEndpoint *e = &s->endpoints[i];
      const LcEndpointRecord *record = g_hash_table_lookup (builder->state->endpoints, e->name);

      if (e->dc != dc || record == NULL || record->is_drained || record->is_leaving ||
          record->is_lost)
        continue;
      lc_plan__set_state (builder, e, record->is_ramped ? LC_ENDPOINT_ACTIVE : LC_ENDPOINT_JOINING);
    }
}

static int
lc_plan__restore_dc (LcPlanBuilder *builder, const LcIntent *intent, LcError *error)
{
  const LcDataCentre *dc = lc_view_dc_by_name (&builder->state->view, intent->target);
  GPtrArray *services;

  if (dc == NULL)
    return lc_plan__set_not_found ("data centre", intent->target, error);
  if (dc->state == LC_DC_ACTIVE)
    return 0;
  lc_plan__add_op (builder, LC_VIEW_DC)->dc = *dc;
  g_array_index (builder->ops, LcViewOp, builder->ops->len - 1).dc.state = LC_DC_ACTIVE;
  lc_plan__add_line (builder->steps, "endpoints of %s take new work again", dc->name);
  services = lc_control_state_services (builder->state);
  for (guint i = 0; i < services->len; i++)
    lc_plan__restore_service_in (builder, g_ptr_array_index (services, i), dc->id);
  g_ptr_array_unref (services);
  return 0;
}

/* === private: control VMs =================================================================== */

static int
lc_plan__replace_control (LcPlanBuilder *builder, const LcIntent *intent, LcError *error)
{
  if (builder->state->replace.is_active)
    return lc_error_set (error, LC_ERR_REFUSED, "wait until `lychee status` shows it as done",
                         "%s is being replaced by %s already", builder->state->replace.old_name,
                         builder->state->replace.replacement.name);
  builder->replaces_control = true;
  lc_plan__add_line (builder->steps, "add %s as a learner and send it the log",
                     intent->replacement.name);
  lc_plan__add_line (builder->steps, "make %s a voter once it has caught up",
                     intent->replacement.name);
  lc_plan__add_line (builder->steps, "remove %s", intent->target);
  lc_plan__add_line (
      builder->steps,
      "until the last step is done, the loss of one more control VM can stop changes "
      "(traffic goes on)");
  return 0;
}

/* === public: run ============================================================================ */

static int
lc_plan__check_safe (const LcPlanBuilder *builder, const LcIntent *intent, LcError *error)
{
  gsize len = builder->breaks->len > 0 ? builder->breaks->len - 1 : 0;

  if (builder->n_emptied > 0 && !intent->allow_empty)
    return lc_error_set (error, LC_ERR_REFUSED,
                         "bring endpoints up elsewhere first, or plan it with --allow-empty",
                         "%.*s", (int)len, builder->breaks->str);
  if (builder->n_cut > 0 && !intent->allow_cut)
    return lc_error_set (error, LC_ERR_REFUSED,
                         "wait until the flows have ended, or plan it with --allow-cut", "%.*s",
                         (int)len, builder->breaks->str);
  return 0;
}

static int
lc_plan__dispatch (LcPlanBuilder *builder, const LcIntent *intent, LcError *error)
{
  switch (intent->kind)
    {
    case LC_INTENT_OPEN_MARKET:
    case LC_INTENT_APPLY:
    case LC_INTENT_CHANGE_RULE:
      return lc_plan__declare (builder, intent, error);
    case LC_INTENT_RETIRE_DATA_CENTRE:
      return lc_plan__retire_dc (builder, intent, error);
    case LC_INTENT_RESTORE_DATA_CENTRE:
      return lc_plan__restore_dc (builder, intent, error);
    case LC_INTENT_DRAIN:
      return lc_plan__drain (builder, intent, error);
    case LC_INTENT_UNDRAIN:
      return lc_plan__undrain (builder, intent, error);
    case LC_INTENT_REPLACE_CONTROL_VM:
      return lc_plan__replace_control (builder, intent, error);
    }
  return LC_ERR_INVALID;
}

int
lc_plan_builder_run (LcPlanBuilder *builder, const LcIntent *intent, LcError *error)
{
  int r = lc_intent_check (intent, error);

  if (r == 0)
    r = lc_plan__dispatch (builder, intent, error);
  if (r == 0)
    r = lc_plan__check_safe (builder, intent, error);
  if (r == 0 && lc_plan_builder_is_empty (builder))
    lc_plan__add_line (builder->steps, "nothing to do: this is in force already");
  return r;
}
