/* lc-packet-format: parses and edits callers' packets in the formats that the fabric delivers.
 *
 * WHAT IT IS
 *   The format determines how bytes are parsed into LcPacket, and what a backend server does with a
 *   packet of a flow that it does not hold.
 *     LC_PACKET_IPV4       a raw IPv4 packet; the backend server can't return it, so that whoever
 *                          delivers it must be sure of the flow's owner
 *     LC_PACKET_RETURNING  a datagram with a header of the platform; the backend server returns the
 *                          packet, unchanged but for a flag
 *
 * HOW TO USE IT
 *     r = lc_packet_format_parse (LC_PACKET_RETURNING, &packet, bytes, len);
 *     if (lc_packet_format_is_returning (format))
 *       lc_packet_format_set_mark (format, bytes, mark);
 *
 * LIFETIME
 *   Stateless functions on the caller's bytes.
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
  LC_PACKET_RESET_BYTES = 34, /* the longest reset */
};

/* The setting's choices, NULL-terminated, by LcPacketFormat. */
extern const char *const LC_PACKET_FORMAT_NAMES[];

/* 0, LC_ERR_TRUNCATED or LC_ERR_INVALID. */
int
lc_packet_format_parse (LcPacketFormat format, LcPacket *packet, const uint8_t *bytes, size_t len);
bool lc_packet_format_is_returning (LcPacketFormat format);
/* Sets the mark that a returned packet carries back, and clears the flag of a returned packet. */
void lc_packet_format_set_mark (LcPacketFormat format, uint8_t *bytes, uint32_t mark);
/* Builds a reset for the packet's caller; returns its size, 0 when the format has none. */
size_t lc_packet_format_build_reset (LcPacketFormat format,
                                     const LcPacket *packet,
                                     uint8_t out[LC_PACKET_RESET_BYTES]);

#endif /* LC_PACKET_FORMAT_H */
