#include "lc-reach.h"

#include <string.h>

typedef struct
{
  LcReachAddress address;
  int64_t used_us;       /* last packet sent there */
  int64_t probed_us;     /* last probe; 0: none */
  int64_t unanswered_us; /* the first probe since the last answer; 0: none */
  bool was_suspect;      /* at the last lc_reach_due */
  bool reported_suspect; /* as lc_reach_next_change returned it last */
} LcReachAgent;

/* === private ================================================================================ */

static LcReachAgent *
lc_reach__find (const LcReach *r, uint32_t ipv4, uint16_t port)
{
  uint64_t key = lc_address_pack (ipv4, port);

  return g_hash_table_lookup (r->agents, &key);
}

static bool
lc_reach__is_late (const LcReachAgent *a, int64_t now_us)
{
  return a->unanswered_us != 0 && now_us - a->unanswered_us >= LC_REACH_SUSPECT_US;
}

static gboolean
lc_reach__is_unused (gpointer key, gpointer value, gpointer user)
{
  (void)key;
  return *(int64_t *)user - ((LcReachAgent *)value)->used_us >= LC_REACH_FORGET_US;
}

/* === public ================================================================================= */

void
lc_reach_init (LcReach *r)
{
  memset (r, 0, sizeof *r);
  r->agents = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
}

void
lc_reach_finish (LcReach *r)
{
  if (r->agents != NULL)
    g_hash_table_destroy (r->agents);
  memset (r, 0, sizeof *r);
}

void
lc_reach_used (LcReach *r, const LcCandidate *to, int64_t now_us)
{
  LcReachAgent *a = lc_reach__find (r, to->ipv4, to->port);
  uint64_t key = lc_address_pack (to->ipv4, to->port);

  if (a == NULL)
    {
      a = g_new0 (LcReachAgent, 1);
      a->address = (LcReachAddress){ to->ipv4, to->port };
      g_hash_table_insert (r->agents, g_memdup2 (&key, sizeof key), a);
    }
  a->used_us = now_us;
}

/* Agents in use, and suspect ones until they answer or are removed. */
uint32_t
lc_reach_due (LcReach *r, int64_t now_us, LcReachAddress *out, uint32_t max)
{
  GHashTableIter iter;
  gpointer value;
  uint32_t n = 0;

  (void)g_hash_table_foreach_remove (r->agents, lc_reach__is_unused, &now_us);
  g_hash_table_iter_init (&iter, r->agents);
  while (n < max && g_hash_table_iter_next (&iter, NULL, &value))
    {
      LcReachAgent *a = value;
      bool is_late = lc_reach__is_late (a, now_us);

      r->suspected_total += is_late && !a->was_suspect;
      a->was_suspect = is_late;
      if (a->probed_us != 0 &&
          (now_us - a->probed_us < LC_REACH_PROBE_US || (a->used_us < a->probed_us && !is_late)))
        continue;
      a->probed_us = now_us;
      if (a->unanswered_us == 0)
        a->unanswered_us = now_us;
      out[n++] = a->address;
    }
  return n;
}

void
lc_reach_answered (LcReach *r, uint32_t ipv4, uint16_t port, int64_t now_us)
{
  LcReachAgent *a = lc_reach__find (r, ipv4, port);

  (void)now_us;
  if (a != NULL)
    a->unanswered_us = 0;
}

bool
lc_reach_is_alone (LcReach *r, int64_t now_us)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, r->agents);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (!lc_reach__is_late (value, now_us))
      return false;
  g_hash_table_iter_init (&iter, r->agents);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((LcReachAgent *)value)->used_us = now_us;
  return g_hash_table_size (r->agents) > 0;
}

bool
lc_reach_has_suspects (const LcReach *r, int64_t now_us)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, r->agents);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (lc_reach__is_late (value, now_us))
      return true;
  return false;
}

bool
lc_reach_is_suspect (const LcReach *r, uint32_t ipv4, uint16_t port, int64_t now_us)
{
  const LcReachAgent *a = lc_reach__find (r, ipv4, port);

  return a != NULL && lc_reach__is_late (a, now_us);
}

bool
lc_reach_next_change (LcReach *r, int64_t now_us, LcReachChange *change)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, r->agents);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      LcReachAgent *a = value;
      bool is_late = lc_reach__is_late (a, now_us);

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
