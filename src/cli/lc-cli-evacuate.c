#include "lc-cli.h"

#include <glib.h>

typedef struct
{
  struct arg_str *data_centre;
  struct arg_lit *end;
  struct arg_lit *allow_empty;
} LcCliEvacuateArgs;

static void
lc_cli_evacuate__print (const LcCliCommon *common, const LcCliEvacuateArgs *args, json_t *answer)
{
  size_t i;
  json_t *one;

  if (common->is_json)
    {
      lc_cli_print_json (answer);
      return;
    }
  (void)printf ("%s %s, at revision %" JSON_INTEGER_FORMAT "\n", args->data_centre->sval[0],
                args->end->count > 0 ? "is not evacuated: its endpoints take new work again"
                                     : "is evacuated: its endpoints take no new work",
                json_integer_value (json_object_get (answer, "revision")));
  json_array_foreach (json_object_get (answer, "services"), i, one)
  {
    (void)printf ("  %-20s %" JSON_INTEGER_FORMAT " of %" JSON_INTEGER_FORMAT
                  " endpoints take new work\n",
                  json_string_value (json_object_get (one, "name")),
                  json_integer_value (json_object_get (one, "taking")),
                  json_integer_value (json_object_get (one, "of")));
  }
}

static int
lc_cli_evacuate__run (LcCliCommon *common, const LcCliEvacuateArgs *args)
{
  json_t *request = lc_cli_request_new (common);
  json_t *answer = NULL;
  LcError error = { 0 };
  int r;

  (void)json_object_set_new (request, "data_centre", json_string (args->data_centre->sval[0]));
  (void)json_object_set_new (request, "is_wanted", json_boolean (args->end->count == 0));
  (void)json_object_set_new (request, "allow_empty", json_boolean (args->allow_empty->count > 0));
  r = lc_cli_client_call (&common->client, "POST", "/v1/evacuate", request, &answer, &error);
  json_decref (request);
  if (r == 0)
    lc_cli_evacuate__print (common, args, answer);
  json_decref (answer);
  return r < 0 ? lc_cli_fail (common, &error) : LC_CLI_DONE;
}

int
lc_cli_evacuate (int argc, char **argv)
{
  LcCliCommon common;
  LcCliEvacuateArgs args = {
    .data_centre = arg_str1 (NULL, NULL, "DATA-CENTRE", "whose endpoints get no new work"),
    .end = arg_lit0 (NULL, "end", "they get new work again"),
    .allow_empty = arg_lit0 (NULL, "allow-empty", "also where a service is left with no endpoint"),
  };
  int r;

  lc_cli_common_init (&common);
  {
    void *table[] = { args.data_centre, args.end, args.allow_empty, LC_CLI_COMMON_ARGS (common) };

    r = lc_cli_parse (&common, table, G_N_ELEMENTS (table), argc, argv, "evacuate",
                      "Empties a data centre of new work at once, and takes that back; open flows "
                      "stay.");
    if (r == LC_CLI_CONTINUE)
      r = lc_cli_evacuate__run (&common, &args);
    return lc_cli_finish (table, G_N_ELEMENTS (table), r);
  }
}
