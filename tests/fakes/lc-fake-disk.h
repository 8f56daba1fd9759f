/* lc-fake-disk: an in-memory LcDisk whose crash loses or tears what was not synced.
 *
 * HOW TO USE IT
 *     LcFakeDisk *fake = lc_fake_disk_new (seed);
 *     LcDisk disk = lc_fake_disk_interface (fake);
 *     lc_fake_disk_crash (fake);     keeps what was synced, and a random part of the rest
 *     lc_fake_disk_free (fake);
 *
 * CRASH
 *   Each 512-byte sector of unsynced bytes is kept, zeroed or cut off; each change of a name
 *   since the last sync_folder is independently kept or lost.
 *
 * FAULTS
 *   bytes_left: an append beyond it writes the part that fits and fails with LC_ERR_FULL.
 *   syncs_left: after so many, a sync does nothing and fails with LC_ERR_IO, as on a failed device
 *   or before a crash in the middle of a write.
 */
#ifndef LC_FAKE_DISK_H
#define LC_FAKE_DISK_H

#include "core/control/lc-disk.h"

#ifdef __cplusplus
extern "C"
{
#endif

  typedef struct
  {
    GHashTable *durable; /* name -> file, as of the last sync_folder */
    GHashTable *present; /* name -> file, as the process sees it */
    uint64_t random;
    int64_t bytes_left; /* -1: no limit */
    int64_t syncs_left; /* -1: no limit */
    uint64_t n_syncs;
    uint64_t n_bytes;
  } LcFakeDisk;

  LcFakeDisk *lc_fake_disk_new (uint64_t seed);
  void lc_fake_disk_free (LcFakeDisk *fake);
  LcDisk lc_fake_disk_interface (LcFakeDisk *fake);
  void lc_fake_disk_crash (LcFakeDisk *fake);
  /* A file's bytes, for a test to damage; NULL if there is no such file. */
  GByteArray *lc_fake_disk_bytes (LcFakeDisk *fake, const char *name);
  /* The newest segment of the log, or NULL. */
  const char *lc_fake_disk_newest_segment (LcFakeDisk *fake);

#ifdef __cplusplus
}
#endif

#endif /* LC_FAKE_DISK_H */
