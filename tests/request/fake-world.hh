// A simulation of a few agents and balancers, made of their state machines only, with a network, a
// backend server per agent and callers, driven step by step by the test.  It can lose, duplicate
// and reorder messages, kill processes with their memory, and let each process apply the committed
// view operations at a different time.
#pragma once

#include "core/request/lc-request-agent.h"
#include "core/request/lc-request-balancer.h"

#include <cstdio>
#include <cstring>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

struct Counts
{
  int run_twice = 0;
  int false_not_run = 0;
  int crossed = 0;
  int partial = 0;
  int stuck = 0;
  int answered = 0;
  int not_run = 0;
  int unknown = 0;
};

class World
{
public:
  static constexpr int N_AGENTS = 4; // the last one joins later
  static constexpr int N_BALANCERS = 2;
  static constexpr int N_KEYS = 3;

  // `keeps_claims`: a restarted agent resumes the claims and state that its predecessor persisted.
  explicit World (bool keeps_claims = false) : keeps_claims (keeps_claims)
  {
    agents.resize (N_AGENTS);
    balancers.resize (N_BALANCERS);
    commit_service ();
    for (int i = 0; i < N_AGENTS; i++)
      start_agent (i);
    for (int i = 0; i < N_AGENTS - 1; i++)
      commit_endpoint (i, LC_ENDPOINT_ACTIVE);
    for (int i = 0; i < N_BALANCERS; i++)
      start_balancer (i);
    for (auto &a : agents)
      apply (a, ops.size ());
    for (auto &b : balancers)
      apply (b, ops.size ());
    settle_messages (200);
  }

  ~World ()
  {
    for (auto &a : agents)
      stop (a);
    for (auto &b : balancers)
      stop (b);
  }

  // Performs one step, selected by `word`.
  void step (uint32_t word);

  // Delivers all messages, lets all deadlines pass, and checks the invariants.
  void finish ();

  Counts counts;

private:
  struct Process
  {
    bool alive = false;
    LcView view;
    size_t applied = 0;
    LcRequestAgent agent;
    LcRequestBalancer balancer;
    LcInstance instance = 0;
    bool is_agent = false;
    int index = 0;
    LcEndpointState committed = LC_ENDPOINT_NONE; // state of this instance in the view
    std::map<uint64_t, int> payloads;             // run id -> operation that carried it
    std::map<uint64_t, int> running; // run id at the backend server -> step at which it started
    std::map<uint64_t, int> flights; // flight id -> operation
    std::map<std::pair<uint64_t, uint64_t>, LcClaimRecord> kept_claims; // by key
    LcClaimProgress kept_state = {};
  };

  struct Operation
  {
    std::string token; // body of its own answer
    int key = -1;      // index of a caller's key, -1: none
    bool is_keyed = false;
    bool is_over = false;
    bool is_not_run = false;
    int begun = 0; // step
    LcFilterRequest request;
  };

  struct Link
  {
    int balancer;
    int agent;
    LcInstance agent_instance;
    LcInstance balancer_instance;
    bool up;
  };

  // A run that a backend server executed.
  struct Execution
  {
    int operation;
    int begun; // step
  };

  // `deliver` is called if the receiver is still the instance `to_instance`.
  struct Message
  {
    int to_agent = -1;
    int to_balancer = -1;
    LcInstance to_instance = 0;
    std::function<void ()> deliver;
  };

  const bool keeps_claims;
  std::vector<Process> agents;
  std::vector<Process> balancers;
  std::vector<LcViewOp> ops;
  std::vector<std::unique_ptr<Operation> > operations;
  std::deque<Message> network;
  std::map<uint64_t, Link> links;
  std::map<std::string, std::vector<Execution> > executed; // by token
  int n_steps = 0;
  uint64_t next_link = 0;
  uint64_t next_instance = 1000;
  uint64_t next_random = 1;
  int64_t now_us = 1000000;
  LcRevision revision = 0;
  int n_losses = 0; // agents killed since is_quiet

  void
  commit (LcViewOp op)
  {
    op.revision = ++revision;
    ops.push_back (op);
  }

  void
  commit_service ()
  {
    LcViewOp op = {};
    op.kind = LC_VIEW_SERVICE;
    op.service.id = 1;
    op.service.request_timeout_ms = 5000;
    std::strcpy (op.service.name, "order-desk");
    commit (op);
    op = LcViewOp{};
    op.kind = LC_VIEW_ROUTE;
    op.route.id = 1;
    op.route.service_id = 1;
    std::strcpy (op.route.path_prefix, "/");
    commit (op);
  }

  void
  commit_endpoint (int i, LcEndpointState state)
  {
    LcViewOp op = {};
    op.kind = LC_VIEW_ENDPOINT;
    op.endpoint.id = (LcEndpointId)(i + 1);
    op.endpoint.service_id = 1;
    op.endpoint.instance = agents[i].instance;
    op.endpoint.state = (uint8_t)state;
    op.endpoint.slots = 2;
    op.endpoint.weight_percent = 100;
    op.endpoint.ipv4 = 0x7f220000u + (uint32_t)i;
    std::snprintf (op.endpoint.name, sizeof op.endpoint.name, "order-%d", i);
    agents[i].committed = state;
    commit (op);
  }

  void
  start_agent (int i)
  {
    Process &p = agents[i];
    LcRequestAgentDesc desc = {};
    p.alive = true;
    p.is_agent = true;
    p.index = i;
    p.applied = 0;
    p.instance = ++next_instance;
    p.committed = LC_ENDPOINT_NONE;
    desc.self = { (LcEndpointId)(i + 1), p.instance };
    desc.admission.slots = 2;
    lc_view_init (&p.view);
    lc_request_agent_init (&p.agent, &desc);
    if (keeps_claims)
      resume (p);
  }

  void
  start_balancer (int i)
  {
    Process &p = balancers[i];
    LcRequestBalancerDesc desc = {};
    p.alive = true;
    p.index = i;
    p.applied = 0;
    p.instance = ++next_instance;
    desc.seed = p.instance;
    lc_view_init (&p.view);
    lc_request_balancer_init (&p.balancer, &desc);
  }

  void
  stop (Process &p)
  {
    if (!p.alive)
      return;
    p.alive = false;
    if (p.is_agent)
      lc_request_agent_finish (&p.agent);
    else
      lc_request_balancer_finish (&p.balancer);
    lc_view_finish (&p.view);
    p.payloads.clear ();
    p.running.clear ();
    p.flights.clear ();
  }

  void resume (Process &p);
  void apply (Process &p, size_t n_ops);
  void break_link (uint64_t id);
  uint64_t link_between (int balancer, int agent);
  void send (Message message);
  void carry_out_agent (Process &p);
  void carry_out_balancer (Process &p);
  void agent_action (Process &p, const LcAgentAction &action);
  void balancer_send (Process &p, const LcBalancerAction &action);
  void balancer_fail (Process &p, const LcBalancerAction &action);
  void
  answer_arrived (Process &p, const LcAttemptRef &ref, bool is_whole, const std::string &token);
  void start_operation (uint32_t arg);
  void end_run (Process &p, uint32_t arg);
  void kill_agent (int i);
  void kill_balancer (int i);
  void deliver_at (size_t at, bool keep);
  void tick_all ();
  void settle_messages (int limit);
  bool is_quiet ();
  void execute (Process &p, uint64_t run_id);
  void check_not_run ();
};
