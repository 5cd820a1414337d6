#include "schedule/attempt_table.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace berylgauge {
namespace {

/// A throttle changes by at least this many percent points, so that small changes of the observed use cause no calls.
constexpr int kThrottleStepPercent = 5;

/// Part of the lease after which it is renewed; two renewals may fail before it expires.
constexpr int kRenewalsPerLease = 3;

/// Largest part of the grace period that is set aside for the checkpoint before its end.
constexpr int kCheckpointPartOfGrace = 4;

bool IsValid(const StartCommand& command) {
  return !command.key.task.empty() && command.key.attempt > 0 && command.offset >= 0 &&
         Resources{}.FitsIn(command.resources) && command.terms.task_lease > absl::ZeroDuration() &&
         command.terms.outage_grace > absl::ZeroDuration();
}

EndReason EndReasonOf(WorkerTaskState state) {
  switch (state) {
    case WorkerTaskState::kSucceeded:
      return EndReason::kSucceeded;
    case WorkerTaskState::kFailed:
      return EndReason::kFailed;
    case WorkerTaskState::kLeaseExpired:
      return EndReason::kLeaseExpired;
    case WorkerTaskState::kRunning:
    case WorkerTaskState::kStopped:
      break;
  }
  return EndReason::kStopped;
}

/// Verdict of an attempt that the worker reports as ended.
Verdict VerdictOf(EndReason reason) {
  return reason == EndReason::kSucceeded || reason == EndReason::kFailed ? Verdict::kRan : Verdict::kMayHaveRun;
}

bool IsListedByWorker(EndReason reason) {
  return reason == EndReason::kSucceeded || reason == EndReason::kFailed || reason == EndReason::kStopped ||
         reason == EndReason::kLeaseExpired;
}

AttemptAnswer AnswerForEnded(Verdict verdict) {
  const AnswerKind kind = verdict == Verdict::kNotRun ? AnswerKind::kNotRun : AnswerKind::kEnded;
  return {.kind = kind, .verdict = verdict};
}

bool LacksHardAmount(const Resources& need) { return need.memory_mb > 0 || need.accelerators > 0 || need.slots > 0; }

}  // namespace

AttemptTable::AttemptTable(AttemptTableOptions options) : m_options(std::move(options)), m_ledger(m_options.ledger) {}

// ---- commands of owners

AttemptAnswer AttemptTable::HandleStart(const StartCommand& command, MonotonicTime now) {
  if (command.worker != m_options.worker) {
    return {.reason = RefusalReason::kWrongWorker, .verdict = Verdict::kMayHaveRun};
  }
  if (command.agent_incarnation != m_options.incarnation) {
    // A former agent may have admitted it, so only an end that is known here proves anything.
    const auto past = FindPast(command.key, command.share, kNoOffset);
    return {.reason = RefusalReason::kWrongIncarnation,
            .verdict = past.has_value() ? past->verdict : Verdict::kMayHaveRun};
  }
  if (const auto past = FindPast(command.key, command.share, command.offset)) {
    return {.reason = past->reason, .verdict = past->verdict};
  }
  if (m_attempts.contains(command.key)) {
    return {.kind = AnswerKind::kRunning, .verdict = Verdict::kMayHaveRun};
  }
  if (!IsValid(command)) return Refuse(command, RefusalReason::kInvalidCommand);
  const RefusalReason reason = AdmissionRefusal(command, now);
  if (reason != RefusalReason::kNone) return Refuse(command, reason);
  const LedgerRefusal lack = m_ledger.Book(
      command.key, {.declared = command.resources, .job_class = command.terms.job_class, .kind = command.terms.kind});
  if (lack != LedgerRefusal::kNone) {
    return Refuse(command, RefusalReason::kNoRoom, std::string(kLedgerRefusalNames.NameOf(lack)));
  }
  Attempt attempt;
  attempt.command = command;
  attempt.checkpoint = command.checkpoint;
  m_attempts.emplace(command.key, std::move(attempt));
  return {.kind = AnswerKind::kStarted, .verdict = Verdict::kMayHaveRun};
}

AttemptAnswer AttemptTable::Refuse(const StartCommand& command, RefusalReason reason, std::string detail) {
  // The owner may place the next attempt after this answer, so a late duplicate of the command must not start.
  // Without a valid offset there is no placement, and the same bytes are refused again.
  if (command.offset >= 0) AddTombstone(command.key, command.share, command.offset, Verdict::kNotRun);
  return {.reason = reason, .verdict = Verdict::kNotRun, .detail = std::move(detail)};
}

RefusalReason AttemptTable::AdmissionRefusal(const StartCommand& command, MonotonicTime now) const {
  if (!m_reconciled) return RefusalReason::kNotReconciled;
  const RefusalReason standing = StandingRefusal(now);
  if (standing != RefusalReason::kNone) return standing;
  if (command.config_version > m_config_version) return RefusalReason::kConfigVersionAhead;
  return RefusalReason::kNone;
}

RefusalReason AttemptTable::StandingRefusal(MonotonicTime now) const {
  if (m_standing.worker_revoked) return RefusalReason::kWorkerRevoked;
  if (m_standing.zone_drained) return RefusalReason::kZoneDrained;
  if (m_standing.worker_drained) return RefusalReason::kWorkerDrained;
  if (!IsProofFresh(now)) return RefusalReason::kStaleProof;
  return RefusalReason::kNone;
}

bool AttemptTable::IsProofFresh(MonotonicTime now) const {
  // A proof of the future would be an error of the caller's clock and proves nothing.
  return m_proof.has_value() && m_proof->at <= now && now - m_proof->at <= m_options.start_freshness;
}

std::optional<AttemptTable::Past> AttemptTable::FindPast(const AttemptKey& key, std::uint32_t share,
                                                         Offset offset) const {
  if (const auto ended = m_ended.find(key); ended != m_ended.end()) return Past{.verdict = ended->second.verdict};
  if (const auto tombstone = m_tombstones.find(key); tombstone != m_tombstones.end()) {
    return Past{.verdict = tombstone->second.verdict};
  }
  if (offset == kNoOffset || m_attempts.contains(key)) return std::nullopt;
  const auto floors = m_floors.find(share);
  if (floors == m_floors.end() || offset > floors->second.any) return std::nullopt;
  const bool may_have_run = offset <= floors->second.ran;
  return Past{.reason = RefusalReason::kBelowFloor, .verdict = may_have_run ? Verdict::kMayHaveRun : Verdict::kNotRun};
}

std::optional<AttemptAnswer> AttemptTable::AnswerWithoutAttempt(const EndCommand& command) const {
  if (command.agent_incarnation != m_options.incarnation) {
    return AttemptAnswer{.reason = RefusalReason::kWrongIncarnation, .verdict = Verdict::kMayHaveRun};
  }
  // The floor says nothing about what a former agent has run.
  const bool placed_here = command.placed_incarnation == m_options.incarnation;
  const Offset offset = placed_here ? command.offset : kNoOffset;
  if (const auto past = FindPast(command.key, command.share, offset)) return AnswerForEnded(past->verdict);
  if (m_attempts.contains(command.key)) return std::nullopt;
  if (command.key.task.empty() || command.key.attempt == 0 || command.offset < 0) {
    return AttemptAnswer{.reason = RefusalReason::kInvalidCommand, .verdict = Verdict::kMayHaveRun};
  }
  // The worker may run it for a former agent.
  if (!m_reconciled) {
    return AttemptAnswer{.reason = RefusalReason::kNotReconciled, .verdict = Verdict::kMayHaveRun};
  }
  return std::nullopt;
}

AttemptAnswer AttemptTable::EndBeforeStart(const EndCommand& command) {
  m_attempts.erase(command.key);
  m_ledger.Release(command.key);
  // A former agent may have run it to its end, of which this one knows only that it does not run any more.
  const bool placed_here = command.placed_incarnation == m_options.incarnation;
  const Verdict verdict = placed_here ? Verdict::kNotRun : Verdict::kMayHaveRun;
  AddTombstone(command.key, command.share, command.offset, verdict);
  return AnswerForEnded(verdict);
}

AttemptAnswer AttemptTable::HandleWithdraw(const EndCommand& command, MonotonicTime /*now*/) {
  if (const auto answer = AnswerWithoutAttempt(command)) return *answer;
  const auto found = m_attempts.find(command.key);
  if (found == m_attempts.end()) return EndBeforeStart(command);
  if (found->second.state == AttemptState::kAdmitted) {
    const StartCommand& placed = found->second.command;
    return EndBeforeStart({.key = command.key,
                           .share = placed.share,
                           .offset = placed.offset,
                           .placed_incarnation = placed.agent_incarnation});
  }
  return {.kind = AnswerKind::kRunning, .verdict = Verdict::kMayHaveRun};
}

AttemptAnswer AttemptTable::HandleStop(const EndCommand& command, bool with_checkpoint, MonotonicTime now) {
  if (const auto answer = AnswerWithoutAttempt(command)) return *answer;
  const auto found = m_attempts.find(command.key);
  if (found == m_attempts.end()) return EndBeforeStart(command);
  if (found->second.state == AttemptState::kAdmitted) {
    const StartCommand& placed = found->second.command;
    return EndBeforeStart({.key = command.key,
                           .share = placed.share,
                           .offset = placed.offset,
                           .placed_incarnation = placed.agent_incarnation});
  }
  RequestStop(found->second, StopReason::kRequested, with_checkpoint, now);
  return {.kind = AnswerKind::kStopping, .verdict = Verdict::kMayHaveRun};
}

void AttemptTable::RestoreTerms(const AttemptKey& key, const AttemptTerms& terms) {
  const auto found = m_attempts.find(key);
  if (found == m_attempts.end() || !found->second.adopted) return;
  if (terms.task_lease <= absl::ZeroDuration() || terms.outage_grace <= absl::ZeroDuration()) return;
  found->second.command.terms = terms;
  m_ledger.SetClass(key, terms.job_class, terms.kind);
}

void AttemptTable::AcknowledgeEnded(const AttemptKey& key) {
  const auto found = m_ended.find(key);
  if (found == m_ended.end()) return;
  const EndedAttempt& ended = found->second;
  // Commands for an adopted attempt name a former incarnation and are refused by that alone.
  if (!ended.adopted) AddTombstone(key, ended.share, ended.offset, ended.verdict);
  if (IsListedByWorker(ended.reason)) m_forgetting.try_emplace(key);
  m_ended.erase(found);
}

void AttemptTable::AddTombstone(const AttemptKey& key, std::uint32_t share, Offset offset, Verdict verdict) {
  const auto [where, added] =
      m_tombstones.try_emplace(key, Tombstone{.share = share, .offset = offset, .verdict = verdict});
  if (!added) return;
  m_tombstone_order[share].emplace(offset, key);
  PruneTombstones();
}

void AttemptTable::PruneTombstones() {
  while (m_tombstones.size() > m_options.max_tombstones) {
    // The lowest offset of the share with the most tombstones, so that the floor rises as little as possible.
    const auto fullest =
        std::max_element(m_tombstone_order.begin(), m_tombstone_order.end(),
                         [](const auto& a, const auto& b) { return a.second.size() < b.second.size(); });
    const auto lowest = fullest->second.begin();
    const auto tombstone = m_tombstones.find(lowest->second);
    Floors& floors = m_floors[fullest->first];
    floors.any = std::max(floors.any, lowest->first);
    if (tombstone->second.verdict != Verdict::kNotRun) floors.ran = std::max(floors.ran, lowest->first);
    m_tombstones.erase(tombstone);
    fullest->second.erase(lowest);
  }
}

Offset AttemptTable::FloorOf(std::uint32_t share) const {
  const auto found = m_floors.find(share);
  return found == m_floors.end() ? kNoOffset : found->second.any;
}

// ---- configuration and proofs

void AttemptTable::ApplyConfig(ConfigVersion version, const WorkerStanding& standing) {
  if (version <= m_config_version) return;
  m_config_version = version;
  m_standing = standing;
}

void AttemptTable::ApplyProof(const FreshnessProof& proof) {
  if (proof.version > m_config_version) return;
  if (!m_proof.has_value()) {
    m_proof = proof;
    return;
  }
  // The tail of a stream only grows, so a known later offset was confirmed no earlier than any lower one; the latest
  // time and the highest offset therefore hold together even if they come from different entries.
  m_proof->version = std::max(m_proof->version, proof.version);
  m_proof->offset = std::max(m_proof->offset, proof.offset);
  m_proof->at = std::max(m_proof->at, proof.at);
}

// ---- the worker's report

void AttemptTable::Reconcile(const WorkerReport& report, MonotonicTime requested_at, MonotonicTime now) {
  if (requested_at < m_last_report) return;
  m_last_report = requested_at;
  const bool rebooted = !m_boot_id.empty() && report.boot_id != m_boot_id;
  m_boot_id = report.boot_id;
  m_ledger.SetCapacity(report.capacity);
  std::set<AttemptKey> listed;
  for (const WorkerTask& task : report.tasks) {
    listed.insert({task.task, task.attempt});
    ReconcileTask(task, requested_at, now);
  }
  ReconcileMissing(listed, rebooted, requested_at, now);
  if (requested_at >= m_options.started_at + m_options.predecessor_settle) m_reconciled = true;
}

void AttemptTable::ReconcileTask(const WorkerTask& task, MonotonicTime requested_at, MonotonicTime now) {
  const AttemptKey key{task.task, task.attempt};
  const auto found = m_attempts.find(key);
  if (found == m_attempts.end()) {
    ReconcilePast(task, requested_at, now);
    return;
  }
  Attempt& attempt = found->second;
  if (!task.checkpoint.empty()) attempt.checkpoint = task.checkpoint;
  m_ledger.Observe(key, task.observed);
  if (task.state != WorkerTaskState::kRunning) {
    const EndReason reason = EndReasonOf(task.state);
    End(key, reason, VerdictOf(reason), task.detail, now);
    return;
  }
  attempt.start_pending = false;
  attempt.confirmed = true;
  attempt.confirmed_at = std::max(attempt.confirmed_at, requested_at);
  if (attempt.state == AttemptState::kStarting || attempt.state == AttemptState::kAdmitted) {
    attempt.state = AttemptState::kRunning;
  }
}

void AttemptTable::ReconcilePast(const WorkerTask& task, MonotonicTime requested_at, MonotonicTime now) {
  const AttemptKey key{task.task, task.attempt};
  const bool reported = m_ended.contains(key);
  const bool settled = m_tombstones.contains(key) || m_forgetting.contains(key);
  if (task.state == WorkerTaskState::kRunning) {
    Adopt(task, reported || settled, requested_at, now);
    return;
  }
  if (reported) return;
  if (settled) {
    Forgetting& forgetting = m_forgetting[key];
    if (forgetting.done && requested_at > forgetting.done_at) forgetting.done = false;
    return;
  }
  const EndReason reason = EndReasonOf(task.state);
  m_ended.emplace(key, EndedAttempt{.key = key,
                                    .reason = reason,
                                    .verdict = VerdictOf(reason),
                                    .adopted = true,
                                    .checkpoint = task.checkpoint,
                                    .detail = task.detail,
                                    .at = now});
}

void AttemptTable::Adopt(const WorkerTask& task, bool tombstoned, MonotonicTime requested_at, MonotonicTime now) {
  const AttemptKey key{task.task, task.attempt};
  Attempt attempt;
  attempt.command.key = key;
  attempt.command.worker = m_options.worker;
  attempt.command.resources = task.declared;
  attempt.command.terms = m_options.adopted_terms;
  attempt.state = AttemptState::kRunning;
  attempt.adopted = true;
  attempt.tombstoned = tombstoned;
  attempt.confirmed = true;
  attempt.confirmed_at = requested_at;
  attempt.throttle_percent = 0;  // unknown; the former agent may have throttled it
  attempt.checkpoint = task.checkpoint;
  m_ledger.Adopt(
      key,
      {.declared = task.declared, .job_class = attempt.command.terms.job_class, .kind = attempt.command.terms.kind},
      task.observed);
  Attempt& added = m_attempts.emplace(key, std::move(attempt)).first->second;
  if (tombstoned) RequestStop(added, StopReason::kTombstoned, false, now);
}

void AttemptTable::ReconcileMissing(const std::set<AttemptKey>& listed, bool rebooted, MonotonicTime requested_at,
                                    MonotonicTime now) {
  std::vector<AttemptKey> missing;
  for (const auto& [key, attempt] : m_attempts) {
    if (listed.contains(key) || attempt.state == AttemptState::kAdmitted || attempt.start_pending) continue;
    // A report that was requested before the start took effect says nothing about the attempt.
    const bool known_since = attempt.confirmed && requested_at > attempt.confirmed_at;
    const bool never_seen = !attempt.confirmed && requested_at >= attempt.uncertain_since + m_options.start_settle;
    if (known_since || never_seen) missing.push_back(key);
  }
  for (const AttemptKey& key : missing) {
    End(key, rebooted ? EndReason::kWorkerRestarted : EndReason::kUnknownToWorker, Verdict::kMayHaveRun, {}, now);
  }
  std::erase_if(m_forgetting, [&](const auto& item) { return !listed.contains(item.first); });
}

void AttemptTable::End(const AttemptKey& key, EndReason reason, Verdict verdict, std::string detail,
                       MonotonicTime now) {
  const auto found = m_attempts.find(key);
  if (found == m_attempts.end()) return;
  const Attempt attempt = std::move(found->second);
  m_attempts.erase(found);
  m_ledger.Release(key);
  if (attempt.tombstoned) {
    const auto reported = m_ended.find(key);
    if (reported == m_ended.end()) {
      if (IsListedByWorker(reason)) m_forgetting.try_emplace(key);
    } else if (IsListedByWorker(reason)) {
      // It was reported as lost; the worker is told to forget it once the owner has acknowledged.
      reported->second.reason = reason;
      reported->second.verdict = verdict;
      reported->second.checkpoint = attempt.checkpoint;
    }
    return;
  }
  m_ended.emplace(key, EndedAttempt{.key = key,
                                    .reason = reason,
                                    .verdict = verdict,
                                    .stop_reason = attempt.stop_reason,
                                    .adopted = attempt.adopted,
                                    .share = attempt.command.share,
                                    .offset = attempt.command.offset,
                                    .checkpoint = attempt.checkpoint,
                                    .detail = std::move(detail),
                                    .at = now});
}

// ---- stops

void AttemptTable::RequestStop(Attempt& attempt, StopReason reason, bool with_checkpoint, MonotonicTime now) {
  if (attempt.state != AttemptState::kStopping) {
    attempt.state = AttemptState::kStopping;
    attempt.stop_reason = reason;
    attempt.stop_with_checkpoint = with_checkpoint;
    attempt.stop_requested_at = now;
    attempt.next_stop = now;
    return;
  }
  if (reason == StopReason::kRevoked || reason == StopReason::kOutageGrace) attempt.stop_reason = reason;
  if (attempt.stop_with_checkpoint && !with_checkpoint) {
    attempt.stop_with_checkpoint = false;
    attempt.next_stop = now;
  }
}

MonotonicTime AttemptTable::GraceEnd(const Attempt& attempt) const {
  if (!m_proof.has_value()) return m_options.started_at + m_options.first_proof_wait;
  return m_proof->at + attempt.command.terms.outage_grace;
}

MonotonicTime AttemptTable::GraceStop(const Attempt& attempt) const {
  if (!m_proof.has_value()) return GraceEnd(attempt);
  const AttemptTerms& terms = attempt.command.terms;
  return GraceEnd(attempt) - std::min(terms.task_lease, terms.outage_grace / kCheckpointPartOfGrace);
}

void AttemptTable::StopWhatMayNotRun(MonotonicTime now) {
  for (auto& [key, attempt] : m_attempts) {
    if (attempt.state == AttemptState::kAdmitted || attempt.tombstoned) continue;
    if (m_standing.worker_revoked) {
      RequestStop(attempt, StopReason::kRevoked, true, now);
    } else if (now >= GraceStop(attempt)) {
      RequestStop(attempt, StopReason::kOutageGrace, true, now);
    }
  }
}

void AttemptTable::StopExcess(MonotonicTime now) {
  Resources need = m_ledger.Excess();
  if (!LacksHardAmount(need)) return;
  std::vector<Attempt*> candidates;
  for (auto& [key, attempt] : m_attempts) {
    if (attempt.state == AttemptState::kStopping) {
      need -= m_ledger.Find(key)->booked;
    } else {
      candidates.push_back(&attempt);
    }
  }
  // Batch before services, then the least important, then what outgrew its declaration most.
  const auto rank = [this](const Attempt* attempt) {
    const LedgerEntry* entry = m_ledger.Find(attempt->command.key);
    const std::int64_t growth = entry->booked.memory_mb - entry->declared.memory_mb;
    return std::tuple(entry->kind == TaskKind::kService, attempt->command.terms.importance, -growth);
  };
  std::stable_sort(candidates.begin(), candidates.end(),
                   [&](const Attempt* a, const Attempt* b) { return rank(a) < rank(b); });
  std::vector<AttemptKey> unstarted;
  for (Attempt* attempt : candidates) {
    if (!LacksHardAmount(need)) break;
    const Resources& booked = m_ledger.Find(attempt->command.key)->booked;
    const bool helps = (need.memory_mb > 0 && booked.memory_mb > 0) ||
                       (need.accelerators > 0 && booked.accelerators > 0) || (need.slots > 0 && booked.slots > 0);
    if (!helps) continue;
    need -= booked;
    if (attempt->state == AttemptState::kAdmitted) {
      unstarted.push_back(attempt->command.key);
    } else {
      RequestStop(*attempt, StopReason::kOverCapacity, true, now);
    }
  }
  for (const AttemptKey& key : unstarted) End(key, EndReason::kNotStarted, Verdict::kNotRun, "over-capacity", now);
}

// ---- commands for the worker

std::vector<WorkerCommand> AttemptTable::TakeCommands(MonotonicTime now) {
  std::vector<WorkerCommand> commands;
  StopWhatMayNotRun(now);
  StopExcess(now);
  TakeStops(now, commands);
  TakeRenewals(now, commands);
  TakeThrottles(now, commands);
  TakeStarts(now, commands);
  TakeForgets(now, commands);
  return commands;
}

void AttemptTable::TakeStarts(MonotonicTime now, std::vector<WorkerCommand>& commands) {
  std::vector<std::pair<AttemptKey, RefusalReason>> refused;
  for (auto& [key, attempt] : m_attempts) {
    if (attempt.state != AttemptState::kAdmitted) continue;
    // The proof may have aged and the configuration changed since the admission.
    const RefusalReason refusal = StandingRefusal(now);
    if (refusal != RefusalReason::kNone) {
      refused.emplace_back(key, refusal);
      continue;
    }
    const AttemptTerms& terms = attempt.command.terms;
    attempt.state = AttemptState::kStarting;
    attempt.start_pending = true;
    attempt.next_renewal = now + terms.task_lease / kRenewalsPerLease;
    WorkerCommand start{.kind = WorkerCommandKind::kStart, .key = key};
    start.start_by = m_proof->at + m_options.start_freshness;
    start.start = {.task = key.task,
                   .attempt = key.attempt,
                   .resources = attempt.command.resources,
                   .lease = std::min(terms.task_lease, GraceEnd(attempt) - now),
                   .command = attempt.command.command,
                   .checkpoint = attempt.command.checkpoint};
    commands.push_back(std::move(start));
  }
  for (const auto& [key, refusal] : refused) {
    End(key, EndReason::kNotStarted, Verdict::kNotRun, std::string(kRefusalReasonNames.NameOf(refusal)), now);
  }
}

void AttemptTable::TakeStops(MonotonicTime now, std::vector<WorkerCommand>& commands) {
  for (auto& [key, attempt] : m_attempts) {
    // A stop that overtakes its start would have no effect, so it waits for the result of the start.
    if (attempt.state != AttemptState::kStopping || attempt.start_pending || attempt.stop_pending) continue;
    if (now < attempt.next_stop) continue;
    const bool in_time = now < attempt.stop_requested_at + m_options.checkpoint_timeout;
    attempt.stop_pending = true;
    commands.push_back(
        {.kind = WorkerCommandKind::kStop, .key = key, .with_checkpoint = attempt.stop_with_checkpoint && in_time});
  }
}

void AttemptTable::TakeRenewals(MonotonicTime now, std::vector<WorkerCommand>& commands) {
  if (!m_proof.has_value() || m_standing.worker_revoked) return;
  for (auto& [key, attempt] : m_attempts) {
    if (!attempt.confirmed || attempt.renewal_pending || attempt.tombstoned || now < attempt.next_renewal) continue;
    if (now >= GraceStop(attempt)) continue;
    // A checkpoint may take longer than the lease; every other stop is backed by the end of the lease.
    const bool checkpointing = attempt.state == AttemptState::kStopping && attempt.stop_with_checkpoint &&
                               attempt.stop_reason != StopReason::kRevoked &&
                               attempt.stop_reason != StopReason::kOutageGrace &&
                               now < attempt.stop_requested_at + m_options.checkpoint_timeout;
    if (attempt.state != AttemptState::kRunning && !checkpointing) continue;
    const absl::Duration lease = std::min(attempt.command.terms.task_lease, GraceEnd(attempt) - now);
    attempt.renewal_pending = true;
    attempt.next_renewal = now + lease / kRenewalsPerLease;
    commands.push_back({.kind = WorkerCommandKind::kRenew, .key = key, .lease = lease});
  }
}

void AttemptTable::TakeThrottles(MonotonicTime now, std::vector<WorkerCommand>& commands) {
  const int batch_percent = m_ledger.ThrottlePercent();
  for (auto& [key, attempt] : m_attempts) {
    if (attempt.state != AttemptState::kRunning || attempt.throttle_pending || now < attempt.next_throttle) continue;
    const int percent = attempt.command.terms.kind == TaskKind::kBatch ? batch_percent : 100;
    const int change = std::abs(percent - attempt.throttle_percent);
    if (change == 0 || (change < kThrottleStepPercent && percent != 100)) continue;
    attempt.throttle_pending = true;
    commands.push_back({.kind = WorkerCommandKind::kThrottle, .key = key, .percent = percent});
  }
}

void AttemptTable::TakeForgets(MonotonicTime now, std::vector<WorkerCommand>& commands) {
  for (auto& [key, forgetting] : m_forgetting) {
    if (forgetting.pending || forgetting.done || now < forgetting.next || m_attempts.contains(key)) continue;
    forgetting.pending = true;
    commands.push_back({.kind = WorkerCommandKind::kForget, .key = key});
  }
}

void AttemptTable::HandleResult(const WorkerCommand& command, const Result<void>& result, MonotonicTime now) {
  if (command.kind == WorkerCommandKind::kForget) {
    const auto found = m_forgetting.find(command.key);
    if (found == m_forgetting.end()) return;
    found->second.pending = false;
    found->second.done = result.has_value();
    found->second.done_at = now;
    found->second.next = now + m_options.retry_interval;
    return;
  }
  const auto found = m_attempts.find(command.key);
  if (found == m_attempts.end()) return;
  Attempt& attempt = found->second;
  switch (command.kind) {
    case WorkerCommandKind::kStart:
      HandleStartResult(attempt, result, now);
      return;
    case WorkerCommandKind::kRenew:
      attempt.renewal_pending = false;
      if (!result.has_value()) attempt.next_renewal = std::min(attempt.next_renewal, now + m_options.retry_interval);
      return;
    case WorkerCommandKind::kStop:
      attempt.stop_pending = false;
      if (!result.has_value()) {
        attempt.next_stop = now + m_options.retry_interval;
      } else if (command.with_checkpoint && attempt.stop_with_checkpoint) {
        // Repeating it could restart the checkpoint.
        attempt.next_stop = attempt.stop_requested_at + m_options.checkpoint_timeout;
      } else if (command.with_checkpoint) {
        attempt.next_stop = now;  // meanwhile a stop without checkpoint was asked for
      } else {
        attempt.next_stop = now + m_options.stop_repeat;
      }
      return;
    case WorkerCommandKind::kThrottle:
      attempt.throttle_pending = false;
      attempt.next_throttle = now + m_options.retry_interval;
      if (result.has_value()) attempt.throttle_percent = command.percent;
      return;
    case WorkerCommandKind::kForget:
      return;
  }
}

void AttemptTable::HandleStartResult(Attempt& attempt, const Result<void>& result, MonotonicTime now) {
  // Reset by a report that lists the attempt; the worker's list is better evidence than the late result.
  if (!attempt.start_pending) return;
  attempt.start_pending = false;
  if (result.has_value()) {
    attempt.confirmed = true;
    attempt.confirmed_at = now;
    if (attempt.state == AttemptState::kStarting) attempt.state = AttemptState::kRunning;
    return;
  }
  if (result.error().verdict == Verdict::kNotRun) {
    const AttemptKey key = attempt.command.key;
    End(key, EndReason::kNotStarted, Verdict::kNotRun, result.error().message, now);
    return;
  }
  attempt.uncertain_since = now;
}

// ---- queries

std::vector<AttemptView> AttemptTable::Attempts() const {
  std::vector<AttemptView> views;
  views.reserve(m_attempts.size());
  for (const auto& [key, attempt] : m_attempts) {
    views.push_back({.key = key,
                     .state = attempt.state,
                     .stop_reason = attempt.stop_reason,
                     .adopted = attempt.adopted,
                     .share = attempt.command.share,
                     .offset = attempt.command.offset,
                     .booked = m_ledger.Find(key)->booked,
                     .checkpoint = attempt.checkpoint});
  }
  return views;
}

std::vector<EndedAttempt> AttemptTable::Ended() const {
  std::vector<EndedAttempt> ended;
  ended.reserve(m_ended.size());
  for (const auto& [key, attempt] : m_ended) ended.push_back(attempt);
  return ended;
}

std::optional<AttemptState> AttemptTable::StateOf(const AttemptKey& key) const {
  if (const auto found = m_attempts.find(key); found != m_attempts.end()) return found->second.state;
  if (m_ended.contains(key)) return AttemptState::kEnded;
  return std::nullopt;
}

}  // namespace berylgauge
