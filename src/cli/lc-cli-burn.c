#include "lc-burn-output.h"
#include "lc-cli.h"

#include <string.h>

enum
{
  LC_CLI_ADMIN_PORT = 9100,
};

typedef struct
{
  struct arg_str *service;
  struct arg_int *admin_port;
  struct arg_file *history;
  struct arg_file *html;
  struct arg_lit *fail_on_page;
} LcCliBurnArgs;

/* === private: reading and writing =========================================================== */

static int
lc_cli_burn__write_html (const LcBurnCollector *collector,
                         const char *service,
                         const char *path,
                         LcError *error)
{
  char *html = lc_burn_to_html (collector, service);
  GError *gerror = NULL;
  int r = 0;

  if (!g_file_set_contents (path, html, -1, &gerror))
    {
      r = lc_error_set (error, LC_ERR_IO, "give a writable file to --html", "%s", gerror->message);
      g_error_free (gerror);
    }
  g_free (html);
  return r;
}

static int
lc_cli_burn__check_service (const LcBurnCollector *collector, const char *service, LcError *error)
{
  for (guint s = 0; service != NULL && s < collector->services->len; s++)
    if (strcmp (g_array_index (collector->services, LcBurnServiceRow, s).name, service) == 0)
      return 0;
  if (service == NULL)
    return 0;
  return lc_error_set (error, LC_ERR_NOT_FOUND, "see lychee status for the services",
                       "there is no service \"%.47s\"", service);
}

static int
lc_cli_burn__collect (LcBurnCollector *collector,
                      LcCliCommon *common,
                      const LcCliBurnArgs *args,
                      LcError *error)
{
  int port = args->admin_port->count > 0 ? args->admin_port->ival[0] : LC_CLI_ADMIN_PORT;
  json_t *status = NULL;
  int r = 0;

  if (port < 1 || port > UINT16_MAX)
    return lc_error_set (error, LC_ERR_INVALID, "use a port from 1 to 65535",
                         "--admin-port %d is out of range", port);
  if (args->history->count > 0)
    r = lc_burn_history_load (collector, args->history->filename[0], error);
  if (r == 0)
    r = lc_cli_client_call (&common->client, "GET", "/v1/status", NULL, &status, error);
  if (r == 0)
    lc_burn_collector_query_all (collector, status, (uint16_t)port);
  json_decref (status);
  if (r == 0 && args->history->count > 0)
    r = lc_burn_history_save (collector, args->history->filename[0], error);
  return r;
}

static void
lc_cli_burn__print (const LcCliCommon *common,
                    const LcBurnCollector *collector,
                    const char *service)
{
  json_t *json;

  if (!common->is_json)
    {
      lc_burn_print_text (collector, service, stdout);
      return;
    }
  json = lc_burn_to_json (collector, service);
  lc_cli_print_json (json);
  json_decref (json);
}

static int
lc_cli_burn__run (LcCliCommon *common, const LcCliBurnArgs *args)
{
  const char *service = args->service->count > 0 ? args->service->sval[0] : NULL;
  bool is_paging = false;
  LcBurnCollector collector;
  LcError error = { 0 };
  int r;

  lc_burn_collector_init (&collector);
  r = lc_cli_burn__collect (&collector, common, args, &error);
  if (r == 0)
    r = lc_cli_burn__check_service (&collector, service, &error);
  if (r == 0 && args->html->count > 0)
    r = lc_cli_burn__write_html (&collector, service, args->html->filename[0], &error);
  if (r == 0)
    {
      lc_cli_burn__print (common, &collector, service);
      is_paging = lc_burn_has_urgency (&collector, service, LC_BURN_PAGE);
    }
  lc_burn_collector_finish (&collector);
  if (r < 0)
    return lc_cli_fail (common, &error);
  return is_paging && args->fail_on_page->count > 0 ? LC_CLI_FAILED : LC_CLI_DONE;
}

/* === public ================================================================================= */

int
lc_cli_burn (int argc, char **argv)
{
  LcCliCommon common;
  LcCliBurnArgs args = {
    .service = arg_str0 (NULL, "service", "NAME", "this service only"),
    .admin_port = arg_int0 (NULL, "admin-port", "N", "of balancers and agents (9100)"),
    .history = arg_file0 (NULL, "history", "FILE", "keep samples here across runs and restarts"),
    .html = arg_file0 (NULL, "html", "FILE", "write a page with plots"),
    .fail_on_page = arg_lit0 (NULL, "fail-on-page", "exit 1 when a service burns at page speed"),
  };
  int r;

  lc_cli_common_init (&common);
  {
    void *table[] = { args.service, args.admin_port,   args.history,
                      args.html,    args.fail_on_page, LC_CLI_COMMON_ARGS (common) };

    r = lc_cli_parse (&common, table, G_N_ELEMENTS (table), argc, argv, "burn",
                      "Reports how fast services spend their error budgets.");
    if (r == LC_CLI_CONTINUE)
      r = lc_cli_burn__run (&common, &args);
    return lc_cli_finish (table, G_N_ELEMENTS (table), r);
  }
}
