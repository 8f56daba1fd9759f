#include "lc-burn-merge.h"

#include "../lc-error.h"

#include <glib.h>
#include <string.h>

typedef struct
{
  LcBurnKey key; /* owns its strings */
  int64_t started_at_us;
  GArray *samples; /* LcBurnSample, ordered by uptime */
} LcBurnSeries;

struct LcBurnMerge
{
  GPtrArray *series;
  GHashTable *by_name; /* "instance/service" -> LcBurnSeries */
  uint64_t refused_samples;
};

/* === private: series ======================================================================== */

static void
lc_burn_merge__free_series (gpointer data)
{
  LcBurnSeries *series = data;

  g_free ((gpointer)series->key.process);
  g_free ((gpointer)series->key.service);
  g_free ((gpointer)series->key.data_centre);
  g_array_free (series->samples, TRUE);
  g_free (series);
}

static LcBurnSeries *
lc_burn_merge__series (LcBurnMerge *merge, const LcBurnKey *key, int64_t started_at_us)
{
  char *name =
      g_strdup_printf ("%016" G_GINT64_MODIFIER "x/%s", (guint64)key->instance, key->service);
  LcBurnSeries *series = g_hash_table_lookup (merge->by_name, name);

  if (series != NULL)
    {
      g_free (name);
      return series;
    }
  series = g_new0 (LcBurnSeries, 1);
  series->key = *key;
  series->key.process = g_strdup (key->process);
  series->key.service = g_strdup (key->service);
  series->key.data_centre = g_strdup (key->data_centre);
  series->started_at_us = started_at_us;
  series->samples = g_array_new (FALSE, FALSE, sizeof (LcBurnSample));
  g_ptr_array_add (merge->series, series);
  g_hash_table_insert (merge->by_name, name, series);
  return series;
}

static const LcBurnSample *
lc_burn_merge__sample (const LcBurnSeries *series, guint i)
{
  return &g_array_index (series->samples, LcBurnSample, i);
}

/* Index of the first sample whose uptime is above `uptime_us`. */
static guint
lc_burn_merge__index_after (const LcBurnSeries *series, int64_t uptime_us)
{
  guint low = 0;
  guint high = series->samples->len;

  while (low < high)
    {
      guint middle = (low + high) / 2;

      if (lc_burn_merge__sample (series, middle)->uptime_us <= uptime_us)
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

static bool
lc_burn_merge__is_monotonic (const LcBurnSample *before, const LcBurnSample *after)
{
  for (int i = 0; i < LC_N_BURN_COUNTERS; i++)
    if (after->counts.values[i] < before->counts.values[i])
      return false;
  return true;
}

/* === private: values ======================================================================== */

typedef struct
{
  double values[LC_N_BURN_COUNTERS];
} LcBurnPoint;

/* Counts at a time of the reader's clock, interpolated linearly: zero before the process started,
 * those of the first sample between the start and that sample.  See RULES. */
static LcBurnPoint
lc_burn_merge__interpolate (const LcBurnSeries *series, int64_t at_us)
{
  int64_t uptime_us = at_us - series->started_at_us;
  guint after = lc_burn_merge__index_after (series, uptime_us);
  guint last = series->samples->len - 1;
  const LcBurnSample *low = lc_burn_merge__sample (series, after > 0 ? after - 1 : 0);
  const LcBurnSample *high = lc_burn_merge__sample (series, after > last ? last : after);
  LcBurnPoint point = { 0 };
  double share = 0;

  if (uptime_us <= 0)
    return point;
  if (high->uptime_us > low->uptime_us)
    share = (double)(uptime_us - low->uptime_us) / (double)(high->uptime_us - low->uptime_us);
  for (int i = 0; i < LC_N_BURN_COUNTERS; i++)
    point.values[i] = (double)low->counts.values[i] +
                      share * (double)(high->counts.values[i] - low->counts.values[i]);
  return point;
}

static double
lc_burn_merge__open_flows (const LcBurnPoint *point)
{
  double open = point->values[LC_BURN_FLOW_OPENED] - point->values[LC_BURN_FLOW_ENDED];

  return MAX (open, 0.0);
}

static bool
lc_burn_merge__matches (const LcBurnSeries *series, const char *service, const char *data_centre)
{
  return (service == NULL || strcmp (series->key.service, service) == 0) &&
         (data_centre == NULL || strcmp (series->key.data_centre, data_centre) == 0);
}

static int64_t
lc_burn_merge__end_us (const LcBurnSeries *series)
{
  return series->started_at_us +
         lc_burn_merge__sample (series, series->samples->len - 1)->uptime_us;
}

/* === public ================================================================================= */

LcBurnMerge *
lc_burn_merge_new (void)
{
  LcBurnMerge *merge = g_new0 (LcBurnMerge, 1);

  merge->series = g_ptr_array_new_with_free_func (lc_burn_merge__free_series);
  merge->by_name = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  return merge;
}

void
lc_burn_merge_free (LcBurnMerge *merge)
{
  g_hash_table_destroy (merge->by_name);
  g_ptr_array_free (merge->series, TRUE);
  g_free (merge);
}

int
lc_burn_merge_add (LcBurnMerge *merge,
                   const LcBurnKey *key,
                   int64_t reported_at_us,
                   int64_t reported_uptime_us,
                   const LcBurnSample *sample)
{
  LcBurnSeries *series = lc_burn_merge__series (merge, key, reported_at_us - reported_uptime_us);
  guint at = lc_burn_merge__index_after (series, sample->uptime_us);
  const LcBurnSample *before = at > 0 ? lc_burn_merge__sample (series, at - 1) : NULL;

  if (before != NULL && memcmp (before, sample, sizeof *sample) == 0)
    return LC_ERR_EXISTS;
  if (sample->uptime_us < 0 ||
      (before != NULL &&
       (before->uptime_us == sample->uptime_us || !lc_burn_merge__is_monotonic (before, sample))) ||
      (at < series->samples->len &&
       !lc_burn_merge__is_monotonic (sample, lc_burn_merge__sample (series, at))))
    {
      merge->refused_samples++;
      return LC_ERR_CORRUPT;
    }
  g_array_insert_val (series->samples, at, *sample);
  return 0;
}

/* The part of the window that the samples of a series cover. */
static int64_t
lc_burn_merge__covered_us (const LcBurnSeries *series, int64_t from_us, int64_t to_us)
{
  int64_t first_us = series->started_at_us + lc_burn_merge__sample (series, 0)->uptime_us;

  if (series->started_at_us >= from_us || first_us <= from_us)
    return to_us - from_us;
  return MAX (to_us - first_us, 0);
}

LcBurnWindow
lc_burn_merge_window (const LcBurnMerge *merge,
                      const char *service,
                      const char *data_centre,
                      int64_t now_us,
                      int64_t length_us)
{
  LcBurnWindow window = { .covered_us = length_us };
  int64_t from_us = now_us - length_us;

  for (guint s = 0; s < merge->series->len; s++)
    {
      const LcBurnSeries *series = g_ptr_array_index (merge->series, s);
      LcBurnPoint start;
      LcBurnPoint end;

      if (series->samples->len == 0 || !lc_burn_merge__matches (series, service, data_centre) ||
          series->started_at_us >= now_us || lc_burn_merge__end_us (series) <= from_us)
        continue;
      start = lc_burn_merge__interpolate (series, from_us);
      end = lc_burn_merge__interpolate (series, now_us);
      for (int i = 0; i < LC_N_BURN_COUNTERS; i++)
        window.growth[i] += end.values[i] - start.values[i];
      window.open_at_start += lc_burn_merge__open_flows (&start);
      window.covered_us =
          MIN (window.covered_us, lc_burn_merge__covered_us (series, from_us, now_us));
      window.n_series++;
    }
  return window;
}

/* === public: imbalance ====================================================================== */

/* Ratio of maximum to mean open flows per weight at one time.  0 when less than one flow is open:
 * interpolated flows are fractions, and a ratio of tiny ones depends on a few milliseconds. */
static double
lc_burn_merge__peak_over_mean (const LcBurnMerge *merge,
                               const char *service,
                               const char *data_centre,
                               int64_t at_us,
                               int64_t step_us)
{
  double peak = 0;
  double sum = 0;
  double n_open = 0;
  uint32_t n = 0;

  for (guint s = 0; s < merge->series->len; s++)
    {
      const LcBurnSeries *series = g_ptr_array_index (merge->series, s);
      LcBurnPoint point;
      double load;

      if (series->key.weight_percent == 0 || series->samples->len == 0 ||
          !lc_burn_merge__matches (series, service, data_centre) || series->started_at_us > at_us ||
          lc_burn_merge__end_us (series) + step_us < at_us)
        continue;
      point = lc_burn_merge__interpolate (series, at_us);
      load = lc_burn_merge__open_flows (&point) * 100.0 / series->key.weight_percent;
      n_open += lc_burn_merge__open_flows (&point);
      peak = MAX (peak, load);
      sum += load;
      n++;
    }
  return n_open >= 1 ? peak * n / sum : 0;
}

static int
lc_burn_merge__compare (gconstpointer a, gconstpointer b)
{
  double left = *(const double *)a;
  double right = *(const double *)b;

  return (left > right) - (left < right);
}

LcBurnImbalance
lc_burn_merge_imbalance (const LcBurnMerge *merge,
                         const char *service,
                         const char *data_centre,
                         int64_t now_us,
                         int64_t length_us,
                         int64_t step_us)
{
  LcBurnImbalance result = { 0 };
  GArray *steps = g_array_new (FALSE, FALSE, sizeof (double));
  double sum = 0;

  for (int64_t at_us = now_us - length_us + step_us; at_us <= now_us; at_us += step_us)
    {
      double value = lc_burn_merge__peak_over_mean (merge, service, data_centre, at_us, step_us);

      if (value > 0)
        g_array_append_val (steps, value);
      sum += value;
    }
  result.n_steps = steps->len;
  if (steps->len > 0)
    {
      g_array_sort (steps, lc_burn_merge__compare);
      result.mean = sum / steps->len;
      result.p99 = g_array_index (steps, double, (steps->len * 99 + 99) / 100 - 1);
    }
  g_array_free (steps, TRUE);
  return result;
}

uint64_t
lc_burn_merge_refused_samples (const LcBurnMerge *merge)
{
  return merge->refused_samples;
}

uint32_t
lc_burn_merge_n_series (const LcBurnMerge *merge)
{
  return merge->series->len;
}

void
lc_burn_merge_each (const LcBurnMerge *merge, LcBurnEach each, void *user)
{
  for (guint s = 0; s < merge->series->len; s++)
    {
      const LcBurnSeries *series = g_ptr_array_index (merge->series, s);

      for (guint i = 0; i < series->samples->len; i++)
        each (user, &series->key, series->started_at_us, lc_burn_merge__sample (series, i));
    }
}
