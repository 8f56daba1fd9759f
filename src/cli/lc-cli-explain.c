/* lychee explain: finds in log files what happened to a flow or request, and how fast changes
 * propagate. */
#include "lc-cli.h"
#include "lc-explain.h"
#include "lc-spread.h"

#include "core/lc-types.h"

#include <glib.h>
#include <string.h>

enum
{
  LC_CLI_EXPLAIN_FILES_MAX = 4096,
  LC_CLI_EXPLAIN_ERRORS_MAX = 20,
  LC_CLI_EXPLAIN_AROUND_MS = 2000, /* as long as an election or a suspicion lasts */
};

typedef struct
{
  struct arg_str *flow;
  struct arg_str *request;
  struct arg_str *service;
  struct arg_str *caller;
  struct arg_str *vm;
  struct arg_str *since;
  struct arg_str *until;
  struct arg_int *around_ms;
  struct arg_lit *bad;
  struct arg_lit *spread;
  struct arg_file *svg;
  struct arg_lit *json;
  struct arg_lit *help;
  struct arg_file *files;
  struct arg_end *end;
} LcCliExplainArgs;

/* === printing =============================================================================== */

static void
lc_cli_explain__print_time (int64_t at_us)
{
  char *text = lc_explain_format_time (at_us);

  (void)fputs (text, stdout);
  g_free (text);
}

static bool
lc_cli_explain__is_header (const char *key)
{
  static const char *const HEADERS[] = { "time",  "level", "program", "name",
                                         "event", "flow",  "request" };

  for (size_t i = 0; i < G_N_ELEMENTS (HEADERS); i++)
    if (strcmp (key, HEADERS[i]) == 0)
      return true;
  return false;
}

/* Marks lines of the flow or request itself, as opposed to context. */
static char
lc_cli_explain__mark (const LcExplainLine *line)
{
  return line->flow != NULL || line->request != NULL || line->key != NULL ? '*' : ' ';
}

static void
lc_cli_explain__print_line (const LcExplainLine *line, bool is_json)
{
  const char *key;
  json_t *value;

  if (is_json)
    {
      (void)json_dumpf (line->json, stdout, JSON_COMPACT);
      (void)putchar ('\n');
      return;
    }
  lc_cli_explain__print_time (line->at_us);
  (void)printf (" %c %-28s %-16s %s", lc_cli_explain__mark (line), line->name, line->program,
                line->event);
  json_object_foreach (line->json, key, value)
  {
    if (lc_cli_explain__is_header (key))
      continue;
    (void)printf (" %s=", key);
    (void)json_dumpf (value, stdout, JSON_ENCODE_ANY | JSON_COMPACT);
  }
  (void)putchar ('\n');
}

/* === flows and requests ===================================================================== */

static int
lc_cli_explain__print_no_match (const LcExplainLog *log)
{
  LcError error = { 0 };

  (void)lc_error_set (
      &error, LC_ERR_NOT_FOUND,
      "give the files of more processes or a longer time; a process leaves lines out "
      "when there are too many a second, and says so in left_out",
      "none of %u lines fits (%" G_GUINT64_FORMAT " were no log lines)", log->lines->len,
      (guint64)log->n_skipped);
  lc_error_print (stderr, &error);
  return LC_CLI_FAILED;
}

static int
lc_cli_explain__run_lines (const LcExplainLog *log, const LcCliExplainArgs *args)
{
  int64_t around_us =
      (int64_t)(args->around_ms->count > 0 ? args->around_ms->ival[0] : LC_CLI_EXPLAIN_AROUND_MS) *
      LC_US_PER_MS;
  GPtrArray *lines = g_ptr_array_new ();
  uint32_t n = args->flow->count > 0
                   ? lc_explain_flow (log, args->flow->sval[0], around_us, lines)
                   : lc_explain_request (log, args->request->sval[0], around_us, lines);

  for (guint i = 0; i < lines->len; i++)
    lc_cli_explain__print_line (g_ptr_array_index (lines, i), args->json->count > 0);
  g_ptr_array_unref (lines);
  return n > 0 ? LC_CLI_DONE : lc_cli_explain__print_no_match (log);
}

static void
lc_cli_explain__print_flow (const LcExplainFlow *flow, bool is_json)
{
  if (is_json)
    {
      (void)printf ("{\"flow\":\"%s\",\"first_us\":%" G_GINT64_FORMAT
                    ",\"last_us\":%" G_GINT64_FORMAT ",\"lines\":%u,\"bad\":%u}\n",
                    flow->id, (gint64)flow->first_us, (gint64)flow->last_us, flow->n_lines,
                    flow->n_bad);
      return;
    }
  lc_cli_explain__print_time (flow->first_us);
  (void)printf (" to ");
  lc_cli_explain__print_time (flow->last_us);
  (void)printf ("  %-46s %u lines, %u of them bad\n", flow->id, flow->n_lines, flow->n_bad);
}

static int
lc_cli_explain__run_flows (const LcExplainLog *log,
                           const LcCliExplainArgs *args,
                           const LcExplainQuery *query)
{
  GArray *flows = g_array_new (FALSE, FALSE, sizeof (LcExplainFlow));
  uint32_t n = 0;

  lc_explain_list_flows (log, query, flows);
  for (guint i = 0; i < flows->len; i++)
    {
      const LcExplainFlow *flow = &g_array_index (flows, LcExplainFlow, i);

      if (args->bad->count > 0 && flow->n_bad == 0)
        continue;
      lc_cli_explain__print_flow (flow, args->json->count > 0);
      n++;
    }
  g_array_unref (flows);
  return n > 0 ? LC_CLI_DONE : lc_cli_explain__print_no_match (log);
}

/* === propagation of changes ================================================================= */

static int
lc_cli_explain__write_svg (const LcSpread *spread, const char *path)
{
  GString *svg = g_string_new (NULL);
  GError *failure = NULL;
  LcError error = { 0 };
  int code = LC_CLI_DONE;

  lc_spread_write_svg (spread, svg);
  if (!g_file_set_contents (path, svg->str, (gssize)svg->len, &failure))
    {
      (void)lc_error_set (&error, LC_ERR_INVALID, "name a file that can be written", "%s",
                          failure->message);
      lc_error_print (stderr, &error);
      g_error_free (failure);
      code = LC_CLI_FAILED;
    }
  (void)g_string_free (svg, TRUE);
  return code;
}

static int
lc_cli_explain__print_spread (const LcSpread *spread, const LcCliExplainArgs *args)
{
  GString *out = g_string_new (NULL);

  if (args->json->count > 0)
    lc_spread_write_json (spread, out);
  else
    lc_spread_write_text (spread, out);
  (void)fputs (out->str, stdout);
  (void)g_string_free (out, TRUE);
  return args->svg->count > 0 ? lc_cli_explain__write_svg (spread, args->svg->filename[0])
                              : LC_CLI_DONE;
}

static int
lc_cli_explain__run_spread (const LcCliExplainArgs *args)
{
  LcError error = { 0 };
  LcSpread spread;
  int code;
  int r = 0;

  lc_spread_init (&spread);
  for (int i = 0; r == 0 && i < args->files->count; i++)
    r = lc_spread_read (&spread, args->files->filename[i], &error);
  if (r < 0)
    lc_error_print (stderr, &error);
  lc_spread_compute (&spread);
  code = r < 0 ? LC_CLI_USAGE : lc_cli_explain__print_spread (&spread, args);
  lc_spread_finish (&spread);
  return code;
}

/* === arguments ============================================================================== */

static int
lc_cli_explain__parse_time (const struct arg_str *option, int64_t *at_us, LcError *error)
{
  *at_us = option->count > 0 ? lc_explain_parse_time (option->sval[0]) : 0;
  if (*at_us >= 0)
    return 0;
  return lc_error_set (error, LC_ERR_INVALID, "write 2026-12-02T13:02:53Z, or seconds since 1970",
                       "%s is no time", option->sval[0]);
}

static int
lc_cli_explain__run_query (LcExplainLog *log, const LcCliExplainArgs *args)
{
  LcExplainQuery query = { 0 };
  LcError error = { 0 };
  int r = lc_cli_explain__parse_time (args->since, &query.since_us, &error);

  if (r == 0)
    r = lc_cli_explain__parse_time (args->until, &query.until_us, &error);
  for (int i = 0; r == 0 && i < args->files->count; i++)
    r = lc_explain_read (log, args->files->filename[i], &error);
  if (r < 0)
    {
      lc_error_print (stderr, &error);
      return LC_CLI_USAGE;
    }
  lc_explain_sort (log);
  query.service = args->service->count > 0 ? args->service->sval[0] : NULL;
  query.vm = args->vm->count > 0 ? args->vm->sval[0] : NULL;
  query.caller = args->caller->count > 0 ? args->caller->sval[0] : NULL;
  return args->flow->count > 0 || args->request->count > 0
             ? lc_cli_explain__run_lines (log, args)
             : lc_cli_explain__run_flows (log, args, &query);
}

static int
lc_cli_explain__run (int argc, char **argv, LcCliExplainArgs *args, void **table)
{
  LcExplainLog log;
  int n_errors = arg_parse (argc, argv, table);
  int code;

  if (args->help->count > 0)
    {
      (void)printf ("Usage: lychee explain");
      arg_print_syntax (stdout, table, "\n");
      (void)printf (
          "Joins the log lines of several processes about one flow or request, in time order; "
          "without --flow and --request, lists the flows that fit.  With --spread, tells how long "
          "each change of "
          "members or declaration took to the middle and the last machine of each role.\n");
      arg_print_glossary (stdout, table, "  %-28s %s\n");
      return LC_CLI_DONE;
    }
  if (n_errors > 0)
    {
      arg_print_errors (stderr, args->end, "explain");
      (void)fprintf (stderr, "remedy: see lychee explain --help\n");
      return LC_CLI_USAGE;
    }
  if (args->spread->count > 0)
    return lc_cli_explain__run_spread (args);
  lc_explain_init (&log);
  code = lc_cli_explain__run_query (&log, args);
  lc_explain_finish (&log);
  return code;
}

int
lc_cli_explain (int argc, char **argv)
{
  LcCliExplainArgs args;
  int code;

  args.flow =
      arg_str0 (NULL, "flow", "CALLER:P>SERVICE:P", "the flow's id, as the log lines have it");
  args.request = arg_str0 (NULL, "request", "ID",
                           "a Lychee-Request-Id or an Idempotency-Key: all copies of the request");
  args.service = arg_str0 (NULL, "service", "A:P", "list flows to this address");
  args.caller = arg_str0 (NULL, "caller", "A[:P]", "list flows of this caller");
  args.vm = arg_str0 (NULL, "vm", "NAME", "list flows that this VM wrote of");
  args.since = arg_str0 (NULL, "since", "TIME", "list flows seen from then on");
  args.until = arg_str0 (NULL, "until", "TIME", "and up to then");
  args.bad = arg_lit0 (NULL, "bad", "list only flows with a line that tells of trouble");
  args.spread =
      arg_lit0 (NULL, "spread", "how long changes took to reach the machines of each role");
  args.svg = arg_file0 (NULL, "svg", "FILE", "with --spread: draw it as well");
  args.around_ms =
      arg_int0 (NULL, "around-ms", "N", "what its processes said so long around it (2000)");
  args.json = arg_lit0 (NULL, "json", "print the lines as they are");
  args.help = arg_lit0 (NULL, "help", "print this text");
  args.files =
      arg_filen (NULL, NULL, "FILE", 1, LC_CLI_EXPLAIN_FILES_MAX, "logs; - is standard input");
  args.end = arg_end (LC_CLI_EXPLAIN_ERRORS_MAX);
  {
    void *table[] = { args.flow,      args.request, args.service, args.caller, args.vm,
                      args.since,     args.until,   args.bad,     args.spread, args.svg,
                      args.around_ms, args.json,    args.help,    args.files,  args.end };

    code = lc_cli_explain__run (argc, argv, &args, table);
    arg_freetable (table, G_N_ELEMENTS (table));
  }
  return code;
}
