#include "lc-flow-log.h"

#include <glib.h>

typedef struct
{
  const char *event;
  LcLogLevel level;
  uint32_t per_s;
} LcFlowLogRule;

/* Budgets add up to LC_FLOW_LOG_PER_S.  Those of normal decisions are about the rate of new flows
 * of one process at the users' sites. */
static const LcFlowLogRule LC_FLOW_LOG_RULES[LC_N_FLOW_LOG_KINDS] = {
  [LC_FLOW_LOG_STEERED] = { "flow.steered", LC_LOG_INFO, 33 },
  [LC_FLOW_LOG_ASSIGNED] = { "flow.assigned", LC_LOG_INFO, 33 },
  [LC_FLOW_LOG_PASSED] = { "flow.passed", LC_LOG_INFO, 20 },
  [LC_FLOW_LOG_RETURNED] = { "flow.returned", LC_LOG_INFO, 14 },
  [LC_FLOW_LOG_SEARCHED] = { "flow.searched", LC_LOG_INFO, 14 },
  [LC_FLOW_LOG_LATE] = { "flow.late", LC_LOG_INFO, 14 },
  [LC_FLOW_LOG_RESET] = { "flow.reset", LC_LOG_WARN, 14 },
  [LC_FLOW_LOG_DROPPED] = { "flow.dropped", LC_LOG_WARN, 14 },
  [LC_FLOW_LOG_RELEASED] = { "flow.released", LC_LOG_INFO, 14 },
};

static char *
lc_flow_log__put_address (char *at, char *end, uint32_t ipv4, uint16_t port)
{
  return at + g_snprintf (at, (gulong)(end - at), "%u.%u.%u.%u:%u", ipv4 >> 24, (ipv4 >> 16) & 255,
                          (ipv4 >> 8) & 255, ipv4 & 255, port);
}

void
lc_flow_id_format (const LcFlowKey *key, char out[LC_FLOW_ID_BYTES])
{
  char *end = out + LC_FLOW_ID_BYTES;
  char *at = lc_flow_log__put_address (out, end, key->source_ipv4, key->source_port);

  *at++ = '>';
  (void)lc_flow_log__put_address (at, end, key->target_ipv4, key->target_port);
}

/* Omits empty fields, which keeps lines short and cheap. */
void
lc_flow_log (LcFlowLog *log, const LcFlowLogLine *line, int64_t now_us)
{
  const LcFlowLogRule *rule = &LC_FLOW_LOG_RULES[line->kind];
  LcLogLimit *limit = &log->limits[line->kind];
  char id[LC_FLOW_ID_BYTES];
  char to[LC_FLOW_ID_BYTES] = "";
  LcLogField fields[9];
  uint32_t n = 0;

  if (!lc_log_enabled (rule->level) ||
      !lc_log_allow (limit, now_us, log->has_request_log ? rule->per_s / 2 : rule->per_s))
    return;
  lc_flow_id_format (line->key, id);
  fields[n++] = (LcLogField){ "flow", LC_STR (id) };
  if (line->why != NULL)
    fields[n++] = (LcLogField){ "why", LC_STR (line->why) };
  if (line->to.ipv4 != 0)
    {
      (void)lc_flow_log__put_address (to, to + sizeof to, line->to.ipv4, line->to.port);
      fields[n++] = (LcLogField){ "to", LC_STR (to) };
    }
  if (line->revision != 0)
    {
      fields[n++] = (LcLogField){ "revision", LC_U64 (line->revision) };
      fields[n++] = (LcLogField){ "view_age_ms", LC_I64 (line->view_age_us / LC_US_PER_MS) };
    }
  if (line->n_copies != 0)
    fields[n++] = (LcLogField){ "copies", LC_U64 (line->n_copies) };
  if (line->kind == LC_FLOW_LOG_ASSIGNED || line->kind == LC_FLOW_LOG_LATE)
    fields[n++] = (LcLogField){ "at_work", LC_U64 (line->n_at_work) };
  if (line->kind == LC_FLOW_LOG_SEARCHED)
    fields[n++] = (LcLogField){ "asked", LC_U64 (line->n_asked) };
  if (line->after_us != 0)
    fields[n++] = (LcLogField){ "after_ms", LC_I64 (line->after_us / LC_US_PER_MS) };
  if (limit->suppressed_total != log->reported[line->kind])
    fields[n++] =
        (LcLogField){ "left_out", LC_U64 (limit->suppressed_total - log->reported[line->kind]) };
  log->reported[line->kind] = limit->suppressed_total;
  lc_log_fields (rule->level, rule->event, fields, n);
}
