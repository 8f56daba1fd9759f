#include "lc-frame.h"

static uint32_t
lc_frame__u16 (const uint8_t *p)
{
  return ((uint32_t)p[0] << 8) | p[1];
}

static uint32_t
lc_frame__u32 (const uint8_t *p)
{
  return (lc_frame__u16 (p) << 16) | lc_frame__u16 (p + 2);
}

static bool
lc_frame__is_type (uint16_t type)
{
  return type == LC_FRAME_LINK_PING || type == LC_FRAME_LINK_PONG ||
         (type >= LC_FRAME_MEMBER_FIRST && type < LC_FRAME_TYPE_END);
}

static int
lc_frame__check (const uint8_t *bytes, LcError *error)
{
  uint32_t type = lc_frame__u16 (bytes + 4);
  uint32_t len = lc_frame__u32 (bytes + 8);

  if (lc_frame__u16 (bytes) != LC_FRAME_MAGIC)
    return lc_error_set (error, LC_ERR_CORRUPT,
                         "check that the peer port belongs to a lychee process",
                         "frame starts with 0x%02x%02x, not 0x4c43", bytes[0], bytes[1]);
  if (bytes[2] != LC_FRAME_VERSION)
    return lc_error_set (error, LC_ERR_VERSION, "run the same major version on both sides",
                         "frame version %u is unknown, expected %d", bytes[2], LC_FRAME_VERSION);
  if (!lc_frame__is_type (type) || bytes[3] != 0 || lc_frame__u16 (bytes + 6) != 0)
    return lc_error_set (error, LC_ERR_CORRUPT, "run the same major version on both sides",
                         "frame type %u with flags %u is unknown", type, bytes[3]);
  if (len > LC_FRAME_PAYLOAD_MAX)
    return lc_error_set (error, LC_ERR_FULL, "split the message into parts",
                         "frame payload of %u bytes is over the limit of %d", len,
                         LC_FRAME_PAYLOAD_MAX);
  return 0;
}

int
lc_frame_decode (LcFrame *frame, const uint8_t *bytes, size_t len, LcError *error)
{
  int r;

  if (len < LC_FRAME_HEADER_BYTES)
    return 0;
  r = lc_frame__check (bytes, error);
  if (r < 0)
    return r;
  frame->type = (uint16_t)lc_frame__u16 (bytes + 4);
  frame->payload_len = lc_frame__u32 (bytes + 8);
  frame->payload = bytes + LC_FRAME_HEADER_BYTES;
  if (len - LC_FRAME_HEADER_BYTES < frame->payload_len)
    return 0;
  return (int)(LC_FRAME_HEADER_BYTES + frame->payload_len);
}

void
lc_frame_encode_header (uint8_t *out, uint16_t type, uint32_t payload_len)
{
  out[0] = LC_FRAME_MAGIC >> 8;
  out[1] = LC_FRAME_MAGIC & 0xff;
  out[2] = LC_FRAME_VERSION;
  out[3] = 0;
  out[4] = (uint8_t)(type >> 8);
  out[5] = (uint8_t)type;
  out[6] = 0;
  out[7] = 0;
  out[8] = (uint8_t)(payload_len >> 24);
  out[9] = (uint8_t)(payload_len >> 16);
  out[10] = (uint8_t)(payload_len >> 8);
  out[11] = (uint8_t)payload_len;
}
