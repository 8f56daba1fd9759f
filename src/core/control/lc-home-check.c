#include "lc-home-check.h"

#include <string.h>

static bool
lc_home_check__is_known_region (const LcDeclaration *d,
                                const LcView *view,
                                const char *regions,
                                const char *home)
{
  if (lc_home_regions_include (regions, home))
    return true;
  for (guint i = 0; i < view->dcs->len; i++)
    if (strcmp (g_array_index (view->dcs, LcDataCentre, i).region, home) == 0)
      return true;
  for (uint32_t i = 0; i < d->n_dcs; i++)
    if (strcmp (d->dcs[i].region, home) == 0)
      return true;
  return false;
}

static int
lc_home_check__address (const LcDeclaration *d,
                        const LcView *view,
                        const char *regions,
                        const LcDeclaredService *s,
                        uint32_t i,
                        LcError *error)
{
  char **homes = g_strsplit (s->addresses[i].homes, ",", -1);
  int r = 0;

  for (char **home = homes; *home != NULL && r == 0; home++)
    if (!lc_home_check__is_known_region (d, view, regions, *home))
      r = lc_error_set (
          error, LC_ERR_INVALID, "name a region that a data centre is in, or leave the homes out",
          "service %s: address %u has the home %s, which is no region", s->name, i + 1, *home);
  g_strfreev (homes);
  return r;
}

int
lc_home_check (const LcDeclaration *d, const LcView *view, const char *regions, LcError *error)
{
  int r = 0;

  for (uint32_t i = 0; i < d->n_services && r == 0; i++)
    for (uint32_t k = 0; k < d->services[i].n_addresses && r == 0; k++)
      if (d->services[i].addresses[k].homes[0] != '\0')
        r = lc_home_check__address (d, view, regions, &d->services[i], k, error);
  return r;
}
