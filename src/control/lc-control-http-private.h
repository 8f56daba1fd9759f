/* lc-control-http-private: functions shared by the source files of lc-control-http.
 *
 *   lc-control-http.c          commands, history, plans, routing
 *   lc-control-http-declare.c  numbered declarations
 *   lc-control-http-status.c   status
 */
#ifndef LC_CONTROL_HTTP_PRIVATE_H
#define LC_CONTROL_HTTP_PRIVATE_H

#include "lc-control-http.h"

#include <jansson.h>

enum
{
  LC_CONTROL_HTTP_ENDPOINTS_MAX = 2000, /* in one status */
  LC_CONTROL_HTTP_DCS_MAX = 64,
};

/* Takes ownership of `body`. */
void lc_control_http__send (h2o_req_t *req, int status, json_t *body);
void lc_control_http__send_error (LcControlHttp *http, h2o_req_t *req, const LcError *error);
/* Redirects to the same path on another control VM; all use the same HTTP port. */
void lc_control_http__redirect (LcControlHttp *http, h2o_req_t *req, uint32_t ipv4);
/* Fails with `code` when too many requests wait for their commands. */
int lc_control_http__check_queue (const LcControlHttp *http, LcErrorCode code, LcError *error);
/* Proposes the command and answers when it is applied; takes ownership of its contents. */
void lc_control_http__submit (LcControlHttp *http, h2o_req_t *req, LcControlCommand *command);
/* Takes a numbered declaration; returns the newest one. */
void lc_control_http__serve_declare (LcControlHttp *http, h2o_req_t *req);
void lc_control_http__serve_declaration (LcControlHttp *http, h2o_req_t *req);
/* GET /v1/status */
void lc_control_http__serve_status (LcControlHttp *http, h2o_req_t *req);

#endif /* LC_CONTROL_HTTP_PRIVATE_H */
