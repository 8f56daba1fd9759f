#include "lc-flow-wire.h"

#include "core/flow/lc-envelope.h"
#include "proto/lc-flow.pb-c.h"

#include <string.h>

/* === private: entries ======================================================================= */

static void
lc_flow_wire__write_entry (Lc__Wire__FlowEntry *w, const LcFlowEntry *e)
{
  lc__wire__flow_entry__init (w);
  w->source_ipv4 = e->key.source_ipv4;
  w->target_ipv4 = e->key.target_ipv4;
  w->ports = ((uint32_t)e->key.source_port << 16) | e->key.target_port;
  w->protocol = e->key.protocol;
  w->is_end = e->is_end;
  w->is_refused = e->is_refused;
  w->is_unsure = e->is_unsure;
  w->epoch = e->epoch;
  w->backend_id = e->backend_id;
  w->backend_instance = e->backend_instance;
  w->backend_ipv4 = e->backend_ipv4;
  w->backend_port = e->backend_port;
  w->relay_port = e->relay_port;
  w->idle_ms = e->idle_ms;
}

static void
lc_flow_wire__read_entry (LcFlowEntry *e, const Lc__Wire__FlowEntry *w)
{
  e->key.source_ipv4 = w->source_ipv4;
  e->key.target_ipv4 = w->target_ipv4;
  e->key.source_port = (uint16_t)(w->ports >> 16);
  e->key.target_port = (uint16_t)w->ports;
  e->key.protocol = (uint8_t)w->protocol;
  e->is_end = w->is_end;
  e->is_refused = w->is_refused;
  e->is_unsure = w->is_unsure;
  e->epoch = w->epoch;
  e->backend_id = w->backend_id;
  e->backend_instance = w->backend_instance;
  e->backend_ipv4 = w->backend_ipv4;
  e->backend_port = (uint16_t)w->backend_port;
  e->relay_port = (uint16_t)w->relay_port;
  e->idle_ms = w->idle_ms;
}

/* === public ================================================================================= */

size_t
lc_flow_wire_write (const LcFlowMessage *m, uint8_t *out, size_t size)
{
  Lc__Wire__FlowMessage w = LC__WIRE__FLOW_MESSAGE__INIT;
  Lc__Wire__FlowEntry entries[LC_FLOW_BATCH_MAX];
  Lc__Wire__FlowEntry *list[LC_FLOW_BATCH_MAX];

  w.kind = m->kind;
  w.service_id = m->service_id;
  w.endpoint_id = m->load.agent.id;
  w.instance = m->load.agent.instance;
  w.ipv4 = m->load.agent.ipv4;
  w.port = m->load.agent.port;
  w.revision = m->load.revision;
  w.open_flows = m->load.open_flows;
  w.at_work = m->load.at_work;
  w.byte_rate = m->load.byte_rate;
  w.is_accepting = m->load.is_accepting;
  w.looks_bad = m->load.looks_bad;
  w.is_warm = m->load.is_warm;
  w.knowledge = m->load.coverage;
  w.membership = m->membership;
  w.roster = m->roster;
  w.round = m->round;
  w.to_id = m->to.id;
  w.to_instance = m->to.instance;
  w.n_entries = m->n;
  w.entries = list;
  for (uint32_t i = 0; i < m->n; i++)
    {
      lc_flow_wire__write_entry (&entries[i], &m->entries[i]);
      list[i] = &entries[i];
    }
  if (size < LC_ENVELOPE_PREFIX_BYTES + lc__wire__flow_message__get_packed_size (&w))
    return 0;
  lc_envelope_encode_prefix (out, LC_ENVELOPE_MESSAGE);
  return LC_ENVELOPE_PREFIX_BYTES +
         lc__wire__flow_message__pack (&w, out + LC_ENVELOPE_PREFIX_BYTES);
}

static void
lc_flow_wire__read_fields (LcFlowMessage *m, const Lc__Wire__FlowMessage *w)
{
  memset (m, 0, sizeof *m);
  m->kind = (LcFlowMessageKind)w->kind;
  m->service_id = w->service_id;
  m->load.agent = (LcCandidate){ w->endpoint_id, w->ipv4, w->instance, (uint16_t)w->port };
  m->load.revision = w->revision;
  m->load.open_flows = w->open_flows;
  m->load.at_work = w->at_work;
  m->load.byte_rate = w->byte_rate;
  m->load.is_accepting = w->is_accepting;
  m->load.looks_bad = w->looks_bad;
  m->load.is_warm = w->is_warm;
  m->load.coverage = (LcFlowCoverage)w->knowledge;
  m->membership = w->membership;
  m->roster = w->roster;
  m->round = w->round;
  m->to.id = w->to_id;
  m->to.instance = w->to_instance;
  m->n = (uint32_t)w->n_entries;
  for (uint32_t i = 0; i < m->n; i++)
    lc_flow_wire__read_entry (&m->entries[i], w->entries[i]);
}

int
lc_flow_wire_read (LcFlowMessage *m, const uint8_t *bytes, size_t len)
{
  Lc__Wire__FlowMessage *w;
  int r = LC_OK;

  if (lc_envelope_kind (bytes, len) != LC_ENVELOPE_MESSAGE)
    return LC_ERR_CORRUPT;
  w = lc__wire__flow_message__unpack (NULL, len - LC_ENVELOPE_PREFIX_BYTES,
                                      bytes + LC_ENVELOPE_PREFIX_BYTES);
  if (w == NULL)
    return LC_ERR_CORRUPT;
  if (w->n_entries > LC_FLOW_BATCH_MAX)
    r = LC_ERR_FULL;
  else
    lc_flow_wire__read_fields (m, w);
  lc__wire__flow_message__free_unpacked (w, NULL);
  return r;
}
