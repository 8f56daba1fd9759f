/* lc-assign: which endpoint gets a new flow.
 *
 * WHAT IT IS
 *   The assigner's knowledge of the endpoints of its service (loads that the agents count
 *   themselves and tell each other) and the choice by it.
 *
 * THE CHOICE
 *   An endpoint may take the flow when it is a candidate in the view, its data centre is not
 *   evacuated and in one of the regions that the flow is kept to, it is not refusing at present,
 * and it is below its connection limit.  Endpoints whose backend server looks bad are passed over,
 *   unless more than half of them look bad: then the sign is not believed and all are used (the
 *   guard).  Among the rest, load is open flows over
 * capacity, and capacity is weight times the cold-start ramp.  Endpoints of the balancer's data
 * centre go first while the best of them is within the spillover margin of the best of all.  The
 * assigner keeps the flow itself while its own load is within a tolerance of the lowest.  An
 * endpoint whose byte rate is well above the mean counts as loaded by that much more: a few heavy
 * flows weigh in a second dimension.
 *
 * HOW TO USE IT
 *     LcAssign assign;
 *     lc_assign_init (&assign, &desc);
 *     lc_assign_set_members (&assign, service, self_id, now_us);     after each view change
 *     lc_assign_set_places (&assign, view);                          and this
 *     lc_assign_report (&assign, &load, now_us);                     a peer's count
 *     int i = lc_assign_choose (&assign, hash, dc, regions, now_us); -1: nobody can
 *     lc_assign_note (&assign, i);                                   before the next report
 *
 * LIFETIME
 *   Owns its array of peers; a pointer to one is valid until the next lc_assign_set_members.
 */
#ifndef LC_ASSIGN_H
#define LC_ASSIGN_H

#include "lc-candidates.h"
#include "lc-envelope.h"

#ifdef __cplusplus
extern "C"
{
#endif

  /* How the choice is made; others than LEAST are kept for measurement. */
  typedef enum
  {
    LC_ASSIGN_LEAST = 0,        /* self unless the lowest is lower by a tolerance */
    LC_ASSIGN_HASH = 1,         /* the first home, whatever its load */
    LC_ASSIGN_SRLB_STATIC = 2,  /* first home below a fixed load, else the second */
    LC_ASSIGN_SRLB_DYNAMIC = 3, /* the same with a threshold that follows the load */
    LC_ASSIGN_TWO_CHOICES = 4,  /* the lower of two by hash */
  } LcAssignPolicy;

  typedef struct
  {
    LcAssignPolicy policy;
    uint32_t tolerance_permille;  /* of the lowest load; 0: 20 */
    uint32_t tolerance_flows;     /* 0: 1 */
    uint32_t spillover_permille;  /* own data centre may be this much above the best; 0: 100 */
    uint32_t static_threshold;    /* SRLB static: flows; 0: 50 */
    int64_t ramp_us;              /* 0: 10 s */
    uint32_t ramp_first_permille; /* of its capacity that a cold start begins with; 0: 100 */
    uint32_t sample;              /* of larger services this many are weighed; 0: 16 */
    uint32_t byte_permille;       /* weight of a byte rate above the usual; 0: none */
    uint32_t work_weight;         /* open flows that a request at work counts for; 0: not counted */
    uint32_t near_permille; /* own data centre while this share of an endpoint's slots is not at
                               work; 0: by spillover alone */
    int64_t stale_us;       /* an endpoint not heard for this long is passed over; 0: never */
  } LcAssignDesc;

  /* Whether an agent knows every flow that its backend server holds (lc-flow-finder.h). */
  typedef enum
  {
    LC_FLOW_KNOWS_UNSAID = 0,
    LC_FLOW_KNOWS_ALL = 1,
    LC_FLOW_KNOWS_SOME = 2,
  } LcFlowKnowledge;

  /* What an agent tells the others of its service. */
  typedef struct
  {
    LcCandidate agent;
    LcRevision revision;
    uint32_t open_flows;
    uint32_t at_work;   /* requests that have no answer yet */
    uint32_t byte_rate; /* of its flows, bytes a second; 0: not counted */
    bool is_accepting;  /* false: leaving, or at its limit */
    bool looks_bad;     /* its backend server's health endpoint says so */
    bool is_warm;       /* its agent was restarted beside a running backend server: no ramp */
    LcFlowKnowledge knowledge;
  } LcFlowLoad;

  typedef struct
  {
    LcCandidate agent;
    LcDcId dc;
    uint16_t weight_percent;
    uint32_t connection_limit;
    uint32_t open_flows; /* last report, and what was assigned since */
    uint32_t at_work;    /* the same */
    uint8_t slots;
    uint32_t byte_rate;
    int64_t reported_us;
    int64_t refusing_until_us;
    int64_t joined_us; /* when this agent first saw it JOINING; 0: ramped */
    int64_t lost_us;   /* when this agent first saw it LOST; 0: it is not */
    int64_t asked_us;  /* when a searcher asked it first since it said anything; 0: it has spoken */
    int64_t asked_last_us; /* and when it did so last */
    bool is_candidate;
    bool is_evacuated; /* its data centre is */
    uint8_t region;    /* of its data centre: lc_view_region */
    bool is_accepting;
    bool looks_bad;
    bool is_warm;
    LcFlowKnowledge knowledge;
  } LcAssignPeer;

  typedef struct
  {
    LcAssignDesc desc;
    LcAssignPeer *peers; /* owned; every endpoint of the service, ordered by id */
    uint32_t n_peers;
    LcEndpointId self_id;
    uint64_t draws;
    uint64_t mean_flow_load; /* of the endpoints weighed last, for the second dimension */
    uint64_t mean_byte_load;
    LcDropReason failure; /* why the last choice found nobody */
  } LcAssign;

  void lc_assign_init (LcAssign *assign, const LcAssignDesc *desc);
  void lc_assign_finish (LcAssign *assign);
  void lc_assign_set_members (LcAssign *assign,
                              const LcService *service,
                              LcEndpointId self_id,
                              int64_t now_us);
  /* Notes of each member what the view says of its data centre: whether it is evacuated, and the
   * region. */
  void lc_assign_set_places (LcAssign *assign, const LcView *view);
  LcAssignPeer *lc_assign_peer (const LcAssign *assign, LcEndpointId id);
  void lc_assign_report (LcAssign *assign, const LcFlowLoad *load, int64_t now_us);
  /* The endpoint refused a flow: it is passed over for a second. */
  void lc_assign_refused (LcAssign *assign, LcEndpointId id, int64_t now_us);
  /* An endpoint in one of these regions. */
  int lc_assign_choose (
      LcAssign *assign, uint64_t key_hash, LcDcId dc, LcRegionMask regions, int64_t now_us);
  void lc_assign_note (LcAssign *assign, int index);

  /* Whether at least as many others take new flows and look good as look bad, this one among them:
   * the guard that lc_assign_choose keeps, for an endpoint that was chosen by who did not know yet.
   */
  bool lc_assign_may_leave_out_self (LcAssign *assign, LcRegionMask regions, int64_t now_us);
  /* Capacity in thousandths of a nominal endpoint. */
  uint32_t lc_assign_capacity (const LcAssign *assign, const LcAssignPeer *peer, int64_t now_us);

#ifdef __cplusplus
}
#endif

#endif /* LC_ASSIGN_H */
