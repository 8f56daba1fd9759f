/* lc-partial-attempt: reassembles an attempt from its frames and builds its HTTP/1.1 request.
 *
 * WHAT IT IS
 *   The head frame gives length and checksum of the body; parts must come in order.  A malformed
 *   attempt is refused before lc-request-agent gets it.
 *
 * LIFETIME
 *   An LcPartialAttempt owns its head and body.
 */
#ifndef LC_PARTIAL_ATTEMPT_H
#define LC_PARTIAL_ATTEMPT_H

#include "core/lc-error.h"
#include "core/request/lc-request-agent.h"
#include "proto/lc-request.pb-c.h"

typedef struct
{
  LcAttemptId attempt_id;
  Lc__Request__AttemptHead *head; /* owned */
  GByteArray *body;
} LcPartialAttempt;

/* Takes ownership of `head`; frees it and returns NULL if it is invalid. */
LcPartialAttempt *lc_partial_attempt_new (uint64_t link_id, Lc__Request__AttemptHead *head);
void lc_partial_attempt_free (gpointer partial);

/* Appends a part; false if it is out of order or exceeds the body's length. */
bool lc_partial_attempt_add_body (LcPartialAttempt *partial, const Lc__Request__AttemptBody *part);
bool lc_partial_attempt_is_complete (const LcPartialAttempt *partial);

/* Whether the body's checksum matches. */
bool lc_partial_attempt_is_intact (const LcPartialAttempt *partial);

/* The attempt for lc_request_agent_handle_attempt. */
LcAgentAttempt lc_partial_attempt_get_attempt (const LcPartialAttempt *partial, int64_t now_us);

/* The HTTP/1.1 request for the backend server. */
GBytes *lc_partial_attempt_build_http (const LcPartialAttempt *partial, int64_t left_us);

/* For tables by LcAttemptId. */
guint lc_attempt_id_hash (gconstpointer attempt_id);
gboolean lc_attempt_id_equal (gconstpointer a, gconstpointer b);

#endif /* LC_PARTIAL_ATTEMPT_H */
