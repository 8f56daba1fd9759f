/* The load when all members return after a loss of everything: hundreds wait for their views while
 * each commit is an update for all of them.  Serving them must not delay the process's heartbeats,
 * and the bytes encoded for slow readers must stay bounded.
 */
#include "core/member/lc-flush-pace.h"
#include "tests/fakes/lc-fake-run.h"

#include <glib.h>

static const struct
{
  const char *what;
  uint32_t n_members;
  int64_t serve_us;  /* to serve one member */
  int64_t commit_us; /* between commits: each is an update for all */
  size_t bytes;      /* encoded per member and update */
  int64_t read_us;   /* until the member has read them */
} LOADS[] = {
  { "a quiet service", 20, 100, 1000000, 100, 5000 },
  { "300 members, a commit each ms", 300, 400, 1000, 25000, 20000 },
  { "1,000 members, a commit each ms", 1000, 400, 1000, 25000, 20000 },
  { "300 slow readers", 300, 400, 1000, 250000, 3000000 },
  { "1,000 slow readers, served at once", 1000, 10, 1000, 250000, 9000000 },
};

typedef struct
{
  int64_t now_us;
  int64_t spent_us;
  int64_t longest_us;
  size_t unsent;
  size_t most_unsent;
  uint32_t n_served;
  GArray *taken; /* Taken, by time of reading */
} Replay;

typedef struct
{
  int64_t at_us;
  size_t bytes;
} Taken;

static void
read_by_now (Replay *r)
{
  while (r->taken->len > 0 && g_array_index (r->taken, Taken, 0).at_us <= r->now_us)
    {
      r->unsent -= g_array_index (r->taken, Taken, 0).bytes;
      g_array_remove_index (r->taken, 0);
    }
}

/* One flush; returns the pause after it. */
static int64_t
flush (Replay *r, int load, uint32_t *waiting)
{
  int64_t started_us = r->now_us;

  while (*waiting > 0 && !lc_flush_is_slice_over (started_us, r->now_us) &&
         lc_flush_has_room (r->unsent))
    {
      Taken taken = { r->now_us + LOADS[load].read_us, LOADS[load].bytes };

      r->now_us += LOADS[load].serve_us;
      r->unsent += LOADS[load].bytes;
      r->most_unsent = MAX (r->most_unsent, r->unsent);
      g_array_append_val (r->taken, taken);
      r->n_served++;
      (*waiting)--;
    }
  r->longest_us = MAX (r->longest_us, r->now_us - started_us);
  r->spent_us += r->now_us - started_us;
  return lc_flush_pause_ms (r->now_us - started_us) * LC_US_PER_MS;
}

/* Bounds the time and share of flushes and the unsent bytes, and requires progress. */
START_TEST (test_return_of_all)
{
  Replay r = { .taken = g_array_new (FALSE, FALSE, sizeof (Taken)) };
  uint32_t waiting = LOADS[_i].n_members;
  int64_t committed_us = 0;

  while (r.now_us < 4 * LC_US_PER_S)
    {
      int64_t pause_us = flush (&r, _i, &waiting);

      ck_assert_int_ge (pause_us, LC_FLUSH_PAUSE_MIN_MS * LC_US_PER_MS);
      ck_assert_int_le (pause_us, LC_FLUSH_PAUSE_MAX_MS * LC_US_PER_MS);
      r.now_us += pause_us;
      read_by_now (&r);
      if (r.now_us - committed_us >= LOADS[_i].commit_us)
        {
          committed_us = r.now_us;
          waiting = LOADS[_i].n_members;
        }
    }
  /* A heartbeat every 40 ms is late by a fifth of that and one member's service at most. */
  ck_assert_msg (r.longest_us <= LC_FLUSH_SLICE_US + LOADS[_i].serve_us, "%s: %ld us at a time",
                 LOADS[_i].what, (long)r.longest_us);
  ck_assert_msg (r.spent_us * 100 <= r.now_us * 52, "%s: %ld us of %ld", LOADS[_i].what,
                 (long)r.spent_us, (long)r.now_us);
  ck_assert_msg (r.most_unsent <= LC_FLUSH_UNSENT_MAX_BYTES + LOADS[_i].bytes, "%s: %zu bytes",
                 LOADS[_i].what, r.most_unsent);
  ck_assert_msg (r.n_served >= MIN (LOADS[_i].n_members, 32U), "%s: %u served", LOADS[_i].what,
                 r.n_served);
  g_array_unref (r.taken);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("flush-pace");
  TCase *tcase = tcase_create ("pace");

  tcase_add_loop_test (tcase, test_return_of_all, 0, (int)G_N_ELEMENTS (LOADS));
  suite_add_tcase (suite, tcase);
  return lc_fake_run (suite);
}
