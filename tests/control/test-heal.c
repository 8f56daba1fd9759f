/* Which member is added, promoted or removed next: a table of what the leader sees. */
#include "core/control/lc-heal.h"
#include "tests/fakes/lc-fake-run.h"

#include <check.h>
#include <string.h>

enum
{
  SELF = 1,
  N_VOTERS = 3,
  NEVER = -1,
  HERE = 0,
};

/* A member or another replica.  Its address is `at`; id 0 ends a list. */
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
} Seen;

typedef struct
{
  const char *what;
  Member members[5];
  Seen seen[5];
  LcRaftChange change; /* 0: none */
  LcReplicaId id;
  uint32_t n_voters; /* 0: N_VOTERS */
} Case;

#define THREE                                                                                      \
  {                                                                                                \
    { 1, 1 }, { 2, 2 },                                                                            \
    {                                                                                              \
      3, 3                                                                                         \
    }                                                                                              \
  }

static const Case CASES[] = {
  { "all are there", THREE, { { 2, 2, HERE }, { 3, 3, HERE } }, 0, 0 },
  { "one is silent, nobody stands by", THREE, { { 2, 2, HERE }, { 3, 3, 60000 } }, 0, 0 },
  { "one never spoke, nobody stands by", THREE, { { 2, 2, HERE } }, 0, 0 },
  { "one stands by, nobody is silent",
    THREE,
    { { 2, 2, HERE }, { 3, 3, HERE }, { 9, 9, HERE, true } },
    0,
    0 },
  { "a lost disk", THREE, { { 2, 2, HERE }, { 9, 3, HERE, true } }, LC_RAFT_ADD_LEARNER, 9 },
  { "a lost disk, and the old word still there",
    THREE,
    { { 2, 2, HERE }, { 3, 3, 100 }, { 9, 3, HERE, true } },
    LC_RAFT_ADD_LEARNER,
    9 },
  { "a blank one spoke at a member's address, but long ago",
    THREE,
    { { 2, 2, HERE }, { 9, 3, 5000, true } },
    0,
    0 },
  { "another cluster's replica at a member's address",
    THREE,
    { { 2, 2, HERE }, { 9, 3, HERE, false } },
    0,
    0 },
  { "a learner that is behind",
    { { 1, 1 }, { 2, 2 }, { 3, 3 }, { 9, 3, true } },
    { { 2, 2, HERE }, { 9, 3, HERE } },
    0,
    0 },
  { "a learner that has caught up",
    { { 1, 1 }, { 2, 2 }, { 3, 3 }, { 9, 3, true } },
    { { 2, 2, HERE }, { 9, 3, HERE, false, true } },
    LC_RAFT_PROMOTE,
    9 },
  { "a learner that has caught up and fell silent",
    { { 1, 1 }, { 2, 2 }, { 3, 3 }, { 9, 3, true } },
    { { 2, 2, HERE }, { 9, 3, 3000, false, true } },
    0,
    0 },
  { "a learner that has caught up, and a blank replica speaks from its address",
    { { 1, 1 }, { 2, 2 }, { 3, 3 }, { 9, 3, true } },
    { { 2, 2, HERE }, { 9, 3, 100, false, true }, { 10, 3, HERE, true } },
    LC_RAFT_REMOVE,
    9 },
  { "a learner that is gone for long",
    { { 1, 1 }, { 2, 2 }, { 3, 3 }, { 9, 3, true } },
    { { 2, 2, HERE }, { 9, 3, 11000 } },
    LC_RAFT_REMOVE,
    9 },
  { "a learner that lost its disk in turn",
    { { 1, 1 }, { 2, 2 }, { 3, 3 }, { 9, 3, true } },
    { { 2, 2, HERE }, { 9, 3, 500 }, { 10, 3, HERE, true } },
    LC_RAFT_REMOVE,
    9 },
  { "the newcomer votes: the lost one goes",
    { { 1, 1 }, { 2, 2 }, { 3, 3 }, { 9, 3 } },
    { { 2, 2, HERE }, { 9, 3, HERE, false, true } },
    LC_RAFT_REMOVE,
    3 },
  { "a member replaced at another address",
    THREE,
    { { 2, 2, HERE }, { 3, 3, 2500 }, { 9, 9, HERE, true } },
    LC_RAFT_ADD_LEARNER,
    9 },
  { "it may still come back",
    THREE,
    { { 2, 2, HERE }, { 3, 3, 1500 }, { 9, 9, HERE, true } },
    0,
    0 },
  { "the one that stood by is gone, too",
    THREE,
    { { 2, 2, HERE }, { 3, 3, 2500 }, { 9, 9, 2000, true } },
    0,
    0 },
  { "one voter too many, and one silent",
    { { 1, 1 }, { 2, 2 }, { 3, 3 }, { 9, 9 } },
    { { 2, 2, HERE }, { 3, 3, 2500 }, { 9, 9, HERE, false, true } },
    LC_RAFT_REMOVE,
    3 },
  { "one voter too many, and all there",
    { { 1, 1 }, { 2, 2 }, { 3, 3 }, { 9, 9 } },
    { { 2, 2, HERE }, { 3, 3, HERE }, { 9, 9, HERE, false, true } },
    0,
    0 },
  { "a voter too few, and one stands by",
    { { 1, 1 }, { 2, 2 } },
    { { 2, 2, HERE }, { 9, 9, HERE, true } },
    LC_RAFT_ADD_LEARNER,
    9 },
  { "the leader's own address is never given away",
    THREE,
    { { 2, 2, HERE }, { 3, 3, HERE }, { 9, 1, HERE, true } },
    0,
    0 },
  { "five are wanted, three formed it",
    THREE,
    { { 2, 2, HERE }, { 3, 3, HERE }, { 8, 8, HERE, true }, { 9, 9, HERE, true } },
    LC_RAFT_ADD_LEARNER,
    8,
    5 },
  { "five are wanted, and one of three is silent: it stays until there are more",
    THREE,
    { { 2, 2, HERE }, { 3, 3, 9000 }, { 9, 9, HERE, true } },
    LC_RAFT_ADD_LEARNER,
    9,
    5 },
  { "five are wanted, nobody stands by", THREE, { { 2, 2, HERE }, { 3, 3, 9000 } }, 0, 0, 5 },
};

START_TEST (test_next)
{
  const Case *c = &CASES[_i];
  LcHealDesc desc = { .self = SELF, .n_voters = c->n_voters != 0 ? c->n_voters : N_VOTERS };
  LcRaftConfig config = { 0 };
  LcHealSeen seen[5] = { 0 };
  uint32_t n_seen = 0;
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
  for (int i = 0; i < 5 && c->seen[i].id != 0; i++)
    seen[n_seen++] = (LcHealSeen){
      .id = c->seen[i].id,
      .ipv4 = c->seen[i].at,
      .port = 7000,
      .is_blank = c->seen[i].is_blank,
      .has_caught_up = c->seen[i].has_caught_up,
      .silent_us = c->seen[i].silent_ms == NEVER ? INT64_MAX : c->seen[i].silent_ms * LC_US_PER_MS,
    };
  is_change = lc_heal_next (&desc, &config, seen, n_seen, &change);
  ck_assert_msg (is_change == (c->change != 0), "%s: %d", c->what, change.kind);
  if (is_change)
    ck_assert_msg (change.kind == c->change && change.member.id == c->id, "%s: %d of %u", c->what,
                   change.kind, (unsigned)change.member.id);
}
END_TEST

/* What a replica knows of its own membership, and committed members that it is told of. */
typedef struct
{
  const char *what;
  Member own[3];
  uint64_t own_index;
  int64_t silent_ms;
  Member told[3];
  uint64_t told_index;
  bool is_removed;
} RemovedCase;

static const RemovedCase REMOVED_CASES[] = {
  { "named by its own log, left out by a later change",
    { { 1, 1 }, { 2, 2 } },
    40,
    0,
    { { 2, 2 } },
    41,
    true },
  { "left out by what its own log is later than",
    { { 1, 1 }, { 2, 2 } },
    40,
    0,
    { { 2, 2 } },
    39,
    false },
  { "left out by what its own log is as new as",
    { { 1, 1 }, { 2, 2 } },
    40,
    0,
    { { 2, 2 } },
    40,
    false },
  { "named by later members", { { 1, 1 }, { 2, 2 } }, 40, 0, { { 1, 1 }, { 3, 3 } }, 60, false },
  { "joined just now, has no log yet, and a member that lags names the members before",
    { { 0 } },
    0,
    200,
    { { 2, 2 } },
    39,
    false },
  { "joined, and no leader ever sent it the log", { { 0 } }, 0, 21000, { { 2, 2 } }, 39, true },
  { "its log does not reach the entry that named it",
    { { 2, 2 }, { 3, 3 } },
    30,
    200,
    { { 2, 2 } },
    39,
    false },
  { "told of no members", { { 1, 1 }, { 2, 2 } }, 40, 0, { { 0 } }, 60, false },
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

START_TEST (test_removed)
{
  const RemovedCase *c = &REMOVED_CASES[_i];
  LcRaftConfig own = { 0 };
  LcRaftConfig told = { 0 };
  LcHealSelf self = { SELF, &own, c->own_index, c->silent_ms * LC_US_PER_MS };

  put_members (&own, c->own, 3);
  put_members (&told, c->told, 3);
  ck_assert_msg (lc_heal_is_removed (&self, &told, c->told_index) == c->is_removed, "%s", c->what);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("heal");
  TCase *tcase = tcase_create ("heal");

  tcase_add_loop_test (tcase, test_next, 0, (int)(sizeof CASES / sizeof CASES[0]));
  tcase_add_loop_test (tcase, test_removed, 0,
                       (int)(sizeof REMOVED_CASES / sizeof REMOVED_CASES[0]));
  suite_add_tcase (suite, tcase);
  return lc_fake_run (suite);
}
