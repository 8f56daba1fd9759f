#include "lc-partial-attempt.h"

#include "core/request/lc-request-frames.h"

#include <inttypes.h>
#include <string.h>

/* === private: checks ======================================================================== */

static bool
lc_partial_attempt__is_printable (ProtobufCBinaryData text, bool may_have_space)
{
  for (size_t i = 0; i < text.len; i++)
    if (text.data[i] < 0x20 || text.data[i] == 0x7f || (text.data[i] == ' ' && !may_have_space))
      return false;
  return true;
}

static bool
lc_partial_attempt__is_valid_head (const Lc__Request__AttemptHead *head)
{
  if (head->body_length > LC_REQUEST_MAX_BODY || head->n_headers > LC_REQUEST_MAX_HEADERS ||
      head->attempt == 0)
    return false;
  if (head->check)
    return true;
  if (head->method.len == 0 || head->path.len == 0 ||
      !lc_partial_attempt__is_printable (head->method, false) ||
      !lc_partial_attempt__is_printable (head->path, false) ||
      !lc_partial_attempt__is_printable (head->host, false))
    return false;
  for (size_t i = 0; i < head->n_headers; i++)
    if (head->headers[i]->name.len == 0 ||
        !lc_partial_attempt__is_printable (head->headers[i]->name, false) ||
        !lc_partial_attempt__is_printable (head->headers[i]->value, true))
      return false;
  return true;
}

/* === public: reassembly ===================================================================== */

LcPartialAttempt *
lc_partial_attempt_new (uint64_t link_id, Lc__Request__AttemptHead *head)
{
  LcPartialAttempt *partial;

  if (!lc_partial_attempt__is_valid_head (head))
    {
      lc__request__attempt_head__free_unpacked (head, NULL);
      return NULL;
    }
  partial = g_new0 (LcPartialAttempt, 1);
  partial->attempt_id = (LcAttemptId){ link_id, { head->id_hi, head->id_lo }, head->attempt };
  partial->head = head;
  partial->body = g_byte_array_new ();
  return partial;
}

void
lc_partial_attempt_free (gpointer data)
{
  LcPartialAttempt *partial = data;

  lc__request__attempt_head__free_unpacked (partial->head, NULL);
  g_byte_array_unref (partial->body);
  g_free (partial);
}

bool
lc_partial_attempt_add_body (LcPartialAttempt *partial, const Lc__Request__AttemptBody *part)
{
  if (part->offset != partial->body->len ||
      part->data.len > partial->head->body_length - partial->body->len)
    return false;
  g_byte_array_append (partial->body, part->data.data, (guint)part->data.len);
  return true;
}

bool
lc_partial_attempt_is_complete (const LcPartialAttempt *partial)
{
  return partial->body->len == partial->head->body_length;
}

bool
lc_partial_attempt_is_intact (const LcPartialAttempt *partial)
{
  return lc_request_checksum (partial->body->data, partial->body->len) ==
         partial->head->body_checksum;
}

LcAgentAttempt
lc_partial_attempt_get_attempt (const LcPartialAttempt *partial, int64_t now_us)
{
  const Lc__Request__AttemptHead *head = partial->head;
  int64_t left_us = (int64_t)MIN (head->left_us, (uint64_t)(60 * LC_US_PER_S));

  return (LcAgentAttempt){ .attempt_id = partial->attempt_id,
                           .instance = head->instance,
                           .key = { head->key_hi, head->key_lo },
                           .is_caller_key = head->caller_key,
                           .is_query = head->check,
                           .digest = head->digest,
                           .deadline_us = now_us + left_us };
}

/* === public: the request ==================================================================== */

static void
lc_partial_attempt__append (GByteArray *out, const char *text)
{
  g_byte_array_append (out, (const guint8 *)text, (guint)strlen (text));
}

static void
lc_partial_attempt__append_data (GByteArray *out, ProtobufCBinaryData data)
{
  g_byte_array_append (out, data.data, (guint)data.len);
}

static bool
lc_partial_attempt__has_key_header (const Lc__Request__AttemptHead *head)
{
  static const char NAME[] = "idempotency-key";

  for (size_t i = 0; i < head->n_headers; i++)
    if (head->headers[i]->name.len == sizeof NAME - 1 &&
        g_ascii_strncasecmp ((const char *)head->headers[i]->name.data, NAME, sizeof NAME - 1) == 0)
      return true;
  return false;
}

/* Appends our headers, which a backend server may use to cancel, for deadlines and in logs. */
static void
lc_partial_attempt__append_own_headers (GByteArray *out,
                                        const LcPartialAttempt *partial,
                                        int64_t left_us)
{
  const Lc__Request__AttemptHead *head = partial->head;
  char id[LC_REQUEST_ID_TEXT];
  char line[160];

  lc_request_id_text (id, partial->attempt_id.id);
  (void)g_snprintf (line, sizeof line,
                    "lychee-request-id: %s\r\nlychee-deadline-ms: %" PRId64 "\r\n", id,
                    MAX (left_us, 0) / LC_US_PER_MS);
  lc_partial_attempt__append (out, line);
  if ((head->key_hi != 0 || head->key_lo != 0) && !lc_partial_attempt__has_key_header (head))
    {
      lc_request_id_text (id, (LcRequestId){ head->key_hi, head->key_lo });
      (void)g_snprintf (line, sizeof line, "idempotency-key: %s\r\n", id);
      lc_partial_attempt__append (out, line);
    }
  (void)g_snprintf (line, sizeof line, "content-length: %u\r\nconnection: close\r\n\r\n",
                    partial->body->len);
  lc_partial_attempt__append (out, line);
}

GBytes *
lc_partial_attempt_build_http (const LcPartialAttempt *partial, int64_t left_us)
{
  const Lc__Request__AttemptHead *head = partial->head;
  GByteArray *out = g_byte_array_sized_new (1024 + partial->body->len);

  lc_partial_attempt__append_data (out, head->method);
  lc_partial_attempt__append (out, " ");
  lc_partial_attempt__append_data (out, head->path);
  lc_partial_attempt__append (out, " HTTP/1.1\r\nhost: ");
  lc_partial_attempt__append_data (out, head->host);
  lc_partial_attempt__append (out, "\r\n");
  for (size_t i = 0; i < head->n_headers; i++)
    {
      lc_partial_attempt__append_data (out, head->headers[i]->name);
      lc_partial_attempt__append (out, ": ");
      lc_partial_attempt__append_data (out, head->headers[i]->value);
      lc_partial_attempt__append (out, "\r\n");
    }
  lc_partial_attempt__append_own_headers (out, partial, left_us);
  g_byte_array_append (out, partial->body->data, partial->body->len);
  return g_byte_array_free_to_bytes (out);
}

/* === public: tables ========================================================================= */

guint
lc_attempt_id_hash (gconstpointer data)
{
  const LcAttemptId *attempt_id = data;

  return (guint)(attempt_id->id.lo ^ (attempt_id->id.lo >> 32) ^ attempt_id->attempt ^
                 (attempt_id->link_id << 8));
}

gboolean
lc_attempt_id_equal (gconstpointer a, gconstpointer b)
{
  const LcAttemptId *x = a;
  const LcAttemptId *y = b;

  return x->link_id == y->link_id && x->attempt == y->attempt && lc_request_id_equal (x->id, y->id);
}
