#include "state/claims_state.h"

#include <algorithm>

#include "state/batch.h"

namespace berylgauge {
namespace {

std::size_t SizeOf(const KeptAnswer& answer) {
  std::size_t bytes = answer.body.size();
  for (const auto& [name, value] : answer.headers) bytes += name.size() + value.size();
  return bytes;
}

}  // namespace

std::vector<ClaimsEffect> ClaimsState::Apply(const Batch& batch, Offset offset) {
  std::vector<ClaimsEffect> effects(batch.records.size());
  if (offset <= m_offset) return effects;
  m_offset = offset;
  if (!m_writers.Accept(batch, offset)) return effects;
  for (std::size_t i = 0; i < batch.records.size(); ++i) {
    const Result<ClaimsRecord> record = DecodeClaimsRecord(batch.records[i]);
    // No writer can have folded its own batch.
    if (record && batch.seen < offset) {
      effects[i] = ApplyRecord(*record, batch.seen, offset);
    } else {
      effects[i].outcome = FoldOutcome::kMalformed;
    }
  }
  return effects;
}

void ClaimsState::SkipTo(Offset offset) {
  m_offset = offset;
  m_keys.clear();
  m_steps.clear();
  m_last_step = offset;
  m_knows_last_step = false;
  m_is_complete = false;
  m_claims_since_step = 0;
  m_answer_bytes_since_step = 0;
}

ClaimsEffect ClaimsState::ApplyRecord(const ClaimsRecord& record, Offset seen, Offset offset) {
  if (const auto* claim = std::get_if<KeyClaimed>(&record)) {
    return {.key = claim->key, .request = claim->request, .is_claim = true, .outcome = Fold(*claim, seen)};
  }
  if (const auto* outcome = std::get_if<KeyOutcome>(&record)) {
    return {.key = outcome->key, .request = outcome->request, .outcome = Fold(*outcome)};
  }
  if (const auto* release = std::get_if<KeyReleased>(&record)) {
    return {.key = release->key, .request = release->request, .outcome = Fold(*release)};
  }
  return {.key = {}, .request = {}, .is_step = true, .outcome = Fold(std::get<WindowStep>(record), offset)};
}

FoldOutcome ClaimsState::Fold(const KeyClaimed& record, Offset seen) {
  // A claim that reaches the log this late was given up by its entry long ago. Without this rule a repeated batch could
  // take effect for a reader that began after the first copy.
  if (m_steps.size() >= 2 && seen < m_steps[m_steps.size() - 2]) return FoldOutcome::kStaleEpoch;
  // An incomplete reader may count copies that complete ones recognise as repeats, so it does not enforce the limit.
  if (IsFull() && m_is_complete) return FoldOutcome::kOverLimit;
  ++m_claims_since_step;
  const auto [it, is_new] = m_keys.try_emplace(record.key);
  KeyEntry& entry = it->second;
  if (!is_new && !entry.is_unknown) {
    return entry.held.claim.request == record.request ? FoldOutcome::kRepeat : FoldOutcome::kWrongState;
  }
  entry.at = std::max(entry.at, seen);
  entry.is_unknown = entry.is_unknown || !m_is_complete;
  if (entry.is_unknown) return FoldOutcome::kWrongState;
  entry.held = {.claim = record, .outcome = std::nullopt};
  return FoldOutcome::kAccepted;
}

FoldOutcome ClaimsState::Fold(const KeyOutcome& record) {
  const auto it = m_keys.find(record.key);
  if (it == m_keys.end() || it->second.is_unknown) return FoldOutcome::kUnknownObject;
  HeldClaim& held = it->second.held;
  if (held.claim.request != record.request || held.outcome) return FoldOutcome::kWrongState;
  held.outcome = record;
  if (record.answer) {
    m_answer_bytes_since_step += SizeOf(*record.answer);
    if (m_answer_bytes_since_step > m_options.max_answer_bytes_per_step) held.outcome->answer.reset();
  }
  return FoldOutcome::kAccepted;
}

FoldOutcome ClaimsState::Fold(const KeyReleased& record) {
  const auto it = m_keys.find(record.key);
  if (it == m_keys.end() || it->second.is_unknown) return FoldOutcome::kUnknownObject;
  if (it->second.held.claim.request != record.request || it->second.held.outcome) return FoldOutcome::kWrongState;
  m_keys.erase(it);
  return FoldOutcome::kAccepted;
}

FoldOutcome ClaimsState::Fold(const WindowStep& record, Offset offset) {
  if (record.at >= offset) return FoldOutcome::kMalformed;
  if (record.at < m_last_step) {
    // Not knowing the last step, this reader cannot tell whether the others accepted this one.
    if (!m_knows_last_step) m_last_step = offset;
    return FoldOutcome::kStaleEpoch;
  }
  m_last_step = offset;
  m_knows_last_step = true;
  m_steps.push_back(offset);
  if (m_steps.size() > m_options.window_steps) m_steps.pop_front();
  m_claims_since_step = 0;
  m_answer_bytes_since_step = 0;
  if (m_steps.size() == m_options.window_steps) {
    m_is_complete = true;
    ForgetOldClaims();
  }
  return FoldOutcome::kAccepted;
}

void ClaimsState::ForgetOldClaims() {
  const Offset oldest = m_steps.front();
  absl::erase_if(m_keys, [oldest](const auto& item) { return item.second.at < oldest; });
}

ClaimsState::KeyStatus ClaimsState::StatusOf(const ClaimKey& key) const {
  if (!m_is_complete) return KeyStatus::kUnknown;
  const auto it = m_keys.find(key);
  if (it == m_keys.end()) return KeyStatus::kFree;
  return it->second.is_unknown ? KeyStatus::kUnknown : KeyStatus::kHeld;
}

const HeldClaim* ClaimsState::Find(const ClaimKey& key) const {
  const auto it = m_keys.find(key);
  return it == m_keys.end() || it->second.is_unknown ? nullptr : &it->second.held;
}

}  // namespace berylgauge
