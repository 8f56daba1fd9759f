/* lc-view: one node's copy of the configuration and membership.
 *
 * WHAT IT IS
 *   The view is what control has committed: data centres, balancers, services with their
 *   endpoints, addresses (where packets arrive) and routes (where requests arrive).  It is changed
 *   only by operations (LcViewOp), each carrying the revision (log index) that committed it.  Every
 *   replica that applies the same operations holds the same view: control, balancers and agents
 *   all run this module.
 *
 * HOW TO USE IT
 *     LcView view;
 *     lc_view_init (&view);
 *     LcViewOp op = { .revision = 7, .kind = LC_VIEW_SERVICE, .service = { .id = 1,
 *                     .name = "order-desk" } };
 *     lc_view_apply (&view, &op, &error);
 *     const LcService *s = lc_view_service (&view, 1);
 *     lc_view_finish (&view);
 *
 * RULES
 *   - Revisions never go back: an operation whose revision is lower than the view's is refused
 *     with LC_ERR_STALE and changes nothing.  Several operations may share one revision.
 *   - A change of a service's candidate set (join, drain, loss, change of weight) sets
 *     service.membership_revision and pushes the set before it into service.former, until a
 *     LC_VIEW_SETTLED operation with settled_revision >= LcFormerSet.until_revision drops it.  A
 *     service with returns_packets has no former sets.
 *   - Candidates are the endpoints in state JOINING or ACTIVE.
 *
 * LIFETIME
 *   The view owns its arrays (GLib heap).  Pointers returned by look-ups are valid until the next
 *   apply.  A thread that needs a view of its own keeps its own copy and is sent the operations.
 *
 * LIMITS
 *   Look-ups by id and by name are O(1) for services and endpoints and O(log n) for balancers and
 *   routes; a request's route costs O(routes of its host); changing an endpoint costs O(endpoints
 *   of its service).
 */
#ifndef LC_VIEW_H
#define LC_VIEW_H

#include "lc-error.h"
#include "lc-homes.h"
#include "lc-types.h"

#include <glib.h>

#ifdef __cplusplus
extern "C"
{
#endif

  typedef struct
  {
    LcDcId id;
    uint8_t state;     /* LcDcState */
    bool is_evacuated; /* its endpoints get no new work: core/control/lc-evacuation.h */
    LcRevision evacuation_revision; /* that began or ended its evacuation last; 0: none did */
    int64_t evacuation_wall_us;     /* when that was ordered, at the VM that took the order */
    char name[LC_NAME_MAX];
    char region[LC_NAME_MAX];
  } LcDataCentre;

  typedef struct
  {
    LcBalancerId id;
    LcInstance instance;
    LcDcId dc;
    uint8_t state; /* LcBalancerState */
    uint32_t ipv4;
    uint16_t peer_port; /* TCP frames */
    uint16_t flow_port; /* UDP envelopes from the fabric */
    uint32_t link_kbps; /* of its VM, as its settings say; 0: not said */
    char name[LC_NAME_MAX];
  } LcBalancer;

  typedef struct
  {
    LcEndpointId id;
    LcServiceId service_id;
    LcInstance instance; /* an agent drops what is not for its own instance */
    LcDcId dc;
    uint8_t state;             /* LcEndpointState */
    uint8_t slots;             /* requests run at once */
    uint16_t weight_percent;   /* capacity; 100 is nominal; 0 takes no new work */
    uint16_t peer_port;        /* TCP frames of its agent */
    uint16_t flow_port;        /* UDP envelopes of its agent */
    uint32_t ipv4;             /* of its agent */
    uint32_t connection_limit; /* open flows at most */
    LcRevision joined_revision;
    char name[LC_NAME_MAX];
  } LcEndpoint;

  /* A service's candidate set as it was from `since_revision` until `until_revision`. */
  typedef struct
  {
    LcRevision since_revision; /* the service's membership_revision while it was in force */
    LcRevision until_revision;
    LcEndpoint *endpoints; /* owned; candidates only, ordered by id */
    uint32_t n_endpoints;
  } LcFormerSet;

  typedef struct
  {
    LcServiceId id;
    char name[LC_NAME_MAX];
    LcRevision membership_revision; /* of the last change of the candidate set */
    LcRevision roster_revision;  /* when an endpoint or an address of one came that was not known */
    uint32_t request_timeout_ms; /* 0: 30 000 */
    uint32_t caller_limit;       /* requests a caller may have in flight; 0: 64 */
    uint32_t retry_percent;      /* retry budget as a share of requests; 0: 10 */
    uint32_t objective_ppm;      /* share of good requests and flows; 0: 999 000 */
    uint32_t objective_latency_ms; /* bound of a good request; 0: 500 */
    uint32_t cold_rate_mrps; /* thousandths of a request a second that a cold endpoint bears; 0: as
                                many as it has slots for */
    bool returns_packets;    /* its backend servers return what they do not hold: no former sets */

    LcEndpoint *endpoints; /* owned; every state, ordered by id */
    uint32_t n_endpoints;
    LcFormerSet *former; /* owned; newest first */
    uint32_t n_former;
  } LcService;

  /* Where packets arrive: (address, port, protocol) belongs to one service. */
  typedef struct
  {
    uint32_t ipv4;
    uint16_t port;
    uint8_t protocol; /* LcProtocol */
    LcServiceId service_id;
    char homes[LC_HOMES_BYTES]; /* regions that its new flows are kept to; "": every one */
  } LcAddress;

  /* Where requests arrive: the longest path prefix of a matching host wins; host "" is any. */
  typedef struct
  {
    uint32_t id;
    LcServiceId service_id;
    char host[LC_PATH_MAX];
    char path_prefix[LC_PATH_MAX];
  } LcRoute;

  typedef enum
  {
    LC_VIEW_DC = 1,
    LC_VIEW_BALANCER = 2,
    LC_VIEW_BALANCER_REMOVED = 3, /* uses balancer.id */
    LC_VIEW_SERVICE = 4,          /* id, name and limits; endpoints and former are ignored */
    LC_VIEW_SERVICE_REMOVED = 5,  /* uses service.id; its endpoints, addresses and routes go too */
    LC_VIEW_ENDPOINT = 6,
    LC_VIEW_ENDPOINT_REMOVED = 7, /* uses endpoint.id and endpoint.service_id */
    LC_VIEW_ADDRESS = 8,
    LC_VIEW_ADDRESS_REMOVED = 9,
    LC_VIEW_ROUTE = 10,
    LC_VIEW_ROUTE_REMOVED = 11,  /* uses route.id */
    LC_VIEW_SETTLED = 12,        /* uses settled_revision */
    LC_VIEW_FORMER = 13,         /* in snapshots only: uses former */
    LC_VIEW_SERVICE_MEMBERS = 14 /* in snapshots only: service.id and the members' revisions */
  } LcViewOpKind;

  /* One committed change.  A tagged union: `kind` says which member counts. */
  typedef struct
  {
    LcRevision revision;
    LcViewOpKind kind;
    union
    {
      LcDataCentre dc;
      LcBalancer balancer;
      LcService service;
      LcEndpoint endpoint;
      LcAddress address;
      LcRoute route;
      LcRevision settled_revision;
      struct
      {
        LcServiceId service_id;
        LcRevision since_revision;
        LcRevision until_revision;
        LcEndpoint endpoint; /* one operation an endpoint of the former set */
      } former;
    };
  } LcViewOp;

  typedef struct
  {
    LcRevision revision;         /* newest applied */
    LcRevision settled_revision; /* see RULES */
    GHashTable *services;        /* id -> LcService */
    GHashTable *endpoints;       /* endpoint id -> service id */
    GHashTable *addresses;       /* packed (ipv4, port, protocol) -> LcAddress */
    GHashTable *unsettled;       /* set of LcService with former sets */
    GHashTable *endpoint_names;  /* hash of the name -> endpoint id */
    GHashTable *balancer_names;  /* hash of the name -> balancer id */
    GHashTable *service_names;   /* hash of the name -> service id */
    GHashTable *route_hosts;     /* hash of the lower-case host -> GArray of route ids */
    GArray *dcs;                 /* LcDataCentre */
    GArray *balancers;           /* LcBalancer, ordered by id */
    GArray *routes;              /* LcRoute, ordered by id */
  } LcView;

  void lc_view_init (LcView *view);
  void lc_view_finish (LcView *view);

  /* Forgets everything, for instance before a snapshot is applied. */
  void lc_view_clear (LcView *view);

  /* Applies one operation.  Returns 0, LC_ERR_STALE for an older revision, LC_ERR_NOT_FOUND when an
   * endpoint names an unknown service, LC_ERR_INVALID for an unknown kind. */
  int lc_view_apply (LcView *view, const LcViewOp *op, LcError *error);

  /* Says that nothing else changed up to `revision`; never goes back. */
  void lc_view_advance (LcView *view, LcRevision revision);

  /* Look-ups: NULL when there is none. */
  const LcService *lc_view_service (const LcView *view, LcServiceId id);
  const LcService *lc_view_service_by_name (const LcView *view, const char *name);
  const LcEndpoint *lc_view_endpoint (const LcView *view, LcEndpointId id);
  const LcEndpoint *lc_view_endpoint_by_name (const LcView *view, const char *name);
  const LcDataCentre *lc_view_dc (const LcView *view, LcDcId id);
  const LcDataCentre *lc_view_dc_by_name (const LcView *view, const char *name);
  /* Which of the view's regions the data centre is in; LC_REGION_NONE: not known. */
  uint8_t lc_view_region (const LcView *view, LcDcId id);
  /* The regions of the view that these homes (lc-homes.h) name; LC_REGIONS_ALL: there are none. */
  LcRegionMask lc_view_home_regions (const LcView *view, const char *homes);
  /* Whether the data centre is evacuated; one that is not known is not. */
  bool lc_view_is_evacuated (const LcView *view, LcDcId id);
  const LcBalancer *lc_view_balancer (const LcView *view, LcBalancerId id);
  const LcBalancer *lc_view_balancer_by_name (const LcView *view, const char *name);
  const LcAddress *
  lc_view_address (const LcView *view, uint32_t ipv4, uint16_t port, LcProtocol protocol);

  /* The service of a request, by longest path prefix among the routes whose host matches. */
  const LcRoute *lc_view_route (
      const LcView *view, const char *host, size_t host_len, const char *path, size_t path_len);

  /* Whether an endpoint takes new work. */
  static inline bool
  lc_endpoint_is_candidate (const LcEndpoint *e)
  {
    return (e->state == LC_ENDPOINT_JOINING || e->state == LC_ENDPOINT_ACTIVE) &&
           e->weight_percent > 0;
  }

  /* Calls `each` for operations that rebuild this view from nothing, all at view->revision. */
  typedef void (*LcViewEach) (void *user, const LcViewOp *op);
  void lc_view_snapshot (const LcView *view, LcViewEach each, void *user);
  /* Parts of it: the settled revision with the data centres, and one service with its members. */
  void lc_view_snapshot_dcs (const LcView *view, LcViewEach each, void *user);
  void lc_view_snapshot_service (const LcView *view,
                                 const LcService *service,
                                 LcViewEach each,
                                 void *user);

  /* Bytes of heap held, for capacity figures. */
  size_t lc_view_memory_bytes (const LcView *view);

#ifdef __cplusplus
}
#endif

#endif /* LC_VIEW_H */
