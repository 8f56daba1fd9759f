#include "lc-cli-attention.h"
#include "lc-cli.h"

#include <glib.h>
#include <string.h>
#include <time.h>

enum
{
  LC_CLI_LEADER_TIMEOUT_MS = 1000,
};

/* === private: JSON fields =================================================================== */

static json_int_t
lc_cli__int (const json_t *object, const char *key)
{
  return json_integer_value (json_object_get (object, key));
}

static const char *
lc_cli__text (const json_t *object, const char *key)
{
  const char *text = json_string_value (json_object_get (object, key));

  return text != NULL ? text : "";
}

/* === private: status ======================================================================== */

static void
lc_cli_status__print_head (const json_t *s)
{
  (void)printf ("%s: revision %" JSON_INTEGER_FORMAT ", configuration %" JSON_INTEGER_FORMAT
                ", term %" JSON_INTEGER_FORMAT ", leader %s\n",
                lc_cli__text (s, "name"), lc_cli__int (s, "revision"),
                lc_cli__int (s, "config_revision"), lc_cli__int (s, "term"),
                lc_cli__text (s, "leader")[0] != '\0' ? lc_cli__text (s, "leader") : "unknown");
  if (!json_is_true (json_object_get (s, "is_newest")) &&
      !json_is_true (json_object_get (s, "is_leader")))
    (void)printf ("  what a follower knows; it last heard the leader %" JSON_INTEGER_FORMAT
                  " ms ago\n",
                  lc_cli__int (s, "silent_ms"));
  if (json_is_true (json_object_get (s, "disk_full")))
    (void)printf ("  its disk is full: free space in the data folder\n");
}

static void
lc_cli_status__print_members (const json_t *s)
{
  size_t i;
  json_t *m;

  (void)printf ("control VMs:\n");
  json_array_foreach (json_object_get (s, "members"), i, m)
  {
    (void)printf ("  %-20s %-22s %-8s", lc_cli__text (m, "name"), lc_cli__text (m, "address"),
                  lc_cli__text (m, "role"));
    if (json_object_get (m, "behind") != NULL)
      (void)printf (" behind %" JSON_INTEGER_FORMAT ", silent %" JSON_INTEGER_FORMAT " ms",
                    lc_cli__int (m, "behind"), lc_cli__int (m, "silent_ms"));
    (void)putchar ('\n');
  }
}

static void
lc_cli_status__print_dcs (const json_t *s)
{
  size_t i;
  json_t *dc;

  (void)printf ("data centres:\n");
  json_array_foreach (json_object_get (s, "data_centres"), i, dc)
  {
    (void)printf ("  %-20s %-8s in force %" JSON_INTEGER_FORMAT ", %" JSON_INTEGER_FORMAT
                  " balancers, %" JSON_INTEGER_FORMAT " agents, %" JSON_INTEGER_FORMAT
                  " behind, silent %" JSON_INTEGER_FORMAT " ms\n",
                  lc_cli__text (dc, "name"), lc_cli__text (dc, "state"),
                  lc_cli__int (dc, "in_force"), lc_cli__int (dc, "balancers"),
                  lc_cli__int (dc, "agents"), lc_cli__int (dc, "behind"),
                  lc_cli__int (dc, "silent_ms"));
    if (json_object_get (dc, "evacuated_for_ms") != NULL)
      (void)printf ("    evacuated for %" JSON_INTEGER_FORMAT " s: no new work there\n",
                    lc_cli__int (dc, "evacuated_for_ms") / 1000);
  }
}

static void
lc_cli_status__print_guard (const json_t *s)
{
  const json_t *guard = json_object_get (s, "guard");

  if (json_is_true (json_object_get (guard, "is_holding")))
    (void)printf ("guard: too much vanished at once (%s); losses are held back for "
                  "%" JSON_INTEGER_FORMAT " ms now\n",
                  lc_cli__text (guard, "what"), lc_cli__int (guard, "holding_for_ms"));
}

static void
lc_cli_status__print_services (const json_t *s)
{
  size_t i;
  json_t *one;

  (void)printf ("services:\n");
  json_array_foreach (json_object_get (s, "services"), i, one)
  {
    (void)printf ("  %-20s %" JSON_INTEGER_FORMAT " active, %" JSON_INTEGER_FORMAT
                  " joining, %" JSON_INTEGER_FORMAT " draining, %" JSON_INTEGER_FORMAT " lost\n",
                  lc_cli__text (one, "name"), lc_cli__int (one, "active"),
                  lc_cli__int (one, "joining"), lc_cli__int (one, "draining"),
                  lc_cli__int (one, "lost"));
  }
  json_array_foreach (json_object_get (s, "endpoints"), i, one)
  {
    if (strcmp (lc_cli__text (one, "state"), "active") != 0)
      (void)printf (
          "  %-20s %s %s in %s%s\n", lc_cli__text (one, "name"), lc_cli__text (one, "service"),
          lc_cli__text (one, "state"), lc_cli__text (one, "data_centre"),
          json_is_true (json_object_get (one, "drained_by_operator")) ? ", drained by an operator"
                                                                      : "");
  }
}

static void
lc_cli_status__print_work (const json_t *s)
{
  size_t i;
  json_t *one;

  if (json_array_size (json_object_get (s, "work")) == 0)
    return;
  (void)printf ("under way:\n");
  json_array_foreach (json_object_get (s, "work"), i, one)
  {
    (void)printf ("  plan %" JSON_INTEGER_FORMAT " %s %s: %" JSON_INTEGER_FORMAT
                  " of %" JSON_INTEGER_FORMAT " left\n",
                  lc_cli__int (one, "plan_id"), lc_cli__text (one, "intent"),
                  lc_cli__text (one, "target"), lc_cli__int (one, "remaining"),
                  lc_cli__int (one, "of"));
  }
}

static void
lc_cli_status__print_attention (const json_t *s)
{
  GPtrArray *lines = lc_cli_attention_list (s);

  (void)printf ("needs a person:%s\n", lines->len == 0 ? " nothing" : "");
  for (guint i = 0; i < lines->len; i++)
    (void)printf ("  %s\n", (const char *)g_ptr_array_index (lines, i));
  g_ptr_array_free (lines, TRUE);
}

/* A follower lacks who is silent and what is in force: takes the leader's status instead, if its
 * address is among the given ones and it answers. */
static void
lc_cli_status__prefer_leader (const LcCliCommon *common, json_t **answer)
{
  const char *leader = lc_cli__text (*answer, "leader");
  LcCliClient client = { .n_addresses = 1, .timeout_ms = LC_CLI_LEADER_TIMEOUT_MS };
  LcSocketAddress peer = { 0 };
  json_t *better = NULL;
  LcError error = { 0 };
  size_t i;
  json_t *m;

  if (json_is_true (json_object_get (*answer, "is_leader")) || leader[0] == '\0')
    return;
  json_array_foreach (json_object_get (*answer, "members"), i, m)
  {
    if (strcmp (lc_cli__text (m, "name"), leader) == 0)
      (void)lc_settings_parse_address (lc_cli__text (m, "address"), &peer);
  }
  for (uint32_t k = 0; k < common->client.n_addresses; k++)
    if (common->client.addresses[k].ipv4 == peer.ipv4)
      client.addresses[0] = common->client.addresses[k];
  if (client.addresses[0].port == 0 ||
      lc_cli_client_call (&client, "GET", "/v1/status", NULL, &better, &error) < 0)
    return;
  json_decref (*answer);
  *answer = better;
}

static int
lc_cli_status__run (LcCliCommon *common)
{
  json_t *answer = NULL;
  LcError error = { 0 };

  if (lc_cli_client_call (&common->client, "GET", "/v1/status", NULL, &answer, &error) < 0)
    return lc_cli_fail (common, &error);
  lc_cli_status__prefer_leader (common, &answer);
  if (common->is_json)
    lc_cli_print_json (answer);
  else
    {
      lc_cli_status__print_head (answer);
      lc_cli_status__print_members (answer);
      lc_cli_status__print_dcs (answer);
      lc_cli_status__print_guard (answer);
      lc_cli_status__print_services (answer);
      lc_cli_status__print_work (answer);
      lc_cli_status__print_attention (answer);
    }
  json_decref (answer);
  return LC_CLI_DONE;
}

int
lc_cli_status (int argc, char **argv)
{
  LcCliCommon common;
  int r;

  lc_cli_common_init (&common);
  {
    void *table[] = { LC_CLI_COMMON_ARGS (common) };

    r = lc_cli_parse (&common, table, G_N_ELEMENTS (table), argc, argv, "status",
                      "Shows members, data centres, services and work under way.");
    if (r == LC_CLI_CONTINUE)
      r = lc_cli_status__run (&common);
    return lc_cli_finish (table, G_N_ELEMENTS (table), r);
  }
}

/* === history ================================================================================ */

static void
lc_cli_history__print (const json_t *answer)
{
  size_t i;
  json_t *one;

  json_array_foreach (json_object_get (answer, "history"), i, one)
  {
    time_t second = (time_t)(lc_cli__int (one, "time_us") / LC_US_PER_S);
    struct tm utc;
    char when[32];

    (void)gmtime_r (&second, &utc);
    (void)strftime (when, sizeof when, "%Y-%m-%dT%H:%M:%SZ", &utc);
    (void)printf ("%8" JSON_INTEGER_FORMAT " %s %-12s %-8s plan %" JSON_INTEGER_FORMAT ": %s\n",
                  lc_cli__int (one, "revision"), when, lc_cli__text (one, "who"),
                  lc_cli__text (one, "action"), lc_cli__int (one, "plan_id"),
                  lc_cli__text (one, "summary"));
  }
}

static int
lc_cli_history__run (LcCliCommon *common, int max)
{
  json_t *answer = NULL;
  LcError error = { 0 };
  char path[64];

  (void)g_snprintf (path, sizeof path, "/v1/history?max=%d", CLAMP (max, 1, 1000));
  if (lc_cli_client_call (&common->client, "GET", path, NULL, &answer, &error) < 0)
    return lc_cli_fail (common, &error);
  if (common->is_json)
    lc_cli_print_json (answer);
  else
    lc_cli_history__print (answer);
  json_decref (answer);
  return LC_CLI_DONE;
}

int
lc_cli_history (int argc, char **argv)
{
  struct arg_int *max = arg_int0 (NULL, "max", "N", "newest entries shown (100)");
  LcCliCommon common;
  int r;

  lc_cli_common_init (&common);
  {
    void *table[] = { max, LC_CLI_COMMON_ARGS (common) };

    r = lc_cli_parse (&common, table, G_N_ELEMENTS (table), argc, argv, "history",
                      "Shows who planned and confirmed what, and when.");
    if (r == LC_CLI_CONTINUE)
      r = lc_cli_history__run (&common, max->count > 0 ? max->ival[0] : 100);
    return lc_cli_finish (table, G_N_ELEMENTS (table), r);
  }
}
