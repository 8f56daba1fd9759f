/* lc-homes: the regions that the flows of an address are kept to.
 *
 * WHAT IT IS
 *   An address may have homes: the names of the regions whose backend servers its new flows may
 *   reach.  They travel as text, the names joined by commas; an empty text allows every region.
 *   Where endpoints are chosen, a mask stands for them: one bit for each region of the view at
 * hand.
 *
 * HOW TO USE IT
 *     char homes[LC_HOMES_BYTES] = "";
 *     r = lc_homes_add (homes, "southeast");
 *     if (lc_homes_has (homes, dc->region)) ...
 *     if (lc_region_is_in (lc_view_home_regions (view, homes), lc_view_region (view, dc->id))) ...
 *
 * LIMITS
 *   LC_HOMES_BYTES for the names of one address; a view tells LC_REGIONS_MAX regions apart.  A data
 *   centre whose region is not known, or beyond that number, is no home of an address that has
 * some.
 */
#ifndef LC_HOMES_H
#define LC_HOMES_H

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
    LC_HOMES_BYTES = 96, /* with its final NUL */
    LC_REGIONS_MAX = 64,
    LC_REGION_NONE = UINT8_MAX,
  };

  /* Bit i: the region whose lc_view_region is i.  Masks of two views don't compare. */
  typedef uint64_t LcRegionMask;

#define LC_REGIONS_ALL UINT64_MAX

  /* 0, also where the region is there already; LC_ERR_INVALID when it is empty, has a comma, or
   * leaves no room. */
  int lc_homes_add (char homes[LC_HOMES_BYTES], const char *region, LcError *error);
  bool lc_homes_has (const char *homes, const char *region);

  static inline bool
  lc_region_is_in (LcRegionMask mask, uint8_t region)
  {
    return mask == LC_REGIONS_ALL || (region < LC_REGIONS_MAX && (mask >> region & 1U) != 0);
  }

#ifdef __cplusplus
}
#endif

#endif /* LC_HOMES_H */
