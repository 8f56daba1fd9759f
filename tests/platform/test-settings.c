/* Settings: each kind of error has the file, the JSON path, what is wrong and the remedy. */
#include "agent/lc-agent-settings.h"
#include "balancer/lc-balancer-settings.h"
#include "tests/fakes/lc-fake-run.h"

#include <check.h>
#include <glib.h>
#include <stdlib.h>

typedef struct
{
  char name[LC_NAME_MAX];
  uint16_t port;
  uint32_t wait_ms;
  uint64_t big;
  bool is_on;
  uint32_t colour;
  uint32_t factor_permille;
  uint32_t ipv4;
  LcSocketAddress to;
  uint32_t n_list;
  LcSocketAddress list[3];
} Mine;

#define FIELD(member) .offset = offsetof (Mine, member)
static const char *const COLOURS[] = { "red", "green", NULL };
static const LcSettingsField FIELDS[] = {
  { .path = "name",
    .kind = LC_SETTING_STRING,
    FIELD (name),
    .size = LC_NAME_MAX,
    .is_required = true,
    .help = "unique name" },
  { .path = "port",
    .kind = LC_SETTING_U16,
    FIELD (port),
    .min = 1,
    .default_u64 = 7000,
    .unit = "port" },
  { .path = "wait.ms",
    .kind = LC_SETTING_U32,
    FIELD (wait_ms),
    .min = 10,
    .max = 500,
    .default_u64 = 20 },
  { .path = "big", .kind = LC_SETTING_U64, FIELD (big) },
  { .path = "is_on", .kind = LC_SETTING_BOOL, FIELD (is_on), .default_u64 = 1 },
  { .path = "colour", .kind = LC_SETTING_CHOICE, FIELD (colour), .choices = COLOURS },
  { .path = "factor",
    .kind = LC_SETTING_PERMILLE,
    FIELD (factor_permille),
    .min = 1000,
    .max = 3000,
    .default_u64 = 1000 },
  { .path = "ipv4", .kind = LC_SETTING_IPV4, FIELD (ipv4), .default_str = "127.0.0.1" },
  { .path = "to", .kind = LC_SETTING_ADDRESS, FIELD (to), .default_str = "127.0.0.1:80" },
  { .path = "list",
    .kind = LC_SETTING_ADDRESS_LIST,
    FIELD (list),
    .size = sizeof ((Mine *)0)->list,
    .count_offset = offsetof (Mine, n_list) },
};
static const LcSettingsSchema SCHEMA = {
  .program = "test", .fields = FIELDS, .n_fields = G_N_ELEMENTS (FIELDS), .size = sizeof (Mine)
};

/* `wants` are parts of the message, `remedy` is a part of the remedy. */
static const struct
{
  const char *json;
  const char *wants[3];
  const char *remedy;
} ERRORS[] = {
  { "", { "f.json: line 1" }, "correct the JSON" },
  { "[1]", { "f.json", "$ is not an object" }, "{...}" },
  { "{\"name\":\"a\"", { "f.json: line 1" }, "correct the JSON" },
  { "{\"name\":\"a\",\"name\":\"b\"}", { "f.json", "duplicate" }, "correct the JSON" },
  { "{}", { "f.json", "$.name is missing", "unique name" }, "add the field" },
  { "{\"name\":\"\"}", { "f.json", "$.name is empty" }, "give it a value" },
  { "{\"name\":5}", { "f.json", "$.name", "expected a string" }, "--print-settings" },
  { "{\"name\":null}", { "f.json", "$.name", "expected a string" }, "--print-settings" },
  { "{\"name\":\"0123456789012345678901234567890123456789012345678\"}",
    { "f.json", "$.name has 49 bytes", "at most 47" },
    "shorter" },
  { "{\"name\":\"a\",\"factor\":0.5}",
    { "f.json", "$.factor is no number from 1 to 3" },
    "within its range" },
  { "{\"name\":\"a\",\"factor\":\"2\"}",
    { "f.json", "$.factor is no number from 1 to 3" },
    "within its range" },
  { "{\"name\":\"a\",\"prot\":1}", { "f.json", "$.prot is not a setting of test" }, "spelling" },
  { "{\"name\":\"a\",\"wait\":{\"s\":1}}", { "$.wait.s is not a setting" }, "spelling" },
  { "{\"name\":\"a\",\"wait\":7}", { "f.json", "$.wait" }, "" },
  { "{\"name\":\"a\",\"port\":\"7000\"}", { "$.port", "expected a whole number" }, "--print" },
  { "{\"name\":\"a\",\"port\":7000.5}", { "$.port", "expected a whole number" }, "--print" },
  { "{\"name\":\"a\",\"port\":0}", { "$.port: 0 is out of range" }, "from 1 to 65535 (port)" },
  { "{\"name\":\"a\",\"port\":65536}", { "$.port: 65536 is out" }, "from 1 to 65535" },
  { "{\"name\":\"a\",\"port\":-1}", { "$.port: -1 is out of range" }, "from 1" },
  { "{\"name\":\"a\",\"wait\":{\"ms\":9}}", { "$.wait.ms: 9 is out" }, "from 10 to 500" },
  { "{\"name\":\"a\",\"wait\":{\"ms\":501}}", { "$.wait.ms: 501 is out" }, "from 10 to 500" },
  { "{\"name\":\"a\",\"big\":9223372036854775808}", { "f.json: line 1", "big integer" }, "" },
  { "{\"name\":\"a\",\"is_on\":1}", { "$.is_on", "true or false" }, "--print-settings" },
  { "{\"name\":\"a\",\"colour\":\"blue\"}", { "$.colour: blue" }, "red green" },
  { "{\"name\":\"a\",\"colour\":1}", { "$.colour" }, "red green" },
  { "{\"name\":\"a\",\"ipv4\":\"127.0.0\"}", { "$.ipv4", "IPv4" }, "--print-settings" },
  { "{\"name\":\"a\",\"to\":\"127.0.0.1\"}", { "$.to", "127.0.0.1:7000" }, "--print-settings" },
  { "{\"name\":\"a\",\"to\":\"127.0.0.1:0\"}", { "$.to" }, "--print-settings" },
  { "{\"name\":\"a\",\"to\":\"127.0.0.1:99999\"}", { "$.to" }, "--print-settings" },
  { "{\"name\":\"a\",\"list\":\"x\"}", { "$.list", "array" }, "--print-settings" },
  { "{\"name\":\"a\",\"list\":[\"1.2.3.4:5\",7]}", { "$.list[1] is not an address" }, "write it" },
  { "{\"name\":\"a\",\"list\":[\"1.2.3.4:5\",\"1.2.3.4:5\"]}",
    { "$.list[1] repeats 1.2.3.4:5" },
    "once" },
  { "{\"name\":\"a\",\"list\":[\"1.2.3.4:5\",\"1.2.3.4:6\",\"1.2.3.4:7\",\"1.2.3.4:8\"]}",
    { "$.list has 4 entries" },
    "fewer" },
};

START_TEST (test_error)
{
  const char *json = ERRORS[_i].json;
  Mine mine;
  Mine before;
  LcError error = { 0 };

  memset (&mine, 0x5a, sizeof mine);
  before = mine;
  ck_assert_int_eq (lc_settings_parse (&SCHEMA, &mine, json, strlen (json), "f.json", &error),
                    LC_ERR_INVALID);
  for (int i = 0; i < 3 && ERRORS[_i].wants[i] != NULL; i++)
    ck_assert_msg (strstr (error.message, ERRORS[_i].wants[i]) != NULL, "%s: %s", json,
                   error.message);
  ck_assert_msg (strstr (error.remedy, ERRORS[_i].remedy) != NULL, "%s: %s", json, error.remedy);
  ck_assert_msg (error.remedy[0] != '\0', "%s has no remedy", json);
  ck_assert_mem_eq (&mine, &before, sizeof mine); /* nothing is half-applied */
}
END_TEST

START_TEST (test_defaults)
{
  static const char JSON[] = "{\"name\":\"a\"}";
  Mine mine;

  ck_assert_int_eq (lc_settings_parse (&SCHEMA, &mine, JSON, strlen (JSON), "f", NULL), 0);
  ck_assert_str_eq (mine.name, "a");
  ck_assert_uint_eq (mine.port, 7000);
  ck_assert_uint_eq (mine.wait_ms, 20);
  ck_assert (mine.is_on);
  ck_assert_uint_eq (mine.colour, 0);
  ck_assert_uint_eq (mine.factor_permille, 1000);
  ck_assert_uint_eq (mine.ipv4, 0x7f000001);
  ck_assert_uint_eq (mine.to.port, 80);
  ck_assert_uint_eq (mine.n_list, 0);
}
END_TEST

START_TEST (test_values)
{
  static const char JSON[] =
      "{\"name\":\"b\",\"port\":65535,\"wait\":{\"ms\":500},\"big\":9223372036854775807,"
      "\"is_on\":false,\"colour\":\"green\",\"factor\":1.5,\"ipv4\":\"10.1.2.3\",\"to\":\"10.0.0.1:"
      "9\","
      "\"list\":[\"1.2.3.4:5\",\"1.2.3.4:6\"]}";
  Mine mine;

  ck_assert_int_eq (lc_settings_parse (&SCHEMA, &mine, JSON, strlen (JSON), "f", NULL), 0);
  ck_assert_uint_eq (mine.port, 65535);
  ck_assert_uint_eq (mine.wait_ms, 500);
  ck_assert (mine.big == INT64_MAX);
  ck_assert (!mine.is_on);
  ck_assert_uint_eq (mine.colour, 1);
  ck_assert_uint_eq (mine.factor_permille, 1500);
  ck_assert_uint_eq (mine.ipv4, 0x0a010203);
  ck_assert_uint_eq (mine.to.port, 9);
  ck_assert_uint_eq (mine.n_list, 2);
  ck_assert_uint_eq (mine.list[1].port, 6);
}
END_TEST

/* The programs' tables: defaults are in range, each field has a help text and a unique path, and a
 * choice has its list. */
static const LcSettingsSchema *const SCHEMAS[] = { &LC_AGENT_SCHEMA, &LC_BALANCER_SCHEMA };

START_TEST (test_schema)
{
  const LcSettingsSchema *schema = SCHEMAS[_i];

  for (size_t i = 0; i < schema->n_fields; i++)
    {
      const LcSettingsField *f = &schema->fields[i];
      bool is_number =
          f->kind == LC_SETTING_U16 || f->kind == LC_SETTING_U32 || f->kind == LC_SETTING_U64;

      ck_assert_msg (f->help != NULL && f->help[0] != '\0', "%s has no help", f->path);
      ck_assert_msg (f->offset < schema->size, "%s is outside its struct", f->path);
      ck_assert_msg (f->kind != LC_SETTING_CHOICE || f->choices != NULL, "%s", f->path);
      for (size_t k = 0; k < i; k++)
        ck_assert_str_ne (f->path, schema->fields[k].path);
      if (!is_number || f->is_required)
        continue;
      ck_assert_msg (f->unit != NULL, "%s has no unit", f->path);
      ck_assert_msg (f->default_u64 >= f->min, "%s: default below its range", f->path);
      ck_assert_msg (f->max == 0 || f->default_u64 <= f->max, "%s: default above", f->path);
    }
}
END_TEST

START_TEST (test_missing_file)
{
  Mine mine;
  LcError error = { 0 };

  ck_assert_int_lt (lc_settings_load (&SCHEMA, &mine, "/nonexistent/f.json", &error), 0);
  ck_assert_ptr_nonnull (strstr (error.message, "/nonexistent/f.json"));
  ck_assert_ptr_nonnull (strstr (error.remedy, "--settings"));
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("settings");
  TCase *tcase = tcase_create ("tables");

  tcase_add_loop_test (tcase, test_error, 0, G_N_ELEMENTS (ERRORS));
  tcase_add_loop_test (tcase, test_schema, 0, G_N_ELEMENTS (SCHEMAS));
  tcase_add_test (tcase, test_defaults);
  tcase_add_test (tcase, test_values);
  tcase_add_test (tcase, test_missing_file);
  suite_add_tcase (suite, tcase);
  return lc_fake_run (suite);
}
