#include "lc-cold-limit.h"

#include <glib.h>
#include <string.h>

enum
{
  LC_COLD_LIMIT_EXACT_PERMILLE = 1000,
  LC_COLD_LIMIT_MILLI = 1000,
  LC_COLD_LIMIT_STARTS = 2, /* starts of this process in a window that the bound allows for */
};

/* === private ================================================================================ */

/* At least one a window: a server without requests never warms up. */
static uint32_t
lc_cold_limit__most (const LcColdLimit *limit)
{
  return CLAMP (limit->rate_mrps / LC_COLD_LIMIT_MILLI, 1, (uint32_t)LC_COLD_LIMIT_MOST);
}

/* Grants in the first window, when those of the previous process are unknown. */
static uint32_t
lc_cold_limit__most_at_start (const LcColdLimit *limit)
{
  uint64_t beyond = (uint64_t)limit->rate_mrps *
                    (limit->desc.overshoot_permille - LC_COLD_LIMIT_EXACT_PERMILLE) /
                    ((uint64_t)LC_COLD_LIMIT_MILLI * LC_COLD_LIMIT_EXACT_PERMILLE);

  return (uint32_t)MIN ((beyond + limit->desc.slack) / LC_COLD_LIMIT_STARTS,
                        (uint64_t)lc_cold_limit__most (limit));
}

static bool
lc_cold_limit__is_in_first_window (const LcColdLimit *limit, int64_t now_us)
{
  return now_us - limit->started_us < LC_COLD_LIMIT_WINDOW_US;
}

/* === public ================================================================================= */

void
lc_cold_limit_init (LcColdLimit *limit, const LcColdLimitDesc *desc, int64_t now_us)
{
  memset (limit, 0, sizeof *limit);
  limit->desc = *desc;
  limit->desc.overshoot_permille =
      MAX (desc->overshoot_permille, (uint32_t)LC_COLD_LIMIT_EXACT_PERMILLE);
  limit->started_us = now_us;
}

void
lc_cold_limit_know_all (LcColdLimit *limit)
{
  limit->started_us -= LC_COLD_LIMIT_WINDOW_US;
}

void
lc_cold_limit_set_rate (LcColdLimit *limit, uint32_t rate_mrps)
{
  limit->rate_mrps = rate_mrps;
}

void
lc_cold_limit_set_cold (LcColdLimit *limit, bool is_cold)
{
  limit->is_cold = is_cold;
}

bool
lc_cold_limit_has_room (const LcColdLimit *limit, int64_t now_us)
{
  uint32_t most = lc_cold_limit__most (limit);
  int64_t oldest_us;

  if (!limit->is_cold || limit->rate_mrps == 0)
    return true;
  if (lc_cold_limit__is_in_first_window (limit, now_us) &&
      limit->n_since_start >= lc_cold_limit__most_at_start (limit))
    return false;
  oldest_us = limit->times_us[(limit->next + LC_COLD_LIMIT_MOST - most) % LC_COLD_LIMIT_MOST];
  return oldest_us == 0 || now_us - oldest_us >= LC_COLD_LIMIT_WINDOW_US;
}

void
lc_cold_limit_note (LcColdLimit *limit, int64_t now_us)
{
  limit->times_us[limit->next] = now_us;
  limit->next = (limit->next + 1) % LC_COLD_LIMIT_MOST;
  limit->n_since_start += lc_cold_limit__is_in_first_window (limit, now_us);
}
