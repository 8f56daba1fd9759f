/* lc-packet-buffer: ring buffer of packets that arrive before a balancer's first view.
 *
 * WHAT IT IS
 *   Routers notice a balancer's restart only after a second, so it gets packets before it has a
 *   view to steer them by.  Without a view it must not refuse them, and a caller whose first packet
 *   is dropped waits 200 ms before it sends a copy.  So the newest packets are buffered until the
 *   view arrives, a fraction of a second later, and are steered then.
 *
 * HOW TO USE IT
 *     LcPacketBuffer buffer = { 0 };
 *     lc_packet_buffer_put (&buffer, bytes, len, now_us);
 *     while ((packet = lc_packet_buffer_take (&buffer, now_us)) != NULL)
 *       steer packet->bytes
 *     lc_packet_buffer_finish (&buffer);
 *
 * LIFETIME
 *   A zeroed struct is empty.  Memory is allocated at the first packet and freed when
 *   lc_packet_buffer_take returns NULL.  The packet that it returns is valid until the next call.
 *
 * LIMITS
 *   At most LC_PACKET_BUFFER_MAX packets of LC_PACKET_BUFFER_BYTES bytes; a full buffer drops the
 *   oldest.  Packets older than LC_PACKET_BUFFER_US are dropped.
 */
#ifndef LC_PACKET_BUFFER_H
#define LC_PACKET_BUFFER_H

#include "core/lc-types.h"

#ifdef __cplusplus
extern "C"
{
#endif

  enum
  {
    LC_PACKET_BUFFER_MAX = 256,
    LC_PACKET_BUFFER_BYTES = 1536, /* a full Ethernet frame */
  };

/* A caller gives up a flow that is not accepted within 1.4 s, and sends its last copy at 0.6 s. */
#define LC_PACKET_BUFFER_US (1200 * LC_US_PER_MS)

  typedef struct
  {
    int64_t at_us;
    uint16_t len;
    uint8_t bytes[LC_PACKET_BUFFER_BYTES];
  } LcBufferedPacket;

  typedef struct
  {
    LcBufferedPacket *packets; /* owned; NULL: none is held */
    uint32_t first;            /* index of the oldest */
    uint32_t n;
    uint64_t held_total;
    uint64_t dropped_total; /* for a full buffer, or too old or too long */
  } LcPacketBuffer;

  void
  lc_packet_buffer_put (LcPacketBuffer *buffer, const uint8_t *bytes, size_t len, int64_t now_us);
  /* Removes and returns the oldest packet that has not expired; NULL: none is left. */
  LcBufferedPacket *lc_packet_buffer_take (LcPacketBuffer *buffer, int64_t now_us);
  void lc_packet_buffer_finish (LcPacketBuffer *buffer);

#ifdef __cplusplus
}
#endif

#endif /* LC_PACKET_BUFFER_H */
