/* lc-request-balancer: every decision of a balancer's request plane.
 *
 * WHAT IT IS
 *   A state machine over requests in flight.  A request passes the filter chain, then attempts go
 *   to agents until one brings its whole answer or the request is given up; a request that is
 *   given up is ended at once.  It does no I/O: each call appends actions.
 *
 * HOW TO USE IT
 *     lc_request_balancer_init (&balancer, &(LcRequestBalancerDesc){ .own_dc = dc });
 *     lc_request_balancer_view (&balancer, view, now_us);        after each view change
 *     flight_id = lc_request_balancer_start (&balancer, &request, &verdict);    0: refused
 *     while (lc_request_balancer_take (&balancer, &action)) switch (action.kind)
 *       SEND    connect and send; then lc_request_balancer_sent or _unsent
 *       CANCEL  tell the agent that nobody waits for this attempt
 *       ANSWER  the answer just given to lc_request_balancer_answered goes to this caller
 *       FAIL    tell the caller action.fail
 *     lc_request_balancer_tick (&balancer, now_us);              every few milliseconds
 *     lc_request_balancer_finish (&balancer);
 *
 * LIFETIME
 *   Keeps a pointer to the view given last.  A flight ends with ANSWER, FAIL or _gone.
 *
 * LIMITS
 *   Counters of outstanding attempts are kept per instance; see lc-pick.  State is kept only for
 *   services that had a request, and a view change costs only those whose members it changed.
 */
#ifndef LC_REQUEST_BALANCER_H
#define LC_REQUEST_BALANCER_H

#include "core/filter/lc-filter-attempt.h"
#include "core/filter/lc-filter.h"
#include "lc-hedge.h"

#ifdef __cplusplus
extern "C"
{
#endif

  typedef struct
  {
    LcDcId own_dc;
    uint64_t seed;       /* of the random choices */
    uint32_t choices;    /* see lc-pick */
    bool has_no_hedge;   /* measure without hedging */
    int64_t distance_us; /* see lc-pick */
    int64_t ramp_us;     /* see lc-pick */
    int64_t connect_us;  /* how long an endpoint counts as unreachable; 0: 1 s */
  } LcRequestBalancerDesc;

  typedef enum
  {
    LC_BALANCER_SEND = 1,
    LC_BALANCER_CANCEL = 2,
    LC_BALANCER_ANSWER = 3,
    LC_BALANCER_FAIL = 4,
  } LcBalancerActionKind;

  typedef struct
  {
    LcBalancerActionKind kind;
    uint64_t flight_id;
    union
    {
      struct
      {
        uint32_t number;
        LcMemberRef ref;
        uint32_t ipv4;
        uint16_t peer_port;
        int64_t left_us;
      } send;
      struct
      {
        LcRequestId id;
        uint32_t number;
        uint64_t link_id;
      } cancel;
      struct
      {
        LcRefuseReason reason;
        LcOutcome outcome;
        int64_t retry_after_us;
      } fail;
    };
  } LcBalancerAction;

  typedef struct
  {
    uint64_t requests_total;
    uint64_t attempts_total;
    uint64_t retries_total;
    uint64_t hedges_total;
    uint64_t answered_total;
    uint64_t not_run_total;
    uint64_t unknown_total;
    uint64_t dropped_total; /* late, doubled or crossed messages */
  } LcRequestBalancerStats;

  typedef struct
  {
    LcRequestBalancerDesc desc;
    const LcView *view;
    GHashTable *services;    /* service id -> private state, owned; only those in use */
    GHashTable *by_instance; /* LcInstance -> private state of its service */
    GHashTable *flights;     /* flight id -> private flight, owned */
    GHashTable *by_id;       /* LcRequestId -> private flight */
    GArray *actions;
    guint n_taken;
    uint64_t next_flight_id;
    uint64_t random;
    int64_t now_us; /* of the newest request */
    LcRequestBalancerStats stats;
  } LcRequestBalancer;

  void lc_request_balancer_init (LcRequestBalancer *balancer, const LcRequestBalancerDesc *desc);
  void lc_request_balancer_finish (LcRequestBalancer *balancer);
  void lc_request_balancer_view (LcRequestBalancer *balancer, const LcView *view, int64_t now_us);

  /* Runs the filters; 0 and `verdict` when one refuses. */
  uint64_t lc_request_balancer_start (LcRequestBalancer *balancer,
                                      LcFilterRequest *request,
                                      LcFilterVerdict *verdict);

  /* The answer to a SEND action. */
  void lc_request_balancer_sent (LcRequestBalancer *balancer,
                                 uint64_t flight_id,
                                 uint32_t number,
                                 uint64_t link_id);
  void lc_request_balancer_unsent (LcRequestBalancer *balancer,
                                   uint64_t flight_id,
                                   uint32_t number,
                                   int64_t now_us);

  /* Where a message came from: a flight's attempt on the link it was sent on. */
  typedef struct
  {
    LcRequestId id;
    uint32_t number;
    uint64_t link_id;
  } LcAttemptRef;

  /* Returns the flight whose answer this is, or 0: drop it. */
  uint64_t lc_request_balancer_answered (LcRequestBalancer *balancer,
                                         const LcAttemptRef *ref,
                                         bool is_whole,
                                         uint32_t status,
                                         int64_t now_us);
  void lc_request_balancer_refused (LcRequestBalancer *balancer,
                                    const LcAttemptRef *ref,
                                    const LcRefusal *refusal,
                                    int64_t retry_after_us,
                                    int64_t now_us);
  /* Whether an attempt is still waited for, so that parts of its answer are worth keeping. */
  bool lc_request_balancer_is_open (const LcRequestBalancer *balancer, const LcAttemptRef *ref);

  void
  lc_request_balancer_link_down (LcRequestBalancer *balancer, uint64_t link_id, int64_t now_us);
  void lc_request_balancer_reachable (LcRequestBalancer *balancer,
                                      LcInstance instance,
                                      bool is_reachable,
                                      int64_t now_us);
  void lc_request_balancer_report (LcRequestBalancer *balancer,
                                   LcInstance instance,
                                   const LcPickReport *report,
                                   int64_t now_us);

  /* The caller went away: its attempts are cancelled, nobody is told. */
  void lc_request_balancer_gone (LcRequestBalancer *balancer, uint64_t flight_id, int64_t now_us);

  void lc_request_balancer_tick (LcRequestBalancer *balancer, int64_t now_us);

  uint32_t lc_request_balancer_n_flights (const LcRequestBalancer *balancer);
  bool lc_request_balancer_take (LcRequestBalancer *balancer, LcBalancerAction *action);

#ifdef __cplusplus
}
#endif

#endif /* LC_REQUEST_BALANCER_H */
