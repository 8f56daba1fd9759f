#include "lc-agent-request-private.h"

/* === private: runs ========================================================================== */

static void
lc_agent_request__run_free (gpointer data)
{
  LcAgentRun *call = data;

  if (call->call != NULL)
    lc_backend_call_cancel (call->call);
  lc_partial_attempt_free (call->payload);
  g_free (call);
}

/* === private: log =========================================================================== */

static void
lc_agent_request__log_run (LcAgentRequest *plane,
                           LcRequestLogKind kind,
                           const LcAgentRun *call,
                           LcRequestLogLine line,
                           int64_t now_us)
{
  line.kind = kind;
  line.id = call->payload->attempt_id.id;
  line.key = (LcRequestKey){ call->payload->head->key_hi, call->payload->head->key_lo };
  line.attempt = call->payload->attempt_id.attempt;
  line.left_us = call->deadline_us - now_us;
  lc_request_log (&plane->log, &line, now_us);
}

static const char *
lc_agent_request__result_name (LcRunResult how)
{
  switch (how)
    {
    case LC_RUN_OK:
      return NULL;
    case LC_RUN_SHED:
      return "shed";
    case LC_RUN_NOT_SENT:
      return "not-sent";
    case LC_RUN_BROKEN:
      return "broken";
    case LC_RUN_CANCELLED:
      return "cancelled";
    }
  return "unknown";
}

static void
lc_agent_request__log_run_end (LcAgentRequest *plane, const LcAgentRun *call, const char *why)
{
  int64_t now_us = lc_clock_now_us ();

  lc_agent_request__log_run (plane, LC_REQUEST_LOG_ENDED, call,
                             (LcRequestLogLine){ .why = why, .took_us = now_us - call->started_us },
                             now_us);
}

/* Logs an attempt that joins another copy's run, or is a duplicate. */
static void
lc_agent_request__log_joined (LcAgentRequest *plane,
                              const LcAgentAttempt *attempt,
                              uint64_t duplicates_before,
                              int64_t now_us)
{
  LcRequestLogLine line = { .kind = LC_REQUEST_LOG_JOINED,
                            .id = attempt->attempt_id.id,
                            .key = attempt->key,
                            .attempt = attempt->attempt_id.attempt };

  if (plane->core.stats.duplicates_total != duplicates_before)
    line.why = "seen-before";
  lc_request_log (&plane->log, &line, now_us);
}

static void
lc_agent_request__log_claim_delayed (LcAgentRequest *plane,
                                     const LcAgentAction *action,
                                     int64_t now_us)
{
  LcRequestLogLine line = { .kind = LC_REQUEST_LOG_HELD_UP,
                            .id = action->claim_delayed.attempt_id.id,
                            .key = action->claim_delayed.key,
                            .attempt = action->claim_delayed.attempt_id.attempt,
                            .why = lc_claim_result_name (action->claim_delayed.result),
                            .member = action->claim_delayed.home,
                            .left_us = action->claim_delayed.deadline_us - now_us };

  lc_request_log (&plane->log, &line, now_us);
}

/* === private: actions ======================================================================= */

static void
lc_agent_request__on_call_end (void *user, LcRunResult how, LcAnswer *answer)
{
  LcAgentRun *call = user;
  LcAgentRequest *plane = call->plane;

  call->call = NULL;
  lc_agent_request__log_run_end (plane, call, lc_agent_request__result_name (how));
  lc_request_agent_end_run (&plane->core, call->run_id, how, answer, lc_clock_now_us ());
  lc_answer_unref (answer);
  lc_agent_request__execute_actions (plane);
}

static void
lc_agent_request__start_run (LcAgentRequest *plane, uint64_t run_id, int64_t now_us)
{
  LcAgentRun *call = g_hash_table_lookup (plane->runs, &run_id);
  ProtobufCBinaryData method;
  GBytes *request;
  LcBackendCall *made;
  bool is_head;

  if (call == NULL)
    {
      lc_request_agent_end_run (&plane->core, run_id, LC_RUN_NOT_SENT, NULL, now_us);
      return;
    }
  method = call->payload->head->method;
  is_head = method.len == 4 && memcmp (method.data, "HEAD", 4) == 0;
  call->started_us = now_us;
  lc_agent_request__log_run (plane, LC_REQUEST_LOG_STARTED, call, (LcRequestLogLine){ 0 }, now_us);
  request = lc_partial_attempt_build_http (call->payload, call->deadline_us - now_us);
  made =
      lc_backend_call_new (&plane->backend, request, is_head, lc_agent_request__on_call_end, call);
  call = g_hash_table_lookup (plane->runs, &run_id);
  if (call != NULL)
    call->call = made;
}

static void
lc_agent_request__stop_run (LcAgentRequest *plane, uint64_t run_id)
{
  const LcAgentRun *call = g_hash_table_lookup (plane->runs, &run_id);

  if (call != NULL)
    lc_agent_request__log_run_end (plane, call, "stopped");
  g_hash_table_remove (plane->runs, &run_id);
}

static void
lc_agent_request__execute (LcAgentRequest *plane, const LcAgentAction *action, int64_t now_us)
{
  switch (action->kind)
    {
    case LC_AGENT_START:
      lc_agent_request__start_run (plane, action->run_id, now_us);
      break;
    case LC_AGENT_STOP:
      lc_agent_request__stop_run (plane, action->run_id);
      break;
    case LC_AGENT_DROP_PAYLOAD:
      g_hash_table_remove (plane->runs, &action->run_id);
      break;
    case LC_AGENT_ANSWER:
      lc_agent_request__send_answer (plane, action);
      break;
    case LC_AGENT_REFUSE:
      lc_agent_request__send_refuse (plane, action);
      break;
    case LC_AGENT_CLAIM:
      lc_agent_request__send_claim (plane, action, now_us);
      break;
    case LC_AGENT_RELEASE:
      lc_agent_request__send_release (plane, action, now_us);
      break;
    case LC_AGENT_READ_CLAIMS:
      lc_agent_request__send_read (plane, action, now_us);
      break;
    case LC_AGENT_CLAIM_DELAYED:
      lc_agent_request__log_claim_delayed (plane, action, now_us);
      break;
    case LC_AGENT_PERSIST:
      lc_agent_request__persist_claim (plane, &action->persist);
      break;
    }
}

/* Executing an action may queue more: only the outermost call takes them. */
void
lc_agent_request__execute_actions (LcAgentRequest *plane)
{
  LcAgentAction action;

  if (plane->is_busy)
    return;
  plane->is_busy = true;
  while (lc_request_agent_next_action (&plane->core, &action))
    {
      lc_agent_request__execute (plane, &action, lc_clock_now_us ());
      lc_agent_action_clear (&action);
    }
  lc_agent_request__update_claim_file (plane, lc_clock_now_us ());
  plane->is_busy = false;
}

/* === private: incoming attempts============================================================== */

static void
lc_agent_request__refuse_malformed (LcAgentRequest *plane, const LcAttemptId *attempt_id)
{
  LcAgentAction action = { .kind = LC_AGENT_REFUSE };

  lc_agent_request__count_malformed (plane, LC_FRAME_ATTEMPT_HEAD);
  action.refuse.attempt_id = *attempt_id;
  action.refuse.reason = LC_REFUSE_MALFORMED;
  lc_agent_request__send_refuse (plane, &action);
}

/* Submits a complete attempt; takes ownership of `partial`. */
static void
lc_agent_request__submit (LcAgentRequest *plane, LcPartialAttempt *partial, int64_t now_us)
{
  LcAgentAttempt attempt = lc_partial_attempt_get_attempt (partial, now_us);
  uint64_t duplicates = plane->core.stats.duplicates_total;
  guint n_actions = plane->core.actions->len;
  LcAgentRun *call;
  uint64_t run_id;

  if (!lc_partial_attempt_is_intact (partial))
    {
      lc_agent_request__refuse_malformed (plane, &partial->attempt_id);
      lc_partial_attempt_free (partial);
      return;
    }
  run_id = lc_request_agent_handle_attempt (&plane->core, &attempt, now_us);
  if (run_id == 0)
    {
      if (plane->core.actions->len == n_actions)
        lc_agent_request__log_joined (plane, &attempt, duplicates, now_us);
      lc_partial_attempt_free (partial);
      return;
    }
  call = g_new0 (LcAgentRun, 1);
  call->plane = plane;
  call->run_id = run_id;
  call->payload = partial;
  call->deadline_us = attempt.deadline_us;
  g_hash_table_replace (plane->runs, &call->run_id, call);
}

static void
lc_agent_request__on_head (LcAgentRequest *plane, LcLink *link, const LcFrame *frame)
{
  Lc__Request__AttemptHead *head =
      lc__request__attempt_head__unpack (NULL, frame->payload_len, frame->payload);
  LcAttemptId attempt_id = { .link_id = lc_link_id (link) };
  LcPartialAttempt *partial;

  if (head == NULL)
    {
      lc_agent_request__count_malformed (plane, frame->type);
      return;
    }
  attempt_id.id = (LcRequestId){ head->id_hi, head->id_lo };
  attempt_id.attempt = head->attempt;
  partial = lc_partial_attempt_new (attempt_id.link_id, head);
  if (partial == NULL ||
      plane->partial_bytes + partial->head->body_length > LC_AGENT_MAX_PARTIAL_BYTES)
    {
      if (partial != NULL)
        lc_partial_attempt_free (partial);
      lc_agent_request__refuse_malformed (plane, &attempt_id);
    }
  else if (lc_partial_attempt_is_complete (partial))
    lc_agent_request__submit (plane, partial, lc_clock_now_us ());
  else if (!g_hash_table_contains (plane->partial, &partial->attempt_id))
    {
      plane->partial_bytes += partial->head->body_length;
      g_hash_table_insert (plane->partial, &partial->attempt_id, partial);
    }
  else
    lc_partial_attempt_free (partial);
}

static void
lc_agent_request__on_body (LcAgentRequest *plane, LcLink *link, const LcFrame *frame)
{
  Lc__Request__AttemptBody *part =
      lc__request__attempt_body__unpack (NULL, frame->payload_len, frame->payload);
  LcAttemptId attempt_id = { .link_id = lc_link_id (link) };
  LcPartialAttempt *partial;
  bool is_good;

  if (part == NULL)
    {
      lc_agent_request__count_malformed (plane, frame->type);
      return;
    }
  attempt_id.id = (LcRequestId){ part->id_hi, part->id_lo };
  attempt_id.attempt = part->attempt;
  partial = g_hash_table_lookup (plane->partial, &attempt_id);
  is_good = partial != NULL && lc_partial_attempt_add_body (partial, part);
  lc__request__attempt_body__free_unpacked (part, NULL);
  if (partial == NULL || (is_good && !lc_partial_attempt_is_complete (partial)))
    return;
  plane->partial_bytes -= partial->head->body_length;
  g_hash_table_steal (plane->partial, &attempt_id);
  if (is_good)
    {
      lc_agent_request__submit (plane, partial, lc_clock_now_us ());
      return;
    }
  lc_partial_attempt_free (partial);
  lc_agent_request__refuse_malformed (plane, &attempt_id);
}

static void
lc_agent_request__on_cancel (LcAgentRequest *plane, LcLink *link, const LcFrame *frame)
{
  Lc__Request__Cancel *cancel =
      lc__request__cancel__unpack (NULL, frame->payload_len, frame->payload);
  LcAttemptId attempt_id = { .link_id = lc_link_id (link) };
  LcPartialAttempt *partial;

  if (cancel == NULL)
    {
      lc_agent_request__count_malformed (plane, frame->type);
      return;
    }
  attempt_id.id = (LcRequestId){ cancel->id_hi, cancel->id_lo };
  attempt_id.attempt = cancel->attempt;
  lc__request__cancel__free_unpacked (cancel, NULL);
  partial = g_hash_table_lookup (plane->partial, &attempt_id);
  if (partial != NULL)
    {
      plane->partial_bytes -= partial->head->body_length;
      g_hash_table_remove (plane->partial, &attempt_id);
    }
  lc_request_agent_handle_cancel (&plane->core, &attempt_id, lc_clock_now_us ());
}

/* === private: timer ========================================================================= */

static const char *const LC_AGENT_REQUEST_METRIC_NAMES[LC_N_AGENT_REQUEST_METRICS][2] = {
  { "lychee_request_runs_total", "Requests given to the backend server" },
  { "lychee_request_replayed_total", "Recorded answers given again" },
  { "lychee_request_refused_total", "Attempts refused" },
  { "lychee_request_duplicates_total", "Attempts that had come before" },
  { "lychee_request_held_total", "Keys found claimed by another agent" },
  { "lychee_request_unclaimed_total", "Keys that could not be claimed in time" },
  { "lychee_request_unknown_total", "Runs whose outcome is unknown" },
  { "lychee_request_malformed_total", "Frames that could not be read" },
  { "lychee_request_claims_lost_total", "Times that all homes of a former set were gone" },
  { "lychee_request_claims_expired_total", "Claims forgotten after their time" },
  { "lychee_request_claims_file_errors_total", "Times that the file of claims was lost" },
};

static void
lc_agent_request__publish_metrics (LcAgentRequest *plane)
{
  const LcRequestAgentStats *s = &plane->core.stats;
  uint64_t values[LC_N_AGENT_REQUEST_METRICS] = {
    s->runs_total,
    s->replayed_total,
    s->refused_total,
    s->duplicates_total,
    s->held_total,
    s->unclaimed_total,
    s->unknown_total,
    plane->malformed_total,
    plane->core.claim_sync.lost_total,
    plane->core.store.expired_total,
    plane->claims.errors_total,
  };

  for (size_t i = 0; i < LC_N_AGENT_REQUEST_METRICS; i++)
    {
      lc_metric_add (plane->metrics[i], values[i] - plane->published[i]);
      plane->published[i] = values[i];
    }
}

static void
lc_agent_request__on_timer (void *user)
{
  LcAgentRequest *plane = user;
  int64_t now_us = lc_clock_now_us ();

  lc_request_agent_tick (&plane->core, now_us);
  lc_agent_request__execute_actions (plane);
  if (now_us - plane->reported_us >= LC_AGENT_REQUEST_REPORT_US)
    {
      plane->reported_us = now_us;
      lc_agent_request__send_loads (plane);
      lc_agent_request__publish_metrics (plane);
      lc_peer_pool_expire (&plane->peers, now_us);
    }
  lc_timer_start (&plane->timer, LC_AGENT_REQUEST_TICK_MS);
}

static void
lc_agent_request__on_peer_frame (void *user, LcLink *link, const LcFrame *frame)
{
  LcAgentRequest *plane = user;

  if (frame->type == LC_FRAME_CLAIM_ANSWER)
    lc_agent_request__on_claim_answer (plane, frame);
  else if (frame->type == LC_FRAME_CLAIM_READ_ANSWER)
    lc_agent_request__on_read_answer (plane, frame);
  else if (frame->type != LC_FRAME_LOAD)
    lc_link_close (link, "frame type is not expected from another agent");
  lc_agent_request__execute_actions (plane);
}

/* === public ================================================================================= */

int
lc_agent_request_init (LcAgentRequest *plane, const LcAgentRequestDesc *desc, LcError *error)
{
  LcRequestAgentDesc core = { .self = { .instance = desc->instance },
                              .admission = { .slots = desc->settings->slots } };
  LcBackendClientDesc backend = { .loop = desc->app->loop,
                                  .address = desc->settings->backend_http };
  LcPeerPoolDesc peers = { .loop = desc->app->loop,
                           .source_ipv4 = desc->settings->ipv4,
                           .handler = { plane, lc_agent_request__on_peer_frame, NULL, NULL } };

  int r;

  memset (plane, 0, sizeof *plane);
  plane->desc = *desc;
  lc_request_agent_init (&plane->core, &core);
  r = lc_agent_request__open_claim_file (plane, error);
  if (r < 0)
    return r;
  lc_backend_client_init (&plane->backend, &backend);
  lc_peer_pool_init (&plane->peers, &peers);
  plane->links = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  plane->partial = g_hash_table_new_full (lc_attempt_id_hash, lc_attempt_id_equal, NULL,
                                          lc_partial_attempt_free);
  plane->runs =
      g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, lc_agent_request__run_free);
  for (size_t i = 0; i < LC_N_AGENT_REQUEST_METRICS; i++)
    plane->metrics[i] =
        lc_metrics_counter (&desc->app->metrics, LC_AGENT_REQUEST_METRIC_NAMES[i][0],
                            LC_AGENT_REQUEST_METRIC_NAMES[i][1], NULL);
  lc_timer_init (&plane->timer, desc->app->loop, lc_agent_request__on_timer, plane);
  lc_timer_start (&plane->timer, LC_AGENT_REQUEST_TICK_MS);
  return 0;
}

void
lc_agent_request_finish (LcAgentRequest *plane)
{
  lc_timer_finish (&plane->timer);
  g_hash_table_destroy (plane->runs);
  g_hash_table_destroy (plane->partial);
  g_hash_table_destroy (plane->links);
  lc_peer_pool_finish (&plane->peers);
  lc_backend_client_finish (&plane->backend);
  lc_request_agent_finish (&plane->core);
  lc_agent_request__close_claim_file (plane);
}

void
lc_agent_request_set_view (
    LcAgentRequest *plane, const LcView *view, const LcViewOp *ops, size_t n_ops, bool is_reset)
{
  const LcEndpoint *self = lc_member_endpoint (plane->desc.member);
  bool is_self = self != NULL && self->instance == plane->desc.instance;

  lc_request_agent_set_service (&plane->core, lc_agent_request__service (plane),
                                is_self ? self->id : 0, lc_clock_now_us ());
  lc_request_agent_set_evacuated (&plane->core,
                                  self != NULL && lc_view_is_evacuated (view, self->dc));
  lc_agent_request__execute_actions (plane);
}

void
lc_agent_request_handle_frame (LcAgentRequest *plane, LcLink *link, const LcFrame *frame)
{
  lc_agent_request__track_link (plane, link);
  switch (frame->type)
    {
    case LC_FRAME_ATTEMPT_HEAD:
      lc_agent_request__on_head (plane, link, frame);
      break;
    case LC_FRAME_ATTEMPT_BODY:
      lc_agent_request__on_body (plane, link, frame);
      break;
    case LC_FRAME_CANCEL:
      lc_agent_request__on_cancel (plane, link, frame);
      break;
    case LC_FRAME_CLAIM:
      lc_agent_request__on_claim (plane, link, frame);
      break;
    case LC_FRAME_CLAIM_RELEASE:
      lc_agent_request__on_release (plane, frame);
      break;
    case LC_FRAME_CLAIM_READ:
      lc_agent_request__on_read (plane, link, frame);
      break;
    default:
      lc_agent_request__count_malformed (plane, frame->type);
      break;
    }
  lc_agent_request__execute_actions (plane);
}

static gboolean
lc_agent_request__drop_if_from_link (gpointer key, gpointer value, gpointer user)
{
  LcAgentRequest *plane = ((gpointer *)user)[0];
  const LcPartialAttempt *partial = value;

  (void)key;
  if (partial->attempt_id.link_id != *(const uint64_t *)((gpointer *)user)[1])
    return FALSE;
  plane->partial_bytes -= partial->head->body_length;
  return TRUE;
}

void
lc_agent_request_handle_link_down (LcAgentRequest *plane, LcLink *link)
{
  uint64_t id = lc_link_id (link);
  gpointer user[2] = { plane, &id };

  if (!g_hash_table_remove (plane->links, &id))
    return;
  g_hash_table_foreach_remove (plane->partial, lc_agent_request__drop_if_from_link, user);
  lc_request_agent_handle_link_down (&plane->core, id, lc_clock_now_us ());
  lc_agent_request__execute_actions (plane);
}

LcRevision
lc_agent_request_synced_revision (const LcAgentRequest *plane)
{
  return lc_request_agent_synced_revision (&plane->core,
                                           lc_member_view (plane->desc.member)->revision);
}

void
lc_agent_request_drain (LcAgentRequest *plane)
{
  lc_request_agent_drain (&plane->core);
}

bool
lc_agent_request_is_idle (const LcAgentRequest *plane)
{
  return lc_request_agent_is_idle (&plane->core);
}
