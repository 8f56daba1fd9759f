/* lc-filter-answer: what a caller is told when there is no answer to give.
 *
 * WHAT IT IS
 *   Maps a reason and an outcome to an HTTP status and to when the caller may come back; see
 *   docs/CALLERS.md for the contract.
 */
#ifndef LC_FILTER_ANSWER_H
#define LC_FILTER_ANSWER_H

#include "core/request/lc-outcome.h"

#ifdef __cplusplus
extern "C"
{
#endif

  typedef struct
  {
    uint16_t status;
    LcOutcome outcome;
    int64_t retry_after_us; /* 0: don't say */
    const char *message;
    const char *remedy;
  } LcCallerAnswer;

  LcCallerAnswer
  lc_filter_answer (LcRefuseReason reason, LcOutcome outcome, int64_t retry_after_us, bool is_ask);

  /* Whole seconds for Retry-After, rounded up, at least 1. */
  uint32_t lc_filter_answer_seconds (int64_t retry_after_us);

#ifdef __cplusplus
}
#endif

#endif /* LC_FILTER_ANSWER_H */
