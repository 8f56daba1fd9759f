#include "lc-packet-format.h"

#include "platform/lc-platform-packet.h"

_Static_assert((int)LC_PACKET_RESET_BYTES >= (int)LC_PLATFORM_HEADER_BYTES, "a reset fits");

const char *const LC_PACKET_FORMAT_NAMES[] = { "ipv4", "returning", NULL };

int
lc_packet_format_parse (LcPacketFormat format, LcPacket *packet, const uint8_t *bytes, size_t len)
{
  switch (format)
    {
    case LC_PACKET_IPV4:
      return lc_packet_parse (packet, bytes, len);
    case LC_PACKET_RETURNING:
      return lc_platform_packet_parse (packet, bytes, len);
    }
  return LC_ERR_INVALID;
}

bool
lc_packet_format_is_returning (LcPacketFormat format)
{
  return format == LC_PACKET_RETURNING;
}

void
lc_packet_format_set_mark (LcPacketFormat format, uint8_t *bytes, uint32_t mark)
{
  if (format == LC_PACKET_RETURNING)
    lc_platform_packet_set_mark (bytes, mark);
}

size_t
lc_packet_format_build_reset (LcPacketFormat format,
                              const LcPacket *packet,
                              uint8_t out[LC_PACKET_RESET_BYTES])
{
  if (format != LC_PACKET_RETURNING)
    return 0;
  lc_platform_packet_build_reset (packet, out);
  return LC_PLATFORM_HEADER_BYTES;
}
