#include "lc-flow-reconnects.h"

void
lc_flow_reconnects_add (LcFlowReconnects *r, uint32_t ipv4, int64_t now_us)
{
  r->callers[r->next].ipv4 = ipv4;
  r->callers[r->next].at_us = now_us;
  r->next = (r->next + 1) % LC_FLOW_RECONNECTS_MAX;
}

bool
lc_flow_reconnects_take (LcFlowReconnects *r, uint32_t ipv4, int64_t now_us)
{
  /* Newest first: all entries after one that has expired have expired, too. */
  for (uint32_t k = 1; k <= LC_FLOW_RECONNECTS_MAX; k++)
    {
      uint32_t i = (r->next + LC_FLOW_RECONNECTS_MAX - k) % LC_FLOW_RECONNECTS_MAX;

      if (now_us - r->callers[i].at_us > LC_FLOW_RECONNECT_US)
        return false;
      if (r->callers[i].ipv4 != ipv4)
        continue;
      r->callers[i].ipv4 = 0;
      return true;
    }
  return false;
}
