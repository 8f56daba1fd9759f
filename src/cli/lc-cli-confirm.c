#include "lc-cli.h"

#include "io/lc-clock.h"

#include <glib.h>

enum
{
  LC_CLI_WAIT_DEFAULT_S = 60,
  LC_CLI_POLL_INTERVAL_MS = 100,
};

typedef struct
{
  struct arg_str *plan_id;
  struct arg_lit *wait;
  struct arg_int *wait_s;
} LcCliConfirmArgs;

/* === private: waiting until it is in force ================================================== */

/* Counts the data centres with processes where `revision` is not yet in force. */
static size_t
lc_cli_confirm__count_behind (const json_t *status, json_int_t revision)
{
  const json_t *dcs = json_object_get (status, "data_centres");
  size_t n = 0;
  size_t i;
  json_t *dc;

  json_array_foreach (dcs, i, dc)
  {
    json_int_t n_processes = json_integer_value (json_object_get (dc, "balancers")) +
                             json_integer_value (json_object_get (dc, "agents"));

    if (n_processes > 0 && json_integer_value (json_object_get (dc, "in_force")) < revision)
      n++;
  }
  return n;
}

static int
lc_cli_confirm__wait_in_force (LcCliCommon *common,
                               json_int_t revision,
                               int64_t limit_s,
                               LcError *error)
{
  int64_t deadline_us = lc_clock_now_us () + limit_s * LC_US_PER_S;

  for (;;)
    {
      json_t *status = NULL;
      int r = lc_cli_client_call (&common->client, "GET", "/v1/status", NULL, &status, error);
      size_t n_behind = r == 0 ? lc_cli_confirm__count_behind (status, revision) : 1;
      bool is_applied =
          r == 0 && json_integer_value (json_object_get (status, "commit_index")) >= revision;

      json_decref (status);
      if (is_applied && n_behind == 0)
        return 0;
      if (lc_clock_now_us () >= deadline_us)
        return lc_error_set (error, LC_ERR_TIMEOUT,
                             "it is committed and goes on by itself; `lychee status` shows which "
                             "data centres are behind",
                             "revision %" JSON_INTEGER_FORMAT
                             " is not yet in force in %zu data centres",
                             revision, n_behind);
      g_usleep (LC_CLI_POLL_INTERVAL_MS * LC_US_PER_MS);
    }
}

/* === private: the request =================================================================== */

static void
lc_cli_confirm__print (const LcCliCommon *common, json_t *answer, bool has_waited)
{
  if (common->is_json)
    {
      (void)json_object_set_new (answer, "in_force", json_boolean (has_waited));
      lc_cli_print_json (answer);
      return;
    }
  (void)printf ("plan %" JSON_INTEGER_FORMAT " is committed at revision %" JSON_INTEGER_FORMAT
                "%s\n",
                json_integer_value (json_object_get (answer, "plan_id")),
                json_integer_value (json_object_get (answer, "revision")),
                has_waited ? " and in force in every data centre" : "");
}

static int
lc_cli_confirm__run (LcCliCommon *common, const LcCliConfirmArgs *args)
{
  json_t *request = lc_cli_request_new (common);
  json_t *answer = NULL;
  LcError error = { 0 };
  guint64 id = 0;
  int64_t wait_s = args->wait_s->count > 0 ? args->wait_s->ival[0] : LC_CLI_WAIT_DEFAULT_S;
  bool has_waited = false;
  int r = 0;

  if (!g_ascii_string_to_unsigned (args->plan_id->sval[0], 10, 1, G_MAXINT64, &id, NULL))
    r = lc_error_set (&error, LC_ERR_INVALID, "give the number that `lychee plan` printed",
                      "\"%.60s\" is no plan", args->plan_id->sval[0]);
  (void)json_object_set_new (request, "plan_id", json_integer ((json_int_t)id));
  if (r == 0)
    r = lc_cli_client_call (&common->client, "POST", "/v1/confirm", request, &answer, &error);
  json_decref (request);
  if (r == 0 && args->wait->count > 0)
    {
      r = lc_cli_confirm__wait_in_force (
          common, json_integer_value (json_object_get (answer, "revision")), wait_s, &error);
      has_waited = r == 0;
    }
  if (r == 0)
    lc_cli_confirm__print (common, answer, has_waited);
  json_decref (answer);
  return r < 0 ? lc_cli_fail (common, &error) : LC_CLI_DONE;
}

/* === public ================================================================================= */

int
lc_cli_confirm (int argc, char **argv)
{
  LcCliCommon common;
  LcCliConfirmArgs args = {
    .plan_id = arg_str1 (NULL, NULL, "PLAN", "number of the plan"),
    .wait = arg_lit0 (NULL, "wait", "until it is in force in every data centre"),
    .wait_s = arg_int0 (NULL, "wait-s", "N", "longest wait with --wait (60)"),
  };
  int r;

  lc_cli_common_init (&common);
  {
    void *table[] = { args.plan_id, args.wait, args.wait_s, LC_CLI_COMMON_ARGS (common) };

    r = lc_cli_parse (&common, table, G_N_ELEMENTS (table), argc, argv, "confirm",
                      "Carries out a plan, if nothing else was confirmed since it was made.");
    if (r == LC_CLI_CONTINUE)
      r = lc_cli_confirm__run (&common, &args);
    return lc_cli_finish (table, G_N_ELEMENTS (table), r);
  }
}
