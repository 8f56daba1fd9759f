/* lc-control-state: the deterministic state machine that committed commands drive.
 *
 * WHAT IT IS
 *   Every control VM applies the same committed commands in the same order and holds the same
 *   state: the view, plans, the answers already given, the audit history, and what it must
 *   remember of endpoints and balancers by name.
 *
 * HOW TO USE IT
 *     lc_control_state_init (&state);
 *     lc_control_state_apply (&state, index, &command);     index in the log = revision
 *     state.ops                                             what it changed in the view
 *     lc_control_state_answer (&state, request_id)          the answer of a plan or confirm
 *     lc_control_state_finish (&state);
 *
 * RULES
 *   - A plan's base is the revision of the newest confirmed intent (config_revision), so that
 *     membership may change under a plan; confirm succeeds only while that base still holds, and
 *     checks safety again.  Of two plans on one base, the second confirm gets LC_ERR_CONFLICT; so
 *     does a second confirm of one plan, unless it is a resend (same request id).
 *   - A resent request gets the first answer.  The newest LC_CONTROL_ANSWERS_MAX are kept; an
 *     operator whose request is older than that must look at the history.
 *   - A plan that would leave a service with no endpoint or cut flows is refused unless the intent
 *     says that it may.
 *   - Member changes that change nothing, or name an instance that was replaced, are ignored.
 *   - A numbered declaration is in force once it is applied, unless one with its number or a higher
 *     one was before; plans made before it are superseded.  Whoever sent it has its answer when
 *     state.numbered.number has reached its number.
 *   - An evacuation is carried out as it is applied, in any order with declarations and plans;
 * plans made before it stay open, and are checked again when they are confirmed.
 *   - An operator's drain belongs to the endpoint's name and stays over restarts of its agent.
 *
 * LIFETIME
 *   Owns everything; `ops` is valid until the next apply.
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
    LC_CONTROL_SUMMARY_MAX = 160,
  };

  typedef enum
  {
    LC_COMMAND_PLAN = 1,
    LC_COMMAND_CONFIRM = 2,
    LC_COMMAND_MEMBER = 3,
    LC_COMMAND_REPLACED = 4, /* the change of control VMs is done; by the leader itself */
    LC_COMMAND_NUMBERED = 5, /* a numbered declaration: lc-numbered.h */
    LC_COMMAND_EVACUATE = 6, /* begins or ends an evacuation: lc-evacuation.h */
    LC_COMMAND_CHANGES = 7,  /* several membership transitions, one entry */
  } LcControlCommandKind;

  typedef struct
  {
    LcControlCommandKind kind;
    char request_id[LC_NAME_MAX]; /* of what is answered: unique, and equal in a resend */
    char who[LC_NAME_MAX];
    int64_t wall_us; /* of the VM that took it, for the history */
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
    LcErrorCode code; /* LC_OK or why not */
    uint64_t plan_id;
    uint64_t index;      /* in the log, where it was decided */
    LcRevision revision; /* confirm: of the view that holds the change */
    char message[LC_ERROR_MESSAGE_MAX];
    char remedy[LC_ERROR_REMEDY_MAX];
    uint64_t fingerprint; /* of the command: an id reused for another command is refused */
  } LcControlAnswer;

  typedef enum
  {
    LC_PLAN_OPEN = 1,
    LC_PLAN_CONFIRMED = 2,
    LC_PLAN_SUPERSEDED = 3, /* another plan was confirmed on its base */
  } LcPlanState;

  typedef struct
  {
    uint64_t id; /* index in the log */
    LcRevision base_revision;
    LcRevision confirmed_revision;
    LcPlanState state;
    LcIntent intent;
    char who[LC_NAME_MAX];
    int64_t wall_us;
    uint32_t n_changes;   /* operations on the configuration; 0: nothing to do */
    uint32_t n_moved;     /* endpoints that stop taking new work */
    uint32_t settle_s;    /* until no new work reaches them */
    bool waits_for_flows; /* then established flows end by themselves */
    char *steps;          /* one a line */
    char *breaks;         /* what would break, one a line; empty: nothing */
  } LcPlan;

  typedef struct
  {
    LcRevision revision;
    int64_t wall_us;
    uint64_t plan_id;
    char who[LC_NAME_MAX];
    char action[24]; /* "plan", "confirm", "conflict", "refused", "done" */
    char summary[LC_CONTROL_SUMMARY_MAX];
  } LcAudit;

  /* What is remembered of an endpoint by name, also while it is gone. */
  typedef struct
  {
    char name[LC_NAME_MAX];
    LcEndpointId id;
    LcServiceId service_id;
    LcInstance instance;
    LcInstance retired[LC_CONTROL_RETIRED_INSTANCES]; /* newest first */
    bool is_drained;                                  /* by an operator */
    bool is_leaving;                                  /* by itself */
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
    LcRevision revision; /* that put it in force */
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
    uint64_t ignored_total;    /* member changes that changed nothing or named the unknown */
    uint64_t duplicates_total; /* requests answered from `answers` */
    GArray *ops;               /* LcViewOp of the last apply */
  } LcControlState;

  void lc_control_state_init (LcControlState *state);
  void lc_control_state_finish (LcControlState *state);
  void lc_control_state_clear (LcControlState *state);
  void lc_control_state_apply (LcControlState *state, LcRevision index, const LcControlCommand *c);

  const LcControlAnswer *lc_control_state_answer (const LcControlState *state, const char *id);
  /* Whether an answer was given to this very command: an id must not be used for another. */
  bool lc_control_answer_matches (const LcControlAnswer *answer, const LcControlCommand *command);
  const LcPlan *lc_control_state_plan (const LcControlState *state, uint64_t id);
  /* Endpoints of a confirmed plan that still hold what they own; 0: its work is done. */
  uint32_t lc_control_state_remaining (const LcControlState *state, const LcPlan *plan);
  /* The services by id (LcService), the same on every replica; free it with g_ptr_array_unref. */
  GPtrArray *lc_control_state_services (const LcControlState *state);
  void lc_control_command_finish (LcControlCommand *command);
  void lc_plan_free (LcPlan *plan);

#ifdef __cplusplus
}
#endif

#endif /* LC_CONTROL_STATE_H */
