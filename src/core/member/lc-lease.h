/* lc-lease: the table of leases that a watcher holds.
 *
 * WHAT IT IS
 *   One entry a member (an agent's endpoint or a balancer), by name.  Every lease lasts equally
 *   long, so a renewal moves the entry to the end of a list that stays ordered by expiry: renewing,
 *   finding and expiring are O(1) an entry, whatever the table holds.
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
 *   lc_lease_put refuses more than max_leases entries (0: 65 536) by returning NULL.
 */
#ifndef LC_LEASE_H
#define LC_LEASE_H

#include "lc-ack-fold.h"
#include "lc-member-change.h"

#ifdef __cplusplus
extern "C"
{
#endif

  /* What a member says of itself; sent between processes. */
  typedef enum
  {
    LC_MEMBER_PHASE_LIVE = 0,
    LC_MEMBER_PHASE_LEAVING = 1, /* a planned stop began */
    LC_MEMBER_PHASE_GONE = 2,    /* a planned stop is complete */
    LC_MEMBER_PHASE_MOVED = 3,   /* renews with another watcher from now on */
  } LcMemberPhase;

  typedef enum
  {
    LC_LEASE_HELD = 0,
    LC_LEASE_SUSPECT = 1, /* expired; other watchers are asked */
    LC_LEASE_LOST = 2,    /* expired, and nobody else holds it */
  } LcLeaseState;

  typedef struct LcLease LcLease;
  struct LcLease
  {
    LcMemberChange member; /* as announced; kind is ..._ANNOUNCED */
    uint8_t phase;         /* LcMemberPhase */
    uint8_t state;         /* LcLeaseState */
    bool is_ramped;
    bool is_seeded; /* taken from the view: the member itself hasn't spoken here yet */
    LcFold fold;    /* its own and its subtree's acknowledgements */
    int64_t expires_us;
    int64_t suspect_until_us;
    LcMemberChangeKind reported; /* last transition sent; 0: none */
    int64_t reported_us;
    uint32_t n_reports; /* of that transition */
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
    uint32_t n_listed; /* on the list, that is not expired */
  } LcLeaseTable;

  void lc_lease_table_init (LcLeaseTable *table, int64_t lease_us);
  void lc_lease_table_finish (LcLeaseTable *table);
  /* Takes an announcement and renews.  A new instance starts from nothing. */
  LcLease *lc_lease_put (LcLeaseTable *table, const LcMemberChange *announced, int64_t now_us);
  LcLease *lc_lease_find (const LcLeaseTable *table, const char *name);
  void lc_lease_renew (LcLeaseTable *table, LcLease *lease, int64_t now_us);
  LcLease *lc_lease_next_expired (LcLeaseTable *table, int64_t now_us);
  void lc_lease_remove (LcLeaseTable *table, LcLease *lease);
  uint32_t lc_lease_count (const LcLeaseTable *table);

  /* Whether a change speaks of a balancer; its name and instance. */
  bool lc_member_change_is_balancer (const LcMemberChange *change);
  const char *lc_member_change_name (const LcMemberChange *change);
  LcInstance lc_member_change_instance (const LcMemberChange *change);
  /* "endpoint-lost" and so on, for logs. */
  const char *lc_member_change_kind_name (LcMemberChangeKind kind);

#ifdef __cplusplus
}
#endif

#endif /* LC_LEASE_H */
