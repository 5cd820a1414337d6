#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>

#include <memory>
#include <string>

#include "daemon/entry/claim_coordinator.h"
#include "daemon/entry/idempotency_claims.h"
#include "daemon/streams/fold_target.h"

namespace berylgauge {

class Clock;
class LogClient;
class StreamFollower;
class StreamWriter;

struct ClaimsStreamOptions {
  std::string stream;
  ClaimCoordinatorOptions coordinator;
  /// Least time between two appends. With 2 streams, 8 entries that claim without a pause make 800 appends a second,
  /// and a claim on an idle stream is appended at once.
  absl::Duration append_interval = absl::Milliseconds(20);
};

/// Reads and writes one `claims-K` stream for this entry.
class ClaimsStream final : public FoldTarget {
 public:
  ClaimsStream(LogClient& log, const Clock& clock, ClaimsStreamOptions options,
               ClaimCoordinator::IsEntryLive is_entry_live);
  ~ClaimsStream() override;

  void Claim(const ClaimRequest& request, IdempotencyClaims::Callback callback);
  void Finish(const KeyOutcome& outcome);
  void Release(const ClaimKey& key, const RequestId& request);

  /// Deals with what has become due; call it every few milliseconds.
  void Advance();

  /// True if every record has been appended.
  bool IsIdle() const;

  /// True if every claim of the window is known.
  bool IsComplete() const;

  // FoldTarget, called by the follower.
  Offset Position() const override;
  void Apply(const Batch& batch, Offset offset) override;
  void Skip(Offset offset) override;
  Result<void> Restore(const nlohmann::json& snapshot) override;

 private:
  void AppendRecords();
  void DeliverAnswers();

  const Clock& m_clock;
  const ClaimsStreamOptions m_options;
  mutable absl::Mutex m_mutex;
  ClaimCoordinator m_coordinator ABSL_GUARDED_BY(m_mutex);
  absl::flat_hash_map<RequestId, IdempotencyClaims::Callback> m_callbacks ABSL_GUARDED_BY(m_mutex);
  bool m_is_appending ABSL_GUARDED_BY(m_mutex) = false;
  bool m_is_stopping ABSL_GUARDED_BY(m_mutex) = false;
  MonotonicTime m_next_append ABSL_GUARDED_BY(m_mutex) = InfinitePast();
  std::unique_ptr<StreamWriter> m_writer;
  std::unique_ptr<StreamFollower> m_follower;
};

}  // namespace berylgauge
