#include "lc-claim-file.h"

#include "core/request/lc-request-frames.h"
#include "io/lc-frame.h"
#include "proto/lc-request.pb-c.h"

#include <string.h>

enum
{
  LC_CLAIM_FILE_VERSION = 1,
};

static const char LC_CLAIM_FILE_NAME[] = "claims";
static const char LC_CLAIM_FILE_TEMP_NAME[] = "claims.new";

/* === private: entries ======================================================================= */

static void
lc_claim_file__encode (GByteArray *bytes, uint16_t type, const ProtobufCMessage *message)
{
  size_t len = protobuf_c_message_get_packed_size (message);
  guint at = bytes->len;

  g_byte_array_set_size (bytes, at + LC_FRAME_HEADER_BYTES + (guint)len);
  lc_frame_encode_header (bytes->data + at, type, (uint32_t)len);
  (void)protobuf_c_message_pack (message, bytes->data + at + LC_FRAME_HEADER_BYTES);
}

static void
lc_claim_file__encode_head (GByteArray *bytes, const LcClaimFileDesc *desc)
{
  Lc__Request__ClaimFileHead head = LC__REQUEST__CLAIM_FILE_HEAD__INIT;

  head.version = LC_CLAIM_FILE_VERSION;
  head.boot_id = (char *)desc->boot_id;
  head.service = (char *)desc->service;
  lc_claim_file__encode (bytes, LC_FRAME_CLAIM_FILE_HEAD, &head.base);
}

static void
lc_claim_file__encode_claim (GByteArray *bytes, const LcClaimRecord *hold)
{
  Lc__Request__ClaimFileEntry entry = LC__REQUEST__CLAIM_FILE_ENTRY__INIT;
  Lc__Request__ClaimRecord record = LC__REQUEST__CLAIM_RECORD__INIT;

  record.key_hi = hold->key.hi;
  record.key_lo = hold->key.lo;
  record.owner_id = hold->owner.id;
  record.owner_instance = hold->owner.instance;
  record.sequence = hold->sequence;
  entry.record = &record;
  entry.expires_us = hold->expires_us;
  lc_claim_file__encode (bytes, LC_FRAME_CLAIM_FILE_ENTRY, &entry.base);
}

static void
lc_claim_file__encode_progress (GByteArray *bytes, const LcClaimProgress *known)
{
  Lc__Request__ClaimFileEntry entry = LC__REQUEST__CLAIM_FILE_ENTRY__INIT;
  Lc__Request__ClaimFileState state = LC__REQUEST__CLAIM_FILE_STATE__INIT;
  Lc__Request__Member members[LC_CLAIM_SYNC_MAX_INCARNATIONS];
  Lc__Request__Member *selves[LC_CLAIM_SYNC_MAX_INCARNATIONS];

  for (uint32_t i = 0; i < known->n_incarnations; i++)
    {
      lc__request__member__init (&members[i]);
      members[i].id = known->incarnations[i].id;
      members[i].instance = known->incarnations[i].instance;
      selves[i] = &members[i];
    }
  state.n_selves = known->n_incarnations;
  state.selves = selves;
  state.whole = known->complete;
  state.whole_from = known->complete_from;
  entry.state = &state;
  lc_claim_file__encode (bytes, LC_FRAME_CLAIM_FILE_ENTRY, &entry.base);
}

/* === private: reading ======================================================================= */

static bool
lc_claim_file__head_matches (const LcClaimFile *file, const LcFrame *frame)
{
  Lc__Request__ClaimFileHead *head;
  bool is_ours;

  if (frame->type != LC_FRAME_CLAIM_FILE_HEAD)
    return false;
  head = lc__request__claim_file_head__unpack (NULL, frame->payload_len, frame->payload);
  if (head == NULL)
    return false;
  is_ours = head->version == LC_CLAIM_FILE_VERSION &&
            strcmp (head->boot_id, file->desc.boot_id) == 0 &&
            strcmp (head->service, file->desc.service) == 0;
  lc__request__claim_file_head__free_unpacked (head, NULL);
  return is_ours;
}

static void
lc_claim_file__decode_progress (LcClaimProgress *state, const Lc__Request__ClaimFileState *from)
{
  memset (state, 0, sizeof *state);
  state->n_incarnations = (uint32_t)MIN (from->n_selves, (size_t)LC_CLAIM_SYNC_MAX_INCARNATIONS);
  for (uint32_t i = 0; i < state->n_incarnations; i++)
    state->incarnations[i] = (LcMemberRef){ from->selves[i]->id, from->selves[i]->instance };
  state->complete = from->whole;
  state->complete_from = from->whole_from;
}

static bool
lc_claim_file__decode_entry (const LcFrame *frame, GArray *holds, LcClaimProgress *state)
{
  Lc__Request__ClaimFileEntry *entry =
      frame->type == LC_FRAME_CLAIM_FILE_ENTRY
          ? lc__request__claim_file_entry__unpack (NULL, frame->payload_len, frame->payload)
          : NULL;

  if (entry == NULL)
    return false;
  if (entry->record != NULL)
    {
      const Lc__Request__ClaimRecord *record = entry->record;
      LcClaimRecord hold = { { record->key_hi, record->key_lo },
                             { record->owner_id, record->owner_instance },
                             record->sequence,
                             entry->expires_us };

      g_array_append_val (holds, hold);
    }
  if (entry->state != NULL)
    lc_claim_file__decode_progress (state, entry->state);
  lc__request__claim_file_entry__free_unpacked (entry, NULL);
  return true;
}

/* Decodes all of the file or fails: a claim that is missing could be granted again.  Only the last
 * entry may be truncated. */
static bool
lc_claim_file__decode (const LcClaimFile *file,
                       const GByteArray *bytes,
                       GArray *holds,
                       LcClaimProgress *state)
{
  size_t at = 0;
  bool is_head = true;

  while (at < bytes->len)
    {
      LcFrame frame;
      int n = lc_frame_decode (&frame, bytes->data + at, bytes->len - at, NULL);

      if (n == 0)
        break;
      if (n < 0 || (is_head && !lc_claim_file__head_matches (file, &frame)) ||
          (!is_head && !lc_claim_file__decode_entry (&frame, holds, state)))
        return false;
      is_head = false;
      at += (size_t)n;
    }
  return !is_head;
}

/* === private: writing ======================================================================= */

static int
lc_claim_file__append_bytes (LcClaimFile *file,
                             const char *name,
                             const GByteArray *bytes,
                             LcError *error)
{
  return file->desc.disk.append (file->desc.disk.user, name, bytes->data, bytes->len, error);
}

/* Removes the file: it lacks an entry, so no later process may load it. */
static void
lc_claim_file__invalidate (LcClaimFile *file, int64_t rewrite_at_us)
{
  LcError ignored;

  file->is_complete = false;
  file->errors_total++;
  file->rewrite_at_us = rewrite_at_us;
  /* Removing needs no space; if even that fails, an empty file is not loaded either. */
  if (file->desc.disk.remove (file->desc.disk.user, LC_CLAIM_FILE_NAME, &ignored) < 0)
    (void)file->desc.disk.truncate (file->desc.disk.user, LC_CLAIM_FILE_NAME, 0, &ignored);
}

static int
lc_claim_file__rewrite (LcClaimFile *file,
                        const LcRequestAgent *agent,
                        int64_t now_us,
                        LcError *error)
{
  GByteArray *bytes = g_byte_array_new ();
  GHashTableIter iter;
  gpointer value;
  int r;

  lc_claim_sync_progress (&agent->claim_sync, &file->progress);
  lc_claim_file__encode_head (bytes, &file->desc);
  lc_claim_file__encode_progress (bytes, &file->progress);
  g_hash_table_iter_init (&iter, agent->store.holds);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((const LcClaimRecord *)value)->expires_us > now_us)
      lc_claim_file__encode_claim (bytes, value);
  /* left behind by a failed rewrite */
  (void)file->desc.disk.remove (file->desc.disk.user, LC_CLAIM_FILE_TEMP_NAME, error);
  r = lc_claim_file__append_bytes (file, LC_CLAIM_FILE_TEMP_NAME, bytes, error);
  if (r == 0)
    r = file->desc.disk.rename (file->desc.disk.user, LC_CLAIM_FILE_TEMP_NAME, LC_CLAIM_FILE_NAME,
                                error);
  file->bytes = bytes->len;
  file->compacted_bytes = bytes->len;
  file->is_complete = r == 0;
  if (r < 0)
    lc_claim_file__invalidate (file, now_us + LC_CLAIM_FILE_REWRITE_US);
  g_byte_array_free (bytes, TRUE);
  return r;
}

static int
lc_claim_file__write_pending (LcClaimFile *file, LcError *error)
{
  int r = lc_claim_file__append_bytes (file, LC_CLAIM_FILE_NAME, file->pending, error);

  file->bytes += file->pending->len;
  g_byte_array_set_size (file->pending, 0);
  if (r < 0)
    lc_claim_file__invalidate (file, 0);
  return r;
}

/* === public ================================================================================= */

void
lc_claim_file_init (LcClaimFile *file, const LcClaimFileDesc *desc)
{
  memset (file, 0, sizeof *file);
  file->desc = *desc;
  file->pending = g_byte_array_new ();
}

void
lc_claim_file_finish (LcClaimFile *file)
{
  g_byte_array_free (file->pending, TRUE);
  memset (file, 0, sizeof *file);
}

int
lc_claim_file_load (LcClaimFile *file, LcRequestAgent *agent, int64_t now_us, LcError *error)
{
  GByteArray *bytes = g_byte_array_new ();
  GArray *holds = g_array_new (FALSE, FALSE, sizeof (LcClaimRecord));
  LcClaimProgress state = { 0 };
  int n = 0;
  int r;

  if (file->desc.disk.read (file->desc.disk.user, LC_CLAIM_FILE_NAME, bytes, error) == 0 &&
      lc_claim_file__decode (file, bytes, holds, &state))
    {
      for (guint i = 0; i < holds->len; i++)
        lc_request_agent_resume_claim (agent, &g_array_index (holds, LcClaimRecord, i));
      lc_request_agent_resume_progress (agent, &state);
      n = (int)lc_claim_store_size (&agent->store);
    }
  g_array_free (holds, TRUE);
  g_byte_array_free (bytes, TRUE);
  r = lc_claim_file__rewrite (file, agent, now_us, error);
  return r < 0 ? r : n;
}

int
lc_claim_file_append (LcClaimFile *file, const LcClaimRecord *hold, LcError *error)
{
  if (!file->is_complete)
    return 0;
  lc_claim_file__encode_claim (file->pending, hold);
  return lc_claim_file__write_pending (file, error);
}

int
lc_claim_file_update (LcClaimFile *file,
                      const LcRequestAgent *agent,
                      int64_t now_us,
                      LcError *error)
{
  LcClaimProgress state;

  if (!file->is_complete && now_us < file->rewrite_at_us)
    return 0;
  if (!file->is_complete || file->bytes > 2 * file->compacted_bytes + LC_CLAIM_FILE_GROWTH)
    return lc_claim_file__rewrite (file, agent, now_us, error);
  lc_claim_sync_progress (&agent->claim_sync, &state);
  if (lc_claim_progress_equal (&state, &file->progress))
    return 0;
  file->progress = state;
  lc_claim_file__encode_progress (file->pending, &state);
  return lc_claim_file__write_pending (file, error);
}
