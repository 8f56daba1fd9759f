#include "lc-control-http.h"
#include "lc-control-settings.h"
#include "lc-distributor.h"
#include "lc-replica.h"

#include "io/lc-clock.h"

#include <string.h>

enum
{
  LC_CONTROL_MAX_LINKS = 16384, /* all balancers of all data centres may connect */
};

typedef struct
{
  LcApp app;
  LcControlSettings settings;
  LcReplica replica;
  LcControlHttp http;
  LcDistributor *distributor;
  LcLinkServer peers;
  LcHttp admin;
} LcControlProgram;

/* === frames and links ======================================================================= */

static void
lc_control__on_frame (void *user, LcLink *link, const LcFrame *frame)
{
  LcControlProgram *p = user;

  if (frame->type < LC_FRAME_CONTROL_FIRST)
    lc_distributor_receive (p->distributor, link, frame);
  else if (frame->type < LC_FRAME_FLOW_FIRST)
    lc_replica_receive (&p->replica, link, frame);
  else
    lc_link_close (link, "frame type is not served here");
}

static void
lc_control__on_down (void *user, LcLink *link, const char *why)
{
  LcControlProgram *p = user;

  LC_DEBUG ("peer.down", "why", LC_STR (why));
  if (p->distributor != NULL)
    lc_distributor_link_down (p->distributor, link);
}

/* === committed changes ====================================================================== */

static void
lc_control__on_applied (void *user, const LcViewOp *ops, size_t n_ops, bool is_reset)
{
  LcControlProgram *p = user;

  if (p->distributor != NULL && is_reset)
    lc_distributor_reset (p->distributor);
  else if (p->distributor != NULL && n_ops > 0)
    lc_distributor_publish (p->distributor, ops, n_ops);
  lc_control_http_answer_applied (&p->http);
}

static int
lc_control__propose (void *user, const LcMemberChange *changes, uint32_t n)
{
  LcControlProgram *p = user;
  LcControlCommand command = { .kind = n == 1 ? LC_COMMAND_MEMBER : LC_COMMAND_CHANGES };
  int r;

  command.wall_us = lc_clock_wall_us ();
  (void)g_strlcpy (command.who, p->settings.name, sizeof command.who);
  if (n == 1)
    command.member = changes[0];
  else
    {
      command.changes.items = g_memdup2 (changes, n * sizeof *changes);
      command.changes.n = n;
    }
  r = lc_replica_propose (&p->replica, &command, NULL);
  lc_control_command_finish (&command);
  return r;
}

static bool
lc_control__is_leader (void *user)
{
  LcControlProgram *p = user;

  return lc_replica_is_leader (&p->replica);
}

static int64_t
lc_control__leader_age_us (void *user)
{
  LcControlProgram *p = user;

  return lc_replica_leader_silence_us (&p->replica);
}

static void
lc_control__on_members_changed (void *user)
{
  LcControlProgram *p = user;

  if (p->distributor != NULL)
    lc_distributor_notify_waiting (p->distributor);
}

static bool
lc_control__is_standby (void *user)
{
  LcControlProgram *p = user;

  return lc_replica_is_standby (&p->replica);
}

static uint32_t
lc_control__member_addresses (void *user, LcSocketAddress *out, uint32_t max)
{
  LcControlProgram *p = user;

  return lc_replica_member_addresses (&p->replica, out, max);
}

/* === planned stop =========================================================================== */

static void
lc_control__on_drain (void *user)
{
  LcControlProgram *p = user;

  lc_control_http_drain (&p->http);
  lc_replica_transfer_leadership (&p->replica);
}

static bool
lc_control__is_idle (void *user)
{
  LcControlProgram *p = user;

  return lc_control_http_is_idle (&p->http) && lc_replica_may_stop (&p->replica);
}

/* Ready: it can propose operators' requests, as leader or by forwarding. */
static bool
lc_control__is_ready (void *user)
{
  LcControlProgram *p = user;

  return !p->app.is_draining && lc_replica_leader (&p->replica) != NULL &&
         !p->replica.has_disk_full;
}

static void
lc_control__on_reload (void *user, const void *settings)
{
  LcControlProgram *p = user;
  LcControlSettings fresh = *(const LcControlSettings *)settings;

  lc_settings_set_ports (fresh.members, fresh.n_members, fresh.members_peer_port);
  lc_replica_set_seeds (&p->replica, fresh.members, fresh.n_members);
}

/* === start ================================================================================== */

static int
lc_control__start_replica (LcControlProgram *p, LcError *error)
{
  LcReplicaDesc replica = { &p->app, &p->settings, p, lc_control__on_applied,
                            lc_control__on_members_changed };
  LcControlHttpDesc http = { &p->app, &p->settings, &p->replica, &p->distributor };
  LcDistributorDesc distributor = { .app = &p->app,
                                    .view = &p->replica.state.view,
                                    .lease_ms = p->settings.lease_ms,
                                    .max_flow_s = p->settings.max_flow_s,
                                    .user = p,
                                    .propose = lc_control__propose,
                                    .is_leader = lc_control__is_leader,
                                    .leader_age_us = lc_control__leader_age_us,
                                    .is_standby = lc_control__is_standby,
                                    .control_addresses = lc_control__member_addresses };
  int r = lc_control_http_init (&p->http, &http, error);

  if (r == 0)
    r = lc_replica_init (&p->replica, &replica, error);
  if (r < 0)
    return r;
  p->distributor = lc_distributor_new (&distributor, error);
  return p->distributor != NULL ? 0 : error->code;
}

static int
lc_control__start (LcControlProgram *p, LcError *error)
{
  LcHttpDesc admin = { .loop = p->app.loop,
                       .ipv4 = p->settings.ipv4,
                       .port = p->settings.admin_port,
                       .metrics = &p->app.metrics,
                       .is_ready = lc_control__is_ready,
                       .user = p };
  LcLinkServerDesc peers = { .loop = p->app.loop,
                             .ipv4 = p->settings.ipv4,
                             .port = p->settings.peer_port,
                             .max_links = LC_CONTROL_MAX_LINKS,
                             .handler = { p, lc_control__on_frame, NULL, lc_control__on_down } };
  int r = p->settings.admin_port != 0 ? lc_http_init (&p->admin, &admin, error) : 0;

  if (r == 0)
    r = lc_control__start_replica (p, error);
  return r < 0 ? r : lc_link_server_init (&p->peers, &peers, error);
}

static void
lc_control__stop (LcControlProgram *p)
{
  lc_link_server_finish (&p->peers);
  lc_distributor_free (p->distributor);
  lc_control_http_finish (&p->http);
  lc_replica_finish (&p->replica);
  if (p->settings.admin_port != 0)
    lc_http_finish (&p->admin);
  lc_app_finish (&p->app);
}

int
main (int argc, char **argv)
{
  static LcControlProgram p;
  LcAppDesc desc = { .program = "lychee-control",
                     .schema = &LC_CONTROL_SCHEMA,
                     .settings = &p.settings,
                     .check = lc_control_settings_check,
                     .reload = lc_control__on_reload };
  LcError error = { 0 };
  int r = lc_app_init (&p.app, &desc, argc, argv);

  if (r != LC_APP_RUN)
    return lc_app_exit_code (r);
  lc_log_init (p.app.log_level, "lychee-control", p.settings.name);
  lc_settings_set_ports (p.settings.members, p.settings.n_members, p.settings.members_peer_port);
  r = lc_control__start (&p, &error);
  if (r < 0)
    {
      LC_ERROR ("app.start-failed", "message", LC_STR (error.message), "remedy",
                LC_STR (error.remedy));
      lc_error_print (stderr, &error);
      return 1;
    }
  LC_INFO ("app.started", "address_port", LC_U64 (p.settings.peer_port));
  r = lc_app_run (&p.app, &p, p.settings.drain_limit_ms, lc_control__on_drain, lc_control__is_idle);
  lc_control__stop (&p);
  return r < 0 ? 1 : 0;
}
