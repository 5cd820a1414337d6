#pragma once

#include <absl/time/time.h>

#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <string>

#include "event_record.h"
#include "standin_service.h"

namespace berylgauge {

/// Limits of what a stream retains; 0 means no limit.
struct LogRetention {
  std::int64_t max_records = 0;
  std::int64_t max_age_ms = 0;
};

/// Append-only streams with offsets.
class LogService final : public StandinService {
 public:
  LogService(const LogRetention& retention, EventRecord& record) : m_record(record), m_retention(retention) {}

  StandinResponse Handle(const StandinRequest& request) override;
  StandinResponse HandleControl(const StandinRequest& request) override;
  void ReadFaults(JsonObjectReader&) override {}
  void ApplyFaults() override {}
  nlohmann::json Faults() const override { return nlohmann::json::object(); }
  void Stop() override;

 private:
  struct StoredRecord {
    std::int64_t time_ms;
    std::string payload;
  };
  struct Stream {
    std::deque<StoredRecord> records;
    std::int64_t first_offset = 0;

    std::int64_t NextOffset() const { return first_offset + static_cast<std::int64_t>(records.size()); }
  };

  StandinResponse Append(const std::string& name, const std::string& payload);
  StandinResponse Read(const std::string& name, const StandinRequest& request);
  StandinResponse Bounds(const std::string& name);
  StandinResponse SetRetention(const StandinRequest& request);
  void RemoveExpired(Stream& stream) const;

  EventRecord& m_record;
  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::map<std::string, Stream> m_streams;
  LogRetention m_retention;
  int m_waiting_reads = 0;
  bool m_stopped = false;
};

}  // namespace berylgauge
