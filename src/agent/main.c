#include "lc-agent-flow.h"
#include "lc-agent-report.h"
#include "lc-agent-request.h"

#include "io/lc-clock.h"

#include <glib.h>

typedef struct
{
  LcApp app;
  LcAgentSettings settings;
  LcMember member;
  LcAgentFlow flow;
  LcAgentRequest request;
  LcAgentReport report;
  LcLinkServer peers;
  LcHttp admin;
  LcTimer registered_timer;
  uint64_t started_ms; /* Unix time of this process's start */
  int64_t stop_at_us;  /* when a planned stop ends, if the backend server reports */
} LcAgentProgram;

enum
{
  LC_AGENT_REGISTERED_MS = 200,
  LC_AGENT_STOP_MS = 150, /* for peers to receive its new state: two of their ticks */
};

/* Whether the backend server reports; the view then lists its instance, not this process's. */
static bool
lc_agent__has_reports (const LcAgentProgram *p)
{
  return p->settings.report_port != 0;
}

/* === frames and links ======================================================================= */

static void
lc_agent__on_frame (void *user, LcLink *link, const LcFrame *frame)
{
  LcAgentProgram *p = user;

  if (frame->type >= LC_FRAME_REQUEST_FIRST && p->settings.has_requests)
    lc_agent_request_handle_frame (&p->request, link, frame);
  else if (frame->type >= LC_FRAME_FLOW_FIRST)
    lc_agent_flow_handle_frame (&p->flow, link, frame);
  else if (frame->type < LC_FRAME_CONTROL_FIRST)
    lc_member_handle_frame (&p->member, link, frame);
  else
    lc_link_close (link, "frame type is not served here");
}

static void
lc_agent__on_down (void *user, LcLink *link, const char *why)
{
  LcAgentProgram *p = user;

  LC_DEBUG ("peer.down", "why", LC_STR (why));
  lc_member_handle_link_down (&p->member, link);
  lc_agent_flow_handle_link_down (&p->flow, link);
  if (p->settings.has_requests)
    lc_agent_request_handle_link_down (&p->request, link);
}

/* Sends the revision that both planes are registered at; control settles former sets by it. */
static void
lc_agent__report_registered (LcAgentProgram *p)
{
  LcRevision flow = lc_agent_flow_registered_revision (&p->flow);
  LcRevision request =
      p->settings.has_requests ? lc_agent_request_synced_revision (&p->request) : flow;

  lc_member_set_registered (&p->member, MIN (flow, request));
}

/* Whether the view lists this endpoint, and not as leaving or lost. */
static bool
lc_agent__is_candidate (const LcAgentProgram *p)
{
  const LcEndpoint *e = lc_member_endpoint (&p->member);

  return e != NULL && lc_endpoint_is_candidate (e);
}

static bool
lc_agent__is_listed_leaving (const LcAgentProgram *p)
{
  const LcEndpoint *e = lc_member_endpoint (&p->member);

  return e != NULL && e->state == LC_ENDPOINT_DRAINING;
}

static LcFlowBackendState
lc_agent__backend_state (const LcAgentProgram *p, int64_t now_us)
{
  if (p->stop_at_us != 0)
    return LC_FLOW_BACKEND_UNAVAILABLE;
  if (lc_backend_status_is_available (&p->report.status, now_us))
    return LC_FLOW_BACKEND_OPEN;
  if (lc_backend_status_may_try (&p->report.status, lc_agent__is_candidate (p), now_us))
    return LC_FLOW_BACKEND_UNCONFIRMED;
  return LC_FLOW_BACKEND_UNAVAILABLE;
}

static void
lc_agent__update_backend (LcAgentProgram *p)
{
  int64_t now_us = lc_clock_now_us ();

  if (!lc_agent__has_reports (p))
    return;
  lc_agent_flow_set_cold (&p->flow, lc_backend_status_is_cold (&p->report.status, now_us));
  lc_agent_flow_set_backend_state (&p->flow, lc_agent__backend_state (p, now_us));
}

static void
lc_agent__on_registered_timer (void *user)
{
  LcAgentProgram *p = user;

  lc_agent__report_registered (p);
  lc_agent_report_tick (&p->report);
  lc_agent__update_backend (p);
  lc_timer_start (&p->registered_timer, LC_AGENT_REGISTERED_MS);
}

/* === the backend server's reports =========================================================== */

/* Applies a report before it is answered: a leaving backend server gets no new flow. */
static void
lc_agent__on_backend_update (void *user, LcBackendUpdate update, const LcBackendReport *report)
{
  LcAgentProgram *p = user;

  LcInstance instance = lc_backend_status_instance (&p->report.status);
  LcBackendReport first = *report;

  if (update == LC_BACKEND_STARTED)
    {
      first.sequence = p->report.status.first_sequence;
      lc_member_announce (&p->member, instance, (uint8_t)MIN (report->slots, (uint32_t)UINT8_MAX));
      lc_agent_flow_backend_started (&p->flow, instance,
                                     lc_backend_report_is_new_start (&first, p->started_ms));
    }
  if (report->state != LC_BACKEND_READY)
    {
      lc_agent_flow_backend_leaving (&p->flow);
      lc_member_leave (&p->member);
    }
  lc_agent__update_backend (p);
}

static void
lc_agent__on_view (void *user, const LcView *view, const LcViewOp *ops, size_t n_ops, bool is_reset)
{
  LcAgentProgram *p = user;

  if (lc_agent__has_reports (p) && lc_member_adopt_instance (&p->member))
    lc_backend_status_set_listed (&p->report.status, lc_member_instance (&p->member),
                                  lc_agent__is_listed_leaving (p));
  lc_agent__update_backend (p);
  lc_agent_flow_set_view (&p->flow, view, ops, n_ops, is_reset);
  if (p->settings.has_requests)
    lc_agent_request_set_view (&p->request, view, ops, n_ops, is_reset);
  lc_agent__report_registered (p);
}

/* === planned stop =========================================================================== */

/* The backend server holds the flows: if only this process stops, the next one finds them there.
 * The endpoint leaves only if the backend server has ended. */
static void
lc_agent__begin_process_stop (LcAgentProgram *p)
{
  LcBackendState state = p->report.status.newest.state;

  p->stop_at_us = lc_clock_now_us () + LC_AGENT_STOP_MS * LC_US_PER_MS;
  if (state == LC_BACKEND_READY || state == LC_BACKEND_DRAINING)
    lc_member_keep_registration (&p->member);
  lc_agent__update_backend (p);
}

static void
lc_agent__on_drain (void *user)
{
  LcAgentProgram *p = user;

  if (lc_agent__has_reports (p))
    {
      lc_agent__begin_process_stop (p);
      return;
    }
  lc_member_leave (&p->member);
  lc_agent_flow_drain (&p->flow);
  if (p->settings.has_requests)
    lc_agent_request_drain (&p->request);
}

static bool
lc_agent__is_idle (void *user)
{
  LcAgentProgram *p = user;

  if (lc_agent__has_reports (p))
    return lc_clock_now_us () >= p->stop_at_us;
  return lc_member_has_left (&p->member) && lc_agent_flow_is_idle (&p->flow) &&
         (!p->settings.has_requests || lc_agent_request_is_idle (&p->request));
}

static bool
lc_agent__is_ready (void *user)
{
  LcAgentProgram *p = user;

  return !p->app.is_draining && lc_member_view (&p->member)->revision > 0;
}

/* Applies new addresses of balancers or control VMs. */
static void
lc_agent__on_reload (void *user, const void *settings)
{
  LcAgentProgram *p = user;
  LcAgentSettings fresh = *(const LcAgentSettings *)settings;

  lc_settings_set_ports (fresh.balancers, fresh.n_balancers, fresh.balancers_peer_port);
  lc_member_add_control (&p->member, fresh.balancers, fresh.n_balancers);
}

/* === start ================================================================================== */

static LcInstance
lc_agent__new_instance (void)
{
  return ((uint64_t)g_random_int () << 32) | g_random_int () | 1U;
}

static int
lc_agent__join_run (LcAgentProgram *p, LcInstance instance, LcError *error)
{
  LcMemberDesc desc = { .app = &p->app,
                        .kind = LC_MEMBER_AGENT,
                        .data_centre = p->settings.data_centre,
                        .service = p->settings.service,
                        .upstreams = p->settings.balancers,
                        .n_upstreams = p->settings.n_balancers,
                        .ramp_ms = p->settings.ramp_ms,
                        .starts_unregistered = lc_agent__has_reports (p),
                        .reconnect_max_ms = p->settings.reconnect_max_ms,
                        .connect_timeout_ms = p->settings.connect_timeout_ms,
                        .user = p,
                        .changed = lc_agent__on_view };

  desc.endpoint.instance = lc_agent__has_reports (p) ? 0 : instance;
  desc.endpoint.state = LC_ENDPOINT_JOINING;
  desc.endpoint.slots = (uint8_t)p->settings.slots;
  desc.endpoint.weight_percent = (uint16_t)p->settings.weight_percent;
  desc.endpoint.ipv4 = p->settings.ipv4;
  desc.endpoint.peer_port = p->settings.peer_port;
  desc.endpoint.flow_port = p->settings.flow_port;
  desc.endpoint.connection_limit = p->settings.connection_limit;
  (void)g_strlcpy (desc.endpoint.name, p->settings.name, sizeof desc.endpoint.name);
  return lc_member_init (&p->member, &desc, error);
}

static int
lc_agent__start_planes (LcAgentProgram *p, LcInstance instance, LcError *error)
{
  LcAgentFlowDesc flow = { &p->app, &p->settings, &p->member };
  LcAgentReportDesc report = { &p->app, &p->settings, p, lc_agent__on_backend_update };
  LcAgentRequestDesc request = { &p->app, &p->settings, &p->member, instance };
  int r = lc_agent_flow_init (&p->flow, &flow, error);

  if (r == 0 && p->settings.has_requests)
    r = lc_agent_request_init (&p->request, &request, error);
  return r < 0 ? r : lc_agent_report_init (&p->report, &report, error);
}

static int
lc_agent__start (LcAgentProgram *p, LcError *error)
{
  LcInstance instance = lc_agent__new_instance ();
  LcHttpDesc admin = { .loop = p->app.loop,
                       .ipv4 = p->settings.ipv4,
                       .port = p->settings.admin_port,
                       .metrics = &p->app.metrics,
                       .burn = &p->app.burn,
                       .is_ready = lc_agent__is_ready,
                       .user = p };
  LcLinkServerDesc peers = { .loop = p->app.loop,
                             .ipv4 = p->settings.ipv4,
                             .port = p->settings.peer_port,
                             .handler = { p, lc_agent__on_frame, NULL, lc_agent__on_down } };
  int r = lc_http_init (&p->admin, &admin, error);

  lc_burn_identify (&p->app.burn, instance, p->settings.name, p->settings.data_centre,
                    p->settings.weight_percent);
  if (r == 0)
    r = lc_agent__start_planes (p, instance, error);
  if (r == 0)
    r = lc_link_server_init (&p->peers, &peers, error);
  return r < 0 ? r : lc_agent__join_run (p, instance, error);
}

int
main (int argc, char **argv)
{
  static LcAgentProgram p;
  LcAppDesc desc = { .program = "lychee-agent",
                     .schema = &LC_AGENT_SCHEMA,
                     .settings = &p.settings,
                     .reload = lc_agent__on_reload };
  LcError error = { 0 };
  int r = lc_app_init (&p.app, &desc, argc, argv);

  if (r != LC_APP_RUN)
    return lc_app_exit_code (r);
  lc_log_init (p.app.log_level, "lychee-agent", p.settings.name);
  lc_settings_set_ports (p.settings.balancers, p.settings.n_balancers,
                         p.settings.balancers_peer_port);
  p.started_ms = (uint64_t)(lc_clock_wall_us () / LC_US_PER_MS);
  r = lc_agent__start (&p, &error);
  if (r < 0)
    {
      lc_error_print (stderr, &error);
      return 1;
    }
  lc_timer_init (&p.registered_timer, p.app.loop, lc_agent__on_registered_timer, &p);
  lc_timer_start (&p.registered_timer, LC_AGENT_REGISTERED_MS);
  LC_INFO ("app.started", "address_port", LC_U64 (p.settings.peer_port));
  r = lc_app_run (&p.app, &p, p.settings.drain_limit_ms, lc_agent__on_drain, lc_agent__is_idle);
  lc_timer_finish (&p.registered_timer);
  lc_link_server_finish (&p.peers);
  lc_agent_report_finish (&p.report);
  if (p.settings.has_requests)
    lc_agent_request_finish (&p.request);
  lc_agent_flow_finish (&p.flow);
  lc_member_finish (&p.member);
  lc_http_finish (&p.admin);
  lc_app_finish (&p.app);
  return r < 0 ? 1 : 0;
}
