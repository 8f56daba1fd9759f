/* lc-admission: admission control of an agent: concurrency limit and earliest-deadline-first queue.
 *
 * WHAT IT IS
 *   A backend server runs `slots` requests at once.  A request starts when a slot is free, else it
 *   waits in a short queue, earliest deadline first.  A request that, by the smoothed service time,
 *   can't end before its deadline is refused at once, while it can still be retried elsewhere.
 *   When the backend server sheds requests the concurrency limit is cut by a quarter (at most once
 *   per service time) and grows back by one after as many successful runs as the limit is.
 *
 * HOW TO USE IT
 *     lc_admission_init (&admission, &(LcAdmissionDesc){ .slots = 4 });
 *     r = lc_admission_submit (&admission, ticket, deadline_us, now_us, &retry_after_us);
 *     LC_ADMISSION_START: run it now; QUEUED: lc_admission_start_next pops it later; else refused
 *     lc_admission_end_run (&admission, result, started_us, now_us);   a run has ended
 *     while (lc_admission_start_next (&admission, now_us, &ticket)) start (ticket);
 *     while (lc_admission_pop_expired (&admission, now_us, &ticket)) refuse (ticket);
 *
 * LIFETIME
 *   Owns its queue.  Tickets are ids chosen by the caller.
 *
 * LIMITS
 *   The queue holds desc.queue_max requests; every operation is O(n) in their number.
 */
#ifndef LC_ADMISSION_H
#define LC_ADMISSION_H

#include "core/lc-types.h"

#ifdef __cplusplus
extern "C"
{
#endif

  typedef enum
  {
    LC_ADMISSION_START = 1,
    LC_ADMISSION_QUEUED = 2,
    LC_ADMISSION_FULL = 3,     /* the queue is full of earlier deadlines */
    LC_ADMISSION_TOO_LATE = 4, /* it could not end before its deadline */
    LC_ADMISSION_CLOSED = 5,   /* draining */
  } LcAdmissionResult;

  typedef enum
  {
    LC_RUN_OK = 1,
    LC_RUN_SHED = 2,      /* the backend server refused without running it */
    LC_RUN_BROKEN = 3,    /* the connection failed or the answer was cut short */
    LC_RUN_CANCELLED = 4, /* by this agent */
    LC_RUN_NOT_SENT = 5,  /* no connection to the backend server */
  } LcRunResult;

  enum
  {
    LC_ADMISSION_QUEUE_MAX = 64,
  };

  typedef struct
  {
    uint32_t slots;     /* 0: 4 */
    uint32_t queue_max; /* 0: four times the slots; at most LC_ADMISSION_QUEUE_MAX */
    int64_t service_us; /* initial estimate of a run's time; 0: 10 ms */
  } LcAdmissionDesc;

  typedef struct
  {
    uint64_t ticket;
    int64_t deadline_us;
  } LcAdmissionEntry;

  typedef struct
  {
    LcAdmissionDesc desc;
    LcAdmissionEntry queue[LC_ADMISSION_QUEUE_MAX]; /* earliest deadline first */
    uint32_t n_queued;
    uint32_t running;
    uint32_t limit;
    uint32_t ok_since_cut;
    int64_t last_cut_us;
    int64_t service_us; /* smoothed */
    bool is_closed;
  } LcAdmission;

  void lc_admission_init (LcAdmission *admission, const LcAdmissionDesc *desc);

  LcAdmissionResult lc_admission_submit (LcAdmission *admission,
                                         uint64_t ticket,
                                         int64_t deadline_us,
                                         int64_t now_us,
                                         int64_t *retry_after_us);

  /* Whether all slots and the queue are taken. */
  bool lc_admission_is_full (const LcAdmission *admission);

  /* Removes a queued request; false when it is not queued. */
  bool lc_admission_withdraw (LcAdmission *admission, uint64_t ticket);

  void lc_admission_end_run (LcAdmission *admission,
                             LcRunResult result,
                             int64_t started_us,
                             int64_t now_us);

  /* Pops the next request to start, if a slot is free; it counts as running from then on. */
  bool lc_admission_start_next (LcAdmission *admission, int64_t now_us, uint64_t *ticket);

  /* Pops a queued request that is past its deadline. */
  bool lc_admission_pop_expired (LcAdmission *admission, int64_t now_us, uint64_t *ticket);

  /* Refuses new requests; queued ones still run. */
  void lc_admission_close (LcAdmission *admission);

  /* When to retry after a refusal: about when the present queue has run. */
  int64_t lc_admission_retry_after_us (const LcAdmission *admission);

#ifdef __cplusplus
}
#endif

#endif /* LC_ADMISSION_H */
