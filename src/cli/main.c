/* lychee: the operators' command line. */
#include "lc-cli.h"

#include "io/lc-app.h"

#include <string.h>

typedef struct
{
  const char *name;
  int (*run) (int argc, char **argv);
  const char *help;
} LcCliCommand;

/* Each subcommand has a file of its own and one line here. */
static const LcCliCommand LC_CLI_COMMANDS[] = {
  { "plan", lc_cli_plan, "show what an intent would change" },
  { "confirm", lc_cli_confirm, "carry out a plan" },
  { "evacuate", lc_cli_evacuate, "give a data centre no new work, or take that back" },
  { "status", lc_cli_status, "members, data centres, services, work under way" },
  { "history", lc_cli_history, "who changed what, and when" },
  { "burn", lc_cli_burn, "how fast services spend their error budgets" },
  { "explain", lc_cli_explain, "what happened to a flow, from log files" },
  { NULL, NULL, NULL },
};

static int
lc_cli__usage (FILE *out)
{
  (void)fputs ("Usage: lychee COMMAND [options]; lychee COMMAND --help\n", out);
  for (const LcCliCommand *c = LC_CLI_COMMANDS; c->name != NULL; c++)
    (void)fprintf (out, "  %-10s %s\n", c->name, c->help);
  (void)fputs ("Exit codes: 0 done, 1 failed, 2 usage, 3 conflict\n", out);
  return out == stdout ? LC_CLI_DONE : LC_CLI_USAGE;
}

int
main (int argc, char **argv)
{
  if (argc < 2)
    return lc_cli__usage (stderr);
  if (strcmp (argv[1], "--help") == 0)
    return lc_cli__usage (stdout);
  if (strcmp (argv[1], "--version") == 0)
    {
      (void)printf ("lychee %s\n", LC_VERSION_TEXT);
      return LC_CLI_DONE;
    }
  for (const LcCliCommand *c = LC_CLI_COMMANDS; c->name != NULL; c++)
    if (strcmp (argv[1], c->name) == 0)
      return c->run (argc - 1, argv + 1);
  (void)fprintf (stderr, "error (invalid): no command \"%s\"\nremedy: see lychee --help\n",
                 argv[1]);
  return LC_CLI_USAGE;
}
