/* lc-watch: a lease-based failure detector, which reports the members that it watches.
 *
 * WHAT IT IS
 *   Compares each lease with the view and finds the transition that the view lacks.  A report is
 *   repeated until the view shows it, and nothing is reported that the view shows already, so that
 *   lost and repeated reports, two watchers of one member, a restarted watcher and a wrong view
 *   need no special cases.  A lease that expires is first suspect: the other watchers are asked,
 *   and only a member that none of them holds is reported lost.
 *
 * HOW TO USE IT
 *     lc_watch_init (&watch, &desc);
 *     lc_watch_announce (&watch, &change, now_us);
 *     lc_watch_renew (&watch, name, instance, phase, is_ramped, &fold, now_us);
 *     n = lc_watch_expire (&watch, now_us, suspects, max);      ask the other watchers for these
 *     lc_watch_confirm_elsewhere (&watch, name, instance);      one of them holds it
 *     lc_watch_collect (&watch, &view, now_us, report, user);   what to send upstream now
 *     lc_watch_finish (&watch);
 *
 * LIFETIME
 *   Owns the lease table and the flap records.
 */
#ifndef LC_WATCH_H
#define LC_WATCH_H

#include "lc-flap.h"
#include "lc-lease.h"

#ifdef __cplusplus
extern "C"
{
#endif

  typedef struct
  {
    uint32_t lease_ms;   /* 0: 3000 */
    uint32_t suspect_ms; /* wait for the other watchers' answers; 0: 400; UINT32_MAX: don't ask */
    uint32_t resend_ms;  /* 0: 1000 */
    LcFlapDesc flap;
  } LcWatchDesc;

  typedef struct
  {
    LcWatchDesc desc;
    LcLeaseTable leases;
    LcFlap flap;
    GPtrArray *suspects; /* LcLease in state SUSPECT or LOST */
    GPtrArray *finished; /* scratch of collect */
    LcRevision collected_revision;
    bool is_dirty;
    int64_t collected_us;
    uint64_t lost_total; /* leases that expired and that no watcher holds */
    uint64_t reports_total;
  } LcWatch;

  typedef void (*LcWatchReport) (void *user, const LcMemberChange *change);

  void lc_watch_init (LcWatch *watch, const LcWatchDesc *desc);
  void lc_watch_finish (LcWatch *watch);
  void lc_watch_announce (LcWatch *watch, const LcMemberChange *announced, int64_t now_us);
  /* False when there is no such lease: the member must announce itself again. */
  bool lc_watch_renew (LcWatch *watch,
                       const char *name,
                       LcInstance instance,
                       LcMemberPhase phase,
                       bool is_ramped,
                       const LcFold *fold,
                       int64_t now_us);
  /* Creates a missing lease for a member of the view.  It expires like any other unless the member
   * announces itself or another watcher confirms that it holds it. */
  void lc_watch_seed (LcWatch *watch, const LcMemberChange *announced, int64_t now_us);
  /* Moves expired leases to suspect and fills `out` with at most `max` new suspects. */
  size_t lc_watch_expire (LcWatch *watch, int64_t now_us, LcLease **out, size_t max);
  /* Drops an expired lease that another watcher holds. */
  void lc_watch_confirm_elsewhere (LcWatch *watch, const char *name, LcInstance instance);
  /* Whether this watcher holds a live lease that the member itself announced. */
  bool lc_watch_holds (const LcWatch *watch, const char *name, LcInstance instance);
  void lc_watch_collect (
      LcWatch *watch, const LcView *view, int64_t now_us, LcWatchReport report, void *user);
  /* Makes each transition that the view lacks due at once, after earlier reports got lost. */
  void lc_watch_resend_all (LcWatch *watch);
  /* Folds the acknowledgements of every live lease; `newest` is this process's revision. */
  void lc_watch_fold (const LcWatch *watch, LcRevision newest, LcFold *fold);

  /* The transition of this lease that the view lacks; 0: none. */
  LcMemberChangeKind lc_watch_missing (const LcLease *lease, const LcView *view);

#ifdef __cplusplus
}
#endif

#endif /* LC_WATCH_H */
