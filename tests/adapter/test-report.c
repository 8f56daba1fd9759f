/* Reports of backend servers: parsing, refusal, and the effect of late and duplicate ones. */
#include "platform/lc-platform-report.h"
#include "tests/fakes/lc-fake-run.h"

#include <check.h>
#include <string.h>

#define TEXTS(address, zone, version)                                                              \
  "{\"backend\":\"order\",\"address\":" address ",\"zone\":" zone ",\"version\":" version
#define HEAD(state) TEXTS ("\"10.0.0.9:8080\"", "\"north\"", "\"v1\"") ",\"state\":\"" state "\""
#define WITH_TEXTS(address, zone, version)                                                         \
  TEXTS (address, zone, version)                                                                   \
  ",\"state\":\"ready\",\"concurrency\":4,\"warmupLeftMs\":0,\"sequence\":1}"
#define BODY(state, rest) HEAD (state) ",\"concurrency\":4,\"warmupLeftMs\":0" rest "}"

typedef struct
{
  const char *what;
  const char *method;
  const char *path;
  const char *body;
  int expected;
  LcBackendState state;
  uint64_t sequence;
  uint64_t born_ms;
} ReadCase;

static const ReadCase READ[] = {
  { "ready", "PUT", "/instances/i-1", BODY ("ready", ",\"sequence\":4"), 0, LC_BACKEND_READY, 4 },
  { "draining", "PUT", "/instances/i-1", BODY ("draining", ",\"sequence\":9"), 0,
    LC_BACKEND_DRAINING, 9 },
  { "unknown fields", "PUT", "/instances/i-1", BODY ("ready", ",\"sequence\":3,\"colour\":{}"), 0,
    LC_BACKEND_READY, 3 },
  { "when it started", "PUT", "/instances/i-1",
    BODY ("ready", ",\"sequence\":4,\"born\":1790000000123"), 0, LC_BACKEND_READY, 4,
    1790000000123 },
  { "ended, with its start", "DELETE", "/instances/i-1", "{\"born\":1790000000123}", 0,
    LC_BACKEND_ENDED, 0, 1790000000123 },
  { "ended, an empty object", "DELETE", "/instances/i-1", "{}", 0, LC_BACKEND_ENDED, 0 },
  { "ended, with bytes that can't be read", "DELETE", "/instances/i-1", "\xff\x01",
    LC_ERR_INVALID },
  { "ended, start as text", "DELETE", "/instances/i-1", "{\"born\":\"1\"}", LC_ERR_INVALID },
  { "start as text", "PUT", "/instances/i-1",
    BODY ("ready", ",\"sequence\":4,\"born\":\"1790000000123\""), LC_ERR_INVALID },
  { "start with a fraction", "PUT", "/instances/i-1",
    BODY ("ready", ",\"sequence\":4,\"born\":1790000000123.5"), LC_ERR_INVALID },
  { "start is null", "PUT", "/instances/i-1", BODY ("ready", ",\"sequence\":4,\"born\":null"),
    LC_ERR_INVALID },
  { "start is zero", "PUT", "/instances/i-1", BODY ("ready", ",\"sequence\":4,\"born\":0"),
    LC_ERR_INVALID },
  { "start before 1970", "PUT", "/instances/i-1", BODY ("ready", ",\"sequence\":4,\"born\":-5"),
    LC_ERR_INVALID },
  { "no sequence", "PUT", "/instances/i-1", BODY ("ready", ""), LC_ERR_INVALID },
  { "sequence is null", "PUT", "/instances/i-1", BODY ("ready", ",\"sequence\":null"),
    LC_ERR_INVALID },
  { "no slots named", "PUT", "/instances/i-1", HEAD ("ready") ",\"warmupLeftMs\":0,\"sequence\":1}",
    LC_ERR_INVALID },
  { "no slots at all", "PUT", "/instances/i-1",
    HEAD ("ready") ",\"concurrency\":0,\"warmupLeftMs\":0,\"sequence\":1}", LC_ERR_INVALID },
  { "no warm-up named", "PUT", "/instances/i-1",
    HEAD ("ready") ",\"concurrency\":4,\"sequence\":1}", LC_ERR_INVALID },
  { "no address", "PUT", "/instances/i-1",
    "{\"backend\":\"order\",\"zone\":\"north\",\"version\":\"v1\",\"state\":\"ready\","
    "\"concurrency\":4,\"warmupLeftMs\":0,\"sequence\":1}",
    LC_ERR_INVALID },
  { "address of another type", "PUT", "/instances/i-1",
    WITH_TEXTS ("{\"ip\":1}", "\"north\"", "\"v1\""), LC_ERR_INVALID },
  { "address without a port", "PUT", "/instances/i-1",
    WITH_TEXTS ("\"10.0.0.9\"", "\"north\"", "\"v1\""), LC_ERR_INVALID },
  { "address with a port out of range", "PUT", "/instances/i-1",
    WITH_TEXTS ("\"10.0.0.9:65536\"", "\"north\"", "\"v1\""), LC_ERR_INVALID },
  { "address that is no IPv4 address", "PUT", "/instances/i-1",
    WITH_TEXTS ("\"order:8080\"", "\"north\"", "\"v1\""), LC_ERR_INVALID },
  { "all texts", "PUT", "/instances/i-1", WITH_TEXTS ("\"10.0.0.9:8080\"", "\"north\"", "\"v1\""),
    0, LC_BACKEND_READY, 1 },
  { "no zone", "PUT", "/instances/i-1",
    "{\"backend\":\"order\",\"address\":\"10.0.0.9:8080\",\"version\":\"v1\",\"state\":\"ready\","
    "\"concurrency\":4,\"warmupLeftMs\":0,\"sequence\":1}",
    LC_ERR_INVALID },
  { "zone is a number", "PUT", "/instances/i-1", WITH_TEXTS ("\"10.0.0.9:8080\"", "7", "\"v1\""),
    LC_ERR_INVALID },
  { "zone is empty", "PUT", "/instances/i-1", WITH_TEXTS ("\"10.0.0.9:8080\"", "\"\"", "\"v1\""),
    LC_ERR_INVALID },
  { "no version", "PUT", "/instances/i-1",
    "{\"backend\":\"order\",\"address\":\"10.0.0.9:8080\",\"zone\":\"north\",\"state\":\"ready\","
    "\"concurrency\":4,\"warmupLeftMs\":0,\"sequence\":1}",
    LC_ERR_INVALID },
  { "version is a list", "PUT", "/instances/i-1",
    WITH_TEXTS ("\"10.0.0.9:8080\"", "\"north\"", "[\"v1\"]"), LC_ERR_INVALID },
  { "version is null", "PUT", "/instances/i-1",
    WITH_TEXTS ("\"10.0.0.9:8080\"", "\"north\"", "null"), LC_ERR_INVALID },
  { "state of another type", "PUT", "/instances/i-1",
    TEXTS ("\"10.0.0.9:8080\"",
           "\"north\"",
           "\"v1\"") ",\"state\":1,\"concurrency\":4,\"warmupLeftMs\":0,\"sequence\":1}",
    LC_ERR_INVALID },
  { "bytes that can't be read", "PUT", "/instances/i-1", "\x93\xff\xfe{\"", LC_ERR_INVALID },
  { "text that is no UTF-8", "PUT", "/instances/i-1",
    "{\"backend\":\"o\xffr\",\"state\":\"ready\"}", LC_ERR_INVALID },
  { "ended", "DELETE", "/instances/i-1", "", 0, LC_BACKEND_ENDED, 0 },
  { "other path", "PUT", "/config", "{}", LC_ERR_NOT_FOUND, 0, 0 },
  { "no id", "PUT", "/instances/", BODY ("ready", ""), LC_ERR_NOT_FOUND, 0, 0 },
  { "other method", "POST", "/instances/i-1", BODY ("ready", ""), LC_ERR_NOT_FOUND, 0, 0 },
  { "id with a slash", "PUT", "/instances/i/1", BODY ("ready", ""), LC_ERR_INVALID, 0, 0 },
  { "long id", "PUT",
    "/instances/0123456789012345678901234567890123456789012345678901234567890123456789",
    BODY ("ready", ""), LC_ERR_INVALID, 0, 0 },
  { "empty body", "PUT", "/instances/i-1", "", LC_ERR_INVALID, 0, 0 },
  { "cut short", "PUT", "/instances/i-1", "{\"backend\":\"order\",\"sta", LC_ERR_INVALID, 0, 0 },
  { "a list", "PUT", "/instances/i-1", "[]", LC_ERR_INVALID, 0, 0 },
  { "twice the same name", "PUT", "/instances/i-1",
    BODY ("ready", ",\"sequence\":1,\"sequence\":2"), LC_ERR_INVALID, 0, 0 },
  { "unknown state", "PUT", "/instances/i-1", BODY ("asleep", ""), LC_ERR_INVALID, 0, 0 },
  { "no service", "PUT", "/instances/i-1", "{\"state\":\"ready\"}", LC_ERR_INVALID, 0, 0 },
  { "negative number", "PUT", "/instances/i-1", BODY ("ready", ",\"sequence\":-1"), LC_ERR_INVALID,
    0, 0 },
  { "number as text", "PUT", "/instances/i-1", BODY ("ready", ",\"sequence\":\"4\""),
    LC_ERR_INVALID, 0, 0 },
  { "too many slots", "PUT", "/instances/i-1", BODY ("ready", ",\"concurrency\":65536"),
    LC_ERR_INVALID, 0, 0 },
};

/* A report of another writer without `zone` and `version` displaced a draining backend server, which
 * was given new flows again. */
START_TEST (test_read)
{
  const ReadCase *c = &READ[_i];
  LcPlatformCall call = { c->method, strlen (c->method), c->path, strlen (c->path),
                          c->body,   strlen (c->body) };
  LcError error = { 0 };
  LcBackendReport report;

  ck_assert_msg (lc_platform_report_read (&report, &call, &error) == c->expected, "%s: %s", c->what,
                 error.message);
  if (c->expected < 0)
    {
      ck_assert_msg (error.message[0] != '\0' && error.remedy[0] != '\0', "%s", c->what);
      return;
    }
  ck_assert_msg (report.state == c->state && report.sequence == c->sequence, "%s", c->what);
  ck_assert_str_eq (report.id, "i-1");
  ck_assert_msg (report.born_ms == c->born_ms, "%s", c->what);
}
END_TEST

/* === sequences of reports =================================================================== */

typedef struct
{
  const char *id;
  LcBackendState state;
  uint64_t sequence;
  LcBackendUpdate expected;
  uint64_t born_ms;
} Step;

typedef struct
{
  const char *what;
  Step steps[6];
  bool is_available; /* at the end */
} SequenceCase;

static const SequenceCase SEQUENCES[] = {
  { "usual",
    { { "a", LC_BACKEND_READY, 1, LC_BACKEND_STARTED },
      { "a", LC_BACKEND_READY, 2, LC_BACKEND_UNCHANGED } },
    true },
  { "duplicate",
    { { "a", LC_BACKEND_READY, 1, LC_BACKEND_STARTED },
      { "a", LC_BACKEND_READY, 1, LC_BACKEND_STALE } },
    true },
  { "late",
    { { "a", LC_BACKEND_READY, 5, LC_BACKEND_STARTED },
      { "a", LC_BACKEND_READY, 3, LC_BACKEND_STALE } },
    true },
  { "ready, sent before draining, arrives after it",
    { { "a", LC_BACKEND_READY, 1, LC_BACKEND_STARTED },
      { "a", LC_BACKEND_DRAINING, 3, LC_BACKEND_CHANGED },
      { "a", LC_BACKEND_READY, 2, LC_BACKEND_STALE } },
    false },
  { "ready after draining is refused whatever its sequence",
    { { "a", LC_BACKEND_READY, 1, LC_BACKEND_STARTED },
      { "a", LC_BACKEND_DRAINING, 2, LC_BACKEND_CHANGED },
      { "a", LC_BACKEND_READY, 9, LC_BACKEND_STALE } },
    false },
  { "first seen while draining", { { "a", LC_BACKEND_DRAINING, 7, LC_BACKEND_STARTED } }, false },
  { "ended",
    { { "a", LC_BACKEND_READY, 1, LC_BACKEND_STARTED },
      { "a", LC_BACKEND_ENDED, 0, LC_BACKEND_CHANGED },
      { "a", LC_BACKEND_DRAINING, 9, LC_BACKEND_STALE } },
    false },
  { "the end of an unknown start", { { "a", LC_BACKEND_ENDED, 0, LC_BACKEND_STALE } }, false },
  { "restarted under another id after its end",
    { { "a", LC_BACKEND_DRAINING, 8, LC_BACKEND_STARTED },
      { "a", LC_BACKEND_ENDED, 0, LC_BACKEND_CHANGED },
      { "b", LC_BACKEND_READY, 1, LC_BACKEND_STARTED },
      { "a", LC_BACKEND_DRAINING, 9, LC_BACKEND_STALE },
      { "a", LC_BACKEND_ENDED, 0, LC_BACKEND_STALE } },
    true },
  { "another id while the known one is draining",
    { { "a", LC_BACKEND_DRAINING, 8, LC_BACKEND_STARTED },
      { "b", LC_BACKEND_READY, 1, LC_BACKEND_HELD },
      { "a", LC_BACKEND_DRAINING, 9, LC_BACKEND_UNCHANGED },
      { "a", LC_BACKEND_ENDED, 0, LC_BACKEND_CHANGED } },
    false },
  { "restarted under the same id: its sequence restarts",
    { { "a", LC_BACKEND_READY, 40, LC_BACKEND_STARTED, 1000 },
      { "a", LC_BACKEND_READY, 1, LC_BACKEND_STARTED, 2000 },
      { "a", LC_BACKEND_READY, 2, LC_BACKEND_UNCHANGED, 2000 } },
    true },
  { "restarted under the same id after draining",
    { { "a", LC_BACKEND_DRAINING, 40, LC_BACKEND_STARTED, 1000 },
      { "a", LC_BACKEND_READY, 1, LC_BACKEND_STARTED, 2000 },
      { "a", LC_BACKEND_DRAINING, 41, LC_BACKEND_STALE, 1000 } },
    true },
  { "restarted under the same id after it ended",
    { { "a", LC_BACKEND_DRAINING, 40, LC_BACKEND_STARTED, 1000 },
      { "a", LC_BACKEND_ENDED, 0, LC_BACKEND_CHANGED },
      { "a", LC_BACKEND_READY, 1, LC_BACKEND_STARTED, 2000 } },
    true },
  { "a report of an earlier start arrives after two later ones",
    { { "a", LC_BACKEND_READY, 9, LC_BACKEND_STARTED, 1000 },
      { "a", LC_BACKEND_READY, 1, LC_BACKEND_STARTED, 2000 },
      { "a", LC_BACKEND_READY, 1, LC_BACKEND_STARTED, 3000 },
      { "a", LC_BACKEND_DRAINING, 99, LC_BACKEND_STALE, 2000 },
      { "a", LC_BACKEND_ENDED, 0, LC_BACKEND_STALE, 1000 } },
    true },
  { "the first report received is of an earlier start",
    { { "a", LC_BACKEND_DRAINING, 9, LC_BACKEND_STARTED, 1000 },
      { "a", LC_BACKEND_READY, 1, LC_BACKEND_STARTED, 2000 },
      { "a", LC_BACKEND_DRAINING, 10, LC_BACKEND_STALE, 1000 } },
    true },
  { "a report without `born` doesn't apply to a start with it",
    { { "a", LC_BACKEND_READY, 3, LC_BACKEND_STARTED, 1000 },
      { "a", LC_BACKEND_DRAINING, 9, LC_BACKEND_STALE } },
    true },
  { "an end without `born`, and no draining report before",
    { { "a", LC_BACKEND_READY, 3, LC_BACKEND_STARTED, 1000 },
      { "a", LC_BACKEND_ENDED, 0, LC_BACKEND_STALE } },
    true },
  { "an end with the `born` of that start",
    { { "a", LC_BACKEND_READY, 3, LC_BACKEND_STARTED, 1000 },
      { "a", LC_BACKEND_ENDED, 0, LC_BACKEND_CHANGED, 1000 } },
    false },
  { "another id of an earlier start while the known one reports",
    { { "b", LC_BACKEND_READY, 3, LC_BACKEND_STARTED, 2000 },
      { "a", LC_BACKEND_DRAINING, 9, LC_BACKEND_STALE, 1000 } },
    true },
  { "begins to send `born`",
    { { "a", LC_BACKEND_DRAINING, 3, LC_BACKEND_STARTED },
      { "a", LC_BACKEND_READY, 1, LC_BACKEND_STARTED, 1000 },
      { "a", LC_BACKEND_DRAINING, 4, LC_BACKEND_STALE } },
    true },
};

START_TEST (test_sequences)
{
  const SequenceCase *c = &SEQUENCES[_i];
  LcBackendStatusDesc desc = { 0 };
  LcBackendStatus status;

  lc_backend_status_init (&status, &desc, 0);
  for (int i = 0; i < 6 && c->steps[i].id != NULL; i++)
    {
      LcBackendReport report = { .state = c->steps[i].state,
                                 .sequence = c->steps[i].sequence,
                                 .born_ms = c->steps[i].born_ms };

      (void)strcpy (report.id, c->steps[i].id);
      ck_assert_msg (lc_backend_status_apply (&status, &report, 1000) == c->steps[i].expected,
                     "%s: step %d", c->what, i);
    }
  ck_assert_msg (lc_backend_status_is_available (&status, 1000) == c->is_available, "%s", c->what);
}
END_TEST

START_TEST (test_silence_limit)
{
  static const struct
  {
    int64_t after_us;
    bool is_available;
  } CASES[] = { { 0, true }, { 2400000, true }, { 2500000, true }, { 2500001, false } };
  LcBackendStatusDesc desc = { .interval_ms = 1000 };
  LcBackendReport report = { .id = "a", .state = LC_BACKEND_READY, .sequence = 1 };
  LcBackendStatus status;

  lc_backend_status_init (&status, &desc, 0);
  ck_assert (!lc_backend_status_is_available (&status, 0));
  ck_assert_uint_eq (lc_backend_status_instance (&status), 0);
  (void)lc_backend_status_apply (&status, &report, 0);
  ck_assert_uint_ne (lc_backend_status_instance (&status), 0);
  for (size_t i = 0; i < sizeof CASES / sizeof CASES[0]; i++)
    ck_assert (lc_backend_status_is_available (&status, CASES[i].after_us) ==
               CASES[i].is_available);
}
END_TEST

/* After an agent's restart its backend server is tried before its first report, for a bounded time
 * and unless the view lists it as leaving. */
START_TEST (test_before_first_report)
{
  static const struct
  {
    const char *what;
    bool is_candidate;
    int64_t after_us;
    bool has_reported;
    bool may_try;
  } CASES[] = {
    { "right after the start", true, 0, false, true },
    { "an interval after the start", true, 1200000, false, true },
    { "no report for too long", true, 1500001, false, false },
    { "the view lists it as leaving", false, 0, false, false },
    { "it reported: the report decides", true, 100000, true, false },
  };
  LcBackendReport report = { .id = "a", .state = LC_BACKEND_DRAINING, .sequence = 1 };

  for (size_t i = 0; i < sizeof CASES / sizeof CASES[0]; i++)
    {
      LcBackendStatusDesc desc = { 0 };
      LcBackendStatus status;

      lc_backend_status_init (&status, &desc, 7000);
      if (CASES[i].has_reported)
        (void)lc_backend_status_apply (&status, &report, 7000);
      ck_assert_msg (lc_backend_status_may_try (&status, CASES[i].is_candidate,
                                                7000 + CASES[i].after_us) == CASES[i].may_try,
                     "%s", CASES[i].what);
    }
}
END_TEST

/* Cold for as long as the newest report states; without a report it is assumed cold. */
START_TEST (test_cold_period)
{
  static const struct
  {
    const char *what;
    bool has_reported;
    uint32_t cold_ms;
    int64_t after_us;
    bool is_cold;
  } CASES[] = {
    { "nothing reported", false, 0, 9000000, true },
    { "warm", true, 0, 0, false },
    { "cold", true, 2000, 1999999, true },
    { "cold period over", true, 2000, 2000000, false },
  };

  for (size_t i = 0; i < sizeof CASES / sizeof CASES[0]; i++)
    {
      LcBackendReport report = {
        .id = "a", .state = LC_BACKEND_READY, .sequence = 1, .cold_ms = CASES[i].cold_ms
      };
      LcBackendStatusDesc desc = { 0 };
      LcBackendStatus status;

      lc_backend_status_init (&status, &desc, 7000);
      if (CASES[i].has_reported)
        (void)lc_backend_status_apply (&status, &report, 7000);
      ck_assert_msg (lc_backend_status_is_cold (&status, 7000 + CASES[i].after_us) ==
                         CASES[i].is_cold,
                     "%s", CASES[i].what);
    }
}
END_TEST

/* After an agent's restart, a delayed report of an earlier start of its backend server arrives
 * after that of the current start. */
START_TEST (test_report_of_an_earlier_start)
{
  static const char *const IDS[] = { "old", "new" };
  LcBackendStatusDesc desc = { 0 };
  LcBackendReport report = { .state = LC_BACKEND_READY, .sequence = 90 };
  LcBackendStatus status;
  LcInstance instances[2];

  for (int i = 0; i < 2; i++)
    {
      lc_backend_status_init (&status, &desc, 0);
      (void)strcpy (report.id, IDS[i]);
      (void)lc_backend_status_apply (&status, &report, 0);
      instances[i] = lc_backend_status_instance (&status);
    }
  lc_backend_status_init (&status, &desc, 0);
  lc_backend_status_set_listed (&status, instances[0], false);
  (void)strcpy (report.id, "new");
  ck_assert_int_eq (lc_backend_status_apply (&status, &report, 10), LC_BACKEND_STARTED);
  (void)strcpy (report.id, "old");
  ck_assert_int_eq (lc_backend_status_apply (&status, &report, 20), LC_BACKEND_STALE);
  ck_assert_uint_eq (lc_backend_status_instance (&status), instances[1]);
  /* A report of the start that the view lists is accepted. */
  lc_backend_status_init (&status, &desc, 0);
  lc_backend_status_set_listed (&status, instances[0], false);
  ck_assert_int_eq (lc_backend_status_apply (&status, &report, 10), LC_BACKEND_STARTED);
  report.sequence++;
  ck_assert_int_eq (lc_backend_status_apply (&status, &report, 20), LC_BACKEND_UNCHANGED);
}
END_TEST

/* A restarted agent has the current start from the view; a report of an earlier one, delayed by a
 * network cut, arrives first. */
START_TEST (test_earlier_start_after_a_restart)
{
  LcBackendStatusDesc desc = { 0 };
  LcBackendReport earlier = {
    .id = "a", .state = LC_BACKEND_DRAINING, .sequence = 9, .born_ms = 1000
  };
  LcBackendReport present = {
    .id = "a", .state = LC_BACKEND_READY, .sequence = 5, .born_ms = 2000
  };
  LcBackendStatus status;
  LcInstance instance;

  lc_backend_status_init (&status, &desc, 0);
  (void)lc_backend_status_apply (&status, &earlier, 0);
  instance = lc_backend_status_instance (&status);
  (void)lc_backend_status_apply (&status, &present, 0);
  ck_assert_uint_ne (lc_backend_status_instance (&status), instance);
  instance = lc_backend_status_instance (&status);

  lc_backend_status_init (&status, &desc, 0);
  lc_backend_status_set_listed (&status, instance, false);
  (void)lc_backend_status_apply (&status, &earlier, 10);
  ck_assert_int_eq (lc_backend_status_apply (&status, &present, 20), LC_BACKEND_STARTED);
  ck_assert_uint_eq (lc_backend_status_instance (&status), instance);
  ck_assert (lc_backend_status_is_available (&status, 20));
  ck_assert_int_eq (lc_backend_status_apply (&status, &earlier, 30), LC_BACKEND_STALE);
  ck_assert (lc_backend_status_is_available (&status, 30));
}
END_TEST

/* If the clock stepped back before a start under a new id, the server is accepted after one silence
 * limit, not never. */
START_TEST (test_new_id_after_a_clock_step)
{
  static const struct
  {
    int64_t at_us;
    LcBackendUpdate expected;
  } CASES[] = { { 2500000, LC_BACKEND_STALE }, { 2500001, LC_BACKEND_STARTED } };
  LcBackendReport known = { .id = "a", .state = LC_BACKEND_READY, .sequence = 9, .born_ms = 5000 };
  LcBackendReport fresh = { .id = "b", .state = LC_BACKEND_READY, .sequence = 1, .born_ms = 4000 };

  for (size_t i = 0; i < sizeof CASES / sizeof CASES[0]; i++)
    {
      LcBackendStatusDesc desc = { .interval_ms = 1000 };
      LcBackendStatus status;

      lc_backend_status_init (&status, &desc, 0);
      (void)lc_backend_status_apply (&status, &known, 0);
      ck_assert_int_eq (lc_backend_status_apply (&status, &fresh, CASES[i].at_us),
                        CASES[i].expected);
    }
}
END_TEST

/* While a network cut silences a successor, the delayed last report of the crashed start before it
 * reaches an agent that doesn't hold that start.  The successor's later reports were then refused
 * for good, each as one of an earlier start. */
START_TEST (test_late_report_in_a_silence)
{
  static const struct
  {
    int64_t at_ms;
    const char *id;
    uint64_t born_ms;
    uint64_t sequence;
    LcBackendUpdate expected;
  } REPORTS[] = {
    { 0, "b", 2000, 1, LC_BACKEND_STARTED },
    { 5000, "a", 1000, 90, LC_BACKEND_STARTED }, /* accepted as after a clock step: "b" is silent */
    { 5100, "b", 2000, 5, LC_BACKEND_STALE },
    { 6300, "b", 2000, 6, LC_BACKEND_STALE },
    { 8100, "b", 2000, 8, LC_BACKEND_STARTED }, /* "a" has been silent since */
    { 8200, "a", 1000, 91, LC_BACKEND_STALE },
    { 9300, "b", 2000, 9, LC_BACKEND_UNCHANGED },
  };
  LcBackendStatusDesc desc = { 0 };
  LcBackendStatus status;

  lc_backend_status_init (&status, &desc, 0);
  for (size_t i = 0; i < sizeof REPORTS / sizeof REPORTS[0]; i++)
    {
      LcBackendReport report = { .state = LC_BACKEND_READY,
                                 .sequence = REPORTS[i].sequence,
                                 .born_ms = REPORTS[i].born_ms };

      (void)strcpy (report.id, REPORTS[i].id);
      ck_assert_msg (lc_backend_status_apply (&status, &report, REPORTS[i].at_ms * LC_US_PER_MS) ==
                         REPORTS[i].expected,
                     "report %zu", i);
    }
  ck_assert (lc_backend_status_is_available (&status, 9300 * LC_US_PER_MS));
}
END_TEST

/* === reports of another start ================================================================= */

enum
{
  TIMED_STEPS_MAX = 7,
};

typedef struct
{
  int64_t at_ms;
  const char *id; /* NULL: no report, a claim may become due: LC_BACKEND_STARTED if it does */
  LcBackendState state;
  uint64_t sequence;
  LcBackendUpdate expected;
  uint64_t born_ms;
  bool is_available; /* after it */
} TimedStep;

static const struct
{
  const char *what;
  const char *listed; /* id of the start that the view lists, without `born`; NULL: none */
  bool is_listed_leaving;
  TimedStep steps[TIMED_STEPS_MAX];
} CLAIMS[] = {
  { "ready, without `born`, beside a draining start with it",
    NULL,
    false,
    { { 0, "b", LC_BACKEND_READY, 1, LC_BACKEND_STARTED, 2000, true },
      { 1200, "b", LC_BACKEND_DRAINING, 2, LC_BACKEND_CHANGED, 2000, false },
      { 2000, "x", LC_BACKEND_READY, 1, LC_BACKEND_STALE, 0, false },
      { 2400, "b", LC_BACKEND_DRAINING, 3, LC_BACKEND_UNCHANGED, 2000, false },
      { 3000, "x", LC_BACKEND_READY, 2, LC_BACKEND_STALE, 0, false },
      { 3600, "b", LC_BACKEND_ENDED, 0, LC_BACKEND_CHANGED, 0, false } } },
  { "draining, without `born`, beside a ready start with it",
    NULL,
    false,
    { { 0, "b", LC_BACKEND_READY, 1, LC_BACKEND_STARTED, 2000, true },
      { 800, "x", LC_BACKEND_DRAINING, 1, LC_BACKEND_STALE, 0, true },
      { 1200, "b", LC_BACKEND_READY, 2, LC_BACKEND_UNCHANGED, 2000, true },
      { 2400, "b", LC_BACKEND_READY, 3, LC_BACKEND_UNCHANGED, 2000, true } } },
  { "whole and later, draining, beside a ready start",
    NULL,
    false,
    { { 0, "b", LC_BACKEND_READY, 1, LC_BACKEND_STARTED, 2000, true },
      { 800, "x", LC_BACKEND_DRAINING, 1, LC_BACKEND_HELD, 3000, true },
      { 1200, "b", LC_BACKEND_READY, 2, LC_BACKEND_UNCHANGED, 2000, true },
      { 2800, NULL, 0, 0, LC_BACKEND_UNCHANGED, 0, true } } },
  { "a delayed report of a crashed start, unknown here, beside its draining successor",
    NULL,
    false,
    { { 0, "b", LC_BACKEND_READY, 1, LC_BACKEND_STARTED, 0, true },
      { 1200, "b", LC_BACKEND_DRAINING, 2, LC_BACKEND_CHANGED, 0, false },
      { 2300, "a", LC_BACKEND_READY, 1, LC_BACKEND_HELD, 0, false },
      { 2400, "b", LC_BACKEND_DRAINING, 3, LC_BACKEND_UNCHANGED, 0, false },
      { 9000, NULL, 0, 0, LC_BACKEND_UNCHANGED, 0, false } } },
  { "a single delayed report beside a draining start that is quiet",
    NULL,
    false,
    { { 0, "b", LC_BACKEND_DRAINING, 2, LC_BACKEND_STARTED, 0, false },
      { 4000, "a", LC_BACKEND_READY, 1, LC_BACKEND_HELD, 0, false },
      { 4010, "a", LC_BACKEND_READY, 1, LC_BACKEND_HELD, 0, false },
      { 9000, NULL, 0, 0, LC_BACKEND_UNCHANGED, 0, false } } },
  { "a new start before the crashed one is overdue",
    NULL,
    false,
    { { 0, "b", LC_BACKEND_READY, 9, LC_BACKEND_STARTED, 0, true },
      { 800, "c", LC_BACKEND_READY, 1, LC_BACKEND_HELD, 0, true },
      { 1500, NULL, 0, 0, LC_BACKEND_UNCHANGED, 0, true },
      { 1501, NULL, 0, 0, LC_BACKEND_STARTED, 0, true },
      { 2000, "c", LC_BACKEND_READY, 2, LC_BACKEND_UNCHANGED, 0, true } } },
  { "a new start when the crashed one is overdue",
    NULL,
    false,
    { { 0, "b", LC_BACKEND_READY, 9, LC_BACKEND_STARTED, 0, true },
      { 1501, "c", LC_BACKEND_READY, 1, LC_BACKEND_STARTED, 0, true } } },
  { "a new start after a crash while draining",
    NULL,
    false,
    { { 0, "b", LC_BACKEND_DRAINING, 9, LC_BACKEND_STARTED, 0, false },
      { 1000, "c", LC_BACKEND_READY, 1, LC_BACKEND_HELD, 0, false },
      { 2200, "c", LC_BACKEND_READY, 2, LC_BACKEND_HELD, 0, false },
      { 3000, NULL, 0, 0, LC_BACKEND_UNCHANGED, 0, false },
      { 3001, NULL, 0, 0, LC_BACKEND_STARTED, 0, true } } },
  { "under the own id with the clock set back",
    NULL,
    false,
    { { 0, "a", LC_BACKEND_READY, 9, LC_BACKEND_STARTED, 5000000, true },
      { 1000, "a", LC_BACKEND_READY, 1, LC_BACKEND_STALE, 1400000, true },
      { 2200, "a", LC_BACKEND_READY, 2, LC_BACKEND_STALE, 1400000, true },
      { 3001, NULL, 0, 0, LC_BACKEND_STARTED, 0, true },
      { 3400, "a", LC_BACKEND_READY, 3, LC_BACKEND_UNCHANGED, 1400000, true } } },
  { "a claimed start that ends",
    NULL,
    false,
    { { 0, "b", LC_BACKEND_READY, 9, LC_BACKEND_STARTED, 0, true },
      { 800, "c", LC_BACKEND_READY, 1, LC_BACKEND_HELD, 0, true },
      { 900, "c", LC_BACKEND_ENDED, 0, LC_BACKEND_STALE, 0, true },
      { 2900, NULL, 0, 0, LC_BACKEND_UNCHANGED, 0, true } } },
  { "another start is heard before the one that the view lists as leaving",
    "b",
    true,
    { { 100, "x", LC_BACKEND_READY, 1, LC_BACKEND_HELD, 0, false },
      { 1000, "b", LC_BACKEND_DRAINING, 7, LC_BACKEND_STARTED, 0, false },
      { 1300, "x", LC_BACKEND_READY, 2, LC_BACKEND_HELD, 0, false } } },
  { "another start is heard, and the one that the view lists as leaving is silent",
    "b",
    true,
    { { 100, "c", LC_BACKEND_READY, 1, LC_BACKEND_HELD, 0, false },
      { 1300, "c", LC_BACKEND_READY, 2, LC_BACKEND_HELD, 0, false },
      { 3001, NULL, 0, 0, LC_BACKEND_STARTED, 0, true } } },
  { "another start is heard before the one that the view lists: it gives way after a silence",
    "b",
    false,
    { { 100, "x", LC_BACKEND_DRAINING, 1, LC_BACKEND_STARTED, 0, false },
      { 600, "b", LC_BACKEND_READY, 7, LC_BACKEND_STALE, 0, false },
      { 1800, "b", LC_BACKEND_READY, 8, LC_BACKEND_STALE, 0, false },
      { 3100, NULL, 0, 0, LC_BACKEND_UNCHANGED, 0, false },
      { 3101, NULL, 0, 0, LC_BACKEND_STARTED, 0, true } } },
  { "the same, and it says that it is ready: two reports are enough",
    "b",
    false,
    { { 100, "x", LC_BACKEND_READY, 1, LC_BACKEND_STARTED, 0, true },
      { 600, "b", LC_BACKEND_READY, 7, LC_BACKEND_STALE, 0, true },
      { 1700, NULL, 0, 0, LC_BACKEND_UNCHANGED, 0, true },
      { 1800, "b", LC_BACKEND_READY, 8, LC_BACKEND_STARTED, 0, true } } },
  { "delayed reports of an earlier start that arrive together",
    NULL,
    false,
    { { 0, "a", LC_BACKEND_READY, 1, LC_BACKEND_STARTED, 0, true },
      { 1600, "b", LC_BACKEND_READY, 1, LC_BACKEND_STARTED, 0, true },
      { 3200, "a", LC_BACKEND_READY, 2, LC_BACKEND_STALE, 0, true },
      { 3201, "a", LC_BACKEND_READY, 3, LC_BACKEND_STALE, 0, true },
      { 3202, "a", LC_BACKEND_READY, 4, LC_BACKEND_STALE, 0, true },
      { 3300, "b", LC_BACKEND_READY, 2, LC_BACKEND_UNCHANGED, 0, true } } },
};

/* A single report of another start retired the present one for good: a draining backend server was
 * given new flows again, or a ready one got none any more, whatever it reported itself. */
START_TEST (test_claims)
{
  LcBackendStatusDesc desc = { 0 };
  LcBackendStatus status;

  lc_backend_status_init (&status, &desc, 0);
  if (CLAIMS[_i].listed != NULL)
    {
      LcBackendReport listed = { .state = LC_BACKEND_READY, .sequence = 1 };
      LcBackendStatus before = status;

      (void)strcpy (listed.id, CLAIMS[_i].listed);
      (void)lc_backend_status_apply (&before, &listed, 0);
      lc_backend_status_set_listed (&status, lc_backend_status_instance (&before),
                                    CLAIMS[_i].is_listed_leaving);
    }
  for (int i = 0; i < TIMED_STEPS_MAX; i++)
    {
      const TimedStep *s = &CLAIMS[_i].steps[i];
      LcBackendReport report = { .state = s->state,
                                 .sequence = s->sequence,
                                 .born_ms = s->born_ms };
      int64_t at_us = s->at_ms * LC_US_PER_MS;
      LcBackendUpdate update;

      if (s->id == NULL && s->at_ms == 0)
        break; /* no more steps */
      if (s->id != NULL)
        (void)strcpy (report.id, s->id);
      update = s->id != NULL ? lc_backend_status_apply (&status, &report, at_us)
               : lc_backend_status_accept_claim (&status, at_us) ? LC_BACKEND_STARTED
                                                                 : LC_BACKEND_UNCHANGED;
      ck_assert_msg (update == s->expected, "%s: step %d: %d", CLAIMS[_i].what, i, update);
      ck_assert_msg ((status.newest.state == LC_BACKEND_READY) == s->is_available,
                     "%s: state after step %d", CLAIMS[_i].what, i);
    }
}
END_TEST

/* A claimed start is cold as long as it says, so that it is not given more than it bears while it is
 * held. */
START_TEST (test_claimed_start_is_cold)
{
  LcBackendReport known = { .id = "b", .state = LC_BACKEND_READY, .sequence = 9 };
  LcBackendReport fresh = { .id = "c", .state = LC_BACKEND_READY, .sequence = 1, .cold_ms = 2000 };
  LcBackendStatusDesc desc = { 0 };
  LcBackendStatus status;

  lc_backend_status_init (&status, &desc, 0);
  (void)lc_backend_status_apply (&status, &known, 0);
  ck_assert (!lc_backend_status_is_cold (&status, 500 * LC_US_PER_MS));
  (void)lc_backend_status_apply (&status, &fresh, 500 * LC_US_PER_MS);
  ck_assert (lc_backend_status_is_cold (&status, 600 * LC_US_PER_MS));
  ck_assert (lc_backend_status_accept_claim (&status, 1600 * LC_US_PER_MS));
  ck_assert (lc_backend_status_is_cold (&status, 2400 * LC_US_PER_MS));
  ck_assert (!lc_backend_status_is_cold (&status, 2600 * LC_US_PER_MS));
  ck_assert_uint_eq (status.first_sequence, 1);
}
END_TEST

/* After a power failure, 2 of 682 agents started 0.1 s after their backend servers and received the
 * second report first.  They didn't take those for new, hence without older flows, so that each
 * packet of a lost flow was tried on these two: 2,500 in a second, and resets were 1.3 s late. */
static const struct
{
  const char *what;
  uint64_t sequence;
  uint64_t born_ms;
  uint64_t agent_start_ms;
  bool is_new;
} STARTS[] = {
  { "its first report", 1, 5000, 90000, true },
  { "its first report, without `born`", 1, 0, 90000, true },
  { "both started together", 2, 5000, 5105, true },
  { "the agent started later", 2, 5000, 5151, false },
  { "the agent started before", 2, 5000, 4990, false },
  { "without `born`", 2, 0, 100, false },
  { "started together, third report", 3, 5000, 5100, false },
};

START_TEST (test_new_backend)
{
  LcBackendReport report = { .sequence = STARTS[_i].sequence, .born_ms = STARTS[_i].born_ms };

  ck_assert_msg (lc_backend_report_is_new_start (&report, STARTS[_i].agent_start_ms) ==
                     STARTS[_i].is_new,
                 "%s", STARTS[_i].what);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("report");
  TCase *tcase = tcase_create ("report");

  tcase_add_loop_test (tcase, test_read, 0, (int)(sizeof READ / sizeof READ[0]));
  tcase_add_loop_test (tcase, test_sequences, 0, (int)(sizeof SEQUENCES / sizeof SEQUENCES[0]));
  tcase_add_loop_test (tcase, test_new_backend, 0, (int)(sizeof STARTS / sizeof STARTS[0]));
  tcase_add_loop_test (tcase, test_claims, 0, (int)(sizeof CLAIMS / sizeof CLAIMS[0]));
  tcase_add_test (tcase, test_claimed_start_is_cold);
  tcase_add_test (tcase, test_silence_limit);
  tcase_add_test (tcase, test_before_first_report);
  tcase_add_test (tcase, test_cold_period);
  tcase_add_test (tcase, test_report_of_an_earlier_start);
  tcase_add_test (tcase, test_earlier_start_after_a_restart);
  tcase_add_test (tcase, test_new_id_after_a_clock_step);
  tcase_add_test (tcase, test_late_report_in_a_silence);
  suite_add_tcase (suite, tcase);
  return lc_fake_run (suite);
}
