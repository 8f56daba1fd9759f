#include "lc-packet-hold.h"

#include <glib.h>
#include <string.h>

void
lc_packet_hold_put (LcPacketHold *buffer, const uint8_t *bytes, size_t len, int64_t now_us)
{
  LcHeldPacket *packet;

  if (len > LC_PACKET_HOLD_BYTES)
    {
      buffer->dropped_total++;
      return;
    }
  if (buffer->packets == NULL)
    buffer->packets = g_new (LcHeldPacket, LC_PACKET_HOLD_MAX);
  if (buffer->n == LC_PACKET_HOLD_MAX)
    {
      buffer->first = (buffer->first + 1) % LC_PACKET_HOLD_MAX;
      buffer->n--;
      buffer->dropped_total++;
    }
  packet = &buffer->packets[(buffer->first + buffer->n) % LC_PACKET_HOLD_MAX];
  packet->at_us = now_us;
  packet->len = (uint16_t)len;
  memcpy (packet->bytes, bytes, len);
  buffer->n++;
  buffer->held_total++;
}

LcHeldPacket *
lc_packet_hold_next (LcPacketHold *buffer, int64_t now_us)
{
  while (buffer->n > 0)
    {
      LcHeldPacket *packet = &buffer->packets[buffer->first];

      buffer->first = (buffer->first + 1) % LC_PACKET_HOLD_MAX;
      buffer->n--;
      if (now_us - packet->at_us <= LC_PACKET_HOLD_US)
        return packet;
      buffer->dropped_total++;
    }
  lc_packet_hold_finish (buffer);
  return NULL;
}

void
lc_packet_hold_finish (LcPacketHold *buffer)
{
  g_free (buffer->packets);
  buffer->packets = NULL;
  buffer->first = 0;
  buffer->n = 0;
}
