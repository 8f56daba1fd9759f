#include "lc-replica-private.h"

void
lc_replica__init_metrics (LcReplica *replica)
{
  LcMetrics *m = &replica->desc.app->metrics;
  LcReplicaMetrics *out = &replica->metrics;

  out->is_leader = lc_metrics_gauge (m, "lychee_control_is_leader", "1 while this VM leads", NULL);
  out->term = lc_metrics_gauge (m, "lychee_control_term", "Term of the log", NULL);
  out->commit_index =
      lc_metrics_gauge (m, "lychee_control_commit_index", "Newest committed entry", NULL);
  out->applied_total =
      lc_metrics_counter (m, "lychee_control_applied_total", "Commands applied", NULL);
  out->elections_total =
      lc_metrics_gauge (m, "lychee_control_elections_total", "Times it stood for election", NULL);
  out->stepped_down_total =
      lc_metrics_gauge (m, "lychee_control_stepped_down_total", "Times it stopped leading", NULL);
  out->fsyncs_total = lc_metrics_gauge (m, "lychee_control_fsyncs_total", "Syncs done", NULL);
  out->write_us = lc_metrics_histogram (m, "lychee_control_write_seconds",
                                        "One batch of the log on disk", NULL);
  out->commit_us = lc_metrics_histogram (m, "lychee_control_commit_seconds",
                                         "From proposal to applied, on the leader", NULL);
  out->full_total = lc_metrics_gauge (m, "lychee_control_disk_full_total",
                                      "Writes refused for lack of space", NULL);
  out->torn_total =
      lc_metrics_gauge (m, "lychee_control_torn_total", "Torn ends of the log cut at start", NULL);
  out->malformed_total = lc_metrics_counter (m, "lychee_control_malformed_total",
                                             "Frames that make no sense, dropped", NULL);
  out->ignored_total = lc_metrics_gauge (m, "lychee_control_ignored_changes_total",
                                         "Member changes that changed nothing", NULL);
  out->duplicates_total = lc_metrics_gauge (m, "lychee_control_duplicates_total",
                                            "Requests answered by their first answer", NULL);
}

void
lc_replica__update_metrics (LcReplica *replica)
{
  const LcRaft *raft = &replica->raft;
  LcReplicaMetrics *m = &replica->metrics;

  lc_metric_set (m->is_leader, lc_raft_is_leader (raft));
  lc_metric_set (m->term, (int64_t)raft->term);
  lc_metric_set (m->commit_index, (int64_t)raft->commit_index);
  lc_metric_set (m->elections_total, (int64_t)raft->counters.elections_total);
  lc_metric_set (m->stepped_down_total, (int64_t)raft->counters.stepped_down_total);
  lc_metric_set (m->ignored_total, (int64_t)replica->state.ignored_total);
  lc_metric_set (m->duplicates_total, (int64_t)replica->state.duplicates_total);
}
