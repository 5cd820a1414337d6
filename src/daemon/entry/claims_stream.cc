#include "daemon/entry/claims_stream.h"

#include <utility>
#include <vector>

#include "base/clock.h"
#include "daemon/streams/stream_follower.h"
#include "daemon/streams/stream_writer.h"
#include "state/batch.h"

namespace berylgauge {
namespace {

/// 200 outcomes with the largest kept answer stay below the largest payload of an append.
constexpr std::size_t kMaxRecordsPerAppend = 200;
static_assert(kMaxRecordsPerAppend * (kMaxKeptAnswerBytes + 1024) <= kMaxBatchBytes);

/// Batches read at the start: more than 8 entries append within a window of 32 steps of a minute, at 50 a second each.
constexpr Offset kTailBatches = 800'000;

}  // namespace

ClaimsStream::ClaimsStream(LogClient& log, const Clock& clock, ClaimsStreamOptions options,
                           ClaimCoordinator::IsEntryLive is_entry_live)
    : m_clock(clock),
      m_options(std::move(options)),
      m_coordinator(m_options.coordinator, std::move(is_entry_live), clock.Now()),
      m_writer(std::make_unique<StreamWriter>(log,
                                              StreamWriterOptions{.stream = m_options.stream,
                                                                  .writer = m_options.coordinator.entry.value(),
                                                                  .incarnation = m_options.coordinator.incarnation},
                                              [this] { return Position(); })),
      m_follower(std::make_unique<StreamFollower>(
          log, clock, *this, StreamFollowerOptions{.stream = m_options.stream, .tail_records = kTailBatches})) {}

ClaimsStream::~ClaimsStream() {
  {
    const absl::MutexLock lock(&m_mutex);
    m_is_stopping = true;
  }
  m_follower.reset();
  m_writer.reset();
}

void ClaimsStream::Claim(const ClaimRequest& request, IdempotencyClaims::Callback callback) {
  const TailProof proof = m_follower->TailProofNow();
  const MonotonicTime now = m_clock.Now();
  {
    const absl::MutexLock lock(&m_mutex);
    m_callbacks.emplace(request.request, std::move(callback));
    m_coordinator.Claim(request, proof, now);
  }
  AppendRecords();
  DeliverAnswers();
}

void ClaimsStream::Finish(const KeyOutcome& outcome) {
  {
    const absl::MutexLock lock(&m_mutex);
    m_coordinator.Finish(outcome);
  }
  AppendRecords();
}

void ClaimsStream::Release(const ClaimKey& key, const RequestId& request) {
  {
    const absl::MutexLock lock(&m_mutex);
    m_coordinator.Release(key, request);
  }
  AppendRecords();
}

void ClaimsStream::Advance() {
  {
    const absl::MutexLock lock(&m_mutex);
    m_coordinator.Advance(m_clock.Now());
  }
  AppendRecords();
  DeliverAnswers();
}

bool ClaimsStream::IsIdle() const {
  const absl::MutexLock lock(&m_mutex);
  return !m_is_appending && !m_coordinator.HasRecords();
}

bool ClaimsStream::IsComplete() const {
  const absl::MutexLock lock(&m_mutex);
  return m_coordinator.state().IsComplete();
}

Offset ClaimsStream::Position() const {
  const absl::MutexLock lock(&m_mutex);
  return m_coordinator.state().offset();
}

void ClaimsStream::Apply(const Batch& batch, Offset offset) {
  {
    const absl::MutexLock lock(&m_mutex);
    m_coordinator.Fold(batch, offset, m_clock.Now());
  }
  AppendRecords();
  DeliverAnswers();
}

void ClaimsStream::Skip(Offset offset) {
  // A batch that cannot be decoded and records that are no longer retained look the same here; both may have held a
  // claim, so the window begins anew.
  {
    const absl::MutexLock lock(&m_mutex);
    m_coordinator.SkipTo(offset, m_clock.Now());
  }
  DeliverAnswers();
}

Result<void> ClaimsStream::Restore(const nlohmann::json& /*snapshot*/) {
  return NotRun(FailureCode::kInternal, "the claims streams have no snapshots");
}

void ClaimsStream::AppendRecords() {
  std::vector<nlohmann::json> records;
  {
    const MonotonicTime now = m_clock.Now();
    const absl::MutexLock lock(&m_mutex);
    if (m_is_appending || m_is_stopping || now < m_next_append || !m_coordinator.HasRecords()) return;
    records = m_coordinator.TakeRecords(kMaxRecordsPerAppend);
    m_is_appending = true;
    m_next_append = now + m_options.append_interval;
  }
  m_writer->Append(std::move(records), [this](const Result<Offset>&) {
    const absl::MutexLock lock(&m_mutex);
    m_is_appending = false;
  });
}

void ClaimsStream::DeliverAnswers() {
  std::vector<std::pair<IdempotencyClaims::Callback, ClaimAnswer>> answers;
  {
    const absl::MutexLock lock(&m_mutex);
    for (ClaimCoordinator::Answer& answer : m_coordinator.TakeAnswers()) {
      auto node = m_callbacks.extract(answer.request);
      if (!node.empty()) answers.emplace_back(std::move(node.mapped()), std::move(answer.answer));
    }
  }
  for (auto& [callback, answer] : answers) callback(std::move(answer));
}

}  // namespace berylgauge
