/* lc-control-state: the replicated state machine of the control VMs.
 *
 * WHAT IT IS
 *   Every control VM applies the same committed commands in the same order and so holds the same
 *   state: the view, plans, answers to earlier requests, the audit history, and a record of each
 *   endpoint and balancer by name.
 *
 * HOW TO USE IT
 *     lc_control_state_init (&state);
 *     lc_control_state_apply (&state, index, &command);     log index = revision
 *     state.ops                                             the changes to the view
 *     lc_control_state_answer (&state, request_id)          the answer to plan, confirm, evacuate
 *     lc_control_state_finish (&state);
 *
 * RULES
 *   - A plan's base is the revision of the newest confirmed intent (config_revision), so that
 *     membership changes don't invalidate it.  Confirm succeeds only while the base is unchanged,
 *     and repeats the safety checks.  Of two plans on one base, the second confirm fails with
 *     LC_ERR_CONFLICT; so does a second confirm of one plan, unless it is a resend (same request
 *     id).
 *   - A resent request gets the first answer.  The newest LC_CONTROL_ANSWERS_MAX answers are kept;
 *     the outcome of an older request is in the history.
 *   - A plan that would leave a service with no endpoint or cut flows is refused unless the intent
 *     allows it.
 *   - Member changes without effect, or of an instance that was replaced, are ignored.
 *   - A numbered declaration takes effect when applied, unless its number is not higher than that
 *     in force; plans made before it are superseded.  It is done once state.numbered.number has
 *     reached its number.
 *   - An evacuation takes effect when applied, independently of declarations and plans.  Plans made
 *     before it stay open; confirm checks them again.
 *   - An operator's drain is stored by endpoint name and survives restarts of the agent.
 *
 * LIFETIME
 *   The state owns all it refers to; `ops` is valid until the next apply.
 */
#ifndef LC_CONTROL_STATE_H
#define LC_CONTROL_STATE_H

#include "core/lc-view.h"
#include "core/member/lc-member-change.h"
#include "lc-evacuation.h"
#include "lc-numbered.h"

#ifdef __cplusplus
extern "C"
{
#endif

  enum
  {
    LC_CONTROL_ANSWERS_MAX = 4096,
    LC_CONTROL_PLANS_MAX = 256,
    LC_CONTROL_HISTORY_MAX = 10000,
    LC_CONTROL_RETIRED_INSTANCES = 4,
    LC_CONTROL_SUMMARY_MAX = 160, /* bytes */
  };

  typedef enum
  {
    LC_COMMAND_PLAN = 1,
    LC_COMMAND_CONFIRM = 2,
    LC_COMMAND_MEMBER = 3,
    LC_COMMAND_REPLACED = 4, /* a control VM was replaced; proposed by the leader itself */
    LC_COMMAND_NUMBERED = 5, /* a numbered declaration: lc-numbered.h */
    LC_COMMAND_EVACUATE = 6, /* begins or ends an evacuation: lc-evacuation.h */
    LC_COMMAND_CHANGES = 7,  /* several member changes in one log entry */
  } LcControlCommandKind;

  typedef struct
  {
    LcControlCommandKind kind;
    char request_id[LC_NAME_MAX]; /* plan, confirm, evacuate: unique, the same in a resend */
    char who[LC_NAME_MAX];        /* the operator, for the history */
    int64_t wall_us;              /* at the VM that received it, for the history */
    union
    {
      LcIntent intent;
      uint64_t plan_id;
      LcMemberChange member;
      struct
      {
        LcMemberChange *items; /* owned */
        uint32_t n;            /* 1 to LC_MEMBER_CHANGES_MAX */
      } changes;
      LcNumberedDeclaration numbered;
      LcEvacuation evacuation;
    };
  } LcControlCommand;

  typedef struct
  {
    LcErrorCode code;
    uint64_t plan_id;
    uint64_t index;      /* log index of the command */
    LcRevision revision; /* confirm, evacuate: of the view that contains the change */
    char message[LC_ERROR_MESSAGE_MAX];
    char remedy[LC_ERROR_REMEDY_MAX];
    uint64_t fingerprint; /* of the command: a request id used for another command is refused */
  } LcControlAnswer;

  typedef enum
  {
    LC_PLAN_OPEN = 1,
    LC_PLAN_CONFIRMED = 2,
    LC_PLAN_SUPERSEDED = 3, /* its base is no longer in force */
  } LcPlanState;

  typedef struct
  {
    uint64_t id; /* log index */
    LcRevision base_revision;
    LcRevision confirmed_revision;
    LcPlanState state;
    LcIntent intent;
    char who[LC_NAME_MAX];
    int64_t wall_us;
    uint32_t n_changes;   /* 0: nothing to do */
    uint32_t n_moved;     /* endpoints that stop taking new work */
    uint32_t settle_s;    /* until no new work reaches them */
    bool waits_for_flows; /* it is done when established flows have ended */
    char *steps;          /* one per line */
    char *breaks;         /* what would break, one per line; empty: nothing */
  } LcPlan;

  typedef struct
  {
    LcRevision revision;
    int64_t wall_us;
    uint64_t plan_id;
    char who[LC_NAME_MAX];
    char action[24]; /* "plan", "confirm", "conflict", "refused", "done", "declare", "evacuate" */
    char summary[LC_CONTROL_SUMMARY_MAX];
  } LcAudit;

  /* The record of an endpoint name, kept also while the endpoint is gone. */
  typedef struct
  {
    char name[LC_NAME_MAX];
    LcEndpointId id;
    LcServiceId service_id;
    LcInstance instance;
    LcInstance retired[LC_CONTROL_RETIRED_INSTANCES]; /* newest first */
    bool is_drained;                                  /* by an operator */
    bool is_leaving;                                  /* its agent is stopping */
    bool is_ramped;
    bool is_lost;
    bool is_gone;
  } LcEndpointRecord;

  typedef struct
  {
    char name[LC_NAME_MAX];
    LcBalancerId id;
    LcInstance instance;
    LcInstance retired[LC_CONTROL_RETIRED_INSTANCES];
    bool is_gone;
  } LcBalancerRecord;

  /* A control VM that is being replaced. */
  typedef struct
  {
    bool is_active;
    uint64_t plan_id;
    char old_name[LC_NAME_MAX];
    LcControlAddress replacement;
  } LcControlReplace;

  /* The numbered declaration in force. */
  typedef struct
  {
    uint64_t number;     /* 0: there was none yet */
    GBytes *document;    /* as it was sent */
    LcRevision revision; /* at which it took effect */
  } LcControlNumbered;

  typedef struct
  {
    LcView view;
    LcRevision config_revision; /* of the newest confirmed intent */
    LcRevision applied;         /* index of the newest applied command */
    GHashTable *endpoints;      /* name -> LcEndpointRecord */
    GHashTable *balancers;      /* name -> LcBalancerRecord */
    GHashTable *answers;        /* request id -> LcControlAnswer */
    GQueue answer_order;        /* request ids, oldest first (keys of `answers`) */
    GPtrArray *plans;           /* LcPlan, oldest first */
    GArray *history;            /* LcAudit, oldest first */
    LcControlReplace replace;
    LcControlNumbered numbered;
    uint32_t next_service_id;
    uint32_t next_endpoint_id;
    uint32_t next_balancer_id;
    uint32_t next_dc_id;
    uint32_t next_route_id;
    uint64_t ignored_total;    /* member changes without effect or for unknown objects */
    uint64_t duplicates_total; /* resent requests and outdated numbered declarations */
    GArray *ops;               /* LcViewOp of the last apply */
  } LcControlState;

  void lc_control_state_init (LcControlState *state);
  void lc_control_state_finish (LcControlState *state);
  void lc_control_state_clear (LcControlState *state);
  void lc_control_state_apply (LcControlState *state, LcRevision index, const LcControlCommand *c);

  const LcControlAnswer *lc_control_state_answer (const LcControlState *state, const char *id);
  /* Whether the answer belongs to this command, not to another one with the same request id. */
  bool lc_control_answer_matches (const LcControlAnswer *answer, const LcControlCommand *command);
  const LcPlan *lc_control_state_plan (const LcControlState *state, uint64_t id);
  /* Endpoints of a confirmed plan that still drain, or 1 while a control VM is being replaced; 0:
   * done. */
  uint32_t lc_control_state_remaining (const LcControlState *state, const LcPlan *plan);
  /* The services (LcService) sorted by id, the same on every replica; g_ptr_array_unref. */
  GPtrArray *lc_control_state_services (const LcControlState *state);
  void lc_control_command_finish (LcControlCommand *command);
  void lc_plan_free (LcPlan *plan);

#ifdef __cplusplus
}
#endif

#endif /* LC_CONTROL_STATE_H */
