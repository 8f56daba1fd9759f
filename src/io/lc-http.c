#include "lc-http.h"

#include "lc-listen.h"

enum
{
  LC_HTTP_MAX_BODY_BYTES = 1 << 20,
  LC_HTTP_IDLE_TIMEOUT_MS = 10000,
};

typedef struct
{
  h2o_handler_t super;
  LcHttp *http;
} LcHttpHandler;

/* === private: answers ======================================================================= */

static const char *
lc_http__reason_phrase (int status)
{
  switch (status)
    {
    case 200:
      return "OK";
    case 202:
      return "Accepted";
    case 307:
      return "Temporary Redirect";
    case 400:
      return "Bad Request";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 409:
      return "Conflict";
    case 413:
      return "Payload Too Large";
    case 421:
      return "Misdirected Request";
    case 429:
      return "Too Many Requests";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return "Status";
    }
}

void
lc_http_answer (h2o_req_t *req, int status, const char *content_type, const char *body, size_t len)
{
  const char *type = content_type != NULL ? content_type : "application/json";

  req->res.status = status;
  req->res.reason = lc_http__reason_phrase (status);
  req->res.content_length = len;
  h2o_add_header (&req->pool, &req->res.headers, H2O_TOKEN_CONTENT_TYPE, NULL, type, strlen (type));
  req->res.content_length = len;
  h2o_send_inline (req, body, len);
}

static int
lc_http__status_of_error (LcErrorCode code)
{
  switch (code)
    {
    case LC_ERR_INVALID:
      return 400;
    case LC_ERR_NOT_FOUND:
      return 404;
    case LC_ERR_CONFLICT:
    case LC_ERR_EXISTS:
    case LC_ERR_STALE:
      return 409;
    case LC_ERR_FULL:
    case LC_ERR_REFUSED:
      return 429;
    case LC_ERR_NOT_LEADER:
      return 421;
    case LC_ERR_UNAVAILABLE:
      return 503;
    case LC_ERR_TIMEOUT:
      return 504;
    default:
      return 500;
    }
}

static void
lc_http__append_json (GString *out, const char *text)
{
  for (const unsigned char *p = (const unsigned char *)text; *p != '\0'; p++)
    if (*p < 0x20 || *p == '"' || *p == '\\')
      g_string_append_printf (out, "\\u%04x", *p);
    else
      g_string_append_c (out, (gchar)*p);
}

void
lc_http_answer_error (h2o_req_t *req, const LcError *error)
{
  GString *body = g_string_new ("{\"error\":{\"code\":\"");

  g_string_append (body, lc_error_code_name (error->code));
  g_string_append (body, "\",\"message\":\"");
  lc_http__append_json (body, error->message);
  g_string_append (body, "\",\"remedy\":\"");
  lc_http__append_json (body, error->remedy);
  g_string_append (body, "\"}}\n");
  lc_http_answer (req, lc_http__status_of_error (error->code), NULL, body->str, body->len);
  g_string_free (body, TRUE);
}

/* === private: requests ====================================================================== */

static bool
lc_http__path_is (const h2o_req_t *req, const char *path)
{
  return h2o_memis (req->path_normalized.base, req->path_normalized.len, path, strlen (path));
}

static void
lc_http__answer_metrics (LcHttp *http, h2o_req_t *req)
{
  char *text = lc_metrics_text (http->desc.metrics);

  lc_http_answer (req, 200, "text/plain; version=0.0.4", text, strlen (text));
  g_free (text);
}

static void
lc_http__answer_burn (LcHttp *http, h2o_req_t *req)
{
  char *text = lc_burn_json (http->desc.burn);

  lc_http_answer (req, 200, NULL, text, strlen (text));
  g_free (text);
}

static bool
lc_http__answer_admin (LcHttp *http, h2o_req_t *req)
{
  static const char OK_BODY[] = "{\"status\":\"ok\"}\n";
  static const char NOT_READY_BODY[] = "{\"status\":\"not-ready\"}\n";

  if (http->desc.metrics == NULL ||
      !h2o_memis (req->method.base, req->method.len, H2O_STRLIT ("GET")))
    return false;
  if (lc_http__path_is (req, "/metrics"))
    lc_http__answer_metrics (http, req);
  else if (http->desc.burn != NULL && lc_http__path_is (req, "/v1/burn"))
    lc_http__answer_burn (http, req);
  else if (lc_http__path_is (req, "/healthz"))
    lc_http_answer (req, 200, NULL, OK_BODY, sizeof OK_BODY - 1);
  else if (!lc_http__path_is (req, "/readyz"))
    return false;
  else if (http->desc.is_ready == NULL || http->desc.is_ready (http->desc.user))
    lc_http_answer (req, 200, NULL, OK_BODY, sizeof OK_BODY - 1);
  else
    lc_http_answer (req, 503, NULL, NOT_READY_BODY, sizeof NOT_READY_BODY - 1);
  return true;
}

static int
lc_http__on_request (h2o_handler_t *self, h2o_req_t *req)
{
  LcHttp *http = ((LcHttpHandler *)self)->http;
  LcError error = { 0 };

  if (lc_http__answer_admin (http, req))
    return 0;
  if (http->desc.request != NULL && http->desc.request (http->desc.user, req) == 0)
    return 0;
  (void)lc_error_set (&error, LC_ERR_NOT_FOUND, "check the path against the documentation",
                      "nothing is served at %.*s", (int)MIN (req->path.len, 200), req->path.base);
  lc_http_answer_error (req, &error);
  return 0;
}

static void
lc_http__on_accept (h2o_socket_t *listener, const char *err)
{
  LcHttp *http = listener->data;
  h2o_socket_t *socket;

  if (err != NULL)
    return;
  while ((socket = h2o_evloop_socket_accept (listener)) != NULL)
    h2o_accept (&http->accept_context, socket);
}

/* === public ================================================================================= */

int
lc_http_init (LcHttp *http, const LcHttpDesc *desc, LcError *error)
{
  h2o_hostconf_t *host;
  int fd;

  memset (http, 0, sizeof *http);
  http->desc = *desc;
  fd = lc_listen_tcp (desc->ipv4, desc->port, "free the port or change it in the settings", error);
  if (fd < 0)
    return fd;
  h2o_config_init (&http->config);
  http->config.server_name = h2o_iovec_init (H2O_STRLIT ("lychee"));
  http->config.max_request_entity_size =
      desc->max_body_bytes != 0 ? desc->max_body_bytes : LC_HTTP_MAX_BODY_BYTES;
  http->config.http1.req_timeout =
      desc->idle_timeout_ms != 0 ? desc->idle_timeout_ms : LC_HTTP_IDLE_TIMEOUT_MS;
  host = h2o_config_register_host (&http->config, h2o_iovec_init (H2O_STRLIT ("default")), 65535);
  http->handler =
      h2o_create_handler (h2o_config_register_path (host, "/", 0), sizeof (LcHttpHandler));
  http->handler->on_req = lc_http__on_request;
  ((LcHttpHandler *)http->handler)->http = http;
  h2o_context_init (&http->context, desc->loop, &http->config);
  http->accept_context.ctx = &http->context;
  http->accept_context.hosts = http->config.hosts;
  http->listener = h2o_evloop_socket_create (desc->loop, fd, H2O_SOCKET_FLAG_DONT_READ);
  http->listener->data = http;
  h2o_socket_read_start (http->listener, lc_http__on_accept);
  return 0;
}

void
lc_http_stop_accepting (LcHttp *http)
{
  if (http->is_stopping)
    return;
  http->is_stopping = true;
  h2o_socket_close (http->listener);
  http->listener = NULL;
  h2o_context_request_shutdown (&http->context);
}

uint32_t
lc_http_n_connections (const LcHttp *http)
{
  uint32_t n = 0;

  for (const h2o_linklist_t *at = http->context.http1._conns.next;
       at != &http->context.http1._conns; at = at->next)
    n++;
  for (const h2o_linklist_t *at = http->context.http2._conns.next;
       at != &http->context.http2._conns; at = at->next)
    n++;
  return n;
}

/* h2o 2.2 can't close open connections by itself; the context is then not disposed, since the
 * process ends right after this call. */
void
lc_http_finish (LcHttp *http)
{
  if (http->listener != NULL)
    h2o_socket_close (http->listener);
  http->listener = NULL;
  if (lc_http_n_connections (http) > 0)
    return;
  /* HTTP/2 shutdown leaves its timer for the second GOAWAY armed, and h2o_context_dispose refuses
   * a context with armed timers. */
  if (h2o_timeout_is_linked (&http->context.http2._graceful_shutdown_timeout))
    h2o_timeout_unlink (&http->context.http2._graceful_shutdown_timeout);
  h2o_context_dispose (&http->context);
  h2o_config_dispose (&http->config);
}
