/* Guards against lines of a flow or request that are missed, out of order or of another flow. */
#include "cli/lc-explain.h"
#include "core/lc-types.h"
#include "tests/fakes/lc-fake-run.h"

#include <check.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define AT(second, program, name, event, more)                                                     \
  "{\"time\":\"2026-08-05T13:00:" second "Z\",\"level\":\"info\",\"program\":\"" program           \
  "\",\"name\":\"" name "\",\"event\":\"" event "\"" more "}\n"
#define OF(flow) ",\"flow\":\"" flow "\""
#define ONE "10.0.0.7:40001>198.18.0.1:443"
#define TWO "10.0.0.70:40001>198.18.0.1:443"
#define OTHER "10.0.0.7:40002>198.18.0.2:443"

/* Two files, not in time order; one line has a log collector's prefix. */
static const char *const FILES[] = {
  "edge-1 | " AT ("10.000100", "lychee-balancer", "lb-1", "flow.steered", OF (ONE))
      AT ("10.900000", "lychee-balancer", "lb-1", "view.applied", "")
          AT ("30.000000", "lychee-balancer", "lb-1", "app.stopped", "")
              AT ("10.500000", "lychee-balancer", "lb-2", "view.applied", "")
                  AT ("10.100000", "lychee-control", "c-1", "control.leader", "")
                      AT ("10.100000",
                          "lychee-control",
                          "c-1",
                          "control.peer-up",
                          "") "no log line\n{\"time\":\"never\"}\n{cut short",
  AT ("11.200000", "lychee-agent", "order-1", "flow.returned", OF (ONE))
      AT ("10.000300", "lychee-agent", "order-1", "flow.assigned", OF (ONE))
          AT ("12.000000", "lychee-agent", "order-1", "flow.assigned", OF (TWO))
              AT ("13.000000", "lychee-agent", "order-1", "flow.late", OF (OTHER))
};

static void
load_text (LcExplainLog *log, const char *text)
{
  char path[] = "/tmp/lychee-test-explain.XXXXXX";
  int fd = mkstemp (path);
  LcError error = { 0 };

  ck_assert_int_eq (write (fd, text, strlen (text)), (ssize_t)strlen (text));
  close (fd);
  ck_assert_int_eq (lc_explain_read (log, path, &error), 0);
  unlink (path);
}

static void
load (LcExplainLog *log)
{
  lc_explain_init (log);
  for (size_t i = 0; i < G_N_ELEMENTS (FILES); i++)
    load_text (log, FILES[i]);
  lc_explain_sort (log);
}

static const struct
{
  const char *flow;
  int64_t around_us;
  uint32_t n_lines;
  const char *events[8]; /* in order; NULL ends */
} FLOWS[] = {
  { ONE,
    0,
    3,
    { "flow.steered", "flow.assigned", "control.leader", "view.applied", "flow.returned" } },
  { ONE,
    20 * LC_US_PER_S,
    3,
    { "flow.steered", "flow.assigned", "control.leader", "view.applied", "flow.returned",
      "app.stopped" } },
  { TWO, 0, 1, { "flow.assigned" } },
  { "10.0.0.7:4000>198.18.0.1:443", 0, 0, { NULL } },
};

#define REQUEST(request) ",\"request\":\"" request "\""
#define KEY(key) ",\"key\":\"" key "\""

/* Two copies of one order through two balancers; some lines have only the copy's id or the key. */
static const char ORDERS[] = AT ("10.000000",
                                 "lychee-balancer",
                                 "lb-1",
                                 "request.sent",
                                 REQUEST ("0a") KEY ("ff") ",\"caller_key\":\"order-17\"")
    AT ("10.100000", "lychee-agent", "desk-1", "request.held-up", REQUEST ("0a") KEY ("ff")) AT (
        "10.150000", "lychee-agent", "desk-2", "request.claim-refused", KEY ("ff"))
        AT ("10.200000", "lychee-balancer", "lb-1", "request.failed", REQUEST ("0a")) AT (
            "10.300000", "lychee-balancer", "lb-2", "request.sent", REQUEST ("0b") KEY ("ff"))
            AT ("10.400000", "lychee-agent", "desk-2", "request.started", REQUEST ("0b")) AT (
                "10.500000", "lychee-balancer", "lb-2", "request.sent", REQUEST ("0c") KEY ("fe"));

/* Each id of the order selects all its lines. */
static const struct
{
  const char *id;
  uint32_t n_lines;
} REQUESTS[] = { { "order-17", 6 }, { "ff", 6 }, { "0a", 6 }, { "0b", 6 },
                 { "0c", 1 },       { "fe", 1 }, { "no", 0 } };

START_TEST (test_request_by_any_id)
{
  GPtrArray *lines = g_ptr_array_new ();
  LcExplainLog log;

  lc_explain_init (&log);
  load_text (&log, ORDERS);
  lc_explain_sort (&log);
  ck_assert_uint_eq (lc_explain_request (&log, REQUESTS[_i].id, 0, lines), REQUESTS[_i].n_lines);
  ck_assert_uint_eq (lines->len, REQUESTS[_i].n_lines);
  g_ptr_array_unref (lines);
  lc_explain_finish (&log);
}
END_TEST

START_TEST (test_flow_lines)
{
  GPtrArray *lines = g_ptr_array_new ();
  LcExplainLog log;
  guint n = 0;

  load (&log);
  ck_assert_uint_eq (log.n_skipped, 3);
  ck_assert_uint_eq (lc_explain_flow (&log, FLOWS[_i].flow, FLOWS[_i].around_us, lines),
                     FLOWS[_i].n_lines);
  for (; FLOWS[_i].events[n] != NULL; n++)
    {
      ck_assert_uint_lt (n, lines->len);
      ck_assert_str_eq (((LcExplainLine *)g_ptr_array_index (lines, n))->event,
                        FLOWS[_i].events[n]);
    }
  ck_assert_uint_eq (lines->len, n);
  g_ptr_array_unref (lines);
  lc_explain_finish (&log);
}
END_TEST

#define SECOND(n) (INT64_C (1785934800) * LC_US_PER_S + (n)*LC_US_PER_S)

static const struct
{
  LcExplainQuery query;
  uint32_t n;
  const char *first;
  uint32_t n_bad; /* of the first */
} QUERIES[] = {
  { { 0 }, 3, ONE, 1 },
  { { .service = "198.18.0.1:443" }, 2, ONE, 1 },
  { { .service = "198.18.0.1:44" }, 0, NULL, 0 },
  { { .caller = "10.0.0.7" }, 2, ONE, 1 },
  { { .caller = "10.0.0.7:40002" }, 1, OTHER, 1 },
  { { .vm = "lb-1" }, 1, ONE, 0 },
  { { .vm = "order-1", .service = "198.18.0.1:443" }, 2, ONE, 1 },
  { { .since_us = SECOND (12) }, 2, TWO, 0 },
  { { .since_us = SECOND (12), .until_us = SECOND (12) }, 1, TWO, 0 },
};

START_TEST (test_flow_list)
{
  GArray *flows = g_array_new (FALSE, FALSE, sizeof (LcExplainFlow));
  LcExplainLog log;

  load (&log);
  lc_explain_list_flows (&log, &QUERIES[_i].query, flows);
  ck_assert_uint_eq (flows->len, QUERIES[_i].n);
  if (flows->len > 0)
    {
      ck_assert_str_eq (g_array_index (flows, LcExplainFlow, 0).id, QUERIES[_i].first);
      ck_assert_uint_eq (g_array_index (flows, LcExplainFlow, 0).n_bad, QUERIES[_i].n_bad);
    }
  g_array_unref (flows);
  lc_explain_finish (&log);
}
END_TEST

static const struct
{
  const char *text;
  int64_t at_us;
} TIMES[] = {
  { "2026-08-05T13:00:10.000100Z", SECOND (10) + 100 },
  { "1785934810.5", SECOND (10) + 500000 },
  { "yesterday", -1 },
  { "", -1 },
  { "-5", -1 },
};

START_TEST (test_parse_time)
{
  ck_assert_int_eq (lc_explain_parse_time (TIMES[_i].text), TIMES[_i].at_us);
}
END_TEST

START_TEST (test_missing_file)
{
  LcExplainLog log;
  LcError error = { 0 };

  lc_explain_init (&log);
  ck_assert_int_eq (lc_explain_read (&log, "/tmp/no-such-log", &error), LC_ERR_NOT_FOUND);
  ck_assert (error.remedy[0] != '\0');
  lc_explain_finish (&log);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("explain");
  TCase *tcase = tcase_create ("explain");

  tcase_add_loop_test (tcase, test_request_by_any_id, 0, (int)G_N_ELEMENTS (REQUESTS));
  tcase_add_loop_test (tcase, test_flow_lines, 0, (int)G_N_ELEMENTS (FLOWS));
  tcase_add_loop_test (tcase, test_flow_list, 0, (int)G_N_ELEMENTS (QUERIES));
  tcase_add_loop_test (tcase, test_parse_time, 0, (int)G_N_ELEMENTS (TIMES));
  tcase_add_test (tcase, test_missing_file);
  suite_add_tcase (suite, tcase);
  return lc_fake_run (suite);
}
