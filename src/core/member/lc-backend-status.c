#include "lc-backend-status.h"

#include <string.h>
#include <xxhash.h>

enum
{
  LC_BACKEND_FIRST_REPORT = 1,  /* sequence of the first report of a start */
  LC_BACKEND_TOGETHER_MS = 150, /* shorter than an agent takes to start and get a view */
};

enum
{
  LC_BACKEND_INTERVAL_MS = 1200,
  LC_BACKEND_SILENT_PERMILLE = 2500, /* of the interval: one lost report and one late one */
  LC_BACKEND_ASK_PERMILLE = 1250,    /* of the interval: the first report is due before */
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

typedef enum
{
  LC_BACKEND_ORDER_SAME,    /* of the present start */
  LC_BACKEND_ORDER_EARLIER, /* of an earlier one, or can't be attributed */
  LC_BACKEND_ORDER_LATER,
} LcBackendOrder;

static bool
lc_backend_status__is_silent (const LcBackendStatus *s, int64_t now_us)
{
  int64_t silent_us = (int64_t)s->desc.interval_ms * LC_BACKEND_SILENT_PERMILLE;

  return now_us - s->reported_us > silent_us;
}

/* Orders a report without a time when the present start has one.  Only the end of a draining start
 * is accepted; any other can't be attributed to a start. */
static LcBackendOrder
lc_backend_status__order_untimed (const LcBackendStatus *s, const LcBackendReport *report)
{
  bool is_end = report->state == LC_BACKEND_ENDED && s->newest.state == LC_BACKEND_DRAINING;

  return is_end ? LC_BACKEND_ORDER_SAME : LC_BACKEND_ORDER_EARLIER;
}

/* Orders a report's start against the present one.  Start times are never compared with the local
 * clock, as the backend server's may step.  Under another id they decide only while the present
 * start reports: after a step back, a new backend server is ignored for one silence, not forever.
 * */
static LcBackendOrder
lc_backend_status__order (const LcBackendStatus *s, const LcBackendReport *report, int64_t now_us)
{
  bool is_same_id = s->newest.state != LC_BACKEND_UNKNOWN && strcmp (s->newest.id, report->id) == 0;
  bool have_both = s->newest.born_ms != 0 && report->born_ms != 0;

  if (is_same_id && s->newest.born_ms == report->born_ms)
    return LC_BACKEND_ORDER_SAME;
  if (is_same_id && report->born_ms == 0)
    return lc_backend_status__order_untimed (s, report);
  if (have_both && report->born_ms < s->newest.born_ms &&
      (is_same_id || !lc_backend_status__is_silent (s, now_us)))
    return LC_BACKEND_ORDER_EARLIER;
  /* A later time under the same id is a later start, even of one that the view listed before. */
  if (is_same_id && have_both)
    return LC_BACKEND_ORDER_LATER;
  if (!lc_backend_status__is_earlier (s, lc_backend_status__instance_of (report)))
    return LC_BACKEND_ORDER_LATER;
  /* An "earlier" start with a later time was displaced by a delayed report while it was silent
   * itself; it is accepted again once the start that displaced it is silent. */
  return have_both && report->born_ms > s->newest.born_ms &&
                 lc_backend_status__is_silent (s, now_us)
             ? LC_BACKEND_ORDER_LATER
             : LC_BACKEND_ORDER_EARLIER;
}

static void
lc_backend_status__store (LcBackendStatus *s, const LcBackendReport *report, int64_t now_us)
{
  s->newest = *report;
  s->reported_us = now_us;
  s->warm_at_us = now_us + (int64_t)report->cold_ms * LC_US_PER_MS;
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
lc_backend_status_set_listed (LcBackendStatus *s, LcInstance instance)
{
  if (s->newest.state == LC_BACKEND_UNKNOWN)
    s->listed = instance;
}

LcBackendUpdate
lc_backend_status_apply (LcBackendStatus *s, const LcBackendReport *report, int64_t now_us)
{
  LcBackendState before = s->newest.state;
  LcBackendReport taken = *report;

  switch (lc_backend_status__order (s, report, now_us))
    {
    case LC_BACKEND_ORDER_EARLIER:
      return LC_BACKEND_STALE;
    case LC_BACKEND_ORDER_LATER:
      if (report->state == LC_BACKEND_ENDED)
        return LC_BACKEND_STALE;
      lc_backend_status__retire (s, lc_backend_status__instance_of (report));
      lc_backend_status__store (s, report, now_us);
      return LC_BACKEND_STARTED;
    case LC_BACKEND_ORDER_SAME:
    default:
      break;
    }
  /* The state never goes back, in whatever order the reports come. */
  if (report->state < before ||
      (report->state != LC_BACKEND_ENDED && report->sequence <= s->newest.sequence))
    return LC_BACKEND_STALE;
  taken.born_ms = s->newest.born_ms; /* the report of an end may lack it */
  lc_backend_status__store (s, &taken, now_us);
  return report->state != before ? LC_BACKEND_CHANGED : LC_BACKEND_UNCHANGED;
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
  return s->newest.state == LC_BACKEND_UNKNOWN || now_us < s->warm_at_us;
}

LcInstance
lc_backend_status_instance (const LcBackendStatus *s)
{
  if (s->newest.state == LC_BACKEND_UNKNOWN)
    return 0;
  return lc_backend_status__instance_of (&s->newest);
}
