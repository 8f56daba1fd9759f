/* lc-bytes: big-endian integers and short strings in byte arrays, for files of the data folder.
 *
 * HOW TO USE IT
 *   Writing: lc_bytes_put_u64 (array, value);
 *   Reading: LcBytesReader reader = { bytes, len, 0, false };
 *            value = lc_bytes_get_u64 (&reader);
 *   A read past the end returns 0 and sets reader.is_bad, so that a decoder checks once at its end.
 */
#ifndef LC_BYTES_H
#define LC_BYTES_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <string.h>

typedef struct
{
  const uint8_t *bytes;
  size_t len;
  size_t at;
  bool is_bad;
} LcBytesReader;

static inline void
lc_bytes_put_u8 (GByteArray *out, uint8_t value)
{
  g_byte_array_append (out, &value, 1);
}

static inline void
lc_bytes_put_u32 (GByteArray *out, uint32_t value)
{
  uint32_t big = GUINT32_TO_BE (value);

  g_byte_array_append (out, (const guint8 *)&big, sizeof big);
}

static inline void
lc_bytes_put_u64 (GByteArray *out, uint64_t value)
{
  uint64_t big = GUINT64_TO_BE (value);

  g_byte_array_append (out, (const guint8 *)&big, sizeof big);
}

/* A length byte and the string, truncated to 255 bytes. */
static inline void
lc_bytes_put_string (GByteArray *out, const char *text)
{
  size_t len = MIN (strlen (text), (size_t)UINT8_MAX);

  lc_bytes_put_u8 (out, (uint8_t)len);
  g_byte_array_append (out, (const guint8 *)text, (guint)len);
}

/* The next `len` bytes, or NULL past the end. */
static inline const uint8_t *
lc_bytes_get (LcBytesReader *reader, size_t len)
{
  static const uint8_t NOTHING[1];
  const uint8_t *at;

  if (reader->is_bad || reader->len - reader->at < len)
    {
      reader->is_bad = true;
      return NULL;
    }
  if (len == 0)
    return NOTHING; /* reader->bytes may be NULL for empty input */
  at = reader->bytes + reader->at;
  reader->at += len;
  return at;
}

static inline uint8_t
lc_bytes_get_u8 (LcBytesReader *reader)
{
  const uint8_t *at = lc_bytes_get (reader, 1);

  return at != NULL ? *at : 0;
}

static inline uint32_t
lc_bytes_get_u32 (LcBytesReader *reader)
{
  const uint8_t *at = lc_bytes_get (reader, sizeof (uint32_t));
  uint32_t big = 0;

  if (at != NULL)
    memcpy (&big, at, sizeof big);
  return GUINT32_FROM_BE (big);
}

static inline uint64_t
lc_bytes_get_u64 (LcBytesReader *reader)
{
  const uint8_t *at = lc_bytes_get (reader, sizeof (uint64_t));
  uint64_t big = 0;

  if (at != NULL)
    memcpy (&big, at, sizeof big);
  return GUINT64_FROM_BE (big);
}

/* Sets is_bad when the string and its NUL do not fit `size`. */
static inline void
lc_bytes_get_string (LcBytesReader *reader, char *out, size_t size)
{
  size_t len = lc_bytes_get_u8 (reader);
  const uint8_t *at = lc_bytes_get (reader, len);

  out[0] = '\0';
  if (at == NULL || len >= size)
    {
      reader->is_bad = true;
      return;
    }
  memcpy (out, at, len);
  out[len] = '\0';
}

#endif /* LC_BYTES_H */
