/* Fuzzes the frame decoder with a byte stream, decoded as in lc-link. */
#include "io/lc-frame.h"

#include <stdlib.h>

static int
is_known_type (uint16_t type)
{
  return type == LC_FRAME_LINK_PING || type == LC_FRAME_LINK_PONG ||
         (type >= LC_FRAME_MEMBER_FIRST && type < LC_FRAME_TYPE_END);
}

int
LLVMFuzzerTestOneInput (const uint8_t *bytes, size_t len)
{
  size_t offset = 0;

  while (offset < len)
    {
      LcFrame frame;
      LcError error = { 0 };
      int n = lc_frame_decode (&frame, bytes + offset, len - offset, &error);

      if (n <= 0)
        {
          if (n < 0 && error.remedy[0] == '\0')
            abort ();
          return 0;
        }
      if ((size_t)n > len - offset || frame.payload + frame.payload_len != bytes + offset + n ||
          !is_known_type (frame.type))
        abort ();
      offset += (size_t)n;
    }
  return 0;
}
