#include "schedule/worker_ledger.h"

#include <algorithm>
#include <utility>

namespace berylgauge {
namespace {

constexpr int kWholePercent = 100;

Resources LargerOf(const Resources& a, const Resources& b) {
  return {.cpu_millis = std::max(a.cpu_millis, b.cpu_millis),
          .memory_mb = std::max(a.memory_mb, b.memory_mb),
          .accelerators = std::max(a.accelerators, b.accelerators),
          .slots = std::max(a.slots, b.slots)};
}

Resources NotNegative(const Resources& amount) { return LargerOf(amount, {}); }

/// Amounts reported by the worker are limited, so that no sum of them overflows.
constexpr std::int64_t kMaxAmount = std::int64_t{1} << 48;

Resources Limited(const Resources& amount) {
  const auto limit = [](std::int64_t value) { return std::clamp<std::int64_t>(value, 0, kMaxAmount); };
  return {.cpu_millis = limit(amount.cpu_millis),
          .memory_mb = limit(amount.memory_mb),
          .accelerators = limit(amount.accelerators),
          .slots = limit(amount.slots)};
}

/// Classes beyond this number get no learnt headroom; bounds the memory of the agent.
constexpr std::size_t kMaxClasses = 4096;

/// Scales an amount, but not beyond `limit` unless the amount itself is larger.
std::int64_t ScaleWithin(std::int64_t amount, int percent, std::int64_t limit) {
  // Divided first where the product could overflow; the lost remainder is below one percent.
  const std::int64_t scaled =
      amount > INT64_MAX / percent ? amount / kWholePercent * percent : amount * percent / kWholePercent;
  return std::max(amount, std::min(scaled, limit));
}

int RatioPercent(std::int64_t observed, std::int64_t declared, int max_percent) {
  if (declared <= 0) return kWholePercent;
  if (observed / declared >= max_percent / kWholePercent + 1) return max_percent;
  return static_cast<int>(std::clamp<std::int64_t>(observed * kWholePercent / declared, kWholePercent, max_percent));
}

int Decay(int current, int sample, int decay_percent) {
  if (sample >= current) return sample;
  // Rounded up, so that the ratio reaches the sample.
  return current - ((current - sample) * decay_percent + kWholePercent - 1) / kWholePercent;
}

}  // namespace

WorkerLedger::WorkerLedger(WorkerLedgerOptions options) : m_options(options) {
  m_options.max_headroom_percent = std::max(m_options.max_headroom_percent, kWholePercent);
}

void WorkerLedger::SetCapacity(const Resources& capacity) { m_capacity = Limited(capacity); }

Resources WorkerLedger::Admissible() const { return NotNegative(m_capacity - m_options.reserve); }

WorkerLedger::Headroom WorkerLedger::HeadroomOf(const std::string& job_class) const {
  const auto found = m_headroom.find(job_class);
  return found == m_headroom.end() ? Headroom{} : found->second;
}

int WorkerLedger::HeadroomPercent(const std::string& job_class) const {
  const Headroom headroom = HeadroomOf(job_class);
  return std::max(headroom.cpu_percent, headroom.memory_percent);
}

Resources WorkerLedger::AmountFor(const LedgerRequest& request) const {
  // Headroom is cut at what the worker can admit, so that a task that fits as declared can still start when the
  // worker is empty.
  const Headroom headroom = HeadroomOf(request.job_class);
  const Resources limit = Admissible();
  Resources amount = request.declared;
  amount.cpu_millis = ScaleWithin(amount.cpu_millis, headroom.cpu_percent, limit.cpu_millis);
  amount.memory_mb = ScaleWithin(amount.memory_mb, headroom.memory_percent, limit.memory_mb);
  return amount;
}

LedgerRefusal WorkerLedger::Check(const AttemptKey& key, const LedgerRequest& request) const {
  if (m_entries.contains(key)) return LedgerRefusal::kAlreadyBooked;
  if (!Resources{}.FitsIn(request.declared)) return LedgerRefusal::kInvalidAmount;
  const Resources amount = AmountFor(request);
  const Resources room = Admissible() - m_booked;
  if (amount.memory_mb > room.memory_mb) return LedgerRefusal::kMemory;
  if (amount.accelerators > room.accelerators) return LedgerRefusal::kAccelerators;
  if (amount.slots > room.slots) return LedgerRefusal::kSlots;
  if (amount.cpu_millis > room.cpu_millis) return LedgerRefusal::kProcessors;
  return LedgerRefusal::kNone;
}

LedgerRefusal WorkerLedger::Book(const AttemptKey& key, const LedgerRequest& request) {
  const LedgerRefusal refusal = Check(key, request);
  if (refusal != LedgerRefusal::kNone) return refusal;
  const Resources amount = AmountFor(request);
  m_entries.emplace(key, LedgerEntry{.declared = request.declared,
                                     .admitted = amount,
                                     .observed = {},
                                     .booked = amount,
                                     .job_class = request.job_class,
                                     .kind = request.kind});
  m_booked += amount;
  return LedgerRefusal::kNone;
}

void WorkerLedger::Adopt(const AttemptKey& key, const LedgerRequest& request, const Resources& observed) {
  if (m_entries.contains(key)) return;
  const Resources declared = Limited(request.declared);
  m_entries.emplace(key, LedgerEntry{.declared = declared,
                                     .admitted = declared,
                                     .observed = {},
                                     .booked = declared,
                                     .job_class = request.job_class,
                                     .kind = request.kind});
  m_booked += declared;
  Observe(key, observed);
}

void WorkerLedger::Observe(const AttemptKey& key, const Resources& observed) {
  const auto found = m_entries.find(key);
  if (found == m_entries.end()) return;
  LedgerEntry& entry = found->second;
  entry.observed = LargerOf(entry.observed, Limited(observed));
  m_booked -= entry.booked;
  entry.booked = LargerOf(entry.admitted, entry.observed);
  m_booked += entry.booked;
  Learn(entry, false);
}

void WorkerLedger::SetClass(const AttemptKey& key, std::string job_class, TaskKind kind) {
  const auto found = m_entries.find(key);
  if (found == m_entries.end()) return;
  found->second.job_class = std::move(job_class);
  found->second.kind = kind;
}

void WorkerLedger::Release(const AttemptKey& key) {
  const auto found = m_entries.find(key);
  if (found == m_entries.end()) return;
  Learn(found->second, true);
  m_booked -= found->second.booked;
  m_entries.erase(found);
}

void WorkerLedger::Learn(const LedgerEntry& entry, bool ended) {
  if (entry.job_class.empty() || entry.observed == Resources{}) return;
  const int max = m_options.max_headroom_percent;
  const Headroom sample{.cpu_percent = RatioPercent(entry.observed.cpu_millis, entry.declared.cpu_millis, max),
                        .memory_percent = RatioPercent(entry.observed.memory_mb, entry.declared.memory_mb, max)};
  if (m_headroom.size() >= kMaxClasses && !m_headroom.contains(entry.job_class)) return;
  // While an attempt runs its peak is not known yet, so it can only raise the ratio.
  Headroom& headroom = m_headroom[entry.job_class];
  const int decay = ended ? m_options.headroom_decay_percent : 0;
  headroom.cpu_percent = Decay(headroom.cpu_percent, sample.cpu_percent, decay);
  headroom.memory_percent = Decay(headroom.memory_percent, sample.memory_percent, decay);
}

Resources WorkerLedger::Excess() const {
  Resources excess = NotNegative(m_booked - m_capacity);
  excess.cpu_millis = 0;
  return excess;
}

int WorkerLedger::ThrottlePercent() const {
  if (m_booked.cpu_millis <= m_capacity.cpu_millis) return kWholePercent;
  std::int64_t batch = 0;
  for (const auto& [key, entry] : m_entries) {
    if (entry.kind == TaskKind::kBatch) batch += entry.booked.cpu_millis;
  }
  if (batch == 0) return kWholePercent;
  const std::int64_t left = m_capacity.cpu_millis - (m_booked.cpu_millis - batch);
  return static_cast<int>(std::clamp<std::int64_t>(left * kWholePercent / batch, 1, kWholePercent));
}

const LedgerEntry* WorkerLedger::Find(const AttemptKey& key) const {
  const auto found = m_entries.find(key);
  return found == m_entries.end() ? nullptr : &found->second;
}

}  // namespace berylgauge
