#include "lc-relays.h"

#include <string.h>
#include <xxhash.h>

static uint64_t
lc_relays__score (const LcBalancer *b)
{
  return XXH3_64bits (b->name, strlen (b->name));
}

/* Bandwidth of its link as a multiple of the thinnest; 1 where a bandwidth is not known. */
static uint32_t
lc_relays__link_ratio (const LcBalancer *b, uint32_t thinnest_kbps)
{
  return thinnest_kbps != 0 ? MIN (b->link_kbps / thinnest_kbps, (uint32_t)LC_RELAYS_RATIO_MAX) : 1;
}

static bool
lc_relays__is_better (const LcBalancer *a, const LcBalancer *b, uint32_t thinnest_kbps)
{
  uint32_t a_ratio = lc_relays__link_ratio (a, thinnest_kbps);
  uint32_t b_ratio = lc_relays__link_ratio (b, thinnest_kbps);

  return a_ratio != b_ratio ? a_ratio > b_ratio : lc_relays__score (a) > lc_relays__score (b);
}

/* Inserts `b` into the best LC_RELAYS_MAX, best first. */
static uint32_t
lc_relays__insert (const LcBalancer *out[], uint32_t n, uint32_t thinnest_kbps, const LcBalancer *b)
{
  uint32_t max = LC_RELAYS_MAX;
  uint32_t at = n;

  while (at > 0 && lc_relays__is_better (b, out[at - 1], thinnest_kbps))
    at--;
  if (at == max)
    return n;
  n = MIN (n + 1, max);
  memmove (&out[at + 1], &out[at], (n - at - 1) * sizeof *out);
  out[at] = b;
  return n;
}

static bool
lc_relays__is_eligible (const LcBalancer *b, LcDcId dc)
{
  return b->dc == dc && b->state == LC_BALANCER_ACTIVE;
}

/* Counts the active balancers and finds their thinnest link; 0 kbit/s: one has not reported it. */
static uint32_t
lc_relays__count (const LcView *view, LcDcId dc, uint32_t *thinnest_kbps)
{
  uint32_t n = 0;

  *thinnest_kbps = UINT32_MAX;
  for (guint i = 0; i < view->balancers->len; i++)
    {
      const LcBalancer *b = &g_array_index (view->balancers, LcBalancer, i);

      if (!lc_relays__is_eligible (b, dc))
        continue;
      *thinnest_kbps = MIN (*thinnest_kbps, b->link_kbps);
      n++;
    }
  return n;
}

/* Number of relays for `n` balancers, from the best `n_best`. */
static uint32_t
lc_relays__n_wanted (const LcBalancer *const best[],
                     uint32_t n_best,
                     uint32_t n,
                     uint32_t thinnest_kbps)
{
  uint32_t wanted = LC_RELAYS_WIDE_MIN;

  if (lc_relays__link_ratio (best[LC_RELAYS_WIDE_MIN - 1], thinnest_kbps) == 1)
    return CLAMP (n / LC_RELAYS_FAN_OUT, LC_RELAYS_MIN, LC_RELAYS_MAX);
  while (wanted < n_best &&
         n > wanted * LC_RELAYS_FAN_OUT * lc_relays__link_ratio (best[wanted - 1], thinnest_kbps))
    wanted++;
  return wanted;
}

uint32_t
lc_relays_list (const LcView *view, LcDcId dc, const LcBalancer *out[LC_RELAYS_MAX])
{
  uint32_t thinnest_kbps;
  uint32_t n_balancers = lc_relays__count (view, dc, &thinnest_kbps);
  uint32_t n = 0;

  if (n_balancers <= LC_RELAYS_DIRECT_MAX)
    return 0;
  for (guint i = 0; i < view->balancers->len; i++)
    {
      const LcBalancer *b = &g_array_index (view->balancers, LcBalancer, i);

      if (lc_relays__is_eligible (b, dc))
        n = lc_relays__insert (out, n, thinnest_kbps, b);
    }
  if (n < LC_RELAYS_WIDE_MIN)
    return n;
  return MIN (n, lc_relays__n_wanted (out, n, n_balancers, thinnest_kbps));
}

bool
lc_relays_is_listed (const LcBalancer *const relays[], uint32_t n, LcBalancerId id)
{
  for (uint32_t i = 0; i < n; i++)
    if (relays[i]->id == id)
      return true;
  return n == 0;
}

bool
lc_relays_is_direct (const LcView *view, const LcBalancer *balancer)
{
  const LcBalancer *relays[LC_RELAYS_MAX];
  uint32_t n = lc_relays_list (view, balancer->dc, relays);

  return lc_relays_is_listed (relays, n, balancer->id);
}
