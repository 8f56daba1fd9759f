#include "lc-request-agent-private.h"

/* === private: attempts ====================================================================== */

/* Adds an attempt to the run of its key, or answers it from the record. */
static uint64_t
lc_agent__join_run (LcRequestAgent *agent, LcRun *run, const LcAgentAttempt *attempt)
{
  if (!attempt->is_query && !run->is_query && run->digest != attempt->digest)
    {
      lc_agent__refuse (agent, &attempt->attempt_id, LC_REFUSE_KEY_REUSED, false);
      return 0;
    }
  switch (run->state)
    {
    case LC_RUN_STATE_DONE:
      if (run->answer != NULL)
        lc_agent__answer (agent, &attempt->attempt_id, run->answer, true);
      else
        lc_agent__refuse (agent, &attempt->attempt_id, LC_REFUSE_ANSWER_GONE, false);
      return 0;
    case LC_RUN_STATE_UNKNOWN:
      lc_agent__refuse (agent, &attempt->attempt_id, run->reason, false);
      return 0;
    default:
      break;
    }
  g_array_append_val (run->waiters, attempt->attempt_id);
  run->deadline_us = MAX (run->deadline_us, attempt->deadline_us);
  if (attempt->is_query || !run->is_query)
    return 0;
  /* So far the run had only queries; this attempt carries the request itself. */
  run->is_query = false;
  run->digest = attempt->digest;
  return run->id;
}

static LcRefuseReason
lc_agent__find_refuse_reason (const LcRequestAgent *agent,
                              const LcAgentAttempt *attempt,
                              int64_t now_us)
{
  bool is_keyed = !lc_request_key_is_none (attempt->key);

  if (agent->is_draining || agent->is_evacuated)
    return LC_REFUSE_DRAINING;
  if (attempt->deadline_us <= now_us)
    return LC_REFUSE_TOO_LATE;
  if (is_keyed && g_hash_table_size (agent->by_key) >= agent->desc.max_records)
    return LC_REFUSE_FULL;
  /* A key that the balancer generated has no other copies, so it is refused without a claim. */
  if (is_keyed && !attempt->is_caller_key && !attempt->is_query &&
      lc_admission_is_full (&agent->admission))
    return LC_REFUSE_FULL;
  return LC_REFUSE_NONE;
}

/* === public: lifetime ======================================================================= */

void
lc_request_agent_init (LcRequestAgent *agent, const LcRequestAgentDesc *desc)
{
  LcClaimSyncDesc era = { .self = desc->self, .lost_after_us = desc->lost_after_us };

  memset (agent, 0, sizeof *agent);
  agent->desc = *desc;
  if (agent->desc.keep_us == 0)
    agent->desc.keep_us = LC_AGENT_KEEP_US;
  if (agent->desc.max_answer_bytes == 0)
    agent->desc.max_answer_bytes = LC_AGENT_MAX_ANSWER_BYTES;
  if (agent->desc.max_records == 0)
    agent->desc.max_records = LC_AGENT_MAX_RECORDS;
  lc_admission_init (&agent->admission, &desc->admission);
  lc_claim_store_init (&agent->store, &desc->store);
  lc_claim_sync_init (&agent->claim_sync, &era);
  agent->runs = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, lc_agent__run_free);
  agent->active = g_hash_table_new (g_int64_hash, g_int64_equal);
  agent->by_key = g_hash_table_new (lc_request_id_hash, lc_request_id_is_equal);
  agent->seen = g_hash_table_new_full (lc_request_id_hash, lc_request_id_is_equal, NULL, g_free);
  agent->actions = g_array_new (FALSE, FALSE, sizeof (LcAgentAction));
  g_queue_init (&agent->answered);
  g_queue_init (&agent->closed);
}

void
lc_request_agent_finish (LcRequestAgent *agent)
{
  LcAgentAction action;

  while (lc_request_agent_next_action (agent, &action))
    lc_agent_action_clear (&action);
  g_queue_clear (&agent->answered);
  g_queue_clear (&agent->closed);
  g_hash_table_destroy (agent->active);
  g_hash_table_destroy (agent->by_key);
  g_hash_table_destroy (agent->runs);
  g_hash_table_destroy (agent->seen);
  g_array_free (agent->actions, TRUE);
  lc_claim_store_finish (&agent->store);
  lc_claim_sync_finish (&agent->claim_sync);
  memset (agent, 0, sizeof *agent);
}

/* === public: the view ======================================================================= */

void
lc_request_agent_set_service (LcRequestAgent *agent,
                              const LcService *service,
                              LcEndpointId self_id,
                              int64_t now_us)
{
  LcRevision before = lc_claim_sync_present_era (&agent->claim_sync);
  GHashTableIter iter;
  gpointer value;

  if (self_id != 0)
    {
      agent->desc.self.id = self_id;
      agent->claim_sync.desc.self.id = self_id;
    }
  lc_claim_sync_set_service (&agent->claim_sync, service, now_us);
  if (lc_claim_sync_present_era (&agent->claim_sync) == before)
    return;
  agent->last_read_us = 0;
  g_hash_table_iter_init (&iter, agent->active);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((LcRun *)value)->state == LC_RUN_STATE_CLAIMING)
      lc_agent__schedule_next_round (agent, value, now_us);
  lc_request_agent_tick (agent, now_us);
}

/* === public: attempts ======================================================================= */

uint64_t
lc_request_agent_handle_attempt (LcRequestAgent *agent,
                                 const LcAgentAttempt *attempt,
                                 int64_t now_us)
{
  const LcSeen *seen = lc_agent__find_seen (agent, &attempt->attempt_id);
  LcRefuseReason reason;
  LcRun *run;
  uint64_t run_id;

  if (seen != NULL)
    {
      agent->stats.duplicates_total++;
      if (seen->is_tombstone)
        lc_agent__refuse (agent, &attempt->attempt_id, LC_REFUSE_REVOKED, false);
      return 0;
    }
  if (attempt->instance != agent->desc.self.instance)
    {
      lc_agent__refuse (agent, &attempt->attempt_id, LC_REFUSE_STALE_INSTANCE, false);
      return 0;
    }
  if (!lc_agent__add_seen (agent, &attempt->attempt_id, attempt->deadline_us, false))
    {
      lc_agent__refuse (agent, &attempt->attempt_id, LC_REFUSE_FULL, false);
      return 0;
    }
  run = lc_request_key_is_none (attempt->key) ? NULL
                                              : g_hash_table_lookup (agent->by_key, &attempt->key);
  if (run != NULL)
    return lc_agent__join_run (agent, run, attempt);
  reason = lc_agent__find_refuse_reason (agent, attempt, now_us);
  if (reason != LC_REFUSE_NONE)
    {
      lc_agent__refuse (agent, &attempt->attempt_id, reason, false);
      return 0;
    }
  run = lc_agent__new_run (agent, attempt);
  run_id = run->id;
  if (lc_agent__is_keyed (run))
    lc_agent__start_round (agent, run, now_us);
  else
    lc_agent__submit_run (agent, run, now_us);
  return run_id;
}

static LcRun *
lc_agent__find_waiting_run (const LcRequestAgent *agent, const LcAttemptId *ask, guint *at)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, agent->active);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      LcRun *run = value;

      for (guint i = 0; i < run->waiters->len; i++)
        {
          const LcAttemptId *known = &g_array_index (run->waiters, LcAttemptId, i);

          *at = i;
          if (known->link_id == ask->link_id && known->attempt == ask->attempt &&
              lc_request_id_equal (known->id, ask->id))
            return run;
        }
    }
  return NULL;
}

/* Removes one waiting attempt; the last one takes the run with it. */
static void
lc_agent__remove_waiter (LcRequestAgent *agent, LcRun *run, guint at, int64_t now_us)
{
  LcAttemptId ask = g_array_index (run->waiters, LcAttemptId, at);

  if (run->waiters->len > 1)
    {
      /* Other attempts still wait: this one won't run, but its key may. */
      bool is_running = run->state == LC_RUN_STATE_RUNNING;

      g_array_remove_index (run->waiters, at);
      lc_agent__refuse (agent, &ask, is_running ? LC_REFUSE_CANCELLED : LC_REFUSE_REVOKED, false);
      return;
    }
  if (run->state == LC_RUN_STATE_RUNNING)
    {
      lc_agent__stop (agent, run, now_us);
      return;
    }
  (void)lc_admission_withdraw (&agent->admission, run->id);
  lc_agent__end_unstarted_without_owner (agent, run, LC_REFUSE_REVOKED);
}

void
lc_request_agent_handle_cancel (LcRequestAgent *agent, const LcAttemptId *ask, int64_t now_us)
{
  const LcSeen *seen = lc_agent__find_seen (agent, ask);
  guint at = 0;
  LcRun *run = seen != NULL ? lc_agent__find_waiting_run (agent, ask, &at) : NULL;

  if (run != NULL)
    lc_agent__remove_waiter (agent, run, at, now_us);
  else if (seen == NULL &&
           lc_agent__add_seen (agent, ask, now_us + agent->claim_sync.desc.lost_after_us, true))
    lc_agent__refuse (agent, ask, LC_REFUSE_REVOKED, false);
  else if (seen != NULL && seen->is_tombstone)
    lc_agent__refuse (agent, ask, LC_REFUSE_REVOKED, false);
  else
    lc_agent__refuse (agent, ask, LC_REFUSE_CANCELLED, false);
}

/* === public: the end of a run =============================================================== */

static void
lc_agent__record_answer (LcRequestAgent *agent, LcRun *run, LcAnswer *answer)
{
  run->answer = lc_answer_ref (answer);
  g_queue_push_tail (&agent->answered, run);
  run->link = agent->answered.tail;
  agent->answer_bytes += lc_answer_bytes (answer);
  while (agent->answer_bytes > agent->desc.max_answer_bytes)
    lc_agent__drop_answer (agent, agent->answered.head->data);
}

static void
lc_agent__end_ok (LcRequestAgent *agent, LcRun *run, LcAnswer *answer, int64_t now_us)
{
  for (guint i = 0; i < run->waiters->len; i++)
    lc_agent__answer (agent, &g_array_index (run->waiters, LcAttemptId, i), answer, false);
  if (lc_agent__is_keyed (run))
    lc_agent__record_answer (agent, run, answer);
  lc_agent__end_started (agent, run, LC_RUN_STATE_DONE, now_us);
}

void
lc_request_agent_end_run (
    LcRequestAgent *agent, uint64_t run_id, LcRunResult result, LcAnswer *answer, int64_t now_us)
{
  LcRun *run = g_hash_table_lookup (agent->runs, &run_id);

  if (run == NULL || run->state != LC_RUN_STATE_RUNNING)
    return;
  lc_admission_end_run (&agent->admission, result, run->started_us, now_us);
  switch (result)
    {
    case LC_RUN_OK:
      lc_agent__end_ok (agent, run, answer, now_us);
      break;
    case LC_RUN_SHED:
      lc_agent__end_unstarted_without_owner (agent, run, LC_REFUSE_SHED);
      break;
    case LC_RUN_NOT_SENT:
      lc_agent__end_unstarted_without_owner (agent, run, LC_REFUSE_BACKEND_DOWN);
      break;
    case LC_RUN_BROKEN:
      lc_agent__end_with_unknown_outcome (agent, run, LC_REFUSE_BROKEN, now_us);
      break;
    case LC_RUN_CANCELLED:
      lc_agent__end_with_unknown_outcome (agent, run, LC_REFUSE_CANCELLED, now_us);
      break;
    }
  lc_agent__run_queue (agent, now_us);
}

/* A keyed run continues without its balancer: the caller will ask another one for the answer. */
static void
lc_agent__remove_waiters_of_link (LcRequestAgent *agent,
                                  LcRun *run,
                                  uint64_t link_id,
                                  int64_t now_us)
{
  guint n_before = run->waiters->len;

  for (guint i = run->waiters->len; i > 0; i--)
    if (g_array_index (run->waiters, LcAttemptId, i - 1).link_id == link_id)
      g_array_remove_index (run->waiters, i - 1);
  if (run->waiters->len > 0 || n_before == 0)
    return;
  if (run->state != LC_RUN_STATE_RUNNING)
    {
      (void)lc_admission_withdraw (&agent->admission, run->id);
      lc_agent__end_unstarted_without_owner (agent, run, LC_REFUSE_REVOKED);
    }
  else if (!lc_agent__is_keyed (run))
    lc_agent__stop (agent, run, now_us);
}

/* Ending one run may end others, so loops that end runs iterate over a copy of the ids. */
static uint64_t *
lc_agent__active_ids (const LcRequestAgent *agent, guint *n)
{
  uint64_t *ids = g_new (uint64_t, g_hash_table_size (agent->active) + 1);
  GHashTableIter iter;
  gpointer value;

  *n = 0;
  g_hash_table_iter_init (&iter, agent->active);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ids[(*n)++] = ((const LcRun *)value)->id;
  return ids;
}

void
lc_request_agent_handle_link_down (LcRequestAgent *agent, uint64_t link_id, int64_t now_us)
{
  guint n;
  uint64_t *ids = lc_agent__active_ids (agent, &n);

  for (guint i = 0; i < n; i++)
    {
      LcRun *run = g_hash_table_lookup (agent->active, &ids[i]);

      if (run != NULL)
        lc_agent__remove_waiters_of_link (agent, run, link_id, now_us);
    }
  g_free (ids);
}

/* === public: time =========================================================================== */

/* Enforces the deadline of a run and starts its next claim round when due. */
static void
lc_agent__tick_run (LcRequestAgent *agent, LcRun *run, int64_t now_us)
{
  switch (run->state)
    {
    case LC_RUN_STATE_CLAIMING:
    case LC_RUN_STATE_PAUSED:
      if (now_us >= run->deadline_us)
        {
          agent->stats.unclaimed_total++;
          lc_agent__end_unstarted_without_owner (agent, run, LC_REFUSE_UNCLAIMED);
        }
      else if (now_us >= run->next_round_us)
        {
          if (run->state == LC_RUN_STATE_CLAIMING)
            lc_agent__report_claim_delay (agent, run, (LcMemberRef){ 0 }, 0);
          lc_agent__start_round (agent, run, now_us);
        }
      break;
    case LC_RUN_STATE_RUNNING:
      if (now_us >= run->deadline_us)
        lc_agent__stop (agent, run, now_us);
      break;
    default:
      break;
    }
}

static void
lc_agent__request_claims (LcRequestAgent *agent, int64_t now_us)
{
  uint32_t max = lc_claim_sync_count_members (&agent->claim_sync);
  LcMemberRef *members;
  uint32_t n;

  if (lc_claim_sync_target_era (&agent->claim_sync) == 0 ||
      (now_us - agent->last_read_us < LC_AGENT_READ_EVERY_US && agent->last_read_us != 0))
    return;
  members = g_new (LcMemberRef, max + 1);
  n = lc_claim_sync_missing (&agent->claim_sync, members, max);
  agent->last_read_us = now_us;
  for (uint32_t i = 0; i < n; i++)
    {
      LcAgentAction *action = lc_agent__push_action (agent, LC_AGENT_READ_CLAIMS);

      action->read.member = members[i];
      action->read.era = lc_claim_sync_target_era (&agent->claim_sync);
    }
  g_free (members);
}

static void
lc_agent__expire (LcRequestAgent *agent, int64_t now_us)
{
  GHashTableIter iter;
  gpointer value;

  if (now_us - agent->last_expiry_us < LC_AGENT_EXPIRE_EVERY_US)
    return;
  agent->last_expiry_us = now_us;
  lc_claim_store_expire (&agent->store, now_us);
  g_hash_table_iter_init (&iter, agent->seen);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((const LcSeen *)value)->expires_us <= now_us)
      g_hash_table_iter_remove (&iter);
}

/* `closed` is ordered by expiry. */
static void
lc_agent__expire_records (LcRequestAgent *agent, int64_t now_us)
{
  LcRun *run;

  while ((run = g_queue_peek_head (&agent->closed)) != NULL && run->expires_us <= now_us)
    {
      (void)g_queue_pop_head (&agent->closed);
      lc_agent__remove_run (agent, run);
    }
}

void
lc_request_agent_tick (LcRequestAgent *agent, int64_t now_us)
{
  guint n;
  uint64_t *ids = lc_agent__active_ids (agent, &n);

  for (guint i = 0; i < n; i++)
    {
      LcRun *run = g_hash_table_lookup (agent->active, &ids[i]);

      if (run != NULL)
        lc_agent__tick_run (agent, run, now_us);
    }
  g_free (ids);
  lc_agent__run_queue (agent, now_us);
  lc_claim_sync_tick (&agent->claim_sync, now_us);
  lc_agent__request_claims (agent, now_us);
  lc_agent__expire_records (agent, now_us);
  lc_agent__expire (agent, now_us);
}

void
lc_request_agent_set_evacuated (LcRequestAgent *agent, bool is_evacuated)
{
  bool begins = is_evacuated && !agent->is_evacuated;
  guint n;
  uint64_t *ids;

  agent->is_evacuated = is_evacuated;
  if (!begins)
    return;
  ids = lc_agent__active_ids (agent, &n);
  for (guint i = 0; i < n; i++)
    {
      LcRun *run = g_hash_table_lookup (agent->active, &ids[i]);

      if (run == NULL || run->state != LC_RUN_STATE_QUEUED)
        continue;
      (void)lc_admission_withdraw (&agent->admission, run->id);
      lc_agent__end_unstarted_without_owner (agent, run, LC_REFUSE_DRAINING);
    }
  g_free (ids);
}

void
lc_request_agent_drain (LcRequestAgent *agent)
{
  agent->is_draining = true;
}

bool
lc_request_agent_is_idle (const LcRequestAgent *agent)
{
  return g_hash_table_size (agent->active) == 0;
}

/* === public: actions ======================================================================== */

bool
lc_request_agent_next_action (LcRequestAgent *agent, LcAgentAction *action)
{
  if (agent->n_taken == agent->actions->len)
    {
      g_array_set_size (agent->actions, 0);
      agent->n_taken = 0;
      return false;
    }
  *action = g_array_index (agent->actions, LcAgentAction, agent->n_taken);
  agent->n_taken++;
  return true;
}

void
lc_agent_action_clear (LcAgentAction *action)
{
  if (action->kind == LC_AGENT_ANSWER)
    lc_answer_unref (action->answer.answer);
}
