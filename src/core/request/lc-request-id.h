/* lc-request-id: the identifiers of requests and of idempotency keys.
 *
 * WHAT IT IS
 *   A request has a random 128-bit id, minted by the balancer that took it.  A key names the order
 *   or transfer itself: the service's id in the upper 32 bits, then 96 bits of hash over the
 *   caller's Idempotency-Key, so two services never share a key and a key alone says whom to ask.
 *   Both print as 32 hexadecimal digits.
 *
 * LIFETIME
 *   Plain values.
 */
#ifndef LC_REQUEST_ID_H
#define LC_REQUEST_ID_H

#include "core/lc-types.h"

#ifdef __cplusplus
extern "C"
{
#endif

  enum
  {
    LC_REQUEST_ID_TEXT = 33, /* bytes of the text with its final NUL */
  };

  typedef struct
  {
    uint64_t hi;
    uint64_t lo;
  } LcRequestId;

  typedef struct
  {
    uint64_t hi;
    uint64_t lo;
  } LcRequestKey;

  /* An endpoint's start: the id is stable for a name, the instance is not. */
  typedef struct
  {
    LcEndpointId id;
    LcInstance instance;
  } LcMemberRef;

  LcRequestKey lc_request_key (LcServiceId service_id, const char *text, size_t len);

  LcServiceId lc_request_key_service (LcRequestKey key);

  /* Of what a key stands for, so that a key reused for another request is refused. */
  uint64_t lc_request_digest (const char *method,
                              size_t method_len,
                              const char *path,
                              size_t path_len,
                              const char *body,
                              size_t body_len);

  /* The checksum of a body, as carried in frames. */
  uint64_t lc_request_checksum (const void *body, size_t len);

  void lc_request_id_text (char *out, LcRequestId id);

  /* Reads 32 hexadecimal digits; false for anything else. */
  bool lc_request_id_parse (LcRequestId *id, const char *text, size_t len);

  static inline bool
  lc_request_id_equal (LcRequestId a, LcRequestId b)
  {
    return a.hi == b.hi && a.lo == b.lo;
  }

  static inline bool
  lc_request_key_equal (LcRequestKey a, LcRequestKey b)
  {
    return a.hi == b.hi && a.lo == b.lo;
  }

  static inline bool
  lc_request_key_is_none (LcRequestKey key)
  {
    return key.hi == 0 && key.lo == 0;
  }

  static inline bool
  lc_member_ref_equal (LcMemberRef a, LcMemberRef b)
  {
    return a.id == b.id && a.instance == b.instance;
  }

  /* For GHashTable: keys are LcRequestKey or LcRequestId, which have one layout. */
  unsigned int lc_request_id_hash (const void *id);
  int lc_request_id_is_equal (const void *a, const void *b);

#ifdef __cplusplus
}
#endif

#endif /* LC_REQUEST_ID_H */
