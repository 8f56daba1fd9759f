/* lc-member-private: what the files of lc-member share; not for others.
 *
 * lc-member.c is the task itself, lc-member-upstream.c speaks with upstreams, lc-member-choose.c
 * decides which they are, and lc-member-serve.c serves those downstream.
 */
#ifndef LC_MEMBER_PRIVATE_H
#define LC_MEMBER_PRIVATE_H

#include "lc-member.h"

/* === lc-member-upstream.c: what is said to an upstream, and what comes from it ============== */

/* Silence after which an upstream is left. */
int64_t lc_member__silent_us (const LcMember *member);
/* Age of control's word after which a relay does not count as working. */
int64_t lc_member__unvouched_us (const LcMember *member);
/* Uniform in [0, span). */
int64_t lc_member__jitter_us (int64_t span_us);
const char *lc_member__name (const LcMember *member);
uint32_t lc_member__index (const LcMemberSlot *slot);
/* NULL while the slot has no working link. */
LcLink *lc_member__link (LcMemberSlot *slot);
void lc_member__subscribe (LcMemberSlot *slot, int64_t now_us);
/* What this slot is told to have been reached by this node and those below it. */
void lc_member__fold (LcMember *member, uint32_t slot_index, LcFold *fold);
void lc_member__send_renew (LcMemberSlot *slot, LcMemberPhase phase, int64_t now_us);
void lc_member__hello_all (LcMember *member);
void lc_member__renew_all_soon (LcMember *member);
void lc_member__on_upstream_frame (void *user, LcLink *link, const LcFrame *frame);
void lc_member__on_upstream_up (void *user, LcLink *link);
void lc_member__on_upstream_down (void *user, LcLink *link, const char *why);

/* === lc-member.c ============================================================================ */

/* Something changed that the tick acts on: it comes within a few milliseconds. */
void lc_member__tick_soon (LcMember *member);

/* === lc-member-choose.c: which upstreams, and which of them the view comes from ============== */

/* The upstreams of a member without a view: the seeds, and the control VMs it was told of. */
void lc_member__list_seeds (LcMember *member);
/* Gives a balancer's slot for control another address. */
void lc_member__place_control (LcMember *member,
                               uint32_t slot_index,
                               const LcSocketAddress *address,
                               int64_t now_us);
void lc_member__list_balancers (LcMember *member, int64_t now_us);
/* Watchers of an agent, relays of a balancer. */
void lc_member__choose_moving (LcMember *member, LcUpstreams *from, int64_t now_us);
void lc_member__choose_balancer_upstreams (LcMember *member, int64_t now_us);
/* It has answered and is not silent. */
bool lc_member__is_usable (const LcMemberSlot *slot, int64_t now_us);
/* Whether the view stands still; at each tick. */
void lc_member__check_stale (LcMember *member, int64_t now_us);
void lc_member__choose_primary (LcMember *member, int64_t now_us);
void lc_member__subscribe_due (LcMember *member, int64_t now_us);

#endif /* LC_MEMBER_PRIVATE_H */
