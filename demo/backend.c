/* lychee-demo-backend: a mock backend server for the demo and the tests.
 *
 * WHAT IT IS
 *   An order desk, ticket vault, ledger or statements service on one address: HTTP through h2o and
 *   a feed over UDP.  It counts runs, datagrams and flows for the checks.
 *
 * HTTP
 *   POST /orders, /transfers         one run per call; answers key, server, run number, length
 *   GET  /orders/ID, /transfers/ID   a small answer that names the id and the server
 *   GET  /tickets/N, /statements/N   an archive of N KiB; header x-sha256 is its checksum
 *   GET  /runs                       runs in total, distinct keys, most runs of one key
 *   GET  /runs/KEY                   runs of one key
 *   GET  /feed                       datagrams answered, flows seen
 *   GET  /load, /healthz             load report and health check, changed by POST /mode/MODE:
 *                                    ok, lag (a report 5 s old), freeze (no answer), lie (idle)
 *
 * WORK
 *   `slots` requests are served at once, each for the service time; more are refused with 503
 *   before they run (retry-after, x-not-run).  A POST counts as run when its service time is over.
 *
 * FEED
 *   A datagram "FLOW SEQ" is answered with "SERVER FLOW SEQ".
 */
#include "io/lc-app.h"
#include "io/lc-clock.h"

#include <argtable2.h>
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  LC_BACKEND_DATAGRAM_MAX = 1500,
  LC_BACKEND_MAX_ARCHIVE_KIB = 8192,
  LC_BACKEND_LAG_S = 5,
  LC_BACKEND_LOOP_WAIT_MS = 50,
  LC_BACKEND_DRAIN_US = 5000000,
};

typedef enum
{
  LC_BACKEND_OK,
  LC_BACKEND_LAG,
  LC_BACKEND_FREEZE,
  LC_BACKEND_LIE,
} LcBackendMode;

static const char *const LC_BACKEND_MODES[] = { "ok", "lag", "freeze", "lie", NULL };

typedef struct
{
  char name[LC_NAME_MAX];
  LcSocketAddress http;
  LcSocketAddress feed;
  uint32_t slots;
  uint32_t service_ms;
  char journal[256]; /* a line for each run; empty: none */
} LcBackendSettings;

typedef struct
{
  LcBackendSettings settings;
  h2o_loop_t *loop;
  LcHttp http;
  LcTimer second;
  h2o_socket_t *feed;
  LcBackendMode mode;
  uint32_t busy;
  uint32_t busy_history[LC_BACKEND_LAG_S]; /* one per second, for LC_BACKEND_LAG */
  uint32_t second_index;
  uint64_t runs;
  uint64_t shed;
  uint64_t most_runs;
  int journal_fd;          /* -1: none */
  GHashTable *runs_by_key; /* key -> count */
  GHashTable *flows;       /* set of FLOW */
  uint64_t datagrams;
} LcBackend;

/* One request that holds a slot; allocated in the request's h2o pool. */
typedef struct
{
  LcBackend *backend;
  h2o_req_t *req;
  LcTimer timer;
  bool is_answered;
} LcBackendJob;

static volatile sig_atomic_t lc_backend__stop;

static void
lc_backend__on_signal (int number)
{
  (void)number;
  lc_backend__stop = 1;
}

/* === answers ================================================================================ */

static void
lc_backend__send (h2o_req_t *req, int status, const char *format, ...)
{
  va_list args;
  char *body;

  va_start (args, format);
  body = g_strdup_vprintf (format, args);
  va_end (args);
  lc_http_answer (req, status, NULL, body, strlen (body));
  g_free (body);
}

static void
lc_backend__add_header (h2o_req_t *req, const char *name, const char *value)
{
  h2o_iovec_t copy = h2o_strdup (&req->pool, value, SIZE_MAX);

  h2o_add_header_by_str (&req->pool, &req->res.headers, name, strlen (name), 0, NULL, copy.base,
                         copy.len);
}

static char *
lc_backend__get_header (const h2o_req_t *req, const char *name)
{
  ssize_t at = h2o_find_header_by_str (&req->headers, name, strlen (name), -1);

  if (at < 0)
    return g_strdup ("");
  return g_strndup (req->headers.entries[at].value.base, req->headers.entries[at].value.len);
}

/* The part of the path after `prefix`, or NULL; the caller frees it. */
static char *
lc_backend__path_after (const h2o_req_t *req, const char *prefix)
{
  size_t len = strlen (prefix);

  if (req->path_normalized.len < len || memcmp (req->path_normalized.base, prefix, len) != 0)
    return NULL;
  return g_strndup (req->path_normalized.base + len, req->path_normalized.len - len);
}

static bool
lc_backend__method_is (const h2o_req_t *req, const char *method)
{
  return h2o_memis (req->method.base, req->method.len, method, strlen (method));
}

/* Keys and ids go into JSON unescaped: replaces characters that would need escaping. */
static void
lc_backend__replace_unsafe (char *text)
{
  for (char *p = text; *p != '\0'; p++)
    if (!g_ascii_isprint (*p) || *p == '"' || *p == '\\')
      *p = '_';
}

/* === work =================================================================================== */

/* One write per line: a kill leaves whole lines of all counted runs. */
static void
lc_backend__append_journal (LcBackend *b, const char *key)
{
  char *line;

  if (b->journal_fd < 0)
    return;
  line = g_strdup_printf ("%s %s\n", key, b->settings.name);
  if (write (b->journal_fd, line, strlen (line)) < 0)
    (void)fprintf (stderr, "error (io): the journal of runs: %s\n", g_strerror (errno));
  g_free (line);
}

static uint64_t
lc_backend__count_run (LcBackend *b, const char *key)
{
  uint64_t n = GPOINTER_TO_SIZE (g_hash_table_lookup (b->runs_by_key, key)) + 1;

  g_hash_table_insert (b->runs_by_key, g_strdup (key), GSIZE_TO_POINTER (n));
  b->runs++;
  b->most_runs = MAX (b->most_runs, n);
  lc_backend__append_journal (b, key);
  return n;
}

static void
lc_backend__run_order (LcBackend *b, h2o_req_t *req)
{
  char *key = lc_backend__get_header (req, "idempotency-key");
  uint64_t run;

  lc_backend__replace_unsafe (key);
  run = lc_backend__count_run (b, key);
  lc_backend__send (
      req, 200, "{\"key\":\"%s\",\"server\":\"%s\",\"run\":%" G_GUINT64_FORMAT ",\"length\":%zu}\n",
      key, b->settings.name, (guint64)run, req->entity.len);
  g_free (key);
}

static void
lc_backend__send_archive (h2o_req_t *req, const char *size)
{
  guint64 kib = 0;
  GString *body;
  gchar *checksum;

  if (!g_ascii_string_to_unsigned (size, 10, 1, LC_BACKEND_MAX_ARCHIVE_KIB, &kib, NULL))
    {
      lc_backend__send (req, 404, "{\"error\":\"no such archive\"}\n");
      return;
    }
  body = g_string_sized_new (kib * 1024);
  for (guint64 line = 0; line < kib * 16; line++)
    g_string_append_printf (body,
                            "archive %08" G_GUINT64_FORMAT " line %08" G_GUINT64_FORMAT "%*s\n",
                            kib, line, 33, "ticket");
  checksum = g_compute_checksum_for_string (G_CHECKSUM_SHA256, body->str, (gssize)body->len);
  lc_backend__add_header (req, "x-sha256", checksum);
  lc_http_answer (req, 200, "text/plain", body->str, body->len);
  g_free (checksum);
  g_string_free (body, TRUE);
}

static void
lc_backend__send_order (LcBackend *b, h2o_req_t *req, char *id)
{
  lc_backend__replace_unsafe (id);
  lc_backend__send (req, 200, "{\"id\":\"%s\",\"server\":\"%s\"}\n", id, b->settings.name);
}

static void
lc_backend__answer_get (LcBackend *b, h2o_req_t *req)
{
  static const char *const ORDERS[] = { "/orders/", "/transfers/" };
  static const char *const ARCHIVES[] = { "/tickets/", "/statements/" };

  for (size_t i = 0; i < G_N_ELEMENTS (ORDERS); i++)
    {
      char *id = lc_backend__path_after (req, ORDERS[i]);
      char *size = lc_backend__path_after (req, ARCHIVES[i]);

      if (id != NULL)
        lc_backend__send_order (b, req, id);
      else if (size != NULL)
        lc_backend__send_archive (req, size);
      g_free (id);
      g_free (size);
      if (id != NULL || size != NULL)
        return;
    }
  lc_backend__send (req, 404, "{\"error\":\"nothing is served here\"}\n");
}

/* === slots ================================================================================== */

static void
lc_backend__on_job_done (void *user)
{
  LcBackendJob *job = user;

  job->is_answered = true;
  if (lc_backend__method_is (job->req, "POST"))
    lc_backend__run_order (job->backend, job->req);
  else
    lc_backend__answer_get (job->backend, job->req);
}

/* Frees the slot, also when the connection closes before the answer. */
static void
lc_backend__dispose_job (void *data)
{
  LcBackendJob *job = data;

  lc_timer_finish (&job->timer);
  job->backend->busy--;
}

static void
lc_backend__start_job (LcBackend *b, h2o_req_t *req)
{
  LcBackendJob *job;

  if (b->busy >= b->settings.slots)
    {
      b->shed++;
      lc_backend__add_header (req, "retry-after", "1");
      lc_backend__add_header (req, "x-not-run", "1");
      lc_backend__send (req, 503, "{\"error\":\"all slots are busy\"}\n");
      return;
    }
  job = h2o_mem_alloc_shared (&req->pool, sizeof *job, lc_backend__dispose_job);
  job->backend = b;
  job->req = req;
  job->is_answered = false;
  b->busy++;
  lc_timer_init (&job->timer, b->loop, lc_backend__on_job_done, job);
  lc_timer_start (&job->timer, b->settings.service_ms);
}

/* === health, load and checks ================================================================ */

static void
lc_backend__send_load (LcBackend *b, h2o_req_t *req)
{
  uint32_t busy = b->busy;

  if (b->mode == LC_BACKEND_LAG)
    busy = b->busy_history[b->second_index];
  if (b->mode == LC_BACKEND_LIE)
    busy = 0;
  lc_backend__send (req, 200, "{\"slots\":%u,\"busy\":%u,\"shed\":%" G_GUINT64_FORMAT "}\n",
                    b->settings.slots, busy, (guint64)b->shed);
}

static void
lc_backend__send_runs (LcBackend *b, h2o_req_t *req, const char *key)
{
  guint64 n = GPOINTER_TO_SIZE (g_hash_table_lookup (b->runs_by_key, key));

  if (key[0] != '\0')
    lc_backend__send (req, 200, "{\"server\":\"%s\",\"runs\":%" G_GUINT64_FORMAT "}\n",
                      b->settings.name, n);
  else
    lc_backend__send (req, 200,
                      "{\"server\":\"%s\",\"total\":%" G_GUINT64_FORMAT
                      ",\"keys\":%u,\"most_runs_of_a_key\":%" G_GUINT64_FORMAT "}\n",
                      b->settings.name, (guint64)b->runs, g_hash_table_size (b->runs_by_key),
                      (guint64)b->most_runs);
}

static void
lc_backend__set_mode (LcBackend *b, h2o_req_t *req, const char *word)
{
  for (int i = 0; LC_BACKEND_MODES[i] != NULL; i++)
    if (strcmp (LC_BACKEND_MODES[i], word) == 0)
      {
        b->mode = (LcBackendMode)i;
        lc_backend__send (req, 200, "{\"mode\":\"%s\"}\n", word);
        return;
      }
  lc_backend__send (req, 404, "{\"error\":\"mode is ok, lag, freeze or lie\"}\n");
}

static bool
lc_backend__answer_fixture (LcBackend *b, h2o_req_t *req)
{
  char *mode = lc_backend__path_after (req, "/mode/");
  char *runs = lc_backend__path_after (req, "/runs");
  bool is_known = true;

  if (mode != NULL && lc_backend__method_is (req, "POST"))
    lc_backend__set_mode (b, req, mode);
  else if (runs != NULL)
    lc_backend__send_runs (b, req, runs[0] == '/' ? runs + 1 : runs);
  else if (h2o_memis (req->path_normalized.base, req->path_normalized.len, H2O_STRLIT ("/feed")))
    lc_backend__send (req, 200,
                      "{\"server\":\"%s\",\"datagrams\":%" G_GUINT64_FORMAT ",\"flows\":%u}\n",
                      b->settings.name, (guint64)b->datagrams, g_hash_table_size (b->flows));
  else
    is_known = false;
  g_free (mode);
  g_free (runs);
  return is_known;
}

static bool
lc_backend__answer_health (LcBackend *b, h2o_req_t *req)
{
  bool is_load =
      h2o_memis (req->path_normalized.base, req->path_normalized.len, H2O_STRLIT ("/load"));
  bool is_health =
      h2o_memis (req->path_normalized.base, req->path_normalized.len, H2O_STRLIT ("/healthz"));

  if (!is_load && !is_health)
    return false;
  if (b->mode == LC_BACKEND_FREEZE)
    return true; /* h2o frees the request when its caller disconnects */
  if (is_load)
    lc_backend__send_load (b, req);
  else
    lc_backend__send (req, 200, "{\"status\":\"ok\"}\n");
  return true;
}

static int
lc_backend__on_request (void *user, h2o_req_t *req)
{
  LcBackend *b = user;

  if (!lc_backend__answer_health (b, req) && !lc_backend__answer_fixture (b, req))
    lc_backend__start_job (b, req);
  return 0;
}

static void
lc_backend__record_busy (void *user)
{
  LcBackend *b = user;

  b->busy_history[b->second_index] = b->busy;
  b->second_index = (b->second_index + 1) % LC_BACKEND_LAG_S;
  lc_timer_start (&b->second, 1000);
}

/* === feed =================================================================================== */

static void
lc_backend__answer_datagram (
    LcBackend *b, int fd, char *text, size_t len, const struct sockaddr_in *from)
{
  char answer[LC_BACKEND_DATAGRAM_MAX + LC_NAME_MAX + 2];
  char *space;
  int n;

  text[len] = '\0';
  space = strchr (text, ' ');
  if (space == NULL)
    return;
  b->datagrams++;
  g_hash_table_add (b->flows, g_strndup (text, (gsize)(space - text)));
  n = snprintf (answer, sizeof answer, "%s %s", b->settings.name, text);
  (void)sendto (fd, answer, (size_t)n, 0, (const struct sockaddr *)from, sizeof *from);
}

static void
lc_backend__on_datagrams (h2o_socket_t *socket, const char *err)
{
  LcBackend *b = socket->data;
  int fd = h2o_socket_get_fd (socket);

  for (;;)
    {
      char text[LC_BACKEND_DATAGRAM_MAX + 1];
      struct sockaddr_in from;
      socklen_t from_len = sizeof from;
      ssize_t n = recvfrom (fd, text, LC_BACKEND_DATAGRAM_MAX, MSG_DONTWAIT,
                            (struct sockaddr *)&from, &from_len);

      if (n < 0)
        return;
      lc_backend__answer_datagram (b, fd, text, (size_t)n, &from);
    }
}

static int
lc_backend__open_feed (LcBackend *b)
{
  struct sockaddr_in address = { .sin_family = AF_INET,
                                 .sin_port = htons (b->settings.feed.port),
                                 .sin_addr.s_addr = htonl (b->settings.feed.ipv4) };
  int fd = socket (AF_INET, SOCK_DGRAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);

  if (fd < 0 || bind (fd, (struct sockaddr *)&address, sizeof address) < 0)
    {
      (void)fprintf (stderr, "error (io): can't open the feed's port: %s\nremedy: free the port\n",
                     g_strerror (errno));
      return -1;
    }
  b->feed = h2o_evloop_socket_create (b->loop, fd, H2O_SOCKET_FLAG_DONT_READ);
  b->feed->data = b;
  h2o_socket_read_start (b->feed, lc_backend__on_datagrams);
  return 0;
}

/* === program ================================================================================ */

static int
lc_backend__start (LcBackend *b)
{
  LcHttpDesc desc = { .ipv4 = b->settings.http.ipv4,
                      .port = b->settings.http.port,
                      .max_body_bytes = 16 << 20,
                      .user = b,
                      .request = lc_backend__on_request };
  LcError error = { 0 };

  b->journal_fd = -1;
  if (b->settings.journal[0] != '\0')
    b->journal_fd = open (b->settings.journal, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  if (b->settings.journal[0] != '\0' && b->journal_fd < 0)
    {
      (void)fprintf (stderr, "error (io): %s: %s\nremedy: give a writable file to --journal\n",
                     b->settings.journal, g_strerror (errno));
      return -1;
    }
  b->loop = h2o_evloop_create ();
  b->runs_by_key = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  b->flows = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  desc.loop = b->loop;
  if (lc_http_init (&b->http, &desc, &error) < 0)
    {
      lc_error_print (stderr, &error);
      return -1;
    }
  lc_timer_init (&b->second, b->loop, lc_backend__record_busy, b);
  lc_timer_start (&b->second, 1000);
  return lc_backend__open_feed (b);
}

/* Runs until a signal, then until the requests in flight are answered. */
static void
lc_backend__run (LcBackend *b)
{
  int64_t deadline_us = 0;

  while (deadline_us == 0 || (b->busy > 0 && lc_clock_now_us () < deadline_us))
    {
      (void)h2o_evloop_run (b->loop, LC_BACKEND_LOOP_WAIT_MS);
      if (!lc_backend__stop || deadline_us != 0)
        continue;
      lc_http_stop_accepting (&b->http);
      deadline_us = lc_clock_now_us () + LC_BACKEND_DRAIN_US;
    }
}

static void
lc_backend__finish (LcBackend *b)
{
  lc_timer_finish (&b->second);
  h2o_socket_close (b->feed);
  lc_http_finish (&b->http);
  g_hash_table_destroy (b->runs_by_key);
  g_hash_table_destroy (b->flows);
}

static bool
lc_backend__parse (LcBackendSettings *s, int argc, char **argv)
{
  struct arg_str *name = arg_str1 (NULL, "name", "NAME", "name of this server");
  struct arg_str *http = arg_str1 (NULL, "http", "ADDR:PORT", "HTTP address");
  struct arg_str *feed = arg_str1 (NULL, "feed", "ADDR:PORT", "UDP address of the feed");
  struct arg_int *slots = arg_int0 (NULL, "slots", "N", "requests run at once (4)");
  struct arg_int *service = arg_int0 (NULL, "service-ms", "MS", "time of one request (5)");
  struct arg_file *journal = arg_file0 (NULL, "journal", "FILE", "append a line for each run");
  struct arg_end *end = arg_end (8);
  void *table[] = { name, http, feed, slots, service, journal, end };
  bool is_valid;

  slots->ival[0] = 4;
  service->ival[0] = 5;
  is_valid = arg_parse (argc, argv, table) == 0 && slots->ival[0] > 0 && service->ival[0] >= 0 &&
             lc_settings_parse_address (http->sval[0], &s->http) == 0 &&
             lc_settings_parse_address (feed->sval[0], &s->feed) == 0;
  if (is_valid)
    {
      (void)g_strlcpy (s->name, name->sval[0], sizeof s->name);
      s->slots = (uint32_t)slots->ival[0];
      s->service_ms = (uint32_t)service->ival[0];
      if (journal->count > 0)
        (void)g_strlcpy (s->journal, journal->filename[0], sizeof s->journal);
    }
  else
    {
      arg_print_errors (stderr, end, "lychee-demo-backend");
      (void)fputs ("Usage: lychee-demo-backend", stderr);
      arg_print_syntax (stderr, table, "\n");
    }
  arg_freetable (table, G_N_ELEMENTS (table));
  return is_valid;
}

int
main (int argc, char **argv)
{
  static LcBackend backend;
  struct sigaction action = { .sa_handler = lc_backend__on_signal };

  if (!lc_backend__parse (&backend.settings, argc, argv))
    return 2;
  (void)sigaction (SIGTERM, &action, NULL);
  (void)sigaction (SIGINT, &action, NULL);
  (void)signal (SIGPIPE, SIG_IGN);
  if (lc_backend__start (&backend) < 0)
    return 1;
  lc_backend__run (&backend);
  lc_backend__finish (&backend);
  return 0;
}
