/* lc-home-regions: the home regions of an address, to which its new flows are restricted.
 *
 * WHAT IT IS
 *   An address may have homes: the names of the regions whose backend servers its new flows may
 *   reach.  They are sent and stored as text, names joined by commas; an empty text allows every
 *   region.  Where endpoints are chosen, a mask is used instead, with one bit per region of the
 *   view.
 *
 * HOW TO USE IT
 *     char homes[LC_HOME_REGIONS_BYTES] = "";
 *     r = lc_home_regions_add (homes, "southeast", &error);
 *     if (lc_home_regions_include (homes, dc->region)) ...
 *     if (lc_region_is_in (lc_view_home_regions (view, homes), lc_view_region (view, dc->id))) ...
 *
 * LIMITS
 *   LC_HOME_REGIONS_BYTES for the names of one address, LC_REGIONS_MAX regions per view.
 *   A data centre without a region, or beyond that number, is no home of an address that has homes.
 */
#ifndef LC_HOME_REGIONS_H
#define LC_HOME_REGIONS_H

#include "lc-error.h"
#include "lc-types.h"

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C"
{
#endif

  enum
  {
    LC_HOME_REGIONS_BYTES = 96, /* with the final NUL */
    LC_REGIONS_MAX = 64,
    LC_REGION_NONE = UINT8_MAX,
  };

  /* Bit i: the region whose lc_view_region is i.  Masks of different views can't be compared. */
  typedef uint64_t LcRegionMask;

#define LC_REGIONS_ALL UINT64_MAX

  /* 0, also when the region is listed already; LC_ERR_INVALID when it is empty, has a comma, or
   * does not fit. */
  int lc_home_regions_add (char homes[LC_HOME_REGIONS_BYTES], const char *region, LcError *error);
  bool lc_home_regions_include (const char *homes, const char *region);

  static inline bool
  lc_region_is_in (LcRegionMask mask, uint8_t region)
  {
    return mask == LC_REGIONS_ALL || (region < LC_REGIONS_MAX && (mask >> region & 1U) != 0);
  }

#ifdef __cplusplus
}
#endif

#endif /* LC_HOME_REGIONS_H */
