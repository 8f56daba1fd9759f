/* lc-home-check: whether the homes that a declaration names are regions at all.
 *
 * WHAT IT IS
 *   A home that no data centre is in would leave an address without any backend server, and nobody
 *   would know why: it is refused before it is proposed.  A region is known when it stands in the
 *   settings of the control VM, in the view, or in the declaration itself.
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

  /* `regions`: names joined by commas, as in lc-homes.h but of any length; may be "".  0 or
   * LC_ERR_INVALID. */
  int lc_home_check (const LcDeclaration *declaration,
                     const LcView *view,
                     const char *regions,
                     LcError *error);

#ifdef __cplusplus
}
#endif

#endif /* LC_HOME_CHECK_H */
