/* lc-assign: least-loaded endpoint selection for new flows, with slow start and outlier exclusion.
 *
 * WHAT IT IS
 *   The assigner's table of the endpoints of its service, with the load that each agent counts
 *   itself and reports to the others, and the choice of an endpoint by it.
 *
 * THE CHOICE
 *   An endpoint is eligible when
 *     - it is a candidate in the view, and its load report is not stale,
 *     - its data centre is not evacuated, and in one of the regions that the flow is kept to,
 *     - it has not refused a flow for a second, and is below its connection limit.
 *   Endpoints whose backend server looks bad are excluded, unless more than half look bad: then the
 *   signal is not trusted and all are used.
 *   Load is open flows over capacity; capacity is weight times the slow-start ramp.  A byte rate
 *   well above the mean adds to the load, so that a few heavy flows count.  Endpoints of the
 *   balancer's data centre are preferred while the best of them is within the spillover margin of
 *   the best of all.  The assigner keeps the flow itself while its own load is within a tolerance
 *   of the lowest.
 *
 * HOW TO USE IT
 *     LcAssign assign;
 *     lc_assign_init (&assign, &desc);
 *     lc_assign_set_members (&assign, service, self_id, now_us);     after each view change
 *     lc_assign_update_dcs (&assign, view);                          likewise
 *     lc_assign_record_load (&assign, &load, now_us);                a peer's load report
 *     int i = lc_assign_choose (&assign, hash, dc, regions, now_us); -1: none, see assign.failure
 *     lc_assign_count_flow (&assign, i);                             until its next report
 *     lc_assign_finish (&assign);
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

  /* All but LEAST are baselines for benchmarks. */
  typedef enum
  {
    LC_ASSIGN_LEAST_LOAD = 0,   /* self unless the lowest is lower by a tolerance */
    LC_ASSIGN_HASH = 1,         /* the first home, regardless of load */
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
    int64_t ramp_us;              /* length of the slow start; 0: 10 s */
    uint32_t ramp_first_permille; /* share of its capacity that a slow start begins with; 0: 100 */
    uint32_t sample;              /* endpoints compared in larger services; 0: 16 */
    uint32_t byte_permille;       /* weight of a byte rate above the mean; 0: none */
    uint32_t work_weight;         /* open flows that a request at work counts for; 0: not counted */
    uint32_t near_permille; /* own data centre while less than this share of an endpoint's slots is
                               at work; 0: by spillover alone */
    int64_t stale_us;       /* exclude an endpoint whose last report is older; 0: never */
  } LcAssignDesc;

  /* Whether an agent's table has every flow that its backend server holds (lc-flow-finder.h). */
  typedef enum
  {
    LC_FLOW_COVERAGE_UNKNOWN = 0,
    LC_FLOW_COVERAGE_FULL = 1,
    LC_FLOW_COVERAGE_PARTIAL = 2,
  } LcFlowCoverage;

  /* The load report that an agent sends to the other agents of its service. */
  typedef struct
  {
    LcCandidate agent;
    LcRevision revision;
    uint32_t open_flows;
    uint32_t at_work;   /* requests that have no answer yet */
    uint32_t byte_rate; /* of its flows, bytes a second; 0: not measured */
    bool is_accepting;  /* false: leaving, or at its limit */
    bool looks_bad;     /* its backend server fails its health check or its requests */
    bool is_warm;       /* its agent restarted beside a running backend server: no slow start */
    LcFlowCoverage coverage;
  } LcFlowLoad;

  typedef struct
  {
    LcCandidate agent;
    LcDcId dc;
    uint16_t weight_percent;
    uint32_t connection_limit;
    uint32_t open_flows; /* as last reported, plus those assigned since */
    uint32_t at_work;    /* likewise */
    uint8_t slots;
    uint32_t byte_rate;
    int64_t reported_us;
    int64_t refusing_until_us;
    int64_t joined_us;     /* when the view first had it JOINING; 0: slow start is over */
    int64_t lost_us;       /* when the view first had it LOST; 0: not LOST */
    int64_t asked_us;      /* first query since its last message; 0: none unanswered */
    int64_t heard_us;      /* its last message of any kind; 0: none */
    int64_t asked_last_us; /* last query */
    bool is_candidate;
    bool is_evacuated; /* its data centre is */
    uint8_t region;    /* of its data centre: lc_view_region */
    bool is_accepting;
    bool looks_bad;
    bool is_warm;
    LcFlowCoverage coverage;
  } LcAssignPeer;

  typedef struct
  {
    LcAssignDesc desc;
    LcAssignPeer *peers; /* owned; every endpoint of the service, ordered by id */
    uint32_t n_peers;
    LcEndpointId self_id;
    uint64_t draws;
    uint64_t mean_flow_load; /* of the endpoints compared last; scales the byte load */
    uint64_t mean_byte_load;
    LcDropReason failure; /* why the last choice found no endpoint */
  } LcAssign;

  void lc_assign_init (LcAssign *assign, const LcAssignDesc *desc);
  void lc_assign_finish (LcAssign *assign);
  void lc_assign_set_members (LcAssign *assign,
                              const LcService *service,
                              LcEndpointId self_id,
                              int64_t now_us);
  /* Copies from the view, for each member, its data centre's region and whether it is evacuated. */
  void lc_assign_update_dcs (LcAssign *assign, const LcView *view);
  LcAssignPeer *lc_assign_find_peer (const LcAssign *assign, LcEndpointId id);
  void lc_assign_record_load (LcAssign *assign, const LcFlowLoad *load, int64_t now_us);
  /* The endpoint refused a flow: it is excluded for a second. */
  void lc_assign_record_refusal (LcAssign *assign, LcEndpointId id, int64_t now_us);
  /* Index into `peers` of an endpoint in one of these regions, or -1. */
  int lc_assign_choose (
      LcAssign *assign, uint64_t key_hash, LcDcId dc, LcRegionMask regions, int64_t now_us);
  /* Counts a flow just assigned to this peer. */
  void lc_assign_count_flow (LcAssign *assign, int index);

  /* Whether, with this one as bad, at least as many good eligible endpoints remain as bad ones: the
   * rule of lc_assign_choose, for an endpoint that was chosen before its state was known. */
  bool lc_assign_may_exclude_self (LcAssign *assign, LcRegionMask regions, int64_t now_us);
  /* Capacity in thousandths of an endpoint of weight 100 %, slow start included. */
  uint32_t lc_assign_capacity (const LcAssign *assign, const LcAssignPeer *peer, int64_t now_us);

#ifdef __cplusplus
}
#endif

#endif /* LC_ASSIGN_H */
