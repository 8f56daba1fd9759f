#include "lc-control-private.h"

#include <string.h>

/* === private: what is wanted ================================================================ */

static LcServiceId
lc_control__want_service (LcControlState *state, LcRevision revision, const LcDeclaredService *w)
{
  const LcService *known = lc_view_service_by_name (&state->view, w->name);
  LcViewOp op = { .kind = LC_VIEW_SERVICE };

  if (known != NULL && known->request_timeout_ms == w->request_timeout_ms &&
      known->objective_latency_ms == w->objective_latency_ms &&
      known->cold_rate_mrps == w->cold_rate_mrps && known->returns_packets == w->returns_packets)
    return known->id;
  if (known != NULL)
    {
      op.service = *known;
      /* Only the settings travel in the operation: the lists belong to the view. */
      op.service.endpoints = NULL;
      op.service.n_endpoints = 0;
      op.service.former = NULL;
      op.service.n_former = 0;
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
  lc_control__emit (state, revision, &op);
  return op.service.id;
}

/* Agents know of addresses with homes alone (lc-scope.h): that one has them no more, or leads to
 * another service, is told by the homes that it had. */
static void
lc_control__take_homes (LcControlState *state, LcRevision revision, const LcAddress *known)
{
  LcViewOp op = { .kind = LC_VIEW_ADDRESS_REMOVED };

  if (known == NULL || known->homes[0] == '\0')
    return;
  op.address = *known;
  lc_control__emit (state, revision, &op);
}

static void
lc_control__want_address (LcControlState *state,
                          LcRevision revision,
                          const LcDeclaredAddress *w,
                          LcServiceId service_id,
                          GHashTable *wanted)
{
  const LcAddress *known =
      lc_view_address (&state->view, w->ipv4, w->port, (LcProtocol)w->protocol);
  LcViewOp op = { .kind = LC_VIEW_ADDRESS };

  if (known == NULL || known->service_id != service_id || strcmp (known->homes, w->homes) != 0)
    {
      lc_control__take_homes (state, revision, known);
      op.address.ipv4 = w->ipv4;
      op.address.port = w->port;
      op.address.protocol = w->protocol;
      op.address.service_id = service_id;
      (void)g_strlcpy (op.address.homes, w->homes, sizeof op.address.homes);
      lc_control__emit (state, revision, &op);
      known = lc_view_address (&state->view, w->ipv4, w->port, (LcProtocol)w->protocol);
    }
  (void)g_hash_table_add (wanted, (gpointer)known);
}

/* === private: what is not wanted any more =================================================== */

/* In the same order on every replica: a hash table has none. */
static void
lc_control__drop_addresses (LcControlState *state, LcRevision revision, GHashTable *wanted)
{
  GArray *unwanted = g_array_new (FALSE, FALSE, sizeof (LcAddress));
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, state->view.addresses);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (!g_hash_table_contains (wanted, value))
      g_array_append_vals (unwanted, value, 1);
  g_array_sort (unwanted, lc_control__compare_addresses);
  for (guint i = 0; i < unwanted->len; i++)
    {
      LcViewOp op = { .kind = LC_VIEW_ADDRESS_REMOVED };

      op.address = g_array_index (unwanted, LcAddress, i);
      lc_control__emit (state, revision, &op);
    }
  g_array_unref (unwanted);
}

/* === shared ================================================================================= */

/* A service that is declared no more keeps its endpoints and the flows that they have; without an
 * address it gets no new ones. */
bool
lc_control__declare_numbered (LcControlState *state,
                              LcRevision revision,
                              const LcNumberedDeclaration *n)
{
  GHashTable *wanted;

  if (n->number <= state->numbered.number)
    return false;
  wanted = g_hash_table_new (NULL, NULL);
  for (uint32_t i = 0; i < n->declaration.n_services; i++)
    {
      const LcDeclaredService *w = &n->declaration.services[i];
      LcServiceId id = lc_control__want_service (state, revision, w);

      for (uint32_t k = 0; k < w->n_addresses; k++)
        lc_control__want_address (state, revision, &w->addresses[k], id, wanted);
    }
  lc_control__drop_addresses (state, revision, wanted);
  g_hash_table_destroy (wanted);
  lc_control__keep_document (state, n->number, n->document, revision);
  return true;
}

void
lc_control__keep_document (LcControlState *state,
                           uint64_t number,
                           GBytes *document,
                           LcRevision revision)
{
  g_clear_pointer (&state->numbered.document, g_bytes_unref);
  state->numbered.number = number;
  state->numbered.document = document != NULL ? g_bytes_ref (document) : NULL;
  state->numbered.revision = revision;
}
