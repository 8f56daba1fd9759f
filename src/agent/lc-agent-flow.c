#include "lc-agent-flow-private.h"

#include "core/flow/lc-flow-finder.h"
#include "core/flow/lc-flow-return.h"
#include "io/lc-clock.h"
#include "io/lc-flow-wire.h"
#include "io/lc-packet-format.h"

#include <string.h>

enum
{
  LC_AGENT_FLOW_TICK_MS = LC_FLOW_AGENT_TICK_US / LC_US_PER_MS,
  LC_AGENT_FLOW_CUT_OFF_MS = 2000, /* shorter than any lease: see lc-steer */
  LC_AGENT_FLOW_LOG_PER_S = 2,
};

/* === private: callers ======================================================================= */

LcPacketFormat
lc_agent_flow__format (const LcAgentFlow *plane)
{
  return (LcPacketFormat)plane->desc.settings->packet_format;
}

/* The fabric accepts packets to callers at the flow port, which is the same on every VM. */
static void
lc_agent_flow__send_to_caller (LcAgentFlow *plane, uint32_t ipv4, const uint8_t *bytes, size_t len)
{
  (void)lc_datagram_send (&plane->port, ipv4, plane->desc.settings->flow_port, bytes, len, NULL, 0);
}

static void
lc_agent_flow__send_reset (LcAgentFlow *plane, const LcPacket *packet)
{
  uint8_t bytes[LC_PACKET_RESET_BYTES];
  size_t len = lc_packet_format_build_reset (lc_agent_flow__format (plane), packet, bytes);

  if (len > 0)
    lc_agent_flow__send_to_caller (plane, packet->key.source_ipv4, bytes, len);
}

static void
lc_agent_flow__send_resets (LcAgentFlow *plane, int64_t now_us)
{
  LcPacket packet;

  while (lc_flow_return_next_reset (&plane->agent, &packet))
    {
      lc_agent_flow__send_reset (plane, &packet);
      lc_agent_flow__log_unowned (plane, &packet, now_us);
    }
}

/* === private: to the backend server ========================================================= */

/* Sends the complete packet, with its mark, as a datagram's payload. */
static void
lc_agent_flow__send_marked (LcAgentFlow *plane, const uint8_t *bytes, size_t len)
{
  const LcSocketAddress *backend = &plane->desc.settings->backend_feed;

  (void)lc_datagram_send (&plane->port, backend->ipv4, backend->port, bytes, len, NULL, 0);
}

static void
lc_agent_flow__send_to_backend (LcAgentFlow *plane, uint8_t *bytes, size_t len, uint32_t mark)
{
  lc_packet_format_set_mark (lc_agent_flow__format (plane), bytes, mark);
  lc_agent_flow__send_marked (plane, bytes, len);
}

static void
lc_agent_flow__release_held (LcAgentFlow *plane, int64_t now_us)
{
  LcFlowPacket *packet;
  LcFlowHeld held;

  while (lc_flow_return_next_held (&plane->agent, &held, now_us))
    if (!held.is_released)
      lc_flow_packets_drop (&plane->held, held.flow);
    else
      while ((packet = lc_flow_packets_take (&plane->held, held.flow)) != NULL)
        lc_agent_flow__send_marked (plane, packet->bytes, packet->len);
}

/* === private: messages ====================================================================== */

/* Sends packets of searches to endpoints whose backend servers may hold the flow; returns how many
 * it sent. */
static uint32_t
lc_agent_flow__send_searched (LcAgentFlow *plane, int64_t now_us)
{
  uint8_t header[LC_ENVELOPE_MAX_BYTES];
  uint32_t n_given = 0;
  LcEnvelope envelope;
  LcFlowTry next;

  while (lc_flow_finder_next_try (&plane->agent, now_us, &next))
    {
      const LcFlowPacket *kept = lc_flow_packets_take (&plane->searching, next.slot);

      for (uint32_t i = 0; kept != NULL && i < next.n; i++)
        {
          if (next.is_passed)
            envelope = next.envelope;
          else
            lc_flow_return_fill_search_envelope (&plane->agent, &next.to[i], &envelope);
          (void)lc_datagram_send (&plane->port, next.to[i].ipv4, next.to[i].port, header,
                                  lc_envelope_encode (&envelope, header, sizeof header),
                                  kept->bytes, kept->len);
          n_given++;
        }
      if (kept != NULL)
        (void)lc_flow_packets_put (&plane->searching, next.slot, kept->bytes, kept->len);
    }
  return n_given;
}

static void
lc_agent_flow__send_messages (LcAgentFlow *plane, int64_t now_us)
{
  uint8_t bytes[LC_FLOW_WIRE_MAX];
  LcFlowReleased released;
  LcFlowMessage message;

  while (lc_flow_agent_next_released (&plane->agent, &released))
    lc_agent_flow__log_released (plane, &released, now_us);
  lc_agent_flow__release_held (plane, now_us);
  lc_agent_flow__send_resets (plane, now_us);
  (void)lc_agent_flow__send_searched (plane, now_us);
  while (lc_flow_agent_next_message (&plane->agent, &message, now_us))
    {
      size_t len = lc_flow_wire_write (&message, bytes, sizeof bytes);

      if (len == 0)
        continue;
      plane->message_bytes_total += len;
      (void)lc_datagram_send (&plane->port, message.to.ipv4, message.to.port, bytes, len, NULL, 0);
    }
}

/* Logs searches without a result, and an endpoint that did not respond. */
static void
lc_agent_flow__log_expired_searches (LcAgentFlow *plane, int64_t now_us)
{
  const LcFlowSearches *searches = plane->agent.searches;

  if (searches == NULL || searches->expired_total == plane->logged_expired_total)
    return;
  if (!lc_log_allow (&plane->expired_limit, now_us, LC_AGENT_FLOW_LOG_PER_S))
    return;
  LC_WARN ("flow.search-expired", "searches",
           LC_U64 (searches->expired_total - plane->logged_expired_total), "silent_endpoint",
           LC_U64 (searches->silent.id), "silent_ipv4", LC_U64 (searches->silent.ipv4),
           "membership", LC_U64 (searches->membership));
  plane->logged_expired_total = searches->expired_total;
}

static void
lc_agent_flow__count_malformed (LcAgentFlow *plane, const char *what, uint32_t ipv4, int64_t now_us)
{
  plane->malformed_total++;
  if (lc_log_allow (&plane->malformed_limit, now_us, LC_AGENT_FLOW_LOG_PER_S))
    LC_WARN ("flow.malformed", "what", LC_STR (what), "from_ipv4", LC_U64 (ipv4));
}

/* === private: packets ======================================================================= */

static void
lc_agent_flow__deliver (LcAgentFlow *plane,
                        const LcFlowAction *action,
                        uint8_t *bytes,
                        const LcPacket *packet)
{
  const LcAgentSettings *settings = plane->desc.settings;
  LcFlow *flow = &plane->agent.table.flows[action->deliver.flow];
  uint32_t ipv4 = action->deliver.backend_ipv4;
  uint16_t port = action->deliver.backend_port;

  if (ipv4 == 0)
    {
      ipv4 = settings->backend_feed.ipv4;
      port = settings->backend_feed.port;
    }
  if (settings->delivery == LC_AGENT_DELIVERY_DATAGRAM)
    {
      lc_agent_flow__send_to_backend (plane, bytes, packet->total_len, action->deliver.mark);
      return;
    }
  if (settings->delivery == LC_AGENT_DELIVERY_INJECT)
    {
      lc_agent_inject_send (&plane->inject, bytes, packet, ipv4, port);
      return;
    }
  if (packet->key.protocol != LC_PROTOCOL_UDP)
    return; /* a TCP segment can't be relayed as a payload: needs injection */
  flow->user = lc_agent_relay_send (&plane->relay, flow->user, &packet->key, flow->relay_port, ipv4,
                                    port, bytes + packet->payload_start,
                                    packet->total_len - packet->payload_start);
  flow->relay_port = lc_agent_relay_source_port (&plane->relay, flow->user);
}

static void
lc_agent_flow__forward (LcAgentFlow *plane,
                        const LcEnvelope *envelope,
                        uint32_t ipv4,
                        uint16_t port,
                        const uint8_t *bytes,
                        const LcPacket *packet)
{
  uint8_t header[LC_ENVELOPE_MAX_BYTES];

  (void)lc_datagram_send (&plane->port, ipv4, port, header,
                          lc_envelope_encode (envelope, header, sizeof header), bytes,
                          packet->total_len);
}

static void
lc_agent_flow__start_search (LcAgentFlow *plane,
                             const LcFlowAction *action,
                             uint8_t *bytes,
                             const LcPacket *packet)
{
  lc_packet_format_set_mark (lc_agent_flow__format (plane), bytes, LC_FLOW_MARK_NONE);
  lc_flow_packets_drop (&plane->searching, action->search.slot);
  (void)lc_flow_packets_put (&plane->searching, action->search.slot, bytes, packet->total_len);
  if (action->search.is_local)
    lc_agent_flow__send_to_backend (plane, bytes, packet->total_len, plane->agent.desc.self.id);
}

static void
lc_agent_flow__execute (LcAgentFlow *plane,
                        const LcFlowAction *action,
                        const LcEnvelope *envelope,
                        uint8_t *bytes,
                        const LcPacket *packet,
                        int64_t now_us)
{
  uint32_t n_asked = 0;

  switch (action->kind)
    {
    case LC_FLOW_ACTION_DELIVER:
      lc_agent_flow__deliver (plane, action, bytes, packet);
      break;
    case LC_FLOW_ACTION_SEND:
      lc_packet_format_set_mark (lc_agent_flow__format (plane), bytes, LC_FLOW_MARK_NONE);
      lc_agent_flow__forward (plane, envelope, action->send.ipv4, action->send.port, bytes, packet);
      break;
    case LC_FLOW_ACTION_TRY:
      lc_agent_flow__send_to_backend (plane, bytes, packet->total_len, action->try_mark);
      break;
    case LC_FLOW_ACTION_SEARCH:
      lc_agent_flow__start_search (plane, action, bytes, packet);
      n_asked = lc_agent_flow__send_searched (plane, now_us);
      break;
    case LC_FLOW_ACTION_RESET:
      lc_agent_flow__send_reset (plane, packet);
      break;
    case LC_FLOW_ACTION_HOLD:
      lc_packet_format_set_mark (lc_agent_flow__format (plane), bytes, action->hold.mark);
      (void)lc_flow_packets_put (&plane->held, action->hold.flow, bytes, packet->total_len);
      break;
    case LC_FLOW_ACTION_DROP:
      break;
    }
  lc_agent_flow__log_action (plane, action, envelope, packet, n_asked, now_us);
}

static void
lc_agent_flow__on_envelope (
    LcAgentFlow *plane, uint8_t *bytes, size_t len, uint32_t from, int64_t now_us)
{
  LcEnvelope envelope;
  LcPacket packet;
  LcFlowAction action;
  int start = lc_envelope_decode (&envelope, bytes, len);

  if (start < 0 || lc_packet_format_parse (lc_agent_flow__format (plane), &packet, bytes + start,
                                           len - (size_t)start) < 0)
    {
      lc_agent_flow__count_malformed (plane, "envelope", from, now_us);
      return;
    }
  lc_member_record_revision (plane->desc.member, envelope.revision);
  action = lc_flow_agent_handle_packet (&plane->agent, &envelope, &packet, now_us);
  lc_agent_flow__execute (plane, &action, &envelope, bytes + start, &packet, now_us);
}

/* === private: from the backend server ======================================================= */

static void
lc_agent_flow__on_returned (LcAgentFlow *plane,
                            uint8_t *bytes,
                            const LcPacket *packet,
                            int64_t now_us)
{
  LcEnvelope envelope;
  LcFlowAction action;

  if (!plane->has_agent)
    return;
  lc_agent_flow__log_returned (plane, packet, now_us);
  action = lc_flow_return_handle_returned (&plane->agent, &envelope, packet, now_us);
  lc_agent_flow__execute (plane, &action, &envelope, bytes, packet, now_us);
}

static void
lc_agent_flow__on_outbound (void *user, uint8_t *bytes, size_t len, uint32_t ipv4, uint16_t port)
{
  LcAgentFlow *plane = user;
  int64_t now_us = lc_clock_now_us ();
  LcFlowResponse answer;
  LcPacket packet;

  (void)port;
  if (lc_packet_format_parse (lc_agent_flow__format (plane), &packet, bytes, len) < 0)
    {
      lc_agent_flow__count_malformed (plane, "outbound", ipv4, now_us);
      return;
    }
  if (packet.is_returned)
    {
      lc_agent_flow__on_returned (plane, bytes, &packet, now_us);
      return;
    }
  if (plane->has_agent)
    {
      answer = lc_flow_return_handle_response (&plane->agent, &packet, now_us);
      lc_agent_flow__record_response (plane, &packet, &answer, now_us);
    }
  lc_agent_flow__send_to_caller (plane, packet.key.target_ipv4, bytes, len);
}

static void
lc_agent_flow__on_datagram (void *user, uint8_t *bytes, size_t len, uint32_t ipv4, uint16_t port)
{
  LcAgentFlow *plane = user;
  int64_t now_us = lc_clock_now_us ();
  LcFlowMessage message;

  if (lc_envelope_kind (bytes, len) == LC_ENVELOPE_PROBE)
    {
      lc_envelope_encode_prefix (bytes, LC_ENVELOPE_PROBE_ANSWER);
      (void)lc_datagram_send (&plane->port, ipv4, port, bytes, LC_ENVELOPE_PREFIX_BYTES, NULL, 0);
      return;
    }
  if (!plane->has_agent)
    return;
  switch (lc_envelope_kind (bytes, len))
    {
    case LC_ENVELOPE_PACKET:
      lc_agent_flow__on_envelope (plane, bytes, len, ipv4, now_us);
      break;
    case LC_ENVELOPE_MESSAGE:
      if (lc_flow_wire_read (&message, bytes, len) < 0)
        lc_agent_flow__count_malformed (plane, "message", ipv4, now_us);
      else
        {
          lc_member_record_revision (plane->desc.member, message.load.revision);
          lc_flow_agent_handle_message (&plane->agent, &message, now_us);
        }
      break;
    default:
      lc_agent_flow__count_malformed (plane, "datagram", ipv4, now_us);
      break;
    }
}

static void
lc_agent_flow__on_batch_end (void *user)
{
  LcAgentFlow *plane = user;

  if (plane->has_agent)
    lc_agent_flow__send_messages (plane, lc_clock_now_us ());
}

static void
lc_agent_flow__on_outbound_end (void *user)
{
  LcAgentFlow *plane = user;

  lc_agent_flow__on_batch_end (plane);
  lc_datagram_flush (&plane->port);
}

/* === private: timer ========================================================================= */

static bool
lc_agent_flow__is_owned (void *user, const LcFlowKey *key)
{
  LcAgentFlow *plane = user;
  const LcFlow *flow = plane->has_agent
                           ? lc_flow_table_find (&plane->agent.table, key, lc_flow_key_hash (key))
                           : NULL;

  return flow != NULL && flow->kind == LC_FLOW_OWNED;
}

static void
lc_agent_flow__drain_tick (LcAgentFlow *plane, int64_t now_us)
{
  if (!plane->is_draining)
    return;
  if (now_us >= plane->hand_over_at_us && !plane->agent.is_handing_over)
    {
      LC_INFO ("flow.hand-over", "flows", LC_U64 (plane->agent.table.n_owned));
      lc_flow_agent_hand_over (&plane->agent);
    }
  if (plane->agent.is_handing_over && plane->agent.table.n_owned > 0 &&
      !lc_flow_agent_has_successor (&plane->agent) && !plane->has_given_up)
    {
      plane->has_given_up = true;
      LC_WARN ("flow.cut", "flows", LC_U64 (plane->agent.table.n_owned), "remedy",
               LC_STR ("keep another endpoint of the service while this one leaves"));
    }
}

static void
lc_agent_flow__on_tick (void *user)
{
  LcAgentFlow *plane = user;
  int64_t now_us = lc_clock_now_us ();

  lc_timer_start (&plane->timer, LC_AGENT_FLOW_TICK_MS);
  lc_agent_relay_sweep (&plane->relay);
  if (!plane->has_agent)
    return;
  lc_flow_agent_set_cut_off (&plane->agent, lc_member_view_age_us (plane->desc.member, now_us) >
                                                LC_AGENT_FLOW_CUT_OFF_MS * LC_US_PER_MS);
  lc_flow_agent_tick (&plane->agent, now_us);
  lc_agent_flow__log_expired_searches (plane, now_us);
  lc_agent_flow__drain_tick (plane, now_us);
  lc_agent_flow__publish_totals (plane);
  lc_agent_flow__send_messages (plane, now_us);
  lc_datagram_flush (&plane->port);
}

/* === private: start ========================================================================= */

static int
lc_agent_flow__open_ports (LcAgentFlow *plane, LcError *error)
{
  const LcAgentSettings *settings = plane->desc.settings;
  LcDatagramDesc port = { .loop = plane->desc.app->loop,
                          .ipv4 = settings->ipv4,
                          .port = settings->flow_port,
                          .user = plane,
                          .received = lc_agent_flow__on_datagram,
                          .batch_end = lc_agent_flow__on_batch_end };
  LcDatagramDesc outbound = { .loop = plane->desc.app->loop,
                              .ipv4 = settings->ipv4,
                              .port = settings->outbound_port,
                              .user = plane,
                              .received = lc_agent_flow__on_outbound,
                              .batch_end = lc_agent_flow__on_outbound_end };
  LcAgentRelayDesc relay = { .loop = plane->desc.app->loop,
                             .ipv4 = settings->ipv4,
                             .answers = &plane->port,
                             .user = plane,
                             .is_owned = lc_agent_flow__is_owned };
  int r = lc_datagram_init (&plane->port, &port, error);

  if (r < 0)
    return r;
  lc_agent_relay_init (&plane->relay, &relay);
  if (settings->outbound_port != 0)
    {
      r = lc_datagram_init (&plane->outbound, &outbound, error);
      if (r < 0)
        return r;
      plane->has_outbound = true;
    }
  if (settings->delivery == LC_AGENT_DELIVERY_INJECT)
    r = lc_agent_inject_init (&plane->inject, error);
  return r;
}

/* === public ================================================================================= */

int
lc_agent_flow_init (LcAgentFlow *plane, const LcAgentFlowDesc *desc, LcError *error)
{
  int r;

  memset (plane, 0, sizeof *plane);
  plane->desc = *desc;
  plane->log.has_request_log = desc->settings->has_requests;
  plane->backend_state =
      desc->settings->report_port == 0 ? LC_FLOW_BACKEND_OPEN : LC_FLOW_BACKEND_UNAVAILABLE;
  r = lc_agent_flow__open_ports (plane, error);
  if (r < 0)
    return r;
  lc_agent_flow__register_metrics (plane);
  lc_timer_init (&plane->timer, desc->app->loop, lc_agent_flow__on_tick, plane);
  lc_timer_start (&plane->timer, LC_AGENT_FLOW_TICK_MS);
  return LC_OK;
}

void
lc_agent_flow_finish (LcAgentFlow *plane)
{
  lc_timer_finish (&plane->timer);
  lc_agent_relay_finish (&plane->relay);
  lc_agent_inject_finish (&plane->inject);
  lc_datagram_finish (&plane->port);
  if (plane->has_outbound)
    lc_datagram_finish (&plane->outbound);
  if (plane->has_agent)
    lc_flow_agent_finish (&plane->agent);
  lc_flow_packets_finish (&plane->held);
  plane->has_agent = false;
}

static void
lc_agent_flow__update_evacuated (LcAgentFlow *plane, const LcView *view)
{
  const LcDataCentre *dc = lc_view_dc (view, plane->agent.dc);
  bool is_evacuated = dc != NULL && dc->is_evacuated;

  if (is_evacuated == plane->is_evacuated)
    return;
  plane->is_evacuated = is_evacuated;
  LC_INFO ("flow.evacuation", "is_evacuated", LC_U64 (is_evacuated), "revision",
           LC_U64 (view->revision), "is_confirmed",
           LC_U64 (lc_member_is_confirmed (plane->desc.member)), "open_flows",
           LC_U64 (lc_flow_agent_open_flows (&plane->agent)));
}

void
lc_agent_flow_set_view (
    LcAgentFlow *plane, const LcView *view, const LcViewOp *ops, size_t n_ops, bool is_reset)
{
  int64_t now_us = lc_clock_now_us ();

  (void)ops;
  (void)n_ops;
  (void)is_reset;
  lc_agent_flow__update_endpoint (plane, now_us);
  if (!plane->has_agent)
    return;
  lc_flow_agent_set_view (&plane->agent, view, now_us);
  lc_agent_flow__update_evacuated (plane, view);
  lc_agent_flow__send_messages (plane, now_us);
  lc_datagram_flush (&plane->port);
}

void
lc_agent_flow_handle_frame (LcAgentFlow *plane, LcLink *link, const LcFrame *frame)
{
  (void)plane;
  (void)frame;
  lc_link_close (link, "the flow plane accepts UDP only");
}

void
lc_agent_flow_handle_link_down (LcAgentFlow *plane, LcLink *link)
{
  (void)plane;
  (void)link;
}

void
lc_agent_flow_drain (LcAgentFlow *plane)
{
  int64_t now_us = lc_clock_now_us ();
  int64_t limit_us = (int64_t)plane->desc.settings->drain_limit_ms * LC_US_PER_MS;

  plane->is_draining = true;
  plane->hand_over_at_us = now_us + limit_us / 2;
  if (plane->has_agent)
    lc_flow_agent_leave (&plane->agent);
}

bool
lc_agent_flow_is_idle (const LcAgentFlow *plane)
{
  if (!plane->has_agent)
    return true;
  return plane->has_given_up || lc_flow_agent_is_drained (&plane->agent, lc_clock_now_us ());
}

LcRevision
lc_agent_flow_registered_revision (const LcAgentFlow *plane)
{
  return plane->has_agent ? lc_flow_agent_registered_revision (&plane->agent) : 0;
}
