#include "lc-flow-search.h"

#include <string.h>

static LcFlowSearch *
lc_flow_search__slot (LcFlowSearches *s, const LcFlowKey *key)
{
  return &s->slots[lc_flow_key_hash (key) % LC_FLOW_SEARCHES];
}

static bool
lc_flow_search__is_running (const LcFlowSearch *s, const LcFlowKey *key, int64_t now_us)
{
  return s->is_used && lc_flow_key_equal (&s->packet.key, key) &&
         now_us - s->started_us < LC_FLOW_SEARCH_US;
}

void
lc_flow_search_begin (LcFlowSearches *searches,
                      const LcPacket *packet,
                      const LcEndpointId *ids,
                      uint32_t n,
                      LcRevision revision,
                      int64_t now_us)
{
  LcFlowSearch *s = lc_flow_search__slot (searches, &packet->key);
  bool is_running = lc_flow_search__is_running (s, &packet->key, now_us);

  s->packet = *packet;
  if (is_running)
    return;
  s->is_used = true;
  s->revision = revision;
  s->started_us = now_us;
  s->n_waiting = n < LC_FLOW_SEARCH_MAX ? n : LC_FLOW_SEARCH_MAX;
  memcpy (s->waiting, ids, s->n_waiting * sizeof *ids);
}

bool
lc_flow_search_deny (LcFlowSearches *searches,
                     const LcFlowKey *key,
                     LcEndpointId id,
                     LcRevision revision,
                     int64_t now_us,
                     LcPacket *packet)
{
  LcFlowSearch *s = lc_flow_search__slot (searches, key);

  if (!lc_flow_search__is_running (s, key, now_us))
    return false;
  if (revision > s->revision)
    {
      s->is_used = false;
      return false;
    }
  for (uint32_t i = 0; i < s->n_waiting; i++)
    if (s->waiting[i] == id)
      {
        s->waiting[i] = s->waiting[--s->n_waiting];
        if (s->n_waiting > 0)
          return false;
        *packet = s->packet;
        s->is_used = false;
        return true;
      }
  return false;
}
