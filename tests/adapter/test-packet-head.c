/* The users' platform's packet header: parsing, marks and resets. */
#include "platform/lc-platform-packet.h"
#include "tests/fakes/lc-fake-run.h"

#include <check.h>
#include <string.h>

/* The first packet in the platform's specification, 100.64.0.7:40001 to 198.18.0.1:443. */
static const uint8_t FIRST[LC_PLATFORM_HEADER_BYTES] = { 0x80, 0,    0,    0,    0,    0,    0x11,
                                                         0x22, 0x33, 0x44, 0,    0,    0,    0,
                                                         0,    0,    0,    0,    0xc6, 0x12, 0x00,
                                                         0x01, 0x64, 0x40, 0x00, 0x07, 0x9c, 0x41,
                                                         0x01, 0xbb, 0xa1, 0xb2, 0xc3, 0xd5 };

typedef struct
{
  const char *what;
  int at; /* byte to overwrite, -1: none */
  uint8_t value;
  size_t len;
  int expected;
  bool may_open;
  bool is_accept;
  bool is_last;
  bool is_reset;
  bool is_returned;
} ParseCase;

static const ParseCase PARSE[] = {
  { "first packet", -1, 0, 34, LC_OK, true, false, false, false, false },
  { "acceptance", 0, 0x81, 34, LC_OK, false, true, false, false, false },
  { "acknowledgement", 0, 0x01, 34, LC_OK, false, false, false, false, false },
  { "end", 0, 0x09, 34, LC_OK, false, false, true, false, false },
  { "reset", 0, 0x10, 34, LC_OK, false, false, true, true, false },
  { "returned first packet", 0, 0x84, 34, LC_OK, true, false, false, false, true },
  { "returned packet", 0, 0x05, 34, LC_OK, false, false, false, false, true },
  { "header cut short", -1, 0, 33, LC_ERR_TRUNCATED, false, false, false, false, false },
  { "nothing", -1, 0, 0, LC_ERR_TRUNCATED, false, false, false, false, false },
  { "data cut short", 5, 4, 37, LC_ERR_TRUNCATED, false, false, false, false, false },
  { "longer than len", 5, 4, 39, LC_ERR_INVALID, false, false, false, false, false },
  { "data", 5, 4, 38, LC_OK, true, false, false, false, false },
  { "longest data", 4, 0x04, 34 + 1024, LC_OK, true, false, false, false, false },
  { "too much data", 4, 0x05, 34 + 1280, LC_ERR_INVALID, false, false, false, false, false },
  { "unknown flag 2", 0, 0x82, 34, LC_ERR_INVALID, false, false, false, false, false },
  { "unknown flag 32", 0, 0x20, 34, LC_ERR_INVALID, false, false, false, false, false },
  { "first and last", 0, 0x88, 34, LC_ERR_INVALID, false, false, false, false, false },
  { "first and reset", 0, 0x90, 34, LC_ERR_INVALID, false, false, false, false, false },
};

START_TEST (test_parse)
{
  const ParseCase *c = &PARSE[_i];
  uint8_t bytes[2048] = { 0 };
  LcPacket packet;

  memcpy (bytes, FIRST, sizeof FIRST);
  if (c->at >= 0)
    bytes[c->at] = c->value;
  ck_assert_msg (lc_platform_packet_parse (&packet, bytes, c->len) == c->expected, "%s", c->what);
  if (c->expected < 0)
    return;
  ck_assert_msg (packet.may_open == c->may_open && packet.is_accept == c->is_accept &&
                     packet.is_last == c->is_last && packet.is_reset == c->is_reset &&
                     packet.is_returned == c->is_returned,
                 "%s", c->what);
  ck_assert_uint_eq (packet.total_len, c->len);
}
END_TEST

START_TEST (test_fields)
{
  uint8_t bytes[sizeof FIRST];
  LcPacket packet;

  memcpy (bytes, FIRST, sizeof bytes);
  ck_assert_int_eq (lc_platform_packet_parse (&packet, bytes, sizeof bytes), 0);
  ck_assert_uint_eq (packet.key.source_ipv4, 0x64400007);
  ck_assert_uint_eq (packet.key.target_ipv4, 0xc6120001);
  ck_assert_uint_eq (packet.key.source_port, 40001);
  ck_assert_uint_eq (packet.key.target_port, 443);
  ck_assert_uint_eq (packet.n_copies, 0);
  bytes[13] = 2; /* copies sent before a first packet; else acknowledged */
  ck_assert_int_eq (lc_platform_packet_parse (&packet, bytes, sizeof bytes), 0);
  ck_assert_uint_eq (packet.n_copies, 2);
  ck_assert_uint_eq (packet.acknowledged, 0);
  bytes[0] = 0x01;
  ck_assert_int_eq (lc_platform_packet_parse (&packet, bytes, sizeof bytes), 0);
  ck_assert_uint_eq (packet.n_copies, 0);
  ck_assert_uint_eq (packet.acknowledged, 2);
}
END_TEST

/* Setting a mark changes only `echo` and BOUNCED: the sum covers all else but pad. */
START_TEST (test_mark)
{
  static const uint32_t MARKS[] = { 0, 1, 32, 0xfffffffe };
  uint8_t bytes[sizeof FIRST];
  LcPacket packet;

  for (size_t i = 0; i < sizeof MARKS / sizeof MARKS[0]; i++)
    {
      memcpy (bytes, FIRST, sizeof bytes);
      bytes[0] |= 4;
      lc_platform_packet_set_mark (bytes, MARKS[i]);
      ck_assert_int_eq (lc_platform_packet_parse (&packet, bytes, sizeof bytes), 0);
      ck_assert_uint_eq (packet.mark, MARKS[i]);
      ck_assert (!packet.is_returned);
      memset (bytes + 14, 0, 4);
      ck_assert_mem_eq (bytes, FIRST, sizeof bytes);
    }
}
END_TEST

/* The example of a reset in the platform's specification. */
START_TEST (test_reset)
{
  static const uint8_t RESET[LC_PLATFORM_HEADER_BYTES] = {
    0x10, 0,    0,    0,    0,    0,    0,    0,    0,    0,    0,    0,    0,    0, 0, 0, 0,
    0,    0x64, 0x40, 0x00, 0x07, 0xc6, 0x12, 0x00, 0x01, 0x01, 0xbb, 0x9c, 0x41, 0, 0, 0, 0
  };
  uint8_t bytes[sizeof FIRST];
  uint8_t out[LC_PLATFORM_HEADER_BYTES];
  LcPacket packet;

  memcpy (bytes, FIRST, sizeof bytes);
  ck_assert_int_eq (lc_platform_packet_parse (&packet, bytes, sizeof bytes), 0);
  lc_platform_packet_build_reset (&packet, out);
  ck_assert_mem_eq (out, RESET, sizeof out);
  bytes[0] = 0x01;
  memcpy (bytes + 10, "\x01\x02\x03\x04", 4);
  ck_assert_int_eq (lc_platform_packet_parse (&packet, bytes, sizeof bytes), 0);
  lc_platform_packet_build_reset (&packet, out);
  ck_assert_mem_eq (out + 6, "\x01\x02\x03\x04", 4);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("packet-head");
  TCase *tcase = tcase_create ("packet-head");

  tcase_add_loop_test (tcase, test_parse, 0, (int)(sizeof PARSE / sizeof PARSE[0]));
  tcase_add_test (tcase, test_fields);
  tcase_add_test (tcase, test_mark);
  tcase_add_test (tcase, test_reset);
  suite_add_tcase (suite, tcase);
  return lc_fake_run (suite);
}
