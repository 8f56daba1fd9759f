/* lc-control-http-private: what the files of lc-control-http share; not for others.
 *
 * lc-control-http.c takes commands and answers them, lc-control-http-status.c shows what is.
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
/* GET /v1/status */
void lc_control_http__status (LcControlHttp *http, h2o_req_t *req);

#endif /* LC_CONTROL_HTTP_PRIVATE_H */
