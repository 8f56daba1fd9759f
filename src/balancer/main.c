#include "lc-balancer-flow.h"
#include "lc-balancer-request.h"

#include "io/lc-clock.h"

#include <glib.h>

typedef struct
{
  LcApp app;
  LcBalancerSettings settings;
  LcMember member;
  LcBalancerFlow flow;
  LcBalancerRequest request;
  LcLinkServer peers;
  LcHttp admin;
} LcBalancerProgram;

static bool
lc_balancer__has_requests (const LcBalancerProgram *p)
{
  return p->settings.http_port != 0;
}

/* === frames and links ======================================================================= */

static void
lc_balancer__on_frame (void *user, LcLink *link, const LcFrame *frame)
{
  LcBalancerProgram *p = user;

  if (frame->type >= LC_FRAME_REQUEST_FIRST && lc_balancer__has_requests (p))
    lc_balancer_request_handle_frame (&p->request, link, frame);
  else if (frame->type >= LC_FRAME_FLOW_FIRST)
    lc_balancer_flow_handle_frame (&p->flow, link, frame);
  else if (frame->type < LC_FRAME_CONTROL_FIRST)
    lc_member_handle_frame (&p->member, link, frame);
  else
    lc_link_close (link, "frame type is not served here");
}

static void
lc_balancer__on_down (void *user, LcLink *link, const char *why)
{
  LcBalancerProgram *p = user;

  LC_DEBUG ("peer.down", "why", LC_STR (why));
  lc_member_handle_link_down (&p->member, link);
  lc_balancer_flow_handle_link_down (&p->flow, link);
  if (lc_balancer__has_requests (p))
    lc_balancer_request_handle_link_down (&p->request, link);
}

static void
lc_balancer__on_view (
    void *user, const LcView *view, const LcViewOp *ops, size_t n_ops, bool is_reset)
{
  LcBalancerProgram *p = user;

  lc_balancer_flow_handle_view (&p->flow, view, ops, n_ops, is_reset);
  if (lc_balancer__has_requests (p))
    lc_balancer_request_handle_view (&p->request, view, ops, n_ops, is_reset);
}

/* === planned stop =========================================================================== */

static void
lc_balancer__on_drain (void *user)
{
  LcBalancerProgram *p = user;

  lc_member_leave (&p->member);
  lc_balancer_flow_drain (&p->flow);
  if (lc_balancer__has_requests (p))
    lc_balancer_request_drain (&p->request);
}

static bool
lc_balancer__is_idle (void *user)
{
  LcBalancerProgram *p = user;

  return lc_member_has_left (&p->member) && lc_balancer_flow_is_idle (&p->flow) &&
         (!lc_balancer__has_requests (p) || lc_balancer_request_is_idle (&p->request));
}

static bool
lc_balancer__is_ready (void *user)
{
  LcBalancerProgram *p = user;

  return !p->app.is_draining && lc_member_view (&p->member)->revision > 0 &&
         lc_member_is_confirmed (&p->member) && !lc_balancer_flow_is_isolated (&p->flow);
}

/* The settings list other control VMs. */
static void
lc_balancer__on_reload (void *user, const void *settings)
{
  LcBalancerProgram *p = user;
  LcBalancerSettings fresh = *(const LcBalancerSettings *)settings;

  lc_settings_set_ports (fresh.control, fresh.n_control, fresh.control_peer_port);
  lc_member_add_control (&p->member, fresh.control, fresh.n_control);
}

/* === start ================================================================================== */

static LcInstance
lc_balancer__new_instance (void)
{
  return ((uint64_t)g_random_int () << 32) | g_random_int () | 1U;
}

static int
lc_balancer__join (LcBalancerProgram *p, LcInstance instance, LcError *error)
{
  LcMemberDesc desc = { .app = &p->app,
                        .kind = LC_MEMBER_BALANCER,
                        .data_centre = p->settings.data_centre,
                        .region = p->settings.region,
                        .upstreams = p->settings.control,
                        .n_upstreams = p->settings.n_control,
                        .lease_ms = p->settings.lease_ms,
                        .reconnect_max_ms = p->settings.reconnect_max_ms,
                        .connect_timeout_ms = p->settings.connect_timeout_ms,
                        .user = p,
                        .changed = lc_balancer__on_view };

  desc.balancer.instance = instance;
  desc.balancer.state = LC_BALANCER_ACTIVE;
  desc.balancer.ipv4 = p->settings.ipv4;
  desc.balancer.peer_port = p->settings.peer_port;
  desc.balancer.flow_port = p->settings.flow_port;
  desc.balancer.link_kbps = p->settings.link_kbps;
  (void)g_strlcpy (desc.balancer.name, p->settings.name, sizeof desc.balancer.name);
  return lc_member_init (&p->member, &desc, error);
}

static int
lc_balancer__start_planes (LcBalancerProgram *p, LcInstance instance, LcError *error)
{
  LcBalancerFlowDesc flow = { &p->app, &p->settings, &p->member, instance };
  LcBalancerRequestDesc request = { &p->app, &p->settings, &p->member, instance };
  int r = lc_balancer_flow_init (&p->flow, &flow, error);

  if (r < 0 || !lc_balancer__has_requests (p))
    return r;
  return lc_balancer_request_init (&p->request, &request, error);
}

static int
lc_balancer__start (LcBalancerProgram *p, LcError *error)
{
  LcInstance instance = lc_balancer__new_instance ();
  LcHttpDesc admin = { .loop = p->app.loop,
                       .ipv4 = p->settings.ipv4,
                       .port = p->settings.admin_port,
                       .metrics = &p->app.metrics,
                       .burn = &p->app.burn,
                       .is_ready = lc_balancer__is_ready,
                       .user = p };
  LcLinkServerDesc peers = { .loop = p->app.loop,
                             .ipv4 = p->settings.ipv4,
                             .port = p->settings.peer_port,
                             .handler = { p, lc_balancer__on_frame, NULL, lc_balancer__on_down } };
  int r = lc_http_init (&p->admin, &admin, error);

  lc_burn_identify (&p->app.burn, instance, p->settings.name, p->settings.data_centre, 0);
  if (r == 0)
    r = lc_balancer__start_planes (p, instance, error);
  if (r == 0)
    r = lc_link_server_init (&p->peers, &peers, error);
  return r < 0 ? r : lc_balancer__join (p, instance, error);
}

int
main (int argc, char **argv)
{
  static LcBalancerProgram p;
  LcAppDesc desc = { .program = "lychee-balancer",
                     .schema = &LC_BALANCER_SCHEMA,
                     .settings = &p.settings,
                     .reload = lc_balancer__on_reload };
  LcError error = { 0 };
  int r = lc_app_init (&p.app, &desc, argc, argv);

  if (r != LC_APP_RUN)
    return lc_app_exit_code (r);
  lc_log_init (p.app.log_level, "lychee-balancer", p.settings.name);
  lc_settings_set_ports (p.settings.control, p.settings.n_control, p.settings.control_peer_port);
  r = lc_balancer__start (&p, &error);
  if (r < 0)
    {
      lc_error_print (stderr, &error);
      return 1;
    }
  LC_INFO ("app.started", "address_port", LC_U64 (p.settings.peer_port));
  r = lc_app_run (&p.app, &p, p.settings.drain_limit_ms, lc_balancer__on_drain,
                  lc_balancer__is_idle);
  lc_link_server_finish (&p.peers);
  if (lc_balancer__has_requests (&p))
    lc_balancer_request_finish (&p.request);
  lc_balancer_flow_finish (&p.flow);
  lc_member_finish (&p.member);
  lc_http_finish (&p.admin);
  lc_app_finish (&p.app);
  return r < 0 ? 1 : 0;
}
