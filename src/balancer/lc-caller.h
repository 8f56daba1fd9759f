/* lc-caller: converts a caller's HTTP request between h2o, the filters and the agents.
 *
 * WHAT IT IS
 *   Reads the fields that the filters need from an h2o request, encodes an attempt's frames, and
 *   writes answers and refusals as specified in docs/CALLERS.md.
 *
 * LIFETIME
 *   All pointers are into the h2o request's pool, which lives until the answer is written.
 */
#ifndef LC_CALLER_H
#define LC_CALLER_H

#include "core/request/lc-request-balancer.h"
#include "core/filter/lc-filter-answer.h"
#include "io/lc-link.h"
#include "proto/lc-request.pb-c.h"

#include <h2o.h>

/* Fills in the caller's part of a filter request. */
void lc_caller_read (LcFilterRequest *request, h2o_req_t *req, int64_t now_us);

/* Sends the head and body parts of an attempt; 0, or the error if a part was not queued. */
int lc_caller_send_attempt (LcLink *link,
                            h2o_req_t *req,
                            const LcFilterRequest *request,
                            const LcBalancerAction *send);

/* Whether the caller's connection is closed. */
bool lc_caller_has_disconnected (h2o_req_t *req);

/* Sends the caller the answer of the backend server. */
void lc_caller_send_answer (h2o_req_t *req,
                            const LcFilterRequest *request,
                            const Lc__Request__AnswerHead *head,
                            const uint8_t *body,
                            size_t body_len);

/* Sends the caller a filter's refusal, or an error in place of an answer. */
void
lc_caller_send_refusal (h2o_req_t *req, const LcFilterRequest *request, const LcFilterVerdict *v);
void lc_caller_send_failure (h2o_req_t *req,
                             const LcFilterRequest *request,
                             const LcBalancerAction *fail);

#endif /* LC_CALLER_H */
