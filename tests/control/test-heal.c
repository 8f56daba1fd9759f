/* The next configuration change for each combination of members and observed replicas. */
#include "core/control/lc-heal.h"
#include "tests/fakes/lc-fake-run.h"

#include <check.h>
#include <string.h>

enum
{
  LEADER = 1,
  N_VOTERS = 3,
  NEVER = -1,
  ALIVE = 0,
};

/* `at` is the peer address; id 0 ends a list. */
typedef struct
{
  LcReplicaId id;
  uint32_t at;
  bool is_learner;
} Member;

typedef struct
{
  LcReplicaId id;
  uint32_t at;
  int64_t silent_ms; /* NEVER */
  bool is_blank;
  bool has_caught_up;
} Observed;

typedef struct
{
  const char *what;
  Member members[5];
  Observed observed[5];
  LcRaftChange change; /* 0: none */
  LcReplicaId id;
  uint32_t n_voters; /* 0: N_VOTERS */
} Case;

#define THREE_MEMBERS                                                                              \
  {                                                                                                \
    { 1, 1 }, { 2, 2 },                                                                            \
    {                                                                                              \
      3, 3                                                                                         \
    }                                                                                              \
  }

static const Case CASES[] = {
  { "all members alive", THREE_MEMBERS, { { 2, 2, ALIVE }, { 3, 3, ALIVE } }, 0, 0 },
  { "one silent, no standby", THREE_MEMBERS, { { 2, 2, ALIVE }, { 3, 3, 60000 } }, 0, 0 },
  { "one without contact, no standby", THREE_MEMBERS, { { 2, 2, ALIVE } }, 0, 0 },
  { "a standby, no silent member",
    THREE_MEMBERS,
    { { 2, 2, ALIVE }, { 3, 3, ALIVE }, { 9, 9, ALIVE, true } },
    0,
    0 },
  { "a lost disk",
    THREE_MEMBERS,
    { { 2, 2, ALIVE }, { 9, 3, ALIVE, true } },
    LC_RAFT_ADD_LEARNER,
    9 },
  { "a lost disk, and the old replica not silent yet",
    THREE_MEMBERS,
    { { 2, 2, ALIVE }, { 3, 3, 100 }, { 9, 3, ALIVE, true } },
    LC_RAFT_ADD_LEARNER,
    9 },
  { "a blank replica at a member's address, but silent for long",
    THREE_MEMBERS,
    { { 2, 2, ALIVE }, { 9, 3, 5000, true } },
    0,
    0 },
  { "another cluster's replica at a member's address",
    THREE_MEMBERS,
    { { 2, 2, ALIVE }, { 9, 3, ALIVE, false } },
    0,
    0 },
  { "a learner that has not caught up",
    { { 1, 1 }, { 2, 2 }, { 3, 3 }, { 9, 3, true } },
    { { 2, 2, ALIVE }, { 9, 3, ALIVE } },
    0,
    0 },
  { "a learner that has caught up",
    { { 1, 1 }, { 2, 2 }, { 3, 3 }, { 9, 3, true } },
    { { 2, 2, ALIVE }, { 9, 3, ALIVE, false, true } },
    LC_RAFT_PROMOTE,
    9 },
  { "a learner that has caught up, but is silent",
    { { 1, 1 }, { 2, 2 }, { 3, 3 }, { 9, 3, true } },
    { { 2, 2, ALIVE }, { 9, 3, 3000, false, true } },
    0,
    0 },
  { "a learner that has caught up, but a blank replica uses its address",
    { { 1, 1 }, { 2, 2 }, { 3, 3 }, { 9, 3, true } },
    { { 2, 2, ALIVE }, { 9, 3, 100, false, true }, { 10, 3, ALIVE, true } },
    LC_RAFT_REMOVE,
    9 },
  { "a learner that is silent for long",
    { { 1, 1 }, { 2, 2 }, { 3, 3 }, { 9, 3, true } },
    { { 2, 2, ALIVE }, { 9, 3, 11000 } },
    LC_RAFT_REMOVE,
    9 },
  { "a learner that lost its disk",
    { { 1, 1 }, { 2, 2 }, { 3, 3 }, { 9, 3, true } },
    { { 2, 2, ALIVE }, { 9, 3, 500 }, { 10, 3, ALIVE, true } },
    LC_RAFT_REMOVE,
    9 },
  { "the new member votes: the lost one is removed",
    { { 1, 1 }, { 2, 2 }, { 3, 3 }, { 9, 3 } },
    { { 2, 2, ALIVE }, { 9, 3, ALIVE, false, true } },
    LC_RAFT_REMOVE,
    3 },
  { "a silent voter, and a standby",
    THREE_MEMBERS,
    { { 2, 2, ALIVE }, { 3, 3, 2500 }, { 9, 9, ALIVE, true } },
    LC_RAFT_ADD_LEARNER,
    9 },
  { "a voter not yet silent for long enough",
    THREE_MEMBERS,
    { { 2, 2, ALIVE }, { 3, 3, 1500 }, { 9, 9, ALIVE, true } },
    0,
    0 },
  { "a silent voter, and a silent standby",
    THREE_MEMBERS,
    { { 2, 2, ALIVE }, { 3, 3, 2500 }, { 9, 9, 2000, true } },
    0,
    0 },
  { "one voter too many, one silent",
    { { 1, 1 }, { 2, 2 }, { 3, 3 }, { 9, 9 } },
    { { 2, 2, ALIVE }, { 3, 3, 2500 }, { 9, 9, ALIVE, false, true } },
    LC_RAFT_REMOVE,
    3 },
  { "one voter too many, all alive",
    { { 1, 1 }, { 2, 2 }, { 3, 3 }, { 9, 9 } },
    { { 2, 2, ALIVE }, { 3, 3, ALIVE }, { 9, 9, ALIVE, false, true } },
    0,
    0 },
  { "one voter too few, a standby",
    { { 1, 1 }, { 2, 2 } },
    { { 2, 2, ALIVE }, { 9, 9, ALIVE, true } },
    LC_RAFT_ADD_LEARNER,
    9 },
  { "a blank replica at the leader's own address",
    THREE_MEMBERS,
    { { 2, 2, ALIVE }, { 3, 3, ALIVE }, { 9, 1, ALIVE, true } },
    0,
    0 },
  { "target of five, formed by three",
    THREE_MEMBERS,
    { { 2, 2, ALIVE }, { 3, 3, ALIVE }, { 8, 8, ALIVE, true }, { 9, 9, ALIVE, true } },
    LC_RAFT_ADD_LEARNER,
    8,
    5 },
  { "target of five, one of three silent: it stays until there are more voters",
    THREE_MEMBERS,
    { { 2, 2, ALIVE }, { 3, 3, 9000 }, { 9, 9, ALIVE, true } },
    LC_RAFT_ADD_LEARNER,
    9,
    5 },
  { "target of five, no standby", THREE_MEMBERS, { { 2, 2, ALIVE }, { 3, 3, 9000 } }, 0, 0, 5 },
};

START_TEST (test_next_change)
{
  const Case *c = &CASES[_i];
  LcHealDesc desc = { .self = LEADER, .n_voters = c->n_voters != 0 ? c->n_voters : N_VOTERS };
  LcRaftConfig config = { 0 };
  LcHealReplica observed[5] = { 0 };
  uint32_t n_observed = 0;
  LcHealChange change = { 0 };
  bool is_change;

  for (int i = 0; i < 5 && c->members[i].id != 0; i++)
    {
      LcRaftMember m = { .id = c->members[i].id,
                         .ipv4 = c->members[i].at,
                         .peer_port = 7000,
                         .is_learner = c->members[i].is_learner };

      (void)strcpy (m.name, "control");
      ck_assert_int_eq (lc_raft_config_put (&config, &m), 0);
    }
  for (int i = 0; i < 5 && c->observed[i].id != 0; i++)
    observed[n_observed++] = (LcHealReplica){
      .id = c->observed[i].id,
      .ipv4 = c->observed[i].at,
      .port = 7000,
      .is_blank = c->observed[i].is_blank,
      .has_caught_up = c->observed[i].has_caught_up,
      .silent_us =
          c->observed[i].silent_ms == NEVER ? INT64_MAX : c->observed[i].silent_ms * LC_US_PER_MS,
    };
  is_change = lc_heal_next (&desc, &config, observed, n_observed, &change);
  ck_assert_msg (is_change == (c->change != 0), "%s: %d", c->what, change.kind);
  if (is_change)
    ck_assert_msg (change.kind == c->change && change.member.id == c->id, "%s: %d of %u", c->what,
                   change.kind, (unsigned)change.member.id);
}
END_TEST

/* A replica must detect its removal from reported members, but not from members older than its
 * own. */
typedef struct
{
  const char *what;
  Member own[3];
  uint64_t own_index;
  int64_t silent_ms;
  Member reported[3];
  uint64_t reported_index;
  bool is_removed;
} RemovedCase;

static const RemovedCase REMOVED_CASES[] = {
  { "in its own members, not in later ones",
    { { 1, 1 }, { 2, 2 } },
    40,
    0,
    { { 2, 2 } },
    41,
    true },
  { "in its own members, not in older ones",
    { { 1, 1 }, { 2, 2 } },
    40,
    0,
    { { 2, 2 } },
    39,
    false },
  { "in its own members, not in others of the same index",
    { { 1, 1 }, { 2, 2 } },
    40,
    0,
    { { 2, 2 } },
    40,
    false },
  { "in later members", { { 1, 1 }, { 2, 2 } }, 40, 0, { { 1, 1 }, { 3, 3 } }, 60, false },
  { "just joined without a log yet, and a lagging member reports older members",
    { { 0 } },
    0,
    200,
    { { 2, 2 } },
    39,
    false },
  { "joined, but never received the log", { { 0 } }, 0, 21000, { { 2, 2 } }, 39, true },
  { "its log does not yet contain the entry that added it",
    { { 2, 2 }, { 3, 3 } },
    30,
    200,
    { { 2, 2 } },
    39,
    false },
  { "no members reported", { { 1, 1 }, { 2, 2 } }, 40, 0, { { 0 } }, 60, false },
};

static void
put_members (LcRaftConfig *config, const Member *members, int n)
{
  for (int i = 0; i < n && members[i].id != 0; i++)
    {
      LcRaftMember m = { .id = members[i].id, .ipv4 = members[i].at, .peer_port = 7000 };

      ck_assert_int_eq (lc_raft_config_put (config, &m), 0);
    }
}

START_TEST (test_removal_is_detected)
{
  const RemovedCase *c = &REMOVED_CASES[_i];
  LcRaftConfig own = { 0 };
  LcRaftConfig reported = { 0 };
  LcHealSelf self = { LEADER, &own, c->own_index, c->silent_ms * LC_US_PER_MS };

  put_members (&own, c->own, 3);
  put_members (&reported, c->reported, 3);
  ck_assert_msg (lc_heal_is_removed (&self, &reported, c->reported_index) == c->is_removed, "%s",
                 c->what);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("heal");
  TCase *tcase = tcase_create ("heal");

  tcase_add_loop_test (tcase, test_next_change, 0, (int)(sizeof CASES / sizeof CASES[0]));
  tcase_add_loop_test (tcase, test_removal_is_detected, 0,
                       (int)(sizeof REMOVED_CASES / sizeof REMOVED_CASES[0]));
  suite_add_tcase (suite, tcase);
  return lc_fake_run (suite);
}
