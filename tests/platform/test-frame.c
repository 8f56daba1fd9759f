/* Decoding frames that are whole, truncated at any byte, or malformed. */
#include "io/lc-frame.h"
#include "tests/fakes/lc-fake-run.h"

#include <check.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

/* A header and the result of decoding it: a size, 0 if more is needed, or an error. */
static const struct
{
  uint8_t bytes[LC_FRAME_HEADER_BYTES];
  size_t len;
  int result;
} HEADERS[] = {
  { { 0x4c, 0x43, 1, 0, 0, 100, 0, 0, 0, 0, 0, 0 }, 12, 12 },
  { { 0x4c, 0x43, 1, 0, 0, 100, 0, 0, 0, 0, 0, 0 }, 11, 0 },
  { { 0x4c, 0x43, 1, 0, 0, 100, 0, 0, 0, 0, 0, 0 }, 0, 0 },
  { { 0x4c, 0x43, 1, 0, 0, 100, 0, 0, 0, 0, 0, 1 }, 12, 0 },
  { { 0x4c, 0x43, 1, 0, 1, 0xf3, 0, 0, 0, 0, 0, 0 }, 12, 12 },
  { { 0x4c, 0x43, 1, 0, 1, 0xf4, 0, 0, 0, 0, 0, 0 }, 12, LC_ERR_CORRUPT }, /* type 500 */
  { { 0x4c, 0x43, 1, 0, 0, 99, 0, 0, 0, 0, 0, 0 }, 12, LC_ERR_CORRUPT },
  { { 0x4c, 0x43, 1, 1, 0, 100, 0, 0, 0, 0, 0, 0 }, 12, LC_ERR_CORRUPT },
  { { 0x4c, 0x43, 1, 0, 0, 100, 0, 1, 0, 0, 0, 0 }, 12, LC_ERR_CORRUPT },
  { { 0x4c, 0x44, 1, 0, 0, 100, 0, 0, 0, 0, 0, 0 }, 12, LC_ERR_CORRUPT },
  { { 'G', 'E', 'T', ' ', '/', ' ', 'H', 'T', 'T', 'P', '/', '1' }, 12, LC_ERR_CORRUPT },
  { { 0x4c, 0x43, 2, 0, 0, 100, 0, 0, 0, 0, 0, 0 }, 12, LC_ERR_VERSION },
  { { 0x4c, 0x43, 0, 0, 0, 100, 0, 0, 0, 0, 0, 0 }, 12, LC_ERR_VERSION },
  { { 0x4c, 0x43, 1, 0, 0, 100, 0, 0, 0, 0x10, 0, 0 }, 12, 0 }, /* 1 MiB: the limit itself */
  { { 0x4c, 0x43, 1, 0, 0, 100, 0, 0, 0, 0x10, 0, 1 }, 12, LC_ERR_FULL },
  { { 0x4c, 0x43, 1, 0, 0, 100, 0, 0, 0xff, 0xff, 0xff, 0xff }, 12, LC_ERR_FULL },
};

START_TEST (test_header)
{
  LcFrame frame;
  LcError error = { 0 };
  int r = lc_frame_decode (&frame, HEADERS[_i].bytes, HEADERS[_i].len, &error);

  ck_assert_int_eq (r, HEADERS[_i].result);
  ck_assert (r >= 0 || (error.message[0] != '\0' && error.remedy[0] != '\0'));
}
END_TEST

START_TEST (test_round_trip_of_each_prefix)
{
  uint8_t bytes[LC_FRAME_HEADER_BYTES + 5] = { 0 };
  LcFrame frame;

  lc_frame_encode_header (bytes, 321, 5);
  memcpy (bytes + LC_FRAME_HEADER_BYTES, "hello", 5);
  for (size_t len = 0; len < sizeof bytes; len++)
    ck_assert_int_eq (lc_frame_decode (&frame, bytes, len, NULL), 0);
  ck_assert_int_eq (lc_frame_decode (&frame, bytes, sizeof bytes, NULL), (int)sizeof bytes);
  ck_assert_uint_eq (frame.type, 321);
  ck_assert_uint_eq (frame.payload_len, 5);
  ck_assert_mem_eq (frame.payload, "hello", 5);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("frame");
  TCase *tcase = tcase_create ("decode");

  tcase_add_loop_test (tcase, test_header, 0, G_N_ELEMENTS (HEADERS));
  tcase_add_test (tcase, test_round_trip_of_each_prefix);
  suite_add_tcase (suite, tcase);
  return lc_fake_run (suite);
}
