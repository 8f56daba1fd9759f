/* One replica at a time: the rules that random schedules seldom break, each by itself. */
#include "core/control/lc-raft.h"
#include "tests/fakes/lc-fake-run.h"

#include <check.h>
#include <string.h>

enum
{
  ME = 1,
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
three (void)
{
  LcRaftConfig config = { 0 };

  for (LcReplicaId id = ME; id <= THIRD; id++)
    {
      LcRaftMember member = { .id = id };

      (void)g_snprintf (member.name, sizeof member.name, "control-%u", (unsigned)id);
      (void)lc_raft_config_put (&config, &member);
    }
  return config;
}

/* A replica that was started long enough ago to be bound to no leader. */
static void
start (Replica *r, uint64_t term, const LcRaftEntry *entries, size_t n_entries)
{
  LcRaftDesc desc = { .id = ME,
                      .seed = 1,
                      .election_max_ms = 600,
                      .term = term,
                      .entries = entries,
                      .n_entries = n_entries,
                      .initial_config = three () };

  memset (r, 0, sizeof *r);
  r->now_us = LC_US_PER_S;
  lc_raft_init (&r->raft, &desc, r->now_us);
}

static void
pass (Replica *r, int64_t for_us)
{
  for (int64_t at_us = 0; at_us < for_us; at_us += TICK_US)
    {
      r->now_us += TICK_US;
      lc_raft_tick (&r->raft, r->now_us);
    }
}

static void
store (Replica *r)
{
  LcRaftPersist persist;

  while (lc_raft_take_persist (&r->raft, &persist))
    {
      lc_raft_persisted (&r->raft, persist.sequence, r->now_us);
      lc_raft_persist_finish (&persist);
    }
  while (lc_raft_next_committed (&r->raft) != NULL)
    lc_raft_applied (&r->raft);
}

/* Takes all messages; the newest of `kind` to `to` is copied out (without what it refers to). */
static bool
sent (Replica *r, LcRaftMessageKind kind, LcReplicaId to, LcRaftMessage *out)
{
  LcRaftMessage m;
  bool is_there = false;

  while (lc_raft_take_message (&r->raft, &m, r->now_us))
    {
      if (m.kind == kind && m.to == to)
        {
          is_there = true;
          *out = m;
        }
      lc_raft_message_finish (&m);
    }
  return is_there;
}

static void
receive (Replica *r, LcRaftMessage m)
{
  m.to = ME;
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
answer (Replica *r, LcReplicaId from, uint64_t match_index)
{
  LcRaftMessage m = { .kind = LC_RAFT_APPEND_REPLY, .from = from, .term = r->raft.term };

  m.append_reply.is_ok = true;
  m.append_reply.match_index = match_index;
  m.append_reply.sent_us = r->now_us;
  receive (r, m);
}

/* Elected with the vote of PEER. */
static void
become_leader (Replica *r)
{
  LcRaftMessage grant = { .kind = LC_RAFT_VOTE_REPLY, .from = PEER };

  while (r->raft.role != LC_RAFT_PRE_CANDIDATE)
    pass (r, TICK_US);
  grant.term = r->raft.term + 1;
  grant.vote_reply.is_granted = true;
  grant.vote_reply.is_pre = true;
  receive (r, grant);
  ck_assert_int_eq (r->raft.role, LC_RAFT_CANDIDATE);
  store (r);
  grant.vote_reply.is_pre = false;
  receive (r, grant);
  ck_assert_int_eq (r->raft.role, LC_RAFT_LEADER);
  store (r);
}

/* === nothing before the sync ================================================================ */

START_TEST (test_vote_waits_for_its_sync)
{
  Replica r;
  LcRaftMessage m;

  start (&r, 3, NULL, 0);
  pass (&r, 500000 - TICK_US);
  pass (&r, TICK_US);
  receive (&r, vote_request (PEER, 4));
  ck_assert_uint_eq (r.raft.vote, PEER);
  ck_assert (!sent (&r, LC_RAFT_VOTE_REPLY, PEER, &m));
  store (&r);
  ck_assert (sent (&r, LC_RAFT_VOTE_REPLY, PEER, &m));
  ck_assert (m.vote_reply.is_granted);
  receive (&r, vote_request (THIRD, 4));
  store (&r);
  ck_assert (sent (&r, LC_RAFT_VOTE_REPLY, THIRD, &m));
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
    pass (&r, TICK_US);
  (void)sent (&r, LC_RAFT_VOTE, PEER, &m);
  grant.vote_reply.is_granted = true;
  grant.vote_reply.is_pre = true;
  receive (&r, grant);
  ck_assert (!sent (&r, LC_RAFT_VOTE, PEER, &m));
  grant.vote_reply.is_pre = false;
  receive (&r, grant);
  ck_assert_int_eq (r.raft.role, LC_RAFT_CANDIDATE);
  store (&r);
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
  ck_assert (sent (&r, LC_RAFT_APPEND_REPLY, PEER, &m));
  ck_assert_uint_eq (m.append_reply.match_index, 0);
  store (&r);
  ck_assert (sent (&r, LC_RAFT_APPEND_REPLY, PEER, &m));
  ck_assert_uint_eq (m.append_reply.match_index, 1);
  g_array_unref (append.append.entries);
  lc_raft_finish (&r.raft);
}
END_TEST

/* === committing ============================================================================= */

/* An entry of an older term that a majority holds may still be replaced: it is committed only by
 * one of the leader's own term after it. */
START_TEST (test_older_term_is_not_committed_by_counting)
{
  LcRaftEntry old = { .index = 1, .term = 1, .kind = LC_RAFT_ENTRY_NOOP };
  Replica r;

  start (&r, 2, &old, 1);
  become_leader (&r);
  ck_assert_uint_eq (lc_raft_last_index (&r.raft), 2);
  answer (&r, PEER, 1);
  ck_assert_uint_eq (r.raft.commit_index, 0);
  answer (&r, PEER, 2);
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
  answer (&r, PEER, 1);
  ck_assert_int_eq (lc_raft_propose_change (&r.raft, LC_RAFT_ADD_LEARNER, &learner, r.now_us, NULL),
                    0);
  store (&r);
  ck_assert_int_eq (lc_raft_propose_change (&r.raft, LC_RAFT_ADD_LEARNER, &another, r.now_us, NULL),
                    LC_ERR_UNAVAILABLE);
  index = lc_raft_last_index (&r.raft);
  answer (&r, 4, index);
  ck_assert_uint_lt (r.raft.commit_index, index);
  answer (&r, PEER, index);
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
  answer (&r, PEER, 1);
  (void)lc_raft_propose_change (&r.raft, LC_RAFT_ADD_LEARNER, &learner, r.now_us, NULL);
  store (&r);
  answer (&r, PEER, 2);
  ck_assert_int_eq (lc_raft_propose_change (&r.raft, LC_RAFT_PROMOTE, &learner, r.now_us, NULL),
                    LC_ERR_UNAVAILABLE);
  answer (&r, 4, 2);
  ck_assert_int_eq (lc_raft_propose_change (&r.raft, LC_RAFT_PROMOTE, &learner, r.now_us, NULL), 0);
  lc_raft_finish (&r.raft);
}
END_TEST

/* A majority must not depend on a replica that does not yet hold the entry that names it. */
START_TEST (test_learner_without_the_entry_that_named_it_is_not_promoted)
{
  LcRaftMember learner = { .id = 4, .name = "control-4" };
  Replica r;

  start (&r, 0, NULL, 0);
  become_leader (&r);
  answer (&r, PEER, 1);
  (void)lc_raft_propose_change (&r.raft, LC_RAFT_ADD_LEARNER, &learner, r.now_us, NULL);
  store (&r);
  answer (&r, PEER, 2);
  answer (&r, 4, 1);
  ck_assert (!lc_raft_has_caught_up (&r.raft, 4));
  ck_assert_int_eq (lc_raft_propose_change (&r.raft, LC_RAFT_PROMOTE, &learner, r.now_us, NULL),
                    LC_ERR_UNAVAILABLE);
  answer (&r, 4, 2);
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
  answer (&r, PEER, 1);
  store (&r);
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
  answer (&r, PEER, 1);
  store (&r);
  ck_assert (lc_raft_can_read (&r.raft, r.now_us));
  r.now_us -= 100000;
  lc_raft_tick (&r.raft, r.now_us);
  answer (&r, PEER, 1);
  ck_assert (!lc_raft_can_read (&r.raft, r.now_us));
  lc_raft_finish (&r.raft);
}
END_TEST

START_TEST (test_lease_is_given_up_at_hand_over)
{
  Replica r;
  LcRaftMessage m;

  start (&r, 0, NULL, 0);
  become_leader (&r);
  answer (&r, PEER, 1);
  store (&r);
  (void)sent (&r, LC_RAFT_APPEND, PEER, &m);
  lc_raft_transfer (&r.raft, r.now_us);
  ck_assert (!lc_raft_can_read (&r.raft, r.now_us));
  ck_assert (sent (&r, LC_RAFT_TIMEOUT_NOW, PEER, &m));
  ck_assert_int_eq (lc_raft_propose (&r.raft, NULL, r.now_us, NULL, NULL), LC_ERR_NOT_LEADER);
  lc_raft_finish (&r.raft);
}
END_TEST

/* === promises to a leader =================================================================== */

static const struct
{
  const char *name;
  int64_t wait_us; /* after the start or the heartbeat */
  int64_t step_us; /* of the clock, all at once */
  bool has_heard;  /* a heartbeat came before */
  bool is_pre;
  bool is_transfer;
  bool is_granted;
} PROMISES[] = {
  { "just started: it may be bound", 400000, 0, false, true, false, false },
  { "started long ago", 520000, 0, false, true, false, true },
  { "heard a leader", 400000, 0, true, true, false, false },
  { "heard a leader, real vote", 400000, 0, true, false, false, false },
  { "heard a leader, who hands over", 400000, 0, true, false, true, true },
  { "a step forward doesn't end the promise", 100000, 5000000, true, true, false, false },
};

START_TEST (test_promises)
{
  Replica r;
  LcRaftMessage request;
  LcRaftMessage m;

  start (&r, 1, NULL, 0);
  if (PROMISES[_i].has_heard)
    receive (&r, heartbeat (THIRD, 1, 0, 0));
  /* Without ticks of its own it would stand; only the votes matter here. */
  for (int64_t at_us = 0; at_us < PROMISES[_i].wait_us; at_us += TICK_US)
    {
      r.now_us += TICK_US;
      lc_raft_suspend (&r.raft, false, r.now_us);
    }
  r.now_us += PROMISES[_i].step_us;
  request = vote_request (PEER, 2);
  request.vote.is_pre = PROMISES[_i].is_pre;
  request.vote.is_transfer = PROMISES[_i].is_transfer;
  receive (&r, request);
  store (&r);
  ck_assert_msg (sent (&r, LC_RAFT_VOTE_REPLY, PEER, &m), "%s", PROMISES[_i].name);
  ck_assert_msg (m.vote_reply.is_granted == PROMISES[_i].is_granted, "%s", PROMISES[_i].name);
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
  { "one larger than all that may be kept", 2 << 20, 1024, 1 << 20, 40 },
  { "all fit", 10, 1024, 1 << 20, 0 },
};

START_TEST (test_trailing)
{
  enum
  {
    N_ENTRIES = 40,
  };
  LcRaftEntry entries[N_ENTRIES];
  LcRaftDesc desc = { .id = ME, .seed = 1, .term = 1, .initial_config = three () };
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
    lc_raft_applied (&raft);
  snapshot.index = N_ENTRIES;
  snapshot.term = 1;
  snapshot.config = three ();
  snapshot.data = g_bytes_new_static ("x", 1);
  lc_raft_compact (&raft, &snapshot);
  ck_assert_msg (raft.base_index == TRAILING[_i].base_index, "%s: %u", TRAILING[_i].what,
                 (unsigned)raft.base_index);
  /* Members that the log names no more are still known as of its start. */
  ck_assert_uint_eq (lc_raft_config_as_of (&raft), raft.base_index);
  lc_raft_snapshot_finish (&snapshot);
  lc_raft_finish (&raft);
  for (int i = 0; i < N_ENTRIES; i++)
    g_bytes_unref (entries[i].data);
}
END_TEST

/* === what was known to be committed ========================================================= */

static const struct
{
  const char *what;
  uint64_t commit_index; /* as recovered */
  uint64_t expected;     /* applied before any leader speaks */
} KNOWN_COMMITS[] = {
  { "nothing was known", 0, 0 },
  { "some", 3, 3 },
  { "all", 5, 5 },
  { "more than is there: the disk lost the end", 9, 5 },
};

START_TEST (test_known_commits_are_applied_at_the_start)
{
  enum
  {
    N_ENTRIES = 5,
  };
  LcRaftEntry entries[N_ENTRIES];
  LcRaftDesc desc = { .id = ME, .seed = 1, .term = 1, .initial_config = three () };
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
  desc.commit_index = KNOWN_COMMITS[_i].commit_index;
  lc_raft_init (&raft, &desc, 0);
  for (; lc_raft_next_committed (&raft) != NULL; n++)
    lc_raft_applied (&raft);
  ck_assert_msg (n == KNOWN_COMMITS[_i].expected, "%s: %u", KNOWN_COMMITS[_i].what, (unsigned)n);
  /* It leads nobody and vouches for nothing: only a leader does. */
  ck_assert (!lc_raft_is_leader (&raft));
  ck_assert (!lc_raft_can_read (&raft, 1));
  ck_assert (!lc_raft_take_persist (&raft, &persist));
  lc_raft_finish (&raft);
}
END_TEST

/* === after a start of all =================================================================== */

static const struct
{
  const char *what;
  LcReplicaId grants[2]; /* who says that it is fresh, too */
  LcReplicaId ended;     /* a member whose folder is gone; 0: none */
  bool hears_leader;     /* before the last of them answers */
  int64_t answers_us;    /* after the start */
  bool stands;
} FRESH[] = {
  { "all are fresh", { PEER, THIRD }, 0, false, 50000, true },
  { "one does not answer", { PEER, 0 }, 0, false, 50000, false },
  { "one does not answer, since it has ended", { PEER, 0 }, THIRD, false, 50000, true },
  { "one has ended, the other does not answer", { 0, 0 }, THIRD, false, 50000, false },
  { "one answers twice", { PEER, PEER }, 0, false, 50000, false },
  { "a leader was heard", { PEER, THIRD }, 0, true, 50000, false },
  { "the answers come when it is fresh no more", { PEER, THIRD }, 0, false, 600000, false },
};

START_TEST (test_all_fresh)
{
  Replica r;

  start (&r, 4, NULL, 0);
  if (FRESH[_i].ended != 0)
    lc_raft_note_ended (&r.raft, FRESH[_i].ended);
  pass (&r, FRESH[_i].answers_us);
  for (int i = 0; i < 2 && FRESH[_i].grants[i] != 0; i++)
    {
      LcRaftMessage grant = { .kind = LC_RAFT_VOTE_REPLY, .from = FRESH[_i].grants[i], .term = 5 };

      if (i == 1 && FRESH[_i].hears_leader)
        receive (&r, heartbeat (PEER, 4, 0, 0));
      grant.vote_reply.is_pre = true;
      grant.vote_reply.is_fresh = true;
      grant.vote_reply.is_granted = true;
      receive (&r, grant);
    }
  ck_assert_msg ((r.raft.role == LC_RAFT_CANDIDATE) == FRESH[_i].stands, "%s", FRESH[_i].what);
  lc_raft_finish (&r.raft);
}
END_TEST

static const struct
{
  const char *what;
  int64_t after_us; /* of its start */
  bool has_heard;   /* a leader */
  bool is_fresh;    /* the request */
  bool is_granted;
} FRESH_VOTES[] = {
  { "fresh voter, all fresh", 50000, false, true, true },
  { "fresh voter, usual vote", 50000, false, false, false },
  { "a voter that heard a leader since", 50000, true, true, false },
};

START_TEST (test_fresh_votes)
{
  LcRaftMessage m = vote_request (PEER, 5);
  LcRaftMessage reply;
  Replica r;

  start (&r, 4, NULL, 0);
  pass (&r, FRESH_VOTES[_i].after_us);
  if (FRESH_VOTES[_i].has_heard)
    receive (&r, heartbeat (THIRD, 4, 0, 0));
  m.vote.is_fresh = FRESH_VOTES[_i].is_fresh;
  receive (&r, m);
  store (&r);
  ck_assert_msg ((sent (&r, LC_RAFT_VOTE_REPLY, PEER, &reply) && reply.vote_reply.is_granted) ==
                     FRESH_VOTES[_i].is_granted,
                 "%s", FRESH_VOTES[_i].what);
  lc_raft_finish (&r.raft);
}
END_TEST

/* Of two fresh replicas just one lets the other stand, so that they can't share the votes. */
static const struct
{
  const char *what;
  LcReplicaId self;
  LcReplicaId from;
  uint64_t last_index; /* of who asks; the log here is empty */
  bool is_granted;
} YIELDS[] = {
  { "equal logs, asked by the higher id", ME, PEER, 0, true },
  { "equal logs, asked by the lower id", PEER, ME, 0, false },
  { "a longer log goes before the id", PEER, ME, 7, true },
};

START_TEST (test_fresh_replicas_yield)
{
  LcRaftMessage m = vote_request (YIELDS[_i].from, 5);
  LcRaftMessage reply;
  Replica r;

  start (&r, 4, NULL, 0);
  r.raft.desc.id = YIELDS[_i].self;
  m.to = YIELDS[_i].self;
  m.vote.is_pre = true;
  m.vote.is_fresh = true;
  m.vote.last_index = YIELDS[_i].last_index;
  m.vote.last_term = YIELDS[_i].last_index > 0 ? 4 : 0;
  lc_raft_receive (&r.raft, &m, r.now_us);
  store (&r);
  ck_assert_msg ((sent (&r, LC_RAFT_VOTE_REPLY, YIELDS[_i].from, &reply) &&
                  reply.vote_reply.is_granted) == YIELDS[_i].is_granted,
                 "%s", YIELDS[_i].what);
  lc_raft_finish (&r.raft);
}
END_TEST

/* Voters start up to half a second apart.  Those that began earlier and have heard no leader for an
 * election timeout hold nobody to a lease; they let one that is fresh stand at once. */
static const struct
{
  const char *what;
  LcReplicaId self;
  LcReplicaId from;
  int64_t after_us;
  bool has_heard; /* a leader, just before */
  bool is_granted;
} UNBOUND[] = {
  { "heard nobody for long, asked by the lower id", PEER, ME, 600000, false, true },
  { "heard nobody for long, asked by the higher id", ME, PEER, 600000, false, true },
  { "heard nobody for very long", PEER, ME, 5000000, false, true },
  { "heard a leader just now", PEER, ME, 600000, true, false },
};

START_TEST (test_unbound_replicas_let_a_fresh_one_stand)
{
  LcRaftMessage m = vote_request (UNBOUND[_i].from, 5);
  LcRaftMessage reply;
  Replica r;

  start (&r, 4, NULL, 0);
  r.raft.desc.id = UNBOUND[_i].self;
  pass (&r, UNBOUND[_i].after_us);
  if (UNBOUND[_i].has_heard)
    {
      LcRaftMessage alive = heartbeat (THIRD, 4, 0, 0);

      alive.to = UNBOUND[_i].self;
      lc_raft_receive (&r.raft, &alive, r.now_us);
    }
  m.to = UNBOUND[_i].self;
  m.vote.is_pre = true;
  m.vote.is_fresh = true;
  lc_raft_receive (&r.raft, &m, r.now_us);
  store (&r);
  ck_assert_msg ((sent (&r, LC_RAFT_VOTE_REPLY, UNBOUND[_i].from, &reply) &&
                  reply.vote_reply.is_granted) == UNBOUND[_i].is_granted,
                 "%s", UNBOUND[_i].what);
  lc_raft_finish (&r.raft);
}
END_TEST

START_TEST (test_leader_without_quorum_steps_down)
{
  Replica r;

  start (&r, 0, NULL, 0);
  become_leader (&r);
  answer (&r, PEER, 1);
  pass (&r, 400000);
  ck_assert (lc_raft_is_leader (&r.raft));
  pass (&r, 200000);
  ck_assert (!lc_raft_is_leader (&r.raft));
  ck_assert_int_ge (lc_raft_silence_us (&r.raft), 400000);
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
  pass (&r, 3 * LC_US_PER_S);
  ck_assert_int_eq (r.raft.role, LC_RAFT_FOLLOWER);
  receive (&r, vote_request (PEER, 9));
  store (&r);
  ck_assert (sent (&r, LC_RAFT_VOTE_REPLY, PEER, &m));
  ck_assert (!m.vote_reply.is_granted);
  lc_raft_finish (&r.raft);
}
END_TEST

/* === faulty peers =========================================================================== */

START_TEST (test_contradiction_of_a_commit_is_refused)
{
  LcRaftEntry kept = { .index = 1, .term = 1, .kind = LC_RAFT_ENTRY_NOOP };
  LcRaftEntry other = { .index = 1, .term = 2, .kind = LC_RAFT_ENTRY_NOOP };
  LcRaftMessage m = heartbeat (PEER, 1, 1, 1);
  Replica r;

  start (&r, 1, &kept, 1);
  m.append.commit_index = 1;
  receive (&r, m);
  ck_assert_uint_eq (r.raft.commit_index, 1);
  m = heartbeat (PEER, 2, 0, 0);
  m.append.entries = lc_raft_entries_new ();
  g_array_append_val (m.append.entries, other);
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
  tcase_add_test (tcase, test_older_term_is_not_committed_by_counting);
  tcase_add_test (tcase, test_learner_does_not_count);
  tcase_add_test (tcase, test_learner_is_promoted_once_caught_up);
  tcase_add_test (tcase, test_learner_without_the_entry_that_named_it_is_not_promoted);
  tcase_add_test (tcase, test_lease_ends);
  tcase_add_test (tcase, test_lease_is_given_up_when_the_clock_goes_back);
  tcase_add_test (tcase, test_lease_is_given_up_at_hand_over);
  tcase_add_loop_test (tcase, test_promises, 0, (int)G_N_ELEMENTS (PROMISES));
  tcase_add_loop_test (tcase, test_trailing, 0, (int)G_N_ELEMENTS (TRAILING));
  tcase_add_loop_test (tcase, test_all_fresh, 0, (int)G_N_ELEMENTS (FRESH));
  tcase_add_loop_test (tcase, test_fresh_votes, 0, (int)G_N_ELEMENTS (FRESH_VOTES));
  tcase_add_loop_test (tcase, test_fresh_replicas_yield, 0, (int)G_N_ELEMENTS (YIELDS));
  tcase_add_loop_test (tcase, test_unbound_replicas_let_a_fresh_one_stand, 0,
                       (int)G_N_ELEMENTS (UNBOUND));
  tcase_add_test (tcase, test_leader_without_quorum_steps_down);
  tcase_add_test (tcase, test_suspended_replica_neither_leads_nor_votes);
  tcase_add_test (tcase, test_contradiction_of_a_commit_is_refused);
  tcase_add_loop_test (tcase, test_known_commits_are_applied_at_the_start, 0,
                       (int)G_N_ELEMENTS (KNOWN_COMMITS));
  suite_add_tcase (suite, tcase);
  return lc_fake_run (suite);
}
