/* lc-codec-private: helpers shared by the Protobuf codecs of control.
 *
 *   lc-control-codec.c        intents and commands
 *   lc-control-state-codec.c  the state machine's snapshot
 *   lc-raft-codec.c           log messages
 */
#ifndef LC_CODEC_PRIVATE_H
#define LC_CODEC_PRIVATE_H

#include "lc-control-codec.h"

#include "proto/lc-control.pb-c.h"

#include <string.h>

/* Memory that a message points to, all freed after it was packed. */
typedef GPtrArray LcArena;

static inline LcArena *
lc_codec__arena (void)
{
  return g_ptr_array_new_with_free_func (g_free);
}

static inline void *
lc_codec__alloc (LcArena *arena, size_t n, size_t size)
{
  void *memory = g_malloc0_n (MAX (n, 1), size);

  g_ptr_array_add (arena, memory);
  return memory;
}

static inline void *
lc_codec__alloc_pointers (LcArena *arena, size_t n)
{
  return lc_codec__alloc (arena, n, sizeof (void *));
}

static inline GBytes *
lc_codec__pack (const ProtobufCMessage *message)
{
  size_t len = protobuf_c_message_get_packed_size (message);
  uint8_t *bytes = g_malloc (MAX (len, 1));

  (void)protobuf_c_message_pack (message, bytes);
  return g_bytes_new_take (bytes, len);
}

static inline int
lc_codec__set_malformed (LcError *error, const char *what)
{
  return lc_error_set (error, LC_ERR_INVALID, "run the same version on all control VMs",
                       "%s can't be read", what);
}

/* False when the text does not fit. */
static inline bool
lc_codec__copy (char *out, size_t size, const char *text)
{
  return g_strlcpy (out, text, size) < size;
}

static inline ProtobufCBinaryData
lc_codec__binary (GBytes *bytes)
{
  ProtobufCBinaryData data = { 0 };
  gsize len = 0;

  if (bytes != NULL)
    data.data = (uint8_t *)g_bytes_get_data (bytes, &len);
  data.len = len;
  return data;
}

Lc__Wire__Intent *lc_codec__write_intent (LcArena *arena, const LcIntent *intent);
bool lc_codec__read_intent (LcIntent *intent, const Lc__Wire__Intent *m);

#endif /* LC_CODEC_PRIVATE_H */
