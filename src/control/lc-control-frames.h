/* lc-control-frames: types of the frames between control VMs; beside each its message. */
#ifndef LC_CONTROL_FRAMES_H
#define LC_CONTROL_FRAMES_H

#include "io/lc-frame.h"

typedef enum
{
  LC_FRAME_CONTROL_RAFT = LC_FRAME_CONTROL_FIRST,            /* RaftMessage */
  LC_FRAME_CONTROL_HELLO = LC_FRAME_CONTROL_FIRST + 1,       /* ControlHello */
  LC_FRAME_CONTROL_HELLO_REPLY = LC_FRAME_CONTROL_FIRST + 2, /* ControlHelloReply */
  LC_FRAME_CONTROL_FORWARD = LC_FRAME_CONTROL_FIRST + 3,     /* ControlForward */
} LcControlFrameType;

#endif /* LC_CONTROL_FRAMES_H */
