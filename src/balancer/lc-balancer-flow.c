#include "lc-balancer-flow.h"

#include "io/lc-clock.h"
#include "io/lc-packet-format.h"

#include <string.h>

enum
{
  LC_BALANCER_FLOW_TICK_MS = 50,    /* probe interval */
  LC_BALANCER_FLOW_PROBES_MAX = 64, /* per tick; the others follow at the next */
  LC_BALANCER_FLOW_PROBE_LOG_PER_S = 10,
};

/* === private: packets ======================================================================= */

static LcFlowLogLine
lc_balancer_flow__make_log_line (const LcBalancerFlow *plane,
                                 LcFlowLogKind kind,
                                 const LcFlowKey *key,
                                 int64_t now_us)
{
  const LcView *view = plane->balancer.view;

  return (LcFlowLogLine){ .kind = kind,
                          .key = key,
                          .revision = view != NULL ? view->revision : 0,
                          .view_age_us = lc_member_view_age_us (plane->desc.member, now_us) };
}

static void
lc_balancer_flow__drop (LcBalancerFlow *plane, LcDropReason reason, const LcFlowKey *key)
{
  int64_t now_us = lc_clock_now_us ();
  LcFlowLogLine line = lc_balancer_flow__make_log_line (plane, LC_FLOW_LOG_DROPPED, key, now_us);

  plane->dropped_total[reason]++;
  line.why = lc_drop_reason_name (reason);
  lc_flow_log (&plane->log, &line, now_us);
}

/* Logs a first packet: its agent, the view's revision, and whether suspects are passed over. */
static void
lc_balancer_flow__log_steered (LcBalancerFlow *plane, const LcPacket *packet, const LcCandidate *to)
{
  int64_t now_us = lc_clock_now_us ();
  LcFlowLogLine line =
      lc_balancer_flow__make_log_line (plane, LC_FLOW_LOG_STEERED, &packet->key, now_us);

  line.n_copies = packet->n_copies;
  line.to = (LcSocketAddress){ .ipv4 = to->ipv4, .port = to->port };
  if (plane->balancer.has_suspects)
    line.why = "some agents do not answer and are passed over";
  lc_flow_log (&plane->log, &line, now_us);
}

static LcPacketFormat
lc_balancer_flow__format (const LcBalancerFlow *plane)
{
  return (LcPacketFormat)plane->desc.settings->packet_format;
}

/* Rejects a flow whose first packet can't be forwarded, so that the caller need not time out.  A
 * copy of it gets no reset, since the flow may have been opened by an earlier copy. */
static void
lc_balancer_flow__send_reset (LcBalancerFlow *plane, const LcPacket *packet)
{
  uint8_t bytes[LC_PACKET_RESET_BYTES];
  size_t len = lc_packet_format_build_reset (lc_balancer_flow__format (plane), packet, bytes);

  if (len == 0)
    return;
  plane->reset_total++;
  (void)lc_datagram_send (&plane->port, packet->key.source_ipv4, plane->desc.settings->flow_port,
                          bytes, len, NULL, 0);
}

static void
lc_balancer_flow__steer (LcBalancerFlow *plane, uint8_t *bytes, const LcPacket *packet)
{
  uint8_t header[LC_ENVELOPE_MAX_BYTES];
  LcEnvelope envelope;
  LcCandidate to;
  int r = lc_flow_balancer_steer (&plane->balancer, packet, &envelope, &to);

  if (r < 0)
    {
      lc_balancer_flow__drop (plane, (LcDropReason)-r, &packet->key);
      if (packet->may_open && packet->n_copies == 0)
        lc_balancer_flow__send_reset (plane, packet);
      return;
    }
  plane->steered_total++;
  if (lc_packet_is_first (packet))
    lc_balancer_flow__log_steered (plane, packet, &to);
  if (plane->balancer.is_returning)
    lc_probe_detector_record_use (&plane->probes, &to, lc_clock_now_us ());
  (void)lc_datagram_send (&plane->port, to.ipv4, to.port, header,
                          lc_envelope_encode (&envelope, header, sizeof header), bytes,
                          packet->total_len);
}

/* Without a view an unknown address can't be told from one that has no service. */
static bool
lc_balancer_flow__has_view (const LcBalancerFlow *plane)
{
  return plane->balancer.view != NULL && plane->balancer.view->revision > 0;
}

static void
lc_balancer_flow__handle_packet (
    LcBalancerFlow *plane, uint8_t *bytes, size_t len, uint32_t ipv4, uint16_t port)
{
  LcPacket packet;

  if (lc_packet_format_parse (lc_balancer_flow__format (plane), &packet, bytes, len) < 0 ||
      packet.is_returned)
    lc_balancer_flow__drop (plane, LC_DROP_MALFORMED,
                            &(LcFlowKey){ .source_ipv4 = ipv4, .source_port = port });
  else if (lc_balancer_flow__has_view (plane))
    lc_balancer_flow__steer (plane, bytes, &packet);
  else
    lc_packet_buffer_put (&plane->buffer, bytes, len, lc_clock_now_us ());
}

/* Steers the packets that were buffered before the first view. */
static void
lc_balancer_flow__steer_buffered (LcBalancerFlow *plane)
{
  uint64_t n_held = plane->buffer.held_total;
  uint32_t n_steered = 0;
  LcBufferedPacket *held;

  if (plane->buffer.packets == NULL || !lc_balancer_flow__has_view (plane))
    return;
  while ((held = lc_packet_buffer_take (&plane->buffer, lc_clock_now_us ())) != NULL)
    {
      lc_balancer_flow__handle_packet (plane, held->bytes, held->len, 0, 0);
      n_steered++;
    }
  lc_datagram_flush (&plane->port);
  LC_INFO ("flow.held-steered", "held", LC_U64 (n_held), "steered", LC_U64 (n_steered), "too_old",
           LC_U64 (plane->buffer.dropped_total));
}

static void
lc_balancer_flow__on_datagram (void *user, uint8_t *bytes, size_t len, uint32_t ipv4, uint16_t port)
{
  LcBalancerFlow *plane = user;

  if (lc_envelope_kind (bytes, len) == LC_ENVELOPE_PROBE_ANSWER)
    lc_probe_detector_record_answer (&plane->probes, ipv4, port, lc_clock_now_us ());
  else
    lc_balancer_flow__handle_packet (plane, bytes, len, ipv4, port);
}

static void
lc_balancer_flow__on_batch_end (void *user)
{
  LcBalancerFlow *plane = user;

  plane->last_packet_us = lc_clock_now_us ();
}

static void
lc_balancer_flow__set_isolated (LcBalancerFlow *plane, bool is_isolated)
{
  if (plane->is_isolated == is_isolated)
    return;
  plane->is_isolated = is_isolated;
  if (is_isolated)
    LC_WARN ("flow.cut-off", "meaning", LC_STR ("no agent answers: not ready"), "remedy",
             LC_STR ("check the network between this balancer and the agents"));
  else
    LC_INFO ("flow.reaches-agents");
}

static void
lc_balancer_flow__log_suspects (LcBalancerFlow *plane, int64_t now_us)
{
  LcProbeDetectorChange change;

  while (lc_probe_detector_next_change (&plane->probes, now_us, &change))
    if (lc_log_allow (&plane->probe_log_limit, now_us, LC_BALANCER_FLOW_PROBE_LOG_PER_S))
      LC_INFO (change.is_suspect ? "agent.suspect" : "agent.answers", "ipv4",
               LC_U64 (change.address.ipv4), "port", LC_U64 (change.address.port), "silent_ms",
               LC_I64 (change.silent_us / LC_US_PER_MS), "left_out",
               LC_U64 (plane->probe_log_limit.suppressed_total));
}

/* Probes the agents in use, and passes over those that don't answer. */
static void
lc_balancer_flow__send_probes (LcBalancerFlow *plane, int64_t now_us)
{
  LcProbeDetectorAddress due[LC_BALANCER_FLOW_PROBES_MAX];
  uint32_t n =
      lc_probe_detector_next_probes (&plane->probes, now_us, due, LC_BALANCER_FLOW_PROBES_MAX);
  uint8_t bytes[LC_ENVELOPE_PREFIX_BYTES];

  lc_envelope_encode_prefix (bytes, LC_ENVELOPE_PROBE);
  for (uint32_t i = 0; i < n; i++)
    (void)lc_datagram_send (&plane->port, due[i].ipv4, due[i].port, bytes, sizeof bytes, NULL, 0);
  lc_datagram_flush (&plane->port);
  lc_flow_balancer_mark_suspects (&plane->balancer, &plane->probes, now_us);
  lc_balancer_flow__log_suspects (plane, now_us);
  lc_balancer_flow__set_isolated (plane, lc_probe_detector_is_isolated (&plane->probes, now_us));
}

static void
lc_balancer_flow__on_tick (void *user)
{
  LcBalancerFlow *plane = user;

  if (plane->balancer.is_returning)
    lc_balancer_flow__send_probes (plane, lc_clock_now_us ());

  lc_timer_start (&plane->timer, LC_BALANCER_FLOW_TICK_MS);
  lc_flow_meter_publish (&plane->meter);
  lc_flow_balancer_set_cut_off (&plane->balancer,
                                lc_member_view_age_us (plane->desc.member, lc_clock_now_us ()) >
                                    (int64_t)plane->desc.settings->lease_ms * LC_US_PER_MS);
}

/* === private: start ========================================================================= */

static void
lc_balancer_flow__add_meters (LcBalancerFlow *plane)
{
  LcMetrics *metrics = &plane->desc.app->metrics;

  lc_flow_meter_add (&plane->meter, metrics, "lychee_flow_received_total", "Datagrams received",
                     NULL, &plane->port.received_total);
  lc_flow_meter_add (&plane->meter, metrics, "lychee_flow_steered_total", "Packets sent to agents",
                     NULL, &plane->steered_total);
  lc_flow_meter_add (&plane->meter, metrics, "lychee_flow_oversized_total", "Datagrams too long",
                     NULL, &plane->port.oversized_total);
  lc_flow_meter_add (&plane->meter, metrics, "lychee_flow_unsent_total",
                     "Datagrams the system refused", NULL, &plane->port.unsent_total);
  lc_flow_meter_add (&plane->meter, metrics, "lychee_flow_reset_total",
                     "First packets that led nowhere and were answered so", NULL,
                     &plane->reset_total);
  lc_flow_meter_add (&plane->meter, metrics, "lychee_flow_held_total",
                     "Packets that came before the first view", NULL, &plane->buffer.held_total);
  lc_flow_meter_add (&plane->meter, metrics, "lychee_flow_suspected_total",
                     "Times that an agent left a probe unanswered", NULL,
                     &plane->probes.suspected_total);
  lc_flow_meter_add_drops (&plane->meter, metrics, plane->dropped_total);
}

static LcDcId
lc_balancer_flow__find_dc (const LcBalancerFlow *plane, const LcView *view)
{
  const LcDataCentre *dc = lc_view_dc_by_name (view, plane->desc.settings->data_centre);

  return dc != NULL ? dc->id : 0;
}

/* === public ================================================================================= */

int
lc_balancer_flow_init (LcBalancerFlow *plane, const LcBalancerFlowDesc *desc, LcError *error)
{
  LcDatagramDesc port = { .loop = desc->app->loop,
                          .ipv4 = desc->settings->ipv4,
                          .port = desc->settings->flow_port,
                          .user = plane,
                          .received = lc_balancer_flow__on_datagram,
                          .batch_end = lc_balancer_flow__on_batch_end };
  int r;

  memset (plane, 0, sizeof *plane);
  plane->desc = *desc;
  plane->log.has_request_log = desc->settings->http_port != 0;
  lc_flow_balancer_init (&plane->balancer, 0);
  lc_probe_detector_init (&plane->probes);
  lc_flow_balancer_set_returning (&plane->balancer,
                                  lc_packet_format_is_returning (lc_balancer_flow__format (plane)));
  r = lc_datagram_init (&plane->port, &port, error);
  if (r < 0)
    return r;
  lc_balancer_flow__add_meters (plane);
  lc_timer_init (&plane->timer, desc->app->loop, lc_balancer_flow__on_tick, plane);
  lc_timer_start (&plane->timer, LC_BALANCER_FLOW_TICK_MS);
  return LC_OK;
}

void
lc_balancer_flow_finish (LcBalancerFlow *plane)
{
  lc_timer_finish (&plane->timer);
  lc_datagram_finish (&plane->port);
  lc_flow_balancer_finish (&plane->balancer);
  lc_packet_buffer_finish (&plane->buffer);
  lc_probe_detector_finish (&plane->probes);
}

void
lc_balancer_flow_handle_view (
    LcBalancerFlow *plane, const LcView *view, const LcViewOp *ops, size_t n_ops, bool is_reset)
{
  (void)ops;
  (void)n_ops;
  (void)is_reset;
  plane->balancer.dc = lc_balancer_flow__find_dc (plane, view);
  lc_flow_balancer_set_view (&plane->balancer, view);
  lc_balancer_flow__steer_buffered (plane);
}

void
lc_balancer_flow_handle_frame (LcBalancerFlow *plane, LcLink *link, const LcFrame *frame)
{
  (void)plane;
  (void)frame;
  lc_link_close (link, "the flow plane accepts UDP only");
}

void
lc_balancer_flow_handle_link_down (LcBalancerFlow *plane, LcLink *link)
{
  (void)plane;
  (void)link;
}

void
lc_balancer_flow_drain (LcBalancerFlow *plane)
{
  plane->is_draining = true;
  plane->drain_until_us =
      lc_clock_now_us () + (int64_t)plane->desc.settings->drain_hold_ms * LC_US_PER_MS;
}

bool
lc_balancer_flow_is_isolated (const LcBalancerFlow *plane)
{
  return plane->is_isolated;
}

bool
lc_balancer_flow_is_idle (const LcBalancerFlow *plane)
{
  int64_t now_us = lc_clock_now_us ();

  return now_us >= plane->drain_until_us &&
         now_us - plane->last_packet_us >= LC_BALANCER_FLOW_QUIET_US;
}
