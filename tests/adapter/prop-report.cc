/* Reports of a backend server that starts again under its id, in any order, doubled and late,
 * searched by RapidCheck: the newest start that was heard of decides, by its own furthest word, and
 * nothing of an earlier start changes that.
 */
#include "core/member/lc-backend-status.h"

#include <rapidcheck.h>

#include <algorithm>
#include <cstring>
#include <vector>

namespace
{

const uint64_t N_STARTS = 4;
const uint64_t N_SEQUENCES = 6;

struct Word
{
  uint64_t start;    /* 1 to N_STARTS, in the order of their times */
  uint64_t sequence; /* 1 to N_SEQUENCES */
  bool is_draining;
};

void
showValue (const Word &w, std::ostream &os)
{
  os << "{start " << w.start << ", sequence " << w.sequence
     << (w.is_draining ? ", draining}" : "}");
}

rc::Gen<std::vector<Word> >
words ()
{
  return rc::gen::container<std::vector<Word> > (rc::gen::build<Word> (
      rc::gen::set (&Word::start, rc::gen::inRange<uint64_t> (1, N_STARTS + 1)),
      rc::gen::set (&Word::sequence, rc::gen::inRange<uint64_t> (1, N_SEQUENCES + 1)),
      rc::gen::set (&Word::is_draining, rc::gen::arbitrary<bool> ())));
}

LcBackendReport
report_of (const Word &w)
{
  LcBackendReport r = {};

  std::strcpy (r.id, "a");
  r.born_ms = 1000 + w.start;
  r.sequence = w.sequence;
  r.state = w.is_draining ? LC_BACKEND_DRAINING : LC_BACKEND_READY;
  return r;
}

} /* namespace */

int
main ()
{
  bool ok = rc::check ("the newest start decides, by its own furthest word", [] {
    std::vector<Word> all = *words ();
    LcBackendStatusDesc desc = {};
    LcBackendStatus status;
    uint64_t newest = 0;
    bool has_drained = false;

    lc_backend_status_init (&status, &desc, 0);
    for (const Word &w : all)
      {
        LcBackendReport r = report_of (w);
        LcBackendUpdate news = lc_backend_status_apply (&status, &r, 1000);

        if (w.start > newest)
          {
            RC_ASSERT (news == LC_BACKEND_STARTED);
            newest = w.start;
            has_drained = w.is_draining;
            continue;
          }
        RC_ASSERT (news != LC_BACKEND_STARTED);
        if (w.start < newest)
          {
            RC_ASSERT (news == LC_BACKEND_STALE);
            continue;
          }
        has_drained = has_drained || (news != LC_BACKEND_STALE && w.is_draining);
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

  /* A cut holds reports back and heals: the last word of a start that has crashed may come after
   * its successor registered, and while that one's own reports are still under way. */
  ok = rc::check ("a start that goes on reporting is known within seconds, whatever came late",
                  [] {
                    const bool has_new_ids = *rc::gen::arbitrary<bool> ();
                    std::vector<Word> late = *words ();
                    LcBackendStatusDesc desc = {};
                    LcBackendStatus status;
                    int64_t now_us = 0;

                    lc_backend_status_init (&status, &desc, 0);
                    for (const Word &w : late)
                      {
                        LcBackendReport r = report_of (w);

                        now_us += *rc::gen::inRange<int64_t> (0, 6) * LC_US_PER_S;
                        r.id[0] = has_new_ids ? (char)('a' + w.start) : 'a';
                        r.state = w.start == N_STARTS ? LC_BACKEND_READY : r.state;
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
