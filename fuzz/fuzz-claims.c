/* Fuzzes loading the claim file that an earlier process has left. */
#include "agent/lc-claim-file.h"

#include <stdlib.h>

typedef struct
{
  const uint8_t *bytes;
  size_t len;
} Input;

static int
read_input (void *user, const char *name, GByteArray *bytes, LcError *error)
{
  const Input *input = user;

  g_byte_array_append (bytes, input->bytes, (guint)input->len);
  return 0;
}

static int
append_nothing (void *user, const char *name, const uint8_t *bytes, size_t len, LcError *error)
{
  return 0;
}

static int
rename_nothing (void *user, const char *from, const char *to, LcError *error)
{
  return 0;
}

static int
remove_nothing (void *user, const char *name, LcError *error)
{
  return 0;
}

int
LLVMFuzzerTestOneInput (const uint8_t *bytes, size_t len)
{
  Input input = { bytes, len };
  LcClaimFileDesc desc = { .disk = { .user = &input,
                                     .read = read_input,
                                     .append = append_nothing,
                                     .rename = rename_nothing,
                                     .remove = remove_nothing },
                           .boot_id = "boot",
                           .service = "order-desk" };
  LcRequestAgentDesc agent_desc = { .self = { 3, 1003 }, .admission = { .slots = 1 } };
  LcError error = { 0 };
  LcRequestAgent agent;
  LcClaimProgress progress;
  LcClaimFile file;

  lc_request_agent_init (&agent, &agent_desc);
  lc_claim_file_init (&file, &desc);
  if (lc_claim_file_load (&file, &agent, 0, &error) != (int)lc_claim_store_size (&agent.store))
    abort ();
  lc_claim_sync_progress (&agent.claim_sync, &progress);
  if (progress.n_incarnations == 0 || progress.n_incarnations > LC_CLAIM_SYNC_MAX_INCARNATIONS)
    abort ();
  lc_claim_file_finish (&file);
  lc_request_agent_finish (&agent);
  return 0;
}
