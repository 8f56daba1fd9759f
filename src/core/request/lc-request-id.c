#include "lc-request-id.h"

#include <stdio.h>
#include <string.h>
#include <xxhash.h>

LcRequestKey
lc_request_key (LcServiceId service_id, const char *text, size_t len)
{
  XXH128_hash_t hash = XXH3_128bits_withSeed (text, len, service_id);

  return (LcRequestKey){ ((uint64_t)service_id << 32) | (uint32_t)hash.high64, hash.low64 };
}

LcServiceId
lc_request_key_service (LcRequestKey key)
{
  return (LcServiceId)(key.hi >> 32);
}

uint64_t
lc_request_digest (const char *method,
                   size_t method_len,
                   const char *path,
                   size_t path_len,
                   const char *body,
                   size_t body_len)
{
  uint64_t hash = XXH3_64bits (method, method_len);

  hash = XXH3_64bits_withSeed (path, path_len, hash);
  return XXH3_64bits_withSeed (body, body_len, hash);
}

uint64_t
lc_request_checksum (const void *body, size_t len)
{
  return XXH3_64bits (body, len);
}

void
lc_request_id_text (char *out, LcRequestId id)
{
  (void)snprintf (out, LC_REQUEST_ID_TEXT, "%016llx%016llx", (unsigned long long)id.hi,
                  (unsigned long long)id.lo);
}

static bool
lc_request_id__parse_half (uint64_t *half, const char *text)
{
  *half = 0;
  for (int i = 0; i < 16; i++)
    {
      char c = text[i];
      uint64_t digit;

      if (c >= '0' && c <= '9')
        digit = (uint64_t)(c - '0');
      else if (c >= 'a' && c <= 'f')
        digit = (uint64_t)(c - 'a') + 10;
      else if (c >= 'A' && c <= 'F')
        digit = (uint64_t)(c - 'A') + 10;
      else
        return false;
      *half = (*half << 4) | digit;
    }
  return true;
}

bool
lc_request_id_parse (LcRequestId *id, const char *text, size_t len)
{
  return len == LC_REQUEST_ID_TEXT - 1 && lc_request_id__parse_half (&id->hi, text) &&
         lc_request_id__parse_half (&id->lo, text + 16);
}

unsigned int
lc_request_id_hash (const void *id)
{
  const LcRequestId *i = id;

  return (unsigned int)(i->lo ^ (i->lo >> 32) ^ i->hi);
}

int
lc_request_id_is_equal (const void *a, const void *b)
{
  return lc_request_id_equal (*(const LcRequestId *)a, *(const LcRequestId *)b);
}
