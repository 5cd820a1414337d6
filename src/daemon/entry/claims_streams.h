#pragma once

#include <absl/synchronization/mutex.h>

#include <memory>
#include <string>
#include <vector>

#include "daemon/entry/claim_coordinator.h"
#include "daemon/entry/idempotency_claims.h"

namespace berylgauge {

class ClaimsStream;
class Clock;
class LogClient;
class PeriodicThread;

/// Number of `claims-K` streams. All entries of an installation must agree on it.
inline constexpr int kClaimsStreams = 2;

/// The idempotency claims of an entry, divided among the `claims-K` streams by the hash of the key.
class ClaimsStreams final : public IdempotencyClaims {
 public:
  ClaimsStreams();
  ~ClaimsStreams() override;

  /// Begins to read the streams. Before that every claim is refused with `kNotRun`.
  void Start(LogClient& log, const Clock& clock, const ClaimCoordinatorOptions& options,
             const ClaimCoordinator::IsEntryLive& is_entry_live);

  /// Ends the threads; from then on claims are refused and outcomes dropped.
  void Stop();

  void Claim(const ClaimRequest& request, Callback callback) override;
  void Finish(const KeyOutcome& outcome) override;
  void Release(const ClaimKey& key, const RequestId& request) override;

  /// True if every outcome and release has been appended.
  bool IsIdle() const;

 private:
  using StreamList = std::vector<std::shared_ptr<ClaimsStream>>;

  /// The stream of a key; nullptr before `Start` and after `Stop`.
  std::shared_ptr<ClaimsStream> StreamOf(const ClaimKey& key) const;
  StreamList Streams() const;

  mutable absl::Mutex m_mutex;
  StreamList m_streams ABSL_GUARDED_BY(m_mutex);
  std::unique_ptr<PeriodicThread> m_ticker;
};

}  // namespace berylgauge
