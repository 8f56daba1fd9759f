/* lc-member-change: what watchers report and control commits.
 *
 * WHAT IT IS
 *   A tagged union of membership transitions.  Watchers (balancers) report only transitions, never
 *   renewals; control turns each into a log entry, allots identifiers by name, and derives the
 *   view operations from it.  Reports may be repeated, late, or come from several watchers: the
 *   state machine ignores one that changes nothing, and one that names an older instance.
 *
 * LIFETIME
 *   A plain value; owns no memory.
 */
#ifndef LC_MEMBER_CHANGE_H
#define LC_MEMBER_CHANGE_H

#include "core/lc-view.h"

typedef enum
{
  /* endpoint.name, .instance, .ipv4, ports, slots, weight, connection_limit count; ids don't.
   * Also a changed weight or address, and the return of a lost endpoint. */
  LC_MEMBER_ENDPOINT_ANNOUNCED = 1,
  LC_MEMBER_ENDPOINT_RAMPED = 2,  /* JOINING -> ACTIVE; endpoint.name and .instance count */
  LC_MEMBER_ENDPOINT_LEAVING = 3, /* its own planned stop: DRAINING */
  LC_MEMBER_ENDPOINT_GONE = 4,    /* planned stop complete: removed */
  LC_MEMBER_ENDPOINT_LOST = 5,    /* lease expired without a word */
  LC_MEMBER_BALANCER_ANNOUNCED = 6,
  LC_MEMBER_BALANCER_LEAVING = 7,
  LC_MEMBER_BALANCER_GONE = 8,
  LC_MEMBER_BALANCER_LOST = 9,
  LC_MEMBER_SETTLED = 10, /* settled_revision counts */
} LcMemberChangeKind;

enum
{
  LC_MEMBER_CHANGES_MAX = 256, /* in one entry of the log: some 40 KB */
};

typedef struct
{
  LcMemberChangeKind kind;
  char data_centre[LC_NAME_MAX]; /* of the endpoint or balancer, by name */
  char region[LC_NAME_MAX];      /* of the data centre, as the balancer's settings say; may be "" */
  char service[LC_NAME_MAX];     /* of the endpoint, by name */
  union
  {
    LcEndpoint endpoint;
    LcBalancer balancer;
    LcRevision settled_revision;
  };
} LcMemberChange;

#endif /* LC_MEMBER_CHANGE_H */
