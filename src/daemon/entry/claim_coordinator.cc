#include "daemon/entry/claim_coordinator.h"

#include <algorithm>

#include "state/batch.h"

namespace berylgauge {
namespace {

ClaimAnswer NotRunAnswer(std::string reason) {
  return {.result = ClaimResult::kNotRun, .reason = std::move(reason), .outcome = {}};
}

ClaimAnswer MayHaveRunAnswer(std::string reason) {
  return {.result = ClaimResult::kMayHaveRun, .reason = std::move(reason), .outcome = {}};
}

}  // namespace

ClaimCoordinator::ClaimCoordinator(ClaimCoordinatorOptions options, IsEntryLive is_entry_live, MonotonicTime now)
    : m_options(std::move(options)),
      m_is_entry_live(std::move(is_entry_live)),
      m_state(m_options.state),
      m_last_step(now),
      m_next_liveness_check(now) {}

void ClaimCoordinator::Claim(const ClaimRequest& request, const TailProof& proof, MonotonicTime now) {
  const auto refuse = [&](std::string reason) {
    m_answers.push_back({.request = request.request, .answer = NotRunAnswer(std::move(reason))});
  };
  if (now - proof.at > m_options.freshness) return refuse("the log of claims cannot be read at present");
  if (!m_state.IsComplete()) return refuse("this entry has not read the claims of a whole window yet");
  if (m_waiting.size() >= m_options.max_waiting) return refuse("too many requests wait for their claims");
  const auto [it, is_new] = m_waiting.try_emplace(
      request.request, Waiting{.request = request, .phase = Phase::kFollowing, .claim_deadline = InfiniteFuture()});
  if (!is_new) return refuse("the request id is in use");
  m_waiting_by_key[request.key].push_back(request.request);
  Update(request.request, now);
}

void ClaimCoordinator::Finish(const KeyOutcome& outcome) { Enqueue(outcome); }

void ClaimCoordinator::Release(const ClaimKey& key, const RequestId& request) {
  Enqueue(KeyReleased{.key = key, .request = request});
}

void ClaimCoordinator::Fold(const Batch& batch, Offset offset, MonotonicTime now) {
  const std::vector<ClaimsEffect> effects = m_state.Apply(batch, offset);
  for (const ClaimsEffect& effect : effects) {
    if (effect.is_step) {
      m_last_step = now;
      continue;
    }
    if (effect.key.digest.empty()) continue;
    const bool is_refused = effect.outcome == FoldOutcome::kStaleEpoch || effect.outcome == FoldOutcome::kOverLimit;
    const auto own = effect.is_claim ? m_waiting.find(effect.request) : m_waiting.end();
    if (own != m_waiting.end() && is_refused) {
      Close(own, NotRunAnswer("the claim was refused: " + std::string(kFoldOutcomeNames.NameOf(effect.outcome))));
    } else if (own != m_waiting.end() && effect.outcome == FoldOutcome::kWrongState) {
      Follow(own->second);
    }
    UpdateWaitingFor(effect.key, now);
  }
}

void ClaimCoordinator::SkipTo(Offset offset, MonotonicTime now) {
  m_state.SkipTo(offset);
  Advance(now);
}

void ClaimCoordinator::Advance(MonotonicTime now) {
  const bool is_check_due = now >= m_next_liveness_check;
  if (is_check_due) m_next_liveness_check = now + m_options.liveness_interval;
  std::vector<RequestId> due;
  for (const auto& [request, waiting] : m_waiting) {
    const bool is_late = now >= waiting.request.deadline || now >= waiting.claim_deadline;
    if (is_late || !m_state.IsComplete() || (is_check_due && waiting.phase == Phase::kFollowing)) {
      due.push_back(request);
    }
  }
  for (const RequestId& request : due) Update(request, now);
  StepWindow(now);
}

void ClaimCoordinator::StepWindow(MonotonicTime now) {
  if (m_is_step_pending || now - m_last_step < m_options.step_interval) return;
  m_is_step_pending = true;
  // Should this step be lost to an earlier one, the next attempt is an interval away.
  m_last_step = now;
  Enqueue(WindowStep{.at = m_state.offset()});
}

std::vector<nlohmann::json> ClaimCoordinator::TakeRecords(std::size_t max_records) {
  std::vector<nlohmann::json> records;
  while (!m_records.empty() && records.size() < max_records) {
    QueuedRecord& next = m_records.front();
    if (const auto it = m_waiting.find(next.claim); it != m_waiting.end()) it->second.phase = Phase::kAppended;
    if (next.record["t"] == "step") m_is_step_pending = false;
    records.push_back(std::move(next.record));
    m_records.pop_front();
  }
  return records;
}

void ClaimCoordinator::Enqueue(const ClaimsRecord& record, const RequestId& claim) {
  m_records.push_back({.record = EncodeClaimsRecord(record), .claim = claim});
}

void ClaimCoordinator::EnqueueClaim(Waiting& waiting, MonotonicTime now) {
  waiting.phase = Phase::kQueued;
  waiting.claim_deadline = now + m_options.claim_timeout;
  Enqueue(KeyClaimed{.key = waiting.request.key,
                     .request_digest = waiting.request.request_digest,
                     .entry = m_options.entry,
                     .entry_incarnation = m_options.incarnation,
                     .request = waiting.request.request},
          waiting.request.request);
}

void ClaimCoordinator::Withdraw(const Waiting& waiting) {
  if (waiting.phase == Phase::kFollowing) return;
  if (waiting.phase == Phase::kQueued) {
    std::erase_if(m_records, [&](const QueuedRecord& queued) { return queued.claim == waiting.request.request; });
    return;
  }
  // The claim may take effect later. The release follows it in the log, so the key can be claimed again.
  Release(waiting.request.key, waiting.request.request);
}

void ClaimCoordinator::UpdateWaitingFor(const ClaimKey& key, MonotonicTime now) {
  const auto it = m_waiting_by_key.find(key);
  if (it == m_waiting_by_key.end()) return;
  const std::vector<RequestId> requests = it->second;
  for (const RequestId& request : requests) Update(request, now);
}

void ClaimCoordinator::Update(const RequestId& request, MonotonicTime now) {
  const auto it = m_waiting.find(request);
  if (it == m_waiting.end()) return;
  std::optional<ClaimAnswer> answer = Decide(it->second, now);
  if (answer) Close(it, std::move(*answer));
}

void ClaimCoordinator::Close(WaitingMap::iterator it, ClaimAnswer answer) {
  const Waiting waiting = std::move(it->second);
  m_waiting.erase(it);
  const auto by_key = m_waiting_by_key.find(waiting.request.key);
  std::erase(by_key->second, waiting.request.request);
  if (by_key->second.empty()) m_waiting_by_key.erase(by_key);
  if (answer.result != ClaimResult::kGranted) Withdraw(waiting);
  m_answers.push_back({.request = waiting.request.request, .answer = std::move(answer)});
}

std::optional<ClaimAnswer> ClaimCoordinator::Expire(const Waiting& waiting, MonotonicTime now) const {
  if (now < waiting.request.deadline && now < waiting.claim_deadline) return std::nullopt;
  const HeldClaim* held = m_state.Find(waiting.request.key);
  if (held != nullptr && held->claim.request != waiting.request.request) {
    return MayHaveRunAnswer("another request with this key has not ended before the deadline");
  }
  return NotRunAnswer("the key could not be claimed in time");
}

std::optional<ClaimAnswer> ClaimCoordinator::Decide(Waiting& waiting, MonotonicTime now) {
  const HeldClaim* held = m_state.Find(waiting.request.key);
  const bool is_other = held != nullptr && held->claim.request != waiting.request.request;
  const bool is_decided = is_other && (held->outcome || held->claim.request_digest != waiting.request.request_digest);
  if (!is_decided) {
    // A process that was paused must not act on a claim that it reads back long afterwards.
    if (std::optional<ClaimAnswer> expired = Expire(waiting, now)) return expired;
  }
  switch (m_state.StatusOf(waiting.request.key)) {
    case ClaimsState::KeyStatus::kUnknown:
      if (waiting.phase != Phase::kFollowing || m_state.IsComplete()) {
        return NotRunAnswer("this entry has not read all claims of the key");
      }
      return MayHaveRunAnswer("this entry no longer knows the claim of the key");
    case ClaimsState::KeyStatus::kFree:
      if (waiting.phase != Phase::kFollowing) return std::nullopt;
      if (m_state.IsFull()) return NotRunAnswer("too many keys were claimed lately");
      EnqueueClaim(waiting, now);
      return std::nullopt;
    case ClaimsState::KeyStatus::kHeld:
      return DecideHeld(waiting, *held, now);
  }
  return std::nullopt;
}

std::optional<ClaimAnswer> ClaimCoordinator::DecideHeld(Waiting& waiting, const HeldClaim& held, MonotonicTime now) {
  if (held.claim.request == waiting.request.request) {
    return ClaimAnswer{.result = ClaimResult::kGranted, .reason = {}, .outcome = {}};
  }
  if (held.claim.request_digest != waiting.request.request_digest) {
    return ClaimAnswer{.result = ClaimResult::kOtherRequest,
                       .reason = "the key was used for a request with other content",
                       .outcome = {}};
  }
  if (held.outcome) return ClaimAnswer{.result = ClaimResult::kFinished, .reason = {}, .outcome = *held.outcome};
  const bool is_own = held.claim.entry == m_options.entry && held.claim.entry_incarnation == m_options.incarnation;
  if (!is_own && !m_is_entry_live(held.claim.entry, held.claim.entry_incarnation, now)) {
    return MayHaveRunAnswer("the entry that held the key has ended");
  }
  // A claim that was handed to the log is waited for, so that it is known which of the two comes first.
  if (waiting.phase == Phase::kQueued) {
    Withdraw(waiting);
    Follow(waiting);
  }
  return std::nullopt;
}

void ClaimCoordinator::Follow(Waiting& waiting) {
  waiting.phase = Phase::kFollowing;
  waiting.claim_deadline = InfiniteFuture();
}

}  // namespace berylgauge
