#include "lc-control-http-private.h"

#include "io/lc-clock.h"
#include "lc-control-json.h"
#include "platform/lc-platform-declaration.h"
#include "platform/lc-platform-evacuation.h"

#include <string.h>

enum
{
  LC_CONTROL_HTTP_TICK_MS = 100,
  LC_CONTROL_HTTP_RESEND_US = 500000, /* a forwarded command may be lost */
  LC_CONTROL_HTTP_WAITING_MAX = 1024,
  LC_CONTROL_HTTP_HISTORY_MAX = 1000,
};

/* In the request's memory pool: its disposal shows that the client is gone. */
typedef struct
{
  struct LcControlWait *wait; /* NULL: answered */
} LcControlWaitRef;

/* A request whose command is not applied yet. */
typedef struct LcControlWait
{
  LcControlHttp *http;
  h2o_req_t *req;        /* NULL: the client is gone */
  LcControlWaitRef *ref; /* valid while `req` is set */
  LcControlCommand command;
  int64_t deadline_us;
  int64_t resend_us;
} LcControlWait;

/* === private: answering ===================================================================== */

void
lc_control_http__send (h2o_req_t *req, int status, json_t *body)
{
  char *text = json_dumps (body, JSON_COMPACT);
  size_t len = strlen (text);

  lc_http_answer (req, status, NULL, text, len);
  free (text);
  json_decref (body);
}

static void
lc_control_http__send_answer (LcControlHttp *http,
                              h2o_req_t *req,
                              const LcControlCommand *command,
                              const LcControlAnswer *answer)
{
  const LcControlState *state = lc_replica_state (http->desc.replica);
  const LcPlan *plan = lc_control_state_plan (state, answer->plan_id);
  LcError error = { .code = answer->code };
  json_t *body;

  if (answer->code != LC_OK)
    {
      (void)g_strlcpy (error.message, answer->message, sizeof error.message);
      (void)g_strlcpy (error.remedy, answer->remedy, sizeof error.remedy);
      lc_metric_add (http->refused_total, 1);
      lc_http_answer_error (req, &error);
      return;
    }
  body = plan != NULL ? lc_control_json_plan (state, plan) : json_object ();
  (void)json_object_set_new (body, "plan_id", json_integer ((json_int_t)answer->plan_id));
  if (command->kind != LC_COMMAND_PLAN)
    (void)json_object_set_new (body, "revision", json_integer ((json_int_t)answer->revision));
  if (command->kind == LC_COMMAND_EVACUATE)
    (void)json_object_set_new (body, "services", lc_control_json_capacity (state));
  lc_control_http__send (req, 200, body);
}

void
lc_control_http__send_error (LcControlHttp *http, h2o_req_t *req, const LcError *error)
{
  lc_metric_add (http->refused_total, 1);
  lc_http_answer_error (req, error);
}

void
lc_control_http__redirect (LcControlHttp *http, h2o_req_t *req, uint32_t ipv4)
{
  char *location = g_strdup_printf ("http://%u.%u.%u.%u:%u%.*s", ipv4 >> 24, (ipv4 >> 16) & 255,
                                    (ipv4 >> 8) & 255, ipv4 & 255, http->desc.settings->http_port,
                                    (int)req->path.len, req->path.base);
  h2o_iovec_t value = h2o_strdup (&req->pool, location, SIZE_MAX);

  g_free (location);
  h2o_add_header (&req->pool, &req->res.headers, H2O_TOKEN_LOCATION, NULL, value.base, value.len);
  lc_http_answer (req, 307, NULL, "{}", 2);
}

/* === private: waiting for a command to be applied =========================================== */

static void
lc_control_http__remove_wait (LcControlHttp *http, LcControlWait *wait)
{
  if (wait->req != NULL)
    wait->ref->wait = NULL;
  (void)g_ptr_array_remove_fast (http->waiting, wait);
}

/* The client left: its command continues, and a resent request finds the answer. */
static void
lc_control_http__on_disposed (void *memory)
{
  LcControlWaitRef *ref = memory;

  if (ref->wait != NULL)
    ref->wait->req = NULL;
}

/* A numbered declaration is answered once this number or a higher one is applied here. */
static bool
lc_control_http__try_answer_numbered (LcControlHttp *http, LcControlWait *wait)
{
  const LcControlState *state = lc_replica_state (http->desc.replica);
  json_t *body;

  if (state->numbered.number < wait->command.numbered.number)
    return false;
  LC_INFO ("declaration.answered", "number", LC_U64 (wait->command.numbered.number), "in_force",
           LC_U64 (state->numbered.number), "revision", LC_U64 (state->numbered.revision),
           "has_caller", LC_U64 (wait->req != NULL));
  if (wait->req == NULL)
    return true;
  body = json_object ();
  (void)json_object_set_new (body, "revision", json_integer ((json_int_t)state->numbered.revision));
  lc_control_http__send (wait->req, 200, body);
  return true;
}

/* Answers if the answer is in the state; false: not yet. */
static bool
lc_control_http__try_answer (LcControlHttp *http, LcControlWait *wait)
{
  const LcControlState *state = lc_replica_state (http->desc.replica);
  const LcControlAnswer *answer = lc_control_state_answer (state, wait->command.request_id);
  LcError error = { 0 };

  if (wait->command.kind == LC_COMMAND_NUMBERED)
    return lc_control_http__try_answer_numbered (http, wait);
  if (answer == NULL)
    return false;
  if (wait->req != NULL && lc_control_answer_matches (answer, &wait->command))
    lc_control_http__send_answer (http, wait->req, &wait->command, answer);
  else if (wait->req != NULL)
    {
      (void)lc_error_set (&error, LC_ERR_INVALID, "make a new request id for each new request",
                          "request id %s was used for another request", wait->command.request_id);
      lc_control_http__send_error (http, wait->req, &error);
    }
  return true;
}

static void
lc_control_http__time_out (LcControlHttp *http, LcControlWait *wait)
{
  LcError error = { 0 };

  lc_metric_add (http->timeouts_total, 1);
  if (wait->req == NULL)
    return;
  (void)lc_error_set (&error, LC_ERR_TIMEOUT,
                      "send it again with the same request id, to this or another control VM: it "
                      "takes effect at most once",
                      "request %s is not committed yet; it may still be", wait->command.request_id);
  lc_control_http__send_error (http, wait->req, &error);
}

static void
lc_control_http__free_wait (gpointer data)
{
  LcControlWait *wait = data;

  lc_control_command_finish (&wait->command);
  g_free (wait);
}

void
lc_control_http_answer_applied (LcControlHttp *http)
{
  for (guint i = http->waiting->len; i > 0; i--)
    {
      LcControlWait *wait = g_ptr_array_index (http->waiting, i - 1);

      if (lc_control_http__try_answer (http, wait))
        lc_control_http__remove_wait (http, wait);
    }
}

static void
lc_control_http__on_tick (void *user)
{
  LcControlHttp *http = user;
  int64_t now_us = lc_clock_now_us ();

  for (guint i = http->waiting->len; i > 0; i--)
    {
      LcControlWait *wait = g_ptr_array_index (http->waiting, i - 1);

      if (now_us >= wait->deadline_us)
        {
          lc_control_http__time_out (http, wait);
          lc_control_http__remove_wait (http, wait);
        }
      else if (wait->req == NULL && wait->command.kind == LC_COMMAND_EVACUATE)
        lc_control_http__remove_wait (http, wait); /* resending is up to its operator */
      else if (now_us >= wait->resend_us)
        {
          /* Applied twice, the second time has no effect: the first answer exists. */
          wait->resend_us = now_us + LC_CONTROL_HTTP_RESEND_US;
          (void)lc_replica_propose (http->desc.replica, &wait->command, NULL);
        }
    }
  lc_timer_start (&http->timer, LC_CONTROL_HTTP_TICK_MS);
}

int
lc_control_http__check_queue (const LcControlHttp *http, LcErrorCode code, LcError *error)
{
  if (http->waiting->len < LC_CONTROL_HTTP_WAITING_MAX)
    return 0;
  return lc_error_set (error, code, "send it again in a second", "%d requests wait already",
                       LC_CONTROL_HTTP_WAITING_MAX);
}

void
lc_control_http__submit (LcControlHttp *http, h2o_req_t *req, LcControlCommand *command)
{
  LcControlWait *wait = g_new0 (LcControlWait, 1);
  LcControlWaitRef *ref =
      h2o_mem_alloc_shared (&req->pool, sizeof *ref, lc_control_http__on_disposed);
  int64_t now_us = lc_clock_now_us ();

  wait->http = http;
  wait->req = req;
  wait->command = *command;
  wait->deadline_us = now_us + (int64_t)http->desc.settings->request_timeout_ms * LC_US_PER_MS;
  wait->resend_us = now_us + LC_CONTROL_HTTP_RESEND_US;
  wait->ref = ref;
  ref->wait = wait;
  g_ptr_array_add (http->waiting, wait);
  if (lc_control_http__try_answer (http, wait))
    {
      lc_control_http__remove_wait (http, wait);
      return;
    }
  /* Without a leader each tick tries again, until the deadline. */
  if (lc_replica_propose (http->desc.replica, &wait->command, NULL) < 0)
    wait->resend_us = now_us;
}

/* === private: commands ====================================================================== */

static int
lc_control_http__check_member (LcControlHttp *http, const LcControlCommand *command, LcError *error)
{
  const char *name = command->intent.target;

  if (command->kind != LC_COMMAND_PLAN || command->intent.kind != LC_INTENT_REPLACE_CONTROL_VM ||
      lc_raft_config_find_name (&http->desc.replica->raft.config, name) != NULL)
    return 0;
  return lc_error_set (error, LC_ERR_NOT_FOUND, "look at the members in `lychee status`",
                       "there is no control VM %s", name);
}

static void
lc_control_http__serve_command (LcControlHttp *http, h2o_req_t *req, bool is_plan)
{
  LcControlCommand command;
  LcError error = { 0 };
  int r = is_plan
              ? lc_control_json_read_plan (&command, req->entity.base, req->entity.len, &error)
              : lc_control_json_read_confirm (&command, req->entity.base, req->entity.len, &error);

  if (r == 0)
    r = lc_control_http__check_queue (http, LC_ERR_FULL, &error);
  if (r == 0)
    r = lc_control_http__check_member (http, &command, &error);
  if (r < 0)
    {
      lc_control_http__send_error (http, req, &error);
      return;
    }
  command.wall_us = lc_clock_wall_us ();
  lc_control_http__submit (http, req, &command);
}

/* === private: evacuations =================================================================== */

static void
lc_control_http__log_evacuation (const LcControlCommand *command, const char *outcome)
{
  LC_INFO ("evacuation.ordered", "data_centre", LC_STR (command->evacuation.data_centre),
           "is_wanted", LC_U64 (command->evacuation.is_wanted), "request_id",
           LC_STR (command->request_id), "seen_revision",
           LC_U64 (command->evacuation.seen_revision), "outcome", LC_STR (outcome));
}

/* Proposes an order, with the revision of the last one for its data centre that this VM applied. */
static void
lc_control_http__submit_evacuation (LcControlHttp *http, h2o_req_t *req, LcControlCommand *command)
{
  const LcControlState *state = lc_replica_state (http->desc.replica);
  const LcDataCentre *dc = lc_view_dc_by_name (&state->view, command->evacuation.data_centre);
  LcError error = { 0 };

  if (lc_control_http__check_queue (http, LC_ERR_UNAVAILABLE, &error) < 0)
    {
      lc_control_http__log_evacuation (command, "refused: too many wait");
      lc_control_http__send_error (http, req, &error);
      return;
    }
  command->kind = LC_COMMAND_EVACUATE;
  command->evacuation.seen_revision = dc != NULL ? dc->evacuation_revision : 0;
  command->wall_us = lc_clock_wall_us ();
  lc_control_http__log_evacuation (command, "handed over");
  lc_control_http__submit (http, req, command);
}

static void
lc_control_http__serve_evacuate (LcControlHttp *http, h2o_req_t *req)
{
  LcControlCommand command;
  LcError error = { 0 };

  if (lc_control_json_read_evacuation (&command, req->entity.base, req->entity.len, &error) < 0)
    lc_control_http__send_error (http, req, &error);
  else
    lc_control_http__submit_evacuation (http, req, &command);
}

/* The platform's orders have no request id: one that is resent is a new order. */
static void
lc_control_http__serve_platform_evacuate (LcControlHttp *http,
                                          h2o_req_t *req,
                                          const LcPlatformCall *call)
{
  LcControlCommand command = { .kind = LC_COMMAND_EVACUATE };
  LcError error = { 0 };

  if (lc_platform_evacuation_read (&command.evacuation, call, &error) < 0)
    {
      LC_INFO ("evacuation.refused", "message", LC_STR (error.message));
      lc_control_http__send_error (http, req, &error);
      return;
    }
  (void)g_snprintf (command.request_id, sizeof command.request_id, "order-%08x%08x%08x",
                    g_random_int (), g_random_int (), g_random_int ());
  (void)g_strlcpy (command.who, "operator", sizeof command.who);
  lc_control_http__submit_evacuation (http, req, &command);
}

/* === private: calls of the platform ========================================================= */

/* A VM in no cluster redirects the caller to a member. */
static void
lc_control_http__redirect_to_member (LcControlHttp *http, h2o_req_t *req)
{
  const LcReplicaPeer *peer = lc_replica_redirect_target (http->desc.replica);
  LcError error = { 0 };

  if (peer != NULL)
    {
      lc_control_http__redirect (http, req, peer->ipv4);
      return;
    }
  (void)lc_error_set (&error, LC_ERR_UNAVAILABLE, "ask again in a second, or another control VM",
                      "this control VM belongs to no cluster and knows none");
  lc_control_http__send_error (http, req, &error);
}

/* False: it is no call of the platform. */
static bool
lc_control_http__serve_platform (LcControlHttp *http, h2o_req_t *req)
{
  LcPlatformCall call = { req->method.base,         req->method.len,  req->path_normalized.base,
                          req->path_normalized.len, req->entity.base, req->entity.len };

  LcPlatformDeclarationCall kind = lc_platform_declaration_classify (&call);
  bool is_evacuation = lc_platform_evacuation_is_call (&call);

  if ((kind != LC_PLATFORM_OTHER || is_evacuation) && !http->desc.replica->is_formed)
    {
      lc_control_http__redirect_to_member (http, req);
      return true;
    }
  if (is_evacuation)
    {
      lc_control_http__serve_platform_evacuate (http, req, &call);
      return true;
    }
  switch (kind)
    {
    case LC_PLATFORM_DECLARE:
      lc_control_http__serve_declare (http, req);
      return true;
    case LC_PLATFORM_SHOW:
      lc_control_http__serve_declaration (http, req);
      return true;
    case LC_PLATFORM_OTHER:
      break;
    }
  return false;
}

/* === private: history and plans ============================================================= */

/* The number after `key`, such as "max=", in the query, or `fallback`. */
static uint64_t
lc_control_http__query_number (const h2o_req_t *req, const char *key, uint64_t fallback)
{
  char *query;
  const char *at;
  uint64_t value = fallback;

  if (req->query_at == SIZE_MAX)
    return fallback;
  query = g_strndup (req->path.base + req->query_at, req->path.len - req->query_at);
  at = strstr (query, key);
  if (at != NULL)
    value = g_ascii_strtoull (at + strlen (key), NULL, 10);
  g_free (query);
  return value;
}

static void
lc_control_http__serve_history (LcControlHttp *http, h2o_req_t *req)
{
  const LcControlState *state = lc_replica_state (http->desc.replica);
  uint64_t max = lc_control_http__query_number (req, "max=", 100);
  json_t *out = json_object ();

  (void)json_object_set_new (out, "name", json_string (http->desc.settings->name));
  (void)json_object_set_new (out, "is_newest",
                             json_boolean (lc_replica_can_read (http->desc.replica)));
  (void)json_object_set_new (
      out, "history",
      lc_control_json_history (state, lc_control_http__query_number (req, "after=", 0),
                               (uint32_t)MIN (max, (uint64_t)LC_CONTROL_HTTP_HISTORY_MAX)));
  lc_control_http__send (req, 200, out);
}

static void
lc_control_http__serve_plan (LcControlHttp *http, h2o_req_t *req, const char *digits)
{
  const LcControlState *state = lc_replica_state (http->desc.replica);
  const LcPlan *plan = lc_control_state_plan (state, g_ascii_strtoull (digits, NULL, 10));
  LcError error = { 0 };

  if (plan != NULL)
    {
      lc_control_http__send (req, 200, lc_control_json_plan (state, plan));
      return;
    }
  (void)lc_error_set (&error, LC_ERR_NOT_FOUND, "look at `lychee history`",
                      "there is no plan %.20s here", digits);
  lc_control_http__send_error (http, req, &error);
}

/* === private: routing ======================================================================= */

static bool
lc_control_http__matches (const h2o_req_t *req, const char *method, const char *path)
{
  return h2o_memis (req->method.base, req->method.len, method, strlen (method)) &&
         h2o_memis (req->path_normalized.base, req->path_normalized.len, path, strlen (path));
}

static bool
lc_control_http__has_prefix (const h2o_req_t *req, const char *method, const char *prefix)
{
  size_t len = strlen (prefix);

  return h2o_memis (req->method.base, req->method.len, method, strlen (method)) &&
         req->path_normalized.len > len && memcmp (req->path_normalized.base, prefix, len) == 0;
}

static int
lc_control_http__on_request (void *user, h2o_req_t *req)
{
  static const char PLANS[] = "/v1/plans/";
  LcControlHttp *http = user;
  char digits[24];

  lc_metric_add (http->requests_total, 1);
  if (lc_control_http__matches (req, "POST", "/v1/plan"))
    lc_control_http__serve_command (http, req, true);
  else if (lc_control_http__matches (req, "POST", "/v1/confirm"))
    lc_control_http__serve_command (http, req, false);
  else if (lc_control_http__matches (req, "POST", "/v1/evacuate"))
    lc_control_http__serve_evacuate (http, req);
  else if (lc_control_http__matches (req, "GET", "/v1/status"))
    lc_control_http__serve_status (http, req);
  else if (lc_control_http__matches (req, "GET", "/v1/history"))
    lc_control_http__serve_history (http, req);
  else if (lc_control_http__has_prefix (req, "GET", PLANS))
    {
      (void)g_snprintf (digits, sizeof digits, "%.*s",
                        (int)(req->path_normalized.len - (sizeof PLANS - 1)),
                        req->path_normalized.base + sizeof PLANS - 1);
      lc_control_http__serve_plan (http, req, digits);
    }
  else if (!lc_control_http__serve_platform (http, req))
    return -1;
  return 0;
}

/* === public ================================================================================= */

int
lc_control_http_init (LcControlHttp *http, const LcControlHttpDesc *desc, LcError *error)
{
  LcMetrics *m = &desc->app->metrics;
  LcHttpDesc listener = { .loop = desc->app->loop,
                          .ipv4 = desc->settings->ipv4,
                          .port = desc->settings->http_port,
                          .user = http,
                          .request = lc_control_http__on_request };

  if (desc->settings->admin_port == 0)
    listener.metrics = m;
  memset (http, 0, sizeof *http);
  http->desc = *desc;
  http->waiting = g_ptr_array_new_with_free_func (lc_control_http__free_wait);
  http->requests_total =
      lc_metrics_counter (m, "lychee_control_requests_total", "Operators' requests", NULL);
  http->refused_total =
      lc_metrics_counter (m, "lychee_control_refused_total", "Answers that were errors", NULL);
  http->timeouts_total = lc_metrics_counter (m, "lychee_control_timeouts_total",
                                             "Requests not committed in time", NULL);
  lc_timer_init (&http->timer, desc->app->loop, lc_control_http__on_tick, http);
  lc_timer_start (&http->timer, LC_CONTROL_HTTP_TICK_MS);
  return lc_http_init (&http->http, &listener, error);
}

void
lc_control_http_finish (LcControlHttp *http)
{
  lc_timer_finish (&http->timer);
  lc_http_finish (&http->http);
  g_ptr_array_unref (http->waiting);
}

void
lc_control_http_drain (LcControlHttp *http)
{
  lc_http_stop_accepting (&http->http);
}

bool
lc_control_http_is_idle (const LcControlHttp *http)
{
  return http->waiting->len == 0;
}
