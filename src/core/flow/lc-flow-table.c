#include "lc-flow-table.h"

#include <glib.h>
#include <string.h>

enum
{
  LC_FLOW_TABLE_MAX_FLOWS = 4000000,
  LC_FLOW_TABLE_INITIAL = 64, /* entries of a new table; a power of two */
};

/* === private: the index ===================================================================== */

static uint32_t
lc_flow_table__slot_of (const LcFlowTable *t, uint32_t index)
{
  uint32_t slot = t->flows[index].hash & t->slot_mask;

  while (t->slots[slot] != index + 1)
    slot = (slot + 1) & t->slot_mask;
  return slot;
}

static void
lc_flow_table__insert_slot (LcFlowTable *t, uint32_t index)
{
  uint32_t slot = t->flows[index].hash & t->slot_mask;

  while (t->slots[slot] != 0)
    slot = (slot + 1) & t->slot_mask;
  t->slots[slot] = index + 1;
}

/* Backward-shift deletion: look-ups need no tombstones. */
static void
lc_flow_table__remove_slot (LcFlowTable *t, uint32_t hole)
{
  uint32_t slot = hole;

  for (;;)
    {
      uint32_t ideal;

      slot = (slot + 1) & t->slot_mask;
      if (t->slots[slot] == 0)
        break;
      ideal = t->flows[t->slots[slot] - 1].hash & t->slot_mask;
      if (((slot - ideal) & t->slot_mask) >= ((slot - hole) & t->slot_mask))
        {
          t->slots[hole] = t->slots[slot];
          hole = slot;
        }
    }
  t->slots[hole] = 0;
}

static void
lc_flow_table__grow (LcFlowTable *t)
{
  uint32_t old = t->capacity;
  uint32_t capacity = old * 2;

  t->flows = g_renew (LcFlow, t->flows, capacity);
  memset (t->flows + old, 0, (capacity - old) * sizeof *t->flows);
  for (uint32_t i = capacity; i > old; i--)
    {
      t->flows[i - 1].wheel_next = t->free_head;
      t->free_head = i - 1;
    }
  t->capacity = capacity;
  g_free (t->slots);
  t->slots = g_new0 (uint32_t, (size_t)capacity * 2);
  t->slot_mask = capacity * 2 - 1;
  for (uint32_t i = 0; i < old; i++)
    if (t->flows[i].kind != LC_FLOW_FREE)
      lc_flow_table__insert_slot (t, i);
}

/* === private: the wheel ===================================================================== */

static void
lc_flow_table__unlink (LcFlowTable *t, LcFlow *f)
{
  if (f->wheel_slot == LC_FLOW_NONE)
    return;
  if (f->wheel_prev != LC_FLOW_NONE)
    t->flows[f->wheel_prev].wheel_next = f->wheel_next;
  else
    t->wheel[f->wheel_slot] = f->wheel_next;
  if (f->wheel_next != LC_FLOW_NONE)
    t->flows[f->wheel_next].wheel_prev = f->wheel_prev;
  f->wheel_slot = LC_FLOW_NONE;
}

static void
lc_flow_table__link (LcFlowTable *t, LcFlow *f)
{
  uint32_t index = lc_flow_table_index (t, f);
  uint32_t ahead = f->deadline_tick > t->now_tick ? f->deadline_tick - t->now_tick : 1;
  uint32_t slot;

  if (ahead >= LC_FLOW_WHEEL_SLOTS)
    ahead = LC_FLOW_WHEEL_SLOTS - 1;
  slot = (t->now_tick + ahead) % LC_FLOW_WHEEL_SLOTS;
  f->wheel_slot = slot;
  f->wheel_prev = LC_FLOW_NONE;
  f->wheel_next = t->wheel[slot];
  if (f->wheel_next != LC_FLOW_NONE)
    t->flows[f->wheel_next].wheel_prev = index;
  t->wheel[slot] = index;
}

/* === public: lifetime ======================================================================= */

void
lc_flow_table_init (LcFlowTable *t, uint32_t max_flows, int64_t now_us)
{
  memset (t, 0, sizeof *t);
  t->max_flows = max_flows != 0 ? max_flows : LC_FLOW_TABLE_MAX_FLOWS;
  t->now_tick = lc_flow_tick (now_us);
  t->free_head = LC_FLOW_NONE;
  t->queue_head = LC_FLOW_NONE;
  t->queue_tail = LC_FLOW_NONE;
  for (uint32_t i = 0; i < LC_FLOW_WHEEL_SLOTS; i++)
    t->wheel[i] = LC_FLOW_NONE;
  t->capacity = LC_FLOW_TABLE_INITIAL / 2;
  t->flows = g_new0 (LcFlow, t->capacity);
  for (uint32_t i = t->capacity; i > 0; i--)
    {
      t->flows[i - 1].wheel_next = t->free_head;
      t->free_head = i - 1;
    }
  lc_flow_table__grow (t);
}

void
lc_flow_table_finish (LcFlowTable *t)
{
  g_free (t->flows);
  g_free (t->slots);
  memset (t, 0, sizeof *t);
}

/* === public: entries ======================================================================== */

LcFlow *
lc_flow_table_find (const LcFlowTable *t, const LcFlowKey *key, uint64_t hash)
{
  uint32_t slot = (uint32_t)hash & t->slot_mask;

  for (; t->slots[slot] != 0; slot = (slot + 1) & t->slot_mask)
    {
      LcFlow *f = &t->flows[t->slots[slot] - 1];

      if (f->hash == (uint32_t)hash && lc_flow_key_equal (&f->key, key))
        return f;
    }
  return NULL;
}

LcFlow *
lc_flow_table_add (LcFlowTable *t, const LcFlowKey *key, uint64_t hash)
{
  uint32_t index;
  LcFlow *f;

  if (t->n_flows >= t->max_flows)
    return NULL;
  if (t->free_head == LC_FLOW_NONE)
    lc_flow_table__grow (t);
  index = t->free_head;
  f = &t->flows[index];
  t->free_head = f->wheel_next;
  memset (f, 0, sizeof *f);
  f->key = *key;
  f->hash = (uint32_t)hash;
  f->kind = LC_FLOW_PENDING;
  f->wheel_slot = LC_FLOW_NONE;
  f->queue_next = LC_FLOW_NONE;
  f->queue_prev = LC_FLOW_NONE;
  f->user = LC_FLOW_NONE;
  lc_flow_table__insert_slot (t, index);
  t->n_flows++;
  return f;
}

void
lc_flow_table_remove (LcFlowTable *t, LcFlow *f)
{
  uint32_t index = lc_flow_table_index (t, f);

  lc_flow_table_dequeue (t, f);
  lc_flow_table_set_kind (t, f, LC_FLOW_PENDING);
  lc_flow_table__unlink (t, f);
  lc_flow_table__remove_slot (t, lc_flow_table__slot_of (t, index));
  f->kind = LC_FLOW_FREE;
  f->wheel_next = t->free_head;
  t->free_head = index;
  t->n_flows--;
}

uint32_t
lc_flow_table_index (const LcFlowTable *t, const LcFlow *f)
{
  return (uint32_t)(f - t->flows);
}

void
lc_flow_table_set_kind (LcFlowTable *t, LcFlow *f, LcFlowKind kind)
{
  t->n_owned -= f->kind == LC_FLOW_OWNED;
  t->n_owned += kind == LC_FLOW_OWNED;
  f->kind = (uint8_t)kind;
}

/* === public: expiry ========================================================================= */

uint32_t
lc_flow_tick (int64_t now_us)
{
  return (uint32_t)(now_us / LC_FLOW_TICK_US);
}

void
lc_flow_table_set_deadline (LcFlowTable *t, LcFlow *f, int64_t when_us)
{
  uint32_t tick = lc_flow_tick (when_us + LC_FLOW_TICK_US - 1);
  bool is_later = f->wheel_slot != LC_FLOW_NONE && tick >= f->deadline_tick;

  f->deadline_tick = tick;
  if (is_later)
    return; /* moved when its slot comes up */
  lc_flow_table__unlink (t, f);
  lc_flow_table__link (t, f);
}

LcFlow *
lc_flow_table_next_expired (LcFlowTable *t, int64_t now_us)
{
  uint32_t now_tick = lc_flow_tick (now_us);

  while (t->now_tick < now_tick)
    {
      uint32_t slot = (t->now_tick + 1) % LC_FLOW_WHEEL_SLOTS;

      while (t->wheel[slot] != LC_FLOW_NONE)
        {
          LcFlow *f = &t->flows[t->wheel[slot]];

          if (f->deadline_tick <= t->now_tick + 1)
            {
              /* Unlinked first, so that the caller may set any new deadline. */
              lc_flow_table__unlink (t, f);
              return f;
            }
          lc_flow_table__unlink (t, f);
          lc_flow_table__link (t, f);
        }
      t->now_tick++;
    }
  return NULL;
}

/* === public: queue of registrations ========================================================= */

void
lc_flow_table_enqueue (LcFlowTable *t, LcFlow *f)
{
  uint32_t index = lc_flow_table_index (t, f);

  if ((f->flags & LC_FLOW_QUEUED) != 0)
    return;
  f->flags |= LC_FLOW_QUEUED;
  f->queue_next = LC_FLOW_NONE;
  f->queue_prev = t->queue_tail;
  if (t->queue_tail != LC_FLOW_NONE)
    t->flows[t->queue_tail].queue_next = index;
  else
    t->queue_head = index;
  t->queue_tail = index;
  t->n_queued++;
}

void
lc_flow_table_dequeue (LcFlowTable *t, LcFlow *f)
{
  if ((f->flags & LC_FLOW_QUEUED) == 0)
    return;
  if (f->queue_prev != LC_FLOW_NONE)
    t->flows[f->queue_prev].queue_next = f->queue_next;
  else
    t->queue_head = f->queue_next;
  if (f->queue_next != LC_FLOW_NONE)
    t->flows[f->queue_next].queue_prev = f->queue_prev;
  else
    t->queue_tail = f->queue_prev;
  f->flags &= (uint8_t)~LC_FLOW_QUEUED;
  t->n_queued--;
}

size_t
lc_flow_table_bytes (const LcFlowTable *t)
{
  return sizeof *t + (size_t)t->capacity * sizeof *t->flows +
         ((size_t)t->slot_mask + 1) * sizeof *t->slots;
}

/* === public: self-check ===================================================================== */

static const char *
lc_flow_table__check_queue (const LcFlowTable *t)
{
  uint32_t previous = LC_FLOW_NONE;
  uint32_t n = 0;

  for (uint32_t i = t->queue_head; i != LC_FLOW_NONE; i = t->flows[i].queue_next)
    {
      const LcFlow *f;

      if (i >= t->capacity || n++ >= t->n_queued)
        return "the queue is longer than its count";
      f = &t->flows[i];
      if (f->kind != LC_FLOW_OWNED || (f->flags & LC_FLOW_QUEUED) == 0)
        return "an entry in the queue is not marked as queued and owned";
      if (f->queue_prev != previous)
        return "the queue's links differ by direction";
      previous = i;
    }
  if (n != t->n_queued || t->queue_tail != previous)
    return "the queue is shorter than its count";
  return NULL;
}

const char *
lc_flow_table_check (const LcFlowTable *t)
{
  uint32_t n_flows = 0;
  uint32_t n_owned = 0;
  uint32_t n_queued = 0;

  for (uint32_t i = 0; i < t->capacity; i++)
    {
      const LcFlow *f = &t->flows[i];

      if (f->kind == LC_FLOW_FREE)
        continue;
      n_flows++;
      n_owned += f->kind == LC_FLOW_OWNED;
      n_queued += (f->flags & LC_FLOW_QUEUED) != 0;
      if (lc_flow_table_find (t, &f->key, f->hash) != f)
        return "an entry is not found by its key";
    }
  if (n_flows != t->n_flows || n_owned != t->n_owned || n_queued != t->n_queued)
    return "a count differs from the entries";
  return lc_flow_table__check_queue (t);
}
