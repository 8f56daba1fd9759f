/* lc-member-serve: a balancer's service to the agents and balancers downstream.
 *
 * WHAT IT IS
 *   Private part of lc-member, called by lc-member.c only: leases, subscriptions to the view,
 *   queries between watchers about suspects, and reports of transitions to control.
 */
#ifndef LC_MEMBER_SERVE_H
#define LC_MEMBER_SERVE_H

#include "lc-member.h"

void lc_member_serve_init (LcMember *member);
void lc_member_serve_finish (LcMember *member);
void lc_member_serve_handle_frame (LcMember *member, LcLink *link, const LcFrame *frame);
void lc_member_serve_handle_link_down (LcMember *member, LcLink *link);
/* Expires leases, queries watchers about suspects and sends reports; at each tick. */
void lc_member_serve_tick (LcMember *member, int64_t now_us);
/* Folds the acknowledgements from downstream, without this balancer's own. */
void lc_member_serve_fold (const LcMember *member, LcFold *fold);

/* For lc-member-serve.c; defined in lc-member.c and lc-member-upstream.c. */
LcLink *lc_member_select_report_link (LcMember *member, int64_t now_us);
void lc_member_record_malformed (LcMember *member, const char *what, const LcError *error);

#endif /* LC_MEMBER_SERVE_H */
