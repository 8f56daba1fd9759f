/* lc-request-agent: the state machine of an agent's request plane, without I/O.
 *
 * WHAT IT IS
 *   A run is one execution at the backend server, with the attempts that wait for it (by link,
 *   request id and attempt number).  A run with an idempotency key first claims the key at its
 *   homes, then waits for a slot, runs once, and stays on record with its answer, so that a repeat
 *   gets the same answer or "unknown", never a second run.  The agent is also a home for other
 *   agents' claims.  Each call appends actions, which the caller takes and executes.
 *
 * HOW TO USE IT
 *     lc_request_agent_init (&agent, &desc);
 *     lc_request_agent_set_service (&agent, service, now_us);
 *     run_id = lc_request_agent_handle_attempt (&agent, &attempt, now_us);   0: no payload to keep
 *     while (lc_request_agent_next_action (&agent, &action))
 *       { execute it; lc_agent_action_clear (&action); }
 *     lc_request_agent_end_run (&agent, run_id, LC_RUN_OK, answer, now_us);
 *     lc_request_agent_tick (&agent, now_us);                         every few milliseconds
 *     lc_request_agent_finish (&agent);
 *
 * LIFETIME
 *   Owns runs, recorded answers and the claims recorded for other agents.
 *
 * LIMITS
 *   Recorded answers take at most desc.max_answer_bytes; the oldest are dropped first, and their
 *   records stay until they expire.  Records are kept for desc.keep_us and 120 s after the run.
 */
#ifndef LC_REQUEST_AGENT_H
#define LC_REQUEST_AGENT_H

#include "lc-admission.h"
#include "lc-answer.h"
#include "lc-claim-sync.h"
#include "lc-claim-store.h"
#include "lc-claim-acquire.h"
#include "lc-outcome.h"

#ifdef __cplusplus
extern "C"
{
#endif

  typedef struct
  {
    LcMemberRef self; /* the id may be 0 until the endpoint is committed */
    LcAdmissionDesc admission;
    LcClaimStoreDesc store;
    int64_t keep_us;           /* how long records and claims are kept; 0: 300 s */
    uint64_t max_answer_bytes; /* 0: 32 MiB */
    uint32_t max_records;      /* 0: 250 000 */
    int64_t lost_after_us;     /* see lc-claim-sync */
  } LcRequestAgentDesc;

  /* Identifies an attempt; its answer or refusal is sent back with the same values. */
  typedef struct
  {
    uint64_t link_id;
    LcRequestId id;
    uint32_t attempt;
  } LcAttemptId;

  typedef struct
  {
    LcAttemptId attempt_id;
    LcInstance instance; /* the endpoint instance that it is addressed to */
    LcRequestKey key;    /* none: idempotent, needs no claim */
    bool is_caller_key;
    bool is_query; /* runs nothing, only queries the outcome of the key */
    uint64_t digest;
    int64_t deadline_us;
  } LcAgentAttempt;

  typedef enum
  {
    LC_AGENT_START = 1,        /* run_id: send it to the backend server */
    LC_AGENT_STOP = 2,         /* run_id: cancel it at the backend server */
    LC_AGENT_DROP_PAYLOAD = 3, /* run_id: drop its payload */
    LC_AGENT_ANSWER = 4,       /* answer */
    LC_AGENT_REFUSE = 5,       /* refuse */
    LC_AGENT_CLAIM = 6,        /* claim: send it to the home */
    LC_AGENT_RELEASE = 7,      /* claim: release it at the home */
    LC_AGENT_READ_CLAIMS = 8,  /* read: request the member's claims */
    /* persist: store the claim for a restart, before any later action and before the reply to the
     * call that changed it */
    LC_AGENT_PERSIST = 9,
    /* claim_delayed: the key can't be claimed for now; once a run, for logs */
    LC_AGENT_CLAIM_DELAYED = 10,
  } LcAgentActionKind;

  typedef struct
  {
    LcAgentActionKind kind;
    union
    {
      uint64_t run_id;
      struct
      {
        LcAttemptId attempt_id;
        LcAnswer *answer; /* the action owns a reference */
        bool is_replayed;
      } answer;
      struct
      {
        LcAttemptId attempt_id;
        LcRefuseReason reason;
        bool is_claimed;
        int64_t retry_after_us;
        LcMemberRef owner;
      } refuse;
      struct
      {
        LcMemberRef home;
        LcRequestKey key;
        uint64_t sequence;
        LcRevision era;
        int64_t keep_us;
      } claim;
      struct
      {
        LcMemberRef member;
        LcRevision era;
      } read;
      struct
      {
        LcAttemptId attempt_id; /* the first attempt that waits for the run */
        LcRequestKey key;
        LcMemberRef home;     /* none: there is no home, or none has answered */
        LcClaimResult result; /* 0: no answer */
        int64_t deadline_us;
      } claim_delayed;
      LcClaimRecord persist; /* expires_us 0: the claim was removed */
    };
  } LcAgentAction;

  typedef struct
  {
    uint64_t runs_total;
    uint64_t replayed_total;
    uint64_t refused_total;
    uint64_t duplicates_total; /* attempts received more than once */
    uint64_t held_total;
    uint64_t unclaimed_total;
    uint64_t unknown_total;
  } LcRequestAgentStats;

  typedef struct
  {
    LcRequestAgentDesc desc;
    LcAdmission admission;
    LcClaimStore store;
    LcClaimSync claim_sync;
    LcRequestAgentStats stats;
    GHashTable *runs;   /* run id -> LcRun, owned */
    GHashTable *active; /* LcRun that have not ended */
    GHashTable *by_key; /* LcRequestKey -> LcRun */
    GHashTable *seen;   /* LcAttemptId without its link -> LcSeen, to drop duplicate attempts */
    GArray *actions;
    guint n_taken;
    GQueue answered; /* LcRun with a recorded answer, oldest first */
    GQueue closed;   /* LcRun that have ended and are on record, oldest first */
    uint64_t answer_bytes;
    uint64_t next_run_id;
    uint64_t next_sequence;
    int64_t last_read_us; /* when claims were last requested from members */
    int64_t last_expiry_us;
    bool is_draining;
    bool is_evacuated; /* its data centre is: no new run starts, running ones continue */
  } LcRequestAgent;

  void lc_request_agent_init (LcRequestAgent *agent, const LcRequestAgentDesc *desc);
  void lc_request_agent_finish (LcRequestAgent *agent);

  /* Restores what an earlier process persisted; call both right after init, the claims first. */
  void lc_request_agent_resume_claim (LcRequestAgent *agent, const LcClaimRecord *hold);
  void lc_request_agent_resume_progress (LcRequestAgent *agent, const LcClaimProgress *state);

  /* Sets the newest view's service (NULL: none) and this agent's endpoint id (0: unchanged). */
  void lc_request_agent_set_service (LcRequestAgent *agent,
                                     const LcService *service,
                                     LcEndpointId self_id,
                                     int64_t now_us);

  /* Sets whether the newest view has this agent's data centre as evacuated.  Queued runs are then
   * refused as not run, so that the balancer can send them elsewhere. */
  void lc_request_agent_set_evacuated (LcRequestAgent *agent, bool is_evacuated);

  /* Handles a completely received attempt.  Returns the run whose payload it carries, else 0. */
  uint64_t lc_request_agent_handle_attempt (LcRequestAgent *agent,
                                            const LcAgentAttempt *attempt,
                                            int64_t now_us);

  void
  lc_request_agent_handle_cancel (LcRequestAgent *agent, const LcAttemptId *ask, int64_t now_us);

  /* Ends a run.  `answer` is used with LC_RUN_OK (a reference is taken). */
  void lc_request_agent_end_run (
      LcRequestAgent *agent, uint64_t run_id, LcRunResult result, LcAnswer *answer, int64_t now_us);

  /* Drops the attempts that came over a lost link. */
  void lc_request_agent_handle_link_down (LcRequestAgent *agent, uint64_t link_id, int64_t now_us);

  void lc_request_agent_tick (LcRequestAgent *agent, int64_t now_us);

  /* Refuses new runs from now on; repeats of recorded keys are still answered. */
  void lc_request_agent_drain (LcRequestAgent *agent);

  /* As a home: handles another agent's claim or release. */
  LcClaimResult lc_request_agent_handle_claim (LcRequestAgent *agent,
                                               LcInstance home_instance,
                                               LcRequestKey key,
                                               LcMemberRef owner,
                                               uint64_t sequence,
                                               LcRevision era,
                                               int64_t keep_us,
                                               int64_t now_us,
                                               LcClaimRecord *hold);
  void lc_request_agent_handle_release (LcRequestAgent *agent,
                                        LcRequestKey key,
                                        LcInstance owner_instance,
                                        uint64_t sequence);

  /* As an owner: a home's reply, or NOT_READY when the home is unreachable. */
  typedef struct
  {
    LcMemberRef home;
    LcRequestKey key;
    uint64_t sequence;
    LcRevision era;
    LcClaimResult result;
    LcMemberRef holder;
    int64_t lost_for_us; /* NOT_READY: for at least so long; 0: less, or not known */
  } LcClaimReply;
  void lc_request_agent_handle_claim_reply (LcRequestAgent *agent,
                                            const LcClaimReply *reply,
                                            int64_t now_us);

  /* As a member that is read from for the era `target_era`: writes its state, once for each of its
   * incarnations, the present one first, and returns their number; then calls `each` for every
   * record that the reader needs. */
  uint32_t lc_request_agent_list_sources (const LcRequestAgent *agent,
                                          LcRevision target_era,
                                          int64_t now_us,
                                          LcClaimSource sources[LC_CLAIM_SYNC_MAX_INCARNATIONS]);
  void lc_request_agent_foreach_record (const LcRequestAgent *agent,
                                        LcMemberRef reader,
                                        const LcMemberRef *members,
                                        uint32_t n_members,
                                        int64_t now_us,
                                        void (*each) (void *user, const LcClaimRecord *hold),
                                        void *user);

  /* As the reader: merges one record; then, when all have arrived, handles each source. */
  void lc_request_agent_merge_record (LcRequestAgent *agent, const LcClaimRecord *hold);
  void
  lc_request_agent_add_source (LcRequestAgent *agent, const LcClaimSource *source, int64_t now_us);

  /* The newest revision for which this agent holds all claims, at most `view_revision`. */
  LcRevision lc_request_agent_synced_revision (const LcRequestAgent *agent,
                                               LcRevision view_revision);

  bool lc_request_agent_is_idle (const LcRequestAgent *agent);

  /* Pops the oldest action, false when there is none; clear it after use. */
  bool lc_request_agent_next_action (LcRequestAgent *agent, LcAgentAction *action);
  void lc_agent_action_clear (LcAgentAction *action);

#ifdef __cplusplus
}
#endif

#endif /* LC_REQUEST_AGENT_H */
