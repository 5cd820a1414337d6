#include "daemon/entry/share_usage.h"

#include <algorithm>
#include <deque>
#include <iterator>
#include <utility>
#include <vector>

#include "schedule/placer.h"
#include "state/jobs_state.h"

namespace berylgauge {

ShareUsage::ShareUsage(Placer& placer) : m_placer(placer) {}

void ShareUsage::Update(const JobsState& jobs, bool is_owner) {
  if (!is_owner && (m_was_owner || !m_booked.empty())) {
    // The answers to start commands go to the new owner, so nothing here would ever end the bookings on the workers.
    // Decided ends may have been rejected, so everything is counted anew.
    for (const AttemptKey& key : m_booked) m_placer.RecordEnded(key);
    m_booked.clear();
    m_counted_until.reset();
  }
  m_was_owner = is_owner;
  if (!m_counted_until || *m_counted_until < jobs.events_lost_until()) {
    Reconcile(jobs);
  } else {
    const std::deque<TaskEvent>& events = jobs.recent_events();
    const auto first = std::upper_bound(events.begin(), events.end(), *m_counted_until,
                                        [](Offset offset, const TaskEvent& event) { return offset < event.offset; });
    for (auto it = first; it != events.end(); ++it) Apply(jobs, *it);
  }
  m_counted_until = jobs.offset();
}

void ShareUsage::Reconcile(const JobsState& jobs) {
  std::set<AttemptKey> live;
  for (const TaskId& id : jobs.live()) live.insert({.task = id, .attempt = jobs.FindTask(id)->attempt});
  std::vector<AttemptKey> ended;
  std::set_difference(m_counted.begin(), m_counted.end(), live.begin(), live.end(), std::back_inserter(ended));
  for (const AttemptKey& key : ended) Drop(key);
  for (const AttemptKey& key : live) Count(jobs, key);
}

void ShareUsage::Apply(const JobsState& jobs, const TaskEvent& event) {
  const AttemptKey key{.task = event.task, .attempt = event.attempt};
  if (event.kind == TaskEventKind::kPlaced) Count(jobs, key);
  if (event.kind == TaskEventKind::kEnded) Drop(key);
}

void ShareUsage::Count(const JobsState& jobs, const AttemptKey& key) {
  JobId job_id;
  std::size_t index = 0;
  if (!ParseTaskId(key.task, &job_id, &index)) return;
  const Job* job = jobs.FindJob(job_id);
  if (job == nullptr) return;
  m_placer.RecordRunning(key, job->spec.team, job->spec.resources);
  m_counted.insert(key);
}

void ShareUsage::Drop(const AttemptKey& key) {
  m_placer.RecordEnded(key);
  m_counted.erase(key);
  m_booked.erase(key);
}

void ShareUsage::RecordDecided(const AttemptKey& key, const WorkerId& worker) { m_decided[key] = worker; }

void ShareUsage::SettleDecided(const JobsState& jobs) {
  for (const auto& [key, worker] : std::exchange(m_decided, {})) {
    const Task* task = jobs.FindTask(key.task);
    const bool is_live = task != nullptr && task->HasLiveAttempt() && task->attempt == key.attempt;
    if (is_live && task->worker == worker) {
      m_booked.insert(key);
      continue;
    }
    m_placer.RecordEnded(key);
    // Another owner has placed the same attempt elsewhere.
    if (is_live) Count(jobs, key);
  }
}

}  // namespace berylgauge
