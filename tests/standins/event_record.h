#pragma once

#include <absl/time/time.h>

#include <condition_variable>
#include <fstream>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace berylgauge {

/// Milliseconds on CLOCK_MONOTONIC, which all processes of a host share.
std::int64_t MonotonicMillis();

/// What truly happened in a stand-in, in order.
class EventRecord {
 public:
  /// Also writes each event as one line of JSON to `file` if it is not empty, so that the record outlives the process.
  explicit EventRecord(const std::string& file = "");

  /// Adds an event; `fields` is an object to which "time_ms" and "kind" are added.
  void Add(const std::string& kind, nlohmann::json fields);

  /// Returns the events from index `from` on, after waiting up to `wait` until there is one.
  nlohmann::json Read(std::size_t from, absl::Duration wait);

  /// Ends every wait.
  void Stop();

 private:
  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::vector<nlohmann::json> m_events;
  std::ofstream m_file;
  bool m_stopped = false;
};

}  // namespace berylgauge
