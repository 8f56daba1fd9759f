/* lc-flow-message: messages between the agents of one service.
 *
 * WHAT IT IS
 *   A message kind with up to LC_FLOW_BATCH_MAX entries, sent as one UDP datagram (lc-flow-wire
 *   encodes it with protobuf-c).  Any message may be lost, duplicated or late: pointers and
 *   hand-overs are sent again until acknowledged; a load report is superseded by the next.
 *
 * LIFETIME
 *   Plain values.
 */
#ifndef LC_FLOW_MESSAGE_H
#define LC_FLOW_MESSAGE_H

#include "lc-assign.h"
#include "lc-flow-key.h"

#ifdef __cplusplus
extern "C"
{
#endif

  enum
  {
    LC_FLOW_BATCH_MAX = 32, /* entries of a message, so that it fits into one datagram */
  };

  typedef enum
  {
    LC_FLOW_POINTERS = 1,     /* owner to home: registers its flows, or their end */
    LC_FLOW_POINTERS_ACK = 2, /* home to owner */
    LC_FLOW_LOAD = 3,         /* load report, to every agent of the service */
    LC_FLOW_HAND_OVER = 4,    /* leaving owner to adopter, or adopter to the restarted owner */
    LC_FLOW_HAND_OVER_ACK = 5,
    LC_FLOW_CONFLICT = 6, /* home to the registered owner: another agent claims these flows */
    LC_FLOW_NOT_HELD = 7, /* to a searching agent: the backend server here lacks these flows */
    LC_FLOW_QUERY = 8, /* searching agent to another: does its backend server have any of these */
    LC_FLOW_QUERY_REPLY = 9, /* reply to LC_FLOW_QUERY, or to a packet of a search: those flows
                                whose owner is known */
  } LcFlowMessageKind;

  typedef struct
  {
    LcFlowKey key;
    bool is_end;                 /* POINTERS: the flow ended; HAND_OVER: its last packet passed */
    bool is_refused;             /* acknowledgements: another agent remains the owner */
    bool is_unsure;              /* ANSWER: the backend server may hold it; try the packet there */
    uint32_t epoch;              /* number of hand-overs of the flow */
    LcEndpointId backend_id;     /* HAND_OVER: whose backend server has the flow;
                                    CONTEST: the agent that claims it; ANSWER: the owner */
    LcInstance backend_instance; /* of its agent when it took the flow */
    uint32_t backend_ipv4;
    uint16_t backend_port;
    uint16_t relay_port;
    uint32_t idle_ms; /* HAND_OVER: time left until it ends as idle */
  } LcFlowEntry;

  typedef struct
  {
    LcFlowMessageKind kind;
    LcServiceId service_id;
    LcFlowLoad load; /* of the sender; its agent and revision are set in every kind */
    LcCandidate to;
    LcRevision membership; /* of the sender's newest candidate set */
    LcRevision roster;     /* of its newest endpoint; 0: from an older version */
    uint32_t round;        /* of an ASK, repeated in its ANSWER */
    uint32_t n;
    LcFlowEntry entries[LC_FLOW_BATCH_MAX];
  } LcFlowMessage;

#ifdef __cplusplus
}
#endif

#endif /* LC_FLOW_MESSAGE_H */
