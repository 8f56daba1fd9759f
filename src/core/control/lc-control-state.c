#include "lc-control-private.h"

#include "lc-control-plan.h"

#include <string.h>
#include <xxhash.h>

enum
{
  LC_PLAN_SETTLE_S = 3, /* until every balancer has the view that ends new work */
};

/* === public: lifetime ======================================================================= */

void
lc_plan_free (LcPlan *plan)
{
  lc_intent_finish (&plan->intent);
  g_free (plan->steps);
  g_free (plan->breaks);
  g_free (plan);
}

static void
lc_control__free_plan (gpointer plan)
{
  lc_plan_free (plan);
}

void
lc_control_state_init (LcControlState *state)
{
  memset (state, 0, sizeof *state);
  lc_view_init (&state->view);
  state->endpoints = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  state->balancers = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  state->answers = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  g_queue_init (&state->answer_order);
  state->plans = g_ptr_array_new_with_free_func (lc_control__free_plan);
  state->history = g_array_new (FALSE, TRUE, sizeof (LcAudit));
  state->ops = g_array_new (FALSE, TRUE, sizeof (LcViewOp));
  state->next_service_id = 1;
  state->next_endpoint_id = 1;
  state->next_balancer_id = 1;
  state->next_dc_id = 1;
  state->next_route_id = 1;
}

void
lc_control_state_finish (LcControlState *state)
{
  lc_view_finish (&state->view);
  g_hash_table_destroy (state->endpoints);
  g_hash_table_destroy (state->balancers);
  g_queue_clear (&state->answer_order);
  g_hash_table_destroy (state->answers);
  g_ptr_array_unref (state->plans);
  g_array_unref (state->history);
  g_array_unref (state->ops);
  g_clear_pointer (&state->numbered.document, g_bytes_unref);
  memset (state, 0, sizeof *state);
}

void
lc_control_state_clear (LcControlState *state)
{
  lc_control_state_finish (state);
  lc_control_state_init (state);
}

void
lc_control_command_finish (LcControlCommand *command)
{
  if (command->kind == LC_COMMAND_PLAN)
    lc_intent_finish (&command->intent);
  else if (command->kind == LC_COMMAND_NUMBERED)
    lc_numbered_finish (&command->numbered);
  else if (command->kind == LC_COMMAND_CHANGES)
    g_clear_pointer (&command->changes.items, g_free);
}

/* === private: view, history, answers ======================================================== */

void
lc_control__emit (LcControlState *state, LcRevision revision, LcViewOp *op)
{
  op->revision = revision;
  if (lc_view_apply (&state->view, op, NULL) == 0)
    g_array_append_val (state->ops, *op);
}

static void
lc_control__record_audit (LcControlState *state,
                          LcRevision index,
                          const LcControlCommand *c,
                          uint64_t plan_id,
                          const char *action,
                          const char *summary)
{
  LcAudit audit;

  memset (&audit, 0, sizeof audit);
  audit.revision = index;
  audit.wall_us = c->wall_us;
  audit.plan_id = plan_id;
  (void)g_strlcpy (audit.who, c->who, sizeof audit.who);
  (void)g_strlcpy (audit.action, action, sizeof audit.action);
  (void)g_strlcpy (audit.summary, summary, sizeof audit.summary);
  if (state->history->len >= LC_CONTROL_HISTORY_MAX)
    g_array_remove_index (state->history, 0);
  g_array_append_val (state->history, audit);
}

static void
lc_control__format_summary (char *out, size_t size, const LcIntent *intent)
{
  const char *kind = lc_intent_kind_name (intent->kind);
  const LcDeclaration *d = &intent->declaration;

  if (intent->kind == LC_INTENT_REPLACE_CONTROL_VM)
    (void)g_snprintf (out, (gulong)size, "%s %s by %s", kind, intent->target,
                      intent->replacement.name);
  else if (intent->target[0] != '\0')
    (void)g_snprintf (out, (gulong)size, "%s %s", kind, intent->target);
  else
    (void)g_snprintf (out, (gulong)size, "%s %s%s (%u services, %u data centres)", kind,
                      d->n_services > 0 ? d->services[0].name : "",
                      d->n_services > 1 ? ", ..." : "", d->n_services, d->n_dcs);
}

/* A hash of the command, to detect a request id that is used for another request. */
static uint64_t
lc_control__fingerprint (const LcControlCommand *c)
{
  uint64_t hash = XXH3_64bits (&c->kind, sizeof c->kind);
  const LcDeclaration *d = &c->intent.declaration;

  if (c->kind == LC_COMMAND_CONFIRM)
    return XXH3_64bits_withSeed (&c->plan_id, sizeof c->plan_id, hash);
  if (c->kind == LC_COMMAND_EVACUATE)
    return XXH3_64bits_withSeed (c->evacuation.data_centre, strlen (c->evacuation.data_centre),
                                 hash ^ (c->evacuation.is_wanted ? 1U : 0U));
  hash = XXH3_64bits_withSeed (&c->intent.kind, sizeof c->intent.kind, hash);
  hash = XXH3_64bits_withSeed (c->intent.target, strlen (c->intent.target), hash);
  for (uint32_t i = 0; i < d->n_services; i++)
    {
      const LcDeclaredService *s = &d->services[i];

      hash = XXH3_64bits_withSeed (s->name, strlen (s->name), hash);
      for (uint32_t k = 0; k < s->n_addresses; k++)
        {
          const LcDeclaredAddress *w = &s->addresses[k];

          hash = (hash ^ (((uint64_t)w->ipv4 << 24) ^ ((uint64_t)w->port << 8) ^ w->protocol)) *
                 UINT64_C (0x9e3779b97f4a7c15);
          hash = XXH3_64bits_withSeed (w->homes, strlen (w->homes), hash);
        }
      hash ^= ((uint64_t)s->request_timeout_ms << 32) | s->caller_limit;
      hash ^= ((uint64_t)s->retry_percent << 40) ^ ((uint64_t)s->n_routes << 20) ^ s->fields;
    }
  return hash;
}

static LcControlAnswer *
lc_control__new_answer (LcControlState *state, LcRevision index, const LcControlCommand *c)
{
  LcControlAnswer *answer = g_new0 (LcControlAnswer, 1);
  char *id = g_strdup (c->request_id);

  if (state->answer_order.length >= LC_CONTROL_ANSWERS_MAX)
    g_hash_table_remove (state->answers, g_queue_pop_head (&state->answer_order));
  answer->index = index;
  answer->fingerprint = lc_control__fingerprint (c);
  g_hash_table_insert (state->answers, id, answer);
  g_queue_push_tail (&state->answer_order, id);
  return answer;
}

static void
lc_control__answer_error (LcControlAnswer *answer, const LcError *error)
{
  answer->code = error->code;
  (void)g_strlcpy (answer->message, error->message, sizeof answer->message);
  (void)g_strlcpy (answer->remedy, error->remedy, sizeof answer->remedy);
}

/* === private: planning ====================================================================== */

/* Evicts the oldest plan that can't be confirmed any more, else the oldest one. */
static void
lc_control__evict_plan (LcControlState *state)
{
  if (state->plans->len < LC_CONTROL_PLANS_MAX)
    return;
  for (guint i = 0; i < state->plans->len; i++)
    if (((LcPlan *)g_ptr_array_index (state->plans, i))->state != LC_PLAN_OPEN)
      {
        g_ptr_array_remove_index (state->plans, i);
        return;
      }
  g_ptr_array_remove_index (state->plans, 0);
}

static void
lc_control__add_plan (LcControlState *state,
                      LcRevision index,
                      const LcControlCommand *c,
                      const LcPlanBuilder *builder)
{
  LcPlan *plan = g_new0 (LcPlan, 1);

  plan->id = index;
  plan->base_revision = state->config_revision;
  plan->state = LC_PLAN_OPEN;
  lc_intent_copy (&plan->intent, &c->intent);
  (void)g_strlcpy (plan->who, c->who, sizeof plan->who);
  plan->wall_us = c->wall_us;
  plan->n_changes = builder->ops->len + (builder->drain_target != NULL) + builder->replaces_control;
  plan->n_moved = builder->n_moved;
  plan->settle_s = builder->ops->len > 0 ? LC_PLAN_SETTLE_S : 0;
  plan->waits_for_flows = builder->waits_for_flows;
  plan->steps = g_strdup (builder->steps->str);
  plan->breaks = g_strdup (builder->breaks->str);
  lc_control__evict_plan (state);
  g_ptr_array_add (state->plans, plan);
}

static void
lc_control__apply_plan (LcControlState *state, LcRevision index, const LcControlCommand *c)
{
  LcControlAnswer *answer = lc_control__new_answer (state, index, c);
  char summary[LC_CONTROL_SUMMARY_MAX];
  LcPlanBuilder builder;
  LcError error = { 0 };

  lc_control__format_summary (summary, sizeof summary, &c->intent);
  lc_plan_builder_init (&builder, state);
  if (lc_plan_builder_run (&builder, &c->intent, &error) < 0)
    {
      lc_control__answer_error (answer, &error);
      lc_control__record_audit (state, index, c, 0, "refused", summary);
    }
  else
    {
      lc_control__add_plan (state, index, c, &builder);
      answer->plan_id = index;
      lc_control__record_audit (state, index, c, index, "plan", summary);
    }
  lc_plan_builder_finish (&builder);
}

/* === private: confirming ==================================================================== */

static LcPlan *
lc_control__find_plan (const LcControlState *state, uint64_t id)
{
  for (guint i = state->plans->len; i > 0; i--)
    {
      LcPlan *plan = g_ptr_array_index (state->plans, i - 1);

      if (plan->id == id)
        return plan;
    }
  return NULL;
}

static int
lc_control__check_confirm (const LcControlState *state,
                           const LcPlan *plan,
                           uint64_t id,
                           LcError *error)
{
  if (plan == NULL)
    return lc_error_set (error, LC_ERR_NOT_FOUND, "make a new plan",
                         "there is no plan %" G_GUINT64_FORMAT, (guint64)id);
  if (plan->state == LC_PLAN_CONFIRMED)
    return lc_error_set (error, LC_ERR_CONFLICT,
                         "see `lychee history` for who confirmed it; make a new plan if more is "
                         "wanted",
                         "plan %" G_GUINT64_FORMAT
                         " is confirmed already, at revision %" G_GUINT64_FORMAT,
                         (guint64)id, (guint64)plan->confirmed_revision);
  if (plan->base_revision != state->config_revision)
    return lc_error_set (
        error, LC_ERR_CONFLICT, "see `lychee history` for what changed, then plan again",
        "plan %" G_GUINT64_FORMAT " was made on revision %" G_GUINT64_FORMAT
        ", but revision %" G_GUINT64_FORMAT " is in force",
        (guint64)id, (guint64)plan->base_revision, (guint64)state->config_revision);
  return 0;
}

static void
lc_control__set_drain (LcControlState *state, const char *name, bool is_drained)
{
  LcEndpointRecord *record = g_hash_table_lookup (state->endpoints, name);

  if (record != NULL)
    record->is_drained = is_drained;
}

static void
lc_control__begin_replacement (LcControlState *state, const LcPlan *plan)
{
  state->replace.is_active = true;
  state->replace.plan_id = plan->id;
  (void)g_strlcpy (state->replace.old_name, plan->intent.target, sizeof state->replace.old_name);
  state->replace.replacement = plan->intent.replacement;
}

/* Plans on an older base can't be confirmed any more; their declarations, up to half a megabyte
 * each, are freed. */
static void
lc_control__supersede_plans (LcControlState *state)
{
  for (guint i = 0; i < state->plans->len; i++)
    {
      LcPlan *other = g_ptr_array_index (state->plans, i);

      if (other->state == LC_PLAN_OPEN && other->base_revision != state->config_revision)
        {
          other->state = LC_PLAN_SUPERSEDED;
          lc_intent_drop_declaration (&other->intent);
        }
    }
}

static void
lc_control__execute_plan (LcControlState *state,
                          LcRevision index,
                          LcPlan *plan,
                          LcPlanBuilder *builder)
{
  plan->state = LC_PLAN_CONFIRMED;
  plan->confirmed_revision = index;
  if (lc_plan_builder_is_empty (builder))
    return;
  for (guint i = 0; i < builder->ops->len; i++)
    lc_control__emit (state, index, &g_array_index (builder->ops, LcViewOp, i));
  state->next_service_id = builder->next_service_id;
  state->next_dc_id = builder->next_dc_id;
  state->next_route_id = builder->next_route_id;
  if (builder->drain_target != NULL)
    lc_control__set_drain (state, builder->drain_target, builder->sets_drain);
  if (builder->replaces_control)
    lc_control__begin_replacement (state, plan);
  state->config_revision = index;
  lc_control__supersede_plans (state);
}

static void
lc_control__apply_confirm (LcControlState *state, LcRevision index, const LcControlCommand *c)
{
  LcControlAnswer *answer = lc_control__new_answer (state, index, c);
  LcPlan *plan = lc_control__find_plan (state, c->plan_id);
  char summary[LC_CONTROL_SUMMARY_MAX] = "";
  LcPlanBuilder builder;
  LcError error = { 0 };
  int r = lc_control__check_confirm (state, plan, c->plan_id, &error);

  answer->plan_id = c->plan_id;
  if (plan != NULL)
    lc_control__format_summary (summary, sizeof summary, &plan->intent);
  if (r < 0)
    {
      lc_control__answer_error (answer, &error);
      lc_control__record_audit (state, index, c, c->plan_id,
                                r == LC_ERR_CONFLICT ? "conflict" : "refused", summary);
      return;
    }
  lc_plan_builder_init (&builder, state);
  r = lc_plan_builder_run (&builder, &plan->intent, &error);
  if (r < 0)
    lc_control__answer_error (answer, &error);
  else
    {
      lc_control__execute_plan (state, index, plan, &builder);
      /* Older than `index` if the change doesn't affect the view, such as a drain of an endpoint
       * that is gone. */
      answer->revision = state->view.revision;
    }
  lc_control__record_audit (state, index, c, c->plan_id, r < 0 ? "refused" : "confirm", summary);
  lc_plan_builder_finish (&builder);
  if (r == 0)
    lc_intent_drop_declaration (&plan->intent);
}

/* === public: apply ========================================================================== */

static bool
lc_control__is_resend (LcControlState *state, const LcControlCommand *c)
{
  if (c->kind != LC_COMMAND_PLAN && c->kind != LC_COMMAND_CONFIRM && c->kind != LC_COMMAND_EVACUATE)
    return false;
  if (g_hash_table_lookup (state->answers, c->request_id) == NULL)
    return false;
  state->duplicates_total++;
  return true;
}

static void
lc_control__apply_replaced (LcControlState *state, LcRevision index, const LcControlCommand *c)
{
  char summary[LC_CONTROL_SUMMARY_MAX];

  if (!state->replace.is_active || state->replace.plan_id != c->plan_id)
    return;
  (void)g_snprintf (summary, sizeof summary, "control VM %s is replaced by %s",
                    state->replace.old_name, state->replace.replacement.name);
  lc_control__record_audit (state, index, c, c->plan_id, "done", summary);
  memset (&state->replace, 0, sizeof state->replace);
}

static void
lc_control__apply_numbered (LcControlState *state, LcRevision index, const LcControlCommand *c)
{
  char summary[LC_CONTROL_SUMMARY_MAX];

  if (!lc_control__declare_numbered (state, index, &c->numbered))
    {
      state->duplicates_total++;
      return;
    }
  state->config_revision = index;
  lc_control__supersede_plans (state);
  (void)g_snprintf (summary, sizeof summary, "declaration %" G_GUINT64_FORMAT,
                    (guint64)c->numbered.number);
  lc_control__record_audit (state, index, c, 0, "declare", summary);
}

static void
lc_control__apply_evacuate (LcControlState *state, LcRevision index, const LcControlCommand *c)
{
  LcControlAnswer *answer = lc_control__new_answer (state, index, c);
  char summary[LC_CONTROL_SUMMARY_MAX];
  LcError error = { 0 };

  if (lc_control__evacuate (state, index, c, &error) < 0)
    lc_control__answer_error (answer, &error);
  answer->revision = state->view.revision;
  (void)g_snprintf (summary, sizeof summary, "%s the evacuation of %s%s",
                    c->evacuation.is_wanted ? "begin" : "end", c->evacuation.data_centre,
                    answer->code == LC_OK && state->ops->len == 0 ? ": in force already" : "");
  lc_control__record_audit (state, index, c, 0, answer->code == LC_OK ? "evacuate" : "refused",
                            summary);
}

void
lc_control_state_apply (LcControlState *state, LcRevision index, const LcControlCommand *c)
{
  g_array_set_size (state->ops, 0);
  state->applied = index;
  if (lc_control__is_resend (state, c))
    return;
  switch (c->kind)
    {
    case LC_COMMAND_PLAN:
      lc_control__apply_plan (state, index, c);
      break;
    case LC_COMMAND_CONFIRM:
      lc_control__apply_confirm (state, index, c);
      break;
    case LC_COMMAND_MEMBER:
      lc_control__apply_member (state, index, &c->member);
      break;
    case LC_COMMAND_CHANGES:
      for (uint32_t i = 0; i < c->changes.n; i++)
        lc_control__apply_member (state, index, &c->changes.items[i]);
      break;
    case LC_COMMAND_REPLACED:
      lc_control__apply_replaced (state, index, c);
      break;
    case LC_COMMAND_NUMBERED:
      lc_control__apply_numbered (state, index, c);
      break;
    case LC_COMMAND_EVACUATE:
      lc_control__apply_evacuate (state, index, c);
      break;
    }
}

/* === public: queries ======================================================================== */

const LcControlAnswer *
lc_control_state_answer (const LcControlState *state, const char *id)
{
  return g_hash_table_lookup (state->answers, id);
}

bool
lc_control_answer_matches (const LcControlAnswer *answer, const LcControlCommand *command)
{
  return answer->fingerprint == lc_control__fingerprint (command);
}

const LcPlan *
lc_control_state_plan (const LcControlState *state, uint64_t id)
{
  return lc_control__find_plan (state, id);
}

static uint32_t
lc_control__n_draining_in (const LcService *s, LcDcId dc)
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < s->n_endpoints; i++)
    n += s->endpoints[i].dc == dc && s->endpoints[i].state == LC_ENDPOINT_DRAINING ? 1 : 0;
  return n;
}

uint32_t
lc_control_state_remaining (const LcControlState *state, const LcPlan *plan)
{
  const LcDataCentre *dc = lc_view_dc_by_name (&state->view, plan->intent.target);
  const LcEndpoint *e = lc_view_endpoint_by_name (&state->view, plan->intent.target);
  GHashTableIter iter;
  gpointer value;
  uint32_t n = 0;

  if (plan->state != LC_PLAN_CONFIRMED)
    return 0;
  switch (plan->intent.kind)
    {
    case LC_INTENT_DRAIN:
      return e != NULL && e->state == LC_ENDPOINT_DRAINING ? 1 : 0;
    case LC_INTENT_RETIRE_DATA_CENTRE:
      g_hash_table_iter_init (&iter, state->view.services);
      while (dc != NULL && g_hash_table_iter_next (&iter, NULL, &value))
        n += lc_control__n_draining_in (value, dc->id);
      return n;
    case LC_INTENT_REPLACE_CONTROL_VM:
      return state->replace.is_active && state->replace.plan_id == plan->id ? 1 : 0;
    default:
      return 0;
    }
}

static int
lc_control__compare_service_ids (gconstpointer a, gconstpointer b)
{
  const LcService *x = *(const LcService *const *)a;
  const LcService *y = *(const LcService *const *)b;

  return (x->id > y->id) - (x->id < y->id);
}

GPtrArray *
lc_control_state_services (const LcControlState *state)
{
  GPtrArray *services = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, state->view.services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    g_ptr_array_add (services, value);
  g_ptr_array_sort (services, lc_control__compare_service_ids);
  return services;
}
