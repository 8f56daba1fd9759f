/* lc-agent-attempt: puts an attempt together from its frames, and makes the request out of it.
 *
 * WHAT IT IS
 *   The head names length and checksum of the body; parts must come in order.  Anything that does
 *   not fit is refused before a decision is asked for.
 *
 * LIFETIME
 *   An LcPartial owns copies of what the frames said.
 */
#ifndef LC_AGENT_ATTEMPT_H
#define LC_AGENT_ATTEMPT_H

#include "core/lc-error.h"
#include "core/request/lc-request-agent.h"
#include "proto/lc-request.pb-c.h"

typedef struct
{
  LcAttemptId ask;
  Lc__Request__AttemptHead *head; /* owned */
  GByteArray *body;
} LcPartial;

/* Takes `head`; NULL (and `head` freed) when it can't be right. */
LcPartial *lc_partial_new (uint64_t link_id, Lc__Request__AttemptHead *head);
void lc_partial_free (gpointer partial);

/* Adds a part; false when it does not follow the last one or is too long. */
bool lc_partial_add (LcPartial *partial, const Lc__Request__AttemptBody *part);
bool lc_partial_is_whole (const LcPartial *partial);

/* Whether the whole body has its checksum. */
bool lc_partial_is_sound (const LcPartial *partial);

/* The attempt as the core takes it. */
LcAgentAttempt lc_partial_attempt (const LcPartial *partial, int64_t now_us);

/* The HTTP/1.1 request for the backend server. */
GBytes *lc_partial_request (const LcPartial *partial, int64_t left_us);

/* For a table of partial attempts. */
guint lc_ask_hash (gconstpointer ask);
gboolean lc_ask_is_equal (gconstpointer a, gconstpointer b);

#endif /* LC_AGENT_ATTEMPT_H */
