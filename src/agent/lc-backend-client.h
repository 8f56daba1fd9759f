/* lc-backend-client: HTTP/1.1 client for the backend server; one connection a request.
 *
 * WHAT IT IS
 *   Sends a request and reads the complete answer.  An answer whose end can't be verified (neither
 *   Content-Length nor chunked), or that ends early, is a failure, never a short success.
 *   Cancelling closes the connection, which the backend server can detect.
 *
 * HOW TO USE IT
 *     lc_backend_client_init (&client, &desc);
 *     call = lc_backend_call_new (&client, request, is_head, on_end, me);
 *     lc_backend_call_cancel (call);          on_end is not called
 *     lc_backend_client_finish (&client);
 *   `on_end` is called once; the call is freed after it.
 *
 * THREADS
 *   Call it on the loop's thread only.
 *
 * LIMITS
 *   Connections are not reused: if the backend server closes an idle one just then, it is uncertain
 *   whether the request has run.
 */
#ifndef LC_BACKEND_CLIENT_H
#define LC_BACKEND_CLIENT_H

#include "core/request/lc-admission.h"
#include "core/request/lc-answer.h"
#include "io/lc-settings.h"

#include <h2o.h>

typedef struct
{
  h2o_loop_t *loop;
  LcSocketAddress address;
  uint32_t timeout_ms; /* for the connect and between bytes; 0: 65 000 */
} LcBackendClientDesc;

typedef struct
{
  LcBackendClientDesc desc;
  h2o_http1client_ctx_t context;
  h2o_timeout_t timeout;
  char host[16];
} LcBackendClient;

typedef struct LcBackendCall LcBackendCall;

/* `answer` is set with LC_RUN_OK only; the callback owns it. */
typedef void (*LcBackendCallback) (void *user, LcRunResult how, LcAnswer *answer);

void lc_backend_client_init (LcBackendClient *client, const LcBackendClientDesc *desc);
void lc_backend_client_finish (LcBackendClient *client);

/* Takes ownership of `request` (head and body).  Returns NULL, after calling `on_end`, if it fails
 * at once. */
LcBackendCall *lc_backend_call_new (
    LcBackendClient *client, GBytes *request, bool is_head, LcBackendCallback on_end, void *user);
void lc_backend_call_cancel (LcBackendCall *call);

#endif /* LC_BACKEND_CLIENT_H */
