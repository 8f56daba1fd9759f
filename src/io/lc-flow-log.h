/* lc-flow-log: rate-limited decision log of flows.
 *
 * WHAT IT IS
 *   Each decision of a balancer or an agent about a flow's packet is written as one JSON line with
 *   its inputs and the flow's id "CALLER:PORT>SERVICE:PORT", which both processes use, so that
 *   `lychee explain` can join their lines.
 *
 * HOW TO USE IT
 *     LcFlowLogLine line = { .kind = LC_FLOW_LOG_DROPPED,
 *                            .key = &packet.key,
 *                            .why = "no-service" };
 *     lc_flow_log (&plane->log, &line, now_us);
 *   Zero fields are not written.
 *
 * RATE
 *   Each kind has a budget of its own a second, so that a flood of one kind never displaces lines
 *   of another, least of all those of failures.  "left_out" counts the suppressed lines of that
 *   kind since the previous one.  All kinds together stay below LC_FLOW_LOG_PER_S lines a second,
 *   or half of that in a process that also logs requests (lc-request-log).
 *
 * LIFETIME
 *   LcFlowLog is a plain value, initially zero.  The key must live during the call.
 */
#ifndef LC_FLOW_LOG_H
#define LC_FLOW_LOG_H

#include "core/flow/lc-flow-key.h"
#include "io/lc-settings.h"
#include "lc-log.h"

enum
{
  LC_FLOW_LOG_PER_S = 170, /* all kinds: the operators' limit of 200 lines less other events */
};

typedef enum
{
  LC_FLOW_LOG_STEERED,  /* balancer: a first packet is sent to an agent */
  LC_FLOW_LOG_ASSIGNED, /* agent: a first packet is delivered to the local backend server */
  LC_FLOW_LOG_PASSED,   /* agent: a first packet is sent on to another agent */
  LC_FLOW_LOG_RETURNED, /* agent: the backend server returned a packet */
  LC_FLOW_LOG_SEARCHED, /* agent: asks all agents of the service for the flow's owner */
  LC_FLOW_LOG_LATE,     /* agent: the backend server answered late */
  LC_FLOW_LOG_RESET,    /* a reset was sent to the caller: the flow can't be opened, or is gone */
  LC_FLOW_LOG_DROPPED,  /* a packet was dropped */
  LC_FLOW_LOG_RELEASED, /* agent: an open flow left the table before it ended */
  LC_N_FLOW_LOG_KINDS,
} LcFlowLogKind;

typedef struct
{
  LcLogLimit limits[LC_N_FLOW_LOG_KINDS];
  uint64_t reported[LC_N_FLOW_LOG_KINDS]; /* suppressed lines already counted in "left_out" */
  bool has_request_log;                   /* of the same process: halves each budget */
} LcFlowLog;

/* A decision: inputs and outcome. */
typedef struct
{
  LcFlowLogKind kind;
  const LcFlowKey *key;
  const char *why;     /* the reason; NULL: none */
  LcSocketAddress to;  /* the agent it is sent to; 0: none */
  uint64_t revision;   /* of the view used; 0: none */
  int64_t view_age_us; /* since control confirmed that view; negative: unknown */
  uint32_t n_copies;   /* copies of the first packet sent before this one */
  uint32_t n_at_work;  /* requests in progress at the local backend server */
  uint32_t n_asked;    /* agents queried by a search */
  int64_t after_us;    /* an answer: since the packet it answers */
} LcFlowLogLine;

void lc_flow_log (LcFlowLog *log, const LcFlowLogLine *line, int64_t now_us);

enum
{
  LC_FLOW_ID_BYTES = 48,
};

/* "10.0.0.7:40001>198.18.0.1:443" */
void lc_flow_id_format (const LcFlowKey *key, char out[LC_FLOW_ID_BYTES]);

#endif /* LC_FLOW_LOG_H */
