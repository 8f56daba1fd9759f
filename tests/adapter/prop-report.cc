/* RapidCheck on reports of a backend server that restarts, reordered, duplicated and late: the
 * state is the furthest that the newest start reported; no report of an earlier start changes
 * it. */
#include "core/member/lc-backend-status.h"

#include <rapidcheck.h>

#include <algorithm>
#include <cstring>
#include <vector>

namespace
{

const uint64_t N_STARTS = 4;
const uint64_t N_SEQUENCES = 6;

struct Report
{
  uint64_t start;    /* 1 to N_STARTS, in order of time */
  uint64_t sequence; /* 1 to N_SEQUENCES */
  bool is_draining;
};

void
showValue (const Report &report, std::ostream &os)
{
  os << "{start " << report.start << ", sequence " << report.sequence
     << (report.is_draining ? ", draining}" : "}");
}

rc::Gen<std::vector<Report> >
reports ()
{
  return rc::gen::container<std::vector<Report> > (rc::gen::build<Report> (
      rc::gen::set (&Report::start, rc::gen::inRange<uint64_t> (1, N_STARTS + 1)),
      rc::gen::set (&Report::sequence, rc::gen::inRange<uint64_t> (1, N_SEQUENCES + 1)),
      rc::gen::set (&Report::is_draining, rc::gen::arbitrary<bool> ())));
}

LcBackendReport
report_of (const Report &report)
{
  LcBackendReport r = {};

  std::strcpy (r.id, "a");
  r.born_ms = 1000 + report.start;
  r.sequence = report.sequence;
  r.state = report.is_draining ? LC_BACKEND_DRAINING : LC_BACKEND_READY;
  return r;
}

} /* namespace */

int
main ()
{
  bool ok = rc::check ("the newest start decides, by the furthest state it reported", [] {
    std::vector<Report> all = *reports ();
    LcBackendStatusDesc desc = {};
    LcBackendStatus status;
    uint64_t newest = 0;
    bool has_drained = false;

    lc_backend_status_init (&status, &desc, 0);
    for (const Report &report : all)
      {
        LcBackendReport r = report_of (report);
        LcBackendUpdate update = lc_backend_status_apply (&status, &r, 1000);

        if (report.start > newest)
          {
            RC_ASSERT (update == LC_BACKEND_STARTED);
            newest = report.start;
            has_drained = report.is_draining;
            continue;
          }
        RC_ASSERT (update != LC_BACKEND_STARTED);
        if (report.start < newest)
          {
            RC_ASSERT (update == LC_BACKEND_STALE);
            continue;
          }
        has_drained = has_drained || (update != LC_BACKEND_STALE && report.is_draining);
        RC_ASSERT (status.newest.born_ms == 1000 + newest);
        RC_ASSERT (lc_backend_status_is_available (&status, 1000) == !has_drained);
      }
    if (!all.empty ())
      {
        LcBackendReport present = report_of ({ newest, 1, false });
        LcBackendStatus alone;

        lc_backend_status_init (&alone, &desc, 0);
        (void)lc_backend_status_apply (&alone, &present, 0);
        RC_ASSERT (lc_backend_status_instance (&status) == lc_backend_status_instance (&alone));
      }
  });

  /* After a network cut, the last report of a crashed start may arrive after its successor has
   * registered, while the successor's own reports are still delayed. */
  ok = rc::check ("a start that keeps reporting is accepted within seconds, whatever arrives late",
                  [] {
                    const bool has_new_ids = *rc::gen::arbitrary<bool> ();
                    std::vector<Report> late = *reports ();
                    LcBackendStatusDesc desc = {};
                    LcBackendStatus status;
                    int64_t now_us = 0;

                    lc_backend_status_init (&status, &desc, 0);
                    for (const Report &report : late)
                      {
                        LcBackendReport r = report_of (report);

                        now_us += *rc::gen::inRange<int64_t> (0, 6) * LC_US_PER_S;
                        r.id[0] = has_new_ids ? (char)('a' + report.start) : 'a';
                        r.state = report.start == N_STARTS ? LC_BACKEND_READY : r.state;
                        (void)lc_backend_status_apply (&status, &r, now_us);
                      }
                    for (uint64_t i = 1; i <= 8; i++)
                      {
                        LcBackendReport r = report_of ({ N_STARTS, N_SEQUENCES + i, false });

                        now_us += 1200 * LC_US_PER_MS;
                        r.id[0] = has_new_ids ? (char)('a' + N_STARTS) : 'a';
                        (void)lc_backend_status_apply (&status, &r, now_us);
                      }
                    RC_ASSERT (status.newest.born_ms == 1000 + N_STARTS);
                    RC_ASSERT (lc_backend_status_is_available (&status, now_us));
                  }) &&
       ok;

  return ok ? 0 : 1;
}
