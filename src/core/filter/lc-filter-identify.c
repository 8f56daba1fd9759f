/* identify: sets the request's id and checks the caller's key and timeout. */
#include "lc-filter.h"

#include <string.h>

enum
{
  LC_IDENTIFY_MAX_TIMEOUT_DIGITS = 9,
};

static bool
lc_identify__is_printable (LcSlice text)
{
  for (size_t i = 0; i < text.len; i++)
    if (text.base[i] < 0x21 || text.base[i] > 0x7e)
      return false;
  return true;
}

static bool
lc_identify__read_timeout (LcFilterRequest *request)
{
  LcSlice text = request->timeout_text;

  if (text.len > LC_IDENTIFY_MAX_TIMEOUT_DIGITS)
    return false;
  request->timeout_ms = 0;
  for (size_t i = 0; i < text.len; i++)
    {
      if (text.base[i] < '0' || text.base[i] > '9')
        return false;
      request->timeout_ms = request->timeout_ms * 10 + (uint32_t)(text.base[i] - '0');
    }
  return text.len == 0 || request->timeout_ms > 0;
}

static LcFilterVerdict
lc_identify__refuse (const char *message, const char *remedy)
{
  return (LcFilterVerdict){
    .kind = LC_FILTER_REFUSE, .status = 400, .message = message, .remedy = remedy
  };
}

LcFilterVerdict
lc_filter_identify (LcFilterRequest *request)
{
  size_t prefix_len = strlen (LC_FILTER_QUERY_PREFIX);

  request->id = request->random;
  request->is_query = request->path.len > prefix_len &&
                      memcmp (request->path.base, LC_FILTER_QUERY_PREFIX, prefix_len) == 0;
  if (request->key_text.len > LC_FILTER_MAX_KEY || !lc_identify__is_printable (request->key_text))
    return lc_identify__refuse ("the Idempotency-Key is not 1 to 255 printable ASCII characters",
                                "send a random UUID as the key of each order");
  if (!lc_identify__read_timeout (request))
    return lc_identify__refuse ("Lychee-Timeout-Ms is not a positive number of milliseconds",
                                "send digits only, for example 2000");
  return (LcFilterVerdict){ .kind = LC_FILTER_PASS };
}
