/* One flow's packets and messages in lc-flow-world, a line each: for finding causes by hand. */
#include "lc-flow-world-private.h"

static const char *const LC_WORLD_KINDS[] = { "nothing", "owned", "pointer", "pending" };
static const char *const LC_WORLD_MODES[] = { "?",    "walk",    "assign", "owner",
                                              "open", "refused", "search", "find" };

static const char *
lc_world__action_name (const LcFlowAction *action)
{
  switch (action->kind)
    {
    case LC_FLOW_ACTION_DELIVER:
      return "deliver";
    case LC_FLOW_ACTION_SEND:
      return "send";
    default:
      return "drop";
    }
}

LcWorldSeen
lc_world_seen (const LcWorldAgent *a, const LcFlowKey *key)
{
  const LcFlow *f = lc_flow_table_find (&a->agent.table, key, lc_flow_key_hash (key));
  LcWorldSeen seen = { 0 };

  if (f == NULL)
    return seen;
  seen.kind = (LcFlowKind)f->kind;
  seen.other = f->endpoint_id;
  seen.instance = f->instance;
  seen.epoch = f->epoch;
  seen.flags = f->flags;
  return seen;
}

static void
lc_world__print_seen (const LcWorldSeen *s)
{
  g_print ("%s(%u#%" G_GUINT64_FORMAT " epoch %u flags %x)", LC_WORLD_KINDS[s->kind], s->other,
           (guint64)s->instance, s->epoch, s->flags);
}

static void
lc_world__print_who (const LcFlowWorld *w, const LcWorldAgent *a)
{
  g_print ("%8.3f  %u#%" G_GUINT64_FORMAT " r%" G_GUINT64_FORMAT "  ", (double)w->now_us / 1e6,
           a->id, (guint64)a->instance, (guint64)a->view.revision);
}

void
lc_world_trace_packet (const LcFlowWorld *w,
                       const LcWorldAgent *a,
                       const LcEnvelope *came,
                       const LcWorldDatagram *d,
                       const LcWorldSeen *before,
                       const LcFlowAction *action)
{
  LcWorldSeen after = lc_world_seen (a, &d->packet.key);

  lc_world__print_who (w, a);
  g_print ("packet %u %s to %u#%" G_GUINT64_FORMAT " hop %u of %u, assigner %u, r%" G_GUINT64_FORMAT
           ", stray %u: ",
           d->index, LC_WORLD_MODES[came->mode], came->target_id, (guint64)came->target_instance,
           came->hop, came->n, came->n > 0 ? came->candidates[came->assigner].id : 0,
           (guint64)came->revision, came->stray_id);
  lc_world__print_seen (before);
  g_print (" -> ");
  lc_world__print_seen (&after);
  g_print (", %s", lc_world__action_name (action));
  if (action->kind == LC_FLOW_ACTION_SEND)
    g_print (" %s to %u#%" G_GUINT64_FORMAT, LC_WORLD_MODES[d->envelope.mode],
             d->envelope.target_id, (guint64)d->envelope.target_instance);
  else if (action->kind != LC_FLOW_ACTION_DELIVER)
    g_print (" %s", lc_drop_reason_name (action->reason));
  g_print ("\n");
}

void
lc_world_trace_message (const LcFlowWorld *w,
                        const LcWorldAgent *a,
                        const LcFlowMessage *m,
                        const LcFlowKey *key,
                        const LcWorldSeen *before)
{
  LcWorldSeen after = lc_world_seen (a, key);

  for (uint32_t i = 0; i < m->n; i++)
    if (lc_flow_key_equal (&m->entries[i].key, key))
      {
        lc_world__print_who (w, a);
        g_print ("message %d from %u#%" G_GUINT64_FORMAT " epoch %u refused %d end %d: ", m->kind,
                 m->load.agent.id, (guint64)m->load.agent.instance, m->entries[i].epoch,
                 m->entries[i].is_refused, m->entries[i].is_end);
        lc_world__print_seen (before);
        g_print (" -> ");
        lc_world__print_seen (&after);
        g_print ("\n");
      }
}
