#include "lc-raft-private.h"

/* === time and chance ======================================================================== */

/* splitmix64: small, and the same everywhere for one seed. */
static uint64_t
lc_raft__random (LcRaft *raft)
{
  uint64_t z;

  raft->random_state += UINT64_C (0x9e3779b97f4a7c15);
  z = raft->random_state;
  z = (z ^ (z >> 30)) * UINT64_C (0xbf58476d1ce4e5b9);
  z = (z ^ (z >> 27)) * UINT64_C (0x94d049bb133111eb);
  return z ^ (z >> 31);
}

void
lc_raft__reset_election_timer (LcRaft *raft)
{
  uint64_t spread_us = (uint64_t)(raft->desc.election_max_ms - raft->desc.election_min_ms) * 1000;
  int64_t extra_us = (int64_t)(lc_raft__random (raft) % (spread_us + 1));

  raft->election_clock_us = raft->clock_us + lc_raft__election_min_us (raft) + extra_us;
}

/* Whether a leader may still count on this replica not to vote for another. */
bool
lc_raft__is_bound (const LcRaft *raft)
{
  return raft->role == LC_RAFT_LEADER ||
         raft->clock_us - raft->heard_leader_clock_us < lc_raft__election_min_us (raft);
}

/* === terms and roles =============================================================== */

uint32_t
lc_raft__quorum (const LcRaft *raft)
{
  return lc_raft_config_n_voters (&raft->config) / 2 + 1;
}

static void
lc_raft__set_hard_state (LcRaft *raft, uint64_t term, LcReplicaId vote)
{
  if (raft->term == term && raft->vote == vote)
    return;
  raft->term = term;
  raft->vote = vote;
  raft->is_hard_dirty = true;
  raft->hard_sequence = ++raft->sequence;
}

void
lc_raft__become_follower (LcRaft *raft, uint64_t term, LcReplicaId leader)
{
  bool is_new_term = term != raft->term;

  if (raft->role == LC_RAFT_LEADER)
    raft->counters.stepped_down_total++;
  lc_raft__clear_progress (raft);
  raft->role = LC_RAFT_FOLLOWER;
  raft->n_votes = 0;
  raft->transfer_until_clock_us = 0;
  if (is_new_term)
    {
      lc_raft__set_hard_state (raft, term, 0);
      raft->leader_match_index = 0;
      lc_raft__drop_incoming (raft);
    }
  raft->leader = leader;
  lc_raft__reset_election_timer (raft);
}

/* Why a vote is asked for before the last leader's lease has surely ended. */
typedef enum
{
  LC_RAFT_VOTE_USUAL,
  LC_RAFT_VOTE_TRANSFER, /* the leader asked for it */
  LC_RAFT_VOTE_FRESH,    /* every voter has just started */
} LcRaftVoteReason;

static void
lc_raft__ask_for_votes (LcRaft *raft, bool is_pre, LcRaftVoteReason reason)
{
  uint64_t last = lc_raft_last_index (raft);

  for (uint32_t i = 0; i < raft->config.n_members; i++)
    {
      const LcRaftMember *member = &raft->config.members[i];
      LcRaftMessage message = { .kind = LC_RAFT_VOTE, .to = member->id };

      if (member->id == raft->desc.id || member->is_learner)
        continue;
      message.term = is_pre ? raft->term + 1 : raft->term;
      message.vote.last_index = last;
      message.vote.last_term = lc_raft_term_at (raft, last);
      message.vote.is_pre = is_pre;
      message.vote.is_transfer = reason == LC_RAFT_VOTE_TRANSFER;
      message.vote.is_fresh = reason == LC_RAFT_VOTE_FRESH;
      lc_raft__send (raft, &message);
    }
}

/* Its own vote counts only once it is on disk: see lc_raft_persisted. */
static void
lc_raft__become_candidate (LcRaft *raft, LcRaftVoteReason reason)
{
  raft->role = LC_RAFT_CANDIDATE;
  raft->leader = 0;
  raft->n_votes = 0;
  raft->counters.elections_total++;
  lc_raft__set_hard_state (raft, raft->term + 1, raft->desc.id);
  raft->leader_match_index = 0;
  lc_raft__drop_incoming (raft);
  lc_raft__reset_election_timer (raft);
  lc_raft__ask_for_votes (raft, false, reason);
}

void
lc_raft__become_pre_candidate (LcRaft *raft)
{
  raft->role = LC_RAFT_PRE_CANDIDATE;
  raft->leader = 0;
  raft->n_votes = 0;
  lc_raft__reset_election_timer (raft);
  lc_raft__ask_for_votes (raft, true, LC_RAFT_VOTE_USUAL);
  lc_raft__count_vote (raft, raft->desc.id);
}

static void
lc_raft__win (LcRaft *raft)
{
  if (raft->role == LC_RAFT_PRE_CANDIDATE)
    {
      lc_raft__become_candidate (raft, LC_RAFT_VOTE_USUAL);
      return;
    }
  raft->role = LC_RAFT_LEADER;
  raft->leader = raft->desc.id;
  raft->has_lost_lease = false;
  raft->counters.leader_total++;
  lc_raft__lead (raft);
}

void
lc_raft__count_vote (LcRaft *raft, LcReplicaId voter)
{
  for (uint32_t i = 0; i < raft->n_votes; i++)
    if (raft->votes[i] == voter)
      return;
  if (!lc_raft_config_is_voter (&raft->config, voter) || raft->n_votes == LC_RAFT_MEMBERS_MAX)
    return;
  raft->votes[raft->n_votes++] = voter;
  if (raft->n_votes >= lc_raft__quorum (raft))
    lc_raft__win (raft);
}

/* === after a start of all =========================================================== */

/* A replica that has just started votes for nobody at first: it may have acknowledged a leader
 * right before, and forgotten the lease with it.  After all power was lost there is no such leader,
 * and the wait costs a good part of the recovery.  So a fresh replica asks the others whether they
 * are fresh, too.  When every voter says so, each of them has ended as a leader, if it was one, and
 * none has heard one since: there is no lease to keep, and it stands at once.  A voter that has
 * heard a leader meanwhile refuses: it is no longer fresh.  One that started earlier than the
 * others, and has heard none for an election timeout, agrees as well. */
enum
{
  LC_RAFT_FRESH_SPREAD_MS = 30, /* so that two seldom stand at the same time */
  LC_RAFT_FRESH_AGAIN_MS = 40,
};

static int64_t
lc_raft__fresh_wait_us (LcRaft *raft, int64_t at_least_ms)
{
  return (at_least_ms + (int64_t)(lc_raft__random (raft) % LC_RAFT_FRESH_SPREAD_MS)) * 1000;
}

void
lc_raft__fresh_start (LcRaft *raft)
{
  raft->is_fresh = true;
  raft->fresh_clock_us = raft->clock_us + lc_raft__fresh_wait_us (raft, 0);
}

static void
lc_raft__count_fresh (LcRaft *raft, LcReplicaId voter)
{
  for (uint32_t i = 0; i < raft->n_votes; i++)
    if (raft->votes[i] == voter)
      return;
  if (lc_raft_config_is_voter (&raft->config, voter) && raft->n_votes < LC_RAFT_MEMBERS_MAX)
    raft->votes[raft->n_votes++] = voter;
}

/* Stands when every voter has said that it is fresh, or has ended. */
static void
lc_raft__stand_if_all_fresh (LcRaft *raft)
{
  for (uint32_t i = 0; i < raft->n_ended; i++)
    lc_raft__count_fresh (raft, raft->ended[i]);
  if (raft->n_votes == lc_raft_config_n_voters (&raft->config))
    lc_raft__become_candidate (raft, LC_RAFT_VOTE_FRESH);
}

void
lc_raft_note_ended (LcRaft *raft, LcReplicaId id)
{
  for (uint32_t i = 0; i < raft->n_ended; i++)
    if (raft->ended[i] == id)
      return;
  if (id != raft->desc.id && raft->n_ended < LC_RAFT_MEMBERS_MAX)
    raft->ended[raft->n_ended++] = id;
}

void
lc_raft__fresh_tick (LcRaft *raft)
{
  if (raft->clock_us >= lc_raft__election_min_us (raft))
    raft->is_fresh = false;
  if (!raft->is_fresh || raft->clock_us < raft->fresh_clock_us || raft->role != LC_RAFT_FOLLOWER ||
      !lc_raft__may_stand (raft))
    return;
  raft->fresh_clock_us = raft->clock_us + lc_raft__fresh_wait_us (raft, LC_RAFT_FRESH_AGAIN_MS);
  raft->votes[0] = raft->desc.id;
  raft->n_votes = 1;
  lc_raft__ask_for_votes (raft, true, LC_RAFT_VOTE_FRESH);
}

static void
lc_raft__on_fresh_reply (LcRaft *raft, const LcRaftMessage *m)
{
  if (!raft->is_fresh || raft->role != LC_RAFT_FOLLOWER || m->term != raft->term + 1 ||
      !m->vote_reply.is_granted)
    return;
  lc_raft__count_fresh (raft, m->from);
  lc_raft__stand_if_all_fresh (raft);
}

/* === votes ========================================================================= */

static bool
lc_raft__is_up_to_date (const LcRaft *raft, const LcRaftMessage *m)
{
  uint64_t last = lc_raft_last_index (raft);
  uint64_t last_term = lc_raft_term_at (raft, last);

  return m->vote.last_term > last_term ||
         (m->vote.last_term == last_term && m->vote.last_index >= last);
}

/* Fresh replicas ask each other within milliseconds.  Among those with equal logs the one with the
 * highest id stands: two that stood at once would share the votes and lose an election timeout, a
 * quarter of a second or more (one start of all in nine, with two voters left of three). */
static bool
lc_raft__yields (const LcRaft *raft, const LcRaftMessage *m)
{
  uint64_t last = lc_raft_last_index (raft);

  return m->vote.last_term != lc_raft_term_at (raft, last) || m->vote.last_index != last ||
         m->from > raft->desc.id;
}

/* A voter that began earlier, and has heard no leader for an election timeout, would vote for
 * anybody: there is no lease that it could break.  Voters that start 0.4 s apart after a loss of
 * all power have a leader 0.03 to 0.06 s after the last of five instead of 0.27 s. */
static bool
lc_raft__lets_fresh_stand (const LcRaft *raft, const LcRaftMessage *m)
{
  if (raft->is_fresh)
    return raft->role == LC_RAFT_FOLLOWER && lc_raft__yields (raft, m);
  return raft->role < LC_RAFT_CANDIDATE && !lc_raft__is_bound (raft);
}

static bool
lc_raft__grants (LcRaft *raft, const LcRaftMessage *m)
{
  if (raft->is_suspended || !lc_raft__is_up_to_date (raft, m))
    return false;
  if (m->vote.is_pre && m->vote.is_fresh)
    return m->term > raft->term && lc_raft__lets_fresh_stand (raft, m);
  if (m->vote.is_pre)
    return m->term > raft->term && !lc_raft__is_bound (raft);
  return m->term == raft->term && raft->role < LC_RAFT_CANDIDATE &&
         (raft->vote == 0 || raft->vote == m->from);
}

void
lc_raft__on_vote (LcRaft *raft, const LcRaftMessage *m)
{
  LcRaftMessage reply = { .kind = LC_RAFT_VOTE_REPLY, .to = m->from };

  reply.vote_reply.is_pre = m->vote.is_pre;
  reply.vote_reply.is_fresh = m->vote.is_fresh;
  reply.vote_reply.is_granted = lc_raft__grants (raft, m);
  if (reply.vote_reply.is_granted && !m->vote.is_pre)
    {
      lc_raft__set_hard_state (raft, raft->term, m->from);
      lc_raft__reset_election_timer (raft);
    }
  /* A granted pre-vote answers with the term it was asked for, which is not yet in force. */
  reply.term = reply.vote_reply.is_granted ? m->term : raft->term;
  lc_raft__send (raft, &reply);
}

void
lc_raft__on_vote_reply (LcRaft *raft, const LcRaftMessage *m)
{
  bool is_pre = raft->role == LC_RAFT_PRE_CANDIDATE;
  uint64_t wanted_term = is_pre ? raft->term + 1 : raft->term;

  if (m->vote_reply.is_pre && m->vote_reply.is_fresh)
    {
      lc_raft__on_fresh_reply (raft, m);
      return;
    }
  if ((!is_pre && raft->role != LC_RAFT_CANDIDATE) || m->vote_reply.is_pre != is_pre ||
      m->term != wanted_term || !m->vote_reply.is_granted)
    return;
  lc_raft__count_vote (raft, m->from);
}

/* A log that is about to be replaced by a snapshot must not be led with. */
bool
lc_raft__may_stand (const LcRaft *raft)
{
  return !raft->is_suspended && raft->installing.index == 0 &&
         lc_raft_config_is_voter (&raft->config, raft->desc.id);
}

void
lc_raft__on_timeout_now (LcRaft *raft)
{
  if (raft->role == LC_RAFT_FOLLOWER && lc_raft__may_stand (raft))
    lc_raft__become_candidate (raft, LC_RAFT_VOTE_TRANSFER);
}
