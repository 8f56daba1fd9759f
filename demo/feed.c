/* lychee-demo-feed: generates the traffic of a UDP feed's callers, sprayed by the fabric.
 *
 * WHAT IT IS
 *   Opens one UDP socket per flow on one caller address.  Each packet of a flow is a raw IPv4/UDP
 *   packet from that socket's address to the service's, sent in a UDP datagram to a balancer
 *   chosen at random (seeded) from a file.  Answers reach the flow's socket as "SERVER FLOW SEQ";
 *   all answers of a flow must name one server.
 *
 * BALANCER FILE
 *   One "a.b.c.d:port" per line; read again whenever it changes.
 *
 * OUTPUT
 *   One JSON line per second and a last one with "final":true: flows, packets, answered, lost,
 *   broken_flows (answered by two servers, or with another flow's answer), silent_flows (no answer
 *   in the last second of sending), longest_gap_ms, servers (flows of each).  Exit 0 when no flow
 *   is broken or silent.
 */
#include "lc-caller-packet.h"

#include "io/lc-clock.h"
#include "io/lc-settings.h"

#include <argtable2.h>
#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <poll.h>
#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

enum
{
  LC_FEED_MAX_FLOWS = 4096,
  LC_FEED_SETTLE_US = 500000, /* wait for late answers at the end */
  LC_FEED_SILENT_US = 1000000,
};

typedef struct
{
  LcSocketAddress service;
  uint32_t source_ipv4;
  uint32_t n_flows;
  uint32_t interval_ms;
  uint32_t seconds;
  uint32_t seed;
  char balancers_path[256];
} LcFeedSettings;

typedef struct
{
  int fd;
  uint16_t port;
  uint64_t seq;
  uint64_t answered;
  int64_t last_answer_us;
  int64_t longest_gap_us;
  bool is_broken;
  char server[LC_NAME_MAX]; /* that answered first */
} LcFeedFlow;

typedef struct
{
  LcFeedSettings settings;
  LcFeedFlow flows[LC_FEED_MAX_FLOWS];
  struct pollfd polls[LC_FEED_MAX_FLOWS];
  GArray *balancers; /* LcSocketAddress */
  struct timespec balancers_changed;
  GRand *random;
  int fabric_fd;
  uint64_t packets;
  uint64_t answered;
  uint64_t broken;
} LcFeed;

static volatile sig_atomic_t lc_feed__stop;

static void
lc_feed__on_signal (int number)
{
  (void)number;
  lc_feed__stop = 1;
}

/* === balancers ============================================================================== */

static void
lc_feed__reload_balancers (LcFeed *feed)
{
  struct stat status;
  gchar *text = NULL;
  gchar **lines;

  if (stat (feed->settings.balancers_path, &status) < 0 ||
      memcmp (&status.st_mtim, &feed->balancers_changed, sizeof status.st_mtim) == 0)
    return;
  if (!g_file_get_contents (feed->settings.balancers_path, &text, NULL, NULL))
    return;
  feed->balancers_changed = status.st_mtim;
  g_array_set_size (feed->balancers, 0);
  lines = g_strsplit (text, "\n", 0);
  for (guint i = 0; lines[i] != NULL; i++)
    {
      LcSocketAddress address;

      if (lc_settings_parse_address (g_strstrip (lines[i]), &address) == 0)
        g_array_append_val (feed->balancers, address);
    }
  g_strfreev (lines);
  g_free (text);
}

/* === packets ================================================================================ */

static size_t
lc_feed__build_packet (const LcFeed *feed, const LcFeedFlow *flow, uint8_t *packet)
{
  LcSocketAddress source = { feed->settings.source_ipv4, flow->port };
  char text[LC_CALLER_TEXT_MAX];
  size_t len = (size_t)snprintf (text, sizeof text, "%u-%u %" G_GUINT64_FORMAT, feed->settings.seed,
                                 flow->port, (guint64)flow->seq);

  return lc_caller_packet_build (packet, &source, &feed->settings.service, text, len);
}

static void
lc_feed__send_packet (LcFeed *feed, LcFeedFlow *flow)
{
  uint8_t packet[LC_CALLER_PACKET_MAX];
  const LcSocketAddress *to;
  struct sockaddr_in address = { .sin_family = AF_INET };
  size_t len;

  if (feed->balancers->len == 0)
    return;
  to = &g_array_index (feed->balancers, LcSocketAddress,
                       g_rand_int_range (feed->random, 0, (gint32)feed->balancers->len));
  address.sin_addr.s_addr = htonl (to->ipv4);
  address.sin_port = htons (to->port);
  flow->seq++;
  len = lc_feed__build_packet (feed, flow, packet);
  (void)sendto (feed->fabric_fd, packet, len, 0, (struct sockaddr *)&address, sizeof address);
  feed->packets++;
}

/* === answers ================================================================================ */

static void
lc_feed__record_answer (LcFeed *feed, LcFeedFlow *flow, char *text, int64_t now_us)
{
  char server[LC_NAME_MAX] = "";
  unsigned seed = 0;
  unsigned port = 0;
  guint64 seq = 0;

  if (sscanf (text, "%47s %u-%u %" G_GUINT64_FORMAT, server, &seed, &port, &seq) != 4)
    return;
  if (flow->server[0] == '\0')
    (void)g_strlcpy (flow->server, server, sizeof flow->server);
  /* Another flow's answer, or another server's, breaks the flow. */
  if (!flow->is_broken && (strcmp (flow->server, server) != 0 || port != flow->port))
    {
      flow->is_broken = true;
      feed->broken++;
      (void)fprintf (stderr, "flow %u broke: packet %" G_GUINT64_FORMAT " answered by %s, not %s\n",
                     flow->port, seq, server, flow->server);
    }
  flow->answered++;
  feed->answered++;
  flow->longest_gap_us = MAX (flow->longest_gap_us, now_us - flow->last_answer_us);
  flow->last_answer_us = now_us;
}

static void
lc_feed__receive (LcFeed *feed, uint32_t wait_ms)
{
  int n = poll (feed->polls, feed->settings.n_flows, (int)wait_ms);
  int64_t now_us = lc_clock_now_us ();

  for (uint32_t i = 0; i < feed->settings.n_flows && n > 0; i++)
    {
      char text[LC_CALLER_PACKET_MAX + LC_NAME_MAX];
      ssize_t len;

      if (feed->polls[i].revents == 0)
        continue;
      n--;
      while ((len = recv (feed->flows[i].fd, text, sizeof text - 1, MSG_DONTWAIT)) > 0)
        {
          text[len] = '\0';
          lc_feed__record_answer (feed, &feed->flows[i], text, now_us);
        }
    }
}

/* === report ================================================================================= */

static uint32_t
lc_feed__count_silent (const LcFeed *feed, int64_t sending_until_us)
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < feed->settings.n_flows; i++)
    n += sending_until_us - feed->flows[i].last_answer_us > LC_FEED_SILENT_US;
  return n;
}

static void
lc_feed__print_servers (const LcFeed *feed)
{
  GHashTable *counts = g_hash_table_new (g_str_hash, g_str_equal);
  GHashTableIter iter;
  gpointer server;
  gpointer count;
  const char *comma = "";

  for (uint32_t i = 0; i < feed->settings.n_flows; i++)
    {
      const char *name = feed->flows[i].server;
      gsize n = GPOINTER_TO_SIZE (g_hash_table_lookup (counts, name));

      if (name[0] != '\0')
        g_hash_table_insert (counts, (gpointer)name, GSIZE_TO_POINTER (n + 1));
    }
  g_hash_table_iter_init (&iter, counts);
  while (g_hash_table_iter_next (&iter, &server, &count))
    {
      (void)printf ("%s\"%s\":%zu", comma, (const char *)server, GPOINTER_TO_SIZE (count));
      comma = ",";
    }
  g_hash_table_destroy (counts);
}

static void
lc_feed__print (const LcFeed *feed, int64_t sending_until_us, bool is_final)
{
  int64_t gap_us = 0;

  for (uint32_t i = 0; i < feed->settings.n_flows; i++)
    gap_us = MAX (gap_us, feed->flows[i].longest_gap_us);
  (void)printf (
      "{\"final\":%s,\"flows\":%u,\"packets\":%" G_GUINT64_FORMAT ",\"answered\":%" G_GUINT64_FORMAT
      ",\"lost\":%" G_GINT64_FORMAT ",\"broken_flows\":%" G_GUINT64_FORMAT ",\"silent_flows\":%u"
      ",\"longest_gap_ms\":%" G_GINT64_FORMAT ",\"servers\":{",
      is_final ? "true" : "false", feed->settings.n_flows, (guint64)feed->packets,
      (guint64)feed->answered, (gint64)(feed->packets - feed->answered), (guint64)feed->broken,
      lc_feed__count_silent (feed, sending_until_us), (gint64)(gap_us / LC_US_PER_MS));
  lc_feed__print_servers (feed);
  (void)puts ("}}");
  (void)fflush (stdout);
}

/* === program ================================================================================ */

static int
lc_feed__open (LcFeed *feed)
{
  int64_t now_us = lc_clock_now_us ();

  feed->fabric_fd = socket (AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
  for (uint32_t i = 0; i < feed->settings.n_flows; i++)
    {
      struct sockaddr_in address = { .sin_family = AF_INET,
                                     .sin_addr.s_addr = htonl (feed->settings.source_ipv4) };
      socklen_t len = sizeof address;
      int fd = socket (AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);

      if (fd < 0 || bind (fd, (struct sockaddr *)&address, len) < 0 ||
          getsockname (fd, (struct sockaddr *)&address, &len) < 0)
        {
          (void)fprintf (stderr, "error (io): can't open a caller's socket: %s\n",
                         g_strerror (errno));
          return -1;
        }
      feed->flows[i].fd = fd;
      feed->flows[i].port = ntohs (address.sin_port);
      feed->flows[i].last_answer_us = now_us;
      feed->polls[i].fd = fd;
      feed->polls[i].events = POLLIN;
    }
  return 0;
}

/* Flows send in turn, to spread packets over the interval. */
static int64_t
lc_feed__run (LcFeed *feed)
{
  const LcFeedSettings *s = &feed->settings;
  int64_t start_us = lc_clock_now_us ();
  int64_t end_us = start_us + (int64_t)s->seconds * LC_US_PER_S;
  int64_t report_us = start_us + LC_US_PER_S;
  int64_t step_us = (int64_t)s->interval_ms * LC_US_PER_MS / s->n_flows;
  int64_t next_us = start_us;
  int64_t now_us = start_us;
  uint32_t next = 0;

  while (!lc_feed__stop && now_us < end_us)
    {
      lc_feed__reload_balancers (feed);
      for (uint32_t n = 0; next_us <= now_us && n < s->n_flows; n++)
        {
          lc_feed__send_packet (feed, &feed->flows[next]);
          next = (next + 1) % s->n_flows;
          next_us += step_us;
        }
      next_us = MAX (next_us, now_us - LC_US_PER_S);
      lc_feed__receive (feed, 1);
      now_us = lc_clock_now_us ();
      if (now_us >= report_us)
        {
          lc_feed__print (feed, now_us, false);
          report_us += LC_US_PER_S;
        }
    }
  return now_us;
}

static bool
lc_feed__parse (LcFeedSettings *s, int argc, char **argv)
{
  struct arg_str *service = arg_str1 (NULL, "service", "ADDR:PORT", "where the callers send");
  struct arg_str *source = arg_str1 (NULL, "source", "ADDR", "the callers' address");
  struct arg_file *balancers = arg_file1 (NULL, "balancers", "FILE", "flow addresses, one a line");
  struct arg_int *flows = arg_int0 (NULL, "flows", "N", "callers (60)");
  struct arg_int *interval = arg_int0 (NULL, "interval-ms", "MS", "between a flow's packets (50)");
  struct arg_int *seconds = arg_int0 (NULL, "seconds", "S", "longest run (60)");
  struct arg_int *seed = arg_int0 (NULL, "seed", "N", "of the fabric's choices (1)");
  struct arg_end *end = arg_end (8);
  void *table[] = { service, source, balancers, flows, interval, seconds, seed, end };
  bool is_valid;

  flows->ival[0] = 60;
  interval->ival[0] = 50;
  seconds->ival[0] = 60;
  seed->ival[0] = 1;
  is_valid = arg_parse (argc, argv, table) == 0 && flows->ival[0] > 0 &&
             flows->ival[0] <= LC_FEED_MAX_FLOWS && interval->ival[0] > 0 && seconds->ival[0] > 0 &&
             lc_settings_parse_address (service->sval[0], &s->service) == 0 &&
             lc_settings_parse_ipv4 (source->sval[0], &s->source_ipv4) == 0;
  if (is_valid)
    {
      (void)g_strlcpy (s->balancers_path, balancers->filename[0], sizeof s->balancers_path);
      s->n_flows = (uint32_t)flows->ival[0];
      s->interval_ms = (uint32_t)interval->ival[0];
      s->seconds = (uint32_t)seconds->ival[0];
      s->seed = (uint32_t)seed->ival[0];
    }
  else
    {
      arg_print_errors (stderr, end, "lychee-demo-feed");
      (void)fputs ("Usage: lychee-demo-feed", stderr);
      arg_print_syntax (stderr, table, "\n");
    }
  arg_freetable (table, G_N_ELEMENTS (table));
  return is_valid;
}

int
main (int argc, char **argv)
{
  static LcFeed feed;
  struct sigaction action = { .sa_handler = lc_feed__on_signal };
  int64_t sending_until_us;
  int64_t deadline_us;

  if (!lc_feed__parse (&feed.settings, argc, argv))
    return 2;
  (void)sigaction (SIGTERM, &action, NULL);
  (void)sigaction (SIGINT, &action, NULL);
  feed.random = g_rand_new_with_seed (feed.settings.seed);
  feed.balancers = g_array_new (FALSE, FALSE, sizeof (LcSocketAddress));
  if (lc_feed__open (&feed) < 0)
    return 1;
  sending_until_us = lc_feed__run (&feed);
  deadline_us = sending_until_us + LC_FEED_SETTLE_US;
  while (lc_clock_now_us () < deadline_us)
    lc_feed__receive (&feed, 10);
  lc_feed__print (&feed, sending_until_us, true);
  g_array_free (feed.balancers, TRUE);
  g_rand_free (feed.random);
  return feed.broken == 0 && lc_feed__count_silent (&feed, sending_until_us) == 0 ? 0 : 1;
}
