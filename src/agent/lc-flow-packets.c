#include "lc-flow-packets.h"

#include <string.h>

/* === private ================================================================================ */

static LcFlowPacket *
lc_flow_packets__at (const LcFlowPackets *held, guint i)
{
  return &g_array_index (held->packets, LcFlowPacket, i);
}

static bool
lc_flow_packets__contain (const LcFlowPackets *held,
                          uint32_t flow,
                          const uint8_t *bytes,
                          size_t len)
{
  for (guint i = 0; i < held->packets->len; i++)
    {
      const LcFlowPacket *p = lc_flow_packets__at (held, i);

      if (p->flow == flow && p->len == len && memcmp (p->bytes, bytes, len) == 0)
        return true;
    }
  return false;
}

/* === public ================================================================================= */

bool
lc_flow_packets_put (LcFlowPackets *held, uint32_t flow, const uint8_t *bytes, size_t len)
{
  LcFlowPacket *p;

  if (held->packets == NULL)
    held->packets = g_array_new (FALSE, FALSE, sizeof (LcFlowPacket));
  if (len > LC_FLOW_PACKETS_BYTES || held->packets->len >= LC_FLOW_PACKETS_MAX)
    {
      held->full_total++;
      return false;
    }
  if (lc_flow_packets__contain (held, flow, bytes, len))
    return true;
  g_array_set_size (held->packets, held->packets->len + 1);
  p = lc_flow_packets__at (held, held->packets->len - 1);
  p->flow = flow;
  p->len = (uint16_t)len;
  memcpy (p->bytes, bytes, len);
  return true;
}

LcFlowPacket *
lc_flow_packets_take (LcFlowPackets *held, uint32_t flow)
{
  for (guint i = 0; held->packets != NULL && i < held->packets->len; i++)
    if (lc_flow_packets__at (held, i)->flow == flow)
      {
        held->taken = *lc_flow_packets__at (held, i);
        g_array_remove_index (held->packets, i);
        return &held->taken;
      }
  return NULL;
}

void
lc_flow_packets_drop (LcFlowPackets *held, uint32_t flow)
{
  while (lc_flow_packets_take (held, flow) != NULL)
    ;
}

void
lc_flow_packets_finish (LcFlowPackets *held)
{
  if (held->packets != NULL)
    g_array_unref (held->packets);
  memset (held, 0, sizeof *held);
}
