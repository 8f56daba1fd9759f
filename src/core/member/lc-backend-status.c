#include "lc-backend-status.h"

#include <string.h>
#include <xxhash.h>

enum
{
  LC_BACKEND_INTERVAL_MS = 1200,
  LC_BACKEND_SILENT_PERMILLE = 2500, /* of the interval: one report may be lost, the next be late */
  LC_BACKEND_ASK_PERMILLE = 1250,    /* of the interval: the first report has come by then */
};

/* === private: identities ==================================================================== */

static LcInstance
lc_backend_status__instance_of (const char *id)
{
  return XXH3_64bits (id, strlen (id)) | 1U;
}

static bool
lc_backend_status__is_earlier (const LcBackendStatus *s, LcInstance instance)
{
  for (int i = 0; i < LC_BACKEND_EARLIER_MAX; i++)
    if (s->earlier[i] == instance)
      return true;
  return false;
}

/* What was known before, by its own word or by the view's, is over. */
static void
lc_backend_status__retire (LcBackendStatus *s, LcInstance successor)
{
  LcInstance known =
      s->newest.state != LC_BACKEND_UNKNOWN ? lc_backend_status_instance (s) : s->named;

  if (known == 0 || known == successor)
    return;
  memmove (&s->earlier[1], &s->earlier[0], sizeof s->earlier - sizeof s->earlier[0]);
  s->earlier[0] = known;
}

static void
lc_backend_status__note (LcBackendStatus *s, const LcBackendReport *report, int64_t now_us)
{
  s->newest = *report;
  s->heard_us = now_us;
  s->warm_at_us = now_us + (int64_t)report->cold_ms * LC_US_PER_MS;
}

/* === public ================================================================================= */

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
lc_backend_status_note_named (LcBackendStatus *s, LcInstance instance)
{
  if (s->newest.state == LC_BACKEND_UNKNOWN)
    s->named = instance;
}

LcBackendNews
lc_backend_status_take (LcBackendStatus *s, const LcBackendReport *report, int64_t now_us)
{
  LcBackendState before = s->newest.state;
  LcInstance instance = lc_backend_status__instance_of (report->id);
  bool is_known = before != LC_BACKEND_UNKNOWN && strcmp (s->newest.id, report->id) == 0;

  if (!is_known &&
      (lc_backend_status__is_earlier (s, instance) || report->state == LC_BACKEND_ENDED))
    return LC_BACKEND_LATE;
  if (!is_known)
    {
      lc_backend_status__retire (s, instance);
      lc_backend_status__note (s, report, now_us);
      return LC_BACKEND_STARTED;
    }
  /* What was said of leaving is never taken back, whatever order the reports come in. */
  if (report->state < before ||
      (report->state != LC_BACKEND_ENDED && report->sequence <= s->newest.sequence))
    return LC_BACKEND_LATE;
  lc_backend_status__note (s, report, now_us);
  return report->state != before ? LC_BACKEND_CHANGED : LC_BACKEND_SAME;
}

bool
lc_backend_status_is_open (const LcBackendStatus *s, int64_t now_us)
{
  int64_t silent_us = (int64_t)s->desc.interval_ms * LC_BACKEND_SILENT_PERMILLE;

  return s->newest.state == LC_BACKEND_READY && now_us - s->heard_us <= silent_us;
}

bool
lc_backend_status_may_ask (const LcBackendStatus *s, bool is_candidate, int64_t now_us)
{
  int64_t ask_us = (int64_t)s->desc.interval_ms * LC_BACKEND_ASK_PERMILLE;

  return s->newest.state == LC_BACKEND_UNKNOWN && is_candidate && now_us - s->started_us <= ask_us;
}

LcInstance
lc_backend_status_instance (const LcBackendStatus *s)
{
  if (s->newest.state == LC_BACKEND_UNKNOWN)
    return 0;
  return lc_backend_status__instance_of (s->newest.id);
}
