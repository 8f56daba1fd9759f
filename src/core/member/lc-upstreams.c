#include "lc-upstreams.h"

#include <string.h>
#include <xxhash.h>

static uint64_t
lc_upstreams__score (uint64_t seed, uint32_t ipv4, uint16_t port)
{
  uint64_t address = lc_address_pack (ipv4, port);

  return XXH64 (&address, sizeof address, seed);
}

uint64_t
lc_upstream_score (const char *name, uint32_t ipv4, uint16_t port)
{
  return lc_upstreams__score (XXH64 (name, strlen (name), 0), ipv4, port);
}

void
lc_upstreams_init (LcUpstreams *up, const char *name)
{
  up->seed = XXH64 (name, strlen (name), 0);
  up->list = g_array_new (FALSE, FALSE, sizeof (LcUpstream));
  up->next = g_array_new (FALSE, FALSE, sizeof (LcUpstream));
}

void
lc_upstreams_finish (LcUpstreams *up)
{
  if (up->list != NULL)
    g_array_free (up->list, TRUE);
  if (up->next != NULL)
    g_array_free (up->next, TRUE);
  memset (up, 0, sizeof *up);
}

static LcUpstream *
lc_upstreams__find (const LcUpstreams *up, uint32_t ipv4, uint16_t port)
{
  for (guint i = 0; i < up->list->len; i++)
    {
      LcUpstream *u = &g_array_index (up->list, LcUpstream, i);

      if (u->ipv4 == ipv4 && u->port == port)
        return u;
    }
  return NULL;
}

/* === public: the list ======================================================================= */

void
lc_upstreams_begin (LcUpstreams *up)
{
  g_array_set_size (up->next, 0);
}

void
lc_upstreams_add (LcUpstreams *up, uint32_t ipv4, uint16_t port)
{
  LcUpstream u = { .ipv4 = ipv4,
                   .port = port,
                   .score = lc_upstreams__score (up->seed, ipv4, port) };

  g_array_append_val (up->next, u);
}

static gint
lc_upstreams__compare (gconstpointer a, gconstpointer b)
{
  uint64_t left = ((const LcUpstream *)a)->score;
  uint64_t right = ((const LcUpstream *)b)->score;

  return (left < right) - (left > right);
}

static void
lc_upstreams__keep_avoided (LcUpstreams *up)
{
  for (guint i = 0; i < up->list->len; i++)
    {
      const LcUpstream *old = &g_array_index (up->list, LcUpstream, i);

      for (guint k = 0; old->avoid_until_us > 0 && k < up->next->len; k++)
        {
          LcUpstream *u = &g_array_index (up->next, LcUpstream, k);

          if (u->ipv4 == old->ipv4 && u->port == old->port)
            u->avoid_until_us = old->avoid_until_us;
        }
    }
}

void
lc_upstreams_end (LcUpstreams *up)
{
  GArray *old = up->list;

  if (up->next->len == 0)
    return;
  lc_upstreams__keep_avoided (up);
  g_array_sort (up->next, lc_upstreams__compare);
  up->list = up->next;
  up->next = old;
}

/* === public: choice ========================================================================= */

void
lc_upstreams_avoid (LcUpstreams *up, uint32_t ipv4, uint16_t port, int64_t until_us)
{
  LcUpstream *u = lc_upstreams__find (up, ipv4, port);

  if (u != NULL)
    u->avoid_until_us = until_us;
}

uint32_t
lc_upstreams_best (const LcUpstreams *up, int64_t now_us, LcUpstream *out, uint32_t max)
{
  uint32_t n = 0;

  for (int pass = 0; pass < 2; pass++)
    for (guint i = 0; i < up->list->len && n < max; i++)
      {
        const LcUpstream *u = &g_array_index (up->list, LcUpstream, i);

        if ((u->avoid_until_us > now_us) == (pass == 1))
          out[n++] = *u;
      }
  return n;
}

uint32_t
lc_upstreams_rank (const LcUpstreams *up, uint32_t ipv4, uint16_t port)
{
  const LcUpstream *u = lc_upstreams__find (up, ipv4, port);

  return u != NULL ? (uint32_t)(u - (const LcUpstream *)(const void *)up->list->data) : UINT32_MAX;
}
