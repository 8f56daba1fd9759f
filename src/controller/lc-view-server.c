#include "lc-view-server.h"

#include "core/member/lc-flush-pace.h"
#include "io/lc-clock.h"
#include "io/lc-member-frames.h"
#include "io/lc-wire-snapshot.h"
#include "io/lc-wire-view.h"
#include "proto/lc-member.pb-c.h"

#include <string.h>

enum
{
  LC_VIEW_SERVER_MAX_SNAPSHOTS = 16,
  LC_VIEW_SERVER_SMALL_OPS = 512, /* a smaller delta is always preferred to a snapshot */
  LC_VIEW_SERVER_BACKLOG_BYTES = 256 << 10,
  LC_VIEW_SERVER_RETRY_MIN_MS = 250,
  LC_VIEW_SERVER_RETRY_STEP_MS = 20,
  LC_VIEW_SERVER_RETRY_MAX_MS = 8000,
};

/* An encoded snapshot; that of the whole view is shared. */
struct LcSnapshotCache
{
  LcRevision revision;
  GPtrArray *parts; /* GByteArray */
  size_t bytes;     /* of all parts */
  uint32_t n_users;
};

typedef struct
{
  LcLink *link;
  LcScope scope;
  LcRevision scope_revision; /* `scope` is resolved up to this revision */
  LcRevision sent_revision;
  LcSnapshotCache *snapshot; /* being sent, or NULL */
  guint next_part;
  GList *queue_link; /* its element in `scoped_queue` or `whole_queue` */
} LcSubscriber;

/* === private: snapshots ===================================================================== */

static LcSnapshotCache *
lc_snapshot_cache__new (const LcScope *scope, const LcView *view)
{
  LcSnapshotCache *cache = g_new0 (LcSnapshotCache, 1);

  cache->revision = view->revision;
  cache->parts = lc_wire_snapshot_encode (scope, view);
  for (guint i = 0; i < cache->parts->len; i++)
    cache->bytes += ((const GByteArray *)g_ptr_array_index (cache->parts, i))->len;
  return cache;
}

static void
lc_snapshot_cache__release (LcSnapshotCache *cache)
{
  if (--cache->n_users > 0)
    return;
  g_ptr_array_free (cache->parts, TRUE);
  g_free (cache);
}

/* The shared snapshot may be older than the view as long as the log covers the difference. */
static LcSnapshotCache *
lc_view_server__shared_snapshot (LcViewServer *server, const LcScope *scope)
{
  if (server->cache != NULL && lc_op_log_covers (&server->log, server->cache->revision))
    return server->cache;
  if (server->cache != NULL)
    lc_snapshot_cache__release (server->cache);
  server->cache = lc_snapshot_cache__new (scope, server->desc.view);
  server->cache->n_users = 1; /* the server's own reference */
  return server->cache;
}

/* === private: subscribers =================================================================== */

static void
lc_view_server__resolve_scope (const LcViewServer *server, LcSubscriber *sub)
{
  lc_scope_resolve (&sub->scope, server->desc.view);
  sub->scope_revision = server->desc.view->revision;
}

static void
lc_view_server__end_snapshot (LcViewServer *server, LcSubscriber *sub)
{
  if (sub->snapshot == NULL)
    return;
  server->n_snapshots -= sub->scope.is_scoped ? 0 : 1;
  lc_snapshot_cache__release (sub->snapshot);
  sub->snapshot = NULL;
}

static uint32_t
lc_view_server__retry_ms (const LcViewServer *server)
{
  uint32_t step = server->n_recent_refusals * LC_VIEW_SERVER_RETRY_STEP_MS;
  uint32_t base = LC_VIEW_SERVER_RETRY_MIN_MS + MIN (step, LC_VIEW_SERVER_RETRY_MAX_MS);

  return base / 2 + (uint32_t)g_random_int_range (0, (gint32)base);
}

/* Too many snapshots at once: the subscriber is told to retry later, and is removed. */
static void
lc_view_server__refuse (LcViewServer *server, LcSubscriber *sub)
{
  Lc__Wire__MemberRetry message = LC__WIRE__MEMBER_RETRY__INIT;

  server->refused_total++;
  server->n_recent_refusals++;
  message.after_ms = lc_view_server__retry_ms (server);
  (void)lc_link_send (sub->link, LC_FRAME_MEMBER_RETRY, &message.base);
}

static bool
lc_view_server__begin_snapshot (LcViewServer *server, LcSubscriber *sub)
{
  if (!sub->scope.is_scoped && server->n_snapshots >= server->desc.max_snapshots)
    {
      lc_view_server__refuse (server, sub);
      return false;
    }
  if (sub->scope.is_scoped)
    {
      lc_view_server__resolve_scope (server, sub);
      sub->snapshot = lc_snapshot_cache__new (&sub->scope, server->desc.view);
    }
  else
    {
      sub->snapshot = lc_view_server__shared_snapshot (server, &sub->scope);
      server->n_snapshots++;
    }
  sub->snapshot->n_users++;
  sub->next_part = 0;
  server->snapshots_total++;
  return true;
}

/* Sends parts until the link's backlog is full. */
static void
lc_view_server__send_parts (LcViewServer *server, LcSubscriber *sub)
{
  const GPtrArray *parts = sub->snapshot->parts;

  while (sub->next_part < parts->len &&
         lc_link_backlog_bytes (sub->link) < LC_VIEW_SERVER_BACKLOG_BYTES)
    {
      const GByteArray *bytes = g_ptr_array_index (parts, sub->next_part);

      if (lc_link_send_bytes (sub->link, LC_FRAME_MEMBER_SNAPSHOT, bytes->data, bytes->len) < 0)
        return;
      server->bytes_total += bytes->len + LC_FRAME_HEADER_BYTES;
      sub->next_part++;
    }
  if (sub->next_part < parts->len)
    return;
  sub->sent_revision = sub->snapshot->revision;
  lc_view_server__end_snapshot (server, sub);
}

/* === private: deltas ======================================================================== */

static size_t
lc_view_server__count_delta_ops (const LcViewServer *server, const LcSubscriber *sub)
{
  LcScope scope = sub->scope;
  size_t n = 0;

  if (!scope.is_scoped)
    return server->log.n_ops - lc_op_log_after (&server->log, sub->sent_revision);
  for (size_t i = lc_op_log_after (&server->log, sub->sent_revision); i < server->log.n_ops; i++)
    n += lc_scope_includes (&scope, lc_op_log_at (&server->log, i)) ? 1 : 0;
  return n;
}

static bool
lc_view_server__prefers_delta (const LcViewServer *server, const LcSubscriber *sub)
{
  size_t n;

  if (sub->sent_revision == 0 || !lc_op_log_covers (&server->log, sub->sent_revision))
    return false;
  /* It had a newer revision than this server, so its scope may lack ids from those operations. */
  if (sub->scope.is_scoped && sub->scope_revision < sub->sent_revision)
    return false;
  n = lc_view_server__count_delta_ops (server, sub);
  return n < LC_VIEW_SERVER_SMALL_OPS ||
         n <= lc_scope_snapshot_ops (&sub->scope, server->desc.view);
}

static GByteArray *
lc_view_server__encode_delta (LcViewServer *server, LcSubscriber *sub)
{
  Lc__Wire__ViewDelta message = LC__WIRE__VIEW_DELTA__INIT;
  GByteArray *bytes = g_byte_array_new ();
  LcWireViewOps batch;

  lc_wire_view_ops_init (&batch);
  for (size_t i = lc_op_log_after (&server->log, sub->sent_revision); i < server->log.n_ops; i++)
    if (lc_scope_includes (&sub->scope, lc_op_log_at (&server->log, i)))
      lc_wire_view_ops_add (&batch, lc_op_log_at (&server->log, i));
  message.from_revision = sub->sent_revision;
  message.to_revision = server->desc.view->revision;
  message.ops = batch.ops;
  message.n_ops = batch.n_ops;
  g_byte_array_set_size (bytes, (guint)lc__wire__view_delta__get_packed_size (&message));
  (void)lc__wire__view_delta__pack (&message, bytes->data);
  server->delta_ops_total += batch.n_ops;
  lc_wire_view_ops_finish (&batch);
  return bytes;
}

/* Subscribers of the whole view are mostly at the same revision and share one encoding. */
static GByteArray *
lc_view_server__get_delta (LcViewServer *server, LcSubscriber *sub)
{
  if (sub->scope.is_scoped)
    return lc_view_server__encode_delta (server, sub);
  if (server->shared_delta == NULL || server->shared_from != sub->sent_revision)
    {
      if (server->shared_delta != NULL)
        g_byte_array_unref (server->shared_delta);
      server->shared_delta = lc_view_server__encode_delta (server, sub);
      server->shared_from = sub->sent_revision;
    }
  return g_byte_array_ref (server->shared_delta);
}

static void
lc_view_server__send_delta (LcViewServer *server, LcSubscriber *sub)
{
  GByteArray *bytes = lc_view_server__get_delta (server, sub);

  if (lc_link_send_bytes (sub->link, LC_FRAME_MEMBER_DELTA, bytes->data, bytes->len) == 0)
    {
      sub->sent_revision = server->desc.view->revision;
      sub->scope_revision = sub->sent_revision;
      server->deltas_total++;
      server->bytes_total += bytes->len + LC_FRAME_HEADER_BYTES;
    }
  g_byte_array_unref (bytes);
}

/* === private: flushing ====================================================================== */

/* Returns false when the subscriber was refused. */
static bool
lc_view_server__serve (LcViewServer *server, LcSubscriber *sub)
{
  if (sub->snapshot == NULL && sub->sent_revision >= server->desc.view->revision)
    return true;
  if (lc_link_backlog_bytes (sub->link) >= LC_VIEW_SERVER_BACKLOG_BYTES)
    return true;
  if (sub->snapshot == NULL && lc_view_server__prefers_delta (server, sub))
    {
      lc_view_server__send_delta (server, sub);
      return true;
    }
  if (sub->snapshot == NULL && !lc_view_server__begin_snapshot (server, sub))
    return false;
  lc_view_server__send_parts (server, sub);
  return true;
}

static bool
lc_view_server__is_waiting (const LcViewServer *server, const LcSubscriber *sub)
{
  return sub->snapshot != NULL || sub->sent_revision < server->desc.view->revision;
}

static void
lc_view_server__arm_after (LcViewServer *server, uint32_t ms)
{
  server->is_flush_armed = true;
  lc_timer_start (&server->flush, ms);
}

static void
lc_view_server__arm (LcViewServer *server)
{
  if (!server->is_flush_armed)
    lc_view_server__arm_after (server, LC_FLUSH_PAUSE_MIN_MS);
}

/* Subscribers of the whole view are served first, because they relay it to others. */
static void
lc_view_server__enqueue (LcViewServer *server, LcSubscriber *sub)
{
  GQueue *queue = sub->scope.is_scoped ? &server->scoped_queue : &server->whole_queue;

  g_queue_push_tail (queue, sub);
  sub->queue_link = g_queue_peek_tail_link (queue);
}

static void
lc_view_server__dequeue (LcViewServer *server, LcSubscriber *sub)
{
  g_queue_delete_link (sub->scope.is_scoped ? &server->scoped_queue : &server->whole_queue,
                       sub->queue_link);
}

/* Encoded for subscribers and not yet read by them. */
static size_t
lc_view_server__unsent_bytes (const LcViewServer *server)
{
  GHashTableIter iter;
  gpointer value;
  size_t n = 0;

  g_hash_table_iter_init (&iter, server->subscribers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const LcSubscriber *sub = value;

      n += lc_link_backlog_bytes (sub->link);
      n += sub->snapshot != NULL && sub->scope.is_scoped ? sub->snapshot->bytes : 0;
    }
  return n;
}

static void
lc_view_server__drop_shared (LcViewServer *server)
{
  if (server->shared_delta != NULL)
    g_byte_array_unref (server->shared_delta);
  server->shared_delta = NULL;
}

/* Frees the shared snapshot when no subscriber uses it. */
static void
lc_view_server__drop_idle_cache (LcViewServer *server)
{
  if (server->cache == NULL || server->cache->n_users > 1)
    return;
  lc_snapshot_cache__release (server->cache);
  server->cache = NULL;
}

/* Serves a queue from its head until the time slice is over or each was served once. */
static void
lc_view_server__serve_queue (LcViewServer *server,
                             GQueue *queue,
                             size_t *unsent_bytes,
                             int64_t started_us)
{
  for (guint n = queue->length; n > 0 && !lc_flush_is_slice_over (started_us, lc_clock_now_us ());
       n--)
    {
      LcSubscriber *sub = g_queue_peek_head (queue);
      size_t before = lc_link_backlog_bytes (sub->link);

      if (sub->snapshot == NULL && !lc_flush_has_room (*unsent_bytes))
        return;
      g_queue_push_tail_link (queue, g_queue_pop_head_link (queue));
      if (!lc_view_server__serve (server, sub))
        {
          lc_view_server__dequeue (server, sub);
          g_hash_table_remove (server->subscribers, sub->link);
          continue;
        }
      *unsent_bytes += lc_link_backlog_bytes (sub->link) - before;
    }
}

static bool
lc_view_server__has_waiting (const LcViewServer *server)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, server->subscribers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (lc_view_server__is_waiting (server, value))
      return true;
  return false;
}

static void
lc_view_server__on_flush (void *user)
{
  LcViewServer *server = user;
  int64_t started_us = lc_clock_now_us ();
  size_t unsent_bytes = lc_view_server__unsent_bytes (server);

  server->is_flush_armed = false;
  lc_view_server__serve_queue (server, &server->whole_queue, &unsent_bytes, started_us);
  lc_view_server__serve_queue (server, &server->scoped_queue, &unsent_bytes, started_us);
  lc_view_server__drop_shared (server);
  server->n_recent_refusals -= server->n_recent_refusals / 16;
  if (lc_view_server__has_waiting (server))
    lc_view_server__arm_after (server, lc_flush_pause_ms (lc_clock_now_us () - started_us));
  else
    lc_view_server__drop_idle_cache (server);
}

/* === public ================================================================================= */

void
lc_view_server_init (LcViewServer *server, const LcViewServerDesc *desc)
{
  memset (server, 0, sizeof *server);
  server->desc = *desc;
  if (server->desc.max_snapshots == 0)
    server->desc.max_snapshots = LC_VIEW_SERVER_MAX_SNAPSHOTS;
  lc_op_log_init (&server->log, desc->max_ops);
  lc_op_log_reset (&server->log, desc->view->revision);
  server->subscribers = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  server->waiting = g_hash_table_new (NULL, NULL);
  lc_timer_init (&server->flush, desc->loop, lc_view_server__on_flush, server);
}

void
lc_view_server_finish (LcViewServer *server)
{
  GHashTableIter iter;
  gpointer value;

  if (server->subscribers == NULL)
    return;
  lc_timer_finish (&server->flush);
  g_hash_table_iter_init (&iter, server->subscribers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    lc_view_server__end_snapshot (server, value);
  g_queue_clear (&server->whole_queue);
  g_queue_clear (&server->scoped_queue);
  g_hash_table_destroy (server->subscribers);
  g_hash_table_destroy (server->waiting);
  server->subscribers = NULL;
  lc_view_server__drop_idle_cache (server);
  lc_view_server__drop_shared (server);
  lc_op_log_finish (&server->log);
}

void
lc_view_server_subscribe (LcViewServer *server, LcLink *link, LcRevision from, const LcScope *scope)
{
  LcSubscriber *sub = g_hash_table_lookup (server->subscribers, link);

  if (sub == NULL)
    {
      sub = g_new0 (LcSubscriber, 1);
      sub->link = link;
      g_hash_table_insert (server->subscribers, link, sub);
    }
  else
    lc_view_server__dequeue (server, sub);
  lc_view_server__end_snapshot (server, sub);
  sub->scope = *scope;
  lc_view_server__enqueue (server, sub);
  lc_view_server__resolve_scope (server, sub);
  sub->sent_revision = from;
  lc_view_server__arm (server);
}

void
lc_view_server_add_waiting (LcViewServer *server, LcLink *link)
{
  if (server->desc.view->revision == 0)
    (void)g_hash_table_add (server->waiting, link);
}

void
lc_view_server_notify_waiting (LcViewServer *server)
{
  gpointer *links;
  guint n;

  if (g_hash_table_size (server->waiting) == 0)
    return;
  links = g_hash_table_get_keys_as_array (server->waiting, &n);
  g_hash_table_remove_all (server->waiting);
  for (guint i = 0; i < n; i++)
    if (server->desc.first_view != NULL)
      server->desc.first_view (server->desc.user, links[i]);
  g_free (links);
}

static void
lc_view_server__notify_first_view (LcViewServer *server)
{
  if (server->desc.view->revision > 0)
    lc_view_server_notify_waiting (server);
}

void
lc_view_server_publish (LcViewServer *server, const LcViewOp *ops, size_t n_ops)
{
  for (size_t i = 0; i < n_ops; i++)
    (void)lc_op_log_append (&server->log, &ops[i]);
  lc_view_server__arm (server);
  lc_view_server__notify_first_view (server);
}

void
lc_view_server_reset (LcViewServer *server)
{
  GHashTableIter iter;
  gpointer value;

  lc_op_log_reset (&server->log, server->desc.view->revision);
  g_hash_table_iter_init (&iter, server->subscribers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    lc_view_server__end_snapshot (server, value);
  if (server->cache != NULL)
    lc_snapshot_cache__release (server->cache);
  server->cache = NULL;
  lc_view_server__arm (server);
  lc_view_server__notify_first_view (server);
}

void
lc_view_server_handle_link_down (LcViewServer *server, LcLink *link)
{
  LcSubscriber *sub = g_hash_table_lookup (server->subscribers, link);

  (void)g_hash_table_remove (server->waiting, link);
  if (sub == NULL)
    return;
  lc_view_server__end_snapshot (server, sub);
  lc_view_server__dequeue (server, sub);
  g_hash_table_remove (server->subscribers, link);
}
