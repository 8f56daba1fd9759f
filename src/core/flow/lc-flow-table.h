/* lc-flow-table: hash table of an agent's flows, with expiry by a timer wheel in O(1) an event.
 *
 * WHAT IT IS
 *   Entries in one array, with an open-addressing index and a timer wheel.  An entry is one of
 *     OWNED     its backend server has the flow; this agent is authoritative for it
 *     POINTER   this agent is or was a home; names the owner, another agent
 *     PENDING   a first packet passed on its way to an assigner, which it names
 *   An owned entry may be in the queue of registrations (see lc-flow-pointers).
 *
 * HOW TO USE IT
 *     lc_flow_table_init (&table, 4096, now_us);
 *     LcFlow *flow = lc_flow_table_find (&table, &key, hash);
 *     flow = lc_flow_table_add (&table, &key, hash);        NULL: at max_flows
 *     lc_flow_table_set_deadline (&table, flow, when_us);
 *     while ((flow = lc_flow_table_next_expired (&table, now_us)) != NULL)
 *       lc_flow_table_remove (&table, flow);                or set a later deadline
 *     lc_flow_table_finish (&table);
 *
 * LIFETIME
 *   Adding may move every entry: an LcFlow pointer is valid until the next add or remove.  An index
 *   (lc_flow_table_index) is valid until that entry is removed.
 *
 * LIMITS
 *   Deadlines are rounded up to a tick (LC_FLOW_TICK_US).  Setting a later deadline costs nothing:
 *   the entry moves when its old slot expires, at most once a turn of the wheel.
 */
#ifndef LC_FLOW_TABLE_H
#define LC_FLOW_TABLE_H

#include "lc-flow-key.h"

#ifdef __cplusplus
extern "C"
{
#endif

#define LC_FLOW_TICK_US (LC_US_PER_S / 4)

  enum
  {
    LC_FLOW_WHEEL_SLOTS = 1024,
    LC_FLOW_NONE = 0xffffffff, /* no index */
  };

  typedef enum
  {
    LC_FLOW_FREE = 0,
    LC_FLOW_OWNED = 1,
    LC_FLOW_POINTER = 2,
    LC_FLOW_PENDING = 3,
  } LcFlowKind;

  enum
  {
    LC_FLOW_CONFIRMED = 1,    /* POINTER: registered by the owner itself */
    LC_FLOW_ADOPTED = 2,      /* OWNED: held by another agent's backend server */
    LC_FLOW_QUEUED = 4,       /* OWNED: in the queue of registrations */
    LC_FLOW_UNREGISTERED = 8, /* OWNED: not yet registered with the newest homes */
    LC_FLOW_ENDED = 16,       /* OWNED: the last packet passed */
    LC_FLOW_AT_WORK = 32,     /* OWNED: has a request whose answer has not begun */
    LC_FLOW_ANSWERED = 64,    /* OWNED: the backend server has sent something */
    LC_FLOW_HELD = 128,       /* OWNED: AT_WORK, and its packets are held (lc-flow-gate) */
  };

  typedef struct
  {
    LcFlowKey key;
    LcInstance instance;      /* POINTER: owner's; PENDING: assigner's; ADOPTED: first owner's */
    uint64_t revision;        /* POINTER: of the owner's view; PENDING: the assigner's set_rank */
    LcEndpointId endpoint_id; /* of the same agent */
    uint32_t ipv4;            /* its address; ADOPTED: the backend server's */
    uint16_t port;
    uint8_t kind;  /* LcFlowKind */
    uint8_t flags; /* LC_FLOW_CONFIRMED ... */
    uint32_t hash;
    uint32_t deadline_tick;
    uint32_t wheel_next;
    uint32_t wheel_prev;
    uint32_t wheel_slot;
    uint32_t queue_next;
    uint32_t queue_prev;
    uint32_t sets_version; /* OWNED: of the candidate sets whose homes `acked` is about */
    uint32_t sent_ms;      /* OWNED: when the last registration was sent */
    uint32_t work_ms;      /* OWNED: when the unanswered request was given to the backend server */
    uint32_t began_ms;     /* OWNED: when the caller began its first request; 0: past that one */
    uint32_t data_end;     /* OWNED: end offset of the caller's newest data; 0: not known */
    uint32_t expiry_tick;  /* OWNED: when it ends as idle */
    uint16_t acked;        /* OWNED: homes that acknowledged the registration: lc-flow-pointers.h */
    uint16_t relay_port;   /* OWNED: source port of the relay, for hand-over; 0: none */
    uint32_t epoch;        /* OWNED, POINTER: number of hand-overs; the higher claim wins */
    LcEndpointId offered_id; /* OWNED: agent that a hand-over was offered to; 0: none */
    LcInstance offered_instance;
    LcDcId dc;     /* OWNED: where the flow's packets come in; 0: not known */
    uint32_t user; /* free for the table's user, for example a socket's index */
  } LcFlow;

  typedef struct
  {
    LcFlow *flows; /* owned */
    uint32_t capacity;
    uint32_t n_flows; /* entries in use */
    uint32_t max_flows;
    uint32_t free_head;
    uint32_t *slots; /* owned; hash index: entry's index + 1, or 0 */
    uint32_t slot_mask;
    uint32_t wheel[LC_FLOW_WHEEL_SLOTS];
    uint32_t now_tick; /* tick of the wheel slot that was emptied last */
    uint32_t n_owned;
    uint32_t queue_head;
    uint32_t queue_tail;
    uint32_t n_queued;
  } LcFlowTable;

  /* max_flows 0: 4 million. */
  void lc_flow_table_init (LcFlowTable *table, uint32_t max_flows, int64_t now_us);
  void lc_flow_table_finish (LcFlowTable *table);

  LcFlow *lc_flow_table_find (const LcFlowTable *table, const LcFlowKey *key, uint64_t hash);
  LcFlow *lc_flow_table_add (LcFlowTable *table, const LcFlowKey *key, uint64_t hash);
  void lc_flow_table_remove (LcFlowTable *table, LcFlow *flow);
  uint32_t lc_flow_table_index (const LcFlowTable *table, const LcFlow *flow);

  /* Changes the kind and updates the count of owned entries. */
  void lc_flow_table_set_kind (LcFlowTable *table, LcFlow *flow, LcFlowKind kind);

  uint32_t lc_flow_tick (int64_t now_us);
  void lc_flow_table_set_deadline (LcFlowTable *table, LcFlow *flow, int64_t when_us);
  /* Returns the next entry whose deadline has passed, or NULL.  Remove it or set a new deadline
   * before the next call. */
  LcFlow *lc_flow_table_next_expired (LcFlowTable *table, int64_t now_us);

  /* The queue of registrations: first in, first out. */
  void lc_flow_table_enqueue (LcFlowTable *table, LcFlow *flow);
  void lc_flow_table_dequeue (LcFlowTable *table, LcFlow *flow);

  size_t lc_flow_table_bytes (const LcFlowTable *table);

  /* Consistency check for tests, over every entry: what is wrong with the queue of registrations,
   * the index or the counts, or NULL. */
  const char *lc_flow_table_check (const LcFlowTable *table);

#ifdef __cplusplus
}
#endif

#endif /* LC_FLOW_TABLE_H */
