/* lc-backend-client: one HTTP/1.1 request to the backend server, with its whole answer.
 *
 * WHAT IT IS
 *   Sends a request over a connection of its own and reads the answer to its end.  An answer whose
 *   end can't be checked (neither Content-Length nor chunked), or that ends early, is a failure,
 *   never a short success.  Cancelling closes the connection, which the backend server sees.
 *
 * HOW TO USE IT
 *     LcBackendCall *call = lc_backend_call_new (&client, request, request_len, is_head, on_end,
 * me); lc_backend_call_cancel (call);          if nobody waits any more: on_end is not called
 *   `on_end` is called once; the call is freed after it.
 *
 * THREADS
 *   Everything on the loop's thread.
 *
 * LIMITS
 *   A connection for each call: an idle connection that the backend server is just closing would
 *   make it uncertain whether a request has run.
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
  uint32_t timeout_ms; /* of connecting and between bytes; 0: 65 000 */
} LcBackendClientDesc;

typedef struct
{
  LcBackendClientDesc desc;
  h2o_http1client_ctx_t context;
  h2o_timeout_t timeout;
  char host[16];
} LcBackendClient;

typedef struct LcBackendCall LcBackendCall;

/* `answer` counts with LC_RUN_OK and belongs to the callback. */
typedef void (*LcBackendEnd) (void *user, LcRunResult how, LcAnswer *answer);

void lc_backend_client_init (LcBackendClient *client, const LcBackendClientDesc *desc);
void lc_backend_client_finish (LcBackendClient *client);

/* Takes `request` (the whole of head and body).  NULL when the call has failed already; `on_end`
 * was called then. */
LcBackendCall *lc_backend_call_new (
    LcBackendClient *client, GBytes *request, bool is_head, LcBackendEnd on_end, void *user);
void lc_backend_call_cancel (LcBackendCall *call);

#endif /* LC_BACKEND_CLIENT_H */
