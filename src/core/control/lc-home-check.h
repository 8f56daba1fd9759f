/* lc-home-check: validation of the home regions in a declaration.
 *
 * WHAT IT IS
 *   An address with a home that no data centre is in would silently have no backend servers, so the
 *   declaration is rejected before it is proposed.  A region is known if it is in the settings of
 *   the control VM, in the view, or in the declaration itself.
 *
 * HOW TO USE IT
 *     r = lc_home_check (&declaration, &state.view, settings->regions, &error);
 */
#ifndef LC_HOME_CHECK_H
#define LC_HOME_CHECK_H

#include "lc-intent.h"

#include "core/lc-view.h"

#ifdef __cplusplus
extern "C"
{
#endif

  /* `regions`: comma-separated names, as in lc-home-regions.h but of any length; may be "".
   * Returns 0 or LC_ERR_INVALID. */
  int lc_home_check (const LcDeclaration *declaration,
                     const LcView *view,
                     const char *regions,
                     LcError *error);

#ifdef __cplusplus
}
#endif

#endif /* LC_HOME_CHECK_H */
