#include "lc-raft-private.h"

/* === timers ================================================================================= */

/* splitmix64: deterministic for a seed, so that simulations can be repeated. */
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

  raft->election_due_clock_us = raft->clock_us + lc_raft__election_min_us (raft) + extra_us;
}

bool
lc_raft__is_in_lease (const LcRaft *raft)
{
  return raft->role == LC_RAFT_LEADER ||
         raft->clock_us - raft->leader_contact_clock_us < lc_raft__election_min_us (raft);
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

/* Why an election may start although a leader's lease may not have expired. */
typedef enum
{
  LC_RAFT_VOTE_TIMEOUT,  /* it has expired: election timeout */
  LC_RAFT_VOTE_TRANSFER, /* requested by the leader */
  LC_RAFT_VOTE_FRESH,    /* every voter has just started */
} LcRaftVoteReason;

static void
lc_raft__request_votes (LcRaft *raft, bool is_pre, LcRaftVoteReason reason)
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

/* lc_raft_mark_persisted counts the replica's own vote once it is on disk. */
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
  lc_raft__request_votes (raft, false, reason);
}

void
lc_raft__become_pre_candidate (LcRaft *raft)
{
  raft->role = LC_RAFT_PRE_CANDIDATE;
  raft->leader = 0;
  raft->n_votes = 0;
  lc_raft__reset_election_timer (raft);
  lc_raft__request_votes (raft, true, LC_RAFT_VOTE_TIMEOUT);
  lc_raft__count_vote (raft, raft->desc.id);
}

static void
lc_raft__win_election (LcRaft *raft)
{
  if (raft->role == LC_RAFT_PRE_CANDIDATE)
    {
      lc_raft__become_candidate (raft, LC_RAFT_VOTE_TIMEOUT);
      return;
    }
  raft->role = LC_RAFT_LEADER;
  raft->leader = raft->desc.id;
  raft->has_lost_lease = false;
  raft->counters.leader_total++;
  lc_raft__become_leader (raft);
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
    lc_raft__win_election (raft);
}

/* === fresh elections ================================================================ */

/* A replica that has just started (is fresh) grants no vote for an election timeout, since it may
 * have acknowledged a leader right before the restart, whose lease it must respect.  After a power
 * loss of the whole group there is no such leader, and that wait is a good part of the recovery
 * time.  So a fresh replica sends a fresh pre-vote to all others.  When every voter grants it, all
 * of them have restarted and none has had contact with a leader since: no lease can exist, and the
 * replica starts an election at once.  A voter that had leader contact since its start rejects the
 * request.  A voter that started earlier, and has had none for an election timeout, grants it. */
enum
{
  LC_RAFT_FRESH_SPREAD_MS = 30, /* random delay, to avoid simultaneous candidates */
  LC_RAFT_FRESH_RETRY_MS = 40,  /* until a request is repeated */
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
  raft->fresh_due_clock_us = raft->clock_us + lc_raft__fresh_wait_us (raft, 0);
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

/* Starts an election when every voter has granted the fresh pre-vote or is gone for good. */
static void
lc_raft__campaign_if_all_fresh (LcRaft *raft)
{
  for (uint32_t i = 0; i < raft->n_gone; i++)
    lc_raft__count_fresh (raft, raft->gone[i]);
  if (raft->n_votes == lc_raft_config_n_voters (&raft->config))
    lc_raft__become_candidate (raft, LC_RAFT_VOTE_FRESH);
}

void
lc_raft_mark_gone (LcRaft *raft, LcReplicaId id)
{
  for (uint32_t i = 0; i < raft->n_gone; i++)
    if (raft->gone[i] == id)
      return;
  if (id != raft->desc.id && raft->n_gone < LC_RAFT_MEMBERS_MAX)
    raft->gone[raft->n_gone++] = id;
}

void
lc_raft__fresh_tick (LcRaft *raft)
{
  if (raft->clock_us >= lc_raft__election_min_us (raft))
    raft->is_fresh = false;
  if (!raft->is_fresh || raft->clock_us < raft->fresh_due_clock_us ||
      raft->role != LC_RAFT_FOLLOWER || !lc_raft__may_campaign (raft))
    return;
  raft->fresh_due_clock_us = raft->clock_us + lc_raft__fresh_wait_us (raft, LC_RAFT_FRESH_RETRY_MS);
  raft->votes[0] = raft->desc.id;
  raft->n_votes = 1;
  lc_raft__request_votes (raft, true, LC_RAFT_VOTE_FRESH);
}

static void
lc_raft__on_fresh_reply (LcRaft *raft, const LcRaftMessage *m)
{
  if (!raft->is_fresh || raft->role != LC_RAFT_FOLLOWER || m->term != raft->term + 1 ||
      !m->vote_reply.is_granted)
    return;
  lc_raft__count_fresh (raft, m->from);
  lc_raft__campaign_if_all_fresh (raft);
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

/* Whether the sender has priority among fresh replicas, which send requests within milliseconds of
 * each other.  With equal logs the highest id wins: two simultaneous candidates would split the
 * vote and lose an election timeout, a quarter of a second or more (that was one restart of all in
 * nine, with two voters left of three). */
static bool
lc_raft__has_priority (const LcRaft *raft, const LcRaftMessage *m)
{
  uint64_t last = lc_raft_last_index (raft);

  return m->vote.last_term != lc_raft_term_at (raft, last) || m->vote.last_index != last ||
         m->from > raft->desc.id;
}

/* A voter that started earlier, and has had no leader contact for an election timeout, grants as
 * well: it respects no lease.  With voters that start 0.4 s apart after a total power loss, a
 * leader is elected 0.03 to 0.06 s after the last of five starts instead of 0.27 s. */
static bool
lc_raft__grants_fresh (const LcRaft *raft, const LcRaftMessage *m)
{
  if (raft->is_fresh)
    return raft->role == LC_RAFT_FOLLOWER && lc_raft__has_priority (raft, m);
  return raft->role < LC_RAFT_CANDIDATE && !lc_raft__is_in_lease (raft);
}

static bool
lc_raft__grants_vote (LcRaft *raft, const LcRaftMessage *m)
{
  if (raft->is_suspended || !lc_raft__is_up_to_date (raft, m))
    return false;
  if (m->vote.is_pre && m->vote.is_fresh)
    return m->term > raft->term && lc_raft__grants_fresh (raft, m);
  if (m->vote.is_pre)
    return m->term > raft->term && !lc_raft__is_in_lease (raft);
  return m->term == raft->term && raft->role < LC_RAFT_CANDIDATE &&
         (raft->vote == 0 || raft->vote == m->from);
}

void
lc_raft__on_vote (LcRaft *raft, const LcRaftMessage *m)
{
  LcRaftMessage reply = { .kind = LC_RAFT_VOTE_REPLY, .to = m->from };

  reply.vote_reply.is_pre = m->vote.is_pre;
  reply.vote_reply.is_fresh = m->vote.is_fresh;
  reply.vote_reply.is_granted = lc_raft__grants_vote (raft, m);
  if (reply.vote_reply.is_granted && !m->vote.is_pre)
    {
      lc_raft__set_hard_state (raft, raft->term, m->from);
      lc_raft__reset_election_timer (raft);
    }
  /* The reply to a granted pre-vote carries the requested term, which is not yet in force. */
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

/* Not while a snapshot is about to replace the log. */
bool
lc_raft__may_campaign (const LcRaft *raft)
{
  return !raft->is_suspended && raft->installing.index == 0 &&
         lc_raft_config_is_voter (&raft->config, raft->desc.id);
}

void
lc_raft__on_timeout_now (LcRaft *raft)
{
  if (raft->role == LC_RAFT_FOLLOWER && lc_raft__may_campaign (raft))
    lc_raft__become_candidate (raft, LC_RAFT_VOTE_TRANSFER);
}
