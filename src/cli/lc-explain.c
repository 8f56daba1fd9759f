#include "lc-explain.h"

#include "core/lc-types.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* === public: fields of a line =============================================================== */

const char *
lc_explain_text (const json_t *json, const char *key)
{
  const char *text = json_string_value (json_object_get (json, key));

  return text != NULL ? text : "";
}

char *
lc_explain_format_time (int64_t at_us)
{
  GDateTime *time = g_date_time_new_from_unix_utc (at_us / LC_US_PER_S);
  char *second = g_date_time_format (time, "%H:%M:%S");
  char *text = g_strdup_printf ("%s.%03d", second, (int)(at_us % LC_US_PER_S / LC_US_PER_MS));

  g_free (second);
  g_date_time_unref (time);
  return text;
}

int64_t
lc_explain_parse_time (const char *text)
{
  GDateTime *time = g_date_time_new_from_iso8601 (text, NULL);
  int64_t at_us;
  char *end = NULL;
  double seconds;

  if (time != NULL)
    {
      at_us = g_date_time_to_unix (time) * LC_US_PER_S + g_date_time_get_microsecond (time);
      g_date_time_unref (time);
      return at_us;
    }
  seconds = g_ascii_strtod (text, &end);
  return end != text && *end == '\0' && seconds >= 0 ? (int64_t)(seconds * LC_US_PER_S) : -1;
}

/* === private: reading ======================================================================= */

static void
lc_explain__add_line (void *user, uint64_t number, const char *text)
{
  LcExplainLog *log = user;
  const char *brace = strchr (text, '{');
  json_t *json = brace != NULL ? json_loads (brace, JSON_DISABLE_EOF_CHECK, NULL) : NULL;
  LcExplainLine line = { .json = json, .at_us = -1 };

  if (json != NULL)
    line.at_us = lc_explain_parse_time (lc_explain_text (json, "time"));
  if (line.at_us < 0)
    {
      log->n_skipped++;
      json_decref (json);
      return;
    }
  line.program = lc_explain_text (json, "program");
  line.name = lc_explain_text (json, "name");
  line.event = lc_explain_text (json, "event");
  line.flow = json_string_value (json_object_get (json, "flow"));
  line.request = json_string_value (json_object_get (json, "request"));
  line.key = json_string_value (json_object_get (json, "key"));
  g_array_append_val (log->lines, line);
}

static void
lc_explain__clear_line (gpointer line)
{
  json_decref (((LcExplainLine *)line)->json);
}

/* === public: the log ======================================================================== */

void
lc_explain_init (LcExplainLog *log)
{
  memset (log, 0, sizeof *log);
  log->lines = g_array_new (FALSE, FALSE, sizeof (LcExplainLine));
  g_array_set_clear_func (log->lines, lc_explain__clear_line);
}

void
lc_explain_finish (LcExplainLog *log)
{
  g_array_unref (log->lines);
  memset (log, 0, sizeof *log);
}

int
lc_explain_each_line (const char *path,
                      void (*each) (void *user, uint64_t number, const char *text),
                      void *user,
                      LcError *error)
{
  bool is_stdin = strcmp (path, "-") == 0;
  FILE *in = is_stdin ? stdin : fopen (path, "r");
  uint64_t number = 0;
  char *text = NULL;
  size_t size = 0;

  if (in == NULL)
    return lc_error_set (error, LC_ERR_NOT_FOUND, "name files that hold the programs' output",
                         "%s: %s", path, g_strerror (errno));
  while (getline (&text, &size, in) >= 0)
    each (user, ++number, text);
  free (text);
  if (!is_stdin)
    (void)fclose (in);
  return 0;
}

int
lc_explain_read (LcExplainLog *log, const char *path, LcError *error)
{
  return lc_explain_each_line (path, lc_explain__add_line, log, error);
}

static gint
lc_explain__compare_lines (gconstpointer a, gconstpointer b)
{
  const LcExplainLine *left = a;
  const LcExplainLine *right = b;

  return (left->at_us > right->at_us) - (left->at_us < right->at_us);
}

void
lc_explain_sort (LcExplainLog *log)
{
  g_array_sort (log->lines, lc_explain__compare_lines); /* g_array_sort is stable */
}

/* === private: one flow or request =========================================================== */

typedef struct
{
  int64_t first_us;
  int64_t last_us;
  uint32_t n_lines;
  GHashTable *processes; /* "program name" of those that logged its lines */
} LcExplainSpan;

/* A flow, or a request by all its ids. */
typedef struct
{
  const char *flow;  /* NULL: a request */
  GHashTable *names; /* ids of copies and of keys, and callers' keys */
} LcExplainSubject;

static bool
lc_explain__has_id (const LcExplainSubject *subject, const char *name)
{
  return name != NULL && g_hash_table_contains (subject->names, name);
}

static bool
lc_explain__is_about (const LcExplainLine *line, const LcExplainSubject *subject)
{
  if (subject->flow != NULL)
    return line->flow != NULL && strcmp (line->flow, subject->flow) == 0;
  return lc_explain__has_id (subject, line->request) || lc_explain__has_id (subject, line->key);
}

static bool
lc_explain__has_any_id (const LcExplainLine *line)
{
  return line->flow != NULL || line->request != NULL || line->key != NULL;
}

static char *
lc_explain__process_key (const LcExplainLine *line)
{
  return g_strdup_printf ("%s %s", line->program, line->name);
}

static void
lc_explain__find_span (const LcExplainLog *log,
                       const LcExplainSubject *subject,
                       LcExplainSpan *span)
{
  memset (span, 0, sizeof *span);
  span->processes = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  for (guint i = 0; i < log->lines->len; i++)
    {
      const LcExplainLine *line = &g_array_index (log->lines, LcExplainLine, i);

      if (!lc_explain__is_about (line, subject))
        continue;
      if (span->n_lines++ == 0)
        span->first_us = line->at_us;
      span->last_us = line->at_us;
      (void)g_hash_table_add (span->processes, lc_explain__process_key (line));
    }
}

/* Connections between control VMs change often and explain nothing by themselves. */
static bool
lc_explain__is_context (const LcExplainLine *line, const LcExplainSpan *span)
{
  char *process;
  bool is_involved;

  if (lc_explain__has_any_id (line))
    return false;
  if (strcmp (line->program, "lychee-control") == 0)
    return !g_str_has_prefix (line->event, "control.peer-");
  process = lc_explain__process_key (line);
  is_involved = g_hash_table_contains (span->processes, process);
  g_free (process);
  return is_involved;
}

static uint32_t
lc_explain__select_lines (const LcExplainLog *log,
                          const LcExplainSubject *subject,
                          int64_t around_us,
                          GPtrArray *out)
{
  LcExplainSpan span;

  lc_explain__find_span (log, subject, &span);
  for (guint i = 0; span.n_lines > 0 && i < log->lines->len; i++)
    {
      LcExplainLine *line = &g_array_index (log->lines, LcExplainLine, i);

      if (line->at_us < span.first_us - around_us || line->at_us > span.last_us + around_us)
        continue;
      if (lc_explain__is_about (line, subject) || lc_explain__is_context (line, &span))
        g_ptr_array_add (out, line);
    }
  g_hash_table_unref (span.processes);
  return span.n_lines;
}

/* Adds the other ids on lines about the request; returns whether any was new. */
static bool
lc_explain__add_ids (const LcExplainLog *log, const LcExplainSubject *subject)
{
  bool is_new = false;

  for (guint i = 0; i < log->lines->len; i++)
    {
      const LcExplainLine *line = &g_array_index (log->lines, LcExplainLine, i);
      const char *caller_key = json_string_value (json_object_get (line->json, "caller_key"));

      if (!lc_explain__is_about (line, subject) && !lc_explain__has_id (subject, caller_key))
        continue;
      if (line->request != NULL)
        is_new = g_hash_table_add (subject->names, (gpointer)line->request) || is_new;
      if (line->key != NULL)
        is_new = g_hash_table_add (subject->names, (gpointer)line->key) || is_new;
    }
  return is_new;
}

/* === public: one flow or request ============================================================ */

uint32_t
lc_explain_flow (const LcExplainLog *log, const char *id, int64_t around_us, GPtrArray *out)
{
  return lc_explain__select_lines (log, &(LcExplainSubject){ .flow = id }, around_us, out);
}

uint32_t
lc_explain_request (const LcExplainLog *log, const char *id, int64_t around_us, GPtrArray *out)
{
  LcExplainSubject subject = { .names = g_hash_table_new (g_str_hash, g_str_equal) };
  uint32_t n;

  (void)g_hash_table_add (subject.names, (gpointer)id);
  while (lc_explain__add_ids (log, &subject))
    ;
  n = lc_explain__select_lines (log, &subject, around_us, out);
  g_hash_table_unref (subject.names);
  return n;
}

/* === public: list of flows ================================================================== */

static bool
lc_explain__matches (const LcExplainLine *line, const LcExplainQuery *query)
{
  const char *arrow = line->flow != NULL ? strchr (line->flow, '>') : NULL;
  size_t len = query->caller != NULL ? strlen (query->caller) : 0;

  if (arrow == NULL || line->at_us < query->since_us ||
      (query->until_us != 0 && line->at_us > query->until_us))
    return false;
  if (query->vm != NULL && strcmp (line->name, query->vm) != 0)
    return false;
  if (query->service != NULL && strcmp (arrow + 1, query->service) != 0)
    return false;
  return len == 0 || (strncmp (line->flow, query->caller, len) == 0 &&
                      (line->flow[len] == ':' || line->flow[len] == '>'));
}

static bool
lc_explain__is_bad (const LcExplainLine *line)
{
  static const char *const BAD[] = { "flow.dropped",  "flow.reset", "flow.returned",
                                     "flow.searched", "flow.late",  "flow.released" };

  for (size_t i = 0; i < G_N_ELEMENTS (BAD); i++)
    if (strcmp (line->event, BAD[i]) == 0)
      return true;
  return false;
}

void
lc_explain_list_flows (const LcExplainLog *log, const LcExplainQuery *query, GArray *out)
{
  GHashTable *indexes = g_hash_table_new (g_str_hash, g_str_equal); /* id -> index in out, plus 1 */

  for (guint i = 0; i < log->lines->len; i++)
    {
      const LcExplainLine *line = &g_array_index (log->lines, LcExplainLine, i);
      LcExplainFlow *flow;
      guint index;

      if (!lc_explain__matches (line, query))
        continue;
      index = GPOINTER_TO_UINT (g_hash_table_lookup (indexes, line->flow));
      if (index == 0)
        {
          LcExplainFlow fresh = { .id = line->flow, .first_us = line->at_us };

          g_array_append_val (out, fresh);
          index = out->len;
          (void)g_hash_table_insert (indexes, (gpointer)line->flow, GUINT_TO_POINTER (index));
        }
      flow = &g_array_index (out, LcExplainFlow, index - 1);
      flow->last_us = line->at_us;
      flow->n_lines++;
      flow->n_bad += lc_explain__is_bad (line) ? 1 : 0;
    }
  g_hash_table_unref (indexes);
}
