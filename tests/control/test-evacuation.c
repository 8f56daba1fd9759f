/* Evacuation orders (repeated, delayed, unsafe), their persistence, and their effect on plans. */
#include "control/lc-control-codec.h"
#include "core/control/lc-control-state.h"
#include "tests/fakes/lc-fake-run.h"

#include <check.h>
#include <string.h>

enum
{
  N_STEPS = 4,
};

typedef struct
{
  LcControlState state;
  uint64_t index;
  uint32_t n_requests;
} Fixture;

static const LcControlAnswer *
apply (Fixture *w, LcControlCommand *c)
{
  if (c->request_id[0] == '\0')
    (void)g_snprintf (c->request_id, sizeof c->request_id, "r%u", ++w->n_requests);
  lc_control_state_apply (&w->state, ++w->index, c);
  return lc_control_state_answer (&w->state, c->request_id);
}

/* Announces a balancer or an endpoint of order-desk.  An endpoint needs its data centre and service
 * to exist: announce a balancer and declare() first. */
static void
announce (Fixture *w, LcMemberChangeKind kind, const char *name, const char *dc)
{
  LcControlCommand c = { .kind = LC_COMMAND_MEMBER };

  c.member.kind = kind;
  (void)g_strlcpy (c.member.data_centre, dc, sizeof c.member.data_centre);
  (void)g_strlcpy (c.member.service, "order-desk", sizeof c.member.service);
  if (kind == LC_MEMBER_BALANCER_ANNOUNCED)
    {
      (void)g_strlcpy (c.member.balancer.name, name, sizeof c.member.balancer.name);
      c.member.balancer.instance = 7;
    }
  else
    {
      (void)g_strlcpy (c.member.endpoint.name, name, sizeof c.member.endpoint.name);
      c.member.endpoint.instance = 7;
      c.member.endpoint.weight_percent = 100;
    }
  lc_control_state_apply (&w->state, ++w->index, &c);
}

static void
declare (Fixture *w, uint64_t number)
{
  LcControlCommand c = { .kind = LC_COMMAND_NUMBERED };

  c.numbered.number = number;
  c.numbered.document = g_bytes_new_static ("a", 1);
  c.numbered.declaration.n_services = 1;
  c.numbered.declaration.services = g_new0 (LcDeclaredService, 1);
  (void)g_strlcpy (c.numbered.declaration.services[0].name, "order-desk", LC_NAME_MAX);
  lc_control_state_apply (&w->state, ++w->index, &c);
  lc_control_command_finish (&c);
}

/* Begins with two endpoints in hall-atl and one in hall-bhm. */
static void
start (Fixture *w)
{
  memset (w, 0, sizeof *w);
  lc_control_state_init (&w->state);
  announce (w, LC_MEMBER_BALANCER_ANNOUNCED, "lb-1", "hall-atl");
  announce (w, LC_MEMBER_BALANCER_ANNOUNCED, "lb-2", "hall-bhm");
  declare (w, 1);
  announce (w, LC_MEMBER_ENDPOINT_ANNOUNCED, "desk-1", "hall-atl");
  announce (w, LC_MEMBER_ENDPOINT_ANNOUNCED, "desk-2", "hall-atl");
  announce (w, LC_MEMBER_ENDPOINT_ANNOUNCED, "desk-3", "hall-bhm");
}

static const LcControlAnswer *
order (Fixture *w, const char *dc, bool is_wanted, LcRevision seen, bool allow_empty)
{
  LcControlCommand c = { .kind = LC_COMMAND_EVACUATE, .wall_us = 99 };

  (void)g_strlcpy (c.evacuation.data_centre, dc, sizeof c.evacuation.data_centre);
  c.evacuation.is_wanted = is_wanted;
  c.evacuation.seen_revision = seen;
  c.evacuation.allow_empty = allow_empty;
  return apply (w, &c);
}

static const LcDataCentre *
dc_of (const Fixture *w, const char *name)
{
  return lc_view_dc_by_name (&w->state.view, name);
}

/* === orders ================================================================================= */

typedef enum
{
  END = 0,
  BEGIN = 1,
  DECLARE, /* a numbered declaration */
  REJOIN,  /* an endpoint is announced */
  NOTHING,
} Step;

static const struct
{
  const char *what;
  struct
  {
    Step step;
    int sees; /* the last change in the view of the receiving VM: 0 none, 1 the first, ... */
    int code;
  } steps[N_STEPS];
  bool is_evacuated;
} ORDERS[] = {
  { "begin", { { BEGIN, 0, 0 }, { NOTHING, 0, 0 }, { NOTHING, 0, 0 }, { NOTHING, 0, 0 } }, true },
  { "sent again", { { BEGIN, 0, 0 }, { BEGIN, 0, 0 }, { BEGIN, 1, 0 }, { NOTHING, 0, 0 } }, true },
  { "end", { { BEGIN, 0, 0 }, { END, 1, 0 }, { END, 1, 0 }, { NOTHING, 0, 0 } }, false },
  { "end without an evacuation",
    { { END, 0, 0 }, { NOTHING, 0, 0 }, { NOTHING, 0, 0 }, { NOTHING, 0, 0 } },
    false },
  { "begin again after the end",
    { { BEGIN, 0, 0 }, { END, 1, 0 }, { BEGIN, 2, 0 }, { NOTHING, 0, 0 } },
    true },
  { "a begin delayed until after the end",
    { { BEGIN, 0, 0 }, { END, 1, 0 }, { BEGIN, 0, LC_ERR_UNAVAILABLE }, { NOTHING, 0, 0 } },
    false },
  { "an end delayed until after the next begin",
    { { BEGIN, 0, 0 }, { END, 1, 0 }, { BEGIN, 2, 0 }, { END, 1, LC_ERR_UNAVAILABLE } },
    true },
  { "declarations and announcements don't end it",
    { { BEGIN, 0, 0 }, { DECLARE, 0, 0 }, { REJOIN, 0, 0 }, { NOTHING, 0, 0 } },
    true },
};

START_TEST (test_orders)
{
  LcRevision changes[N_STEPS + 1] = { 0 };
  int n_changes = 0;
  Fixture w;

  start (&w);
  for (int i = 0; i < N_STEPS; i++)
    {
      Step step = ORDERS[_i].steps[i].step;
      LcRevision before = dc_of (&w, "hall-atl")->evacuation_revision;

      if (step == DECLARE)
        declare (&w, 2);
      else if (step == REJOIN)
        announce (&w, LC_MEMBER_ENDPOINT_ANNOUNCED, "desk-9", "hall-atl");
      else if (step != NOTHING)
        ck_assert_msg (
            order (&w, "hall-atl", step == BEGIN, changes[ORDERS[_i].steps[i].sees], true)->code ==
                ORDERS[_i].steps[i].code,
            "%s: step %d", ORDERS[_i].what, i);
      if (dc_of (&w, "hall-atl")->evacuation_revision != before)
        changes[++n_changes] = dc_of (&w, "hall-atl")->evacuation_revision;
    }
  ck_assert_msg (dc_of (&w, "hall-atl")->is_evacuated == ORDERS[_i].is_evacuated, "%s",
                 ORDERS[_i].what);
  ck_assert (!dc_of (&w, "hall-bhm")->is_evacuated);
  lc_control_state_finish (&w.state);
}
END_TEST

START_TEST (test_unknown_data_centre_is_refused)
{
  Fixture w;
  const LcControlAnswer *answer;

  start (&w);
  answer = order (&w, "hall-xyz", true, 0, true);
  ck_assert_int_eq (answer->code, LC_ERR_NOT_FOUND);
  ck_assert_ptr_nonnull (strstr (answer->message, "hall-xyz"));
  ck_assert_str_ne (answer->remedy, "");
  ck_assert_uint_eq (w.state.ops->len, 0);
  lc_control_state_finish (&w.state);
}
END_TEST

/* The VM that received an order resends it when it gets no answer: it must take effect once. */
START_TEST (test_resent_order_takes_effect_once)
{
  LcControlCommand c = { .kind = LC_COMMAND_EVACUATE, .request_id = "one" };
  Fixture w;

  start (&w);
  (void)g_strlcpy (c.evacuation.data_centre, "hall-atl", sizeof c.evacuation.data_centre);
  c.evacuation.is_wanted = true;
  c.evacuation.allow_empty = true;
  ck_assert_int_eq (apply (&w, &c)->code, LC_OK);
  ck_assert_int_eq (order (&w, "hall-atl", false, w.index, true)->code, LC_OK);
  ck_assert_int_eq (apply (&w, &c)->code, LC_OK); /* the first answer again */
  ck_assert (!dc_of (&w, "hall-atl")->is_evacuated);
  lc_control_state_finish (&w.state);
}
END_TEST

/* === remaining endpoints ==================================================================== */

START_TEST (test_last_endpoints_need_allow_empty)
{
  Fixture w;
  const LcControlAnswer *answer;

  start (&w);
  ck_assert_int_eq (order (&w, "hall-bhm", true, 0, false)->code, LC_OK);
  answer = order (&w, "hall-atl", true, 0, false);
  ck_assert_int_eq (answer->code, LC_ERR_REFUSED);
  ck_assert_ptr_nonnull (strstr (answer->message, "order-desk"));
  ck_assert_int_eq (order (&w, "hall-atl", true, 0, true)->code, LC_OK);
  ck_assert_uint_eq (lc_evacuation_n_candidates (
                         &w.state.view, lc_view_service_by_name (&w.state.view, "order-desk"), 0),
                     0);
  lc_control_state_finish (&w.state);
}
END_TEST

/* Endpoints in an evacuated data centre must not count as remaining when others are drained. */
START_TEST (test_plans_count_remaining_endpoints)
{
  static const struct
  {
    const char *evacuated;
    LcIntentKind kind;
    const char *target;
    int code;
  } PLANS[] = {
    { "hall-atl", LC_INTENT_DRAIN, "desk-3", LC_ERR_REFUSED },
    { "hall-atl", LC_INTENT_DRAIN, "desk-1", LC_OK },
    { "hall-atl", LC_INTENT_RETIRE_DATA_CENTRE, "hall-bhm", LC_ERR_REFUSED },
    { "hall-atl", LC_INTENT_RETIRE_DATA_CENTRE, "hall-atl", LC_OK },
    { "hall-bhm", LC_INTENT_DRAIN, "desk-1", LC_OK },
    { "hall-bhm", LC_INTENT_RETIRE_DATA_CENTRE, "hall-atl", LC_ERR_REFUSED },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (PLANS); i++)
    {
      LcControlCommand c = { .kind = LC_COMMAND_PLAN, .intent.kind = PLANS[i].kind };
      Fixture w;

      start (&w);
      (void)order (&w, PLANS[i].evacuated, true, 0, true);
      (void)g_strlcpy (c.intent.target, PLANS[i].target, sizeof c.intent.target);
      ck_assert_msg (apply (&w, &c)->code == PLANS[i].code, "case %zu", i);
      lc_control_state_finish (&w.state);
    }
}
END_TEST

/* === encoding =============================================================================== */

START_TEST (test_evacuation_is_in_snapshots)
{
  Fixture w;
  LcControlState copy;
  GBytes *bytes;

  start (&w);
  (void)order (&w, "hall-atl", true, 0, true);
  bytes = lc_control_state_pack (&w.state);
  lc_control_state_init (&copy);
  ck_assert_int_eq (lc_control_state_unpack (&copy, bytes, NULL), 0);
  ck_assert (lc_view_dc_by_name (&copy.view, "hall-atl")->is_evacuated);
  ck_assert_uint_eq (lc_view_dc_by_name (&copy.view, "hall-atl")->evacuation_revision, w.index);
  ck_assert_int_eq (lc_view_dc_by_name (&copy.view, "hall-atl")->evacuation_wall_us, 99);
  ck_assert (!lc_view_dc_by_name (&copy.view, "hall-bhm")->is_evacuated);
  g_bytes_unref (bytes);
  lc_control_state_finish (&copy);
  lc_control_state_finish (&w.state);
}
END_TEST

START_TEST (test_order_is_encoded)
{
  LcControlCommand c = { .kind = LC_COMMAND_EVACUATE, .request_id = "one", .who = "ann" };
  LcControlCommand read;
  GBytes *packed;
  gsize len;
  const uint8_t *bytes;

  c.evacuation =
      (LcEvacuation){ .data_centre = "hall-atl", .is_wanted = true, .seen_revision = 41 };
  packed = lc_control_command_pack (&c);
  bytes = g_bytes_get_data (packed, &len);
  ck_assert_int_eq (lc_control_command_unpack (&read, bytes, len, NULL), 0);
  ck_assert_str_eq (read.evacuation.data_centre, "hall-atl");
  ck_assert (read.evacuation.is_wanted);
  ck_assert (!read.evacuation.allow_empty);
  ck_assert_uint_eq (read.evacuation.seen_revision, 41);
  g_bytes_unref (packed);
  c.evacuation.data_centre[0] = '\0';
  packed = lc_control_command_pack (&c);
  bytes = g_bytes_get_data (packed, &len);
  ck_assert_int_eq (lc_control_command_unpack (&read, bytes, len, NULL), LC_ERR_INVALID);
  g_bytes_unref (packed);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("evacuation");
  TCase *tcase = tcase_create ("orders");

  tcase_add_loop_test (tcase, test_orders, 0, (int)G_N_ELEMENTS (ORDERS));
  tcase_add_test (tcase, test_unknown_data_centre_is_refused);
  tcase_add_test (tcase, test_resent_order_takes_effect_once);
  tcase_add_test (tcase, test_last_endpoints_need_allow_empty);
  tcase_add_test (tcase, test_plans_count_remaining_endpoints);
  tcase_add_test (tcase, test_evacuation_is_in_snapshots);
  tcase_add_test (tcase, test_order_is_encoded);
  suite_add_tcase (suite, tcase);
  return lc_fake_run (suite);
}
