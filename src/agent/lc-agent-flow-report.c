#include "lc-agent-flow-private.h"

#include "core/flow/lc-flow-return.h"

/* === private: counters ====================================================================== */

static void
lc_agent_flow__register_histograms (LcAgentFlow *plane, LcMetrics *metrics)
{
  plane->open_us = lc_metrics_histogram (
      metrics, "lychee_flow_open_us",
      "From a first packet given to the backend server to its acceptance, microseconds", NULL);
  plane->answer_us = lc_metrics_histogram (
      metrics, "lychee_flow_answer_us",
      "From a request's first packet to that of its answer, microseconds", NULL);
  plane->late_total = lc_metrics_counter (metrics, "lychee_flow_late_total",
                                          "Answers that took longer than late_answer_ms", NULL);
}

static const struct
{
  const char *label; /* of the counter */
  const char *why;   /* in the log */
} LC_AGENT_FLOW_RELEASES[LC_N_FLOW_RELEASES] = {
  [LC_FLOW_RELEASE_IDLE] = { "reason=\"idle\"", "idle or ended" },
  [LC_FLOW_RELEASE_RETURNED] = { "reason=\"returned\"", "the backend server returned a packet" },
  [LC_FLOW_RELEASE_UNANSWERED] = { "reason=\"unanswered\"",
                                   "the backend server left its first packet unanswered" },
  [LC_FLOW_RELEASE_REFUSED] = { "reason=\"refused\"", "a home refused its registration" },
  [LC_FLOW_RELEASE_CLAIMED] = { "reason=\"claimed\"", "another agent registered a later owner" },
  [LC_FLOW_RELEASE_HANDED_OVER] = { "reason=\"handed-over\"", "another agent took it over" },
  [LC_FLOW_RELEASE_REPLACED] = { "reason=\"replaced\"", "a newer flow of the same caller port" },
};

static void
lc_agent_flow__register_releases (LcAgentFlow *plane, LcMetrics *metrics)
{
  for (int i = 0; i < LC_N_FLOW_RELEASES; i++)
    lc_flow_meter_add (&plane->meter, metrics, "lychee_flow_released_total",
                       "Owned flows that left the table, by reason",
                       LC_AGENT_FLOW_RELEASES[i].label, &plane->agent.counts.released_total[i]);
}

/* Counters of the admission queue and of ejections (lc-flow-gate, lc-outlier). */
static void
lc_agent_flow__register_gate_metrics (LcAgentFlow *plane, LcMetrics *metrics)
{
  const LcFlowGate *gate = &plane->agent.gate;
  LcFlowMeter *meter = &plane->meter;

  lc_flow_meter_add (meter, metrics, "lychee_flow_waited_total",
                     "Requests that waited beside the backend server", NULL, &gate->waited_total);
  lc_flow_meter_add (meter, metrics, "lychee_flow_given_up_total",
                     "Requests that waited until their callers were gone", NULL,
                     &gate->given_up_total);
  lc_flow_meter_add (meter, metrics, "lychee_flow_overflows_total",
                     "Requests passed because too many waited", NULL, &gate->overflows_total);
  lc_flow_meter_add (meter, metrics, "lychee_flow_probes_total",
                     "Requests passed because none had passed for long", NULL, &gate->probes_total);
  lc_flow_meter_add (meter, metrics, "lychee_flow_doubted_total",
                     "Requests given that showed no answer and count no more", NULL,
                     &gate->unanswered_total);
  lc_flow_meter_add (meter, metrics, "lychee_flow_ejected_total",
                     "Times that the backend server was left out for its failures", NULL,
                     &plane->agent.counts.ejected_total);
  plane->in_flight = lc_metrics_gauge (metrics, "lychee_flow_at_work",
                                       "Requests without an answer, waiting ones included", NULL);
}

void
lc_agent_flow__register_metrics (LcAgentFlow *plane)
{
  LcMetrics *metrics = &plane->desc.app->metrics;
  LcFlowAgentCounts *counts = &plane->agent.counts;
  LcFlowMeter *meter = &plane->meter;

  lc_flow_meter_add (meter, metrics, "lychee_flow_received_total", "Datagrams received", NULL,
                     &plane->port.received_total);
  lc_flow_meter_add (meter, metrics, "lychee_flow_unsent_total", "Datagrams the system refused",
                     NULL, &plane->port.unsent_total);
  lc_flow_meter_add (meter, metrics, "lychee_flow_oversized_total", "Datagrams too long", NULL,
                     &plane->port.oversized_total);
  lc_flow_meter_add (meter, metrics, "lychee_flow_malformed_total", "Datagrams not understood",
                     NULL, &plane->malformed_total);
  lc_flow_meter_add (meter, metrics, "lychee_flow_message_bytes_total",
                     "Bytes of pointers and loads sent to other agents", NULL,
                     &plane->message_bytes_total);
  lc_flow_meter_add (meter, metrics, "lychee_flow_delivered_total", "Packets delivered", NULL,
                     &counts->delivered_total);
  lc_flow_meter_add (meter, metrics, "lychee_flow_forwarded_total", "Packets sent on", NULL,
                     &counts->forwarded_total);
  lc_flow_meter_add (meter, metrics, "lychee_flow_taken_total", "Flows taken", NULL,
                     &counts->accepted_total);
  lc_flow_meter_add (meter, metrics, "lychee_flow_assigned_total", "Flows assigned", NULL,
                     &counts->assigned_total);
  lc_flow_meter_add (meter, metrics, "lychee_flow_passed_total", "Flows assigned to others", NULL,
                     &counts->assigned_away_total);
  lc_flow_meter_add (meter, metrics, "lychee_flow_refused_total", "New flows refused", NULL,
                     &counts->refused_total);
  lc_flow_meter_add (meter, metrics, "lychee_flow_conflicts_total", "Flows given up to another",
                     NULL, &counts->conflicts_total);
  lc_flow_meter_add (meter, metrics, "lychee_flow_adopted_total", "Flows taken over", NULL,
                     &counts->adopted_total);
  lc_flow_meter_add (meter, metrics, "lychee_flow_returned_total",
                     "Packets that the backend server returned", NULL, &counts->returned_total);
  lc_flow_meter_add (meter, metrics, "lychee_flow_searched_total",
                     "Packets whose owner was searched for", NULL, &counts->searched_total);
  lc_flow_meter_add (meter, metrics, "lychee_flow_other_service_total",
                     "Searches that went on in another service", NULL,
                     &plane->agent.counts.passed_total);
  lc_flow_meter_add (meter, metrics, "lychee_flow_asked_total",
                     "Messages to agents that may know the owners of flows", NULL,
                     &counts->queries_total);
  lc_flow_meter_add_drops (meter, metrics, counts->dropped_total);
  plane->open_flows =
      lc_metrics_gauge (metrics, "lychee_flow_open", "Open flows of the backend server", NULL);
  lc_agent_flow__register_releases (plane, metrics);
  lc_agent_flow__register_gate_metrics (plane, metrics);
  lc_agent_flow__register_histograms (plane, metrics);
}

/* Adds what a total has grown by to the service-level counts. */
static void
lc_agent_flow__add_burn (LcAgentFlow *plane, LcBurnCounter counter, uint64_t total)
{
  uint64_t *added = &plane->burn_added[counter];

  if (total > *added)
    lc_burn_add (&plane->desc.app->burn, plane->desc.settings->service, counter, total - *added);
  *added = MAX (*added, total);
}

/* An adopted flow counts as opened here and as ended at the agent that handed it over. */
void
lc_agent_flow__publish_totals (LcAgentFlow *plane)
{
  const LcFlowAgentCounts *counts = &plane->agent.counts;
  uint64_t opened = counts->accepted_total + counts->adopted_total;
  uint64_t gone = opened - MIN (opened, lc_flow_agent_open_flows (&plane->agent));

  lc_flow_meter_publish (&plane->meter);
  lc_metric_set (plane->open_flows, lc_flow_agent_open_flows (&plane->agent));
  lc_metric_set (plane->in_flight, lc_flow_agent_unanswered_requests (&plane->agent));
  lc_agent_flow__add_burn (plane, LC_BURN_FLOW_OPENED, opened);
  lc_agent_flow__add_burn (plane, LC_BURN_FLOW_ENDED, gone);
  /* A broken flow's owner is gone and can't count it, so its first home does. */
  lc_agent_flow__add_burn (plane, LC_BURN_FLOW_BROKEN,
                           counts->broken_total + counts->conflicts_total);
  lc_agent_flow__add_burn (plane, LC_BURN_FLOW_REFUSED,
                           counts->dropped_total[LC_DROP_LIMIT] +
                               counts->dropped_total[LC_DROP_NO_ENDPOINT]);
}

/* === private: log lines ===================================================================== */

static const char *
lc_agent_flow__mode_name (uint8_t mode)
{
  switch ((LcEnvelopeMode)mode)
    {
    case LC_MODE_WALK:
      return "sent to the next home";
    case LC_MODE_OPEN:
      return "assigned to it";
    case LC_MODE_OWNER:
      return "sent to its known owner";
    case LC_MODE_ASSIGN:
      return "sent there for assignment";
    case LC_MODE_REFUSED:
      return "refused here";
    case LC_MODE_SEARCH:
      return "asked for the owner";
    case LC_MODE_FIND:
      return "sent there for a search";
    }
  return NULL;
}

static const char *
lc_agent_flow__search_cause (LcFlowSearchCause cause)
{
  switch (cause)
    {
    case LC_FLOW_SEARCH_UNKNOWN:
      return "no home has its owner";
    case LC_FLOW_SEARCH_NOT_HERE:
      return "no home has its owner, and it is not in the complete table here";
    case LC_FLOW_SEARCH_RETURNED:
      return "the backend server returned it";
    }
  return NULL;
}

/* Fills the fields that all lines have: age of the view and load. */
static LcFlowLogLine
lc_agent_flow__make_log_line (const LcAgentFlow *plane,
                              LcFlowLogKind kind,
                              const LcFlowKey *key,
                              int64_t now_us)
{
  return (LcFlowLogLine){ .kind = kind,
                          .key = key,
                          .revision = plane->agent.view != NULL ? plane->agent.view->revision : 0,
                          .view_age_us = lc_member_view_age_us (plane->desc.member, now_us),
                          .n_at_work = lc_flow_agent_unanswered_requests (&plane->agent) };
}

void
lc_agent_flow__log_action (LcAgentFlow *plane,
                           const LcFlowAction *action,
                           const LcEnvelope *envelope,
                           const LcPacket *packet,
                           uint32_t n_asked,
                           int64_t now_us)
{
  LcFlowLogLine line =
      lc_agent_flow__make_log_line (plane, LC_FLOW_LOG_DROPPED, &packet->key, now_us);

  line.n_copies = packet->may_open ? packet->n_copies : 0;
  switch (action->kind)
    {
    case LC_FLOW_ACTION_DELIVER:
      if (!lc_packet_is_first (packet) || !action->deliver.is_new)
        return;
      line.kind = LC_FLOW_LOG_ASSIGNED;
      break;
    case LC_FLOW_ACTION_SEND:
      if (!lc_packet_is_first (packet))
        return;
      line.kind = LC_FLOW_LOG_PASSED;
      line.why = lc_agent_flow__mode_name (envelope->mode);
      line.to = (LcSocketAddress){ .ipv4 = action->send.ipv4, .port = action->send.port };
      break;
    case LC_FLOW_ACTION_TRY:
    case LC_FLOW_ACTION_HOLD:
      return;
    case LC_FLOW_ACTION_SEARCH:
      line.kind = LC_FLOW_LOG_SEARCHED;
      line.why = lc_agent_flow__search_cause (action->search.cause);
      line.n_asked = n_asked;
      break;
    case LC_FLOW_ACTION_RESET:
      line.kind = LC_FLOW_LOG_RESET;
      line.why = lc_drop_reason_name (action->reason);
      break;
    case LC_FLOW_ACTION_DROP:
      if (packet->is_returned && packet->mark != LC_FLOW_MARK_NONE && !packet->may_open)
        return; /* another agent's search: that one logs its result */
      line.why = lc_drop_reason_name (action->reason);
      break;
    }
  lc_flow_log (&plane->log, &line, now_us);
}

void
lc_agent_flow__log_returned (LcAgentFlow *plane, const LcPacket *packet, int64_t now_us)
{
  LcFlowLogLine line =
      lc_agent_flow__make_log_line (plane, LC_FLOW_LOG_RETURNED, &packet->key, now_us);

  line.why = packet->may_open ? "the backend server takes no new flow now"
                              : "the backend server does not hold the flow";
  line.n_copies = packet->may_open ? packet->n_copies : 0;
  lc_flow_log (&plane->log, &line, now_us);
}

void
lc_agent_flow__log_released (LcAgentFlow *plane, const LcFlowReleased *released, int64_t now_us)
{
  LcFlowLogLine line =
      lc_agent_flow__make_log_line (plane, LC_FLOW_LOG_RELEASED, &released->key, now_us);

  line.why = LC_AGENT_FLOW_RELEASES[released->reason].why;
  line.to = (LcSocketAddress){ .ipv4 = released->by.ipv4, .port = released->by.port };
  lc_flow_log (&plane->log, &line, now_us);
}

void
lc_agent_flow__log_unowned (LcAgentFlow *plane, const LcPacket *packet, int64_t now_us)
{
  LcFlowLogLine line =
      lc_agent_flow__make_log_line (plane, LC_FLOW_LOG_RESET, &packet->key, now_us);

  line.why = "no backend server holds it";
  lc_flow_log (&plane->log, &line, now_us);
}

void
lc_agent_flow__record_response (LcAgentFlow *plane,
                                const LcPacket *packet,
                                const LcFlowResponse *answer,
                                int64_t now_us)
{
  LcFlowKey key;
  LcFlowLogLine line;

  if (answer->kind == LC_FLOW_RESPONSE_NONE)
    return;
  lc_metric_observe_us (answer->kind == LC_FLOW_RESPONSE_ACCEPT ? plane->open_us : plane->answer_us,
                        answer->elapsed_us);
  if (answer->elapsed_us < (int64_t)plane->desc.settings->late_answer_ms * LC_US_PER_MS)
    return;
  lc_metric_add (plane->late_total, 1);
  key = lc_flow_return_caller_key (packet);
  line = lc_agent_flow__make_log_line (plane, LC_FLOW_LOG_LATE, &key, now_us);
  line.why = answer->kind == LC_FLOW_RESPONSE_ACCEPT ? "accepted late" : "answered late";
  line.after_us = answer->elapsed_us;
  lc_flow_log (&plane->log, &line, now_us);
}
