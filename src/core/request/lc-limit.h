/* lc-limit: limits of requests in flight at one balancer, per service and per caller.
 *
 * WHAT IT IS
 *   Requests beyond the limit of their caller (by IP address) or service are refused at once, so
 *   that neither one caller nor a request storm at one service exhausts the balancer's memory or
 *   the queues of the others.
 *
 * HOW TO USE IT
 *     lc_limit_init (&limit, &(LcLimitDesc){ .per_caller = 64, .per_service = 512 });
 *     r = lc_limit_acquire (&limit, caller);      LC_LIMIT_OK: must be followed by a leave
 *     lc_limit_release (&limit, caller);
 *
 * LIFETIME
 *   One value per service; callers with nothing in flight take no memory.
 */
#ifndef LC_LIMIT_H
#define LC_LIMIT_H

#include "core/lc-types.h"

#include <glib.h>

#ifdef __cplusplus
extern "C"
{
#endif

  typedef enum
  {
    LC_LIMIT_OK = 0,
    LC_LIMIT_CALLER = 1,
    LC_LIMIT_SERVICE = 2,
  } LcLimitResult;

  typedef struct
  {
    uint32_t per_caller;  /* 0: 64 */
    uint32_t per_service; /* 0: 1024 */
  } LcLimitDesc;

  typedef struct
  {
    LcLimitDesc desc;
    GHashTable *callers; /* caller -> number in flight */
    uint32_t in_flight;
  } LcLimit;

  void lc_limit_init (LcLimit *limit, const LcLimitDesc *desc);
  void lc_limit_finish (LcLimit *limit);
  /* Changes the limits; requests in flight stay counted. */
  void lc_limit_set_limits (LcLimit *limit, const LcLimitDesc *desc);
  LcLimitResult lc_limit_acquire (LcLimit *limit, uint32_t caller);
  void lc_limit_release (LcLimit *limit, uint32_t caller);

#ifdef __cplusplus
}
#endif

#endif /* LC_LIMIT_H */
