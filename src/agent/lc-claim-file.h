/* lc-claim-file: the claims of an agent, kept for its next start.
 *
 * WHAT IT IS
 *   A file to which each claim is appended as it is granted, read from another home or released,
 *   and with it how far this agent knows them (LcClaimProgress).  A process that is killed has lost
 *   nothing that it had written: the next one goes on as the member that it was.
 *
 * HOW TO USE IT
 *     lc_claim_file_init (&file, &(LcClaimFileDesc){ disk, boot_id, "order-desk" });
 *     lc_claim_file_load (&file, &agent, now_us, &error);      an agent that has just been made
 *     lc_claim_file_claim (&file, &hold);                      before the grant is sent
 *     lc_claim_file_settle (&file, &agent, now_us);            after each batch of decisions
 *   A file that could not be written is removed at once, and made anew by a later
 *   lc_claim_file_settle: it never lacks a claim.
 *
 * WITHOUT SYNC
 *   What a process has written is read by the next one on the same start of the VM, synced or not.
 *   After a start of the VM any part of it may be missing, so the file counts only under the boot
 *   id that it was begun with.  A last entry that is cut short was never acted upon.
 *
 * LIMITS
 *   The file is made anew when it has grown to twice what its claims need and LC_CLAIM_FILE_SLACK
 *   more: for the 400 000 claims of a full store about 50 MB.
 */
#ifndef LC_CLAIM_FILE_H
#define LC_CLAIM_FILE_H

#include "core/control/lc-disk.h"
#include "core/request/lc-request-agent.h"

enum
{
  LC_CLAIM_FILE_SLACK = 1 << 20,    /* bytes */
  LC_CLAIM_FILE_RETRY_US = 5000000, /* between attempts to make it anew after an error */
};

typedef struct
{
  LcDisk disk;
  char boot_id[64]; /* of this start of the VM */
  char service[LC_NAME_MAX];
} LcClaimFileDesc;

typedef struct
{
  LcClaimFileDesc desc;
  GByteArray *unwritten; /* entries of the present batch */
  LcClaimProgress state; /* as written */
  uint64_t bytes;        /* in the file */
  uint64_t bytes_anew;   /* when it was last made anew */
  int64_t retry_us;      /* when to make it anew after an error */
  bool is_good;          /* the file holds every claim */
  uint64_t errors_total;
} LcClaimFile;

void lc_claim_file_init (LcClaimFile *file, const LcClaimFileDesc *desc);
void lc_claim_file_finish (LcClaimFile *file);

/* Reads what an earlier process has kept into `agent` and makes the file anew.  Returns how many
 * claims there were, or a negative LcErrorCode when the file can't be written. */
int lc_claim_file_load (LcClaimFile *file, LcRequestAgent *agent, int64_t now_us, LcError *error);

/* Appends a claim as it stands.  It is written when this returns 0. */
int lc_claim_file_claim (LcClaimFile *file, const LcClaimRecord *hold, LcError *error);

/* Appends how far the agent knows claims, if that has changed, and makes the file anew when it has
 * grown or was lost. */
int lc_claim_file_settle (LcClaimFile *file,
                          const LcRequestAgent *agent,
                          int64_t now_us,
                          LcError *error);

#endif /* LC_CLAIM_FILE_H */
