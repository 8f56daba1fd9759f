#include "lc-raft-private.h"

/* === lookup ================================================================================= */

uint64_t
lc_raft_last_index (const LcRaft *raft)
{
  return raft->base_index + raft->log->len;
}

LcRaftEntry *
lc_raft__entry_at (const LcRaft *raft, uint64_t index)
{
  if (index <= raft->base_index || index > lc_raft_last_index (raft))
    return NULL;
  return &g_array_index (raft->log, LcRaftEntry, index - raft->base_index - 1);
}

uint64_t
lc_raft_term_at (const LcRaft *raft, uint64_t index)
{
  const LcRaftEntry *entry = lc_raft__entry_at (raft, index);

  if (entry != NULL)
    return entry->term;
  return index == raft->base_index ? raft->base_term : 0;
}

/* === configurations ========================================================================= */

static bool
lc_raft__decode_config (LcRaftConfig *config, const LcRaftEntry *entry)
{
  gsize len = 0;
  const uint8_t *bytes = entry->data != NULL ? g_bytes_get_data (entry->data, &len) : NULL;

  return bytes != NULL && lc_raft_config_decode (config, bytes, len) == 0;
}

/* The configuration as of `index`: of the newest configuration entry up to it, or the one at the
 * log's base. */
LcRaftConfig
lc_raft__config_at (const LcRaft *raft, uint64_t index)
{
  LcRaftConfig config;

  for (uint64_t i = MIN (index, lc_raft_last_index (raft)); i > raft->base_index; i--)
    {
      const LcRaftEntry *entry = lc_raft__entry_at (raft, i);

      if (entry->kind == LC_RAFT_ENTRY_CONFIG && lc_raft__decode_config (&config, entry))
        return config;
    }
  return raft->base_config;
}

void
lc_raft__refresh_config (LcRaft *raft)
{
  raft->config_index = 0;
  for (uint64_t i = lc_raft_last_index (raft); i > raft->base_index; i--)
    if (lc_raft__entry_at (raft, i)->kind == LC_RAFT_ENTRY_CONFIG)
      {
        raft->config_index = i;
        break;
      }
  raft->config = lc_raft__config_at (raft, lc_raft_last_index (raft));
  if (raft->role == LC_RAFT_LEADER)
    lc_raft__refresh_progress (raft);
}

uint64_t
lc_raft_config_as_of (const LcRaft *raft)
{
  return MAX (raft->config_index, raft->base_index);
}

/* === modification =========================================================================== */

void
lc_raft__append (LcRaft *raft, const LcRaftEntry *entry)
{
  LcRaftEntry copy = lc_raft_entry_copy (entry);

  g_array_append_val (raft->log, copy);
  if (raft->dirty_index == 0)
    raft->dirty_index = entry->index;
  raft->sequence++;
  if (entry->kind == LC_RAFT_ENTRY_CONFIG)
    lc_raft__refresh_config (raft);
}

/* Also lowers taken_index: entries handed out for writing and then replaced must not count as
 * stable when that write is confirmed. */
void
lc_raft__truncate (LcRaft *raft, uint64_t from_index)
{
  guint keep = (guint)(from_index - raft->base_index - 1);

  g_array_set_size (raft->log, keep);
  raft->stable_index = MIN (raft->stable_index, from_index - 1);
  raft->taken_index = MIN (raft->taken_index, from_index - 1);
  if (raft->dirty_index != 0)
    raft->dirty_index = MIN (raft->dirty_index, from_index);
  if (raft->config_index >= from_index)
    lc_raft__refresh_config (raft);
}

void
lc_raft__truncate_before (LcRaft *raft, uint64_t base_index)
{
  guint n = (guint)(base_index - raft->base_index);

  if (n == 0)
    return;
  raft->base_config = lc_raft__config_at (raft, base_index);
  raft->base_term = lc_raft_term_at (raft, base_index);
  g_array_remove_range (raft->log, 0, n);
  raft->base_index = base_index;
}
