/* lc-balancer-request: the request plane of a balancer: HTTP from callers to agents.
 *
 * WHAT IT IS
 *   The task around lc-request-balancer: an h2o listener towards callers, links to the agents that
 *   it sends to.  A request is taken whole before it is decided on; an answer is whole, and its
 *   checksum checked, before its first byte goes to the caller.  The contract with callers is in
 *   docs/CALLERS.md.
 *
 * THREADS
 *   Called on app->loop's thread.
 *
 * LIMITS
 *   A request body has at most 1 MiB, an answer LC_REQUEST_MAX_BODY.
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
  GHashTable *peers;    /* packed (ipv4, port) -> private link to an agent */
  GHashTable *calls;    /* flight id -> private call of a caller */
  GHashTable *incoming; /* answers whose body is still coming */
  uint64_t incoming_bytes;
  uint64_t next_link_id;
  uint32_t n_calls; /* callers that are not answered to the last byte */
  LcTimer timer;
  int64_t polled_us;
  int64_t shown_us;
  LcMetric *metrics[LC_BALANCER_REQUEST_METRICS];
  uint64_t shown[LC_BALANCER_REQUEST_METRICS];
  LcMetric *latency;
  uint64_t malformed_total;
  LcLogLimit log_limit;
  LcRequestLog log;
  bool is_busy; /* actions are being carried out */
  bool is_draining;
} LcBalancerRequest;

int lc_balancer_request_init (LcBalancerRequest *plane,
                              const LcBalancerRequestDesc *desc,
                              LcError *error);
void lc_balancer_request_finish (LcBalancerRequest *plane);
/* After each batch of operations; `is_reset` says that the whole view was replaced. */
void lc_balancer_request_view (
    LcBalancerRequest *plane, const LcView *view, const LcViewOp *ops, size_t n_ops, bool is_reset);
/* A frame of this plane's range that the peer server received. */
void lc_balancer_request_frame (LcBalancerRequest *plane, LcLink *link, const LcFrame *frame);
void lc_balancer_request_link_down (LcBalancerRequest *plane, LcLink *link);
/* A planned stop begins: take nothing new, let what runs end. */
void lc_balancer_request_drain (LcBalancerRequest *plane);
bool lc_balancer_request_is_idle (const LcBalancerRequest *plane);

#endif
