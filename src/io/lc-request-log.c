#include "lc-request-log.h"

#include <glib.h>

typedef struct
{
  const char *event;
  LcLogLevel level;
  uint32_t per_s;
} LcRequestLogRule;

/* A balancer writes the first five kinds, an agent the others; each set's budgets add up to
 * LC_REQUEST_LOG_PER_S. */
static const LcRequestLogRule LC_REQUEST_LOG_RULES[LC_N_REQUEST_LOG_KINDS] = {
  [LC_REQUEST_LOG_SENT] = { "request.sent", LC_LOG_INFO, 20 },
  [LC_REQUEST_LOG_REFUSED] = { "request.attempt-refused", LC_LOG_INFO, 20 },
  [LC_REQUEST_LOG_ANSWERED] = { "request.answered", LC_LOG_INFO, 15 },
  [LC_REQUEST_LOG_FAILED] = { "request.failed", LC_LOG_WARN, 20 },
  [LC_REQUEST_LOG_LEFT] = { "request.caller-left", LC_LOG_WARN, 10 },
  [LC_REQUEST_LOG_HELD_UP] = { "request.held-up", LC_LOG_INFO, 15 },
  [LC_REQUEST_LOG_STARTED] = { "request.started", LC_LOG_INFO, 15 },
  [LC_REQUEST_LOG_ENDED] = { "request.ended", LC_LOG_INFO, 15 },
  [LC_REQUEST_LOG_JOINED] = { "request.joined", LC_LOG_INFO, 5 },
  [LC_REQUEST_LOG_REPLAYED] = { "request.replayed", LC_LOG_INFO, 5 },
  [LC_REQUEST_LOG_REJECTED] = { "request.rejected", LC_LOG_WARN, 20 },
  [LC_REQUEST_LOG_CLAIM] = { "request.claim-refused", LC_LOG_INFO, 10 },
};

enum
{
  LC_REQUEST_LOG_FIELDS_MAX = 12, /* lc-log's limit */
};

typedef struct
{
  LcLogField fields[LC_REQUEST_LOG_FIELDS_MAX];
  uint32_t n;
} LcRequestLogFields;

static void
lc_request_log__add (LcRequestLogFields *fields, const char *name, LcLogValue value)
{
  if (fields->n < LC_REQUEST_LOG_FIELDS_MAX)
    fields->fields[fields->n++] = (LcLogField){ name, value };
}

static void
lc_request_log__add_ms (LcRequestLogFields *fields, const char *name, int64_t us)
{
  if (us != 0)
    lc_request_log__add (fields, name, LC_I64 (us / LC_US_PER_MS));
}

static void
lc_request_log__add_text (LcRequestLogFields *fields, const char *name, const char *text)
{
  if (text != NULL && text[0] != '\0')
    lc_request_log__add (fields, name, LC_STR (text));
}

/* Omits empty fields, which keeps lines short and cheap. */
void
lc_request_log (LcRequestLog *log, const LcRequestLogLine *line, int64_t now_us)
{
  const LcRequestLogRule *rule = &LC_REQUEST_LOG_RULES[line->kind];
  LcLogLimit *limit = &log->limits[line->kind];
  LcRequestLogFields fields = { .n = 0 };
  char id[LC_REQUEST_ID_TEXT];
  char key[LC_REQUEST_ID_TEXT];
  char caller_key[LC_REQUEST_LOG_KEY_BYTES + 1] = "";
  char to[24] = "";

  if (!lc_log_enabled (rule->level) || !lc_log_allow (limit, now_us, rule->per_s))
    return;
  if (line->id.hi != 0 || line->id.lo != 0)
    {
      lc_request_id_text (id, line->id);
      lc_request_log__add (&fields, "request", LC_STR (id));
    }
  if (!lc_request_key_is_none (line->key))
    {
      lc_request_id_text (key, (LcRequestId){ line->key.hi, line->key.lo });
      lc_request_log__add (&fields, "key", LC_STR (key));
    }
  if (line->caller_key != NULL)
    (void)g_strlcpy (caller_key, line->caller_key,
                     MIN (line->caller_key_len + 1, sizeof caller_key));
  lc_request_log__add_text (&fields, "caller_key", caller_key);
  lc_request_log__add_text (&fields, "service", line->service);
  if (line->attempt != 0)
    lc_request_log__add (&fields, "attempt", LC_U64 (line->attempt));
  lc_request_log__add_text (&fields, "why", line->why);
  lc_request_log__add_text (&fields, "outcome", line->outcome);
  if (line->status != 0)
    lc_request_log__add (&fields, "status", LC_U64 (line->status));
  if (line->to.ipv4 != 0)
    (void)g_snprintf (to, sizeof to, "%u.%u.%u.%u:%u", line->to.ipv4 >> 24,
                      (line->to.ipv4 >> 16) & 255, (line->to.ipv4 >> 8) & 255, line->to.ipv4 & 255,
                      line->to.port);
  lc_request_log__add_text (&fields, "to", to);
  if (line->member.instance != 0)
    lc_request_log__add (&fields, "endpoint", LC_U64 (line->member.id));
  lc_request_log__add_ms (&fields, "left_ms", line->left_us);
  lc_request_log__add_ms (&fields, "took_ms", line->took_us);
  lc_request_log__add_ms (&fields, "retry_after_ms", line->retry_after_us);
  if (limit->suppressed_total != log->reported[line->kind])
    lc_request_log__add (&fields, "left_out",
                         LC_U64 (limit->suppressed_total - log->reported[line->kind]));
  log->reported[line->kind] = limit->suppressed_total;
  lc_log_fields (rule->level, rule->event, fields.fields, fields.n);
}
