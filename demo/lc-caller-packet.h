/* lc-caller-packet: builds a caller's raw IPv4/UDP packet, as the fabric sends it to a balancer.
 *
 * HOW TO USE IT
 *     uint8_t packet[LC_CALLER_PACKET_MAX];
 *     size_t len = lc_caller_packet_build (packet, &source, &service, text, strlen (text));
 *     sendto (fabric_fd, packet, len, 0, balancer, ...);
 *
 * LIMITS
 *   Text beyond LC_CALLER_TEXT_MAX bytes is cut.  The UDP checksum is left 0, which IPv4 allows.
 */
#ifndef LC_CALLER_PACKET_H
#define LC_CALLER_PACKET_H

#include "io/lc-settings.h"

enum
{
  LC_CALLER_HEADERS_BYTES = 28,
  LC_CALLER_TEXT_MAX = 228,
  LC_CALLER_PACKET_MAX = LC_CALLER_HEADERS_BYTES + LC_CALLER_TEXT_MAX,
};

/* Returns the packet's length; `packet` has room for LC_CALLER_PACKET_MAX bytes. */
size_t lc_caller_packet_build (uint8_t *packet,
                               const LcSocketAddress *source,
                               const LcSocketAddress *service,
                               const char *text,
                               size_t text_len);

#endif /* LC_CALLER_PACKET_H */
