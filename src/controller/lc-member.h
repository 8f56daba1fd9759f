/* lc-member: cluster membership client of agents and balancers, with a replica of the view.
 *
 * WHAT IT IS
 *   Registers this process, renews its lease and replicates the view (snapshot, then deltas) from
 *   its upstreams.  A balancer also serves the agents of its data centre: it registers them, holds
 *   their leases and relays the view to them.
 *     agent     registers, renews and acknowledges at two balancers of its data centre, which are
 *               its watchers and its source of the view
 *     balancer  registers, reports transitions and sends folded acknowledgements to every control
 *               VM, and takes the view from one of them
 *   In a large data centre only the relays (lc-relays) connect to control.  The other balancers
 *   use two relays as agents use their watchers, and connect to control when no relay works.
 *
 * VIEW OF AN AGENT
 *   Only its own service, the balancers of its own data centre and the data centres (lc-scope).
 *   Revisions are counted as in the whole view.
 *
 * HOW TO USE IT
 *     lc_member_init (&member, &desc, &error);
 *     lc_member_view (&member)                          the newest view
 *     lc_member_handle_frame (&member, link, frame)     frames 100..199 of the peer server
 *     lc_member_handle_link_down (&member, link)
 *     lc_member_leave (&member)                         begins a planned stop
 *     lc_member_has_left (&member)                      the leaving is committed and in this view
 *     lc_member_finish (&member);
 *
 * LOSS OF ALL UPSTREAMS
 *   The view is kept; lc_member_view_age_us reports its age.
 *
 * THREADS
 *   Everything runs on app->loop's thread, also `changed`, after each batch of operations.
 */
#ifndef LC_MEMBER_H
#define LC_MEMBER_H

#include "lc-view-server.h"

#include "core/member/lc-first-view.h"
#include "core/member/lc-staleness.h"
#include "core/member/lc-upstreams.h"
#include "core/member/lc-view-sync.h"
#include "core/member/lc-watch.h"
#include "io/lc-app.h"
#include "io/lc-peer-pool.h"

typedef enum
{
  LC_MEMBER_AGENT,
  LC_MEMBER_BALANCER,
} LcMemberKind;

enum
{
  LC_MEMBER_DYNAMIC_SLOTS = 2, /* watchers of an agent, relays of a balancer */
  LC_MEMBER_MAX_SLOTS = LC_CONTROL_VMS_MAX + LC_MEMBER_DYNAMIC_SLOTS,
};

typedef struct
{
  LcApp *app;
  LcMemberKind kind;
  LcEndpoint endpoint; /* agents: name, instance, addresses, slots, limits, weight */
  LcBalancer balancer; /* balancers: name, instance, addresses */
  const char *data_centre;
  const char *region;               /* balancers: of the data centre; NULL or "": unknown */
  const char *service;              /* agents */
  const LcSocketAddress *upstreams; /* agents: balancers; balancers: control */
  uint32_t n_upstreams;
  uint32_t lease_ms;           /* 0: 3000; renewed three times in it */
  uint32_t reconnect_max_ms;   /* maximum backoff between connection attempts; 0: 2000 */
  uint32_t connect_timeout_ms; /* 0: 1000 */
  uint32_t ramp_ms;            /* agents: from being listed in the view to "ramped" */
  bool starts_unregistered;    /* agents: not registered until lc_member_announce */
  void *user;
  /* `ops` were just applied; with `is_reset` a snapshot replaced the view instead. */
  void (*changed) (
      void *user, const LcView *view, const LcViewOp *ops, size_t n_ops, bool is_reset);
} LcMemberDesc;

typedef struct LcMember LcMember;

/* A link to an upstream. */
typedef struct
{
  LcMember *member;
  LcLinkClient client;
  LcSocketAddress address;
  bool is_open;    /* the client is initialised */
  bool has_status; /* it has sent its status since the link came up */
  bool is_subscribed;
  bool is_leader;        /* the leader of control */
  bool is_confirmed;     /* its view came from control */
  bool is_standby;       /* control: it has no view, and listed the VMs that have */
  LcRevision revision;   /* of its view, as last reported */
  int64_t opened_us;     /* when the slot was retargeted or its link came up */
  int64_t last_frame_us; /* last frame; 0: none since opened */
  int64_t confirmed_us;  /* when control last confirmed its view, or the link came up */
  int64_t renew_at_us;
  int64_t renewed_us;
  int64_t subscribe_at_us; /* earliest time of the next subscription */
  int64_t move_at_us;      /* when to replace it by a better one; 0: never */
} LcMemberSlot;

struct LcMember
{
  LcMemberDesc desc;
  LcViewSync sync;
  LcUpstreams upstreams;                     /* agents: balancers; balancers: control VMs */
  LcUpstreams relays;                        /* balancers: the relays of their data centre */
  LcSocketAddress seeds[LC_CONTROL_VMS_MAX]; /* control VMs (agents: balancers) to start from */
  uint32_t n_seeds;
  LcMemberSlot slots[LC_MEMBER_MAX_SLOTS];
  uint32_t n_slots;
  uint32_t first_dynamic; /* slots from here on use rendezvous hashing */
  bool has_relays;        /* a balancer that is not linked to control */
  uint32_t primary;       /* slot of the source of the view; UINT32_MAX: none yet */
  int64_t behind_us;      /* since when another upstream has a newer view; 0: none */
  LcStaleness staleness;  /* of the view, by the revisions of upstreams and peers */
  LcTimer tick;
  bool is_started; /* a primary has been chosen */
  bool is_unregistered;
  bool keeps_registration; /* the endpoint stays registered after this process ends */
  LcMemberPhase phase;
  bool is_ramped;
  int64_t started_us;
  LcFirstView first_view;
  int64_t last_frame_us;    /* last frame from any upstream; 0: none */
  bool was_isolated;        /* lc_member__is_isolated when the upstreams were listed */
  int64_t leave_started_us; /* when the planned stop began; 0: not yet */
  int64_t listed_us;        /* when the view first listed this endpoint; 0: not yet */
  int64_t confirmed_us;     /* when control last confirmed the view; 0: never */
  bool is_confirmed;        /* see lc_member_is_confirmed */
  LcRevision registered;
  LcFold sent_fold;
  int64_t upstreams_revision; /* view revision when upstreams were last listed; -1: never */

  /* Balancers only. */
  LcViewServer server;
  LcWatch watch;
  LcPeerPool watchers; /* other balancers, queried about suspects */
  int64_t seeded_us;

  LcMetric *revision_gauge;
  LcMetric *leases_gauge;
  LcMetric *view_age_gauge;
  LcMetric *moves_total;
  LcMetric *malformed_total;
  LcLogLimit log_limit;
  LcLogLimit view_limit;
  LcLogLimit link_limit;
};

int lc_member_init (LcMember *member, const LcMemberDesc *desc, LcError *error);
void lc_member_finish (LcMember *member);
const LcView *lc_member_view (const LcMember *member);
/* Records that a packet or message carried this revision, to detect a stale view. */
void lc_member_record_revision (LcMember *member, LcRevision revision);
/* This agent's endpoint in the view; NULL before it is committed. */
const LcEndpoint *lc_member_endpoint (const LcMember *member);
/* The same if service and address match; its instance may be that of an earlier process. */
const LcEndpoint *lc_member_own_endpoint (const LcMember *member);
/* Agents before lc_member_announce: adopts the instance that the view lists for this endpoint, so
 * that a restarted agent keeps its identity.  False: the view lists none that matches. */
bool lc_member_adopt_instance (LcMember *member);
/* Agents: registers the endpoint with this instance and number of slots (0: unchanged). */
void lc_member_announce (LcMember *member, LcInstance instance, uint8_t slots);
/* The endpoint stays registered when this process ends: another process takes over. */
void lc_member_keep_registration (LcMember *member);
/* Adds addresses to start from: replaced control VMs have other addresses than in the settings.  A
 * balancer connects to them; an agent tries them when it has lost its balancers. */
void lc_member_add_control (LcMember *member, const LcSocketAddress *list, uint32_t n);
/* Copies the known ones to `out`; returns their number. */
uint32_t lc_member_list_control (const LcMember *member, LcSocketAddress *out, uint32_t max);
/* Instance of this agent or balancer. */
LcInstance lc_member_instance (const LcMember *member);
void lc_member_handle_frame (LcMember *member, LcLink *link, const LcFrame *frame);
void lc_member_handle_link_down (LcMember *member, LcLink *link);
void lc_member_leave (LcMember *member);
bool lc_member_has_left (const LcMember *member);
/* Agents: every owned flow is registered with its homes of this revision.  Acknowledged upstream,
 * folded there, and used by control to settle former candidate sets. */
void lc_member_set_registered (LcMember *member, LcRevision revision);
/* Time since control last confirmed this view, directly or through relays; -1: never. */
int64_t lc_member_view_age_us (const LcMember *member, int64_t now_us);
/* Whether the view is known to come from control, and not from a neighbour that has had no contact
 * with control since its start. */
bool lc_member_is_confirmed (const LcMember *member);

#endif /* LC_MEMBER_H */
