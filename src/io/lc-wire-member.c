#include "lc-wire-member.h"

#include "lc-member-frames.h"
#include "lc-wire-view.h"

#include <string.h>

void
lc_wire_member_change_write (LcWireMemberChange *wire, const LcMemberChange *change)
{
  lc__wire__member_change__init (&wire->message);
  wire->message.kind = change->kind;
  wire->message.data_centre = (char *)change->data_centre;
  wire->message.region = (char *)change->region;
  wire->message.service = (char *)change->service;
  if (change->kind == LC_MEMBER_SETTLED)
    {
      wire->message.settled_revision = change->settled_revision;
      return;
    }
  if (change->kind >= LC_MEMBER_BALANCER_ANNOUNCED)
    {
      lc_wire_balancer_write (&wire->balancer, &change->balancer);
      wire->message.balancer = &wire->balancer;
      return;
    }
  lc_wire_endpoint_write (&wire->endpoint, &change->endpoint);
  wire->message.endpoint = &wire->endpoint;
}

/* === private: reading ======================================================================= */

static int
lc_wire_member__copy (char *out, const char *text, LcError *error)
{
  if (strlen (text) >= LC_NAME_MAX)
    return lc_error_set (error, LC_ERR_INVALID, "use a shorter name",
                         "a name of %zu bytes is too long", strlen (text));
  (void)g_strlcpy (out, text, LC_NAME_MAX);
  return 0;
}

static int
lc_wire_member__fail_incomplete (LcError *error, uint32_t kind)
{
  return lc_error_set (error, LC_ERR_INVALID, "run the same version on both sides",
                       "membership change of kind %u is unknown or has no named body", kind);
}

static int
lc_wire_member__read_body (LcMemberChange *change,
                           const Lc__Wire__MemberChange *message,
                           LcError *error)
{
  switch (change->kind)
    {
    case LC_MEMBER_SETTLED:
      change->settled_revision = message->settled_revision;
      return 0;
    case LC_MEMBER_BALANCER_ANNOUNCED:
    case LC_MEMBER_BALANCER_LEAVING:
    case LC_MEMBER_BALANCER_GONE:
    case LC_MEMBER_BALANCER_LOST:
      if (message->balancer == NULL || message->balancer->name[0] == '\0')
        return lc_wire_member__fail_incomplete (error, message->kind);
      return lc_wire_balancer_read (&change->balancer, message->balancer, error);
    case LC_MEMBER_ENDPOINT_ANNOUNCED:
    case LC_MEMBER_ENDPOINT_RAMPED:
    case LC_MEMBER_ENDPOINT_LEAVING:
    case LC_MEMBER_ENDPOINT_GONE:
    case LC_MEMBER_ENDPOINT_LOST:
      if (message->endpoint == NULL || message->endpoint->name[0] == '\0')
        return lc_wire_member__fail_incomplete (error, message->kind);
      return lc_wire_endpoint_read (&change->endpoint, message->endpoint, error);
    }
  return lc_wire_member__fail_incomplete (error, message->kind);
}

/* === public: reading ======================================================================== */

int
lc_wire_member_change_read (LcMemberChange *change,
                            const Lc__Wire__MemberChange *message,
                            LcError *error)
{
  int r;

  memset (change, 0, sizeof *change);
  change->kind = (LcMemberChangeKind)message->kind;
  r = lc_wire_member__copy (change->data_centre, message->data_centre, error);
  if (r == 0)
    r = lc_wire_member__copy (change->region, message->region, error);
  if (r == 0)
    r = lc_wire_member__copy (change->service, message->service, error);
  return r < 0 ? r : lc_wire_member__read_body (change, message, error);
}

/* === public: acknowledgements and subscriptions ============================================= */

void
lc_wire_member_fold_write (Lc__Wire__MemberFold *message, const LcFold *fold)
{
  lc__wire__member_fold__init (message);
  message->balancers_applied = fold->balancers_applied;
  message->agents_applied = fold->agents_applied;
  message->registered = fold->registered;
  message->n_balancers = fold->n_balancers;
  message->n_agents = fold->n_agents;
  message->n_behind = fold->n_behind;
}

void
lc_wire_member_fold_read (LcFold *fold, const Lc__Wire__MemberFold *message)
{
  lc_fold_init (fold);
  if (message == NULL)
    return;
  fold->balancers_applied = message->balancers_applied;
  fold->agents_applied = message->agents_applied;
  fold->registered = message->registered;
  fold->n_balancers = message->n_balancers;
  fold->n_agents = message->n_agents;
  fold->n_behind = message->n_behind;
}

void
lc_wire_member_subscribe_write (Lc__Wire__MemberSubscribe *message,
                                const LcScope *scope,
                                LcRevision from)
{
  lc__wire__member_subscribe__init (message);
  message->from_revision = from;
  message->is_scoped = scope->is_scoped;
  message->service = (char *)scope->service;
  message->data_centre = (char *)scope->data_centre;
}

int
lc_wire_member_scope_read (LcScope *scope, const Lc__Wire__MemberSubscribe *message, LcError *error)
{
  int r;

  memset (scope, 0, sizeof *scope);
  scope->is_scoped = message->is_scoped;
  r = lc_wire_member__copy (scope->service, message->service, error);
  return r < 0 ? r : lc_wire_member__copy (scope->data_centre, message->data_centre, error);
}

void
lc_wire_member_control_write (Lc__Wire__MemberStatus *message,
                              uint64_t packed[LC_CONTROL_VMS_MAX],
                              const LcSocketAddress *list,
                              uint32_t n)
{
  message->control = packed;
  message->n_control = n;
  for (uint32_t i = 0; i < n; i++)
    packed[i] = lc_address_pack (list[i].ipv4, list[i].port);
}

uint32_t
lc_wire_member_control_read (LcSocketAddress list[LC_CONTROL_VMS_MAX],
                             const Lc__Wire__MemberStatus *message)
{
  uint32_t n = (uint32_t)MIN (message->n_control, (size_t)LC_CONTROL_VMS_MAX);

  for (uint32_t i = 0; i < n; i++)
    list[i] = (LcSocketAddress){ .ipv4 = (uint32_t)(message->control[i] >> 16),
                                 .port = (uint16_t)message->control[i] };
  return n;
}

static const ProtobufCMessageDescriptor *
lc_wire_member__descriptor (uint16_t type, bool allow_queries)
{
  switch (type)
    {
    case LC_FRAME_MEMBER_HELLO:
      return &lc__wire__member_hello__descriptor;
    case LC_FRAME_MEMBER_RENEW:
      return &lc__wire__member_renew__descriptor;
    case LC_FRAME_MEMBER_SUBSCRIBE:
      return &lc__wire__member_subscribe__descriptor;
    case LC_FRAME_MEMBER_REPORT:
      return &lc__wire__member_report__descriptor;
    case LC_FRAME_MEMBER_LEASE_QUERY:
      return allow_queries ? &lc__wire__lease_query__descriptor : NULL;
    default:
      return NULL;
    }
}

ProtobufCMessage *
lc_wire_member_unpack_upward (const LcFrame *frame, bool allow_queries)
{
  const ProtobufCMessageDescriptor *d = lc_wire_member__descriptor (frame->type, allow_queries);

  return d != NULL ? protobuf_c_message_unpack (d, NULL, frame->payload_len, frame->payload) : NULL;
}
