/* Configurations of the users' platform: which are accepted, how they are parsed, and which are
 * refused. */
#include "platform/lc-platform-declaration.h"
#include "tests/fakes/lc-fake-run.h"

#include <check.h>
#include <string.h>

#define SERVICES "\"backends\":[{\"name\":\"a\"},{\"name\":\"b\"}]"
#define ROUTE(host, prefix, rest) "{\"host\":\"" host "\",\"pathPrefix\":\"" prefix "\"," rest "}"
#define PLAIN ROUTE ("198.18.0.1", "/8443/", "\"timeoutMs\":1500,\"backend\":\"a\"")
#define DOCUMENT(version, routes) "{\"version\":" version ",\"routes\":[" routes "]," SERVICES "}"

typedef struct
{
  const char *what;
  const char *body;
  int expected;
  uint32_t n_a; /* addresses of service a */
  uint32_t n_b;
} Case;

static const Case CASES[] = {
  { "one route", DOCUMENT ("7", PLAIN), 0, 1, 0 },
  { "no route", DOCUMENT ("7", ""), 0, 0, 0 },
  { "two services",
    DOCUMENT ("7", PLAIN "," ROUTE ("198.18.0.1", "/8080/", "\"timeoutMs\":1,\"backend\":\"b\"")),
    0, 1, 1 },
  { "split",
    DOCUMENT ("7",
              ROUTE ("198.18.0.1",
                     "/1/",
                     "\"timeoutMs\":1,\"trafficSplit\":[{\"backend\":\"a\",\"weight\":10},"
                     "{\"backend\":\"b\",\"weight\":90}]")),
    0, 0, 1 },
  { "unknown field",
    DOCUMENT ("7", ROUTE ("198.18.0.1", "/1/", "\"timeoutMs\":1,\"backend\":\"a\",\"x\":[]")), 0, 1,
    0 },
  { "cut short", "{\"version\":7,\"routes\":[{\"host\":\"198.18", LC_ERR_INVALID, 0, 0 },
  { "empty", "", LC_ERR_INVALID, 0, 0 },
  { "no object", "[]", LC_ERR_INVALID, 0, 0 },
  { "no version", "{\"routes\":[]," SERVICES "}", LC_ERR_INVALID, 0, 0 },
  { "version 0", DOCUMENT ("0", PLAIN), LC_ERR_INVALID, 0, 0 },
  { "version as text", DOCUMENT ("\"7\"", PLAIN), LC_ERR_INVALID, 0, 0 },
  { "version out of range", DOCUMENT ("99999999999999999999", PLAIN), LC_ERR_INVALID, 0, 0 },
  { "a name twice", "{\"version\":7,\"version\":8,\"routes\":[]," SERVICES "}", LC_ERR_INVALID, 0,
    0 },
  { "no services", "{\"version\":7,\"routes\":[]}", LC_ERR_INVALID, 0, 0 },
  { "unknown service",
    DOCUMENT ("7", ROUTE ("198.18.0.1", "/1/", "\"timeoutMs\":1,\"backend\":\"c\"")),
    LC_ERR_INVALID, 0, 0 },
  { "no service", DOCUMENT ("7", ROUTE ("198.18.0.1", "/1/", "\"timeoutMs\":1")), LC_ERR_INVALID, 0,
    0 },
  { "unknown service in a split",
    DOCUMENT ("7",
              ROUTE ("198.18.0.1",
                     "/1/",
                     "\"timeoutMs\":1,\"trafficSplit\":[{\"backend\":\"a\",\"weight\":10},"
                     "{\"backend\":\"c\",\"weight\":1}]")),
    LC_ERR_INVALID, 0, 0 },
  { "split without weight",
    DOCUMENT ("7",
              ROUTE ("198.18.0.1",
                     "/1/",
                     "\"timeoutMs\":1,\"trafficSplit\":[{\"backend\":\"a\",\"weight\":0}]")),
    LC_ERR_INVALID, 0, 0 },
  { "timeout 0", DOCUMENT ("7", ROUTE ("198.18.0.1", "/1/", "\"timeoutMs\":0,\"backend\":\"a\"")),
    LC_ERR_INVALID, 0, 0 },
  { "no timeout", DOCUMENT ("7", ROUTE ("198.18.0.1", "/1/", "\"backend\":\"a\"")), LC_ERR_INVALID,
    0, 0 },
  { "one place twice", DOCUMENT ("7", PLAIN "," PLAIN), LC_ERR_INVALID, 0, 0 },
  { "one place in two services",
    DOCUMENT ("7", PLAIN "," ROUTE ("198.18.0.1", "/8443/", "\"timeoutMs\":1,\"backend\":\"b\"")),
    LC_ERR_INVALID, 0, 0 },
  { "host is a name", DOCUMENT ("7", ROUTE ("desk", "/1/", "\"timeoutMs\":1,\"backend\":\"a\"")),
    LC_ERR_INVALID, 0, 0 },
  { "port 0", DOCUMENT ("7", ROUTE ("198.18.0.1", "/0/", "\"timeoutMs\":1,\"backend\":\"a\"")),
    LC_ERR_INVALID, 0, 0 },
  { "port out of range",
    DOCUMENT ("7", ROUTE ("198.18.0.1", "/65536/", "\"timeoutMs\":1,\"backend\":\"a\"")),
    LC_ERR_INVALID, 0, 0 },
  { "prefix without port",
    DOCUMENT ("7", ROUTE ("198.18.0.1", "/", "\"timeoutMs\":1,\"backend\":\"a\"")), LC_ERR_INVALID,
    0, 0 },
  { "homes",
    DOCUMENT ("7",
              ROUTE ("198.18.0.1",
                     "/1/",
                     "\"timeoutMs\":1,\"backend\":\"a\",\"allowedRegions\":[\"n\",\"s\"]")),
    0, 1, 0 },
  { "homes are no list",
    DOCUMENT (
        "7",
        ROUTE ("198.18.0.1", "/1/", "\"timeoutMs\":1,\"backend\":\"a\",\"allowedRegions\":\"n\"")),
    LC_ERR_INVALID, 0, 0 },
  { "a home is a number",
    DOCUMENT ("7",
              ROUTE ("198.18.0.1",
                     "/1/",
                     "\"timeoutMs\":1,\"backend\":\"a\",\"allowedRegions\":[\"n\",1]")),
    LC_ERR_INVALID, 0, 0 },
  { "route is a number", DOCUMENT ("7", "5"), LC_ERR_INVALID, 0, 0 },
};

START_TEST (test_read)
{
  const Case *c = &CASES[_i];
  LcNumberedDeclaration n;
  LcError error = { 0 };

  ck_assert_msg (lc_platform_declaration_read (&n, c->body, strlen (c->body), &error) ==
                     c->expected,
                 "%s: %s", c->what, error.message);
  if (c->expected < 0)
    {
      ck_assert_msg (error.message[0] != '\0' && error.remedy[0] != '\0', "%s", c->what);
      ck_assert_msg (n.document == NULL, "%s", c->what);
      return;
    }
  ck_assert_uint_eq (n.number, 7);
  ck_assert_uint_eq (n.declaration.n_services, 2);
  ck_assert_uint_eq (n.declaration.services[0].n_addresses, c->n_a);
  ck_assert_uint_eq (n.declaration.services[1].n_addresses, c->n_b);
  ck_assert_uint_eq (g_bytes_get_size (n.document), strlen (c->body));
  lc_numbered_finish (&n);
}
END_TEST

START_TEST (test_homes)
{
  static const struct
  {
    const char *list;
    const char *homes;
  } READ[] = { { "[]", "" }, { "null", "" }, { "[\"n\"]", "n" }, { "[\"s\",\"n\",\"s\"]", "s,n" } };

  for (size_t i = 0; i < G_N_ELEMENTS (READ); i++)
    {
      char *body = g_strdup_printf (
          DOCUMENT ("7", ROUTE ("198.18.0.1", "/1/",
                                "\"timeoutMs\":1,\"backend\":\"a\",\"allowedRegions\":%s")),
          READ[i].list);
      LcNumberedDeclaration n;

      ck_assert_int_eq (lc_platform_declaration_read (&n, body, strlen (body), NULL), 0);
      ck_assert_str_eq (n.declaration.services[0].addresses[0].homes, READ[i].homes);
      lc_numbered_finish (&n);
      g_free (body);
    }
}
END_TEST

#define OBJECTIVE(prefix, latency, service)                                                        \
  ROUTE ("198.18.0.1", prefix, "\"timeoutMs\":1," latency "\"backend\":\"" service "\"")
#define OBJECTIVES                                                                                 \
  OBJECTIVE ("/1/", "\"targetLatencyMs\":150,", "a")                                               \
  "," OBJECTIVE ("/2/", "\"targetLatencyMs\":120,", "a") "," OBJECTIVE (                           \
      "/3/", "\"targetLatencyMs\":99999999999,", "b") "," OBJECTIVE ("/4/", "", "a")

/* A service gets the strictest objective of its routes. */
START_TEST (test_objectives)
{
  static const char BODY[] = DOCUMENT ("7", OBJECTIVES);
  LcNumberedDeclaration n;
  LcError error = { 0 };

  ck_assert_int_eq (lc_platform_declaration_read (&n, BODY, strlen (BODY), &error), 0);
  ck_assert_uint_eq (n.declaration.services[0].objective_latency_ms, 120);
  ck_assert_uint_eq (n.declaration.services[1].objective_latency_ms, LC_INTENT_TIMEOUT_MS_MAX);
  ck_assert ((n.declaration.services[0].fields & LC_DECLARED_OBJECTIVE_LATENCY) != 0);
  lc_numbered_finish (&n);
}
END_TEST

/* The rate of a cold backend server; a tiny declared rate is not rounded to 0, which means none. */
START_TEST (test_cold_rates)
{
  static const struct
  {
    const char *field; /* of the service */
    int code;
    uint32_t rate_mrps;
  } RATES[] = {
    { "", 0, 0 },
    { ",\"warmupS\":2.0,\"warmupPerS\":0.0", 0, 0 },
    { ",\"warmupPerS\":12.5", 0, 12500 },
    { ",\"warmupPerS\":40", 0, 40000 },
    { ",\"warmupPerS\":0.0001", 0, 1 },
    { ",\"warmupPerS\":-1", LC_ERR_INVALID, 0 },
    { ",\"warmupPerS\":1e99", LC_ERR_INVALID, 0 },
    { ",\"warmupPerS\":\"12\"", LC_ERR_INVALID, 0 },
    { ",\"warmupPerS\":null", LC_ERR_INVALID, 0 },
  };

  for (size_t i = 0; i < sizeof RATES / sizeof RATES[0]; i++)
    {
      char *body = g_strdup_printf (
          "{\"version\":7,\"routes\":[],\"backends\":[{\"name\":\"a\"%s}]}", RATES[i].field);
      LcNumberedDeclaration n;
      LcError error = { 0 };

      ck_assert_msg (lc_platform_declaration_read (&n, body, strlen (body), &error) ==
                         RATES[i].code,
                     "%s", body);
      if (RATES[i].code == 0)
        ck_assert_uint_eq (n.declaration.services[0].cold_rate_mrps, RATES[i].rate_mrps);
      else
        ck_assert_ptr_nonnull (strstr (error.message, "$.backends[0].warmupPerS"));
      lc_numbered_finish (&n);
      g_free (body);
    }
}
END_TEST

/* The idle timeout of flows applies to every service; one of a wrong type is an error that names it. */
START_TEST (test_idle_timeouts)
{
  static const struct
  {
    const char *limits;
    uint32_t timeout_ms;
    const char *error; /* NULL: accepted */
  } LIMITS[] = {
    { "", 0, NULL },
    { ",\"limits\":null", 0, NULL },
    { ",\"limits\":{}", 0, NULL },
    { ",\"limits\":{\"maxHeaderBytes\":16384,\"idleTimeoutMs\":15000}", 15000, NULL },
    { ",\"limits\":{\"idleTimeoutMs\":45000.0}", 45000, NULL },
    { ",\"limits\":{\"idleTimeoutMs\":0}", 0, NULL },
    { ",\"limits\":{\"idleTimeoutMs\":null}", 0, NULL },
    { ",\"limits\":{\"idleTimeoutMs\":1e15}", LC_INTENT_IDLE_MS_MAX, NULL },
    { ",\"limits\":{\"idleTimeoutMs\":-1}", 0, "$.limits.idleTimeoutMs" },
    { ",\"limits\":{\"idleTimeoutMs\":\"15000\"}", 0, "$.limits.idleTimeoutMs" },
    { ",\"limits\":{\"idleTimeoutMs\":[15000]}", 0, "$.limits.idleTimeoutMs" },
    { ",\"limits\":[15000]", 0, "$.limits is no object" },
    { ",\"limits\":15000", 0, "$.limits is no object" },
  };

  for (size_t i = 0; i < sizeof LIMITS / sizeof LIMITS[0]; i++)
    {
      char *body =
          g_strdup_printf ("{\"version\":7,\"routes\":[]," SERVICES "%s}", LIMITS[i].limits);
      LcNumberedDeclaration n;
      LcError error = { 0 };
      int r = lc_platform_declaration_read (&n, body, strlen (body), &error);

      ck_assert_msg ((r == 0) == (LIMITS[i].error == NULL), "%s", body);
      for (uint32_t k = 0; k < 2 && r == 0; k++)
        ck_assert_uint_eq (n.declaration.services[k].idle_timeout_ms, LIMITS[i].timeout_ms);
      if (r < 0)
        ck_assert_msg (strstr (error.message, LIMITS[i].error) != NULL, "%s", error.message);
      lc_numbered_finish (&n);
      g_free (body);
    }
}
END_TEST

START_TEST (test_megabyte_of_empty_routes)
{
  GString *body = g_string_new ("{\"version\":7,\"routes\":[");
  LcNumberedDeclaration n;
  LcError error = { 0 };

  while (body->len < (1 << 20))
    g_string_append (body, "{},");
  g_string_append (body, "{}]," SERVICES "}");
  ck_assert_int_eq (lc_platform_declaration_read (&n, body->str, body->len, &error),
                    LC_ERR_INVALID);
  g_string_free (body, TRUE);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("declaration");
  TCase *tcase = tcase_create ("declaration");

  tcase_add_loop_test (tcase, test_read, 0, (int)(sizeof CASES / sizeof CASES[0]));
  tcase_add_test (tcase, test_homes);
  tcase_add_test (tcase, test_objectives);
  tcase_add_test (tcase, test_cold_rates);
  tcase_add_test (tcase, test_idle_timeouts);
  tcase_add_test (tcase, test_megabyte_of_empty_routes);
  suite_add_tcase (suite, tcase);
  return lc_fake_run (suite);
}
