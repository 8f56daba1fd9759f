#include "lc-flow-key.h"

#include <string.h>
#define XXH_INLINE_ALL
#include <xxhash.h>

enum
{
  LC_IPV4_MIN_BYTES = 20,
  LC_UDP_BYTES = 8,
  LC_TCP_MIN_BYTES = 20,
  LC_TCP_FIN = 0x01,
  LC_TCP_SYN = 0x02,
  LC_TCP_RST = 0x04,
  LC_TCP_ACK = 0x10,
  LC_IPV4_FRAGMENT_BITS = 0x3fff, /* more-fragments flag and offset */
};

/* === private: big-endian reads ============================================================== */

static uint16_t
lc_packet__u16 (const uint8_t *p)
{
  return (uint16_t)((p[0] << 8) | p[1]);
}

static uint32_t
lc_packet__u32 (const uint8_t *p)
{
  return ((uint32_t)p[0] << 24) | ((uint32_t)p[1] << 16) | ((uint32_t)p[2] << 8) | p[3];
}

/* === private: transport headers ============================================================= */

static int
lc_packet__parse_udp (LcPacket *packet, size_t len)
{
  if (len < LC_UDP_BYTES)
    return LC_ERR_TRUNCATED;
  packet->may_open = true;
  packet->payload_start = (uint16_t)(packet->header_len + LC_UDP_BYTES);
  return LC_OK;
}

static int
lc_packet__parse_tcp (LcPacket *packet, const uint8_t *tcp, size_t len)
{
  size_t data;

  if (len < LC_TCP_MIN_BYTES)
    return LC_ERR_TRUNCATED;
  data = (size_t)(tcp[12] >> 4) * 4;
  if (data < LC_TCP_MIN_BYTES || data > len)
    return LC_ERR_INVALID;
  packet->may_open = (tcp[13] & (LC_TCP_SYN | LC_TCP_ACK | LC_TCP_RST)) == LC_TCP_SYN;
  packet->is_last = (tcp[13] & (LC_TCP_FIN | LC_TCP_RST)) != 0;
  packet->payload_start = (uint16_t)(packet->header_len + data);
  return LC_OK;
}

/* === public ================================================================================= */

int
lc_packet_parse (LcPacket *packet, const uint8_t *bytes, size_t len)
{
  const uint8_t *transport;

  memset (packet, 0, sizeof *packet);
  if (len < LC_IPV4_MIN_BYTES)
    return LC_ERR_TRUNCATED;
  if (bytes[0] >> 4 != 4)
    return LC_ERR_INVALID;
  packet->header_len = (uint16_t)((bytes[0] & 0x0f) * 4);
  packet->total_len = lc_packet__u16 (bytes + 2);
  if (packet->header_len < LC_IPV4_MIN_BYTES || packet->total_len < packet->header_len)
    return LC_ERR_INVALID;
  if (packet->total_len > len || packet->total_len - packet->header_len < 4)
    return LC_ERR_TRUNCATED;
  if ((lc_packet__u16 (bytes + 6) & LC_IPV4_FRAGMENT_BITS) != 0)
    return LC_ERR_INVALID;
  transport = bytes + packet->header_len;
  packet->key.source_ipv4 = lc_packet__u32 (bytes + 12);
  packet->key.target_ipv4 = lc_packet__u32 (bytes + 16);
  packet->key.source_port = lc_packet__u16 (transport);
  packet->key.target_port = lc_packet__u16 (transport + 2);
  packet->key.protocol = bytes[9];
  if (bytes[9] == LC_PROTOCOL_UDP)
    return lc_packet__parse_udp (packet, packet->total_len - packet->header_len);
  if (bytes[9] == LC_PROTOCOL_TCP)
    return lc_packet__parse_tcp (packet, transport, packet->total_len - packet->header_len);
  return LC_ERR_INVALID;
}

bool
lc_packet_is_first (const LcPacket *packet)
{
  return packet->may_open && packet->key.protocol != LC_PROTOCOL_UDP;
}

uint64_t
lc_flow_key_hash (const LcFlowKey *key)
{
  return XXH3_64bits (key, sizeof *key);
}

bool
lc_flow_key_equal (const LcFlowKey *a, const LcFlowKey *b)
{
  return memcmp (a, b, sizeof *a) == 0;
}
