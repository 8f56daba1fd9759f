/* lc-view: a replica of the committed configuration and membership.
 *
 * WHAT IT IS
 *   The view holds what control has committed: data centres, balancers, services with their
 *   endpoints, addresses (where packets arrive) and routes (where requests arrive).  It is changed
 *   only by operations (LcViewOp), each with the revision (log index) that committed it.  Every
 *   replica that applies the same operations holds the same view; control, balancers and agents all
 *   use this module.
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
 *     service.membership_revision and pushes the set before it into service.former, until an
 *     LC_VIEW_SETTLED operation with settled_revision >= LcFormerSet.until_revision drops it.  A
 *     service with returns_packets has no former sets.
 *   - Candidates are the endpoints in state JOINING or ACTIVE with a weight above 0.
 *
 * LIFETIME
 *   The view owns its arrays (GLib heap).  Pointers returned by look-ups are valid until the next
 *   apply.  Views are not shared between threads: each keeps its own and applies the operations.
 *
 * LIMITS
 *   Look-ups by id and by name are O(1) for services and endpoints and O(log n) for balancers and
 *   routes; a request's route costs O(routes of its host); changing an endpoint costs O(endpoints
 *   of its service).
 */
#ifndef LC_VIEW_H
#define LC_VIEW_H

#include "lc-address.h"
#include "lc-error.h"
#include "lc-home-regions.h"
#include "lc-types.h"

#include <glib.h>

#ifdef __cplusplus
extern "C"
{
#endif

  typedef struct
  {
    LcDcId id;
    uint8_t state;                  /* LcDcState */
    bool is_evacuated;              /* its endpoints get no new work, see lc-evacuation.h */
    LcRevision evacuation_revision; /* last start or end of an evacuation; 0: none */
    int64_t evacuation_wall_us;     /* time of that order, at the VM that accepted it */
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
    uint32_t link_kbps; /* of its VM, from its settings; 0: not set */
    char name[LC_NAME_MAX];
  } LcBalancer;

  typedef struct
  {
    LcEndpointId id;
    LcServiceId service_id;
    LcInstance instance; /* an agent drops messages to another instance */
    LcDcId dc;
    uint8_t state;             /* LcEndpointState */
    uint8_t slots;             /* concurrent requests */
    uint16_t weight_percent;   /* capacity; 100 is nominal; 0: no new work */
    uint16_t peer_port;        /* TCP frames of its agent */
    uint16_t flow_port;        /* UDP envelopes of its agent */
    uint32_t ipv4;             /* of its agent */
    uint32_t connection_limit; /* maximum of open flows */
    LcRevision joined_revision;
    char name[LC_NAME_MAX];
  } LcEndpoint;

  /* A service's candidate set from `since_revision` until `until_revision`. */
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
    LcRevision roster_revision;     /* last new endpoint, or new address of one */
    uint32_t request_timeout_ms;    /* 0: 30 000 */
    uint32_t caller_limit;          /* requests in flight per caller; 0: 64 */
    uint32_t retry_percent;         /* retry budget as a share of requests; 0: 10 */
    uint32_t objective_ppm;         /* objective: share of good requests and flows; 0: 999 000 */
    uint32_t objective_latency_ms;  /* maximum latency of a good request; 0: 500 */
    uint32_t cold_rate_mrps; /* a cold endpoint's maximum, in 1/1000 request/s; 0: by its slots */
    bool returns_packets;    /* backend servers return packets of flows they lack: no former sets */
    uint32_t idle_timeout_ms; /* an idle flow may be discarded after it; 0: not set */
    uint32_t
        former_idle_timeout_ms; /* the longest before, for flows that are idle since; 0: none */
    LcRevision idle_revision;   /* of the last change of idle_timeout_ms; 0: none */

    LcEndpoint *endpoints; /* owned; every state, ordered by id */
    uint32_t n_endpoints;
    LcFormerSet *former; /* owned; newest first */
    uint32_t n_former;
  } LcService;

  /* Where requests arrive.  A matching host wins over host "" (any), then the longest path prefix
   * wins. */
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
    LC_VIEW_SERVICE = 4,          /* uses id, name and settings, not endpoints or former */
    LC_VIEW_SERVICE_REMOVED = 5,  /* uses service.id; its endpoints, addresses and routes go too */
    LC_VIEW_ENDPOINT = 6,
    LC_VIEW_ENDPOINT_REMOVED = 7, /* uses endpoint.id and endpoint.service_id */
    LC_VIEW_ADDRESS = 8,
    LC_VIEW_ADDRESS_REMOVED = 9,
    LC_VIEW_ROUTE = 10,
    LC_VIEW_ROUTE_REMOVED = 11,  /* uses route.id */
    LC_VIEW_SETTLED = 12,        /* uses settled_revision */
    LC_VIEW_FORMER = 13,         /* in snapshots only: uses former */
    LC_VIEW_SERVICE_MEMBERS = 14 /* in snapshots only: service.id, membership and roster revision */
  } LcViewOpKind;

  /* One committed change, a tagged union: `kind` selects the member. */
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
        LcEndpoint endpoint; /* one operation per endpoint of the former set; id 0: it is empty */
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

  /* Empties the view, for instance before a snapshot is applied. */
  void lc_view_clear (LcView *view);

  /* Applies one operation.  Returns 0, LC_ERR_STALE for an older revision, LC_ERR_NOT_FOUND when an
   * endpoint names an unknown service, LC_ERR_INVALID for an unknown kind. */
  int lc_view_apply (LcView *view, const LcViewOp *op, LcError *error);

  /* Raises the view's revision, when no operation is missing up to `revision`; never lowers it. */
  void lc_view_advance (LcView *view, LcRevision revision);

  /* Look-ups: NULL when there is none. */
  const LcService *lc_view_service (const LcView *view, LcServiceId id);
  const LcService *lc_view_service_by_name (const LcView *view, const char *name);
  const LcEndpoint *lc_view_endpoint (const LcView *view, LcEndpointId id);
  const LcEndpoint *lc_view_endpoint_by_name (const LcView *view, const char *name);
  const LcDataCentre *lc_view_dc (const LcView *view, LcDcId id);
  const LcDataCentre *lc_view_dc_by_name (const LcView *view, const char *name);
  /* Number of the data centre's region in this view; LC_REGION_NONE: unknown. */
  uint8_t lc_view_region (const LcView *view, LcDcId id);
  /* Mask of the view's regions in `homes` (a list of names); LC_REGIONS_ALL when it is empty. */
  LcRegionMask lc_view_home_regions (const LcView *view, const char *homes);
  /* Whether the data centre is evacuated; false when it is unknown. */
  bool lc_view_is_evacuated (const LcView *view, LcDcId id);
  const LcBalancer *lc_view_balancer (const LcView *view, LcBalancerId id);
  const LcBalancer *lc_view_balancer_by_name (const LcView *view, const char *name);
  const LcAddress *
  lc_view_address (const LcView *view, uint32_t ipv4, uint16_t port, LcProtocol protocol);

  /* The service of a request, by longest path prefix among the routes whose host matches. */
  const LcRoute *lc_view_route (
      const LcView *view, const char *host, size_t host_len, const char *path, size_t path_len);

  /* The longest time for which a flow may have been idle and be open; 0: not set. */
  static inline uint32_t
  lc_service_longest_idle_ms (const LcService *s)
  {
    return MAX (s->idle_timeout_ms, s->former_idle_timeout_ms);
  }

  /* Whether an endpoint accepts new work. */
  static inline bool
  lc_endpoint_is_candidate (const LcEndpoint *e)
  {
    return (e->state == LC_ENDPOINT_JOINING || e->state == LC_ENDPOINT_ACTIVE) &&
           e->weight_percent > 0;
  }

  /* Calls `each` for operations that rebuild this view from an empty one, all at view->revision. */
  typedef void (*LcViewEach) (void *user, const LcViewOp *op);
  void lc_view_snapshot (const LcView *view, LcViewEach each, void *user);
  /* Parts of a snapshot: settled revision and data centres; one service with its members. */
  void lc_view_snapshot_dcs (const LcView *view, LcViewEach each, void *user);
  void lc_view_snapshot_service (const LcView *view,
                                 const LcService *service,
                                 LcViewEach each,
                                 void *user);

  /* Estimate of the heap used, for capacity figures. */
  size_t lc_view_memory_bytes (const LcView *view);

#ifdef __cplusplus
}
#endif

#endif /* LC_VIEW_H */
