/* lc-packet-hold: packets that wait for a balancer's first view.
 *
 * WHAT IT IS
 *   A balancer that has just started gets packets before it knows where they belong: routers notice
 *   a restart only after a second.  It must not refuse them, since it knows nothing, and a caller
 *   whose first packet is lost waits 200 ms for its copy.  So the newest packets are kept for the
 *   fraction of a second until the view comes, and are steered then.
 *
 * HOW TO USE IT
 *     LcPacketHold hold = { 0 };
 *     lc_packet_hold_put (&hold, bytes, len, now_us);
 *     while ((packet = lc_packet_hold_next (&hold, now_us)) != NULL)
 *       steer packet->bytes
 *     lc_packet_hold_finish (&hold);
 *
 * LIFETIME
 *   Zero is an empty one.  Its memory is taken at the first packet and given back when the last one
 *   was handed out.  What `next` returns is valid until the next call.
 *
 * LIMITS
 *   LC_PACKET_HOLD_MAX packets of at most LC_PACKET_HOLD_BYTES bytes, the oldest make room; none is
 *   handed out after LC_PACKET_HOLD_US.
 */
#ifndef LC_PACKET_HOLD_H
#define LC_PACKET_HOLD_H

#include "core/lc-types.h"

#ifdef __cplusplus
extern "C"
{
#endif

  enum
  {
    LC_PACKET_HOLD_MAX = 256,
    LC_PACKET_HOLD_BYTES = 1536, /* a whole frame of Ethernet */
  };

/* A caller gives up a flow that is not accepted after 1.4 s, and sends its last copy at 0.6 s. */
#define LC_PACKET_HOLD_US (1200 * LC_US_PER_MS)

  typedef struct
  {
    int64_t at_us;
    uint16_t len;
    uint8_t bytes[LC_PACKET_HOLD_BYTES];
  } LcHeldPacket;

  typedef struct
  {
    LcHeldPacket *packets; /* owned; NULL: none is held */
    uint32_t first;        /* place of the oldest */
    uint32_t n;
    uint64_t held_total;
    uint64_t dropped_total; /* made room, were too old or too long */
  } LcPacketHold;

  void lc_packet_hold_put (LcPacketHold *hold, const uint8_t *bytes, size_t len, int64_t now_us);
  /* The oldest that is not too old, taken out; NULL: none is left. */
  LcHeldPacket *lc_packet_hold_next (LcPacketHold *hold, int64_t now_us);
  void lc_packet_hold_finish (LcPacketHold *hold);

#ifdef __cplusplus
}
#endif

#endif /* LC_PACKET_HOLD_H */
