#include "lc-numbered.h"

#include <string.h>

void
lc_numbered_finish (LcNumberedDeclaration *n)
{
  LcIntent intent = { .kind = LC_INTENT_APPLY, .declaration = n->declaration };

  lc_intent_finish (&intent);
  g_clear_pointer (&n->document, g_bytes_unref);
  memset (n, 0, sizeof *n);
}

static uint64_t
lc_numbered__address_key (const LcDeclaredAddress *a)
{
  return ((uint64_t)a->ipv4 << 24) | ((uint64_t)a->port << 8) | a->protocol;
}

static int
lc_numbered__check_unique (const LcDeclaration *d, LcError *error)
{
  GHashTable *seen = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  int r = 0;

  for (uint32_t i = 0; i < d->n_services && r == 0; i++)
    for (uint32_t k = 0; k < d->services[i].n_addresses && r == 0; k++)
      {
        uint64_t key = lc_numbered__address_key (&d->services[i].addresses[k]);

        if (!g_hash_table_add (seen, g_memdup2 (&key, sizeof key)))
          r = lc_error_set (error, LC_ERR_INVALID, "give each address to one service",
                            "service %s: address %u belongs to another service, too",
                            d->services[i].name, k + 1);
      }
  g_hash_table_destroy (seen);
  return r;
}

int
lc_numbered_check (const LcNumberedDeclaration *n, LcError *error)
{
  LcIntent intent = { .kind = LC_INTENT_APPLY, .declaration = n->declaration };
  int r;

  if (n->number == 0 || n->document == NULL)
    return lc_error_set (error, LC_ERR_INVALID, "number declarations from 1 up",
                         "the declaration has no number");
  r = lc_intent_check (&intent, error);
  return r < 0 ? r : lc_numbered__check_unique (&n->declaration, error);
}
