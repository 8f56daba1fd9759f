#include "lc-control-private.h"

#include <string.h>

/* === private: services and addresses ======================================================== */

/* A flow that is idle since before the change keeps the longer timeout: processes that start later
 * find it with the service. */
static void
lc_control__set_idle_timeout (LcService *s, uint32_t timeout_ms, LcRevision revision)
{
  uint32_t before_ms = lc_service_longest_idle_ms (s);

  if (s->idle_timeout_ms == timeout_ms)
    return;
  s->idle_timeout_ms = timeout_ms;
  s->former_idle_timeout_ms = before_ms > timeout_ms ? before_ms : 0;
  s->idle_revision = revision;
}

static LcServiceId
lc_control__upsert_service (LcControlState *state, LcRevision revision, const LcDeclaredService *w)
{
  const LcService *known = lc_view_service_by_name (&state->view, w->name);
  LcViewOp op = { .kind = LC_VIEW_SERVICE };

  if (known != NULL && known->request_timeout_ms == w->request_timeout_ms &&
      known->objective_latency_ms == w->objective_latency_ms &&
      known->cold_rate_mrps == w->cold_rate_mrps && known->returns_packets == w->returns_packets &&
      known->idle_timeout_ms == w->idle_timeout_ms)
    return known->id;
  if (known != NULL)
    {
      op.service = *known;
      lc_control__detach_members (&op.service);
    }
  else
    {
      op.service.id = state->next_service_id++;
      (void)g_strlcpy (op.service.name, w->name, sizeof op.service.name);
    }
  op.service.request_timeout_ms = w->request_timeout_ms;
  op.service.objective_latency_ms = w->objective_latency_ms;
  op.service.cold_rate_mrps = w->cold_rate_mrps;
  op.service.returns_packets = w->returns_packets;
  lc_control__set_idle_timeout (&op.service, w->idle_timeout_ms, revision);
  lc_control__emit (state, revision, &op);
  return op.service.id;
}

/* Removes an address that has homes before it is changed: agents only hold addresses with homes in
 * their scope (lc-scope.h), and the removal, which carries the old homes, reaches those agents. */
static void
lc_control__remove_with_homes (LcControlState *state, LcRevision revision, const LcAddress *known)
{
  LcViewOp op = { .kind = LC_VIEW_ADDRESS_REMOVED };

  if (known == NULL || known->homes[0] == '\0')
    return;
  op.address = *known;
  lc_control__emit (state, revision, &op);
}

static void
lc_control__upsert_address (LcControlState *state,
                            LcRevision revision,
                            const LcDeclaredAddress *w,
                            LcServiceId service_id,
                            GHashTable *declared)
{
  const LcAddress *known =
      lc_view_address (&state->view, w->ipv4, w->port, (LcProtocol)w->protocol);
  LcViewOp op = { .kind = LC_VIEW_ADDRESS };

  if (known == NULL || known->service_id != service_id || strcmp (known->homes, w->homes) != 0)
    {
      if (known != NULL)
        op.address = *known;
      else
        {
          op.address.ipv4 = w->ipv4;
          op.address.port = w->port;
          op.address.protocol = w->protocol;
          op.address.service_id = service_id;
        }
      lc_control__remove_with_homes (state, revision, known);
      lc_address_move (&op.address, service_id, revision);
      memset (op.address.homes, 0, sizeof op.address.homes);
      (void)g_strlcpy (op.address.homes, w->homes, sizeof op.address.homes);
      lc_control__emit (state, revision, &op);
      known = lc_view_address (&state->view, w->ipv4, w->port, (LcProtocol)w->protocol);
    }
  (void)g_hash_table_add (declared, (gpointer)known);
}

/* === private: addresses that are no longer declared ========================================= */

/* Sorted, since the order of a hash table differs between replicas. */
static void
lc_control__remove_undeclared (LcControlState *state, LcRevision revision, GHashTable *declared)
{
  GArray *removed = g_array_new (FALSE, FALSE, sizeof (LcAddress));
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, state->view.addresses);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (!g_hash_table_contains (declared, value))
      g_array_append_vals (removed, value, 1);
  g_array_sort (removed, lc_control__compare_addresses);
  for (guint i = 0; i < removed->len; i++)
    {
      LcViewOp op = { .kind = LC_VIEW_ADDRESS_REMOVED };

      op.address = g_array_index (removed, LcAddress, i);
      lc_control__emit (state, revision, &op);
    }
  g_array_unref (removed);
}

/* === shared ================================================================================= */

/* A service that is no longer declared loses its addresses, so it gets no new flows, but keeps its
 * endpoints and their flows. */
bool
lc_control__declare_numbered (LcControlState *state,
                              LcRevision revision,
                              const LcNumberedDeclaration *n)
{
  GHashTable *declared;

  if (n->number <= state->numbered.number)
    return false;
  declared = g_hash_table_new (NULL, NULL);
  for (uint32_t i = 0; i < n->declaration.n_services; i++)
    {
      const LcDeclaredService *w = &n->declaration.services[i];
      LcServiceId id = lc_control__upsert_service (state, revision, w);

      for (uint32_t k = 0; k < w->n_addresses; k++)
        lc_control__upsert_address (state, revision, &w->addresses[k], id, declared);
    }
  lc_control__remove_undeclared (state, revision, declared);
  g_hash_table_destroy (declared);
  lc_control__store_document (state, n->number, n->document, revision);
  return true;
}

void
lc_control__store_document (LcControlState *state,
                            uint64_t number,
                            GBytes *document,
                            LcRevision revision)
{
  g_clear_pointer (&state->numbered.document, g_bytes_unref);
  state->numbered.number = number;
  state->numbered.document = document != NULL ? g_bytes_ref (document) : NULL;
  state->numbered.revision = revision;
}
