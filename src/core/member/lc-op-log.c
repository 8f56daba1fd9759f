#include "lc-op-log.h"

#include <string.h>

enum
{
  LC_OP_LOG_MAX = 4096,
  LC_OP_LOG_FIRST_CAPACITY = 64,
};

void
lc_op_log_init (LcOpLog *log, size_t max_ops)
{
  memset (log, 0, sizeof *log);
  log->max_ops = max_ops != 0 ? max_ops : LC_OP_LOG_MAX;
}

void
lc_op_log_finish (LcOpLog *log)
{
  g_free (log->ops);
  memset (log, 0, sizeof *log);
}

void
lc_op_log_reset (LcOpLog *log, LcRevision revision)
{
  log->first = 0;
  log->n_ops = 0;
  log->floor_revision = revision;
  log->newest_revision = revision;
}

/* === private: the ring ====================================================================== */

static void
lc_op_log__grow (LcOpLog *log)
{
  size_t capacity = log->capacity != 0 ? log->capacity * 2 : LC_OP_LOG_FIRST_CAPACITY;
  LcViewOp *ops = g_new (LcViewOp, capacity);

  for (size_t i = 0; i < log->n_ops; i++)
    ops[i] = *lc_op_log_at (log, i);
  g_free (log->ops);
  log->ops = ops;
  log->first = 0;
  log->capacity = capacity;
}

static void
lc_op_log__drop_oldest_revision (LcOpLog *log)
{
  LcRevision oldest = lc_op_log_at (log, 0)->revision;

  while (log->n_ops > 0 && lc_op_log_at (log, 0)->revision == oldest)
    {
      log->first = (log->first + 1) % log->capacity;
      log->n_ops--;
    }
  log->floor_revision = oldest;
}

/* === public ================================================================================= */

int
lc_op_log_append (LcOpLog *log, const LcViewOp *op)
{
  if (op->revision < log->newest_revision)
    return LC_ERR_STALE;
  if (log->n_ops == log->max_ops)
    lc_op_log__drop_oldest_revision (log);
  if (log->n_ops == log->capacity)
    lc_op_log__grow (log);
  log->ops[(log->first + log->n_ops) % log->capacity] = *op;
  log->n_ops++;
  log->newest_revision = op->revision;
  /* One revision exceeds max_ops: no delta that starts before it is complete. */
  if (log->floor_revision == op->revision)
    lc_op_log_reset (log, op->revision);
  return 0;
}

bool
lc_op_log_covers (const LcOpLog *log, LcRevision from)
{
  return from >= log->floor_revision && from <= log->newest_revision;
}

size_t
lc_op_log_count (const LcOpLog *log)
{
  return log->n_ops;
}

const LcViewOp *
lc_op_log_at (const LcOpLog *log, size_t index)
{
  return &log->ops[(log->first + index) % log->capacity];
}

size_t
lc_op_log_after (const LcOpLog *log, LcRevision from)
{
  size_t low = 0;
  size_t high = log->n_ops;

  while (low < high)
    {
      size_t mid = low + (high - low) / 2;

      if (lc_op_log_at (log, mid)->revision <= from)
        low = mid + 1;
      else
        high = mid;
    }
  return low;
}
