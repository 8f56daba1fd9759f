/* lc-agent-report: where the backend server beside this agent reports itself.
 *
 * WHAT IT IS
 *   A listener for the reports, the newest word of the backend server, and a call back for what it
 *   changed.  Each report is answered at once: from the answer to "draining" on, this agent itself
 *   refuses new flows, whatever balancers send it.
 *
 * HOW TO USE IT
 *     LcAgentReportDesc desc = { .app = &app, .settings = &settings, .user = me, .news = on_news };
 *     lc_agent_report_init (&report, &desc, &error);
 *     lc_backend_status_is_available (&report.status, now_us)
 *     lc_agent_report_finish (&report);
 *
 * THREADS
 *   Called on app->loop's thread.
 */
#ifndef LC_AGENT_REPORT_H
#define LC_AGENT_REPORT_H

#include "lc-agent-settings.h"

#include "core/member/lc-backend-status.h"
#include "io/lc-app.h"

typedef struct
{
  LcApp *app;
  const LcAgentSettings *settings;
  void *user;
  /* LC_BACKEND_STARTED or LC_BACKEND_CHANGED; called before the report is answered. */
  void (*news) (void *user, LcBackendUpdate news, const LcBackendReport *report);
} LcAgentReportDesc;

typedef struct
{
  LcAgentReportDesc desc;
  LcBackendStatus status;
  LcHttp http;
  bool is_listening;
  LcMetric *reports_total;
  LcMetric *late_total;
  LcMetric *refused_total;
  LcLogLimit log_limit;
} LcAgentReport;

/* Without a report port it does nothing. */
int lc_agent_report_init (LcAgentReport *report, const LcAgentReportDesc *desc, LcError *error);
void lc_agent_report_finish (LcAgentReport *report);

#endif /* LC_AGENT_REPORT_H */
