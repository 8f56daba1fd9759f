/* lc-explain: merges the logs of several processes and selects the lines of one flow or request.
 *
 * WHAT IT IS
 *   Every program writes JSON lines (io/lc-log.h); those about a flow have its id in "flow".  From
 *   the files of several processes this selects the lines of one flow, and the context around them
 *   from its processes and control: starts, stops, views, leaders, unresponsive agents.  Without
 *   an id it lists the flows of a service address in a span of time, so that an id is found from
 *   what a caller can report: when, and to which address.
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
 *   All lines are held in memory.  Text before a line's first brace (a collector's prefix) is
 *   skipped; a line that is no JSON object with a time is counted in n_skipped.
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
  int64_t at_us; /* since 1970, by the clock of the VM that logged it */
  json_t *json;  /* owned by the log */
  const char *program;
  const char *name;
  const char *event;
  const char *flow;    /* NULL: not about a flow */
  const char *request; /* id of one copy of a request; NULL: none */
  const char *key;     /* id of the key that its copies share; NULL: none */
} LcExplainLine;

typedef struct
{
  GArray *lines; /* LcExplainLine */
  uint64_t n_skipped;
} LcExplainLog;

/* Summary of the lines of one flow. */
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
  const char *service; /* destination "A:P"; NULL: any */
  const char *caller;  /* "A" or "A:P"; NULL: any */
  const char *vm;      /* name of a process that logged a line of it; NULL: any */
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
/* Stable, by time. */
void lc_explain_sort (LcExplainLog *log);
/* Appends the lines of the flow, and the context that its processes and control logged from
 * `around_us` before the first to as long after the last, to `out` (const LcExplainLine *).
 * Returns the number of lines of the flow. */
uint32_t
lc_explain_flow (const LcExplainLog *log, const char *id, int64_t around_us, GPtrArray *out);
/* The same for a request: `id` is a Lychee-Request-Id, the id of one copy, or a caller's
 * Idempotency-Key.  All copies under one key are one request. */
uint32_t
lc_explain_request (const LcExplainLog *log, const char *id, int64_t around_us, GPtrArray *out);
/* Appends the matching flows, by their first lines' time, to `out` (LcExplainFlow). */
void lc_explain_list_flows (const LcExplainLog *log, const LcExplainQuery *query, GArray *out);
/* Parses "2026-08-05T13:02:53.138022Z" or seconds since 1970; negative if it is neither. */
int64_t lc_explain_parse_time (const char *text);
/* The time of day, "13:02:53.138"; to be freed. */
char *lc_explain_format_time (int64_t at_us);
/* A field of a line; "" if it is missing or no string. */
const char *lc_explain_text (const json_t *json, const char *key);

#endif /* LC_EXPLAIN_H */
