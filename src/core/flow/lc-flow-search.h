/* lc-flow-search: who has answered that its backend server does not hold a flow.
 *
 * WHAT IT IS
 *   An agent that asked every other agent of the service for the owner of a flow collects the
 *   denials here.  When every endpoint that was asked has denied the flow, nobody holds it: its
 *   caller can be told at once instead of being left to wait.  A denial stays true: a flow only
 *   comes to a backend server by a first packet.
 *
 * HOW TO USE IT
 *     lc_flow_search_begin (&searches, &packet, ids, n, view_revision, now_us);
 *     if (lc_flow_search_deny (&searches, &key, id, its_revision, now_us, &packet))
 *       nobody holds the flow of `packet`
 *
 * LIFETIME
 *   Plain values; zeros are an empty table.
 *
 * LIMITS
 *   LC_FLOW_SEARCHES at a time; a newer one takes the place of an older one with the same slot,
 *   whose caller then waits for its own next packet.  An agent that has a newer view may know of an
 *   endpoint that was not asked: its denial ends the search without a result.
 */
#ifndef LC_FLOW_SEARCH_H
#define LC_FLOW_SEARCH_H

#include "lc-flow-key.h"

#ifdef __cplusplus
extern "C"
{
#endif

  enum
  {
    LC_FLOW_SEARCHES = 256,
    LC_FLOW_SEARCH_MAX = 64, /* endpoints that one packet is sent to */
  };

#define LC_FLOW_SEARCH_US LC_US_PER_S /* a search that has not ended by then begins anew */

  typedef struct
  {
    bool is_used;
    LcPacket packet;
    LcRevision revision; /* of the view that named the endpoints */
    int64_t started_us;
    uint32_t n_waiting;
    LcEndpointId waiting[LC_FLOW_SEARCH_MAX]; /* those that have not denied */
  } LcFlowSearch;

  typedef struct
  {
    LcFlowSearch slots[LC_FLOW_SEARCHES];
  } LcFlowSearches;

  /* A packet of a search under way changes nothing but what the caller acknowledged last. */
  void lc_flow_search_begin (LcFlowSearches *searches,
                             const LcPacket *packet,
                             const LcEndpointId *ids,
                             uint32_t n,
                             LcRevision revision,
                             int64_t now_us);
  /* True when that was the last one; `packet` is then the newest that was searched for. */
  bool lc_flow_search_deny (LcFlowSearches *searches,
                            const LcFlowKey *key,
                            LcEndpointId id,
                            LcRevision revision,
                            int64_t now_us,
                            LcPacket *packet);

#ifdef __cplusplus
}
#endif

#endif /* LC_FLOW_SEARCH_H */
