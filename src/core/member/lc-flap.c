#include "lc-flap.h"

#include <math.h>
#include <string.h>

enum
{
  LC_FLAP_HALF_LIFE_MS = 15000,
  LC_FLAP_PENALTY = 1000, /* per return */
  LC_FLAP_SUPPRESS_AT = 3500,
  LC_FLAP_REUSE_AT = 1500,
  LC_FLAP_MAX_PENALTY = 8000,
  LC_FLAP_FORGET_AT = 100, /* penalty below which a record is freed */
};

typedef struct
{
  double penalty; /* at at_us */
  int64_t at_us;
  bool is_suppressed;
} LcFlapRecord;

static uint32_t
lc_flap__or_default (uint32_t value, uint32_t fallback)
{
  return value != 0 ? value : fallback;
}

void
lc_flap_init (LcFlap *flap, const LcFlapDesc *desc)
{
  memset (flap, 0, sizeof *flap);
  flap->desc.half_life_ms = lc_flap__or_default (desc->half_life_ms, LC_FLAP_HALF_LIFE_MS);
  flap->desc.suppress_at = lc_flap__or_default (desc->suppress_at, LC_FLAP_SUPPRESS_AT);
  flap->desc.reuse_at = lc_flap__or_default (desc->reuse_at, LC_FLAP_REUSE_AT);
  flap->desc.max_penalty = lc_flap__or_default (desc->max_penalty, LC_FLAP_MAX_PENALTY);
  flap->records = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

void
lc_flap_finish (LcFlap *flap)
{
  if (flap->records != NULL)
    g_hash_table_destroy (flap->records);
  memset (flap, 0, sizeof *flap);
}

static void
lc_flap__decay_penalty (const LcFlap *flap, LcFlapRecord *record, int64_t now_us)
{
  double half_lives =
      (double)(now_us - record->at_us) / ((double)flap->desc.half_life_ms * LC_US_PER_MS);

  record->penalty *= exp2 (-half_lives);
  record->at_us = now_us;
}

void
lc_flap_record_return (LcFlap *flap, const char *name, int64_t now_us)
{
  LcFlapRecord *record = g_hash_table_lookup (flap->records, name);

  if (record == NULL)
    {
      record = g_new0 (LcFlapRecord, 1);
      record->at_us = now_us;
      g_hash_table_insert (flap->records, g_strdup (name), record);
    }
  lc_flap__decay_penalty (flap, record, now_us);
  record->penalty = MIN (record->penalty + LC_FLAP_PENALTY, flap->desc.max_penalty);
  if (record->penalty < flap->desc.suppress_at)
    return;
  flap->suppressed_total += record->is_suppressed ? 0 : 1;
  record->is_suppressed = true;
}

bool
lc_flap_is_suppressed (LcFlap *flap, const char *name, int64_t now_us)
{
  LcFlapRecord *record = g_hash_table_lookup (flap->records, name);

  if (record == NULL || !record->is_suppressed)
    return false;
  lc_flap__decay_penalty (flap, record, now_us);
  if (record->penalty < flap->desc.reuse_at)
    record->is_suppressed = false;
  return record->is_suppressed;
}

void
lc_flap_expire (LcFlap *flap, int64_t now_us)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, flap->records);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      LcFlapRecord *record = value;

      lc_flap__decay_penalty (flap, record, now_us);
      if (record->penalty < LC_FLAP_FORGET_AT && !record->is_suppressed)
        g_hash_table_iter_remove (&iter);
    }
}
