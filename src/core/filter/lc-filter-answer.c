#include "lc-filter-answer.h"

#define LC_ANSWER_RETRY_AFTER_US LC_US_PER_S

static uint16_t
lc_filter_answer__status (LcRefuseReason reason, LcOutcome outcome, bool is_query)
{
  switch (reason)
    {
    case LC_REFUSE_KEY_REUSED:
      return 422;
    case LC_REFUSE_CALLER_LIMIT:
    case LC_REFUSE_SERVICE_LIMIT:
      return 429;
    case LC_REFUSE_DEADLINE:
    case LC_REFUSE_CANCELLED:
      return 504;
    default:
      break;
    }
  if (outcome == LC_OUTCOME_UNKNOWN)
    return 502;
  return is_query ? 404 : 503;
}

static const char *
lc_filter_answer__remedy (LcRefuseReason reason, LcOutcome outcome, bool is_query)
{
  if (reason == LC_REFUSE_KEY_REUSED)
    return "use a new Idempotency-Key for each different request";
  if (outcome == LC_OUTCOME_UNKNOWN)
    return "ask again at the Lychee-Ask path, or resend with the same Idempotency-Key";
  if (is_query)
    return "the request may be sent again";
  return "send the request again after Retry-After";
}

static const char *
lc_filter_answer__message (LcRefuseReason reason, LcOutcome outcome)
{
  if (reason == LC_REFUSE_KEY_REUSED)
    return "the Idempotency-Key was used for another request; this one did not run";
  if (outcome == LC_OUTCOME_UNKNOWN)
    return "the request may have run; its outcome is unknown";
  return "the request did not run";
}

LcCallerAnswer
lc_filter_error_answer (LcRefuseReason reason,
                        LcOutcome outcome,
                        int64_t retry_after_us,
                        bool is_query)
{
  LcCallerAnswer answer = { .outcome = outcome };

  if (reason == LC_REFUSE_KEY_REUSED)
    answer.outcome = LC_OUTCOME_NOT_RUN;
  answer.status = lc_filter_answer__status (reason, outcome, is_query);
  answer.message = lc_filter_answer__message (reason, outcome);
  answer.remedy = lc_filter_answer__remedy (reason, outcome, is_query);
  if (reason != LC_REFUSE_KEY_REUSED)
    answer.retry_after_us = retry_after_us > 0 ? retry_after_us : LC_ANSWER_RETRY_AFTER_US;
  return answer;
}

uint32_t
lc_filter_answer_seconds (int64_t retry_after_us)
{
  int64_t seconds = (retry_after_us + LC_US_PER_S - 1) / LC_US_PER_S;

  return seconds > 1 ? (uint32_t)seconds : 1;
}
