/* lc-member: a daemon's membership and its copy of the view.
 *
 * WHAT IT IS
 *   The task that announces this process, renews its lease, receives the view (snapshot, then
 *   deltas) from upstream, and on a balancer also serves those downstream: agents of its data
 *   centre announce themselves to it, renew leases with it and get the view from it.
 *     agent    --announce, renew, acks-->  two balancers of its data centre (watchers and relays)
 *     balancer --announce, transitions, folded acks-->  every control VM; the view from one of them
 *   In a large data centre only its relays do the latter (lc-relays); the other balancers do with
 *   two relays what agents do with their watchers, and turn to control when no relay answers.
 *
 * THE VIEW OF AN AGENT
 *   An agent's view holds its own service, the balancers of its own data centre, and the data
 *   centres; the other services, addresses and routes are left out (lc-scope).  Its revision is the
 *   same count as everywhere.
 *
 * HOW TO USE IT
 *     lc_member_init (&member, &desc, &error);
 *     lc_member_view (&member)                   the newest view
 *     lc_member_frame (&member, link, frame)     frames 100..199 that the peer server received
 *     lc_member_link_down (&member, link)
 *     lc_member_leave (&member)                  a planned stop begins
 *     lc_member_has_left (&member)               the leaving is committed and in this node's view
 *     lc_member_finish (&member);
 *
 * WHEN UPSTREAM IS LOST
 *   The view stays as it is; lc_member_silence_us says how long ago control last vouched for it.
 *
 * THREADS
 *   Everything on app->loop's thread.  `changed` is called there after each batch of operations.
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
  LC_MEMBER_MOVING_SLOTS = 2, /* watchers of an agent, relays of a balancer */
  LC_MEMBER_MAX_SLOTS = LC_CONTROL_VMS_MAX + LC_MEMBER_MOVING_SLOTS,
};

typedef struct
{
  LcApp *app;
  LcMemberKind kind;
  LcEndpoint endpoint; /* agents: name, instance, addresses, slots, limits, weight */
  LcBalancer balancer; /* balancers: name, instance, addresses */
  const char *data_centre;
  const char *region;               /* balancers: of the data centre; NULL or "": not known */
  const char *service;              /* agents */
  const LcSocketAddress *upstreams; /* agents: balancers; balancers: control */
  uint32_t n_upstreams;
  uint32_t lease_ms;           /* 0: 3000; renewed three times in that */
  uint32_t reconnect_max_ms;   /* longest wait between attempts to reach an upstream; 0: 2000 */
  uint32_t connect_timeout_ms; /* of one such attempt; 0: 1000 */
  uint32_t ramp_ms;            /* agents: from the first sight of itself in the view to "ramped" */
  bool is_held;                /* agents: listen only, until lc_member_announce */
  void *user;
  /* `ops` are what was just applied; `is_reset` says that the view was replaced by a snapshot. */
  void (*changed) (
      void *user, const LcView *view, const LcViewOp *ops, size_t n_ops, bool is_reset);
} LcMemberDesc;

typedef struct LcMember LcMember;

/* One link to an upstream. */
typedef struct
{
  LcMember *member;
  LcLinkClient client;
  LcSocketAddress address;
  bool is_open;  /* the client is initialised */
  bool is_known; /* its status has come since the link is up */
  bool is_subscribed;
  bool is_leader;      /* of control */
  bool is_confirmed;   /* its view came from control */
  bool stands_by;      /* control: it has no view to give, and named those that do */
  LcRevision revision; /* of its view, as it said last */
  int64_t opened_us;   /* retargeted or link up */
  int64_t heard_us;    /* last frame; 0: none since opened */
  int64_t vouched_us;  /* control's word that it passed on last, or when the link came up */
  int64_t renew_at_us;
  int64_t renewed_us;
  int64_t subscribe_at_us; /* not before */
  int64_t move_at_us;      /* 0, or when to leave it for a better one */
} LcMemberSlot;

struct LcMember
{
  LcMemberDesc desc;
  LcViewSync sync;
  LcUpstreams upstreams;                     /* agents: balancers; balancers: control VMs */
  LcUpstreams relays;                        /* balancers: the relays of their data centre */
  LcSocketAddress seeds[LC_CONTROL_VMS_MAX]; /* of the settings */
  uint32_t n_seeds;
  LcMemberSlot slots[LC_MEMBER_MAX_SLOTS];
  uint32_t n_slots;
  uint32_t first_moving; /* the slots from here on choose their upstream by rendezvous */
  bool has_relays;       /* a balancer that is not linked to control */
  uint32_t primary;      /* slot that a balancer takes the view from; UINT32_MAX: none yet */
  int64_t behind_us;     /* 0, or since when another upstream has had a newer view */
  LcStaleness staleness; /* of the view, by all that upstreams and peers say */
  LcTimer tick;
  bool is_started;
  bool is_held; /* nothing was announced yet */
  bool is_kept; /* the end of this process is not the end of the endpoint */
  LcMemberPhase phase;
  bool is_ramped;
  int64_t started_us;
  LcFirstView first_view;
  int64_t heard_us;   /* last frame from any upstream */
  bool was_lost;      /* at the last listing: nobody had been heard for long */
  int64_t left_us;    /* 0, or when the planned stop began */
  int64_t seen_us;    /* 0, or when it first saw itself in the view */
  int64_t vouched_us; /* 0, or the last moment known at which control vouched for the view */
  bool is_confirmed;  /* the view came from control, not only from a neighbour's memory */
  LcRevision registered;
  LcFold sent_fold;
  int64_t balancers_seen_revision; /* view revision at which upstreams were last listed */

  /* Balancers only. */
  LcViewServer server;
  LcWatch watch;
  LcPeerPool watchers; /* other balancers, to ask about suspects */
  int64_t seeded_us;

  LcMetric *revision_gauge;
  LcMetric *leases_gauge;
  LcMetric *silence_gauge;
  LcMetric *moves_total;
  LcMetric *malformed_total;
  LcLogLimit log_limit;
  LcLogLimit view_limit;
  LcLogLimit link_limit;
};

int lc_member_init (LcMember *member, const LcMemberDesc *desc, LcError *error);
void lc_member_finish (LcMember *member);
const LcView *lc_member_view (const LcMember *member);
/* Somebody has this revision of the view: a packet or a message says so. */
void lc_member_note_revision (LcMember *member, LcRevision revision);
/* This agent's endpoint in the view, or NULL before it is committed. */
const LcEndpoint *lc_member_endpoint (const LcMember *member);
/* The same where it is of this agent's service and at its address; of whichever start. */
const LcEndpoint *lc_member_own_endpoint (const LcMember *member);
/* Agents that are held: takes over the instance that the view still knows of this endpoint, so that
 * a restarted agent is the one that its peers know.  False: the view has none that fits. */
bool lc_member_resume (LcMember *member);
/* Agents: announces the endpoint under this instance from now on, with the slots that it has. */
void lc_member_announce (LcMember *member, LcInstance instance, uint8_t slots);
/* The process ends, but what it announced stays: another process goes on for it. */
void lc_member_keep (LcMember *member);
/* Control VMs that are there now, besides those known: replaced ones have other addresses than the
 * settings say.  A balancer links to them; an agent tries them when it has lost its balancers. */
void lc_member_learn_control (LcMember *member, const LcSocketAddress *list, uint32_t n);
/* Those known; returns how many. */
uint32_t lc_member_control (const LcMember *member, LcSocketAddress *out, uint32_t max);
/* The instance that this agent or balancer speaks under. */
LcInstance lc_member_instance (const LcMember *member);
void lc_member_frame (LcMember *member, LcLink *link, const LcFrame *frame);
void lc_member_link_down (LcMember *member, LcLink *link);
void lc_member_leave (LcMember *member);
bool lc_member_has_left (const LcMember *member);
/* Agents: every owned flow is registered with the homes of this revision; acknowledged upstream,
 * folded there, and used by control to settle former candidate sets. */
void lc_member_set_registered (LcMember *member, LcRevision revision);
/* Microseconds since control is last known to have vouched for this view (through however many
 * relays), for "cut off" in status; -1: never. */
int64_t lc_member_silence_us (const LcMember *member, int64_t now_us);
/* Whether the view is known to come from control and not only from a neighbour that was itself cut
 * off since its start. */
bool lc_member_is_confirmed (const LcMember *member);

#endif /* LC_MEMBER_H */
