// Under lost, late, duplicate and reordered messages, crashes and view changes: no keyed request
// runs twice, "not run" is true, no caller gets another's answer, and every request ends.
#include "fake-world.hh"

#include <rapidcheck.h>

#include <cstdio>

static bool
run (const std::vector<uint32_t> &words, bool keeps_claims, Counts *counts)
{
  World world (keeps_claims);

  for (uint32_t word : words)
    world.step (word);
  world.finish ();
  *counts = world.counts;
  return counts->run_twice == 0 && counts->false_not_run == 0 && counts->crossed == 0 &&
         counts->partial == 0 && counts->stuck == 0;
}

static bool
check (const char *what, bool keeps_claims)
{
  Counts sum;
  bool is_good = rc::check (what, [&] {
    auto n_words = *rc::gen::resize (100, rc::gen::inRange<size_t> (20, 800));
    auto words = *rc::gen::container<std::vector<uint32_t> > (
        n_words, rc::gen::resize (100, rc::gen::inRange<uint32_t> (0, UINT32_MAX)));
    Counts counts;
    bool ok = run (words, keeps_claims, &counts);

    sum.answered += counts.answered;
    sum.not_run += counts.not_run;
    sum.unknown += counts.unknown;
    RC_LOG () << "run_twice " << counts.run_twice << " false_not_run " << counts.false_not_run
              << " crossed " << counts.crossed << " partial " << counts.partial << " stuck "
              << counts.stuck << "\n";
    RC_ASSERT (ok);
  });

  /* Each outcome must occur, else the properties hold trivially. */
  std::printf ("answered %d not_run %d unknown %d\n", sum.answered, sum.not_run, sum.unknown);
  return is_good && sum.answered >= 100 && sum.not_run >= 100 && sum.unknown >= 100;
}

int
main ()
{
  bool is_good = check ("a key runs at most once and every reported outcome is true", false);

  /* With persisted claims any number of agents may die at once. */
  is_good =
      check ("the same with agents that resume persisted claims after a restart", true) && is_good;
  return is_good ? 0 : 1;
}
