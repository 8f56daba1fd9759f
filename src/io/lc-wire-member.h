/* lc-wire-member: converts membership changes, acknowledgements and scopes to and from protobuf.
 *
 * HOW TO USE IT
 *   Sending:
 *     LcWireMemberChange wire;
 *     lc_wire_member_change_write (&wire, &change);
 *     ... wire.message ...
 *   Receiving:
 *     r = lc_wire_member_change_read (&change, message, &error);
 *
 * LIFETIME
 *   Strings of a written message point into the value it was written from.  Reading copies
 *   everything.
 */
#ifndef LC_WIRE_MEMBER_H
#define LC_WIRE_MEMBER_H

#include "core/member/lc-ack-fold.h"
#include "core/member/lc-member-change.h"
#include "core/member/lc-scope.h"
#include "lc-frame.h"
#include "lc-settings.h"
#include "proto/lc-member.pb-c.h"

typedef struct
{
  Lc__Wire__MemberChange message;
  Lc__Wire__Endpoint endpoint;
  Lc__Wire__Balancer balancer;
} LcWireMemberChange;

void lc_wire_member_change_write (LcWireMemberChange *wire, const LcMemberChange *change);
/* 0, or LC_ERR_INVALID: unknown kind, missing body, an empty or too long name. */
int lc_wire_member_change_read (LcMemberChange *change,
                                const Lc__Wire__MemberChange *message,
                                LcError *error);

void lc_wire_member_fold_write (Lc__Wire__MemberFold *message, const LcFold *fold);
void lc_wire_member_fold_read (LcFold *fold, const Lc__Wire__MemberFold *message);

void lc_wire_member_subscribe_write (Lc__Wire__MemberSubscribe *message,
                                     const LcScope *scope,
                                     LcRevision from);
int lc_wire_member_scope_read (LcScope *scope,
                               const Lc__Wire__MemberSubscribe *message,
                               LcError *error);

/* The control VMs listed by a status; `packed` must live as long as the message. */
void lc_wire_member_control_write (Lc__Wire__MemberStatus *message,
                                   uint64_t packed[LC_CONTROL_VMS_MAX],
                                   const LcSocketAddress *list,
                                   uint32_t n);
/* Returns their number; those beyond LC_CONTROL_VMS_MAX are ignored. */
uint32_t lc_wire_member_control_read (LcSocketAddress list[LC_CONTROL_VMS_MAX],
                                      const Lc__Wire__MemberStatus *message);

/* Unpacks a message of a member: hello, renewal, subscription or report, or with `allow_queries`
 * the lease query of another watcher.  NULL: another type, or a malformed payload.  Free it with
 * protobuf_c_message_free_unpacked. */
ProtobufCMessage *lc_wire_member_unpack_upward (const LcFrame *frame, bool allow_queries);

#endif /* LC_WIRE_MEMBER_H */
