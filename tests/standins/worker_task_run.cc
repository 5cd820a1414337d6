#include "worker_task_run.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace berylgauge {
namespace {

constexpr std::int64_t kNever = std::numeric_limits<std::int64_t>::max();

}  // namespace

WorkerTaskRun::WorkerTaskRun(const WorkerStartOptions& options, const TaskBehaviour& behaviour,
                             std::int64_t progress_ms, std::int64_t now_ms)
    : m_options(options),
      m_behaviour(behaviour),
      m_checkpoint(options.checkpoint),
      m_progress_ms(static_cast<double>(progress_ms)),
      m_updated_ms(now_ms),
      m_lease_end_ms(now_ms + absl::ToInt64Milliseconds(options.lease)),
      m_stop_end_ms(kNever) {
  NoteUse(now_ms);
}

void WorkerTaskRun::Stop(bool with_checkpoint, std::int64_t now_ms) {
  if (!IsRunning()) return;
  if (with_checkpoint && m_stop_end_ms != kNever) return;
  m_stop_with_checkpoint = with_checkpoint;
  m_stop_end_ms = now_ms + (with_checkpoint ? m_behaviour.checkpoint_ms : 0);
}

void WorkerTaskRun::Throttle(int percent, std::int64_t now_ms) {
  UpdateProgress(now_ms);
  m_percent = percent;
  NoteUse(now_ms);
}

void WorkerTaskRun::Fail(std::string detail, std::int64_t now_ms) {
  End(WorkerTaskState::kFailed, std::move(detail), now_ms);
}

void WorkerTaskRun::Advance(std::int64_t now_ms) {
  if (!IsRunning()) return;
  const std::int64_t due_ms = NextChangeMs();
  UpdateProgress(std::min(due_ms, now_ms));
  if (due_ms > now_ms) return;
  if (due_ms == m_lease_end_ms) return End(WorkerTaskState::kLeaseExpired, "lease expired", now_ms);
  if (due_ms == m_stop_end_ms) {
    if (m_stop_with_checkpoint) m_checkpoint = CheckpointAt(static_cast<std::int64_t>(m_progress_ms));
    return End(WorkerTaskState::kStopped, "", now_ms);
  }
  if (m_behaviour.fail) return End(WorkerTaskState::kFailed, "the task failed", now_ms);
  End(WorkerTaskState::kSucceeded, "", now_ms);
}

std::int64_t WorkerTaskRun::NextChangeMs() const {
  if (!IsRunning()) return kNever;
  return std::min({m_lease_end_ms, m_stop_end_ms, RunEndMs()});
}

Resources WorkerTaskRun::UseAt(std::int64_t time_ms) const {
  Resources use;
  for (const auto& [since_ms, changed] : m_use) {
    if (since_ms <= time_ms) use = changed;
  }
  return use;
}

std::optional<std::int64_t> WorkerTaskRun::ProgressOf(const std::string& checkpoint) {
  if (checkpoint.empty()) return 0;
  const std::size_t mark = checkpoint.rfind('#');
  std::int64_t progress_ms = 0;
  if (mark == std::string::npos || !absl::SimpleAtoi(checkpoint.substr(mark + 1), &progress_ms)) return std::nullopt;
  if (progress_ms < 0) return std::nullopt;
  return progress_ms;
}

std::int64_t WorkerTaskRun::RunEndMs() const {
  if (m_behaviour.run_ms == 0) return kNever;
  const double left_ms = std::max(0.0, static_cast<double>(m_behaviour.run_ms) - m_progress_ms);
  return m_updated_ms + static_cast<std::int64_t>(std::ceil(left_ms * 100 / m_percent));
}

std::string WorkerTaskRun::CheckpointAt(std::int64_t progress_ms) const {
  return absl::StrCat(m_options.task.value(), "#", m_options.attempt, "#", progress_ms);
}

void WorkerTaskRun::UpdateProgress(std::int64_t now_ms) {
  const double before_ms = m_progress_ms;
  m_progress_ms += static_cast<double>(now_ms - m_updated_ms) * m_percent / 100;
  m_updated_ms = now_ms;
  const std::int64_t every_ms = m_behaviour.checkpoint_every_ms;
  if (every_ms == 0) return;
  const std::int64_t completed = static_cast<std::int64_t>(m_progress_ms) / every_ms;
  if (completed > static_cast<std::int64_t>(before_ms) / every_ms) m_checkpoint = CheckpointAt(completed * every_ms);
}

void WorkerTaskRun::NoteUse(std::int64_t now_ms) {
  Resources use;
  if (IsRunning()) {
    use = m_options.resources;
    use.cpu_millis = m_behaviour.use_cpu_millis * m_percent / 100;
    use.memory_mb = m_behaviour.use_memory_mb;
  }
  m_use.emplace_back(now_ms, use);
}

void WorkerTaskRun::End(WorkerTaskState state, std::string detail, std::int64_t now_ms) {
  m_state = state;
  m_detail = std::move(detail);
  NoteUse(now_ms);
}

}  // namespace berylgauge
