#include "lc-disk-posix.h"

#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <string.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

static const char LC_DISK_LOCK[] = "lock";

enum
{
  LC_DISK_READ_BYTES = 64 << 10,
};

/* === private: errors and the open file ====================================================== */

static int
lc_disk__fail (const char *call, const char *name, LcError *error)
{
  int saved = errno;

  if (saved == ENOSPC || saved == EDQUOT)
    return lc_error_set (error, LC_ERR_FULL,
                         "free space in the data folder's file system; it goes on by itself then",
                         "%s of %s: %s", call, name, g_strerror (saved));
  if (saved == ENOENT)
    return lc_error_set (error, LC_ERR_NOT_FOUND, "look at the data folder", "%s of %s: %s", call,
                         name, g_strerror (saved));
  return lc_error_set (error, LC_ERR_IO, "look at the disk's health; if it is bad, replace this VM",
                       "%s of %s: %s", call, name, g_strerror (saved));
}

static void
lc_disk__close_file (LcDiskPosix *posix)
{
  if (posix->open_fd >= 0)
    close (posix->open_fd);
  posix->open_fd = -1;
  posix->open_name[0] = '\0';
}

/* Writes and syncs share one descriptor: a sync on another one may miss a write error. */
static int
lc_disk__open_file (LcDiskPosix *posix, const char *name, LcError *error)
{
  if (posix->open_fd >= 0 && strcmp (posix->open_name, name) == 0)
    return 0;
  lc_disk__close_file (posix);
  posix->open_fd = openat (posix->folder_fd, name, O_RDWR | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  if (posix->open_fd < 0)
    return lc_disk__fail ("open", name, error);
  (void)g_strlcpy (posix->open_name, name, sizeof posix->open_name);
  return 0;
}

/* === private: LcDisk ======================================================================== */

static int
lc_disk__list (void *user, GPtrArray *names, LcError *error)
{
  LcDiskPosix *posix = user;
  int fd = openat (posix->folder_fd, ".", O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  DIR *folder = fd >= 0 ? fdopendir (fd) : NULL;
  const struct dirent *entry;

  if (folder == NULL)
    {
      int r = lc_disk__fail ("list", ".", error);

      if (fd >= 0)
        close (fd);
      return r;
    }
  while ((entry = readdir (folder)) != NULL)
    if (entry->d_name[0] != '.' && strcmp (entry->d_name, LC_DISK_LOCK) != 0)
      g_ptr_array_add (names, g_strdup (entry->d_name));
  closedir (folder);
  return 0;
}

static int
lc_disk__read (void *user, const char *name, GByteArray *bytes, LcError *error)
{
  LcDiskPosix *posix = user;
  int fd = openat (posix->folder_fd, name, O_RDONLY | O_CLOEXEC);
  uint8_t *part;
  ssize_t n;
  int r = 0;

  if (fd < 0)
    return lc_disk__fail ("open", name, error);
  part = g_malloc (LC_DISK_READ_BYTES);
  while ((n = read (fd, part, LC_DISK_READ_BYTES)) > 0)
    g_byte_array_append (bytes, part, (guint)n);
  if (n < 0)
    r = lc_disk__fail ("read", name, error);
  g_free (part);
  close (fd);
  return r;
}

static int
lc_disk__append (void *user, const char *name, const uint8_t *bytes, size_t len, LcError *error)
{
  LcDiskPosix *posix = user;
  size_t at = 0;
  int r = lc_disk__open_file (posix, name, error);

  while (r == 0 && at < len)
    {
      ssize_t n = write (posix->open_fd, bytes + at, len - at);

      if (n >= 0)
        at += (size_t)n;
      else if (errno != EINTR)
        r = lc_disk__fail ("write", name, error);
    }
  return r;
}

static int
lc_disk__truncate (void *user, const char *name, uint64_t size, LcError *error)
{
  LcDiskPosix *posix = user;
  int r = lc_disk__open_file (posix, name, error);

  if (r == 0 && ftruncate (posix->open_fd, (off_t)size) < 0)
    r = lc_disk__fail ("truncate", name, error);
  return r;
}

static int
lc_disk__sync (void *user, const char *name, LcError *error)
{
  LcDiskPosix *posix = user;
  int r = lc_disk__open_file (posix, name, error);

  /* fdatasync also flushes the size, the only metadata that reading needs. */
  if (r == 0 && fdatasync (posix->open_fd) < 0)
    r = lc_disk__fail ("fsync", name, error);
  return r;
}

static int
lc_disk__rename (void *user, const char *from, const char *to, LcError *error)
{
  LcDiskPosix *posix = user;

  lc_disk__close_file (posix);
  if (renameat (posix->folder_fd, from, posix->folder_fd, to) < 0)
    return lc_disk__fail ("rename", from, error);
  return 0;
}

static int
lc_disk__remove (void *user, const char *name, LcError *error)
{
  LcDiskPosix *posix = user;

  if (strcmp (posix->open_name, name) == 0)
    lc_disk__close_file (posix);
  if (unlinkat (posix->folder_fd, name, 0) < 0)
    return lc_disk__fail ("remove", name, error);
  return 0;
}

static int
lc_disk__sync_folder (void *user, LcError *error)
{
  LcDiskPosix *posix = user;

  if (fsync (posix->folder_fd) < 0)
    return lc_disk__fail ("fsync", "the data folder", error);
  return 0;
}

/* === public ================================================================================= */

LcDisk
lc_disk_posix_interface (LcDiskPosix *posix)
{
  LcDisk disk = { .user = posix,
                  .list = lc_disk__list,
                  .read = lc_disk__read,
                  .append = lc_disk__append,
                  .truncate = lc_disk__truncate,
                  .sync = lc_disk__sync,
                  .rename = lc_disk__rename,
                  .remove = lc_disk__remove,
                  .sync_folder = lc_disk__sync_folder };

  return disk;
}

static int
lc_disk__lock (LcDiskPosix *posix, const char *folder, LcError *error)
{
  posix->lock_fd = openat (posix->folder_fd, LC_DISK_LOCK, O_RDWR | O_CREAT | O_CLOEXEC, 0600);
  if (posix->lock_fd < 0)
    return lc_disk__fail ("open", LC_DISK_LOCK, error);
  if (flock (posix->lock_fd, LOCK_EX | LOCK_NB) < 0)
    return lc_error_set (error, LC_ERR_IO, "stop the other process or give this one its own folder",
                         "%s is used by another process", folder);
  return 0;
}

int
lc_disk_posix_init (LcDiskPosix *posix, const char *folder, LcError *error)
{
  int r;

  memset (posix, 0, sizeof *posix);
  posix->open_fd = -1;
  posix->lock_fd = -1;
  posix->folder_fd = -1;
  if (mkdir (folder, 0700) < 0 && errno != EEXIST)
    return lc_disk__fail ("mkdir", folder, error);
  posix->folder_fd = open (folder, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (posix->folder_fd < 0)
    return lc_disk__fail ("open", folder, error);
  r = lc_disk__lock (posix, folder, error);
  if (r < 0)
    lc_disk_posix_finish (posix);
  return r;
}

void
lc_disk_posix_finish (LcDiskPosix *posix)
{
  lc_disk__close_file (posix);
  if (posix->lock_fd >= 0)
    close (posix->lock_fd);
  if (posix->folder_fd >= 0)
    close (posix->folder_fd);
  posix->lock_fd = -1;
  posix->folder_fd = -1;
}
