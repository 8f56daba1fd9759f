#include "lc-flush-pace.h"

#include <glib.h>

bool
lc_flush_is_slice_over (int64_t started_us, int64_t now_us)
{
  return now_us - started_us >= LC_FLUSH_SLICE_US;
}

bool
lc_flush_has_room (size_t unsent_bytes)
{
  return unsent_bytes < LC_FLUSH_UNSENT_MAX_BYTES;
}

uint32_t
lc_flush_pause_ms (int64_t spent_us)
{
  int64_t pause_ms = spent_us * LC_FLUSH_PAUSE_RATIO / LC_US_PER_MS;

  return (uint32_t)CLAMP (pause_ms, (int64_t)LC_FLUSH_PAUSE_MIN_MS, (int64_t)LC_FLUSH_PAUSE_MAX_MS);
}
