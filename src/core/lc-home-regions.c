#include "lc-home-regions.h"

#include <glib.h>
#include <string.h>

int
lc_home_regions_add (char homes[LC_HOME_REGIONS_BYTES], const char *region, LcError *error)
{
  size_t used = strlen (homes);
  size_t len = strlen (region);

  if (len == 0 || len >= LC_NAME_MAX || strchr (region, ',') != NULL)
    return lc_error_set (
        error, LC_ERR_INVALID, "use a region name from the settings of the data centres",
        "a home region is not a name of 1 to %d bytes without commas", LC_NAME_MAX - 1);
  if (lc_home_regions_include (homes, region))
    return 0;
  if (used + (used > 0) + len >= LC_HOME_REGIONS_BYTES)
    return lc_error_set (error, LC_ERR_INVALID, "list fewer regions, or omit homes",
                         "the home regions of an address exceed %d bytes",
                         LC_HOME_REGIONS_BYTES - 1);
  if (used > 0)
    homes[used++] = ',';
  memcpy (&homes[used], region, len + 1);
  return 0;
}

bool
lc_home_regions_include (const char *homes, const char *region)
{
  size_t len = strlen (region);

  if (len == 0)
    return false;
  for (const char *at = homes; *at != '\0';)
    {
      const char *end = strchrnul (at, ',');

      if ((size_t)(end - at) == len && memcmp (at, region, len) == 0)
        return true;
      at = *end == ',' ? end + 1 : end;
    }
  return false;
}
