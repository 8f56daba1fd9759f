#include "lc-outcome.h"

bool
lc_refuse_is_not_run (LcRefuseReason reason)
{
  switch (reason)
    {
    case LC_REFUSE_STALE_INSTANCE:
    case LC_REFUSE_DRAINING:
    case LC_REFUSE_FULL:
    case LC_REFUSE_TOO_LATE:
    case LC_REFUSE_REVOKED:
    case LC_REFUSE_SHED:
    case LC_REFUSE_BACKEND_DOWN:
    case LC_REFUSE_UNCLAIMED:
    case LC_REFUSE_MALFORMED:
      return true;
    default:
      return false;
    }
}

bool
lc_refuse_retry_is_free (LcRefuseReason reason)
{
  return reason == LC_REFUSE_STALE_INSTANCE || reason == LC_REFUSE_DRAINING;
}

const char *
lc_refuse_name (LcRefuseReason reason)
{
  static const struct
  {
    LcRefuseReason reason;
    const char *name;
  } NAMES[] = {
    { LC_REFUSE_STALE_INSTANCE, "stale-instance" },
    { LC_REFUSE_DRAINING, "draining" },
    { LC_REFUSE_FULL, "queue-full" },
    { LC_REFUSE_TOO_LATE, "too-late" },
    { LC_REFUSE_REVOKED, "revoked" },
    { LC_REFUSE_CANCELLED, "cancelled" },
    { LC_REFUSE_SHED, "shed" },
    { LC_REFUSE_BROKEN, "answer-lost" },
    { LC_REFUSE_BACKEND_DOWN, "backend-down" },
    { LC_REFUSE_UNCLAIMED, "unclaimed" },
    { LC_REFUSE_HELD, "claimed-elsewhere" },
    { LC_REFUSE_KEY_REUSED, "key-reused" },
    { LC_REFUSE_ANSWER_GONE, "answer-gone" },
    { LC_REFUSE_MALFORMED, "malformed" },
    { LC_REFUSE_NOT_KNOWN, "not-known" },
    { LC_REFUSE_DEADLINE, "deadline" },
    { LC_REFUSE_LINK_LOST, "connection-lost" },
    { LC_REFUSE_NO_ENDPOINT, "no-endpoint" },
    { LC_REFUSE_CALLER_LIMIT, "caller-limit" },
    { LC_REFUSE_SERVICE_LIMIT, "service-limit" },
  };

  for (size_t i = 0; i < sizeof NAMES / sizeof *NAMES; i++)
    if (NAMES[i].reason == reason)
      return NAMES[i].name;
  return "none";
}

const char *
lc_outcome_name (LcOutcome outcome)
{
  return outcome == LC_OUTCOME_NOT_RUN ? "not-run" : "unknown";
}
