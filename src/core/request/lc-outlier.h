/* lc-outlier: outlier ejection of an endpoint after consecutive failures.
 *
 * WHAT IT IS
 *   After `failures` failed attempts in a row an endpoint is ejected for a time that doubles with
 *   each ejection; one success resets it.  The caller must ignore ejections when they would leave
 *   less than half of a service's endpoints (lc-pick does so).
 *
 * LIFETIME
 *   A plain value, one per endpoint.
 */
#ifndef LC_OUTLIER_H
#define LC_OUTLIER_H

#include "core/lc-types.h"

#ifdef __cplusplus
extern "C"
{
#endif

  typedef struct
  {
    uint32_t failures;  /* in a row; 0: 5 */
    int64_t first_us;   /* first ejection; 0: 1 s */
    int64_t longest_us; /* 0: 30 s */
  } LcOutlierDesc;

  typedef struct
  {
    uint32_t consecutive; /* failures */
    uint32_t ejections;
    int64_t until_us;
  } LcOutlier;

  /* Returns true when this failure ejects the endpoint. */
  bool lc_outlier_record_failure (LcOutlier *outlier, const LcOutlierDesc *desc, int64_t now_us);
  void lc_outlier_record_success (LcOutlier *outlier);

  static inline bool
  lc_outlier_is_ejected (const LcOutlier *outlier, int64_t now_us)
  {
    return outlier->until_us > now_us;
  }

#ifdef __cplusplus
}
#endif

#endif /* LC_OUTLIER_H */
