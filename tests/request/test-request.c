/* Unit tests of the request plane's state machines: outcomes, attempts, admission, endpoint
 * picking, filters and claims. */
#include "core/request/lc-admission.h"
#include "core/request/lc-attempts.h"
#include "core/request/lc-claim-sync.h"
#include "core/request/lc-claim-store.h"
#include "core/request/lc-claim-acquire.h"
#include "core/request/lc-deadline.h"
#include "core/request/lc-hedge.h"
#include "core/request/lc-pick.h"
#include "core/request/lc-request-agent.h"
#include "core/request/lc-retry.h"
#include "core/filter/lc-filter-answer.h"
#include "core/filter/lc-filter-attempt.h"
#include "core/filter/lc-filter.h"
#include "tests/fakes/lc-fake-run.h"

#include <check.h>
#include <string.h>

static const LcRequestKey KEY = { UINT64_C (1) << 32, 7 };
static const LcMemberRef A = { 1, 101 };
static const LcMemberRef B = { 2, 102 };

/* === outcomes =============================================================================== */

START_TEST (test_outcome_of_two_attempts)
{
  enum
  {
    REFUSED,
    REFUSED_CHECKED,
    CANCELLED,
    LOST,
    NONE
  };
  static const struct
  {
    int first;
    int second;
    bool is_caller_key;
    LcOutcome expected;
  } CASES[] = {
    { REFUSED, NONE, false, LC_OUTCOME_NOT_RUN },
    { REFUSED, REFUSED, false, LC_OUTCOME_NOT_RUN },
    { LOST, REFUSED, false, LC_OUTCOME_UNKNOWN },
    { REFUSED, LOST, false, LC_OUTCOME_UNKNOWN },
    { REFUSED, NONE, true, LC_OUTCOME_UNKNOWN },
    { REFUSED_CHECKED, NONE, true, LC_OUTCOME_NOT_RUN },
    { REFUSED_CHECKED, REFUSED, true, LC_OUTCOME_UNKNOWN },
    { REFUSED, REFUSED_CHECKED, true, LC_OUTCOME_NOT_RUN },
    { LOST, REFUSED_CHECKED, true, LC_OUTCOME_UNKNOWN },
    { NONE, NONE, false, LC_OUTCOME_NOT_RUN },
    { NONE, NONE, true, LC_OUTCOME_UNKNOWN },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (CASES); i++)
    {
      LcAttemptsDesc desc = { .key = KEY, .is_caller_key = CASES[i].is_caller_key };
      int ends[2] = { CASES[i].first, CASES[i].second };
      LcAttempts attempt;
      LcStep step;

      lc_attempts_init (&attempt, &desc);
      for (uint32_t k = 0; k < 2 && ends[k] != NONE; k++)
        {
          LcRefusal refusal = { .reason = LC_REFUSE_FULL,
                                .is_claimed = ends[k] == REFUSED_CHECKED };
          uint32_t number = lc_attempts_begin (&attempt, A, k + 1);

          if (ends[k] == LOST)
            step = lc_attempts_handle_link_down (&attempt, k + 1);
          else
            step = lc_attempts_handle_refusal (&attempt, k + 1, number, &refusal);
          ck_assert_int_eq (step.kind, LC_STEP_RETRY);
        }
      step = lc_attempts_give_up (&attempt, LC_REFUSE_FULL);
      ck_assert_int_eq (step.kind, LC_STEP_FINISH);
      ck_assert_msg (step.outcome == CASES[i].expected, "case %zu", i);
    }
}
END_TEST

START_TEST (test_late_and_misdirected_messages_are_ignored)
{
  LcAttempts attempt;
  LcRefusal refusal = { .reason = LC_REFUSE_FULL };
  uint32_t number;

  lc_attempts_init (&attempt, &(LcAttemptsDesc){ .key = KEY });
  number = lc_attempts_begin (&attempt, A, 5);
  ck_assert_int_eq (lc_attempts_handle_answer (&attempt, 6, number, true).kind, LC_STEP_NONE);
  ck_assert_int_eq (lc_attempts_handle_answer (&attempt, 5, number + 1, true).kind, LC_STEP_NONE);
  ck_assert_int_eq (lc_attempts_handle_answer (&attempt, 5, 0, true).kind, LC_STEP_NONE);
  ck_assert_int_eq (lc_attempts_handle_refusal (&attempt, 5, number, &refusal).kind, LC_STEP_RETRY);
  ck_assert_int_eq (lc_attempts_handle_answer (&attempt, 5, number, true).kind, LC_STEP_NONE);
  number = lc_attempts_begin (&attempt, B, 5);
  ck_assert_int_eq (lc_attempts_handle_answer (&attempt, 5, number, true).kind, LC_STEP_ANSWER);
  ck_assert_int_eq (lc_attempts_handle_answer (&attempt, 5, number, true).kind, LC_STEP_NONE);
  ck_assert_int_eq (lc_attempts_give_up (&attempt, LC_REFUSE_DEADLINE).kind, LC_STEP_NONE);
}
END_TEST

START_TEST (test_refusal_of_held_key_leads_to_its_owner)
{
  LcAttempts attempt;
  LcRefusal held = { .reason = LC_REFUSE_HELD, .owner = B };
  LcRefusal contested = { .reason = LC_REFUSE_HELD };
  LcStep step;

  lc_attempts_init (&attempt, &(LcAttemptsDesc){ .key = KEY, .is_caller_key = true });
  step = lc_attempts_handle_refusal (&attempt, 1, lc_attempts_begin (&attempt, A, 1), &held);
  ck_assert_int_eq (step.kind, LC_STEP_TRY_OWNER);
  ck_assert (lc_member_ref_equal (step.owner, B));
  step = lc_attempts_handle_refusal (&attempt, 2, lc_attempts_begin (&attempt, B, 2), &contested);
  ck_assert_int_eq (step.kind, LC_STEP_FINISH);
  ck_assert_int_eq (step.outcome, LC_OUTCOME_UNKNOWN);
}
END_TEST

START_TEST (test_error_responses_to_callers)
{
  static const struct
  {
    LcRefuseReason reason;
    LcOutcome outcome;
    bool is_query;
    uint16_t status;
    LcOutcome said;
  } CASES[] = {
    { LC_REFUSE_FULL, LC_OUTCOME_NOT_RUN, false, 503, LC_OUTCOME_NOT_RUN },
    { LC_REFUSE_FULL, LC_OUTCOME_UNKNOWN, false, 502, LC_OUTCOME_UNKNOWN },
    { LC_REFUSE_DEADLINE, LC_OUTCOME_UNKNOWN, false, 504, LC_OUTCOME_UNKNOWN },
    { LC_REFUSE_DEADLINE, LC_OUTCOME_NOT_RUN, false, 504, LC_OUTCOME_NOT_RUN },
    { LC_REFUSE_CALLER_LIMIT, LC_OUTCOME_NOT_RUN, false, 429, LC_OUTCOME_NOT_RUN },
    { LC_REFUSE_REVOKED, LC_OUTCOME_NOT_RUN, true, 404, LC_OUTCOME_NOT_RUN },
    { LC_REFUSE_KEY_REUSED, LC_OUTCOME_UNKNOWN, false, 422, LC_OUTCOME_NOT_RUN },
    { LC_REFUSE_LINK_LOST, LC_OUTCOME_UNKNOWN, false, 502, LC_OUTCOME_UNKNOWN },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (CASES); i++)
    {
      LcCallerAnswer answer =
          lc_filter_error_answer (CASES[i].reason, CASES[i].outcome, 0, CASES[i].is_query);

      ck_assert_msg (answer.status == CASES[i].status, "case %zu: %u", i, answer.status);
      ck_assert_msg (answer.outcome == CASES[i].said, "case %zu", i);
      ck_assert (CASES[i].reason == LC_REFUSE_KEY_REUSED || answer.retry_after_us > 0);
    }
  ck_assert_uint_eq (lc_filter_answer_seconds (1), 1);
  ck_assert_uint_eq (lc_filter_answer_seconds (1000001), 2);
}
END_TEST

/* === load =================================================================================== */

START_TEST (test_admission_starts_the_earliest_deadline)
{
  LcAdmission a;
  int64_t retry_us;
  uint64_t ticket;

  lc_admission_init (&a, &(LcAdmissionDesc){ .slots = 1, .queue_max = 2 });
  ck_assert_int_eq (lc_admission_submit (&a, 1, 1000000, 0, &retry_us), LC_ADMISSION_START);
  ck_assert_int_eq (lc_admission_submit (&a, 2, 900000, 0, &retry_us), LC_ADMISSION_QUEUED);
  ck_assert_int_eq (lc_admission_submit (&a, 3, 500000, 0, &retry_us), LC_ADMISSION_QUEUED);
  ck_assert_int_eq (lc_admission_submit (&a, 4, 600000, 0, &retry_us), LC_ADMISSION_FULL);
  ck_assert_int_gt (retry_us, 0);
  ck_assert_int_eq (lc_admission_submit (&a, 5, 5000, 0, &retry_us), LC_ADMISSION_TOO_LATE);
  ck_assert (!lc_admission_start_next (&a, 10, &ticket));
  lc_admission_end_run (&a, LC_RUN_OK, 0, 10000);
  ck_assert (lc_admission_start_next (&a, 10000, &ticket) && ticket == 3);
  ck_assert (lc_admission_pop_expired (&a, 950000, &ticket) && ticket == 2);
  lc_admission_close (&a);
  ck_assert_int_eq (lc_admission_submit (&a, 6, 2000000, 960000, &retry_us), LC_ADMISSION_CLOSED);
}
END_TEST

START_TEST (test_admission_limit_falls_and_grows)
{
  LcAdmission a;
  int64_t retry_us;
  int64_t now_us = 100000;

  lc_admission_init (&a, &(LcAdmissionDesc){ .slots = 4 });
  (void)lc_admission_submit (&a, 1, INT64_MAX, now_us, &retry_us);
  lc_admission_end_run (&a, LC_RUN_SHED, now_us, now_us);
  ck_assert_uint_eq (a.limit, 3);
  (void)lc_admission_submit (&a, 2, INT64_MAX, now_us, &retry_us);
  lc_admission_end_run (&a, LC_RUN_SHED, now_us, now_us + 1);
  ck_assert_uint_eq (a.limit, 3); /* at most once a run's time */
  for (int i = 0; i < 3; i++)
    {
      (void)lc_admission_submit (&a, 3, INT64_MAX, now_us, &retry_us);
      lc_admission_end_run (&a, LC_RUN_OK, now_us, now_us + 10000);
    }
  ck_assert_uint_eq (a.limit, 4);
}
END_TEST

static void
add_endpoint (LcService *s, LcEndpointId id, LcDcId dc)
{
  LcEndpoint e = { .id = id, .instance = 100 + id, .dc = dc, .state = LC_ENDPOINT_ACTIVE };

  e.slots = 4;
  e.weight_percent = 100;
  s->endpoints = g_renew (LcEndpoint, s->endpoints, s->n_endpoints + 1);
  s->endpoints[s->n_endpoints++] = e;
}

START_TEST (test_pick_prefers_near_and_free_endpoints_and_never_avoids_all)
{
  LcService s = { 0 };
  LcPick pick;
  LcPickTarget *t;

  add_endpoint (&s, 1, 1);
  add_endpoint (&s, 2, 2);
  lc_pick_init (&pick, &(LcPickDesc){ .own_dc = 1 });
  lc_pick_set_service (&pick, &s, 1);
  t = lc_pick_choose (&pick, 1, NULL, 0, 1);
  ck_assert_uint_eq (t->ref.id, 1);
  for (int i = 0; i < 4; i++)
    lc_pick_begin_attempt (t, 1);
  ck_assert_uint_eq (lc_pick_choose (&pick, 1, NULL, 0, 1)->ref.id, 2); /* spills over */
  for (int i = 0; i < 5; i++)
    (void)lc_outlier_record_failure (&pick.targets[1].outlier, &pick.desc.outlier, 1);
  ck_assert_uint_eq (lc_pick_choose (&pick, 1, NULL, 0, 1)->ref.id, 1); /* 2 is ejected */
  for (int i = 0; i < 5; i++)
    (void)lc_outlier_record_failure (&pick.targets[0].outlier, &pick.desc.outlier, 1);
  ck_assert_ptr_nonnull (lc_pick_choose (&pick, 1, NULL, 0, 1)); /* never avoids all of them */
  pick.targets[0].is_reachable = false;
  pick.targets[1].is_draining = true;
  ck_assert_ptr_null (lc_pick_choose (&pick, 1, NULL, 0, 1));
  lc_pick_finish (&pick);
  g_free (s.endpoints);
}
END_TEST

START_TEST (test_pick_skips_evacuated_data_centres)
{
  LcService s = { 0 };
  LcView view;
  LcPick pick;

  lc_view_init (&view);
  add_endpoint (&s, 1, 1);
  add_endpoint (&s, 2, 2);
  lc_pick_init (&pick, &(LcPickDesc){ .own_dc = 1 });
  lc_pick_set_service (&pick, &s, 1);
  for (LcDcId evacuated = 0; evacuated <= 3; evacuated++)
    {
      const LcPickTarget *t;

      for (LcDcId dc = 1; dc <= 2; dc++)
        {
          LcViewOp op = { .revision = 1, .kind = LC_VIEW_DC };

          op.dc = (LcDataCentre){ .id = dc, .state = LC_DC_ACTIVE };
          op.dc.is_evacuated = (evacuated & dc) != 0;
          ck_assert_int_eq (lc_view_apply (&view, &op, NULL), 0);
        }
      lc_pick_set_evacuated (&pick, &view);
      t = lc_pick_choose (&pick, 1, NULL, 0, 1);
      ck_assert_msg ((t != NULL ? t->ref.id : 0) == (evacuated == 0   ? 1U
                                                     : evacuated == 1 ? 2U
                                                     : evacuated == 2 ? 1U
                                                                      : 0U),
                     "evacuated %u", evacuated);
    }
  lc_pick_finish (&pick);
  lc_view_finish (&view);
  g_free (s.endpoints);
}
END_TEST

/* Four requests: running and queued before an evacuation, received during it and after it. */
START_TEST (test_evacuated_agent_refuses_queued_and_new_requests)
{
  LcRequestAgentDesc desc = { .self = { 1, 101 }, .admission = { .slots = 1 } };
  LcAgentAttempt attempt = { .attempt_id = { .link_id = 1 },
                             .instance = 101,
                             .deadline_us = LC_US_PER_S };
  LcAgentActionKind kinds[4] = { 0 };
  LcRefuseReason reasons[4] = { 0 };
  LcRequestAgent agent;
  LcAgentAction action;

  lc_request_agent_init (&agent, &desc);
  for (uint64_t i = 0; i < 4; i++)
    {
      attempt.attempt_id.id = (LcRequestId){ 1, i };
      if (i >= 2)
        lc_request_agent_set_evacuated (&agent, i == 2);
      (void)lc_request_agent_handle_attempt (&agent, &attempt, 1);
    }
  while (lc_request_agent_next_action (&agent, &action))
    {
      if (action.kind == LC_AGENT_START)
        kinds[0] = action.kind;
      if (action.kind != LC_AGENT_REFUSE)
        continue;
      kinds[action.refuse.attempt_id.id.lo] = action.kind;
      reasons[action.refuse.attempt_id.id.lo] = action.refuse.reason;
    }
  ck_assert_int_eq (kinds[0], LC_AGENT_START);
  for (int i = 1; i <= 2; i++)
    {
      ck_assert_int_eq (kinds[i], LC_AGENT_REFUSE);
      ck_assert_int_eq (reasons[i], LC_REFUSE_DRAINING); /* "not run": retried elsewhere */
    }
  ck_assert_int_eq (kinds[3], 0); /* queued for the slot */
  lc_request_agent_finish (&agent);
}
END_TEST

/* A request waits up to 100 ms for a connecting link rather than queue at a full endpoint. */
START_TEST (test_request_waits_for_connecting_link)
{
  static const struct
  {
    bool is_full, is_connecting, is_lost, is_draining;
    int64_t after_us;
    LcAttemptPlanKind kind;
  } cases[] = {
    { false, true, false, false, 1, LC_PLAN_SEND },
    { true, false, false, false, 1, LC_PLAN_SEND },
    { true, true, false, false, 1, LC_PLAN_WAIT },
    { true, true, false, false, 99 * LC_US_PER_MS, LC_PLAN_WAIT },
    { true, true, false, false, 100 * LC_US_PER_MS, LC_PLAN_SEND },
    { true, true, true, false, 1, LC_PLAN_SEND },
    { true, true, false, true, 1, LC_PLAN_SEND },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      LcService s = { .id = 1 };
      LcPick pick;
      LcRetryBudget budget;
      LcAttempts attempt = { 0 };
      LcAttemptPlanning planning = { .attempt = &attempt, .pick = &pick, .budget = &budget };
      LcAttemptPlan plan;

      add_endpoint (&s, 1, 1);
      add_endpoint (&s, 2, 1);
      lc_retry_init (&budget, 0);
      lc_pick_init (&pick, &(LcPickDesc){ .own_dc = 1 });
      lc_pick_set_service (&pick, &s, 1);
      for (uint32_t k = 0; cases[i].is_full && k < pick.targets[0].slots; k++)
        lc_pick_begin_attempt (&pick.targets[0], 1);
      lc_pick_set_reachable (&pick.targets[1], cases[i].is_connecting);
      lc_pick_set_connecting (&pick.targets[1], 1);
      lc_pick_set_connecting (&pick.targets[1], 50 * LC_US_PER_MS); /* does not restart the time */
      if (cases[i].is_lost)
        lc_pick_set_reachable (&pick.targets[1], false);
      pick.targets[1].is_draining = cases[i].is_draining;
      planning.now_us = 1 + cases[i].after_us;
      plan = lc_filter_attempt_first (&planning);
      ck_assert_msg (plan.kind == cases[i].kind, "case %zu: %d", i, (int)plan.kind);
      if (plan.kind == LC_PLAN_SEND)
        ck_assert_uint_eq (plan.ref.id, 1);
      lc_pick_finish (&pick);
      g_free (s.endpoints);
    }
}
END_TEST

START_TEST (test_budget_hedge_and_deadline)
{
  LcRetryBudget budget;
  LcHedge hedge = { 0 };
  uint32_t taken = 0;

  lc_retry_init (&budget, 0);
  for (int i = 0; i < 1000; i++)
    {
      lc_retry_deposit (&budget);
      taken += lc_retry_withdraw (&budget);
    }
  ck_assert_uint_le (taken, 100 + LC_RETRY_FIRST_TOKENS);
  ck_assert_uint_ge (taken, 100);
  for (int i = 0; i < LC_HEDGE_MIN_SAMPLES - 1; i++)
    lc_hedge_record_latency (&hedge, 10000);
  ck_assert_int_eq (lc_hedge_delay_us (&hedge), 0);
  lc_hedge_record_latency (&hedge, 10000);
  ck_assert_int_ge (lc_hedge_delay_us (&hedge), 10000);
  ck_assert_int_eq (lc_deadline_us (5, 0, 0), 5 + 30 * LC_US_PER_S);
  ck_assert_int_eq (lc_deadline_us (0, 500, 100), 100 * LC_US_PER_MS);
  ck_assert_int_eq (lc_deadline_us (0, 500, 9000), 500 * LC_US_PER_MS);
  ck_assert_int_eq (lc_deadline_us (0, 999999, 0), 60 * LC_US_PER_S);
  ck_assert_int_eq (lc_deadline_agent_left_us (100, 100), 0);
  /* A caller with a timeout of 3 s was answered at 3.00 s, after it had left (soak seed 6102). */
  ck_assert_int_eq (lc_deadline_answer_us (7, 0, 3000), 7 + 2950 * LC_US_PER_MS);
  ck_assert_int_eq (lc_deadline_answer_us (0, 0, 100), 90 * LC_US_PER_MS);
  ck_assert_int_eq (lc_deadline_answer_us (0, 500, 9000), 500 * LC_US_PER_MS);
  ck_assert_int_eq (lc_deadline_answer_us (0, 500, 0), 500 * LC_US_PER_MS);
  ck_assert_int_eq (lc_deadline_answer_us (0, 500, 520), 470 * LC_US_PER_MS);
  ck_assert_int_eq (lc_deadline_agent_left_us (1000, 0), 900);
}
END_TEST

/* === filters ================================================================================ */

static void
apply (LcView *view, LcViewOp op)
{
  LcError error = { 0 };

  op.revision = 1;
  ck_assert_msg (lc_view_apply (view, &op, &error) == 0, "%s", error.message);
}

static LcSlice
slice (const char *text)
{
  return (LcSlice){ text, strlen (text) };
}

static LcLimit *
one_limit (void *user, const LcService *service)
{
  return user;
}

START_TEST (test_filters)
{
  static const struct
  {
    const char *method;
    const char *path;
    const char *key;
    const char *timeout;
    uint16_t status; /* 0: passes */
    bool is_keyed;
  } CASES[] = {
    { "GET", "/orders/1", "", "", 0, false },
    { "GET", "/orders/1", "k", "", 0, false },
    { "PUT", "/orders/1", "", "250", 0, false },
    { "POST", "/orders", "k", "", 0, true },
    { "POST", "/orders", "", "", 0, true },
    { "PATCH", "/orders", "", "", 0, true },
    { "BREW", "/orders", "", "", 0, true },
    { "GET", "/else", "", "", 404, false },
    { "POST", "/orders", "a b", "", 400, false },
    { "POST", "/orders", "k", "0", 400, false },
    { "POST", "/orders", "k", "1x", 400, false },
    { "POST", "/orders", "k", "12345678901", 400, false },
    { "GET", "/.well-known/lychee/requests/order-desk/k", "", "", 0, true },
    { "GET", "/.well-known/lychee/requests/00000001000000000000000000000007", "", "", 0, true },
    { "GET", "/.well-known/lychee/requests/00000009000000000000000000000007", "", "", 404, false },
    { "GET", "/.well-known/lychee/requests/zz", "", "", 404, false },
  };
  LcView view;
  LcLimit limit;
  LcFilterContext context = { &view, one_limit, &limit };

  lc_view_init (&view);
  lc_limit_init (&limit, &(LcLimitDesc){ .per_caller = 1 });
  apply (&view,
         (LcViewOp){ .kind = LC_VIEW_SERVICE, .service = { .id = 1, .name = "order-desk" } });
  apply (&view, (LcViewOp){ .kind = LC_VIEW_ROUTE,
                            .route = { .id = 1, .service_id = 1, .path_prefix = "/orders" } });
  for (size_t i = 0; i < G_N_ELEMENTS (CASES); i++)
    {
      LcFilterRequest r = { .method = slice (CASES[i].method),
                            .path = slice (CASES[i].path),
                            .host = slice ("x"),
                            .body = slice (""),
                            .key_text = slice (CASES[i].key),
                            .timeout_text = slice (CASES[i].timeout),
                            .caller = 9,
                            .random = { 1, i } };
      LcFilterVerdict verdict = lc_filter_run (&r, &context);

      ck_assert_msg (verdict.status == CASES[i].status, "case %zu: %u", i, verdict.status);
      if (verdict.kind == LC_FILTER_PASS)
        {
          ck_assert_msg (!lc_request_key_is_none (r.key) == CASES[i].is_keyed, "case %zu", i);
          ck_assert (!CASES[i].is_keyed || lc_request_key_service (r.key) == 1);
          ck_assert_int_eq (lc_limit_acquire (&limit, 9), LC_LIMIT_CALLER);
          ck_assert_int_eq (lc_limit_acquire (&limit, 8), LC_LIMIT_OK);
          lc_limit_release (&limit, 8);
          lc_limit_release (&limit, 9);
        }
      ck_assert_uint_eq (limit.in_flight, 0);
    }
  lc_limit_finish (&limit);
  lc_view_finish (&view);
}
END_TEST

/* === claims ================================================================================= */

START_TEST (test_claim_store)
{
  LcClaimStore store;
  LcClaimRecord hold;
  LcClaimRecord other = { KEY, B, 1, 2000 };

  lc_claim_store_init (&store, &(LcClaimStoreDesc){ .max_claims = 1 });
  ck_assert_int_eq (lc_claim_store_claim (&store, KEY, A, 5, 1000, 0, &hold), LC_CLAIM_GRANTED);
  ck_assert_int_eq (lc_claim_store_claim (&store, KEY, B, 9, 1000, 1, &hold), LC_CLAIM_HELD);
  ck_assert (lc_member_ref_equal (hold.owner, A));
  ck_assert (!lc_claim_store_release (&store, KEY, A.instance, 4)); /* an outdated release */
  ck_assert (!lc_claim_store_release (&store, KEY, B.instance, 9));
  ck_assert_int_eq (lc_claim_store_claim (&store, (LcRequestKey){ 1, 1 }, A, 6, 1000, 1, &hold),
                    LC_CLAIM_FULL);
  ck_assert (lc_claim_store_release (&store, KEY, A.instance, 5));
  ck_assert_int_eq (lc_claim_store_claim (&store, KEY, A, 7, 1000, 2, &hold), LC_CLAIM_GRANTED);
  lc_claim_store_merge (&store, &other); /* two owners: granted to nobody */
  ck_assert_int_eq (lc_claim_store_claim (&store, KEY, A, 8, 1000, 3, &hold), LC_CLAIM_HELD);
  ck_assert_int_eq (lc_claim_store_claim (&store, KEY, B, 8, 1000, 3, &hold), LC_CLAIM_HELD);
  ck_assert (!lc_claim_store_release (&store, KEY, A.instance, 8));
  (void)lc_claim_store_expire (&store, 1002);
  ck_assert_uint_eq (lc_claim_store_size (&store), 1); /* prolonged by the merge */
  ck_assert_uint_eq (lc_claim_store_expire (&store, 2000), 1);
  ck_assert_uint_eq (lc_claim_store_size (&store), 0);
  lc_claim_store_finish (&store);
}
END_TEST

START_TEST (test_claim_goes_to_the_first_home_alone)
{
  LcMemberRef members[5];
  LcMemberRef homes[LC_CLAIM_HOMES];
  LcClaimAcquire claim = { 0 };

  for (uint32_t i = 0; i < 5; i++)
    members[i] = (LcMemberRef){ i + 1, 101 + i };
  lc_claim_acquire_start (&claim, KEY, A, 1, 7, members, 5);
  ck_assert_uint_eq (claim.n_homes, 3);
  ck_assert_uint_eq (lc_claim_acquire_next_homes (&claim, homes), 1);
  ck_assert_uint_eq (lc_claim_acquire_next_homes (&claim, homes), 0);
  ck_assert_int_eq (lc_claim_acquire_handle_reply (&claim, claim.homes[0], 1, 6, LC_CLAIM_HELD),
                    LC_CLAIM_ACQUIRE_PENDING); /* of another era */
  ck_assert_int_eq (lc_claim_acquire_handle_reply (&claim, claim.homes[1], 1, 7, LC_CLAIM_GRANTED),
                    LC_CLAIM_ACQUIRE_PENDING); /* was not asked */
  ck_assert_int_eq (lc_claim_acquire_handle_reply (&claim, claim.homes[0], 1, 7, LC_CLAIM_GRANTED),
                    LC_CLAIM_ACQUIRE_PENDING);
  ck_assert_uint_eq (lc_claim_acquire_next_homes (&claim, homes), 2);
  ck_assert_int_eq (lc_claim_acquire_handle_reply (&claim, claim.homes[1], 1, 7, LC_CLAIM_GRANTED),
                    LC_CLAIM_ACQUIRE_PENDING);
  ck_assert_int_eq (lc_claim_acquire_handle_reply (&claim, claim.homes[2], 1, 7, LC_CLAIM_GRANTED),
                    LC_CLAIM_ACQUIRE_CONFIRMED);
  lc_claim_acquire_start (&claim, KEY, A, 2, 8, members, 0);
  ck_assert_uint_eq (lc_claim_acquire_next_homes (&claim, homes), 0);
}
END_TEST

START_TEST (test_ids)
{
  char text[LC_REQUEST_ID_TEXT];
  LcRequestId id = { UINT64_C (0x0123456789abcdef), UINT64_C (0xfedcba9876543210) };
  LcRequestId back;

  lc_request_id_text (text, id);
  ck_assert_str_eq (text, "0123456789abcdeffedcba9876543210");
  ck_assert (lc_request_id_parse (&back, text, strlen (text)) && lc_request_id_equal (id, back));
  ck_assert (!lc_request_id_parse (&back, text, strlen (text) - 1));
  ck_assert (!lc_request_id_parse (&back, "0123456789abcdeffedcba987654321g", 32));
  ck_assert (!lc_request_key_equal (lc_request_key (1, "k", 1), lc_request_key (2, "k", 1)));
}
END_TEST

/* === claims of lost sets of homes =========================================================== */

enum
{
  N_ERAS = 4,
  N_HOMES = 5,
  LOST_AFTER_S = 65,
};

/* Sets of homes that are lost one after another, seconds apart; endpoint 1, the reader, is a member
 * of all.  Their claims are unknown until every request that was claimed there is over. */
typedef struct
{
  const char *what;
  LcEndpointId members[N_ERAS][N_HOMES];
  int64_t ended_s[N_ERAS]; /* when the next set replaced it */
  int64_t known_s;         /* when endpoint 1 is complete at the last era */
} LostCase;

static const LostCase LOST_CASES[] = {
  { "one set is lost", { { 1, 2, 3, 4, 5 }, { 1, 6, 7, 8, 9 } }, { 10 }, 10 + LOST_AFTER_S },
  { "three sets are lost within ten seconds",
    { { 1, 2, 3, 4, 5 }, { 1, 6, 7, 8, 9 }, { 1, 10, 11, 12, 13 }, { 1, 14, 15, 16, 17 } },
    { 10, 15, 20 },
    20 + LOST_AFTER_S },
  { "one other member of each set survives and answers, too few to cover every key",
    { { 1, 2, 3, 4, 5 }, { 1, 2, 7, 8, 9 }, { 1, 2, 11, 12, 13 }, { 1, 2, 15, 16, 17 } },
    { 10, 15, 20 },
    20 + LOST_AFTER_S },
  { "the second is lost a minute later",
    { { 1, 2, 3, 4, 5 }, { 1, 6, 7, 8, 9 }, { 1, 10, 11, 12, 13 } },
    { 10, 70 },
    70 + LOST_AFTER_S },
};

static bool
is_in (const LcEndpointId members[N_HOMES], LcEndpointId id)
{
  for (int i = 0; i < N_HOMES; i++)
    if (members[i] == id)
      return true;
  return false;
}

/* Answers as a surviving member that is complete at the same era as this one. */
static void
answer_step (LcClaimSync *era, LcEndpointId id, int64_t now_us)
{
  LcClaimSource source = { .member = { id, 1000 + id }, .era = lc_claim_sync_present_era (era) };

  source.target_era = lc_claim_sync_target_era (era);
  source.complete = era->complete;
  source.complete_from = era->complete_from;
  if (source.target_era != 0)
    lc_claim_sync_add_source (era, &source, now_us);
}

static void
show_set (LcClaimSync *era,
          LcView *view,
          const LcEndpointId members[N_HOMES],
          LcRevision revision,
          int64_t now_us)
{
  const LcService *s = lc_view_service (view, 1);
  LcViewOp op = { .kind = LC_VIEW_ENDPOINT, .revision = revision };
  LcEndpointId known[4 * N_HOMES];
  uint32_t n_known = 0;

  for (uint32_t i = 0; i < s->n_endpoints; i++)
    known[n_known++] = s->endpoints[i].id;
  for (uint32_t i = 0; i < n_known; i++)
    if (!is_in (members, known[i]))
      {
        LcViewOp gone = { .kind = LC_VIEW_ENDPOINT_REMOVED, .revision = revision };

        gone.endpoint = *lc_view_endpoint (view, known[i]);
        ck_assert_int_eq (lc_view_apply (view, &gone, NULL), 0);
      }
  for (int i = 0; i < N_HOMES; i++)
    {
      op.endpoint = (LcEndpoint){ .id = members[i],
                                  .service_id = 1,
                                  .instance = 1000 + members[i],
                                  .state = LC_ENDPOINT_ACTIVE,
                                  .weight_percent = 100 };
      (void)g_snprintf (op.endpoint.name, sizeof op.endpoint.name, "e%u", members[i]);
      ck_assert_int_eq (lc_view_apply (view, &op, NULL), 0);
    }
  lc_claim_sync_set_service (era, lc_view_service (view, 1), now_us);
}

START_TEST (test_lost_sets_are_waited_for_together)
{
  const LostCase *c = &LOST_CASES[_i];
  LcClaimSyncDesc desc = { .self = { 1, 1001 } };
  LcViewOp service = { .kind = LC_VIEW_SERVICE,
                       .revision = 1,
                       .service = { .id = 1, .name = "desk" } };
  int64_t now_s = 0;
  LcClaimSync era;
  LcView view;
  int next = 1;

  lc_view_init (&view);
  ck_assert_int_eq (lc_view_apply (&view, &service, NULL), 0);
  lc_claim_sync_init (&era, &desc);
  show_set (&era, &view, c->members[0], 2, 0);
  for (; lc_claim_sync_target_era (&era) != 0 || now_s <= c->ended_s[0]; now_s++)
    {
      ck_assert_msg (now_s < 600, "%s", c->what);
      if (next < N_ERAS && c->ended_s[next - 1] == now_s && now_s != 0)
        {
          show_set (&era, &view, c->members[next], (LcRevision)next + 2, now_s * LC_US_PER_S);
          next++;
        }
      for (int i = 0; i < N_ERAS && is_in (c->members[1], 2); i++)
        {
          answer_step (&era, 2, now_s * LC_US_PER_S);
          lc_claim_sync_tick (&era, now_s * LC_US_PER_S);
        }
      lc_claim_sync_tick (&era, now_s * LC_US_PER_S);
    }
  ck_assert_msg (now_s - 1 == c->known_s, "%s: after %d s", c->what, (int)now_s - 1);
  lc_claim_sync_finish (&era);
  lc_view_finish (&view);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("request");
  TCase *tcase = tcase_create ("core");

  tcase_add_test (tcase, test_outcome_of_two_attempts);
  tcase_add_test (tcase, test_late_and_misdirected_messages_are_ignored);
  tcase_add_test (tcase, test_refusal_of_held_key_leads_to_its_owner);
  tcase_add_test (tcase, test_error_responses_to_callers);
  tcase_add_test (tcase, test_admission_starts_the_earliest_deadline);
  tcase_add_test (tcase, test_admission_limit_falls_and_grows);
  tcase_add_test (tcase, test_pick_prefers_near_and_free_endpoints_and_never_avoids_all);
  tcase_add_test (tcase, test_pick_skips_evacuated_data_centres);
  tcase_add_test (tcase, test_evacuated_agent_refuses_queued_and_new_requests);
  tcase_add_test (tcase, test_request_waits_for_connecting_link);
  tcase_add_test (tcase, test_budget_hedge_and_deadline);
  tcase_add_test (tcase, test_filters);
  tcase_add_test (tcase, test_claim_store);
  tcase_add_loop_test (tcase, test_lost_sets_are_waited_for_together, 0,
                       (int)(sizeof LOST_CASES / sizeof LOST_CASES[0]));
  tcase_add_test (tcase, test_claim_goes_to_the_first_home_alone);
  tcase_add_test (tcase, test_ids);
  suite_add_tcase (suite, tcase);
  return lc_fake_run (suite);
}
