/* lc-agent-request: the request plane of an agent: admits requests to slots.
 *
 * WHAT IT IS
 *   The task around lc-request-agent: frames from balancers and other agents in, calls to the
 *   backend server out.  Attempts are put together from their parts and checked before a decision
 *   is asked for; answers are whole before their first part is sent.
 *
 * THREADS
 *   Called on app->loop's thread.
 *
 * LIMITS
 *   A body has at most LC_REQUEST_MAX_BODY bytes; attempts still in parts take at most 64 MiB.
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
  LC_AGENT_REQUEST_METRICS = 11,
};

typedef struct
{
  LcAgentRequestDesc desc;
  LcRequestAgent core;
  LcDiskPosix disk;
  LcClaimFile claims;
  bool has_claims_file; /* a data folder is set */
  LcBackendClient backend;
  LcPeerPool peers;    /* other agents: claims */
  GHashTable *links;   /* link id -> LcLink, of balancers and agents that connected to us */
  GHashTable *partial; /* attempts whose body is still coming */
  GHashTable *runs;    /* run id -> private payload and call */
  uint64_t partial_bytes;
  LcTimer timer;
  int64_t reported_us;
  LcMetric *metrics[LC_AGENT_REQUEST_METRICS];
  uint64_t shown[LC_AGENT_REQUEST_METRICS];
  uint64_t malformed_total;
  LcLogLimit log_limit;
  LcRequestLog log;
  bool is_busy; /* actions are being carried out */
} LcAgentRequest;

int lc_agent_request_init (LcAgentRequest *plane, const LcAgentRequestDesc *desc, LcError *error);
void lc_agent_request_finish (LcAgentRequest *plane);
/* After each batch of operations; `is_reset` says that the whole view was replaced. */
void lc_agent_request_view (
    LcAgentRequest *plane, const LcView *view, const LcViewOp *ops, size_t n_ops, bool is_reset);
/* A frame of this plane's range that the peer server received. */
void lc_agent_request_frame (LcAgentRequest *plane, LcLink *link, const LcFrame *frame);
void lc_agent_request_link_down (LcAgentRequest *plane, LcLink *link);
/* The newest view revision up to which this plane has done its part. */
LcRevision lc_agent_request_registered (const LcAgentRequest *plane);
/* A planned stop begins: take nothing new, let what runs end. */
void lc_agent_request_drain (LcAgentRequest *plane);
bool lc_agent_request_is_idle (const LcAgentRequest *plane);

#endif
