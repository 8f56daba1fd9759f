/* lc-wire-view: converts view operations to and from protobuf messages.
 *
 * HOW TO USE IT
 *   Sending:
 *     LcWireViewOps batch;
 *     lc_wire_view_ops_init (&batch);
 *     lc_wire_view_ops_add (&batch, &op);
 *     ... batch.ops and batch.n_ops are fields of a message ...
 *     lc_wire_view_ops_finish (&batch);
 *   Receiving:
 *     r = lc_wire_view_op_read (&op, message, &error);   copies everything
 *
 * LIMITS
 *   Names longer than LC_NAME_MAX or LC_PATH_MAX are refused with LC_ERR_INVALID.
 */
#ifndef LC_WIRE_VIEW_H
#define LC_WIRE_VIEW_H

#include "core/lc-view.h"
#include "proto/lc-view.pb-c.h"

typedef struct
{
  Lc__Wire__ViewOp **ops; /* owned, for the `ops` field of a message */
  size_t n_ops;
  size_t capacity;
} LcWireViewOps;

void lc_wire_view_ops_init (LcWireViewOps *batch);
void lc_wire_view_ops_add (LcWireViewOps *batch, const LcViewOp *op);
void lc_wire_view_ops_finish (LcWireViewOps *batch);

/* 0 or LC_ERR_INVALID. */
int lc_wire_view_op_read (LcViewOp *op, const Lc__Wire__ViewOp *message, LcError *error);

/* A single endpoint or balancer, for announcements. */
void lc_wire_endpoint_write (Lc__Wire__Endpoint *message, const LcEndpoint *endpoint);
int lc_wire_endpoint_read (LcEndpoint *endpoint, const Lc__Wire__Endpoint *message, LcError *error);
void lc_wire_balancer_write (Lc__Wire__Balancer *message, const LcBalancer *balancer);
int lc_wire_balancer_read (LcBalancer *balancer, const Lc__Wire__Balancer *message, LcError *error);

#endif /* LC_WIRE_VIEW_H */
