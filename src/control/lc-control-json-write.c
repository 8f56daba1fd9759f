#include "lc-control-json.h"

#include <string.h>

static const char *const LC_ENDPOINT_STATES[] = { "none", "joining", "active", "draining", "lost" };
static const char *const LC_PLAN_STATES[] = { "none", "open", "confirmed", "superseded" };

static json_t *
lc_json__u64 (uint64_t value)
{
  return json_integer ((json_int_t)value);
}

static json_t *
lc_json__split_lines (const char *text)
{
  json_t *lines = json_array ();
  gchar **parts = g_strsplit (text, "\n", -1);

  for (gchar **at = parts; *at != NULL; at++)
    if (**at != '\0')
      (void)json_array_append_new (lines, json_string (*at));
  g_strfreev (parts);
  return lines;
}

json_t *
lc_control_json_plan (const LcControlState *state, const LcPlan *plan)
{
  json_t *out = json_object ();

  (void)json_object_set_new (out, "plan_id", lc_json__u64 (plan->id));
  (void)json_object_set_new (out, "intent", json_string (lc_intent_kind_name (plan->intent.kind)));
  (void)json_object_set_new (out, "target", json_string (plan->intent.target));
  (void)json_object_set_new (out, "state", json_string (LC_PLAN_STATES[plan->state]));
  (void)json_object_set_new (out, "who", json_string (plan->who));
  (void)json_object_set_new (out, "base_revision", lc_json__u64 (plan->base_revision));
  (void)json_object_set_new (out, "revision", lc_json__u64 (plan->confirmed_revision));
  (void)json_object_set_new (out, "changes", json_integer (plan->n_changes));
  (void)json_object_set_new (out, "steps", lc_json__split_lines (plan->steps));
  (void)json_object_set_new (out, "breaks", lc_json__split_lines (plan->breaks));
  (void)json_object_set_new (out, "endpoints_moved", json_integer (plan->n_moved));
  (void)json_object_set_new (out, "no_new_work_within_s", json_integer (plan->settle_s));
  (void)json_object_set_new (out, "waits_for_flows", json_boolean (plan->waits_for_flows));
  (void)json_object_set_new (out, "remaining",
                             json_integer (lc_control_state_remaining (state, plan)));
  return out;
}

json_t *
lc_control_json_history (const LcControlState *state, LcRevision after, uint32_t max)
{
  json_t *out = json_array ();
  guint len = state->history->len;

  for (guint i = len > max ? len - max : 0; i < len; i++)
    {
      const LcAudit *audit = &g_array_index (state->history, LcAudit, i);
      json_t *one;

      if (audit->revision <= after)
        continue;
      one = json_object ();
      (void)json_object_set_new (one, "revision", lc_json__u64 (audit->revision));
      (void)json_object_set_new (one, "time_us", json_integer (audit->wall_us));
      (void)json_object_set_new (one, "who", json_string (audit->who));
      (void)json_object_set_new (one, "action", json_string (audit->action));
      (void)json_object_set_new (one, "plan_id", lc_json__u64 (audit->plan_id));
      (void)json_object_set_new (one, "summary", json_string (audit->summary));
      (void)json_array_append_new (out, one);
    }
  return out;
}

json_t *
lc_control_json_services (const LcControlState *state)
{
  json_t *out = json_array ();
  GPtrArray *services = lc_control_state_services (state);

  for (guint i = 0; i < services->len; i++)
    {
      const LcService *s = g_ptr_array_index (services, i);
      uint32_t counts[G_N_ELEMENTS (LC_ENDPOINT_STATES)] = { 0 };
      json_t *one = json_object ();

      for (uint32_t k = 0; k < s->n_endpoints; k++)
        counts[MIN (s->endpoints[k].state, LC_ENDPOINT_LOST)]++;
      (void)json_object_set_new (one, "name", json_string (s->name));
      (void)json_object_set_new (one, "id", json_integer (s->id));
      (void)json_object_set_new (one, "membership_revision", lc_json__u64 (s->membership_revision));
      (void)json_object_set_new (one, "settling", json_integer (s->n_former));
      (void)json_object_set_new (one, "returns_packets", json_boolean (s->returns_packets));
      (void)json_object_set_new (one, "objective_ppm", json_integer (s->objective_ppm));
      (void)json_object_set_new (one, "objective_latency_ms",
                                 json_integer (s->objective_latency_ms));
      (void)json_object_set_new (one, "cold_requests_per_s",
                                 json_real ((double)s->cold_rate_mrps / LC_INTENT_MILLI));
      (void)json_object_set_new (one, "taking",
                                 json_integer (lc_evacuation_n_candidates (&state->view, s, 0)));
      for (int state_at = LC_ENDPOINT_JOINING; state_at <= LC_ENDPOINT_LOST; state_at++)
        (void)json_object_set_new (one, LC_ENDPOINT_STATES[state_at],
                                   json_integer (counts[state_at]));
      (void)json_array_append_new (out, one);
    }
  g_ptr_array_unref (services);
  return out;
}

json_t *
lc_control_json_capacity (const LcControlState *state)
{
  json_t *out = json_array ();
  GPtrArray *services = lc_control_state_services (state);

  for (guint i = 0; i < services->len; i++)
    {
      const LcService *s = g_ptr_array_index (services, i);
      json_t *one = json_object ();

      (void)json_object_set_new (one, "name", json_string (s->name));
      (void)json_object_set_new (one, "taking",
                                 json_integer (lc_evacuation_n_candidates (&state->view, s, 0)));
      (void)json_object_set_new (one, "of", json_integer (s->n_endpoints));
      (void)json_array_append_new (out, one);
    }
  g_ptr_array_unref (services);
  return out;
}

static json_t *
lc_json__peer_address (uint32_t ipv4, uint16_t port)
{
  char text[32];

  (void)g_snprintf (text, sizeof text, "%u.%u.%u.%u:%u", ipv4 >> 24, (ipv4 >> 16) & 255,
                    (ipv4 >> 8) & 255, ipv4 & 255, port);
  return json_string (text);
}

static json_t *
lc_json__endpoint (const LcControlState *state, const LcService *s, const LcEndpoint *e)
{
  const LcEndpointRecord *record = g_hash_table_lookup (state->endpoints, e->name);
  const LcDataCentre *dc = lc_view_dc (&state->view, e->dc);
  json_t *one = json_object ();

  (void)json_object_set_new (one, "name", json_string (e->name));
  (void)json_object_set_new (one, "id", json_integer (e->id));
  (void)json_object_set_new (one, "service", json_string (s->name));
  (void)json_object_set_new (one, "data_centre", json_string (dc != NULL ? dc->name : ""));
  (void)json_object_set_new (one, "state",
                             json_string (LC_ENDPOINT_STATES[MIN (e->state, LC_ENDPOINT_LOST)]));
  (void)json_object_set_new (one, "address", lc_json__peer_address (e->ipv4, e->peer_port));
  (void)json_object_set_new (one, "weight_percent", json_integer (e->weight_percent));
  (void)json_object_set_new (one, "drained_by_operator",
                             json_boolean (record != NULL && record->is_drained));
  return one;
}

json_t *
lc_control_json_endpoints (const LcControlState *state, uint32_t max)
{
  json_t *out = json_array ();
  GPtrArray *services = lc_control_state_services (state);

  for (guint i = 0; i < services->len; i++)
    {
      const LcService *s = g_ptr_array_index (services, i);

      for (uint32_t k = 0; k < s->n_endpoints && json_array_size (out) < max; k++)
        (void)json_array_append_new (out, lc_json__endpoint (state, s, &s->endpoints[k]));
    }
  g_ptr_array_unref (services);
  return out;
}

json_t *
lc_control_json_balancers (const LcControlState *state)
{
  static const char *const STATES[] = { "none", "active", "leaving", "lost" };
  json_t *out = json_array ();

  for (guint i = 0; i < state->view.balancers->len; i++)
    {
      const LcBalancer *b = &g_array_index (state->view.balancers, LcBalancer, i);
      const LcDataCentre *dc = lc_view_dc (&state->view, b->dc);
      json_t *one = json_object ();

      (void)json_object_set_new (one, "name", json_string (b->name));
      (void)json_object_set_new (one, "id", json_integer (b->id));
      (void)json_object_set_new (one, "data_centre", json_string (dc != NULL ? dc->name : ""));
      (void)json_object_set_new (one, "address", lc_json__peer_address (b->ipv4, b->peer_port));
      (void)json_object_set_new (one, "state",
                                 json_string (STATES[MIN (b->state, LC_BALANCER_LOST)]));
      (void)json_array_append_new (out, one);
    }
  return out;
}

json_t *
lc_control_json_unfinished_plans (const LcControlState *state)
{
  json_t *out = json_array ();

  for (guint i = 0; i < state->plans->len; i++)
    {
      const LcPlan *plan = g_ptr_array_index (state->plans, i);
      uint32_t remaining = lc_control_state_remaining (state, plan);
      json_t *one;

      if (remaining == 0)
        continue;
      one = json_object ();
      (void)json_object_set_new (one, "plan_id", lc_json__u64 (plan->id));
      (void)json_object_set_new (one, "intent",
                                 json_string (lc_intent_kind_name (plan->intent.kind)));
      (void)json_object_set_new (one, "target", json_string (plan->intent.target));
      (void)json_object_set_new (one, "remaining", json_integer (remaining));
      (void)json_object_set_new (one, "of", json_integer (MAX (plan->n_moved, 1)));
      (void)json_array_append_new (out, one);
    }
  return out;
}
