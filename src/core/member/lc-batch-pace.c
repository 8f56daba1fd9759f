#include "lc-batch-pace.h"

#include <glib.h>
#include <string.h>

void
lc_batch_pace_init (LcBatchPace *pace, const LcBatchPaceDesc *desc)
{
  memset (pace, 0, sizeof *pace);
  pace->desc = *desc;
}

int64_t
lc_batch_pace_add (LcBatchPace *pace, int64_t now_us)
{
  if (pace->due_us != 0)
    return pace->due_us;
  pace->due_us = now_us + pace->desc.first_us;
  if (pace->has_sent)
    pace->due_us = MAX (pace->due_us, pace->sent_us + pace->desc.interval_us);
  return pace->due_us;
}

void
lc_batch_pace_record_sent (LcBatchPace *pace, int64_t now_us)
{
  pace->due_us = 0;
  pace->sent_us = now_us;
  pace->has_sent = true;
  pace->failing_us = 0;
}

bool
lc_batch_pace_should_retry (LcBatchPace *pace, int64_t now_us)
{
  int64_t since_us = pace->failing_us != 0 ? pace->failing_us : now_us;
  bool is_kept = now_us - since_us < pace->desc.retry_for_us;

  lc_batch_pace_record_sent (pace, now_us);
  pace->failing_us = is_kept ? since_us : 0;
  return is_kept;
}
