/* prop-steps: RapidCheck generator of random event sequences for property tests of the flow plane.
 *
 * A step has a kind of event, from 0 to n_kinds - 1, and a number for its target or amount, which
 * the property reduces modulo what it has. */
#ifndef PROP_STEPS_HH
#define PROP_STEPS_HH

#include <rapidcheck.h>

#include <vector>

struct Step
{
  int kind;
  uint32_t subject;
};

inline void
showValue (const Step &s, std::ostream &os)
{
  os << "{kind " << s.kind << ", subject " << s.subject << "}";
}

inline rc::Gen<std::vector<Step> >
steps (int n_kinds)
{
  return rc::gen::container<std::vector<Step> > (
      rc::gen::build<Step> (rc::gen::set (&Step::kind, rc::gen::inRange<int> (0, n_kinds)),
                            rc::gen::set (&Step::subject, rc::gen::inRange<uint32_t> (0, 1000))));
}

#endif /* PROP_STEPS_HH */
