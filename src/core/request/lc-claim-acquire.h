/* lc-claim-acquire: acquisition of one key's claim from all of its homes.
 *
 * WHAT IT IS
 *   The claim goes to the first home alone, so that of two concurrent owners of a key only one
 *   gets past it, and then to the others in parallel.  A refusal because of another era, or by a
 *   home that is not ready, starts another round under the newest era after a backoff.
 *
 * HOW TO USE IT
 *     lc_claim_acquire_start (&claim, key, self, sequence, era, members, n_members);
 *     n = lc_claim_acquire_next_homes (&claim, out);              homes to send the claim to now
 *     verdict = lc_claim_acquire_handle_reply (&claim, home, sequence, era, result);
 *   CONFIRMED: the request may run, even if the view changes before it does, since a home of the
 *   next era must first read from one of these homes.  HELD: another owner has the key.  AGAIN:
 *   start another round after lc_claim_acquire_backoff_us.
 *
 * LIFETIME
 *   A plain value.
 */
#ifndef LC_CLAIM_ACQUIRE_H
#define LC_CLAIM_ACQUIRE_H

#include "lc-claim-homes.h"
#include "lc-claim-store.h"

#ifdef __cplusplus
extern "C"
{
#endif

  typedef enum
  {
    LC_CLAIM_ACQUIRE_PENDING = 0,
    LC_CLAIM_ACQUIRE_CONFIRMED = 1,
    LC_CLAIM_ACQUIRE_HELD = 2,
    LC_CLAIM_ACQUIRE_RETRY = 3,
  } LcClaimAcquireState;

  typedef struct
  {
    LcRequestKey key;
    LcMemberRef owner;
    uint64_t sequence;
    LcRevision era;
    LcMemberRef homes[LC_CLAIM_HOMES];
    uint8_t n_homes;
    uint8_t asked;   /* one bit per home */
    uint8_t granted; /* one bit per home */
    uint8_t rounds;  /* rounds started */
  } LcClaimAcquire;

  /* Starts a round; `rounds` counts up.  Without members the claim is never confirmed. */
  void lc_claim_acquire_start (LcClaimAcquire *claim,
                               LcRequestKey key,
                               LcMemberRef owner,
                               uint64_t sequence,
                               LcRevision era,
                               const LcMemberRef *members,
                               uint32_t n_members);

  /* Writes the homes to send the claim to now; each is listed once a round. */
  uint32_t lc_claim_acquire_next_homes (LcClaimAcquire *claim, LcMemberRef out[LC_CLAIM_HOMES]);

  /* Handles a reply; one of another sequence, era or home is ignored. */
  LcClaimAcquireState lc_claim_acquire_handle_reply (LcClaimAcquire *claim,
                                                     LcMemberRef home,
                                                     uint64_t sequence,
                                                     LcRevision era,
                                                     LcClaimResult result);

  /* The backoff before the next round: 5 ms, doubled each round, at most 80 ms. */
  int64_t lc_claim_acquire_backoff_us (const LcClaimAcquire *claim);

#ifdef __cplusplus
}
#endif

#endif /* LC_CLAIM_ACQUIRE_H */
