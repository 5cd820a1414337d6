#pragma once

#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace berylgauge {

/// Observes the configuration version of several processes and notes each time that one goes back.
class VersionWatch {
 public:
  /// Version of the process with this index; -1 if it does not tell.
  using Reader = std::function<int(int)>;

  VersionWatch(int processes, Reader reader);
  ~VersionWatch();
  VersionWatch(const VersionWatch&) = delete;
  VersionWatch& operator=(const VersionWatch&) = delete;

  /// A new process, which may begin with an older version, has taken the place of the one with this index.
  void Forget(int index);

  /// One text for each time that a version went back.
  std::vector<std::string> Violations() const;

 private:
  void Run();

  const Reader m_reader;
  mutable std::mutex m_mutex;
  std::vector<int> m_versions;
  std::vector<int> m_generations;
  std::vector<std::string> m_violations;
  std::atomic<bool> m_stopping = false;
  std::thread m_thread;
};

}  // namespace berylgauge
