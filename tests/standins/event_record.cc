#include "event_record.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace berylgauge {

std::int64_t MonotonicMillis() {
  const auto now = std::chrono::steady_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

EventRecord::EventRecord(const std::string& file) {
  if (!file.empty()) m_file.open(file, std::ios::app);
}

void EventRecord::Add(const std::string& kind, nlohmann::json fields) {
  const std::lock_guard lock(m_mutex);
  fields["kind"] = kind;
  fields["time_ms"] = MonotonicMillis();
  if (m_file.is_open()) m_file << fields.dump() << std::endl;
  m_events.push_back(std::move(fields));
  m_changed.notify_all();
}

nlohmann::json EventRecord::Read(std::size_t from, absl::Duration wait) {
  std::unique_lock lock(m_mutex);
  m_changed.wait_for(lock, absl::ToChronoMilliseconds(wait), [&] { return m_stopped || m_events.size() > from; });
  nlohmann::json events = nlohmann::json::array();
  for (std::size_t i = from; i < m_events.size(); ++i) events.push_back(m_events[i]);
  return {{"now_ms", MonotonicMillis()}, {"next", m_events.size()}, {"events", std::move(events)}};
}

void EventRecord::Stop() {
  const std::lock_guard lock(m_mutex);
  m_stopped = true;
  m_changed.notify_all();
}

}  // namespace berylgauge
