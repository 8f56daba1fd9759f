/* lc-balancer-request-private: shared by the source files of lc-balancer-request; not for others.
 *
 * WHAT IT IS
 *   lc-balancer-request.c   callers, actions, timers
 *   lc-balancer-agents.c    links to agents and the frames that they send
 */
#ifndef LC_BALANCER_REQUEST_PRIVATE_H
#define LC_BALANCER_REQUEST_PRIVATE_H

#include "lc-balancer-request.h"
#include "core/request/lc-request-frames.h"
#include "io/lc-clock.h"
#include "lc-caller.h"

enum
{
  LC_BALANCER_TICK_MS = 5,
  LC_BALANCER_LOGS_PER_S = 2,
  LC_BALANCER_OBJECTIVE_MS = 500,
  LC_BALANCER_MAX_INCOMING_BYTES = 256 << 20,
};

#define LC_BALANCER_POLL_INTERVAL_US (50 * LC_US_PER_MS)
#define LC_BALANCER_METRICS_INTERVAL_US LC_US_PER_S

/* The link to an agent. */
typedef struct
{
  LcBalancerRequest *plane;
  LcLinkClient client;
  uint64_t link_id; /* of the current connection, unique in this process; 0: none */
  LcEndpointId endpoint_id;
  uint32_t ipv4;
  uint16_t port;
} LcBalancerAgentLink;

/* A caller's request in flight; allocated in the h2o request's pool. */
typedef struct
{
  LcBalancerRequest *plane;
  h2o_req_t *req;
  LcFilterRequest request;
  LcServiceId service_id;
  uint64_t flight_id; /* 0: answered or refused */
} LcBalancerCall;

/* An answer that is being received. */
typedef struct
{
  LcAttemptRef ref;
  Lc__Request__AnswerHead *head;
  GByteArray *body;
} LcIncomingAnswer;

void lc_balancer_request__complete_incoming (LcBalancerRequest *plane, LcIncomingAnswer *incoming);
void lc_balancer_request__run_actions (LcBalancerRequest *plane);
guint lc_balancer_request__ref_hash (gconstpointer data);
gboolean lc_balancer_request__ref_equal (gconstpointer a, gconstpointer b);
void lc_balancer_request__incoming_free (gpointer data);
void lc_balancer_request__reject_malformed (LcBalancerRequest *plane, LcLink *link, uint16_t type);
void lc_balancer_request__agent_link_free (gpointer data);
LcBalancerAgentLink *lc_balancer_request__get_agent_link (LcBalancerRequest *plane,
                                                          LcEndpointId id,
                                                          uint32_t ipv4,
                                                          uint16_t port);
void lc_balancer_request__close_unused_links (LcBalancerRequest *plane, const LcView *view);

#endif /* LC_BALANCER_REQUEST_PRIVATE_H */
