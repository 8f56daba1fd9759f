/* lc-probe-detector: a balancer's failure detector for the agents that it sends packets to.
 *
 * WHAT IT IS
 *   A lease takes seconds to expire; until then the packets of every flow whose first home has died
 *   would be lost.  A balancer therefore probes the agents that it sends packets to.  One that
 *   leaves a probe unanswered for LC_PROBE_DETECTOR_SUSPECT_US is suspect, and homes are chosen
 *   among the others until it answers again.  A false suspicion does no harm where owners are
 *   found without a settled list (lc-flow-return.h).
 *
 * HOW TO USE IT
 *     lc_probe_detector_init (&detector);
 *     lc_probe_detector_record_use (&detector, &to, now_us);            a packet is sent there
 *     n = lc_probe_detector_next_probes (&detector, now_us, out, max);  at each tick: probe these
 *     lc_probe_detector_record_answer (&detector, ipv4, port, now_us);
 *     if (lc_probe_detector_is_suspect (&detector, ipv4, port, now_us)) ...
 *     while (lc_probe_detector_next_change (&detector, now_us, &change))
 *       log change
 *     lc_probe_detector_finish (&detector);
 *
 * LIFETIME
 *   Owns its table.  An agent that gets no packet for LC_PROBE_DETECTOR_FORGET_US is removed.
 *
 * LIMITS
 *   Two datagrams of 4 bytes for each agent in use every LC_PROBE_DETECTOR_PROBE_US.
 */
#ifndef LC_PROBE_DETECTOR_H
#define LC_PROBE_DETECTOR_H

#include "lc-candidates.h"

#ifdef __cplusplus
extern "C"
{
#endif

/* Interval between probes of one agent in use. */
#define LC_PROBE_DETECTOR_PROBE_US (50 * LC_US_PER_MS)
/* Longer than a process may be throttled by a CPU quota, whose period is a tenth of a second. */
#define LC_PROBE_DETECTOR_SUSPECT_US (150 * LC_US_PER_MS)
#define LC_PROBE_DETECTOR_FORGET_US (10 * LC_US_PER_S)

  typedef struct
  {
    GHashTable *agents; /* owned; packed address -> private entry */
    uint64_t suspected_total;
  } LcProbeDetector;

  typedef struct
  {
    uint32_t ipv4;
    uint16_t port;
  } LcProbeDetectorAddress;

  typedef struct
  {
    LcProbeDetectorAddress address;
    bool is_suspect;
    int64_t silent_us; /* time since the first unanswered probe; 0: it answers */
  } LcProbeDetectorChange;

  void lc_probe_detector_init (LcProbeDetector *detector);
  void lc_probe_detector_finish (LcProbeDetector *detector);
  void
  lc_probe_detector_record_use (LcProbeDetector *detector, const LcCandidate *to, int64_t now_us);
  /* Fills `out` with the agents to probe now, and marks them as probed; returns how many. */
  uint32_t lc_probe_detector_next_probes (LcProbeDetector *detector,
                                          int64_t now_us,
                                          LcProbeDetectorAddress *out,
                                          uint32_t max);
  void lc_probe_detector_record_answer (LcProbeDetector *detector,
                                        uint32_t ipv4,
                                        uint16_t port,
                                        int64_t now_us);
  /* Whether every agent in use is suspect: more likely this balancer is partitioned from them than
   * all of them are dead.  If so, they stay in use, so that probing goes on without packets. */
  bool lc_probe_detector_is_isolated (LcProbeDetector *detector, int64_t now_us);
  bool lc_probe_detector_has_suspects (const LcProbeDetector *detector, int64_t now_us);
  /* Returns an agent that became suspect, or answers again, since it was last returned here;
   * false: none. */
  bool lc_probe_detector_next_change (LcProbeDetector *detector,
                                      int64_t now_us,
                                      LcProbeDetectorChange *change);
  bool lc_probe_detector_is_suspect (const LcProbeDetector *detector,
                                     uint32_t ipv4,
                                     uint16_t port,
                                     int64_t now_us);

#ifdef __cplusplus
}
#endif

#endif /* LC_PROBE_DETECTOR_H */
