#include "lc-limit.h"

enum
{
  LC_LIMIT_PER_CALLER = 64,
  LC_LIMIT_PER_SERVICE = 1024,
};

void
lc_limit_init (LcLimit *limit, const LcLimitDesc *desc)
{
  limit->callers = g_hash_table_new (NULL, NULL);
  limit->in_flight = 0;
  lc_limit_set_limits (limit, desc);
}

void
lc_limit_finish (LcLimit *limit)
{
  g_hash_table_destroy (limit->callers);
  limit->callers = NULL;
}

void
lc_limit_set_limits (LcLimit *limit, const LcLimitDesc *desc)
{
  limit->desc = *desc;
  if (limit->desc.per_caller == 0)
    limit->desc.per_caller = LC_LIMIT_PER_CALLER;
  if (limit->desc.per_service == 0)
    limit->desc.per_service = LC_LIMIT_PER_SERVICE;
}

LcLimitResult
lc_limit_acquire (LcLimit *limit, uint32_t caller)
{
  gpointer key = GUINT_TO_POINTER (caller);
  uint32_t n = GPOINTER_TO_UINT (g_hash_table_lookup (limit->callers, key));

  if (limit->in_flight >= limit->desc.per_service)
    return LC_LIMIT_SERVICE;
  if (n >= limit->desc.per_caller)
    return LC_LIMIT_CALLER;
  g_hash_table_insert (limit->callers, key, GUINT_TO_POINTER (n + 1));
  limit->in_flight++;
  return LC_LIMIT_OK;
}

void
lc_limit_release (LcLimit *limit, uint32_t caller)
{
  gpointer key = GUINT_TO_POINTER (caller);
  uint32_t n = GPOINTER_TO_UINT (g_hash_table_lookup (limit->callers, key));

  if (n == 0)
    return;
  limit->in_flight--;
  if (n == 1)
    g_hash_table_remove (limit->callers, key);
  else
    g_hash_table_insert (limit->callers, key, GUINT_TO_POINTER (n - 1));
}
