/* lc-raft-types: entries, members, messages and writes of the replicated log.
 *
 * LIFETIME
 *   Entries, snapshots, messages and writes hold references to immutable GBytes; each has a
 *   _finish that drops them.
 *
 * LIMITS
 *   A message with entries or a chunk stays under LC_FRAME_PAYLOAD_MAX as long as one entry does;
 *   lc_raft_propose refuses larger ones.
 */
#ifndef LC_RAFT_TYPES_H
#define LC_RAFT_TYPES_H

#include "core/lc-error.h"
#include "core/lc-types.h"

#include <glib.h>

#ifdef __cplusplus
extern "C"
{
#endif

  typedef uint64_t LcReplicaId; /* random; 0 is "none" */

  enum
  {
    LC_RAFT_MEMBERS_MAX = 9,
    LC_RAFT_UNCOMMITTED_MAX = 4096,
    LC_RAFT_ENTRY_BYTES_MAX = 512 << 10,
    LC_RAFT_SNAPSHOT_BYTES_MAX = 256 << 20,
    LC_RAFT_MAX_STEP_US = 50000,
    LC_RAFT_CATCH_UP_ENTRIES = 64, /* a learner this close may become a voter */
  };

  typedef enum
  {
    LC_RAFT_FOLLOWER = 0,
    LC_RAFT_PRE_CANDIDATE = 1,
    LC_RAFT_CANDIDATE = 2,
    LC_RAFT_LEADER = 3,
  } LcRaftRole;

  typedef struct
  {
    LcReplicaId id;
    uint32_t ipv4;
    uint16_t peer_port;
    uint16_t http_port;
    bool is_learner; /* receives the log, doesn't count for a quorum */
    char name[LC_NAME_MAX];
  } LcRaftMember;

  typedef struct
  {
    uint32_t n_members;
    LcRaftMember members[LC_RAFT_MEMBERS_MAX]; /* ordered by id */
  } LcRaftConfig;

  typedef enum
  {
    LC_RAFT_ADD_LEARNER = 1,
    LC_RAFT_PROMOTE = 2,
    LC_RAFT_REMOVE = 3,
  } LcRaftChange;

  typedef enum
  {
    LC_RAFT_ENTRY_NOOP = 1,    /* a new leader's first entry */
    LC_RAFT_ENTRY_CONFIG = 2,  /* data is an encoded LcRaftConfig */
    LC_RAFT_ENTRY_COMMAND = 3, /* data belongs to the state machine */
  } LcRaftEntryKind;

  typedef struct
  {
    uint64_t index;
    uint64_t term;
    uint8_t kind; /* LcRaftEntryKind */
    GBytes *data; /* NULL for a NOOP */
  } LcRaftEntry;

  typedef struct
  {
    uint64_t index; /* 0: none */
    uint64_t term;
    LcRaftConfig config;
    GBytes *data;
  } LcRaftSnapshot;

  /* One write: term and vote, then a snapshot or entries; entries from first_index on replace what
   * the disk holds from there. */
  typedef struct
  {
    uint64_t sequence; /* confirm with this */
    bool has_hard_state;
    uint64_t term;
    LcReplicaId vote;
    LcRaftSnapshot snapshot; /* index 0: none; replaces the whole log */
    GArray *entries;         /* LcRaftEntry; NULL: none */
    uint64_t commit_index;   /* known so far; written along with entries only */
  } LcRaftPersist;

  typedef enum
  {
    LC_RAFT_VOTE = 1,
    LC_RAFT_VOTE_REPLY = 2,
    LC_RAFT_APPEND = 3,
    LC_RAFT_APPEND_REPLY = 4,
    LC_RAFT_SNAPSHOT = 5,
    LC_RAFT_SNAPSHOT_REPLY = 6,
    LC_RAFT_TIMEOUT_NOW = 7, /* stand for election at once: the leader hands over */
  } LcRaftMessageKind;

  typedef struct
  {
    LcRaftMessageKind kind;
    LcReplicaId from;
    LcReplicaId to;
    uint64_t term;
    union
    {
      struct
      {
        uint64_t last_index;
        uint64_t last_term;
        bool is_pre;
        bool is_transfer; /* the leader asked for it: its lease doesn't stand in the way */
        bool is_fresh;    /* all voters have just started: nobody's lease stands in the way */
      } vote;
      struct
      {
        bool is_pre;
        bool is_granted;
        bool is_fresh; /* answers a vote that is */
      } vote_reply;
      struct
      {
        uint64_t prev_index;
        uint64_t prev_term;
        uint64_t commit_index;
        int64_t sent_us;
        GArray *entries; /* LcRaftEntry; NULL: a heartbeat */
      } append;
      struct
      {
        bool is_ok;
        uint64_t match_index; /* ok: on disk up to here; else: a place to try next */
        int64_t sent_us;      /* echo */
      } append_reply;
      struct
      {
        uint64_t last_index;
        uint64_t last_term;
        uint64_t offset;
        uint64_t total_bytes;
        int64_t sent_us;
        LcRaftConfig *config; /* owned by the message */
        GBytes *chunk;
      } snapshot;
      struct
      {
        uint64_t last_index;
        uint64_t next_offset;
        int64_t sent_us;
      } snapshot_reply;
    };
  } LcRaftMessage;

  LcRaftEntry lc_raft_entry_copy (const LcRaftEntry *entry);
  void lc_raft_entry_finish (LcRaftEntry *entry);
  /* An array of LcRaftEntry that finishes its elements. */
  GArray *lc_raft_entries_new (void);
  void lc_raft_snapshot_copy (LcRaftSnapshot *to, const LcRaftSnapshot *from);
  void lc_raft_snapshot_finish (LcRaftSnapshot *snapshot);
  void lc_raft_persist_finish (LcRaftPersist *persist);
  void lc_raft_message_finish (LcRaftMessage *message);

  /* Members as bytes, for entries, snapshots and frames. */
  GBytes *lc_raft_config_encode (const LcRaftConfig *config);
  int lc_raft_config_decode (LcRaftConfig *config, const uint8_t *bytes, size_t len);
  const LcRaftMember *lc_raft_config_find (const LcRaftConfig *config, LcReplicaId id);
  const LcRaftMember *lc_raft_config_find_name (const LcRaftConfig *config, const char *name);
  /* The member whose peer address this is, or NULL. */
  const LcRaftMember *
  lc_raft_config_find_address (const LcRaftConfig *config, uint32_t ipv4, uint16_t peer_port);
  uint32_t lc_raft_config_n_voters (const LcRaftConfig *config);
  bool lc_raft_config_is_voter (const LcRaftConfig *config, LcReplicaId id);
  /* Adds or replaces, keeping the order; LC_ERR_FULL. */
  int lc_raft_config_put (LcRaftConfig *config, const LcRaftMember *member);
  void lc_raft_config_remove (LcRaftConfig *config, LcReplicaId id);

#ifdef __cplusplus
}
#endif

#endif /* LC_RAFT_TYPES_H */
