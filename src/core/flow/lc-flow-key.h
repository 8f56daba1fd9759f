/* lc-flow-key: what identifies a flow, read safely from a raw IPv4 packet.
 *
 * WHAT IT IS
 *   The fabric hands over the caller's packet as it is: an IPv4 header, then UDP or TCP.  This
 *   module reads addresses, ports and the few flags that steering needs, and checks every length
 *   before it looks.
 *
 * HOW TO USE IT
 *     LcPacket packet;
 *     if (lc_packet_parse (&packet, bytes, len) == 0)
 *       use packet.key ...
 *
 * LIFETIME
 *   Plain values; nothing points into the bytes.
 *
 * LIMITS
 *   Fragments other than a whole datagram, other protocols and truncated headers are refused
 *   (LC_ERR_INVALID, LC_ERR_TRUNCATED): a later fragment has no ports to steer by.
 */
#ifndef LC_FLOW_KEY_H
#define LC_FLOW_KEY_H

#include "core/lc-error.h"
#include "core/lc-types.h"

#ifdef __cplusplus
extern "C"
{
#endif

  /* Sixteen bytes without padding holes, so that it can be hashed and compared as memory. */
  typedef struct
  {
    uint32_t source_ipv4;
    uint32_t target_ipv4;
    uint16_t source_port;
    uint16_t target_port;
    uint8_t protocol; /* LcProtocol */
    uint8_t zero[3];
  } LcFlowKey;

  /* What steering needs to know of a packet. */
  typedef struct
  {
    LcFlowKey key;
    bool may_open;          /* may be a flow's first packet: any UDP packet, a TCP SYN */
    bool is_last;           /* TCP FIN or RST */
    uint16_t header_len;    /* of the IPv4 header */
    uint16_t payload_start; /* of the UDP payload or TCP segment data */
    uint16_t total_len;     /* IPv4 total length; bytes after it are ignored */

    /* Formats in which backend servers return what is not theirs (lc-packet-format.h): */
    bool is_accept;    /* of a backend server: it takes the flow, if the caller goes on with it */
    bool is_reset;     /* the sender has ended the flow */
    bool is_returned;  /* a caller's packet, handed back by a backend server without the flow */
    uint32_t n_copies; /* first packets: how many copies the caller has sent before */
    uint32_t sequence; /* place of the first byte of data in what the sender sends */
    uint32_t acknowledged; /* other packets: the sender's newest acknowledgement */
    uint32_t mark;         /* ours: given to a backend server, handed back with what it returns */
  } LcPacket;

  /* Surely a flow's first packet, or a copy of it: any packet of a UDP flow may open one, so none
   * of them is told apart. */
  bool lc_packet_is_first (const LcPacket *packet);
  int lc_packet_parse (LcPacket *packet, const uint8_t *bytes, size_t len);

  /* XXH3 of the key; the same on every machine of one byte order. */
  uint64_t lc_flow_key_hash (const LcFlowKey *key);
  bool lc_flow_key_equal (const LcFlowKey *a, const LcFlowKey *b);

#ifdef __cplusplus
}
#endif

#endif /* LC_FLOW_KEY_H */
