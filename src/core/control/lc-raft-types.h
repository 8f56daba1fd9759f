/* lc-raft-types: log entries, group members, messages and disk writes of lc-raft.
 *
 * LIFETIME
 *   Entries, snapshots, messages and writes hold references to immutable GBytes, which their
 *   _finish functions release.
 *
 * LIMITS
 *   A message with entries or a chunk fits LC_FRAME_PAYLOAD_MAX as long as one entry does;
 *   lc_raft_propose rejects larger entries.
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
    LC_RAFT_UNCOMMITTED_MAX = 4096, /* entries */
    LC_RAFT_ENTRY_BYTES_MAX = 512 << 10,
    LC_RAFT_SNAPSHOT_BYTES_MAX = 256 << 20,
    LC_RAFT_MAX_STEP_US = 50000,   /* of LcRaft.clock_us per input */
    LC_RAFT_CATCH_UP_ENTRIES = 64, /* a learner no further behind may become a voter */
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
    bool is_learner; /* receives the log, doesn't vote or count for a quorum */
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
    LC_RAFT_ENTRY_COMMAND = 3, /* data is passed to the state machine */
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

  /* One disk write: term and vote, then a snapshot or entries.  Entries replace what the disk holds
   * from the first one's index on. */
  typedef struct
  {
    uint64_t sequence; /* for lc_raft_mark_persisted */
    bool has_hard_state;
    uint64_t term;
    LcReplicaId vote;
    LcRaftSnapshot snapshot; /* index 0: none; replaces the whole log */
    GArray *entries;         /* LcRaftEntry; NULL: none */
    uint64_t commit_index;   /* as of now; written only together with entries */
  } LcRaftPersist;

  typedef enum
  {
    LC_RAFT_VOTE = 1,
    LC_RAFT_VOTE_REPLY = 2,
    LC_RAFT_APPEND = 3,
    LC_RAFT_APPEND_REPLY = 4,
    LC_RAFT_SNAPSHOT = 5,
    LC_RAFT_SNAPSHOT_REPLY = 6,
    LC_RAFT_TIMEOUT_NOW = 7, /* leadership transfer: start an election at once */
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
        bool is_transfer; /* requested by the leader: ignores its lease */
        bool is_fresh;    /* all voters have just started: there is no lease */
      } vote;
      struct
      {
        bool is_pre;
        bool is_granted;
        bool is_fresh; /* reply to a fresh vote request */
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
        uint64_t match_index; /* ok: on disk up to here; else: index to try next */
        int64_t sent_us;      /* echoed from the request */
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
  /* A new array of LcRaftEntry that finishes its elements. */
  GArray *lc_raft_entries_new (void);
  void lc_raft_snapshot_copy (LcRaftSnapshot *to, const LcRaftSnapshot *from);
  void lc_raft_snapshot_finish (LcRaftSnapshot *snapshot);
  void lc_raft_persist_finish (LcRaftPersist *persist);
  void lc_raft_message_finish (LcRaftMessage *message);

  /* The encoding used in entries, snapshots and frames. */
  GBytes *lc_raft_config_encode (const LcRaftConfig *config);
  int lc_raft_config_decode (LcRaftConfig *config, const uint8_t *bytes, size_t len);
  const LcRaftMember *lc_raft_config_find (const LcRaftConfig *config, LcReplicaId id);
  const LcRaftMember *lc_raft_config_find_name (const LcRaftConfig *config, const char *name);
  /* The member with this peer address, or NULL. */
  const LcRaftMember *
  lc_raft_config_find_address (const LcRaftConfig *config, uint32_t ipv4, uint16_t peer_port);
  uint32_t lc_raft_config_n_voters (const LcRaftConfig *config);
  bool lc_raft_config_is_voter (const LcRaftConfig *config, LcReplicaId id);
  /* Adds or replaces a member by id; LC_ERR_FULL. */
  int lc_raft_config_put (LcRaftConfig *config, const LcRaftMember *member);
  void lc_raft_config_remove (LcRaftConfig *config, LcReplicaId id);

#ifdef __cplusplus
}
#endif

#endif /* LC_RAFT_TYPES_H */
