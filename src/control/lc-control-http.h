/* lc-control-http: the operators' and the platform's HTTP interface of a control VM.
 *
 * WHAT IT IS
 *     POST /v1/plan       an intent; answers with the plan
 *     POST /v1/confirm    a plan's number; answers with the revision
 *     POST /v1/evacuate   begins or ends an evacuation; answers with the revision
 *     GET  /v1/status     members, data centres, services, work under way
 *     GET  /v1/history    who changed what when; ?after=REVISION&max=N
 *     GET  /v1/plans/ID   one plan with its progress
 *   and the platform's calls (platform/).  Any control VM takes them: a follower forwards commands
 *   to the leader and answers when the command is applied to its own state.  A resent request gets
 *   the first answer, on any control VM.
 *
 * HOW TO USE IT
 *     lc_control_http_init (&http, &desc, &error);
 *     lc_control_http_answer_applied (&http);   after each applied batch
 *     lc_control_http_drain (&http);            planned stop: accept no more
 *     lc_control_http_is_idle (&http)           no request waits
 *     lc_control_http_finish (&http);
 *
 * THREADS
 *   Everything on app->loop's thread.
 */
#ifndef LC_CONTROL_HTTP_H
#define LC_CONTROL_HTTP_H

#include "io/lc-http.h"
#include "lc-distributor.h"
#include "lc-replica.h"

typedef struct
{
  LcApp *app;
  const LcControlSettings *settings;
  LcReplica *replica;
  LcDistributor *const *distributor; /* created later; points to NULL until then */
} LcControlHttpDesc;

typedef struct
{
  LcControlHttpDesc desc;
  LcHttp http;
  GPtrArray *waiting; /* LcControlWait, private */
  LcLogLimit shown_limit;
  LcTimer timer;
  LcMetric *requests_total;
  LcMetric *refused_total;
  LcMetric *timeouts_total;
} LcControlHttp;

int lc_control_http_init (LcControlHttp *http, const LcControlHttpDesc *desc, LcError *error);
void lc_control_http_finish (LcControlHttp *http);
void lc_control_http_answer_applied (LcControlHttp *http);
void lc_control_http_drain (LcControlHttp *http);
bool lc_control_http_is_idle (const LcControlHttp *http);

#endif /* LC_CONTROL_HTTP_H */
