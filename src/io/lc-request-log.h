/* lc-request-log: rate-limited decision log of HTTP requests.
 *
 * WHAT IT IS
 *   Each decision of a balancer or an agent about an HTTP request is written as one JSON line with
 *   its inputs.  "request" is the id that the receiving balancer generated for one copy of a
 *   request; "key" is the id of the key under which all copies run at most once, shown to callers
 *   as Lychee-Request-Id.  `lychee explain --request` joins the lines of several processes by both.
 *
 * HOW TO USE IT
 *     lc_request_log (&plane->log, &(LcRequestLogLine){ .kind = LC_REQUEST_LOG_SENT, .id = id,
 *                                                       .attempt = 1, .to = agent }, now_us);
 *   Zero fields are not written.
 *
 * RATE
 *   Each kind has a budget of its own a second, and "left_out" counts the suppressed lines of that
 *   kind since the previous one, as in lc-flow-log.  All kinds that one process writes together
 *   stay below LC_REQUEST_LOG_PER_S lines a second.
 *
 * LIFETIME
 *   LcRequestLog is a plain value, initially zero.  Texts must live during the call.
 */
#ifndef LC_REQUEST_LOG_H
#define LC_REQUEST_LOG_H

#include "core/request/lc-request-id.h"
#include "io/lc-settings.h"
#include "lc-log.h"

enum
{
  LC_REQUEST_LOG_PER_S = 85,     /* with half of a flow log, as many lines as that alone */
  LC_REQUEST_LOG_KEY_BYTES = 64, /* of a caller's key; longer ones are truncated */
};

typedef enum
{
  LC_REQUEST_LOG_SENT,     /* balancer: an attempt is sent to an agent */
  LC_REQUEST_LOG_REFUSED,  /* balancer: an agent refused an attempt */
  LC_REQUEST_LOG_ANSWERED, /* balancer: the backend server's answer is sent to the caller */
  LC_REQUEST_LOG_FAILED,   /* balancer: an error is sent to the caller */
  LC_REQUEST_LOG_LEFT,     /* balancer: the caller closed its connection */
  LC_REQUEST_LOG_HELD_UP,  /* agent: the key can't be claimed for now */
  LC_REQUEST_LOG_STARTED,  /* agent: forwarded to the backend server */
  LC_REQUEST_LOG_ENDED,    /* agent: the backend server answered or failed */
  LC_REQUEST_LOG_JOINED,   /* agent: a copy waits for a run in progress, or is a duplicate */
  LC_REQUEST_LOG_REPLAYED, /* agent: the recorded answer is sent again */
  LC_REQUEST_LOG_REJECTED, /* agent: an attempt is refused */
  LC_REQUEST_LOG_CLAIM,    /* a key's home: another agent's claim is refused */
  LC_N_REQUEST_LOG_KINDS,
} LcRequestLogKind;

typedef struct
{
  LcLogLimit limits[LC_N_REQUEST_LOG_KINDS];
  uint64_t reported[LC_N_REQUEST_LOG_KINDS]; /* suppressed lines already in "left_out" */
} LcRequestLog;

/* A decision: inputs and outcome. */
typedef struct
{
  LcRequestLogKind kind;
  LcRequestId id;         /* of the copy; none where only the key is known */
  LcRequestKey key;       /* none: idempotent, or unknown here */
  const char *caller_key; /* Idempotency-Key, `caller_key_len` bytes; NULL: none */
  size_t caller_key_len;
  const char *service; /* its name; NULL: unknown here */
  uint32_t attempt;    /* its number; 0: the whole request */
  const char *why;     /* the reason; NULL: none */
  const char *outcome; /* "not-run" or "unknown"; NULL: answered or pending */
  uint32_t status;     /* HTTP status */
  LcSocketAddress to;  /* the agent */
  LcMemberRef member;  /* the home or holder of a claim */
  int64_t left_us;     /* until the deadline */
  int64_t took_us;     /* since the request arrived, or its run began */
  int64_t retry_after_us;
} LcRequestLogLine;

void lc_request_log (LcRequestLog *log, const LcRequestLogLine *line, int64_t now_us);

#endif /* LC_REQUEST_LOG_H */
