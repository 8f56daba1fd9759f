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
 *   time is a new start, whatever its sequence; an earlier one is ignored, however late it comes.
 *   Times are compared only with each other.  A backend server that never sends a time is
 *   identified by its id alone; once a time was sent, a report without one counts as late, except
 *   for the end of a start that is draining.
 *
 * HOW TO USE IT
 *     lc_backend_status_init (&status, &desc, now_us);
 *     switch (lc_backend_status_apply (&status, &report, now_us)) ...
 *     if (lc_backend_status_is_available (&status, now_us) ||
 *         lc_backend_status_may_try (&status, is_candidate, now_us))
 *       it may be given a new flow
 *
 * LIFETIME
 *   Plain values; nothing to free.
 *
 * LIMITS
 *   The last LC_BACKEND_EARLIER_MAX identities before the present one are kept: a report delayed by
 *   more restarts than that would count as a new backend server.
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
    LC_BACKEND_STALE = 1,     /* older than the newest report: ignored */
    LC_BACKEND_STARTED = 2,   /* a new start: it holds no earlier flow */
    LC_BACKEND_CHANGED = 3,   /* the state advanced */
  } LcBackendUpdate;

  typedef struct
  {
    uint32_t interval_ms; /* usual time between reports; 0: 1200 */
  } LcBackendStatusDesc;

  typedef struct
  {
    LcBackendStatusDesc desc;
    int64_t started_us;
    LcBackendReport newest;
    LcInstance earlier[LC_BACKEND_EARLIER_MAX]; /* newest first; 0: none */
    LcInstance listed;                          /* by the view, before the first report */
    int64_t reported_us;                        /* time of the newest report */
    int64_t warm_at_us;                         /* end of its slow start */
  } LcBackendStatus;

  /* Whether no agent process before the present one, which began at `began_ms` (Unix time, same
   * clock), can have assigned flows to the start of this report.  True for its first report, and
   * for its second when both began together, as at the boot of their VM: an earlier agent would
   * have had to start, get a view, be given flows and end in between. */
  bool lc_backend_report_is_new_start (const LcBackendReport *report, uint64_t began_ms);

  void
  lc_backend_status_init (LcBackendStatus *status, const LcBackendStatusDesc *desc, int64_t now_us);
  /* Sets the start that the view lists.  If another one reports first, a delayed report of this one
   * counts as late. */
  void lc_backend_status_set_listed (LcBackendStatus *status, LcInstance instance);
  LcBackendUpdate
  lc_backend_status_apply (LcBackendStatus *status, const LcBackendReport *report, int64_t now_us);
  /* Whether it may be given new flows: ready, and its newest report at most 2.5 intervals old. */
  bool lc_backend_status_is_available (const LcBackendStatus *status, int64_t now_us);
  /* Whether a backend server without a report may be tried.  After a restart of its agent it most
   * likely still runs, refuses what it can't accept, and reports within an interval.
   * `is_candidate`: the view lists it, and not as leaving. */
  bool lc_backend_status_may_try (const LcBackendStatus *status, bool is_candidate, int64_t now_us);
  /* Whether it is in its slow start; true without a report, as it may be. */
  bool lc_backend_status_is_cold (const LcBackendStatus *status, int64_t now_us);
  /* Hash of the id and time of the present start; 0 without a report. */
  LcInstance lc_backend_status_instance (const LcBackendStatus *status);

#ifdef __cplusplus
}
#endif

#endif /* LC_BACKEND_STATUS_H */
