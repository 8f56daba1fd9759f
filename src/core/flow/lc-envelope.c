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

static bool
lc_envelope__is_known_version (uint8_t version, uint8_t kind)
{
  return version == LC_ENVELOPE_VERSION ||
         (version == LC_ENVELOPE_VERSION_SERVICES && kind == LC_ENVELOPE_PACKET);
}

int
lc_envelope_kind (const uint8_t *bytes, size_t len)
{
  if (len < LC_ENVELOPE_PREFIX_BYTES)
    return LC_ERR_TRUNCATED;
  if (((bytes[0] << 8) | bytes[1]) != LC_ENVELOPE_MAGIC)
    return LC_ERR_CORRUPT;
  if (!lc_envelope__is_known_version (bytes[2], bytes[3]))
    return LC_ERR_VERSION;
  if (bytes[3] < LC_ENVELOPE_PACKET || bytes[3] > LC_ENVELOPE_PROBE_ANSWER)
    return LC_ERR_CORRUPT;
  return bytes[3];
}

/* === public: envelope ======================================================================= */

static size_t
lc_envelope__len (const LcEnvelope *e)
{
  size_t len = LC_ENVELOPE_FIXED_BYTES + (size_t)e->n * LC_ENVELOPE_CANDIDATE_BYTES;

  if (e->n_services > 0)
    len += LC_ENVELOPE_SERVICES_HEAD_BYTES + (size_t)e->n_services * LC_ENVELOPE_SERVICE_BYTES;
  return len;
}

static uint8_t *
lc_envelope__write_services (const LcEnvelope *e, uint8_t *p)
{
  p = lc_envelope__put (p, e->n_services, 1);
  p = lc_envelope__put (p, e->is_walked, 1);
  for (uint8_t i = 0; i < e->n_services; i++)
    {
      p = lc_envelope__put (p, e->services[i].id, 4);
      p = lc_envelope__put (p, e->services[i].first, 1);
      p = lc_envelope__put (p, e->services[i].is_ruled_out, 1);
    }
  return p;
}

size_t
lc_envelope_encode (const LcEnvelope *e, uint8_t *out, size_t size)
{
  size_t len = lc_envelope__len (e);
  uint8_t *p = out + LC_ENVELOPE_PREFIX_BYTES;

  if (size < len)
    return 0;
  lc_envelope_encode_prefix (out, LC_ENVELOPE_PACKET);
  if (e->n_services > 0)
    out[2] = LC_ENVELOPE_VERSION_SERVICES;
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
  if (e->n_services > 0)
    (void)lc_envelope__write_services (e, p);
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

/* Whether each service but LC_ADDRESS_FORMER_OTHERS, which may come last, has candidates, and the
 * hop is one of `service_id`. */
static bool
lc_envelope__has_valid_services (const LcEnvelope *e)
{
  for (uint8_t i = 0; i < e->n_services; i++)
    {
      const LcEnvelopeService *s = &e->services[i];
      bool is_last = i + 1 == e->n_services;
      uint8_t end = is_last ? e->n : s[1].first;

      if (s->id == LC_ADDRESS_FORMER_OTHERS ? !is_last || s->first != e->n : s->first >= end)
        return false;
      if (end > e->n || (i == 0 && s->first != 0))
        return false;
    }
  return e->services[lc_envelope_service_of (e, e->hop)].id == e->service_id;
}

/* Reads a flag of one byte; false: it is neither 0 nor 1. */
static bool
lc_envelope__get_flag (const uint8_t **p, bool *flag)
{
  uint64_t value = lc_envelope__get (p, 1);

  *flag = value == 1;
  return value <= 1;
}

static int
lc_envelope__read_services (LcEnvelope *e, const uint8_t **p, const uint8_t *end)
{
  if (end - *p < LC_ENVELOPE_SERVICES_HEAD_BYTES)
    return LC_ERR_TRUNCATED;
  e->n_services = (uint8_t)lc_envelope__get (p, 1);
  if (e->n_services < 2 || e->n_services > LC_ENVELOPE_SERVICES_MAX ||
      !lc_envelope__get_flag (p, &e->is_walked))
    return LC_ERR_CORRUPT;
  if (end - *p < (ptrdiff_t)e->n_services * LC_ENVELOPE_SERVICE_BYTES)
    return LC_ERR_TRUNCATED;
  for (uint8_t i = 0; i < e->n_services; i++)
    {
      e->services[i].id = (LcServiceId)lc_envelope__get (p, 4);
      e->services[i].first = (uint8_t)lc_envelope__get (p, 1);
      if (!lc_envelope__get_flag (p, &e->services[i].is_ruled_out))
        return LC_ERR_CORRUPT;
    }
  return lc_envelope__has_valid_services (e) ? LC_OK : LC_ERR_CORRUPT;
}

int
lc_envelope_decode (LcEnvelope *e, const uint8_t *bytes, size_t len)
{
  const uint8_t *p = bytes + LC_ENVELOPE_PREFIX_BYTES;
  int kind = lc_envelope_kind (bytes, len);
  int r = LC_OK;

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
  if (bytes[2] == LC_ENVELOPE_VERSION_SERVICES)
    r = lc_envelope__read_services (e, &p, bytes + len);
  return r < 0 ? r : (int)(p - bytes);
}

/* === public: several services =============================================================== */

uint8_t
lc_envelope_service_of (const LcEnvelope *e, uint8_t candidate)
{
  uint8_t i = 0;

  while (i + 1 < e->n_services && e->services[i + 1].first <= candidate)
    i++;
  return i;
}

uint8_t
lc_envelope_service_first (const LcEnvelope *e)
{
  return e->n_services > 0 ? e->services[lc_envelope_service_of (e, e->hop)].first : 0;
}

uint8_t
lc_envelope_service_end (const LcEnvelope *e)
{
  uint8_t next = lc_envelope_service_of (e, e->hop) + 1;

  return next < e->n_services ? e->services[next].first : e->n;
}

bool
lc_envelope_next_hop (LcEnvelope *e)
{
  uint8_t end = e->is_walked ? lc_envelope_service_end (e) : e->n;

  if (e->hop + 1 >= end)
    return false;
  e->hop++;
  if (e->n_services > 0)
    e->service_id = e->services[lc_envelope_service_of (e, e->hop)].id;
  return true;
}

LcEnvelopeSearch
lc_envelope_next_search (LcEnvelope *e)
{
  for (uint8_t i = 0; i < e->n_services; i++)
    {
      const LcEnvelopeService *s = &e->services[i];

      if (s->is_ruled_out)
        continue;
      if (s->id == LC_ADDRESS_FORMER_OTHERS)
        return LC_ENVELOPE_SEARCH_IMPOSSIBLE;
      e->is_walked = true;
      e->service_id = s->id;
      e->hop = s->first;
      e->hop = (uint8_t)(lc_envelope_service_end (e) - 1);
      return LC_ENVELOPE_SEARCH_SERVICE;
    }
  return e->n_services > 0 ? LC_ENVELOPE_SEARCH_DONE : LC_ENVELOPE_SEARCH_SERVICE;
}

void
lc_envelope_rule_out (LcEnvelope *e, LcServiceId id)
{
  for (uint8_t i = 0; i < e->n_services; i++)
    if (e->services[i].id == id)
      e->services[i].is_ruled_out = true;
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
