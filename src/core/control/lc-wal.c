#include "lc-wal.h"

#include "lc-bytes.h"

#include <xxhash.h>

enum
{
  LC_WAL_LENGTH_AT = 4,
  LC_WAL_BATCH_AT = 8,
  LC_WAL_HASH_AT = 16,
  /* Bytes searched for a flipped bit, which costs 8 hashes per byte. */
  LC_WAL_FLIP_SEARCH_BYTES = 16 << 10,
};

/* === private: header ======================================================================== */

static uint64_t
lc_wal__hash (const uint8_t *record, size_t body_len)
{
  uint64_t head = XXH3_64bits (record, LC_WAL_HASH_AT);

  return XXH3_64bits_withSeed (record + LC_WAL_HEADER_BYTES, body_len, head);
}

static uint32_t
lc_wal__u32 (const uint8_t *bytes, size_t at)
{
  LcBytesReader reader = { bytes, at + 4, at, false };

  return lc_bytes_get_u32 (&reader);
}

static uint64_t
lc_wal__u64 (const uint8_t *bytes, size_t at)
{
  LcBytesReader reader = { bytes, at + 8, at, false };

  return lc_bytes_get_u64 (&reader);
}

/* === writing ================================================================================ */

/* Reserves the header; returns the offset of the record. */
static guint
lc_wal__begin (GByteArray *out, LcWalKind kind)
{
  guint start = out->len;

  g_byte_array_set_size (out, start + LC_WAL_HEADER_BYTES);
  lc_bytes_put_u8 (out, (uint8_t)kind);
  return start;
}

static void
lc_wal__end (GByteArray *out, guint start, uint64_t batch)
{
  guint body_len = out->len - start - LC_WAL_HEADER_BYTES;
  uint8_t *record = out->data + start;
  uint32_t magic = GUINT32_TO_BE (LC_WAL_MAGIC);
  uint32_t length = GUINT32_TO_BE (body_len);
  uint64_t big_batch = GUINT64_TO_BE (batch);
  uint64_t hash;

  memcpy (record, &magic, sizeof magic);
  memcpy (record + LC_WAL_LENGTH_AT, &length, sizeof length);
  memcpy (record + LC_WAL_BATCH_AT, &big_batch, sizeof big_batch);
  hash = GUINT64_TO_BE (lc_wal__hash (record, body_len));
  memcpy (record + LC_WAL_HASH_AT, &hash, sizeof hash);
}

void
lc_wal_put_segment (GByteArray *out, uint64_t batch, uint64_t number, LcReplicaId replica)
{
  guint start = lc_wal__begin (out, LC_WAL_SEGMENT);

  lc_bytes_put_u64 (out, number);
  lc_bytes_put_u64 (out, replica);
  lc_wal__end (out, start, batch);
}

void
lc_wal_put_hard_state (GByteArray *out, uint64_t batch, uint64_t term, LcReplicaId vote)
{
  guint start = lc_wal__begin (out, LC_WAL_HARD_STATE);

  lc_bytes_put_u64 (out, term);
  lc_bytes_put_u64 (out, vote);
  lc_wal__end (out, start, batch);
}

void
lc_wal_put_entry (GByteArray *out, uint64_t batch, const LcRaftEntry *entry)
{
  guint start = lc_wal__begin (out, LC_WAL_ENTRY);
  gsize len = 0;
  const guint8 *data = entry->data != NULL ? g_bytes_get_data (entry->data, &len) : NULL;

  lc_bytes_put_u64 (out, entry->index);
  lc_bytes_put_u64 (out, entry->term);
  lc_bytes_put_u8 (out, entry->kind);
  if (len > 0)
    g_byte_array_append (out, data, (guint)len);
  lc_wal__end (out, start, batch);
}

void
lc_wal_put_reset (GByteArray *out, uint64_t batch, uint64_t index, uint64_t term)
{
  guint start = lc_wal__begin (out, LC_WAL_RESET);

  lc_bytes_put_u64 (out, index);
  lc_bytes_put_u64 (out, term);
  lc_wal__end (out, start, batch);
}

void
lc_wal_put_commit (GByteArray *out, uint64_t batch, uint64_t commit_index)
{
  guint start = lc_wal__begin (out, LC_WAL_COMMIT);

  lc_bytes_put_u64 (out, commit_index);
  lc_wal__end (out, start, batch);
}

/* === reading ================================================================================ */

static bool
lc_wal__read_entry (LcRaftEntry *entry, LcBytesReader *body)
{
  size_t len;

  entry->index = lc_bytes_get_u64 (body);
  entry->term = lc_bytes_get_u64 (body);
  entry->kind = lc_bytes_get_u8 (body);
  entry->data = NULL;
  if (body->is_bad)
    return false;
  len = body->len - body->at;
  if (entry->kind != LC_RAFT_ENTRY_NOOP)
    entry->data = g_bytes_new (lc_bytes_get (body, len), len);
  return true;
}

static bool
lc_wal__read_body (LcWalRecord *record, const uint8_t *bytes, size_t len)
{
  LcBytesReader body = { bytes, len, 0, false };

  record->kind = (LcWalKind)lc_bytes_get_u8 (&body);
  switch (record->kind)
    {
    case LC_WAL_SEGMENT:
      record->segment.number = lc_bytes_get_u64 (&body);
      record->segment.replica = lc_bytes_get_u64 (&body);
      return !body.is_bad;
    case LC_WAL_HARD_STATE:
      record->hard.term = lc_bytes_get_u64 (&body);
      record->hard.vote = lc_bytes_get_u64 (&body);
      return !body.is_bad;
    case LC_WAL_ENTRY:
      return lc_wal__read_entry (&record->entry, &body);
    case LC_WAL_RESET:
      record->reset.index = lc_bytes_get_u64 (&body);
      record->reset.term = lc_bytes_get_u64 (&body);
      return !body.is_bad;
    case LC_WAL_COMMIT:
      record->commit_index = lc_bytes_get_u64 (&body);
      return !body.is_bad;
    }
  return false;
}

/* The size of the valid record at `bytes`, or 0 and the reason why there is none. */
static size_t
lc_wal__check (const uint8_t *bytes, size_t len, const char **why)
{
  uint32_t body_len;

  *why = "it is truncated";
  if (len < LC_WAL_HEADER_BYTES)
    return 0;
  *why = "it has no record magic";
  if (lc_wal__u32 (bytes, 0) != LC_WAL_MAGIC)
    return 0;
  body_len = lc_wal__u32 (bytes, LC_WAL_LENGTH_AT);
  *why = "its length is out of range";
  if (body_len == 0 || body_len > LC_WAL_BODY_MAX)
    return 0;
  *why = "it is truncated";
  if (len - LC_WAL_HEADER_BYTES < body_len)
    return 0;
  *why = "its checksum does not match";
  if (lc_wal__u64 (bytes, LC_WAL_HASH_AT) != lc_wal__hash (bytes, body_len))
    return 0;
  return LC_WAL_HEADER_BYTES + body_len;
}

size_t
lc_wal_read_record (LcWalRecord *record, const uint8_t *bytes, size_t len, const char **why)
{
  size_t n = lc_wal__check (bytes, len, why);

  if (n == 0)
    return 0;
  memset (record, 0, sizeof *record);
  record->batch = lc_wal__u64 (bytes, LC_WAL_BATCH_AT);
  if (lc_wal__read_body (record, bytes + LC_WAL_HEADER_BYTES, n - LC_WAL_HEADER_BYTES))
    return n;
  *why = "this version does not know its kind";
  return 0;
}

void
lc_wal_record_finish (LcWalRecord *record)
{
  if (record->kind == LC_WAL_ENTRY)
    lc_raft_entry_finish (&record->entry);
}

/* === torn or corrupt ======================================================================== */

/* The batch that the invalid record most likely belongs to: that of the last valid record if its
 * header has this number, else the next one. */
static uint64_t
lc_wal__bad_batch (const uint8_t *bytes, size_t len, uint64_t last_batch)
{
  uint64_t header_batch;

  if (len < LC_WAL_HEADER_BYTES || lc_wal__u32 (bytes, 0) != LC_WAL_MAGIC)
    return last_batch + 1;
  header_batch = lc_wal__u64 (bytes, LC_WAL_BATCH_AT);
  return header_batch == last_batch ? last_batch : last_batch + 1;
}

/* Whether a valid record of a later batch follows. */
static bool
lc_wal__has_later_batch (const uint8_t *bytes, size_t len, uint64_t last_batch)
{
  uint64_t batch = lc_wal__bad_batch (bytes, len, last_batch);

  for (size_t at = 1; at + LC_WAL_HEADER_BYTES <= len; at++)
    {
      const char *why;

      if (lc_wal__u32 (bytes, at) != LC_WAL_MAGIC)
        continue;
      if (lc_wal__check (bytes + at, len - at, &why) > 0 &&
          lc_wal__u64 (bytes + at, LC_WAL_BATCH_AT) > batch)
        return true;
    }
  return false;
}

/* Whether flipping a single bit makes the record valid. */
static bool
lc_wal__has_flipped_bit (const uint8_t *bytes, size_t len)
{
  size_t n = MIN (len, (size_t)LC_WAL_FLIP_SEARCH_BYTES);
  uint8_t *copy = g_memdup2 (bytes, n);
  bool is_found = false;

  for (size_t at = 0; at < n && !is_found; at++)
    for (int bit = 0; bit < 8 && !is_found; bit++)
      {
        const char *why;
        size_t valid_len;

        copy[at] ^= (uint8_t)(1U << bit);
        valid_len = lc_wal__check (copy, n, &why);
        is_found = valid_len > at;
        copy[at] ^= (uint8_t)(1U << bit);
      }
  g_free (copy);
  return is_found;
}

/* LC_ERR_CORRUPT if the invalid record at `at` is corrupt, 0 if it is torn (see the header). */
static int
lc_wal__check_torn (const uint8_t *bytes,
                    size_t len,
                    size_t at,
                    const char *name,
                    bool is_last,
                    uint64_t batch,
                    const char *why,
                    LcError *error)
{
  const char *cause = NULL;

  if (!is_last)
    cause = "newer segments follow";
  else if (lc_wal__has_later_batch (bytes + at, len - at, batch))
    cause = "synced records follow";
  else if (lc_wal__has_flipped_bit (bytes + at, len - at))
    cause = "one bit was flipped";
  if (cause == NULL)
    return 0;
  return lc_error_set (error, LC_ERR_CORRUPT,
                       "replace this control VM (`lychee plan replace-control-vm`) and start it "
                       "with an empty data folder; keep the old folder until that is done",
                       "%s: the record at byte %zu is corrupt: %s, and %s", name, at, why, cause);
}

int
lc_wal_scan (const uint8_t *bytes,
             size_t len,
             const char *name,
             bool is_last,
             LcWalVisitor each,
             void *user,
             size_t *n_whole,
             LcError *error)
{
  uint64_t batch = 0;
  size_t at = 0;

  while (at < len)
    {
      LcWalRecord record;
      const char *why = "";
      size_t n = lc_wal_read_record (&record, bytes + at, len - at, &why);
      int r;

      *n_whole = at;
      if (n == 0)
        return lc_wal__check_torn (bytes, len, at, name, is_last, batch, why, error);
      batch = record.batch;
      r = each (user, &record, error);
      lc_wal_record_finish (&record);
      if (r < 0)
        return r;
      at += n;
    }
  *n_whole = at;
  return 0;
}
