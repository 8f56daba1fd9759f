/* lc-flow-message: what agents of one service tell each other.
 *
 * WHAT IT IS
 *   A tagged union, sent in UDP datagrams (lc-flow-wire encodes it with protobuf-c).  Every message
 *   may be lost, repeated or late: pointers and hand-overs are sent again until acknowledged, loads
 *   are replaced by the next.
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
    LC_FLOW_BATCH_MAX = 32, /* entries of a message: it fits one datagram */
  };

  typedef enum
  {
    LC_FLOW_POINTERS = 1,     /* owner to home: I own these flows */
    LC_FLOW_POINTERS_ACK = 2, /* home to owner */
    LC_FLOW_LOAD = 3,         /* to every agent of the service */
    LC_FLOW_HAND_OVER = 4,    /* a leaving owner to the adopter, or an adopter to the returned */
    LC_FLOW_HAND_OVER_ACK = 5,
    LC_FLOW_CONTEST = 6, /* home to the owner that it knows: another claims these */
    LC_FLOW_DENIED = 7, /* to an agent that searches: the backend server here does not hold these */
    LC_FLOW_ASK = 8,    /* an agent that searches: does your backend server hold any of these? */
    LC_FLOW_ANSWER = 9, /* to LC_FLOW_ASK: those of which the owner is known */
  } LcFlowMessageKind;

  typedef struct
  {
    LcFlowKey key;
    bool is_end;                 /* POINTERS: the flow ended; HAND_OVER: its last packet passed */
    bool is_refused;             /* acknowledgements: another owner stands */
    bool is_unsure;              /* ANSWER: the backend server may hold it; try the packet there */
    uint32_t epoch;              /* hand-overs of the flow so far */
    LcEndpointId backend_id;     /* HAND_OVER: whose backend server has the flow;
                                    CONTEST: the agent that claims it; ANSWER: the owner */
    LcInstance backend_instance; /* of its agent when it took the flow */
    uint32_t backend_ipv4;
    uint16_t backend_port;
    uint16_t relay_port;
    uint32_t idle_ms; /* HAND_OVER: time left before it counts as ended */
  } LcFlowEntry;

  typedef struct
  {
    LcFlowMessageKind kind;
    LcServiceId service_id;
    LcFlowLoad load; /* of the sender; its agent and revision count in every kind */
    LcCandidate to;
    LcRevision membership; /* newest candidate set that the sender knows */
    LcRevision roster;     /* and newest endpoint; 0: an older program does not tell it */
    uint32_t round;        /* ASK, and the ANSWER to it */
    uint32_t n;
    LcFlowEntry entries[LC_FLOW_BATCH_MAX];
  } LcFlowMessage;

#ifdef __cplusplus
}
#endif

#endif /* LC_FLOW_MESSAGE_H */
