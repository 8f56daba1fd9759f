#include "lc-claim-acquire.h"

#include <string.h>

enum
{
  LC_CLAIM_ACQUIRE_BACKOFF_US = 5000,
  LC_CLAIM_ACQUIRE_MAX_DOUBLINGS = 4,
};

void
lc_claim_acquire_start (LcClaimAcquire *claim,
                        LcRequestKey key,
                        LcMemberRef owner,
                        uint64_t sequence,
                        LcRevision era,
                        const LcMemberRef *members,
                        uint32_t n_members)
{
  uint8_t rounds = claim->rounds;

  memset (claim, 0, sizeof *claim);
  claim->key = key;
  claim->owner = owner;
  claim->sequence = sequence;
  claim->era = era;
  claim->rounds = rounds < UINT8_MAX ? (uint8_t)(rounds + 1) : rounds;
  claim->n_homes = (uint8_t)lc_claim_homes (key, members, n_members, claim->homes);
}

uint32_t
lc_claim_acquire_next_homes (LcClaimAcquire *claim, LcMemberRef out[LC_CLAIM_HOMES])
{
  uint32_t last = (claim->granted & 1) != 0 ? claim->n_homes : MIN (claim->n_homes, 1);
  uint32_t n = 0;

  for (uint32_t i = 0; i < last; i++)
    if ((claim->asked & (1U << i)) == 0)
      {
        claim->asked |= (uint8_t)(1U << i);
        out[n++] = claim->homes[i];
      }
  return n;
}

static LcClaimAcquireState
lc_claim_acquire__record_grant (LcClaimAcquire *claim, LcMemberRef home)
{
  for (uint32_t i = 0; i < claim->n_homes; i++)
    if (lc_member_ref_equal (claim->homes[i], home) && (claim->asked & (1U << i)) != 0)
      claim->granted |= (uint8_t)(1U << i);
  if (claim->n_homes > 0 && claim->granted == (1U << claim->n_homes) - 1)
    return LC_CLAIM_ACQUIRE_CONFIRMED;
  return LC_CLAIM_ACQUIRE_PENDING;
}

LcClaimAcquireState
lc_claim_acquire_handle_reply (LcClaimAcquire *claim,
                               LcMemberRef home,
                               uint64_t sequence,
                               LcRevision era,
                               LcClaimResult result)
{
  if (sequence != claim->sequence || era != claim->era)
    return LC_CLAIM_ACQUIRE_PENDING;
  switch (result)
    {
    case LC_CLAIM_GRANTED:
      return lc_claim_acquire__record_grant (claim, home);
    case LC_CLAIM_HELD:
      return LC_CLAIM_ACQUIRE_HELD;
    case LC_CLAIM_STALE:
    case LC_CLAIM_NOT_READY:
    case LC_CLAIM_FULL:
      return LC_CLAIM_ACQUIRE_RETRY;
    }
  return LC_CLAIM_ACQUIRE_PENDING;
}

int64_t
lc_claim_acquire_backoff_us (const LcClaimAcquire *claim)
{
  uint32_t doublings = claim->rounds > 0 ? claim->rounds - 1U : 0;

  return (int64_t)LC_CLAIM_ACQUIRE_BACKOFF_US << MIN (doublings, LC_CLAIM_ACQUIRE_MAX_DOUBLINGS);
}
