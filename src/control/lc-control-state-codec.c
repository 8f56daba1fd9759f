#include "lc-codec-private.h"

#include "io/lc-wire-view.h"

enum
{
  LC_RECORD_IS_DRAINED = 1 << 0,
  LC_RECORD_IS_LEAVING = 1 << 1,
  LC_RECORD_IS_RAMPED = 1 << 2,
  LC_RECORD_IS_LOST = 1 << 3,
  LC_RECORD_IS_GONE = 1 << 4,
};

/* === writing ============================================================= */

static void
lc_codec__write_plan (LcArena *arena, Lc__Wire__StoredPlan *m, const LcPlan *plan)
{
  lc__wire__stored_plan__init (m);
  m->id = plan->id;
  m->base_revision = plan->base_revision;
  m->confirmed_revision = plan->confirmed_revision;
  m->state = plan->state;
  m->intent = lc_codec__write_intent (arena, &plan->intent);
  m->who = (char *)plan->who;
  m->wall_us = plan->wall_us;
  m->n_changes = plan->n_changes;
  m->n_moved = plan->n_moved;
  m->settle_s = plan->settle_s;
  m->waits_for_flows = plan->waits_for_flows;
  m->steps = plan->steps;
  m->breaks = plan->breaks;
}

static void
lc_codec__write_plans (LcArena *arena, Lc__Wire__ControlSnapshot *m, const LcControlState *state)
{
  Lc__Wire__StoredPlan *plans = lc_codec__alloc (arena, state->plans->len, sizeof *plans);

  m->n_plans = state->plans->len;
  m->plans = lc_codec__alloc_pointers (arena, m->n_plans);
  for (guint i = 0; i < state->plans->len; i++)
    {
      lc_codec__write_plan (arena, &plans[i], g_ptr_array_index (state->plans, i));
      m->plans[i] = &plans[i];
    }
}

static void
lc_codec__write_answers (LcArena *arena, Lc__Wire__ControlSnapshot *m, const LcControlState *state)
{
  Lc__Wire__StoredAnswer *answers =
      lc_codec__alloc (arena, state->answer_order.length, sizeof *answers);
  size_t i = 0;

  m->n_answers = state->answer_order.length;
  m->answers = lc_codec__alloc_pointers (arena, m->n_answers);
  for (const GList *at = state->answer_order.head; at != NULL; at = at->next, i++)
    {
      const LcControlAnswer *a = g_hash_table_lookup (state->answers, at->data);

      lc__wire__stored_answer__init (&answers[i]);
      answers[i].request_id = at->data;
      answers[i].code = a->code;
      answers[i].plan_id = a->plan_id;
      answers[i].revision = a->revision;
      answers[i].message = (char *)a->message;
      answers[i].remedy = (char *)a->remedy;
      answers[i].fingerprint = a->fingerprint;
      answers[i].index = a->index;
      m->answers[i] = &answers[i];
    }
}

static void
lc_codec__write_history (LcArena *arena, Lc__Wire__ControlSnapshot *m, const LcControlState *state)
{
  Lc__Wire__StoredAudit *history = lc_codec__alloc (arena, state->history->len, sizeof *history);

  m->n_history = state->history->len;
  m->history = lc_codec__alloc_pointers (arena, m->n_history);
  for (guint i = 0; i < state->history->len; i++)
    {
      LcAudit *audit = &g_array_index (state->history, LcAudit, i);

      lc__wire__stored_audit__init (&history[i]);
      history[i].revision = audit->revision;
      history[i].wall_us = audit->wall_us;
      history[i].plan_id = audit->plan_id;
      history[i].who = audit->who;
      history[i].action = audit->action;
      history[i].summary = audit->summary;
      m->history[i] = &history[i];
    }
}

static uint32_t
lc_codec__endpoint_flags (const LcEndpointRecord *r)
{
  return (r->is_drained ? LC_RECORD_IS_DRAINED : 0U) | (r->is_leaving ? LC_RECORD_IS_LEAVING : 0U) |
         (r->is_ramped ? LC_RECORD_IS_RAMPED : 0U) | (r->is_lost ? LC_RECORD_IS_LOST : 0U) |
         (r->is_gone ? LC_RECORD_IS_GONE : 0U);
}

static void
lc_codec__write_endpoints (LcArena *arena,
                           Lc__Wire__ControlSnapshot *m,
                           const LcControlState *state)
{
  guint n = g_hash_table_size (state->endpoints);
  Lc__Wire__StoredEndpoint *records = lc_codec__alloc (arena, n, sizeof *records);
  GHashTableIter iter;
  gpointer value;
  size_t i = 0;

  m->n_endpoints = n;
  m->endpoints = lc_codec__alloc_pointers (arena, n);
  g_hash_table_iter_init (&iter, state->endpoints);
  for (; g_hash_table_iter_next (&iter, NULL, &value); i++)
    {
      LcEndpointRecord *r = value;

      lc__wire__stored_endpoint__init (&records[i]);
      records[i].name = r->name;
      records[i].id = r->id;
      records[i].service_id = r->service_id;
      records[i].instance = r->instance;
      records[i].retired = r->retired;
      records[i].n_retired = LC_CONTROL_RETIRED_INSTANCES;
      records[i].flags = lc_codec__endpoint_flags (r);
      m->endpoints[i] = &records[i];
    }
}

static void
lc_codec__write_balancers (LcArena *arena,
                           Lc__Wire__ControlSnapshot *m,
                           const LcControlState *state)
{
  guint n = g_hash_table_size (state->balancers);
  Lc__Wire__StoredBalancer *records = lc_codec__alloc (arena, n, sizeof *records);
  GHashTableIter iter;
  gpointer value;
  size_t i = 0;

  m->n_balancers = n;
  m->balancers = lc_codec__alloc_pointers (arena, n);
  g_hash_table_iter_init (&iter, state->balancers);
  for (; g_hash_table_iter_next (&iter, NULL, &value); i++)
    {
      LcBalancerRecord *r = value;

      lc__wire__stored_balancer__init (&records[i]);
      records[i].name = r->name;
      records[i].id = r->id;
      records[i].instance = r->instance;
      records[i].retired = r->retired;
      records[i].n_retired = LC_CONTROL_RETIRED_INSTANCES;
      records[i].is_gone = r->is_gone;
      m->balancers[i] = &records[i];
    }
}

static void
lc_codec__add_op (void *user, const LcViewOp *op)
{
  lc_wire_view_ops_add (user, op);
}

static void
lc_codec__write_scalars (Lc__Wire__ControlSnapshot *m, const LcControlState *state)
{
  m->config_revision = state->config_revision;
  m->applied = state->applied;
  m->next_service_id = state->next_service_id;
  m->next_endpoint_id = state->next_endpoint_id;
  m->next_balancer_id = state->next_balancer_id;
  m->next_dc_id = state->next_dc_id;
  m->next_route_id = state->next_route_id;
  m->replace_is_active = state->replace.is_active;
  m->replace_plan_id = state->replace.plan_id;
  m->replace_old_name = (char *)state->replace.old_name;
  m->replacement_name = (char *)state->replace.replacement.name;
  m->replacement_ipv4 = state->replace.replacement.ipv4;
  m->replacement_peer_port = state->replace.replacement.peer_port;
  m->replacement_http_port = state->replace.replacement.http_port;
  m->numbered_number = state->numbered.number;
  m->numbered_document = lc_codec__binary (state->numbered.document);
  m->numbered_revision = state->numbered.revision;
}

GBytes *
lc_control_state_pack (const LcControlState *state)
{
  LcArena *arena = lc_codec__arena ();
  Lc__Wire__ControlSnapshot m = LC__WIRE__CONTROL_SNAPSHOT__INIT;
  LcWireViewOps view;
  GBytes *bytes;

  lc_wire_view_ops_init (&view);
  lc_view_snapshot (&state->view, lc_codec__add_op, &view);
  lc_codec__write_scalars (&m, state);
  lc_codec__write_plans (arena, &m, state);
  lc_codec__write_answers (arena, &m, state);
  lc_codec__write_history (arena, &m, state);
  lc_codec__write_endpoints (arena, &m, state);
  lc_codec__write_balancers (arena, &m, state);
  m.n_view = view.n_ops;
  m.view = view.ops;
  bytes = lc_codec__pack (&m.base);
  lc_wire_view_ops_finish (&view);
  g_ptr_array_unref (arena);
  return bytes;
}

/* === reading ============================================================= */

static bool
lc_codec__read_plan (LcControlState *state, const Lc__Wire__StoredPlan *m)
{
  LcPlan *plan = g_new0 (LcPlan, 1);
  bool ok = m->state >= LC_PLAN_OPEN && m->state <= LC_PLAN_SUPERSEDED &&
            lc_codec__read_intent (&plan->intent, m->intent) &&
            lc_codec__copy (plan->who, sizeof plan->who, m->who);

  plan->id = m->id;
  plan->base_revision = m->base_revision;
  plan->confirmed_revision = m->confirmed_revision;
  plan->state = (LcPlanState)m->state;
  plan->wall_us = m->wall_us;
  plan->n_changes = m->n_changes;
  plan->n_moved = m->n_moved;
  plan->settle_s = m->settle_s;
  plan->waits_for_flows = m->waits_for_flows;
  plan->steps = g_strdup (m->steps);
  plan->breaks = g_strdup (m->breaks);
  g_ptr_array_add (state->plans, plan);
  return ok;
}

static bool
lc_codec__read_answer (LcControlState *state, const Lc__Wire__StoredAnswer *m)
{
  LcControlAnswer *answer;
  char *id;

  if (g_hash_table_contains (state->answers, m->request_id))
    return false;
  answer = g_new0 (LcControlAnswer, 1);
  id = g_strdup (m->request_id);
  answer->code = (LcErrorCode)m->code;
  answer->plan_id = m->plan_id;
  answer->revision = m->revision;
  answer->fingerprint = m->fingerprint;
  answer->index = m->index;
  g_hash_table_insert (state->answers, id, answer);
  g_queue_push_tail (&state->answer_order, id);
  return lc_codec__copy (answer->message, sizeof answer->message, m->message) &&
         lc_codec__copy (answer->remedy, sizeof answer->remedy, m->remedy);
}

static bool
lc_codec__read_audit (LcControlState *state, const Lc__Wire__StoredAudit *m)
{
  LcAudit audit = { 0 };
  bool ok = lc_codec__copy (audit.who, sizeof audit.who, m->who) &&
            lc_codec__copy (audit.action, sizeof audit.action, m->action) &&
            lc_codec__copy (audit.summary, sizeof audit.summary, m->summary);

  audit.revision = m->revision;
  audit.wall_us = m->wall_us;
  audit.plan_id = m->plan_id;
  g_array_append_val (state->history, audit);
  return ok;
}

static bool
lc_codec__read_endpoint (LcControlState *state, const Lc__Wire__StoredEndpoint *m)
{
  LcEndpointRecord *r;

  /* Keys point into the records: a duplicate would replace a record but keep its freed key. */
  if (strlen (m->name) >= LC_NAME_MAX || g_hash_table_contains (state->endpoints, m->name))
    return false;
  r = g_new0 (LcEndpointRecord, 1);
  (void)lc_codec__copy (r->name, sizeof r->name, m->name);
  r->id = m->id;
  r->service_id = m->service_id;
  r->instance = m->instance;
  for (size_t i = 0; i < MIN (m->n_retired, (size_t)LC_CONTROL_RETIRED_INSTANCES); i++)
    r->retired[i] = m->retired[i];
  r->is_drained = (m->flags & LC_RECORD_IS_DRAINED) != 0;
  r->is_leaving = (m->flags & LC_RECORD_IS_LEAVING) != 0;
  r->is_ramped = (m->flags & LC_RECORD_IS_RAMPED) != 0;
  r->is_lost = (m->flags & LC_RECORD_IS_LOST) != 0;
  r->is_gone = (m->flags & LC_RECORD_IS_GONE) != 0;
  return g_hash_table_insert (state->endpoints, r->name, r);
}

static bool
lc_codec__read_balancer (LcControlState *state, const Lc__Wire__StoredBalancer *m)
{
  LcBalancerRecord *r;

  if (strlen (m->name) >= LC_NAME_MAX || g_hash_table_contains (state->balancers, m->name))
    return false;
  r = g_new0 (LcBalancerRecord, 1);
  (void)lc_codec__copy (r->name, sizeof r->name, m->name);
  r->id = m->id;
  r->instance = m->instance;
  for (size_t i = 0; i < MIN (m->n_retired, (size_t)LC_CONTROL_RETIRED_INSTANCES); i++)
    r->retired[i] = m->retired[i];
  r->is_gone = m->is_gone;
  return g_hash_table_insert (state->balancers, r->name, r);
}

static bool
lc_codec__read_view (LcControlState *state, const Lc__Wire__ControlSnapshot *m)
{
  for (size_t i = 0; i < m->n_view; i++)
    {
      LcViewOp op;

      if (lc_wire_view_op_read (&op, m->view[i], NULL) < 0 ||
          lc_view_apply (&state->view, &op, NULL) < 0)
        return false;
    }
  return true;
}

static bool
lc_codec__read_scalars (LcControlState *state, const Lc__Wire__ControlSnapshot *m)
{
  state->config_revision = m->config_revision;
  state->applied = m->applied;
  state->next_service_id = m->next_service_id;
  state->next_endpoint_id = m->next_endpoint_id;
  state->next_balancer_id = m->next_balancer_id;
  state->next_dc_id = m->next_dc_id;
  state->next_route_id = m->next_route_id;
  state->replace.is_active = m->replace_is_active;
  state->replace.plan_id = m->replace_plan_id;
  state->replace.replacement.ipv4 = m->replacement_ipv4;
  state->replace.replacement.peer_port = (uint16_t)m->replacement_peer_port;
  state->replace.replacement.http_port = (uint16_t)m->replacement_http_port;
  state->numbered.number = m->numbered_number;
  state->numbered.revision = m->numbered_revision;
  if (m->numbered_number != 0)
    state->numbered.document = g_bytes_new (m->numbered_document.data, m->numbered_document.len);
  return lc_codec__copy (state->replace.old_name, LC_NAME_MAX, m->replace_old_name) &&
         lc_codec__copy (state->replace.replacement.name, LC_NAME_MAX, m->replacement_name);
}

static bool
lc_codec__read_state (LcControlState *state, const Lc__Wire__ControlSnapshot *m)
{
  bool ok = lc_codec__read_scalars (state, m) && lc_codec__read_view (state, m);

  for (size_t i = 0; i < m->n_plans && ok; i++)
    ok = lc_codec__read_plan (state, m->plans[i]);
  for (size_t i = 0; i < m->n_answers && ok; i++)
    ok = lc_codec__read_answer (state, m->answers[i]);
  for (size_t i = 0; i < m->n_history && ok; i++)
    ok = lc_codec__read_audit (state, m->history[i]);
  for (size_t i = 0; i < m->n_endpoints && ok; i++)
    ok = lc_codec__read_endpoint (state, m->endpoints[i]);
  for (size_t i = 0; i < m->n_balancers && ok; i++)
    ok = lc_codec__read_balancer (state, m->balancers[i]);
  return ok;
}

int
lc_control_state_unpack (LcControlState *state, GBytes *bytes, LcError *error)
{
  gsize len;
  const uint8_t *data = g_bytes_get_data (bytes, &len);
  Lc__Wire__ControlSnapshot *m = lc__wire__control_snapshot__unpack (NULL, len, data);
  LcControlState fresh;
  bool ok;

  if (m == NULL)
    return lc_codec__set_malformed (error, "the state's snapshot");
  lc_control_state_init (&fresh);
  ok = lc_codec__read_state (&fresh, m);
  lc__wire__control_snapshot__free_unpacked (m, NULL);
  if (!ok)
    {
      lc_control_state_finish (&fresh);
      return lc_codec__set_malformed (error, "the state's snapshot");
    }
  lc_control_state_finish (state);
  *state = fresh;
  return 0;
}
