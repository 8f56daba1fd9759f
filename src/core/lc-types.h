/* lc-types: identifiers and limits that every module shares.
 *
 * WHAT IT IS
 *   Fixed-width identifiers, enumerations with wire values, and the limits of names and lists.
 *   Values of enumerations are sent between processes and written to disk: add new ones at the
 *   end, never renumber.
 *
 * UNITS
 *   Times are microseconds (suffix _us) of a monotonic clock unless a name has `wall`.
 *   IPv4 addresses and ports are in host byte order.
 */
#ifndef LC_TYPES_H
#define LC_TYPES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C"
{
#endif

  typedef uint32_t LcServiceId;  /* assigned by control; 0 is "none" */
  typedef uint32_t LcEndpointId; /* assigned by control, stable for a name; 0 is "none" */
  typedef uint32_t LcBalancerId; /* assigned by control, stable for a name; 0 is "none" */
  typedef uint16_t LcDcId;       /* data centre, assigned by control; 0 is "none" */
  typedef uint64_t LcInstance;   /* random per process start; 0 is "none" */
  typedef uint64_t LcRevision;   /* index in the replicated log; 0 is "nothing yet" */

  enum
  {
    LC_NAME_MAX = 48,        /* bytes of a name with the final NUL */
    LC_PATH_MAX = 96,        /* bytes of a route's host or path prefix with the final NUL */
    LC_CANDIDATES = 4,       /* endpoints in a packet's candidate list */
    LC_CONTROL_VMS_MAX = 20, /* control VMs whose addresses a process holds */
  };

#define LC_US_PER_MS INT64_C (1000)
#define LC_US_PER_S INT64_C (1000000)

  /* An address and port as one number, for tables and messages. */
  static inline uint64_t
  lc_address_pack (uint32_t ipv4, uint16_t port)
  {
    return ((uint64_t)ipv4 << 16) | port;
  }

  /* An endpoint's state in the view.  Only JOINING and ACTIVE endpoints are candidates. */
  typedef enum
  {
    LC_ENDPOINT_NONE = 0,
    LC_ENDPOINT_JOINING = 1,  /* announced, ramping up */
    LC_ENDPOINT_ACTIVE = 2,   /* accepts new work */
    LC_ENDPOINT_DRAINING = 3, /* accepts no new work, keeps its flows and requests */
    LC_ENDPOINT_LOST = 4,     /* lease expired; may return with the same instance */
  } LcEndpointState;

  typedef enum
  {
    LC_DC_ACTIVE = 1,
    LC_DC_RETIRING = 2, /* its endpoints drain; its balancers keep forwarding */
  } LcDcState;

  typedef enum
  {
    LC_BALANCER_ACTIVE = 1,
    LC_BALANCER_LEAVING = 2,
    LC_BALANCER_LOST = 3,
  } LcBalancerState;

  typedef enum
  {
    LC_PROTOCOL_TCP = 6,
    LC_PROTOCOL_UDP = 17,
  } LcProtocol;

#ifdef __cplusplus
}
#endif

#endif /* LC_TYPES_H */
