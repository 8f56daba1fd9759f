/* Guards against agents that hold requests whose claims are known to be unavailable.
 *
 *   Agents were killed two at a time within seconds, and with them whole sets of homes.  Whether a
 *   key of theirs has run is unknown until every request claimed there is over, 65 s after the
 *   loss.  The agents detected that at once, yet held each request until its deadline of 10 s.
 *   Callers with a timeout of 3 s an attempt left before, twelve times: in two plays of soak seed
 *   2006, 16 orders each stayed open ("last answer: None").  Such requests are refused at once,
 *   with the time to retry. */
#include "core/request/lc-request-agent.h"
#include "tests/fakes/lc-fake-run.h"

#include <check.h>

enum
{
  N_MEMBERS = 5,
  SELF = 1,
  LOST_AT_S = 10,
  LOST_AFTER_S = 65, /* five more than the longest deadline */
  N_KEYS = 200,
};

static void
show (LcView *view, LcEndpointId first, LcRevision revision, bool is_lost)
{
  LcViewOp op = { .kind = LC_VIEW_ENDPOINT, .revision = revision };

  for (int i = 0; i < N_MEMBERS; i++)
    {
      LcEndpointId id = i == 0 ? SELF : first + (LcEndpointId)i;

      op.endpoint =
          (LcEndpoint){ .id = id,
                        .service_id = 1,
                        .instance = 1000 + id,
                        .state = is_lost && i != 0 ? LC_ENDPOINT_LOST : LC_ENDPOINT_ACTIVE,
                        .weight_percent = 100 };
      (void)g_snprintf (op.endpoint.name, sizeof op.endpoint.name, "e%u", id);
      ck_assert_int_eq (lc_view_apply (view, &op, NULL), 0);
    }
}

/* Agents 2 to 5 are lost and replaced by 11 to 14; agent 1 stays. */
static void
lose_homes (LcRequestAgent *agent, LcView *view, bool is_lost)
{
  LcRequestAgentDesc desc = { .self = { SELF, 1000 + SELF }, .admission = { .slots = 1 } };
  LcViewOp service = { .kind = LC_VIEW_SERVICE, .revision = 1, .service = { .id = 1 } };

  (void)g_strlcpy (service.service.name, "desk", sizeof service.service.name);
  lc_view_init (view);
  ck_assert_int_eq (lc_view_apply (view, &service, NULL), 0);
  lc_request_agent_init (agent, &desc);
  show (view, 1, 2, false);
  lc_request_agent_set_service (agent, lc_view_service (view, 1), SELF, 0);
  if (is_lost)
    show (view, 1, 3, true);
  show (view, 10, 4, false);
  lc_request_agent_set_service (agent, lc_view_service (view, 1), SELF, LOST_AT_S * LC_US_PER_S);
}

static const struct
{
  const char *what;
  bool is_lost;
  int64_t at_ms; /* of the request, after the loss */
  int64_t deadline_ms;
  bool is_refused;
} CASES[] = {
  { "live homes may still answer", false, 2000, 3000, false },
  { "nobody was read from yet", true, 10, 3000, false },
  { "nobody can answer", true, 2000, 3000, true },
  { "the longest deadline", true, 2000, 60000, true },
  { "a deadline after the end of the wait", true, 62000, 10000, false },
  { "a deadline after the end of a long wait", true, 40000, 60000, true },
  { "just longer than a request is held", true, 61999, 60000, true },
  { "shortly before the end", true, 62000, 2000, true },
  { "the wait is over", true, 65001, 2000, false },
};

/* Counts the refusals, which must all be of unclaimed keys. */
static uint32_t
count_refused (LcRequestAgent *agent, int64_t now_us, int64_t lost_for_us)
{
  LcAgentAction action;
  uint32_t n = 0;

  while (lc_request_agent_next_action (agent, &action))
    {
      if (action.kind == LC_AGENT_REFUSE)
        {
          ck_assert_int_eq (action.refuse.reason, LC_REFUSE_UNCLAIMED);
          ck_assert_int_eq (action.refuse.retry_after_us, lost_for_us);
          ck_assert (!action.refuse.is_claimed); /* it may have run: never "not run" */
          n++;
        }
      lc_agent_action_clear (&action);
    }
  return n;
}

START_TEST (test_refused_once_claims_are_known_lost)
{
  int64_t now_us = LOST_AT_S * LC_US_PER_S + CASES[_i].at_ms * LC_US_PER_MS;
  int64_t lost_for_us = (LOST_AT_S + LOST_AFTER_S) * LC_US_PER_S - now_us;
  LcRequestAgent agent;
  uint32_t n_refused;
  LcView view;

  lose_homes (&agent, &view, CASES[_i].is_lost);
  lc_request_agent_tick (&agent, now_us);
  for (uint64_t i = 1; i <= N_KEYS; i++)
    {
      LcAgentAttempt attempt = { .attempt_id = { .link_id = 1, .id = { 1, i }, .attempt = 1 },
                                 .instance = 1000 + SELF,
                                 .key = { i * 7919, (uint64_t)1 << 32 | i },
                                 .is_caller_key = true,
                                 .deadline_us = now_us + CASES[_i].deadline_ms * LC_US_PER_MS };

      (void)lc_request_agent_handle_attempt (&agent, &attempt, now_us);
    }
  n_refused = count_refused (&agent, now_us, lost_for_us);
  /* This agent is the first home of about a fifth of the keys; it holds the claims of those
   * that it homed before. */
  ck_assert_msg ((n_refused > 0) == CASES[_i].is_refused, "%s: %u", CASES[_i].what, n_refused);
  lc_request_agent_finish (&agent);
  lc_view_finish (&view);
}
END_TEST

/* Another home reports for how long it lacks the claims, which this agent can't know. */
START_TEST (test_refused_when_a_home_reports_lost_claims)
{
  static const struct
  {
    const char *what;
    int64_t lost_for_ms;
    bool is_refused;
  } ANSWERS[] = {
    { "it is still reading the claims", 0, false },
    { "available before the deadline", 2000, false },
    { "available long after the deadline", 60000, true },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (ANSWERS); i++)
    {
      int64_t now_us = LOST_AT_S * LC_US_PER_S + 1;
      LcAgentAttempt attempt = { .attempt_id = { .link_id = 1, .id = { 1, 1 }, .attempt = 1 },
                                 .instance = 1000 + SELF,
                                 .is_caller_key = true,
                                 .deadline_us = now_us + 3 * LC_US_PER_S };
      LcClaimReply reply = { .result = LC_CLAIM_NOT_READY };
      LcRequestAgent agent;
      LcAgentAction action = { 0 };
      LcView view;

      lose_homes (&agent, &view, false);
      for (uint64_t k = 1; action.kind != LC_AGENT_CLAIM; k++)
        {
          attempt.key = (LcRequestKey){ k * 7919, (uint64_t)1 << 32 | k };
          attempt.attempt_id.id.lo = k;
          (void)lc_request_agent_handle_attempt (&agent, &attempt, now_us);
          while (action.kind != LC_AGENT_CLAIM && lc_request_agent_next_action (&agent, &action))
            ;
        }
      reply.home = action.claim.home;
      reply.key = action.claim.key;
      reply.sequence = action.claim.sequence;
      reply.era = action.claim.era;
      reply.lost_for_us = ANSWERS[i].lost_for_ms * LC_US_PER_MS;
      lc_request_agent_handle_claim_reply (&agent, &reply, now_us);
      ck_assert_msg (count_refused (&agent, now_us, reply.lost_for_us) == ANSWERS[i].is_refused,
                     "%s", ANSWERS[i].what);
      lc_request_agent_finish (&agent);
      lc_view_finish (&view);
    }
}
END_TEST

/* Guards against waiting for live members of the previous set that wait for lost ones themselves,
 * as in soak seed 2006: "whole 0, target 7 of 8, sources 0, step 16220 ms, may answer 1, alive 2 3
 * 6 7", all four of them members of the previous set. */
START_TEST (test_live_members_that_wait_are_not_waited_for)
{
  static const struct
  {
    const char *what;
    int64_t lost_for_s[4]; /* reported by members 2 to 5; -1: not answered */
    int64_t stalled_for_s;
  } MEMBERS[] = {
    { "all wait", { 40, 30, 50, 60 }, 30 },
    { "one may continue soon", { 40, 30, 0, 60 }, 0 },
    { "one has not answered", { 40, 30, -1, 60 }, 0 },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (MEMBERS); i++)
    {
      int64_t now_us = (LOST_AT_S + 2) * LC_US_PER_S;
      LcRequestAgent agent;
      LcView view;

      lose_homes (&agent, &view, false);
      show (&view, 1, 5, false); /* the first members return */
      lc_request_agent_set_service (&agent, lc_view_service (&view, 1), SELF,
                                    LOST_AT_S * LC_US_PER_S);
      for (LcEndpointId k = 0; k < 4; k++)
        {
          LcClaimSource source = { .member = { 2 + k, 1002 + k } };

          source.target_era = lc_claim_sync_target_era (&agent.claim_sync);
          source.lost_for_us = MEMBERS[i].lost_for_s[k] * LC_US_PER_S;
          if (source.lost_for_us >= 0)
            lc_request_agent_add_source (&agent, &source, now_us);
        }
      ck_assert_msg (lc_claim_sync_unavailable_us (&agent.claim_sync, now_us) ==
                         MEMBERS[i].stalled_for_s * LC_US_PER_S,
                     "%s", MEMBERS[i].what);
      lc_request_agent_finish (&agent);
      lc_view_finish (&view);
    }
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("claims-lost");
  TCase *tcase = tcase_create ("refusals");

  tcase_add_loop_test (tcase, test_refused_once_claims_are_known_lost, 0,
                       (int)G_N_ELEMENTS (CASES));
  tcase_add_test (tcase, test_refused_when_a_home_reports_lost_claims);
  tcase_add_test (tcase, test_live_members_that_wait_are_not_waited_for);
  suite_add_tcase (suite, tcase);
  return lc_fake_run (suite);
}
