/* lc-numbered: a whole declaration that an operator has numbered.
 *
 * WHAT IT IS
 *   Besides plan and confirm there is a second way to change the configuration: a declaration of
 * all services and addresses that counts as confirmed when it is sent.  Its number, chosen by the
 *   operator, decides between two of them: the highest is in force, and one whose number is not
 *   higher than that changes nothing.  The document is kept byte for byte, to be read back.
 *
 * HOW TO USE IT
 *     LcNumberedDeclaration n = { .number = 7, .document = g_bytes_new (text, len) };
 *     ... n.declaration ...
 *     lc_numbered_check (&n, &error);
 *     lc_numbered_finish (&n);
 *
 * LIFETIME
 *   Owns its declaration and a reference of the document; zeros are an empty one.
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
  /* What can be checked without any state: a number, names, an address given to one service only.
   */
  int lc_numbered_check (const LcNumberedDeclaration *numbered, LcError *error);

#ifdef __cplusplus
}
#endif

#endif /* LC_NUMBERED_H */
