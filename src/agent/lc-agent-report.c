#include "lc-agent-report.h"

#include "io/lc-clock.h"
#include "platform/lc-platform-report.h"

#include <string.h>

enum
{
  LC_AGENT_REPORT_LOGS_PER_S = 2,
  LC_AGENT_REPORT_BODY_MAX = 64 << 10,
};

/* === private ================================================================================ */

static const char *
lc_agent_report__state_name (LcBackendState state)
{
  static const char *const NAMES[] = { "unknown", "ready", "draining", "ended" };

  return NAMES[state];
}

static void
lc_agent_report__log (const LcBackendReport *r, LcBackendUpdate update)
{
  LC_INFO (update == LC_BACKEND_STARTED ? "backend.started" : "backend.changed", "backend",
           LC_STR (r->id), "state", LC_STR (lc_agent_report__state_name (r->state)), "sequence",
           LC_U64 (r->sequence), "born_ms", LC_U64 (r->born_ms), "slots", LC_U64 (r->slots),
           "cold_ms", LC_U64 (r->cold_ms));
}

/* Logs a report of another start than the present one, which has no effect for now. */
static void
lc_agent_report__log_held (LcAgentReport *self, const LcBackendReport *r)
{
  const LcBackendReport *present = &self->status.newest;

  if (lc_log_allow (&self->log_limit, lc_clock_now_us (), LC_AGENT_REPORT_LOGS_PER_S))
    LC_INFO ("backend.report-held", "backend", LC_STR (r->id), "state",
             LC_STR (lc_agent_report__state_name (r->state)), "sequence", LC_U64 (r->sequence),
             "born_ms", LC_U64 (r->born_ms), "present", LC_STR (present->id), "present_state",
             LC_STR (lc_agent_report__state_name (present->state)), "present_born_ms",
             LC_U64 (present->born_ms));
}

/* Applies a report; returns false if it is of another start than the present one, and so had no
 * effect. */
static bool
lc_agent_report__apply (LcAgentReport *self, const LcBackendReport *r)
{
  LcBackendUpdate update = lc_backend_status_apply (&self->status, r, lc_clock_now_us ());
  bool is_present = lc_backend_status_is_present (&self->status, r);

  lc_metric_add (self->reports_total, 1);
  switch (update)
    {
    case LC_BACKEND_UNCHANGED:
      break;
    case LC_BACKEND_STALE:
    case LC_BACKEND_HELD:
      lc_metric_add (is_present ? self->late_total : self->held_total, 1);
      if (!is_present)
        lc_agent_report__log_held (self, r);
      break;
    case LC_BACKEND_STARTED:
    case LC_BACKEND_CHANGED:
      lc_agent_report__log (r, update);
      self->desc.on_update (self->desc.user, update, r);
      break;
    }
  return is_present;
}

static void
lc_agent_report__refuse (LcAgentReport *self, h2o_req_t *req, const LcError *error)
{
  lc_metric_add (self->refused_total, 1);
  if (lc_log_allow (&self->log_limit, lc_clock_now_us (), LC_AGENT_REPORT_LOGS_PER_S))
    LC_WARN ("backend.report-refused", "message", LC_STR (error->message), "remedy",
             LC_STR (error->remedy));
  lc_http_answer_error (req, error);
}

/* Whether the report is of the backend server beside this agent. */
static int
lc_agent_report__check_origin (const LcAgentReport *self, const LcBackendReport *r, LcError *error)
{
  const LcAgentSettings *settings = self->desc.settings;

  if (strcmp (r->service, settings->service) != 0)
    return lc_error_set (error, LC_ERR_CONFLICT, "report to the agent of the same service",
                         "a backend server of %s reports to an agent of %s", r->service,
                         settings->service);
  if (settings->backend_feed.ipv4 != 0 && r->ipv4 != settings->backend_feed.ipv4)
    return lc_error_set (error, LC_ERR_CONFLICT, "report to the agent on the same VM",
                         "$.address is not the address of this agent's backend server");
  return 0;
}

static int
lc_agent_report__on_request (void *user, h2o_req_t *req)
{
  static const char ANSWER[] = "{}";
  LcAgentReport *self = user;
  LcPlatformCall call = { req->method.base,         req->method.len,  req->path_normalized.base,
                          req->path_normalized.len, req->entity.base, req->entity.len };
  LcBackendReport r;
  LcError error = { 0 };
  int result = lc_platform_report_read (&r, &call, &error);

  if (result == LC_ERR_NOT_FOUND)
    return -1;
  if (result == 0 && r.state != LC_BACKEND_ENDED)
    result = lc_agent_report__check_origin (self, &r, &error);
  if (result < 0)
    {
      lc_agent_report__refuse (self, req, &error);
      return 0;
    }
  /* An acknowledged leave is a promise; other reports without effect are acknowledged as late. */
  if (!lc_agent_report__apply (self, &r) && r.state == LC_BACKEND_DRAINING)
    {
      (void)lc_error_set (&error, LC_ERR_CONFLICT, "repeat the report until it is acknowledged",
                          "another start of the backend server is the present one until it falls "
                          "silent");
      lc_agent_report__refuse (self, req, &error);
      return 0;
    }
  lc_http_answer (req, 200, NULL, ANSWER, sizeof ANSWER - 1);
  return 0;
}

/* === public ================================================================================= */

int
lc_agent_report_init (LcAgentReport *self, const LcAgentReportDesc *desc, LcError *error)
{
  LcMetrics *m = &desc->app->metrics;
  LcBackendStatusDesc status = { .interval_ms = desc->settings->report_interval_ms };
  LcHttpDesc http = { .loop = desc->app->loop,
                      .ipv4 = desc->settings->ipv4,
                      .port = desc->settings->report_port,
                      .max_body_bytes = LC_AGENT_REPORT_BODY_MAX,
                      .user = self,
                      .request = lc_agent_report__on_request };
  int r;

  memset (self, 0, sizeof *self);
  self->desc = *desc;
  lc_backend_status_init (&self->status, &status, lc_clock_now_us ());
  if (desc->settings->report_port == 0)
    return 0;
  self->reports_total =
      lc_metrics_counter (m, "lychee_backend_reports_total", "Reports of the backend server", NULL);
  self->late_total = lc_metrics_counter (m, "lychee_backend_reports_late_total",
                                         "Reports older than what was known", NULL);
  self->held_total = lc_metrics_counter (m, "lychee_backend_reports_held_total",
                                         "Reports of another start than the present one", NULL);
  self->refused_total = lc_metrics_counter (m, "lychee_backend_reports_refused_total",
                                            "Reports that could not be read", NULL);
  r = lc_http_init (&self->http, &http, error);
  self->is_listening = r == 0;
  return r;
}

void
lc_agent_report_tick (LcAgentReport *self)
{
  LcBackendReport accepted;

  if (!lc_backend_status_accept_claim (&self->status, lc_clock_now_us ()))
    return;
  accepted = self->status.newest;
  lc_agent_report__log (&accepted, LC_BACKEND_STARTED);
  self->desc.on_update (self->desc.user, LC_BACKEND_STARTED, &accepted);
}

void
lc_agent_report_finish (LcAgentReport *self)
{
  if (self->is_listening)
    lc_http_finish (&self->http);
  self->is_listening = false;
}
