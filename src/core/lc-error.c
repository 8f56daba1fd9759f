#include "lc-error.h"

#include <stdarg.h>
#include <string.h>

int
lc_error_set (LcError *error, LcErrorCode code, const char *remedy, const char *format, ...)
{
  va_list args;

  if (error == NULL)
    return code;
  error->code = code;
  va_start (args, format);
  (void)vsnprintf (error->message, sizeof error->message, format, args);
  va_end (args);
  (void)snprintf (error->remedy, sizeof error->remedy, "%s", remedy != NULL ? remedy : "");
  return code;
}

const char *
lc_error_code_name (LcErrorCode code)
{
  switch (code)
    {
    case LC_OK:
      return "ok";
    case LC_ERR_INVALID:
      return "invalid";
    case LC_ERR_NOT_FOUND:
      return "not-found";
    case LC_ERR_EXISTS:
      return "exists";
    case LC_ERR_CONFLICT:
      return "conflict";
    case LC_ERR_FULL:
      return "full";
    case LC_ERR_IO:
      return "io";
    case LC_ERR_CORRUPT:
      return "corrupt";
    case LC_ERR_VERSION:
      return "version";
    case LC_ERR_TRUNCATED:
      return "truncated";
    case LC_ERR_TIMEOUT:
      return "timeout";
    case LC_ERR_NOT_LEADER:
      return "not-leader";
    case LC_ERR_UNAVAILABLE:
      return "unavailable";
    case LC_ERR_STALE:
      return "stale";
    case LC_ERR_REFUSED:
      return "refused";
    }
  return "unknown";
}

void
lc_error_print (FILE *out, const LcError *error)
{
  (void)fprintf (out, "error (%s): %s\n", lc_error_code_name (error->code), error->message);
  if (error->remedy[0] != '\0')
    (void)fprintf (out, "remedy: %s\n", error->remedy);
}
