/* Recovery of the data folder: torn ends are truncated, corruption is refused with a remedy, and a
 * full disk can be retried. */
#include "core/control/lc-store.h"
#include "fakes/lc-fake-disk.h"
#include "tests/fakes/lc-fake-run.h"

#include <check.h>
#include <string.h>

enum
{
  REPLICA = 42,
  N_BATCHES = 6,
};

static LcRaftEntry
entry (uint64_t index, uint64_t term)
{
  char text[64];
  LcRaftEntry e = { .index = index, .term = term, .kind = LC_RAFT_ENTRY_COMMAND };

  (void)g_snprintf (text, sizeof text, "entry %u of term %u, and some more bytes of it",
                    (unsigned)index, (unsigned)term);
  e.data = g_bytes_new (text, strlen (text));
  return e;
}

static int
write_batch (
    LcStore *store, uint64_t from, uint64_t n, uint64_t term, uint64_t commit_index, LcError *error)
{
  LcRaftPersist persist = { .sequence = from, .has_hard_state = true, .term = term, .vote = 7 };
  int r;

  persist.commit_index = commit_index;
  persist.entries = lc_raft_entries_new ();
  for (uint64_t i = from; i < from + n; i++)
    {
      LcRaftEntry e = entry (i, term);

      g_array_append_val (persist.entries, e);
    }
  r = lc_store_write (store, &persist, error);
  lc_raft_persist_finish (&persist);
  return r;
}

static int
write_entries (LcStore *store, uint64_t from, uint64_t n, uint64_t term, LcError *error)
{
  return write_batch (store, from, n, term, 0, error);
}

static void
open_store (LcStore *store, LcFakeDisk *fake, uint32_t segment_bytes)
{
  LcStoreDesc desc = { .segment_bytes = segment_bytes };

  desc.disk = lc_fake_disk_interface (fake);
  lc_store_init (store, &desc);
}

/* A folder with N_BATCHES batches of two entries each, optionally with the commit index: all
 * entries of the batches before. */
static LcFakeDisk *
make_folder_with (uint32_t segment_bytes, bool has_commit_index)
{
  LcFakeDisk *fake = lc_fake_disk_new (1);
  LcError error = { 0 };
  LcStoreRecovered found;
  LcStore store;

  open_store (&store, fake, segment_bytes);
  ck_assert_int_eq (lc_store_open (&store, &found, &error), 0);
  lc_store_recovered_finish (&found);
  ck_assert_int_eq (lc_store_format (&store, REPLICA, &error), 0);
  for (uint64_t i = 0; i < N_BATCHES; i++)
    ck_assert_int_eq (write_batch (&store, 1 + 2 * i, 2, 3, has_commit_index ? 2 * i : 0, &error),
                      0);
  lc_store_finish (&store);
  return fake;
}

static LcFakeDisk *
make_folder (uint32_t segment_bytes)
{
  return make_folder_with (segment_bytes, false);
}

static int
recover (LcFakeDisk *fake, uint32_t segment_bytes, uint64_t *n_entries, LcError *error)
{
  LcStoreRecovered found;
  LcStore store;
  int r;

  open_store (&store, fake, segment_bytes);
  r = lc_store_open (&store, &found, error);
  *n_entries = r == 0 ? found.entries->len : 0;
  if (r == 0)
    {
      ck_assert_uint_eq (found.replica, REPLICA);
      ck_assert_uint_eq (found.term, 3);
      ck_assert_uint_eq (found.vote, 7);
    }
  lc_store_recovered_finish (&found);
  lc_store_finish (&store);
  return r;
}

/* === recovered commit index ================================================================= */

/* A torn end loses the commit index of the newest batch, not that of earlier ones. */
START_TEST (test_commit_index_is_recovered)
{
  static const struct
  {
    const char *what;
    uint32_t cut_bytes;
    uint32_t segment_bytes;
    uint64_t commit_index;
  } CASES[] = {
    { "whole", 0, 0, 2 * N_BATCHES - 2 },
    { "in many segments", 0, 400, 2 * N_BATCHES - 2 },
    { "the commit record is torn", 1, 0, 2 * N_BATCHES - 4 },
    { "an entry of the batch is torn", 60, 0, 2 * N_BATCHES - 4 },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (CASES); i++)
    {
      LcFakeDisk *fake = make_folder_with (CASES[i].segment_bytes, true);
      GByteArray *newest = lc_fake_disk_bytes (fake, lc_fake_disk_newest_segment (fake));
      LcError error = { 0 };
      LcStoreRecovered found;
      LcStore store;

      g_byte_array_set_size (newest, newest->len - CASES[i].cut_bytes);
      open_store (&store, fake, CASES[i].segment_bytes);
      ck_assert_int_eq (lc_store_open (&store, &found, &error), 0);
      ck_assert_msg (found.commit_index == CASES[i].commit_index, "%s: %u", CASES[i].what,
                     (unsigned)found.commit_index);
      ck_assert_uint_le (found.commit_index, found.entries->len);
      lc_store_recovered_finish (&found);
      lc_store_finish (&store);
      lc_fake_disk_free (fake);
    }
}
END_TEST

/* === damage ================================================================================= */

typedef enum
{
  CUT_END,          /* the last bytes are missing */
  ZERO_END,         /* the last sector was never written */
  FLIP_LAST,        /* one bit of the newest batch */
  FLIP_MIDDLE,      /* one bit in the middle */
  OVERWRITE_MIDDLE, /* several bytes in the middle */
  FLIP_OLD_SEGMENT,
  FLIP_IDENTITY,
  LOSE_SEGMENT, /* an old segment is gone */
  LOSE_IDENTITY,
} Damage;

static void
damage (LcFakeDisk *fake, Damage kind)
{
  GByteArray *newest = lc_fake_disk_bytes (fake, lc_fake_disk_newest_segment (fake));
  GByteArray *first = lc_fake_disk_bytes (fake, "wal-0000000000000001");

  switch (kind)
    {
    case CUT_END:
      g_byte_array_set_size (newest, newest->len - 20);
      break;
    case ZERO_END:
      memset (newest->data + newest->len - 30, 0, 30);
      break;
    case FLIP_LAST:
      newest->data[newest->len - 5] ^= 0x10;
      break;
    case FLIP_MIDDLE:
      newest->data[newest->len / 2] ^= 0x04;
      break;
    case OVERWRITE_MIDDLE:
      memset (newest->data + newest->len / 2, 0xaa, 9);
      break;
    case FLIP_OLD_SEGMENT:
      first->data[first->len - 9] ^= 0x01;
      break;
    case FLIP_IDENTITY:
      lc_fake_disk_bytes (fake, "identity")->data[9] ^= 0x01;
      break;
    case LOSE_SEGMENT:
      g_hash_table_remove (fake->present, "wal-0000000000000002");
      break;
    case LOSE_IDENTITY:
      g_hash_table_remove (fake->present, "identity");
      break;
    }
}

static const struct
{
  const char *name;
  Damage kind;
  uint32_t segment_bytes;
  int expected;
  uint64_t n_entries;
} DAMAGES[] = {
  { "a torn end is truncated to the last valid record", CUT_END, 1 << 20, 0, 2 * N_BATCHES - 1 },
  { "a lost sector at the end is truncated", ZERO_END, 1 << 20, 0, 2 * N_BATCHES - 1 },
  { "a flipped bit in the newest batch is refused", FLIP_LAST, 1 << 20, LC_ERR_CORRUPT, 0 },
  { "a flipped bit in the middle is refused", FLIP_MIDDLE, 1 << 20, LC_ERR_CORRUPT, 0 },
  { "overwritten bytes in the middle are refused", OVERWRITE_MIDDLE, 1 << 20, LC_ERR_CORRUPT, 0 },
  { "a flipped bit in an old segment is refused", FLIP_OLD_SEGMENT, 300, LC_ERR_CORRUPT, 0 },
  { "a flipped bit in the identity is refused", FLIP_IDENTITY, 1 << 20, LC_ERR_CORRUPT, 0 },
  { "a lost segment is refused", LOSE_SEGMENT, 300, LC_ERR_CORRUPT, 0 },
  { "a log without identity is refused", LOSE_IDENTITY, 1 << 20, LC_ERR_CORRUPT, 0 },
};

START_TEST (test_damage)
{
  LcFakeDisk *fake = make_folder (DAMAGES[_i].segment_bytes);
  LcError error = { 0 };
  uint64_t n_entries = 0;
  int r;

  damage (fake, DAMAGES[_i].kind);
  r = recover (fake, DAMAGES[_i].segment_bytes, &n_entries, &error);
  ck_assert_msg (r == DAMAGES[_i].expected, "%s: %d %s", DAMAGES[_i].name, r, error.message);
  ck_assert_msg (n_entries == DAMAGES[_i].n_entries, "%s: %u entries", DAMAGES[_i].name,
                 (unsigned)n_entries);
  if (r < 0)
    ck_assert_msg (strlen (error.remedy) > 0, "%s: no remedy in the error", DAMAGES[_i].name);
  lc_fake_disk_free (fake);
}
END_TEST

START_TEST (test_writes_continue_after_a_torn_end)
{
  LcFakeDisk *fake = make_folder (1 << 20);
  LcError error = { 0 };
  LcStoreRecovered found;
  LcStore store;
  uint64_t n_entries = 0;

  damage (fake, CUT_END);
  open_store (&store, fake, 1 << 20);
  ck_assert_int_eq (lc_store_open (&store, &found, &error), 0);
  ck_assert_uint_eq (store.counters.torn_total, 1);
  lc_store_recovered_finish (&found);
  ck_assert_int_eq (write_entries (&store, 2 * N_BATCHES, 3, 3, &error), 0);
  lc_store_finish (&store);
  ck_assert_int_eq (recover (fake, 1 << 20, &n_entries, &error), 0);
  ck_assert_uint_eq (n_entries, 2 * N_BATCHES + 2);
  lc_fake_disk_free (fake);
}
END_TEST

/* === failing writes ========================================================================= */

START_TEST (test_full_disk_can_be_retried)
{
  LcFakeDisk *fake = make_folder (1 << 20);
  LcError error = { 0 };
  LcStoreRecovered found;
  LcStore store;
  uint64_t n_entries = 0;

  open_store (&store, fake, 1 << 20);
  ck_assert_int_eq (lc_store_open (&store, &found, &error), 0);
  lc_store_recovered_finish (&found);
  fake->bytes_left = 50;
  ck_assert_int_eq (write_entries (&store, 13, 2, 3, &error), LC_ERR_FULL);
  ck_assert_uint_gt (strlen (error.remedy), 0);
  ck_assert_uint_eq (store.counters.full_total, 1);
  ck_assert (!store.is_broken);
  fake->bytes_left = -1;
  ck_assert_int_eq (write_entries (&store, 13, 2, 3, &error), 0);
  lc_store_finish (&store);
  ck_assert_int_eq (recover (fake, 1 << 20, &n_entries, &error), 0);
  ck_assert_uint_eq (n_entries, 14);
  lc_fake_disk_free (fake);
}
END_TEST

START_TEST (test_failed_fsync_is_not_retried)
{
  LcFakeDisk *fake = make_folder (1 << 20);
  LcError error = { 0 };
  LcStoreRecovered found;
  LcStore store;
  uint64_t n_entries = 0;

  open_store (&store, fake, 1 << 20);
  ck_assert_int_eq (lc_store_open (&store, &found, &error), 0);
  lc_store_recovered_finish (&found);
  fake->syncs_left = 0;
  ck_assert_int_eq (write_entries (&store, 13, 2, 3, &error), LC_ERR_IO);
  fake->syncs_left = -1;
  ck_assert_int_eq (write_entries (&store, 13, 2, 3, &error), LC_ERR_IO);
  ck_assert (store.is_broken);
  ck_assert_uint_eq (store.counters.io_error_total, 1);
  lc_store_finish (&store);
  lc_fake_disk_crash (fake);
  ck_assert_int_eq (recover (fake, 1 << 20, &n_entries, &error), 0);
  ck_assert_uint_ge (n_entries, 12);
  lc_fake_disk_free (fake);
}
END_TEST

/* === snapshots ============================================================================== */

START_TEST (test_snapshot_removes_segments)
{
  LcFakeDisk *fake = make_folder (300);
  LcRaftSnapshot snapshot = { .index = 9, .term = 3 };
  LcError error = { 0 };
  LcStoreRecovered found;
  LcStore store;
  uint64_t n_entries = 0;
  uint64_t first;

  open_store (&store, fake, 300);
  ck_assert_int_eq (lc_store_open (&store, &found, &error), 0);
  lc_store_recovered_finish (&found);
  first = store.first_segment;
  snapshot.data = g_bytes_new_static ("state", 5);
  ck_assert_int_eq (lc_store_save_snapshot (&store, &snapshot, &error), 0);
  ck_assert_uint_gt (store.first_segment, first);
  lc_raft_snapshot_finish (&snapshot);
  lc_store_finish (&store);
  ck_assert_int_eq (recover (fake, 300, &n_entries, &error), 0);
  ck_assert_uint_eq (n_entries, 3);
  lc_fake_disk_free (fake);
}
END_TEST

START_TEST (test_installed_snapshot_replaces_the_log)
{
  LcFakeDisk *fake = make_folder (1 << 20);
  LcRaftPersist persist = { .sequence = 9 };
  LcError error = { 0 };
  LcStoreRecovered found;
  LcStore store;
  uint64_t n_entries = 0;

  open_store (&store, fake, 1 << 20);
  ck_assert_int_eq (lc_store_open (&store, &found, &error), 0);
  lc_store_recovered_finish (&found);
  persist.snapshot.index = 40;
  persist.snapshot.term = 3;
  persist.snapshot.data = g_bytes_new_static ("state", 5);
  ck_assert_int_eq (lc_store_write (&store, &persist, &error), 0);
  lc_raft_persist_finish (&persist);
  ck_assert_int_eq (write_entries (&store, 41, 2, 3, &error), 0);
  lc_store_finish (&store);
  ck_assert_int_eq (recover (fake, 1 << 20, &n_entries, &error), 0);
  ck_assert_uint_eq (n_entries, 2);
  lc_fake_disk_free (fake);
}
END_TEST

/* Power loss after each sync while a folder is emptied must leave either the complete old folder or
 * an empty one, never a log without its identity or a part of a log. */
START_TEST (test_discard)
{
  for (int64_t n_syncs = 0; n_syncs < 6; n_syncs++)
    for (uint64_t seed = 1; seed <= 8; seed++)
      {
        LcFakeDisk *fake = make_folder (512);
        LcError error = { 0 };
        LcStoreRecovered found;
        LcStore store;

        fake->random = seed;
        open_store (&store, fake, 512);
        fake->syncs_left = n_syncs;
        ck_assert_int_eq (lc_store_discard (&store, &error) == 0, n_syncs >= 4);
        lc_store_finish (&store);
        lc_fake_disk_crash (fake);
        fake->syncs_left = -1;
        open_store (&store, fake, 512);
        ck_assert_msg (lc_store_open (&store, &found, &error) == 0, "%d syncs: %s", (int)n_syncs,
                       error.message);
        ck_assert_msg (
            found.replica == 0 ? found.entries->len == 0 : found.entries->len == 2 * N_BATCHES,
            "%d syncs, seed %d: %u entries", (int)n_syncs, (int)seed, found.entries->len);
        ck_assert (n_syncs < 4 || found.replica == 0);
        lc_store_recovered_finish (&found);
        lc_store_finish (&store);
        lc_fake_disk_free (fake);
      }
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("store");
  TCase *tcase = tcase_create ("disk");

  tcase_add_test (tcase, test_discard);
  tcase_add_loop_test (tcase, test_damage, 0, (int)G_N_ELEMENTS (DAMAGES));
  tcase_add_test (tcase, test_writes_continue_after_a_torn_end);
  tcase_add_test (tcase, test_full_disk_can_be_retried);
  tcase_add_test (tcase, test_failed_fsync_is_not_retried);
  tcase_add_test (tcase, test_snapshot_removes_segments);
  tcase_add_test (tcase, test_installed_snapshot_replaces_the_log);
  tcase_add_test (tcase, test_commit_index_is_recovered);
  suite_add_tcase (suite, tcase);
  return lc_fake_run (suite);
}
