/* Safety rules of a single replica that the randomized simulation (prop-replica) seldom reaches. */
#include "core/control/lc-raft.h"
#include "tests/fakes/lc-fake-run.h"

#include <check.h>
#include <string.h>

enum
{
  SELF = 1,
  PEER = 2,
  THIRD = 3,
  TICK_US = 10000,
};

typedef struct
{
  LcRaft raft;
  int64_t now_us;
} Replica;

static LcRaftConfig
three_members (void)
{
  LcRaftConfig config = { 0 };

  for (LcReplicaId id = SELF; id <= THIRD; id++)
    {
      LcRaftMember member = { .id = id };

      (void)g_snprintf (member.name, sizeof member.name, "control-%u", (unsigned)id);
      (void)lc_raft_config_put (&config, &member);
    }
  return config;
}

/* Starts a follower with these recovered entries. */
static void
start (Replica *r, uint64_t term, const LcRaftEntry *entries, size_t n_entries)
{
  LcRaftDesc desc = { .id = SELF,
                      .seed = 1,
                      .election_max_ms = 600,
                      .term = term,
                      .entries = entries,
                      .n_entries = n_entries,
                      .initial_config = three_members () };

  memset (r, 0, sizeof *r);
  r->now_us = LC_US_PER_S;
  lc_raft_init (&r->raft, &desc, r->now_us);
}

static void
advance (Replica *r, int64_t for_us)
{
  for (int64_t at_us = 0; at_us < for_us; at_us += TICK_US)
    {
      r->now_us += TICK_US;
      lc_raft_tick (&r->raft, r->now_us);
    }
}

static void
persist_all (Replica *r)
{
  LcRaftPersist persist;

  while (lc_raft_take_persist (&r->raft, &persist))
    {
      lc_raft_mark_persisted (&r->raft, persist.sequence, r->now_us);
      lc_raft_persist_finish (&persist);
    }
  while (lc_raft_next_committed (&r->raft) != NULL)
    lc_raft_mark_applied (&r->raft);
}

/* Takes all outgoing messages and copies out the last one of `kind` to `to`, without its
 * buffers. */
static bool
take_message (Replica *r, LcRaftMessageKind kind, LcReplicaId to, LcRaftMessage *out)
{
  LcRaftMessage m;
  bool is_found = false;

  while (lc_raft_take_message (&r->raft, &m, r->now_us))
    {
      if (m.kind == kind && m.to == to)
        {
          is_found = true;
          *out = m;
        }
      lc_raft_message_finish (&m);
    }
  return is_found;
}

static void
receive (Replica *r, LcRaftMessage m)
{
  m.to = SELF;
  lc_raft_receive (&r->raft, &m, r->now_us);
}

static LcRaftMessage
vote_request (LcReplicaId from, uint64_t term)
{
  LcRaftMessage m = { .kind = LC_RAFT_VOTE, .from = from, .term = term };

  m.vote.last_index = 100;
  m.vote.last_term = term;
  return m;
}

static LcRaftMessage
heartbeat (LcReplicaId from, uint64_t term, uint64_t prev_index, uint64_t prev_term)
{
  LcRaftMessage m = { .kind = LC_RAFT_APPEND, .from = from, .term = term };

  m.append.prev_index = prev_index;
  m.append.prev_term = prev_term;
  return m;
}

static void
acknowledge (Replica *r, LcReplicaId from, uint64_t match_index)
{
  LcRaftMessage m = { .kind = LC_RAFT_APPEND_REPLY, .from = from, .term = r->raft.term };

  m.append_reply.is_ok = true;
  m.append_reply.match_index = match_index;
  m.append_reply.sent_us = r->now_us;
  receive (r, m);
}

/* Wins an election with the vote of PEER. */
static void
become_leader (Replica *r)
{
  LcRaftMessage grant = { .kind = LC_RAFT_VOTE_REPLY, .from = PEER };

  while (r->raft.role != LC_RAFT_PRE_CANDIDATE)
    advance (r, TICK_US);
  grant.term = r->raft.term + 1;
  grant.vote_reply.is_granted = true;
  grant.vote_reply.is_pre = true;
  receive (r, grant);
  ck_assert_int_eq (r->raft.role, LC_RAFT_CANDIDATE);
  persist_all (r);
  grant.vote_reply.is_pre = false;
  receive (r, grant);
  ck_assert_int_eq (r->raft.role, LC_RAFT_LEADER);
  persist_all (r);
}

/* === no message before fsync ================================================================ */

START_TEST (test_vote_waits_for_its_sync)
{
  Replica r;
  LcRaftMessage m;

  start (&r, 3, NULL, 0);
  advance (&r, 500000 - TICK_US);
  advance (&r, TICK_US);
  receive (&r, vote_request (PEER, 4));
  ck_assert_uint_eq (r.raft.vote, PEER);
  ck_assert (!take_message (&r, LC_RAFT_VOTE_REPLY, PEER, &m));
  persist_all (&r);
  ck_assert (take_message (&r, LC_RAFT_VOTE_REPLY, PEER, &m));
  ck_assert (m.vote_reply.is_granted);
  receive (&r, vote_request (THIRD, 4));
  persist_all (&r);
  ck_assert (take_message (&r, LC_RAFT_VOTE_REPLY, THIRD, &m));
  ck_assert (!m.vote_reply.is_granted);
  lc_raft_finish (&r.raft);
}
END_TEST

START_TEST (test_candidate_waits_for_its_sync)
{
  Replica r;
  LcRaftMessage grant = { .kind = LC_RAFT_VOTE_REPLY, .from = PEER, .term = 1 };
  LcRaftMessage m;

  start (&r, 0, NULL, 0);
  while (r.raft.role != LC_RAFT_PRE_CANDIDATE)
    advance (&r, TICK_US);
  (void)take_message (&r, LC_RAFT_VOTE, PEER, &m);
  grant.vote_reply.is_granted = true;
  grant.vote_reply.is_pre = true;
  receive (&r, grant);
  ck_assert (!take_message (&r, LC_RAFT_VOTE, PEER, &m));
  grant.vote_reply.is_pre = false;
  receive (&r, grant);
  ck_assert_int_eq (r.raft.role, LC_RAFT_CANDIDATE);
  persist_all (&r);
  ck_assert_int_eq (r.raft.role, LC_RAFT_LEADER);
  lc_raft_finish (&r.raft);
}
END_TEST

START_TEST (test_acknowledgement_waits_for_its_sync)
{
  LcRaftEntry entry = { .index = 1, .term = 1, .kind = LC_RAFT_ENTRY_NOOP };
  LcRaftMessage append = heartbeat (PEER, 1, 0, 0);
  Replica r;
  LcRaftMessage m;

  start (&r, 1, NULL, 0);
  append.append.entries = lc_raft_entries_new ();
  g_array_append_val (append.append.entries, entry);
  receive (&r, append);
  ck_assert (take_message (&r, LC_RAFT_APPEND_REPLY, PEER, &m));
  ck_assert_uint_eq (m.append_reply.match_index, 0);
  persist_all (&r);
  ck_assert (take_message (&r, LC_RAFT_APPEND_REPLY, PEER, &m));
  ck_assert_uint_eq (m.append_reply.match_index, 1);
  g_array_unref (append.append.entries);
  lc_raft_finish (&r.raft);
}
END_TEST

/* === committing ============================================================================= */

/* An entry of an older term may still be replaced although a majority holds it: it is committed
 * only by a later entry of the leader's own term. */
START_TEST (test_older_term_is_not_committed_by_counting_replicas)
{
  LcRaftEntry old = { .index = 1, .term = 1, .kind = LC_RAFT_ENTRY_NOOP };
  Replica r;

  start (&r, 2, &old, 1);
  become_leader (&r);
  ck_assert_uint_eq (lc_raft_last_index (&r.raft), 2);
  acknowledge (&r, PEER, 1);
  ck_assert_uint_eq (r.raft.commit_index, 0);
  acknowledge (&r, PEER, 2);
  ck_assert_uint_eq (r.raft.commit_index, 2);
  lc_raft_finish (&r.raft);
}
END_TEST

START_TEST (test_learner_does_not_count)
{
  LcRaftMember learner = { .id = 4, .name = "control-4" };
  LcRaftMember another = { .id = 5, .name = "control-5" };
  Replica r;
  uint64_t index;

  start (&r, 0, NULL, 0);
  become_leader (&r);
  acknowledge (&r, PEER, 1);
  ck_assert_int_eq (lc_raft_propose_change (&r.raft, LC_RAFT_ADD_LEARNER, &learner, r.now_us, NULL),
                    0);
  persist_all (&r);
  ck_assert_int_eq (lc_raft_propose_change (&r.raft, LC_RAFT_ADD_LEARNER, &another, r.now_us, NULL),
                    LC_ERR_UNAVAILABLE);
  index = lc_raft_last_index (&r.raft);
  acknowledge (&r, 4, index);
  ck_assert_uint_lt (r.raft.commit_index, index);
  acknowledge (&r, PEER, index);
  ck_assert_uint_eq (r.raft.commit_index, index);
  lc_raft_finish (&r.raft);
}
END_TEST

START_TEST (test_learner_is_promoted_once_caught_up)
{
  LcRaftMember learner = { .id = 4, .name = "control-4" };
  Replica r;

  start (&r, 0, NULL, 0);
  become_leader (&r);
  acknowledge (&r, PEER, 1);
  (void)lc_raft_propose_change (&r.raft, LC_RAFT_ADD_LEARNER, &learner, r.now_us, NULL);
  persist_all (&r);
  acknowledge (&r, PEER, 2);
  ck_assert_int_eq (lc_raft_propose_change (&r.raft, LC_RAFT_PROMOTE, &learner, r.now_us, NULL),
                    LC_ERR_UNAVAILABLE);
  acknowledge (&r, 4, 2);
  ck_assert_int_eq (lc_raft_propose_change (&r.raft, LC_RAFT_PROMOTE, &learner, r.now_us, NULL), 0);
  lc_raft_finish (&r.raft);
}
END_TEST

/* A quorum must not count a replica that lacks the configuration entry that added it. */
START_TEST (test_learner_without_the_entry_that_named_it_is_not_promoted)
{
  LcRaftMember learner = { .id = 4, .name = "control-4" };
  Replica r;

  start (&r, 0, NULL, 0);
  become_leader (&r);
  acknowledge (&r, PEER, 1);
  (void)lc_raft_propose_change (&r.raft, LC_RAFT_ADD_LEARNER, &learner, r.now_us, NULL);
  persist_all (&r);
  acknowledge (&r, PEER, 2);
  acknowledge (&r, 4, 1);
  ck_assert (!lc_raft_has_caught_up (&r.raft, 4));
  ck_assert_int_eq (lc_raft_propose_change (&r.raft, LC_RAFT_PROMOTE, &learner, r.now_us, NULL),
                    LC_ERR_UNAVAILABLE);
  acknowledge (&r, 4, 2);
  ck_assert (lc_raft_has_caught_up (&r.raft, 4));
  lc_raft_finish (&r.raft);
}
END_TEST

/* === leases ================================================================================= */

START_TEST (test_lease_ends)
{
  Replica r;

  start (&r, 0, NULL, 0);
  become_leader (&r);
  ck_assert (!lc_raft_can_read (&r.raft, r.now_us));
  acknowledge (&r, PEER, 1);
  persist_all (&r);
  ck_assert (lc_raft_can_read (&r.raft, r.now_us));
  ck_assert (lc_raft_can_read (&r.raft, r.now_us + 299000));
  ck_assert (!lc_raft_can_read (&r.raft, r.now_us + 301000));
  lc_raft_finish (&r.raft);
}
END_TEST

START_TEST (test_lease_is_given_up_when_the_clock_goes_back)
{
  Replica r;

  start (&r, 0, NULL, 0);
  become_leader (&r);
  acknowledge (&r, PEER, 1);
  persist_all (&r);
  ck_assert (lc_raft_can_read (&r.raft, r.now_us));
  r.now_us -= 100000;
  lc_raft_tick (&r.raft, r.now_us);
  acknowledge (&r, PEER, 1);
  ck_assert (!lc_raft_can_read (&r.raft, r.now_us));
  lc_raft_finish (&r.raft);
}
END_TEST

START_TEST (test_lease_ends_with_leadership_transfer)
{
  Replica r;
  LcRaftMessage m;

  start (&r, 0, NULL, 0);
  become_leader (&r);
  acknowledge (&r, PEER, 1);
  persist_all (&r);
  (void)take_message (&r, LC_RAFT_APPEND, PEER, &m);
  lc_raft_transfer_leadership (&r.raft, r.now_us);
  ck_assert (!lc_raft_can_read (&r.raft, r.now_us));
  ck_assert (take_message (&r, LC_RAFT_TIMEOUT_NOW, PEER, &m));
  ck_assert_int_eq (lc_raft_propose (&r.raft, NULL, r.now_us, NULL, NULL), LC_ERR_NOT_LEADER);
  lc_raft_finish (&r.raft);
}
END_TEST

/* === votes under a lease ==================================================================== */

static const struct
{
  const char *name;
  int64_t wait_us;         /* after the start or the heartbeat */
  int64_t step_us;         /* forward step of the clock after that */
  bool has_leader_contact; /* a heartbeat was received first */
  bool is_pre;
  bool is_transfer;
  bool is_granted;
} LEASE_VOTES[] = {
  { "just started: a lease may exist", 400000, 0, false, true, false, false },
  { "started long ago", 520000, 0, false, true, false, true },
  { "leader contact", 400000, 0, true, true, false, false },
  { "leader contact, real vote", 400000, 0, true, false, false, false },
  { "leader contact, leadership transfer", 400000, 0, true, false, true, true },
  { "a forward clock step doesn't end the lease", 100000, 5000000, true, true, false, false },
};

START_TEST (test_votes_under_a_lease)
{
  Replica r;
  LcRaftMessage request;
  LcRaftMessage m;

  start (&r, 1, NULL, 0);
  if (LEASE_VOTES[_i].has_leader_contact)
    receive (&r, heartbeat (THIRD, 1, 0, 0));
  /* Advances the clock without ticks, which would start an election. */
  for (int64_t at_us = 0; at_us < LEASE_VOTES[_i].wait_us; at_us += TICK_US)
    {
      r.now_us += TICK_US;
      lc_raft_suspend (&r.raft, false, r.now_us);
    }
  r.now_us += LEASE_VOTES[_i].step_us;
  request = vote_request (PEER, 2);
  request.vote.is_pre = LEASE_VOTES[_i].is_pre;
  request.vote.is_transfer = LEASE_VOTES[_i].is_transfer;
  receive (&r, request);
  persist_all (&r);
  ck_assert_msg (take_message (&r, LC_RAFT_VOTE_REPLY, PEER, &m), "%s", LEASE_VOTES[_i].name);
  ck_assert_msg (m.vote_reply.is_granted == LEASE_VOTES[_i].is_granted, "%s", LEASE_VOTES[_i].name);
  lc_raft_finish (&r.raft);
}
END_TEST

/* === memory behind a snapshot =============================================================== */

static const struct
{
  const char *what;
  size_t entry_bytes;
  uint32_t trailing;
  uint32_t trailing_bytes;
  uint64_t base_index; /* after a snapshot of all 40 */
} TRAILING[] = {
  { "small entries: by number", 10, 16, 1 << 20, 24 },
  { "large entries: by bytes", 100 << 10, 1024, 1 << 20, 30 },
  { "one entry larger than the limit", 2 << 20, 1024, 1 << 20, 40 },
  { "all fit", 10, 1024, 1 << 20, 0 },
};

START_TEST (test_trailing)
{
  enum
  {
    N_ENTRIES = 40,
  };
  LcRaftEntry entries[N_ENTRIES];
  LcRaftDesc desc = { .id = SELF, .seed = 1, .term = 1, .initial_config = three_members () };
  LcRaftSnapshot snapshot = { 0 };
  LcRaft raft;

  for (int i = 0; i < N_ENTRIES; i++)
    entries[i] = (LcRaftEntry){ .index = (uint64_t)i + 1,
                                .term = 1,
                                .kind = LC_RAFT_ENTRY_COMMAND,
                                .data = g_bytes_new_take (g_malloc0 (TRAILING[_i].entry_bytes),
                                                          TRAILING[_i].entry_bytes) };
  desc.entries = entries;
  desc.n_entries = N_ENTRIES;
  desc.trailing = TRAILING[_i].trailing;
  desc.trailing_bytes = TRAILING[_i].trailing_bytes;
  lc_raft_init (&raft, &desc, 0);
  raft.commit_index = N_ENTRIES;
  while (lc_raft_next_committed (&raft) != NULL)
    lc_raft_mark_applied (&raft);
  snapshot.index = N_ENTRIES;
  snapshot.term = 1;
  snapshot.config = three_members ();
  snapshot.data = g_bytes_new_static ("x", 1);
  lc_raft_compact (&raft, &snapshot);
  ck_assert_msg (raft.base_index == TRAILING[_i].base_index, "%s: %u", TRAILING[_i].what,
                 (unsigned)raft.base_index);
  /* The configuration of compacted entries is kept at the log's base. */
  ck_assert_uint_eq (lc_raft_config_as_of (&raft), raft.base_index);
  lc_raft_snapshot_finish (&snapshot);
  lc_raft_finish (&raft);
  for (int i = 0; i < N_ENTRIES; i++)
    g_bytes_unref (entries[i].data);
}
END_TEST

/* === recovered commit index ================================================================= */

static const struct
{
  const char *what;
  uint64_t commit_index; /* as recovered */
  uint64_t expected;     /* entries applied before any leader contact */
} COMMIT_INDEXES[] = {
  { "none recorded", 0, 0 },
  { "some", 3, 3 },
  { "all", 5, 5 },
  { "beyond the log: the disk lost its end", 9, 5 },
};

START_TEST (test_recovered_commits_are_applied_at_start)
{
  enum
  {
    N_ENTRIES = 5,
  };
  LcRaftEntry entries[N_ENTRIES];
  LcRaftDesc desc = { .id = SELF, .seed = 1, .term = 1, .initial_config = three_members () };
  LcRaftPersist persist;
  uint64_t n = 0;
  LcRaft raft;

  for (int i = 0; i < N_ENTRIES; i++)
    entries[i] = (LcRaftEntry){ .index = (uint64_t)i + 1,
                                .term = 1,
                                .kind = LC_RAFT_ENTRY_COMMAND,
                                .data = g_bytes_new_static ("x", 1) };
  desc.entries = entries;
  desc.n_entries = N_ENTRIES;
  desc.commit_index = COMMIT_INDEXES[_i].commit_index;
  lc_raft_init (&raft, &desc, 0);
  for (; lc_raft_next_committed (&raft) != NULL; n++)
    lc_raft_mark_applied (&raft);
  ck_assert_msg (n == COMMIT_INDEXES[_i].expected, "%s: %u", COMMIT_INDEXES[_i].what, (unsigned)n);
  /* It neither leads nor serves lease reads. */
  ck_assert (!lc_raft_is_leader (&raft));
  ck_assert (!lc_raft_can_read (&raft, 1));
  ck_assert (!lc_raft_take_persist (&raft, &persist));
  lc_raft_finish (&raft);
}
END_TEST

/* === fresh elections ======================================================================== */

static const struct
{
  const char *what;
  LcReplicaId grants[2];   /* voters that grant the fresh pre-vote */
  LcReplicaId gone;        /* a member that lost its data folder; 0: none */
  bool has_leader_contact; /* before the last of them replies */
  int64_t replies_us;      /* time of the replies after the start */
  bool campaigns;
} FRESH_ELECTIONS[] = {
  { "all are fresh", { PEER, THIRD }, 0, false, 50000, true },
  { "one does not reply", { PEER, 0 }, 0, false, 50000, false },
  { "one does not reply, since it is gone for good", { PEER, 0 }, THIRD, false, 50000, true },
  { "one is gone for good, the other does not reply", { 0, 0 }, THIRD, false, 50000, false },
  { "one replies twice", { PEER, PEER }, 0, false, 50000, false },
  { "leader contact in between", { PEER, THIRD }, 0, true, 50000, false },
  { "replies after it stopped being fresh", { PEER, THIRD }, 0, false, 600000, false },
};

START_TEST (test_fresh_election_needs_all_voters)
{
  Replica r;

  start (&r, 4, NULL, 0);
  if (FRESH_ELECTIONS[_i].gone != 0)
    lc_raft_mark_gone (&r.raft, FRESH_ELECTIONS[_i].gone);
  advance (&r, FRESH_ELECTIONS[_i].replies_us);
  for (int i = 0; i < 2 && FRESH_ELECTIONS[_i].grants[i] != 0; i++)
    {
      LcRaftMessage grant = { .kind = LC_RAFT_VOTE_REPLY,
                              .from = FRESH_ELECTIONS[_i].grants[i],
                              .term = 5 };

      if (i == 1 && FRESH_ELECTIONS[_i].has_leader_contact)
        receive (&r, heartbeat (PEER, 4, 0, 0));
      grant.vote_reply.is_pre = true;
      grant.vote_reply.is_fresh = true;
      grant.vote_reply.is_granted = true;
      receive (&r, grant);
    }
  ck_assert_msg ((r.raft.role == LC_RAFT_CANDIDATE) == FRESH_ELECTIONS[_i].campaigns, "%s",
                 FRESH_ELECTIONS[_i].what);
  lc_raft_finish (&r.raft);
}
END_TEST

static const struct
{
  const char *what;
  int64_t after_us;        /* after its start */
  bool has_leader_contact; /* leader contact since its start */
  bool is_fresh;           /* in the request */
  bool is_granted;
} FRESH_VOTES[] = {
  { "fresh voter, all fresh", 50000, false, true, true },
  { "fresh voter, usual vote", 50000, false, false, false },
  { "a voter with leader contact since its start", 50000, true, true, false },
};

START_TEST (test_fresh_votes)
{
  LcRaftMessage m = vote_request (PEER, 5);
  LcRaftMessage reply;
  Replica r;

  start (&r, 4, NULL, 0);
  advance (&r, FRESH_VOTES[_i].after_us);
  if (FRESH_VOTES[_i].has_leader_contact)
    receive (&r, heartbeat (THIRD, 4, 0, 0));
  m.vote.is_fresh = FRESH_VOTES[_i].is_fresh;
  receive (&r, m);
  persist_all (&r);
  ck_assert_msg ((take_message (&r, LC_RAFT_VOTE_REPLY, PEER, &reply) &&
                  reply.vote_reply.is_granted) == FRESH_VOTES[_i].is_granted,
                 "%s", FRESH_VOTES[_i].what);
  lc_raft_finish (&r.raft);
}
END_TEST

/* Two fresh replicas that grant each other's request would both start an election and split the
 * vote: only one may grant. */
static const struct
{
  const char *what;
  LcReplicaId self;
  LcReplicaId from;
  uint64_t last_index; /* of the sender; this replica's log is empty */
  bool is_granted;
} PRIORITIES[] = {
  { "equal logs, asked by the higher id", SELF, PEER, 0, true },
  { "equal logs, asked by the lower id", PEER, SELF, 0, false },
  { "a longer log outranks the id", PEER, SELF, 7, true },
};

START_TEST (test_only_one_fresh_replica_grants)
{
  LcRaftMessage m = vote_request (PRIORITIES[_i].from, 5);
  LcRaftMessage reply;
  Replica r;

  start (&r, 4, NULL, 0);
  r.raft.desc.id = PRIORITIES[_i].self;
  m.to = PRIORITIES[_i].self;
  m.vote.is_pre = true;
  m.vote.is_fresh = true;
  m.vote.last_index = PRIORITIES[_i].last_index;
  m.vote.last_term = PRIORITIES[_i].last_index > 0 ? 4 : 0;
  lc_raft_receive (&r.raft, &m, r.now_us);
  persist_all (&r);
  ck_assert_msg ((take_message (&r, LC_RAFT_VOTE_REPLY, PRIORITIES[_i].from, &reply) &&
                  reply.vote_reply.is_granted) == PRIORITIES[_i].is_granted,
                 "%s", PRIORITIES[_i].what);
  lc_raft_finish (&r.raft);
}
END_TEST

/* Voters may start up to half a second apart.  Those that started earlier, and had no leader
 * contact for an election timeout, must not delay the election of a fresh replica. */
static const struct
{
  const char *what;
  LcReplicaId self;
  LcReplicaId from;
  int64_t after_us;
  bool has_leader_contact; /* leader contact just before */
  bool is_granted;
} EARLIER_VOTERS[] = {
  { "no leader contact for 0.6 s, asked by the lower id", PEER, SELF, 600000, false, true },
  { "no leader contact for 0.6 s, asked by the higher id", SELF, PEER, 600000, false, true },
  { "no leader contact for 5 s", PEER, SELF, 5000000, false, true },
  { "leader contact just now", PEER, SELF, 600000, true, false },
};

START_TEST (test_earlier_voters_grant_fresh_request)
{
  LcRaftMessage m = vote_request (EARLIER_VOTERS[_i].from, 5);
  LcRaftMessage reply;
  Replica r;

  start (&r, 4, NULL, 0);
  r.raft.desc.id = EARLIER_VOTERS[_i].self;
  advance (&r, EARLIER_VOTERS[_i].after_us);
  if (EARLIER_VOTERS[_i].has_leader_contact)
    {
      LcRaftMessage alive = heartbeat (THIRD, 4, 0, 0);

      alive.to = EARLIER_VOTERS[_i].self;
      lc_raft_receive (&r.raft, &alive, r.now_us);
    }
  m.to = EARLIER_VOTERS[_i].self;
  m.vote.is_pre = true;
  m.vote.is_fresh = true;
  lc_raft_receive (&r.raft, &m, r.now_us);
  persist_all (&r);
  ck_assert_msg ((take_message (&r, LC_RAFT_VOTE_REPLY, EARLIER_VOTERS[_i].from, &reply) &&
                  reply.vote_reply.is_granted) == EARLIER_VOTERS[_i].is_granted,
                 "%s", EARLIER_VOTERS[_i].what);
  lc_raft_finish (&r.raft);
}
END_TEST

START_TEST (test_leader_without_quorum_steps_down)
{
  Replica r;

  start (&r, 0, NULL, 0);
  become_leader (&r);
  acknowledge (&r, PEER, 1);
  advance (&r, 400000);
  ck_assert (lc_raft_is_leader (&r.raft));
  advance (&r, 200000);
  ck_assert (!lc_raft_is_leader (&r.raft));
  ck_assert_int_ge (lc_raft_leader_silence_us (&r.raft), 400000);
  lc_raft_finish (&r.raft);
}
END_TEST

START_TEST (test_suspended_replica_neither_leads_nor_votes)
{
  Replica r;
  LcRaftMessage m;

  start (&r, 0, NULL, 0);
  become_leader (&r);
  lc_raft_suspend (&r.raft, true, r.now_us);
  ck_assert (!lc_raft_is_leader (&r.raft));
  advance (&r, 3 * LC_US_PER_S);
  ck_assert_int_eq (r.raft.role, LC_RAFT_FOLLOWER);
  receive (&r, vote_request (PEER, 9));
  persist_all (&r);
  ck_assert (take_message (&r, LC_RAFT_VOTE_REPLY, PEER, &m));
  ck_assert (!m.vote_reply.is_granted);
  lc_raft_finish (&r.raft);
}
END_TEST

/* === faulty peers =========================================================================== */

START_TEST (test_conflict_with_committed_entry_is_rejected)
{
  LcRaftEntry committed = { .index = 1, .term = 1, .kind = LC_RAFT_ENTRY_NOOP };
  LcRaftEntry conflicting = { .index = 1, .term = 2, .kind = LC_RAFT_ENTRY_NOOP };
  LcRaftMessage m = heartbeat (PEER, 1, 1, 1);
  Replica r;

  start (&r, 1, &committed, 1);
  m.append.commit_index = 1;
  receive (&r, m);
  ck_assert_uint_eq (r.raft.commit_index, 1);
  m = heartbeat (PEER, 2, 0, 0);
  m.append.entries = lc_raft_entries_new ();
  g_array_append_val (m.append.entries, conflicting);
  receive (&r, m);
  ck_assert_uint_eq (lc_raft_term_at (&r.raft, 1), 1);
  ck_assert_uint_eq (r.raft.counters.malformed_total, 1);
  g_array_unref (m.append.entries);
  lc_raft_finish (&r.raft);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("raft");
  TCase *tcase = tcase_create ("rules");

  tcase_add_test (tcase, test_vote_waits_for_its_sync);
  tcase_add_test (tcase, test_candidate_waits_for_its_sync);
  tcase_add_test (tcase, test_acknowledgement_waits_for_its_sync);
  tcase_add_test (tcase, test_older_term_is_not_committed_by_counting_replicas);
  tcase_add_test (tcase, test_learner_does_not_count);
  tcase_add_test (tcase, test_learner_is_promoted_once_caught_up);
  tcase_add_test (tcase, test_learner_without_the_entry_that_named_it_is_not_promoted);
  tcase_add_test (tcase, test_lease_ends);
  tcase_add_test (tcase, test_lease_is_given_up_when_the_clock_goes_back);
  tcase_add_test (tcase, test_lease_ends_with_leadership_transfer);
  tcase_add_loop_test (tcase, test_votes_under_a_lease, 0, (int)G_N_ELEMENTS (LEASE_VOTES));
  tcase_add_loop_test (tcase, test_trailing, 0, (int)G_N_ELEMENTS (TRAILING));
  tcase_add_loop_test (tcase, test_fresh_election_needs_all_voters, 0,
                       (int)G_N_ELEMENTS (FRESH_ELECTIONS));
  tcase_add_loop_test (tcase, test_fresh_votes, 0, (int)G_N_ELEMENTS (FRESH_VOTES));
  tcase_add_loop_test (tcase, test_only_one_fresh_replica_grants, 0,
                       (int)G_N_ELEMENTS (PRIORITIES));
  tcase_add_loop_test (tcase, test_earlier_voters_grant_fresh_request, 0,
                       (int)G_N_ELEMENTS (EARLIER_VOTERS));
  tcase_add_test (tcase, test_leader_without_quorum_steps_down);
  tcase_add_test (tcase, test_suspended_replica_neither_leads_nor_votes);
  tcase_add_test (tcase, test_conflict_with_committed_entry_is_rejected);
  tcase_add_loop_test (tcase, test_recovered_commits_are_applied_at_start, 0,
                       (int)G_N_ELEMENTS (COMMIT_INDEXES));
  suite_add_tcase (suite, tcase);
  return lc_fake_run (suite);
}
