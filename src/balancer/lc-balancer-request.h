/* lc-balancer-request: the request plane of a balancer, an HTTP reverse proxy in front of agents.
 *
 * WHAT IT IS
 *   The I/O around lc-request-balancer: an h2o listener for callers, and links to agents.  Requests
 *   are buffered whole before an agent is selected.  Answers are buffered whole, and their checksum
 *   verified, before the first byte is sent to the caller.  docs/CALLERS.md is the contract with
 *   callers.
 *
 * THREADS
 *   Called on app->loop's thread.
 *
 * LIMITS
 *   1 MiB for a request's body, LC_REQUEST_MAX_BODY for an answer's.
 */
#ifndef LC_BALANCER_REQUEST_H
#define LC_BALANCER_REQUEST_H

#include "controller/lc-member.h"
#include "core/request/lc-request-balancer.h"
#include "io/lc-request-log.h"
#include "lc-balancer-settings.h"

typedef struct
{
  LcApp *app;
  const LcBalancerSettings *settings;
  const LcMember *member;
  LcInstance instance; /* of this process */
} LcBalancerRequestDesc;

enum
{
  LC_BALANCER_REQUEST_METRICS = 8,
};

typedef struct
{
  LcBalancerRequestDesc desc;
  LcRequestBalancer core;
  LcHttp http;
  GHashTable *agents;   /* packed (ipv4, port) -> LcBalancerAgentLink */
  GHashTable *calls;    /* flight id -> LcBalancerCall */
  GHashTable *incoming; /* LcAttemptRef -> LcIncomingAnswer */
  uint64_t incoming_bytes;
  uint64_t next_link_id;
  uint32_t n_calls; /* callers whose answer is not fully written */
  LcTimer timer;
  int64_t polled_us;
  int64_t metrics_us;
  LcMetric *metrics[LC_BALANCER_REQUEST_METRICS];
  uint64_t counted[LC_BALANCER_REQUEST_METRICS];
  LcMetric *latency;
  uint64_t malformed_total;
  LcLogLimit log_limit;
  LcRequestLog log;
  bool is_acting; /* lc_balancer_request__run_actions is running */
  bool is_draining;
} LcBalancerRequest;

int lc_balancer_request_init (LcBalancerRequest *plane,
                              const LcBalancerRequestDesc *desc,
                              LcError *error);
void lc_balancer_request_finish (LcBalancerRequest *plane);
/* After each batch of operations, or with `is_reset` after the view was replaced. */
void lc_balancer_request_handle_view (
    LcBalancerRequest *plane, const LcView *view, const LcViewOp *ops, size_t n_ops, bool is_reset);
/* Rejects a frame of the peer server: agents answer on the links that balancers open. */
void
lc_balancer_request_handle_frame (LcBalancerRequest *plane, LcLink *link, const LcFrame *frame);
void lc_balancer_request_handle_link_down (LcBalancerRequest *plane, LcLink *link);
/* Begins a planned stop: stops accepting connections, finishes the requests in flight. */
void lc_balancer_request_drain (LcBalancerRequest *plane);
bool lc_balancer_request_is_idle (const LcBalancerRequest *plane);

#endif
