/* lc-disk-posix: the real data folder.
 *
 * HOW TO USE IT
 *     LcDiskPosix posix;
 *     lc_disk_posix_init (&posix, "/var/lib/lychee", &error);    makes the folder and locks it
 *     LcDisk disk = lc_disk_posix_interface (&posix);
 *     lc_disk_posix_finish (&posix);
 *
 * LIMITS
 *   One process a folder: a lock file keeps a second one out.  One thread at a time.
 */
#ifndef LC_DISK_POSIX_H
#define LC_DISK_POSIX_H

#include "core/control/lc-disk.h"

typedef struct
{
  int folder_fd;
  int lock_fd;
  char open_name[64]; /* the file that open_fd is */
  int open_fd;        /* kept from write to write */
} LcDiskPosix;

int lc_disk_posix_init (LcDiskPosix *posix, const char *folder, LcError *error);
void lc_disk_posix_finish (LcDiskPosix *posix);
LcDisk lc_disk_posix_interface (LcDiskPosix *posix);

#endif /* LC_DISK_POSIX_H */
