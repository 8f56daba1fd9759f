#include "lc-request-agent-private.h"

/* === private: actions ======================================================================= */

LcAgentAction *
lc_agent__push_action (LcRequestAgent *agent, LcAgentActionKind kind)
{
  LcAgentAction action = { .kind = kind };

  g_array_append_val (agent->actions, action);
  return &g_array_index (agent->actions, LcAgentAction, agent->actions->len - 1);
}

LcAgentAction *
lc_agent__refuse (LcRequestAgent *agent,
                  const LcAttemptId *ask,
                  LcRefuseReason reason,
                  bool is_claimed)
{
  LcAgentAction *action = lc_agent__push_action (agent, LC_AGENT_REFUSE);

  action->refuse.attempt_id = *ask;
  action->refuse.reason = reason;
  action->refuse.is_claimed = is_claimed;
  action->refuse.retry_after_us = lc_admission_retry_after_us (&agent->admission);
  agent->stats.refused_total++;
  return action;
}

void
lc_agent__answer (LcRequestAgent *agent, const LcAttemptId *ask, LcAnswer *answer, bool is_replayed)
{
  LcAgentAction *action = lc_agent__push_action (agent, LC_AGENT_ANSWER);

  action->answer.attempt_id = *ask;
  action->answer.answer = lc_answer_ref (answer);
  action->answer.is_replayed = is_replayed;
  agent->stats.replayed_total += is_replayed;
}

/* === private: deduplication of attempts ===================================================== */

/* Request ids are random, so adding the attempt number makes a unique key. */
static LcRequestId
lc_agent__make_seen_key (const LcAttemptId *ask)
{
  return (LcRequestId){ ask->id.hi, ask->id.lo + ask->attempt };
}

LcSeen *
lc_agent__find_seen (const LcRequestAgent *agent, const LcAttemptId *ask)
{
  LcRequestId key = lc_agent__make_seen_key (ask);

  return g_hash_table_lookup (agent->seen, &key);
}

/* Records an attempt until it can't arrive or be waited for any more; false when full. */
bool
lc_agent__add_seen (LcRequestAgent *agent,
                    const LcAttemptId *ask,
                    int64_t until_us,
                    bool is_tombstone)
{
  LcSeen *seen;

  if (g_hash_table_size (agent->seen) >= LC_AGENT_MAX_SEEN)
    return false;
  seen = g_new (LcSeen, 1);
  *seen =
      (LcSeen){ lc_agent__make_seen_key (ask), until_us + LC_AGENT_SEEN_MARGIN_US, is_tombstone };
  g_hash_table_replace (agent->seen, &seen->key, seen);
  return true;
}

/* === private: runs ========================================================================== */

void
lc_agent__run_free (gpointer data)
{
  LcRun *run = data;

  lc_answer_unref (run->answer);
  if (run->waiters != NULL)
    g_array_free (run->waiters, TRUE);
  g_free (run);
}

static bool
lc_agent__is_active (const LcRun *run)
{
  return run->state < LC_RUN_STATE_DONE;
}

bool
lc_agent__is_keyed (const LcRun *run)
{
  return !lc_request_key_is_none (run->key);
}

LcRun *
lc_agent__new_run (LcRequestAgent *agent, const LcAgentAttempt *attempt)
{
  LcRun *run = g_new0 (LcRun, 1);

  run->id = ++agent->next_run_id;
  run->key = attempt->key;
  run->state = LC_RUN_STATE_CLAIMING;
  run->is_caller_key = attempt->is_caller_key;
  run->is_query = attempt->is_query;
  run->digest = attempt->digest;
  run->deadline_us = attempt->deadline_us;
  run->waiters = g_array_new (FALSE, FALSE, sizeof (LcAttemptId));
  g_array_append_val (run->waiters, attempt->attempt_id);
  g_hash_table_insert (agent->runs, &run->id, run);
  if (lc_agent__is_keyed (run))
    g_hash_table_insert (agent->by_key, &run->key, run);
  g_hash_table_insert (agent->active, &run->id, run);
  return run;
}

void
lc_agent__drop_answer (LcRequestAgent *agent, LcRun *run)
{
  if (run->answer == NULL)
    return;
  agent->answer_bytes -= lc_answer_bytes (run->answer);
  g_queue_delete_link (&agent->answered, run->link);
  lc_answer_unref (run->answer);
  run->answer = NULL;
  run->link = NULL;
}

void
lc_agent__remove_run (LcRequestAgent *agent, LcRun *run)
{
  lc_agent__drop_answer (agent, run);
  if (lc_agent__is_active (run))
    {
      g_hash_table_remove (agent->active, &run->id);
      lc_agent__push_action (agent, LC_AGENT_DROP_PAYLOAD)->run_id = run->id;
    }
  if (lc_agent__is_keyed (run))
    g_hash_table_remove (agent->by_key, &run->key);
  g_hash_table_remove (agent->runs, &run->id);
}

/* Releases the claim at every home that was asked. */
static void
lc_agent__release (LcRequestAgent *agent, const LcRun *run)
{
  const LcClaimAcquire *claim = &run->claim;

  for (uint32_t i = 0; i < claim->n_homes; i++)
    {
      LcAgentAction *action;

      if ((claim->asked & (1U << i)) == 0)
        continue;
      if (lc_member_ref_equal (claim->homes[i], agent->desc.self))
        {
          lc_request_agent_handle_release (agent, run->key, agent->desc.self.instance,
                                           claim->sequence);
          continue;
        }
      action = lc_agent__push_action (agent, LC_AGENT_RELEASE);
      action->claim.home = claim->homes[i];
      action->claim.key = run->key;
      action->claim.sequence = claim->sequence;
    }
}

/* Ends a run that has not started: refuses all of its attempts and releases the claim. */
void
lc_agent__end_unstarted (LcRequestAgent *agent,
                         LcRun *run,
                         LcRefuseReason reason,
                         LcMemberRef owner)
{
  bool is_claimed = lc_agent__is_keyed (run) && run->state >= LC_RUN_STATE_QUEUED;

  for (guint i = 0; i < run->waiters->len; i++)
    {
      LcAgentAction *action = lc_agent__refuse (
          agent, &g_array_index (run->waiters, LcAttemptId, i), reason, is_claimed);

      action->refuse.owner = owner;
      if (run->retry_after_us > 0)
        action->refuse.retry_after_us = run->retry_after_us;
    }
  if (lc_agent__is_keyed (run))
    lc_agent__release (agent, run);
  lc_agent__remove_run (agent, run);
}

void
lc_agent__end_unstarted_without_owner (LcRequestAgent *agent, LcRun *run, LcRefuseReason reason)
{
  lc_agent__end_unstarted (agent, run, reason, (LcMemberRef){ 0 });
}

/* Ends a run that has started: a keyed one stays on record. */
void
lc_agent__end_started (LcRequestAgent *agent, LcRun *run, LcRunState state, int64_t now_us)
{
  if (!lc_agent__is_keyed (run))
    {
      lc_agent__remove_run (agent, run);
      return;
    }
  g_array_free (run->waiters, TRUE);
  run->waiters = NULL;
  g_hash_table_remove (agent->active, &run->id);
  lc_agent__push_action (agent, LC_AGENT_DROP_PAYLOAD)->run_id = run->id;
  run->state = state;
  run->expires_us = now_us + agent->desc.keep_us + LC_AGENT_RECORD_MARGIN_US;
  g_queue_push_tail (&agent->closed, run);
}

void
lc_agent__end_with_unknown_outcome (LcRequestAgent *agent,
                                    LcRun *run,
                                    LcRefuseReason reason,
                                    int64_t now_us)
{
  for (guint i = 0; i < run->waiters->len; i++)
    lc_agent__refuse (agent, &g_array_index (run->waiters, LcAttemptId, i), reason, false);
  run->reason = reason;
  agent->stats.unknown_total++;
  lc_agent__end_started (agent, run, LC_RUN_STATE_UNKNOWN, now_us);
}

static void
lc_agent__start (LcRequestAgent *agent, LcRun *run, int64_t now_us)
{
  run->state = LC_RUN_STATE_RUNNING;
  run->started_us = now_us;
  agent->stats.runs_total++;
  lc_agent__push_action (agent, LC_AGENT_START)->run_id = run->id;
}

/* Refuses queued runs that are past their deadline and starts as many as there are free slots. */
void
lc_agent__run_queue (LcRequestAgent *agent, int64_t now_us)
{
  uint64_t id;

  while (lc_admission_pop_expired (&agent->admission, now_us, &id))
    {
      LcRun *run = g_hash_table_lookup (agent->runs, &id);

      if (run != NULL)
        lc_agent__end_unstarted_without_owner (agent, run, LC_REFUSE_TOO_LATE);
    }
  while (lc_admission_start_next (&agent->admission, now_us, &id))
    {
      LcRun *run = g_hash_table_lookup (agent->runs, &id);

      if (run != NULL)
        lc_agent__start (agent, run, now_us);
    }
}

void
lc_agent__stop (LcRequestAgent *agent, LcRun *run, int64_t now_us)
{
  lc_agent__push_action (agent, LC_AGENT_STOP)->run_id = run->id;
  lc_admission_end_run (&agent->admission, LC_RUN_CANCELLED, run->started_us, now_us);
  lc_agent__end_with_unknown_outcome (agent, run, LC_REFUSE_CANCELLED, now_us);
  lc_agent__run_queue (agent, now_us);
}

static LcRefuseReason
lc_agent__admission_reason (LcAdmissionResult result)
{
  switch (result)
    {
    case LC_ADMISSION_FULL:
      return LC_REFUSE_FULL;
    case LC_ADMISSION_CLOSED:
      return LC_REFUSE_DRAINING;
    default:
      return LC_REFUSE_TOO_LATE;
    }
}

void
lc_agent__submit_run (LcRequestAgent *agent, LcRun *run, int64_t now_us)
{
  int64_t retry_after_us;
  LcAdmissionResult result;

  run->state = LC_RUN_STATE_QUEUED;
  if (run->is_query)
    {
      lc_agent__end_unstarted_without_owner (agent, run, LC_REFUSE_REVOKED);
      return;
    }
  if (agent->is_evacuated) /* became so while this run claimed its key */
    {
      lc_agent__end_unstarted_without_owner (agent, run, LC_REFUSE_DRAINING);
      return;
    }
  result =
      lc_admission_submit (&agent->admission, run->id, run->deadline_us, now_us, &retry_after_us);
  if (result == LC_ADMISSION_START)
    lc_agent__start (agent, run, now_us);
  else if (result != LC_ADMISSION_QUEUED)
    lc_agent__end_unstarted_without_owner (agent, run, lc_agent__admission_reason (result));
}
