/* lc-answer: a complete answer of a backend server, reference-counted.
 *
 * LIFETIME
 *   Freed with the last reference; immutable.
 */
#ifndef LC_ANSWER_H
#define LC_ANSWER_H

#include "core/lc-types.h"

#include <glib.h>

#ifdef __cplusplus
extern "C"
{
#endif

  typedef struct
  {
    gint n_refs;
    uint32_t status;
    GBytes *headers; /* encoded by the creator; never NULL */
    GBytes *body;    /* never NULL */
  } LcAnswer;

  /* Takes both references. */
  LcAnswer *lc_answer_new (uint32_t status, GBytes *headers, GBytes *body);
  LcAnswer *lc_answer_ref (LcAnswer *answer);
  void lc_answer_unref (LcAnswer *answer); /* NULL is allowed */
  size_t lc_answer_bytes (const LcAnswer *answer);

#ifdef __cplusplus
}
#endif

#endif /* LC_ANSWER_H */
