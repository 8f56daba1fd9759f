/* lc-flap: flap damping of members, as BGP damps routes.
 *
 * WHAT IT IS
 *   Each return after a loss adds a penalty that decays by half every half_life_ms.  Above
 *   suppress_at the member's return is not reported until the penalty has fallen below reuse_at, so
 *   a member that dies every few seconds changes the view only a few times.
 *
 * HOW TO USE IT
 *     lc_flap_init (&flap, &desc);
 *     lc_flap_record_return (&flap, "order-3", now_us);        it came back
 *     if (lc_flap_is_suppressed (&flap, "order-3", now_us))    don't report it yet
 *     lc_flap_expire (&flap, now_us);                          periodically
 *     lc_flap_finish (&flap);
 *
 * LIFETIME
 *   Owns one record per name until its penalty has decayed.
 */
#ifndef LC_FLAP_H
#define LC_FLAP_H

#include "core/lc-types.h"

#include <glib.h>

#ifdef __cplusplus
extern "C"
{
#endif

  typedef struct
  {
    uint32_t half_life_ms; /* 0: 15 000 */
    uint32_t suppress_at;  /* penalty, 1000 per return; 0: 3500 */
    uint32_t reuse_at;     /* 0: 1500 */
    uint32_t max_penalty;  /* bounds the time of suppression; 0: 8000 */
  } LcFlapDesc;

  typedef struct
  {
    LcFlapDesc desc;
    GHashTable *records; /* name -> LcFlapRecord */
    uint64_t suppressed_total;
  } LcFlap;

  void lc_flap_init (LcFlap *flap, const LcFlapDesc *desc);
  void lc_flap_finish (LcFlap *flap);
  void lc_flap_record_return (LcFlap *flap, const char *name, int64_t now_us);
  bool lc_flap_is_suppressed (LcFlap *flap, const char *name, int64_t now_us);
  void lc_flap_expire (LcFlap *flap, int64_t now_us);

#ifdef __cplusplus
}
#endif

#endif /* LC_FLAP_H */
