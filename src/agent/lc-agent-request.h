/* lc-agent-request: request plane of an agent: runs admitted HTTP requests at its backend server.
 *
 * WHAT IT IS
 *   The I/O around the state machine lc-request-agent: frames from balancers and other agents in,
 *   requests to the backend server out.  An attempt is reassembled and checked before the state
 *   machine gets it; an answer is received completely before its first part is sent.
 *
 * THREADS
 *   Call it on app->loop's thread only.
 *
 * LIMITS
 *   A body has at most LC_REQUEST_MAX_BODY bytes; partial attempts together at most 64 MiB.
 */
#ifndef LC_AGENT_REQUEST_H
#define LC_AGENT_REQUEST_H

#include "controller/lc-member.h"
#include "core/request/lc-request-agent.h"
#include "io/lc-disk-posix.h"
#include "io/lc-peer-pool.h"
#include "io/lc-request-log.h"
#include "lc-agent-settings.h"
#include "lc-backend-client.h"
#include "lc-claim-file.h"

typedef struct
{
  LcApp *app;
  const LcAgentSettings *settings;
  const LcMember *member;
  LcInstance instance; /* of this process */
} LcAgentRequestDesc;

enum
{
  LC_N_AGENT_REQUEST_METRICS = 11,
};

typedef struct
{
  LcAgentRequestDesc desc;
  LcRequestAgent core;
  LcDiskPosix disk;
  LcClaimFile claims;
  bool has_claims_file; /* a data folder is set */
  LcBackendClient backend;
  LcPeerPool peers;    /* links to other agents, for claims */
  GHashTable *links;   /* link id -> LcLink, of balancers and agents */
  GHashTable *partial; /* attempt id -> LcPartialAttempt: body not complete */
  GHashTable *runs;    /* run id -> LcAgentRun */
  uint64_t partial_bytes;
  LcTimer timer;
  int64_t reported_us;
  LcMetric *metrics[LC_N_AGENT_REQUEST_METRICS];
  uint64_t published[LC_N_AGENT_REQUEST_METRICS]; /* added to `metrics` */
  uint64_t malformed_total;
  LcLogLimit log_limit;
  LcRequestLog log;
  bool is_busy; /* lc_agent_request__execute_actions is active */
} LcAgentRequest;

int lc_agent_request_init (LcAgentRequest *plane, const LcAgentRequestDesc *desc, LcError *error);
void lc_agent_request_finish (LcAgentRequest *plane);
/* Call it after each batch of view operations; `is_reset`: the whole view was replaced. */
void lc_agent_request_set_view (
    LcAgentRequest *plane, const LcView *view, const LcViewOp *ops, size_t n_ops, bool is_reset);
/* Handles a frame of the request plane. */
void lc_agent_request_handle_frame (LcAgentRequest *plane, LcLink *link, const LcFrame *frame);
void lc_agent_request_handle_link_down (LcAgentRequest *plane, LcLink *link);
/* The newest view revision up to which this agent has synchronised its claims. */
LcRevision lc_agent_request_synced_revision (const LcAgentRequest *plane);
/* Begins a planned stop: refuses new requests, lets running ones end. */
void lc_agent_request_drain (LcAgentRequest *plane);
bool lc_agent_request_is_idle (const LcAgentRequest *plane);

#endif
