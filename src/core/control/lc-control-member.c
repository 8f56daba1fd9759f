#include "lc-control-private.h"

#include <string.h>

/* === private: instances ===================================================================== */

static bool
lc_control__is_retired (const LcInstance *retired, LcInstance instance)
{
  for (int i = 0; i < LC_CONTROL_RETIRED_INSTANCES; i++)
    if (retired[i] == instance)
      return true;
  return false;
}

static void
lc_control__add_retired (LcInstance *retired, LcInstance instance)
{
  memmove (&retired[1], &retired[0], (LC_CONTROL_RETIRED_INSTANCES - 1) * sizeof *retired);
  retired[0] = instance;
}

/* === private: endpoints ===================================================================== */

LcEndpointState
lc_control__endpoint_state (const LcControlState *state, const LcEndpointRecord *record, LcDcId dc)
{
  const LcDataCentre *data_centre = lc_view_dc (&state->view, dc);

  if (record->is_lost)
    return LC_ENDPOINT_LOST;
  if (record->is_drained || record->is_leaving ||
      (data_centre != NULL && data_centre->state == LC_DC_RETIRING))
    return LC_ENDPOINT_DRAINING;
  return record->is_ramped ? LC_ENDPOINT_ACTIVE : LC_ENDPOINT_JOINING;
}

static LcEndpointRecord *
lc_control__endpoint_record (LcControlState *state, const char *name)
{
  LcEndpointRecord *record = g_hash_table_lookup (state->endpoints, name);

  if (record != NULL)
    return record;
  record = g_new0 (LcEndpointRecord, 1);
  (void)g_strlcpy (record->name, name, sizeof record->name);
  record->id = state->next_endpoint_id++;
  record->is_gone = true;
  g_hash_table_insert (state->endpoints, record->name, record);
  return record;
}

static void
lc_control__remove_endpoint (LcControlState *state, LcRevision revision, LcEndpointRecord *record)
{
  LcViewOp op = { .kind = LC_VIEW_ENDPOINT_REMOVED };

  op.endpoint.id = record->id;
  op.endpoint.service_id = record->service_id;
  (void)g_strlcpy (op.endpoint.name, record->name, sizeof op.endpoint.name);
  lc_control__emit (state, revision, &op);
}

static bool
lc_control__same_endpoint (const LcEndpoint *a, const LcEndpoint *b)
{
  return a->service_id == b->service_id && a->instance == b->instance && a->dc == b->dc &&
         a->state == b->state && a->slots == b->slots && a->weight_percent == b->weight_percent &&
         a->peer_port == b->peer_port && a->flow_port == b->flow_port && a->ipv4 == b->ipv4 &&
         a->connection_limit == b->connection_limit;
}

/* Emits the endpoint as announced, or with `announced` NULL as in the view, if its fields or state
 * differ from the view. */
static void
lc_control__put_endpoint (LcControlState *state,
                          LcRevision revision,
                          const LcEndpointRecord *record,
                          const LcEndpoint *announced,
                          LcDcId dc)
{
  const LcEndpoint *known = lc_view_endpoint (&state->view, record->id);
  LcViewOp op = { .kind = LC_VIEW_ENDPOINT };

  if (announced == NULL && known == NULL)
    return;
  op.endpoint = announced != NULL ? *announced : *known;
  op.endpoint.id = record->id;
  op.endpoint.service_id = record->service_id;
  op.endpoint.dc = announced != NULL ? dc : known->dc;
  op.endpoint.state = (uint8_t)lc_control__endpoint_state (state, record, op.endpoint.dc);
  op.endpoint.joined_revision = revision;
  if (known != NULL && known->instance == op.endpoint.instance)
    op.endpoint.joined_revision = known->joined_revision;
  if (known != NULL && lc_control__same_endpoint (known, &op.endpoint))
    state->ignored_total++;
  else
    lc_control__emit (state, revision, &op);
}

/* Copies only the fields that an announcement may set. */
static LcEndpoint
lc_control__announced_fields (const LcEndpoint *from)
{
  LcEndpoint e;

  memset (&e, 0, sizeof e);
  e.instance = from->instance;
  e.slots = from->slots;
  e.weight_percent = from->weight_percent;
  e.peer_port = from->peer_port;
  e.flow_port = from->flow_port;
  e.ipv4 = from->ipv4;
  e.connection_limit = from->connection_limit;
  (void)g_strlcpy (e.name, from->name, sizeof e.name);
  return e;
}

static void
lc_control__begin_instance (LcEndpointRecord *record, LcInstance instance)
{
  if (record->instance != 0 && record->instance != instance)
    lc_control__add_retired (record->retired, record->instance);
  record->instance = instance;
  record->is_leaving = false;
  record->is_ramped = false;
}

static void
lc_control__announce_endpoint (LcControlState *state,
                               LcRevision revision,
                               const LcMemberChange *change)
{
  const LcDataCentre *dc = lc_view_dc_by_name (&state->view, change->data_centre);
  const LcService *service = lc_view_service_by_name (&state->view, change->service);
  LcEndpoint announced = lc_control__announced_fields (&change->endpoint);
  LcEndpointRecord *record;

  if (dc == NULL || service == NULL || announced.name[0] == '\0' || announced.instance == 0)
    {
      state->ignored_total++;
      return;
    }
  record = lc_control__endpoint_record (state, announced.name);
  if (lc_control__is_retired (record->retired, announced.instance))
    {
      state->ignored_total++;
      return;
    }
  if (record->instance != announced.instance)
    lc_control__begin_instance (record, announced.instance);
  if (!record->is_gone && record->service_id != service->id)
    lc_control__remove_endpoint (state, revision, record);
  record->service_id = service->id;
  record->is_lost = false;
  record->is_gone = false;
  lc_control__put_endpoint (state, revision, record, &announced, dc->id);
}

/* All endpoint changes except announcements; the instance must be the current one. */
static void
lc_control__change_endpoint (LcControlState *state,
                             LcRevision revision,
                             const LcMemberChange *change)
{
  LcEndpointRecord *record = g_hash_table_lookup (state->endpoints, change->endpoint.name);

  if (record == NULL || record->is_gone || record->instance != change->endpoint.instance)
    {
      state->ignored_total++;
      return;
    }
  switch (change->kind)
    {
    case LC_MEMBER_ENDPOINT_RAMPED:
      record->is_ramped = true;
      break;
    case LC_MEMBER_ENDPOINT_LEAVING:
      record->is_leaving = true;
      break;
    case LC_MEMBER_ENDPOINT_LOST:
      record->is_lost = true;
      break;
    default: /* LC_MEMBER_ENDPOINT_GONE */
      record->is_gone = true;
      record->is_lost = false;
      lc_control__remove_endpoint (state, revision, record);
      return;
    }
  lc_control__put_endpoint (state, revision, record, NULL, 0);
}

/* === private: balancers ===================================================================== */

/* A balancer's announcement creates its data centre, and sets the region if no declaration has: the
 * balancers need a view before any service is open. */
static LcDcId
lc_control__dc_of_balancer (LcControlState *state,
                            LcRevision revision,
                            const LcMemberChange *change)
{
  const LcDataCentre *dc = lc_view_dc_by_name (&state->view, change->data_centre);
  LcViewOp op = { .kind = LC_VIEW_DC };

  if (dc != NULL && (dc->region[0] != '\0' || change->region[0] == '\0'))
    return dc->id;
  if (dc != NULL)
    op.dc = *dc;
  else
    {
      op.dc.id = (LcDcId)state->next_dc_id++;
      op.dc.state = LC_DC_ACTIVE;
      (void)g_strlcpy (op.dc.name, change->data_centre, sizeof op.dc.name);
    }
  (void)g_strlcpy (op.dc.region, change->region, sizeof op.dc.region);
  lc_control__emit (state, revision, &op);
  return op.dc.id;
}

static LcBalancerRecord *
lc_control__balancer_record (LcControlState *state, const char *name)
{
  LcBalancerRecord *record = g_hash_table_lookup (state->balancers, name);

  if (record != NULL)
    return record;
  record = g_new0 (LcBalancerRecord, 1);
  (void)g_strlcpy (record->name, name, sizeof record->name);
  record->id = state->next_balancer_id++;
  record->is_gone = true;
  g_hash_table_insert (state->balancers, record->name, record);
  return record;
}

static bool
lc_control__same_balancer (const LcBalancer *a, const LcBalancer *b)
{
  return a->instance == b->instance && a->dc == b->dc && a->state == b->state &&
         a->ipv4 == b->ipv4 && a->peer_port == b->peer_port && a->flow_port == b->flow_port &&
         a->link_kbps == b->link_kbps;
}

static void
lc_control__put_balancer (LcControlState *state, LcRevision revision, const LcBalancer *balancer)
{
  const LcBalancer *known = lc_view_balancer (&state->view, balancer->id);
  LcViewOp op = { .kind = LC_VIEW_BALANCER };

  op.balancer = *balancer;
  if (known != NULL && lc_control__same_balancer (known, balancer))
    state->ignored_total++;
  else
    lc_control__emit (state, revision, &op);
}

static void
lc_control__announce_balancer (LcControlState *state,
                               LcRevision revision,
                               const LcMemberChange *change)
{
  const LcBalancer *from = &change->balancer;
  LcBalancerRecord *record;
  LcBalancer b;

  if (from->name[0] == '\0' || from->instance == 0 || change->data_centre[0] == '\0')
    {
      state->ignored_total++;
      return;
    }
  record = lc_control__balancer_record (state, from->name);
  if (lc_control__is_retired (record->retired, from->instance))
    {
      state->ignored_total++;
      return;
    }
  if (record->instance != 0 && record->instance != from->instance)
    lc_control__add_retired (record->retired, record->instance);
  record->instance = from->instance;
  record->is_gone = false;
  memset (&b, 0, sizeof b);
  b.id = record->id;
  b.instance = from->instance;
  b.dc = lc_control__dc_of_balancer (state, revision, change);
  b.state = LC_BALANCER_ACTIVE;
  b.ipv4 = from->ipv4;
  b.peer_port = from->peer_port;
  b.flow_port = from->flow_port;
  b.link_kbps = from->link_kbps;
  (void)g_strlcpy (b.name, from->name, sizeof b.name);
  lc_control__put_balancer (state, revision, &b);
}

static void
lc_control__change_balancer (LcControlState *state,
                             LcRevision revision,
                             const LcMemberChange *change)
{
  LcBalancerRecord *record = g_hash_table_lookup (state->balancers, change->balancer.name);
  const LcBalancer *known = record != NULL ? lc_view_balancer (&state->view, record->id) : NULL;
  LcViewOp removed = { .kind = LC_VIEW_BALANCER_REMOVED };
  LcBalancer b;

  if (known == NULL || record->is_gone || record->instance != change->balancer.instance)
    {
      state->ignored_total++;
      return;
    }
  if (change->kind == LC_MEMBER_BALANCER_GONE)
    {
      record->is_gone = true;
      removed.balancer = *known;
      lc_control__emit (state, revision, &removed);
      return;
    }
  b = *known;
  b.state = change->kind == LC_MEMBER_BALANCER_LOST ? LC_BALANCER_LOST : LC_BALANCER_LEAVING;
  lc_control__put_balancer (state, revision, &b);
}

/* === shared ================================================================================= */

static void
lc_control__settle (LcControlState *state, LcRevision revision, LcRevision settled)
{
  LcViewOp op = { .kind = LC_VIEW_SETTLED, .settled_revision = settled };

  if (settled <= state->view.settled_revision || settled > revision)
    state->ignored_total++;
  else
    lc_control__emit (state, revision, &op);
}

/* Drops the former services of addresses that were last moved at or before `expired`.  Sorted, since
 * the order of a hash table differs between replicas. */
static void
lc_control__expire_moves (LcControlState *state, LcRevision revision, LcRevision expired)
{
  GArray *moved = g_array_new (FALSE, FALSE, sizeof (LcAddress));
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, state->view.addresses);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((LcAddress *)value)->n_former > 0 && ((LcAddress *)value)->moved_revision <= expired)
      g_array_append_vals (moved, value, 1);
  g_array_sort (moved, lc_control__compare_addresses);
  for (guint i = 0; i < moved->len; i++)
    {
      LcViewOp op = { .kind = LC_VIEW_ADDRESS };

      op.address = g_array_index (moved, LcAddress, i);
      lc_address_drop_former (&op.address);
      lc_control__emit (state, revision, &op);
    }
  g_array_unref (moved);
}

/* Drops the former idle timeouts of services that changed theirs at or before `expired`. */
static void
lc_control__expire_idle_timeouts (LcControlState *state, LcRevision revision, LcRevision expired)
{
  GPtrArray *services = lc_control_state_services (state);

  for (guint i = 0; i < services->len; i++)
    {
      const LcService *s = g_ptr_array_index (services, i);
      LcViewOp op = { .kind = LC_VIEW_SERVICE };

      if (s->former_idle_timeout_ms == 0 || s->idle_revision > expired)
        continue;
      op.service = *s;
      lc_control__detach_members (&op.service);
      op.service.former_idle_timeout_ms = 0;
      lc_control__emit (state, revision, &op);
    }
  g_ptr_array_unref (services);
}

void
lc_control__apply_member (LcControlState *state, LcRevision revision, const LcMemberChange *change)
{
  switch (change->kind)
    {
    case LC_MEMBER_ENDPOINT_ANNOUNCED:
      lc_control__announce_endpoint (state, revision, change);
      break;
    case LC_MEMBER_ENDPOINT_RAMPED:
    case LC_MEMBER_ENDPOINT_LEAVING:
    case LC_MEMBER_ENDPOINT_GONE:
    case LC_MEMBER_ENDPOINT_LOST:
      lc_control__change_endpoint (state, revision, change);
      break;
    case LC_MEMBER_BALANCER_ANNOUNCED:
      lc_control__announce_balancer (state, revision, change);
      break;
    case LC_MEMBER_BALANCER_LEAVING:
    case LC_MEMBER_BALANCER_GONE:
    case LC_MEMBER_BALANCER_LOST:
      lc_control__change_balancer (state, revision, change);
      break;
    case LC_MEMBER_SETTLED:
      if (change->settled_revision != 0 || change->expired_revision == 0)
        lc_control__settle (state, revision, change->settled_revision);
      if (change->expired_revision != 0)
        {
          lc_control__expire_moves (state, revision, change->expired_revision);
          lc_control__expire_idle_timeouts (state, revision, change->expired_revision);
        }
      break;
    }
}
