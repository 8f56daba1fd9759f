#include "lc-agent-request-private.h"

/* Limit for durations in frames of other agents: longer than any claim is kept or waited for. */
#define LC_AGENT_CLAIM_TIME_MAX_US ((uint64_t)(3600 * LC_US_PER_S))

/* 36 characters and a newline. */
static const char LC_AGENT_BOOT_ID_PATH[] = "/proc/sys/kernel/random/boot_id";

/* === private: claim file ==================================================================== */

static int
lc_agent_request__boot_id (char out[], size_t size, LcError *error)
{
  char *text = NULL;

  if (!g_file_get_contents (LC_AGENT_BOOT_ID_PATH, &text, NULL, NULL) ||
      g_strstrip (text)[0] == '\0')
    {
      g_free (text);
      return lc_error_set (error, LC_ERR_IO,
                           "make it readable, or leave `data_folder` out of the settings",
                           "%s can't be read: without it nobody can tell whether a file of claims "
                           "has outlived a start of the VM",
                           LC_AGENT_BOOT_ID_PATH);
    }
  (void)g_strlcpy (out, text, size);
  g_free (text);
  return 0;
}

int
lc_agent_request__open_claim_file (LcAgentRequest *plane, LcError *error)
{
  const char *folder = plane->desc.settings->data_folder;
  LcClaimFileDesc desc = { 0 };
  int r;

  if (folder[0] == '\0')
    return 0;
  r = lc_agent_request__boot_id (desc.boot_id, sizeof desc.boot_id, error);
  if (r == 0)
    r = lc_disk_posix_init (&plane->disk, folder, error);
  if (r < 0)
    return r;
  desc.disk = lc_disk_posix_interface (&plane->disk);
  (void)g_strlcpy (desc.service, plane->desc.settings->service, sizeof desc.service);
  lc_claim_file_init (&plane->claims, &desc);
  plane->has_claims_file = true;
  r = lc_claim_file_load (&plane->claims, &plane->core, lc_clock_now_us (), error);
  if (r < 0)
    return r;
  LC_INFO ("request.claims-resumed", "claims", LC_U64 (r), "earlier_members",
           LC_U64 (plane->core.claim_sync.n_earlier), "whole",
           LC_U64 (plane->core.claim_sync.complete));
  return 0;
}

void
lc_agent_request__close_claim_file (LcAgentRequest *plane)
{
  if (!plane->has_claims_file)
    return;
  lc_claim_file_finish (&plane->claims);
  lc_disk_posix_finish (&plane->disk);
}

static void
lc_agent_request__log_claim_file_error (LcAgentRequest *plane, const LcError *error)
{
  if (lc_log_allow (&plane->log_limit, lc_clock_now_us (), LC_AGENT_REQUEST_LOGS_PER_S))
    LC_WARN ("request.claims-file-lost", "why", LC_STR (error->message), "remedy",
             LC_STR (error->remedy));
}

void
lc_agent_request__persist_claim (LcAgentRequest *plane, const LcClaimRecord *hold)
{
  LcError error = { 0 };

  if (plane->has_claims_file && lc_claim_file_append (&plane->claims, hold, &error) < 0)
    lc_agent_request__log_claim_file_error (plane, &error);
}

void
lc_agent_request__update_claim_file (LcAgentRequest *plane, int64_t now_us)
{
  LcError error = { 0 };

  if (plane->has_claims_file &&
      lc_claim_file_update (&plane->claims, &plane->core, now_us, &error) < 0)
    lc_agent_request__log_claim_file_error (plane, &error);
}

/* === private: incoming claims =============================================================== */

void
lc_agent_request__on_claim (LcAgentRequest *plane, LcLink *link, const LcFrame *frame)
{
  Lc__Request__Claim *claim = lc__request__claim__unpack (NULL, frame->payload_len, frame->payload);
  Lc__Request__ClaimAnswer answer = LC__REQUEST__CLAIM_ANSWER__INIT;
  LcClaimRecord hold = { 0 };
  LcRequestKey key;

  if (claim == NULL)
    {
      lc_agent_request__count_malformed (plane, frame->type);
      return;
    }
  key = (LcRequestKey){ claim->key_hi, claim->key_lo };
  answer.result = lc_request_agent_handle_claim (
      &plane->core, claim->home_instance, key,
      (LcMemberRef){ claim->owner_id, claim->owner_instance }, claim->sequence, claim->era,
      (int64_t)MIN (claim->keep_us, LC_AGENT_CLAIM_TIME_MAX_US), lc_clock_now_us (), &hold);
  lc_agent_request__execute_actions (plane); /* a grant is persisted before it is sent */
  answer.key_hi = key.hi;
  answer.key_lo = key.lo;
  answer.sequence = claim->sequence;
  answer.era = claim->era;
  answer.home_id = plane->core.desc.self.id;
  answer.home_instance = plane->desc.instance;
  answer.holder_id = hold.owner.id;
  answer.holder_instance = hold.owner.instance;
  if (answer.result != LC_CLAIM_GRANTED)
    lc_request_log (&plane->log,
                    &(LcRequestLogLine){ .kind = LC_REQUEST_LOG_CLAIM,
                                         .key = key,
                                         .why = lc_claim_result_name ((LcClaimResult)answer.result),
                                         .member = { claim->owner_id, claim->owner_instance } },
                    lc_clock_now_us ());
  if (answer.result == LC_CLAIM_NOT_READY)
    answer.lost_for_us = (uint64_t)lc_claim_sync_key_unavailable_us (&plane->core.claim_sync, key,
                                                                     lc_clock_now_us ());
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
      lc_agent_request__count_malformed (plane, frame->type);
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
  lc_request_agent_handle_claim_reply (&plane->core, &reply, lc_clock_now_us ());
}

void
lc_agent_request__on_release (LcAgentRequest *plane, const LcFrame *frame)
{
  Lc__Request__ClaimRelease *release =
      lc__request__claim_release__unpack (NULL, frame->payload_len, frame->payload);

  if (release == NULL)
    {
      lc_agent_request__count_malformed (plane, frame->type);
      return;
    }
  lc_request_agent_handle_release (&plane->core, (LcRequestKey){ release->key_hi, release->key_lo },
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
} LcAgentClaimReadReply;

static void
lc_agent_request__send_records (LcAgentClaimReadReply *reply, bool is_last)
{
  reply->message.last = is_last;
  if (reply->result == 0)
    reply->result = lc_link_send (reply->link, LC_FRAME_CLAIM_READ_ANSWER, &reply->message.base);
  reply->message.n_records = 0;
}

static void
lc_agent_request__add_record (void *user, const LcClaimRecord *hold)
{
  LcAgentClaimReadReply *reply = user;
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
    lc_agent_request__send_records (reply, false);
}

static void
lc_agent_request__fill_member (Lc__Request__Member *out, LcMemberRef member)
{
  lc__request__member__init (out);
  out->id = member.id;
  out->instance = member.instance;
}

static void
lc_agent_request__send_read_answer (LcAgentRequest *plane,
                                    LcLink *link,
                                    const Lc__Request__ClaimRead *read,
                                    const LcMemberRef *members)
{
  LcMemberRef reader = { read->reader->id, read->reader->instance };
  LcClaimSource sources[LC_CLAIM_SYNC_MAX_INCARNATIONS] = { { .member = plane->core.desc.self } };
  Lc__Request__Member former[LC_CLAIM_SYNC_MAX_INCARNATIONS];
  Lc__Request__Member *formers[LC_CLAIM_SYNC_MAX_INCARNATIONS];
  LcAgentClaimReadReply reply = { .link = link,
                                  .message = LC__REQUEST__CLAIM_READ_ANSWER__INIT,
                                  .member = LC__REQUEST__MEMBER__INIT,
                                  .now_us = lc_clock_now_us () };
  uint32_t n = lc_request_agent_list_sources (&plane->core, read->era, reply.now_us, sources);

  lc_agent_request__fill_member (&reply.member, sources[0].member);
  reply.message.member = &reply.member;
  reply.message.era = read->era;
  reply.message.member_era = sources[0].era;
  reply.message.member_whole = sources[0].complete;
  reply.message.member_whole_from = sources[0].complete_from;
  reply.message.lost_for_us = (uint64_t)sources[0].lost_for_us;
  reply.message.former = formers;
  for (uint32_t i = 1; i < n; i++)
    {
      lc_agent_request__fill_member (&former[i], sources[i].member);
      formers[reply.message.n_former++] = &former[i];
    }
  reply.records = g_new (Lc__Request__ClaimRecord, LC_REQUEST_READ_RECORDS);
  reply.list = g_new (Lc__Request__ClaimRecord *, LC_REQUEST_READ_RECORDS);
  reply.message.records = reply.list;
  lc_request_agent_foreach_record (&plane->core, reader, members, (uint32_t)read->n_members,
                                   reply.now_us, lc_agent_request__add_record, &reply);
  lc_agent_request__send_records (&reply, true);
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
      lc_agent_request__count_malformed (plane, frame->type);
      if (read != NULL)
        lc__request__claim_read__free_unpacked (read, NULL);
      return;
    }
  members = g_new (LcMemberRef, read->n_members + 1);
  for (size_t i = 0; i < read->n_members; i++)
    members[i] = (LcMemberRef){ read->members[i]->id, read->members[i]->instance };
  lc_agent_request__send_read_answer (plane, link, read, members);
  g_free (members);
  lc__request__claim_read__free_unpacked (read, NULL);
}

/* Handles the last part of an answer. */
static void
lc_agent_request__add_sources (LcAgentRequest *plane,
                               const Lc__Request__ClaimReadAnswer *answer,
                               int64_t now_us)
{
  LcClaimSource source = { { answer->member->id, answer->member->instance },
                           answer->era,
                           answer->member_era,
                           answer->member_whole,
                           answer->member_whole_from,
                           (int64_t)MIN (answer->lost_for_us, LC_AGENT_CLAIM_TIME_MAX_US) };

  lc_request_agent_add_source (&plane->core, &source, now_us);
  for (size_t i = 0; i < answer->n_former; i++)
    {
      source.member = (LcMemberRef){ answer->former[i]->id, answer->former[i]->instance };
      lc_request_agent_add_source (&plane->core, &source, now_us);
    }
}

void
lc_agent_request__on_read_answer (LcAgentRequest *plane, const LcFrame *frame)
{
  Lc__Request__ClaimReadAnswer *answer =
      lc__request__claim_read_answer__unpack (NULL, frame->payload_len, frame->payload);
  int64_t now_us = lc_clock_now_us ();

  if (answer == NULL || answer->member == NULL)
    {
      lc_agent_request__count_malformed (plane, frame->type);
      if (answer != NULL)
        lc__request__claim_read_answer__free_unpacked (answer, NULL);
      return;
    }
  for (size_t i = 0; i < answer->n_records; i++)
    {
      const Lc__Request__ClaimRecord *record = answer->records[i];
      LcClaimRecord hold = { { record->key_hi, record->key_lo },
                             { record->owner_id, record->owner_instance },
                             record->sequence,
                             now_us + (int64_t)MIN (record->left_us, LC_AGENT_CLAIM_TIME_MAX_US) };

      lc_request_agent_merge_record (&plane->core, &hold);
    }
  if (answer->last)
    lc_agent_request__add_sources (plane, answer, now_us);
  lc__request__claim_read_answer__free_unpacked (answer, NULL);
}
