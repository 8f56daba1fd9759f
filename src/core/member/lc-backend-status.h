/* lc-backend-status: what a backend server has said of itself, and whether it may be given work.
 *
 * WHAT IT IS
 *   A backend server may report itself to the agent beside it: who it is, whether it takes new
 * work, how long it stays slow after its start.  Reports may come late, doubled or out of order,
 * and a backend server that starts again is another one under the same address, and may be so under
 * the same id: it holds nothing of before, and its sequence begins anew.  This module keeps the
 * newest word and says what a report changed.
 *
 * WHICH START A REPORT IS OF
 *   A start is the pair of an id and the time at which it began (`born_ms`).  Under one id a later
 * time is a new start, whatever its sequence, and an earlier one changes nothing, however late it
 * comes.  Times are compared with each other only.  Who never names a time is told apart by the id
 * alone; once a time was named, a report without it counts as late, but for the end of a start that
 * has said that it leaves.
 *
 * HOW TO USE IT
 *     lc_backend_status_init (&status, &desc, now_us);
 *     switch (lc_backend_status_take (&status, &report, now_us)) ...
 *     if (lc_backend_status_is_open (&status, now_us) ||
 *         lc_backend_status_may_ask (&status, is_candidate, now_us))
 *       it may be given a new flow
 *
 * LIFETIME
 *   Plain values; nothing to free.
 *
 * LIMITS
 *   The LC_BACKEND_EARLIER_MAX identities before the present one are remembered: a report that
 * comes later than that many restarts would count as a new backend server.
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
    LC_BACKEND_UNKNOWN = 0,  /* nothing was reported yet */
    LC_BACKEND_READY = 1,    /* takes new work */
    LC_BACKEND_DRAINING = 2, /* keeps what it has, takes nothing new */
    LC_BACKEND_ENDED = 3,    /* said that it ends */
  } LcBackendState;

  typedef struct
  {
    char id[LC_NAME_MAX]; /* of this start of the backend server */
    LcBackendState state;
    uint64_t born_ms;  /* when this start began, Unix time at the backend server; 0: not said */
    uint64_t sequence; /* grows with each report of one start */
    uint32_t slots;    /* requests that it runs at once; 0: not said */
    uint32_t cold_ms;  /* still slow for so long */
    char service[LC_NAME_MAX];
  } LcBackendReport;

  typedef enum
  {
    LC_BACKEND_SAME = 0,    /* nothing new but the sign of life */
    LC_BACKEND_LATE = 1,    /* older than what is known: ignored */
    LC_BACKEND_STARTED = 2, /* another backend server than before: all its flows are new */
    LC_BACKEND_CHANGED = 3, /* the state went on */
  } LcBackendNews;

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
    LcInstance named;                           /* by the view, before anything was reported */
    int64_t heard_us;
    int64_t warm_at_us; /* no longer slow from then on */
  } LcBackendStatus;

  /* Whether no agent process before the one that began at `began_ms` (Unix time, by the same VM's
   * clock) can have given flows to the start that this report is of: it is its first report, or its
   * second and both began together, as when their VM starts and the agent is up a moment later.  An
   * earlier process would have had to start, get a view, be given flows and end in between. */
  bool lc_backend_report_is_of_new (const LcBackendReport *report, uint64_t began_ms);

  void
  lc_backend_status_init (LcBackendStatus *status, const LcBackendStatusDesc *desc, int64_t now_us);
  /* The view names this start of the backend server.  If another one reports itself first, a report
   * of this one that comes later, held up on its way, is late. */
  void lc_backend_status_note_named (LcBackendStatus *status, LcInstance instance);
  LcBackendNews
  lc_backend_status_take (LcBackendStatus *status, const LcBackendReport *report, int64_t now_us);
  /* Whether it may be given new flows: it is ready, and was heard within two and a half intervals.
   */
  bool lc_backend_status_is_open (const LcBackendStatus *status, int64_t now_us);
  /* Whether a backend server of which nothing was reported yet may be asked: after a restart of the
   * process beside it, it is more likely there than not, it says by itself what it can't take, and
   * it reports itself within an interval.  `is_candidate`: the view names it, and not as leaving.
   */
  bool lc_backend_status_may_ask (const LcBackendStatus *status, bool is_candidate, int64_t now_us);
  /* Whether it is cold still; one of which nothing was reported may be. */
  bool lc_backend_status_is_cold (const LcBackendStatus *status, int64_t now_us);
  /* Names this start of the backend server, by its id and time; 0: none was reported. */
  LcInstance lc_backend_status_instance (const LcBackendStatus *status);

#ifdef __cplusplus
}
#endif

#endif /* LC_BACKEND_STATUS_H */
