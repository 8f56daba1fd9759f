/* lc-burn: the counters from which error-budget burn rates are computed.
 *
 * WHAT IT IS
 *   Each process counts, for each service, how its requests and flows ended.  The counts only grow
 *   while the process runs; a restarted process counts from zero under a new instance number.
 *   lc-burn-ring keeps their history in the process, lc-burn-merge adds up the histories of many
 *   processes, lc-burn-report turns sums into burn rates.
 *
 * WORDS
 *   The error budget is the share of bad requests (or flows) that the objective allows.  A burn
 *   rate of 1 spends the budget exactly by the end of the objective's period; 14.4 spends a
 *   thirty-day budget in two days.
 */
#ifndef LC_BURN_H
#define LC_BURN_H

#include "../lc-types.h"

#ifdef __cplusplus
extern "C"
{
#endif

  typedef enum
  {
    LC_BURN_GOOD = 0,     /* a complete answer within the latency objective */
    LC_BURN_LATE,         /* a complete answer, later than that */
    LC_BURN_REFUSED,      /* answered as "not run" */
    LC_BURN_UNKNOWN,      /* answered as of unknown outcome */
    LC_BURN_FAILED,       /* no complete answer, for another reason on our side */
    LC_BURN_FLOW_OPENED,  /* a flow was assigned an owner */
    LC_BURN_FLOW_ENDED,   /* no longer owned here: closed, idle, or handed over */
    LC_BURN_FLOW_BROKEN,  /* lost its owner while the caller still used it; counted by its home */
    LC_BURN_FLOW_REFUSED, /* no endpoint could accept it */
    LC_N_BURN_COUNTERS
  } LcBurnCounter;

  typedef struct
  {
    uint64_t values[LC_N_BURN_COUNTERS];
  } LcBurnCounts;

  /* The counts of one process and service at an uptime of that process. */
  typedef struct
  {
    int64_t uptime_us;
    LcBurnCounts counts;
  } LcBurnSample;

  /* "good", "late", "refused", ... for JSON and metrics. */
  const char *lc_burn_counter_name (LcBurnCounter counter);

#ifdef __cplusplus
}
#endif

#endif /* LC_BURN_H */
