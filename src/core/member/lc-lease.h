/* lc-lease: the table of leases that a watcher holds.
 *
 * WHAT IT IS
 *   One entry per member (an agent's endpoint or a balancer), by name.  Every lease lasts equally
 *   long, so a renewal moves the entry to the end of a list that stays ordered by expiry: renewing,
 *   finding and expiring an entry is O(1).
 *
 * HOW TO USE IT
 *     lc_lease_table_init (&table, 3 * LC_US_PER_S);
 *     LcLease *lease = lc_lease_put (&table, &announced, now_us);
 *     lc_lease_renew (&table, lease, now_us);
 *     while ((lease = lc_lease_next_expired (&table, now_us)) != NULL)
 *       ... it is off the list: decide, then lc_lease_renew or lc_lease_remove ...
 *     lc_lease_table_finish (&table);
 *
 * LIFETIME
 *   The table owns its entries; a pointer is valid until lc_lease_remove.
 *
 * LIMITS
 *   With max_leases entries (65 536), lc_lease_put returns NULL for a new name.
 */
#ifndef LC_LEASE_H
#define LC_LEASE_H

#include "lc-ack-fold.h"
#include "lc-member-change.h"

#ifdef __cplusplus
extern "C"
{
#endif

  /* The phase that a member reports; sent between processes. */
  typedef enum
  {
    LC_MEMBER_PHASE_LIVE = 0,
    LC_MEMBER_PHASE_LEAVING = 1, /* its planned stop began */
    LC_MEMBER_PHASE_GONE = 2,    /* its planned stop is complete */
    LC_MEMBER_PHASE_MOVED = 3,   /* renews with another watcher from now on */
  } LcMemberPhase;

  typedef enum
  {
    LC_LEASE_HELD = 0,
    LC_LEASE_SUSPECT = 1, /* expired; the other watchers are asked for it */
    LC_LEASE_LOST = 2,    /* expired, and no other watcher holds it */
  } LcLeaseState;

  typedef struct LcLease LcLease;
  struct LcLease
  {
    LcMemberChange member; /* as announced; kind is ..._ANNOUNCED */
    uint8_t phase;         /* LcMemberPhase */
    uint8_t state;         /* LcLeaseState */
    bool is_ramped;
    bool is_seeded; /* copied from the view; the member has not renewed it here yet */
    LcFold fold;    /* acknowledgements of the member and its subtree */
    int64_t expires_us;
    int64_t suspect_until_us;
    LcMemberChangeKind reported; /* transition reported last; 0: none */
    int64_t reported_us;
    uint32_t n_reports; /* times that it was reported in a row */
    LcLease *previous;  /* expiry order */
    LcLease *next;
  };

  typedef struct
  {
    GHashTable *by_name; /* name -> LcLease */
    LcLease *first;      /* expires first */
    LcLease *last;
    int64_t lease_us;
    uint32_t max_leases;
    uint32_t n_listed; /* on the list: not expired */
  } LcLeaseTable;

  void lc_lease_table_init (LcLeaseTable *table, int64_t lease_us);
  void lc_lease_table_finish (LcLeaseTable *table);
  /* Stores an announcement and renews its lease.  A new instance resets the lease. */
  LcLease *lc_lease_put (LcLeaseTable *table, const LcMemberChange *announced, int64_t now_us);
  LcLease *lc_lease_find (const LcLeaseTable *table, const char *name);
  void lc_lease_renew (LcLeaseTable *table, LcLease *lease, int64_t now_us);
  LcLease *lc_lease_next_expired (LcLeaseTable *table, int64_t now_us);
  void lc_lease_remove (LcLeaseTable *table, LcLease *lease);
  uint32_t lc_lease_count (const LcLeaseTable *table);

  /* Whether a change is about a balancer; the name and instance of its member. */
  bool lc_member_change_is_balancer (const LcMemberChange *change);
  const char *lc_member_change_name (const LcMemberChange *change);
  LcInstance lc_member_change_instance (const LcMemberChange *change);
  /* For logs, for example "endpoint-lost". */
  const char *lc_member_change_kind_name (LcMemberChangeKind kind);

#ifdef __cplusplus
}
#endif

#endif /* LC_LEASE_H */
