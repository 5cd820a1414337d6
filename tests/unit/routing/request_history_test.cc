#include <array>
#include <catch2/catch.hpp>
#include <deque>
#include <iostream>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "rapidcheck.h"
#include "rapidcheck/detail/Configuration.h"
#include "rapidcheck/detail/Property.h"
#include "rapidcheck/detail/Results.h"
#include "routing/agent_request_gate.h"
#include "routing/endpoint_picker.h"
#include "routing/retry_decision.h"
#include "routing_fixtures.h"

// Model of one entry, two agents with one endpoint each, and a network between them that delays, repeats and cuts.
// The decisions are those of the package; the model counts how often each request ran.

namespace berylgauge {
namespace {

constexpr int kSlots = 2;
constexpr std::size_t kAgents = 2;
/// Small, so that histories reach the floor.
constexpr std::size_t kRemembered = 4;

enum class Action {
  kSend,
  kDeliver,
  kRepeat,   ///< deliver and keep a copy in the network
  kForward,  ///< pass an admitted request to the endpoint
  kComplete,
  kDeliverAnswer,
  kCut,     ///< the stream of an attempt breaks; the request may still arrive
  kGiveUp,  ///< the entry asks the agent to abandon an attempt
  kRestartAgent,
  kHeartbeat,
  kPassTime,
  kLeaveEndpoint,
  kReplaceEndpoint,
  kRestartEntry,
};

struct Step {
  Action action;
  std::size_t argument;
};

void showValue(const Step& step, std::ostream& out) { out << static_cast<int>(step.action) << ":" << step.argument; }

/// The decisions under test; broken variants replace one of them.
struct SoundDecisions {
  using Gate = AgentRequestGate;

  static Verdict Combine(Verdict former, Verdict latest) { return CombineVerdicts(former, latest); }
  static Verdict VerdictOfCut() { return Verdict::kMayHaveRun; }
  static constexpr bool kReleasesOnCut = true;
};

template <typename Decisions>
class RequestHistory {
 public:
  RequestHistory() : m_workers({.own_region = "ie-west"}) {
    for (std::size_t i = 0; i < kAgents; ++i) {
      RestartGate(i);
      Announce(i, false);
      Report(i);
    }
  }

  /// Returns what went wrong, if anything.
  std::optional<std::string> Run(const std::vector<Step>& steps) {
    for (const Step& step : steps) {
      Apply(step);
      if (auto fault = FindFault()) return fault;
    }
    return Finish();
  }

 private:
  struct Request {
    bool is_idempotent = false;
    int runs = 0;
    int attempts = 0;
    Verdict verdict = Verdict::kNotRun;  ///< of all attempts together
    bool was_reported_not_run = false;
    MonotonicTime deadline;
    std::vector<RoutedEndpointPtr> tried;
  };

  struct Attempt {
    std::size_t request = 0;
    std::size_t agent = 0;
    GateRequest message;
    std::optional<EndpointReservation> reservation;
    bool is_resolved = false;  ///< at the entry
  };

  struct Agent {
    std::unique_ptr<typename Decisions::Gate> gate;
    EndpointRegistry endpoints{EndpointRegistry::Options{}};
    Incarnation incarnation = 0;
    Incarnation endpoint_incarnation = 0;
    std::uint64_t sequence = 0;
    std::vector<std::size_t> admitted;                           ///< attempts not forwarded yet
    std::vector<std::pair<std::size_t, Incarnation>> forwarded;  ///< attempt and endpoint process
    std::map<std::size_t, Incarnation> admitted_to;
  };

  MonotonicTime Now() const { return At(m_ms); }
  static std::string WorkerName(std::size_t agent) { return "w" + std::to_string(agent + 1); }
  static std::string AddressOf(std::size_t agent) { return "127.0.0." + std::to_string(agent + 1) + ":8080"; }

  void RestartGate(std::size_t index) {
    Agent& agent = m_agents[index];
    agent.incarnation = ++m_last_incarnation;
    agent.sequence = 0;
    agent.gate = std::make_unique<typename Decisions::Gate>(
        AgentRequestGate::Options{.agent_incarnation = agent.incarnation, .max_ended = kRemembered});
    agent.admitted.clear();
    agent.forwarded.clear();
    agent.admitted_to.clear();
  }

  void Announce(std::size_t index, bool is_leaving) {
    Agent& agent = m_agents[index];
    if (agent.endpoint_incarnation == 0) agent.endpoint_incarnation = ++m_last_incarnation;
    agent.endpoints.Apply({.service = ServiceId("dispatch"),
                           .address = AddressOf(index),
                           .incarnation = agent.endpoint_incarnation,
                           .slots = kSlots,
                           .leaving = is_leaving},
                          Now());
  }

  /// The agent's heartbeat reaches the entry, which builds a new table.
  void Report(std::size_t index) {
    Agent& agent = m_agents[index];
    const EndpointRecord* endpoint = agent.endpoints.Find(ServiceId("dispatch"), AddressOf(index), Now());
    const int outstanding =
        agent.gate->OutstandingOf(ServiceId("dispatch"), AddressOf(index), agent.endpoint_incarnation);
    Heartbeat heartbeat = HeartbeatOf({.worker = WorkerName(index),
                                       .slots = kSlots,
                                       .outstanding = outstanding,
                                       .endpoint_leaving = endpoint == nullptr || endpoint->last.leaving,
                                       .agent_incarnation = agent.incarnation,
                                       .endpoint_incarnation = agent.endpoint_incarnation,
                                       .sequence = ++agent.sequence});
    if (!m_workers.Apply(heartbeat, Now()).IsAccepted()) return;
    m_table->StoreReports(heartbeat, Now());
    m_table = RoutingTable::Build(m_workers, *m_table, Now());
    KeepStates();
  }

  void KeepStates() {
    for (std::size_t i = 0; i < kAgents; ++i) {
      if (const RoutedEndpointPtr endpoint = EndpointOf(*m_table, WorkerName(i))) m_states.push_back(endpoint->state);
    }
  }

  void Apply(const Step& step) {
    const std::size_t argument = step.argument;
    const std::size_t agent = argument % kAgents;
    switch (step.action) {
      case Action::kSend:
        return Send(argument % 3 == 0, absl::Milliseconds(10 + argument % 7 * 100));
      case Action::kDeliver:
        return Deliver(argument, false);
      case Action::kRepeat:
        return Deliver(argument, true);
      case Action::kForward:
        return Forward(agent, argument / kAgents);
      case Action::kComplete:
        return Complete(agent, argument / kAgents);
      case Action::kDeliverAnswer:
        return DeliverAnswer(argument);
      case Action::kCut:
        return Cut(argument);
      case Action::kGiveUp:
        return GiveUp(argument);
      case Action::kRestartAgent:
        return RestartAgent(agent);
      case Action::kHeartbeat:
        return Report(agent);
      case Action::kPassTime:
        m_ms += static_cast<std::int64_t>(argument % 100);
        return AnnounceAll();
      case Action::kLeaveEndpoint:
        return Announce(agent, true);
      case Action::kReplaceEndpoint:
        m_agents[agent].endpoint_incarnation = ++m_last_incarnation;
        return Announce(agent, false);
      case Action::kRestartEntry:
        return RestartEntry();
    }
  }

  void AnnounceAll() {
    for (std::size_t i = 0; i < kAgents; ++i) Announce(i, false);
  }

  void Send(bool is_idempotent, absl::Duration timeout) {
    m_budget.AddRequest();
    m_requests.push_back({.is_idempotent = is_idempotent, .deadline = Now() + timeout});
    StartAttempt(m_requests.size() - 1);
  }

  void StartAttempt(std::size_t index) {
    Request& request = m_requests[index];
    auto pick = EndpointPicker({}).Pick(*m_table, ServiceId("dispatch"), request.tried, Now(), m_random);
    if (!pick) return Conclude(request);
    ++request.attempts;
    request.tried.push_back(pick->shared_endpoint());
    const RoutedEndpoint& endpoint = pick->endpoint();
    Attempt attempt;
    attempt.request = index;
    attempt.agent = endpoint.worker == WorkerId(WorkerName(0)) ? 0 : 1;
    attempt.message = {.id = FormatRequestId({.entry_incarnation = m_entry_incarnation, .number = ++m_last_number}),
                       .agent_incarnation = endpoint.agent_incarnation,
                       .service = endpoint.service,
                       .address = endpoint.address,
                       .deadline = request.deadline};
    attempt.reservation = std::move(*pick);
    m_attempts.push_back(std::move(attempt));
    m_network.push_back(m_attempts.size() - 1);
  }

  /// The caller receives the final answer.
  static void Conclude(Request& request) { request.was_reported_not_run = request.verdict == Verdict::kNotRun; }

  /// The entry learns the verdict of an attempt; answers to attempts that are over are dropped.
  void Resolve(std::size_t index, Verdict verdict, bool releases) {
    Attempt& attempt = m_attempts[index];
    if (attempt.is_resolved) return;
    attempt.is_resolved = true;
    if (releases) attempt.reservation.reset();
    const std::size_t request_index = attempt.request;
    Request& request = m_requests[request_index];
    request.verdict = Decisions::Combine(request.verdict, verdict);
    const RetryDecision decision = DecideRetry({.verdict = request.verdict,
                                                .is_idempotent = request.is_idempotent,
                                                .attempts = request.attempts,
                                                .deadline = request.deadline},
                                               {}, m_budget, Now());
    if (decision.is_retry) return StartAttempt(request_index);
    Conclude(request);
  }

  void Deliver(std::size_t argument, bool keeps_copy) {
    if (m_network.empty()) return;
    const std::size_t position = argument % m_network.size();
    const std::size_t index = m_network[position];
    if (!keeps_copy) m_network.erase(m_network.begin() + static_cast<std::ptrdiff_t>(position));
    Agent& agent = m_agents[m_attempts[index].agent];
    const GateAnswer answer = agent.gate->Admit(m_attempts[index].message, agent.endpoints, Now());
    if (!answer.IsAdmitted()) {
      m_answers.emplace_back(index, answer.verdict);
      return;
    }
    agent.admitted.push_back(index);
    agent.admitted_to[index] = agent.endpoint_incarnation;
  }

  void Forward(std::size_t agent_index, std::size_t argument) {
    Agent& agent = m_agents[agent_index];
    if (agent.admitted.empty()) return;
    const std::size_t position = argument % agent.admitted.size();
    const std::size_t index = agent.admitted[position];
    agent.admitted.erase(agent.admitted.begin() + static_cast<std::ptrdiff_t>(position));
    const RequestId id = m_attempts[index].message.id;
    const GateAnswer answer = agent.gate->BeginForward(id, Now());
    if (!answer.IsAdmitted()) {
      m_answers.emplace_back(index, answer.verdict);
      return;
    }
    if (argument % 5 == 4) {
      m_answers.emplace_back(index, agent.gate->Complete(id, ForwardResult::kNotSent));
      return;
    }
    ++m_requests[m_attempts[index].request].runs;
    agent.forwarded.emplace_back(index, agent.admitted_to[index]);
  }

  void Complete(std::size_t agent_index, std::size_t argument) {
    Agent& agent = m_agents[agent_index];
    if (agent.forwarded.empty()) return;
    const std::size_t position = argument % agent.forwarded.size();
    const std::size_t index = agent.forwarded[position].first;
    agent.forwarded.erase(agent.forwarded.begin() + static_cast<std::ptrdiff_t>(position));
    const ForwardResult result = argument % 3 == 0 ? ForwardResult::kBroken : ForwardResult::kComplete;
    m_answers.emplace_back(index, agent.gate->Complete(m_attempts[index].message.id, result));
  }

  void DeliverAnswer(std::size_t argument) {
    if (m_answers.empty()) return;
    const std::size_t position = argument % m_answers.size();
    const auto [index, verdict] = m_answers[position];
    m_answers.erase(m_answers.begin() + static_cast<std::ptrdiff_t>(position));
    Resolve(index, verdict, true);
  }

  /// One of the attempts that the entry still waits for.
  std::optional<std::size_t> FindOpenAttempt(std::size_t argument) const {
    std::vector<std::size_t> open;
    for (std::size_t i = 0; i < m_attempts.size(); ++i) {
      if (!m_attempts[i].is_resolved) open.push_back(i);
    }
    if (open.empty()) return std::nullopt;
    return open[argument % open.size()];
  }

  void Cut(std::size_t argument) {
    const std::optional<std::size_t> index = FindOpenAttempt(argument);
    if (index) Resolve(*index, Decisions::VerdictOfCut(), Decisions::kReleasesOnCut);
  }

  void GiveUp(std::size_t argument) {
    const std::optional<std::size_t> open = FindOpenAttempt(argument);
    if (!open) return;
    const std::size_t index = *open;
    const Attempt& attempt = m_attempts[index];
    Agent& agent = m_agents[attempt.agent];
    const bool is_same_process = attempt.message.agent_incarnation == agent.incarnation;
    Resolve(index, is_same_process ? agent.gate->Abandon(attempt.message.id).verdict : Verdict::kMayHaveRun, true);
  }

  void RestartAgent(std::size_t agent_index) {
    RestartGate(agent_index);
    for (std::size_t i = 0; i < m_attempts.size(); ++i) {
      if (m_attempts[i].agent == agent_index) Resolve(i, Decisions::VerdictOfCut(), Decisions::kReleasesOnCut);
    }
  }

  /// The callers see their connections break; requests that were sent may still arrive.
  void RestartEntry() {
    for (Attempt& attempt : m_attempts) {
      attempt.is_resolved = true;
      attempt.reservation.reset();
    }
    m_entry_incarnation = ++m_last_incarnation;
    m_last_number = 0;
    m_table = std::make_unique<RoutingTable>(TableOptions());
    m_table = RoutingTable::Build(m_workers, *m_table, Now());
    KeepStates();
  }

  std::optional<std::string> FindFault() const {
    for (const Request& request : m_requests) {
      if (!request.is_idempotent && request.runs > 1) return "a request that is not idempotent ran twice";
      if (request.was_reported_not_run && request.runs > 0) return "not run was said of a request that ran";
    }
    for (const Agent& agent : m_agents) {
      std::map<Incarnation, int> running;
      for (const auto& [attempt, endpoint] : agent.forwarded) ++running[endpoint];
      for (const auto& [endpoint, count] : running) {
        if (count > kSlots) return "an endpoint has more requests than slots";
      }
    }
    return std::nullopt;
  }

  /// Lets everything that is under way arrive, and checks that nothing is left.
  std::optional<std::string> Finish() {
    while (!m_network.empty()) Deliver(0, false);
    for (std::size_t i = 0; i < kAgents; ++i) {
      while (!m_agents[i].admitted.empty()) Forward(i, 0);
      while (!m_agents[i].forwarded.empty()) Complete(i, 1);
    }
    if (auto fault = FindFault()) return fault;
    while (!m_answers.empty()) DeliverAnswer(0);
    for (std::size_t i = 0; i < m_attempts.size(); ++i)
      Resolve(i, Decisions::VerdictOfCut(), Decisions::kReleasesOnCut);
    // Retries that were started on the way are delivered as well.
    while (!m_network.empty()) Deliver(0, false);
    for (std::size_t i = 0; i < kAgents; ++i) {
      while (!m_agents[i].admitted.empty()) Forward(i, 0);
      while (!m_agents[i].forwarded.empty()) Complete(i, 1);
      if (m_agents[i].gate->outstanding() != 0) return "an agent has requests left";
    }
    while (!m_answers.empty()) DeliverAnswer(0);
    m_network.clear();
    for (std::size_t i = 0; i < m_attempts.size(); ++i) {
      if (!m_attempts[i].is_resolved) Resolve(i, Verdict::kMayHaveRun, true);
    }
    for (const auto& state : m_states) {
      if (state->outstanding() != 0) return "an entry has outstanding requests left";
    }
    return FindFault();
  }

  std::int64_t m_ms = 0;
  Incarnation m_last_incarnation = 0;
  Incarnation m_entry_incarnation = 1'000'000;
  std::uint64_t m_last_number = 0;
  std::mt19937_64 m_random{5};
  RetryBudget m_budget{{.percent = 100, .min_retries_per_second = 10}, At(0)};
  WorkerRegistry m_workers;
  std::unique_ptr<const RoutingTable> m_table = std::make_unique<RoutingTable>(TableOptions());
  std::vector<std::shared_ptr<EndpointState>> m_states;
  std::array<Agent, kAgents> m_agents;
  std::vector<Request> m_requests;
  std::vector<Attempt> m_attempts;
  std::vector<std::size_t> m_network;                      ///< attempts whose message is under way
  std::vector<std::pair<std::size_t, Verdict>> m_answers;  ///< under way to the entry
};

template <typename Decisions>
void CheckHistory() {
  // Requests and their deliveries are more frequent than faults, so that histories get somewhere.
  const auto action = rc::gen::weightedElement<Action>({{8, Action::kSend},
                                                        {10, Action::kDeliver},
                                                        {2, Action::kRepeat},
                                                        {10, Action::kForward},
                                                        {8, Action::kComplete},
                                                        {10, Action::kDeliverAnswer},
                                                        {2, Action::kCut},
                                                        {2, Action::kGiveUp},
                                                        {1, Action::kRestartAgent},
                                                        {8, Action::kHeartbeat},
                                                        {3, Action::kPassTime},
                                                        {1, Action::kLeaveEndpoint},
                                                        {1, Action::kReplaceEndpoint},
                                                        {1, Action::kRestartEntry}});
  const auto steps = *rc::gen::scale(
      10.0, rc::gen::container<std::vector<Step>>(rc::gen::construct<Step>(
                action, rc::gen::noShrink(rc::gen::resize(100, rc::gen::inRange<std::size_t>(0, 1000))))));
  const std::optional<std::string> fault = RequestHistory<Decisions>().Run(steps);
  if (fault) RC_FAIL(*fault);
}

/// Checks many histories, because some faults need several rare steps in a row. Prints the history that fails, if
/// `is_expected` is what the check should return and it returns something else.
template <typename Decisions>
bool HistoryHolds(bool is_expected) {
  rc::detail::TestParams params = rc::detail::configuration().testParams;
  params.maxSuccess = 3000;
  params.disableShrinking = !is_expected;
  const rc::detail::TestResult result =
      rc::detail::checkTestable(CheckHistory<Decisions>, rc::detail::TestMetadata(), params);
  const bool holds = result.template is<rc::detail::SuccessResult>();
  if (is_expected && !holds) rc::detail::printResultMessage(result, std::cerr);
  return holds;
}

/// Broken: forgets a request after `kMemory` later ones and does not keep a floor.
template <std::size_t kMemory>
class ForgetfulGate {
 public:
  explicit ForgetfulGate(AgentRequestGate::Options options)
      : m_gate({.agent_incarnation = options.agent_incarnation, .max_ended = 100'000}) {}

  GateAnswer Admit(GateRequest request, const EndpointRegistry& endpoints, MonotonicTime now) {
    request.id = InnerId(request.id, true);
    return m_gate.Admit(request, endpoints, now);
  }
  GateAnswer BeginForward(const RequestId& id, MonotonicTime now) {
    return m_gate.BeginForward(InnerId(id, false), now);
  }
  GateAnswer Abandon(const RequestId& id) { return m_gate.Abandon(InnerId(id, true)); }
  Verdict Complete(const RequestId& id, ForwardResult result) { return m_gate.Complete(InnerId(id, false), result); }
  int OutstandingOf(const ServiceId& service, const std::string& address, Incarnation incarnation) const {
    return m_gate.OutstandingOf(service, address, incarnation);
  }
  std::size_t outstanding() const { return 0; }

 private:
  /// Requests that are not remembered get a new id, under which the real gate does not know them.
  RequestId InnerId(const RequestId& id, bool forgets) {
    if (!m_inner.contains(id)) {
      m_inner[id] = FormatRequestId({.entry_incarnation = 1, .number = ++m_last_number});
      m_order.push_back(id);
    }
    const RequestId inner = m_inner[id];
    while (forgets && m_order.size() > kMemory + 1) {
      m_inner.erase(m_order.front());
      m_order.pop_front();
    }
    return inner;
  }

  AgentRequestGate m_gate;
  std::uint64_t m_last_number = 0;
  std::map<RequestId, RequestId> m_inner;
  std::deque<RequestId> m_order;
};

/// Broken: says `not run` of every abandoned request, forwarded or not.
class OptimisticGate : public AgentRequestGate {
 public:
  using AgentRequestGate::AgentRequestGate;

  GateAnswer Abandon(const RequestId& id) {
    AgentRequestGate::Abandon(id);
    return {.reason = GateReason::kAbandoned, .verdict = Verdict::kNotRun};
  }
};

/// Broken: admits one request more than there are slots.
class GenerousGate : public AgentRequestGate {
 public:
  using AgentRequestGate::AgentRequestGate;

  GateAnswer Admit(const GateRequest& request, const EndpointRegistry& endpoints, MonotonicTime now) {
    EndpointRegistry larger({});
    for (const EndpointRecord* record : endpoints.Live(now)) {
      EndpointAnnouncement announcement = record->last;
      ++announcement.slots;
      larger.Apply(announcement, now);
    }
    return AgentRequestGate::Admit(request, larger, now);
  }
};

/// Broken: keeps the slot of a request that could not be sent.
class LeakingGate : public AgentRequestGate {
 public:
  using AgentRequestGate::AgentRequestGate;

  Verdict Complete(const RequestId& id, ForwardResult result) {
    if (result == ForwardResult::kNotSent) return Verdict::kNotRun;
    return AgentRequestGate::Complete(id, result);
  }
};

/// Broken: takes a request that was meant for the former agent process.
class IndifferentGate : public AgentRequestGate {
 public:
  explicit IndifferentGate(Options options) : AgentRequestGate(options), m_incarnation(options.agent_incarnation) {}

  GateAnswer Admit(GateRequest request, const EndpointRegistry& endpoints, MonotonicTime now) {
    request.agent_incarnation = m_incarnation;
    return AgentRequestGate::Admit(request, endpoints, now);
  }

 private:
  Incarnation m_incarnation;
};

template <typename BrokenGate>
struct WithGate : SoundDecisions {
  using Gate = BrokenGate;
};

/// Broken: only the last attempt counts.
struct ForgetfulVerdicts : SoundDecisions {
  static Verdict Combine(Verdict, Verdict latest) { return latest; }
};

/// Broken: takes a broken stream for a refusal.
struct HopefulCuts : SoundDecisions {
  static Verdict VerdictOfCut() { return Verdict::kNotRun; }
};

/// Broken: a broken stream keeps its reservation.
struct LeakingCuts : SoundDecisions {
  static constexpr bool kReleasesOnCut = false;
};

// Guards against a second run of a request that is not idempotent, against `not run` for a request that ran or runs
// later, against more requests than slots, and against counts that do not return to zero.
TEST_CASE("requests keep their verdicts in any history", "[history]") { CHECK(HistoryHolds<SoundDecisions>(true)); }

// Guards against a check that would pass whatever the decisions do.
TEST_CASE("the check of histories catches broken decisions", "[history]") {
  CHECK_FALSE(HistoryHolds<WithGate<ForgetfulGate<0>>>(false));
  CHECK_FALSE(HistoryHolds<WithGate<ForgetfulGate<kRemembered>>>(false));
  CHECK_FALSE(HistoryHolds<WithGate<OptimisticGate>>(false));
  CHECK_FALSE(HistoryHolds<WithGate<GenerousGate>>(false));
  CHECK_FALSE(HistoryHolds<WithGate<LeakingGate>>(false));
  CHECK_FALSE(HistoryHolds<WithGate<IndifferentGate>>(false));
  CHECK_FALSE(HistoryHolds<ForgetfulVerdicts>(false));
  CHECK_FALSE(HistoryHolds<HopefulCuts>(false));
  CHECK_FALSE(HistoryHolds<LeakingCuts>(false));
}

}  // namespace
}  // namespace berylgauge
