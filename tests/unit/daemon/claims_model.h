#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "daemon/entry/claim_coordinator.h"
#include "state/batch.h"

namespace berylgauge {

/// Faults built into the model, to show that its checks can fail.
struct ClaimsModelFaults {
  bool restart_as_complete = false;  ///< a restarted entry takes what it did not read for free
  bool read_own_first = false;       ///< an entry reads its own batch before those that precede it in the log
  bool drop_releases = false;        ///< releases never reach the log
};

/// Several entries with one log of claims, callers that repeat their requests, and faults, in random order.
///
/// Random choices come from rapidcheck. Each operation may add a line to `problems`.
class ClaimsModel {
 public:
  explicit ClaimsModel(ClaimsModelFaults faults);
  ~ClaimsModel();

  /// One random step.
  void Step();

  /// Lets everything in flight arrive, and checks that each request was answered and that free keys can be claimed.
  void Settle();

  const std::vector<std::string>& problems() const { return m_problems; }

  // How much happened, so that a test can tell that it tried what it claims to.
  int executions() const { return m_executions; }
  int followers() const { return m_followers; }

 private:
  struct Entry;
  struct Caller {
    ClaimKey key;
    std::size_t entry = 0;
    MonotonicTime deadline;
    bool is_answered = false;
    bool is_granted = false;
    bool is_lost = false;  ///< its entry crashed
  };

  void RepeatRequest();
  RequestId Claim(std::size_t entry, const ClaimKey& key, const std::string& content, absl::Duration timeout);
  void TakeBatch(Entry& entry);
  void Append(const Batch& batch);
  void AppendInFlight(Entry& entry);
  void AppendOrphan();
  void Read(Entry& entry);
  void EndGranted();
  void End(const RequestId& request, int result);
  void Crash(std::size_t index);
  void CollectAnswers(Entry& entry);
  void CheckAgreement(const Entry& entry);
  void NoteExecution(const ClaimKey& key);
  std::unique_ptr<ClaimCoordinator> MakeCoordinator(std::size_t index, Incarnation incarnation);

  const ClaimsModelFaults m_faults;
  MonotonicTime m_now;
  std::vector<Batch> m_log;
  ClaimsState m_oracle;
  std::vector<std::map<std::string, std::string>> m_winners;  ///< by offset: holder's request id by digest of the key
  std::vector<std::unique_ptr<Entry>> m_entries;
  std::vector<Batch> m_orphans;  ///< of crashed entries, still on their way
  std::map<RequestId, Caller> m_callers;
  std::map<RequestId, Caller> m_granted;
  std::map<std::string, MonotonicTime> m_last_execution;  ///< by digest of the key
  std::set<std::string> m_touched_by_crash;               ///< keys that a crashed entry may hold
  Incarnation m_next_incarnation = 1;
  int m_next_request = 0;
  int m_executions = 0;
  int m_followers = 0;
  std::vector<std::string> m_problems;
};

}  // namespace berylgauge
