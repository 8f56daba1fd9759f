/* lc-disk-posix: the LcDisk interface on a data folder of the file system.
 *
 * HOW TO USE IT
 *     LcDiskPosix posix;
 *     lc_disk_posix_init (&posix, "/var/lib/lychee", &error);   creates the folder and locks it
 *     LcDisk disk = lc_disk_posix_interface (&posix);
 *     lc_disk_posix_finish (&posix);
 *
 * LIMITS
 *   One process a folder, enforced by a lock file.  One thread at a time.
 */
#ifndef LC_DISK_POSIX_H
#define LC_DISK_POSIX_H

#include "core/control/lc-disk.h"

typedef struct
{
  int folder_fd;
  int lock_fd;
  char open_name[64]; /* of the file behind open_fd */
  int open_fd;        /* kept open between writes; -1: none */
} LcDiskPosix;

int lc_disk_posix_init (LcDiskPosix *posix, const char *folder, LcError *error);
void lc_disk_posix_finish (LcDiskPosix *posix);
LcDisk lc_disk_posix_interface (LcDiskPosix *posix);

#endif /* LC_DISK_POSIX_H */
