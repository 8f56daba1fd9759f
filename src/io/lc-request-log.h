/* lc-request-log: one log line for each decision about a request, within a budget.
 *
 * WHAT IT IS
 *   What a balancer or an agent decides about an HTTP request, and from what, as a JSON line.
 *   "request" is the id of one copy as the balancer that took it minted it; "key" that of the key
 *   under which all copies run at most once, which callers see as Lychee-Request-Id.  With both the
 *   lines of several processes are joined afterwards (`lychee explain --request`).
 *
 * HOW TO USE IT
 *     lc_request_log (&plane->log, &(LcRequestLogLine){ .kind = LC_REQUEST_LOG_SENT, .id = id,
 *                                                       .attempt = 1, .to = agent }, now_us);
 *   Fields left zero are not written.
 *
 * RATE
 *   Each kind has a budget a second of its own, and a line says in "left_out" how many of its kind
 *   were left out since the one before, as in lc-flow-log.  All kinds together stay below
 *   LC_REQUEST_LOG_PER_S lines a second.
 *
 * LIFETIME
 *   LcRequestLog is a plain value; zero is a fresh one.  Texts must live during the call.
 */
#ifndef LC_REQUEST_LOG_H
#define LC_REQUEST_LOG_H

#include "core/request/lc-request-id.h"
#include "io/lc-settings.h"
#include "lc-log.h"

enum
{
  LC_REQUEST_LOG_PER_S = 85, /* all kinds: with half of a flow log's lines, as many as that alone */
  LC_REQUEST_LOG_KEY_BYTES = 64, /* of a caller's key; a longer one is cut */
};

typedef enum
{
  LC_REQUEST_LOG_SENT,     /* balancer: an attempt goes to an agent */
  LC_REQUEST_LOG_REFUSED,  /* balancer: an agent has refused an attempt */
  LC_REQUEST_LOG_ANSWERED, /* balancer: the caller has the backend server's answer */
  LC_REQUEST_LOG_FAILED,   /* balancer: the caller is told that there is none */
  LC_REQUEST_LOG_LEFT,     /* balancer: the caller has hung up */
  LC_REQUEST_LOG_HELD_UP,  /* agent: its key can't be claimed for now */
  LC_REQUEST_LOG_STARTED,  /* agent: given to the backend server */
  LC_REQUEST_LOG_ENDED,    /* agent: the backend server has answered, or not */
  LC_REQUEST_LOG_JOINED,   /* agent: a copy waits for a run that goes on, or was seen before */
  LC_REQUEST_LOG_REPLAYED, /* agent: the recorded answer is given again */
  LC_REQUEST_LOG_REJECTED, /* agent: an attempt is refused */
  LC_REQUEST_LOG_CLAIM,    /* home: another agent's claim is not granted */
  LC_N_REQUEST_LOG_KINDS,
} LcRequestLogKind;

typedef struct
{
  LcLogLimit limits[LC_N_REQUEST_LOG_KINDS];
  uint64_t told[LC_N_REQUEST_LOG_KINDS]; /* left out, and said so */
} LcRequestLog;

/* A decision: its inputs and its outcome. */
typedef struct
{
  LcRequestLogKind kind;
  LcRequestId id;         /* of the copy; none where only its key is known */
  LcRequestKey key;       /* none: idempotent, or not known here */
  const char *caller_key; /* Idempotency-Key, `caller_key_len` bytes; NULL: none */
  size_t caller_key_len;
  const char *service; /* its name; NULL: not known here */
  uint32_t attempt;    /* its number; 0: of the whole request */
  const char *why;     /* NULL: nothing to say */
  const char *outcome; /* "not-run" or "unknown"; NULL: it has an answer, or none yet */
  uint32_t status;     /* HTTP status */
  LcSocketAddress to;  /* the agent */
  LcMemberRef member;  /* the home or holder of a claim */
  int64_t left_us;     /* until the deadline */
  int64_t took_us;     /* since the request came, or its run began */
  int64_t retry_after_us;
} LcRequestLogLine;

void lc_request_log (LcRequestLog *log, const LcRequestLogLine *line, int64_t now_us);

#endif /* LC_REQUEST_LOG_H */
