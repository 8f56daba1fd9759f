/* lc-app: what every daemon has around its planes.
 *
 * WHAT IT IS
 *   Command line (--settings FILE, --check, --print-settings, --log-level, --help, --version),
 *   settings, logging, event loop, metrics, admin HTTP port, peer server, and graceful shutdown on
 *   SIGTERM or SIGINT.
 *
 * HOW TO USE IT (the main of a program)
 *     LcApp app;
 *     LcAppDesc desc = { .program = "lychee-agent", .schema = &SCHEMA, .settings = &settings };
 *     int r = lc_app_init (&app, &desc, argc, argv);   parses, loads, opens nothing yet
 *     if (r != LC_APP_RUN)
 *       return lc_app_exit_code (r);
 *     ... init planes on app.loop ...
 *     lc_app_run (&app, user, on_drain, is_idle);       until a signal, then drain, then idle
 *     ... finish planes ...
 *     lc_app_finish (&app);
 *
 * RELOAD
 *   At SIGHUP, and when the file is found changed (looked at every LC_APP_LOOK_MS), the settings
 * are read and checked whole.  A file that does not pass changes nothing; one that passes is given
 * to desc.reload, which says by its log lines what it takes over.  Both are one line.
 *
 * SHUTDOWN
 *   At the first signal `on_drain (user)` is called once; the loop goes on until `is_idle (user)`
 *   or drain_limit_ms has passed (then it logs what was cut).  A second signal ends the wait.
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
  LC_APP_RUN = 1,  /* go on */
  LC_APP_DONE = 0, /* --help, --version, --check and --print-settings: exit 0 */
};

typedef struct
{
  const char *program;
  const LcSettingsSchema *schema;
  void *settings;                              /* the program's struct, filled from the file */
  const char *(*check) (const void *settings); /* cross-field check: NULL or what is wrong */
  /* New settings that passed; NULL: what has changed counts from the next start. */
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
  uint64_t settings_hash; /* of the file as it was read last */
  int64_t look_us;        /* when to look at the file again */
  bool is_draining;
  int64_t drain_deadline_us;
} LcApp;

int lc_app_init (LcApp *app, const LcAppDesc *desc, int argc, char **argv);
int lc_app_exit_code (int r);
/* Returns 0 when idle was reached, -1 when the drain limit cut something. */
int lc_app_run (LcApp *app,
                void *user,
                uint32_t drain_limit_ms,
                void (*on_drain) (void *user),
                bool (*is_idle) (void *user));
void lc_app_finish (LcApp *app);

/* The version printed by every program. */
#define LC_VERSION_TEXT "0.1.0"

#endif /* LC_APP_H */
