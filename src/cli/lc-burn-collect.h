/* lc-burn-collect: fetches the burn history of each balancer and agent and merges them.
 *
 * WHAT IT IS
 *   Control's status lists the services with their objectives and the balancers and agents with
 *   their addresses; each of these serves GET /v1/burn on its admin port.  Up to
 *   LC_BURN_THREADS are queried at once.  Those that don't answer are listed, never estimated.
 *
 * HOW TO USE IT
 *     LcBurnCollect collector;
 *     lc_burn_collect_init (&collector);
 *     lc_burn_collect_site (&collector, status_json, 9100);
 *     ... collector.merge, collector.services, collector.now_us ...
 *     lc_burn_collect_finish (&collector);
 */
#ifndef LC_BURN_COLLECT_H
#define LC_BURN_COLLECT_H

#include "core/burn/lc-burn-report.h"
#include "core/lc-error.h"

#include <glib.h>
#include <jansson.h>

enum
{
  LC_BURN_THREADS = 16,
  LC_BURN_ASK_MS = 2000,
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
} LcBurnCollect;

void lc_burn_collect_init (LcBurnCollect *collector);
void lc_burn_collect_finish (LcBurnCollect *collector);
/* Queries all balancers and agents that control's status lists. */
void lc_burn_collect_site (LcBurnCollect *collector, const json_t *status, uint16_t admin_port);
/* Merges one process's answer, received at `at_us`; false if it is malformed. */
bool lc_burn_collect_answer (LcBurnCollect *collector, const json_t *answer, int64_t at_us);

/* A file of samples from earlier runs, so that counts outlive the processes that counted.
 * Loading a missing file is no error; saving drops samples older than three days. */
int lc_burn_history_load (LcBurnCollect *collector, const char *path, LcError *error);
int lc_burn_history_save (const LcBurnCollect *collector, const char *path, LcError *error);

#endif /* LC_BURN_COLLECT_H */
