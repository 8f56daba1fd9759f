#include "lc-store-private.h"

#include "lc-bytes.h"

#include <xxhash.h>

static const char LC_STORE_REPLACE_REMEDY[] =
    "replace this control VM (`lychee plan replace-control-vm`) and start it with an empty data "
    "folder; keep the old folder until that is done";

/* === private: whole files =================================================================== */

static int
lc_store__corrupt (LcError *error, const char *name, const char *what)
{
  return lc_error_set (error, LC_ERR_CORRUPT, LC_STORE_REPLACE_REMEDY, "%s: %s", name, what);
}

/* Checks checksum, magic and version, and sets the reader behind them. */
static bool
lc_store__check_file (const GByteArray *bytes, uint32_t magic, LcBytesReader *reader)
{
  LcBytesReader tail;
  size_t len;

  if (bytes->len < LC_STORE_HASH_BYTES)
    return false;
  len = bytes->len - LC_STORE_HASH_BYTES;
  tail = (LcBytesReader){ bytes->data, bytes->len, len, false };
  if (lc_bytes_get_u64 (&tail) != XXH3_64bits (bytes->data, len))
    return false;
  *reader = (LcBytesReader){ bytes->data, len, 0, false };
  return lc_bytes_get_u32 (reader) == magic && lc_bytes_get_u32 (reader) == LC_STORE_VERSION;
}

static bool
lc_store__get_config (LcBytesReader *reader, LcRaftConfig *config)
{
  uint32_t len = lc_bytes_get_u32 (reader);
  const uint8_t *bytes = lc_bytes_get (reader, len);

  return bytes != NULL && lc_raft_config_decode (config, bytes, len) == 0;
}

static int
lc_store__read_identity (LcStore *store, LcStoreRecovered *found, LcError *error)
{
  GByteArray *bytes = g_byte_array_new ();
  LcBytesReader reader = { 0 };
  int r = store->desc.disk.read (store->desc.disk.user, LC_STORE_IDENTITY, bytes, error);

  if (r == 0 && !lc_store__check_file (bytes, LC_STORE_IDENTITY_MAGIC, &reader))
    r = lc_store__corrupt (error, LC_STORE_IDENTITY, "its checksum or version does not match");
  if (r == 0)
    {
      found->replica = lc_bytes_get_u64 (&reader);
      found->cluster = lc_bytes_get_u64 (&reader);
      if (!lc_store__get_config (&reader, &found->initial) || found->replica == 0)
        r = lc_store__corrupt (error, LC_STORE_IDENTITY, "its fields are invalid");
    }
  store->replica = found->replica;
  g_byte_array_unref (bytes);
  return r;
}

static int
lc_store__read_snapshot (LcStore *store, LcRaftSnapshot *snapshot, LcError *error)
{
  GByteArray *bytes = g_byte_array_new ();
  LcBytesReader reader = { 0 };
  int r = store->desc.disk.read (store->desc.disk.user, LC_STORE_SNAPSHOT, bytes, error);

  if (r == 0 && !lc_store__check_file (bytes, LC_STORE_SNAPSHOT_MAGIC, &reader))
    r = lc_store__corrupt (error, LC_STORE_SNAPSHOT, "its checksum or version does not match");
  if (r == 0)
    {
      snapshot->index = lc_bytes_get_u64 (&reader);
      snapshot->term = lc_bytes_get_u64 (&reader);
      if (!lc_store__get_config (&reader, &snapshot->config))
        r = lc_store__corrupt (error, LC_STORE_SNAPSHOT, "its members are invalid");
    }
  if (r == 0)
    snapshot->data = g_bytes_new (reader.bytes + reader.at, reader.len - reader.at);
  store->snapshot_index = snapshot->index;
  store->snapshot_term = snapshot->term;
  g_byte_array_unref (bytes);
  return r;
}

/* === private: segments ====================================================================== */

typedef struct
{
  LcStore *store;
  LcStoreRecovered *found;
  uint64_t expected_segment;
  const char *name;
  uint64_t last_index; /* newest entry replayed; the next is at most one more */
  bool has_entries;
  bool is_empty; /* the segment just read had no valid record */
} LcStoreReplay;

static int
lc_store__replay_entry (LcStoreReplay *replay, const LcRaftEntry *entry, LcError *error)
{
  GArray *entries = replay->found->entries;
  LcRaftEntry copy;

  if (replay->has_entries && entry->index > replay->last_index + 1)
    return lc_store__corrupt (error, replay->name, "it has a gap in its entries");
  while (entries->len > 0 &&
         g_array_index (entries, LcRaftEntry, entries->len - 1).index >= entry->index)
    g_array_set_size (entries, entries->len - 1);
  copy = lc_raft_entry_copy (entry);
  g_array_append_val (entries, copy);
  replay->last_index = entry->index;
  replay->has_entries = true;
  lc_store__note_segment_end (replay->store, entry->index);
  return 0;
}

static int
lc_store__replay_record (void *user, const LcWalRecord *record, LcError *error)
{
  LcStoreReplay *replay = user;
  LcStore *store = replay->store;

  store->next_batch = MAX (store->next_batch, record->batch + 1);
  switch (record->kind)
    {
    case LC_WAL_SEGMENT:
      if (record->segment.number != replay->expected_segment ||
          record->segment.replica != store->replica)
        return lc_store__corrupt (error, replay->name, "it belongs to another position or replica");
      return 0;
    case LC_WAL_HARD_STATE:
      store->term = record->hard.term;
      store->vote = record->hard.vote;
      return 0;
    case LC_WAL_ENTRY:
      return lc_store__replay_entry (replay, &record->entry, error);
    case LC_WAL_RESET:
      g_array_set_size (replay->found->entries, 0);
      replay->last_index = record->reset.index;
      replay->has_entries = true;
      lc_store__note_segment_end (store, record->reset.index);
      return 0;
    case LC_WAL_COMMIT:
      replay->found->commit_index = MAX (replay->found->commit_index, record->commit_index);
      return 0;
    }
  return 0;
}

/* Truncates the torn end of an unacknowledged write, so that the next write follows valid
 * records. */
static int
lc_store__truncate_torn (
    LcStore *store, const char *name, size_t n_whole, size_t len, LcError *error)
{
  const LcDisk *disk = &store->desc.disk;
  int r = disk->truncate (disk->user, name, n_whole, error);

  if (r == 0)
    r = disk->sync (disk->user, name, error);
  store->counters.torn_total++;
  store->counters.torn_bytes += len - n_whole;
  return r;
}

/* Makes the next write start a new segment: one that lost its end may lack the term and vote of its
 * first batch. */
static void
lc_store__close_segment (LcStore *store)
{
  store->segment_size = store->desc.segment_bytes;
}

static int
lc_store__read_segment (LcStoreReplay *replay, const char *name, bool is_last, LcError *error)
{
  LcStore *store = replay->store;
  GByteArray *bytes = g_byte_array_new ();
  uint64_t no_end = 0;
  size_t n_whole = 0;
  int r = store->desc.disk.read (store->desc.disk.user, name, bytes, error);

  g_array_append_val (store->segment_ends, no_end);
  replay->name = name;
  if (r == 0)
    r = lc_wal_scan (bytes->data, bytes->len, name, is_last, lc_store__replay_record, replay,
                     &n_whole, error);
  store->segment_size = n_whole;
  replay->is_empty = n_whole == 0;
  if (r == 0 && n_whole < bytes->len)
    {
      r = lc_store__truncate_torn (store, name, n_whole, bytes->len, error);
      lc_store__close_segment (store);
    }
  g_byte_array_unref (bytes);
  return r;
}

static int
lc_store__compare_names (gconstpointer a, gconstpointer b)
{
  return strcmp (*(const char *const *)a, *(const char *const *)b);
}

/* Removes a segment whose first record never became durable; its number is used again. */
static int
lc_store__remove_empty_segment (LcStore *store, const char *name, LcError *error)
{
  const LcDisk *disk = &store->desc.disk;
  int r = disk->remove (disk->user, name, error);

  if (r == 0)
    r = disk->sync_folder (disk->user, error);
  g_array_set_size (store->segment_ends, store->segment_ends->len - 1);
  store->segment_number--;
  lc_store__close_segment (store);
  return r;
}

static int
lc_store__read_segments (LcStore *store, GPtrArray *names, LcStoreRecovered *found, LcError *error)
{
  LcStoreReplay replay = { .store = store, .found = found };
  int r = 0;

  for (guint i = 0; i < names->len && r == 0; i++)
    {
      const char *name = g_ptr_array_index (names, i);
      uint64_t number = g_ascii_strtoull (name + strlen ("wal-"), NULL, 16);

      if (i == 0)
        store->first_segment = number;
      else if (number != store->segment_number + 1)
        return lc_store__corrupt (error, name, "the segment before it is missing");
      store->segment_number = number;
      replay.expected_segment = number;
      r = lc_store__read_segment (&replay, name, i + 1 == names->len, error);
      if (r == 0 && replay.is_empty)
        r = lc_store__remove_empty_segment (store, name, error);
    }
  store->last_index = replay.has_entries ? replay.last_index : 0;
  return r;
}

/* Keeps the entries after the snapshot if they continue it.  Entries that end before it or conflict
 * with it were about to be replaced when the process stopped. */
static int
lc_store__merge_snapshot (LcStore *store, LcStoreRecovered *found, LcError *error)
{
  GArray *entries = found->entries;
  uint64_t base = found->snapshot.index;
  guint n_covered = 0;
  bool had_entries = entries->len > 0;
  bool agrees = false;

  if (entries->len > 0 && g_array_index (entries, LcRaftEntry, 0).index > base + 1)
    return lc_store__corrupt (error, LC_STORE_SNAPSHOT, "the log after it starts too late");
  if (entries->len > 0 && g_array_index (entries, LcRaftEntry, 0).index == base + 1)
    agrees = true;
  for (guint i = 0; i < entries->len; i++)
    {
      const LcRaftEntry *e = &g_array_index (entries, LcRaftEntry, i);

      n_covered += e->index <= base ? 1 : 0;
      agrees = agrees || (e->index == base && e->term == found->snapshot.term);
    }
  if (agrees)
    g_array_remove_range (entries, 0, n_covered);
  else
    g_array_set_size (entries, 0);
  store->needs_reset = (!agrees && had_entries) || (entries->len == 0 && store->last_index != base);
  store->last_index = base + entries->len;
  return 0;
}

static int
lc_store__list (
    LcStore *store, GPtrArray *segments, bool *has_identity, bool *has_snapshot, LcError *error)
{
  const LcDisk *disk = &store->desc.disk;
  GPtrArray *names = g_ptr_array_new_with_free_func (g_free);
  LcError ignored;
  int r = disk->list (disk->user, names, error);

  for (guint i = 0; i < names->len && r == 0; i++)
    {
      const char *name = g_ptr_array_index (names, i);

      *has_identity = *has_identity || strcmp (name, LC_STORE_IDENTITY) == 0;
      *has_snapshot = *has_snapshot || strcmp (name, LC_STORE_SNAPSHOT) == 0;
      if (g_str_has_prefix (name, "wal-"))
        g_ptr_array_add (segments, g_strdup (name));
      /* A replacement that was never renamed: the old file is valid. */
      if (g_str_has_suffix (name, ".new"))
        (void)disk->remove (disk->user, name, &ignored);
    }
  g_ptr_array_sort (segments, lc_store__compare_names);
  g_ptr_array_unref (names);
  return r;
}

/* === private: emptying the folder ============================================================ */

/* Removes the marker last: while it exists, the other files are ignored. */
static int
lc_store__remove_all (LcStore *store, LcError *error)
{
  const LcDisk *disk = &store->desc.disk;
  GPtrArray *names = g_ptr_array_new_with_free_func (g_free);
  int r = disk->list (disk->user, names, error);

  for (guint i = 0; i < names->len && r == 0; i++)
    {
      const char *name = g_ptr_array_index (names, i);

      if (strcmp (name, LC_STORE_DISCARD) != 0)
        r = disk->remove (disk->user, name, error);
    }
  g_ptr_array_unref (names);
  if (r == 0)
    r = disk->sync_folder (disk->user, error);
  if (r == 0)
    r = disk->remove (disk->user, LC_STORE_DISCARD, error);
  return r == 0 ? disk->sync_folder (disk->user, error) : r;
}

static bool
lc_store__is_discarded (LcStore *store)
{
  const LcDisk *disk = &store->desc.disk;
  GPtrArray *names = g_ptr_array_new_with_free_func (g_free);
  bool is_discarded = false;
  LcError ignored;

  if (disk->list (disk->user, names, &ignored) == 0)
    is_discarded = g_ptr_array_find_with_equal_func (names, LC_STORE_DISCARD, g_str_equal, NULL);
  g_ptr_array_unref (names);
  return is_discarded;
}

/* === public ================================================================================= */

int
lc_store_discard (LcStore *store, LcError *error)
{
  const LcDisk *disk = &store->desc.disk;
  const uint8_t mark = 1;
  int r = disk->append (disk->user, LC_STORE_DISCARD, &mark, sizeof mark, error);

  if (r == 0)
    r = disk->sync (disk->user, LC_STORE_DISCARD, error);
  if (r == 0)
    r = disk->sync_folder (disk->user, error);
  return r == 0 ? lc_store__remove_all (store, error) : r;
}

void
lc_store_recovered_finish (LcStoreRecovered *found)
{
  lc_raft_snapshot_finish (&found->snapshot);
  if (found->entries != NULL)
    g_array_unref (found->entries);
  found->entries = NULL;
}

static int
lc_store__recover (
    LcStore *store, LcStoreRecovered *found, GPtrArray *segments, bool has_snapshot, LcError *error)
{
  int r = lc_store__read_identity (store, found, error);

  if (r == 0 && has_snapshot)
    r = lc_store__read_snapshot (store, &found->snapshot, error);
  if (r == 0)
    r = lc_store__read_segments (store, segments, found, error);
  if (r == 0)
    r = lc_store__merge_snapshot (store, found, error);
  found->term = store->term;
  found->vote = store->vote;
  return r;
}

int
lc_store_open (LcStore *store, LcStoreRecovered *found, LcError *error)
{
  GPtrArray *segments = g_ptr_array_new_with_free_func (g_free);
  bool has_identity = false;
  bool has_snapshot = false;
  int r;

  memset (found, 0, sizeof *found);
  found->entries = lc_raft_entries_new ();
  r = lc_store__is_discarded (store) ? lc_store__remove_all (store, error) : 0;
  if (r == 0)
    r = lc_store__list (store, segments, &has_identity, &has_snapshot, error);
  if (r == 0 && has_identity)
    r = lc_store__recover (store, found, segments, has_snapshot, error);
  else if (r == 0 && (segments->len > 0 || has_snapshot))
    r = lc_store__corrupt (error, LC_STORE_IDENTITY, "it is missing, but a log or snapshot exists");
  g_ptr_array_unref (segments);
  return r;
}
