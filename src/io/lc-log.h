/* lc-log: structured logging: JSON lines on standard output, through GLib's log writer.
 *
 * HOW TO USE IT
 *     lc_log_init (LC_LOG_INFO, "balancer", "lb-atl-1");
 *     LC_INFO ("view.applied", "revision", LC_U64 (7), "services", LC_U64 (2));
 *     LC_WARN ("link.malformed", "peer", LC_STR (text));
 *   The second call prints, as one line
 *     {"time":"2026-...Z","level":"info","program":"balancer","name":"lb-atl-1",
 *      "event":"view.applied","revision":7,"services":2}
 *   An event is a constant dotted name; everything variable is a field.
 *
 * RATE
 *   lc_log_allow (&limit, now_us, per_s) allows at most `per_s` lines a second, for events that bad
 *   input can cause.
 *
 * NEVER BLOCKS
 *   A line for which standard output has no room is dropped and counted; the next line that fits is
 *   preceded by "log.dropped" with the count.
 *
 * LIMITS
 *   At most 12 fields a line.  Thread-safe.
 */
#ifndef LC_LOG_H
#define LC_LOG_H

#include <stdbool.h>
#include <stdint.h>

typedef enum
{
  LC_LOG_DEBUG,
  LC_LOG_INFO,
  LC_LOG_WARN,
  LC_LOG_ERROR,
} LcLogLevel;

typedef struct
{
  enum
  {
    LC_LOG_VALUE_END,
    LC_LOG_VALUE_STR,
    LC_LOG_VALUE_U64,
    LC_LOG_VALUE_I64,
    LC_LOG_VALUE_DOUBLE
  } kind;
  union
  {
    const char *str;
    uint64_t u64;
    int64_t i64;
    double number;
  };
} LcLogValue;

#define LC_STR(v) ((LcLogValue){ .kind = LC_LOG_VALUE_STR, .str = (v) })
#define LC_U64(v) ((LcLogValue){ .kind = LC_LOG_VALUE_U64, .u64 = (uint64_t)(v) })
#define LC_I64(v) ((LcLogValue){ .kind = LC_LOG_VALUE_I64, .i64 = (int64_t)(v) })
#define LC_DBL(v) ((LcLogValue){ .kind = LC_LOG_VALUE_DOUBLE, .number = (v) })

typedef struct
{
  int64_t window_start_us;
  uint32_t in_window;
  uint64_t suppressed_total;
} LcLogLimit;

void lc_log_init (LcLogLevel level, const char *program, const char *name);
/* "debug", "info", "warn" or "error"; -1 for anything else. */
int lc_log_level_parse (const char *word);
bool lc_log_enabled (LcLogLevel level);
/* Lines dropped for want of room since the start. */
uint64_t lc_log_dropped_total (void);
bool lc_log_allow (LcLogLimit *limit, int64_t now_us, uint32_t per_s);
typedef struct
{
  const char *key;
  LcLogValue value;
} LcLogField;

/* Logs fields from an array, for lines whose fields vary. */
void lc_log_fields (LcLogLevel level, const char *event, const LcLogField *fields, uint32_t n);
/* Takes pairs of (const char *key, LcLogValue value), ended by a NULL key. */
void lc_log_event (LcLogLevel level, const char *event, ...);

#define LC_LOG_AT(level, event, ...)                                                               \
  do                                                                                               \
    {                                                                                              \
      if (lc_log_enabled (level))                                                                  \
        lc_log_event (level, event, ##__VA_ARGS__, NULL);                                          \
    }                                                                                              \
  while (0)
#define LC_DEBUG(event, ...) LC_LOG_AT (LC_LOG_DEBUG, event, ##__VA_ARGS__)
#define LC_INFO(event, ...) LC_LOG_AT (LC_LOG_INFO, event, ##__VA_ARGS__)
#define LC_WARN(event, ...) LC_LOG_AT (LC_LOG_WARN, event, ##__VA_ARGS__)
#define LC_ERROR(event, ...) LC_LOG_AT (LC_LOG_ERROR, event, ##__VA_ARGS__)

#endif /* LC_LOG_H */
