/* Metrics text and JSON log lines as programs read them, and the admin HTTP port. */
#include "io/lc-clock.h"
#include "io/lc-flow-log.h"
#include "io/lc-http.h"
#include "io/lc-log.h"
#include "io/lc-metrics.h"
#include "io/lc-request-log.h"
#include "tests/fakes/lc-fake-run.h"

#include <arpa/inet.h>
#include <check.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  HOST = 0x7f230002,
  LIVENESS_US = 20000000,
};

/* === metrics ================================================================================ */

START_TEST (test_metrics_text)
{
  LcMetrics m;
  LcMetric *a;
  char *text;

  lc_metrics_init (&m);
  a = lc_metrics_counter (&m, "a_total", "First", "service=\"x\"");
  lc_metric_set (lc_metrics_gauge (&m, "b", "Second", NULL), -5);
  lc_metric_add (lc_metrics_counter (&m, "a_total", "First", "service=\"y\""), 2);
  lc_metric_add (a, 40);
  ck_assert_ptr_eq (a, lc_metrics_counter (&m, "a_total", "First", "service=\"x\""));
  lc_metric_add (a, 1);
  text = lc_metrics_text (&m);
  ck_assert_str_eq (text, "# HELP a_total First\n# TYPE a_total counter\n"
                          "a_total{service=\"x\"} 41\na_total{service=\"y\"} 2\n"
                          "# HELP b Second\n# TYPE b gauge\nb -5\n");
  g_free (text);
  lc_metrics_finish (&m);
}
END_TEST

/* Observations and the first bucket that holds them; Prometheus' bounds are inclusive. */
static const struct
{
  int64_t us;
  const char *line;
} BUCKETS[] = {
  { -1, "h_bucket{le=\"0.0001\"} 1\n" },     { 0, "h_bucket{le=\"0.0001\"} 1\n" },
  { 100, "h_bucket{le=\"0.0001\"} 1\n" },    { 101, "h_bucket{le=\"0.0002\"} 1\n" },
  { 30000000, "h_bucket{le=\"30\"} 1\n" },   { 30000001, "h_bucket{le=\"30\"} 0\n" },
  { 30000001, "h_bucket{le=\"+Inf\"} 1\n" }, { 500000, "h_sum{} 0.500000\nh_count{} 1\n" },
};

START_TEST (test_histogram)
{
  LcMetrics m;
  char *text;

  lc_metrics_init (&m);
  lc_metric_observe_us (lc_metrics_histogram (&m, "h", "H", NULL), BUCKETS[_i].us);
  text = lc_metrics_text (&m);
  ck_assert_msg (strstr (text, BUCKETS[_i].line) != NULL, "%s", text);
  g_free (text);
  lc_metrics_finish (&m);
}
END_TEST

/* === logs =================================================================================== */

static const char *const TEXTS[] = { "plain",
                                     "",
                                     "quote \" and \\ backslash",
                                     "line\nbreak\ttab",
                                     "\x01\x1f\x7f",
                                     "caf\xc3\xa9",
                                     "\xff\xfe invalid UTF-8" };

/* The one line of JSON that `write_line` writes to standard output. */
static json_t *
line_of (void (*write_line) (const void *user), const void *user)
{
  char path[] = "/tmp/lychee-test-log.XXXXXX";
  int fd = mkstemp (path);
  int saved = dup (STDOUT_FILENO);
  json_t *line;

  (void)fflush (stdout);
  (void)dup2 (fd, STDOUT_FILENO);
  write_line (user);
  (void)dup2 (saved, STDOUT_FILENO);
  close (saved);
  close (fd);
  line = json_load_file (path, JSON_REJECT_DUPLICATES, NULL); /* refuses a second line */
  unlink (path);
  return line;
}

static void
write_text (const void *user)
{
  LC_DEBUG ("test.hidden");
  LC_INFO ("test.event", "text", LC_STR (user), "u", LC_U64 (UINT64_C (9007199254740993)), "i",
           LC_I64 (-3), "d", LC_DBL (0.5));
}

/* === decision logs ========================================================================== */

static const LcFlowKey FLOW = {
  .source_ipv4 = 0x7f000001, .source_port = 1034, .target_ipv4 = 0xc6120001, .target_port = 8443
};

/* A line has the flow, the inputs and the outcome, whichever program wrote it. */
static const struct
{
  LcFlowLogLine line;
  const char *json; /* without time, level, program and name */
} FLOW_LINES[] = {
  { { .kind = LC_FLOW_LOG_DROPPED, .key = &FLOW, .why = "no-service" },
    "{\"event\":\"flow.dropped\",\"flow\":\"127.0.0.1:1034>198.18.0.1:8443\",\"why\":\"no-"
    "service\"}" },
  { { .kind = LC_FLOW_LOG_STEERED,
      .key = &FLOW,
      .to = { .ipv4 = 0x0a010002, .port = 7100 },
      .revision = 9,
      .view_age_us = 42000,
      .n_copies = 1 },
    "{\"event\":\"flow.steered\",\"flow\":\"127.0.0.1:1034>198.18.0.1:8443\",\"to\":\"10.1.0.2:"
    "7100\","
    "\"revision\":9,\"view_age_ms\":42,\"copies\":1}" },
  { { .kind = LC_FLOW_LOG_LATE,
      .key = &FLOW,
      .why = "answered late",
      .n_at_work = 4,
      .after_us = 170000 },
    "{\"event\":\"flow.late\",\"flow\":\"127.0.0.1:1034>198.18.0.1:8443\",\"why\":\"answered "
    "late\","
    "\"at_work\":4,\"after_ms\":170}" },
  { { .kind = LC_FLOW_LOG_RELEASED,
      .key = &FLOW,
      .why = "a home refused its registration",
      .to = { .ipv4 = 0x7f000002, .port = 7720 } },
    "{\"event\":\"flow.released\",\"flow\":\"127.0.0.1:1034>198.18.0.1:8443\","
    "\"why\":\"a home refused its registration\",\"to\":\"127.0.0.2:7720\"}" },
  { { .kind = LC_FLOW_LOG_SEARCHED, .key = &FLOW, .n_asked = 6 },
    "{\"event\":\"flow.searched\",\"flow\":\"127.0.0.1:1034>198.18.0.1:8443\",\"asked\":6}" },
};

static void
write_flow (const void *user)
{
  LcFlowLog log = { 0 };

  lc_flow_log (&log, user, 1);
}

/* Checks that `write` logs `line` as `json` plus the fields of every line. */
static void
check_line (void (*write) (const void *user), const void *line, const char *json)
{
  static const char *const COMMON[] = { "time", "level", "program", "name" };
  json_t *wanted = json_loads (json, 0, NULL);
  json_t *written;

  lc_log_init (LC_LOG_INFO, "lychee-test", "vm-1");
  written = line_of (write, line);
  ck_assert_ptr_nonnull (written);
  ck_assert_ptr_nonnull (wanted);
  for (size_t i = 0; i < G_N_ELEMENTS (COMMON); i++)
    ck_assert_int_eq (json_object_del (written, COMMON[i]), 0);
  ck_assert (json_equal (written, wanted));
  json_decref (written);
  json_decref (wanted);
}

START_TEST (test_flow_lines)
{
  check_line (write_flow, &FLOW_LINES[_i].line, FLOW_LINES[_i].json);
}
END_TEST

static const struct
{
  LcRequestLogLine line;
  const char *json; /* without time, level, program and name */
} REQUEST_LINES[] = {
  { { .kind = LC_REQUEST_LOG_SENT,
      .id = { 1, 2 },
      .key = { 3, 4 },
      .caller_key = "order-17 and what follows it",
      .caller_key_len = 8,
      .service = "order-desk",
      .attempt = 1,
      .to = { .ipv4 = 0x0a010002, .port = 7000 },
      .left_us = 2950000 },
    "{\"event\":\"request.sent\",\"request\":\"00000000000000010000000000000002\",\"key\":"
    "\"00000000000000030000000000000004\",\"caller_key\":\"order-17\",\"service\":\"order-desk\","
    "\"attempt\":1,\"to\":\"10.1.0.2:7000\",\"left_ms\":2950}" },
  { { .kind = LC_REQUEST_LOG_FAILED,
      .id = { 1, 2 },
      .why = "deadline",
      .outcome = "unknown",
      .took_us = 2951000,
      .retry_after_us = 10000 },
    "{\"event\":\"request.failed\",\"request\":\"00000000000000010000000000000002\",\"why\":"
    "\"deadline\",\"outcome\":\"unknown\",\"took_ms\":2951,\"retry_after_ms\":10}" },
  { { .kind = LC_REQUEST_LOG_CLAIM, .key = { 3, 4 }, .why = "not-ready", .member = { 7, 1 } },
    "{\"event\":\"request.claim-refused\",\"key\":\"00000000000000030000000000000004\",\"why\":"
    "\"not-ready\",\"endpoint\":7}" },
};

static void
write_request (const void *user)
{
  LcRequestLog log = { 0 };

  lc_request_log (&log, user, 1);
}

START_TEST (test_request_lines)
{
  check_line (write_request, &REQUEST_LINES[_i].line, REQUEST_LINES[_i].json);
}
END_TEST

/* A flood of one kind is cut off at its budget, counted in the next line, and displaces no other
 * kind. */
enum
{
  N_FLOOD = 1000,
  FLOOD_SECONDS = 3,
};

static void
write_flood (void)
{
  LcFlowLogLine good = { .kind = LC_FLOW_LOG_ASSIGNED, .key = &FLOW };
  LcFlowLogLine bad = { .kind = LC_FLOW_LOG_DROPPED, .key = &FLOW, .why = "no-service" };
  LcFlowLog log = { 0 };

  for (int s = 0; s < FLOOD_SECONDS; s++)
    for (int i = 0; i < N_FLOOD; i++)
      {
        int64_t now_us = LC_US_PER_S * (s + 1) + i;

        lc_flow_log (&log, &good, now_us);
        if (i == N_FLOOD - 1)
          lc_flow_log (&log, &bad, now_us);
      }
}

START_TEST (test_flow_flood_is_cut_off)
{
  char path[] = "/tmp/lychee-test-flood.XXXXXX";
  int fd = mkstemp (path);
  int saved = dup (STDOUT_FILENO);
  uint32_t n_good = 0;
  uint32_t n_bad = 0;
  json_int_t n_left_out = 0;
  FILE *in;
  char text[1024];

  lc_log_init (LC_LOG_INFO, "lychee-test", "vm-1");
  (void)fflush (stdout);
  (void)dup2 (fd, STDOUT_FILENO);
  write_flood ();
  (void)dup2 (saved, STDOUT_FILENO);
  close (saved);
  close (fd);
  in = fopen (path, "r");
  while (fgets (text, sizeof text, in) != NULL)
    {
      json_t *line = json_loads (text, 0, NULL);
      const char *event = json_string_value (json_object_get (line, "event"));

      if (event == NULL)
        continue;
      n_good += strcmp (event, "flow.assigned") == 0;
      n_bad += strcmp (event, "flow.dropped") == 0;
      n_left_out += json_integer_value (json_object_get (line, "left_out"));
      json_decref (line);
    }
  (void)fclose (in);
  unlink (path);
  ck_assert_uint_eq (n_bad, FLOOD_SECONDS);
  ck_assert_uint_le (n_good + n_bad, FLOOD_SECONDS * LC_FLOW_LOG_PER_S);
  ck_assert_uint_ge (n_good, FLOOD_SECONDS);
  /* Lines suppressed in the last second would be counted by a next line, and there is none. */
  ck_assert_int_eq (n_left_out, (FLOOD_SECONDS - 1) * (N_FLOOD - n_good / FLOOD_SECONDS));
}
END_TEST

START_TEST (test_log_line)
{
  json_t *line;

  lc_log_init (LC_LOG_INFO, "lychee-test", "vm-1");
  line = line_of (write_text, TEXTS[_i]);
  ck_assert_ptr_nonnull (line);
  ck_assert_str_eq (json_string_value (json_object_get (line, "event")), "test.event");
  ck_assert_str_eq (json_string_value (json_object_get (line, "level")), "info");
  ck_assert_str_eq (json_string_value (json_object_get (line, "program")), "lychee-test");
  ck_assert_str_eq (json_string_value (json_object_get (line, "name")), "vm-1");
  ck_assert_int_eq (json_integer_value (json_object_get (line, "u")), 9007199254740993);
  ck_assert_int_eq (json_integer_value (json_object_get (line, "i")), -3);
  ck_assert (json_is_string (json_object_get (line, "time")));
  if (_i < 4)
    ck_assert_str_eq (json_string_value (json_object_get (line, "text")), TEXTS[_i]);
  json_decref (line);
}
END_TEST

/* A slow reader of the log doesn't block the process, and is told how many lines were dropped. */
START_TEST (test_log_never_blocks)
{
  enum
  {
    N_LINES = 2000, /* far more than a pipe holds */
    PIPE_BYTES = 1 << 16,
  };
  char *text = g_malloc0 (2 * PIPE_BYTES);
  int saved = dup (STDOUT_FILENO);
  int ends[2];
  uint64_t dropped;

  lc_log_init (LC_LOG_INFO, "lychee-test", "vm-1");
  ck_assert_int_eq (pipe (ends), 0);
  (void)fflush (stdout);
  (void)dup2 (ends[1], STDOUT_FILENO);
  for (int i = 0; i < N_LINES; i++)
    LC_INFO ("test.event", "i", LC_I64 (i));
  dropped = lc_log_dropped_total ();
  ck_assert_int_gt (read (ends[0], text, PIPE_BYTES), 0);
  LC_INFO ("test.after");
  (void)dup2 (saved, STDOUT_FILENO);
  close (saved);
  close (ends[1]);
  memset (text, 0, (size_t)2 * PIPE_BYTES);
  for (size_t at = 0; at < (size_t)2 * PIPE_BYTES - 1;)
    {
      ssize_t n = read (ends[0], text + at, (size_t)2 * PIPE_BYTES - 1 - at);

      if (n <= 0)
        break;
      at += (size_t)n;
    }
  close (ends[0]);
  ck_assert_uint_gt (dropped, 0);
  ck_assert_ptr_nonnull (strstr (text, "log.dropped"));
  ck_assert_ptr_nonnull (strstr (text, "test.after"));
  g_free (text);
}
END_TEST

START_TEST (test_log_limit)
{
  LcLogLimit limit = { 0 };
  int allowed = 0;

  for (int i = 0; i < 100; i++)
    allowed += lc_log_allow (&limit, 5000000 + i, 3);
  ck_assert_int_eq (allowed, 3);
  ck_assert_uint_eq (limit.suppressed_total, 97);
  ck_assert (lc_log_allow (&limit, 6000000, 3));
}
END_TEST

/* === the admin port ========================================================================= */

static bool
is_ready (void *user)
{
  return *(bool *)user;
}

static char *
get (h2o_loop_t *loop, uint16_t port, const char *request)
{
  struct sockaddr_in address = { .sin_family = AF_INET,
                                 .sin_port = htons (port),
                                 .sin_addr.s_addr = htonl (HOST) };
  int64_t limit_us = lc_clock_now_us () + LIVENESS_US;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  GString *answer = g_string_new (NULL);
  char bytes[4096];
  ssize_t n = -1;

  ck_assert_int_eq (connect (fd, (struct sockaddr *)&address, sizeof address), 0);
  ck_assert_int_eq (write (fd, request, strlen (request)), (ssize_t)strlen (request));
  while (n != 0 && lc_clock_now_us () < limit_us)
    {
      (void)h2o_evloop_run (loop, 10);
      n = recv (fd, bytes, sizeof bytes, MSG_DONTWAIT);
      if (n > 0)
        g_string_append_len (answer, bytes, n);
    }
  close (fd);
  (void)h2o_evloop_run (loop, 10);
  return g_string_free (answer, FALSE);
}

static const struct
{
  const char *request;
  bool is_ready;
  const char *wants[2];
} REQUESTS[] = {
  { "GET /metrics HTTP/1.0\r\n\r\n", true, { " 200 OK", "# TYPE x_total counter\nx_total 7\n" } },
  { "GET /healthz HTTP/1.0\r\n\r\n", false, { " 200 OK", "\"ok\"" } },
  { "GET /readyz HTTP/1.0\r\n\r\n", true, { " 200 OK", "\"ok\"" } },
  { "GET /readyz HTTP/1.0\r\n\r\n", false, { " 503 ", "not-ready" } },
  { "GET /nothing HTTP/1.0\r\n\r\n", true, { " 404 ", "\"remedy\":" } },
  { "GET /\"\\ HTTP/1.0\r\n\r\n", true, { " 404 ", "\\u0022\\u005c" } },
  { "POST /metrics HTTP/1.0\r\n\r\n", true, { " 404 ", "\"remedy\":" } },
  { "\x16\x03\x01 not HTTP\r\n\r\n", true, { "400", "" } },
};

static uint16_t
free_port (void)
{
  struct sockaddr_in address = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (HOST) };
  socklen_t len = sizeof address;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  ck_assert_int_eq (bind (fd, (struct sockaddr *)&address, len), 0);
  ck_assert_int_eq (getsockname (fd, (struct sockaddr *)&address, &len), 0);
  close (fd);
  return ntohs (address.sin_port);
}

START_TEST (test_admin)
{
  bool ready = REQUESTS[_i].is_ready;
  h2o_loop_t *loop = h2o_evloop_create ();
  uint16_t port = free_port ();
  LcMetrics m;
  LcHttp http;
  LcHttpDesc desc = {
    .loop = loop, .ipv4 = HOST, .port = port, .metrics = &m, .is_ready = is_ready, .user = &ready
  };
  LcError error = { 0 };
  char *answer;

  lc_metrics_init (&m);
  lc_metric_add (lc_metrics_counter (&m, "x_total", "X", NULL), 7);
  ck_assert_msg (lc_http_init (&http, &desc, &error) == 0, "%s", error.message);
  answer = get (loop, port, REQUESTS[_i].request);
  for (int i = 0; i < 2; i++)
    ck_assert_msg (strstr (answer, REQUESTS[_i].wants[i]) != NULL, "%s", answer);
  g_free (answer);
  lc_http_stop_accepting (&http);
  lc_http_finish (&http); /* h2o aborts here if something is left behind */
  lc_metrics_finish (&m);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("observe");
  TCase *tcase = tcase_create ("text");

  tcase_set_timeout (tcase, 60);
  tcase_add_test (tcase, test_metrics_text);
  tcase_add_loop_test (tcase, test_histogram, 0, G_N_ELEMENTS (BUCKETS));
  tcase_add_loop_test (tcase, test_flow_lines, 0, (int)G_N_ELEMENTS (FLOW_LINES));
  tcase_add_loop_test (tcase, test_request_lines, 0, (int)G_N_ELEMENTS (REQUEST_LINES));
  tcase_add_test (tcase, test_flow_flood_is_cut_off);
  tcase_add_loop_test (tcase, test_log_line, 0, G_N_ELEMENTS (TEXTS));
  tcase_add_test (tcase, test_log_never_blocks);
  tcase_add_test (tcase, test_log_limit);
  tcase_add_loop_test (tcase, test_admin, 0, G_N_ELEMENTS (REQUESTS));
  suite_add_tcase (suite, tcase);
  return lc_fake_run (suite);
}
