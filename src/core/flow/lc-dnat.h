/* lc-dnat: destination NAT of a caller's packet.
 *
 * WHAT IT IS
 *   Rewrites the destination address and port of a parsed IPv4 packet in place.  The IPv4 and the
 *   UDP or TCP checksum are updated incrementally (RFC 1624), so that a wrong checksum stays wrong
 *   and is detected by the receiver.
 *
 * HOW TO USE IT
 *     if (lc_packet_parse (&packet, bytes, len) == 0)
 *       lc_dnat_rewrite (bytes, &packet, backend_ipv4, backend_port);
 */
#ifndef LC_DNAT_H
#define LC_DNAT_H

#include "lc-flow-key.h"

#ifdef __cplusplus
extern "C"
{
#endif

  void lc_dnat_rewrite (uint8_t *bytes, const LcPacket *packet, uint32_t ipv4, uint16_t port);

#ifdef __cplusplus
}
#endif

#endif /* LC_DNAT_H */
