#include "lc-burn-ring.h"

#include <stdlib.h>

static const struct
{
  int64_t spacing_us;
  uint32_t size;
} LC_BURN_SPACINGS[LC_BURN_LEVELS] = { { 10 * LC_US_PER_S, 36 },
                                       { 60 * LC_US_PER_S, 72 },
                                       { 600 * LC_US_PER_S, 40 },
                                       { 3600 * LC_US_PER_S, 75 } };

static const char *const LC_BURN_NAMES[LC_N_BURN_COUNTERS] = {
  "good",        "late",       "refused",     "unknown",     "failed",
  "flow_opened", "flow_ended", "flow_broken", "flow_refused"
};

const char *
lc_burn_counter_name (LcBurnCounter counter)
{
  return LC_BURN_NAMES[counter];
}

/* The next sample is due at a whole multiple of the spacing, so that late ticks don't drift. */
static void
lc_burn_ring__add_sample (LcBurnLevel *level,
                          int index,
                          int64_t uptime_us,
                          const LcBurnCounts *counts)
{
  int64_t spacing_us = LC_BURN_SPACINGS[index].spacing_us;
  uint32_t size = LC_BURN_SPACINGS[index].size;

  level->samples[level->next] = (LcBurnSample){ uptime_us, *counts };
  level->next = (level->next + 1) % size;
  level->n = level->n < size ? level->n + 1 : size;
  level->due_us = (uptime_us / spacing_us + 1) * spacing_us;
}

void
lc_burn_ring_tick (LcBurnRing *ring, int64_t uptime_us, const LcBurnCounts *counts)
{
  for (int i = 0; i < LC_BURN_LEVELS; i++)
    if (uptime_us >= ring->levels[i].due_us)
      lc_burn_ring__add_sample (&ring->levels[i], i, uptime_us, counts);
}

static int
lc_burn_ring__compare (const void *a, const void *b)
{
  int64_t left = ((const LcBurnSample *)a)->uptime_us;
  int64_t right = ((const LcBurnSample *)b)->uptime_us;

  return (left > right) - (left < right);
}

size_t
lc_burn_ring_read (const LcBurnRing *ring, LcBurnSample *out, size_t max)
{
  LcBurnSample all[LC_BURN_RING_SAMPLES];
  size_t n_all = 0;
  size_t n = 0;

  for (int i = 0; i < LC_BURN_LEVELS; i++)
    for (uint32_t k = 0; k < ring->levels[i].n; k++)
      all[n_all++] = ring->levels[i].samples[k];
  qsort (all, n_all, sizeof all[0], lc_burn_ring__compare);
  for (size_t i = 0; i < n_all && n < max; i++)
    if (n == 0 || out[n - 1].uptime_us != all[i].uptime_us)
      out[n++] = all[i];
  return n;
}
