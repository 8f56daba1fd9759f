#include "lc-claim-store.h"

enum
{
  LC_CLAIM_STORE_MAX = 400000,
};

/* A hold is checked when its entry is due; the entry of a prolonged hold is queued again, so that
 * expiry never scans the whole table. */
typedef struct
{
  LcRequestKey key;
  int64_t expires_us;
} LcClaimExpiry;

static void
lc_claim_store__queue_expiry (LcClaimStore *store, const LcClaimRecord *hold)
{
  LcClaimExpiry *expiry = g_new (LcClaimExpiry, 1);

  *expiry = (LcClaimExpiry){ hold->key, hold->expires_us };
  g_queue_push_tail (&store->expiries, expiry);
}

const char *
lc_claim_result_name (LcClaimResult result)
{
  switch (result)
    {
    case LC_CLAIM_GRANTED:
      return "granted";
    case LC_CLAIM_HELD:
      return "held";
    case LC_CLAIM_STALE:
      return "other-era";
    case LC_CLAIM_NOT_READY:
      return "not-ready";
    case LC_CLAIM_FULL:
      return "full";
    }
  return "no-answer";
}

void
lc_claim_store_init (LcClaimStore *store, const LcClaimStoreDesc *desc)
{
  store->desc = *desc;
  if (store->desc.max_claims == 0)
    store->desc.max_claims = LC_CLAIM_STORE_MAX;
  store->holds = g_hash_table_new_full (lc_request_id_hash, lc_request_id_is_equal, NULL, g_free);
  g_queue_init (&store->expiries);
  store->expired_total = 0;
}

void
lc_claim_store_finish (LcClaimStore *store)
{
  g_hash_table_destroy (store->holds);
  store->holds = NULL;
  g_queue_clear_full (&store->expiries, g_free);
}

static LcClaimRecord *
lc_claim_store__find (const LcClaimStore *store, LcRequestKey key, int64_t now_us)
{
  LcClaimRecord *hold = g_hash_table_lookup (store->holds, &key);

  return hold != NULL && hold->expires_us > now_us ? hold : NULL;
}

static LcClaimRecord *
lc_claim_store__add (LcClaimStore *store, const LcClaimRecord *hold)
{
  LcClaimRecord *owned = g_new (LcClaimRecord, 1);

  *owned = *hold;
  g_hash_table_replace (store->holds, &owned->key, owned);
  lc_claim_store__queue_expiry (store, owned);
  return owned;
}

LcClaimResult
lc_claim_store_claim (LcClaimStore *store,
                      LcRequestKey key,
                      LcMemberRef owner,
                      uint64_t sequence,
                      int64_t keep_us,
                      int64_t now_us,
                      LcClaimRecord *hold)
{
  LcClaimRecord *held = lc_claim_store__find (store, key, now_us);
  LcClaimRecord wanted = { key, owner, sequence, now_us + keep_us };

  if (held == NULL)
    {
      if (g_hash_table_size (store->holds) >= store->desc.max_claims)
        return LC_CLAIM_FULL;
      *hold = *lc_claim_store__add (store, &wanted);
      return LC_CLAIM_GRANTED;
    }
  if (lc_member_ref_equal (held->owner, owner))
    {
      held->sequence = MAX (held->sequence, sequence);
      held->expires_us = MAX (held->expires_us, wanted.expires_us);
      *hold = *held;
      return LC_CLAIM_GRANTED;
    }
  *hold = *held;
  return LC_CLAIM_HELD;
}

bool
lc_claim_store_release (LcClaimStore *store,
                        LcRequestKey key,
                        LcInstance owner_instance,
                        uint64_t sequence)
{
  const LcClaimRecord *held = g_hash_table_lookup (store->holds, &key);

  if (held == NULL || held->owner.instance != owner_instance || held->sequence > sequence)
    return false;
  return g_hash_table_remove (store->holds, &key);
}

/* Two members may hold different owners of one key: of a claim that was not granted by all homes,
 * and of a later one that was.  This home can't tell them apart, so it grants the key to nobody. */
static void
lc_claim_store__contest (LcClaimRecord *held)
{
  held->owner = (LcMemberRef){ 0 };
  held->sequence = UINT64_MAX;
}

void
lc_claim_store_merge (LcClaimStore *store, const LcClaimRecord *hold)
{
  LcClaimRecord *held = g_hash_table_lookup (store->holds, &hold->key);

  if (held == NULL)
    {
      (void)lc_claim_store__add (store, hold);
      return;
    }
  held->expires_us = MAX (held->expires_us, hold->expires_us);
  if (lc_member_ref_equal (held->owner, hold->owner))
    held->sequence = MAX (held->sequence, hold->sequence);
  else
    lc_claim_store__contest (held);
}

void
lc_claim_store_replace (LcClaimStore *store, const LcClaimRecord *hold)
{
  if (hold->expires_us == 0)
    g_hash_table_remove (store->holds, &hold->key);
  else
    (void)lc_claim_store__add (store, hold);
}

const LcClaimRecord *
lc_claim_store_find (const LcClaimStore *store, LcRequestKey key, int64_t now_us)
{
  return lc_claim_store__find (store, key, now_us);
}

uint32_t
lc_claim_store_expire (LcClaimStore *store, int64_t now_us)
{
  const LcClaimExpiry *first;
  uint32_t n = 0;

  while ((first = g_queue_peek_head (&store->expiries)) != NULL && first->expires_us <= now_us)
    {
      LcClaimExpiry *expiry = g_queue_pop_head (&store->expiries);
      const LcClaimRecord *hold = g_hash_table_lookup (store->holds, &expiry->key);

      if (hold != NULL && hold->expires_us > now_us)
        lc_claim_store__queue_expiry (store, hold);
      else if (hold != NULL)
        {
          g_hash_table_remove (store->holds, &expiry->key);
          n++;
        }
      g_free (expiry);
    }
  store->expired_total += n;
  return n;
}

uint32_t
lc_claim_store_size (const LcClaimStore *store)
{
  return g_hash_table_size (store->holds);
}
