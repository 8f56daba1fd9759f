/* lc-address: where packets arrive, with the services that open flows may belong to.
 *
 * WHAT IT IS
 *   An (address, port, protocol) sends its new flows to one service.  When it is moved to another
 *   service, open flows stay at backend servers of the former ones, so the address lists these:
 *   newest first, each once.  Replicas that apply the same moves have the same list, and a process
 *   that starts later gets it with the address.
 *
 * HOW TO USE IT
 *     lc_address_move (&address, service_id, revision);
 *     for (uint8_t i = 0; i < address.n_former; i++)
 *       a flow that address.service_id does not hold may be at address.former[i]
 *     if (address.moved_revision <= settled)
 *       lc_address_drop_former (&address);
 *
 * LIFETIME
 *   A plain value.
 *
 * LIMITS
 *   LC_ADDRESS_FORMER_MAX former services.  With more, the oldest are replaced by one
 *   LC_ADDRESS_FORMER_OTHERS: whether they hold a flow can't be found out.
 */
#ifndef LC_ADDRESS_H
#define LC_ADDRESS_H

#include "lc-home-regions.h"
#include "lc-types.h"

#ifdef __cplusplus
extern "C"
{
#endif

  enum
  {
    LC_ADDRESS_FORMER_MAX = 7,    /* entries of the list */
    LC_ADDRESS_FORMER_OTHERS = 0, /* last entry: services that are not listed */
  };

  typedef struct
  {
    uint32_t ipv4;
    uint16_t port;
    uint8_t protocol; /* LcProtocol */
    LcServiceId service_id;
    char homes[LC_HOME_REGIONS_BYTES]; /* regions to which new flows are restricted; "": all */
    LcRevision moved_revision;         /* of the newest former service; 0: none */
    LcServiceId former[LC_ADDRESS_FORMER_MAX];
    uint8_t n_former;
  } LcAddress;

  /* Sends new flows to the service from now on; no effect if they go there already. */
  void lc_address_move (LcAddress *address, LcServiceId service_id, LcRevision revision);
  /* Empties the list: no flow of a former service is left. */
  void lc_address_drop_former (LcAddress *address);

#ifdef __cplusplus
}
#endif

#endif /* LC_ADDRESS_H */
