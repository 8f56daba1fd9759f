/* lc-error: error codes with a message and a remedy.
 *
 * WHAT IT IS
 *   Every function that can fail returns 0 or a negative LcErrorCode and, where the caller passes
 *   an LcError, fills it with a sentence on what is wrong and a sentence on how to remedy it.
 *
 * HOW TO USE IT
 *     LcError error = { 0 };
 *     if (lc_settings_load (&settings, path, &error) < 0)
 *       lc_error_print (stderr, &error);
 *
 * LIFETIME
 *   LcError is a plain value; it owns no memory.
 *
 * LIMITS
 *   Messages longer than the fixed arrays are truncated.  A NULL error argument is allowed
 *   everywhere.
 */
#ifndef LC_ERROR_H
#define LC_ERROR_H

#include <stdio.h>

#ifdef __cplusplus
extern "C"
{
#endif

  /* Negative error numbers; 0 is success. */
  typedef enum
  {
    LC_OK = 0,
    LC_ERR_INVALID = -1,      /* an argument or a setting is outside its documented range */
    LC_ERR_NOT_FOUND = -2,    /* the named object does not exist */
    LC_ERR_EXISTS = -3,       /* the object exists already */
    LC_ERR_CONFLICT = -4,     /* the base revision is no longer the newest one */
    LC_ERR_FULL = -5,         /* a limit was reached */
    LC_ERR_IO = -6,           /* the operating system refused a call */
    LC_ERR_CORRUPT = -7,      /* stored or received bytes fail their check */
    LC_ERR_VERSION = -8,      /* the peer or file has an unknown version */
    LC_ERR_TRUNCATED = -9,    /* fewer bytes than the length field states */
    LC_ERR_TIMEOUT = -10,     /* the deadline passed */
    LC_ERR_NOT_LEADER = -11,  /* this replica can't accept the request; another one can */
    LC_ERR_UNAVAILABLE = -12, /* nothing can serve the request now */
    LC_ERR_STALE = -13,       /* the message names an older revision, term or instance */
    LC_ERR_REFUSED = -14,     /* a policy refuses the request */
  } LcErrorCode;

  enum
  {
    LC_ERROR_MESSAGE_MAX = 320,
    LC_ERROR_REMEDY_MAX = 240,
  };

  typedef struct
  {
    LcErrorCode code;
    char message[LC_ERROR_MESSAGE_MAX];
    char remedy[LC_ERROR_REMEDY_MAX];
  } LcError;

  /* Fills `error` (may be NULL) and returns `code`, so that a caller can write
   * `return lc_error_set (...)`.  `remedy` is a plain sentence, never a format. */
  int lc_error_set (LcError *error, LcErrorCode code, const char *remedy, const char *format, ...)
      __attribute__ ((format (printf, 4, 5)));

  /* The stable identifier of a code, for logs and JSON output, for example "conflict". */
  const char *lc_error_code_name (LcErrorCode code);

  /* Prints "error (code): message" and "remedy: ..." on two lines. */
  void lc_error_print (FILE *out, const LcError *error);

#ifdef __cplusplus
}
#endif

#endif /* LC_ERROR_H */
