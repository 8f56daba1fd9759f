/* lc-upstreams: ranks the upstreams of a process by rendezvous hashing.
 *
 * WHAT IT IS
 *   A list of addresses ordered by their rendezvous score for the process's own name: processes
 *   spread evenly over upstreams, and only those of an upstream that goes away have to move.  An
 *   upstream that was silent is avoided for a while.
 *
 * HOW TO USE IT
 *     lc_upstreams_init (&up, "order-3");
 *     lc_upstreams_begin (&up); lc_upstreams_add (&up, ipv4, port); ... lc_upstreams_end (&up);
 *     lc_upstreams_avoid (&up, ipv4, port, until_us);
 *     n = lc_upstreams_best (&up, now_us, best, 2);
 *     lc_upstreams_finish (&up);
 *
 * LIMITS
 *   lc_upstreams_end sorts: O(n log n) for n addresses.
 */
#ifndef LC_UPSTREAMS_H
#define LC_UPSTREAMS_H

#include "core/lc-types.h"

#include <glib.h>

#ifdef __cplusplus
extern "C"
{
#endif

  typedef struct
  {
    uint32_t ipv4;
    uint16_t port;
    uint64_t score;
    int64_t avoid_until_us;
  } LcUpstream;

  typedef struct
  {
    uint64_t seed;
    GArray *list; /* LcUpstream, best first */
    GArray *next; /* the list that begin ... end fills */
  } LcUpstreams;

  void lc_upstreams_init (LcUpstreams *up, const char *name);
  void lc_upstreams_finish (LcUpstreams *up);
  void lc_upstreams_begin (LcUpstreams *up);
  void lc_upstreams_add (LcUpstreams *up, uint32_t ipv4, uint16_t port);
  /* Replaces the list, keeping avoid_until_us of its addresses; an empty one is ignored. */
  void lc_upstreams_end (LcUpstreams *up);
  void lc_upstreams_avoid (LcUpstreams *up, uint32_t ipv4, uint16_t port, int64_t until_us);
  /* Fills `out` with the best `max`, avoided ones last. */
  uint32_t lc_upstreams_best (const LcUpstreams *up, int64_t now_us, LcUpstream *out, uint32_t max);
  /* Rank of an address by score, from 0; UINT32_MAX when it is not listed. */
  uint32_t lc_upstreams_rank (const LcUpstreams *up, uint32_t ipv4, uint16_t port);
  /* Rendezvous score of an upstream for a process's name. */
  uint64_t lc_upstream_score (const char *name, uint32_t ipv4, uint16_t port);

#ifdef __cplusplus
}
#endif

#endif /* LC_UPSTREAMS_H */
