#pragma once

#include <atomic>
#include <cstdint>
#include <string>
#include <thread>

#include "support/child_process.h"

namespace berylgauge {

/// Largest resident memory so far, in bytes; -1 if the process has ended.
std::int64_t PeakBytes(const ChildProcess& process);

int OpenDescriptors(const ChildProcess& process);

/// Bytes that the operating system has received for connections to `ip` and that no process has read, those of
/// connections that were not accepted yet included.
std::int64_t UnreadBytes(const std::string& ip);

/// Samples, in a thread, the memory that a host would charge to a process: resident and received but unread bytes.
class UsageWatch {
 public:
  /// `ip` is an address that only this process listens on.
  UsageWatch(const ChildProcess& process, std::string ip);
  ~UsageWatch();
  UsageWatch(const UsageWatch&) = delete;
  UsageWatch& operator=(const UsageWatch&) = delete;

  /// Largest sum of both in one sample, in bytes.
  std::int64_t peak_bytes() const { return m_peak; }

 private:
  void Run();

  const ChildProcess& m_process;
  const std::string m_ip;
  std::atomic<std::int64_t> m_peak{0};
  std::atomic<bool> m_stopping{false};
  std::thread m_thread;
};

}  // namespace berylgauge
