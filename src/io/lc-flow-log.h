/* lc-flow-log: one log line for each decision about a flow, within a budget.
 *
 * WHAT IT IS
 *   What a balancer or an agent decides about a flow's packets, and from what, is written as a JSON
 *   line that names the flow, so that the lines of several processes can be joined afterwards
 *   (`lychee explain`).  The flow's id is "CALLER:PORT>SERVICE:PORT", as both ends know it.
 *
 * HOW TO USE IT
 *     LcFlowLogLine line = { .kind = LC_FLOW_LOG_DROPPED, .key = &packet.key, .why = "no-service"
 * }; lc_flow_log (&plane->log, &line, now_us); Fields left zero are not written.
 *
 * RATE
 *   Each kind has a budget a second of its own, so that a flood of one never hides another: what
 *   was refused, dropped, returned or late is not displaced by what went well.  A line says in
 *   "left_out" how many of its kind were left out since the one before.  All kinds together stay
 *   below LC_FLOW_LOG_PER_S lines a second, or half of that in a process that logs requests, too
 *   (lc-request-log).
 *
 * LIFETIME
 *   LcFlowLog is a plain value; zero is a fresh one.  The key must live during the call.
 */
#ifndef LC_FLOW_LOG_H
#define LC_FLOW_LOG_H

#include "core/flow/lc-flow-key.h"
#include "io/lc-settings.h"
#include "lc-log.h"

enum
{
  LC_FLOW_LOG_PER_S = 170, /* all kinds: an operator's limit of 200 lines, less other events */
};

typedef enum
{
  LC_FLOW_LOG_STEERED,  /* balancer: a first packet goes to an agent */
  LC_FLOW_LOG_ASSIGNED, /* agent: a first packet goes to the backend server here */
  LC_FLOW_LOG_PASSED,   /* agent: a first packet goes to another agent */
  LC_FLOW_LOG_RETURNED, /* agent: the backend server handed a packet back */
  LC_FLOW_LOG_SEARCHED, /* agent: all agents of the service are asked for the owner */
  LC_FLOW_LOG_LATE,     /* agent: the backend server answered late */
  LC_FLOW_LOG_RESET,    /* the caller was told that the flow can't be opened, or is gone */
  LC_FLOW_LOG_DROPPED,  /* a packet was dropped */
  LC_N_FLOW_LOG_KINDS,
} LcFlowLogKind;

typedef struct
{
  LcLogLimit limits[LC_N_FLOW_LOG_KINDS];
  uint64_t told[LC_N_FLOW_LOG_KINDS]; /* left out, and said so */
  bool is_shared;                     /* the process logs requests, too: half of each budget */
} LcFlowLog;

/* A decision: its inputs and its outcome. */
typedef struct
{
  LcFlowLogKind kind;
  const LcFlowKey *key;
  const char *why;     /* NULL: nothing to say */
  LcSocketAddress to;  /* the agent that it goes to; 0: none */
  uint64_t revision;   /* of the view that decided; 0: none did */
  int64_t view_age_us; /* since control vouched for that view; negative: not known */
  uint32_t n_copies;   /* first packets: copies sent before this one */
  uint32_t n_at_work;  /* requests at work at the backend server here */
  uint32_t n_asked;    /* agents asked by a search */
  int64_t after_us;    /* an answer: since the packet that it answers */
} LcFlowLogLine;

void lc_flow_log (LcFlowLog *log, const LcFlowLogLine *line, int64_t now_us);

enum
{
  LC_FLOW_ID_BYTES = 48,
};

/* "10.0.0.7:40001>198.18.0.1:443" */
void lc_flow_id_format (const LcFlowKey *key, char out[LC_FLOW_ID_BYTES]);

#endif /* LC_FLOW_LOG_H */
