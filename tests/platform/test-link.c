/* Links over loopback TCP: order, malformed input, reconnecting, backlog, finishing in a callback,
 * keep-alive. */
#include "io/lc-clock.h"
#include "io/lc-link.h"
#include "io/lc-log.h"
#include "tests/fakes/lc-fake-run.h"

#include <arpa/inet.h>
#include <check.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  HOST = 0x7f230001, /* 127.35.0.1 */
  LIVENESS_US = 20000000,
  TURN_WAIT_MS = 10,
  TYPE = 150,
};

typedef struct
{
  h2o_loop_t *loop;
  LcLinkServer server;
  LcLinkClient client;
  GByteArray *received; /* by the server: first byte of each payload */
  uint64_t bytes;
  int server_ups;
  int server_downs;
  int client_ups;
  int client_downs;
  bool is_echoing;
  bool finish_client_in_down;
  bool has_client;
} World;

static void
on_server_frame (void *user, LcLink *link, const LcFrame *frame)
{
  World *w = user;

  w->bytes += frame->payload_len;
  if (frame->payload_len > 0)
    g_byte_array_append (w->received, frame->payload, 1);
  if (w->is_echoing)
    (void)lc_link_send_bytes (link, frame->type, frame->payload, frame->payload_len);
}

static void
on_server_up (void *user, LcLink *link)
{
  ((World *)user)->server_ups++;
}

static void
on_server_down (void *user, LcLink *link, const char *why)
{
  ck_assert (why[0] != '\0');
  ((World *)user)->server_downs++;
}

static void
on_client_frame (void *user, LcLink *link, const LcFrame *frame)
{
}

static void
on_client_up (void *user, LcLink *link)
{
  ((World *)user)->client_ups++;
}

static void
on_client_down (void *user, LcLink *link, const char *why)
{
  World *w = user;

  w->client_downs++;
  if (!w->finish_client_in_down)
    return;
  lc_link_client_finish (&w->client);
  w->has_client = false;
}

static uint16_t
start_server (World *w, uint16_t port, uint32_t max_links)
{
  LcLinkServerDesc desc = { .loop = w->loop,
                            .ipv4 = HOST,
                            .port = port,
                            .max_links = max_links,
                            .handler = { w, on_server_frame, on_server_up, on_server_down } };
  LcError error = { 0 };

  ck_assert_msg (lc_link_server_init (&w->server, &desc, &error) == 0, "%s", error.message);
  return lc_link_server_port (&w->server);
}

static World *
new_world (uint32_t max_links)
{
  World *w = g_new0 (World, 1);

  lc_log_init (LC_LOG_ERROR, "test", "link");
  w->loop = h2o_evloop_create ();
  w->received = g_byte_array_new ();
  (void)start_server (w, 0, max_links);
  return w;
}

static void
start_client (World *w, uint16_t port, uint32_t backlog)
{
  LcLinkClientDesc desc = { .loop = w->loop,
                            .ipv4 = HOST,
                            .port = port,
                            .backoff_min_ms = 5,
                            .backoff_max_ms = 20,
                            .max_backlog_bytes = backlog,
                            .handler = { w, on_client_frame, on_client_up, on_client_down } };

  lc_link_client_init (&w->client, &desc);
  w->has_client = true;
}

/* Runs the loop until *counter reaches `n`. */
static void
run_until (World *w, const int *counter, int n)
{
  int64_t limit_us = lc_clock_now_us () + LIVENESS_US;

  while (*counter < n && lc_clock_now_us () < limit_us)
    (void)h2o_evloop_run (w->loop, TURN_WAIT_MS);
  ck_assert_int_ge (*counter, n);
}

static void
run_until_bytes (World *w, uint64_t n)
{
  int64_t limit_us = lc_clock_now_us () + LIVENESS_US;

  while (w->bytes < n && lc_clock_now_us () < limit_us)
    (void)h2o_evloop_run (w->loop, TURN_WAIT_MS);
  ck_assert_uint_eq (w->bytes, n);
}

static void
free_world (World *w)
{
  if (w->has_client)
    lc_link_client_finish (&w->client);
  lc_link_server_finish (&w->server);
  (void)h2o_evloop_run (w->loop, 1);
  g_byte_array_unref (w->received);
  g_free (w);
}

START_TEST (test_order_and_sizes)
{
  static const size_t SIZES[] = { 1, 2, 100, 5000, 70000, LC_FRAME_PAYLOAD_MAX, 1 };
  World *w = new_world (0);
  uint8_t *bytes = g_malloc0 (LC_FRAME_PAYLOAD_MAX + 1);
  uint64_t total = 0;

  start_client (w, lc_link_server_port (&w->server), 0);
  run_until (w, &w->client_ups, 1);
  for (size_t i = 0; i < G_N_ELEMENTS (SIZES); i++)
    {
      bytes[0] = (uint8_t)i;
      total += SIZES[i];
      ck_assert_int_eq (
          lc_link_send_bytes (lc_link_client_link (&w->client), TYPE, bytes, SIZES[i]), 0);
    }
  ck_assert_int_eq (
      lc_link_send_bytes (lc_link_client_link (&w->client), TYPE, bytes, LC_FRAME_PAYLOAD_MAX + 1),
      LC_ERR_FULL);
  run_until_bytes (w, total);
  for (size_t i = 0; i < G_N_ELEMENTS (SIZES); i++)
    ck_assert_uint_eq (w->received->data[i], i);
  g_free (bytes);
  free_world (w);
}
END_TEST

/* Malformed bytes are counted and close their link, but no other one. */
static const struct
{
  const char *name;
  const char *bytes;
  size_t len;
} MALFORMED[] = {
  { "wrong magic", "GET / HTTP/1.1\r\n\r\n", 18 },
  { "unknown version", "LC\x09\x00\x00\x64\x00\x00\x00\x00\x00\x00", 12 },
  { "unknown type", "LC\x01\x00\xff\xff\x00\x00\x00\x00\x00\x00", 12 },
  { "oversized", "LC\x01\x00\x00\x64\x00\x00\xff\xff\xff\xff", 12 },
  { "after a good frame", "LC\x01\x00\x00\x64\x00\x00\x00\x00\x00\x00garbage-garbage", 27 },
};

static int
connect_raw (uint16_t port)
{
  struct sockaddr_in address = { .sin_family = AF_INET,
                                 .sin_port = htons (port),
                                 .sin_addr.s_addr = htonl (HOST) };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  ck_assert_int_eq (connect (fd, (struct sockaddr *)&address, sizeof address), 0);
  return fd;
}

START_TEST (test_malformed_closes_its_link)
{
  World *w = new_world (0);
  int fd;

  start_client (w, lc_link_server_port (&w->server), 0);
  run_until (w, &w->server_ups, 1);
  fd = connect_raw (lc_link_server_port (&w->server));
  ck_assert_int_eq (write (fd, MALFORMED[_i].bytes, MALFORMED[_i].len), (ssize_t)MALFORMED[_i].len);
  run_until (w, &w->server_downs, 1);
  ck_assert_uint_eq (w->server.malformed_total, 1);
  ck_assert_uint_eq (w->server.n_links, 1);
  ck_assert_int_eq (w->client_downs, 0);
  ck_assert_int_eq (
      lc_link_send_bytes (lc_link_client_link (&w->client), TYPE, (const uint8_t *)"x", 1), 0);
  run_until_bytes (w, 1);
  close (fd);
  free_world (w);
}
END_TEST

START_TEST (test_truncated_then_closed)
{
  World *w = new_world (0);
  int fd = connect_raw (lc_link_server_port (&w->server));

  ck_assert_int_eq (write (fd, "LC\x01\x00\x00\x64", 6), 6);
  run_until (w, &w->server_ups, 1);
  close (fd);
  run_until (w, &w->server_downs, 1);
  ck_assert_uint_eq (w->server.malformed_total, 0);
  free_world (w);
}
END_TEST

START_TEST (test_reconnect)
{
  World *w = new_world (0);
  uint16_t port = lc_link_server_port (&w->server);

  start_client (w, port, 0);
  run_until (w, &w->client_ups, 1);
  lc_link_server_finish (&w->server);
  run_until (w, &w->client_downs, 1);
  ck_assert_ptr_null (lc_link_client_link (&w->client));
  (void)start_server (w, port, 0);
  run_until (w, &w->client_ups, 2);
  ck_assert_uint_eq (w->client.connects_total, 2);
  free_world (w);
}
END_TEST

/* While the peer doesn't read, sends are refused at the bound instead of growing the backlog. */
START_TEST (test_backlog_limit)
{
  World *w = new_world (0);
  uint8_t bytes[10000] = { 0 };
  int refused = 0;

  start_client (w, lc_link_server_port (&w->server), 100000);
  run_until (w, &w->client_ups, 1);
  for (int i = 0; i < 5000 && refused == 0; i++)
    refused = lc_link_send_bytes (lc_link_client_link (&w->client), TYPE, bytes, sizeof bytes);
  ck_assert_int_eq (refused, LC_ERR_FULL);
  ck_assert_uint_le (lc_link_backlog_bytes (lc_link_client_link (&w->client)),
                     100000 + LC_FRAME_HEADER_BYTES * 10);
  free_world (w);
}
END_TEST

START_TEST (test_max_links)
{
  World *w = new_world (2);
  int fds[3];

  for (int i = 0; i < 3; i++)
    fds[i] = connect_raw (lc_link_server_port (&w->server));
  run_until (w, &w->server_ups, 2);
  while (w->server.refused_total == 0)
    (void)h2o_evloop_run (w->loop, TURN_WAIT_MS);
  ck_assert_uint_eq (w->server.n_links, 2);
  for (int i = 0; i < 3; i++)
    close (fds[i]);
  free_world (w);
}
END_TEST

START_TEST (test_client_finishes_in_down)
{
  World *w = new_world (0);

  w->finish_client_in_down = true;
  start_client (w, lc_link_server_port (&w->server), 0);
  run_until (w, &w->client_ups, 1);
  run_until (w, &w->server_ups, 1);
  lc_link_server_finish (&w->server);
  run_until (w, &w->client_downs, 1);
  (void)h2o_evloop_run (w->loop, TURN_WAIT_MS);
  ck_assert_int_eq (w->client_ups, 1);
  (void)start_server (w, 0, 0);
  free_world (w);
}
END_TEST

/* A client whose memory is freed and reused by the handler of a frame. */
typedef struct
{
  LcLinkClient client;
  bool is_reused;
  int downs;
} Reused;

static void
reuse_on_frame (void *user, LcLink *link, const LcFrame *frame)
{
  Reused *reused = user;

  lc_link_client_finish (&reused->client);
  memset (&reused->client, 0x5a, sizeof reused->client);
  reused->is_reused = true;
}

static void
count_down (void *user, LcLink *link, const char *why)
{
  ((Reused *)user)->downs++;
}

START_TEST (test_client_reused_in_frame)
{
  World *w = new_world (0);
  Reused reused = { 0 };
  LcLinkClient untouched;
  LcLinkClientDesc desc = { .loop = w->loop,
                            .ipv4 = HOST,
                            .port = lc_link_server_port (&w->server),
                            .handler = { &reused, reuse_on_frame, NULL, count_down } };

  memset (&untouched, 0x5a, sizeof untouched);
  w->is_echoing = true;
  lc_link_client_init (&reused.client, &desc);
  while (lc_link_client_link (&reused.client) == NULL)
    (void)h2o_evloop_run (w->loop, TURN_WAIT_MS);
  ck_assert_int_eq (
      lc_link_send_bytes (lc_link_client_link (&reused.client), TYPE, (const uint8_t *)"x", 1), 0);
  run_until (w, &reused.downs, 1);
  run_until (w, &w->server_downs, 1);
  ck_assert (reused.is_reused);
  ck_assert_mem_eq (&reused.client, &untouched, sizeof untouched);
  free_world (w);
}
END_TEST

/* === silence ================================================================================ */

enum
{
  KEEP_ALIVE_MS = 20,
  SILENT_MS = 60,
};

/* A peer that accepts connections and never sends: its kernel acknowledges what it receives, so TCP
 * detects no failure. */
static int
silent_listener (uint16_t *port)
{
  struct sockaddr_in address = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (HOST) };
  socklen_t len = sizeof address;
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  ck_assert_int_eq (bind (fd, (struct sockaddr *)&address, sizeof address), 0);
  ck_assert_int_eq (listen (fd, 64), 0);
  ck_assert_int_eq (getsockname (fd, (struct sockaddr *)&address, &len), 0);
  *port = ntohs (address.sin_port);
  return fd;
}

START_TEST (test_client_closes_silent_link)
{
  World *w = new_world (0);
  LcLinkClientDesc desc = { .loop = w->loop,
                            .ipv4 = HOST,
                            .backoff_min_ms = 5,
                            .backoff_max_ms = 20,
                            .keep_alive = { KEEP_ALIVE_MS, SILENT_MS },
                            .handler = { w, on_client_frame, on_client_up, on_client_down } };
  int fd = silent_listener (&desc.port);

  lc_link_client_init (&w->client, &desc);
  w->has_client = true;
  run_until (w, &w->client_downs, 1);
  run_until (w, &w->client_ups, 3); /* keeps reconnecting */
  /* Then a live server takes its place. */
  lc_link_client_retarget (&w->client, HOST, lc_link_server_port (&w->server));
  run_until (w, &w->server_ups, 1);
  (void)close (fd);
  free_world (w);
}
END_TEST

START_TEST (test_server_closes_silent_link)
{
  World *w = new_world (0);
  struct sockaddr_in address = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (HOST) };
  LcLinkServerDesc desc = { .loop = w->loop,
                            .ipv4 = HOST,
                            .keep_alive = { KEEP_ALIVE_MS, SILENT_MS },
                            .handler = { w, on_server_frame, on_server_up, on_server_down } };
  LcError error = { 0 };
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  lc_link_server_finish (&w->server);
  ck_assert_int_eq (lc_link_server_init (&w->server, &desc, &error), 0);
  address.sin_port = htons (lc_link_server_port (&w->server));
  ck_assert_int_eq (connect (fd, (struct sockaddr *)&address, sizeof address), 0);
  run_until (w, &w->server_ups, 1);
  run_until (w, &w->server_downs, 1);
  (void)close (fd);
  free_world (w);
}
END_TEST

/* An idle link stays up, because pings are answered. */
START_TEST (test_idle_link_stays_up)
{
  World *w = new_world (0);
  LcLinkServerDesc server = { .loop = w->loop,
                              .ipv4 = HOST,
                              .keep_alive = { KEEP_ALIVE_MS, 100 * SILENT_MS },
                              .handler = { w, on_server_frame, on_server_up, on_server_down } };
  LcLinkClientDesc client = { .loop = w->loop,
                              .ipv4 = HOST,
                              .keep_alive = { KEEP_ALIVE_MS, 100 * SILENT_MS },
                              .handler = { w, on_client_frame, on_client_up, on_client_down } };
  uint64_t idle_bytes = 20 * 2 * LC_FRAME_HEADER_BYTES; /* twenty pings and pongs */
  LcError error = { 0 };

  lc_link_server_finish (&w->server);
  ck_assert_int_eq (lc_link_server_init (&w->server, &server, &error), 0);
  client.port = lc_link_server_port (&w->server);
  lc_link_client_init (&w->client, &client);
  w->has_client = true;
  run_until (w, &w->client_ups, 1);
  while (w->client_downs == 0 &&
         lc_link_bytes_total (lc_link_client_link (&w->client)) < idle_bytes)
    (void)h2o_evloop_run (w->loop, TURN_WAIT_MS);
  ck_assert_int_eq (w->client_downs, 0);
  ck_assert_int_eq (w->server_downs, 0);
  ck_assert_uint_eq (w->bytes, 0); /* the handler gets none of them */
  free_world (w);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("link");
  TCase *tcase = tcase_create ("loopback");

  tcase_set_timeout (tcase, 60);
  tcase_add_test (tcase, test_order_and_sizes);
  tcase_add_loop_test (tcase, test_malformed_closes_its_link, 0, G_N_ELEMENTS (MALFORMED));
  tcase_add_test (tcase, test_truncated_then_closed);
  tcase_add_test (tcase, test_reconnect);
  tcase_add_test (tcase, test_backlog_limit);
  tcase_add_test (tcase, test_max_links);
  tcase_add_test (tcase, test_client_finishes_in_down);
  tcase_add_test (tcase, test_client_reused_in_frame);
  tcase_add_test (tcase, test_client_closes_silent_link);
  tcase_add_test (tcase, test_server_closes_silent_link);
  tcase_add_test (tcase, test_idle_link_stays_up);
  suite_add_tcase (suite, tcase);
  return lc_fake_run (suite);
}
