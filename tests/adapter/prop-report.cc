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

/* What happens beside a backend server that reports each 1.2 s. */
enum Kind
{
  STRAY,         /* a single report of another start, whole, under an id of its own */
  UNTIMED_STRAY, /* the same without a time */
  LATE,          /* a copy of a report of the present start */
  DRAIN,         /* the backend server announces that it leaves */
  RESTART,       /* the agent starts again and has the start from the view */
  N_KINDS
};

struct Event
{
  int kind;
  uint32_t after_ms; /* since the event before */
  bool is_draining;  /* what a stray says */
};

void
showValue (const Event &e, std::ostream &os)
{
  os << "{kind " << e.kind << ", after " << e.after_ms << " ms"
     << (e.is_draining ? ", draining}" : "}");
}

rc::Gen<std::vector<Event> >
events ()
{
  return rc::gen::container<std::vector<Event> > (
      rc::gen::build<Event> (rc::gen::set (&Event::kind, rc::gen::inRange<int> (0, N_KINDS)),
                             rc::gen::set (&Event::after_ms, rc::gen::inRange<uint32_t> (0, 4000)),
                             rc::gen::set (&Event::is_draining, rc::gen::arbitrary<bool> ())));
}

const int64_t INTERVAL_US = 1200 * LC_US_PER_MS;
const int64_t RECOVERY_US =
    5 * LC_US_PER_S; /* after the last event that may have misled an agent */

/* A backend server with what is true of it, and the status that its agent has of it. */
struct Endpoint
{
  LcBackendStatus status = {};
  LcBackendReport truth = {};
  int64_t now_us = 0;
  int64_t misled_us = -RECOVERY_US; /* last event that may have misled the agent */
  bool is_leave_acked = false;
  uint32_t n_strays = 0;

  explicit Endpoint (bool is_timed)
  {
    LcBackendStatusDesc desc = {};

    std::strcpy (truth.id, "present");
    truth.state = LC_BACKEND_READY;
    truth.born_ms = is_timed ? 100000 : 0;
    lc_backend_status_init (&status, &desc, 0);
    report ();
  }

  void
  report ()
  {
    truth.sequence++;
    (void)lc_backend_status_apply (&status, &truth, now_us);
    is_leave_acked |=
        truth.state == LC_BACKEND_DRAINING && lc_backend_status_is_present (&status, &truth);
  }

  /* Passes the time, with the backend server's reports and the agent's ticks. */
  void
  pass (int64_t us)
  {
    const int64_t until_us = now_us + us;
    const int64_t tick_us = 200 * LC_US_PER_MS;

    while (now_us < until_us)
      {
        now_us += tick_us;
        (void)lc_backend_status_accept_claim (&status, now_us);
        if (now_us % INTERVAL_US == 0)
          report ();
        check ();
      }
  }

  void
  check () const
  {
    if (is_leave_acked)
      RC_ASSERT (!lc_backend_status_is_available (&status, now_us));
    else if (now_us - misled_us > RECOVERY_US)
      RC_ASSERT (truth.state == LC_BACKEND_READY &&
                 lc_backend_status_is_available (&status, now_us));
  }

  void
  stray (bool is_timed, bool is_draining)
  {
    LcBackendReport r = truth;

    r.id[0] = 's';
    r.id[1] = (char)('a' + n_strays % 26);
    r.id[2] = (char)('a' + n_strays / 26 % 26);
    r.born_ms = !is_timed ? 0 : 100000 + n_strays % 3 * 1000;
    r.sequence = 1 + n_strays % 9;
    r.state = is_draining ? LC_BACKEND_DRAINING : LC_BACKEND_READY;
    n_strays++;
    if (strcmp (status.newest.id, truth.id) != 0)
      misled_us = now_us;
    (void)lc_backend_status_apply (&status, &r, now_us);
  }

  void
  restart ()
  {
    LcBackendStatusDesc desc = {};
    LcBackendStatus alone;

    lc_backend_status_init (&alone, &desc, now_us);
    (void)lc_backend_status_apply (&alone, &truth, now_us);
    lc_backend_status_init (&status, &desc, now_us);
    lc_backend_status_set_listed (&status, lc_backend_status_instance (&alone), is_leave_acked);
    misled_us = now_us;
  }
};

/* A backend server whose leave was acknowledged is never available.  A ready one always is, and a
 * leave is acknowledged; after a restart of the agent the first report that it gets, and strays until
 * the present start is known again, may delay both for seconds. */
void
check_strays (bool has_restarts)
{
  const std::vector<Event> all = *events ();
  Endpoint e (*rc::gen::arbitrary<bool> ());

  for (const Event &event : all)
    {
      e.pass (event.after_ms / 200 * 200 * LC_US_PER_MS);
      switch (event.kind)
        {
        case STRAY:
          e.stray (true, event.is_draining);
          break;
        case UNTIMED_STRAY:
          e.stray (false, event.is_draining);
          break;
        case LATE:
          (void)lc_backend_status_apply (&e.status, &e.truth, e.now_us);
          break;
        case DRAIN:
          e.truth.state = LC_BACKEND_DRAINING;
          e.report ();
          break;
        default:
          if (has_restarts)
            e.restart ();
          break;
        }
      e.check ();
    }
  e.pass (RECOVERY_US + INTERVAL_US);
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

  ok = rc::check ("strays beside a start that goes on reporting never change what it is given",
                  [] { check_strays (false); }) &&
       ok;
  ok = rc::check ("after restarts of the agent as well, within seconds if the start is ready",
                  [] { check_strays (true); }) &&
       ok;

  return ok ? 0 : 1;
}
