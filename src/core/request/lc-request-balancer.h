/* lc-request-balancer: the state machine of a balancer's request plane, without I/O.
 *
 * WHAT IT IS
 *   A request passes the filter chain, then attempts are sent to agents until one returns a
 *   complete answer or the request fails; its other attempts are then cancelled.  Each call appends
 *   actions, which the caller takes and executes.
 *
 * HOW TO USE IT
 *     lc_request_balancer_init (&balancer, &(LcRequestBalancerDesc){ .own_dc = dc });
 *     lc_request_balancer_set_view (&balancer, view, now_us);        after each view change
 *     flight_id = lc_request_balancer_start_request (&balancer, &request, &verdict);    0: refused
 *     while (lc_request_balancer_next_action (&balancer, &action)) switch (action.kind)
 *       SEND    connect and send; then lc_request_balancer_handle_sent or _unsent
 *       CANCEL  send the agent a cancellation of this attempt
 *       ANSWER  send the caller the answer just passed to lc_request_balancer_handle_answer
 *       FAIL    report action.fail to the caller
 *     lc_request_balancer_tick (&balancer, now_us);              every few milliseconds
 *     lc_request_balancer_finish (&balancer);
 *
 * LIFETIME
 *   Keeps a pointer to the view set last.  A flight ends with ANSWER, FAIL or _gone.
 *
 * LIMITS
 *   Outstanding attempts are counted per instance; see lc-pick.
 *   State is kept only for services that had a request, and a view change costs time only for those
 *   whose members it changed.
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
    bool has_no_hedge;   /* for measurements */
    int64_t distance_us; /* see lc-pick */
    int64_t ramp_us;     /* see lc-pick */
    int64_t connect_us;  /* how long a request waits for a connection; 0: 1 s */
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
    uint64_t dropped_total; /* late, duplicate or misdirected messages */
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
    int64_t now_us; /* arrival of the newest request */
    LcRequestBalancerStats stats;
  } LcRequestBalancer;

  void lc_request_balancer_init (LcRequestBalancer *balancer, const LcRequestBalancerDesc *desc);
  void lc_request_balancer_finish (LcRequestBalancer *balancer);
  void
  lc_request_balancer_set_view (LcRequestBalancer *balancer, const LcView *view, int64_t now_us);

  /* Runs the filters and starts a flight; 0 and `verdict` when a filter refuses. */
  uint64_t lc_request_balancer_start_request (LcRequestBalancer *balancer,
                                              LcFilterRequest *request,
                                              LcFilterVerdict *verdict);

  /* The result of a SEND action. */
  void lc_request_balancer_handle_sent (LcRequestBalancer *balancer,
                                        uint64_t flight_id,
                                        uint32_t number,
                                        uint64_t link_id);
  void lc_request_balancer_handle_send_failure (LcRequestBalancer *balancer,
                                                uint64_t flight_id,
                                                uint32_t number,
                                                int64_t now_us);

  /* Identifies the attempt that a message belongs to, with the link that it came over. */
  typedef struct
  {
    LcRequestId id;
    uint32_t number;
    uint64_t link_id;
  } LcAttemptRef;

  /* Returns the flight that the answer completes, else 0. */
  uint64_t lc_request_balancer_handle_answer (LcRequestBalancer *balancer,
                                              const LcAttemptRef *ref,
                                              bool is_whole,
                                              uint32_t status,
                                              int64_t now_us);
  void lc_request_balancer_handle_refusal (LcRequestBalancer *balancer,
                                           const LcAttemptRef *ref,
                                           const LcRefusal *refusal,
                                           int64_t retry_after_us,
                                           int64_t now_us);
  /* Whether an attempt is open, so that parts of its answer must be buffered. */
  bool lc_request_balancer_is_attempt_open (const LcRequestBalancer *balancer,
                                            const LcAttemptRef *ref);

  void lc_request_balancer_handle_link_down (LcRequestBalancer *balancer,
                                             uint64_t link_id,
                                             int64_t now_us);
  void lc_request_balancer_set_reachable (LcRequestBalancer *balancer,
                                          LcInstance instance,
                                          bool is_reachable,
                                          int64_t now_us);
  void lc_request_balancer_handle_report (LcRequestBalancer *balancer,
                                          LcInstance instance,
                                          const LcPickReport *report,
                                          int64_t now_us);

  /* The caller has disconnected: cancels its attempts without a FAIL. */
  void lc_request_balancer_cancel (LcRequestBalancer *balancer, uint64_t flight_id, int64_t now_us);

  void lc_request_balancer_tick (LcRequestBalancer *balancer, int64_t now_us);

  uint32_t lc_request_balancer_count_flights (const LcRequestBalancer *balancer);
  bool lc_request_balancer_next_action (LcRequestBalancer *balancer, LcBalancerAction *action);

#ifdef __cplusplus
}
#endif

#endif /* LC_REQUEST_BALANCER_H */
