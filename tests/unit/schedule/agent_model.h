#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <ostream>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "schedule/attempt_table.h"

namespace berylgauge::testing {

/// Deliberate faults of the agent under test; each must be caught by a check of `AgentModel`.
enum class AgentFault {
  kNone,
  kSkipsLedger,         ///< admits without regard to the capacity
  kForgetsTombstones,   ///< starts what it refused, withdrew or saw end before
  kIgnoresProofAge,     ///< treats every proof as taken now
  kIgnoresDrain,        ///< treats every standing as open
  kRepeatsStart,        ///< passes a start with an unknown result to the worker again
  kIgnoresIncarnation,  ///< admits commands for other incarnations
  kIgnoresGrace,        ///< renews without regard to the outage grace
  kIgnoresSettling,     ///< trusts the first report after its start
  kHastyLoss,           ///< takes an uncertain start for lost at the first report without it
  kDropsEnded,          ///< stops reporting an ended attempt before it was acknowledged
  kIgnoresExcess,       ///< keeps running what no longer fits
  kIgnoresResults,      ///< does not take back the results of calls
  kSkipsRenewals,       ///< renews no lease
};

enum class StepKind {
  kStart,
  kRepeat,  ///< of any earlier command, also of those for former agents
  kWithdraw,
  kStop,
  kTakeCommands,
  kDeliverCall,
  kRequestReport,
  kDeliverReport,
  kRestartAgent,
  kRebootWorker,
  kAdvance,
  kHeartbeat,
  kChangeStanding,
  kChangeCapacity,
  kFinishTask,
  kGrowTask,
  kAcknowledge,
  kCount,
};

struct Step {
  StepKind kind = StepKind::kAdvance;
  std::uint32_t a = 0;
  std::uint32_t b = 0;
};

std::ostream& operator<<(std::ostream& out, const Step& step);

/// Random steps in useful proportions.
std::vector<Step> RandomSteps(std::mt19937_64& random, std::size_t count);
Step MakeStep(std::uint32_t kind_draw, std::uint32_t a, std::uint32_t b);

/// A worker, an agent and owners in one process with a simulated clock and lossy calls.
///
/// The model knows what really happens at the worker and compares it with what the agent does and answers. Calls take
/// effect at most `kCallLimit` after they were sent, which is what the settling times of the agent rest on.
class AgentModel {
 public:
  explicit AgentModel(AgentFault fault);
  ~AgentModel();

  /// Carries out one step and all checks. Returns the first violation, or nothing.
  std::optional<std::string> Run(const Step& step);

  /// Lets everything come to rest without faults, then checks that nothing is stuck.
  std::optional<std::string> Settle();

  const std::set<std::string>& violations() const { return m_violations; }
  std::size_t started_count() const { return m_ran.size(); }
  std::size_t refused_count() const { return m_refused; }

 private:
  struct Call {
    WorkerCommand command;
    Incarnation agent = 0;
    MonotonicTime limit;
    bool has_effect = false;  ///< the effect is still to come
    bool has_result = false;  ///< the result is still to come
  };
  struct Running {
    WorkerTask task;
    MonotonicTime lease_until;
  };
  struct HeldReport {
    WorkerReport report;
    MonotonicTime requested_at;
  };
  struct Standing {
    MonotonicTime since;
    ConfigVersion version = 0;
    WorkerStanding standing;
  };

  void NewAgent();
  void Restart();
  void Start(const Step& step);
  void SendStart(const StartCommand& command);
  void SendEnd(const Step& step, bool stop);
  void TakeCommands(std::uint32_t draw);
  void Dispatch(const WorkerCommand& command, std::uint32_t draw);
  void CheckCommand(const WorkerCommand& command);
  void Resolve(std::size_t index, bool execute);
  Result<void> Execute(const WorkerCommand& command);
  void GiveResult(const Call& call, const Result<void>& result);
  void DeliverReport();
  void DeliverToAgent(const WorkerReport& report, MonotonicTime requested_at);
  void Advance(absl::Duration duration);
  void Heartbeat(absl::Duration age);
  void ChangeStanding(std::uint32_t draw);
  void Acknowledge(std::uint32_t draw);
  void Check();
  void CheckBookings();
  void CheckEnded();
  std::optional<std::string> Violation() const;
  void Fail(const std::string& what);
  Resources TrueUse() const;
  WorkerReport MakeReport() const;

  AgentFault m_fault;
  std::string m_first_violation;
  std::set<std::string> m_violations;
  bool m_healthy = false;  ///< nothing has failed for longer than a lease
  MonotonicTime m_now;

  // The worker.
  std::map<AttemptKey, Running> m_worker;
  Resources m_capacity;
  int m_boot = 1;

  // The agent and its calls.
  std::unique_ptr<AttemptTable> m_agent;
  Incarnation m_incarnation = 0;
  std::deque<Call> m_calls;
  std::deque<HeldReport> m_reports;
  MonotonicTime m_latest_proof = InfinitePast();
  Resources m_reported_capacity;
  std::vector<WorkerCommand> m_extra_commands;  ///< of a faulty agent
  std::set<AttemptKey> m_unacknowledged;

  // Owners and operators.
  std::vector<Standing> m_standings;
  std::vector<StartCommand> m_commands;
  Offset m_next_offset = 0;

  // What is known to have happened.
  std::map<AttemptKey, int> m_handed;
  std::map<AttemptKey, Resources> m_declared;
  std::set<AttemptKey> m_ran;
  std::set<AttemptKey> m_not_run;
  std::set<AttemptKey> m_over;  ///< answered or reported as ended
  std::set<AttemptKey> m_admitted;
  std::size_t m_refused = 0;
};

}  // namespace berylgauge::testing
