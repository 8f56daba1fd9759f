/* lc-cli-client: a small blocking HTTP/1.1 client that tries several control VMs in turn.
 *
 * WHAT IT IS
 *   Sends one request to the control VMs in turn until one gives a final answer or the deadline
 *   passes.  A VM that is unreachable, answers too late or can't serve now (421, 503, 504) is
 *   skipped.  Each attempt sends the same body, so a request whose answer was lost takes effect
 *   once: control recognizes its request id.
 *
 * HOW TO USE IT
 *     LcCliClient client = { .timeout_ms = 15000 };
 *     lc_cli_client_add (&client, "127.0.0.1:8080", &error);
 *     r = lc_cli_client_call (&client, "POST", "/v1/plan", body, &answer, &error);
 *     json_decref (answer);
 *   An error that control answers is returned as its LcError.
 *
 * LIMITS
 *   LC_CLI_ADDRESSES_MAX addresses; answers up to 64 MiB.
 */
#ifndef LC_CLI_CLIENT_H
#define LC_CLI_CLIENT_H

#include "core/lc-error.h"
#include "io/lc-settings.h"

#include <jansson.h>

enum
{
  LC_CLI_ADDRESSES_MAX = 16,
};

typedef struct
{
  LcSocketAddress addresses[LC_CLI_ADDRESSES_MAX];
  uint32_t n_addresses;
  uint32_t next;       /* index to try first: the last that answered */
  uint32_t timeout_ms; /* of the whole call, over all attempts */
} LcCliClient;

int lc_cli_client_add (LcCliClient *client, const char *address, LcError *error);
/* `body` may be NULL.  Returns 0 and an answer to be freed, or a negative code. */
int lc_cli_client_call (LcCliClient *client,
                        const char *method,
                        const char *path,
                        const json_t *body,
                        json_t **answer,
                        LcError *error);

#endif /* LC_CLI_CLIENT_H */
