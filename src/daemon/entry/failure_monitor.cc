#include "daemon/entry/failure_monitor.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <set>
#include <vector>

#include "state/jobs_state.h"

namespace berylgauge {
namespace {

/// A decided trial that was not folded by then was rejected, as after a change of owner, so another one may be placed.
constexpr absl::Duration kTrialDecisionTimeout = absl::Seconds(10);

/// Failures listed for the operator, the newest; keeps the record of a parked task small.
constexpr std::size_t kMaxDescribed = 6;

/// Bytes of the detail of each listed failure. The fold refuses a record whose detail is longer than 4,096 bytes.
constexpr std::size_t kMaxDetailBytes = 200;
constexpr std::size_t kMaxDescriptionBytes = 4'000;

/// Cuts UTF-8 text at the end of a character.
std::string Truncate(const std::string& text, std::size_t max_bytes) {
  if (text.size() <= max_bytes) return text;
  std::size_t end = max_bytes;
  while (end > 0 && (static_cast<unsigned char>(text[end]) & 0xC0U) == 0x80U) --end;
  return text.substr(0, end) + "...";
}

}  // namespace

FailureMonitor::FailureMonitor(WorkerQuarantineOptions quarantine, JobBackoffOptions backoff)
    : m_longest_delay(backoff.longest_delay), m_attribution(quarantine, backoff) {}

void FailureMonitor::Observe(int share, const JobsState& jobs, MonotonicTime now) {
  const std::deque<TaskEvent>& events = jobs.recent_events();
  Offset& seen = m_seen.try_emplace(share, kNoOffset).first->second;
  const auto first = std::upper_bound(events.begin(), events.end(), seen,
                                      [](Offset offset, const TaskEvent& event) { return offset < event.offset; });
  for (auto it = first; it != events.end(); ++it) Apply(*it, now);
  if (first != events.end()) m_extent.reset();
  seen = std::max(seen, jobs.offset());
}

void FailureMonitor::Apply(const TaskEvent& event, MonotonicTime now) {
  JobId job;
  std::size_t index = 0;
  if (!ParseTaskId(event.task, &job, &index)) return;
  switch (event.kind) {
    case TaskEventKind::kSubmitted:
    case TaskEventKind::kCancelled:
      return;
    case TaskEventKind::kPlaced:
      return ApplyPlaced(event, now);
    case TaskEventKind::kEnded:
      return ApplyEnded(job, event, now);
    case TaskEventKind::kParked:
      return m_attribution.backoff().RecordSuccess(job, event.task);  // drops the evidence of this task alone
    case TaskEventKind::kJobFinal:
      return m_attribution.backoff().Forget(job);
  }
}

void FailureMonitor::ApplyPlaced(const TaskEvent& event, MonotonicTime now) {
  m_trial_decided.erase(event.worker);
  // The owner may have heard of other workers than this entry, so the extent here must not decide.
  const QuarantineState state = m_attribution.quarantine().StateOf(event.worker, now, QuarantineExtent::kMost);
  if (state != QuarantineState::kTrialDue) return;
  m_attribution.quarantine().RecordPlaced(event.worker, now);
  m_trials[event.worker] = {.task = event.task, .attempt = event.attempt};
}

void FailureMonitor::ApplyEnded(const JobId& job, const TaskEvent& event, MonotonicTime now) {
  const AttemptKey key{.task = event.task, .attempt = event.attempt};
  const auto trial = m_trials.find(event.worker);
  const bool is_trial = trial != m_trials.end() && trial->second == key;
  if (is_trial) m_trials.erase(trial);
  if (event.outcome == AttemptOutcome::kSucceeded) {
    m_attribution.RecordSuccess(job, event.task, event.worker);
    return;
  }
  const bool trial_running = StateOf(event.worker, now) == QuarantineState::kTrialRunning;
  if (event.outcome != AttemptOutcome::kFailed) {
    if (is_trial && trial_running) m_attribution.quarantine().RecordTrialAborted(event.worker);
    return;
  }
  // Attempts that were placed before the quarantine must not decide the trial.
  if (trial_running && !is_trial) return;
  m_attribution.RecordFailure(job, {.key = key, .worker = event.worker, .detail = event.detail, .at = now}, Extent());
}

void FailureMonitor::RecordAvailable(const WorkerId& worker, bool available) {
  const bool changed = available ? m_available.insert(worker).second : m_available.erase(worker) > 0;
  if (changed) m_extent.reset();
}

QuarantineExtent FailureMonitor::Extent() const {
  if (!m_extent) {
    m_extent = QuarantineExtentOf(m_attribution.quarantine().CountOut(m_available), m_available.size());
  }
  return *m_extent;
}

QuarantineState FailureMonitor::StateOf(const WorkerId& worker, MonotonicTime now) const {
  return m_attribution.quarantine().StateOf(worker, now, Extent());
}

void FailureMonitor::RecordDecided(const WorkerId& worker, MonotonicTime now) {
  if (StateOf(worker, now) == QuarantineState::kTrialDue) m_trial_decided[worker] = now;
}

bool FailureMonitor::MayPlace(const WorkerId& worker, MonotonicTime now) const {
  const QuarantineState state = StateOf(worker, now);
  if (state == QuarantineState::kOpen) return true;
  if (state != QuarantineState::kTrialDue) return false;
  const auto decided = m_trial_decided.find(worker);
  return decided == m_trial_decided.end() || now - decided->second >= kTrialDecisionTimeout;
}

bool FailureMonitor::MayRetry(const JobId& job, MonotonicTime now) const {
  const JobBackoffState state = m_attribution.backoff().StateOf(job, now);
  if (state != JobBackoffState::kParked) return state == JobBackoffState::kReady;
  return now >= m_attribution.backoff().Evidence(job).back().at + m_longest_delay;
}

bool FailureMonitor::ShouldPark(const JobId& job, const TaskId& task, MonotonicTime now) const {
  if (m_attribution.backoff().StateOf(job, now) != JobBackoffState::kParked) return false;
  std::map<TaskId, std::size_t> failures;
  std::size_t most = 0;
  for (const JobFailure& failure : m_attribution.backoff().Evidence(job)) {
    most = std::max(most, ++failures[failure.key.task]);
  }
  return failures[task] == most;
}

std::string FailureMonitor::DescribeEvidence(const JobId& job) const {
  const std::vector<JobFailure> evidence = m_attribution.backoff().Evidence(job);
  std::set<WorkerId> workers;
  for (const JobFailure& failure : evidence) workers.insert(failure.worker);
  std::string text = absl::StrCat("failed ", evidence.size(), " times on ", workers.size(), " workers");
  for (std::size_t i = evidence.size() - std::min(evidence.size(), kMaxDescribed); i < evidence.size(); ++i) {
    absl::StrAppend(&text, "; ", evidence[i].key.task.value(), " attempt ", evidence[i].key.attempt, " on ",
                    evidence[i].worker.value(), ": ", Truncate(evidence[i].detail, kMaxDetailBytes));
  }
  return Truncate(text, kMaxDescriptionBytes);
}

}  // namespace berylgauge
