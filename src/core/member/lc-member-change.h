/* lc-member-change: a membership transition, reported by watchers and committed by control.
 *
 * WHAT IT IS
 *   A tagged union.  Watchers (balancers) report only transitions, never renewals; control turns
 *   each into a log entry, assigns identifiers by name, and derives the view operations from it.
 *   Reports may be repeated, late, or come from several watchers: the state machine ignores one
 *   that changes nothing or names an older instance.
 *
 * LIFETIME
 *   A plain value; owns no memory.
 */
#ifndef LC_MEMBER_CHANGE_H
#define LC_MEMBER_CHANGE_H

#include "core/lc-view.h"

typedef enum
{
  /* Uses endpoint.name, .instance, .ipv4, ports, slots, weight and connection_limit, not the ids.
   * Also sent for a changed weight or address, and for the return of a lost endpoint. */
  LC_MEMBER_ENDPOINT_ANNOUNCED = 1,
  LC_MEMBER_ENDPOINT_RAMPED = 2,  /* JOINING -> ACTIVE; uses endpoint.name and .instance */
  LC_MEMBER_ENDPOINT_LEAVING = 3, /* planned stop: DRAINING */
  LC_MEMBER_ENDPOINT_GONE = 4,    /* planned stop complete: removed from the view */
  LC_MEMBER_ENDPOINT_LOST = 5,    /* lease expired without a planned stop */
  LC_MEMBER_BALANCER_ANNOUNCED = 6,
  LC_MEMBER_BALANCER_LEAVING = 7,
  LC_MEMBER_BALANCER_GONE = 8,
  LC_MEMBER_BALANCER_LOST = 9,
  LC_MEMBER_SETTLED = 10, /* uses settled_revision and expired_revision */
} LcMemberChangeKind;

enum
{
  LC_MEMBER_CHANGES_MAX = 256, /* per log entry: some 40 KB */
};

typedef struct
{
  LcMemberChangeKind kind;
  char data_centre[LC_NAME_MAX]; /* of the endpoint or balancer, by name */
  char region[LC_NAME_MAX];      /* of the data centre, from the balancer's settings; may be "" */
  char service[LC_NAME_MAX];     /* of the endpoint, by name */
  union
  {
    LcEndpoint endpoint;
    LcBalancer balancer;
    struct
    {
      LcRevision settled_revision; /* lc-settle.h; 0: nothing new */
      LcRevision expired_revision; /* lc-former-expiry.h; 0: nothing new */
    };
  };
} LcMemberChange;

#endif /* LC_MEMBER_CHANGE_H */
