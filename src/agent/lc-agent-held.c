#include "lc-agent-held.h"

#include <string.h>

/* === private ================================================================================ */

static LcAgentHeldPacket *
lc_agent_held__at (const LcAgentHeld *held, guint i)
{
  return &g_array_index (held->packets, LcAgentHeldPacket, i);
}

static bool
lc_agent_held__has (const LcAgentHeld *held, uint32_t flow, const uint8_t *bytes, size_t len)
{
  for (guint i = 0; i < held->packets->len; i++)
    {
      const LcAgentHeldPacket *p = lc_agent_held__at (held, i);

      if (p->flow == flow && p->len == len && memcmp (p->bytes, bytes, len) == 0)
        return true;
    }
  return false;
}

/* === public ================================================================================= */

bool
lc_agent_held_put (LcAgentHeld *held, uint32_t flow, const uint8_t *bytes, size_t len)
{
  LcAgentHeldPacket *p;

  if (held->packets == NULL)
    held->packets = g_array_new (FALSE, FALSE, sizeof (LcAgentHeldPacket));
  if (len > LC_AGENT_HELD_BYTES || held->packets->len >= LC_AGENT_HELD_MAX)
    {
      held->full_total++;
      return false;
    }
  if (lc_agent_held__has (held, flow, bytes, len))
    return true;
  g_array_set_size (held->packets, held->packets->len + 1);
  p = lc_agent_held__at (held, held->packets->len - 1);
  p->flow = flow;
  p->len = (uint16_t)len;
  memcpy (p->bytes, bytes, len);
  return true;
}

LcAgentHeldPacket *
lc_agent_held_take (LcAgentHeld *held, uint32_t flow)
{
  for (guint i = 0; held->packets != NULL && i < held->packets->len; i++)
    if (lc_agent_held__at (held, i)->flow == flow)
      {
        held->taken = *lc_agent_held__at (held, i);
        g_array_remove_index (held->packets, i);
        return &held->taken;
      }
  return NULL;
}

void
lc_agent_held_drop (LcAgentHeld *held, uint32_t flow)
{
  while (lc_agent_held_take (held, flow) != NULL)
    ;
}

void
lc_agent_held_finish (LcAgentHeld *held)
{
  if (held->packets != NULL)
    g_array_unref (held->packets);
  memset (held, 0, sizeof *held);
}
