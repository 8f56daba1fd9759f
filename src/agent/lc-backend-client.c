#include "lc-backend-client.h"

#include "core/request/lc-request-frames.h"
#include "proto/lc-request.pb-c.h"

enum
{
  LC_BACKEND_TIMEOUT_MS = 65000,
};

struct LcBackendCall
{
  h2o_http1client_t *client;
  GBytes *request;
  h2o_iovec_t buffer;
  bool is_head;
  LcBackendCallback on_end;
  void *user;
  bool *was_freed; /* set while lc_backend_call_new runs */
  uint32_t status;
  GBytes *headers;
  GByteArray *body;
  bool has_length;
  bool is_chunked;
  bool is_not_run;
  uint64_t length;
};

/* === private: completion ==================================================================== */

static void
lc_backend_call__free (LcBackendCall *call)
{
  g_bytes_unref (call->request);
  if (call->headers != NULL)
    g_bytes_unref (call->headers);
  g_byte_array_unref (call->body);
  if (call->was_freed != NULL)
    *call->was_freed = true;
  g_free (call);
}

static void
lc_backend_call__finish (LcBackendCall *call, LcRunResult how)
{
  LcAnswer *answer = NULL;

  if (how == LC_RUN_OK)
    answer = lc_answer_new (call->status, g_bytes_ref (call->headers),
                            g_byte_array_free_to_bytes (g_byte_array_ref (call->body)));
  call->on_end (call->user, how, answer);
  lc_backend_call__free (call);
}

static void
lc_backend_call__finish_answer (LcBackendCall *call)
{
  bool is_short = call->has_length && !call->is_head && call->body->len != call->length;

  if (is_short)
    lc_backend_call__finish (call, LC_RUN_BROKEN);
  else if (call->status == 503 && call->is_not_run)
    lc_backend_call__finish (call, LC_RUN_SHED);
  else
    lc_backend_call__finish (call, LC_RUN_OK);
}

/* === private: headers ======================================================================= */

static bool
lc_backend_call__is_hop_by_hop (const h2o_iovec_t *name)
{
  static const char *const NAMES[] = { "connection", "keep-alive",     "proxy-connection",
                                       "te",         "trailer",        "transfer-encoding",
                                       "upgrade",    "content-length", "x-not-run" };

  for (size_t i = 0; i < G_N_ELEMENTS (NAMES); i++)
    if (h2o_lcstris (name->base, name->len, NAMES[i], strlen (NAMES[i])))
      return true;
  return false;
}

static void
lc_backend_call__parse_header (LcBackendCall *call, const h2o_header_t *header)
{
  const h2o_iovec_t *name = header->name;

  if (h2o_lcstris (name->base, name->len, H2O_STRLIT ("content-length")))
    {
      call->has_length = true;
      call->length = h2o_strtosize (header->value.base, header->value.len);
    }
  if (h2o_lcstris (name->base, name->len, H2O_STRLIT ("transfer-encoding")))
    call->is_chunked = true;
  if (h2o_lcstris (name->base, name->len, H2O_STRLIT ("x-not-run")))
    call->is_not_run = true;
}

static GBytes *
lc_backend_call__pack_headers (const h2o_header_t *headers, size_t n_headers)
{
  Lc__Request__Header values[LC_REQUEST_MAX_HEADERS];
  Lc__Request__Header *list[LC_REQUEST_MAX_HEADERS];
  Lc__Request__AnswerHead head = LC__REQUEST__ANSWER_HEAD__INIT;
  uint8_t *packed;
  size_t len;

  head.headers = list;
  for (size_t i = 0; i < n_headers && head.n_headers < LC_REQUEST_MAX_HEADERS; i++)
    {
      Lc__Request__Header *value = &values[head.n_headers];

      if (lc_backend_call__is_hop_by_hop (headers[i].name))
        continue;
      lc__request__header__init (value);
      value->name.data = (uint8_t *)headers[i].name->base;
      value->name.len = headers[i].name->len;
      value->value.data = (uint8_t *)headers[i].value.base;
      value->value.len = headers[i].value.len;
      list[head.n_headers++] = value;
    }
  len = lc__request__answer_head__get_packed_size (&head);
  packed = g_malloc (len + 1);
  (void)lc__request__answer_head__pack (&head, packed);
  return g_bytes_new_take (packed, len);
}

/* === private: h2o callbacks ================================================================= */

static int
lc_backend_call__on_body (h2o_http1client_t *client, const char *error)
{
  LcBackendCall *call = client->data;
  h2o_buffer_t **input = &client->sock->input;

  if (error != NULL && error != h2o_http1client_error_is_eos)
    {
      lc_backend_call__finish (call, LC_RUN_BROKEN);
      return 0;
    }
  if (call->body->len + (*input)->size > LC_REQUEST_MAX_BODY)
    {
      lc_backend_call__finish (call, LC_RUN_BROKEN);
      return -1;
    }
  g_byte_array_append (call->body, (const guint8 *)(*input)->bytes, (guint)(*input)->size);
  h2o_buffer_consume (input, (*input)->size);
  if (error == h2o_http1client_error_is_eos)
    lc_backend_call__finish_answer (call);
  return 0;
}

static h2o_http1client_body_cb
lc_backend_call__on_head (h2o_http1client_t *client,
                          const char *error,
                          int minor_version,
                          int status,
                          h2o_iovec_t message,
                          h2o_header_t *headers,
                          size_t n_headers,
                          int header_bytes)
{
  LcBackendCall *call = client->data;

  (void)minor_version;
  (void)message;
  (void)header_bytes;
  if (error != NULL && error != h2o_http1client_error_is_eos)
    {
      lc_backend_call__finish (call, LC_RUN_BROKEN);
      return NULL;
    }
  call->status = (uint32_t)status;
  for (size_t i = 0; i < n_headers; i++)
    lc_backend_call__parse_header (call, &headers[i]);
  call->headers = lc_backend_call__pack_headers (headers, n_headers);
  if (error == h2o_http1client_error_is_eos)
    {
      call->has_length = false; /* HEAD, 204 and 304 have no body, whatever the header says */
      lc_backend_call__finish_answer (call);
      return NULL;
    }
  if (!call->has_length && !call->is_chunked)
    {
      lc_backend_call__finish (call, LC_RUN_BROKEN);
      return NULL;
    }
  return lc_backend_call__on_body;
}

static h2o_http1client_head_cb
lc_backend_call__on_connect (h2o_http1client_t *client,
                             const char *error,
                             h2o_iovec_t **buffers,
                             size_t *n_buffers,
                             int *is_head)
{
  LcBackendCall *call = client->data;

  if (error != NULL)
    {
      lc_backend_call__finish (call, LC_RUN_NOT_SENT);
      return NULL;
    }
  *buffers = &call->buffer;
  *n_buffers = 1;
  *is_head = call->is_head;
  return lc_backend_call__on_head;
}

/* === public ================================================================================= */

void
lc_backend_client_init (LcBackendClient *client, const LcBackendClientDesc *desc)
{
  uint32_t ip = desc->address.ipv4;

  memset (client, 0, sizeof *client);
  client->desc = *desc;
  h2o_timeout_init (desc->loop, &client->timeout,
                    desc->timeout_ms != 0 ? desc->timeout_ms : LC_BACKEND_TIMEOUT_MS);
  client->context.loop = desc->loop;
  client->context.io_timeout = &client->timeout;
  (void)g_snprintf (client->host, sizeof client->host, "%u.%u.%u.%u", ip >> 24, (ip >> 16) & 255,
                    (ip >> 8) & 255, ip & 255);
}

void
lc_backend_client_finish (LcBackendClient *client)
{
  h2o_timeout_dispose (client->desc.loop, &client->timeout);
}

LcBackendCall *
lc_backend_call_new (
    LcBackendClient *client, GBytes *request, bool is_head, LcBackendCallback on_end, void *user)
{
  LcBackendCall *call = g_new0 (LcBackendCall, 1);
  bool was_freed = false;
  gsize len;

  call->request = request;
  call->buffer.base = (char *)g_bytes_get_data (request, &len);
  call->buffer.len = len;
  call->is_head = is_head;
  call->on_end = on_end;
  call->user = user;
  call->body = g_byte_array_new ();
  call->was_freed = &was_freed;
  h2o_http1client_connect (&call->client, call, &client->context,
                           h2o_iovec_init (client->host, strlen (client->host)),
                           client->desc.address.port, 0, lc_backend_call__on_connect);
  if (was_freed)
    return NULL;
  call->was_freed = NULL;
  return call;
}

void
lc_backend_call_cancel (LcBackendCall *call)
{
  h2o_http1client_cancel (call->client);
  lc_backend_call__free (call);
}
