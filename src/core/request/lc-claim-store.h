/* lc-claim-store: the claims that one home has recorded for the owners of keys.
 *
 * WHAT IT IS
 *   A table key -> (owner, sequence, expiry).  The first owner to claim a key holds it until it
 *   releases it or it expires; the same owner (id and instance) may claim it again, and its newest
 *   sequence counts, so that a release or claim that arrives late changes nothing.
 *
 * HOW TO USE IT
 *     lc_claim_store_init (&store, &(LcClaimStoreDesc){ 0 });
 *     r = lc_claim_store_claim (&store, key, owner, sequence, keep_us, now_us, &hold);
 *     lc_claim_store_expire (&store, now_us);             about once a second
 *     lc_claim_store_finish (&store);
 *   lc-claim-sync decides whether this home may grant claims at all.
 *
 * LIMITS
 *   At most desc.max_claims; a full store refuses new claims (LC_CLAIM_FULL) and never drops one
 *   that has not expired.
 */
#ifndef LC_CLAIM_STORE_H
#define LC_CLAIM_STORE_H

#include "lc-request-id.h"

#include <glib.h>

#ifdef __cplusplus
extern "C"
{
#endif

  typedef enum
  {
    LC_CLAIM_GRANTED = 1,
    LC_CLAIM_HELD = 2,      /* by another owner */
    LC_CLAIM_STALE = 3,     /* the claim's era is not this home's present one */
    LC_CLAIM_NOT_READY = 4, /* this home has not yet read the previous homes' claims */
    LC_CLAIM_FULL = 5,
  } LcClaimResult;

  /* A stable name for logs; "no-answer" for 0. */
  const char *lc_claim_result_name (LcClaimResult result);

  typedef struct
  {
    LcRequestKey key;  /* first: `holds` hashes it */
    LcMemberRef owner; /* none: contested */
    uint64_t sequence;
    int64_t expires_us;
  } LcClaimRecord;

  typedef struct
  {
    uint32_t max_claims; /* 0: 400 000 */
  } LcClaimStoreDesc;

  typedef struct
  {
    LcClaimStoreDesc desc;
    GHashTable *holds; /* LcClaimRecord, hashed by its key */
    GQueue expiries;   /* private: a key and an expiry for each hold, roughly by time */
    uint64_t expired_total;
  } LcClaimStore;

  void lc_claim_store_init (LcClaimStore *store, const LcClaimStoreDesc *desc);
  void lc_claim_store_finish (LcClaimStore *store);

  /* Grants the claim, or reports its holder; `hold` is set for GRANTED and HELD. */
  LcClaimResult lc_claim_store_claim (LcClaimStore *store,
                                      LcRequestKey key,
                                      LcMemberRef owner,
                                      uint64_t sequence,
                                      int64_t keep_us,
                                      int64_t now_us,
                                      LcClaimRecord *hold);

  /* Removes the claim if this owner holds it with this sequence or an older one. */
  bool lc_claim_store_release (LcClaimStore *store,
                               LcRequestKey key,
                               LcInstance owner_instance,
                               uint64_t sequence);

  /* Merges another member's record.  When the owners differ, the key is contested: its owner
   * becomes "none" and it is granted to nobody until it expires. */
  void lc_claim_store_merge (LcClaimStore *store, const LcClaimRecord *hold);

  /* Replaces the record of the key; expires_us 0 removes it. */
  void lc_claim_store_replace (LcClaimStore *store, const LcClaimRecord *hold);

  /* NULL when the key is free. */
  const LcClaimRecord *
  lc_claim_store_find (const LcClaimStore *store, LcRequestKey key, int64_t now_us);

  uint32_t lc_claim_store_expire (LcClaimStore *store, int64_t now_us);
  uint32_t lc_claim_store_size (const LcClaimStore *store);

#ifdef __cplusplus
}
#endif

#endif /* LC_CLAIM_STORE_H */
