/* lc-http: an HTTP/1.1 and HTTP/2 server on one port, built on h2o.
 *
 * WHAT IT IS
 *   Sets up h2o's configuration, context and listener on a loop and passes requests to one handler.
 *   Every process has an admin port of this kind; GET /metrics (Prometheus text), GET /v1/burn
 *   (JSON), GET /healthz and GET /readyz are answered here.
 *
 * HOW TO USE IT
 *     LcHttpDesc desc = { .loop = loop, .ipv4 = ip, .port = 9100, .metrics = &metrics,
 *                         .user = me, .request = on_request };
 *     lc_http_init (&http, &desc, &error);
 *   `request` returns 0 when it has answered or will, and -1 to have lc-http answer 404 with a JSON
 *   error.
 *
 * SHUTDOWN
 *   lc_http_stop_accepting closes the listener and starts h2o's graceful shutdown of connections;
 *   call lc_http_finish once lc_http_n_connections is 0.
 */
#ifndef LC_HTTP_H
#define LC_HTTP_H

#include "core/lc-error.h"
#include "lc-burn-recorder.h"
#include "lc-metrics.h"

#include <h2o.h>
#include <h2o/http1.h>
#include <h2o/http2.h>
#include <stdbool.h>

typedef struct LcHttp LcHttp;

typedef struct
{
  h2o_loop_t *loop;
  uint32_t ipv4;
  uint16_t port;
  uint32_t max_body_bytes;       /* 0: 1 MiB; a larger request body is answered 413 by h2o */
  uint32_t idle_timeout_ms;      /* 0: 10 000 */
  LcMetrics *metrics;            /* NULL: none of the admin paths */
  LcBurnRecorder *burn;          /* NULL: no /v1/burn */
  bool (*is_ready) (void *user); /* for /readyz; NULL: always */
  void *user;
  int (*request) (void *user, h2o_req_t *req); /* may be NULL */
} LcHttpDesc;

struct LcHttp
{
  LcHttpDesc desc;
  h2o_globalconf_t config;
  h2o_context_t context;
  h2o_accept_ctx_t accept_context;
  h2o_socket_t *listener;
  h2o_handler_t *handler;
  bool is_stopping;
};

int lc_http_init (LcHttp *http, const LcHttpDesc *desc, LcError *error);
void lc_http_stop_accepting (LcHttp *http);
uint32_t lc_http_n_connections (const LcHttp *http);
void lc_http_finish (LcHttp *http);

/* Answers with a body, which is copied; content_type NULL: JSON. */
void
lc_http_answer (h2o_req_t *req, int status, const char *content_type, const char *body, size_t len);
/* Answers {"error":{"code":...,"message":...,"remedy":...}} with the status of the code
 * (invalid 400, not-found 404, conflict and exists 409, full and refused 429, not-leader 421,
 * unavailable 503, timeout 504, else 500). */
void lc_http_answer_error (h2o_req_t *req, const LcError *error);

#endif /* LC_HTTP_H */
