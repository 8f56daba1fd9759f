/* Former settings of numbered declarations that open flows depend on, the services of a moved address
 * and longer idle timeouts: on every replica, on subscribers and after a restart, and when they are
 * dropped. */
#include "control/lc-control-codec.h"
#include "core/control/lc-control-state.h"
#include "core/member/lc-former-expiry.h"
#include "tests/fakes/lc-fake-run.h"

#include <check.h>
#include <string.h>

enum
{
  IPV4 = 0x0a000001,
  PORT = 443,
  N_SERVICES = 10, /* "s1" to "s10", with these ids */
  STEPS_MAX = 12,
  DROPPED = 100,    /* the declaration has no address */
  EXPIRED_ALL = 101 /* the moves up to the newest revision have expired */
};

typedef struct
{
  LcControlState state;
  LcView subscriber;
  uint64_t index;
  uint32_t idle_ms; /* declared idle timeout of all services */
} Fixture;

static void
start (Fixture *w)
{
  memset (w, 0, sizeof *w);
  lc_control_state_init (&w->state);
  lc_view_init (&w->subscriber);
}

static void
stop (Fixture *w)
{
  lc_control_state_finish (&w->state);
  lc_view_finish (&w->subscriber);
}

/* Applies the command as it is read from the log, and its operations at the subscriber. */
static void
apply (Fixture *w, const LcControlCommand *c)
{
  GBytes *packed = lc_control_command_pack (c);
  LcControlCommand read;
  gsize len;
  const uint8_t *bytes = g_bytes_get_data (packed, &len);

  ck_assert_int_eq (lc_control_command_unpack (&read, bytes, len, NULL), 0);
  lc_control_state_apply (&w->state, ++w->index, &read);
  for (guint k = 0; k < w->state.ops->len; k++)
    ck_assert_int_eq (
        lc_view_apply (&w->subscriber, &g_array_index (w->state.ops, LcViewOp, k), NULL), 0);
  lc_control_command_finish (&read);
  g_bytes_unref (packed);
}

static void
declare (Fixture *w, int service, const char *homes)
{
  LcControlCommand c = { .kind = LC_COMMAND_NUMBERED };
  LcDeclaration *d = &c.numbered.declaration;

  c.numbered.number = w->index + 1;
  c.numbered.document = g_bytes_new_static ("a", 1);
  d->n_services = N_SERVICES;
  d->services = g_new0 (LcDeclaredService, N_SERVICES);
  for (int i = 0; i < N_SERVICES; i++)
    {
      LcDeclaredService *s = &d->services[i];

      (void)g_snprintf (s->name, sizeof s->name, "s%d", i + 1);
      s->returns_packets = true;
      s->idle_timeout_ms = w->idle_ms;
      if (i + 1 != service)
        continue;
      s->n_addresses = 1;
      s->addresses = g_new0 (LcDeclaredAddress, 1);
      s->addresses[0] = (LcDeclaredAddress){ IPV4, PORT, LC_PROTOCOL_TCP, "" };
      (void)g_strlcpy (s->addresses[0].homes, homes, LC_HOME_REGIONS_BYTES);
    }
  apply (w, &c);
  lc_control_command_finish (&c);
}

static void
expire (Fixture *w, LcRevision until)
{
  LcControlCommand c = { .kind = LC_COMMAND_MEMBER };

  c.member.kind = LC_MEMBER_SETTLED;
  c.member.expired_revision = until;
  apply (w, &c);
}

/* "current:former former ...", or "" without the address. */
static void
format_address (const LcView *view, char *out, size_t size)
{
  const LcAddress *a = lc_view_address (view, IPV4, PORT, LC_PROTOCOL_TCP);
  size_t n;

  out[0] = '\0';
  if (a == NULL)
    return;
  n = (size_t)g_snprintf (out, size, "%u:", a->service_id);
  for (uint8_t i = 0; i < a->n_former; i++)
    n += (size_t)g_snprintf (out + n, size - n, "%s%u", i > 0 ? " " : "", a->former[i]);
  ck_assert ((a->n_former > 0) == (a->moved_revision > 0));
}

/* The same list on the replica, on the subscriber and on a replica started from a snapshot. */
static void
check (Fixture *w, const char *expected, const char *what)
{
  GBytes *packed = lc_control_state_pack (&w->state);
  LcControlState read;
  char text[128];

  lc_control_state_init (&read);
  ck_assert_int_eq (lc_control_state_unpack (&read, packed, NULL), 0);
  format_address (&w->state.view, text, sizeof text);
  ck_assert_msg (strcmp (text, expected) == 0, "%s: \"%s\"", what, text);
  format_address (&w->subscriber, text, sizeof text);
  ck_assert_msg (strcmp (text, expected) == 0, "%s, subscriber: \"%s\"", what, text);
  format_address (&read.view, text, sizeof text);
  ck_assert_msg (strcmp (text, expected) == 0, "%s, after a snapshot: \"%s\"", what, text);
  lc_control_state_finish (&read);
  g_bytes_unref (packed);
}

static const struct
{
  const char *what;
  int steps[STEPS_MAX]; /* service of the address, DROPPED or EXPIRED_ALL; 0: end */
  const char *expected;
} SEQUENCES[] = {
  { "declared", { 1 }, "1:" },
  { "declared again", { 1, 1, 1 }, "1:" },
  { "moved", { 1, 2 }, "2:1" },
  { "moved and declared again", { 1, 2, 2, 2 }, "2:1" },
  { "back and forth a few times", { 1, 2, 1, 2, 1 }, "1:2" },
  { "through three services", { 1, 2, 3 }, "3:2 1" },
  { "through three services and back", { 1, 2, 3, 1 }, "1:3 2" },
  { "dropped", { 1, 2, DROPPED }, "" },
  { "dropped and declared again", { 1, 2, DROPPED, 3 }, "3:" },
  { "expired", { 1, 2, EXPIRED_ALL }, "2:" },
  { "moved after the expiry", { 1, 2, EXPIRED_ALL, 3 }, "3:2" },
  { "as many as are listed", { 1, 2, 3, 4, 5, 6, 7, 8 }, "8:7 6 5 4 3 2 1" },
  { "one more", { 1, 2, 3, 4, 5, 6, 7, 8, 9 }, "9:8 7 6 5 4 3 0" },
  { "two more", { 1, 2, 3, 4, 5, 6, 7, 8, 9, 10 }, "10:9 8 7 6 5 4 0" },
  { "one more, and to one that is no longer listed",
    { 1, 2, 3, 4, 5, 6, 7, 8, 9, 1 },
    "1:9 8 7 6 5 4 0" },
  { "one more, and expired", { 1, 2, 3, 4, 5, 6, 7, 8, 9, EXPIRED_ALL }, "9:" },
};

/* Former services were not recorded anywhere, so that nobody could reach their open flows. */
START_TEST (test_former_services)
{
  Fixture w;

  start (&w);
  for (int k = 0; k < STEPS_MAX && SEQUENCES[_i].steps[k] != 0; k++)
    if (SEQUENCES[_i].steps[k] == EXPIRED_ALL)
      expire (&w, w.index);
    else
      declare (&w, SEQUENCES[_i].steps[k], "");
  check (&w, SEQUENCES[_i].expected, SEQUENCES[_i].what);
  stop (&w);
}
END_TEST

/* Home regions of an address may change with its service or alone. */
START_TEST (test_homes_change_with_service)
{
  Fixture w;

  start (&w);
  declare (&w, 1, "north");
  declare (&w, 2, "south,north");
  check (&w, "2:1", "both");
  declare (&w, 2, "");
  check (&w, "2:1", "homes alone");
  ck_assert_str_eq (lc_view_address (&w.subscriber, IPV4, PORT, LC_PROTOCOL_TCP)->homes, "");
  declare (&w, 1, "east");
  check (&w, "1:2", "both, back");
  stop (&w);
}
END_TEST

/* A move after the expired revision keeps all former services of its address. */
START_TEST (test_later_move_keeps_list)
{
  LcRevision first;
  Fixture w;

  start (&w);
  declare (&w, 1, "");
  declare (&w, 2, "");
  first = w.index;
  declare (&w, 3, "");
  expire (&w, first);
  check (&w, "3:2 1", "moved later");
  ck_assert_uint_eq (w.state.ops->len, 0);
  expire (&w, w.index);
  check (&w, "3:", "all expired");
  stop (&w);
}
END_TEST

/* An operator's plan that changes the homes alone keeps the former services. */
START_TEST (test_plan_keeps_former_services)
{
  LcControlCommand plan = { .kind = LC_COMMAND_PLAN, .request_id = "plan" };
  LcControlCommand confirm = { .kind = LC_COMMAND_CONFIRM, .request_id = "confirm" };
  LcDeclaration *d = &plan.intent.declaration;
  Fixture w;

  start (&w);
  declare (&w, 1, "north");
  declare (&w, 2, "north");
  plan.intent.kind = LC_INTENT_APPLY;
  d->n_services = 1;
  d->services = g_new0 (LcDeclaredService, 1);
  (void)g_strlcpy (d->services[0].name, "s2", LC_NAME_MAX);
  d->services[0].returns_packets = true;
  d->services[0].n_addresses = 1;
  d->services[0].addresses = g_new0 (LcDeclaredAddress, 1);
  d->services[0].addresses[0] = (LcDeclaredAddress){ IPV4, PORT, LC_PROTOCOL_TCP, "" };
  apply (&w, &plan);
  confirm.plan_id = w.index;
  apply (&w, &confirm);
  ck_assert_int_eq (lc_control_state_answer (&w.state, "confirm")->code, 0);
  check (&w, "2:1", "planned");
  ck_assert_str_eq (lc_view_address (&w.state.view, IPV4, PORT, LC_PROTOCOL_TCP)->homes, "");
  lc_control_command_finish (&plan);
  stop (&w);
}
END_TEST

/* === idle timeouts ========================================================================== */

enum
{
  EXPIRE = 1, /* in place of a timeout: the changes up to the newest revision have expired */
};

static const struct
{
  const char *what;
  uint32_t timeouts_ms[STEPS_MAX]; /* 0: end */
  uint32_t longest_ms;
  uint32_t former_ms;
} TIMEOUTS[] = {
  { "set", { 15000 }, 15000, 0 },
  { "raised", { 15000, 45000 }, 45000, 0 },
  { "lowered", { 45000, 15000 }, 45000, 45000 },
  { "lowered twice", { 45000, 30000, 15000 }, 45000, 45000 },
  { "lowered and declared again", { 45000, 15000, 15000, 15000 }, 45000, 45000 },
  { "lowered and raised, but less", { 45000, 15000, 20000 }, 45000, 45000 },
  { "lowered and raised beyond", { 45000, 15000, 60000 }, 60000, 0 },
  { "lowered and expired", { 45000, 15000, EXPIRE }, 15000, 0 },
  { "lowered, expired and lowered", { 45000, 15000, EXPIRE, 10000 }, 15000, 15000 },
};

static void
check_idle (const LcView *view, int i, const char *where)
{
  const LcService *s = lc_view_service_by_name (view, "s1");

  ck_assert_msg (lc_service_longest_idle_ms (s) == TIMEOUTS[i].longest_ms &&
                     s->former_idle_timeout_ms == TIMEOUTS[i].former_ms,
                 "%s, %s: %u, %u ms", TIMEOUTS[i].what, where, lc_service_longest_idle_ms (s),
                 s->former_idle_timeout_ms);
}

/* A flow that was idle under a longer timeout is not discarded by a process that starts after the
 * change, until no flow is left that can have been. */
START_TEST (test_former_idle_timeouts)
{
  LcControlState read;
  GBytes *packed;
  Fixture w;

  start (&w);
  for (int k = 0; k < STEPS_MAX && TIMEOUTS[_i].timeouts_ms[k] != 0; k++)
    {
      if (TIMEOUTS[_i].timeouts_ms[k] == EXPIRE)
        {
          expire (&w, w.index);
          continue;
        }
      w.idle_ms = TIMEOUTS[_i].timeouts_ms[k];
      declare (&w, 1, "");
    }
  packed = lc_control_state_pack (&w.state);
  lc_control_state_init (&read);
  ck_assert_int_eq (lc_control_state_unpack (&read, packed, NULL), 0);
  check_idle (&w.state.view, _i, "replica");
  check_idle (&w.subscriber, _i, "subscriber");
  check_idle (&read.view, _i, "after a snapshot");
  lc_control_state_finish (&read);
  g_bytes_unref (packed);
  stop (&w);
}
END_TEST

/* === expiry ================================================================================= */

enum
{
  MAX_FLOW_S = 60,
};

static const struct
{
  const char *what;
  int64_t max_flow_s;
  int64_t moved_s; /* time of the move; the checks are each second from 1 s on */
  int64_t reset_s; /* another VM led for a moment; 0: never */
  int64_t first_s; /* first check that reports the move; 0: none */
} EXPIRIES[] = {
  { "moved before the first check", MAX_FLOW_S, 0, 0, 121 },
  { "moved within the first span", MAX_FLOW_S, 100, 0, 241 },
  { "moved at the end of the span", MAX_FLOW_S, 121, 0, 241 },
  { "another VM led", MAX_FLOW_S, 0, 100, 220 },
  { "short flows", 2, 0, 0, 5 },
  { "no limit", 0, 0, 0, 0 },
};

/* A former service is dropped no earlier than twice the greatest age of a flow after the move, and
 * no later than twice that, on the clock of one leader. */
START_TEST (test_expiry)
{
  LcFormerExpiry expiry = { 0 };
  int64_t first_s = 0;
  Fixture w;

  start (&w);
  declare (&w, 1, "");
  for (int64_t s = 1; s <= 300 && first_s == 0; s++)
    {
      if (s == MAX (EXPIRIES[_i].moved_s, 1))
        declare (&w, 2, "");
      if (s == EXPIRIES[_i].reset_s)
        lc_former_expiry_reset (&expiry);
      if (lc_former_expiry_check (&expiry, &w.state.view, EXPIRIES[_i].max_flow_s * LC_US_PER_S,
                                  s * LC_US_PER_S) != 0)
        first_s = s;
    }
  ck_assert_msg (first_s == EXPIRIES[_i].first_s, "%s: %d s", EXPIRIES[_i].what, (int)first_s);
  stop (&w);
}
END_TEST

/* A former idle timeout expires like a move. */
START_TEST (test_expiry_of_idle_timeout)
{
  LcFormerExpiry expiry = { 0 };
  LcRevision expired = 0;
  int64_t s = 0;
  Fixture w;

  start (&w);
  w.idle_ms = 45000;
  declare (&w, 1, "");
  w.idle_ms = 15000;
  declare (&w, 1, "");
  while (expired == 0 && ++s < 1000)
    expired =
        lc_former_expiry_check (&expiry, &w.state.view, MAX_FLOW_S * LC_US_PER_S, s * LC_US_PER_S);
  ck_assert_int_eq (s, 121);
  expire (&w, expired);
  ck_assert_uint_eq (lc_view_service_by_name (&w.subscriber, "s1")->former_idle_timeout_ms, 0);
  stop (&w);
}
END_TEST

/* Without a change there is nothing to propose. */
START_TEST (test_no_change_expires_nothing)
{
  LcFormerExpiry expiry = { 0 };
  Fixture w;

  start (&w);
  declare (&w, 1, "");
  for (int64_t s = 1; s <= 1000; s++)
    ck_assert_uint_eq (
        lc_former_expiry_check (&expiry, &w.state.view, LC_US_PER_S, s * LC_US_PER_S), 0);
  stop (&w);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("former-settings");
  TCase *moves = tcase_create ("former settings");

  tcase_add_loop_test (moves, test_former_services, 0, G_N_ELEMENTS (SEQUENCES));
  tcase_add_test (moves, test_homes_change_with_service);
  tcase_add_test (moves, test_later_move_keeps_list);
  tcase_add_test (moves, test_plan_keeps_former_services);
  tcase_add_loop_test (moves, test_expiry, 0, G_N_ELEMENTS (EXPIRIES));
  tcase_add_test (moves, test_expiry_of_idle_timeout);
  tcase_add_test (moves, test_no_change_expires_nothing);
  tcase_add_loop_test (moves, test_former_idle_timeouts, 0, G_N_ELEMENTS (TIMEOUTS));
  suite_add_tcase (suite, moves);
  return lc_fake_run (suite);
}
