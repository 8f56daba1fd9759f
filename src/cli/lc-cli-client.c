#include "lc-cli-client.h"

#include "io/lc-clock.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  LC_CLI_CONNECT_TIMEOUT_MS = 500,
  LC_CLI_ATTEMPT_TIMEOUT_MS = 6000, /* for one VM; longer than control waits for a commit */
  LC_CLI_RETRY_PAUSE_MS = 100,
  LC_CLI_ANSWER_BYTES_MAX = 64 << 20,
  LC_CLI_READ_BYTES = 64 << 10,
};

/* === private: one exchange ================================================================== */

static int
lc_cli__remaining_ms (int64_t deadline_us)
{
  return (int)MAX ((deadline_us - lc_clock_now_us ()) / LC_US_PER_MS, 0);
}

static bool
lc_cli__poll (int fd, short events, int64_t deadline_us)
{
  struct pollfd entry = { .fd = fd, .events = events };
  int r;

  do
    r = poll (&entry, 1, lc_cli__remaining_ms (deadline_us));
  while (r < 0 && errno == EINTR);
  return r > 0;
}

static int
lc_cli__connect (const LcSocketAddress *address, int64_t deadline_us)
{
  struct sockaddr_in to = { .sin_family = AF_INET,
                            .sin_port = htons (address->port),
                            .sin_addr.s_addr = htonl (address->ipv4) };
  int64_t until_us =
      MIN (deadline_us, lc_clock_now_us () + LC_CLI_CONNECT_TIMEOUT_MS * LC_US_PER_MS);
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  int failed = 0;
  socklen_t len = sizeof failed;

  if (fd < 0)
    return -1;
  if (connect (fd, (struct sockaddr *)&to, sizeof to) == 0)
    return fd;
  if (errno == EINPROGRESS && lc_cli__poll (fd, POLLOUT, until_us) &&
      getsockopt (fd, SOL_SOCKET, SO_ERROR, &failed, &len) == 0 && failed == 0)
    return fd;
  close (fd);
  return -1;
}

static bool
lc_cli__send (int fd, const GString *request, int64_t deadline_us)
{
  size_t at = 0;

  while (at < request->len)
    {
      ssize_t n = send (fd, request->str + at, request->len - at, MSG_NOSIGNAL);

      if (n > 0)
        at += (size_t)n;
      else if (errno != EAGAIN && errno != EINTR)
        return false;
      else if (!lc_cli__poll (fd, POLLOUT, deadline_us))
        return false;
    }
  return true;
}

/* Reads until control closes the connection, as "Connection: close" asks. */
static bool
lc_cli__receive (int fd, GString *answer, int64_t deadline_us)
{
  char *part = g_malloc (LC_CLI_READ_BYTES);
  bool is_whole = false;

  while (!is_whole && answer->len < LC_CLI_ANSWER_BYTES_MAX)
    {
      ssize_t n = recv (fd, part, LC_CLI_READ_BYTES, 0);

      if (n > 0)
        g_string_append_len (answer, part, n);
      else if (n == 0)
        is_whole = true;
      else if (errno != EAGAIN && errno != EINTR)
        break;
      else if (!lc_cli__poll (fd, POLLIN, deadline_us))
        break;
    }
  g_free (part);
  return is_whole;
}

/* Returns the HTTP status and the body, or -1 if the response is malformed or truncated. */
static int
lc_cli__parse_response (const GString *answer, const char **body, size_t *body_len)
{
  const char *end = strstr (answer->str, "\r\n\r\n");
  gchar *head;
  gchar *lower;
  const char *length;
  int status = -1;

  if (end == NULL || !g_str_has_prefix (answer->str, "HTTP/1."))
    return -1;
  head = g_strndup (answer->str, (gsize)(end - answer->str));
  lower = g_ascii_strdown (head, -1);
  length = strstr (lower, "content-length:");
  *body = end + 4;
  *body_len = answer->len - (size_t)(*body - answer->str);
  if (length != NULL &&
      g_ascii_strtoull (length + strlen ("content-length:"), NULL, 10) == *body_len)
    status = (int)g_ascii_strtoull (head + strlen ("HTTP/1.1 "), NULL, 10);
  g_free (lower);
  g_free (head);
  return status;
}

static int
lc_cli__exchange (const LcSocketAddress *address,
                  const GString *request,
                  int64_t deadline_us,
                  json_t **json)
{
  int64_t until_us =
      MIN (deadline_us, lc_clock_now_us () + LC_CLI_ATTEMPT_TIMEOUT_MS * LC_US_PER_MS);
  int fd = lc_cli__connect (address, until_us);
  GString *answer = g_string_new (NULL);
  const char *body = NULL;
  size_t body_len = 0;
  int status = -1;

  if (fd >= 0 && lc_cli__send (fd, request, until_us) && lc_cli__receive (fd, answer, until_us))
    status = lc_cli__parse_response (answer, &body, &body_len);
  if (status > 0)
    *json = json_loadb (body, body_len, 0, NULL);
  if (fd >= 0)
    close (fd);
  g_string_free (answer, TRUE);
  return *json != NULL ? status : -1;
}

/* === private: error responses =============================================================== */

static LcErrorCode
lc_cli__parse_code (const char *name)
{
  for (int code = LC_ERR_INVALID; code >= LC_ERR_REFUSED; code--)
    if (g_strcmp0 (lc_error_code_name ((LcErrorCode)code), name) == 0)
      return (LcErrorCode)code;
  return LC_ERR_IO;
}

static int
lc_cli__read_error (const json_t *json, LcError *error)
{
  const json_t *inner = json_object_get (json, "error");
  const char *message = json_string_value (json_object_get (inner, "message"));
  const char *remedy = json_string_value (json_object_get (inner, "remedy"));

  return lc_error_set (
      error, lc_cli__parse_code (json_string_value (json_object_get (inner, "code"))),
      remedy != NULL ? remedy : "", "%s", message != NULL ? message : "control refused it");
}

/* Whether to try another control VM, or this one later. */
static bool
lc_cli__is_retryable (int status)
{
  return status < 0 || status == 421 || status == 503 || status == 504;
}

/* === public ================================================================================= */

int
lc_cli_client_add (LcCliClient *client, const char *address, LcError *error)
{
  if (client->n_addresses == LC_CLI_ADDRESSES_MAX)
    return lc_error_set (error, LC_ERR_FULL, "name fewer control VMs", "more than %d addresses",
                         LC_CLI_ADDRESSES_MAX);
  if (lc_settings_parse_address (address, &client->addresses[client->n_addresses]) < 0)
    return lc_error_set (error, LC_ERR_INVALID, "write it as a.b.c.d:port",
                         "\"%.60s\" is no address", address);
  client->n_addresses++;
  return 0;
}

static GString *
lc_cli__format_request (const char *method, const char *path, const json_t *body)
{
  char *text = body != NULL ? json_dumps (body, JSON_COMPACT) : NULL;
  GString *request = g_string_new (NULL);

  g_string_printf (request,
                   "%s %s HTTP/1.1\r\nHost: control\r\nConnection: close\r\n"
                   "Content-Length: %zu\r\n\r\n%s",
                   method, path, text != NULL ? strlen (text) : 0, text != NULL ? text : "");
  free (text);
  return request;
}

int
lc_cli_client_call (LcCliClient *client,
                    const char *method,
                    const char *path,
                    const json_t *body,
                    json_t **answer,
                    LcError *error)
{
  int64_t deadline_us = lc_clock_now_us () + (int64_t)client->timeout_ms * LC_US_PER_MS;
  GString *request = lc_cli__format_request (method, path, body);
  int status = -1;
  uint32_t n_tried = 0;

  *answer = NULL;
  (void)lc_error_set (error, LC_ERR_UNAVAILABLE,
                      "check --control and that a majority of the control VMs runs",
                      "none of %u control VMs answered", client->n_addresses);
  while (lc_cli__remaining_ms (deadline_us) > 0)
    {
      status = lc_cli__exchange (&client->addresses[client->next], request, deadline_us, answer);
      if (!lc_cli__is_retryable (status))
        break;
      if (status > 0)
        (void)lc_cli__read_error (*answer, error);
      json_decref (*answer);
      *answer = NULL;
      client->next = (client->next + 1) % client->n_addresses;
      if (++n_tried % client->n_addresses == 0)
        g_usleep (LC_CLI_RETRY_PAUSE_MS * LC_US_PER_MS);
    }
  g_string_free (request, TRUE);
  if (*answer == NULL)
    return error->code;
  if (status == 200)
    return 0;
  (void)lc_cli__read_error (*answer, error);
  json_decref (*answer);
  *answer = NULL;
  return error->code;
}
