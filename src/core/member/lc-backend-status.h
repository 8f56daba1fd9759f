/* lc-backend-status: the state of a backend server, from its own reports to its agent.
 *
 * WHAT IT IS
 *   A backend server may report itself to the agent on its VM: its id, whether it accepts new work,
 *   and how long it stays slow after its start.  Reports may come late, twice or out of order.  A
 *   backend server that restarts is a new one at the same address, sometimes under the same id: it
 *   holds nothing of the old one's flows, and its sequence begins anew.  This module keeps the
 *   newest report and returns what each report changed.
 *
 * WHICH START A REPORT BELONGS TO
 *   A start is the pair of an id and the time at which it began (`born_ms`).  Under one id, a later
 *   time is a new start, whatever its sequence.  Times are compared only with each other.  A backend
 *   server that never sends a time is identified by its id alone.
 *
 *   A report of any other start may be delayed, from a writer that is no backend server, or from the
 *   next start.  It does not displace a start that goes on reporting; it is kept as a claim:
 *     present start   the claim is accepted when the present start
 *     ready           is overdue (1.25 intervals); if the claim is contradicted, silent (2.5)
 *     leaving, ended  is silent, and the claimed start has reported twice
 *   A claim is contradicted if its time is earlier or missing where the present start has one, or
 *   if its start was the present one before and has not reported twice since.  After an end, a claim
 *   that is not contradicted is accepted at once.  Each report of the present start discards the
 *   claim.  Reports that arrive within half an interval count as one.
 *
 *   Before the first report, the start that the view lists counts as the present one if it was
 *   leaving.  If it was not, the first report is believed: the backend server may have started
 *   again with its agent.
 *
 * HOW TO USE IT
 *     lc_backend_status_init (&status, &desc, now_us);
 *     switch (lc_backend_status_apply (&status, &report, now_us)) ...
 *     if (lc_backend_status_accept_claim (&status, now_us)) ...            several times a second
 *     if (lc_backend_status_is_available (&status, now_us) ||
 *         lc_backend_status_may_try (&status, is_candidate, now_us))
 *       it may be given a new flow
 *
 * LIFETIME
 *   Plain values; nothing to free.
 *
 * LIMITS
 *   The last LC_BACKEND_EARLIER_MAX identities before the present one are kept: a report delayed by
 *   more restarts than that is not contradicted by them.  One claim is kept, the newest.
 */
#ifndef LC_BACKEND_STATUS_H
#define LC_BACKEND_STATUS_H

#include "core/lc-types.h"

#ifdef __cplusplus
extern "C"
{
#endif

  enum
  {
    LC_BACKEND_EARLIER_MAX = 4,
  };

  typedef enum
  {
    LC_BACKEND_UNKNOWN = 0,  /* no report yet */
    LC_BACKEND_READY = 1,    /* accepts new work */
    LC_BACKEND_DRAINING = 2, /* keeps its flows, accepts no new work */
    LC_BACKEND_ENDED = 3,    /* reported its end */
  } LcBackendState;

  typedef struct
  {
    char id[LC_NAME_MAX]; /* of this start of the backend server */
    LcBackendState state;
    uint64_t born_ms;  /* when this start began, Unix time at the backend server; 0: not sent */
    uint64_t sequence; /* increases with each report of one start */
    uint32_t slots;    /* concurrent requests; 0: not sent */
    uint32_t cold_ms;  /* remaining time of its slow start */
    char service[LC_NAME_MAX];
    uint32_t ipv4; /* where it listens; 0: not sent */
  } LcBackendReport;

  typedef enum
  {
    LC_BACKEND_UNCHANGED = 0, /* a refresh without change */
    LC_BACKEND_STALE = 1,     /* older than the newest report, or of an earlier start: no effect */
    LC_BACKEND_STARTED = 2,   /* a new start: it holds no earlier flow */
    LC_BACKEND_CHANGED = 3,   /* the state advanced */
    LC_BACKEND_HELD = 4,      /* of another start, while the present one reports: no effect yet */
  } LcBackendUpdate;

  typedef struct
  {
    uint32_t interval_ms; /* usual time between reports; 0: 1200 */
  } LcBackendStatusDesc;

  /* The newest report of another start than the present one. */
  typedef struct
  {
    LcBackendReport report;
    uint64_t first_sequence; /* of its first report here */
    int64_t reported_us;
    int64_t counted_us; /* of the newest report in `n_reports` */
    uint32_t n_reports; /* half an interval apart or more; 0: no claim */
  } LcBackendClaim;

  typedef struct
  {
    LcBackendStatusDesc desc;
    int64_t started_us;
    LcBackendReport newest;
    LcInstance earlier[LC_BACKEND_EARLIER_MAX]; /* newest first; 0: none */
    LcInstance listed;                          /* by the view, before the first report */
    bool is_listed_leaving;
    uint64_t first_sequence; /* of the present start's first report here */
    LcBackendClaim claim;
    int64_t reported_us; /* time of the newest report */
    int64_t warm_at_us;  /* end of its slow start */
  } LcBackendStatus;

  /* Whether no agent process before the present one, which began at `began_ms` (Unix time, same
   * clock), can have assigned flows to the start of this report.  True for its first report, and
   * for its second when both began together, as at the boot of their VM: an earlier agent would
   * have had to start, get a view, be given flows and end in between. */
  bool lc_backend_report_is_new_start (const LcBackendReport *report, uint64_t began_ms);

  void
  lc_backend_status_init (LcBackendStatus *status, const LcBackendStatusDesc *desc, int64_t now_us);
  /* Sets the start that the view lists, and whether it is leaving there.  If another one reports
   * first, a delayed report of this one counts as late. */
  void lc_backend_status_set_listed (LcBackendStatus *status, LcInstance instance, bool is_leaving);
  LcBackendUpdate
  lc_backend_status_apply (LcBackendStatus *status, const LcBackendReport *report, int64_t now_us);
  /* Whether a claim has become due: its start is now the present one, as after LC_BACKEND_STARTED. */
  bool lc_backend_status_accept_claim (LcBackendStatus *status, int64_t now_us);
  /* Whether the report is of the present start. */
  bool lc_backend_status_is_present (const LcBackendStatus *status, const LcBackendReport *report);
  /* Whether it may be given new flows: ready, and its newest report at most 2.5 intervals old. */
  bool lc_backend_status_is_available (const LcBackendStatus *status, int64_t now_us);
  /* Whether a backend server without a report may be tried.  After a restart of its agent it most
   * likely still runs, refuses what it can't accept, and reports within an interval.
   * `is_candidate`: the view lists it, and not as leaving. */
  bool lc_backend_status_may_try (const LcBackendStatus *status, bool is_candidate, int64_t now_us);
  /* Whether it is in its slow start; true without a report, as it may be.  That of a claimed start
   * counts as well. */
  bool lc_backend_status_is_cold (const LcBackendStatus *status, int64_t now_us);
  /* Hash of the id and time of the present start; 0 without a report. */
  LcInstance lc_backend_status_instance (const LcBackendStatus *status);

#ifdef __cplusplus
}
#endif

#endif /* LC_BACKEND_STATUS_H */
