/* Fuzzes view deltas: applies one, then copies the view through its snapshot. */
#include "io/lc-wire-view.h"

#include <stdlib.h>

static void
lc_fuzz__apply_to_copy (void *user, const LcViewOp *op)
{
  if (lc_view_apply (user, op, NULL) < 0)
    abort (); /* a view's own snapshot must apply */
}

static void
lc_fuzz__apply (LcView *view, const Lc__Wire__ViewDelta *delta)
{
  for (size_t i = 0; i < delta->n_ops; i++)
    {
      LcRevision before = view->revision;
      LcViewOp op;

      if (lc_wire_view_op_read (&op, delta->ops[i], NULL) == 0)
        (void)lc_view_apply (view, &op, NULL);
      if (view->revision < before)
        abort (); /* revisions never decrease */
    }
}

int
LLVMFuzzerTestOneInput (const uint8_t *bytes, size_t len)
{
  Lc__Wire__ViewDelta *delta = lc__wire__view_delta__unpack (NULL, len, bytes);
  LcView view;
  LcView copy;

  if (delta == NULL)
    return 0;
  lc_view_init (&view);
  lc_view_init (&copy);
  lc_fuzz__apply (&view, delta);
  lc_view_snapshot (&view, lc_fuzz__apply_to_copy, &copy);
  if (copy.services != NULL &&
      g_hash_table_size (copy.services) != g_hash_table_size (view.services))
    abort ();
  lc_view_finish (&copy);
  lc_view_finish (&view);
  lc__wire__view_delta__free_unpacked (delta, NULL);
  return 0;
}
