/* lc-agent-request-private: declarations shared by the sources of lc-agent-request.
 *
 * WHAT IT IS
 *   lc-agent-request.c          incoming attempts, runs, timer
 *   lc-agent-request-send.c     outgoing frames to balancers and other agents
 *   lc-agent-request-claims.c   claims of other agents, and the claim file
 */
#ifndef LC_AGENT_REQUEST_PRIVATE_H
#define LC_AGENT_REQUEST_PRIVATE_H

#include "lc-agent-request.h"
#include "core/request/lc-request-frames.h"
#include "io/lc-clock.h"
#include "lc-partial-attempt.h"

enum
{
  LC_AGENT_REQUEST_TICK_MS = 5,
  LC_AGENT_MAX_PARTIAL_BYTES = 64 << 20,
  LC_AGENT_REQUEST_LOGS_PER_S = 2,
};

#define LC_AGENT_REQUEST_REPORT_US LC_US_PER_S

/* A run's request, and its call to the backend server while that is open. */
typedef struct
{
  LcAgentRequest *plane;
  uint64_t run_id;
  LcPartialAttempt *payload;
  int64_t deadline_us;
  int64_t started_us; /* when it was sent to the backend server */
  LcBackendCall *call;
} LcAgentRun;

/* Executes all queued actions. */
void lc_agent_request__execute_actions (LcAgentRequest *plane);
int lc_agent_request__open_claim_file (LcAgentRequest *plane, LcError *error);
void lc_agent_request__close_claim_file (LcAgentRequest *plane);
void lc_agent_request__persist_claim (LcAgentRequest *plane, const LcClaimRecord *hold);
void lc_agent_request__update_claim_file (LcAgentRequest *plane, int64_t now_us);
void lc_agent_request__track_link (LcAgentRequest *plane, LcLink *link);
const LcService *lc_agent_request__service (const LcAgentRequest *plane);
void lc_agent_request__count_malformed (LcAgentRequest *plane, uint16_t type);
void lc_agent_request__send_refuse (LcAgentRequest *plane, const LcAgentAction *action);
void lc_agent_request__send_answer (LcAgentRequest *plane, const LcAgentAction *action);
void lc_agent_request__send_loads (LcAgentRequest *plane);
void
lc_agent_request__send_claim (LcAgentRequest *plane, const LcAgentAction *action, int64_t now_us);
void
lc_agent_request__send_release (LcAgentRequest *plane, const LcAgentAction *action, int64_t now_us);
void
lc_agent_request__send_read (LcAgentRequest *plane, const LcAgentAction *action, int64_t now_us);
void lc_agent_request__on_claim (LcAgentRequest *plane, LcLink *link, const LcFrame *frame);
void lc_agent_request__on_claim_answer (LcAgentRequest *plane, const LcFrame *frame);
void lc_agent_request__on_release (LcAgentRequest *plane, const LcFrame *frame);
void lc_agent_request__on_read (LcAgentRequest *plane, LcLink *link, const LcFrame *frame);
void lc_agent_request__on_read_answer (LcAgentRequest *plane, const LcFrame *frame);

#endif /* LC_AGENT_REQUEST_PRIVATE_H */
