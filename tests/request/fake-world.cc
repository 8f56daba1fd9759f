#include "fake-world.hh"

#include <algorithm>

void
World::apply (Process &p, size_t n_ops)
{
  LcError error = {};
  size_t end = std::min (ops.size (), p.applied + n_ops);

  if (end == p.applied)
    return;
  for (; p.applied < end; p.applied++)
    if (lc_view_apply (&p.view, &ops[p.applied], &error) < 0)
      std::abort ();
  if (p.is_agent)
    {
      lc_request_agent_set_service (&p.agent, lc_view_service (&p.view, 1), 0, now_us);
      carry_out_agent (p);
    }
  else
    {
      lc_request_balancer_set_view (&p.balancer, &p.view, now_us);
      carry_out_balancer (p);
    }
}

/* === network ================================================================================ */

void
World::send (Message message)
{
  Process &p = message.to_agent >= 0 ? agents[message.to_agent] : balancers[message.to_balancer];

  message.to_instance = p.instance;
  network.push_back (std::move (message));
}

uint64_t
World::link_between (int balancer, int agent)
{
  for (auto &[id, link] : links)
    if (link.up && link.balancer == balancer && link.agent == agent &&
        link.agent_instance == agents[agent].instance &&
        link.balancer_instance == balancers[balancer].instance)
      return id;
  if (!agents[agent].alive || !balancers[balancer].alive)
    return 0;
  links[++next_link] =
      Link{ balancer, agent, agents[agent].instance, balancers[balancer].instance, true };
  return next_link;
}

/* Both ends are notified by a message, which may be delayed like any other. */
void
World::break_link (uint64_t id)
{
  Link &link = links[id];

  if (!link.up)
    return;
  link.up = false;
  Message to_balancer;
  to_balancer.to_balancer = link.balancer;
  to_balancer.deliver = [this, id, b = link.balancer] {
    lc_request_balancer_handle_link_down (&balancers[b].balancer, id, now_us);
    carry_out_balancer (balancers[b]);
  };
  if (balancers[link.balancer].instance == link.balancer_instance)
    send (std::move (to_balancer));
  Message to_agent;
  to_agent.to_agent = link.agent;
  to_agent.deliver = [this, id, a = link.agent] {
    lc_request_agent_handle_link_down (&agents[a].agent, id, now_us);
    carry_out_agent (agents[a]);
  };
  if (agents[link.agent].instance == link.agent_instance)
    send (std::move (to_agent));
}

void
World::deliver_at (size_t at, bool keep)
{
  Message message = network[at];
  Process &p = message.to_agent >= 0 ? agents[message.to_agent] : balancers[message.to_balancer];

  if (!keep)
    network.erase (network.begin () + (long)at);
  if (p.alive && p.instance == message.to_instance)
    message.deliver ();
}

void
World::settle_messages (int limit)
{
  for (int i = 0; i < limit; i++)
    {
      if (network.empty ())
        {
          now_us += 110 * LC_US_PER_MS;
          tick_all ();
        }
      for (size_t n = network.size (); n > 0 && !network.empty (); n--)
        deliver_at (0, false);
      if (is_quiet () && network.empty ())
        return;
    }
}

/* === agents ================================================================================= */

static int
agent_of (const LcMemberRef &ref)
{
  return (int)ref.id - 1;
}

void
World::agent_action (Process &p, const LcAgentAction &action)
{
  int self = p.index;

  switch (action.kind)
    {
    case LC_AGENT_START:
      p.running[action.run_id] = n_steps;
      break;
    case LC_AGENT_STOP:
    case LC_AGENT_DROP_PAYLOAD:
      p.running.erase (action.run_id);
      p.payloads.erase (action.run_id);
      break;
    case LC_AGENT_ANSWER:
    case LC_AGENT_REFUSE:
      {
        bool is_answer = action.kind == LC_AGENT_ANSWER;
        const LcAttemptId &ask = is_answer ? action.answer.attempt_id : action.refuse.attempt_id;
        auto link = links.find (ask.link_id);
        LcAttemptRef ref = { ask.id, ask.attempt, ask.link_id };
        Message m;

        if (link == links.end () || !link->second.up)
          break;
        m.to_balancer = link->second.balancer;
        if (is_answer)
          {
            gsize len;
            const char *data = (const char *)g_bytes_get_data (action.answer.answer->body, &len);
            std::string token (data, len);

            m.deliver = [this, ref, token, is_whole = n_steps % 8 != 0, b = m.to_balancer] {
              answer_arrived (balancers[b], ref, is_whole, token);
            };
          }
        else
          {
            LcRefusal refusal = { action.refuse.reason, action.refuse.is_claimed,
                                  action.refuse.owner };

            m.deliver = [this, ref, refusal, b = m.to_balancer] {
              lc_request_balancer_handle_refusal (&balancers[b].balancer, &ref, &refusal, 1000,
                                                  now_us);
              carry_out_balancer (balancers[b]);
            };
          }
        if (balancers[m.to_balancer].instance == link->second.balancer_instance)
          send (std::move (m));
        break;
      }
    case LC_AGENT_CLAIM:
      {
        auto claim = action.claim;
        LcMemberRef owner = p.agent.desc.self;
        Message m;

        m.to_agent = agent_of (claim.home);
        m.deliver = [this, claim, owner, self, home = m.to_agent, instance = p.instance] {
          LcClaimRecord hold = {};
          LcClaimReply reply = {};
          Message back;

          reply.result = lc_request_agent_handle_claim (&agents[home].agent, claim.home.instance,
                                                        claim.key, owner, claim.sequence, claim.era,
                                                        claim.keep_us, now_us, &hold);
          carry_out_agent (agents[home]);
          reply.home = agents[home].agent.desc.self;
          reply.key = claim.key;
          reply.sequence = claim.sequence;
          reply.era = claim.era;
          reply.holder = hold.owner;
          reply.lost_for_us =
              lc_claim_sync_key_unavailable_us (&agents[home].agent.claim_sync, claim.key, now_us);
          back.to_agent = self;
          back.deliver = [this, reply, self] {
            lc_request_agent_handle_claim_reply (&agents[self].agent, &reply, now_us);
            carry_out_agent (agents[self]);
          };
          if (agents[self].instance == instance)
            send (std::move (back));
        };
        send (std::move (m));
        break;
      }
    case LC_AGENT_RELEASE:
      {
        auto claim = action.claim;
        Message m;

        m.to_agent = agent_of (claim.home);
        m.deliver = [this, claim, instance = p.instance, home = m.to_agent] {
          lc_request_agent_handle_release (&agents[home].agent, claim.key, instance,
                                           claim.sequence);
          carry_out_agent (agents[home]);
        };
        send (std::move (m));
        break;
      }
    case LC_AGENT_READ_CLAIMS:
      {
        LcMemberRef reader = p.agent.desc.self;
        const LcClaimMembers *set =
            lc_claim_sync_find_members (&p.agent.claim_sync, action.read.era);
        std::vector<LcMemberRef> members (set->members, set->members + set->n_members);
        LcMemberRef asked = action.read.member;
        Message m;

        m.to_agent = agent_of (asked); /* the instance at that address now */
        m.deliver = [this, reader, members, self, asked_era = action.read.era, from = m.to_agent,
                     instance = p.instance] {
          std::vector<LcClaimSource> sources (LC_CLAIM_SYNC_MAX_INCARNATIONS);
          std::vector<LcClaimRecord> holds;
          Message back;

          sources.resize (lc_request_agent_list_sources (&agents[from].agent, asked_era, now_us,
                                                         sources.data ()));
          lc_request_agent_foreach_record (
              &agents[from].agent, reader, members.data (), (uint32_t)members.size (), now_us,
              [] (void *user, const LcClaimRecord *hold) {
                ((std::vector<LcClaimRecord> *)user)->push_back (*hold);
              },
              &holds);
          back.to_agent = self;
          back.deliver = [this, sources, holds, self] {
            for (const auto &hold : holds)
              lc_request_agent_merge_record (&agents[self].agent, &hold);
            for (const auto &source : sources)
              lc_request_agent_add_source (&agents[self].agent, &source, now_us);
            carry_out_agent (agents[self]);
          };
          if (agents[self].instance == instance)
            send (std::move (back));
        };
        send (std::move (m));
        break;
      }
    case LC_AGENT_CLAIM_DELAYED:
      break;
    case LC_AGENT_PERSIST:
      p.kept_claims[{ action.persist.key.hi, action.persist.key.lo }] = action.persist;
      break;
    }
}

/* Restores what the previous process persisted. */
void
World::resume (Process &p)
{
  for (const auto &[key, hold] : p.kept_claims)
    lc_request_agent_resume_claim (&p.agent, &hold);
  lc_request_agent_resume_progress (&p.agent, &p.kept_state);
}

void
World::carry_out_agent (Process &p)
{
  LcAgentAction action;

  while (lc_request_agent_next_action (&p.agent, &action))
    {
      agent_action (p, action);
      lc_agent_action_clear (&action);
    }
  lc_claim_sync_progress (&p.agent.claim_sync, &p.kept_state);
}

void
World::execute (Process &p, uint64_t run_id)
{
  int operation = p.payloads[run_id];

  executed[operations[operation]->token].push_back ({ operation, p.running[run_id] });
}

/* Ends a run at the backend server: shed, run and answered, or run with the answer lost. */
void
World::end_run (Process &p, uint32_t arg)
{
  auto at = p.running.begin ();
  uint64_t run_id;
  std::string token;

  if (p.running.empty ())
    return;
  std::advance (at, arg % p.running.size ());
  run_id = at->first;
  token = operations[p.payloads[run_id]]->token;
  if ((arg >> 8) % 8 != 0)
    execute (p, run_id);
  p.running.erase (run_id);
  switch ((arg >> 8) % 8)
    {
    case 0:
      lc_request_agent_end_run (&p.agent, run_id, LC_RUN_SHED, NULL, now_us);
      break;
    case 1:
      lc_request_agent_end_run (&p.agent, run_id, LC_RUN_BROKEN, NULL, now_us);
      break;
    default:
      {
        LcAnswer *answer =
            lc_answer_new (200, g_bytes_new (NULL, 0), g_bytes_new (token.data (), token.size ()));

        lc_request_agent_end_run (&p.agent, run_id, LC_RUN_OK, answer, now_us);
        lc_answer_unref (answer);
      }
    }
  carry_out_agent (p);
}

/* === balancers ============================================================================== */

void
World::balancer_send (Process &p, const LcBalancerAction &action)
{
  int agent = agent_of (action.send.ref);
  uint64_t link_id = link_between (p.index, agent);
  Operation &operation = *operations[p.flights[action.flight_id]];
  LcAgentAttempt attempt = {};
  Message m;

  if (link_id == 0)
    {
      lc_request_balancer_handle_send_failure (&p.balancer, action.flight_id, action.send.number,
                                               now_us);
      return;
    }
  lc_request_balancer_handle_sent (&p.balancer, action.flight_id, action.send.number, link_id);
  attempt.attempt_id = { link_id, operation.request.id, action.send.number };
  attempt.instance = action.send.ref.instance;
  attempt.key = operation.request.key;
  attempt.is_caller_key = operation.request.is_caller_key;
  attempt.is_query = operation.request.is_query;
  attempt.digest = operation.request.digest;
  m.to_agent = agent;
  m.deliver = [this, attempt, agent, left_us = action.send.left_us,
               index = p.flights[action.flight_id]] () mutable {
    Process &to = agents[agent];
    uint64_t run_id;

    attempt.deadline_us = now_us + left_us;
    run_id = lc_request_agent_handle_attempt (&to.agent, &attempt, now_us);
    if (run_id != 0)
      to.payloads[run_id] = index;
    carry_out_agent (to);
  };
  send (std::move (m));
}

void
World::balancer_fail (Process &p, const LcBalancerAction &action)
{
  Operation &operation = *operations[p.flights[action.flight_id]];

  operation.is_over = true;
  p.flights.erase (action.flight_id);
  if (action.fail.outcome != LC_OUTCOME_NOT_RUN)
    {
      counts.unknown++;
      return;
    }
  counts.not_run++;
  operation.is_not_run = true;
}

void
World::carry_out_balancer (Process &p)
{
  LcBalancerAction action;

  while (lc_request_balancer_next_action (&p.balancer, &action))
    switch (action.kind)
      {
      case LC_BALANCER_SEND:
        balancer_send (p, action);
        break;
      case LC_BALANCER_FAIL:
        balancer_fail (p, action);
        break;
      case LC_BALANCER_ANSWER:
        break;
      case LC_BALANCER_CANCEL:
        {
          auto link = links.find (action.cancel.link_id);
          LcAttemptId ask = { action.cancel.link_id, action.cancel.id, action.cancel.number };
          Message m;

          if (link == links.end () || !link->second.up)
            break;
          m.to_agent = link->second.agent;
          m.deliver = [this, ask, a = m.to_agent] {
            lc_request_agent_handle_cancel (&agents[a].agent, &ask, now_us);
            carry_out_agent (agents[a]);
          };
          send (std::move (m));
          break;
        }
      }
}

void
World::answer_arrived (Process &p, const LcAttemptRef &ref, bool is_whole, const std::string &token)
{
  uint64_t flight_id = lc_request_balancer_handle_answer (&p.balancer, &ref, is_whole, 200, now_us);

  if (flight_id != 0)
    {
      Operation &operation = *operations[p.flights[flight_id]];

      counts.answered++;
      counts.partial += !is_whole;
      if (operation.is_over || operation.token != token)
        counts.crossed++;
      operation.is_over = true;
      p.flights.erase (flight_id);
    }
  carry_out_balancer (p);
}

/* === callers ================================================================================ */

void
World::start_operation (uint32_t arg)
{
  auto operation = std::make_unique<Operation> ();
  Process &p = balancers[arg % N_BALANCERS];
  LcFilterVerdict verdict;
  LcFilterRequest &r = operation->request;
  uint32_t kind = (arg >> 4) % 8;
  int index = (int)operations.size ();
  uint64_t flight_id;
  static const char *const KEYS[N_KEYS] = { "key-0", "key-1", "key-2" };
  static const char *const ASKS[N_KEYS] = { "/.well-known/lychee/requests/order-desk/key-0",
                                            "/.well-known/lychee/requests/order-desk/key-1",
                                            "/.well-known/lychee/requests/order-desk/key-2" };

  if (!p.alive)
    return;
  operation->begun = n_steps;
  operation->key = (int)((arg >> 8) % N_KEYS);
  r.method = { "POST", 4 };
  r.path = { "/orders", 7 };
  r.host = { "x", 1 };
  r.body = { "", 0 };
  r.key_text = { "", 0 };
  r.timeout_text = { "", 0 };
  r.caller = 1;
  r.random = { ++next_random, next_random * 7919 };
  r.now_us = now_us;
  if (kind < 5)
    {
      r.key_text = { KEYS[operation->key], 5 };
      operation->is_keyed = true;
    }
  else if (kind == 5)
    {
      r.method = { "GET", 3 };
      r.path = { ASKS[operation->key], std::strlen (ASKS[operation->key]) };
    }
  else
    operation->key = -1;
  if (kind == 6)
    r.method = { "GET", 3 };
  else if (kind == 7)
    operation->is_keyed = true;
  operation->token = operation->key >= 0 ? KEYS[operation->key] : "own-" + std::to_string (index);
  operations.push_back (std::move (operation));
  Operation &kept = *operations.back ();
  flight_id = lc_request_balancer_start_request (&p.balancer, &kept.request, &verdict);
  if (flight_id == 0)
    kept.is_over = true;
  else
    p.flights[flight_id] = index;
  carry_out_balancer (p);
}

/* === faults ================================================================================= */

/* Whether every agent of the present set is alive and holds all claims that it must. */
bool
World::is_quiet ()
{
  for (auto &a : agents)
    if (a.alive &&
        (a.applied != ops.size () || lc_claim_sync_target_era (&a.agent.claim_sync) != 0))
      return false;
  for (auto &a : agents)
    if (!a.alive && (a.committed == LC_ENDPOINT_ACTIVE || a.committed == LC_ENDPOINT_JOINING))
      return false;
  return true;
}

/* Without persisted claims, at most r - 1 members may lose their memory before the others have read
 * the claims again; with them any number may die at once. */
void
World::kill_agent (int i)
{
  int n_members = 0;

  for (auto &a : agents)
    n_members += a.committed == LC_ENDPOINT_ACTIVE || a.committed == LC_ENDPOINT_JOINING;
  if (is_quiet ())
    n_losses = 0;
  if (!agents[i].alive ||
      (!keeps_claims && n_losses + 1 >= std::min (n_members, (int)LC_CLAIM_HOMES)))
    return;
  n_losses++;
  for (auto &[run_id, begun] : agents[i].running)
    execute (agents[i], run_id); /* the backend server continues */
  stop (agents[i]);
  for (auto &[id, link] : links)
    if (link.agent == i)
      break_link (id);
}

void
World::kill_balancer (int i)
{
  Process &p = balancers[i];

  if (!p.alive)
    return;
  for (auto &[flight, index] : p.flights)
    operations[index]->is_over = true;
  stop (p);
  for (auto &[id, link] : links)
    if (link.balancer == i)
      break_link (id);
}

void
World::tick_all ()
{
  for (auto &a : agents)
    if (a.alive)
      {
        lc_request_agent_tick (&a.agent, now_us);
        carry_out_agent (a);
      }
  for (auto &b : balancers)
    if (b.alive)
      {
        lc_request_balancer_tick (&b.balancer, now_us);
        carry_out_balancer (b);
      }
}

void
World::step (uint32_t word)
{
  uint32_t kind = word % 64;
  uint32_t arg = word >> 6;
  int a = (int)(arg % N_AGENTS);
  Process &agent = agents[a];

  n_steps++;
  if (kind < 26)
    {
      uint32_t n = kind < 20 ? 1 + arg % 12 : 1;

      for (; n > 0 && !network.empty (); n--)
        deliver_at (kind < 20 ? 0 : arg % network.size (), false);
    }
  else if (kind < 28)
    {
      if (!network.empty ())
        deliver_at (arg % network.size (), true);
    }
  else if (kind < 30)
    {
      if (!network.empty ())
        network.erase (network.begin () + (long)(arg % network.size ()));
    }
  else if (kind < 36)
    start_operation (arg);
  else if (kind < 46)
    {
      if (agent.alive)
        end_run (agent, arg >> 2);
    }
  else if (kind < 49)
    {
      static const int64_t STEPS[] = { 1000, 6000, 20000, 60000, 210000, 210000, 900000, 5500000 };

      now_us += STEPS[arg % 8];
      tick_all ();
    }
  else if (kind < 52)
    {
      Process &p =
          arg % 3 == 0 ? balancers[(arg >> 4) % N_BALANCERS] : agents[(arg >> 4) % N_AGENTS];

      if (p.alive)
        apply (p, 1 + (arg >> 8) % 3);
    }
  else if (kind < 54)
    kill_agent (a);
  else if (kind < 56)
    {
      if (!agent.alive)
        start_agent (a);
      else if (agent.committed == LC_ENDPOINT_NONE || agent.committed == LC_ENDPOINT_LOST)
        commit_endpoint (a, LC_ENDPOINT_ACTIVE);
    }
  else if (kind == 56)
    {
      if (!agent.alive && agent.committed != LC_ENDPOINT_NONE)
        commit_endpoint (a, LC_ENDPOINT_LOST);
    }
  else if (kind == 57)
    {
      if (agent.alive && agent.committed == LC_ENDPOINT_ACTIVE)
        {
          lc_request_agent_drain (&agent.agent);
          commit_endpoint (a, LC_ENDPOINT_DRAINING);
        }
    }
  else if (kind == 58)
    kill_balancer ((int)(arg % N_BALANCERS));
  else if (kind == 59)
    {
      int b = (int)(arg % N_BALANCERS);

      if (!balancers[b].alive)
        start_balancer (b);
      apply (balancers[b], ops.size ());
    }
  else if (kind < 62)
    {
      if (!links.empty ())
        {
          auto at = links.begin ();

          std::advance (at, arg % links.size ());
          break_link (at->first);
        }
    }
  else if (!balancers[arg % N_BALANCERS].flights.empty ())
    {
      Process &p = balancers[arg % N_BALANCERS];
      auto at = p.flights.begin ();

      std::advance (at, (arg >> 4) % p.flights.size ());
      operations[at->second]->is_over = true;
      lc_request_balancer_cancel (&p.balancer, at->first, now_us);
      p.flights.erase (at);
      carry_out_balancer (p);
    }
}

/* "Not run" means that this copy never runs and that no copy had started when this one arrived.  If
 * every copy got that outcome, none of them ever runs. */
void
World::check_not_run ()
{
  std::map<std::string, bool> all_not_run;

  for (size_t i = 0; i < operations.size (); i++)
    {
      const Operation &o = *operations[i];

      if (!o.request.is_query)
        {
          auto at = all_not_run.emplace (o.token, true).first;

          at->second = at->second && o.is_not_run;
        }
      if (o.is_not_run)
        for (const Execution &e : executed[o.token])
          counts.false_not_run += e.operation == (int)i || e.begun < o.begun;
    }
  for (auto &[token, is_not_run] : all_not_run)
    if (is_not_run && !executed[token].empty ())
      counts.false_not_run++;
}

void
World::finish ()
{
  for (int i = 0; i < 40; i++)
    {
      for (auto &p : agents)
        while (!p.running.empty () && i > 30)
          end_run (p, 7U << 8);
      now_us += 300 * LC_US_PER_MS;
      tick_all ();
      for (size_t n = network.size (); n > 0 && !network.empty (); n--)
        deliver_at (0, false);
    }
  for (auto &o : operations)
    counts.stuck += !o->is_over;
  for (auto &a : agents)
    if (a.alive && !lc_request_agent_is_idle (&a.agent))
      counts.stuck++;
  check_not_run ();
  for (auto &[token, runs] : executed)
    if (runs.size () > 1 && operations[runs[0].operation]->is_keyed)
      counts.run_twice++;
}
