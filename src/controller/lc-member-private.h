/* lc-member-private: interfaces between the source files of lc-member; not for others.
 *
 * WHAT IT IS
 *   lc-member.c            lifetime, ticks, the planned stop
 *   lc-member-upstream.c   messages to and from upstreams
 *   lc-member-choose.c     selection of upstreams
 *   lc-member-serve.c      service to agents and balancers downstream
 */
#ifndef LC_MEMBER_PRIVATE_H
#define LC_MEMBER_PRIVATE_H

#include "lc-member.h"

/* === lc-member-upstream.c =================================================================== */

/* An upstream that sends nothing for longer is replaced. */
int64_t lc_member__silence_limit_us (const LcMember *member);
/* A relay whose view control has not confirmed for longer does not count as working. */
int64_t lc_member__relay_stale_us (const LcMember *member);
/* Uniform in [0, span_us). */
int64_t lc_member__jitter_us (int64_t span_us);
const char *lc_member__name (const LcMember *member);
uint32_t lc_member__index (const LcMemberSlot *slot);
/* NULL while the slot is not connected. */
LcLink *lc_member__link (LcMemberSlot *slot);
void lc_member__subscribe (LcMemberSlot *slot, int64_t now_us);
/* Folds the acknowledgements of this process and those downstream, to be sent to this slot. */
void lc_member__make_fold (LcMember *member, uint32_t slot_index, LcFold *fold);
void lc_member__send_renew (LcMemberSlot *slot, LcMemberPhase phase, int64_t now_us);
void lc_member__send_hello_all (LcMember *member);
void lc_member__renew_all_soon (LcMember *member);
void lc_member__on_upstream_frame (void *user, LcLink *link, const LcFrame *frame);
void lc_member__on_upstream_up (void *user, LcLink *link);
void lc_member__on_upstream_down (void *user, LcLink *link, const char *why);

/* === lc-member.c ============================================================================ */

/* Brings the next tick forward to a few milliseconds from now. */
void lc_member__tick_soon (LcMember *member);

/* === lc-member-choose.c ===================================================================== */

/* Makes the seeds the upstreams of a member without a view. */
void lc_member__list_seeds (LcMember *member);
/* Replaces the address of a balancer's slot for control. */
void lc_member__set_control_address (LcMember *member,
                                     uint32_t slot_index,
                                     const LcSocketAddress *address,
                                     int64_t now_us);
void lc_member__list_balancers (LcMember *member, int64_t now_us);
/* Selects the watchers of an agent, or the relays of a balancer, by rendezvous hashing. */
void lc_member__choose_dynamic (LcMember *member, LcUpstreams *from, int64_t now_us);
void lc_member__choose_balancer_upstreams (LcMember *member, int64_t now_us);
/* Whether it has sent its status and is not silent. */
bool lc_member__is_usable (const LcMemberSlot *slot, int64_t now_us);
/* Logs when the view becomes stale or current again; at each tick. */
void lc_member__check_stale (LcMember *member, int64_t now_us);
void lc_member__choose_primary (LcMember *member, int64_t now_us);
void lc_member__send_due_subscriptions (LcMember *member, int64_t now_us);

#endif /* LC_MEMBER_PRIVATE_H */
