/* lc-disk: the one way in which a process touches its data folder.
 *
 * WHAT IT IS
 *   A flat folder of files.  src/io/lc-disk-posix.c is the real one; tests bring a fake that
 *   drops unsynced writes, tears and reorders them, runs full and flips bits.
 *
 * RULES
 *   - What was appended or truncated is durable only after `sync` of that file returned 0.
 *   - That a file exists, was renamed or removed is durable only after `sync_folder` returned 0.
 *   - Every function returns 0 or a negative LcErrorCode and fills `error`: LC_ERR_FULL when there
 *     is no space, LC_ERR_IO when the device failed, LC_ERR_NOT_FOUND.
 *   - After an append that failed the file may hold any part of the bytes.
 *
 * THREADS
 *   One thread at a time.
 */
#ifndef LC_DISK_H
#define LC_DISK_H

#include "core/lc-error.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C"
{
#endif

  typedef struct
  {
    void *user;
    /* Names of all files, into a GPtrArray of g_free'd strings. */
    int (*list) (void *user, GPtrArray *names, LcError *error);
    int (*read) (void *user, const char *name, GByteArray *bytes, LcError *error);
    /* Makes the file when it isn't there. */
    int (*append) (void *user, const char *name, const uint8_t *bytes, size_t len, LcError *error);
    int (*truncate) (void *user, const char *name, uint64_t size, LcError *error);
    int (*sync) (void *user, const char *name, LcError *error);
    int (*rename) (void *user, const char *from, const char *to, LcError *error);
    int (*remove) (void *user, const char *name, LcError *error);
    int (*sync_folder) (void *user, LcError *error);
  } LcDisk;

#ifdef __cplusplus
}
#endif

#endif /* LC_DISK_H */
