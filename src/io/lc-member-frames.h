/* lc-member-frames: frame types of membership and view distribution (100 to 199).
 *
 * "up" is from a member towards control, "down" the other way. */
#ifndef LC_MEMBER_FRAMES_H
#define LC_MEMBER_FRAMES_H

#include "lc-frame.h"

typedef enum
{
  LC_FRAME_MEMBER_HELLO = LC_FRAME_MEMBER_FIRST, /* MemberHello, up */
  LC_FRAME_MEMBER_RENEW = 101,                   /* MemberRenew, up */
  LC_FRAME_MEMBER_STATUS = 102,                  /* MemberStatus, down */
  LC_FRAME_MEMBER_DELTA = 103,                   /* ViewDelta, down */
  LC_FRAME_MEMBER_SNAPSHOT = 104,                /* ViewSnapshotPart, down */
  LC_FRAME_MEMBER_REPORT = 105,                  /* MemberReport, up */
  LC_FRAME_MEMBER_SUBSCRIBE = 106,               /* MemberSubscribe, up */
  LC_FRAME_MEMBER_RETRY = 107,                   /* MemberRetry, down */
  LC_FRAME_MEMBER_LEASE_QUERY = 108,             /* LeaseQuery, between watchers */
  LC_FRAME_MEMBER_LEASE_ANSWER = 109,            /* LeaseAnswer, between watchers */
} LcMemberFrameType;

#endif /* LC_MEMBER_FRAMES_H */
