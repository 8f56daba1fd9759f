#include "lc-cli.h"

#include <glib.h>
#include <string.h>

enum
{
  LC_CLI_TIMEOUT_S = 15,
  LC_CLI_ERRORS_MAX = 20,
};

typedef struct
{
  LcSocketAddress control[LC_CLI_ADDRESSES_MAX];
  uint32_t n_control;
  char who[LC_NAME_MAX];
} LcCliSettings;

static const LcSettingsField LC_CLI_FIELDS[] = {
  { .path = "control",
    .kind = LC_SETTING_ADDRESS_LIST,
    .offset = offsetof (LcCliSettings, control),
    .size = sizeof ((LcCliSettings *)0)->control,
    .count_offset = offsetof (LcCliSettings, n_control),
    .min = 1,
    .is_required = true,
    .help = "HTTP addresses of the control VMs" },
  { .path = "who",
    .kind = LC_SETTING_STRING,
    .offset = offsetof (LcCliSettings, who),
    .size = LC_NAME_MAX,
    .help = "name of the operator in the history" },
};

static const LcSettingsSchema LC_CLI_SCHEMA = { .program = "lychee",
                                                .fields = LC_CLI_FIELDS,
                                                .n_fields = G_N_ELEMENTS (LC_CLI_FIELDS),
                                                .size = sizeof (LcCliSettings) };

/* === arguments ============================================================================== */

void
lc_cli_common_init (LcCliCommon *common)
{
  memset (common, 0, sizeof *common);
  common->control = arg_str0 (NULL, "control", "A:P[,A:P]", "HTTP addresses of control VMs");
  common->settings = arg_file0 (NULL, "settings", "FILE", "JSON with `control` and `who`");
  common->json = arg_lit0 (NULL, "json", "print one line of JSON");
  common->timeout_s = arg_int0 (NULL, "timeout-s", "N", "longest wait for an answer (15)");
  common->who = arg_str0 (NULL, "who", "NAME", "name in the history ($USER)");
  common->request_id = arg_str0 (NULL, "request-id", "ID", "the id of a request to send again");
  common->help = arg_lit0 (NULL, "help", "print this text");
  common->end = arg_end (LC_CLI_ERRORS_MAX);
}

static int
lc_cli__add_addresses (LcCliCommon *common, const char *list, LcError *error)
{
  gchar **parts = g_strsplit (list, ",", -1);
  int r = 0;

  for (gchar **at = parts; *at != NULL && r == 0; at++)
    r = lc_cli_client_add (&common->client, *at, error);
  g_strfreev (parts);
  return r;
}

static int
lc_cli__load_settings (LcCliCommon *common, LcError *error)
{
  LcCliSettings settings;
  int r = lc_settings_load (&LC_CLI_SCHEMA, &settings, common->settings->filename[0], error);

  if (r < 0)
    return r;
  memcpy (common->client.addresses, settings.control, sizeof settings.control);
  common->client.n_addresses = settings.n_control;
  (void)g_strlcpy (common->who_text, settings.who, sizeof common->who_text);
  return 0;
}

static void
lc_cli__set_identity (LcCliCommon *common)
{
  const char *user = g_get_user_name ();

  if (common->who->count > 0)
    (void)g_strlcpy (common->who_text, common->who->sval[0], sizeof common->who_text);
  else if (common->who_text[0] == '\0')
    (void)g_strlcpy (common->who_text, user != NULL ? user : "unknown", sizeof common->who_text);
  if (common->request_id->count > 0)
    (void)g_strlcpy (common->request_id_text, common->request_id->sval[0],
                     sizeof common->request_id_text);
  else
    (void)g_snprintf (common->request_id_text, sizeof common->request_id_text,
                      "cli-%08x%08x%08x%08x", g_random_int (), g_random_int (), g_random_int (),
                      g_random_int ());
}

static int
lc_cli__apply_options (LcCliCommon *common, LcError *error)
{
  int r = 0;

  common->is_json = common->json->count > 0;
  common->client.timeout_ms = LC_CLI_TIMEOUT_S * 1000;
  if (common->timeout_s->count > 0)
    common->client.timeout_ms = (uint32_t)CLAMP (common->timeout_s->ival[0], 1, 3600) * 1000;
  if (common->settings->count > 0)
    r = lc_cli__load_settings (common, error);
  if (r == 0 && common->control->count > 0)
    {
      common->client.n_addresses = 0;
      r = lc_cli__add_addresses (common, common->control->sval[0], error);
    }
  if (r == 0 && common->client.n_addresses == 0)
    r = lc_error_set (error, LC_ERR_INVALID, "give --control A:P or --settings FILE",
                      "no control VM is named");
  lc_cli__set_identity (common);
  return r;
}

int
lc_cli_parse (LcCliCommon *common,
              void **table,
              int n_table,
              int argc,
              char **argv,
              const char *name,
              const char *summary)
{
  LcError error = { 0 };
  int n_errors = arg_parse (argc, argv, table);

  (void)n_table;
  if (common->help->count > 0)
    {
      (void)printf ("Usage: lychee %s", name);
      arg_print_syntax (stdout, table, "\n");
      (void)printf ("%s\n", summary);
      arg_print_glossary (stdout, table, "  %-28s %s\n");
      return LC_CLI_DONE;
    }
  if (n_errors > 0)
    {
      arg_print_errors (stderr, common->end, name);
      (void)fprintf (stderr, "remedy: see lychee %s --help\n", name);
      return LC_CLI_USAGE;
    }
  if (lc_cli__apply_options (common, &error) < 0)
    return lc_cli_fail (common, &error);
  return LC_CLI_CONTINUE;
}

int
lc_cli_finish (void **table, int n_table, int r)
{
  arg_freetable (table, (size_t)n_table);
  return r;
}

/* === output ================================================================================= */

void
lc_cli_print_json (const json_t *value)
{
  (void)json_dumpf (value, stdout, JSON_COMPACT);
  (void)putchar ('\n');
}

static int
lc_cli__exit_code (LcErrorCode code)
{
  if (code == LC_ERR_CONFLICT)
    return LC_CLI_CONFLICT;
  return code == LC_ERR_INVALID ? LC_CLI_USAGE : LC_CLI_FAILED;
}

int
lc_cli_fail (const LcCliCommon *common, const LcError *error)
{
  if (common->is_json)
    {
      json_t *out = json_pack ("{s:{s:s,s:s,s:s,s:s}}", "error", "code",
                               lc_error_code_name (error->code), "message", error->message,
                               "remedy", error->remedy, "request_id", common->request_id_text);

      lc_cli_print_json (out);
      json_decref (out);
    }
  else
    lc_error_print (stderr, error);
  return lc_cli__exit_code (error->code);
}

json_t *
lc_cli_request_new (const LcCliCommon *common)
{
  return json_pack ("{s:s,s:s}", "request_id", common->request_id_text, "who", common->who_text);
}
