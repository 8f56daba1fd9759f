#include "lc-admission.h"

#include <string.h>

enum
{
  LC_ADMISSION_SLOTS = 4,
  LC_ADMISSION_SMOOTHING = 16,
};

#define LC_ADMISSION_SERVICE_US (10 * LC_US_PER_MS)

/* === private ================================================================================ */

static uint32_t
lc_admission__min (uint32_t a, uint32_t b)
{
  return a < b ? a : b;
}

/* The estimated time until a request with `ahead` others before it in the queue ends. */
static int64_t
lc_admission__end_us (const LcAdmission *a, uint32_t ahead)
{
  int64_t wait_us = 0;

  if (a->running >= a->limit)
    wait_us = a->service_us * (ahead + 1) / (a->limit > 0 ? a->limit : 1);
  return wait_us + a->service_us;
}

static uint32_t
lc_admission__find_position (const LcAdmission *a, int64_t deadline_us)
{
  uint32_t at = a->n_queued;

  while (at > 0 && a->queue[at - 1].deadline_us > deadline_us)
    at--;
  return at;
}

static void
lc_admission__insert (LcAdmission *a, uint32_t at, uint64_t ticket, int64_t deadline_us)
{
  memmove (&a->queue[at + 1], &a->queue[at], (a->n_queued - at) * sizeof *a->queue);
  a->queue[at] = (LcAdmissionEntry){ ticket, deadline_us };
  a->n_queued++;
}

static void
lc_admission__remove (LcAdmission *a, uint32_t at)
{
  a->n_queued--;
  memmove (&a->queue[at], &a->queue[at + 1], (a->n_queued - at) * sizeof *a->queue);
}

static void
lc_admission__cut_limit (LcAdmission *a, int64_t now_us)
{
  if (now_us - a->last_cut_us < a->service_us)
    return;
  a->last_cut_us = now_us;
  a->ok_since_cut = 0;
  a->limit = a->limit * 3 / 4;
  if (a->limit == 0)
    a->limit = 1;
}

static void
lc_admission__grow_limit (LcAdmission *a)
{
  a->ok_since_cut++;
  if (a->ok_since_cut < a->limit || a->limit >= a->desc.slots)
    return;
  a->limit++;
  a->ok_since_cut = 0;
}

/* === public ================================================================================= */

void
lc_admission_init (LcAdmission *admission, const LcAdmissionDesc *desc)
{
  memset (admission, 0, sizeof *admission);
  admission->desc = *desc;
  if (admission->desc.slots == 0)
    admission->desc.slots = LC_ADMISSION_SLOTS;
  if (admission->desc.queue_max == 0)
    admission->desc.queue_max = 4 * admission->desc.slots;
  admission->desc.queue_max = lc_admission__min (admission->desc.queue_max, LC_ADMISSION_QUEUE_MAX);
  admission->limit = admission->desc.slots;
  admission->service_us = desc->service_us != 0 ? desc->service_us : LC_ADMISSION_SERVICE_US;
}

LcAdmissionResult
lc_admission_submit (LcAdmission *admission,
                     uint64_t ticket,
                     int64_t deadline_us,
                     int64_t now_us,
                     int64_t *retry_after_us)
{
  LcAdmission *a = admission;
  uint32_t at;

  *retry_after_us = lc_admission_retry_after_us (a);
  if (a->is_closed)
    return LC_ADMISSION_CLOSED;
  if (a->running < a->limit && a->n_queued == 0)
    {
      if (deadline_us <= now_us)
        return LC_ADMISSION_TOO_LATE;
      a->running++;
      return LC_ADMISSION_START;
    }
  at = lc_admission__find_position (a, deadline_us);
  if (now_us + lc_admission__end_us (a, at) > deadline_us)
    return LC_ADMISSION_TOO_LATE;
  if (a->n_queued >= a->desc.queue_max)
    return LC_ADMISSION_FULL;
  lc_admission__insert (a, at, ticket, deadline_us);
  return LC_ADMISSION_QUEUED;
}

bool
lc_admission_is_full (const LcAdmission *admission)
{
  return admission->running >= admission->limit && admission->n_queued >= admission->desc.queue_max;
}

bool
lc_admission_withdraw (LcAdmission *admission, uint64_t ticket)
{
  for (uint32_t i = 0; i < admission->n_queued; i++)
    if (admission->queue[i].ticket == ticket)
      {
        lc_admission__remove (admission, i);
        return true;
      }
  return false;
}

void
lc_admission_end_run (LcAdmission *admission,
                      LcRunResult result,
                      int64_t started_us,
                      int64_t now_us)
{
  int64_t took_us = now_us > started_us ? now_us - started_us : 0;

  if (admission->running > 0)
    admission->running--;
  if (result == LC_RUN_OK)
    {
      admission->service_us += (took_us - admission->service_us) / LC_ADMISSION_SMOOTHING;
      lc_admission__grow_limit (admission);
    }
  if (result == LC_RUN_SHED)
    lc_admission__cut_limit (admission, now_us);
}

bool
lc_admission_start_next (LcAdmission *admission, int64_t now_us, uint64_t *ticket)
{
  if (admission->n_queued == 0 || admission->running >= admission->limit)
    return false;
  if (admission->queue[0].deadline_us <= now_us)
    return false; /* left to lc_admission_pop_expired */
  *ticket = admission->queue[0].ticket;
  lc_admission__remove (admission, 0);
  admission->running++;
  return true;
}

bool
lc_admission_pop_expired (LcAdmission *admission, int64_t now_us, uint64_t *ticket)
{
  if (admission->n_queued == 0 || admission->queue[0].deadline_us > now_us)
    return false;
  *ticket = admission->queue[0].ticket;
  lc_admission__remove (admission, 0);
  return true;
}

void
lc_admission_close (LcAdmission *admission)
{
  admission->is_closed = true;
}

int64_t
lc_admission_retry_after_us (const LcAdmission *admission)
{
  return admission->service_us * (admission->n_queued + 1) /
         (admission->limit > 0 ? admission->limit : 1);
}
