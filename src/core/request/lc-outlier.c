#include "lc-outlier.h"

enum
{
  LC_OUTLIER_FAILURES = 5,
  LC_OUTLIER_MAX_DOUBLINGS = 16,
};

#define LC_OUTLIER_FIRST_US LC_US_PER_S
#define LC_OUTLIER_LONGEST_US (30 * LC_US_PER_S)

bool
lc_outlier_record_failure (LcOutlier *outlier, const LcOutlierDesc *desc, int64_t now_us)
{
  uint32_t failures = desc->failures != 0 ? desc->failures : LC_OUTLIER_FAILURES;
  int64_t first_us = desc->first_us != 0 ? desc->first_us : LC_OUTLIER_FIRST_US;
  int64_t longest_us = desc->longest_us != 0 ? desc->longest_us : LC_OUTLIER_LONGEST_US;
  int64_t ejection_us;

  outlier->consecutive++;
  if (outlier->consecutive < failures || lc_outlier_is_ejected (outlier, now_us))
    return false;
  ejection_us =
      first_us << (outlier->ejections < LC_OUTLIER_MAX_DOUBLINGS ? outlier->ejections
                                                                 : LC_OUTLIER_MAX_DOUBLINGS);
  outlier->until_us = now_us + (ejection_us < longest_us ? ejection_us : longest_us);
  outlier->ejections++;
  /* After the ejection a single failure ejects again. */
  outlier->consecutive = failures - 1;
  return true;
}

void
lc_outlier_record_success (LcOutlier *outlier)
{
  outlier->consecutive = 0;
  outlier->ejections = 0;
  outlier->until_us = 0;
}
