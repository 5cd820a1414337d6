#include "control/entry_node.h"

#include <absl/strings/escaping.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <iterator>
#include <utility>

#include "base/absl_string_view.h"
#include "base/event_log.h"
#include "base/stable_hash.h"
#include "control/member_record.h"
#include "control/register_member.h"
#include "workflow/job_codec.h"
#include "workflow/record_keys.h"

namespace berylgauge::control {

using workflow::JobPhase;

namespace {

/// Time between two looks at whether the ownership should be claimed.
constexpr absl::Duration kTickInterval = absl::Milliseconds(200);

/// Time allowed for reading to the end of the submissions for an unknown id; clients wait at least 3 s.
constexpr absl::Duration kLookupTimeout = absl::Milliseconds(1200);

/// Pause before an owner that could not read all submissions tries again.
constexpr absl::Duration kBeginRetryPause = absl::Milliseconds(100);

/// A claim that cannot have been stored is given up after this time.
constexpr absl::Duration kClaimGiveUp = absl::Seconds(1);
/// The same for the removal of cancellations, which is tried again later.
constexpr absl::Duration kRemovalGiveUp = absl::Seconds(1);

/// Waits of the reads; a claim needs to see a silent progress partition soon after the owner's last sign.
constexpr absl::Duration kProgressWait = absl::Milliseconds(500);
constexpr absl::Duration kSubmissionWait = absl::Milliseconds(1000);
/// The same for the owner, whose starts depend on how lately it has read the submissions: one read without an answer
/// (this and 0.8 s) should not hold them up.
constexpr absl::Duration kOwnerSubmissionWait = absl::Milliseconds(500);

constexpr const char* kDecisionsMetric = "berylgauge_scheduler_decisions";
constexpr const char* kDecisionsHelp = "Decisions since this entry became the owner";

constexpr const char* kLostRunsMetric = "berylgauge_scheduler_lost_runs";
constexpr const char* kLostRunsHelp = "Runs given up without an end since this entry became the owner";

constexpr const char* kLastingShareMetric = "berylgauge_lasting_share_permille";
constexpr const char* kLastingShareHelp =
    "Part of the tasks that last which are at work, mean over the steps of a queue by size, at the owner";

struct LastingShareFigure {
  const char* size;
  double workflow::LastingShares::*value;
};

constexpr LastingShareFigure kLastingShareFigures[] = {
    {"all", &workflow::LastingShares::all},
    {"largest-tenth", &workflow::LastingShares::largest_tenth},
    {"next-fifth", &workflow::LastingShares::next_fifth},
    {"least", &workflow::LastingShares::least},
};

struct DecisionCount {
  const char* label;
  std::uint64_t workflow::SchedulerCounts::*value;
};

constexpr DecisionCount kDecisionCounts[] = {
    {"kind=\"placement\"", &workflow::SchedulerCounts::placements},
    {"kind=\"end-done\"", &workflow::SchedulerCounts::ends_done},
    {"kind=\"end-failed\"", &workflow::SchedulerCounts::ends_failed},
    {"kind=\"end-lost\"", &workflow::SchedulerCounts::ends_lost},
    {"kind=\"end-other\"", &workflow::SchedulerCounts::ends_other},
    {"kind=\"run-unknown\"", &workflow::SchedulerCounts::unknown_runs},
    {"kind=\"end-unmatched\"", &workflow::SchedulerCounts::ends_unmatched},
    {"kind=\"refused-start\"", &workflow::SchedulerCounts::refused_starts},
    {"kind=\"quarantine\"", &workflow::SchedulerCounts::quarantines},
    {"kind=\"trial\"", &workflow::SchedulerCounts::trials},
    {"kind=\"readmission\"", &workflow::SchedulerCounts::readmissions},
    {"kind=\"move\"", &workflow::SchedulerCounts::moves},
    {"kind=\"room-made\"", &workflow::SchedulerCounts::rooms_made},
    {"kind=\"room-move\"", &workflow::SchedulerCounts::room_moves},
    {"kind=\"room-loss\"", &workflow::SchedulerCounts::room_losses},
    {"kind=\"placed-near\"", &workflow::SchedulerCounts::near_placements},
    {"kind=\"placed-far\"", &workflow::SchedulerCounts::far_placements},
    {"kind=\"placement-delayed\"", &workflow::SchedulerCounts::delayed_placements},
    {"kind=\"job-done\"", &workflow::SchedulerCounts::jobs_done},
    {"kind=\"job-failed\"", &workflow::SchedulerCounts::jobs_failed},
};

}  // namespace

EntryNode::EntryNode(EventLoop& loop, KeyedLog& log, const Clock& clock, const OperatorRecordDecoder& operators,
                     MetricsRegistry& metrics, EntryNodeOptions options)
    : m_loop(loop),
      m_log(log),
      m_clock(clock),
      m_decoder(operators),
      m_options(std::move(options)),
      m_ownership(m_options.ownership),
      m_last_owner_sign(loop.Now()),
      m_submissions(loop, log, {.partition = m_options.submissions, .producer = m_options.ProcessName()}),
      m_admission(m_options.admission),
      m_submission_tail(
          loop, log,
          {.partition = m_options.submissions, .wait = kSubmissionWait, .min_interval = m_options.follower_interval},
          {.on_record = [this](const KeyedRecord& record) { OnSubmissionRecord(record); },
           .on_reset = [this] { m_index.ClearSubmissions(); },
           .on_end =
               [this] {
                 ForgetReadJobs();
                 NoteRemovals();
                 ConsiderClaim();
               }}),
      m_lookups(loop, m_submission_tail, {.timeout = kLookupTimeout}),
      m_progress_tail(
          loop, log,
          {.partition = m_options.progress, .wait = kProgressWait, .min_interval = m_options.follower_interval},
          {.on_record = [this](const KeyedRecord& record) { OnProgressRecord(record); },
           .on_reset = [this] { m_index.ClearProgress(); },
           .on_end = [this] { ConsiderClaim(); }}),
      m_operator_tail(loop, log, {.partition = m_options.operators},
                      {.on_record = [this](const KeyedRecord& record) { OnOperatorRecord(record); },
                       .on_reset = [this] { OnOperatorReset(); },
                       .on_end = [this] { ApplyLimits(); }}),
      m_member_tail(loop, log, {.partition = m_options.members},
                    {.on_record = [this](const KeyedRecord& record) { OnMemberRecord(record); },
                     .on_reset = [] {},
                     .on_end = [] {}}),
      m_registration(loop, log, {.partition = m_options.members, .producer = m_options.ProcessName()}),
      m_peers(loop, m_options.host),
      m_alive(std::make_shared<bool>(true)),
      m_metrics(metrics),
      m_accepted(metrics.GetCounter("berylgauge_jobs_accepted_total", "Jobs that were stored")),
      m_refused(metrics.GetCounter("berylgauge_jobs_refused_total", "Jobs that were refused and not stored")),
      m_refused_for_memory(metrics.GetCounter("berylgauge_jobs_refused_for_memory_total",
                                              "Jobs that were not accepted for the memory that they would take")),
      m_cancelled(metrics.GetCounter("berylgauge_jobs_cancelled_total", "Cancellations that were stored")),
      m_cancellations_refused(
          metrics.GetCounter("berylgauge_cancellations_refused_total",
                             "Cancellations of unknown jobs that were refused because too many are kept")),
      m_claims(metrics.GetCounter("berylgauge_owner_claims_total", "Claims of the ownership that were stored")),
      m_is_owner(metrics.GetGauge("berylgauge_is_owner", "1 while this entry owns the scheduling decisions")),
      m_jobs(metrics.GetGauge("berylgauge_jobs", "Jobs known to this entry")),
      m_job_memory(metrics.GetGauge("berylgauge_job_memory_bytes", "Estimated memory of accepted jobs")),
      m_cancellations_without_job(metrics.GetGauge("berylgauge_cancellations_without_job",
                                                   "Cancellations that are kept for jobs which are not stored")),
      m_corrupt_records(metrics.GetGauge("berylgauge_corrupt_records", "Records of the store that cannot be read")),
      m_waiting_tasks(metrics.GetGauge("berylgauge_waiting_tasks", "Tasks that wait for a worker, at the owner")),
      m_longest_wait(metrics.GetGauge("berylgauge_longest_wait_ms",
                                      "Time for which the task that waits longest has waited, at the owner")),
      m_placed_tasks(metrics.GetGauge("berylgauge_placed_tasks", "Tasks with a run, at the owner")),
      m_quarantined_workers(metrics.GetGauge("berylgauge_quarantined_workers",
                                             "Workers taken out because everything fails on them, at the owner")),
      m_config_version(metrics.GetGauge("berylgauge_config_version", "Version of the configuration in force")) {}

EntryNode::~EntryNode() {
  *m_alive = false;
  m_loop.CancelTimer(m_timer);
}

void EntryNode::Start() {
  m_operator_tail.Start();
  m_submission_tail.Start();
  m_progress_tail.Start();
  m_member_tail.Start();
  Register();
  Tick();
}

void EntryNode::Tick() {
  PublishMetrics();
  ConsiderClaim();
  if (!IsServedByStore(m_loop.Now())) m_peers.Probe();
  m_timer = m_loop.AddTimer(m_loop.Now() + kTickInterval, [this] { Tick(); });
}

void EntryNode::PublishMetrics() {
  m_jobs.Set(static_cast<std::int64_t>(m_index.size() - m_index.cancellations_without_job()));
  m_job_memory.Set(static_cast<std::int64_t>(JobMemoryUsed()));
  m_cancellations_without_job.Set(static_cast<std::int64_t>(m_index.cancellations_without_job()));
  m_corrupt_records.Set(static_cast<std::int64_t>(m_index.corrupt_records()));
  const workflow::Scheduler* scheduler = m_owner != nullptr ? m_owner->scheduler() : nullptr;
  if (scheduler == nullptr) return;
  m_waiting_tasks.Set(static_cast<std::int64_t>(scheduler->WaitingTasks()));
  m_longest_wait.Set(absl::ToInt64Milliseconds(scheduler->LongestWait(m_loop.Now())));
  m_placed_tasks.Set(static_cast<std::int64_t>(scheduler->PlacedTasks()));
  m_quarantined_workers.Set(static_cast<std::int64_t>(scheduler->QuarantinedWorkers()));
  for (const DecisionCount& count : kDecisionCounts) {
    m_metrics.GetGauge(kDecisionsMetric, kDecisionsHelp, count.label)
        .Set(static_cast<std::int64_t>(scheduler->counts().*count.value));
  }
  constexpr double kPerMille = 1000;
  for (const auto& [queue, shares] : scheduler->lasting_shares()) {
    for (const LastingShareFigure& figure : kLastingShareFigures) {
      m_metrics
          .GetGauge(kLastingShareMetric, kLastingShareHelp,
                    absl::StrCat("queue=\"", absl::Utf8SafeCEscape(queue), "\",size=\"", figure.size, "\""))
          .Set(static_cast<std::int64_t>(shares.*figure.value * kPerMille));
    }
  }
  for (const auto& [reason, name] : workflow::kRunLossNames.entries()) {
    m_metrics.GetGauge(kLostRunsMetric, kLostRunsHelp, absl::StrCat("reason=\"", ToAbsl(name), "\""))
        .Set(static_cast<std::int64_t>(scheduler->counts().lost_runs[static_cast<std::size_t>(reason)]));
  }
}

bool EntryNode::IsReady(MonotonicTime now) const {
  if (m_leaving || !m_queues || !m_submission_tail.is_loaded() || !m_progress_tail.is_loaded()) return false;
  return IsServedByStore(now) || m_peers.HasReadyPeer(now);
}

bool EntryNode::IsBehindPeers() const { return m_queues && m_queues->version() < m_newest_passed_on; }

bool EntryNode::IsServedByStore(MonotonicTime now) const {
  if (IsBehindPeers()) return false;
  const std::optional<MonotonicTime> failing_since = m_submissions.failing_since();
  if (failing_since && now - *failing_since >= m_options.failing_appends) return false;
  // The owner does not read what it writes itself.
  if (m_owner == nullptr && m_progress_tail.failures() >= m_options.failed_reads) return false;
  return m_submission_tail.failures() < m_options.failed_reads &&
         now - m_submission_tail.answered_at() <= m_options.store_silence + kSubmissionWait;
}

void EntryNode::Register() {
  const MemberRecord member{.kind = MemberKind::kEntry,
                            .address = m_options.address,
                            .port = m_options.internal_port,
                            .job_memory_bytes = m_options.admission.memory_bytes};
  RegisterMember(m_registration, m_options.host, member);
}

void EntryNode::OnMemberRecord(const KeyedRecord& record) {
  const Result<MemberRecord> member = DecodeMember(record.value);
  if (!member) {
    LogEvent(LogLevel::kWarning, "member_unreadable", {{"host", record.key}, {"reason", member.error().message}});
    return;
  }
  m_peers.SetPeer(record.key, *member);
  if (record.key != m_options.host) m_admission.SetPeer(record.key, member->job_memory_bytes);
  m_members[record.key] = *member;
  if (m_owner != nullptr) m_owner->SetMember(record.key, *member);
}

// ---- Requests

void EntryNode::Submit(const workflow::JobDefinition& job, absl::AnyInvocable<void(SubmitOutcome)> callback) {
  const workflow::JobIndex::Job* known = m_index.Find(job.id);
  if (known != nullptr && !known->definition.empty()) {
    m_loop.Defer([callback = std::move(callback)]() mutable { callback(SubmitOutcome::kAccepted); });
    return;
  }
  if (known != nullptr && known->cancelled) {
    m_loop.Defer([callback = std::move(callback)]() mutable { callback(SubmitOutcome::kCancelled); });
    return;
  }
  if (job.queue.needs_advice) {
    // Workers refuse every start without a ticket of the advice service. A job of that id may stand from the time of an
    // earlier configuration.
    Refuse(job.id, SubmitOutcome::kUnservable, std::move(callback));
    return;
  }
  workflow::JobDefinition accepted = job;
  accepted.accepted_unix_ms = absl::ToUnixMillis(m_clock.WallNow());
  std::string record = EncodeJob(accepted);
  const std::size_t footprint = workflow::FootprintOf(accepted, record.size()).total();
  const std::size_t used = JobMemoryUsed();
  const JobAdmissionVerdict verdict = m_admission.Decide(record.size(), footprint, used);
  if (verdict == JobAdmissionVerdict::kAdmitted) {
    StoreJob(job.id, std::move(record), footprint, std::move(callback));
    return;
  }
  m_refused_for_memory.Add();
  LogEvent(LogLevel::kInfo, "job_not_admitted",
           {{"job", job.id},
            {"verdict", kJobAdmissionVerdictNames.NameOf(verdict)},
            {"record_bytes", record.size()},
            {"footprint_bytes", footprint},
            {"used_bytes", used},
            {"memory_bytes", m_admission.memory_bytes()}});
  if (verdict == JobAdmissionVerdict::kOutgrowsRecord) {
    // No entry can have stored it, so there is nothing to look for.
    m_loop.Defer([callback = std::move(callback)]() mutable { callback(SubmitOutcome::kTooLarge); });
    return;
  }
  const bool is_too_large = verdict == JobAdmissionVerdict::kTooLarge;
  Refuse(job.id, is_too_large ? SubmitOutcome::kTooLarge : SubmitOutcome::kNoMemory, std::move(callback));
}

std::size_t EntryNode::JobMemoryUsed() const {
  std::size_t used = m_index.footprint_bytes() + m_unstored_job_bytes;
  for (const StoredJob& job : m_unread_jobs) used += job.footprint;
  return used;
}

void EntryNode::ForgetReadJobs() {
  while (!m_unread_jobs.empty() && m_unread_jobs.front().stored_at <= m_submission_tail.complete_as_of()) {
    m_unread_jobs.pop_front();
  }
}

void EntryNode::Refuse(const std::string& job, SubmitOutcome outcome,
                       absl::AnyInvocable<void(SubmitOutcome)> callback) {
  Lookup(job, [outcome, callback = std::move(callback)](const JobLookup& found) mutable {
    if (found.phase) {
      callback(SubmitOutcome::kAccepted);
    } else {
      callback(found.is_certain ? outcome : SubmitOutcome::kUnknown);
    }
  });
}

void EntryNode::StoreJob(const std::string& job, std::string record, std::size_t footprint,
                         absl::AnyInvocable<void(SubmitOutcome)> callback) {
  m_unstored_job_bytes += footprint;
  m_submissions.Add({{.key = job, .value = std::move(record)}},
                    [this, alive = m_alive, footprint, callback = std::move(callback)](AppendOutcome outcome) mutable {
                      if (!*alive) return;
                      m_unstored_job_bytes -= footprint;
                      if (outcome == AppendOutcome::kUnknown) {
                        callback(SubmitOutcome::kUnknown);
                        return;
                      }
                      const bool stored = outcome == AppendOutcome::kStored;
                      if (stored) m_unread_jobs.push_back({.stored_at = m_loop.Now(), .footprint = footprint});
                      (stored ? m_accepted : m_refused).Add();
                      callback(stored ? SubmitOutcome::kAccepted : SubmitOutcome::kRefused);
                    });
}

void EntryNode::Cancel(const std::string& job, absl::AnyInvocable<void(CancelOutcome)> callback) {
  Lookup(job, [this, alive = m_alive, job, callback = std::move(callback)](JobLookup found) mutable {
    if (!*alive) return;
    if (found.phase) {
      if (IsFinal(*found.phase)) {
        callback(CancelOutcome::kCancelled);
      } else {
        StoreCancellation(job, true, std::move(callback));
      }
      return;
    }
    if (!found.is_certain) {
      callback(CancelOutcome::kFailed);
      return;
    }
    // The submission may be under way at another entry, and be stored after any answer that is given here. An earlier
    // cancellation does not do, because it is removed after a time.
    if (MayKeepCancellation(job)) {
      StoreCancellation(job, false, std::move(callback));
    } else {
      m_cancellations_refused.Add();
      callback(CancelOutcome::kTooMany);
    }
  });
}

bool EntryNode::MayKeepCancellation(const std::string& job) const {
  if (m_unstored_cancellations >= m_options.max_unstored_cancellations) return false;
  const workflow::JobIndex::Job* recorded = m_index.Find(job);
  if (recorded != nullptr && recorded->cancelled) return true;  // takes no further room
  return m_index.cancellations_without_job() + m_unstored_cancellations < m_options.max_cancellations_without_job;
}

void EntryNode::StoreCancellation(const std::string& job, bool is_known,
                                  absl::AnyInvocable<void(CancelOutcome)> callback) {
  if (!is_known) ++m_unstored_cancellations;
  m_submissions.Add(
      {{.key = workflow::CancellationKey(job), .value = std::string(workflow::kCancellationValue)}},
      [this, alive = m_alive, job, is_known, callback = std::move(callback)](AppendOutcome outcome) mutable {
        if (!*alive) return;
        if (!is_known) --m_unstored_cancellations;
        if (outcome == AppendOutcome::kUnknown) {
          callback(CancelOutcome::kUnknown);
          return;
        }
        if (outcome != AppendOutcome::kStored) {
          callback(CancelOutcome::kFailed);
          return;
        }
        m_cancelled.Add();
        // Clients of this entry see it at once; the tail applies it again.
        m_index.ApplySubmission(workflow::CancellationKey(job), workflow::kCancellationValue);
        if (m_owner != nullptr) m_owner->OnCancellation(job);
        callback(is_known ? CancelOutcome::kCancelled : CancelOutcome::kUnknownJob);
      });
}

void EntryNode::OnAnsweredByPeer(std::int64_t configuration) {
  m_newest_passed_on = std::max(m_newest_passed_on, configuration);
}

void EntryNode::Lookup(const std::string& job, absl::AnyInvocable<void(JobLookup)> callback) {
  const std::optional<JobPhase> phase = m_index.PhaseOf(job);
  if (phase) {
    callback({.phase = phase, .is_certain = true});
    return;
  }
  m_lookups.Request([this, alive = m_alive, job, callback = std::move(callback)](bool complete) mutable {
    if (*alive) callback({.phase = m_index.PhaseOf(job), .is_certain = complete});
  });
}

// ---- Records

void EntryNode::OnSubmissionRecord(const KeyedRecord& record) {
  m_index.ApplySubmission(record.key, record.value);
  if (m_owner == nullptr || record.key.empty() || record.value.empty()) return;
  if (record.key.back() == workflow::kCancellationMark) {
    m_owner->OnCancellation(record.key.substr(0, record.key.size() - 1));
  } else {
    m_owner->OnSubmission(record.key);
  }
}

void EntryNode::OnProgressRecord(const KeyedRecord& record) {
  m_index.ApplyProgress(record.key, record.value);
  m_last_owner_sign = m_loop.Now();
}

void EntryNode::OnOperatorRecord(const KeyedRecord& record) {
  Result<OperatorRecord> decoded = m_decoder.Decode(record.key, record.value);
  if (!decoded) {
    LogEvent(LogLevel::kWarning, "operator_record_unreadable",
             {{"key", record.key}, {"offset", record.offset}, {"reason", decoded.error().message}});
    return;
  }
  switch (decoded->kind) {
    case OperatorRecord::Kind::kQueues:
      if (!decoded->queues || (m_queues && decoded->queues->version() < m_queues->version())) return;
      m_queues = std::move(decoded->queues);
      m_config_version.Set(m_queues->version());
      LogEvent(LogLevel::kInfo, "configuration",
               {{"version", m_queues->version()}, {"queues", m_queues->size()}, {"offset", record.offset}});
      return;
    case OperatorRecord::Kind::kEvacuation:
      LogEvent(LogLevel::kInfo, "evacuation",
               {{"zone", decoded->zone}, {"removed", decoded->removed}, {"offset", record.offset}});
      if (decoded->removed) {
        m_evacuated_zones.erase(decoded->zone);
      } else {
        m_evacuated_zones.insert(decoded->zone);
      }
      ApplyLimits();
      return;
    case OperatorRecord::Kind::kOther:
      LogEvent(LogLevel::kWarning, "operator_record_ignored", {{"key", record.key}, {"offset", record.offset}});
      return;
  }
}

void EntryNode::OnOperatorReset() { m_evacuated_zones.clear(); }

void EntryNode::ApplyLimits() {
  if (m_owner != nullptr) m_owner->SetLimits({.evacuated_zones = m_evacuated_zones});
}

// ---- Ownership

void EntryNode::ConsiderClaim() {
  if (m_owner != nullptr || m_claiming || m_leaving) return;
  const workflow::OwnerRecord& owner = m_index.owner();
  const OwnershipView view{
      .loaded = m_submission_tail.is_loaded() && m_progress_tail.is_loaded() && m_operator_tail.is_loaded(),
      .at_end = m_progress_tail.is_at_end(),
      .answered_at = m_progress_tail.answered_at(),
      .has_owner = !owner.holder.empty(),
      .owner_is_self = owner.holder == m_options.ProcessName(),
      .owner_has_ended = FormerOwnerHasEnded(),
      .last_sign = m_last_owner_sign};
  if (m_ownership.ShouldClaim(view, m_loop.Now())) Claim();
}

bool EntryNode::FormerOwnerHasEnded() const {
  const std::string& holder = m_index.owner().holder;
  const bool is_this_process = holder == m_options.ProcessName();
  return holder.empty() || (holder.starts_with(m_options.host + ".") && !is_this_process);
}

void EntryNode::Claim() {
  m_claiming = true;
  m_progress_tail.Pause();
  const std::string holder = m_options.ProcessName();
  const std::int64_t former = std::max(m_index.owner().epoch, m_fenced_epoch);
  workflow::SchedulerOptions scheduler = m_options.scheduler;
  workflow::OwnerRecord recorded = m_index.owner();
  // Nobody has claimed before, unless the record cannot be read.
  if (recorded.epoch == 0) recorded.is_sole = m_index.corrupt_records() == 0;
  scheduler.former_owner_grants = GrantsOfFormerOwners(recorded, FormerOwnerHasEnded(), scheduler.former_owner_grants);
  const workflow::OwnerRecord record{.epoch = workflow::NextOwnerEpoch(former, StableHash64(holder)),
                                     .holder = holder,
                                     .is_sole = scheduler.former_owner_grants == absl::ZeroDuration()};
  LogEvent(LogLevel::kInfo, "owner_claim",
           {{"epoch", record.epoch},
            {"former", m_index.owner().holder},
            {"former_grants_ms", absl::ToInt64Milliseconds(scheduler.former_owner_grants)},
            {"silence_ms", absl::ToInt64Milliseconds(m_loop.Now() - m_last_owner_sign)},
            {"position", m_progress_tail.position()}});
  auto writer = std::make_unique<LogWriter>(
      m_loop, m_log, LogWriterOptions{.partition = m_options.progress, .producer = "owner", .epoch = record.epoch});
  LogWriter& claim = *writer;
  claim.Write(
      {{.key = std::string(workflow::kOwnerKey), .value = EncodeOwner(record)}}, m_progress_tail.position(),
      kClaimGiveUp,
      [this, record, scheduler, writer = std::move(writer), alive = m_alive](const AppendAnswer& answer) mutable {
        if (*alive) OnClaimed(answer, std::move(writer), record, scheduler);
      });
}

void EntryNode::OnClaimed(const AppendAnswer& answer, std::unique_ptr<LogWriter> writer,
                          const workflow::OwnerRecord& record, const workflow::SchedulerOptions& scheduler) {
  m_claiming = false;
  if (answer.outcome != AppendOutcome::kStored) {
    LogEvent(
        LogLevel::kInfo, "owner_claim_failed",
        {{"epoch", record.epoch}, {"outcome", kAppendOutcomeNames.NameOf(answer.outcome)}, {"reason", answer.detail}});
    if (answer.outcome == AppendOutcome::kFenced) m_fenced_epoch = record.epoch;
    m_ownership.OnClaimFailed(m_loop.Now());
    m_progress_tail.Resume(m_progress_tail.position());
    // Freed after this call, which runs inside it.
    m_loop.Defer([writer = std::move(writer)] {});
    return;
  }
  m_claims.Add();
  m_is_owner.Set(1);
  m_progress_end = answer.end;
  m_index.ApplyProgress(workflow::kOwnerKey, EncodeOwner(record));
  m_submission_tail.SetMinInterval(absl::ZeroDuration());
  m_submission_tail.SetWait(kOwnerSubmissionWait);
  m_owner = std::make_unique<OwnerRole>(
      m_loop, m_clock, std::move(writer), m_index,
      OwnerRoleOptions{.record = record,
                       .submissions_known_until = [this] { return m_submission_tail.complete_as_of(); },
                       .scheduler = scheduler},
      OwnerRole::Listener{.on_deposed = [this] { EndOwnership(); },
                          .on_stored =
                              [this](const std::vector<KeyedRecord>& records, std::int64_t end) {
                                for (const KeyedRecord& stored : records)
                                  m_index.ApplyProgress(stored.key, stored.value);
                                m_progress_end = end;
                              },
                          .on_retired = [this](const std::vector<std::string>& jobs) { RemoveRecords(jobs); }});
  BeginOwnership();
}

void EntryNode::BeginOwnership() {
  const std::int64_t epoch = m_owner->epoch();
  m_submission_tail.ReadToEnd(kLookupTimeout, [this, epoch, alive = m_alive](bool complete) {
    if (!*alive || !IsOwnerOf(epoch)) return;
    if (!complete) {
      m_loop.AddTimer(m_loop.Now() + kBeginRetryPause, [this, epoch, alive] {
        if (*alive && IsOwnerOf(epoch)) BeginOwnership();
      });
      return;
    }
    ApplyLimits();
    m_owner->Begin();
    for (const auto& [host, member] : m_members) m_owner->SetMember(host, member);
  });
}

void EntryNode::RemoveRecords(const std::vector<std::string>& jobs) {
  std::vector<std::string> cancellations;
  for (const std::string& job : jobs) {
    const workflow::JobIndex::Job* recorded = m_index.Find(job);
    if (recorded != nullptr && !recorded->definition.empty()) {
      RemoveSubmission(job);
    } else if (recorded != nullptr && recorded->cancelled) {
      cancellations.push_back(job);
    } else {
      m_owner->OnSubmissionRemoved(job);  // by an append whose outcome was unknown
    }
  }
  if (!cancellations.empty()) RemoveCancellations(std::move(cancellations));
}

void EntryNode::RemoveCancellations(std::vector<std::string> jobs) {
  const auto keep = [this](const std::vector<std::string>& kept) {
    if (m_owner == nullptr) return;
    for (const std::string& job : kept) m_owner->OnSubmissionNotRemoved(job);
  };
  const bool is_busy = m_cancellation_remover != nullptr && m_cancellation_remover->is_busy();
  if (is_busy || !m_submission_tail.is_at_end()) {
    keep(jobs);
    return;
  }
  std::vector<KeyedRecord> records;
  for (const std::string& job : jobs) records.push_back({.key = workflow::CancellationKey(job), .value = {}});
  m_cancellation_remover =
      std::make_unique<LogWriter>(m_loop, m_log,
                                  LogWriterOptions{.partition = m_options.submissions,
                                                   .producer = m_options.ProcessName() + ".cancellations",
                                                   .epoch = ++m_cancellation_removals});
  m_cancellation_remover->Write(std::move(records), m_submission_tail.position(), kRemovalGiveUp,
                                [this, keep, jobs = std::move(jobs)](const AppendAnswer& answer) mutable {
                                  if (answer.outcome != AppendOutcome::kStored) {
                                    LogEvent(LogLevel::kInfo, "cancellations_not_removed",
                                             {{"cancellations", jobs.size()},
                                              {"outcome", kAppendOutcomeNames.NameOf(answer.outcome)},
                                              {"reason", answer.detail}});
                                    keep(jobs);
                                  } else if (m_owner != nullptr) {
                                    std::move(jobs.begin(), jobs.end(), std::back_inserter(m_removed_jobs));
                                  }
                                });
}

void EntryNode::RemoveSubmission(const std::string& job) {
  m_submissions.Add({{.key = job, .value = {}}, {.key = workflow::CancellationKey(job), .value = {}}},
                    [this, alive = m_alive, job](AppendOutcome outcome) {
                      if (!*alive) return;
                      if (outcome != AppendOutcome::kStored) {
                        LogEvent(LogLevel::kWarning, "job_not_removed",
                                 {{"job", job}, {"outcome", kAppendOutcomeNames.NameOf(outcome)}});
                        if (m_owner != nullptr) m_owner->OnSubmissionNotRemoved(job);
                      } else if (m_owner != nullptr) {
                        m_removed_jobs.push_back(job);
                      }
                    });
}

void EntryNode::NoteRemovals() {
  if (m_owner == nullptr) return;
  std::vector<std::string> unread;
  for (std::string& job : std::exchange(m_removed_jobs, {})) {
    const workflow::JobIndex::Job* known = m_index.Find(job);
    if (known != nullptr && (known->cancelled || !known->definition.empty())) {
      unread.push_back(std::move(job));
    } else {
      m_owner->OnSubmissionRemoved(job);
    }
  }
  m_removed_jobs = std::move(unread);
}

void EntryNode::EndOwnership() {
  m_removed_jobs.clear();
  m_is_owner.Set(0);
  m_last_owner_sign = m_loop.Now();
  m_submission_tail.SetMinInterval(m_options.follower_interval);
  m_submission_tail.SetWait(kSubmissionWait);
  m_progress_tail.Resume(m_progress_end);
  m_loop.Defer([owner = std::move(m_owner)] {});
}

void EntryNode::HandOver(std::function<void()> done) {
  m_leaving = true;
  if (m_owner == nullptr) {
    done();
    return;
  }
  m_owner->HandOver(std::move(done));
}

}  // namespace berylgauge::control
