#include "lc-store-private.h"

#include "lc-bytes.h"

#include <stdio.h>
#include <xxhash.h>

/* === private: errors ======================================================================== */

/* After LC_ERR_FULL the store stays usable; any other error leaves the folder in an unknown
 * state. */
static int
lc_store__note_failure (LcStore *store, int r)
{
  if (r == LC_ERR_FULL)
    {
      store->counters.full_total++;
      return r;
    }
  store->counters.io_error_total++;
  store->is_broken = true;
  return r;
}

static int
lc_store__check_usable (const LcStore *store, LcError *error)
{
  if (!store->is_broken)
    return 0;
  return lc_error_set (error, LC_ERR_IO,
                       "check the disk, then restart the process: it recovers from what is on the "
                       "disk",
                       "an earlier write to the data folder failed; no more writes are accepted");
}

/* === private: whole files =================================================================== */

static void
lc_store__append_checksum (GByteArray *bytes)
{
  lc_bytes_put_u64 (bytes, XXH3_64bits (bytes->data, bytes->len));
}

/* Atomic replacement: after a crash either the old or the new file exists. */
static int
lc_store__replace_file (LcStore *store, const char *name, const GByteArray *bytes, LcError *error)
{
  const LcDisk *disk = &store->desc.disk;
  char temporary[LC_STORE_NAME_BYTES];
  LcError ignored;
  int r;

  (void)g_snprintf (temporary, sizeof temporary, "%s.new", name);
  (void)disk->remove (disk->user, temporary, &ignored);
  r = disk->append (disk->user, temporary, bytes->data, bytes->len, error);
  if (r == LC_ERR_FULL)
    (void)disk->remove (disk->user, temporary, &ignored);
  if (r == 0)
    r = disk->sync (disk->user, temporary, error);
  if (r == 0)
    r = disk->rename (disk->user, temporary, name, error);
  if (r == 0)
    r = disk->sync_folder (disk->user, error);
  if (r < 0)
    return lc_store__note_failure (store, r);
  store->counters.fsyncs_total += 2;
  store->counters.bytes_total += bytes->len;
  return 0;
}

static void
lc_store__put_config (GByteArray *out, const LcRaftConfig *config)
{
  GBytes *bytes = lc_raft_config_encode (config);
  gsize len;
  const guint8 *data = g_bytes_get_data (bytes, &len);

  lc_bytes_put_u32 (out, (uint32_t)len);
  g_byte_array_append (out, data, (guint)len);
  g_bytes_unref (bytes);
}

/* === private: identity ====================================================================== */

static int
lc_store__write_identity (LcStore *store,
                          uint64_t cluster,
                          const LcRaftConfig *initial,
                          LcError *error)
{
  static const LcRaftConfig NO_MEMBERS;
  GByteArray *bytes = g_byte_array_new ();
  int r;

  lc_bytes_put_u32 (bytes, LC_STORE_IDENTITY_MAGIC);
  lc_bytes_put_u32 (bytes, LC_STORE_VERSION);
  lc_bytes_put_u64 (bytes, store->replica);
  lc_bytes_put_u64 (bytes, cluster);
  lc_store__put_config (bytes, initial != NULL ? initial : &NO_MEMBERS);
  lc_store__append_checksum (bytes);
  r = lc_store__replace_file (store, LC_STORE_IDENTITY, bytes, error);
  g_byte_array_unref (bytes);
  return r;
}

/* === private: snapshots ===================================================================== */

static int
lc_store__write_snapshot (LcStore *store, const LcRaftSnapshot *snapshot, LcError *error)
{
  GByteArray *bytes = g_byte_array_new ();
  gsize len;
  const guint8 *data = g_bytes_get_data (snapshot->data, &len);
  int r;

  lc_bytes_put_u32 (bytes, LC_STORE_SNAPSHOT_MAGIC);
  lc_bytes_put_u32 (bytes, LC_STORE_VERSION);
  lc_bytes_put_u64 (bytes, snapshot->index);
  lc_bytes_put_u64 (bytes, snapshot->term);
  lc_store__put_config (bytes, &snapshot->config);
  g_byte_array_append (bytes, data, (guint)len);
  lc_store__append_checksum (bytes);
  r = lc_store__replace_file (store, LC_STORE_SNAPSHOT, bytes, error);
  g_byte_array_unref (bytes);
  if (r < 0)
    return r;
  store->counters.snapshots_total++;
  store->snapshot_index = snapshot->index;
  store->snapshot_term = snapshot->term;
  return 0;
}

/* === private: segments ====================================================================== */

static void
lc_store__segment_name (char *out, uint64_t number)
{
  (void)g_snprintf (out, LC_STORE_NAME_BYTES, "wal-%016" G_GINT64_MODIFIER "x", number);
}

void
lc_store__note_segment_end (LcStore *store, uint64_t index)
{
  uint64_t *end = &g_array_index (store->segment_ends, uint64_t, store->segment_ends->len - 1);

  *end = MAX (*end, index);
}

/* A new segment repeats term and vote, so that older segments can be removed. */
static int
lc_store__begin_segment (LcStore *store, LcError *error)
{
  const LcDisk *disk = &store->desc.disk;
  GByteArray *bytes = g_byte_array_new ();
  char name[LC_STORE_NAME_BYTES];
  uint64_t no_end = 0;
  LcError ignored;
  int r;

  lc_store__segment_name (name, store->segment_number + 1);
  lc_wal_put_segment (bytes, store->next_batch, store->segment_number + 1, store->replica);
  lc_wal_put_hard_state (bytes, store->next_batch, store->term, store->vote);
  r = disk->append (disk->user, name, bytes->data, bytes->len, error);
  if (r == LC_ERR_FULL)
    (void)disk->remove (disk->user, name, &ignored);
  if (r == 0)
    r = disk->sync (disk->user, name, error);
  if (r == 0)
    r = disk->sync_folder (disk->user, error);
  if (r == 0)
    {
      store->segment_number++;
      if (store->segment_ends->len == 0)
        store->first_segment = store->segment_number;
      g_array_append_val (store->segment_ends, no_end);
      store->segment_size = bytes->len;
      store->next_batch++;
      store->counters.fsyncs_total += 2;
    }
  g_byte_array_unref (bytes);
  return r < 0 ? lc_store__note_failure (store, r) : 0;
}

/* Truncates the current segment to its last confirmed batch. */
static int
lc_store__truncate_segment (LcStore *store, const char *name)
{
  const LcDisk *disk = &store->desc.disk;
  LcError ignored;
  int r = disk->truncate (disk->user, name, store->segment_size, &ignored);

  return r == 0 ? disk->sync (disk->user, name, &ignored) : r;
}

static int
lc_store__append (LcStore *store, const GByteArray *bytes, LcError *error)
{
  const LcDisk *disk = &store->desc.disk;
  char name[LC_STORE_NAME_BYTES];
  int r;

  lc_store__segment_name (name, store->segment_number);
  r = disk->append (disk->user, name, bytes->data, bytes->len, error);
  if (r == LC_ERR_FULL && lc_store__truncate_segment (store, name) < 0)
    r = LC_ERR_IO;
  if (r == 0)
    {
      r = disk->sync (disk->user, name, error);
      /* After a failed fsync, for whatever reason, it is unknown which pages are on disk. */
      r = r < 0 ? LC_ERR_IO : 0;
    }
  if (r < 0)
    return lc_store__note_failure (store, r);
  store->segment_size += bytes->len;
  store->next_batch++;
  store->counters.fsyncs_total++;
  store->counters.batches_total++;
  store->counters.bytes_total += bytes->len;
  return 0;
}

/* === public: lifetime ======================================================================= */

void
lc_store_init (LcStore *store, const LcStoreDesc *desc)
{
  memset (store, 0, sizeof *store);
  store->desc = *desc;
  if (store->desc.segment_bytes == 0)
    store->desc.segment_bytes = LC_STORE_SEGMENT_BYTES;
  store->next_batch = 1;
  store->segment_ends = g_array_new (FALSE, TRUE, sizeof (uint64_t));
}

void
lc_store_finish (LcStore *store)
{
  g_array_unref (store->segment_ends);
  memset (store, 0, sizeof *store);
}

int
lc_store_format (LcStore *store, LcReplicaId replica, LcError *error)
{
  store->replica = replica;
  return lc_store__write_identity (store, 0, NULL, error);
}

int
lc_store_set_cluster (LcStore *store, uint64_t cluster, const LcRaftConfig *initial, LcError *error)
{
  return lc_store__write_identity (store, cluster, initial, error);
}

/* === public: writing ======================================================================== */

static void
lc_store__encode (const LcStore *store, const LcRaftPersist *persist, GByteArray *bytes)
{
  uint64_t batch = store->next_batch;

  if (store->needs_reset || persist->snapshot.index > 0)
    lc_wal_put_reset (bytes, batch, store->snapshot_index, store->snapshot_term);
  if (persist->has_hard_state)
    lc_wal_put_hard_state (bytes, batch, persist->term, persist->vote);
  for (guint i = 0; persist->entries != NULL && i < persist->entries->len; i++)
    lc_wal_put_entry (bytes, batch, &g_array_index (persist->entries, LcRaftEntry, i));
  /* Last, so that a torn batch doesn't keep it without its entries; never written on its own. */
  if (persist->entries != NULL && persist->entries->len > 0 && persist->commit_index > 0)
    lc_wal_put_commit (bytes, batch, persist->commit_index);
}

static void
lc_store__note_written (LcStore *store, const LcRaftPersist *persist)
{
  store->needs_reset = false;
  if (persist->has_hard_state)
    {
      store->term = persist->term;
      store->vote = persist->vote;
    }
  if (persist->snapshot.index > 0)
    store->last_index = persist->snapshot.index;
  if (persist->entries != NULL && persist->entries->len > 0)
    store->last_index =
        g_array_index (persist->entries, LcRaftEntry, persist->entries->len - 1).index;
  lc_store__note_segment_end (store, store->last_index);
}

int
lc_store_write (LcStore *store, const LcRaftPersist *persist, LcError *error)
{
  GByteArray *bytes;
  int r = lc_store__check_usable (store, error);

  if (r == 0 && persist->snapshot.index > 0)
    r = lc_store__write_snapshot (store, &persist->snapshot, error);
  if (r == 0 && (store->segment_ends->len == 0 || store->segment_size >= store->desc.segment_bytes))
    r = lc_store__begin_segment (store, error);
  if (r < 0)
    return r;
  bytes = g_byte_array_new ();
  lc_store__encode (store, persist, bytes);
  if (bytes->len > 0)
    r = lc_store__append (store, bytes, error);
  g_byte_array_unref (bytes);
  if (r == 0)
    lc_store__note_written (store, persist);
  return r;
}

/* Syncs the folder after each removal: if a newer segment's removal became durable before an older
 * one's, the gap would look like a lost segment. */
static void
lc_store__remove_segments (LcStore *store)
{
  const LcDisk *disk = &store->desc.disk;

  while (store->segment_ends->len > 1 &&
         g_array_index (store->segment_ends, uint64_t, 0) <= store->snapshot_index)
    {
      char name[LC_STORE_NAME_BYTES];
      LcError ignored;

      lc_store__segment_name (name, store->first_segment);
      if (disk->remove (disk->user, name, &ignored) < 0 ||
          disk->sync_folder (disk->user, &ignored) < 0)
        return;
      g_array_remove_index (store->segment_ends, 0);
      store->first_segment++;
    }
}

int
lc_store_save_snapshot (LcStore *store, const LcRaftSnapshot *snapshot, LcError *error)
{
  int r = lc_store__check_usable (store, error);

  if (r == 0 && snapshot->index > store->snapshot_index)
    r = lc_store__write_snapshot (store, snapshot, error);
  if (r == 0)
    lc_store__remove_segments (store);
  return r;
}
