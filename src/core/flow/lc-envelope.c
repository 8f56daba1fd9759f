#include "lc-envelope.h"

#include <string.h>

/* === private: big-endian fields ============================================================= */

static uint8_t *
lc_envelope__put (uint8_t *p, uint64_t value, unsigned bytes)
{
  for (unsigned i = bytes; i > 0; i--)
    *p++ = (uint8_t)(value >> (8 * (i - 1)));
  return p;
}

static uint64_t
lc_envelope__get (const uint8_t **p, unsigned bytes)
{
  uint64_t value = 0;

  for (unsigned i = 0; i < bytes; i++)
    value = (value << 8) | *(*p)++;
  return value;
}

/* === public: prefix ========================================================================= */

void
lc_envelope_encode_prefix (uint8_t *out, LcEnvelopeKind kind)
{
  out = lc_envelope__put (out, LC_ENVELOPE_MAGIC, 2);
  out = lc_envelope__put (out, LC_ENVELOPE_VERSION, 1);
  (void)lc_envelope__put (out, kind, 1);
}

int
lc_envelope_kind (const uint8_t *bytes, size_t len)
{
  if (len < LC_ENVELOPE_PREFIX_BYTES)
    return LC_ERR_TRUNCATED;
  if (((bytes[0] << 8) | bytes[1]) != LC_ENVELOPE_MAGIC)
    return LC_ERR_CORRUPT;
  if (bytes[2] != LC_ENVELOPE_VERSION)
    return LC_ERR_VERSION;
  if (bytes[3] < LC_ENVELOPE_PACKET || bytes[3] > LC_ENVELOPE_PROBE_ANSWER)
    return LC_ERR_CORRUPT;
  return bytes[3];
}

/* === public: envelope ======================================================================= */

size_t
lc_envelope_encode (const LcEnvelope *e, uint8_t *out, size_t size)
{
  size_t len = LC_ENVELOPE_FIXED_BYTES + (size_t)e->n * LC_ENVELOPE_CANDIDATE_BYTES;
  uint8_t *p = out + LC_ENVELOPE_PREFIX_BYTES;

  if (size < len)
    return 0;
  lc_envelope_encode_prefix (out, LC_ENVELOPE_PACKET);
  p = lc_envelope__put (p, e->mode, 1);
  p = lc_envelope__put (p, e->hop, 1);
  p = lc_envelope__put (p, e->hops_left, 1);
  p = lc_envelope__put (p, e->n, 1);
  p = lc_envelope__put (p, e->assigner, 1);
  p = lc_envelope__put (p, e->refusal, 1);
  p = lc_envelope__put (p, e->dc, 2);
  p = lc_envelope__put (p, e->service_id, 4);
  p = lc_envelope__put (p, e->revision, 8);
  p = lc_envelope__put (p, e->set_rank, 8);
  p = lc_envelope__put (p, e->target_id, 4);
  p = lc_envelope__put (p, e->target_instance, 8);
  p = lc_envelope__put (p, e->stray_id, 4);
  p = lc_envelope__put (p, e->stray_instance, 8);
  for (uint8_t i = 0; i < e->n; i++)
    {
      p = lc_envelope__put (p, e->candidates[i].id, 4);
      p = lc_envelope__put (p, e->candidates[i].instance, 8);
      p = lc_envelope__put (p, e->candidates[i].ipv4, 4);
      p = lc_envelope__put (p, e->candidates[i].port, 2);
    }
  return len;
}

static void
lc_envelope__read_fixed (LcEnvelope *e, const uint8_t **p)
{
  e->mode = (uint8_t)lc_envelope__get (p, 1);
  e->hop = (uint8_t)lc_envelope__get (p, 1);
  e->hops_left = (uint8_t)lc_envelope__get (p, 1);
  e->n = (uint8_t)lc_envelope__get (p, 1);
  e->assigner = (uint8_t)lc_envelope__get (p, 1);
  e->refusal = (uint8_t)lc_envelope__get (p, 1);
  e->dc = (LcDcId)lc_envelope__get (p, 2);
  e->service_id = (LcServiceId)lc_envelope__get (p, 4);
  e->revision = lc_envelope__get (p, 8);
  e->set_rank = lc_envelope__get (p, 8);
  e->target_id = (LcEndpointId)lc_envelope__get (p, 4);
  e->target_instance = lc_envelope__get (p, 8);
  e->stray_id = (LcEndpointId)lc_envelope__get (p, 4);
  e->stray_instance = lc_envelope__get (p, 8);
}

static bool
lc_envelope__is_valid (const LcEnvelope *e)
{
  return e->mode >= LC_MODE_WALK && e->mode <= LC_MODE_FIND && e->n > 0 &&
         e->n <= LC_CANDIDATES_MAX + 2 && e->hop < e->n && e->assigner < e->n &&
         e->refusal < LC_N_DROP_REASONS && e->hops_left <= LC_ENVELOPE_HOPS;
}

int
lc_envelope_decode (LcEnvelope *e, const uint8_t *bytes, size_t len)
{
  const uint8_t *p = bytes + LC_ENVELOPE_PREFIX_BYTES;
  int kind = lc_envelope_kind (bytes, len);

  if (kind < 0)
    return kind;
  if (kind != LC_ENVELOPE_PACKET)
    return LC_ERR_CORRUPT;
  if (len < LC_ENVELOPE_FIXED_BYTES)
    return LC_ERR_TRUNCATED;
  memset (e, 0, sizeof *e);
  lc_envelope__read_fixed (e, &p);
  if (!lc_envelope__is_valid (e))
    return LC_ERR_CORRUPT;
  if (len < LC_ENVELOPE_FIXED_BYTES + (size_t)e->n * LC_ENVELOPE_CANDIDATE_BYTES)
    return LC_ERR_TRUNCATED;
  for (uint8_t i = 0; i < e->n; i++)
    {
      e->candidates[i].id = (LcEndpointId)lc_envelope__get (&p, 4);
      e->candidates[i].instance = lc_envelope__get (&p, 8);
      e->candidates[i].ipv4 = (uint32_t)lc_envelope__get (&p, 4);
      e->candidates[i].port = (uint16_t)lc_envelope__get (&p, 2);
    }
  return (int)(p - bytes);
}

const char *
lc_drop_reason_name (LcDropReason reason)
{
  static const char *const NAMES[LC_N_DROP_REASONS] = {
    [LC_DROP_NONE] = "none",
    [LC_DROP_NO_OWNER] = "no-owner",
    [LC_DROP_NO_ENDPOINT] = "no-endpoint",
    [LC_DROP_LIMIT] = "limit",
    [LC_DROP_WRONG_INSTANCE] = "wrong-instance",
    [LC_DROP_HOPS] = "hops",
    [LC_DROP_LEAVING] = "leaving",
    [LC_DROP_MALFORMED] = "malformed",
    [LC_DROP_NO_SERVICE] = "no-service",
    [LC_DROP_NO_MEMORY] = "no-memory",
    [LC_DROP_EVACUATED] = "evacuated",
    [LC_DROP_NO_HOME] = "no-home",
  };

  return reason < LC_N_DROP_REASONS ? NAMES[reason] : "unknown";
}
