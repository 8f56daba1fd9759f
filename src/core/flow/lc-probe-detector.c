#include "lc-probe-detector.h"

#include <string.h>

typedef struct
{
  LcProbeDetectorAddress address;
  int64_t used_us;       /* last packet sent there */
  int64_t probed_us;     /* last probe; 0: none */
  int64_t unanswered_us; /* the first probe since the last answer; 0: none */
  bool was_suspect;      /* at the last lc_probe_detector_next_probes */
  bool reported_suspect; /* as lc_probe_detector_next_change returned it last */
} LcProbeDetectorEntry;

/* === private ================================================================================ */

static LcProbeDetectorEntry *
lc_probe_detector__find (const LcProbeDetector *r, uint32_t ipv4, uint16_t port)
{
  uint64_t key = lc_address_pack (ipv4, port);

  return g_hash_table_lookup (r->agents, &key);
}

static bool
lc_probe_detector__is_suspect (const LcProbeDetectorEntry *a, int64_t now_us)
{
  return a->unanswered_us != 0 && now_us - a->unanswered_us >= LC_PROBE_DETECTOR_SUSPECT_US;
}

static gboolean
lc_probe_detector__is_unused (gpointer key, gpointer value, gpointer user)
{
  (void)key;
  return *(int64_t *)user - ((LcProbeDetectorEntry *)value)->used_us >= LC_PROBE_DETECTOR_FORGET_US;
}

/* === public ================================================================================= */

void
lc_probe_detector_init (LcProbeDetector *r)
{
  memset (r, 0, sizeof *r);
  r->agents = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
}

void
lc_probe_detector_finish (LcProbeDetector *r)
{
  if (r->agents != NULL)
    g_hash_table_destroy (r->agents);
  memset (r, 0, sizeof *r);
}

void
lc_probe_detector_record_use (LcProbeDetector *r, const LcCandidate *to, int64_t now_us)
{
  LcProbeDetectorEntry *a = lc_probe_detector__find (r, to->ipv4, to->port);
  uint64_t key = lc_address_pack (to->ipv4, to->port);

  if (a == NULL)
    {
      a = g_new0 (LcProbeDetectorEntry, 1);
      a->address = (LcProbeDetectorAddress){ to->ipv4, to->port };
      g_hash_table_insert (r->agents, g_memdup2 (&key, sizeof key), a);
    }
  a->used_us = now_us;
}

/* Agents in use, and suspect ones until they answer or are removed. */
uint32_t
lc_probe_detector_next_probes (LcProbeDetector *r,
                               int64_t now_us,
                               LcProbeDetectorAddress *out,
                               uint32_t max)
{
  GHashTableIter iter;
  gpointer value;
  uint32_t n = 0;

  (void)g_hash_table_foreach_remove (r->agents, lc_probe_detector__is_unused, &now_us);
  g_hash_table_iter_init (&iter, r->agents);
  while (n < max && g_hash_table_iter_next (&iter, NULL, &value))
    {
      LcProbeDetectorEntry *a = value;
      bool is_late = lc_probe_detector__is_suspect (a, now_us);

      r->suspected_total += is_late && !a->was_suspect;
      a->was_suspect = is_late;
      if (a->probed_us != 0 && (now_us - a->probed_us < LC_PROBE_DETECTOR_PROBE_US ||
                                (a->used_us < a->probed_us && !is_late)))
        continue;
      a->probed_us = now_us;
      if (a->unanswered_us == 0)
        a->unanswered_us = now_us;
      out[n++] = a->address;
    }
  return n;
}

void
lc_probe_detector_record_answer (LcProbeDetector *r, uint32_t ipv4, uint16_t port, int64_t now_us)
{
  LcProbeDetectorEntry *a = lc_probe_detector__find (r, ipv4, port);

  (void)now_us;
  if (a != NULL)
    a->unanswered_us = 0;
}

bool
lc_probe_detector_is_isolated (LcProbeDetector *r, int64_t now_us)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, r->agents);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (!lc_probe_detector__is_suspect (value, now_us))
      return false;
  g_hash_table_iter_init (&iter, r->agents);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((LcProbeDetectorEntry *)value)->used_us = now_us;
  return g_hash_table_size (r->agents) > 0;
}

bool
lc_probe_detector_has_suspects (const LcProbeDetector *r, int64_t now_us)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, r->agents);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (lc_probe_detector__is_suspect (value, now_us))
      return true;
  return false;
}

bool
lc_probe_detector_is_suspect (const LcProbeDetector *r,
                              uint32_t ipv4,
                              uint16_t port,
                              int64_t now_us)
{
  const LcProbeDetectorEntry *a = lc_probe_detector__find (r, ipv4, port);

  return a != NULL && lc_probe_detector__is_suspect (a, now_us);
}

bool
lc_probe_detector_next_change (LcProbeDetector *r, int64_t now_us, LcProbeDetectorChange *change)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, r->agents);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      LcProbeDetectorEntry *a = value;
      bool is_late = lc_probe_detector__is_suspect (a, now_us);

      if (is_late == a->reported_suspect)
        continue;
      a->reported_suspect = is_late;
      change->address = a->address;
      change->is_suspect = is_late;
      change->silent_us = is_late ? now_us - a->unanswered_us : 0;
      return true;
    }
  return false;
}
