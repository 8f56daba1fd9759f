#include "lc-caller-packet.h"

#include <arpa/inet.h>
#include <netinet/ip.h>
#include <netinet/udp.h>
#include <string.h>

_Static_assert(sizeof (struct iphdr) + sizeof (struct udphdr) == LC_CALLER_HEADERS_BYTES,
               "IPv4 and UDP headers without options");

static uint16_t
lc_caller_packet__checksum (const void *bytes, size_t len)
{
  uint32_t sum = 0;

  for (size_t i = 0; i + 1 < len; i += 2)
    {
      uint16_t word;

      memcpy (&word, (const uint8_t *)bytes + i, sizeof word);
      sum += ntohs (word);
    }
  while (sum >> 16)
    sum = (sum & 0xffff) + (sum >> 16);
  return htons ((uint16_t)~sum);
}

size_t
lc_caller_packet_build (uint8_t *packet,
                        const LcSocketAddress *source,
                        const LcSocketAddress *service,
                        const char *text,
                        size_t text_len)
{
  size_t len = text_len < LC_CALLER_TEXT_MAX ? text_len : LC_CALLER_TEXT_MAX;
  struct iphdr ip = { .version = 4,
                      .ihl = sizeof (struct iphdr) / 4,
                      .ttl = 64,
                      .protocol = IPPROTO_UDP,
                      .saddr = htonl (source->ipv4),
                      .daddr = htonl (service->ipv4) };
  struct udphdr udp = { .source = htons (source->port),
                        .dest = htons (service->port),
                        .len = htons ((uint16_t)(sizeof udp + len)) };

  ip.tot_len = htons ((uint16_t)(LC_CALLER_HEADERS_BYTES + len));
  ip.check = lc_caller_packet__checksum (&ip, sizeof ip);
  memcpy (packet, &ip, sizeof ip);
  memcpy (packet + sizeof ip, &udp, sizeof udp);
  memcpy (packet + LC_CALLER_HEADERS_BYTES, text, len);
  return LC_CALLER_HEADERS_BYTES + len;
}
