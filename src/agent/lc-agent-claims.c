#include "lc-agent-request-private.h"

/* A time that another agent names counts up to this: longer than any claim is kept or waited for.
 */
#define LC_AGENT_CLAIM_TIME_MAX_US ((uint64_t)(3600 * LC_US_PER_S))

/* === private: claims in ===================================================================== */

void
lc_agent_request__on_claim (LcAgentRequest *plane, LcLink *link, const LcFrame *frame)
{
  Lc__Request__Claim *claim = lc__request__claim__unpack (NULL, frame->payload_len, frame->payload);
  Lc__Request__ClaimAnswer answer = LC__REQUEST__CLAIM_ANSWER__INIT;
  LcClaimHold hold = { 0 };
  LcRequestKey key;

  if (claim == NULL)
    {
      lc_agent_request__malformed (plane, frame->type);
      return;
    }
  key = (LcRequestKey){ claim->key_hi, claim->key_lo };
  answer.result = lc_request_agent_claim (
      &plane->core, claim->home_instance, key,
      (LcMemberRef){ claim->owner_id, claim->owner_instance }, claim->sequence, claim->era,
      (int64_t)MIN (claim->keep_us, LC_AGENT_CLAIM_TIME_MAX_US), lc_clock_now_us (), &hold);
  answer.key_hi = key.hi;
  answer.key_lo = key.lo;
  answer.sequence = claim->sequence;
  answer.era = claim->era;
  answer.home_id = plane->core.desc.self.id;
  answer.home_instance = plane->desc.instance;
  answer.holder_id = hold.owner.id;
  answer.holder_instance = hold.owner.instance;
  if (answer.result == LC_CLAIM_NOT_READY)
    answer.lost_for_us =
        (uint64_t)lc_claim_era_lost_for_us (&plane->core.era, key, lc_clock_now_us ());
  (void)lc_link_send (link, LC_FRAME_CLAIM_ANSWER, &answer.base);
  lc__request__claim__free_unpacked (claim, NULL);
}

void
lc_agent_request__on_claim_answer (LcAgentRequest *plane, const LcFrame *frame)
{
  Lc__Request__ClaimAnswer *answer =
      lc__request__claim_answer__unpack (NULL, frame->payload_len, frame->payload);
  LcClaimReply reply;

  if (answer == NULL)
    {
      lc_agent_request__malformed (plane, frame->type);
      return;
    }
  reply = (LcClaimReply){ .home = { answer->home_id, answer->home_instance },
                          .key = { answer->key_hi, answer->key_lo },
                          .sequence = answer->sequence,
                          .era = answer->era,
                          .result = (LcClaimResult)answer->result,
                          .holder = { answer->holder_id, answer->holder_instance },
                          .lost_for_us =
                              (int64_t)MIN (answer->lost_for_us, LC_AGENT_CLAIM_TIME_MAX_US) };
  lc__request__claim_answer__free_unpacked (answer, NULL);
  lc_request_agent_claim_reply (&plane->core, &reply, lc_clock_now_us ());
}

void
lc_agent_request__on_release (LcAgentRequest *plane, const LcFrame *frame)
{
  Lc__Request__ClaimRelease *release =
      lc__request__claim_release__unpack (NULL, frame->payload_len, frame->payload);

  if (release == NULL)
    {
      lc_agent_request__malformed (plane, frame->type);
      return;
    }
  lc_request_agent_release (&plane->core, (LcRequestKey){ release->key_hi, release->key_lo },
                            release->owner_instance, release->sequence);
  lc__request__claim_release__free_unpacked (release, NULL);
}

/* === private: reads ========================================================================= */

typedef struct
{
  LcLink *link;
  Lc__Request__ClaimReadAnswer message;
  Lc__Request__Member member;
  Lc__Request__ClaimRecord *records;
  Lc__Request__ClaimRecord **list;
  int64_t now_us;
  int result;
} LcReadReply;

static void
lc_agent_request__flush_records (LcReadReply *reply, bool is_last)
{
  reply->message.last = is_last;
  if (reply->result == 0)
    reply->result = lc_link_send (reply->link, LC_FRAME_CLAIM_READ_ANSWER, &reply->message.base);
  reply->message.n_records = 0;
}

static void
lc_agent_request__add_record (void *user, const LcClaimHold *hold)
{
  LcReadReply *reply = user;
  Lc__Request__ClaimRecord *record = &reply->records[reply->message.n_records];

  lc__request__claim_record__init (record);
  record->key_hi = hold->key.hi;
  record->key_lo = hold->key.lo;
  record->owner_id = hold->owner.id;
  record->owner_instance = hold->owner.instance;
  record->sequence = hold->sequence;
  record->left_us = (uint64_t)(hold->expires_us - reply->now_us);
  reply->list[reply->message.n_records++] = record;
  if (reply->message.n_records == LC_REQUEST_READ_RECORDS)
    lc_agent_request__flush_records (reply, false);
}

static void
lc_agent_request__answer_read (LcAgentRequest *plane,
                               LcLink *link,
                               const Lc__Request__ClaimRead *read,
                               const LcMemberRef *members)
{
  LcMemberRef reader = { read->reader->id, read->reader->instance };
  LcReadReply reply = { .link = link,
                        .message = LC__REQUEST__CLAIM_READ_ANSWER__INIT,
                        .member = LC__REQUEST__MEMBER__INIT,
                        .now_us = lc_clock_now_us () };
  LcClaimSource source;

  lc_request_agent_source (&plane->core, read->era, reply.now_us, &source);
  reply.member.id = source.member.id;
  reply.member.instance = source.member.instance;
  reply.message.member = &reply.member;
  reply.message.era = read->era;
  reply.message.member_era = source.era;
  reply.message.member_whole = source.whole;
  reply.message.member_whole_from = source.whole_from;
  reply.message.lost_for_us = (uint64_t)source.lost_for_us;
  reply.records = g_new (Lc__Request__ClaimRecord, LC_REQUEST_READ_RECORDS);
  reply.list = g_new (Lc__Request__ClaimRecord *, LC_REQUEST_READ_RECORDS);
  reply.message.records = reply.list;
  lc_request_agent_records (&plane->core, reader, members, (uint32_t)read->n_members, reply.now_us,
                            lc_agent_request__add_record, &reply);
  lc_agent_request__flush_records (&reply, true);
  g_free (reply.records);
  g_free (reply.list);
}

void
lc_agent_request__on_read (LcAgentRequest *plane, LcLink *link, const LcFrame *frame)
{
  Lc__Request__ClaimRead *read =
      lc__request__claim_read__unpack (NULL, frame->payload_len, frame->payload);
  LcMemberRef *members;

  if (read == NULL || read->reader == NULL)
    {
      lc_agent_request__malformed (plane, frame->type);
      if (read != NULL)
        lc__request__claim_read__free_unpacked (read, NULL);
      return;
    }
  members = g_new (LcMemberRef, read->n_members + 1);
  for (size_t i = 0; i < read->n_members; i++)
    members[i] = (LcMemberRef){ read->members[i]->id, read->members[i]->instance };
  lc_agent_request__answer_read (plane, link, read, members);
  g_free (members);
  lc__request__claim_read__free_unpacked (read, NULL);
}

void
lc_agent_request__on_read_answer (LcAgentRequest *plane, const LcFrame *frame)
{
  Lc__Request__ClaimReadAnswer *answer =
      lc__request__claim_read_answer__unpack (NULL, frame->payload_len, frame->payload);
  int64_t now_us = lc_clock_now_us ();

  if (answer == NULL || answer->member == NULL)
    {
      lc_agent_request__malformed (plane, frame->type);
      if (answer != NULL)
        lc__request__claim_read_answer__free_unpacked (answer, NULL);
      return;
    }
  for (size_t i = 0; i < answer->n_records; i++)
    {
      const Lc__Request__ClaimRecord *record = answer->records[i];
      LcClaimHold hold = { { record->key_hi, record->key_lo },
                           { record->owner_id, record->owner_instance },
                           record->sequence,
                           now_us + (int64_t)MIN (record->left_us, LC_AGENT_CLAIM_TIME_MAX_US) };

      lc_request_agent_record (&plane->core, &hold);
    }
  if (answer->last)
    {
      LcClaimSource source = { { answer->member->id, answer->member->instance },
                               answer->era,
                               answer->member_era,
                               answer->member_whole,
                               answer->member_whole_from,
                               (int64_t)MIN (answer->lost_for_us, LC_AGENT_CLAIM_TIME_MAX_US) };

      lc_request_agent_read_done (&plane->core, &source, now_us);
    }
  lc__request__claim_read_answer__free_unpacked (answer, NULL);
}
