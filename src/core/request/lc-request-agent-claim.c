#include "lc-request-agent-private.h"

/* How long a request may wait for lost claims: about the patience of callers that send no timeout.
 */
#define LC_AGENT_MAX_CLAIM_DELAY_US (3 * LC_US_PER_S)

/* === private: claiming ====================================================================== */

static void lc_agent__continue_claim (LcRequestAgent *agent,
                                      LcRun *run,
                                      LcClaimAcquireState verdict,
                                      LcMemberRef holder,
                                      int64_t now_us);

static void
lc_agent__persist_claim (LcRequestAgent *agent, const LcClaimRecord *hold)
{
  lc_agent__push_action (agent, LC_AGENT_PERSIST)->persist = *hold;
}

static int64_t
lc_agent__claim_keep_us (const LcRequestAgent *agent, const LcRun *run, int64_t now_us)
{
  int64_t left_us = run->deadline_us - now_us;

  return agent->desc.keep_us + MAX (left_us, 0);
}

void
lc_agent__report_claim_delay (LcRequestAgent *agent,
                              LcRun *run,
                              LcMemberRef home,
                              LcClaimResult result)
{
  LcAgentAction *action;

  if (run->is_delay_reported || run->waiters->len == 0)
    return;
  run->is_delay_reported = true;
  action = lc_agent__push_action (agent, LC_AGENT_CLAIM_DELAYED);
  action->claim_delayed.attempt_id = g_array_index (run->waiters, LcAttemptId, 0);
  action->claim_delayed.key = run->key;
  action->claim_delayed.home = home;
  action->claim_delayed.result = result;
  action->claim_delayed.deadline_us = run->deadline_us;
}

/* Claims at this agent itself, which is one of the homes. */
static LcClaimAcquireState
lc_agent__claim_locally (LcRequestAgent *agent, LcRun *run, LcMemberRef *holder, int64_t now_us)
{
  LcClaimAcquire *claim = &run->claim;
  LcClaimRecord hold = { 0 };
  LcClaimResult result = lc_request_agent_handle_claim (
      agent, agent->desc.self.instance, run->key, agent->desc.self, claim->sequence, claim->era,
      lc_agent__claim_keep_us (agent, run, now_us), now_us, &hold);

  *holder = hold.owner;
  if (result != LC_CLAIM_GRANTED && result != LC_CLAIM_HELD)
    lc_agent__report_claim_delay (agent, run, agent->desc.self, result);
  return lc_claim_acquire_handle_reply (claim, agent->desc.self, claim->sequence, claim->era,
                                        result);
}

static void
lc_agent__claim_remotely (LcRequestAgent *agent, const LcRun *run, LcMemberRef home, int64_t now_us)
{
  LcAgentAction *action = lc_agent__push_action (agent, LC_AGENT_CLAIM);

  action->claim.home = home;
  action->claim.key = run->key;
  action->claim.sequence = run->claim.sequence;
  action->claim.era = run->claim.era;
  action->claim.keep_us = lc_agent__claim_keep_us (agent, run, now_us);
}

/* While the claims of a key are lost it is unknown whether the key has run.  If that lasts too long
 * the request is refused now, with a retry time, rather than kept until a deadline that its caller
 * does not wait for.  Returns whether it was refused. */
static bool
lc_agent__refuse_unavailable (LcRequestAgent *agent,
                              LcRun *run,
                              int64_t lost_for_us,
                              int64_t now_us)
{
  if (lost_for_us == 0 ||
      now_us + lost_for_us <= MIN (run->deadline_us, now_us + LC_AGENT_MAX_CLAIM_DELAY_US))
    return false;
  run->retry_after_us = lost_for_us;
  agent->stats.unclaimed_total++;
  lc_agent__end_unstarted_without_owner (agent, run, LC_REFUSE_UNCLAIMED);
  return true;
}

/* Sends the claim to the next homes, until a reply is outstanding or the claim is decided. */
static void
lc_agent__send_claims (LcRequestAgent *agent, LcRun *run, int64_t now_us)
{
  LcMemberRef homes[LC_CLAIM_HOMES];
  uint32_t n;

  while ((n = lc_claim_acquire_next_homes (&run->claim, homes)) > 0)
    for (uint32_t i = 0; i < n; i++)
      {
        LcMemberRef holder = { 0 };
        LcClaimAcquireState verdict;

        if (!lc_member_ref_equal (homes[i], agent->desc.self))
          {
            lc_agent__claim_remotely (agent, run, homes[i], now_us);
            continue;
          }
        verdict = lc_agent__claim_locally (agent, run, &holder, now_us);
        if (verdict == LC_CLAIM_ACQUIRE_RETRY &&
            lc_agent__refuse_unavailable (
                agent, run, lc_claim_sync_key_unavailable_us (&agent->claim_sync, run->key, now_us),
                now_us))
          return;
        if (verdict != LC_CLAIM_ACQUIRE_PENDING)
          {
            lc_agent__continue_claim (agent, run, verdict, holder, now_us);
            return;
          }
      }
}

void
lc_agent__schedule_next_round (LcRequestAgent *agent, LcRun *run, int64_t now_us)
{
  run->state = LC_RUN_STATE_PAUSED;
  run->next_round_us = now_us + lc_claim_acquire_backoff_us (&run->claim);
}

void
lc_agent__start_round (LcRequestAgent *agent, LcRun *run, int64_t now_us)
{
  const LcClaimMembers *present = lc_claim_sync_present_members (&agent->claim_sync);
  uint32_t n_members = present != NULL ? present->n_members : 0;

  run->state = LC_RUN_STATE_CLAIMING;
  run->next_round_us = now_us + LC_AGENT_CLAIM_WAIT_US;
  lc_claim_acquire_start (&run->claim, run->key, agent->desc.self, ++agent->next_sequence,
                          lc_claim_sync_present_era (&agent->claim_sync),
                          present != NULL ? present->members : NULL, n_members);
  if (run->claim.n_homes == 0)
    {
      lc_agent__report_claim_delay (agent, run, (LcMemberRef){ 0 }, LC_CLAIM_NOT_READY);
      lc_agent__schedule_next_round (agent, run, now_us);
    }
  else
    lc_agent__send_claims (agent, run, now_us);
}

static void
lc_agent__continue_claim (LcRequestAgent *agent,
                          LcRun *run,
                          LcClaimAcquireState verdict,
                          LcMemberRef holder,
                          int64_t now_us)
{
  switch (verdict)
    {
    case LC_CLAIM_ACQUIRE_PENDING:
      lc_agent__send_claims (agent, run, now_us);
      break;
    case LC_CLAIM_ACQUIRE_CONFIRMED:
      lc_agent__submit_run (agent, run, now_us);
      break;
    case LC_CLAIM_ACQUIRE_HELD:
      agent->stats.held_total++;
      lc_agent__end_unstarted (agent, run, LC_REFUSE_HELD, holder);
      break;
    case LC_CLAIM_ACQUIRE_RETRY:
      lc_agent__schedule_next_round (agent, run, now_us);
      break;
    }
}

/* === public: as a home ====================================================================== */

LcClaimResult
lc_request_agent_handle_claim (LcRequestAgent *agent,
                               LcInstance home_instance,
                               LcRequestKey key,
                               LcMemberRef owner,
                               uint64_t sequence,
                               LcRevision era,
                               int64_t keep_us,
                               int64_t now_us,
                               LcClaimRecord *hold)
{
  LcClaimResult result;

  if (home_instance != agent->desc.self.instance ||
      era != lc_claim_sync_present_era (&agent->claim_sync))
    return LC_CLAIM_STALE;
  if (!lc_claim_sync_may_grant (&agent->claim_sync, key))
    return LC_CLAIM_NOT_READY;
  result = lc_claim_store_claim (&agent->store, key, owner, sequence, keep_us, now_us, hold);
  if (result == LC_CLAIM_GRANTED)
    lc_agent__persist_claim (agent, hold);
  return result;
}

void
lc_request_agent_handle_release (LcRequestAgent *agent,
                                 LcRequestKey key,
                                 LcInstance owner_instance,
                                 uint64_t sequence)
{
  if (lc_claim_store_release (&agent->store, key, owner_instance, sequence))
    lc_agent__persist_claim (agent, &(LcClaimRecord){ .key = key });
}

void
lc_request_agent_handle_claim_reply (LcRequestAgent *agent,
                                     const LcClaimReply *reply,
                                     int64_t now_us)
{
  LcRun *run = g_hash_table_lookup (agent->by_key, &reply->key);
  LcClaimAcquireState verdict;

  if (run == NULL || run->state != LC_RUN_STATE_CLAIMING || reply->sequence != run->claim.sequence)
    return;
  if (reply->result != LC_CLAIM_GRANTED && reply->result != LC_CLAIM_HELD)
    lc_agent__report_claim_delay (agent, run, reply->home, reply->result);
  if (reply->result == LC_CLAIM_NOT_READY &&
      lc_agent__refuse_unavailable (agent, run, reply->lost_for_us, now_us))
    return;
  verdict = lc_claim_acquire_handle_reply (&run->claim, reply->home, reply->sequence, reply->era,
                                           reply->result);
  lc_agent__continue_claim (agent, run, verdict, reply->holder, now_us);
}

uint32_t
lc_request_agent_list_sources (const LcRequestAgent *agent,
                               LcRevision target_era,
                               int64_t now_us,
                               LcClaimSource sources[LC_CLAIM_SYNC_MAX_INCARNATIONS])
{
  LcClaimProgress state;

  lc_claim_sync_progress (&agent->claim_sync, &state);
  for (uint32_t i = 0; i < state.n_incarnations; i++)
    sources[i] =
        (LcClaimSource){ .member = state.incarnations[i],
                         .target_era = target_era,
                         .era = lc_claim_sync_present_era (&agent->claim_sync),
                         .complete = state.complete,
                         .complete_from = state.complete_from,
                         .lost_for_us = lc_claim_sync_unavailable_us (&agent->claim_sync, now_us) };
  return state.n_incarnations;
}

void
lc_request_agent_foreach_record (const LcRequestAgent *agent,
                                 LcMemberRef reader,
                                 const LcMemberRef *members,
                                 uint32_t n_members,
                                 int64_t now_us,
                                 void (*each) (void *user, const LcClaimRecord *hold),
                                 void *user)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, agent->store.holds);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const LcClaimRecord *hold = value;

      if (hold->expires_us > now_us && lc_claim_is_home (hold->key, members, n_members, reader))
        each (user, hold);
    }
}

void
lc_request_agent_merge_record (LcRequestAgent *agent, const LcClaimRecord *hold)
{
  lc_claim_store_merge (&agent->store, hold);
  hold = lc_claim_store_find (&agent->store, hold->key, 0);
  if (hold != NULL)
    lc_agent__persist_claim (agent, hold);
}

/* === public: after a restart ================================================================ */

void
lc_request_agent_resume_claim (LcRequestAgent *agent, const LcClaimRecord *hold)
{
  lc_claim_store_replace (&agent->store, hold);
}

void
lc_request_agent_resume_progress (LcRequestAgent *agent, const LcClaimProgress *state)
{
  lc_claim_sync_resume (&agent->claim_sync, state);
}

void
lc_request_agent_add_source (LcRequestAgent *agent, const LcClaimSource *source, int64_t now_us)
{
  LcRevision complete = agent->claim_sync.complete;

  lc_claim_sync_add_source (&agent->claim_sync, source, now_us);
  if (agent->claim_sync.complete != complete)
    agent->last_read_us = 0;
}

LcRevision
lc_request_agent_synced_revision (const LcRequestAgent *agent, LcRevision view_revision)
{
  LcRevision target = lc_claim_sync_target_era (&agent->claim_sync);

  return target == 0 ? view_revision : target - 1;
}
