#include "lc-staleness.h"

#include <glib.h>

void
lc_staleness_note (LcStaleness *s, LcRevision revision)
{
  s->newest = MAX (s->newest, revision);
}

LcStalenessChange
lc_staleness_check (LcStaleness *s, LcRevision own, int64_t now_us)
{
  bool was_stale = s->is_stale;

  if (s->missing != 0 && own >= s->missing)
    {
      s->missing = 0;
      s->is_stale = false;
    }
  if (s->missing == 0 && own < s->newest)
    {
      s->missing = s->newest;
      s->missing_since_us = now_us;
    }
  s->is_stale = s->missing != 0 && now_us - s->missing_since_us >= LC_STALENESS_LIMIT_US;
  if (s->is_stale == was_stale)
    return LC_STALENESS_SAME;
  return s->is_stale ? LC_STALENESS_BEGINS : LC_STALENESS_ENDS;
}

bool
lc_staleness_lacks (const LcStaleness *s, LcRevision revision)
{
  return s->is_stale && revision < s->missing;
}

int64_t
lc_staleness_us (const LcStaleness *s, int64_t now_us)
{
  return s->missing != 0 ? now_us - s->missing_since_us : 0;
}
