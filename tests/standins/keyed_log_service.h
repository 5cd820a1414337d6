#pragma once

#include <condition_variable>
#include <mutex>
#include <string>

#include "standin_service.h"
#include "support/memory_store.h"

namespace berylgauge {

/// The platform's metadata store: log and keyed topics over HTTP.
class KeyedLogService final : public StandinService {
 public:
  StandinResponse Handle(const StandinRequest& request) override;
  /// "/control/put" stores a record as the operators do: {"topic", "key", "value"}.
  StandinResponse HandleControl(const StandinRequest& request) override;
  void ReadFaults(JsonObjectReader& reader) override;
  void ApplyFaults() override;
  nlohmann::json Faults() const override;
  void Stop() override;

 private:
  StandinResponse Append(const StandinRequest& request);
  StandinResponse Read(const StandinRequest& request);
  StandinResponse Newest(const StandinRequest& request);

  std::mutex m_mutex;
  std::condition_variable m_changed;
  control::MemoryStore m_store;
  std::int64_t m_puts = 0;
  bool m_drop_history = false;
  std::string m_turned_away;
  std::string m_next_turned_away;
  bool m_stopped = false;
};

}  // namespace berylgauge
