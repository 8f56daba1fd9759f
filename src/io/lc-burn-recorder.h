/* lc-burn-recorder: records outcomes of requests and flows of each service for SLO burn rates.
 *
 * WHAT IT IS
 *   The I/O side of core/burn: per service cumulative counters and a ring of samples of them, and
 *   the JSON that GET /v1/burn on the admin port returns.
 *
 * HOW TO USE IT
 *     lc_burn_recorder_init (&burn, loop);
 *     lc_burn_identify (&burn, instance, "lb-atl-1", "hall-atl", 0);
 *     lc_burn_add (&burn, "order-desk", LC_BURN_GOOD, 1);
 *     char *json = lc_burn_json (&burn);   free it with g_free
 *   Each LcApp owns one.
 *
 * THREADS
 *   lc_burn_add may be called from any thread, the rest on the loop's.
 *
 * LIMITS
 *   About 18 KiB a service; to bound memory, services after the first LC_BURN_MAX_SERVICES share
 *   one entry, "(other)".
 */
#ifndef LC_BURN_RECORDER_H
#define LC_BURN_RECORDER_H

#include "core/burn/lc-burn-ring.h"
#include "lc-timer.h"

#include <glib.h>

enum
{
  LC_BURN_MAX_SERVICES = 2000,
};

typedef struct
{
  GMutex lock;
  GHashTable *services; /* name -> LcBurnService */
  LcTimer timer;
  int64_t started_us;
  LcInstance instance;
  char process[LC_NAME_MAX];
  char data_centre[LC_NAME_MAX];
  uint32_t weight_percent; /* of an endpoint; 0: not one */
} LcBurnRecorder;

void lc_burn_recorder_init (LcBurnRecorder *burn, h2o_loop_t *loop);
void lc_burn_recorder_finish (LcBurnRecorder *burn);
void lc_burn_identify (LcBurnRecorder *burn,
                       LcInstance instance,
                       const char *process,
                       const char *data_centre,
                       uint32_t weight_percent);
void lc_burn_add (LcBurnRecorder *burn, const char *service, LcBurnCounter counter, uint64_t n);
/* {"instance", "process", "data_centre", "weight_percent", "uptime_us", "counters": [names],
 * "services": [{"name", "samples": [[uptime_us, count, ...], ...]}]}; the last sample is taken
 * by the call. */
char *lc_burn_json (LcBurnRecorder *burn);

#endif /* LC_BURN_RECORDER_H */
