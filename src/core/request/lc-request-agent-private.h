/* lc-request-agent-private: declarations shared by the sources of lc-request-agent.
 *
 * WHAT IT IS
 *   lc-request-agent.c       attempts, ends of runs, timeouts, the queue of actions
 *   lc-request-agent-run.c   the states of a run, deduplication of attempts
 *   lc-request-agent-claim.c claims of this agent's keys, and claims recorded as a home
 */
#ifndef LC_REQUEST_AGENT_PRIVATE_H
#define LC_REQUEST_AGENT_PRIVATE_H

#include "lc-request-agent.h"
#include <string.h>

enum
{
  LC_AGENT_MAX_RECORDS = 250000,
  LC_AGENT_MAX_SEEN = 100000,
};

#define LC_AGENT_KEEP_US (300 * LC_US_PER_S)
#define LC_AGENT_MAX_ANSWER_BYTES (UINT64_C (32) << 20)
#define LC_AGENT_CLAIM_WAIT_US (200 * LC_US_PER_MS)
#define LC_AGENT_READ_EVERY_US (100 * LC_US_PER_MS)
#define LC_AGENT_EXPIRE_EVERY_US LC_US_PER_S
/* A record outlives every claim of its key, else its owner could be granted the key again. */
#define LC_AGENT_RECORD_MARGIN_US (120 * LC_US_PER_S)
#define LC_AGENT_SEEN_MARGIN_US (5 * LC_US_PER_S)

typedef enum
{
  LC_RUN_STATE_CLAIMING = 1,
  LC_RUN_STATE_PAUSED = 2, /* the next claim round starts at next_round_us */
  LC_RUN_STATE_QUEUED = 3,
  LC_RUN_STATE_RUNNING = 4,
  LC_RUN_STATE_DONE = 5,
  LC_RUN_STATE_UNKNOWN = 6,
} LcRunState;

typedef struct
{
  LcRequestKey key;
  uint64_t id;
  LcRunState state;
  bool is_caller_key;
  bool is_query;
  uint64_t digest;
  int64_t deadline_us;
  int64_t next_round_us; /* claim: start of the next round, or timeout of the present one */
  int64_t started_us;
  int64_t expires_us;     /* when the record is dropped */
  int64_t retry_after_us; /* sent with a refusal; 0: computed from the queue */
  bool is_delay_reported; /* LC_AGENT_CLAIM_DELAYED was emitted */
  LcClaimAcquire claim;
  GArray *waiters;       /* LcAttemptId */
  LcRefuseReason reason; /* UNKNOWN */
  LcAnswer *answer;      /* DONE; NULL once dropped */
  GList *link;           /* in agent->answered */
} LcRun;

/* An attempt received before.  A tombstone: its cancellation came first, so it must not run. */
typedef struct
{
  LcRequestId key;
  int64_t expires_us;
  bool is_tombstone;
} LcSeen;

LcAgentAction *lc_agent__push_action (LcRequestAgent *agent, LcAgentActionKind kind);
/* The returned action is valid until the next one is added. */
LcAgentAction *lc_agent__refuse (LcRequestAgent *agent,
                                 const LcAttemptId *ask,
                                 LcRefuseReason reason,
                                 bool is_claimed);
void lc_agent__answer (LcRequestAgent *agent,
                       const LcAttemptId *ask,
                       LcAnswer *answer,
                       bool is_replayed);
LcSeen *lc_agent__find_seen (const LcRequestAgent *agent, const LcAttemptId *ask);
bool lc_agent__add_seen (LcRequestAgent *agent,
                         const LcAttemptId *ask,
                         int64_t until_us,
                         bool is_tombstone);
void lc_agent__run_free (gpointer data);
bool lc_agent__is_keyed (const LcRun *run);
LcRun *lc_agent__new_run (LcRequestAgent *agent, const LcAgentAttempt *attempt);
void lc_agent__drop_answer (LcRequestAgent *agent, LcRun *run);
void lc_agent__remove_run (LcRequestAgent *agent, LcRun *run);
void lc_agent__end_unstarted (LcRequestAgent *agent,
                              LcRun *run,
                              LcRefuseReason reason,
                              LcMemberRef owner);
void
lc_agent__end_unstarted_without_owner (LcRequestAgent *agent, LcRun *run, LcRefuseReason reason);
void lc_agent__end_started (LcRequestAgent *agent, LcRun *run, LcRunState state, int64_t now_us);
void lc_agent__end_with_unknown_outcome (LcRequestAgent *agent,
                                         LcRun *run,
                                         LcRefuseReason reason,
                                         int64_t now_us);
void lc_agent__run_queue (LcRequestAgent *agent, int64_t now_us);
void lc_agent__stop (LcRequestAgent *agent, LcRun *run, int64_t now_us);
void lc_agent__submit_run (LcRequestAgent *agent, LcRun *run, int64_t now_us);
void lc_agent__report_claim_delay (LcRequestAgent *agent,
                                   LcRun *run,
                                   LcMemberRef home,
                                   LcClaimResult result);
void lc_agent__schedule_next_round (LcRequestAgent *agent, LcRun *run, int64_t now_us);
void lc_agent__start_round (LcRequestAgent *agent, LcRun *run, int64_t now_us);

#endif /* LC_REQUEST_AGENT_PRIVATE_H */
