/* lc-wal: the record format of the write-ahead log, and its damage detection.
 *
 * WHAT IT IS
 *   A record is
 *     0   u32 magic 0x4c525631
 *     4   u32 length of the body
 *     8   u64 batch number: records written and synced together share it
 *     16  u64 XXH3 of magic, length, batch and body
 *     24  body: u8 kind, then the kind's fields
 *   all big-endian.
 *
 * HOW TO USE IT
 *   Writing: lc_wal_put_entry (bytes, batch, &entry);
 *   Reading: n = lc_wal_read_record (&record, bytes, len, &why);
 *            n > 0: a valid record of n bytes; 0: there is none, and `why` is the reason.
 *            lc_wal_record_finish (&record) releases its references.
 *
 * TORN OR CORRUPT
 *   lc_wal_scan reads a whole segment.  An invalid record is
 *     - corrupt, when a newer segment or a valid record of a later batch follows: it was synced
 *       before that, and the disk lost it,
 *     - corrupt, when flipping a single bit makes it valid,
 *     - otherwise the torn end of a write that was never acknowledged, to be truncated.
 */
#ifndef LC_WAL_H
#define LC_WAL_H

#include "lc-raft-types.h"

#ifdef __cplusplus
extern "C"
{
#endif

  enum
  {
    LC_WAL_MAGIC = 0x4c525631,
    LC_WAL_HEADER_BYTES = 24,
    LC_WAL_BODY_MAX = LC_RAFT_ENTRY_BYTES_MAX + 64,
  };

  typedef enum
  {
    LC_WAL_SEGMENT = 1,    /* first record of each file: its number and replica */
    LC_WAL_HARD_STATE = 2, /* term and vote */
    LC_WAL_ENTRY = 3,      /* replaces all entries from its index on */
    LC_WAL_RESET = 4,      /* a snapshot replaced the log; entries continue after `index` */
    LC_WAL_COMMIT = 5,     /* entries up to this index are committed */
  } LcWalKind;

  typedef struct
  {
    LcWalKind kind;
    uint64_t batch;
    union
    {
      struct
      {
        uint64_t number;
        LcReplicaId replica;
      } segment;
      struct
      {
        uint64_t term;
        LcReplicaId vote;
      } hard;
      LcRaftEntry entry;
      struct
      {
        uint64_t index;
        uint64_t term;
      } reset;
      uint64_t commit_index;
    };
  } LcWalRecord;

  void lc_wal_put_segment (GByteArray *out, uint64_t batch, uint64_t number, LcReplicaId replica);
  void lc_wal_put_hard_state (GByteArray *out, uint64_t batch, uint64_t term, LcReplicaId vote);
  void lc_wal_put_entry (GByteArray *out, uint64_t batch, const LcRaftEntry *entry);
  void lc_wal_put_reset (GByteArray *out, uint64_t batch, uint64_t index, uint64_t term);
  void lc_wal_put_commit (GByteArray *out, uint64_t batch, uint64_t commit_index);

  size_t
  lc_wal_read_record (LcWalRecord *record, const uint8_t *bytes, size_t len, const char **why);
  void lc_wal_record_finish (LcWalRecord *record);

  /* Calls `each` for every valid record; a negative result ends the scan.  Returns 0 and the number
   * of valid bytes, or LC_ERR_CORRUPT with the position.  `is_last`: the newest segment, which
   * alone may have a torn end. */
  typedef int (*LcWalVisitor) (void *user, const LcWalRecord *record, LcError *error);
  int lc_wal_scan (const uint8_t *bytes,
                   size_t len,
                   const char *name,
                   bool is_last,
                   LcWalVisitor each,
                   void *user,
                   size_t *n_whole,
                   LcError *error);

#ifdef __cplusplus
}
#endif

#endif /* LC_WAL_H */
