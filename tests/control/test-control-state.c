/* The replicated state machine: plans, confirms, resends, drains, member changes, declarations. */
#include "core/member/lc-scope.h"
#include "control/lc-control-codec.h"
#include "core/control/lc-control-state.h"
#include "proto/lc-control.pb-c.h"
#include "tests/fakes/lc-fake-run.h"

#include <check.h>
#include <string.h>

typedef struct
{
  LcControlState state;
  uint64_t index;
  uint32_t n_requests;
} Fixture;

static const LcControlAnswer *
run (Fixture *w, LcControlCommand *c, const char *request_id)
{
  char new_id[LC_NAME_MAX];

  (void)g_snprintf (new_id, sizeof new_id, "r%u", ++w->n_requests);
  (void)g_strlcpy (c->request_id, request_id != NULL ? request_id : new_id, sizeof c->request_id);
  (void)g_strlcpy (c->who, "ann", sizeof c->who);
  lc_control_state_apply (&w->state, ++w->index, c);
  return lc_control_state_answer (&w->state, c->request_id);
}

static const LcControlAnswer *
plan (Fixture *w, LcIntentKind kind, const char *target, const char *request_id)
{
  LcControlCommand c = { .kind = LC_COMMAND_PLAN };

  c.intent.kind = kind;
  (void)g_strlcpy (c.intent.target, target, sizeof c.intent.target);
  return run (w, &c, request_id);
}

static const LcControlAnswer *
confirm (Fixture *w, uint64_t plan_id, const char *request_id)
{
  LcControlCommand c = { .kind = LC_COMMAND_CONFIRM, .plan_id = plan_id };

  return run (w, &c, request_id);
}

static void
member (Fixture *w, LcMemberChangeKind kind, const char *name, const char *dc, LcInstance instance)
{
  LcControlCommand c = { .kind = LC_COMMAND_MEMBER };

  c.member.kind = kind;
  (void)g_strlcpy (c.member.data_centre, dc, sizeof c.member.data_centre);
  (void)g_strlcpy (c.member.service, "order-desk", sizeof c.member.service);
  (void)g_strlcpy (c.member.endpoint.name, name, sizeof c.member.endpoint.name);
  c.member.endpoint.instance = instance;
  c.member.endpoint.weight_percent = 100;
  lc_control_state_apply (&w->state, ++w->index, &c);
}

static LcControlCommand
declaration (LcIntentKind kind, uint32_t caller_limit)
{
  static const char *const DCS[] = { "hall-atl", "hall-bhm" };
  LcControlCommand c = { .kind = LC_COMMAND_PLAN };
  LcDeclaration *d = &c.intent.declaration;
  LcDeclaredService *s;

  c.intent.kind = kind;
  d->n_dcs = 2;
  d->dcs = g_new0 (LcDeclaredDc, 2);
  for (int i = 0; i < 2; i++)
    (void)g_strlcpy (d->dcs[i].name, DCS[i], LC_NAME_MAX);
  d->n_services = 1;
  d->services = s = g_new0 (LcDeclaredService, 1);
  (void)g_strlcpy (s->name, "order-desk", sizeof s->name);
  s->fields = LC_DECLARED_CALLER_LIMIT;
  s->caller_limit = caller_limit;
  s->n_addresses = 1;
  s->addresses = g_new0 (LcDeclaredAddress, 1);
  s->addresses[0] = (LcDeclaredAddress){ 0x7f140101, 7000, LC_PROTOCOL_UDP };
  s->n_routes = 1;
  s->routes = g_new0 (LcDeclaredRoute, 1);
  (void)g_strlcpy (s->routes[0].path_prefix, "/orders", LC_PATH_MAX);
  return c;
}

static const LcControlAnswer *
declare (Fixture *w, LcIntentKind kind, uint32_t caller_limit)
{
  LcControlCommand c = declaration (kind, caller_limit);
  const LcControlAnswer *answer = run (w, &c, NULL);

  lc_control_command_finish (&c);
  return answer;
}

/* Opens a service with three active endpoints: two in hall-atl, one in hall-bhm. */
static void
open_service (Fixture *w)
{
  memset (w, 0, sizeof *w);
  lc_control_state_init (&w->state);
  ck_assert_int_eq (confirm (w, declare (w, LC_INTENT_OPEN_MARKET, 32)->plan_id, NULL)->code,
                    LC_OK);
  for (int i = 1; i <= 3; i++)
    {
      char name[LC_NAME_MAX];

      (void)g_snprintf (name, sizeof name, "order-%d", i);
      member (w, LC_MEMBER_ENDPOINT_ANNOUNCED, name, i < 3 ? "hall-atl" : "hall-bhm",
              10 + (uint64_t)i);
      member (w, LC_MEMBER_ENDPOINT_RAMPED, name, "hall-atl", 10 + (uint64_t)i);
    }
}

static int
state_of (const Fixture *w, const char *name)
{
  const LcEndpoint *e = lc_view_endpoint_by_name (&w->state.view, name);

  return e != NULL ? e->state : LC_ENDPOINT_NONE;
}

/* === operators ============================================================================== */

START_TEST (test_two_operators_on_one_base)
{
  Fixture w;
  uint64_t first;
  uint64_t second;

  open_service (&w);
  first = plan (&w, LC_INTENT_DRAIN, "order-1", NULL)->plan_id;
  second = plan (&w, LC_INTENT_DRAIN, "order-2", NULL)->plan_id;
  member (&w, LC_MEMBER_ENDPOINT_LOST, "order-3", "", 13);
  member (&w, LC_MEMBER_ENDPOINT_ANNOUNCED, "order-3", "hall-bhm", 13);
  ck_assert_int_eq (confirm (&w, first, NULL)->code, LC_OK);
  ck_assert_int_eq (confirm (&w, second, NULL)->code, LC_ERR_CONFLICT);
  ck_assert_int_eq (confirm (&w, first, NULL)->code, LC_ERR_CONFLICT);
  ck_assert_int_eq (state_of (&w, "order-1"), LC_ENDPOINT_DRAINING);
  ck_assert_int_eq (state_of (&w, "order-2"), LC_ENDPOINT_ACTIVE);
  lc_control_state_finish (&w.state);
}
END_TEST

START_TEST (test_resend_gets_the_first_answer)
{
  Fixture w;
  LcControlAnswer first;
  const LcControlAnswer *again;
  LcRevision config;

  open_service (&w);
  first = *plan (&w, LC_INTENT_DRAIN, "order-1", "same");
  ck_assert_uint_eq (plan (&w, LC_INTENT_DRAIN, "order-1", "same")->plan_id, first.plan_id);
  (void)confirm (&w, first.plan_id, "go");
  config = w.state.config_revision;
  again = confirm (&w, first.plan_id, "go");
  ck_assert_int_eq (again->code, LC_OK);
  ck_assert_uint_eq (again->revision, config);
  ck_assert_uint_eq (w.state.config_revision, config);
  ck_assert_uint_eq (w.state.duplicates_total, 2);
  lc_control_state_finish (&w.state);
}
END_TEST

START_TEST (test_apply_twice_changes_nothing)
{
  Fixture w;
  const LcPlan *p;
  LcRevision config;

  open_service (&w);
  config = w.state.config_revision;
  p = lc_control_state_plan (&w.state, declare (&w, LC_INTENT_APPLY, 32)->plan_id);
  ck_assert_uint_eq (p->n_changes, 0);
  ck_assert_int_eq (confirm (&w, p->id, NULL)->code, LC_OK);
  ck_assert_uint_eq (w.state.config_revision, config);
  p = lc_control_state_plan (&w.state, declare (&w, LC_INTENT_APPLY, 33)->plan_id);
  ck_assert_uint_eq (p->n_changes, 1);
  ck_assert_str_eq (p->steps, "order-desk: caller_limit from 32 to 33\n");
  ck_assert_int_eq (declare (&w, LC_INTENT_OPEN_MARKET, 32)->code, LC_ERR_EXISTS);
  lc_control_state_finish (&w.state);
}
END_TEST

static const struct
{
  LcIntentKind kind;
  const char *target;
  int expected;
} UNSAFE[] = {
  { LC_INTENT_DRAIN, "order-1", LC_OK },
  { LC_INTENT_DRAIN, "nobody", LC_ERR_NOT_FOUND },
  { LC_INTENT_DRAIN, "Not A Name", LC_ERR_INVALID },
  { LC_INTENT_RETIRE_DATA_CENTRE, "hall-atl", LC_OK },
  { LC_INTENT_RETIRE_DATA_CENTRE, "nowhere", LC_ERR_NOT_FOUND },
  { LC_INTENT_UNDRAIN, "order-1", LC_OK },
};

START_TEST (test_plans_are_checked)
{
  Fixture w;

  open_service (&w);
  ck_assert_int_eq (plan (&w, UNSAFE[_i].kind, UNSAFE[_i].target, NULL)->code, UNSAFE[_i].expected);
  lc_control_state_finish (&w.state);
}
END_TEST

/* Confirm must repeat the safety checks: the endpoint that made the plan safe is lost in
 * between. */
START_TEST (test_confirm_checks_again)
{
  Fixture w;
  uint64_t id;

  open_service (&w);
  id = plan (&w, LC_INTENT_RETIRE_DATA_CENTRE, "hall-atl", NULL)->plan_id;
  member (&w, LC_MEMBER_ENDPOINT_LOST, "order-3", "", 13);
  ck_assert_int_eq (confirm (&w, id, NULL)->code, LC_ERR_REFUSED);
  member (&w, LC_MEMBER_ENDPOINT_ANNOUNCED, "order-3", "hall-bhm", 13);
  ck_assert_int_eq (confirm (&w, id, NULL)->code, LC_OK);
  ck_assert_int_eq (state_of (&w, "order-1"), LC_ENDPOINT_DRAINING);
  ck_assert_int_eq (state_of (&w, "order-3"), LC_ENDPOINT_ACTIVE);
  ck_assert_uint_eq (lc_control_state_remaining (&w.state, lc_control_state_plan (&w.state, id)),
                     2);
  id = plan (&w, LC_INTENT_RESTORE_DATA_CENTRE, "hall-atl", NULL)->plan_id;
  ck_assert_int_eq (confirm (&w, id, NULL)->code, LC_OK);
  ck_assert_int_eq (state_of (&w, "order-1"), LC_ENDPOINT_ACTIVE);
  lc_control_state_finish (&w.state);
}
END_TEST

/* === members ================================================================================ */

START_TEST (test_drain_survives_a_restart)
{
  Fixture w;
  LcEndpointId id;

  open_service (&w);
  id = lc_view_endpoint_by_name (&w.state.view, "order-1")->id;
  (void)confirm (&w, plan (&w, LC_INTENT_DRAIN, "order-1", NULL)->plan_id, NULL);
  member (&w, LC_MEMBER_ENDPOINT_LEAVING, "order-1", "", 11);
  member (&w, LC_MEMBER_ENDPOINT_GONE, "order-1", "", 11);
  ck_assert_int_eq (state_of (&w, "order-1"), LC_ENDPOINT_NONE);
  member (&w, LC_MEMBER_ENDPOINT_ANNOUNCED, "order-1", "hall-atl", 99);
  ck_assert_int_eq (state_of (&w, "order-1"), LC_ENDPOINT_DRAINING);
  ck_assert_uint_eq (lc_view_endpoint_by_name (&w.state.view, "order-1")->id, id);
  (void)confirm (&w, plan (&w, LC_INTENT_UNDRAIN, "order-1", NULL)->plan_id, NULL);
  ck_assert_int_eq (state_of (&w, "order-1"), LC_ENDPOINT_JOINING);
  lc_control_state_finish (&w.state);
}
END_TEST

static const struct
{
  const char *name;
  LcMemberChangeKind kind;
  LcInstance instance;
  int expected_state;
  bool is_ignored;
} CHANGES[] = {
  { "the same announcement", LC_MEMBER_ENDPOINT_ANNOUNCED, 11, LC_ENDPOINT_ACTIVE, true },
  { "a loss of another instance", LC_MEMBER_ENDPOINT_LOST, 5, LC_ENDPOINT_ACTIVE, true },
  { "a loss", LC_MEMBER_ENDPOINT_LOST, 11, LC_ENDPOINT_LOST, false },
  { "a new instance", LC_MEMBER_ENDPOINT_ANNOUNCED, 12, LC_ENDPOINT_JOINING, false },
  { "a planned stop", LC_MEMBER_ENDPOINT_LEAVING, 11, LC_ENDPOINT_DRAINING, false },
};

START_TEST (test_member_changes)
{
  Fixture w;
  uint64_t ignored;

  open_service (&w);
  ignored = w.state.ignored_total;
  member (&w, CHANGES[_i].kind, "order-1", "hall-atl", CHANGES[_i].instance);
  ck_assert_msg (state_of (&w, "order-1") == CHANGES[_i].expected_state, "%s", CHANGES[_i].name);
  ck_assert_msg ((w.state.ignored_total > ignored) == CHANGES[_i].is_ignored, "%s",
                 CHANGES[_i].name);
  ck_assert_msg ((w.state.ops->len == 0) == CHANGES[_i].is_ignored, "%s", CHANGES[_i].name);
  lc_control_state_finish (&w.state);
}
END_TEST

/* A late announcement of a replaced instance must not replace its successor. */
START_TEST (test_replaced_instance_stays_replaced)
{
  Fixture w;

  open_service (&w);
  member (&w, LC_MEMBER_ENDPOINT_ANNOUNCED, "order-1", "hall-atl", 50);
  member (&w, LC_MEMBER_ENDPOINT_ANNOUNCED, "order-1", "hall-atl", 11);
  ck_assert_uint_eq (lc_view_endpoint_by_name (&w.state.view, "order-1")->instance, 50);
  member (&w, LC_MEMBER_ENDPOINT_ANNOUNCED, "order-9", "nowhere", 1);
  ck_assert_int_eq (state_of (&w, "order-9"), LC_ENDPOINT_NONE);
  lc_control_state_finish (&w.state);
}
END_TEST

/* === numbered declarations ================================================================== */

typedef struct
{
  uint64_t number;
  const char *service; /* that gets the declared address; NULL: no address */
  const char *text;
} Numbered;

static void
declare_numbered (Fixture *w, const Numbered *n)
{
  LcControlCommand c = { .kind = LC_COMMAND_NUMBERED };
  LcDeclaration *d = &c.numbered.declaration;

  c.numbered.number = n->number;
  c.numbered.document = g_bytes_new (n->text, strlen (n->text));
  d->n_services = 2;
  d->services = g_new0 (LcDeclaredService, 2);
  (void)g_strlcpy (d->services[0].name, "one", LC_NAME_MAX);
  (void)g_strlcpy (d->services[1].name, "two", LC_NAME_MAX);
  for (int i = 0; i < 2 && n->service != NULL; i++)
    if (strcmp (d->services[i].name, n->service) == 0)
      {
        d->services[i].n_addresses = 1;
        d->services[i].addresses = g_new0 (LcDeclaredAddress, 1);
        d->services[i].addresses[0] = (LcDeclaredAddress){ 0xc6120001, 443, LC_PROTOCOL_TCP };
      }
  lc_control_state_apply (&w->state, ++w->index, &c);
  lc_control_command_finish (&c);
}

static const struct
{
  const char *what;
  Numbered first;
  Numbered second;
  uint64_t number;     /* expected to be in force after both */
  const char *text;    /* expected document */
  const char *service; /* expected service of the address */
} NUMBERED[] = {
  { "higher", { 3, "one", "a" }, { 9, "two", "b" }, 9, "b", "two" },
  { "sent again", { 3, "one", "a" }, { 3, "one", "a" }, 3, "a", "one" },
  { "other content, same number", { 3, "one", "a" }, { 3, "two", "b" }, 3, "a", "one" },
  { "older", { 3, "one", "a" }, { 2, "two", "b" }, 3, "a", "one" },
  { "address removed", { 3, "one", "a" }, { 4, NULL, "b" }, 4, "b", NULL },
};

static void
check_numbered (const Fixture *w, int i)
{
  const LcAddress *a = lc_view_address (&w->state.view, 0xc6120001, 443, LC_PROTOCOL_TCP);
  const LcService *s = a != NULL ? lc_view_service (&w->state.view, a->service_id) : NULL;
  gsize len;
  const char *text = g_bytes_get_data (w->state.numbered.document, &len);

  ck_assert_msg (w->state.numbered.number == NUMBERED[i].number, "%s", NUMBERED[i].what);
  ck_assert_msg (len == strlen (NUMBERED[i].text) && memcmp (text, NUMBERED[i].text, len) == 0,
                 "%s", NUMBERED[i].what);
  ck_assert_msg ((s == NULL) == (NUMBERED[i].service == NULL), "%s", NUMBERED[i].what);
  if (s != NULL)
    ck_assert_str_eq (s->name, NUMBERED[i].service);
}

START_TEST (test_numbered)
{
  Fixture w = { 0 };
  LcControlState read;
  GBytes *packed;

  lc_control_state_init (&w.state);
  declare_numbered (&w, &NUMBERED[_i].first);
  declare_numbered (&w, &NUMBERED[_i].second);
  check_numbered (&w, _i);
  /* Again after a snapshot. */
  packed = lc_control_state_pack (&w.state);
  lc_control_state_init (&read);
  ck_assert_int_eq (lc_control_state_unpack (&read, packed, NULL), 0);
  lc_control_state_finish (&w.state);
  w.state = read;
  check_numbered (&w, _i);
  g_bytes_unref (packed);
  lc_control_state_finish (&w.state);
}
END_TEST

/* A numbered declaration sets the latency objective of a service, and the next one replaces it. */
START_TEST (test_numbered_objective)
{
  static const uint32_t OBJECTIVES_MS[] = { 120, 150, 0 };
  Fixture w = { 0 };

  lc_control_state_init (&w.state);
  for (uint32_t i = 0; i < G_N_ELEMENTS (OBJECTIVES_MS); i++)
    {
      LcControlCommand c = { .kind = LC_COMMAND_NUMBERED };

      c.numbered.number = i + 1;
      c.numbered.document = g_bytes_new_static ("a", 1);
      c.numbered.declaration.n_services = 1;
      c.numbered.declaration.services = g_new0 (LcDeclaredService, 1);
      (void)g_strlcpy (c.numbered.declaration.services[0].name, "one", LC_NAME_MAX);
      c.numbered.declaration.services[0].objective_latency_ms = OBJECTIVES_MS[i];
      lc_control_state_apply (&w.state, ++w.index, &c);
      lc_control_command_finish (&c);
      ck_assert_uint_eq (lc_view_service_by_name (&w.state.view, "one")->objective_latency_ms,
                         OBJECTIVES_MS[i]);
    }
  lc_control_state_finish (&w.state);
}
END_TEST

/* Homes of an address must survive encoding of the command and the state, and changes must reach an
 * agent's scoped view, which only holds addresses with homes. */
START_TEST (test_numbered_homes)
{
  static const char *const HOMES[] = { "", "north", "north", "south,north", "", "south" };
  LcScope scope = { .is_scoped = true, .service = "one" };
  LcView part;
  Fixture w = { 0 };

  lc_control_state_init (&w.state);
  lc_view_init (&part);
  for (uint32_t i = 0; i < G_N_ELEMENTS (HOMES); i++)
    {
      LcControlCommand c = { .kind = LC_COMMAND_NUMBERED };
      LcControlCommand read;
      LcDeclaredService *s = g_new0 (LcDeclaredService, 1);
      const LcAddress *a;
      GBytes *packed;
      gsize len;
      const uint8_t *bytes;

      c.numbered.number = i + 1;
      c.numbered.document = g_bytes_new_static ("a", 1);
      c.numbered.declaration.n_services = 1;
      c.numbered.declaration.services = s;
      (void)g_strlcpy (s->name, "one", LC_NAME_MAX);
      s->n_addresses = 1;
      s->addresses = g_new0 (LcDeclaredAddress, 1);
      s->addresses[0] = (LcDeclaredAddress){ 0xc6120001, 443, LC_PROTOCOL_TCP, "" };
      (void)g_strlcpy (s->addresses[0].homes, HOMES[i], LC_HOME_REGIONS_BYTES);
      packed = lc_control_command_pack (&c);
      bytes = g_bytes_get_data (packed, &len);
      ck_assert_int_eq (lc_control_command_unpack (&read, bytes, len, NULL), 0);
      lc_control_state_apply (&w.state, ++w.index, &read);
      for (guint k = 0; k < w.state.ops->len; k++)
        if (lc_scope_includes (&scope, &g_array_index (w.state.ops, LcViewOp, k)))
          ck_assert_int_eq (lc_view_apply (&part, &g_array_index (w.state.ops, LcViewOp, k), NULL),
                            0);
      a = lc_view_address (&w.state.view, 0xc6120001, 443, LC_PROTOCOL_TCP);
      ck_assert_str_eq (a->homes, HOMES[i]);
      a = lc_view_address (&part, 0xc6120001, 443, LC_PROTOCOL_TCP);
      ck_assert_str_eq (a != NULL ? a->homes : "", HOMES[i]);
      g_bytes_unref (packed);
      lc_control_command_finish (&read);
      lc_control_command_finish (&c);
    }
  lc_view_finish (&part);
  lc_control_state_finish (&w.state);
}
END_TEST

/* A balancer's region is used only if no declaration has set one. */
START_TEST (test_balancers_set_unset_regions)
{
  static const struct
  {
    const char *known; /* region before; NULL: the data centre is new */
    const char *announced;
    const char *region;
  } REGIONS[] = {
    { NULL, "north", "north" },    { NULL, "", "" },         { "", "north", "north" },
    { "south", "north", "south" }, { "south", "", "south" },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (REGIONS); i++)
    {
      LcControlCommand c = { .kind = LC_COMMAND_MEMBER };
      Fixture w = { 0 };

      lc_control_state_init (&w.state);
      c.member.kind = LC_MEMBER_BALANCER_ANNOUNCED;
      (void)g_strlcpy (c.member.data_centre, "hall-atl", LC_NAME_MAX);
      for (LcInstance instance = REGIONS[i].known != NULL ? 1 : 2; instance <= 2; instance++)
        {
          (void)g_strlcpy (c.member.region, instance == 1 ? REGIONS[i].known : REGIONS[i].announced,
                           LC_NAME_MAX);
          (void)g_strlcpy (c.member.balancer.name, "entry-1", LC_NAME_MAX);
          c.member.balancer.instance = instance;
          lc_control_state_apply (&w.state, ++w.index, &c);
        }
      ck_assert_str_eq (lc_view_dc_by_name (&w.state.view, "hall-atl")->region, REGIONS[i].region);
      lc_control_state_finish (&w.state);
    }
}
END_TEST

/* Several member changes in one log entry must be applied in order, like single ones. */
START_TEST (test_batched_member_changes)
{
  static const struct
  {
    uint32_t n;
    int result;
  } ENTRIES[] = { { 1, 0 },
                  { 40, 0 },
                  { 80, 0 },
                  { LC_MEMBER_CHANGES_MAX, 0 },
                  { 0, LC_ERR_INVALID },
                  { LC_MEMBER_CHANGES_MAX + 1, LC_ERR_INVALID } };

  for (size_t i = 0; i < G_N_ELEMENTS (ENTRIES); i++)
    {
      LcControlCommand c = { .kind = LC_COMMAND_CHANGES };
      LcControlCommand read;
      Fixture w = { 0 };
      GBytes *packed;
      gsize len;
      const uint8_t *bytes;

      lc_control_state_init (&w.state);
      c.changes.n = ENTRIES[i].n;
      c.changes.items = g_new0 (LcMemberChange, c.changes.n + 1);
      for (uint32_t k = 0; k < c.changes.n; k++)
        {
          LcMemberChange *change = &c.changes.items[k];

          change->kind = k % 2 == 0 ? LC_MEMBER_BALANCER_ANNOUNCED : LC_MEMBER_BALANCER_LEAVING;
          change->balancer.instance = 7;
          (void)g_strlcpy (change->data_centre, "hall-atl", LC_NAME_MAX);
          (void)g_snprintf (change->balancer.name, LC_NAME_MAX, "entry-%u", k / 2);
        }
      packed = lc_control_command_pack (&c);
      bytes = g_bytes_get_data (packed, &len);
      ck_assert_int_eq (lc_control_command_unpack (&read, bytes, len, NULL), ENTRIES[i].result);
      if (ENTRIES[i].result == 0)
        {
          lc_control_state_apply (&w.state, ++w.index, &read);
          ck_assert_uint_eq (w.state.view.balancers->len, (ENTRIES[i].n + 1) / 2);
          ck_assert_uint_eq (w.state.view.revision, w.index);
          for (uint32_t k = 0; k < ENTRIES[i].n / 2; k++)
            ck_assert_int_eq (g_array_index (w.state.view.balancers, LcBalancer, k).state,
                              LC_BALANCER_LEAVING);
          lc_control_command_finish (&read);
        }
      g_bytes_unref (packed);
      lc_control_command_finish (&c);
      lc_control_state_finish (&w.state);
    }
}
END_TEST

/* A numbered declaration must survive encoding for the log. */
START_TEST (test_numbered_is_encoded)
{
  LcControlCommand c = { .kind = LC_COMMAND_NUMBERED };
  LcControlCommand read;
  GBytes *packed;
  gsize len;
  const uint8_t *bytes;

  c.numbered.number = 7;
  c.numbered.document = g_bytes_new_static ("{\"version\":7}", 13);
  c.numbered.declaration.n_services = 1;
  c.numbered.declaration.services = g_new0 (LcDeclaredService, 1);
  (void)g_strlcpy (c.numbered.declaration.services[0].name, "one", LC_NAME_MAX);
  packed = lc_control_command_pack (&c);
  bytes = g_bytes_get_data (packed, &len);
  ck_assert_int_eq (lc_control_command_unpack (&read, bytes, len, NULL), 0);
  ck_assert_uint_eq (read.numbered.number, 7);
  ck_assert (g_bytes_equal (read.numbered.document, c.numbered.document));
  ck_assert_str_eq (read.numbered.declaration.services[0].name, "one");
  g_bytes_unref (packed);
  lc_control_command_finish (&read);
  lc_control_command_finish (&c);
}
END_TEST

/* === snapshots ============================================================================== */

START_TEST (test_snapshot_holds_everything)
{
  Fixture w;
  Fixture copy;
  GBytes *bytes;
  GBytes *again;
  uint64_t open_plan;

  open_service (&w);
  (void)confirm (&w, plan (&w, LC_INTENT_DRAIN, "order-1", "drain")->plan_id, "go");
  open_plan = plan (&w, LC_INTENT_UNDRAIN, "order-1", NULL)->plan_id;
  bytes = lc_control_state_pack (&w.state);
  memset (&copy, 0, sizeof copy);
  lc_control_state_init (&copy.state);
  ck_assert_int_eq (lc_control_state_unpack (&copy.state, bytes, NULL), 0);
  copy.index = w.index;
  copy.n_requests = 1000;
  again = lc_control_state_pack (&copy.state);
  ck_assert_uint_eq (g_bytes_get_size (bytes), g_bytes_get_size (again));
  ck_assert_uint_eq (copy.state.view.revision, w.state.view.revision);
  ck_assert_int_eq (lc_control_state_answer (&copy.state, "go")->code, LC_OK);
  ck_assert_int_eq (confirm (&copy, open_plan, NULL)->code, LC_OK);
  ck_assert_int_eq (state_of (&copy, "order-1"), LC_ENDPOINT_ACTIVE);
  ck_assert_uint_eq (copy.state.history->len, w.state.history->len + 1);
  g_bytes_unref (bytes);
  g_bytes_unref (again);
  lc_control_state_finish (&copy.state);
  lc_control_state_finish (&w.state);
}
END_TEST

/* Invalid snapshots must be refused without changing the state. */
typedef enum
{
  ANSWER_TWICE,
  ENDPOINT_TWICE,
  BALANCER_TWICE,
  UNKNOWN_PLAN_STATE,
} BadSnapshot;

static void
fill_bad (Lc__Wire__ControlSnapshot *m, BadSnapshot kind)
{
  static Lc__Wire__StoredAnswer answer = LC__WIRE__STORED_ANSWER__INIT;
  static Lc__Wire__StoredEndpoint endpoint = LC__WIRE__STORED_ENDPOINT__INIT;
  static Lc__Wire__StoredBalancer balancer = LC__WIRE__STORED_BALANCER__INIT;
  static Lc__Wire__Intent intent = LC__WIRE__INTENT__INIT;
  static Lc__Wire__StoredPlan plan = LC__WIRE__STORED_PLAN__INIT;
  static Lc__Wire__StoredAnswer *answers[] = { &answer, &answer };
  static Lc__Wire__StoredEndpoint *endpoints[] = { &endpoint, &endpoint };
  static Lc__Wire__StoredBalancer *balancers[] = { &balancer, &balancer };
  static Lc__Wire__StoredPlan *plans[] = { &plan };

  answer.request_id = endpoint.name = balancer.name = (char *)"twice";
  plan.intent = &intent;
  plan.state = 9;
  m->answers = answers;
  m->n_answers = kind == ANSWER_TWICE ? 2 : 1;
  m->endpoints = endpoints;
  m->n_endpoints = kind == ENDPOINT_TWICE ? 2 : 1;
  m->balancers = balancers;
  m->n_balancers = kind == BALANCER_TWICE ? 2 : 1;
  m->plans = plans;
  m->n_plans = kind == UNKNOWN_PLAN_STATE ? 1 : 0;
}

START_TEST (test_bad_snapshot_is_refused)
{
  Lc__Wire__ControlSnapshot m = LC__WIRE__CONTROL_SNAPSHOT__INIT;
  uint8_t bytes[1024];
  GBytes *packed;
  Fixture w;

  open_service (&w);
  fill_bad (&m, (BadSnapshot)_i);
  packed = g_bytes_new (bytes, lc__wire__control_snapshot__pack (&m, bytes));
  ck_assert_int_eq (lc_control_state_unpack (&w.state, packed, NULL), LC_ERR_INVALID);
  ck_assert_int_eq (state_of (&w, "order-1"), LC_ENDPOINT_ACTIVE);
  g_bytes_unref (packed);
  lc_control_state_finish (&w.state);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("control-state");
  TCase *tcase = tcase_create ("commands");

  tcase_add_test (tcase, test_two_operators_on_one_base);
  tcase_add_test (tcase, test_resend_gets_the_first_answer);
  tcase_add_test (tcase, test_apply_twice_changes_nothing);
  tcase_add_loop_test (tcase, test_plans_are_checked, 0, (int)G_N_ELEMENTS (UNSAFE));
  tcase_add_test (tcase, test_confirm_checks_again);
  tcase_add_test (tcase, test_drain_survives_a_restart);
  tcase_add_loop_test (tcase, test_member_changes, 0, (int)G_N_ELEMENTS (CHANGES));
  tcase_add_test (tcase, test_replaced_instance_stays_replaced);
  tcase_add_loop_test (tcase, test_numbered, 0, (int)G_N_ELEMENTS (NUMBERED));
  tcase_add_test (tcase, test_numbered_objective);
  tcase_add_test (tcase, test_numbered_homes);
  tcase_add_test (tcase, test_balancers_set_unset_regions);
  tcase_add_test (tcase, test_batched_member_changes);
  tcase_add_test (tcase, test_numbered_is_encoded);
  tcase_add_test (tcase, test_snapshot_holds_everything);
  tcase_add_loop_test (tcase, test_bad_snapshot_is_refused, ANSWER_TWICE, UNKNOWN_PLAN_STATE + 1);
  suite_add_tcase (suite, tcase);
  return lc_fake_run (suite);
}
