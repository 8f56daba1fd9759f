/* lc-claim-file: append-only log of an agent's claims, for a restart of its process.
 *
 * WHAT IT IS
 *   Each claim is appended when it is granted, read from another home or released, and so is the
 *   agent's LcClaimProgress.  A killed process loses nothing that it had written: the next one
 *   resumes as the same member.
 *
 * HOW TO USE IT
 *     lc_claim_file_init (&file, &desc);
 *     lc_claim_file_load (&file, &agent, now_us, &error);      right after the agent's init
 *     lc_claim_file_append (&file, &hold, &error);             before the grant is sent
 *     lc_claim_file_update (&file, &agent, now_us, &error);    after each batch of decisions
 *   The file never lacks a claim: after a failed write it is removed at once, and a later
 *   lc_claim_file_update rewrites it.
 *
 * NO FSYNC
 *   Within one boot of the VM the next process reads everything that was written, even without
 *   fsync.  After a reboot any part may be missing, so the file is valid only under the boot id in
 *   its head.  A truncated last entry was never acted upon.
 *
 * LIMITS
 *   The file is compacted when it exceeds twice its compacted size plus LC_CLAIM_FILE_GROWTH: about
 *   50 MB for the 400 000 claims of a full store.
 */
#ifndef LC_CLAIM_FILE_H
#define LC_CLAIM_FILE_H

#include "core/control/lc-disk.h"
#include "core/request/lc-request-agent.h"

enum
{
  LC_CLAIM_FILE_GROWTH = 1 << 20,     /* bytes: see LIMITS */
  LC_CLAIM_FILE_REWRITE_US = 5000000, /* between attempts to rewrite it after an error */
};

typedef struct
{
  LcDisk disk;
  char boot_id[64]; /* of the VM's present boot */
  char service[LC_NAME_MAX];
} LcClaimFileDesc;

typedef struct
{
  LcClaimFileDesc desc;
  GByteArray *pending;      /* encoded entries of the present batch */
  LcClaimProgress progress; /* as last written */
  uint64_t bytes;           /* size of the file */
  uint64_t compacted_bytes; /* its size after the last compaction */
  int64_t rewrite_at_us;    /* after an error: when to rewrite it */
  bool is_complete;         /* it holds every claim */
  uint64_t errors_total;
} LcClaimFile;

void lc_claim_file_init (LcClaimFile *file, const LcClaimFileDesc *desc);
void lc_claim_file_finish (LcClaimFile *file);

/* Loads the claims and progress of an earlier process into `agent` and rewrites the file.  Returns
 * the number of claims, or a negative LcErrorCode if the file can't be written. */
int lc_claim_file_load (LcClaimFile *file, LcRequestAgent *agent, int64_t now_us, LcError *error);

/* Appends the present state of a claim; written when this returns 0. */
int lc_claim_file_append (LcClaimFile *file, const LcClaimRecord *hold, LcError *error);

/* Appends the agent's LcClaimProgress if it has changed, and rewrites the file if it has grown too
 * large or a write had failed. */
int lc_claim_file_update (LcClaimFile *file,
                          const LcRequestAgent *agent,
                          int64_t now_us,
                          LcError *error);

#endif /* LC_CLAIM_FILE_H */
