#include "lc-backend-status.h"

#include <string.h>
#include <xxhash.h>

enum
{
  LC_BACKEND_INTERVAL_MS = 1200,
  LC_BACKEND_SILENT_PERMILLE = 2500, /* of the interval: one report may be lost, the next be late */
};

/* === private: identities ==================================================================== */

static bool
lc_backend_status__is_earlier (const LcBackendStatus *s, const char *id)
{
  for (int i = 0; i < LC_BACKEND_EARLIER_MAX; i++)
    if (s->earlier[i][0] != '\0' && strcmp (s->earlier[i], id) == 0)
      return true;
  return false;
}

static void
lc_backend_status__retire (LcBackendStatus *s)
{
  if (s->newest.state == LC_BACKEND_UNKNOWN)
    return;
  memmove (s->earlier[1], s->earlier[0], sizeof s->earlier - sizeof s->earlier[0]);
  memcpy (s->earlier[0], s->newest.id, sizeof s->earlier[0]);
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
lc_backend_status_init (LcBackendStatus *s, const LcBackendStatusDesc *desc)
{
  memset (s, 0, sizeof *s);
  s->desc = *desc;
  if (s->desc.interval_ms == 0)
    s->desc.interval_ms = LC_BACKEND_INTERVAL_MS;
}

LcBackendNews
lc_backend_status_take (LcBackendStatus *s, const LcBackendReport *report, int64_t now_us)
{
  LcBackendState before = s->newest.state;
  bool is_known = before != LC_BACKEND_UNKNOWN && strcmp (s->newest.id, report->id) == 0;

  if (!is_known &&
      (lc_backend_status__is_earlier (s, report->id) || report->state == LC_BACKEND_ENDED))
    return LC_BACKEND_LATE;
  if (!is_known)
    {
      lc_backend_status__retire (s);
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

LcInstance
lc_backend_status_instance (const LcBackendStatus *s)
{
  if (s->newest.state == LC_BACKEND_UNKNOWN)
    return 0;
  return XXH3_64bits (s->newest.id, strlen (s->newest.id)) | 1U;
}
