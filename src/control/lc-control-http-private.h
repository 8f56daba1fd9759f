/* lc-control-http-private: what the files of lc-control-http share; not for others.
 *
 * lc-control-http.c takes commands and answers them, lc-control-http-declare.c numbered
 * declarations among them, lc-control-http-status.c shows what is.
 */
#ifndef LC_CONTROL_HTTP_PRIVATE_H
#define LC_CONTROL_HTTP_PRIVATE_H

#include "lc-control-http.h"

#include <jansson.h>

enum
{
  LC_CONTROL_HTTP_ENDPOINTS_MAX = 2000, /* shown in one status */
  LC_CONTROL_HTTP_DCS_MAX = 64,
};

/* Answers with `body`, which it takes over. */
void lc_control_http__send (h2o_req_t *req, int status, json_t *body);
void lc_control_http__fail (LcControlHttp *http, h2o_req_t *req, const LcError *error);
/* To the same path at another control VM: all of them have the same HTTP port. */
void lc_control_http__redirect (LcControlHttp *http, h2o_req_t *req, uint32_t ipv4);
/* Negative, with this code, when too many requests wait for their commands already. */
int lc_control_http__check_room (const LcControlHttp *http, LcErrorCode code, LcError *error);
/* Proposes the command, which it takes over, and answers when it is applied. */
void lc_control_http__wait (LcControlHttp *http, h2o_req_t *req, LcControlCommand *command);
/* A numbered declaration, and a question for the newest one. */
void lc_control_http__declare (LcControlHttp *http, h2o_req_t *req);
void lc_control_http__show_declaration (LcControlHttp *http, h2o_req_t *req);
/* GET /v1/status */
void lc_control_http__status (LcControlHttp *http, h2o_req_t *req);

#endif /* LC_CONTROL_HTTP_PRIVATE_H */
