#include "lc-balancer-request-private.h"

/* === private: incoming answers ============================================================== */

guint
lc_balancer_request__ref_hash (gconstpointer data)
{
  const LcAttemptRef *ref = data;

  return (guint)(ref->id.lo ^ (ref->id.lo >> 32) ^ ref->number);
}

gboolean
lc_balancer_request__ref_equal (gconstpointer a, gconstpointer b)
{
  const LcAttemptRef *x = a;
  const LcAttemptRef *y = b;

  return x->number == y->number && x->link_id == y->link_id && lc_request_id_equal (x->id, y->id);
}

void
lc_balancer_request__incoming_free (gpointer data)
{
  LcIncomingAnswer *incoming = data;

  lc__request__answer_head__free_unpacked (incoming->head, NULL);
  g_byte_array_unref (incoming->body);
  g_free (incoming);
}

void
lc_balancer_request__reject_malformed (LcBalancerRequest *plane, LcLink *link, uint16_t type)
{
  plane->malformed_total++;
  if (lc_log_allow (&plane->log_limit, lc_clock_now_us (), LC_BALANCER_LOGS_PER_S))
    LC_WARN ("request.malformed", "type", LC_U64 (type), "remedy",
             LC_STR ("run the same version on balancers and agents"));
  lc_link_close (link, "malformed message");
}

static void
lc_balancer_request__handle_load (LcBalancerRequest *plane, const Lc__Request__Load *load)
{
  LcPickReport report;

  if (load == NULL)
    return;
  report = (LcPickReport){ .running = load->running,
                           .queued = load->queued,
                           .limit = load->limit,
                           .service_us = (int64_t)MIN (load->service_us, (uint64_t)INT32_MAX),
                           .is_draining = load->draining };
  lc_request_balancer_handle_report (&plane->core, load->instance, &report, lc_clock_now_us ());
}

/* === private: frames from agents ============================================================ */

static void
lc_balancer_request__on_answer_head (LcBalancerAgentLink *peer, LcLink *link, const LcFrame *frame)
{
  LcBalancerRequest *plane = peer->plane;
  Lc__Request__AnswerHead *head =
      lc__request__answer_head__unpack (NULL, frame->payload_len, frame->payload);
  LcIncomingAnswer *incoming;

  if (head == NULL || head->body_length > LC_REQUEST_MAX_BODY || head->status < 200 ||
      head->status > 999)
    {
      if (head != NULL)
        lc__request__answer_head__free_unpacked (head, NULL);
      lc_balancer_request__reject_malformed (plane, link, frame->type);
      return;
    }
  lc_balancer_request__handle_load (plane, head->load);
  incoming = g_new0 (LcIncomingAnswer, 1);
  incoming->ref = (LcAttemptRef){ { head->id_hi, head->id_lo }, head->attempt, peer->link_id };
  incoming->head = head;
  incoming->body = g_byte_array_new ();
  if (head->body_length == 0 ||
      !lc_request_balancer_is_attempt_open (&plane->core, &incoming->ref) ||
      plane->incoming_bytes + head->body_length > LC_BALANCER_MAX_INCOMING_BYTES)
    {
      lc_balancer_request__complete_incoming (plane, incoming);
      lc_balancer_request__incoming_free (incoming);
      return;
    }
  plane->incoming_bytes += head->body_length;
  g_hash_table_replace (plane->incoming, &incoming->ref, incoming);
}

static bool
lc_balancer_request__add_part (LcIncomingAnswer *incoming, const Lc__Request__AnswerBody *part)
{
  if (part->offset != incoming->body->len ||
      part->data.len > incoming->head->body_length - incoming->body->len)
    return false;
  g_byte_array_append (incoming->body, part->data.data, (guint)part->data.len);
  return true;
}

static void
lc_balancer_request__on_answer_body (LcBalancerAgentLink *peer, LcLink *link, const LcFrame *frame)
{
  LcBalancerRequest *plane = peer->plane;
  Lc__Request__AnswerBody *part =
      lc__request__answer_body__unpack (NULL, frame->payload_len, frame->payload);
  LcAttemptRef ref;
  LcIncomingAnswer *incoming;
  bool is_valid;

  if (part == NULL)
    {
      lc_balancer_request__reject_malformed (plane, link, frame->type);
      return;
    }
  ref = (LcAttemptRef){ { part->id_hi, part->id_lo }, part->attempt, peer->link_id };
  incoming = g_hash_table_lookup (plane->incoming, &ref);
  is_valid = incoming != NULL && lc_balancer_request__add_part (incoming, part);
  lc__request__answer_body__free_unpacked (part, NULL);
  if (incoming == NULL || (is_valid && incoming->body->len < incoming->head->body_length))
    return;
  plane->incoming_bytes -= incoming->head->body_length;
  g_hash_table_steal (plane->incoming, &ref);
  lc_balancer_request__complete_incoming (plane, incoming);
  lc_balancer_request__incoming_free (incoming);
}

static void
lc_balancer_request__on_refuse (LcBalancerAgentLink *peer, LcLink *link, const LcFrame *frame)
{
  LcBalancerRequest *plane = peer->plane;
  Lc__Request__Refuse *refuse =
      lc__request__refuse__unpack (NULL, frame->payload_len, frame->payload);
  LcAttemptRef ref;
  LcRefusal refusal;

  if (refuse == NULL)
    {
      lc_balancer_request__reject_malformed (plane, link, frame->type);
      return;
    }
  lc_balancer_request__handle_load (plane, refuse->load);
  ref = (LcAttemptRef){ { refuse->id_hi, refuse->id_lo }, refuse->attempt, peer->link_id };
  refusal = (LcRefusal){ .reason = (LcRefuseReason)refuse->reason,
                         .is_claimed = refuse->checked,
                         .owner = { refuse->owner_id, refuse->owner_instance } };
  lc_request_log (&plane->log,
                  &(LcRequestLogLine){ .kind = LC_REQUEST_LOG_REFUSED,
                                       .id = ref.id,
                                       .attempt = ref.number,
                                       .why = lc_refuse_name (refusal.reason),
                                       .to = { peer->ipv4, peer->port },
                                       .member = refusal.owner,
                                       .retry_after_us = (int64_t)MIN (refuse->retry_after_us,
                                                                       (uint64_t)INT32_MAX) },
                  lc_clock_now_us ());
  lc_request_balancer_handle_refusal (&plane->core, &ref, &refusal,
                                      (int64_t)MIN (refuse->retry_after_us, (uint64_t)INT32_MAX),
                                      lc_clock_now_us ());
  lc__request__refuse__free_unpacked (refuse, NULL);
}

static void
lc_balancer_request__on_load (LcBalancerAgentLink *peer, LcLink *link, const LcFrame *frame)
{
  Lc__Request__Load *load = lc__request__load__unpack (NULL, frame->payload_len, frame->payload);

  if (load == NULL)
    {
      lc_balancer_request__reject_malformed (peer->plane, link, frame->type);
      return;
    }
  lc_balancer_request__handle_load (peer->plane, load);
  lc__request__load__free_unpacked (load, NULL);
}

/* === private: links to agents =============================================================== */

static void
lc_balancer_request__on_frame (void *user, LcLink *link, const LcFrame *frame)
{
  LcBalancerAgentLink *peer = user;

  switch (frame->type)
    {
    case LC_FRAME_ANSWER_HEAD:
      lc_balancer_request__on_answer_head (peer, link, frame);
      break;
    case LC_FRAME_ANSWER_BODY:
      lc_balancer_request__on_answer_body (peer, link, frame);
      break;
    case LC_FRAME_REFUSE:
      lc_balancer_request__on_refuse (peer, link, frame);
      break;
    case LC_FRAME_LOAD:
      lc_balancer_request__on_load (peer, link, frame);
      break;
    default:
      lc_balancer_request__reject_malformed (peer->plane, link, frame->type);
      break;
    }
  lc_balancer_request__run_actions (peer->plane);
}

/* This link's endpoint in the current view, or NULL. */
static const LcEndpoint *
lc_balancer_request__find_endpoint (const LcBalancerAgentLink *peer, const LcView *view)
{
  const LcEndpoint *e = lc_view_endpoint (view, peer->endpoint_id);

  return e != NULL && e->ipv4 == peer->ipv4 && e->peer_port == peer->port ? e : NULL;
}

static void
lc_balancer_request__set_reachable (const LcBalancerAgentLink *peer, bool is_reachable)
{
  const LcEndpoint *e =
      lc_balancer_request__find_endpoint (peer, lc_member_view (peer->plane->desc.member));

  if (e != NULL)
    lc_request_balancer_set_reachable (&peer->plane->core, e->instance, is_reachable,
                                       lc_clock_now_us ());
}

static void
lc_balancer_request__on_up (void *user, LcLink *link)
{
  LcBalancerAgentLink *peer = user;

  peer->link_id = ++peer->plane->next_link_id;
  lc_balancer_request__set_reachable (peer, true);
  lc_balancer_request__run_actions (peer->plane);
}

static gboolean
lc_balancer_request__is_of_link (gpointer key, gpointer value, gpointer user)
{
  LcBalancerAgentLink *peer = user;
  const LcIncomingAnswer *incoming = value;

  if (incoming->ref.link_id != peer->link_id)
    return FALSE;
  peer->plane->incoming_bytes -= incoming->head->body_length;
  return TRUE;
}

static void
lc_balancer_request__on_down (void *user, LcLink *link, const char *why)
{
  LcBalancerAgentLink *peer = user;
  uint64_t link_id = peer->link_id;

  g_hash_table_foreach_remove (peer->plane->incoming, lc_balancer_request__is_of_link, peer);
  peer->link_id = 0;
  lc_balancer_request__set_reachable (peer, false);
  lc_request_balancer_handle_link_down (&peer->plane->core, link_id, lc_clock_now_us ());
  lc_balancer_request__run_actions (peer->plane);
}

void
lc_balancer_request__agent_link_free (gpointer data)
{
  LcBalancerAgentLink *peer = data;

  lc_link_client_finish (&peer->client);
  g_free (peer);
}

LcBalancerAgentLink *
lc_balancer_request__get_agent_link (LcBalancerRequest *plane,
                                     LcEndpointId id,
                                     uint32_t ipv4,
                                     uint16_t port)
{
  uint64_t key = lc_address_pack (ipv4, port);
  LcBalancerAgentLink *peer = g_hash_table_lookup (plane->agents, &key);
  LcLinkClientDesc desc = { .loop = plane->desc.app->loop,
                            .ipv4 = ipv4,
                            .port = port,
                            .source_ipv4 = plane->desc.settings->ipv4 };

  if (peer != NULL)
    {
      peer->endpoint_id = id;
      return peer;
    }
  peer = g_new0 (LcBalancerAgentLink, 1);
  peer->plane = plane;
  peer->endpoint_id = id;
  peer->ipv4 = ipv4;
  peer->port = port;
  desc.handler = (LcLinkHandler){ peer, lc_balancer_request__on_frame, lc_balancer_request__on_up,
                                  lc_balancer_request__on_down };
  g_hash_table_insert (plane->agents, g_memdup2 (&key, sizeof key), peer);
  lc_link_client_init (&peer->client, &desc);
  return peer;
}

/* Links are opened when a request first needs them, and kept while the view has the endpoint. */
static gboolean
lc_balancer_request__is_unused (gpointer key, gpointer value, gpointer user)
{
  return lc_balancer_request__find_endpoint (value, user) == NULL;
}

void
lc_balancer_request__close_unused_links (LcBalancerRequest *plane, const LcView *view)
{
  g_hash_table_foreach_remove (plane->agents, lc_balancer_request__is_unused, (gpointer)view);
}
