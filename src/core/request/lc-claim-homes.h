/* lc-claim-homes: rendezvous hashing of keys onto the agents that record their claims.
 *
 * WHAT IT IS
 *   The homes of a key are the first LC_CLAIM_HOMES members of a candidate set by rendezvous
 *   hashing over (key, endpoint id): every agent with the same set computes the same homes, and a
 *   change of one member affects only the keys of which it is a home.  The first home decides
 *   between concurrent owners, because claims go to it before the others.
 *
 * LIMITS
 *   Scores every member: O(members).
 */
#ifndef LC_CLAIM_HOMES_H
#define LC_CLAIM_HOMES_H

#include "lc-request-id.h"

#ifdef __cplusplus
extern "C"
{
#endif

  enum
  {
    LC_CLAIM_HOMES = 3,
  };

  /* Writes the homes, highest score first; returns their number, min (n, LC_CLAIM_HOMES). */
  uint32_t lc_claim_homes (LcRequestKey key,
                           const LcMemberRef *members,
                           uint32_t n_members,
                           LcMemberRef out[LC_CLAIM_HOMES]);

  /* Whether `member` (id and instance) is one of the homes. */
  bool lc_claim_is_home (LcRequestKey key,
                         const LcMemberRef *members,
                         uint32_t n_members,
                         LcMemberRef member);

#ifdef __cplusplus
}
#endif

#endif /* LC_CLAIM_HOMES_H */
