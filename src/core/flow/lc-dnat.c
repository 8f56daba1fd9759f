#include "lc-dnat.h"

enum
{
  LC_IPV4_CHECKSUM_AT = 10,
  LC_IPV4_TARGET_AT = 16,
  LC_PORT_TARGET_AT = 2, /* in the UDP or TCP header */
  LC_UDP_CHECKSUM_AT = 6,
  LC_TCP_CHECKSUM_AT = 16,
};

static uint16_t
lc_dnat__get (const uint8_t *p)
{
  return (uint16_t)((p[0] << 8) | p[1]);
}

static void
lc_dnat__put (uint8_t *p, uint16_t value)
{
  p[0] = (uint8_t)(value >> 8);
  p[1] = (uint8_t)value;
}

/* The checksum after one 16-bit word changed: ~(~sum + ~before + after). */
static uint16_t
lc_dnat__adjust_checksum (uint16_t sum, uint16_t before, uint16_t after)
{
  uint32_t x = (uint32_t)(uint16_t)~sum + (uint16_t)~before + after;

  x = (x & 0xffff) + (x >> 16);
  x = (x & 0xffff) + (x >> 16);
  return (uint16_t)~x;
}

/* Replaces a word of the header and corrects up to two checksums that cover it. */
static void
lc_dnat__replace_word (uint8_t *word, uint16_t value, uint8_t *first_sum, uint8_t *second_sum)
{
  uint16_t before = lc_dnat__get (word);

  if (first_sum != NULL)
    lc_dnat__put (first_sum, lc_dnat__adjust_checksum (lc_dnat__get (first_sum), before, value));
  if (second_sum != NULL)
    lc_dnat__put (second_sum, lc_dnat__adjust_checksum (lc_dnat__get (second_sum), before, value));
  lc_dnat__put (word, value);
}

void
lc_dnat_rewrite (uint8_t *bytes, const LcPacket *packet, uint32_t ipv4, uint16_t port)
{
  bool is_udp = packet->key.protocol == LC_PROTOCOL_UDP;
  uint8_t *transport = bytes + packet->header_len;
  uint8_t *ip_sum = bytes + LC_IPV4_CHECKSUM_AT;
  uint8_t *sum = transport + (is_udp ? LC_UDP_CHECKSUM_AT : LC_TCP_CHECKSUM_AT);

  if (is_udp && lc_dnat__get (sum) == 0)
    sum = NULL; /* the packet has no checksum */
  lc_dnat__replace_word (bytes + LC_IPV4_TARGET_AT, (uint16_t)(ipv4 >> 16), ip_sum, sum);
  lc_dnat__replace_word (bytes + LC_IPV4_TARGET_AT + 2, (uint16_t)ipv4, ip_sum, sum);
  lc_dnat__replace_word (transport + LC_PORT_TARGET_AT, port, sum, NULL);
  if (is_udp && sum != NULL && lc_dnat__get (sum) == 0)
    lc_dnat__put (sum, 0xffff); /* 0 would mean "no checksum" */
}
