/* lc-envelope: the header before a caller's packet between balancers and agents.
 *
 * WHAT IT IS
 *   Big-endian, in one UDP datagram with the packet behind it:
 *      0 u16 magic 0x4c46 ("LF")      2 u8 version (1)       3 u8 kind (LcEnvelopeKind)
 *      4 u8 mode (LcEnvelopeMode)     5 u8 hop               6 u8 hops left
 *      7 u8 number of candidates      8 u8 assigner's index  9 u8 refusal (LcDropReason)
 *     10 u16 data centre of the balancer                    12 u32 service
 *     16 u64 view revision of the list                      24 u64 rank of the assigner's set
 *     32 u32 target endpoint         36 u64 target instance
 *     44 u32 stray endpoint          48 u64 stray instance
 *     56 candidates: u32 id, u64 instance, u32 ipv4, u16 port
 *   Other datagrams of the flow plane (kind LC_ENVELOPE_MESSAGE) have the first four bytes only,
 *   then a protobuf-c message.
 *
 * HOW TO USE IT
 *     size_t n = lc_envelope_encode (&envelope, buffer, sizeof buffer);
 *     int n = lc_envelope_decode (&envelope, bytes, len);   n > 0: the packet starts at n
 *
 * LIMITS
 *   The hop index only grows and hops_left only falls, so every walk ends.
 */
#ifndef LC_ENVELOPE_H
#define LC_ENVELOPE_H

#include "lc-candidates.h"

#ifdef __cplusplus
extern "C"
{
#endif

  enum
  {
    LC_ENVELOPE_MAGIC = 0x4c46,
    LC_ENVELOPE_VERSION = 1,
    LC_ENVELOPE_PREFIX_BYTES = 4,
    LC_ENVELOPE_FIXED_BYTES = 56,
    LC_ENVELOPE_CANDIDATE_BYTES = 18,
    LC_ENVELOPE_MAX_BYTES =
        LC_ENVELOPE_FIXED_BYTES + (LC_CANDIDATES_MAX + 2) * LC_ENVELOPE_CANDIDATE_BYTES,
    /* Forwards of one packet at most: four walks over the longest list.  A walk begins anew when a
     * view newer than its list is met, and goes back once for each older assigner that it is given.
     */
    LC_ENVELOPE_HOPS = 64,
  };

  typedef enum
  {
    LC_ENVELOPE_PACKET = 1,
    LC_ENVELOPE_MESSAGE = 2,
    LC_ENVELOPE_PROBE = 3, /* balancer to agent: are you there? (lc-reach.h); the prefix alone */
    LC_ENVELOPE_PROBE_ANSWER = 4,
  } LcEnvelopeKind;

  /* Why the packet was sent to this agent. */
  typedef enum
  {
    LC_MODE_WALK = 1,    /* it is candidates[hop] */
    LC_MODE_ASSIGN = 2,  /* nobody on the list knows the flow: assign it */
    LC_MODE_OWNER = 3,   /* a pointer says that the target owns the flow */
    LC_MODE_OPEN = 4,    /* the assigner gave the flow to the target */
    LC_MODE_REFUSED = 5, /* the target did not take it; back at the assigner */
    LC_MODE_SEARCH = 6,  /* no home knows the owner: the target tries it (lc-flow-finder.h) */
    LC_MODE_FIND = 7,    /* no home knows the owner: the target searches for it */
  } LcEnvelopeMode;

  /* Why a packet went no further. */
  typedef enum
  {
    LC_DROP_NONE = 0,
    LC_DROP_NO_OWNER = 1,    /* an established flow that nobody knows */
    LC_DROP_NO_ENDPOINT = 2, /* no endpoint takes new flows */
    LC_DROP_LIMIT = 3,       /* every endpoint is at its connection limit */
    LC_DROP_WRONG_INSTANCE = 4,
    LC_DROP_HOPS = 5,
    LC_DROP_LEAVING = 6, /* reason of a refusal: the target is leaving */
    LC_DROP_MALFORMED = 7,
    LC_DROP_NO_SERVICE = 8, /* no service at this address */
    LC_DROP_NO_MEMORY = 9,  /* the flow table is full */
    LC_DROP_EVACUATED = 10, /* the data centre of the target, or of every endpoint, is evacuated */
    LC_DROP_NO_HOME = 11,   /* the target is in no region that the flow is kept to */
    LC_N_DROP_REASONS
  } LcDropReason;

  typedef struct
  {
    uint8_t mode;
    uint8_t hop;
    uint8_t hops_left;
    uint8_t n;
    uint8_t assigner;
    uint8_t refusal;
    LcDcId dc;
    LcServiceId service_id;
    LcRevision revision;
    LcRevision set_rank;
    LcEndpointId target_id;
    LcInstance target_instance;
    LcEndpointId stray_id; /* an owner named by a pointer that did not own; 0: none */
    LcInstance stray_instance;
    LcCandidate candidates[LC_CANDIDATES_MAX + 2]; /* room for assigners found on the way */
  } LcEnvelope;

  /* Bytes written, 0 when `size` is too small. */
  size_t lc_envelope_encode (const LcEnvelope *envelope, uint8_t *out, size_t size);
  /* Where the packet starts, or LC_ERR_TRUNCATED, LC_ERR_CORRUPT, LC_ERR_VERSION. */
  int lc_envelope_decode (LcEnvelope *envelope, const uint8_t *bytes, size_t len);

  void lc_envelope_encode_prefix (uint8_t *out, LcEnvelopeKind kind);
  /* The kind, or a negative error. */
  int lc_envelope_kind (const uint8_t *bytes, size_t len);

  /* "no-owner" and so on, for counters and logs. */
  const char *lc_drop_reason_name (LcDropReason reason);

#ifdef __cplusplus
}
#endif

#endif /* LC_ENVELOPE_H */
