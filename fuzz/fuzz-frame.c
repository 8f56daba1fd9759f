/* Any bytes as a stream of frames, taken as lc-link takes them. */
#include "io/lc-frame.h"

#include <stdlib.h>

static int
is_known (uint16_t type)
{
  return type == LC_FRAME_LINK_PING || type == LC_FRAME_LINK_PONG ||
         (type >= LC_FRAME_MEMBER_FIRST && type < LC_FRAME_TYPE_END);
}

int
LLVMFuzzerTestOneInput (const uint8_t *bytes, size_t len)
{
  size_t at = 0;

  while (at < len)
    {
      LcFrame frame;
      LcError error = { 0 };
      int n = lc_frame_decode (&frame, bytes + at, len - at, &error);

      if (n <= 0)
        {
          if (n < 0 && error.remedy[0] == '\0')
            abort ();
          return 0;
        }
      if ((size_t)n > len - at || frame.payload + frame.payload_len != bytes + at + n ||
          !is_known (frame.type))
        abort ();
      at += (size_t)n;
    }
  return 0;
}
