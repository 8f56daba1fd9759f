/* lc-frame: the framing of messages between processes over TCP.
 *
 * WHAT IT IS
 *   A header of 12 bytes, big-endian, then a protobuf message:
 *     0  u16 magic 0x4c43 ("LC")
 *     2  u8  version (1)
 *     3  u8  flags (0)
 *     4  u16 type (LcFrameType)
 *     6  u16 reserved (0)
 *     8  u32 payload length, at most LC_FRAME_PAYLOAD_MAX
 *
 * HOW TO USE IT
 *     LcFrame frame;
 *     int n = lc_frame_decode (&frame, bytes, len, &error);
 *     n > 0: a whole frame of n bytes; 0: more bytes are needed; < 0: close the connection.
 *
 * LIFETIME
 *   frame.payload points into the caller's bytes.
 */
#ifndef LC_FRAME_H
#define LC_FRAME_H

#include "core/lc-error.h"
#include "core/lc-types.h"

#ifdef __cplusplus
extern "C"
{
#endif

  enum
  {
    LC_FRAME_MAGIC = 0x4c43,
    LC_FRAME_VERSION = 1,
    LC_FRAME_HEADER_BYTES = 12,
    LC_FRAME_PAYLOAD_MAX = 1 << 20,
  };

  /* Types are grouped by subsystem, a hundred each, and defined in its header. */
  typedef enum
  {
    LC_FRAME_LINK_PING = 10,      /* keep-alive of lc-link, without payload */
    LC_FRAME_LINK_PONG = 11,      /* the answer to a ping, without payload */
    LC_FRAME_MEMBER_FIRST = 100,  /* membership and distribution: lc-member-frames.h */
    LC_FRAME_CONTROL_FIRST = 200, /* replicated log: lc-control-frames.h */
    LC_FRAME_FLOW_FIRST = 300,    /* reserved: flow messages go by UDP (lc-flow-wire.h) */
    LC_FRAME_REQUEST_FIRST = 400, /* attempts and claims: lc-request-frames.h */
    LC_FRAME_TYPE_END = 500,
  } LcFrameType;

  typedef struct
  {
    uint16_t type;
    uint32_t payload_len;
    const uint8_t *payload;
  } LcFrame;

  /* Returns the frame's size, 0 when more bytes are needed, LC_ERR_CORRUPT for a wrong magic,
   * flag, reserved field or type, LC_ERR_VERSION, or LC_ERR_FULL for an oversized payload. */
  int lc_frame_decode (LcFrame *frame, const uint8_t *bytes, size_t len, LcError *error);

  /* `out` has LC_FRAME_HEADER_BYTES bytes. */
  void lc_frame_encode_header (uint8_t *out, uint16_t type, uint32_t payload_len);

#ifdef __cplusplus
}
#endif

#endif /* LC_FRAME_H */
