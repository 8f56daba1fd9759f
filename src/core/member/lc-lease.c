#include "lc-lease.h"

#include <string.h>

enum
{
  LC_LEASE_MAX = 65536,
};

/* === private: the list in order of expiry =================================================== */

static bool
lc_lease__is_listed (const LcLeaseTable *table, const LcLease *lease)
{
  return lease->previous != NULL || lease->next != NULL || table->first == lease;
}

static void
lc_lease__unlist (LcLeaseTable *table, LcLease *lease)
{
  if (!lc_lease__is_listed (table, lease))
    return;
  if (lease->previous != NULL)
    lease->previous->next = lease->next;
  else
    table->first = lease->next;
  if (lease->next != NULL)
    lease->next->previous = lease->previous;
  else
    table->last = lease->previous;
  lease->previous = NULL;
  lease->next = NULL;
  table->n_listed--;
}

static void
lc_lease__append (LcLeaseTable *table, LcLease *lease)
{
  lease->previous = table->last;
  lease->next = NULL;
  if (table->last != NULL)
    table->last->next = lease;
  else
    table->first = lease;
  table->last = lease;
  table->n_listed++;
}

/* === public: members ======================================================================== */

bool
lc_member_change_is_balancer (const LcMemberChange *change)
{
  return change->kind >= LC_MEMBER_BALANCER_ANNOUNCED && change->kind <= LC_MEMBER_BALANCER_LOST;
}

const char *
lc_member_change_name (const LcMemberChange *change)
{
  return lc_member_change_is_balancer (change) ? change->balancer.name : change->endpoint.name;
}

const char *
lc_member_change_kind_name (LcMemberChangeKind kind)
{
  switch (kind)
    {
    case LC_MEMBER_ENDPOINT_ANNOUNCED:
      return "endpoint-announced";
    case LC_MEMBER_ENDPOINT_RAMPED:
      return "endpoint-ramped";
    case LC_MEMBER_ENDPOINT_LEAVING:
      return "endpoint-leaving";
    case LC_MEMBER_ENDPOINT_GONE:
      return "endpoint-gone";
    case LC_MEMBER_ENDPOINT_LOST:
      return "endpoint-lost";
    case LC_MEMBER_BALANCER_ANNOUNCED:
      return "balancer-announced";
    case LC_MEMBER_BALANCER_LEAVING:
      return "balancer-leaving";
    case LC_MEMBER_BALANCER_GONE:
      return "balancer-gone";
    case LC_MEMBER_BALANCER_LOST:
      return "balancer-lost";
    case LC_MEMBER_SETTLED:
      return "settled";
    }
  return "unknown";
}

LcInstance
lc_member_change_instance (const LcMemberChange *change)
{
  return lc_member_change_is_balancer (change) ? change->balancer.instance
                                               : change->endpoint.instance;
}

/* === public: the table ====================================================================== */

void
lc_lease_table_init (LcLeaseTable *table, int64_t lease_us)
{
  memset (table, 0, sizeof *table);
  table->by_name = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  table->lease_us = lease_us;
  table->max_leases = LC_LEASE_MAX;
}

void
lc_lease_table_finish (LcLeaseTable *table)
{
  if (table->by_name != NULL)
    g_hash_table_destroy (table->by_name);
  memset (table, 0, sizeof *table);
}

/* A name may move to a member of the other kind; the lease of the former one is removed. */
static LcLease *
lc_lease__find_same_kind (LcLeaseTable *table, const LcMemberChange *announced)
{
  LcLease *lease = lc_lease_find (table, lc_member_change_name (announced));

  if (lease == NULL || lease->member.kind == announced->kind)
    return lease;
  lc_lease_remove (table, lease);
  return NULL;
}

static LcLease *
lc_lease__new (LcLeaseTable *table, const LcMemberChange *announced)
{
  LcLease *lease;

  if (g_hash_table_size (table->by_name) >= table->max_leases)
    return NULL;
  lease = g_new0 (LcLease, 1);
  lease->member = *announced;
  lc_fold_init (&lease->fold);
  g_hash_table_insert (table->by_name, (gpointer)lc_member_change_name (&lease->member), lease);
  return lease;
}

LcLease *
lc_lease_put (LcLeaseTable *table, const LcMemberChange *announced, int64_t now_us)
{
  LcLease *lease = lc_lease__find_same_kind (table, announced);

  if (lease == NULL)
    lease = lc_lease__new (table, announced);
  if (lease == NULL)
    return NULL;
  if (lc_member_change_instance (&lease->member) != lc_member_change_instance (announced))
    {
      lease->phase = LC_MEMBER_PHASE_LIVE;
      lease->is_ramped = false;
      lease->reported = 0;
      lc_fold_init (&lease->fold);
    }
  lease->member = *announced; /* keeps the key valid: it points at the name in these bytes */
  lease->is_seeded = false;
  lc_lease_renew (table, lease, now_us);
  return lease;
}

LcLease *
lc_lease_find (const LcLeaseTable *table, const char *name)
{
  return g_hash_table_lookup (table->by_name, name);
}

void
lc_lease_renew (LcLeaseTable *table, LcLease *lease, int64_t now_us)
{
  lc_lease__unlist (table, lease);
  lease->state = LC_LEASE_HELD;
  lease->expires_us = now_us + table->lease_us;
  lc_lease__append (table, lease);
}

LcLease *
lc_lease_next_expired (LcLeaseTable *table, int64_t now_us)
{
  LcLease *lease = table->first;

  if (lease == NULL || lease->expires_us > now_us)
    return NULL;
  lc_lease__unlist (table, lease);
  return lease;
}

void
lc_lease_remove (LcLeaseTable *table, LcLease *lease)
{
  lc_lease__unlist (table, lease);
  g_hash_table_remove (table->by_name, lc_member_change_name (&lease->member));
}

uint32_t
lc_lease_count (const LcLeaseTable *table)
{
  return g_hash_table_size (table->by_name);
}
