#include "lc-packet-hold.h"

#include <glib.h>
#include <string.h>

void
lc_packet_hold_put (LcPacketHold *hold, const uint8_t *bytes, size_t len, int64_t now_us)
{
  LcHeldPacket *packet;

  if (len > LC_PACKET_HOLD_BYTES)
    {
      hold->dropped_total++;
      return;
    }
  if (hold->packets == NULL)
    hold->packets = g_new (LcHeldPacket, LC_PACKET_HOLD_MAX);
  if (hold->n == LC_PACKET_HOLD_MAX)
    {
      hold->first = (hold->first + 1) % LC_PACKET_HOLD_MAX;
      hold->n--;
      hold->dropped_total++;
    }
  packet = &hold->packets[(hold->first + hold->n) % LC_PACKET_HOLD_MAX];
  packet->at_us = now_us;
  packet->len = (uint16_t)len;
  memcpy (packet->bytes, bytes, len);
  hold->n++;
  hold->held_total++;
}

LcHeldPacket *
lc_packet_hold_next (LcPacketHold *hold, int64_t now_us)
{
  while (hold->n > 0)
    {
      LcHeldPacket *packet = &hold->packets[hold->first];

      hold->first = (hold->first + 1) % LC_PACKET_HOLD_MAX;
      hold->n--;
      if (now_us - packet->at_us <= LC_PACKET_HOLD_US)
        return packet;
      hold->dropped_total++;
    }
  lc_packet_hold_finish (hold);
  return NULL;
}

void
lc_packet_hold_finish (LcPacketHold *hold)
{
  g_free (hold->packets);
  hold->packets = NULL;
  hold->first = 0;
  hold->n = 0;
}
