#include "process/version_watch.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>

#include <utility>

namespace berylgauge {

VersionWatch::VersionWatch(int processes, Reader reader)
    : m_reader(std::move(reader)),
      m_versions(processes, -1),
      m_generations(processes, 0),
      m_thread([this] { Run(); }) {}

VersionWatch::~VersionWatch() {
  m_stopping = true;
  m_thread.join();
}

void VersionWatch::Forget(int index) {
  const std::lock_guard lock(m_mutex);
  m_versions[index] = -1;
  ++m_generations[index];
}

std::vector<std::string> VersionWatch::Violations() const {
  const std::lock_guard lock(m_mutex);
  return m_violations;
}

void VersionWatch::Run() {
  constexpr absl::Duration kInterval = absl::Milliseconds(50);
  while (!m_stopping) {
    for (int i = 0; i < static_cast<int>(m_versions.size()); ++i) {
      std::unique_lock lock(m_mutex);
      const int generation = m_generations[i];
      lock.unlock();
      const int version = m_reader(i);
      lock.lock();
      if (version < 0 || generation != m_generations[i]) continue;
      if (version < m_versions[i]) {
        m_violations.push_back(absl::StrCat("entry-", i, " went back from version ", m_versions[i], " to ", version));
      }
      m_versions[i] = version;
    }
    absl::SleepFor(kInterval);
  }
}

}  // namespace berylgauge
