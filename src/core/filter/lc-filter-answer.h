/* lc-filter-answer: the HTTP error response for a failed request.
 *
 * WHAT IT IS
 *   Maps a reason and an outcome to an HTTP status, texts and the time for Retry-After; see
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
    int64_t retry_after_us; /* 0: omit Retry-After */
    const char *message;
    const char *remedy;
  } LcCallerAnswer;

  LcCallerAnswer lc_filter_error_answer (LcRefuseReason reason,
                                         LcOutcome outcome,
                                         int64_t retry_after_us,
                                         bool is_query);

  /* Whole seconds for Retry-After, rounded up, at least 1. */
  uint32_t lc_filter_answer_seconds (int64_t retry_after_us);

#ifdef __cplusplus
}
#endif

#endif /* LC_FILTER_ANSWER_H */
