#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstddef>
#include <deque>
#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/ids.h"
#include "base/monotonic_time.h"
#include "daemon/entry/idempotency_claims.h"
#include "daemon/streams/tail_proof.h"
#include "state/claims_state.h"

namespace berylgauge {

struct Batch;

struct ClaimCoordinatorOptions {
  EntryId entry;
  Incarnation incarnation = 0;
  absl::Duration freshness = absl::Seconds(2);      ///< greatest age of the tail proof with which a key is claimed
  absl::Duration claim_timeout = absl::Seconds(2);  ///< longest time between a claim and its reading back
  absl::Duration step_interval = absl::Minutes(1);  ///< least time between two steps of the window
  absl::Duration liveness_interval = absl::Milliseconds(250);  ///< between two checks of the entries waited for
  std::size_t max_waiting = 10'000;                            ///< requests without an answer
  ClaimsState::Options state;
};

/// One entry's part in the claims of one `claims-K` stream: appends claims, follows those of others and answers the
/// requests that wait. Does no I/O. Not thread-safe.
///
/// A request is granted its key only when the fold has accepted the entry's own claim of it, so the order of the log
/// decides, whatever this entry believes. A claim that is not read back in time is either withdrawn, if it was not
/// handed to the log, or followed by a release.
class ClaimCoordinator {
 public:
  using IsEntryLive = std::function<bool(const EntryId& entry, Incarnation incarnation, MonotonicTime now)>;

  struct Answer {
    RequestId request;
    ClaimAnswer answer;
  };

  ClaimCoordinator(ClaimCoordinatorOptions options, IsEntryLive is_entry_live, MonotonicTime now);

  /// Begins a request; its answer is given by `TakeAnswers`, at once or later.
  void Claim(const ClaimRequest& request, const TailProof& proof, MonotonicTime now);

  /// Ends a granted request.
  void Finish(const KeyOutcome& outcome);
  void Release(const ClaimKey& key, const RequestId& request);

  /// Folds the batch at `offset` and answers the requests that it decides.
  void Fold(const Batch& batch, Offset offset, MonotonicTime now);

  /// Goes on after `offset` without the records up to it.
  void SkipTo(Offset offset, MonotonicTime now);

  /// Deals with what has become due; call it every few milliseconds.
  void Advance(MonotonicTime now);

  /// Removes up to `max_records` records that are to be appended in one batch. Call it only when the former ones have
  /// been appended, because what was handed over cannot be withdrawn.
  std::vector<nlohmann::json> TakeRecords(std::size_t max_records);

  std::vector<Answer> TakeAnswers() { return std::exchange(m_answers, {}); }

  bool HasRecords() const { return !m_records.empty(); }
  const ClaimsState& state() const { return m_state; }

 private:
  enum class Phase {
    kQueued,     ///< the claim has not been handed to the log
    kAppended,   ///< the claim may reach the log
    kFollowing,  ///< another request holds the key
  };

  struct Waiting {
    ClaimRequest request;
    Phase phase = Phase::kQueued;
    MonotonicTime claim_deadline;
  };

  struct QueuedRecord {
    nlohmann::json record;
    RequestId claim;  ///< empty unless it is a claim
  };

  using WaitingMap = absl::flat_hash_map<RequestId, Waiting>;

  /// What became of a waiting request: an answer, or nothing if it goes on waiting.
  std::optional<ClaimAnswer> Decide(Waiting& waiting, MonotonicTime now);
  std::optional<ClaimAnswer> DecideHeld(Waiting& waiting, const HeldClaim& held, MonotonicTime now);
  std::optional<ClaimAnswer> Expire(const Waiting& waiting, MonotonicTime now) const;
  void Update(const RequestId& request, MonotonicTime now);
  void Close(WaitingMap::iterator it, ClaimAnswer answer);
  void UpdateWaitingFor(const ClaimKey& key, MonotonicTime now);
  void EnqueueClaim(Waiting& waiting, MonotonicTime now);
  void Enqueue(const ClaimsRecord& record, const RequestId& claim = {});
  void Withdraw(const Waiting& waiting);
  static void Follow(Waiting& waiting);
  void StepWindow(MonotonicTime now);

  const ClaimCoordinatorOptions m_options;
  const IsEntryLive m_is_entry_live;
  ClaimsState m_state;
  WaitingMap m_waiting;
  absl::flat_hash_map<ClaimKey, std::vector<RequestId>> m_waiting_by_key;
  std::deque<QueuedRecord> m_records;
  std::vector<Answer> m_answers;
  MonotonicTime m_last_step;
  MonotonicTime m_next_liveness_check;
  bool m_is_step_pending = false;
};

}  // namespace berylgauge
