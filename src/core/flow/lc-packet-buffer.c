#include "lc-packet-buffer.h"

#include <glib.h>
#include <string.h>

void
lc_packet_buffer_put (LcPacketBuffer *buffer, const uint8_t *bytes, size_t len, int64_t now_us)
{
  LcBufferedPacket *packet;

  if (len > LC_PACKET_BUFFER_BYTES)
    {
      buffer->dropped_total++;
      return;
    }
  if (buffer->packets == NULL)
    buffer->packets = g_new (LcBufferedPacket, LC_PACKET_BUFFER_MAX);
  if (buffer->n == LC_PACKET_BUFFER_MAX)
    {
      buffer->first = (buffer->first + 1) % LC_PACKET_BUFFER_MAX;
      buffer->n--;
      buffer->dropped_total++;
    }
  packet = &buffer->packets[(buffer->first + buffer->n) % LC_PACKET_BUFFER_MAX];
  packet->at_us = now_us;
  packet->len = (uint16_t)len;
  memcpy (packet->bytes, bytes, len);
  buffer->n++;
  buffer->held_total++;
}

LcBufferedPacket *
lc_packet_buffer_take (LcPacketBuffer *buffer, int64_t now_us)
{
  while (buffer->n > 0)
    {
      LcBufferedPacket *packet = &buffer->packets[buffer->first];

      buffer->first = (buffer->first + 1) % LC_PACKET_BUFFER_MAX;
      buffer->n--;
      if (now_us - packet->at_us <= LC_PACKET_BUFFER_US)
        return packet;
      buffer->dropped_total++;
    }
  lc_packet_buffer_finish (buffer);
  return NULL;
}

void
lc_packet_buffer_finish (LcPacketBuffer *buffer)
{
  g_free (buffer->packets);
  buffer->packets = NULL;
  buffer->first = 0;
  buffer->n = 0;
}
