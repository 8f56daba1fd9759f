#include "lc-request-balancer-private.h"

/* === public: lifetime ======================================================================= */

void
lc_request_balancer_init (LcRequestBalancer *balancer, const LcRequestBalancerDesc *desc)
{
  memset (balancer, 0, sizeof *balancer);
  balancer->desc = *desc;
  if (balancer->desc.connect_us == 0)
    balancer->desc.connect_us = LC_BALANCER_CONNECT_US;
  balancer->random = desc->seed;
  balancer->services = g_hash_table_new_full (NULL, NULL, NULL, lc_balancer__free_service);
  balancer->by_instance = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  balancer->flights = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  balancer->by_id = g_hash_table_new (lc_request_id_hash, lc_request_id_is_equal);
  balancer->actions = g_array_new (FALSE, FALSE, sizeof (LcBalancerAction));
}

void
lc_request_balancer_finish (LcRequestBalancer *balancer)
{
  g_hash_table_destroy (balancer->by_id);
  g_hash_table_destroy (balancer->flights);
  g_hash_table_destroy (balancer->by_instance);
  g_hash_table_destroy (balancer->services);
  g_array_free (balancer->actions, TRUE);
  memset (balancer, 0, sizeof *balancer);
}

void
lc_request_balancer_set_view (LcRequestBalancer *balancer, const LcView *view, int64_t now_us)
{
  GHashTableIter iter;
  gpointer value;

  balancer->view = view;
  g_hash_table_iter_init (&iter, balancer->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      LcServiceState *state = value;

      lc_balancer__set_service (balancer, state, lc_view_service (view, state->id), now_us);
    }
}

/* === public: requests ======================================================================= */

static LcFlight *
lc_balancer__new_flight (LcRequestBalancer *b, const LcFilterRequest *request)
{
  LcFlight *flight = g_new0 (LcFlight, 1);
  LcAttemptsDesc desc = { .id = request->id,
                          .key = request->key,
                          .is_caller_key = request->is_caller_key,
                          .deadline_us = request->deadline_us };

  flight->id = ++b->next_flight_id;
  flight->request_id = request->id;
  flight->service = lc_balancer__find_service (b, request->service->id);
  flight->caller = request->caller;
  flight->is_limited = request->is_limited;
  lc_attempts_init (&flight->attempt, &desc);
  g_hash_table_insert (b->flights, &flight->id, flight);
  g_hash_table_insert (b->by_id, &flight->request_id, flight);
  return flight;
}

uint64_t
lc_request_balancer_start_request (LcRequestBalancer *balancer,
                                   LcFilterRequest *request,
                                   LcFilterVerdict *verdict)
{
  LcFilterContext context = { balancer->view, lc_balancer__find_limit, balancer };
  LcFlight *flight;
  uint64_t flight_id;

  balancer->stats.requests_total++;
  balancer->now_us = request->now_us;
  if (balancer->view == NULL)
    {
      *verdict = (LcFilterVerdict){ .kind = LC_FILTER_REFUSE,
                                    .status = 503,
                                    .reason = LC_REFUSE_NO_ENDPOINT };
      return 0;
    }
  *verdict = lc_filter_run (request, &context);
  if (verdict->kind == LC_FILTER_REFUSE)
    return 0;
  flight = lc_balancer__new_flight (balancer, request);
  flight_id = flight->id;
  lc_retry_deposit (&flight->service->budget);
  lc_balancer__send_first_or_wait (balancer, flight, request->now_us);
  return flight_id;
}

void
lc_request_balancer_handle_sent (LcRequestBalancer *balancer,
                                 uint64_t flight_id,
                                 uint32_t number,
                                 uint64_t link_id)
{
  LcFlight *flight = lc_balancer__find_flight (balancer, flight_id);

  if (flight == NULL || number == 0 || number > flight->attempt.n_attempts)
    return;
  flight->is_waiting = false;
  flight->attempt.attempts[number - 1].link_id = link_id;
  balancer->stats.attempts_total++;
}

void
lc_request_balancer_handle_send_failure (LcRequestBalancer *balancer,
                                         uint64_t flight_id,
                                         uint32_t number,
                                         int64_t now_us)
{
  LcFlight *flight = lc_balancer__find_flight (balancer, flight_id);
  LcPickTarget *target;
  LcStep step;

  if (flight == NULL || number == 0 || number > flight->attempt.n_attempts)
    return;
  target =
      lc_pick_find (&flight->service->pick, flight->attempt.attempts[number - 1].target.instance);
  if (target != NULL)
    lc_pick_set_connecting (target, now_us);
  step = lc_attempts_handle_send_failure (&flight->attempt, number);
  lc_balancer__release_ended_attempts (flight);
  if (step.kind != LC_STEP_RETRY)
    return;
  /* Not sent, so it does not count towards LC_ATTEMPTS_MAX. */
  if (number == flight->attempt.n_attempts)
    flight->attempt.n_attempts--;
  if (flight->owner.instance != 0)
    lc_balancer__wait_for_endpoint (flight, now_us); /* no other agent can answer */
  else
    lc_balancer__send_first_or_wait (balancer, flight, now_us);
}

uint64_t
lc_request_balancer_handle_answer (LcRequestBalancer *balancer,
                                   const LcAttemptRef *ref,
                                   bool is_whole,
                                   uint32_t status,
                                   int64_t now_us)
{
  LcFlight *flight = lc_balancer__find_by_attempt (balancer, ref);
  LcPickTarget *target;
  LcStep step;
  uint64_t flight_id;

  if (flight == NULL)
    {
      balancer->stats.dropped_total++;
      return 0;
    }
  flight_id = flight->id;
  target = lc_pick_find (&flight->service->pick,
                         flight->attempt.attempts[ref->number - 1].target.instance);
  step = lc_attempts_handle_answer (&flight->attempt, ref->link_id, ref->number, is_whole);
  if (target != NULL)
    lc_pick_record_shed (target, false);
  if (target != NULL && is_whole && status < 500)
    lc_outlier_record_success (&target->outlier);
  else if (target != NULL)
    (void)lc_outlier_record_failure (&target->outlier, &flight->service->pick.desc.outlier, now_us);
  if (step.kind != LC_STEP_ANSWER)
    {
      lc_balancer__apply_step (balancer, flight, &step, now_us);
      return 0;
    }
  lc_hedge_record_latency (&flight->service->hedge, now_us - flight->sent_us);
  balancer->stats.answered_total++;
  lc_balancer__push_action (balancer, LC_BALANCER_ANSWER, flight_id);
  lc_balancer__remove (balancer, flight);
  return flight_id;
}

void
lc_request_balancer_handle_refusal (LcRequestBalancer *balancer,
                                    const LcAttemptRef *ref,
                                    const LcRefusal *refusal,
                                    int64_t retry_after_us,
                                    int64_t now_us)
{
  LcFlight *flight = lc_balancer__find_by_attempt (balancer, ref);
  LcStep step;

  if (flight == NULL)
    {
      balancer->stats.dropped_total++;
      return;
    }
  flight->retry_after_us = MAX (flight->retry_after_us, retry_after_us);
  lc_balancer__record_refusal (flight, ref->number, refusal->reason, now_us);
  step = lc_attempts_handle_refusal (&flight->attempt, ref->link_id, ref->number, refusal);
  lc_balancer__apply_step (balancer, flight, &step, now_us);
}

bool
lc_request_balancer_is_attempt_open (const LcRequestBalancer *balancer, const LcAttemptRef *ref)
{
  return lc_balancer__find_by_attempt (balancer, ref) != NULL;
}

/* === public: links and reports ============================================================== */

/* Steps may end flights, so loops iterate over a copy of the list. */
static LcFlight **
lc_balancer__list_flights (const LcRequestBalancer *b, guint *n)
{
  LcFlight **list = g_new (LcFlight *, g_hash_table_size (b->flights) + 1);
  GHashTableIter iter;
  gpointer value;

  *n = 0;
  g_hash_table_iter_init (&iter, b->flights);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    list[(*n)++] = value;
  return list;
}

void
lc_request_balancer_handle_link_down (LcRequestBalancer *balancer, uint64_t link_id, int64_t now_us)
{
  guint n;
  LcFlight **flights = lc_balancer__list_flights (balancer, &n);

  for (guint i = 0; i < n; i++)
    {
      LcStep step = lc_attempts_handle_link_down (&flights[i]->attempt, link_id);

      if (step.kind != LC_STEP_NONE)
        lc_balancer__apply_step (balancer, flights[i], &step, now_us);
    }
  g_free (flights);
}

static void
lc_balancer__retry_waiting (LcRequestBalancer *b, int64_t now_us)
{
  guint n;
  LcFlight **flights = lc_balancer__list_flights (b, &n);

  for (guint i = 0; i < n; i++)
    if (flights[i]->is_waiting)
      lc_balancer__send_first_or_wait (b, flights[i], now_us);
  g_free (flights);
}

void
lc_request_balancer_set_reachable (LcRequestBalancer *balancer,
                                   LcInstance instance,
                                   bool is_reachable,
                                   int64_t now_us)
{
  LcPickTarget *target = lc_balancer__find_target (balancer, instance);

  if (target != NULL)
    lc_pick_set_reachable (target, is_reachable);
  if (is_reachable)
    lc_balancer__retry_waiting (balancer, now_us);
}

void
lc_request_balancer_handle_report (LcRequestBalancer *balancer,
                                   LcInstance instance,
                                   const LcPickReport *report,
                                   int64_t now_us)
{
  LcServiceState *state = g_hash_table_lookup (balancer->by_instance, &instance);

  if (state != NULL)
    lc_pick_apply_report (&state->pick, instance, report, now_us);
}

void
lc_request_balancer_cancel (LcRequestBalancer *balancer, uint64_t flight_id, int64_t now_us)
{
  LcFlight *flight = lc_balancer__find_flight (balancer, flight_id);

  (void)now_us;
  if (flight != NULL)
    lc_balancer__remove (balancer, flight);
}

/* === public: time =========================================================================== */

static void
lc_balancer__hedge (LcRequestBalancer *b, LcFlight *flight, int64_t now_us)
{
  int64_t after_us = lc_hedge_delay_us (&flight->service->hedge);
  LcStep step = { .kind = LC_STEP_RETRY, .reason = LC_REFUSE_NONE };
  LcAttemptPlanning planning;
  LcAttemptPlan plan;

  if (b->desc.has_no_hedge || flight->is_hedged || after_us == 0 ||
      !lc_request_key_is_none (flight->attempt.desc.key) ||
      lc_attempts_count_open (&flight->attempt) != 1 || now_us - flight->sent_us < after_us)
    return;
  planning = lc_balancer__make_planning (b, flight, now_us);
  plan = lc_filter_attempt_next (&planning, &step);
  flight->is_hedged = true;
  if (plan.kind != LC_PLAN_SEND)
    return;
  b->stats.hedges_total++;
  lc_balancer__send_attempt (b, flight, &plan, now_us);
}

void
lc_request_balancer_tick (LcRequestBalancer *balancer, int64_t now_us)
{
  guint n;
  LcFlight **flights = lc_balancer__list_flights (balancer, &n);

  for (guint i = 0; i < n; i++)
    if (now_us >= flights[i]->attempt.desc.deadline_us)
      lc_balancer__give_up (balancer, flights[i], LC_REFUSE_DEADLINE);
    else if (flights[i]->is_waiting &&
             now_us - flights[i]->waiting_since_us >= balancer->desc.connect_us)
      lc_balancer__give_up (balancer, flights[i],
                            flights[i]->owner.instance != 0 ? LC_REFUSE_HELD
                                                            : LC_REFUSE_NO_ENDPOINT);
    else if (flights[i]->is_waiting)
      lc_balancer__send_first_or_wait (balancer, flights[i], now_us);
    else
      lc_balancer__hedge (balancer, flights[i], now_us);
  g_free (flights);
}

uint32_t
lc_request_balancer_count_flights (const LcRequestBalancer *balancer)
{
  return g_hash_table_size (balancer->flights);
}

bool
lc_request_balancer_next_action (LcRequestBalancer *balancer, LcBalancerAction *action)
{
  if (balancer->n_taken == balancer->actions->len)
    {
      g_array_set_size (balancer->actions, 0);
      balancer->n_taken = 0;
      return false;
    }
  *action = g_array_index (balancer->actions, LcBalancerAction, balancer->n_taken);
  balancer->n_taken++;
  return true;
}
