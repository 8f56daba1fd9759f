/* lc-explain: joins the log lines of several processes that speak of one flow.
 *
 * WHAT IT IS
 *   Every program writes JSON lines (io/lc-log.h); those about a flow name it in "flow".  Given the
 *   files of several processes, this finds the lines of one flow, and around them what its
 * processes and control believed at the time: starts, stops, views, leaders, agents that did not
 * answer. Without an id it lists the flows of a service address in a span of time, so that an id is
 * found from what a caller can say: when, and where to.
 *
 * HOW TO USE IT
 *     lc_explain_init (&log);
 *     lc_explain_read (&log, "balancer.log", &error);      for each file
 *     lc_explain_sort (&log);
 *     n = lc_explain_flow (&log, "10.0.0.7:40001>198.18.0.1:443", 2 * LC_US_PER_S, out);
 *     n = lc_explain_request (&log, "order-17", 2 * LC_US_PER_S, out);
 *     lc_explain_finish (&log);
 *
 * LIFETIME
 *   Results point into the log.
 *
 * LIMITS
 *   All lines are held in memory.  Text before a line's first brace is skipped (what a collector
 *   puts there); a line that is no JSON object with a time is counted in n_skipped.
 */
#ifndef LC_EXPLAIN_H
#define LC_EXPLAIN_H

#include "core/lc-error.h"

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct
{
  int64_t at_us; /* since 1970, by the clock of the VM that wrote it */
  json_t *json;  /* owned by the log */
  const char *program;
  const char *name;
  const char *event;
  const char *flow;    /* NULL: it speaks of no flow */
  const char *request; /* id of one copy of a request; NULL: it names none */
  const char *key;     /* id of the key of its copies; NULL: it names none */
} LcExplainLine;

typedef struct
{
  GArray *lines; /* LcExplainLine */
  uint64_t n_skipped;
} LcExplainLog;

/* A flow that some line names. */
typedef struct
{
  const char *id;
  int64_t first_us;
  int64_t last_us;
  uint32_t n_lines;
  uint32_t n_bad; /* dropped, reset, returned, searched or late */
} LcExplainFlow;

typedef struct
{
  const char *service; /* "A:P" that the caller sent to; NULL: any */
  const char *caller;  /* "A" or "A:P"; NULL: any */
  const char *vm;      /* name of the process that wrote a line of it; NULL: any */
  int64_t since_us;
  int64_t until_us; /* 0: no end */
} LcExplainQuery;

void lc_explain_init (LcExplainLog *log);
void lc_explain_finish (LcExplainLog *log);
/* Calls `each` with the number, from 1, and the text of each line of a file; "-" reads standard
 * input.  0, or LC_ERR_NOT_FOUND. */
int lc_explain_each_line (const char *path,
                          void (*each) (void *user, uint64_t number, const char *text),
                          void *user,
                          LcError *error);
int lc_explain_read (LcExplainLog *log, const char *path, LcError *error);
/* By time; lines of equal times stay in the order of the files. */
void lc_explain_sort (LcExplainLog *log);
/* The lines of the flow, and of what its processes and control said of themselves from `around_us`
 * before the first to as long after the last; into `out` (const LcExplainLine *).  Returns how many
 * lines name the flow. */
uint32_t
lc_explain_flow (const LcExplainLog *log, const char *id, int64_t around_us, GPtrArray *out);
/* The same of a request: `id` is a Lychee-Request-Id, the id of one copy, or a caller's
 * Idempotency-Key.  All copies under one key are one request. */
uint32_t
lc_explain_request (const LcExplainLog *log, const char *id, int64_t around_us, GPtrArray *out);
/* Flows that fit, by their first lines' time; into `out` (LcExplainFlow). */
void lc_explain_flows (const LcExplainLog *log, const LcExplainQuery *query, GArray *out);
/* "2026-08-05T13:02:53.138022Z", or seconds since 1970; negative: neither. */
int64_t lc_explain_time (const char *text);
/* The time of day, "13:02:53.138"; to be freed. */
char *lc_explain_clock (int64_t at_us);
/* A field of a line; "" when it is no text or not there. */
const char *lc_explain_text (const json_t *json, const char *key);

#endif /* LC_EXPLAIN_H */
