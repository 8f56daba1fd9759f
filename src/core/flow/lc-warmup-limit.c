#include "lc-warmup-limit.h"

#include <glib.h>
#include <string.h>

enum
{
  LC_WARMUP_LIMIT_EXACT_PERMILLE = 1000,
  LC_WARMUP_LIMIT_MILLI = 1000,
  LC_WARMUP_LIMIT_STARTS = 2, /* starts of this process in a window that the bound allows for */
};

/* === private ================================================================================ */

/* At least one a window: a server without requests never warms up. */
static uint32_t
lc_warmup_limit__max_grants (const LcWarmupLimit *limit)
{
  return CLAMP (limit->rate_mrps / LC_WARMUP_LIMIT_MILLI, 1, (uint32_t)LC_WARMUP_LIMIT_MAX_RATE);
}

/* Grants in the first window, when those of the previous process are unknown. */
static uint32_t
lc_warmup_limit__max_grants_at_start (const LcWarmupLimit *limit)
{
  uint64_t beyond = (uint64_t)limit->rate_mrps *
                    (limit->desc.overshoot_permille - LC_WARMUP_LIMIT_EXACT_PERMILLE) /
                    ((uint64_t)LC_WARMUP_LIMIT_MILLI * LC_WARMUP_LIMIT_EXACT_PERMILLE);

  return (uint32_t)MIN ((beyond + limit->desc.slack) / LC_WARMUP_LIMIT_STARTS,
                        (uint64_t)lc_warmup_limit__max_grants (limit));
}

static bool
lc_warmup_limit__is_in_first_window (const LcWarmupLimit *limit, int64_t now_us)
{
  return now_us - limit->started_us < LC_WARMUP_LIMIT_WINDOW_US;
}

/* === public ================================================================================= */

void
lc_warmup_limit_init (LcWarmupLimit *limit, const LcWarmupLimitDesc *desc, int64_t now_us)
{
  memset (limit, 0, sizeof *limit);
  limit->desc = *desc;
  limit->desc.overshoot_permille =
      MAX (desc->overshoot_permille, (uint32_t)LC_WARMUP_LIMIT_EXACT_PERMILLE);
  limit->started_us = now_us;
}

void
lc_warmup_limit_skip_first_window (LcWarmupLimit *limit)
{
  limit->started_us -= LC_WARMUP_LIMIT_WINDOW_US;
}

void
lc_warmup_limit_set_rate (LcWarmupLimit *limit, uint32_t rate_mrps)
{
  limit->rate_mrps = rate_mrps;
}

void
lc_warmup_limit_set_cold (LcWarmupLimit *limit, bool is_cold)
{
  limit->is_cold = is_cold;
}

bool
lc_warmup_limit_allows (const LcWarmupLimit *limit, int64_t now_us)
{
  uint32_t most = lc_warmup_limit__max_grants (limit);
  int64_t oldest_us;

  if (!limit->is_cold || limit->rate_mrps == 0)
    return true;
  if (lc_warmup_limit__is_in_first_window (limit, now_us) &&
      limit->n_since_start >= lc_warmup_limit__max_grants_at_start (limit))
    return false;
  oldest_us =
      limit->times_us[(limit->next + LC_WARMUP_LIMIT_MAX_RATE - most) % LC_WARMUP_LIMIT_MAX_RATE];
  return oldest_us == 0 || now_us - oldest_us >= LC_WARMUP_LIMIT_WINDOW_US;
}

void
lc_warmup_limit_record (LcWarmupLimit *limit, int64_t now_us)
{
  limit->times_us[limit->next] = now_us;
  limit->next = (limit->next + 1) % LC_WARMUP_LIMIT_MAX_RATE;
  limit->n_since_start += lc_warmup_limit__is_in_first_window (limit, now_us);
}
