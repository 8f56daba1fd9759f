/* lc-disk: the interface to a data folder, a flat folder of files.
 *
 * WHAT IT IS
 *   All file access of a process to its data folder.  src/io/lc-disk-posix.c implements it; the
 *   tests use a fake that drops, tears and reorders unsynced writes, runs full and flips bits.
 *
 * RULES
 *   - An append or truncation is durable only after `sync` of that file returned 0.
 *   - Creation, renaming or removal of a file is durable only after `sync_folder` returned 0.
 *   - Every function returns 0 or a negative LcErrorCode and fills `error`: LC_ERR_FULL when there
 *     is no space, LC_ERR_IO when the device failed, LC_ERR_NOT_FOUND.
 *   - After a failed append the file may hold any part of the bytes.
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
    /* Adds the names of all files, as strings to be freed with g_free. */
    int (*list) (void *user, GPtrArray *names, LcError *error);
    int (*read) (void *user, const char *name, GByteArray *bytes, LcError *error);
    /* Creates the file if it does not exist. */
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
