/* lc-app: the common runtime of the daemons: options, settings, event loop, reload and shutdown.
 *
 * WHAT IT IS
 *   Command line (--settings FILE, --check, --print-settings, --log-level, --help, --version),
 *   settings, signals, event loop, metrics and graceful shutdown on SIGTERM or SIGINT.
 *
 * HOW TO USE IT (the main of a program)
 *     LcApp app;
 *     LcAppDesc desc = { .program = "lychee-agent", .schema = &SCHEMA, .settings = &settings };
 *     int r = lc_app_init (&app, &desc, argc, argv);   parses, loads, opens nothing yet
 *     if (r != LC_APP_RUN)
 *       return lc_app_exit_code (r);
 *     ... init the modules on app.loop ...
 *     lc_app_run (&app, user, drain_limit_ms, on_drain, is_idle);
 *     ... finish the modules ...
 *     lc_app_finish (&app);
 *
 * RELOAD
 *   On SIGHUP, and when the check every LC_APP_SETTINGS_CHECK_MS finds the file changed, the
 *   settings are read and validated as a whole.  Invalid settings are logged and change nothing;
 *   valid ones are logged and passed to desc.reload, which logs what it applies.
 *
 * SHUTDOWN
 *   The first signal calls `on_drain (user)`; the loop runs on until `is_idle (user)` or until
 *   drain_limit_ms has passed, which is logged.  A second signal ends the wait.
 *
 * EXIT CODES
 *   0 done, 1 failed, 2 usage or settings.
 */
#ifndef LC_APP_H
#define LC_APP_H

#include "lc-http.h"
#include "lc-link.h"
#include "lc-log.h"
#include "lc-metrics.h"
#include "lc-settings.h"
#include "lc-timer.h"

enum
{
  LC_APP_RUN = 1,  /* start the program */
  LC_APP_DONE = 0, /* --help, --version, --check and --print-settings: exit 0 */
};

typedef struct
{
  const char *program;
  const LcSettingsSchema *schema;
  void *settings;                              /* the program's struct, filled from the file */
  const char *(*check) (const void *settings); /* across fields: NULL or the error */
  /* Applies new valid settings; NULL: changes take effect at the next start. */
  void (*reload) (void *user, const void *settings);
} LcAppDesc;

typedef struct
{
  LcAppDesc desc;
  h2o_loop_t *loop;
  LcMetrics metrics;
  LcBurnRecorder burn; /* see lc_burn_identify */
  char settings_path[256];
  LcLogLevel log_level;
  uint64_t settings_hash; /* of the file's content when it was last read */
  int64_t next_check_us;  /* of the settings file */
  bool is_draining;
  int64_t drain_deadline_us;
} LcApp;

int lc_app_init (LcApp *app, const LcAppDesc *desc, int argc, char **argv);
int lc_app_exit_code (int r);
/* Runs until a signal, then drains: 0 when idle, -1 when the drain was cut short. */
int lc_app_run (LcApp *app,
                void *user,
                uint32_t drain_limit_ms,
                void (*on_drain) (void *user),
                bool (*is_idle) (void *user));
void lc_app_finish (LcApp *app);

/* The version printed by every program. */
#define LC_VERSION_TEXT "0.1.0"

#endif /* LC_APP_H */
