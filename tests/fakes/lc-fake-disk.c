#include "lc-fake-disk.h"

#include <string.h>

enum
{
  LC_FAKE_SECTOR = 512,
};

typedef struct
{
  GByteArray *present; /* as written */
  GByteArray *durable; /* as of the last sync */
  int n_refs;
} LcFakeFile;

/* === private ================================================================================ */

static uint64_t
lc_fake__random (LcFakeDisk *fake)
{
  fake->random = fake->random * UINT64_C (6364136223846793005) + UINT64_C (1442695040888963407);
  return fake->random >> 33;
}

static LcFakeFile *
lc_fake__new_file (void)
{
  LcFakeFile *file = g_new0 (LcFakeFile, 1);

  file->present = g_byte_array_new ();
  file->durable = g_byte_array_new ();
  file->n_refs = 1;
  return file;
}

static gpointer
lc_fake__ref (LcFakeFile *file)
{
  file->n_refs++;
  return file;
}

static void
lc_fake__unref (gpointer data)
{
  LcFakeFile *file = data;

  if (--file->n_refs > 0)
    return;
  g_byte_array_unref (file->present);
  g_byte_array_unref (file->durable);
  g_free (file);
}

static void
lc_fake__copy_bytes (GByteArray *to, const GByteArray *from)
{
  g_byte_array_set_size (to, 0);
  g_byte_array_append (to, from->data, from->len);
}

/* === LcDisk calls =========================================================================== */

static int
lc_fake__list (void *user, GPtrArray *names, LcError *error)
{
  LcFakeDisk *fake = user;
  GHashTableIter iter;
  gpointer key;

  g_hash_table_iter_init (&iter, fake->present);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    g_ptr_array_add (names, g_strdup (key));
  return 0;
}

static LcFakeFile *
lc_fake__find (LcFakeDisk *fake, const char *name, LcError *error)
{
  LcFakeFile *file = g_hash_table_lookup (fake->present, name);

  if (file == NULL)
    (void)lc_error_set (error, LC_ERR_NOT_FOUND, "create the file first", "file %s does not exist",
                        name);
  return file;
}

static int
lc_fake__read (void *user, const char *name, GByteArray *bytes, LcError *error)
{
  LcFakeFile *file = lc_fake__find (user, name, error);

  if (file == NULL)
    return LC_ERR_NOT_FOUND;
  g_byte_array_append (bytes, file->present->data, file->present->len);
  return 0;
}

static int
lc_fake__append (void *user, const char *name, const uint8_t *bytes, size_t len, LcError *error)
{
  LcFakeDisk *fake = user;
  LcFakeFile *file = g_hash_table_lookup (fake->present, name);
  size_t n = len;

  if (file == NULL)
    {
      file = lc_fake__new_file ();
      g_hash_table_insert (fake->present, g_strdup (name), file);
    }
  if (fake->bytes_left >= 0)
    n = MIN (n, (size_t)fake->bytes_left);
  g_byte_array_append (file->present, bytes, (guint)n);
  fake->n_bytes += n;
  if (fake->bytes_left >= 0)
    fake->bytes_left -= (int64_t)n;
  if (n < len)
    return lc_error_set (error, LC_ERR_FULL, "raise bytes_left", "no space left to append to %s",
                         name);
  return 0;
}

static int
lc_fake__truncate (void *user, const char *name, uint64_t size, LcError *error)
{
  LcFakeFile *file = lc_fake__find (user, name, error);

  if (file == NULL)
    return LC_ERR_NOT_FOUND;
  if (size < file->present->len)
    g_byte_array_set_size (file->present, (guint)size);
  return 0;
}

static bool
lc_fake__may_sync (LcFakeDisk *fake)
{
  if (fake->syncs_left == 0)
    return false;
  if (fake->syncs_left > 0)
    fake->syncs_left--;
  fake->n_syncs++;
  return true;
}

static int
lc_fake__sync (void *user, const char *name, LcError *error)
{
  LcFakeDisk *fake = user;
  LcFakeFile *file = lc_fake__find (fake, name, error);

  if (file == NULL)
    return LC_ERR_NOT_FOUND;
  if (!lc_fake__may_sync (fake))
    return lc_error_set (error, LC_ERR_IO, "raise syncs_left", "sync of file %s failed", name);
  lc_fake__copy_bytes (file->durable, file->present);
  return 0;
}

static int
lc_fake__rename (void *user, const char *from, const char *to, LcError *error)
{
  LcFakeDisk *fake = user;
  LcFakeFile *file = lc_fake__find (fake, from, error);

  if (file == NULL)
    return LC_ERR_NOT_FOUND;
  g_hash_table_insert (fake->present, g_strdup (to), lc_fake__ref (file));
  g_hash_table_remove (fake->present, from);
  return 0;
}

static int
lc_fake__remove (void *user, const char *name, LcError *error)
{
  LcFakeDisk *fake = user;

  if (lc_fake__find (fake, name, error) == NULL)
    return LC_ERR_NOT_FOUND;
  g_hash_table_remove (fake->present, name);
  return 0;
}

static void
lc_fake__copy_names (GHashTable *to, GHashTable *from)
{
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  g_hash_table_remove_all (to);
  g_hash_table_iter_init (&iter, from);
  while (g_hash_table_iter_next (&iter, &key, &value))
    g_hash_table_insert (to, g_strdup (key), lc_fake__ref (value));
}

static int
lc_fake__sync_folder (void *user, LcError *error)
{
  LcFakeDisk *fake = user;

  if (!lc_fake__may_sync (fake))
    return lc_error_set (error, LC_ERR_IO, "raise syncs_left", "sync of the folder failed");
  lc_fake__copy_names (fake->durable, fake->present);
  return 0;
}

/* === crash ================================================================================== */

/* Cuts the unsynced bytes at a random place and zeroes random sectors of them. */
static void
lc_fake__tear_file (LcFakeDisk *fake, LcFakeFile *file)
{
  guint synced = file->durable->len;
  guint len = file->present->len;
  bool is_prefix = len >= synced && memcmp (file->present->data, file->durable->data, synced) == 0;

  if (!is_prefix || len == synced || lc_fake__random (fake) % 3 == 0)
    {
      lc_fake__copy_bytes (file->present, file->durable);
      return;
    }
  len = synced + 1 + (guint)(lc_fake__random (fake) % (len - synced));
  g_byte_array_set_size (file->present, len);
  for (guint at = synced; at < len; at += LC_FAKE_SECTOR)
    if (lc_fake__random (fake) % 4 == 0)
      memset (file->present->data + at, 0, MIN (LC_FAKE_SECTOR, len - at));
  lc_fake__copy_bytes (file->durable, file->present);
}

/* Keeps or reverts each change of a name since the last sync_folder. */
static void
lc_fake__crash_names (LcFakeDisk *fake)
{
  GHashTable *names = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, lc_fake__unref);
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  g_hash_table_iter_init (&iter, fake->durable);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      gpointer now = g_hash_table_lookup (fake->present, key);

      if (now != value && lc_fake__random (fake) % 2 == 0)
        value = now;
      if (value != NULL)
        g_hash_table_insert (names, g_strdup (key), lc_fake__ref (value));
    }
  g_hash_table_iter_init (&iter, fake->present);
  while (g_hash_table_iter_next (&iter, &key, &value))
    if (g_hash_table_lookup (fake->durable, key) == NULL && lc_fake__random (fake) % 2 == 0)
      g_hash_table_insert (names, g_strdup (key), lc_fake__ref (value));
  lc_fake__copy_names (fake->present, names);
  lc_fake__copy_names (fake->durable, names);
  g_hash_table_destroy (names);
}

void
lc_fake_disk_crash (LcFakeDisk *fake)
{
  GHashTableIter iter;
  gpointer value;

  lc_fake__crash_names (fake);
  g_hash_table_iter_init (&iter, fake->present);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    lc_fake__tear_file (fake, value);
  fake->syncs_left = -1;
}

/* === lifetime =============================================================================== */

LcFakeDisk *
lc_fake_disk_new (uint64_t seed)
{
  LcFakeDisk *fake = g_new0 (LcFakeDisk, 1);

  fake->durable = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, lc_fake__unref);
  fake->present = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, lc_fake__unref);
  fake->random = seed;
  fake->bytes_left = -1;
  fake->syncs_left = -1;
  return fake;
}

void
lc_fake_disk_free (LcFakeDisk *fake)
{
  g_hash_table_destroy (fake->durable);
  g_hash_table_destroy (fake->present);
  g_free (fake);
}

LcDisk
lc_fake_disk_interface (LcFakeDisk *fake)
{
  LcDisk disk = { .user = fake,
                  .list = lc_fake__list,
                  .read = lc_fake__read,
                  .append = lc_fake__append,
                  .truncate = lc_fake__truncate,
                  .sync = lc_fake__sync,
                  .rename = lc_fake__rename,
                  .remove = lc_fake__remove,
                  .sync_folder = lc_fake__sync_folder };

  return disk;
}

GByteArray *
lc_fake_disk_bytes (LcFakeDisk *fake, const char *name)
{
  LcFakeFile *file = g_hash_table_lookup (fake->present, name);

  return file != NULL ? file->present : NULL;
}

const char *
lc_fake_disk_newest_segment (LcFakeDisk *fake)
{
  const char *newest = NULL;
  GHashTableIter iter;
  gpointer key;

  g_hash_table_iter_init (&iter, fake->present);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    if (g_str_has_prefix (key, "wal-") && (newest == NULL || strcmp (key, newest) > 0))
      newest = key;
  return newest;
}
