/* lc-request-agent: every decision of an agent's request plane.
 *
 * WHAT IT IS
 *   A state machine over runs.  A run is one execution at the backend server, with those who asked
 *   for it (balancers, by link, request id and attempt number).  A keyed run first claims its key
 *   at the key's homes, then waits for a slot, runs once, and is remembered with its answer, so
 *   that a repeat gets the same answer or "unknown", never a second run.  The agent is also a home
 *   for other agents' claims.  It does no I/O: each call appends actions, which the caller takes
 *   and carries out.
 *
 * HOW TO USE IT
 *     lc_request_agent_init (&agent, &desc);
 *     lc_request_agent_view (&agent, service, now_us);
 *     run_id = lc_request_agent_attempt (&agent, &attempt, now_us);   not 0: keep its payload
 *     while (lc_request_agent_take (&agent, &action))
 *       { carry it out; lc_agent_action_clear (&action); }
 *     lc_request_agent_ended (&agent, run_id, LC_RUN_OK, answer, now_us);
 *     lc_request_agent_tick (&agent, now_us);                         every few milliseconds
 *     lc_request_agent_finish (&agent);
 *
 * LIFETIME
 *   Owns runs, recorded answers and the claims it keeps for others.
 *
 * LIMITS
 *   Recorded answers take desc.max_answer_bytes at most: the oldest are dropped first, their
 *   records stay until they expire.  Records are kept for desc.keep_us after the run.
 */
#ifndef LC_REQUEST_AGENT_H
#define LC_REQUEST_AGENT_H

#include "lc-admission.h"
#include "lc-answer.h"
#include "lc-claim-era.h"
#include "lc-claim-store.h"
#include "lc-claim-try.h"
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
    int64_t keep_us;           /* of records and claims; 0: 300 s */
    uint64_t max_answer_bytes; /* 0: 32 MiB */
    uint32_t max_records;      /* 0: 250 000 */
    int64_t lost_after_us;     /* see lc-claim-era */
  } LcRequestAgentDesc;

  /* Who asked: an answer goes back by exactly this. */
  typedef struct
  {
    uint64_t link_id;
    LcRequestId id;
    uint32_t attempt;
  } LcAsk;

  typedef struct
  {
    LcAsk ask;
    LcInstance instance; /* it is meant for */
    LcRequestKey key;    /* none: idempotent, needs no claim */
    bool is_caller_key;
    bool is_check; /* runs nothing: only asks what became of the key */
    uint64_t digest;
    int64_t deadline_us;
  } LcAgentAttempt;

  typedef enum
  {
    LC_AGENT_START = 1,   /* run_id: send it to the backend server */
    LC_AGENT_STOP = 2,    /* run_id: cancel it there */
    LC_AGENT_FORGET = 3,  /* run_id: drop its payload */
    LC_AGENT_ANSWER = 4,  /* answer */
    LC_AGENT_REFUSE = 5,  /* refuse */
    LC_AGENT_CLAIM = 6,   /* claim: ask this home */
    LC_AGENT_RELEASE = 7, /* claim */
    LC_AGENT_READ = 8,    /* read: ask this member for its claims */
    LC_AGENT_KEEP = 9,    /* keep: a claim as it stands now, for a process that starts again; before
                           * any later action and before the reply to the call that brought it */
    LC_AGENT_HELD_UP =
        10, /* held_up: its key can't be claimed for now; told once a run, for logs */
  } LcAgentActionKind;

  typedef struct
  {
    LcAgentActionKind kind;
    union
    {
      uint64_t run_id;
      struct
      {
        LcAsk ask;
        LcAnswer *answer; /* a reference of the action's own */
        bool is_replayed;
      } answer;
      struct
      {
        LcAsk ask;
        LcRefuseReason reason;
        bool is_checked;
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
        LcAsk ask; /* the first that waits for the run */
        LcRequestKey key;
        LcMemberRef home;  /* none: there is no home, or none has answered */
        LcClaimResult why; /* 0: no answer */
        int64_t deadline_us;
      } held_up;
      LcClaimHold keep; /* expires_us 0: it is held no more */
    };
  } LcAgentAction;

  typedef struct
  {
    uint64_t runs_total;
    uint64_t replayed_total;
    uint64_t refused_total;
    uint64_t duplicates_total; /* attempts seen before */
    uint64_t held_total;
    uint64_t unclaimed_total;
    uint64_t unknown_total;
  } LcRequestAgentStats;

  typedef struct
  {
    LcRequestAgentDesc desc;
    LcAdmission admission;
    LcClaimStore store;
    LcClaimEra era;
    LcRequestAgentStats stats;
    GHashTable *runs;   /* run id -> LcRun, owned */
    GHashTable *active; /* LcRun that are not over */
    GHashTable *by_key; /* LcRequestKey -> LcRun */
    GHashTable
        *seen; /* LcAsk without its link -> when to forget it, and whether it is a tombstone */
    GArray *actions;
    guint n_taken;
    GQueue answered; /* LcRun with a recorded answer, oldest first */
    GQueue closed;   /* LcRun that are over and on record, oldest first */
    uint64_t answer_bytes;
    uint64_t next_run_id;
    uint64_t next_sequence;
    int64_t read_us; /* when members were asked last */
    int64_t expired_us;
    bool is_draining;
    bool is_evacuated; /* its data centre is: nothing new is run, what runs goes on */
  } LcRequestAgent;

  void lc_request_agent_init (LcRequestAgent *agent, const LcRequestAgentDesc *desc);
  void lc_request_agent_finish (LcRequestAgent *agent);

  /* Goes on with what an earlier process kept; call both right after init, the claims first. */
  void lc_request_agent_resume_claim (LcRequestAgent *agent, const LcClaimHold *hold);
  void lc_request_agent_resume (LcRequestAgent *agent, const LcClaimEraState *state);

  /* Takes the newest view's service (NULL: not there) and this agent's endpoint id. */
  void lc_request_agent_view (LcRequestAgent *agent,
                              const LcService *service,
                              LcEndpointId self_id,
                              int64_t now_us);

  /* Whether the newest view has its data centre as evacuated.  What waits then is refused as not
   * run, so that its balancer can place it elsewhere. */
  void lc_request_agent_set_evacuated (LcRequestAgent *agent, bool is_evacuated);

  /* A whole attempt has arrived.  Returns the id of the run whose payload it brings, else 0. */
  uint64_t
  lc_request_agent_attempt (LcRequestAgent *agent, const LcAgentAttempt *attempt, int64_t now_us);

  void lc_request_agent_cancel (LcRequestAgent *agent, const LcAsk *ask, int64_t now_us);

  /* The run is over.  `answer` counts with LC_RUN_OK (a reference is taken). */
  void lc_request_agent_ended (
      LcRequestAgent *agent, uint64_t run_id, LcRunEnd how, LcAnswer *answer, int64_t now_us);

  /* A link is gone: nobody there waits any more. */
  void lc_request_agent_link_down (LcRequestAgent *agent, uint64_t link_id, int64_t now_us);

  void lc_request_agent_tick (LcRequestAgent *agent, int64_t now_us);

  /* Takes no new run from now on; repeats of known keys are still answered. */
  void lc_request_agent_drain (LcRequestAgent *agent);

  /* As a home: another agent's claim. */
  LcClaimResult lc_request_agent_claim (LcRequestAgent *agent,
                                        LcInstance home_instance,
                                        LcRequestKey key,
                                        LcMemberRef owner,
                                        uint64_t sequence,
                                        LcRevision era,
                                        int64_t keep_us,
                                        int64_t now_us,
                                        LcClaimHold *hold);
  void lc_request_agent_release (LcRequestAgent *agent,
                                 LcRequestKey key,
                                 LcInstance owner_instance,
                                 uint64_t sequence);

  /* As an owner: a home's answer, or NOT_READY when it can't be reached. */
  typedef struct
  {
    LcMemberRef home;
    LcRequestKey key;
    uint64_t sequence;
    LcRevision era;
    LcClaimResult result;
    LcMemberRef holder;
    int64_t lost_for_us; /* NOT_READY: and not before so long; 0: soon, or not known */
  } LcClaimReply;
  void
  lc_request_agent_claim_reply (LcRequestAgent *agent, const LcClaimReply *reply, int64_t now_us);

  /* As a member that is read for a step to `asked`: what to say of itself, and of the members that
   * it was before; then every record that the reader needs.  Returns how many sources there are,
   * itself first. */
  uint32_t lc_request_agent_sources (const LcRequestAgent *agent,
                                     LcRevision asked,
                                     int64_t now_us,
                                     LcClaimSource sources[LC_CLAIM_ERA_MAX_SELVES]);
  void lc_request_agent_records (const LcRequestAgent *agent,
                                 LcMemberRef reader,
                                 const LcMemberRef *members,
                                 uint32_t n_members,
                                 int64_t now_us,
                                 void (*each) (void *user, const LcClaimHold *hold),
                                 void *user);

  /* As the reader: one record; then, when all have come, each source. */
  void lc_request_agent_record (LcRequestAgent *agent, const LcClaimHold *hold);
  void
  lc_request_agent_read_done (LcRequestAgent *agent, const LcClaimSource *source, int64_t now_us);

  /* The newest view revision up to which this agent has done its part, given the view's own. */
  LcRevision lc_request_agent_registered (const LcRequestAgent *agent, LcRevision view_revision);

  bool lc_request_agent_is_idle (const LcRequestAgent *agent);

  /* Pops the oldest action; clear it after use. */
  bool lc_request_agent_take (LcRequestAgent *agent, LcAgentAction *action);
  void lc_agent_action_clear (LcAgentAction *action);

#ifdef __cplusplus
}
#endif

#endif /* LC_REQUEST_AGENT_H */
