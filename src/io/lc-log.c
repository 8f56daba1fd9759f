#include "lc-log.h"

#include "core/lc-types.h"

#include <glib.h>
#include <poll.h>
#include <stdarg.h>
#include <string.h>
#include <unistd.h>

enum
{
  LC_LOG_MAX_FIELDS = 12,
  LC_LOG_NAME_BYTES = 64,
};

/* Process-wide, as GLib's log writer is. */
static struct
{
  LcLogLevel level;
  char program[LC_LOG_NAME_BYTES];
  char name[LC_LOG_NAME_BYTES];
  GMutex lock;
  uint64_t dropped_total;
  uint64_t dropped_reported; /* of these, in "log.dropped" lines */
} lc_log__state = { .level = LC_LOG_INFO };

static const char *const LC_LOG_LEVEL_NAMES[] = { "debug", "info", "warn", "error" };

/* === private: JSON ========================================================================== */

static void
lc_log__append_string (GString *line, const char *text)
{
  g_string_append_c (line, '"');
  for (const unsigned char *p = (const unsigned char *)text; *p != '\0'; p++)
    {
      if (*p == '"' || *p == '\\')
        g_string_append_c (line, '\\');
      if (*p < 0x20 || *p >= 0x7f)
        g_string_append_printf (line, "\\u%04x", *p);
      else
        g_string_append_c (line, (gchar)*p);
    }
  g_string_append_c (line, '"');
}

static void
lc_log__append_value (GString *line, const LcLogValue *value)
{
  switch (value->kind)
    {
    case LC_LOG_VALUE_STR:
      lc_log__append_string (line, value->str != NULL ? value->str : "");
      break;
    case LC_LOG_VALUE_U64:
      g_string_append_printf (line, "%" G_GUINT64_FORMAT, (guint64)value->u64);
      break;
    case LC_LOG_VALUE_I64:
      g_string_append_printf (line, "%" G_GINT64_FORMAT, (gint64)value->i64);
      break;
    case LC_LOG_VALUE_DOUBLE:
      g_string_append_printf (line, "%.6g", value->number);
      break;
    case LC_LOG_VALUE_END:
      g_string_append (line, "null");
      break;
    }
}

static void
lc_log__append_field (GString *line, const char *key, const LcLogValue *value)
{
  g_string_append_c (line, ',');
  lc_log__append_string (line, key);
  g_string_append_c (line, ':');
  lc_log__append_value (line, value);
}

static GString *
lc_log__begin (LcLogLevel level, const char *event)
{
  GDateTime *now = g_date_time_new_now_utc ();
  gchar *time = g_date_time_format (now, "%Y-%m-%dT%H:%M:%S");
  GString *line = g_string_sized_new (256);

  g_string_printf (line, "{\"time\":\"%s.%06dZ\",\"level\":\"%s\"", time,
                   g_date_time_get_microsecond (now), LC_LOG_LEVEL_NAMES[level]);
  lc_log__append_field (line, "program", &LC_STR (lc_log__state.program));
  lc_log__append_field (line, "name", &LC_STR (lc_log__state.name));
  lc_log__append_field (line, "event", &LC_STR (event));
  g_free (time);
  g_date_time_unref (now);
  return line;
}

/* === private: GLib's writer ================================================================= */

static const char *
lc_log__find_field (const GLogField *fields, gsize n_fields, const char *key)
{
  for (gsize i = 0; i < n_fields; i++)
    if (strcmp (fields[i].key, key) == 0)
      return fields[i].value;
  return NULL;
}

static bool
lc_log__has_room (void)
{
  struct pollfd out = { .fd = STDOUT_FILENO, .events = POLLOUT };

  return poll (&out, 1, 0) == 1 && (out.revents & POLLOUT) != 0;
}

/* A pipe that polls writable has room for these few hundred bytes and the line after them. */
static void
lc_log__report_dropped (void)
{
  GString *line;

  if (lc_log__state.dropped_total == lc_log__state.dropped_reported)
    return;
  line = lc_log__begin (LC_LOG_WARN, "log.dropped");
  lc_log__append_field (line, "lines",
                        &LC_U64 (lc_log__state.dropped_total - lc_log__state.dropped_reported));
  g_string_append (line, "}\n");
  if (write (STDOUT_FILENO, line->str, line->len) == (gssize)line->len)
    lc_log__state.dropped_reported = lc_log__state.dropped_total;
  g_string_free (line, TRUE);
}

static void
lc_log__write_line (const char *line)
{
  size_t len = strlen (line);

  g_mutex_lock (&lc_log__state.lock);
  if (lc_log__has_room ())
    {
      lc_log__report_dropped ();
      if (write (STDOUT_FILENO, line, len) != (gssize)len)
        lc_log__state.dropped_total++;
    }
  else
    lc_log__state.dropped_total++;
  g_mutex_unlock (&lc_log__state.lock);
}

/* Lines of this module come complete in LC_LINE; a library's message is wrapped in an event. */
static GLogWriterOutput
lc_log__glib_writer (GLogLevelFlags flags, const GLogField *fields, gsize n_fields, gpointer user)
{
  const char *ready = lc_log__find_field (fields, n_fields, "LC_LINE");
  const char *message = lc_log__find_field (fields, n_fields, "MESSAGE");
  GString *line = NULL;

  (void)user;
  if (ready == NULL)
    {
      line = lc_log__begin ((flags & G_LOG_LEVEL_ERROR) ? LC_LOG_ERROR : LC_LOG_WARN, "library");
      lc_log__append_field (line, "message", &LC_STR (message));
      g_string_append (line, "}\n");
    }
  lc_log__write_line (ready != NULL ? ready : line->str);
  if (line != NULL)
    g_string_free (line, TRUE);
  return G_LOG_WRITER_HANDLED;
}

static GLogLevelFlags
lc_log__glib_level (LcLogLevel level)
{
  switch (level)
    {
    case LC_LOG_DEBUG:
      return G_LOG_LEVEL_DEBUG;
    case LC_LOG_INFO:
      return G_LOG_LEVEL_INFO;
    case LC_LOG_WARN:
      return G_LOG_LEVEL_WARNING;
    case LC_LOG_ERROR:
      /* G_LOG_LEVEL_ERROR would end the process; CRITICAL is GLib's level for errors that don't. */
      return G_LOG_LEVEL_CRITICAL;
    }
  return G_LOG_LEVEL_INFO;
}

/* === public ================================================================================= */

void
lc_log_init (LcLogLevel level, const char *program, const char *name)
{
  static gsize is_installed;

  lc_log__state.level = level;
  (void)g_strlcpy (lc_log__state.program, program, sizeof lc_log__state.program);
  (void)g_strlcpy (lc_log__state.name, name, sizeof lc_log__state.name);
  if (g_once_init_enter (&is_installed))
    {
      g_log_set_writer_func (lc_log__glib_writer, NULL, NULL);
      g_once_init_leave (&is_installed, 1);
    }
}

int
lc_log_level_parse (const char *word)
{
  for (int i = LC_LOG_DEBUG; i <= LC_LOG_ERROR; i++)
    if (strcmp (word, LC_LOG_LEVEL_NAMES[i]) == 0)
      return i;
  return -1;
}

uint64_t
lc_log_dropped_total (void)
{
  return lc_log__state.dropped_total;
}

bool
lc_log_enabled (LcLogLevel level)
{
  return level >= lc_log__state.level;
}

bool
lc_log_allow (LcLogLimit *limit, int64_t now_us, uint32_t per_s)
{
  if (now_us - limit->window_start_us >= LC_US_PER_S)
    {
      limit->window_start_us = now_us;
      limit->in_window = 0;
    }
  if (limit->in_window >= per_s)
    {
      limit->suppressed_total++;
      return false;
    }
  limit->in_window++;
  return true;
}

static void
lc_log__end (LcLogLevel level, GString *line)
{
  GLogField field = { .key = "LC_LINE", .length = -1 };

  g_string_append (line, "}\n");
  field.value = line->str;
  g_log_structured_array (lc_log__glib_level (level), &field, 1);
  g_string_free (line, TRUE);
}

void
lc_log_fields (LcLogLevel level, const char *event, const LcLogField *fields, uint32_t n)
{
  GString *line = lc_log__begin (level, event);

  for (uint32_t i = 0; i < n; i++)
    lc_log__append_field (line, fields[i].key, &fields[i].value);
  lc_log__end (level, line);
}

void
lc_log_event (LcLogLevel level, const char *event, ...)
{
  GString *line = lc_log__begin (level, event);
  va_list args;

  va_start (args, event);
  for (int i = 0; i < LC_LOG_MAX_FIELDS; i++)
    {
      const char *key = va_arg (args, const char *);
      LcLogValue value;

      if (key == NULL)
        break;
      value = va_arg (args, LcLogValue);
      lc_log__append_field (line, key, &value);
    }
  va_end (args);
  lc_log__end (level, line);
}
