#include "lc-cli.h"

#include <glib.h>
#include <string.h>

typedef struct
{
  struct arg_str *intent;
  struct arg_str *target;
  struct arg_file *file;
  struct arg_str *with;
  struct arg_lit *allow_empty;
  struct arg_lit *allow_cut;
} LcCliPlanArgs;

/* What each intent requires. */
static const struct
{
  const char *name;
  bool needs_target;
  bool needs_file;
  bool needs_with;
} LC_CLI_INTENTS[] = {
  { "open-market", false, true, false },
  { "apply", false, true, false },
  { "change-rule", false, true, false },
  { "retire-data-centre", true, false, false },
  { "restore-data-centre", true, false, false },
  { "drain", true, false, false },
  { "undrain", true, false, false },
  { "replace-control-vm", true, false, true },
};

/* === private: the request =================================================================== */

static int
lc_cli_plan__check_args (const LcCliPlanArgs *args, LcError *error)
{
  for (size_t i = 0; i < G_N_ELEMENTS (LC_CLI_INTENTS); i++)
    {
      if (strcmp (args->intent->sval[0], LC_CLI_INTENTS[i].name) != 0)
        continue;
      if (LC_CLI_INTENTS[i].needs_target != (args->target->count > 0))
        return lc_error_set (error, LC_ERR_INVALID, "see lychee plan --help", "%s %s a name",
                             LC_CLI_INTENTS[i].name,
                             LC_CLI_INTENTS[i].needs_target ? "needs" : "takes no");
      if (LC_CLI_INTENTS[i].needs_file && args->file->count == 0)
        return lc_error_set (error, LC_ERR_INVALID, "give --file DECLARATION",
                             "%s needs a declaration", LC_CLI_INTENTS[i].name);
      if (LC_CLI_INTENTS[i].needs_with && args->with->count == 0)
        return lc_error_set (error, LC_ERR_INVALID, "give --with NAME=ADDRESS:PORT",
                             "%s needs the replacement", LC_CLI_INTENTS[i].name);
      return 0;
    }
  return lc_error_set (error, LC_ERR_INVALID, "see lychee plan --help", "\"%.60s\" is no intent",
                       args->intent->sval[0]);
}

static int
lc_cli_plan__add_file (const LcCliPlanArgs *args, json_t *request, LcError *error)
{
  json_error_t where;
  json_t *declaration;

  if (args->file->count == 0)
    return 0;
  declaration = json_load_file (args->file->filename[0], JSON_REJECT_DUPLICATES, &where);
  if (declaration == NULL)
    return lc_error_set (error, LC_ERR_INVALID, "correct the file at that place",
                         "%s: line %d, column %d: %s", args->file->filename[0], where.line,
                         where.column, where.text);
  (void)json_object_set_new (request, "declaration", declaration);
  return 0;
}

/* Adds --with NAME=ADDRESS:PORT. */
static int
lc_cli_plan__add_with (const LcCliPlanArgs *args, json_t *request, LcError *error)
{
  gchar **parts;
  int r = 0;

  if (args->with->count == 0)
    return 0;
  parts = g_strsplit (args->with->sval[0], "=", 2);
  if (g_strv_length (parts) == 2)
    (void)json_object_set_new (request, "with",
                               json_pack ("{s:s,s:s}", "name", parts[0], "address", parts[1]));
  else
    r = lc_error_set (error, LC_ERR_INVALID, "write it as NAME=ADDRESS:PORT",
                      "--with %.60s has no '='", args->with->sval[0]);
  g_strfreev (parts);
  return r;
}

static int
lc_cli_plan__fill_request (const LcCliPlanArgs *args, json_t *request, LcError *error)
{
  int r = lc_cli_plan__check_args (args, error);

  if (r == 0)
    r = lc_cli_plan__add_file (args, request, error);
  if (r == 0)
    r = lc_cli_plan__add_with (args, request, error);
  (void)json_object_set_new (request, "intent", json_string (args->intent->sval[0]));
  if (args->target->count > 0)
    (void)json_object_set_new (request, "target", json_string (args->target->sval[0]));
  (void)json_object_set_new (request, "allow_empty", json_boolean (args->allow_empty->count > 0));
  (void)json_object_set_new (request, "allow_cut", json_boolean (args->allow_cut->count > 0));
  return r;
}

/* === private: output ======================================================================== */

static void
lc_cli_plan__print_lines (const json_t *lines, const char *if_none)
{
  size_t i;
  json_t *line;

  json_array_foreach (lines, i, line)
  {
    (void)printf ("    %zu. %s\n", i + 1, json_string_value (line));
  }
  if (json_array_size (lines) == 0)
    (void)printf ("    %s\n", if_none);
}

static json_int_t
lc_cli_plan__int (const json_t *plan, const char *key)
{
  return json_integer_value (json_object_get (plan, key));
}

static void
lc_cli_plan__print (const json_t *plan)
{
  json_int_t id = lc_cli_plan__int (plan, "plan_id");
  const char *target = json_string_value (json_object_get (plan, "target"));
  bool has_target = target != NULL && target[0] != '\0';

  (void)printf ("plan %" JSON_INTEGER_FORMAT ": %s%s%s, on revision %" JSON_INTEGER_FORMAT "\n", id,
                json_string_value (json_object_get (plan, "intent")), has_target ? " " : "",
                has_target ? target : "", lc_cli_plan__int (plan, "base_revision"));
  (void)printf ("  steps:\n");
  lc_cli_plan__print_lines (json_object_get (plan, "steps"), "none");
  (void)printf ("  breaks:\n");
  lc_cli_plan__print_lines (json_object_get (plan, "breaks"), "nothing");
  (void)printf ("  moves new work away from %" JSON_INTEGER_FORMAT
                " endpoints, within %" JSON_INTEGER_FORMAT " s%s\n",
                lc_cli_plan__int (plan, "endpoints_moved"),
                lc_cli_plan__int (plan, "no_new_work_within_s"),
                json_is_true (json_object_get (plan, "waits_for_flows"))
                    ? "; established flows end by themselves"
                    : "");
  if (lc_cli_plan__int (plan, "changes") > 0)
    (void)printf ("nothing has changed yet; to carry it out: lychee confirm %" JSON_INTEGER_FORMAT
                  " --wait\n",
                  id);
}

static int
lc_cli_plan__run (LcCliCommon *common, const LcCliPlanArgs *args)
{
  json_t *request = lc_cli_request_new (common);
  json_t *answer = NULL;
  LcError error = { 0 };
  int r = lc_cli_plan__fill_request (args, request, &error);

  if (r == 0)
    r = lc_cli_client_call (&common->client, "POST", "/v1/plan", request, &answer, &error);
  json_decref (request);
  if (r < 0)
    return lc_cli_fail (common, &error);
  if (common->is_json)
    lc_cli_print_json (answer);
  else
    lc_cli_plan__print (answer);
  json_decref (answer);
  return LC_CLI_DONE;
}

/* === public ================================================================================= */

int
lc_cli_plan (int argc, char **argv)
{
  LcCliCommon common;
  LcCliPlanArgs args = {
    .intent = arg_str1 (NULL, NULL, "INTENT",
                        "open-market, apply, change-rule, retire-data-centre, "
                        "restore-data-centre, drain, undrain or replace-control-vm"),
    .target = arg_str0 (NULL, NULL, "NAME", "endpoint, data centre or control VM"),
    .file = arg_file0 (NULL, "file", "FILE", "declaration (open-market, apply, change-rule)"),
    .with = arg_str0 (NULL, "with", "NAME=A:P", "new control VM (replace-control-vm)"),
    .allow_empty = arg_lit0 (NULL, "allow-empty", "a service may be left with no endpoint"),
    .allow_cut = arg_lit0 (NULL, "allow-cut", "established flows may be cut"),
  };
  int r;

  lc_cli_common_init (&common);
  {
    void *table[] = { args.intent,
                      args.target,
                      args.file,
                      args.with,
                      args.allow_empty,
                      args.allow_cut,
                      LC_CLI_COMMON_ARGS (common) };

    r = lc_cli_parse (&common, table, G_N_ELEMENTS (table), argc, argv, "plan",
                      "Shows what an intent would change; nothing changes until it is confirmed.");
    if (r == LC_CLI_CONTINUE)
      r = lc_cli_plan__run (&common, &args);
    return lc_cli_finish (table, G_N_ELEMENTS (table), r);
  }
}
