/* lc-request-balancer-private: declarations shared by the sources of lc-request-balancer.
 *
 * WHAT IT IS
 *   lc-request-balancer.c  events: requests, answers, links, timeouts
 *   lc-request-flight.c    services, flights and their attempts
 */
#ifndef LC_REQUEST_BALANCER_PRIVATE_H
#define LC_REQUEST_BALANCER_PRIVATE_H

#include "lc-request-balancer.h"
#include "lc-deadline.h"
#include <string.h>

enum
{
  LC_BALANCER_MIN_SERVICE_LIMIT = 64,
  LC_BALANCER_LIMIT_PER_SLOT = 8,
};

#define LC_BALANCER_CONNECT_US LC_US_PER_S

/* The state of one service. */
typedef struct
{
  LcServiceId id;
  LcRevision membership_revision; /* of the members in `pick` */
  LcPick pick;
  LcRetryBudget budget;
  LcLimit limit;
  LcHedge hedge;
} LcServiceState;

typedef struct
{
  uint64_t id;
  LcRequestId request_id;
  LcServiceState *service;
  LcAttempts attempt;
  uint8_t counted; /* one bit per attempt: it counts in its target's `outstanding` */
  bool is_waiting; /* until an endpoint is reachable */
  int64_t waiting_since_us;
  LcMemberRef owner; /* of the key's claim, while only it can answer; else none */
  bool is_hedged;
  bool is_limited;
  uint32_t caller;
  int64_t sent_us; /* of the newest attempt */
  int64_t retry_after_us;
} LcFlight;

void lc_balancer__free_service (gpointer data);
LcServiceState *lc_balancer__find_service (const LcRequestBalancer *b, LcServiceId id);
void lc_balancer__set_service (LcRequestBalancer *b,
                               LcServiceState *state,
                               const LcService *service,
                               int64_t now_us);
LcPickTarget *lc_balancer__find_target (const LcRequestBalancer *b, LcInstance instance);
LcLimit *lc_balancer__find_limit (void *user, const LcService *service);
LcBalancerAction *
lc_balancer__push_action (LcRequestBalancer *b, LcBalancerActionKind kind, uint64_t flight_id);
LcFlight *lc_balancer__find_flight (const LcRequestBalancer *b, uint64_t flight_id);
void lc_balancer__release_ended_attempts (LcFlight *flight);
void lc_balancer__remove (LcRequestBalancer *b, LcFlight *flight);
void lc_balancer__give_up (LcRequestBalancer *b, LcFlight *flight, LcRefuseReason reason);
void lc_balancer__send_attempt (LcRequestBalancer *b,
                                LcFlight *flight,
                                const LcAttemptPlan *plan,
                                int64_t now_us);
LcAttemptPlanning
lc_balancer__make_planning (LcRequestBalancer *b, LcFlight *flight, int64_t now_us);
void lc_balancer__wait_for_endpoint (LcFlight *flight, int64_t now_us);
void lc_balancer__send_first_or_wait (LcRequestBalancer *b, LcFlight *flight, int64_t now_us);
void lc_balancer__apply_step (LcRequestBalancer *b,
                              LcFlight *flight,
                              const LcStep *step,
                              int64_t now_us);
void lc_balancer__record_refusal (LcFlight *flight,
                                  uint32_t number,
                                  LcRefuseReason reason,
                                  int64_t now_us);
LcFlight *lc_balancer__find_by_attempt (const LcRequestBalancer *b, const LcAttemptRef *ref);

#endif /* LC_REQUEST_BALANCER_PRIVATE_H */
