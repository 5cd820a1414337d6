#include "daemon/entry/share_map.h"

#include <algorithm>
#include <utility>

#include "base/stable_hash.h"

namespace berylgauge {

ShareMap::ShareMap(std::vector<std::unique_ptr<ShareRunner>> runners) : m_runners(std::move(runners)) {}

std::size_t ShareMap::ShareOf(const JobId& job) const { return StableHash64(job.value()) % m_runners.size(); }

ShareRunner& ShareMap::RunnerOf(const JobId& job) const { return *m_runners[ShareOf(job)]; }

bool ShareMap::HasGap() const {
  return std::any_of(m_runners.begin(), m_runners.end(), [](const auto& runner) { return runner->HasGap(); });
}

void ShareMap::Deliver(const Heartbeat& heartbeat) const {
  for (const std::unique_ptr<ShareRunner>& runner : m_runners) {
    if (runner->IsOwner()) runner->Deliver(heartbeat);
  }
}

bool ShareMap::IsEndRecorded(const TaskId& task, AttemptNumber attempt) const {
  JobId job;
  std::size_t index = 0;
  if (!ParseTaskId(task, &job, &index)) return false;
  return RunnerOf(job).state().Read([&](const JobsState& state) { return state.IsEndRecorded(task, attempt); });
}

}  // namespace berylgauge
