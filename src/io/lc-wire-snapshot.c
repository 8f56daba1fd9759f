#include "lc-wire-snapshot.h"

#include "lc-wire-view.h"

enum
{
  LC_WIRE_SNAPSHOT_PART_OPS = 512,
};

/* Splits a stream of operations into messages of bounded size. */
typedef struct
{
  LcWireViewOps batch;
  LcRevision revision;
  uint32_t part;
  GPtrArray *out; /* GByteArray */
} LcWireSnapshotWriter;

static void
lc_wire_snapshot__end_part (LcWireSnapshotWriter *w, bool is_last)
{
  Lc__Wire__ViewSnapshotPart message = LC__WIRE__VIEW_SNAPSHOT_PART__INIT;
  GByteArray *bytes = g_byte_array_new ();

  message.revision = w->revision;
  message.part = w->part++;
  message.last = is_last;
  message.ops = w->batch.ops;
  message.n_ops = w->batch.n_ops;
  g_byte_array_set_size (bytes, (guint)lc__wire__view_snapshot_part__get_packed_size (&message));
  (void)lc__wire__view_snapshot_part__pack (&message, bytes->data);
  g_ptr_array_add (w->out, bytes);
  lc_wire_view_ops_finish (&w->batch);
  lc_wire_view_ops_init (&w->batch);
}

static void
lc_wire_snapshot__add (void *user, const LcViewOp *op)
{
  LcWireSnapshotWriter *w = user;

  if (w->batch.n_ops == LC_WIRE_SNAPSHOT_PART_OPS)
    lc_wire_snapshot__end_part (w, false);
  lc_wire_view_ops_add (&w->batch, op);
}

static void
lc_wire_snapshot__free (gpointer data)
{
  g_byte_array_unref (data);
}

GPtrArray *
lc_wire_snapshot_encode (const LcScope *scope, const LcView *view)
{
  LcWireSnapshotWriter w = { .revision = view->revision };

  w.out = g_ptr_array_new_with_free_func (lc_wire_snapshot__free);
  lc_wire_view_ops_init (&w.batch);
  lc_scope_snapshot (scope, view, lc_wire_snapshot__add, &w);
  lc_wire_snapshot__end_part (&w, true);
  lc_wire_view_ops_finish (&w.batch);
  return w.out;
}
