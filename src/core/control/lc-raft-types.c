#include "lc-raft-types.h"

#include "lc-bytes.h"

#include <string.h>

/* === references ============================================================================= */

static GBytes *
lc_raft__bytes_ref (GBytes *bytes)
{
  return bytes != NULL ? g_bytes_ref (bytes) : NULL;
}

static void
lc_raft__bytes_clear (GBytes **bytes)
{
  if (*bytes != NULL)
    g_bytes_unref (*bytes);
  *bytes = NULL;
}

static void
lc_raft__entries_clear (GArray **entries)
{
  if (*entries != NULL)
    g_array_unref (*entries);
  *entries = NULL;
}

LcRaftEntry
lc_raft_entry_copy (const LcRaftEntry *entry)
{
  LcRaftEntry copy = *entry;

  copy.data = lc_raft__bytes_ref (entry->data);
  return copy;
}

void
lc_raft_entry_finish (LcRaftEntry *entry)
{
  lc_raft__bytes_clear (&entry->data);
}

static void
lc_raft__entry_clear (gpointer data)
{
  lc_raft_entry_finish (data);
}

GArray *
lc_raft_entries_new (void)
{
  GArray *entries = g_array_new (FALSE, TRUE, sizeof (LcRaftEntry));

  g_array_set_clear_func (entries, lc_raft__entry_clear);
  return entries;
}

void
lc_raft_snapshot_copy (LcRaftSnapshot *to, const LcRaftSnapshot *from)
{
  *to = *from;
  to->data = lc_raft__bytes_ref (from->data);
}

void
lc_raft_snapshot_finish (LcRaftSnapshot *snapshot)
{
  lc_raft__bytes_clear (&snapshot->data);
  memset (snapshot, 0, sizeof *snapshot);
}

void
lc_raft_persist_finish (LcRaftPersist *persist)
{
  lc_raft_snapshot_finish (&persist->snapshot);
  lc_raft__entries_clear (&persist->entries);
}

void
lc_raft_message_finish (LcRaftMessage *message)
{
  switch (message->kind)
    {
    case LC_RAFT_APPEND:
      lc_raft__entries_clear (&message->append.entries);
      break;
    case LC_RAFT_SNAPSHOT:
      lc_raft__bytes_clear (&message->snapshot.chunk);
      g_free (message->snapshot.config);
      message->snapshot.config = NULL;
      break;
    default:
      break;
    }
}

/* === members ================================================================================ */

const LcRaftMember *
lc_raft_config_find (const LcRaftConfig *config, LcReplicaId id)
{
  for (uint32_t i = 0; i < config->n_members; i++)
    if (config->members[i].id == id)
      return &config->members[i];
  return NULL;
}

const LcRaftMember *
lc_raft_config_find_name (const LcRaftConfig *config, const char *name)
{
  for (uint32_t i = 0; i < config->n_members; i++)
    if (strcmp (config->members[i].name, name) == 0)
      return &config->members[i];
  return NULL;
}

const LcRaftMember *
lc_raft_config_find_address (const LcRaftConfig *config, uint32_t ipv4, uint16_t peer_port)
{
  for (uint32_t i = 0; i < config->n_members; i++)
    if (config->members[i].ipv4 == ipv4 && config->members[i].peer_port == peer_port)
      return &config->members[i];
  return NULL;
}

uint32_t
lc_raft_config_n_voters (const LcRaftConfig *config)
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < config->n_members; i++)
    if (!config->members[i].is_learner)
      n++;
  return n;
}

bool
lc_raft_config_is_voter (const LcRaftConfig *config, LcReplicaId id)
{
  const LcRaftMember *member = lc_raft_config_find (config, id);

  return member != NULL && !member->is_learner;
}

int
lc_raft_config_put (LcRaftConfig *config, const LcRaftMember *member)
{
  uint32_t at = 0;

  while (at < config->n_members && config->members[at].id < member->id)
    at++;
  if (at < config->n_members && config->members[at].id == member->id)
    {
      config->members[at] = *member;
      return 0;
    }
  if (config->n_members == LC_RAFT_MEMBERS_MAX)
    return LC_ERR_FULL;
  memmove (&config->members[at + 1], &config->members[at],
           (config->n_members - at) * sizeof *member);
  config->members[at] = *member;
  config->n_members++;
  return 0;
}

void
lc_raft_config_remove (LcRaftConfig *config, LcReplicaId id)
{
  for (uint32_t i = 0; i < config->n_members; i++)
    if (config->members[i].id == id)
      {
        memmove (&config->members[i], &config->members[i + 1],
                 (config->n_members - i - 1) * sizeof config->members[0]);
        config->n_members--;
        return;
      }
}

/* === encoding of members ====================================================================== */

GBytes *
lc_raft_config_encode (const LcRaftConfig *config)
{
  GByteArray *out = g_byte_array_new ();

  lc_bytes_put_u32 (out, config->n_members);
  for (uint32_t i = 0; i < config->n_members; i++)
    {
      const LcRaftMember *m = &config->members[i];

      lc_bytes_put_u64 (out, m->id);
      lc_bytes_put_u32 (out, m->ipv4);
      lc_bytes_put_u32 (out, ((uint32_t)m->peer_port << 16) | m->http_port);
      lc_bytes_put_u8 (out, m->is_learner);
      lc_bytes_put_string (out, m->name);
    }
  return g_byte_array_free_to_bytes (out);
}

static void
lc_raft__decode_member (LcBytesReader *reader, LcRaftMember *m)
{
  uint32_t ports;

  m->id = lc_bytes_get_u64 (reader);
  m->ipv4 = lc_bytes_get_u32 (reader);
  ports = lc_bytes_get_u32 (reader);
  m->peer_port = (uint16_t)(ports >> 16);
  m->http_port = (uint16_t)ports;
  m->is_learner = lc_bytes_get_u8 (reader) != 0;
  lc_bytes_get_string (reader, m->name, sizeof m->name);
}

int
lc_raft_config_decode (LcRaftConfig *config, const uint8_t *bytes, size_t len)
{
  LcBytesReader reader = { bytes, len, 0, false };
  uint32_t n = lc_bytes_get_u32 (&reader);

  memset (config, 0, sizeof *config);
  if (n > LC_RAFT_MEMBERS_MAX)
    return LC_ERR_INVALID;
  for (uint32_t i = 0; i < n; i++)
    {
      LcRaftMember member = { 0 };

      lc_raft__decode_member (&reader, &member);
      if (member.id == 0 || lc_raft_config_find (config, member.id) != NULL)
        return LC_ERR_INVALID;
      (void)lc_raft_config_put (config, &member);
    }
  return reader.is_bad || reader.at != len ? LC_ERR_TRUNCATED : 0;
}
