/* lc-outcome: reasons for refusing a request, and its outcome without an answer.
 *
 * WHAT IT IS
 *   The reasons for which an agent refuses an attempt or a balancer a request, and for each whether
 *   it is certain that the attempt has not run.  Values go over the wire: add at the end.
 */
#ifndef LC_OUTCOME_H
#define LC_OUTCOME_H

#include "core/lc-types.h"

#ifdef __cplusplus
extern "C"
{
#endif

  typedef enum
  {
    LC_REFUSE_NONE = 0,
    LC_REFUSE_STALE_INSTANCE = 1, /* sent to another instance of the endpoint */
    LC_REFUSE_DRAINING = 2,
    LC_REFUSE_FULL = 3,
    LC_REFUSE_TOO_LATE = 4,
    LC_REFUSE_REVOKED = 5,      /* cancelled before it started */
    LC_REFUSE_CANCELLED = 6,    /* cancelled, or its deadline passed, while it ran */
    LC_REFUSE_SHED = 7,         /* the backend server reported that it did not run it */
    LC_REFUSE_BROKEN = 8,       /* the backend server's answer was cut short or lost */
    LC_REFUSE_BACKEND_DOWN = 9, /* no connection to the backend server */
    LC_REFUSE_UNCLAIMED = 10,   /* not all homes recorded the claim in time */
    LC_REFUSE_HELD = 11,        /* another agent has claimed the key */
    LC_REFUSE_KEY_REUSED = 12,  /* the key was used for a different request */
    LC_REFUSE_ANSWER_GONE = 13, /* it ran; its answer was dropped */
    LC_REFUSE_MALFORMED = 14,   /* the attempt's body did not match its checksum */
    LC_REFUSE_NOT_KNOWN = 15,   /* queried for a key without a record */
    /* Set by the balancer itself. */
    LC_REFUSE_DEADLINE = 32,
    LC_REFUSE_LINK_LOST = 33,   /* the connection to the agent was lost */
    LC_REFUSE_NO_ENDPOINT = 34, /* no endpoint can take it now */
    LC_REFUSE_CALLER_LIMIT = 35,
    LC_REFUSE_SERVICE_LIMIT = 36,
  } LcRefuseReason;

  typedef enum
  {
    LC_OUTCOME_NOT_RUN = 1,
    LC_OUTCOME_UNKNOWN = 2,
  } LcOutcome;

  /* Whether an attempt refused for this reason has certainly not run. */
  bool lc_refuse_is_not_run (LcRefuseReason reason);

  /* Whether a retry elsewhere adds no load, because the agent would take no request at all. */
  bool lc_refuse_retry_is_free (LcRefuseReason reason);

  /* A stable name for headers, logs and metrics, for example "queue-full". */
  const char *lc_refuse_name (LcRefuseReason reason);
  const char *lc_outcome_name (LcOutcome outcome);

#ifdef __cplusplus
}
#endif

#endif /* LC_OUTCOME_H */
