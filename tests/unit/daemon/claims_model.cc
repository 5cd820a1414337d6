#include "claims_model.h"

#include <rapidcheck.h>

#include <algorithm>
#include <utility>

namespace berylgauge {
namespace {

constexpr std::size_t kEntries = 3;
constexpr std::size_t kKeys = 2;
constexpr std::size_t kWindowSteps = 4;
constexpr absl::Duration kStepInterval = absl::Seconds(4);
constexpr std::size_t kMaxTimeoutMs = 2'000;
/// Section 7.1 of the design: a claim is kept for as many intervals as the window has steps, less two. The request may
/// run up to its deadline after the claim.
const absl::Duration kPromise = 2 * kStepInterval - absl::Milliseconds(kMaxTimeoutMs);

constexpr ClaimsState::Options kStateOptions{.window_steps = kWindowSteps};

/// Uniform in [0, n); rapidcheck's own range is narrow at small sizes.
std::size_t Pick(std::size_t n) { return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(std::size_t{0}, n)); }

ClaimKey KeyOf(std::size_t index) {
  return {.service = ServiceId("dispatch"), .digest = std::string(31, 'k') + std::to_string(index)};
}

std::string ContentOf(std::size_t index) { return std::string(31, 'c') + std::to_string(index); }

}  // namespace

struct ClaimsModel::Entry {
  std::size_t index = 0;
  Incarnation incarnation = 0;
  std::unique_ptr<ClaimCoordinator> coordinator;
  std::uint64_t sequence = 0;
  std::optional<Batch> in_flight;
  Offset next = 0;  ///< to be read
  TailProof proof;
};

ClaimsModel::ClaimsModel(ClaimsModelFaults faults) : m_faults(faults), m_oracle(kStateOptions) {
  for (std::size_t i = 0; i < kEntries; ++i) {
    auto entry = std::make_unique<Entry>();
    entry->index = i;
    entry->incarnation = m_next_incarnation++;
    entry->coordinator = MakeCoordinator(i, entry->incarnation);
    m_entries.push_back(std::move(entry));
  }
}

ClaimsModel::~ClaimsModel() = default;

std::unique_ptr<ClaimCoordinator> ClaimsModel::MakeCoordinator(std::size_t index, Incarnation incarnation) {
  const ClaimCoordinatorOptions options{.entry = EntryId("entry-" + std::to_string(index)),
                                        .incarnation = incarnation,
                                        .claim_timeout = absl::Seconds(1),
                                        .step_interval = kStepInterval,
                                        .state = kStateOptions};
  // An entry may be taken for dead while it lives, and for live after its end.
  const auto is_live = [this](const EntryId& entry, Incarnation claimed, MonotonicTime) {
    const bool is_present = std::any_of(m_entries.begin(), m_entries.end(), [&](const auto& candidate) {
      return entry == EntryId("entry-" + std::to_string(candidate->index)) && candidate->incarnation == claimed;
    });
    return Pick(8) == 0 ? !is_present : is_present;
  };
  return std::make_unique<ClaimCoordinator>(options, is_live, m_now);
}

void ClaimsModel::Step() {
  const std::size_t index = Pick(kEntries);
  Entry& entry = *m_entries[index];
  switch (Pick(16)) {
    case 0:
    case 1:
    case 2:
      RepeatRequest();
      break;
    case 3:
    case 4:
      TakeBatch(entry);
      break;
    case 5:
    case 6:
      AppendInFlight(entry);
      break;
    case 7:
    case 8:
    case 9:
    case 10:
      for (std::size_t i = Pick(6); i > 0; --i) Read(entry);
      break;
    case 11:
    case 12:
      EndGranted();
      break;
    case 13:
      m_now = m_now + absl::Milliseconds(static_cast<std::int64_t>(Pick(Pick(4) == 0 ? 5'000 : 400)));
      break;
    case 14:
      AppendOrphan();
      break;
    default:
      if (Pick(3) == 0) Crash(index);
      break;
  }
  // A crash has replaced the entry.
  m_entries[index]->coordinator->Advance(m_now);
  CollectAnswers(*m_entries[index]);
}

void ClaimsModel::RepeatRequest() {
  const std::size_t entry = Pick(kEntries);
  const std::string content = ContentOf(Pick(12) == 0 ? 1 : 0);
  Claim(entry, KeyOf(Pick(kKeys)), content,
        absl::Milliseconds(static_cast<std::int64_t>(100 + Pick(kMaxTimeoutMs - 100))));
}

RequestId ClaimsModel::Claim(std::size_t index, const ClaimKey& key, const std::string& content,
                             absl::Duration timeout) {
  Entry& entry = *m_entries[index];
  const RequestId request("request-" + std::to_string(m_next_request++));
  m_callers[request] = {.key = key, .entry = index, .deadline = m_now + timeout};
  entry.coordinator->Claim({.key = key, .request_digest = content, .request = request, .deadline = m_now + timeout},
                           entry.proof, m_now);
  CollectAnswers(entry);
  return request;
}

void ClaimsModel::TakeBatch(Entry& entry) {
  if (entry.in_flight || !entry.coordinator->HasRecords()) return;
  std::vector<nlohmann::json> records = entry.coordinator->TakeRecords(1 + Pick(4));
  if (m_faults.drop_releases)
    std::erase_if(records, [](const nlohmann::json& record) { return record["t"] == "release"; });
  entry.in_flight = Batch{.writer = "entry-" + std::to_string(entry.index),
                          .incarnation = entry.incarnation,
                          .sequence = ++entry.sequence,
                          .seen = entry.coordinator->state().offset(),
                          .records = std::move(records)};
}

void ClaimsModel::Append(const Batch& batch) {
  m_log.push_back(batch);
  m_oracle.Apply(batch, static_cast<Offset>(m_log.size()) - 1);
  std::map<std::string, std::string>& winners = m_winners.emplace_back();
  for (std::size_t key = 0; key < kKeys; ++key) {
    if (const HeldClaim* held = m_oracle.Find(KeyOf(key))) {
      winners[KeyOf(key).digest] = held->claim.request.value() + (held->outcome ? " ended" : "");
    }
  }
}

void ClaimsModel::AppendInFlight(Entry& entry) {
  if (!entry.in_flight) return;
  Append(*entry.in_flight);
  if (m_faults.read_own_first) {
    entry.next = static_cast<Offset>(m_log.size());
    entry.coordinator->Fold(*entry.in_flight, entry.next - 1, m_now);
    CollectAnswers(entry);
  }
  // The answer of every fourth append is lost, so that the batch is appended again.
  if (Pick(4) != 0) entry.in_flight.reset();
}

void ClaimsModel::AppendOrphan() {
  if (m_orphans.empty()) return;
  const std::size_t index = Pick(m_orphans.size());
  Append(m_orphans[index]);
  if (Pick(2) == 0) m_orphans.erase(m_orphans.begin() + static_cast<std::ptrdiff_t>(index));
}

void ClaimsModel::Read(Entry& entry) {
  const auto size = static_cast<Offset>(m_log.size());
  if (entry.next < size) {
    entry.coordinator->Fold(m_log[static_cast<std::size_t>(entry.next)], entry.next, m_now);
    ++entry.next;
    CheckAgreement(entry);
    CollectAnswers(entry);
  }
  if (entry.next == size) entry.proof = {.offset = size - 1, .at = m_now};
}

void ClaimsModel::CheckAgreement(const Entry& entry) {
  if (m_faults.read_own_first) return;
  const ClaimsState& state = entry.coordinator->state();
  for (std::size_t i = 0; i < kKeys; ++i) {
    const ClaimKey key = KeyOf(i);
    if (state.StatusOf(key) == ClaimsState::KeyStatus::kUnknown) continue;
    const HeldClaim* held = state.Find(key);
    const std::string seen = held == nullptr ? "" : held->claim.request.value() + (held->outcome ? " ended" : "");
    const auto& winners = m_winners[static_cast<std::size_t>(state.offset())];
    const auto it = winners.find(key.digest);
    const std::string expected = it == winners.end() ? "" : it->second;
    if (seen != expected) m_problems.push_back("readers disagree: '" + seen + "' and '" + expected + "'");
  }
}

void ClaimsModel::CollectAnswers(Entry& entry) {
  for (const ClaimCoordinator::Answer& answer : entry.coordinator->TakeAnswers()) {
    Caller& caller = m_callers[answer.request];
    if (caller.is_answered) m_problems.emplace_back("a request was answered twice");
    caller.is_answered = true;
    if (answer.answer.result == ClaimResult::kFinished) ++m_followers;
    if (answer.answer.result != ClaimResult::kGranted) continue;
    caller.is_granted = true;
    m_granted[answer.request] = caller;
  }
}

void ClaimsModel::NoteExecution(const ClaimKey& key) {
  ++m_executions;
  const auto [it, is_first] = m_last_execution.try_emplace(key.digest, m_now);
  if (!is_first && m_now - it->second < kPromise) m_problems.push_back("a request ran twice under " + key.digest);
  it->second = m_now;
}

void ClaimsModel::EndGranted() {
  if (m_granted.empty()) return;
  auto it = m_granted.begin();
  std::advance(it, static_cast<std::ptrdiff_t>(Pick(m_granted.size())));
  const RequestId request = it->first;
  End(request, static_cast<int>(Pick(3)));
}

void ClaimsModel::End(const RequestId& request, int result) {
  const Caller caller = m_granted.at(request);
  m_granted.erase(request);
  ClaimCoordinator& coordinator = *m_entries[caller.entry]->coordinator;
  // The agent refuses what arrives after the deadline.
  if (result == 0 || m_now >= caller.deadline) {
    coordinator.Release(caller.key, request);
    return;
  }
  NoteExecution(caller.key);
  coordinator.Finish({.key = caller.key,
                      .request = request,
                      .verdict = result == 1 ? Verdict::kRan : Verdict::kMayHaveRun,
                      .status = 200,
                      .answer = std::nullopt});
}

void ClaimsModel::Crash(std::size_t index) {
  Entry& entry = *m_entries[index];
  if (entry.in_flight) m_orphans.push_back(std::move(*entry.in_flight));
  // What the entry was granted may have been sent.
  for (auto it = m_granted.begin(); it != m_granted.end();) {
    if (it->second.entry != index) {
      ++it;
      continue;
    }
    if (m_now < it->second.deadline && Pick(2) == 0) NoteExecution(it->second.key);
    it = m_granted.erase(it);
  }
  for (auto& [request, caller] : m_callers) {
    if (caller.entry != index) continue;
    caller.is_lost = true;
    m_touched_by_crash.insert(caller.key.digest);
  }
  auto next = std::make_unique<Entry>();
  next->index = index;
  next->incarnation = m_next_incarnation++;
  m_entries[index] = std::move(next);
  Entry& restarted = *m_entries[index];
  restarted.coordinator = MakeCoordinator(index, restarted.incarnation);
  if (m_log.empty() || Pick(3) == 0) return;
  // The records before a random offset are no longer retained.
  restarted.next = static_cast<Offset>(1 + Pick(m_log.size()));
  if (!m_faults.restart_as_complete) restarted.coordinator->SkipTo(restarted.next - 1, m_now);
}

void ClaimsModel::Settle() {
  while (!m_granted.empty()) End(m_granted.begin()->first, 0);
  const auto drain = [this] {
    for (int round = 0; round < 40; ++round) {
      for (const auto& entry : m_entries) {
        entry->coordinator->Advance(m_now);
        CollectAnswers(*entry);
        while (!m_granted.empty()) End(m_granted.begin()->first, 0);
        TakeBatch(*entry);
        if (entry->in_flight) Append(*std::exchange(entry->in_flight, std::nullopt));
        for (std::size_t i = 0; i <= m_log.size(); ++i) Read(*entry);
      }
    }
  };
  drain();
  m_now = m_now + absl::Seconds(3);
  drain();
  for (const auto& [request, caller] : m_callers) {
    if (!caller.is_answered && !caller.is_lost) m_problems.push_back(request.value() + " was never answered");
  }
  for (std::size_t i = 0; i < kKeys; ++i) {
    const ClaimKey key = KeyOf(i);
    // After an execution or a crash the key is rightly held.
    if (m_last_execution.contains(key.digest) || m_touched_by_crash.contains(key.digest)) continue;
    const RequestId request = Claim(0, key, ContentOf(0), absl::Milliseconds(kMaxTimeoutMs));
    bool is_granted = false;
    for (int round = 0; round < 10 && !is_granted; ++round) {
      TakeBatch(*m_entries[0]);
      if (m_entries[0]->in_flight) Append(*std::exchange(m_entries[0]->in_flight, std::nullopt));
      Read(*m_entries[0]);
      is_granted = m_callers[request].is_granted;
    }
    if (!is_granted && m_entries[0]->coordinator->state().StatusOf(key) != ClaimsState::KeyStatus::kUnknown) {
      m_problems.emplace_back("a key that was only released cannot be claimed");
    }
  }
}

}  // namespace berylgauge
