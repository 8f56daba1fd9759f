#include "lc-control-http-private.h"

#include "io/lc-clock.h"
#include "lc-control-json.h"

/* === private: status ======================================================================== */

static json_t *
lc_control_http__member_json (const LcReplica *replica, const LcRaftMember *m)
{
  const LcRaftProgress *p = lc_raft_progress (&replica->raft, m->id);
  char address[32];
  json_t *one = json_object ();

  (void)g_snprintf (address, sizeof address, "%u.%u.%u.%u:%u", m->ipv4 >> 24, (m->ipv4 >> 16) & 255,
                    (m->ipv4 >> 8) & 255, m->ipv4 & 255, m->peer_port);
  (void)json_object_set_new (one, "name", json_string (m->name));
  (void)json_object_set_new (one, "address", json_string (address));
  (void)json_object_set_new (one, "role",
                             json_string (m->id == replica->raft.leader ? "leader"
                                          : m->is_learner               ? "learner"
                                                                        : "voter"));
  if (p != NULL)
    {
      int64_t silent_us = replica->raft.clock_us - p->reply_clock_us;

      (void)json_object_set_new (one, "behind",
                                 json_integer ((json_int_t)lc_raft_last_index (&replica->raft) -
                                               (json_int_t)p->match_index));
      (void)json_object_set_new (one, "silent_ms", json_integer (silent_us / LC_US_PER_MS));
    }
  return one;
}

static json_t *
lc_control_http__members_json (const LcReplica *replica)
{
  json_t *out = json_array ();

  for (uint32_t i = 0; i < replica->raft.config.n_members; i++)
    (void)json_array_append_new (
        out, lc_control_http__member_json (replica, &replica->raft.config.members[i]));
  return out;
}

static json_t *
lc_control_http__dc_json (const LcControlState *state, const LcDcStatus *dc)
{
  const LcDataCentre *known = lc_view_dc (&state->view, dc->dc);
  json_t *one = json_object ();

  (void)json_object_set_new (one, "name", json_string (dc->name));
  (void)json_object_set_new (one, "region", json_string (known != NULL ? known->region : ""));
  (void)json_object_set_new (
      one, "state",
      json_string (known != NULL && known->state == LC_DC_RETIRING ? "retiring" : "active"));
  if (known != NULL && known->is_evacuated)
    (void)json_object_set_new (
        one, "evacuated_for_ms",
        json_integer (MAX (lc_clock_wall_us () - known->evacuation_wall_us, 0) / LC_US_PER_MS));
  (void)json_object_set_new (one, "in_force", json_integer ((json_int_t)dc->in_force_revision));
  (void)json_object_set_new (one, "balancers", json_integer (dc->n_balancers));
  (void)json_object_set_new (one, "agents", json_integer (dc->n_agents));
  (void)json_object_set_new (one, "behind", json_integer (dc->n_behind));
  (void)json_object_set_new (
      one, "silent_ms",
      json_integer (dc->silent_for_us < 0 ? -1 : dc->silent_for_us / LC_US_PER_MS));
  return one;
}

static json_t *
lc_control_http__dcs_json (const LcControlHttp *http)
{
  const LcControlState *state = lc_replica_state (http->desc.replica);
  LcDcStatus dcs[LC_CONTROL_HTTP_DCS_MAX];
  uint32_t n = 0;
  json_t *out = json_array ();

  if (*http->desc.distributor != NULL)
    n = lc_distributor_status (*http->desc.distributor, lc_clock_now_us (), dcs,
                               LC_CONTROL_HTTP_DCS_MAX);
  for (uint32_t i = 0; i < MIN (n, (uint32_t)LC_CONTROL_HTTP_DCS_MAX); i++)
    (void)json_array_append_new (out, lc_control_http__dc_json (state, &dcs[i]));
  return out;
}

/* Losses that the guard holds because too many were reported at once. */
static json_t *
lc_control_http__guard_json (const LcControlHttp *http)
{
  LcLossGuardStatus guard = { 0 };
  json_t *out = json_object ();

  if (*http->desc.distributor != NULL)
    lc_distributor_guard_status (*http->desc.distributor, lc_clock_now_us (), &guard);
  (void)json_object_set_new (out, "is_holding", json_boolean (guard.is_holding));
  (void)json_object_set_new (out, "what", json_string (guard.what));
  (void)json_object_set_new (out, "holding_for_ms",
                             json_integer (guard.holding_for_us / LC_US_PER_MS));
  (void)json_object_set_new (out, "held_total", json_integer ((json_int_t)guard.held_total));
  return out;
}

void
lc_control_http__serve_status (LcControlHttp *http, h2o_req_t *req)
{
  LcReplica *replica = http->desc.replica;
  const LcControlState *state = lc_replica_state (replica);
  const LcRaftMember *leader = lc_replica_leader (replica);
  int64_t silence_us = lc_replica_leader_silence_us (replica);
  json_t *out = json_object ();

  (void)json_object_set_new (out, "name", json_string (http->desc.settings->name));
  (void)json_object_set_new (out, "is_leader", json_boolean (lc_replica_is_leader (replica)));
  (void)json_object_set_new (out, "leader", json_string (leader != NULL ? leader->name : ""));
  /* Only the leader, while its lease holds, has every commit; others report silent_ms. */
  (void)json_object_set_new (out, "is_newest", json_boolean (lc_replica_can_read (replica)));
  (void)json_object_set_new (out, "silent_ms",
                             json_integer (silence_us < 0 ? -1 : silence_us / LC_US_PER_MS));
  (void)json_object_set_new (out, "disk_full", json_boolean (replica->has_disk_full));
  (void)json_object_set_new (out, "revision", json_integer ((json_int_t)state->view.revision));
  (void)json_object_set_new (out, "config_revision",
                             json_integer ((json_int_t)state->config_revision));
  (void)json_object_set_new (out, "settled_revision",
                             json_integer ((json_int_t)state->view.settled_revision));
  (void)json_object_set_new (out, "term", json_integer ((json_int_t)replica->raft.term));
  (void)json_object_set_new (out, "commit_index",
                             json_integer ((json_int_t)replica->raft.commit_index));
  (void)json_object_set_new (out, "members", lc_control_http__members_json (replica));
  (void)json_object_set_new (out, "data_centres", lc_control_http__dcs_json (http));
  (void)json_object_set_new (out, "guard", lc_control_http__guard_json (http));
  (void)json_object_set_new (out, "services", lc_control_json_services (state));
  (void)json_object_set_new (out, "endpoints",
                             lc_control_json_endpoints (state, LC_CONTROL_HTTP_ENDPOINTS_MAX));
  (void)json_object_set_new (out, "balancers", lc_control_json_balancers (state));
  (void)json_object_set_new (out, "work", lc_control_json_unfinished_plans (state));
  lc_control_http__send (req, 200, out);
}
