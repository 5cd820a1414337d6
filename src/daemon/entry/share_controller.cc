#include "daemon/entry/share_controller.h"

#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <deque>
#include <utility>
#include <vector>

#include "daemon/entry/failure_monitor.h"
#include "schedule/placer.h"
#include "state/config_state.h"
#include "state/jobs_state.h"

namespace berylgauge {
namespace {

/// Added to the outage grace before a silent worker's tasks count as ended: covers the drift between the clocks of
/// agent and owner and the time that the agent needs to stop them.
constexpr double kGraceMargin = 1.05;

/// Tasks considered for placement in one step; bounds the time of a step when many wait.
constexpr std::size_t kMaxPlacementsPerStep = 200;

/// Until a task without room is considered again, unless room becomes free earlier. Shorter for urgent work, which has
/// to start within 1.3 s.
constexpr absl::Duration kPlacementRetry = absl::Milliseconds(500);
constexpr absl::Duration kUrgentRetry = absl::Milliseconds(100);

/// Until a decision whose record was not folded is taken again.
constexpr absl::Duration kDecisionRetry = absl::Seconds(1);

/// Until an attempt that has to be stopped asks again for a token of the eviction limit.
constexpr absl::Duration kEvictionRetry = absl::Milliseconds(200);

/// Until the attempts of a silent worker are looked at again.
constexpr absl::Duration kSilentRecheck = absl::Seconds(1);

AttemptOutcome ToOutcome(ReportedAttemptOutcome outcome) {
  switch (outcome) {
    case ReportedAttemptOutcome::kSucceeded:
      return AttemptOutcome::kSucceeded;
    case ReportedAttemptOutcome::kFailed:
      return AttemptOutcome::kFailed;
    case ReportedAttemptOutcome::kStopped:
    case ReportedAttemptOutcome::kLeaseExpired:
      return AttemptOutcome::kStopped;
    case ReportedAttemptOutcome::kNotRun:
      return AttemptOutcome::kNotRun;
    case ReportedAttemptOutcome::kWorkerLost:
      break;
  }
  return AttemptOutcome::kLost;
}

/// Refills a token bucket that holds at most one second's worth, or one token.
void Refill(double per_second, MonotonicTime now, double& tokens, MonotonicTime& at) {
  const double capacity = std::max(1.0, per_second);
  const bool first = at == InfinitePast();
  tokens = first ? capacity : std::min(capacity, tokens + per_second * absl::ToDoubleSeconds(now - at));
  at = now;
}

}  // namespace

ShareController::ShareController(ShareControllerOptions options, Placer& placer, FailureMonitor& failures)
    : m_options(std::move(options)), m_placer(placer), m_failures(failures), m_usage(placer) {}

bool ShareController::IsOwner(const JobsState& jobs) const {
  return jobs.epoch() > 0 && !jobs.released() && jobs.owner() == m_options.entry &&
         jobs.owner_incarnation() == m_options.incarnation;
}

std::string ShareController::WaitReason(const TaskId& task) const {
  const auto it = m_wait_reasons.find(task);
  return it == m_wait_reasons.end() ? "" : it->second;
}

ShareDecisions ShareController::Step(const ShareInputs& inputs, MonotonicTime now, absl::BitGenRef random) {
  ShareDecisions decisions;
  m_epoch = inputs.jobs.epoch();
  m_ended.clear();
  // Also while another entry owns the share, so that a change of owner loses no evidence.
  m_failures.Observe(m_options.share, inputs.jobs, now);
  // The order matters: a rejected placement has to be settled as long as this process knows that it booked it.
  if (inputs.log_is_fresh) m_usage.SettleDecided(inputs.jobs);
  m_usage.Update(inputs.jobs, IsOwner(inputs.jobs));
  // Without the tail of the log, what this entry knows may be out of date, and it could write nothing anyway.
  if (!inputs.log_is_fresh) return decisions;
  DecideOwnership(inputs, now, decisions);
  if (IsOwner(inputs.jobs) && decisions.records.empty()) StepAsOwner(inputs, now, random, decisions);
  return decisions;
}

void ShareController::DecideOwnership(const ShareInputs& inputs, MonotonicTime now, ShareDecisions& decisions) {
  if (!IsOwner(inputs.jobs)) {
    m_owner_since.reset();
    m_indexed.reset();
    m_other_preferred_since.reset();
    if (!inputs.leaving && MayClaim(inputs)) {
      decisions.records.emplace_back(ShareClaimed{
          .entry = m_options.entry, .entry_incarnation = m_options.incarnation, .previous_epoch = inputs.jobs.epoch()});
    }
    return;
  }
  if (!m_owner_since) m_owner_since = now;
  const bool other_preferred = inputs.preferred_entry && *inputs.preferred_entry != m_options.entry;
  if (!other_preferred) m_other_preferred_since.reset();
  if (other_preferred && !m_other_preferred_since) m_other_preferred_since = now;
  const bool handover = other_preferred && now - *m_other_preferred_since >= m_options.handover_after;
  if (inputs.leaving || handover) decisions.records.emplace_back(ShareReleased{.epoch = m_epoch});
}

bool ShareController::MayClaim(const ShareInputs& inputs) const {
  const bool is_vacant = inputs.jobs.epoch() == 0 || inputs.jobs.released() || !inputs.owner_is_live;
  if (!is_vacant || !inputs.preferred_entry) return false;
  if (*inputs.preferred_entry == m_options.entry) return true;
  // The preferred entry has not claimed the share for a second lease, so it may be unable to.
  return inputs.owner_silence && *inputs.owner_silence >= 2 * m_options.share_lease;
}

void ShareController::StepAsOwner(const ShareInputs& inputs, MonotonicTime now, absl::BitGenRef random,
                                  ShareDecisions& decisions) {
  UpdateIndexes(inputs, now);
  HandleAnswers(inputs, now, decisions);
  for (const Heartbeat& heartbeat : inputs.heartbeats) HandleHeartbeat(inputs, heartbeat, now, decisions);
  FollowAttempts(inputs, now, decisions);
  PlaceWaiting(inputs, now, random, decisions);
}

void ShareController::UpdateIndexes(const ShareInputs& inputs, MonotonicTime now) {
  if (!m_indexed || m_indexed_epoch != m_epoch || *m_indexed < inputs.jobs.events_lost_until()) {
    RebuildIndexes(inputs, now);
  } else {
    const std::deque<TaskEvent>& events = inputs.jobs.recent_events();
    const auto first = std::upper_bound(events.begin(), events.end(), *m_indexed,
                                        [](Offset offset, const TaskEvent& event) { return offset < event.offset; });
    for (auto it = first; it != events.end(); ++it) ApplyEvent(inputs, *it, now);
  }
  m_indexed = inputs.jobs.offset();
  m_indexed_epoch = m_epoch;
  // Drains, losses, revocations and new agents change what has to be done about attempts anywhere, and are rare.
  if (m_indexed_config != inputs.config.offset()) m_schedule.SetAllDue(now);
  m_indexed_config = inputs.config.offset();
}

void ShareController::RebuildIndexes(const ShareInputs& inputs, MonotonicTime now) {
  m_schedule.Clear();
  m_queue = PendingQueue();
  for (const TaskId& id : inputs.jobs.live()) m_schedule.Add(id, inputs.jobs.FindTask(id)->worker, now);
  for (const TaskId& id : inputs.jobs.waiting()) Enqueue(inputs, id, now);
}

void ShareController::ApplyEvent(const ShareInputs& inputs, const TaskEvent& event, MonotonicTime now) {
  JobId job_id;
  std::size_t index = 0;
  if (!ParseTaskId(event.task, &job_id, &index)) return;
  const Job* job = inputs.jobs.FindJob(job_id);
  const std::size_t task_count = job == nullptr ? 0 : job->tasks.size();
  switch (event.kind) {
    case TaskEventKind::kSubmitted:
      for (std::size_t i = 0; i < task_count; ++i) Enqueue(inputs, MakeTaskId(job_id, i), now);
      return;
    case TaskEventKind::kCancelled:
      for (std::size_t i = 0; i < task_count; ++i) m_schedule.SetDue(MakeTaskId(job_id, i), now);
      return;
    case TaskEventKind::kPlaced:
      m_queue.Remove({.task = event.task, .attempt = event.attempt});
      m_schedule.Add(event.task, event.worker, now);
      return;
    case TaskEventKind::kEnded:
      m_schedule.Remove(event.task);
      Enqueue(inputs, event.task, now);
      return;
    case TaskEventKind::kParked:
    case TaskEventKind::kJobFinal:
      return;  // the queue drops tasks that do not wait any more when they come first
  }
}

void ShareController::Enqueue(const ShareInputs& inputs, const TaskId& id, MonotonicTime now) {
  JobId job_id;
  std::size_t index = 0;
  if (!ParseTaskId(id, &job_id, &index)) return;
  const Job* job = inputs.jobs.FindJob(job_id);
  if (job == nullptr || job->tasks[index].state != TaskState::kWaiting) return;
  PendingTask pending{.request = {.key = {.task = id, .attempt = job->tasks[index].attempt + 1},
                                  .team = job->spec.team,
                                  .job_class = job->spec.job_class,
                                  .resources = job->spec.resources,
                                  .importance = static_cast<int>(job->spec.importance),
                                  .urgent = job->spec.IsUrgent()}};
  if (job->spec.deadline_unix_ms != 0) {
    const absl::Duration to_deadline = absl::FromUnixMillis(job->spec.deadline_unix_ms) - inputs.wall_now;
    pending.latest_start = now + (to_deadline - absl::Seconds(job->spec.run_estimate_s));
  }
  m_queue.Push(std::move(pending));
}

void ShareController::HandleAnswers(const ShareInputs& inputs, MonotonicTime now, ShareDecisions& decisions) {
  for (const CommandAnswer& answer : inputs.answers) {
    const Task* task = inputs.jobs.FindTask(answer.key.task);
    if (task == nullptr || !task->HasLiveAttempt() || task->attempt != answer.key.attempt) continue;
    const AnswerKind kind = answer.answer.kind;
    if (kind == AnswerKind::kStarted || kind == AnswerKind::kRunning) {
      m_placer.RecordStarted(answer.key, now);
      continue;
    }
    const bool not_run =
        kind == AnswerKind::kNotRun || (kind == AnswerKind::kRefused && answer.answer.verdict == Verdict::kNotRun);
    // Any other answer leaves open whether the attempt runs; the agent's heartbeats will tell.
    if (!not_run) continue;
    m_placer.RecordRefused(answer.key, answer.worker, now);
    const std::string detail = kind == AnswerKind::kNotRun
                                   ? "not started by " + answer.worker.value()
                                   : "refused by " + answer.worker.value() + ": " +
                                         std::string(kRefusalReasonNames.NameOf(answer.answer.reason));
    End(answer.key.task, *task, AttemptOutcome::kNotRun, "", detail, decisions);
  }
}

void ShareController::HandleHeartbeat(const ShareInputs& inputs, const Heartbeat& heartbeat, MonotonicTime now,
                                      ShareDecisions& decisions) {
  // Only the present agent speaks for its worker: what a former one lists may be out of date.
  if (inputs.config.AgentsOf(heartbeat.worker).Current() != heartbeat.incarnation) return;
  HandleCleared(inputs, heartbeat, decisions);
  std::set<AttemptKey> listed;
  for (const RunningAttemptReport& running : heartbeat.running) {
    listed.insert({.task = running.task, .attempt = running.attempt});
    HandleRunning(inputs, heartbeat, running, now, decisions);
  }
  for (const EndedAttemptReport& ended : heartbeat.ended) {
    listed.insert({.task = ended.task, .attempt = ended.attempt});
    const Task* task = inputs.jobs.FindTask(ended.task);
    if (task == nullptr || !task->HasLiveAttempt() || task->attempt != ended.attempt) continue;
    if (task->worker != heartbeat.worker) continue;
    // The failure may be the worker's fault, so the next attempt runs on another one if there is room.
    if (ended.outcome == ReportedAttemptOutcome::kFailed) {
      m_placer.RecordRefused({.task = ended.task, .attempt = ended.attempt}, heartbeat.worker, now);
    }
    End(ended.task, *task, ToOutcome(ended.outcome), ended.checkpoint, ended.detail, decisions);
  }
  if (heartbeat.reconciled) HandleMissing(inputs, heartbeat, listed, decisions);
}

void ShareController::HandleCleared(const ShareInputs& inputs, const Heartbeat& heartbeat,
                                    ShareDecisions& decisions) const {
  // One record is enough, so the owner of the first share writes it for all.
  if (m_options.share != 0) return;
  const Offset revoked_at = inputs.config.RevokedAt(heartbeat.worker);
  if (revoked_at == kNoOffset || heartbeat.cleared < revoked_at) return;
  decisions.config_records.emplace_back(WorkerCleared{.worker = heartbeat.worker, .cleared = heartbeat.cleared});
}

void ShareController::HandleRunning(const ShareInputs& inputs, const Heartbeat& heartbeat,
                                    const RunningAttemptReport& running, MonotonicTime now, ShareDecisions& decisions) {
  const Task* task = inputs.jobs.FindTask(running.task);
  if (task == nullptr) return;
  const AttemptKey key{.task = running.task, .attempt = running.attempt};
  const bool is_current =
      task->HasLiveAttempt() && task->attempt == running.attempt && task->worker == heartbeat.worker;
  if (!is_current) {
    AttemptTimes& times = m_times[key];
    if (now < times.next_stop) return;
    times.next_stop = now + m_options.stop_repeat;
    const EndCommand end{
        .key = key, .share = static_cast<std::uint32_t>(m_options.share), .agent_incarnation = heartbeat.incarnation};
    decisions.stops.push_back({.worker = heartbeat.worker, .message = {.end = end, .with_checkpoint = false}});
    return;
  }
  // The answer to the start command may have been lost; without it the attempt would be counted twice on its worker.
  if (task->state == TaskState::kPlaced) m_placer.RecordStarted(key, now);
  if (task->state == TaskState::kPlaced && running.state == ReportedAttemptState::kRunning) {
    decisions.records.emplace_back(TaskStarted{.epoch = m_epoch, .task = running.task, .attempt = running.attempt});
  }
  const auto sent = std::make_pair(key, heartbeat.incarnation);
  if (heartbeat.incarnation == task->agent_incarnation || now < m_terms_sent[sent] + m_options.stop_repeat) return;
  m_terms_sent[sent] = now;
  decisions.terms.push_back(
      {.worker = heartbeat.worker, .message = {.key = key, .terms = TermsOf(*inputs.jobs.FindJobOf(running.task))}});
}

void ShareController::HandleMissing(const ShareInputs& inputs, const Heartbeat& heartbeat,
                                    const std::set<AttemptKey>& listed, ShareDecisions& decisions) {
  const AgentHistory& agents = inputs.config.AgentsOf(heartbeat.worker);
  for (const TaskId& id : m_schedule.TasksOn(heartbeat.worker)) {
    const Task* task = inputs.jobs.FindTask(id);
    if (task == nullptr || !task->HasLiveAttempt()) continue;
    if (task->worker != heartbeat.worker || !agents.IsFormer(task->agent_incarnation)) continue;
    if (listed.contains({.task = id, .attempt = task->attempt})) continue;
    // The agent that could start this attempt was superseded, and the worker does not list it.
    End(id, *task, AttemptOutcome::kLost, "", "not on the worker after a restart of its agent", decisions);
  }
}

void ShareController::FollowAttempts(const ShareInputs& inputs, MonotonicTime now, ShareDecisions& decisions) {
  FollowWorkers(inputs, now);
  for (const TaskId& id : m_schedule.Due(now)) {
    const Task* task = inputs.jobs.FindTask(id);
    if (task == nullptr || !task->HasLiveAttempt()) {
      m_schedule.Remove(id);
      continue;
    }
    m_schedule.SetDue(id, FollowAttempt(inputs, id, *inputs.jobs.FindJobOf(id), *task, now, decisions));
  }
}

void ShareController::FollowWorkers(const ShareInputs& inputs, MonotonicTime now) {
  for (const WorkerId& worker : m_schedule.DueWorkers(now)) {
    const absl::Duration silence = SilenceOf(inputs, worker, now);
    if (silence < m_options.worker_silent) {
      m_schedule.SetWorkerDue(worker, now + (m_options.worker_silent - silence));
      continue;
    }
    for (const TaskId& id : m_schedule.TasksOn(worker)) m_schedule.SetDue(id, now);
    m_schedule.SetWorkerDue(worker, now + kSilentRecheck);
  }
}

absl::Duration ShareController::SilenceOf(const ShareInputs& inputs, const WorkerId& worker, MonotonicTime now) const {
  const absl::Duration owner_for = now - *m_owner_since;
  return std::min(owner_for, inputs.silence_of(worker).value_or(owner_for));
}

MonotonicTime ShareController::FollowAttempt(const ShareInputs& inputs, const TaskId& id, const Job& job,
                                             const Task& task, MonotonicTime now, ShareDecisions& decisions) {
  const AttemptKey key{.task = id, .attempt = task.attempt};
  if (m_ended.contains(key)) return now + kDecisionRetry;
  if (inputs.config.WorkerState(task.worker) == AvailabilityState::kLost) {
    End(id, task, AttemptOutcome::kLost, "", "operators declared the worker lost", decisions);
    return now + kDecisionRetry;
  }
  if (SilenceOf(inputs, task.worker, now) >= m_options.worker_silent) {
    FollowSilentWorker(inputs, id, job, task, now, decisions);
    return now + kSilentRecheck;
  }
  const bool drained = inputs.config.ZoneState(task.availability_zone) != AvailabilityState::kOpen ||
                       inputs.config.WorkerState(task.worker) != AvailabilityState::kOpen;
  if (job.cancelled || drained) return StopAttempt(inputs, key, job, task, now, decisions);
  if (task.state != TaskState::kPlaced) return InfiniteFuture();
  if (inputs.config.AgentsOf(task.worker).IsFormer(task.agent_incarnation)) return InfiniteFuture();
  AttemptTimes& times = m_times[key];
  if (now < times.next_start) return times.next_start;
  times.next_start = now + m_options.start_repeat;
  decisions.starts.push_back({.worker = task.worker, .message = MakeStart(inputs, id, job, task)});
  return times.next_start;
}

MonotonicTime ShareController::StopAttempt(const ShareInputs& inputs, const AttemptKey& key, const Job& job,
                                           const Task& task, MonotonicTime now, ShareDecisions& decisions) {
  AttemptTimes& times = m_times[key];
  if (now < times.next_stop) return times.next_stop;
  if (!job.cancelled && !TakeEvictionToken(inputs, now)) return now + kEvictionRetry;
  times.next_stop = now + m_options.stop_repeat;
  const EndCommand end{.key = key,
                       .share = static_cast<std::uint32_t>(m_options.share),
                       .offset = task.placed_at,
                       .agent_incarnation = inputs.config.AgentsOf(task.worker).Current(),
                       .placed_incarnation = task.agent_incarnation};
  decisions.stops.push_back({.worker = task.worker, .message = {.end = end, .with_checkpoint = !job.cancelled}});
  return times.next_stop;
}

void ShareController::FollowSilentWorker(const ShareInputs& inputs, const TaskId& id, const Job& job, const Task& task,
                                         MonotonicTime now, ShareDecisions& decisions) {
  const Offset revoked_at = inputs.config.RevokedAt(task.worker);
  if (revoked_at == kNoOffset) {
    Revoke(task.worker, decisions);
    return;
  }
  const auto key = std::make_pair(task.worker, revoked_at);
  // Counted from when this owner first read the revocation back, which is never before the agent had to obey it.
  const MonotonicTime since = m_revoked_since.try_emplace(key, now).first->second;
  if (now - since < GraceOf(job) * kGraceMargin) return;
  End(id, task, AttemptOutcome::kLost, "", "worker silent beyond the outage grace", decisions);
}

void ShareController::Revoke(const WorkerId& worker, ShareDecisions& decisions) {
  for (const ConfigRecord& record : decisions.config_records) {
    const auto* revoked = std::get_if<WorkerRevoked>(&record);
    if (revoked != nullptr && revoked->worker == worker) return;
  }
  decisions.config_records.emplace_back(WorkerRevoked{.worker = worker});
}

bool ShareController::TakeEvictionToken(const ShareInputs& inputs, MonotonicTime now) {
  const double per_minute = static_cast<double>(inputs.config.Limit(LimitName::kEvictionsPerMinute));
  Refill(per_minute / 60, now, m_eviction_tokens, m_eviction_tokens_at);
  if (m_eviction_tokens < 1) return false;
  m_eviction_tokens -= 1;
  return true;
}

void ShareController::PlaceWaiting(const ShareInputs& inputs, MonotonicTime now, absl::BitGenRef random,
                                   ShareDecisions& decisions) {
  Refill(static_cast<double>(inputs.config.Limit(LimitName::kStartsPerSecond)), now, m_start_tokens, m_start_tokens_at);
  const bool room_became_free =
      !decisions.records.empty() || std::any_of(inputs.heartbeats.begin(), inputs.heartbeats.end(),
                                                [](const Heartbeat& heartbeat) { return !heartbeat.ended.empty(); });
  // What comes first in order must not find that room taken by what happens to be due.
  if (room_became_free) m_queue.Release(now + kPlacementRetry);
  absl::flat_hash_map<TeamId, double> shares;
  const auto share_of = [&](const TeamId& team) {
    const auto [it, inserted] = shares.try_emplace(team, 0);
    if (inserted) it->second = m_placer.TeamShare(team);
    return it->second;
  };
  for (std::size_t i = 0; i < kMaxPlacementsPerStep && m_start_tokens >= 1; ++i) {
    std::optional<PendingTask> pending = m_queue.Pop(now, share_of);
    if (!pending) return;
    const AttemptKey& key = pending->request.key;
    const Task* task = inputs.jobs.FindTask(key.task);
    if (task == nullptr || task->state != TaskState::kWaiting || task->attempt + 1 != key.attempt) {
      m_wait_reasons.erase(key.task);
      continue;
    }
    const MonotonicTime retry_at = PlaceTask(inputs, pending->request, now, random, decisions);
    shares.erase(pending->request.team);
    m_queue.Defer(std::move(*pending), retry_at);
  }
}

MonotonicTime ShareController::PlaceTask(const ShareInputs& inputs, const PlacementRequest& request, MonotonicTime now,
                                         absl::BitGenRef random, ShareDecisions& decisions) {
  const TaskId& id = request.key.task;
  const MonotonicTime retry_at = now + (request.urgent ? kUrgentRetry : kPlacementRetry);
  if (HoldBackFailing(id, now, decisions)) return now + kDecisionRetry;
  const PlacementDecision decision = m_placer.Place(request, now, random);
  if (IsNever(decision.reason)) {
    decisions.records.emplace_back(
        TaskParked{.epoch = m_epoch,
                   .task = id,
                   .detail = "can never run: " + std::string(kPlacementReasonNames.NameOf(decision.reason))});
    return now + kDecisionRetry;
  }
  if (!decision.placed()) {
    m_wait_reasons[id] = std::string(kPlacementReasonNames.NameOf(decision.reason));
    return retry_at;
  }
  // The view of the worker is older than its quarantine, or another task is its trial.
  if (!m_failures.MayPlace(decision.worker, now)) {
    m_placer.RecordRefused(request.key, decision.worker, now);
    m_wait_reasons[id] = "worker-in-quarantine";
    return retry_at;
  }
  m_failures.RecordDecided(decision.worker, now);
  m_usage.RecordDecided(request.key, decision.worker);
  m_wait_reasons.erase(id);
  m_start_tokens -= 1;
  decisions.records.emplace_back(TaskPlaced{.epoch = m_epoch,
                                            .task = id,
                                            .attempt = request.key.attempt,
                                            .worker = decision.worker,
                                            .availability_zone = inputs.zone_of(decision.worker),
                                            .agent_incarnation = decision.agent_incarnation,
                                            .reason = std::string(kPlacementReasonNames.NameOf(decision.reason))});
  return now + kDecisionRetry;
}

bool ShareController::HoldBackFailing(const TaskId& id, MonotonicTime now, ShareDecisions& decisions) {
  JobId job;
  std::size_t index = 0;
  if (!ParseTaskId(id, &job, &index)) return true;
  if (m_failures.ShouldPark(job, id, now)) {
    m_wait_reasons.erase(id);
    decisions.records.emplace_back(
        TaskParked{.epoch = m_epoch, .task = id, .detail = m_failures.DescribeEvidence(job)});
    return true;
  }
  if (m_failures.MayRetry(job, now)) return false;
  m_wait_reasons[id] = "backing-off";
  return true;
}

void ShareController::End(const TaskId& id, const Task& task, AttemptOutcome outcome, std::string checkpoint,
                          std::string detail, ShareDecisions& decisions) {
  const AttemptKey key{.task = id, .attempt = task.attempt};
  if (!m_ended.insert(key).second) return;
  m_placer.RecordEnded(key);
  m_times.erase(key);
  decisions.records.emplace_back(TaskEnded{.epoch = m_epoch,
                                           .task = id,
                                           .attempt = task.attempt,
                                           .outcome = outcome,
                                           .checkpoint = std::move(checkpoint),
                                           .detail = std::move(detail)});
}

StartCommand ShareController::MakeStart(const ShareInputs& inputs, const TaskId& id, const Job& job,
                                        const Task& task) const {
  return {.key = {.task = id, .attempt = task.attempt},
          .worker = task.worker,
          .resources = job.spec.resources,
          .terms = TermsOf(job),
          .share = static_cast<std::uint32_t>(m_options.share),
          .epoch = m_epoch,
          .offset = task.placed_at,
          .agent_incarnation = task.agent_incarnation,
          .config_version = inputs.config.offset() + 1,
          .checkpoint = task.checkpoint,
          .command = job.spec.command};
}

AttemptTerms ShareController::TermsOf(const Job& job) const {
  return {.kind = TaskKind::kBatch,
          .job_class = job.spec.job_class,
          .importance = static_cast<int>(job.spec.importance),
          .task_lease = m_options.task_lease,
          .outage_grace = GraceOf(job)};
}

absl::Duration ShareController::GraceOf(const Job& job) const {
  return job.spec.outage_grace_ms == 0 ? m_options.outage_grace : absl::Milliseconds(job.spec.outage_grace_ms);
}

}  // namespace berylgauge
