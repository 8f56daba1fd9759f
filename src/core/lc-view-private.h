/* lc-view-private: functions that the files of lc-view share; not for other modules.
 *
 * lc-view.c changes a view, lc-view-lookup.c has the look-ups, lc-view-snapshot.c writes snapshots.
 */
#ifndef LC_VIEW_PRIVATE_H
#define LC_VIEW_PRIVATE_H

#include "lc-view.h"

/* Keys of the hash tables. */
gpointer lc_view__key (uint32_t id);
uint64_t lc_view__address_key (uint32_t ipv4, uint16_t port, uint8_t protocol);
gpointer lc_view__name_key (const char *name);
gpointer lc_view__host_key (const char *host, size_t len);
/* Index at which the endpoint of this id is or would be inserted. */
uint32_t lc_view__lower_bound (const LcEndpoint *endpoints, uint32_t n, LcEndpointId id);
LcService *lc_view__find_service (const LcView *view, LcServiceId id);
LcBalancer *lc_view__find_balancer (const LcView *view, LcBalancerId id);
const LcRoute *lc_view__find_route (const LcView *view, uint32_t id);

#endif /* LC_VIEW_PRIVATE_H */
