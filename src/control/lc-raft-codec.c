#include "lc-codec-private.h"

/* === writing ================================================================== */

static void
lc_codec__write_append (LcArena *arena, Lc__Wire__RaftMessage *w, const LcRaftMessage *m)
{
  Lc__Wire__RaftAppend *body = lc_codec__alloc (arena, 1, sizeof *body);
  guint n = m->append.entries != NULL ? m->append.entries->len : 0;
  Lc__Wire__LogEntry *entries = lc_codec__alloc (arena, n, sizeof *entries);

  lc__wire__raft_append__init (body);
  body->prev_index = m->append.prev_index;
  body->prev_term = m->append.prev_term;
  body->commit_index = m->append.commit_index;
  body->sent_us = m->append.sent_us;
  body->n_entries = n;
  body->entries = lc_codec__alloc_pointers (arena, n);
  for (guint i = 0; i < n; i++)
    {
      const LcRaftEntry *e = &g_array_index (m->append.entries, LcRaftEntry, i);

      lc__wire__log_entry__init (&entries[i]);
      entries[i].index = e->index;
      entries[i].term = e->term;
      entries[i].kind = e->kind;
      entries[i].data = lc_codec__binary (e->data);
      body->entries[i] = &entries[i];
    }
  w->append = body;
  w->body_case = LC__WIRE__RAFT_MESSAGE__BODY_APPEND;
}

static void
lc_codec__write_vote (LcArena *arena, Lc__Wire__RaftMessage *w, const LcRaftMessage *m)
{
  w->vote = lc_codec__alloc (arena, 1, sizeof *w->vote);
  lc__wire__raft_vote__init (w->vote);
  w->vote->last_index = m->vote.last_index;
  w->vote->last_term = m->vote.last_term;
  w->vote->is_pre = m->vote.is_pre;
  w->vote->is_transfer = m->vote.is_transfer;
  w->vote->is_fresh = m->vote.is_fresh;
  w->body_case = LC__WIRE__RAFT_MESSAGE__BODY_VOTE;
}

static void
lc_codec__write_vote_reply (LcArena *arena, Lc__Wire__RaftMessage *w, const LcRaftMessage *m)
{
  w->vote_reply = lc_codec__alloc (arena, 1, sizeof *w->vote_reply);
  lc__wire__raft_vote_reply__init (w->vote_reply);
  w->vote_reply->is_pre = m->vote_reply.is_pre;
  w->vote_reply->is_granted = m->vote_reply.is_granted;
  w->vote_reply->is_fresh = m->vote_reply.is_fresh;
  w->body_case = LC__WIRE__RAFT_MESSAGE__BODY_VOTE_REPLY;
}

static void
lc_codec__write_append_reply (LcArena *arena, Lc__Wire__RaftMessage *w, const LcRaftMessage *m)
{
  w->append_reply = lc_codec__alloc (arena, 1, sizeof *w->append_reply);
  lc__wire__raft_append_reply__init (w->append_reply);
  w->append_reply->is_ok = m->append_reply.is_ok;
  w->append_reply->match_index = m->append_reply.match_index;
  w->append_reply->sent_us = m->append_reply.sent_us;
  w->body_case = LC__WIRE__RAFT_MESSAGE__BODY_APPEND_REPLY;
}

static void
lc_codec__write_snapshot (LcArena *arena,
                          Lc__Wire__RaftMessage *w,
                          const LcRaftMessage *m,
                          GBytes *config)
{
  w->snapshot = lc_codec__alloc (arena, 1, sizeof *w->snapshot);
  lc__wire__raft_snapshot__init (w->snapshot);
  w->snapshot->last_index = m->snapshot.last_index;
  w->snapshot->last_term = m->snapshot.last_term;
  w->snapshot->offset = m->snapshot.offset;
  w->snapshot->total_bytes = m->snapshot.total_bytes;
  w->snapshot->sent_us = m->snapshot.sent_us;
  w->snapshot->config = lc_codec__binary (config);
  w->snapshot->chunk = lc_codec__binary (m->snapshot.chunk);
  w->body_case = LC__WIRE__RAFT_MESSAGE__BODY_SNAPSHOT;
}

static void
lc_codec__write_snapshot_reply (LcArena *arena, Lc__Wire__RaftMessage *w, const LcRaftMessage *m)
{
  w->snapshot_reply = lc_codec__alloc (arena, 1, sizeof *w->snapshot_reply);
  lc__wire__raft_snapshot_reply__init (w->snapshot_reply);
  w->snapshot_reply->last_index = m->snapshot_reply.last_index;
  w->snapshot_reply->next_offset = m->snapshot_reply.next_offset;
  w->snapshot_reply->sent_us = m->snapshot_reply.sent_us;
  w->body_case = LC__WIRE__RAFT_MESSAGE__BODY_SNAPSHOT_REPLY;
}

GBytes *
lc_raft_message_pack (const LcRaftMessage *message, const LcRaftEnvelope *envelope)
{
  LcArena *arena = lc_codec__arena ();
  Lc__Wire__RaftMessage w = LC__WIRE__RAFT_MESSAGE__INIT;
  GBytes *config = NULL;
  GBytes *bytes;

  w.cluster = envelope->cluster;
  w.from_ipv4 = envelope->ipv4;
  w.from_port = envelope->port;
  w.from = message->from;
  w.to = message->to;
  w.term = message->term;
  w.kind = message->kind;
  switch (message->kind)
    {
    case LC_RAFT_VOTE:
      lc_codec__write_vote (arena, &w, message);
      break;
    case LC_RAFT_VOTE_REPLY:
      lc_codec__write_vote_reply (arena, &w, message);
      break;
    case LC_RAFT_APPEND:
      lc_codec__write_append (arena, &w, message);
      break;
    case LC_RAFT_APPEND_REPLY:
      lc_codec__write_append_reply (arena, &w, message);
      break;
    case LC_RAFT_SNAPSHOT:
      config = lc_raft_config_encode (message->snapshot.config);
      lc_codec__write_snapshot (arena, &w, message, config);
      break;
    case LC_RAFT_SNAPSHOT_REPLY:
      lc_codec__write_snapshot_reply (arena, &w, message);
      break;
    case LC_RAFT_TIMEOUT_NOW:
      break;
    }
  bytes = lc_codec__pack (&w.base);
  if (config != NULL)
    g_bytes_unref (config);
  g_ptr_array_unref (arena);
  return bytes;
}

/* === reading ================================================================== */

static bool
lc_codec__read_append (LcRaftMessage *m, const Lc__Wire__RaftAppend *w)
{
  m->append.prev_index = w->prev_index;
  m->append.prev_term = w->prev_term;
  m->append.commit_index = w->commit_index;
  m->append.sent_us = w->sent_us;
  if (w->n_entries > 0)
    m->append.entries = lc_raft_entries_new ();
  for (size_t i = 0; i < w->n_entries; i++)
    {
      const Lc__Wire__LogEntry *from = w->entries[i];
      LcRaftEntry e = { .index = from->index, .term = from->term, .kind = (uint8_t)from->kind };

      if (from->kind > UINT8_MAX || from->data.len > LC_RAFT_ENTRY_BYTES_MAX)
        return false;
      if (e.kind != LC_RAFT_ENTRY_NOOP)
        e.data = g_bytes_new (from->data.data, from->data.len);
      g_array_append_val (m->append.entries, e);
    }
  return true;
}

static bool
lc_codec__read_snapshot (LcRaftMessage *m, const Lc__Wire__RaftSnapshot *w)
{
  m->snapshot.last_index = w->last_index;
  m->snapshot.last_term = w->last_term;
  m->snapshot.offset = w->offset;
  m->snapshot.total_bytes = w->total_bytes;
  m->snapshot.sent_us = w->sent_us;
  m->snapshot.chunk = g_bytes_new (w->chunk.data, w->chunk.len);
  m->snapshot.config = g_new0 (LcRaftConfig, 1);
  return lc_raft_config_decode (m->snapshot.config, w->config.data, w->config.len) == 0;
}

static void
lc_codec__read_vote (LcRaftMessage *m, const Lc__Wire__RaftVote *w)
{
  m->vote.last_index = w->last_index;
  m->vote.last_term = w->last_term;
  m->vote.is_pre = w->is_pre;
  m->vote.is_transfer = w->is_transfer;
  m->vote.is_fresh = w->is_fresh;
}

static void
lc_codec__read_append_reply (LcRaftMessage *m, const Lc__Wire__RaftAppendReply *w)
{
  m->append_reply.is_ok = w->is_ok;
  m->append_reply.match_index = w->match_index;
  m->append_reply.sent_us = w->sent_us;
}

static void
lc_codec__read_snapshot_reply (LcRaftMessage *m, const Lc__Wire__RaftSnapshotReply *w)
{
  m->snapshot_reply.last_index = w->last_index;
  m->snapshot_reply.next_offset = w->next_offset;
  m->snapshot_reply.sent_us = w->sent_us;
}

static bool
lc_codec__read_body (LcRaftMessage *m, const Lc__Wire__RaftMessage *w)
{
  switch (w->body_case)
    {
    case LC__WIRE__RAFT_MESSAGE__BODY_VOTE:
      lc_codec__read_vote (m, w->vote);
      return w->kind == LC_RAFT_VOTE;
    case LC__WIRE__RAFT_MESSAGE__BODY_VOTE_REPLY:
      m->vote_reply.is_pre = w->vote_reply->is_pre;
      m->vote_reply.is_granted = w->vote_reply->is_granted;
      m->vote_reply.is_fresh = w->vote_reply->is_fresh;
      return w->kind == LC_RAFT_VOTE_REPLY;
    case LC__WIRE__RAFT_MESSAGE__BODY_APPEND:
      return w->kind == LC_RAFT_APPEND && lc_codec__read_append (m, w->append);
    case LC__WIRE__RAFT_MESSAGE__BODY_APPEND_REPLY:
      lc_codec__read_append_reply (m, w->append_reply);
      return w->kind == LC_RAFT_APPEND_REPLY;
    case LC__WIRE__RAFT_MESSAGE__BODY_SNAPSHOT:
      return w->kind == LC_RAFT_SNAPSHOT && lc_codec__read_snapshot (m, w->snapshot);
    case LC__WIRE__RAFT_MESSAGE__BODY_SNAPSHOT_REPLY:
      lc_codec__read_snapshot_reply (m, w->snapshot_reply);
      return w->kind == LC_RAFT_SNAPSHOT_REPLY;
    default:
      return w->kind == LC_RAFT_TIMEOUT_NOW;
    }
}

int
lc_raft_message_unpack (LcRaftMessage *message,
                        LcRaftEnvelope *envelope,
                        const uint8_t *bytes,
                        size_t len,
                        LcError *error)
{
  Lc__Wire__RaftMessage *w = lc__wire__raft_message__unpack (NULL, len, bytes);
  bool ok;

  memset (message, 0, sizeof *message);
  if (w == NULL)
    return lc_codec__set_malformed (error, "a log message");
  envelope->cluster = w->cluster;
  envelope->ipv4 = w->from_ipv4;
  envelope->port = (uint16_t)w->from_port;
  message->kind = (LcRaftMessageKind)w->kind;
  message->from = w->from;
  message->to = w->to;
  message->term = w->term;
  ok = lc_codec__read_body (message, w);
  lc__wire__raft_message__free_unpacked (w, NULL);
  if (ok)
    return 0;
  lc_raft_message_finish (message);
  return lc_codec__set_malformed (error, "a log message");
}
