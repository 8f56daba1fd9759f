#include "lc-agent-request-private.h"

/* === private: links and members ============================================================= */

static LcLink *
lc_agent_request__find_link (const LcAgentRequest *plane, uint64_t link_id)
{
  return g_hash_table_lookup (plane->links, &link_id);
}

void
lc_agent_request__track_link (LcAgentRequest *plane, LcLink *link)
{
  uint64_t id = lc_link_id (link);

  if (lc_agent_request__find_link (plane, id) == NULL)
    g_hash_table_insert (plane->links, g_memdup2 (&id, sizeof id), link);
}

const LcService *
lc_agent_request__service (const LcAgentRequest *plane)
{
  return lc_view_service_by_name (lc_member_view (plane->desc.member),
                                  plane->desc.settings->service);
}

static const LcEndpoint *
lc_agent_request__find_endpoint (const LcEndpoint *endpoints, uint32_t n, LcMemberRef ref)
{
  for (uint32_t i = 0; i < n; i++)
    if (endpoints[i].id == ref.id && endpoints[i].instance == ref.instance)
      return &endpoints[i];
  return NULL;
}

/* Link to a member of the present candidate set or of an unsettled former one. */
static LcLink *
lc_agent_request__member_link (LcAgentRequest *plane, LcMemberRef ref, int64_t now_us)
{
  const LcService *s = lc_agent_request__service (plane);
  const LcEndpoint *e = NULL;

  if (s == NULL)
    return NULL;
  e = lc_agent_request__find_endpoint (s->endpoints, s->n_endpoints, ref);
  for (uint32_t i = 0; e == NULL && i < s->n_former; i++)
    e = lc_agent_request__find_endpoint (s->former[i].endpoints, s->former[i].n_endpoints, ref);
  return e != NULL ? lc_peer_pool_get (&plane->peers, e->ipv4, e->peer_port, now_us) : NULL;
}

void
lc_agent_request__count_malformed (LcAgentRequest *plane, uint16_t type)
{
  plane->malformed_total++;
  if (lc_log_allow (&plane->log_limit, lc_clock_now_us (), LC_AGENT_REQUEST_LOGS_PER_S))
    LC_WARN ("request.malformed", "type", LC_U64 (type), "remedy",
             LC_STR ("run the same version on balancers and agents"));
}

/* === private: to balancers ================================================================== */

static void
lc_agent_request__fill_load (const LcAgentRequest *plane, Lc__Request__Load *load)
{
  const LcAdmission *a = &plane->core.admission;

  lc__request__load__init (load);
  load->instance = plane->desc.instance;
  load->running = a->running;
  load->queued = a->n_queued;
  load->limit = a->limit;
  load->service_us = (uint64_t)a->service_us;
  load->draining = plane->core.is_draining;
}

void
lc_agent_request__send_refuse (LcAgentRequest *plane, const LcAgentAction *action)
{
  Lc__Request__Refuse message = LC__REQUEST__REFUSE__INIT;
  LcRequestLogLine line = { .kind = LC_REQUEST_LOG_REJECTED,
                            .id = action->refuse.attempt_id.id,
                            .attempt = action->refuse.attempt_id.attempt,
                            .why = lc_refuse_name (action->refuse.reason),
                            .member = action->refuse.owner,
                            .retry_after_us = action->refuse.retry_after_us };
  Lc__Request__Load load;

  lc_request_log (&plane->log, &line, lc_clock_now_us ());
  lc_agent_request__fill_load (plane, &load);
  message.id_hi = action->refuse.attempt_id.id.hi;
  message.id_lo = action->refuse.attempt_id.id.lo;
  message.attempt = action->refuse.attempt_id.attempt;
  message.reason = action->refuse.reason;
  message.checked = action->refuse.is_claimed;
  message.retry_after_us = (uint64_t)MAX (action->refuse.retry_after_us, 0);
  message.owner_id = action->refuse.owner.id;
  message.owner_instance = action->refuse.owner.instance;
  message.load = &load;
  (void)lc_link_send (lc_agent_request__find_link (plane, action->refuse.attempt_id.link_id),
                      LC_FRAME_REFUSE, &message.base);
}

static int
lc_agent_request__send_body (LcLink *link,
                             const LcAttemptId *attempt_id,
                             GBytes *body,
                             size_t offset)
{
  Lc__Request__AnswerBody part = LC__REQUEST__ANSWER_BODY__INIT;
  gsize len;
  const uint8_t *data = g_bytes_get_data (body, &len);

  part.id_hi = attempt_id->id.hi;
  part.id_lo = attempt_id->id.lo;
  part.attempt = attempt_id->attempt;
  part.offset = offset;
  part.data.data = (uint8_t *)data + offset;
  part.data.len = MIN (len - offset, LC_REQUEST_PART_BYTES);
  return lc_link_send (link, LC_FRAME_ANSWER_BODY, &part.base);
}

static int
lc_agent_request__send_head (LcAgentRequest *plane, LcLink *link, const LcAgentAction *action)
{
  const LcAnswer *answer = action->answer.answer;
  Lc__Request__Load load;
  Lc__Request__AnswerHead *head;
  gsize len;
  const uint8_t *packed = g_bytes_get_data (answer->headers, &len);
  int r;

  head = lc__request__answer_head__unpack (NULL, len, packed);
  if (head == NULL)
    return LC_ERR_CORRUPT;
  lc_agent_request__fill_load (plane, &load);
  head->id_hi = action->answer.attempt_id.id.hi;
  head->id_lo = action->answer.attempt_id.id.lo;
  head->attempt = action->answer.attempt_id.attempt;
  head->status = answer->status;
  head->body_length = g_bytes_get_size (answer->body);
  head->body_checksum =
      lc_request_checksum (g_bytes_get_data (answer->body, NULL), head->body_length);
  head->replayed = action->answer.is_replayed;
  head->load = &load;
  r = lc_link_send (link, LC_FRAME_ANSWER_HEAD, &head->base);
  head->load = NULL;
  lc__request__answer_head__free_unpacked (head, NULL);
  return r;
}

/* Closes the link if the answer can't be sent completely: the balancer then counts it as lost. */
void
lc_agent_request__send_answer (LcAgentRequest *plane, const LcAgentAction *action)
{
  const LcAttemptId *attempt_id = &action->answer.attempt_id;
  LcLink *link = lc_agent_request__find_link (plane, attempt_id->link_id);
  size_t len = g_bytes_get_size (action->answer.answer->body);
  int r;

  if (action->answer.is_replayed)
    lc_request_log (&plane->log,
                    &(LcRequestLogLine){ .kind = LC_REQUEST_LOG_REPLAYED,
                                         .id = attempt_id->id,
                                         .attempt = attempt_id->attempt,
                                         .status = action->answer.answer->status },
                    lc_clock_now_us ());
  if (link == NULL)
    return;
  r = lc_agent_request__send_head (plane, link, action);
  for (size_t offset = 0; r == 0 && offset < len; offset += LC_REQUEST_PART_BYTES)
    r = lc_agent_request__send_body (link, attempt_id, action->answer.answer->body, offset);
  if (r < 0)
    lc_link_close (link, "an answer could not be sent whole");
}

void
lc_agent_request__send_loads (LcAgentRequest *plane)
{
  Lc__Request__Load load;
  GHashTableIter iter;
  gpointer value;

  lc_agent_request__fill_load (plane, &load);
  g_hash_table_iter_init (&iter, plane->links);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    (void)lc_link_send (value, LC_FRAME_LOAD, &load.base);
}

/* === private: to other agents =============================================================== */

void
lc_agent_request__send_claim (LcAgentRequest *plane, const LcAgentAction *action, int64_t now_us)
{
  Lc__Request__Claim message = LC__REQUEST__CLAIM__INIT;
  LcLink *link = lc_agent_request__member_link (plane, action->claim.home, now_us);
  LcClaimReply reply = { .home = action->claim.home,
                         .key = action->claim.key,
                         .sequence = action->claim.sequence,
                         .era = action->claim.era,
                         .result = LC_CLAIM_NOT_READY };

  message.key_hi = action->claim.key.hi;
  message.key_lo = action->claim.key.lo;
  message.service_id = lc_request_key_service (action->claim.key);
  message.era = action->claim.era;
  message.home_instance = action->claim.home.instance;
  message.owner_id = plane->core.desc.self.id;
  message.owner_instance = plane->desc.instance;
  message.sequence = action->claim.sequence;
  message.keep_us = (uint64_t)action->claim.keep_us;
  if (lc_link_send (link, LC_FRAME_CLAIM, &message.base) < 0)
    lc_request_agent_handle_claim_reply (&plane->core, &reply, now_us);
}

void
lc_agent_request__send_release (LcAgentRequest *plane, const LcAgentAction *action, int64_t now_us)
{
  Lc__Request__ClaimRelease message = LC__REQUEST__CLAIM_RELEASE__INIT;

  message.key_hi = action->claim.key.hi;
  message.key_lo = action->claim.key.lo;
  message.owner_instance = plane->desc.instance;
  message.sequence = action->claim.sequence;
  (void)lc_link_send (lc_agent_request__member_link (plane, action->claim.home, now_us),
                      LC_FRAME_CLAIM_RELEASE, &message.base);
}

void
lc_agent_request__send_read (LcAgentRequest *plane, const LcAgentAction *action, int64_t now_us)
{
  const LcClaimMembers *set =
      lc_claim_sync_find_members (&plane->core.claim_sync, action->read.era);
  LcLink *link = lc_agent_request__member_link (plane, action->read.member, now_us);
  Lc__Request__ClaimRead message = LC__REQUEST__CLAIM_READ__INIT;
  Lc__Request__Member self = LC__REQUEST__MEMBER__INIT;
  Lc__Request__Member *members;

  if (link == NULL || set == NULL)
    return;
  members = g_new (Lc__Request__Member, set->n_members + 1);
  message.members = g_new (Lc__Request__Member *, set->n_members + 1);
  message.n_members = set->n_members;
  for (uint32_t i = 0; i < set->n_members; i++)
    {
      lc__request__member__init (&members[i]);
      members[i].id = set->members[i].id;
      members[i].instance = set->members[i].instance;
      message.members[i] = &members[i];
    }
  self.id = plane->core.desc.self.id;
  self.instance = plane->desc.instance;
  message.reader = &self;
  message.era = action->read.era;
  (void)lc_link_send (link, LC_FRAME_CLAIM_READ, &message.base);
  g_free (message.members);
  g_free (members);
}
