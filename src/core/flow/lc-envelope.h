/* lc-envelope: encapsulation header of a caller's packet between balancers and agents.
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
 *   Version 2 is written when several services may hold the flow (lc-address.h), and goes on with:
 *        u8 number of services, u8 flags (1: walked)
 *        services: u32 id, u8 index of the first candidate, u8 flags (1: ruled out)
 *   Other datagrams of the flow plane have the first four bytes only, followed in those of kind
 *   LC_ENVELOPE_MESSAGE by a protobuf message.
 *
 * HOW TO USE IT
 *     size_t n = lc_envelope_encode (&envelope, buffer, sizeof buffer);
 *     int n = lc_envelope_decode (&envelope, bytes, len);   n > 0: the packet starts at n
 *
 * SEVERAL SERVICES
 *   The list has the homes of each service, one service after the other.  `service_id` is the one
 *   of the agent that the packet is sent to.  A packet walks the whole list first, as a pointer at
 *   one of the homes is cheaper than a search; then its owner is searched for in one service after
 *   the other, and those without it are ruled out.
 *
 * LIMITS
 *   Every forward lowers hops_left, so every packet ends after at most LC_ENVELOPE_HOPS.
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
    LC_ENVELOPE_VERSION_SERVICES = 2, /* of packets that several services may hold */
    LC_ENVELOPE_PREFIX_BYTES = 4,
    LC_ENVELOPE_FIXED_BYTES = 56,
    LC_ENVELOPE_CANDIDATE_BYTES = 18,
    LC_ENVELOPE_SERVICES_MAX = 1 + LC_ADDRESS_FORMER_MAX,
    LC_ENVELOPE_SERVICES_HEAD_BYTES = 2,
    LC_ENVELOPE_SERVICE_BYTES = 6,
    LC_ENVELOPE_MAX_BYTES =
        LC_ENVELOPE_FIXED_BYTES + (LC_CANDIDATES_MAX + 2) * LC_ENVELOPE_CANDIDATE_BYTES +
        LC_ENVELOPE_SERVICES_HEAD_BYTES + LC_ENVELOPE_SERVICES_MAX * LC_ENVELOPE_SERVICE_BYTES,
    /* Most forwards of one packet: four passes over the longest list.  A pass starts again when an
     * agent has a newer view than the list, and returns once for each older assigner found. */
    LC_ENVELOPE_HOPS = 64,
  };

  typedef enum
  {
    LC_ENVELOPE_PACKET = 1,
    LC_ENVELOPE_MESSAGE = 2,
    /* balancer to agent: liveness probe (lc-probe-detector.h); the prefix alone */
    LC_ENVELOPE_PROBE = 3,
    LC_ENVELOPE_PROBE_ANSWER = 4,
  } LcEnvelopeKind;

  /* Why the packet was sent to this agent. */
  typedef enum
  {
    LC_MODE_WALK = 1,    /* it is candidates[hop] */
    LC_MODE_ASSIGN = 2,  /* no candidate has the flow: assign it */
    LC_MODE_OWNER = 3,   /* a pointer names it as the owner */
    LC_MODE_OPEN = 4,    /* the assigner chose it for the flow */
    LC_MODE_REFUSED = 5, /* the chosen endpoint refused; back at the assigner */
    LC_MODE_SEARCH = 6,  /* no home has the owner: try it here (lc-flow-finder.h) */
    LC_MODE_FIND = 7,    /* no home has the owner: search for it */
  } LcEnvelopeMode;

  /* Why a packet was dropped or refused. */
  typedef enum
  {
    LC_DROP_NONE = 0,
    LC_DROP_NO_OWNER = 1,    /* an established flow without a known owner */
    LC_DROP_NO_ENDPOINT = 2, /* no endpoint takes new flows */
    LC_DROP_LIMIT = 3,       /* every endpoint is at its connection limit, or refusing */
    LC_DROP_WRONG_INSTANCE = 4,
    LC_DROP_HOPS = 5,
    LC_DROP_LEAVING = 6, /* refusal: the target is leaving */
    LC_DROP_MALFORMED = 7,
    LC_DROP_NO_SERVICE = 8, /* no service at this address */
    LC_DROP_NO_MEMORY = 9,  /* the flow table is full */
    LC_DROP_EVACUATED = 10, /* the data centre of the target, or of every endpoint, is evacuated */
    LC_DROP_NO_HOME = 11,   /* the target is in no region that the flow is kept to */
    LC_N_DROP_REASONS
  } LcDropReason;

  /* A service whose backend servers may hold the flow. */
  typedef struct
  {
    LcServiceId id;    /* LC_ADDRESS_FORMER_OTHERS: not known which, no candidates */
    uint8_t first;     /* index of its first candidate; the next service's follow */
    bool is_ruled_out; /* none of its backend servers holds the flow */
  } LcEnvelopeService;

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
    LcEndpointId stray_id; /* owner named by a stale pointer; FIND: the home that asks; 0: none */
    LcInstance stray_instance;
    LcCandidate candidates[LC_CANDIDATES_MAX + 2]; /* + 2: assigners that agents add */
    uint8_t n_services;                            /* 0: `service_id` alone may hold the flow */
    bool is_walked;                                /* no home of any service has the owner */
    LcEnvelopeService services[LC_ENVELOPE_SERVICES_MAX];
  } LcEnvelope;

  /* Returns the bytes written, 0 if `size` is too small. */
  size_t lc_envelope_encode (const LcEnvelope *envelope, uint8_t *out, size_t size);
  /* Returns the packet's offset, or LC_ERR_TRUNCATED, LC_ERR_CORRUPT, LC_ERR_VERSION. */
  int lc_envelope_decode (LcEnvelope *envelope, const uint8_t *bytes, size_t len);

  /* Index of the service that the candidate belongs to; 0 if there is one service alone. */
  uint8_t lc_envelope_service_of (const LcEnvelope *envelope, uint8_t candidate);
  /* Index of the first candidate, and one more than that of the last, of the service of `hop`. */
  uint8_t lc_envelope_service_first (const LcEnvelope *envelope);
  uint8_t lc_envelope_service_end (const LcEnvelope *envelope);
  /* Advances a walk to its next candidate; false: it ends here. */
  bool lc_envelope_next_hop (LcEnvelope *envelope);

  typedef enum
  {
    LC_ENVELOPE_SEARCH_SERVICE = 1,    /* `service_id`; `hop` is the last of its homes */
    LC_ENVELOPE_SEARCH_DONE = 2,       /* no service holds the flow */
    LC_ENVELOPE_SEARCH_IMPOSSIBLE = 3, /* a service that is not listed may hold it */
  } LcEnvelopeSearch;

  /* Selects the service in which a walked packet's owner is searched for next. */
  LcEnvelopeSearch lc_envelope_next_search (LcEnvelope *envelope);
  /* Records that no backend server of the service holds the flow. */
  void lc_envelope_rule_out (LcEnvelope *envelope, LcServiceId id);

  void lc_envelope_encode_prefix (uint8_t *out, LcEnvelopeKind kind);
  /* Returns the LcEnvelopeKind, or the same errors. */
  int lc_envelope_kind (const uint8_t *bytes, size_t len);

  /* Name in metrics and logs, for example "no-owner". */
  const char *lc_drop_reason_name (LcDropReason reason);

#ifdef __cplusplus
}
#endif

#endif /* LC_ENVELOPE_H */
