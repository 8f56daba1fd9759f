#include "lc-claim-homes.h"

#include <xxhash.h>

static uint64_t
lc_claim_homes__score_member (LcRequestKey key, LcEndpointId id)
{
  return XXH3_64bits_withSeed (&id, sizeof id, key.hi ^ key.lo);
}

uint32_t
lc_claim_homes (LcRequestKey key,
                const LcMemberRef *members,
                uint32_t n_members,
                LcMemberRef out[LC_CLAIM_HOMES])
{
  uint64_t scores[LC_CLAIM_HOMES];
  uint32_t n = 0;

  for (uint32_t i = 0; i < n_members; i++)
    {
      uint64_t score = lc_claim_homes__score_member (key, members[i].id);
      uint32_t at = n;

      while (at > 0 && scores[at - 1] < score)
        at--;
      if (at == LC_CLAIM_HOMES)
        continue;
      if (n < LC_CLAIM_HOMES)
        n++;
      for (uint32_t k = n - 1; k > at; k--)
        {
          out[k] = out[k - 1];
          scores[k] = scores[k - 1];
        }
      out[at] = members[i];
      scores[at] = score;
    }
  return n;
}

bool
lc_claim_is_home (LcRequestKey key,
                  const LcMemberRef *members,
                  uint32_t n_members,
                  LcMemberRef member)
{
  LcMemberRef homes[LC_CLAIM_HOMES];
  uint32_t n = lc_claim_homes (key, members, n_members, homes);

  for (uint32_t i = 0; i < n; i++)
    if (lc_member_ref_equal (homes[i], member))
      return true;
  return false;
}
