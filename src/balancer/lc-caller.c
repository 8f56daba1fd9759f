#include "lc-caller.h"

#include "core/request/lc-request-frames.h"
#include "io/lc-http.h"

#include <errno.h>
#include <inttypes.h>
#include <netinet/in.h>
#include <sys/socket.h>

/* === private: reading ======================================================================= */

static LcSlice
lc_caller__slice (h2o_iovec_t v)
{
  return (LcSlice){ v.base != NULL ? v.base : "", v.len };
}

static LcSlice
lc_caller__find_header (const h2o_req_t *req, const char *name)
{
  ssize_t at = h2o_find_header_by_str (&req->headers, name, strlen (name), -1);

  return at < 0 ? (LcSlice){ "", 0 } : lc_caller__slice (req->headers.entries[at].value);
}

static uint32_t
lc_caller__read_address (h2o_req_t *req)
{
  struct sockaddr_storage address;
  socklen_t len = req->conn->callbacks->get_peername (req->conn, (struct sockaddr *)&address);

  if (len < sizeof (struct sockaddr_in) || address.ss_family != AF_INET)
    return 0;
  return ntohl (((struct sockaddr_in *)&address)->sin_addr.s_addr);
}

static uint64_t
lc_caller__make_random (void)
{
  return ((uint64_t)g_random_int () << 32) | g_random_int ();
}

void
lc_caller_read (LcFilterRequest *request, h2o_req_t *req, int64_t now_us)
{
  memset (request, 0, sizeof *request);
  request->method = lc_caller__slice (req->method);
  request->path = lc_caller__slice (req->path);
  request->host = lc_caller__slice (req->authority);
  request->body = lc_caller__slice (req->entity);
  request->key_text = lc_caller__find_header (req, "idempotency-key");
  request->timeout_text = lc_caller__find_header (req, "lychee-timeout-ms");
  request->caller = lc_caller__read_address (req);
  request->random = (LcRequestId){ lc_caller__make_random (), lc_caller__make_random () };
  request->now_us = now_us;
}

bool
lc_caller_has_disconnected (h2o_req_t *req)
{
  h2o_socket_t *socket = req->conn->callbacks->get_socket (req->conn);
  char byte;
  ssize_t n;

  /* h2o frees HTTP/2 requests itself, and under TLS the end of the stream can't be peeked at. */
  if (req->version >= 0x200 || socket == NULL || socket->ssl != NULL)
    return false;
  n = recv (h2o_socket_get_fd (socket), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR);
}

/* === private: the attempt =================================================================== */

static bool
lc_caller__is_forwarded_header (const h2o_iovec_t *name)
{
  static const char *const DROPPED[] = {
    "connection",        "keep-alive",         "proxy-connection", "te",   "trailer",
    "upgrade",           "transfer-encoding",  "content-length",   "host", "expect",
    "lychee-request-id", "lychee-deadline-ms", "lychee-timeout-ms"
  };

  for (size_t i = 0; i < G_N_ELEMENTS (DROPPED); i++)
    if (h2o_lcstris (name->base, name->len, DROPPED[i], strlen (DROPPED[i])))
      return false;
  return true;
}

static ProtobufCBinaryData
lc_caller__make_data (const char *base, size_t len)
{
  return (ProtobufCBinaryData){ .len = len, .data = (uint8_t *)base };
}

static void
lc_caller__fill_head (Lc__Request__AttemptHead *head,
                      const LcFilterRequest *request,
                      const LcBalancerAction *send)
{
  head->id_hi = request->id.hi;
  head->id_lo = request->id.lo;
  head->attempt = send->send.number;
  head->instance = send->send.ref.instance;
  head->service_id = request->service->id;
  head->key_hi = request->key.hi;
  head->key_lo = request->key.lo;
  head->caller_key = request->is_caller_key;
  head->check = request->is_query;
  head->digest = request->digest;
  head->left_us = (uint64_t)send->send.left_us;
  if (request->is_query)
    return;
  head->method = lc_caller__make_data (request->method.base, request->method.len);
  head->path = lc_caller__make_data (request->path.base, request->path.len);
  head->host = lc_caller__make_data (request->host.base, request->host.len);
  head->body_length = request->body.len;
}

static int
lc_caller__send_head (LcLink *link, h2o_req_t *req, Lc__Request__AttemptHead *head)
{
  Lc__Request__Header values[LC_REQUEST_MAX_HEADERS];
  Lc__Request__Header *list[LC_REQUEST_MAX_HEADERS];
  int r;

  head->headers = list;
  for (size_t i = 0; i < req->headers.size && head->n_headers < LC_REQUEST_MAX_HEADERS; i++)
    {
      const h2o_header_t *from = &req->headers.entries[i];
      Lc__Request__Header *to = &values[head->n_headers];

      if (!lc_caller__is_forwarded_header (from->name))
        continue;
      lc__request__header__init (to);
      to->name = lc_caller__make_data (from->name->base, from->name->len);
      to->value = lc_caller__make_data (from->value.base, from->value.len);
      list[head->n_headers++] = to;
    }
  r = lc_link_send (link, LC_FRAME_ATTEMPT_HEAD, &head->base);
  head->headers = NULL;
  head->n_headers = 0;
  return r;
}

int
lc_caller_send_attempt (LcLink *link,
                        h2o_req_t *req,
                        const LcFilterRequest *request,
                        const LcBalancerAction *send)
{
  Lc__Request__AttemptHead head = LC__REQUEST__ATTEMPT_HEAD__INIT;
  size_t len = request->is_query ? 0 : request->body.len;
  int r;

  lc_caller__fill_head (&head, request, send);
  head.body_checksum = lc_request_checksum (request->body.base, len);
  r = lc_caller__send_head (link, req, &head);
  for (size_t offset = 0; r == 0 && offset < len; offset += LC_REQUEST_PART_BYTES)
    {
      Lc__Request__AttemptBody part = LC__REQUEST__ATTEMPT_BODY__INIT;

      part.id_hi = head.id_hi;
      part.id_lo = head.id_lo;
      part.attempt = head.attempt;
      part.offset = offset;
      part.data = lc_caller__make_data (request->body.base + offset,
                                        MIN (len - offset, LC_REQUEST_PART_BYTES));
      r = lc_link_send (link, LC_FRAME_ATTEMPT_BODY, &part.base);
    }
  return r;
}

/* === private: answers ======================================================================= */

static void
lc_caller__add_header (h2o_req_t *req, const char *name, const char *value)
{
  h2o_iovec_t copy = h2o_strdup (&req->pool, value, strlen (value));

  h2o_add_header_by_str (&req->pool, &req->res.headers, name, strlen (name), 0, NULL, copy.base,
                         copy.len);
}

/* Adds the id for later queries: the key of a keyed request, else the request's own id. */
static void
lc_caller__add_id (h2o_req_t *req, const LcFilterRequest *request)
{
  char id[LC_REQUEST_ID_TEXT];
  char path[96];

  if (lc_request_key_is_none (request->key))
    {
      lc_request_id_text (id, request->id);
      lc_caller__add_header (req, "lychee-request-id", id);
      return;
    }
  lc_request_id_text (id, (LcRequestId){ request->key.hi, request->key.lo });
  lc_caller__add_header (req, "lychee-request-id", id);
  (void)g_snprintf (path, sizeof path, "%s%s", LC_FILTER_QUERY_PREFIX, id);
  lc_caller__add_header (req, "lychee-ask", path);
}

void
lc_caller_send_answer (h2o_req_t *req,
                       const LcFilterRequest *request,
                       const Lc__Request__AnswerHead *head,
                       const uint8_t *body,
                       size_t body_len)
{
  h2o_iovec_t copy = h2o_strdup (&req->pool, (const char *)body, body_len);

  req->res.status = (int)head->status;
  req->res.reason = "Answer";
  for (size_t i = 0; i < head->n_headers; i++)
    {
      h2o_iovec_t name = h2o_strdup (&req->pool, (const char *)head->headers[i]->name.data,
                                     head->headers[i]->name.len);
      h2o_iovec_t value = h2o_strdup (&req->pool, (const char *)head->headers[i]->value.data,
                                      head->headers[i]->value.len);

      h2o_strtolower (name.base, name.len);
      h2o_add_header_by_str (&req->pool, &req->res.headers, name.base, name.len, 1, NULL,
                             value.base, value.len);
    }
  lc_caller__add_id (req, request);
  if (head->replayed)
    lc_caller__add_header (req, "lychee-replayed", "1");
  req->res.content_length = copy.len;
  h2o_send_inline (req, copy.base, copy.len);
}

static void
lc_caller__send_json (
    h2o_req_t *req, int status, const char *reason, const char *message, const char *remedy)
{
  char body[512];

  (void)g_snprintf (body, sizeof body,
                    "{\"error\":{\"code\":\"%s\",\"message\":\"%s\",\"remedy\":\"%s\"}}\n", reason,
                    message, remedy);
  lc_http_answer (req, status, NULL, body, strlen (body));
}

static void
lc_caller__add_retry_after (h2o_req_t *req, int64_t retry_after_us)
{
  char text[24];

  if (retry_after_us <= 0)
    return;
  (void)g_snprintf (text, sizeof text, "%u", lc_filter_answer_seconds (retry_after_us));
  lc_caller__add_header (req, "retry-after", text);
  (void)g_snprintf (text, sizeof text, "%" PRId64, retry_after_us / LC_US_PER_MS + 1);
  lc_caller__add_header (req, "lychee-retry-after-ms", text);
}

static void
lc_caller__send_error (h2o_req_t *req,
                       const LcFilterRequest *request,
                       LcRefuseReason reason,
                       LcOutcome outcome,
                       int64_t retry_after_us)
{
  LcCallerAnswer answer =
      lc_filter_error_answer (reason, outcome, retry_after_us, request->is_query);

  lc_caller__add_header (req, "lychee-outcome", lc_outcome_name (answer.outcome));
  lc_caller__add_header (req, "lychee-reason", lc_refuse_name (reason));
  lc_caller__add_retry_after (req, answer.retry_after_us);
  lc_caller__add_id (req, request);
  lc_caller__send_json (req, answer.status, lc_refuse_name (reason), answer.message, answer.remedy);
}

void
lc_caller_send_refusal (h2o_req_t *req, const LcFilterRequest *request, const LcFilterVerdict *v)
{
  /* With a caller's key, an earlier copy may have run even though a limit refused this one. */
  if (v->reason != LC_REFUSE_NONE)
    lc_caller__send_error (req, request, v->reason,
                           request->key_text.len > 0 || request->is_query ? LC_OUTCOME_UNKNOWN
                                                                          : LC_OUTCOME_NOT_RUN,
                           0);
  else
    lc_caller__send_json (req, v->status, v->status == 404 ? "not-found" : "invalid", v->message,
                          v->remedy);
}

void
lc_caller_send_failure (h2o_req_t *req,
                        const LcFilterRequest *request,
                        const LcBalancerAction *fail)
{
  lc_caller__send_error (req, request, fail->fail.reason, fail->fail.outcome,
                         fail->fail.retry_after_us);
}
