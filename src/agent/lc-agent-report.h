/* lc-agent-report: HTTP endpoint for the state reports of this agent's backend server.
 *
 * WHAT IT IS
 *   Listens for reports, keeps the newest one (lc-backend-status) and calls back when it changes
 *   something.  A report is applied before it is answered: once "draining" is answered, this agent
 *   refuses new flows, whatever balancers send it.
 *
 * HOW TO USE IT
 *     desc = (LcAgentReportDesc){ &app, &settings, me, on_update };
 *     lc_agent_report_init (&report, &desc, &error);
 *     lc_backend_status_is_available (&report.status, now_us)
 *     lc_agent_report_finish (&report);
 *
 * THREADS
 *   Call it on app->loop's thread only.
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
  void (*on_update) (void *user, LcBackendUpdate update, const LcBackendReport *report);
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
  LcMetric *held_total;
  LcLogLimit log_limit;
} LcAgentReport;

/* Accepts a start that was held as long as another one reported; calls back if so.  Call it several
 * times a second. */
void lc_agent_report_tick (LcAgentReport *report);
/* Does not listen if report_port is 0. */
int lc_agent_report_init (LcAgentReport *report, const LcAgentReportDesc *desc, LcError *error);
void lc_agent_report_finish (LcAgentReport *report);

#endif /* LC_AGENT_REPORT_H */
