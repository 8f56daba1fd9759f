/* lc-flow-wire: encodes and decodes flow messages between agents as datagrams.
 *
 * HOW TO USE IT
 *     uint8_t bytes[LC_FLOW_WIRE_MAX];
 *     size_t n = lc_flow_wire_write (&message, bytes, sizeof bytes);     0: too long
 *     int r = lc_flow_wire_read (&message, bytes, n);
 *
 * LIMITS
 *   Malformed bytes are refused with LC_ERR_CORRUPT, more than LC_FLOW_BATCH_MAX entries with
 *   LC_ERR_FULL.
 */
#ifndef LC_FLOW_WIRE_H
#define LC_FLOW_WIRE_H

#include "core/flow/lc-flow-message.h"

enum
{
  LC_FLOW_WIRE_MAX = 4096,
};

size_t lc_flow_wire_write (const LcFlowMessage *message, uint8_t *out, size_t size);
int lc_flow_wire_read (LcFlowMessage *message, const uint8_t *bytes, size_t len);

#endif /* LC_FLOW_WIRE_H */
