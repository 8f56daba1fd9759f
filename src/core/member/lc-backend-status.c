#include "lc-backend-status.h"

#include <string.h>
#include <xxhash.h>

enum
{
  LC_BACKEND_FIRST_REPORT = 1,  /* sequence of the first report of a start */
  LC_BACKEND_TOGETHER_MS = 150, /* shorter than an agent takes to start and get a view */
  LC_BACKEND_CLAIM_REPORTS = 2, /* of a start that replaces one that was leaving */
};

enum
{
  LC_BACKEND_INTERVAL_MS = 1200,
  LC_BACKEND_SILENT_PERMILLE = 2500, /* of the interval: one lost report and one late one */
  LC_BACKEND_ASK_PERMILLE = 1250,    /* of the interval: the next report is due before */
  LC_BACKEND_SPACING_PERMILLE = 500, /* of the interval: between two reports that count as two */
};

/* === private: identities ==================================================================== */

/* Hash of a start's id and time; born_ms is 0 where no time is sent. */
static LcInstance
lc_backend_status__instance_of (const LcBackendReport *report)
{
  return XXH3_64bits_withSeed (report->id, strlen (report->id), report->born_ms) | 1U;
}

static bool
lc_backend_status__is_earlier (const LcBackendStatus *s, LcInstance instance)
{
  for (int i = 0; i < LC_BACKEND_EARLIER_MAX; i++)
    if (s->earlier[i] == instance)
      return true;
  return false;
}

/* Moves the present start, reported or listed by the view, to the earlier ones. */
static void
lc_backend_status__retire (LcBackendStatus *s, LcInstance successor)
{
  LcInstance known =
      s->newest.state != LC_BACKEND_UNKNOWN ? lc_backend_status_instance (s) : s->listed;

  if (known == 0 || known == successor)
    return;
  memmove (&s->earlier[1], &s->earlier[0], sizeof s->earlier - sizeof s->earlier[0]);
  s->earlier[0] = known;
}

/* Whether the present start has not reported for more than `permille` of the interval.  Before the
 * first report the time counts from the start of this agent. */
static bool
lc_backend_status__is_overdue (const LcBackendStatus *s, int64_t permille, int64_t now_us)
{
  int64_t heard_us = s->newest.state != LC_BACKEND_UNKNOWN ? s->reported_us : s->started_us;

  return now_us - heard_us > (int64_t)s->desc.interval_ms * permille;
}

static bool
lc_backend_status__is_silent (const LcBackendStatus *s, int64_t now_us)
{
  return lc_backend_status__is_overdue (s, LC_BACKEND_SILENT_PERMILLE, now_us);
}

/* === private: order of starts =============================================================== */

typedef enum
{
  LC_BACKEND_ORDER_SAME,     /* of the present start */
  LC_BACKEND_ORDER_EARLIER,  /* its time, or an earlier report, speaks against it */
  LC_BACKEND_ORDER_UNPROVEN, /* of another id, and nothing speaks against it */
  LC_BACKEND_ORDER_LATER,
} LcBackendOrder;

/* Orders a report under the present id.  Without a time, only the end of a draining start can be
 * attributed to it. */
static LcBackendOrder
lc_backend_status__order_same_id (const LcBackendStatus *s, const LcBackendReport *report)
{
  const LcBackendReport *newest = &s->newest;
  bool is_end = report->state == LC_BACKEND_ENDED && newest->state == LC_BACKEND_DRAINING;

  if (report->born_ms == newest->born_ms || (report->born_ms == 0 && is_end))
    return LC_BACKEND_ORDER_SAME;
  if (report->born_ms < newest->born_ms)
    return LC_BACKEND_ORDER_EARLIER;
  if (newest->born_ms != 0)
    return LC_BACKEND_ORDER_LATER; /* even if the view listed that start before */
  return lc_backend_status__is_earlier (s, lc_backend_status__instance_of (report))
             ? LC_BACKEND_ORDER_EARLIER
             : LC_BACKEND_ORDER_LATER;
}

/* Orders a report's start against the present one.  Start times are never compared with the local
 * clock, as the backend server's may step; a missing one counts as 0. */
static LcBackendOrder
lc_backend_status__order (const LcBackendStatus *s, const LcBackendReport *report)
{
  LcInstance instance = lc_backend_status__instance_of (report);

  if (s->newest.state == LC_BACKEND_UNKNOWN)
    return s->is_listed_leaving && instance != s->listed ? LC_BACKEND_ORDER_UNPROVEN
                                                         : LC_BACKEND_ORDER_LATER;
  if (strcmp (s->newest.id, report->id) == 0)
    return lc_backend_status__order_same_id (s, report);
  if (report->born_ms < s->newest.born_ms || lc_backend_status__is_earlier (s, instance))
    return LC_BACKEND_ORDER_EARLIER;
  return s->newest.state == LC_BACKEND_ENDED ? LC_BACKEND_ORDER_LATER : LC_BACKEND_ORDER_UNPROVEN;
}

/* === private: claims ======================================================================== */

static bool
lc_backend_status__is_claimant (const LcBackendClaim *claim, const LcBackendReport *report)
{
  return claim->n_reports > 0 && strcmp (claim->report.id, report->id) == 0 &&
         claim->report.born_ms == report->born_ms;
}

/* Whether the claimant reports regularly, so that a single report of yet another start does not
 * replace it. */
static bool
lc_backend_status__is_claim_steady (const LcBackendStatus *s, int64_t now_us)
{
  return s->claim.n_reports >= LC_BACKEND_CLAIM_REPORTS &&
         now_us - s->claim.reported_us <= (int64_t)s->desc.interval_ms * LC_BACKEND_ASK_PERMILLE;
}

/* Records a report of another start than the present one, which goes on for now. */
static void
lc_backend_status__record_claim (LcBackendStatus *s, const LcBackendReport *report, int64_t now_us)
{
  int64_t spacing_us = (int64_t)s->desc.interval_ms * LC_BACKEND_SPACING_PERMILLE;
  LcBackendClaim *claim = &s->claim;
  bool is_known = lc_backend_status__is_claimant (claim, report);

  if (is_known ? report->sequence <= claim->report.sequence
               : lc_backend_status__is_claim_steady (s, now_us))
    return;
  if (!is_known)
    *claim =
        (LcBackendClaim){ .first_sequence = report->sequence, .counted_us = now_us - spacing_us };
  claim->report = *report;
  claim->reported_us = now_us;
  if (now_us - claim->counted_us < spacing_us)
    return; /* reports that were delayed arrive together */
  claim->counted_us = now_us;
  claim->n_reports++;
}

/* Whether the claimed start is the present one: the known start does not report any more.  One that
 * was leaving may be quiet: then a single report, which may have been delayed, is not enough. */
static bool
lc_backend_status__is_claim_due (const LcBackendStatus *s, int64_t now_us)
{
  const LcBackendClaim *claim = &s->claim;
  bool is_repeated = claim->n_reports >= LC_BACKEND_CLAIM_REPORTS;
  bool is_earlier;

  if (claim->n_reports == 0)
    return false;
  if (s->newest.state != LC_BACKEND_READY)
    return is_repeated && lc_backend_status__is_silent (s, now_us);
  is_earlier = lc_backend_status__is_earlier (s, lc_backend_status__instance_of (&claim->report));
  if (claim->report.born_ms < s->newest.born_ms || (is_earlier && !is_repeated))
    return lc_backend_status__is_silent (s, now_us);
  return lc_backend_status__is_overdue (s, LC_BACKEND_ASK_PERMILLE, now_us);
}

static void
lc_backend_status__store (LcBackendStatus *s, const LcBackendReport *report, int64_t reported_us)
{
  s->newest = *report;
  s->reported_us = reported_us;
  s->warm_at_us = reported_us + (int64_t)report->cold_ms * LC_US_PER_MS;
  s->claim.n_reports = 0;
}

static void
lc_backend_status__start (LcBackendStatus *s,
                          const LcBackendReport *report,
                          uint64_t first_sequence,
                          int64_t reported_us)
{
  lc_backend_status__retire (s, lc_backend_status__instance_of (report));
  lc_backend_status__store (s, report, reported_us);
  s->first_sequence = first_sequence;
}

static LcBackendUpdate
lc_backend_status__claim (LcBackendStatus *s,
                          const LcBackendReport *report,
                          LcBackendOrder order,
                          int64_t now_us)
{
  if (report->state == LC_BACKEND_ENDED)
    {
      if (lc_backend_status__is_claimant (&s->claim, report))
        s->claim.n_reports = 0;
      return LC_BACKEND_STALE;
    }
  lc_backend_status__record_claim (s, report, now_us);
  if (lc_backend_status_accept_claim (s, now_us))
    return LC_BACKEND_STARTED;
  return order == LC_BACKEND_ORDER_EARLIER ? LC_BACKEND_STALE : LC_BACKEND_HELD;
}

static LcBackendUpdate
lc_backend_status__update (LcBackendStatus *s, const LcBackendReport *report, int64_t now_us)
{
  LcBackendState before = s->newest.state;
  LcBackendReport taken = *report;

  /* The state never goes back, in whatever order the reports come. */
  if (report->state < before ||
      (report->state != LC_BACKEND_ENDED && report->sequence <= s->newest.sequence))
    return LC_BACKEND_STALE;
  taken.born_ms = s->newest.born_ms; /* the report of an end may lack it */
  lc_backend_status__store (s, &taken, now_us);
  return report->state != before ? LC_BACKEND_CHANGED : LC_BACKEND_UNCHANGED;
}

/* === public ================================================================================= */

bool
lc_backend_report_is_new_start (const LcBackendReport *report, uint64_t began_ms)
{
  if (report->sequence <= LC_BACKEND_FIRST_REPORT)
    return true;
  return report->sequence == LC_BACKEND_FIRST_REPORT + 1 && report->born_ms != 0 &&
         began_ms >= report->born_ms && began_ms - report->born_ms <= LC_BACKEND_TOGETHER_MS;
}

void
lc_backend_status_init (LcBackendStatus *s, const LcBackendStatusDesc *desc, int64_t now_us)
{
  memset (s, 0, sizeof *s);
  s->desc = *desc;
  s->started_us = now_us;
  if (s->desc.interval_ms == 0)
    s->desc.interval_ms = LC_BACKEND_INTERVAL_MS;
}

void
lc_backend_status_set_listed (LcBackendStatus *s, LcInstance instance, bool is_leaving)
{
  if (s->newest.state != LC_BACKEND_UNKNOWN)
    return;
  s->listed = instance;
  s->is_listed_leaving = instance != 0 && is_leaving;
}

LcBackendUpdate
lc_backend_status_apply (LcBackendStatus *s, const LcBackendReport *report, int64_t now_us)
{
  LcBackendOrder order = lc_backend_status__order (s, report);

  switch (order)
    {
    case LC_BACKEND_ORDER_SAME:
      return lc_backend_status__update (s, report, now_us);
    case LC_BACKEND_ORDER_LATER:
      if (report->state == LC_BACKEND_ENDED)
        return LC_BACKEND_STALE;
      lc_backend_status__start (s, report, report->sequence, now_us);
      return LC_BACKEND_STARTED;
    case LC_BACKEND_ORDER_EARLIER:
    case LC_BACKEND_ORDER_UNPROVEN:
    default:
      return lc_backend_status__claim (s, report, order, now_us);
    }
}

bool
lc_backend_status_accept_claim (LcBackendStatus *s, int64_t now_us)
{
  LcBackendClaim claim = s->claim;

  if (!lc_backend_status__is_claim_due (s, now_us))
    return false;
  lc_backend_status__start (s, &claim.report, claim.first_sequence, claim.reported_us);
  return true;
}

bool
lc_backend_status_is_present (const LcBackendStatus *s, const LcBackendReport *report)
{
  return s->newest.state != LC_BACKEND_UNKNOWN &&
         lc_backend_status__order (s, report) == LC_BACKEND_ORDER_SAME;
}

bool
lc_backend_status_is_available (const LcBackendStatus *s, int64_t now_us)
{
  return s->newest.state == LC_BACKEND_READY && !lc_backend_status__is_silent (s, now_us);
}

bool
lc_backend_status_may_try (const LcBackendStatus *s, bool is_candidate, int64_t now_us)
{
  int64_t ask_us = (int64_t)s->desc.interval_ms * LC_BACKEND_ASK_PERMILLE;

  return s->newest.state == LC_BACKEND_UNKNOWN && is_candidate && now_us - s->started_us <= ask_us;
}

bool
lc_backend_status_is_cold (const LcBackendStatus *s, int64_t now_us)
{
  int64_t claim_warm_us = s->claim.reported_us + (int64_t)s->claim.report.cold_ms * LC_US_PER_MS;

  return s->newest.state == LC_BACKEND_UNKNOWN || now_us < s->warm_at_us ||
         (s->claim.n_reports > 0 && now_us < claim_warm_us);
}

LcInstance
lc_backend_status_instance (const LcBackendStatus *s)
{
  if (s->newest.state == LC_BACKEND_UNKNOWN)
    return 0;
  return lc_backend_status__instance_of (&s->newest);
}
