/* Fuzzes the flow port's datagrams: a caller's IPv4 packet, an envelope or a flow message. */
#include "core/flow/lc-envelope.h"
#include "core/flow/lc-flow-key.h"
#include "io/lc-flow-wire.h"

#include <stdlib.h>
#include <string.h>

static void
lc_fuzz__packet (const uint8_t *bytes, size_t len)
{
  LcPacket packet;

  if (lc_packet_parse (&packet, bytes, len) < 0)
    return;
  if (packet.total_len > len || packet.payload_start > packet.total_len ||
      packet.header_len > packet.payload_start)
    abort ();
  (void)lc_flow_key_hash (&packet.key);
}

/* A decoded envelope must encode to the same bytes. */
static void
lc_fuzz__envelope (const uint8_t *bytes, size_t len)
{
  uint8_t again[LC_ENVELOPE_MAX_BYTES];
  LcEnvelope envelope;
  int n = lc_envelope_decode (&envelope, bytes, len);

  if (n < 0)
    return;
  if ((size_t)n > len || lc_envelope_encode (&envelope, again, sizeof again) != (size_t)n ||
      memcmp (again, bytes, (size_t)n) != 0)
    abort ();
  lc_fuzz__packet (bytes + n, len - (size_t)n);
}

static void
lc_fuzz__message (const uint8_t *bytes, size_t len)
{
  uint8_t again[LC_FLOW_WIRE_MAX];
  LcFlowMessage message;
  LcFlowMessage second;
  size_t n;

  if (lc_flow_wire_read (&message, bytes, len) < 0)
    return;
  n = lc_flow_wire_write (&message, again, sizeof again);
  if (n > 0 && lc_flow_wire_read (&second, again, n) < 0)
    abort ();
}

int
LLVMFuzzerTestOneInput (const uint8_t *bytes, size_t len)
{
  (void)lc_envelope_kind (bytes, len);
  lc_fuzz__packet (bytes, len);
  lc_fuzz__envelope (bytes, len);
  lc_fuzz__message (bytes, len);
  return 0;
}
