#include "daemon/entry/claims_streams.h"

#include <utility>

#include "base/stable_hash.h"
#include "daemon/common/periodic_thread.h"
#include "daemon/entry/claims_stream.h"

namespace berylgauge {
namespace {

/// Bounds the delay of a batch and the error of a deadline.
constexpr absl::Duration kTickInterval = absl::Milliseconds(5);

}  // namespace

ClaimsStreams::ClaimsStreams() = default;

ClaimsStreams::~ClaimsStreams() { Stop(); }

void ClaimsStreams::Start(LogClient& log, const Clock& clock, const ClaimCoordinatorOptions& options,
                          const ClaimCoordinator::IsEntryLive& is_entry_live) {
  StreamList streams;
  for (int i = 0; i < kClaimsStreams; ++i) {
    streams.push_back(std::make_shared<ClaimsStream>(
        log, clock, ClaimsStreamOptions{.stream = "claims-" + std::to_string(i), .coordinator = options},
        is_entry_live));
  }
  {
    const absl::MutexLock lock(&m_mutex);
    m_streams = std::move(streams);
  }
  m_ticker = std::make_unique<PeriodicThread>(kTickInterval, [this] {
    for (const std::shared_ptr<ClaimsStream>& stream : Streams()) stream->Advance();
  });
}

void ClaimsStreams::Stop() {
  m_ticker.reset();
  StreamList streams;
  {
    const absl::MutexLock lock(&m_mutex);
    streams.swap(m_streams);
  }
  // The streams end here, without the lock, because their last callbacks may release a claim.
}

void ClaimsStreams::Claim(const ClaimRequest& request, Callback callback) {
  if (const std::shared_ptr<ClaimsStream> stream = StreamOf(request.key)) {
    stream->Claim(request, std::move(callback));
    return;
  }
  callback({.result = ClaimResult::kNotRun, .reason = "the claims are not read", .outcome = {}});
}

void ClaimsStreams::Finish(const KeyOutcome& outcome) {
  if (const std::shared_ptr<ClaimsStream> stream = StreamOf(outcome.key)) stream->Finish(outcome);
}

void ClaimsStreams::Release(const ClaimKey& key, const RequestId& request) {
  if (const std::shared_ptr<ClaimsStream> stream = StreamOf(key)) stream->Release(key, request);
}

bool ClaimsStreams::IsIdle() const {
  for (const std::shared_ptr<ClaimsStream>& stream : Streams()) {
    if (!stream->IsIdle()) return false;
  }
  return true;
}

std::shared_ptr<ClaimsStream> ClaimsStreams::StreamOf(const ClaimKey& key) const {
  const std::uint64_t hash = StableHash64(key.service.value() + "/" + key.digest);
  const absl::MutexLock lock(&m_mutex);
  return m_streams.empty() ? nullptr : m_streams[hash % m_streams.size()];
}

ClaimsStreams::StreamList ClaimsStreams::Streams() const {
  const absl::MutexLock lock(&m_mutex);
  return m_streams;
}

}  // namespace berylgauge
