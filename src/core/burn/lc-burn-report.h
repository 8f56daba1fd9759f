/* lc-burn-report: burn rates over paired windows, and the error budget that is left.
 *
 * WHAT IT IS
 *   For one service (and one data centre, or all) it compares the bad requests and flows with what
 *   the objective allows, over three pairs of windows.  A pair alerts only when both its short and
 *   its long window burn faster than the pair's limit: the long one shows that it is significant,
 *   the short one that it is still going on.
 *
 * HOW TO USE IT
 *     LcBurnObjective objective = { .service = "order-desk", .good_ppm = 999000 };
 *     LcBurnReport report;
 *     lc_burn_report_compute (&report, merge, &objective, NULL, now_us);
 *
 * WHAT IS BAD
 *   Requests: late, refused, unknown and failed, over all requests that ended.  Flows: broken and
 *   refused, over the flows open at the window's start and those opened or refused since.
 */
#ifndef LC_BURN_REPORT_H
#define LC_BURN_REPORT_H

#include "lc-burn-merge.h"

#ifdef __cplusplus
extern "C"
{
#endif

  enum
  {
    LC_BURN_PAIRS = 3,
    LC_BURN_DEFAULT_GOOD_PPM = 999000,
    LC_BURN_PPM = 1000000,
  };

  typedef struct
  {
    const char *service;
    uint32_t good_ppm;   /* share that must be good; 0: 999 000 */
    uint32_t latency_ms; /* for display: the process that counts decides what is late */
  } LcBurnObjective;

  typedef struct
  {
    const char *name; /* "5m" */
    int64_t length_us;
    double requests;
    double bad_requests;
    double request_rate; /* burn rate */
    double flows;
    double bad_flows;
    double flow_rate;
    int64_t covered_us;
    LcBurnWindow counts;
  } LcBurnSpan;

  typedef enum
  {
    LC_BURN_QUIET,
    LC_BURN_TICKET, /* to be handled in working hours */
    LC_BURN_PAGE,   /* to be handled now */
  } LcBurnUrgency;

  typedef struct
  {
    LcBurnSpan spans[2 * LC_BURN_PAIRS]; /* short and long of each pair */
    double limits[LC_BURN_PAIRS];
    LcBurnUrgency request_urgency;
    LcBurnUrgency flow_urgency;
    double request_budget_left; /* share; below 0 when overspent; 1 without requests */
    double flow_budget_left;
    LcBurnImbalance imbalance; /* of the last hour */
  } LcBurnReport;

  void lc_burn_report_compute (LcBurnReport *report,
                               const LcBurnMerge *merge,
                               const LcBurnObjective *objective,
                               const char *data_centre,
                               int64_t now_us);
  /* "quiet", "ticket" or "page". */
  const char *lc_burn_urgency_name (LcBurnUrgency urgency);

#ifdef __cplusplus
}
#endif

#endif /* LC_BURN_REPORT_H */
