/* Numbered declarations: taking one, and returning the newest. */
#include "lc-control-http-private.h"

#include "core/control/lc-home-check.h"
#include "io/lc-clock.h"
#include "platform/lc-platform-declaration.h"

enum
{
  LC_CONTROL_HTTP_SHOWN_LOGS_PER_S = 20,
};

/* === private: returning one ================================================================= */

/* Logs an answer with what shows whether this VM could have had the newest declaration. */
static void
lc_control_http__log_shown (LcControlHttp *http, const char *outcome)
{
  const LcReplica *replica = http->desc.replica;

  if (lc_log_allow (&http->shown_limit, lc_clock_now_us (), LC_CONTROL_HTTP_SHOWN_LOGS_PER_S))
    LC_INFO ("declaration.shown", "outcome", LC_STR (outcome), "number",
             LC_U64 (lc_replica_state (replica)->numbered.number), "term",
             LC_U64 (replica->raft.term), "commit_index", LC_U64 (replica->raft.commit_index),
             "leader_silent_ms", LC_I64 (lc_replica_leader_silence_us (replica) / LC_US_PER_MS),
             "left_out", LC_U64 (http->shown_limit.suppressed_total));
}

static void
lc_control_http__redirect_or_refuse (LcControlHttp *http, h2o_req_t *req)
{
  const LcRaftMember *leader = lc_replica_leader (http->desc.replica);
  LcError error = { 0 };

  if (leader != NULL && leader->id != http->desc.replica->id)
    {
      lc_control_http__log_shown (http, "redirected to the leader");
      lc_control_http__redirect (http, req, leader->ipv4);
      return;
    }
  lc_control_http__log_shown (http, "refused: no lease");
  (void)lc_error_set (&error, LC_ERR_UNAVAILABLE, "ask again in a second, or another control VM",
                      "this control VM can't be sure which declaration is the newest");
  lc_control_http__send_error (http, req, &error);
}

/* === shared ================================================================================= */

void
lc_control_http__serve_declare (LcControlHttp *http, h2o_req_t *req)
{
  LcControlCommand command = { .kind = LC_COMMAND_NUMBERED };
  LcError error = { 0 };
  int r =
      lc_platform_declaration_read (&command.numbered, req->entity.base, req->entity.len, &error);

  if (r == 0)
    r = lc_home_check (&command.numbered.declaration, &lc_replica_state (http->desc.replica)->view,
                       http->desc.settings->regions, &error);
  if (r == 0)
    r = lc_control_http__check_queue (http, LC_ERR_UNAVAILABLE, &error);
  if (r < 0)
    {
      LC_INFO ("declaration.refused", "message", LC_STR (error.message));
      lc_control_command_finish (&command);
      lc_control_http__send_error (http, req, &error);
      return;
    }
  (void)g_strlcpy (command.who, "declaration", sizeof command.who);
  command.wall_us = lc_clock_wall_us ();
  lc_control_http__submit (http, req, &command);
}

/* Only the leader, while its lease holds, is sure to have the newest declaration. */
void
lc_control_http__serve_declaration (LcControlHttp *http, h2o_req_t *req)
{
  LcReplica *replica = http->desc.replica;
  const LcControlNumbered *numbered = &lc_replica_state (replica)->numbered;
  LcError error = { 0 };
  gsize len;
  const char *document;

  if (!lc_replica_can_read (replica))
    {
      lc_control_http__redirect_or_refuse (http, req);
      return;
    }
  if (numbered->document == NULL)
    {
      (void)lc_error_set (&error, LC_ERR_NOT_FOUND, "declare one first",
                          "there is no numbered declaration yet");
      lc_control_http__send_error (http, req, &error);
      return;
    }
  lc_control_http__log_shown (http, "shown");
  document = g_bytes_get_data (numbered->document, &len);
  lc_http_answer (req, 200, NULL, document, len);
}
