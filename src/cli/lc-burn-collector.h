/* lc-burn-collector: fetches the burn history of each balancer and agent and merges them.
 *
 * WHAT IT IS
 *   Control's status lists the services with their objectives and the balancers and agents with
 *   their addresses; each of these serves GET /v1/burn on its admin port.  Up to
 *   LC_BURN_THREADS_MAX are queried at once.  Those that don't answer are listed, never estimated.
 *
 * HOW TO USE IT
 *     LcBurnCollector collector;
 *     lc_burn_collector_init (&collector);
 *     lc_burn_collector_query_all (&collector, status_json, 9100);
 *     ... collector.merge, collector.services, collector.now_us ...
 *     lc_burn_collector_finish (&collector);
 */
#ifndef LC_BURN_COLLECTOR_H
#define LC_BURN_COLLECTOR_H

#include "core/burn/lc-burn-report.h"
#include "core/lc-error.h"

#include <glib.h>
#include <jansson.h>

enum
{
  LC_BURN_THREADS_MAX = 16,
  LC_BURN_QUERY_TIMEOUT_MS = 2000,
};

typedef struct
{
  char name[LC_NAME_MAX];
  LcBurnObjective objective; /* its service points to `name` */
} LcBurnServiceRow;

typedef struct
{
  LcBurnMerge *merge;
  GArray *services;        /* LcBurnServiceRow */
  GPtrArray *data_centres; /* char *, in control's order */
  GPtrArray *unanswered;   /* char *, "name at address" */
  uint32_t n_queried;
  uint32_t n_malformed; /* answers that are no burn history */
  int64_t now_us;       /* wall clock: histories outlive a reboot of the operator's machine */
} LcBurnCollector;

void lc_burn_collector_init (LcBurnCollector *collector);
void lc_burn_collector_finish (LcBurnCollector *collector);
/* Queries all balancers and agents that control's status lists. */
void
lc_burn_collector_query_all (LcBurnCollector *collector, const json_t *status, uint16_t admin_port);
/* Merges one process's answer, received at `at_us`; false if it is malformed. */
bool lc_burn_collector_add_answer (LcBurnCollector *collector, const json_t *answer, int64_t at_us);

/* A file of samples from earlier runs, so that counts outlive the processes that counted.
 * Loading a missing file is no error; saving drops samples older than three days. */
int lc_burn_history_load (LcBurnCollector *collector, const char *path, LcError *error);
int lc_burn_history_save (const LcBurnCollector *collector, const char *path, LcError *error);

#endif /* LC_BURN_COLLECTOR_H */
