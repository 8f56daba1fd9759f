#include "lc-balancer-request-private.h"

/* === private: calls ========================================================================= */

static LcBalancerCall *
lc_balancer_request__find_call (const LcBalancerRequest *plane, uint64_t flight_id)
{
  return g_hash_table_lookup (plane->calls, &flight_id);
}

/* Adds the request's ids to `line` and logs it. */
static void
lc_balancer_request__log (LcBalancerRequest *plane,
                          LcRequestLogKind kind,
                          const LcFilterRequest *request,
                          LcRequestLogLine line)
{
  int64_t now_us = lc_clock_now_us ();

  line.kind = kind;
  line.id = request->id;
  line.key = request->key;
  if (line.attempt <= 1 && request->key_text.len > 0)
    {
      line.caller_key = request->key_text.base;
      line.caller_key_len = request->key_text.len;
    }
  line.took_us = now_us - request->now_us;
  lc_request_log (&plane->log, &line, now_us);
}

/* h2o frees the request: it was answered, or its connection was closed. */
static void
lc_balancer_request__on_dispose (void *data)
{
  LcBalancerCall *call = data;
  LcBalancerRequest *plane = call->plane;

  plane->n_calls--;
  if (call->flight_id == 0)
    return;
  lc_balancer_request__log (plane, LC_REQUEST_LOG_LEFT, &call->request, (LcRequestLogLine){ 0 });
  g_hash_table_remove (plane->calls, &call->flight_id);
  lc_request_balancer_cancel (&plane->core, call->flight_id, lc_clock_now_us ());
  call->flight_id = 0;
  lc_balancer_request__run_actions (plane);
}

static LcBurnCounter
lc_balancer_request__classify_latency (const LcService *s, int64_t took_us)
{
  uint32_t objective_ms =
      s->objective_latency_ms != 0 ? s->objective_latency_ms : LC_BALANCER_OBJECTIVE_MS;

  return took_us <= objective_ms * LC_US_PER_MS ? LC_BURN_GOOD : LC_BURN_LATE;
}

/* Removes a call that is about to be answered, and counts it; `failure`: its outcome, or NULL. */
static LcBalancerCall *
lc_balancer_request__close_call (LcBalancerRequest *plane,
                                 uint64_t flight_id,
                                 const LcOutcome *failure)
{
  LcBalancerCall *call = lc_balancer_request__find_call (plane, flight_id);
  int64_t took_us;
  const LcService *s;

  if (call == NULL)
    return NULL;
  took_us = lc_clock_now_us () - call->request.now_us;
  s = lc_view_service (plane->core.view, call->service_id);
  g_hash_table_remove (plane->calls, &flight_id);
  call->flight_id = 0;
  lc_metric_observe_us (plane->latency, took_us);
  if (s != NULL && failure == NULL)
    lc_burn_add (&plane->desc.app->burn, s->name,
                 lc_balancer_request__classify_latency (s, took_us), 1);
  else if (s != NULL)
    lc_burn_add (&plane->desc.app->burn, s->name,
                 *failure == LC_OUTCOME_NOT_RUN ? LC_BURN_REFUSED : LC_BURN_UNKNOWN, 1);
  return call;
}

static void
lc_balancer_request__deliver_answer (LcBalancerRequest *plane,
                                     uint64_t flight_id,
                                     const LcIncomingAnswer *incoming)
{
  LcBalancerCall *call = lc_balancer_request__close_call (plane, flight_id, NULL);

  if (call == NULL)
    return;
  lc_balancer_request__log (
      plane, LC_REQUEST_LOG_ANSWERED, &call->request,
      (LcRequestLogLine){ .attempt = incoming->ref.number, .status = incoming->head->status });
  lc_caller_send_answer (call->req, &call->request, incoming->head, incoming->body->data,
                         incoming->body->len);
}

static bool
lc_balancer_request__is_whole (const LcIncomingAnswer *incoming)
{
  return incoming->body->len == incoming->head->body_length &&
         lc_request_checksum (incoming->body->data, incoming->body->len) ==
             incoming->head->body_checksum;
}

/* Completes an answer: all its parts were received, or one was invalid. */
void
lc_balancer_request__complete_incoming (LcBalancerRequest *plane, LcIncomingAnswer *incoming)
{
  uint64_t flight_id = lc_request_balancer_handle_answer (
      &plane->core, &incoming->ref, lc_balancer_request__is_whole (incoming),
      incoming->head->status, lc_clock_now_us ());

  if (flight_id != 0)
    lc_balancer_request__deliver_answer (plane, flight_id, incoming);
}

/* === private: actions ======================================================================= */

static void
lc_balancer_request__send_attempt (LcBalancerRequest *plane, const LcBalancerAction *action)
{
  LcBalancerCall *call = lc_balancer_request__find_call (plane, action->flight_id);
  LcBalancerAgentLink *peer = lc_balancer_request__get_agent_link (
      plane, action->send.ref.id, action->send.ipv4, action->send.peer_port);
  LcLink *link = lc_link_client_link (&peer->client);

  if (call == NULL)
    return;
  call->request.service = lc_view_service (plane->core.view, call->service_id);
  if (link == NULL || peer->link_id == 0 || call->request.service == NULL)
    {
      lc_request_balancer_handle_send_failure (&plane->core, action->flight_id, action->send.number,
                                               lc_clock_now_us ());
      return;
    }
  lc_balancer_request__log (plane, LC_REQUEST_LOG_SENT, &call->request,
                            (LcRequestLogLine){ .attempt = action->send.number,
                                                .service = call->request.service->name,
                                                .to = { action->send.ipv4, action->send.peer_port },
                                                .left_us = action->send.left_us });
  lc_request_balancer_handle_sent (&plane->core, action->flight_id, action->send.number,
                                   peer->link_id);
  /* Closes the link, so that the agent never runs a truncated request. */
  if (lc_caller_send_attempt (link, call->req, &call->request, action) < 0)
    lc_link_close (link, "an attempt was sent only in part");
}

static gboolean
lc_balancer_request__has_link_id (gpointer key, gpointer value, gpointer user)
{
  return ((const LcBalancerAgentLink *)value)->link_id == *(const uint64_t *)user;
}

static void
lc_balancer_request__send_cancel (LcBalancerRequest *plane, const LcBalancerAction *action)
{
  uint64_t link_id = action->cancel.link_id;
  LcBalancerAgentLink *peer =
      g_hash_table_find (plane->agents, lc_balancer_request__has_link_id, &link_id);
  Lc__Request__Cancel message = LC__REQUEST__CANCEL__INIT;

  if (peer == NULL || link_id == 0)
    return;
  message.id_hi = action->cancel.id.hi;
  message.id_lo = action->cancel.id.lo;
  message.attempt = action->cancel.number;
  (void)lc_link_send (lc_link_client_link (&peer->client), LC_FRAME_CANCEL, &message.base);
}

static void
lc_balancer_request__send_failure (LcBalancerRequest *plane, const LcBalancerAction *action)
{
  LcBalancerCall *call =
      lc_balancer_request__close_call (plane, action->flight_id, &action->fail.outcome);

  if (call == NULL)
    return;
  lc_balancer_request__log (plane, LC_REQUEST_LOG_FAILED, &call->request,
                            (LcRequestLogLine){ .why = lc_refuse_name (action->fail.reason),
                                                .outcome = lc_outcome_name (action->fail.outcome),
                                                .retry_after_us = action->fail.retry_after_us });
  lc_caller_send_failure (call->req, &call->request, action);
}

static void
lc_balancer_request__run_action (LcBalancerRequest *plane, const LcBalancerAction *action)
{
  switch (action->kind)
    {
    case LC_BALANCER_SEND:
      lc_balancer_request__send_attempt (plane, action);
      break;
    case LC_BALANCER_CANCEL:
      lc_balancer_request__send_cancel (plane, action);
      break;
    case LC_BALANCER_ANSWER:
      break; /* sent by lc_balancer_request__complete_incoming */
    case LC_BALANCER_FAIL:
      lc_balancer_request__send_failure (plane, action);
      break;
    }
}

/* An action may queue further ones; only the outermost call runs them. */
void
lc_balancer_request__run_actions (LcBalancerRequest *plane)
{
  LcBalancerAction action;

  if (plane->is_acting)
    return;
  plane->is_acting = true;
  while (lc_request_balancer_next_action (&plane->core, &action))
    lc_balancer_request__run_action (plane, &action);
  plane->is_acting = false;
}

/* === private: callers ======================================================================= */

static int
lc_balancer_request__on_request (void *user, h2o_req_t *req)
{
  LcBalancerRequest *plane = user;
  LcBalancerCall *call =
      h2o_mem_alloc_shared (&req->pool, sizeof *call, lc_balancer_request__on_dispose);
  LcFilterVerdict verdict;

  memset (call, 0, sizeof *call);
  call->plane = plane;
  call->req = req;
  plane->n_calls++;
  lc_caller_read (&call->request, req, lc_clock_now_us ());
  call->flight_id = lc_request_balancer_start_request (&plane->core, &call->request, &verdict);
  if (call->flight_id == 0)
    {
      lc_balancer_request__log (plane, LC_REQUEST_LOG_FAILED, &call->request,
                                (LcRequestLogLine){ .why = verdict.reason != LC_REFUSE_NONE
                                                               ? lc_refuse_name (verdict.reason)
                                                               : verdict.message,
                                                    .status = verdict.status });
      lc_caller_send_refusal (req, &call->request, &verdict);
      return 0;
    }
  call->service_id = call->request.service->id;
  g_hash_table_insert (plane->calls, &call->flight_id, call);
  lc_balancer_request__run_actions (plane);
  return 0;
}

/* === private: timer ========================================================================= */

/* h2o doesn't read while a request is handled, so closed connections are detected by polling. */
static void
lc_balancer_request__poll_callers (LcBalancerRequest *plane)
{
  GList *calls = g_hash_table_get_values (plane->calls);

  for (GList *at = calls; at != NULL; at = at->next)
    {
      LcBalancerCall *call = at->data;
      uint64_t flight_id = call->flight_id;

      if (!lc_caller_has_disconnected (call->req))
        continue;
      lc_balancer_request__log (plane, LC_REQUEST_LOG_LEFT, &call->request,
                                (LcRequestLogLine){ 0 });
      g_hash_table_remove (plane->calls, &flight_id);
      call->flight_id = 0;
      lc_request_balancer_cancel (&plane->core, flight_id, lc_clock_now_us ());
      call->req->http1_is_persistent = 0;
      lc_http_answer (call->req, 499, NULL, "", 0);
    }
  g_list_free (calls);
}

static const char *const LC_BALANCER_REQUEST_METRIC_NAMES[LC_BALANCER_REQUEST_METRICS][2] = {
  { "lychee_request_requests_total", "Requests of callers" },
  { "lychee_request_attempts_total", "Attempts sent to agents" },
  { "lychee_request_retries_total", "Attempts after the first one" },
  { "lychee_request_hedges_total", "Second attempts of slow requests" },
  { "lychee_request_answered_total", "Requests that got their answer" },
  { "lychee_request_not_run_total", "Requests refused that certainly did not run" },
  { "lychee_request_outcome_unknown_total", "Requests that may have run" },
  { "lychee_request_dropped_total", "Late, doubled or crossed messages dropped" },
};

static void
lc_balancer_request__update_metrics (LcBalancerRequest *plane)
{
  const LcRequestBalancerStats *s = &plane->core.stats;
  uint64_t values[LC_BALANCER_REQUEST_METRICS] = {
    s->requests_total, s->attempts_total, s->retries_total, s->hedges_total,
    s->answered_total, s->not_run_total,  s->unknown_total, s->dropped_total,
  };

  for (size_t i = 0; i < LC_BALANCER_REQUEST_METRICS; i++)
    {
      lc_metric_add (plane->metrics[i], values[i] - plane->counted[i]);
      plane->counted[i] = values[i];
    }
}

static void
lc_balancer_request__on_timer (void *user)
{
  LcBalancerRequest *plane = user;
  int64_t now_us = lc_clock_now_us ();

  lc_request_balancer_tick (&plane->core, now_us);
  lc_balancer_request__run_actions (plane);
  if (now_us - plane->polled_us >= LC_BALANCER_POLL_INTERVAL_US)
    {
      plane->polled_us = now_us;
      lc_balancer_request__poll_callers (plane);
      lc_balancer_request__run_actions (plane);
    }
  if (now_us - plane->metrics_us >= LC_BALANCER_METRICS_INTERVAL_US)
    {
      plane->metrics_us = now_us;
      lc_balancer_request__update_metrics (plane);
    }
  lc_timer_start (&plane->timer, LC_BALANCER_TICK_MS);
}

/* === public ================================================================================= */

static LcDcId
lc_balancer_request__find_own_dc (const LcBalancerRequest *plane, const LcView *view)
{
  const LcDataCentre *dc = lc_view_dc_by_name (view, plane->desc.settings->data_centre);

  return dc != NULL ? dc->id : 0;
}

static void
lc_balancer_request__register_metrics (LcBalancerRequest *plane)
{
  LcMetrics *metrics = &plane->desc.app->metrics;

  for (size_t i = 0; i < LC_BALANCER_REQUEST_METRICS; i++)
    plane->metrics[i] = lc_metrics_counter (metrics, LC_BALANCER_REQUEST_METRIC_NAMES[i][0],
                                            LC_BALANCER_REQUEST_METRIC_NAMES[i][1], NULL);
  plane->latency = lc_metrics_histogram (metrics, "lychee_request_latency_us",
                                         "Time from a whole request to its answer", NULL);
}

int
lc_balancer_request_init (LcBalancerRequest *plane,
                          const LcBalancerRequestDesc *desc,
                          LcError *error)
{
  LcRequestBalancerDesc core = { .seed = desc->instance };
  LcHttpDesc http = { .loop = desc->app->loop,
                      .ipv4 = desc->settings->ipv4,
                      .port = desc->settings->http_port,
                      .user = plane,
                      .request = lc_balancer_request__on_request };
  int r;

  memset (plane, 0, sizeof *plane);
  plane->desc = *desc;
  r = lc_http_init (&plane->http, &http, error);
  if (r < 0)
    return r;
  lc_request_balancer_init (&plane->core, &core);
  plane->agents = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free,
                                         lc_balancer_request__agent_link_free);
  plane->calls = g_hash_table_new (g_int64_hash, g_int64_equal);
  plane->incoming =
      g_hash_table_new_full (lc_balancer_request__ref_hash, lc_balancer_request__ref_equal, NULL,
                             lc_balancer_request__incoming_free);
  lc_balancer_request__register_metrics (plane);
  lc_timer_init (&plane->timer, desc->app->loop, lc_balancer_request__on_timer, plane);
  lc_timer_start (&plane->timer, LC_BALANCER_TICK_MS);
  return 0;
}

void
lc_balancer_request_finish (LcBalancerRequest *plane)
{
  lc_timer_finish (&plane->timer);
  plane->is_acting = true; /* no action runs any more */
  g_hash_table_destroy (plane->agents);
  g_hash_table_destroy (plane->incoming);
  lc_http_finish (&plane->http);
  g_hash_table_destroy (plane->calls);
  lc_request_balancer_finish (&plane->core);
}

void
lc_balancer_request_handle_view (
    LcBalancerRequest *plane, const LcView *view, const LcViewOp *ops, size_t n_ops, bool is_reset)
{
  plane->core.desc.own_dc = lc_balancer_request__find_own_dc (plane, view);
  lc_request_balancer_set_view (&plane->core, view, lc_clock_now_us ());
  lc_balancer_request__close_unused_links (plane, view);
  lc_balancer_request__run_actions (plane);
}

void
lc_balancer_request_handle_frame (LcBalancerRequest *plane, LcLink *link, const LcFrame *frame)
{
  lc_balancer_request__reject_malformed (plane, link, frame->type);
}

void
lc_balancer_request_handle_link_down (LcBalancerRequest *plane, LcLink *link)
{
}

void
lc_balancer_request_drain (LcBalancerRequest *plane)
{
  plane->is_draining = true;
  lc_http_stop_accepting (&plane->http);
}

bool
lc_balancer_request_is_idle (const LcBalancerRequest *plane)
{
  return plane->n_calls == 0;
}
