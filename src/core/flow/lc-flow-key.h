/* lc-flow-key: bounds-checked parser of raw IPv4 packets, and the 5-tuple key of a flow.
 *
 * WHAT IT IS
 *   The network delivers the caller's packet unchanged: an IPv4 header, then UDP or TCP.  This
 *   module reads the addresses, the ports and the few flags that steering needs, and checks every
 *   length before it reads.
 *
 * HOW TO USE IT
 *     LcPacket packet;
 *     if (lc_packet_parse (&packet, bytes, len) == 0)
 *       use packet.key ...
 *
 * LIFETIME
 *   Plain values without pointers into `bytes`.
 *
 * LIMITS
 *   Fragments and other protocols are refused with LC_ERR_INVALID (a later fragment has no ports to
 *   steer by), truncated headers with LC_ERR_TRUNCATED.
 */
#ifndef LC_FLOW_KEY_H
#define LC_FLOW_KEY_H

#include "core/lc-error.h"
#include "core/lc-types.h"

#ifdef __cplusplus
extern "C"
{
#endif

  /* 16 bytes without padding, so that it can be hashed and compared as memory. */
  typedef struct
  {
    uint32_t source_ipv4;
    uint32_t target_ipv4;
    uint16_t source_port;
    uint16_t target_port;
    uint8_t protocol; /* LcProtocol */
    uint8_t zero[3];
  } LcFlowKey;

  /* The parsed packet. */
  typedef struct
  {
    LcFlowKey key;
    bool may_open;          /* may be a flow's first packet: any UDP packet, a TCP SYN */
    bool is_last;           /* TCP FIN or RST */
    uint16_t header_len;    /* of the IPv4 header */
    uint16_t payload_start; /* of the UDP payload or TCP segment data */
    uint16_t total_len;     /* IPv4 total length; bytes after it are ignored */

    /* Set only by formats in which backend servers return packets (lc-packet-format.h): */
    bool is_accept;    /* of a backend server: it takes the flow, if the caller goes on with it */
    bool is_reset;     /* the sender has ended the flow */
    bool is_returned;  /* a caller's packet, returned by a backend server that lacks the flow */
    uint32_t n_copies; /* first packets: retransmissions before this one */
    uint32_t sequence; /* offset of the first data byte in the sender's stream */
    uint32_t acknowledged; /* not in first packets: the sender's latest acknowledgement */
    uint32_t mark; /* set by the agent; a backend server copies it into the packets it returns */
  } LcPacket;

  /* Whether it is certainly a flow's first packet or a copy of it.  Never true of UDP, where any
   * packet may open a flow. */
  bool lc_packet_is_first (const LcPacket *packet);
  int lc_packet_parse (LcPacket *packet, const uint8_t *bytes, size_t len);

  /* XXH3 of the key; the same on all machines of one byte order. */
  uint64_t lc_flow_key_hash (const LcFlowKey *key);
  bool lc_flow_key_equal (const LcFlowKey *a, const LcFlowKey *b);

#ifdef __cplusplus
}
#endif

#endif /* LC_FLOW_KEY_H */
