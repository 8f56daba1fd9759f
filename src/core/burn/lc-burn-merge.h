/* lc-burn-merge: sums the counts of many processes over a window, exactly across restarts.
 *
 * WHAT IT IS
 *   A series is one start of one process (its instance number) and one service.  Counts of a series
 *   only grow, so the growth over a window is the difference of two samples, and the total is the
 *   sum over series.  A restart begins another series: no difference is taken across it, so no rate
 *   is negative and nothing is counted twice.  Samples may come in any order and more than once,
 *   for instance from two overlapping reports.
 *
 * HOW TO USE IT
 *     LcBurnMerge *merge = lc_burn_merge_new ();
 *     lc_burn_merge_add (merge, &key, reported_at_us, reported_uptime_us, &sample);
 *     LcBurnWindow w = lc_burn_merge_window (merge, service, data_centre, now_us, length_us);
 *     lc_burn_merge_free (merge);
 *
 * TIME
 *   Clocks of processes are not compared: a sample carries the uptime of its process, and the
 *   reader converts uptime to its own clock by the time at which it got the first report of the
 *   series.
 *
 * RULES
 *   - A sample whose counts are lower than an earlier one's of its series, or higher than a later
 *     one's, is refused and counted in `refused_samples`.
 *   - Growth between two samples is interpolated linearly: a window that starts between them gets
 *     its share.  A series that started inside the window counts from zero.
 *   - A window that starts before the first sample of an older series covers less than its length;
 *     `covered_us` is the shortest coverage among the series that ran at its start.
 */
#ifndef LC_BURN_MERGE_H
#define LC_BURN_MERGE_H

#include "lc-burn.h"

#ifdef __cplusplus
extern "C"
{
#endif

  typedef struct LcBurnMerge LcBurnMerge;

  typedef struct
  {
    LcInstance instance;
    const char *process;     /* copied */
    const char *service;     /* copied */
    const char *data_centre; /* copied */
    uint32_t weight_percent; /* of an endpoint; 0: not an endpoint */
  } LcBurnKey;

  typedef struct
  {
    double growth[LC_N_BURN_COUNTERS];
    double open_at_start; /* flows */
    int64_t covered_us;   /* <= the window's length */
    uint32_t n_series;
  } LcBurnWindow;

  /* Open flows per weight of the endpoints of a service: ratio of maximum to mean. */
  typedef struct
  {
    double mean;
    double p99;
    uint32_t n_steps;
  } LcBurnImbalance;

  LcBurnMerge *lc_burn_merge_new (void);
  void lc_burn_merge_free (LcBurnMerge *merge);
  /* 0, LC_ERR_EXISTS for a duplicate, LC_ERR_CORRUPT for a sample that contradicts the others. */
  int lc_burn_merge_add (LcBurnMerge *merge,
                         const LcBurnKey *key,
                         int64_t reported_at_us,
                         int64_t reported_uptime_us,
                         const LcBurnSample *sample);
  /* A NULL service or data centre selects all. */
  LcBurnWindow lc_burn_merge_window (const LcBurnMerge *merge,
                                     const char *service,
                                     const char *data_centre,
                                     int64_t now_us,
                                     int64_t length_us);
  LcBurnImbalance lc_burn_merge_imbalance (const LcBurnMerge *merge,
                                           const char *service,
                                           const char *data_centre,
                                           int64_t now_us,
                                           int64_t length_us,
                                           int64_t step_us);
  uint64_t lc_burn_merge_refused_samples (const LcBurnMerge *merge);
  uint32_t lc_burn_merge_n_series (const LcBurnMerge *merge);
  /* Calls `each` for every sample; started_at_us is on the reader's clock.  For storing a history.
   * */
  typedef void (*LcBurnEach) (void *user,
                              const LcBurnKey *key,
                              int64_t started_at_us,
                              const LcBurnSample *sample);
  void lc_burn_merge_each (const LcBurnMerge *merge, LcBurnEach each, void *user);

#ifdef __cplusplus
}
#endif

#endif /* LC_BURN_MERGE_H */
