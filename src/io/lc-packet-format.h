/* lc-packet-format: the formats in which the fabric hands over a caller's packet.
 *
 * WHAT IT IS
 *   A tagged union in spirit: the format says how the bytes are read into LcPacket and what the
 *   backend server does with a packet that is not its own.
 *     LC_PACKET_IPV4       a raw IPv4 packet; whoever delivers it must know that it is right
 *     LC_PACKET_RETURNING  a datagram with a head of its own; a backend server returns each packet
 *                          of a flow that it does not hold, unchanged but for the sign of it
 *
 * HOW TO USE IT
 *     r = lc_packet_format_parse (LC_PACKET_RETURNING, &packet, bytes, len);
 *     if (lc_packet_format_is_returning (format))
 *       lc_packet_format_set_mark (bytes, mark);
 *
 * LIFETIME
 *   Plain functions on the caller's bytes.
 */
#ifndef LC_PACKET_FORMAT_H
#define LC_PACKET_FORMAT_H

#include "core/flow/lc-flow-key.h"

typedef enum
{
  LC_PACKET_IPV4 = 0,
  LC_PACKET_RETURNING = 1,
} LcPacketFormat;

enum
{
  LC_PACKET_RESET_BYTES = 34, /* of the longest reset */
};

/* Names for settings, NULL-terminated, by LcPacketFormat. */
extern const char *const LC_PACKET_FORMAT_NAMES[];

/* 0, LC_ERR_TRUNCATED or LC_ERR_INVALID. */
int
lc_packet_format_parse (LcPacketFormat format, LcPacket *packet, const uint8_t *bytes, size_t len);
bool lc_packet_format_is_returning (LcPacketFormat format);
/* Formats that return packets: the mark that comes back with it; takes the sign of the return away.
 */
void lc_packet_format_set_mark (LcPacketFormat format, uint8_t *bytes, uint32_t mark);
/* An answer that tells the caller that there is no such flow; 0 when the format has none. */
size_t lc_packet_format_reset (LcPacketFormat format,
                               const LcPacket *packet,
                               uint8_t out[LC_PACKET_RESET_BYTES]);

#endif /* LC_PACKET_FORMAT_H */
