#include "lc-app.h"

#include "lc-clock.h"

#include <argtable2.h>
#include <signal.h>
#include <string.h>
#include <unistd.h>
#include <xxhash.h>

enum
{
  LC_APP_LOOP_WAIT_MS = 50, /* bounds the delay until a signal or idleness is noticed */
  LC_APP_MAX_ERRORS = 20,
  /* between checks of the settings file: changes apply within seconds */
  LC_APP_SETTINGS_CHECK_MS = 2000,
};

/* Counts of signals; a signal handler can only reach globals. */
static volatile sig_atomic_t lc_app__stop_signals;
static volatile sig_atomic_t lc_app__reload_signals;

static void
lc_app__on_signal (int number)
{
  if (number == SIGHUP)
    lc_app__reload_signals++;
  else
    lc_app__stop_signals++;
}

static void
lc_app__catch_signals (void)
{
  struct sigaction action = { .sa_handler = lc_app__on_signal };

  (void)sigaction (SIGTERM, &action, NULL);
  (void)sigaction (SIGINT, &action, NULL);
  (void)sigaction (SIGHUP, &action, NULL);
  (void)signal (SIGPIPE, SIG_IGN);
}

/* === private: the command line ============================================================== */

typedef struct
{
  struct arg_file *settings;
  struct arg_lit *check;
  struct arg_lit *print_settings;
  struct arg_str *log_level;
  struct arg_lit *help;
  struct arg_lit *version;
  struct arg_end *end;
} LcAppArgs;

static void
lc_app__print_help (const LcApp *app, void **table)
{
  (void)printf ("Usage: %s", app->desc.program);
  arg_print_syntax (stdout, table, "\n");
  arg_print_glossary (stdout, table, "  %-24s %s\n");
}

static int
lc_app__read_settings (const LcApp *app, void *settings, LcError *error)
{
  const char *wrong = NULL;
  int r = lc_settings_load (app->desc.schema, settings, app->settings_path, error);

  if (r == 0 && app->desc.check != NULL)
    wrong = app->desc.check (settings);
  if (wrong != NULL)
    r = lc_error_set (error, LC_ERR_INVALID, "change the named fields so that they agree", "%s: %s",
                      app->settings_path, wrong);
  return r;
}

/* 0 if the file can't be read; a hash is never 0. */
static uint64_t
lc_app__hash_file (const LcApp *app)
{
  gchar *text = NULL;
  gsize len = 0;
  uint64_t hash;

  if (!g_file_get_contents (app->settings_path, &text, &len, NULL))
    return 0;
  hash = XXH3_64bits (text, len) | 1;
  g_free (text);
  return hash;
}

static int
lc_app__load_settings (LcApp *app)
{
  LcError error = { 0 };

  app->settings_hash = lc_app__hash_file (app);
  if (lc_app__read_settings (app, app->desc.settings, &error) == 0)
    return LC_APP_RUN;
  lc_error_print (stderr, &error);
  return LC_ERR_INVALID;
}

static int
lc_app__run_options (LcApp *app, const LcAppArgs *args, void **table, int n_errors)
{
  int level = LC_LOG_INFO;

  if (args->help->count > 0)
    {
      lc_app__print_help (app, table);
      return LC_APP_DONE;
    }
  if (args->version->count > 0)
    {
      (void)printf ("%s %s\n", app->desc.program, LC_VERSION_TEXT);
      return LC_APP_DONE;
    }
  if (args->print_settings->count > 0)
    {
      lc_settings_print (app->desc.schema, stdout);
      return LC_APP_DONE;
    }
  if (n_errors > 0 || args->settings->count == 0)
    {
      arg_print_errors (stderr, args->end, app->desc.program);
      (void)fprintf (stderr, "remedy: give --settings FILE; see %s --help\n", app->desc.program);
      return LC_ERR_INVALID;
    }
  if (args->log_level->count > 0)
    level = lc_log_level_parse (args->log_level->sval[0]);
  if (level < 0)
    {
      (void)fprintf (stderr,
                     "error (invalid): --log-level %s\nremedy: use debug, info, warn or "
                     "error\n",
                     args->log_level->sval[0]);
      return LC_ERR_INVALID;
    }
  app->log_level = (LcLogLevel)level;
  (void)g_strlcpy (app->settings_path, args->settings->filename[0], sizeof app->settings_path);
  if (lc_app__load_settings (app) < 0)
    return LC_ERR_INVALID;
  return args->check->count > 0 ? LC_APP_DONE : LC_APP_RUN;
}

static int
lc_app__parse (LcApp *app, int argc, char **argv)
{
  LcAppArgs args = {
    .settings = arg_file0 (NULL, "settings", "FILE", "JSON settings of this process"),
    .check = arg_lit0 (NULL, "check", "check the settings and exit"),
    .print_settings = arg_lit0 (NULL, "print-settings", "print every setting as Markdown"),
    .log_level = arg_str0 (NULL, "log-level", "LEVEL", "debug, info, warn or error (info)"),
    .help = arg_lit0 (NULL, "help", "print this text"),
    .version = arg_lit0 (NULL, "version", "print the version"),
    .end = arg_end (LC_APP_MAX_ERRORS),
  };
  void *table[] = { args.settings, args.check, args.print_settings, args.log_level, args.help,
                    args.version,  args.end };
  int n_errors = arg_parse (argc, argv, table);
  int r = lc_app__run_options (app, &args, table, n_errors);

  arg_freetable (table, G_N_ELEMENTS (table));
  return r;
}

/* === public ================================================================================= */

int
lc_app_init (LcApp *app, const LcAppDesc *desc, int argc, char **argv)
{
  int r;

  memset (app, 0, sizeof *app);
  app->desc = *desc;
  r = lc_app__parse (app, argc, argv);
  if (r != LC_APP_RUN)
    return r;
  lc_app__catch_signals ();
  lc_metrics_init (&app->metrics);
  app->loop = h2o_evloop_create ();
  lc_burn_recorder_init (&app->burn, app->loop);
  return LC_APP_RUN;
}

int
lc_app_exit_code (int r)
{
  if (r >= 0)
    return 0;
  return r == LC_ERR_INVALID ? 2 : 1;
}

static void
lc_app__begin_drain (LcApp *app, void *user, uint32_t limit_ms, void (*on_drain) (void *user))
{
  app->is_draining = true;
  app->drain_deadline_us = lc_clock_now_us () + (int64_t)limit_ms * 1000;
  LC_INFO ("app.draining", "limit_ms", LC_U64 (limit_ms));
  on_drain (user);
}

/* === private: reload ======================================================================== */

static void
lc_app__reload (LcApp *app, void *user)
{
  void *settings = g_malloc0 (app->desc.schema->size);
  LcError error = { 0 };

  if (lc_app__read_settings (app, settings, &error) < 0)
    LC_WARN ("app.reload-refused", "message", LC_STR (error.message), "remedy",
             LC_STR (error.remedy), "meaning", LC_STR ("the previous settings stay in force"));
  else
    {
      LC_INFO ("app.reloaded", "is_used", LC_U64 (app->desc.reload != NULL));
      if (app->desc.reload != NULL)
        app->desc.reload (user, settings);
    }
  g_free (settings);
}

/* Reloads on SIGHUP, or when the periodic check finds the file changed. */
static void
lc_app__reload_if_needed (LcApp *app, void *user)
{
  int64_t now_us = lc_clock_now_us ();
  bool is_requested = lc_app__reload_signals > 0;
  uint64_t hash;

  if (!is_requested && now_us < app->next_check_us)
    return;
  lc_app__reload_signals = 0;
  app->next_check_us = now_us + LC_APP_SETTINGS_CHECK_MS * LC_US_PER_MS;
  hash = lc_app__hash_file (app);
  if (!is_requested && (hash == 0 || hash == app->settings_hash))
    return;
  app->settings_hash = hash;
  lc_app__reload (app, user);
}

int
lc_app_run (LcApp *app,
            void *user,
            uint32_t drain_limit_ms,
            void (*on_drain) (void *user),
            bool (*is_idle) (void *user))
{
  for (;;)
    {
      (void)h2o_evloop_run (app->loop, LC_APP_LOOP_WAIT_MS);
      lc_app__reload_if_needed (app, user);
      if (lc_app__stop_signals == 0)
        continue;
      if (!app->is_draining)
        lc_app__begin_drain (app, user, drain_limit_ms, on_drain);
      if (is_idle (user))
        {
          LC_INFO ("app.stopped");
          return 0;
        }
      if (lc_app__stop_signals > 1 || lc_clock_now_us () > app->drain_deadline_us)
        {
          LC_WARN ("app.drain-cut", "remedy", LC_STR ("raise drain_limit_ms or wait longer"));
          return -1;
        }
    }
}

void
lc_app_finish (LcApp *app)
{
  lc_burn_recorder_finish (&app->burn);
  lc_metrics_finish (&app->metrics);
}
