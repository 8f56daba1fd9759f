/* lc-cli: the frame of the subcommands of `lychee`: common options, error output, exit codes.
 *
 * WHAT IT IS
 *   A subcommand is one function with its own argtable, in one file, and one line in the table of
 *   main.c.  LcCliCommon adds the common options (control addresses, JSON output, operator,
 *   request id) and sets up a client from them.
 *
 * HOW TO USE IT
 *     LcCliCommon common;
 *     lc_cli_common_init (&common);
 *     void *table[] = { mine, LC_CLI_COMMON_ARGS (common) };
 *     r = lc_cli_parse (&common, table, G_N_ELEMENTS (table), argc, argv, "plan", "what it does");
 *     if (r == LC_CLI_CONTINUE)
 *       r = run (&common);
 *     return lc_cli_finish (table, G_N_ELEMENTS (table), r);
 *
 * EXIT CODES
 *   0 done, 1 failed, 2 usage, 3 conflict (another change came first: plan again).
 */
#ifndef LC_CLI_H
#define LC_CLI_H

#include "lc-cli-client.h"

#include <argtable2.h>
#include <stdbool.h>

enum
{
  LC_CLI_CONTINUE = -1, /* no exit code yet */
  LC_CLI_DONE = 0,
  LC_CLI_FAILED = 1,
  LC_CLI_USAGE = 2,
  LC_CLI_CONFLICT = 3,
};

typedef struct
{
  struct arg_str *control;
  struct arg_file *settings;
  struct arg_lit *json;
  struct arg_int *timeout_s;
  struct arg_str *who;
  struct arg_str *request_id;
  struct arg_lit *help;
  struct arg_end *end;
  LcCliClient client;
  bool is_json;
  char who_text[LC_NAME_MAX];
  char request_id_text[LC_NAME_MAX];
} LcCliCommon;

#define LC_CLI_COMMON_ARGS(common)                                                                 \
  (common).control, (common).settings, (common).json, (common).timeout_s, (common).who,            \
      (common).request_id, (common).help, (common).end

void lc_cli_common_init (LcCliCommon *common);
int lc_cli_parse (LcCliCommon *common,
                  void **table,
                  int n_table,
                  int argc,
                  char **argv,
                  const char *name,
                  const char *summary);
/* Frees the table; returns `r`. */
int lc_cli_finish (void **table, int n_table, int r);

/* Prints an error, with --json as JSON, and returns its exit code. */
int lc_cli_fail (const LcCliCommon *common, const LcError *error);
/* Prints a JSON value on one line. */
void lc_cli_print_json (const json_t *value);
/* Creates a request body with request_id and who. */
json_t *lc_cli_request_new (const LcCliCommon *common);

/* The subcommands; argv[0] is the subcommand's name. */
int lc_cli_plan (int argc, char **argv);
int lc_cli_confirm (int argc, char **argv);
int lc_cli_evacuate (int argc, char **argv);
int lc_cli_status (int argc, char **argv);
int lc_cli_history (int argc, char **argv);
int lc_cli_burn (int argc, char **argv);
int lc_cli_explain (int argc, char **argv);

#endif /* LC_CLI_H */
