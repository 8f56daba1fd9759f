/* lc-numbered: a complete declaration with a version number chosen by the operator.
 *
 * WHAT IT IS
 *   The second way to change the configuration, besides plan and confirm: a declaration of all
 *   services and addresses that takes effect without confirmation.  The highest number wins; one
 *   whose number is not higher than that in force changes nothing.  The document is stored byte for
 *   byte, to be read back.
 *
 * HOW TO USE IT
 *     LcNumberedDeclaration n = { .number = 7, .document = g_bytes_new (text, len) };
 *     ... n.declaration ...
 *     lc_numbered_check (&n, &error);
 *     lc_numbered_finish (&n);
 *
 * LIFETIME
 *   Owns its declaration and a reference to the document; all zeros is a valid empty one.
 */
#ifndef LC_NUMBERED_H
#define LC_NUMBERED_H

#include "lc-intent.h"

#include <glib.h>

#ifdef __cplusplus
extern "C"
{
#endif

  typedef struct
  {
    uint64_t number; /* 0: none */
    LcDeclaration declaration;
    GBytes *document; /* as it was sent */
  } LcNumberedDeclaration;

  void lc_numbered_finish (LcNumberedDeclaration *numbered);
  /* Checks everything that needs no state: number, names, no address in two services. */
  int lc_numbered_check (const LcNumberedDeclaration *numbered, LcError *error);

#ifdef __cplusplus
}
#endif

#endif /* LC_NUMBERED_H */
