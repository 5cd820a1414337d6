#pragma once

#include <condition_variable>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <utility>

#include "base/enum_names.h"
#include "event_record.h"
#include "standin_service.h"
#include "worker_task_run.h"

namespace berylgauge {

enum class UsageReports {
  kNormal,
  kFrozen,  ///< stays as it was when the fault was switched on
  kAbsurd,  ///< negative and far above the capacity
};

inline constexpr auto kUsageReportsNames = MakeEnumNames<UsageReports>({
    {UsageReports::kNormal, "normal"},
    {UsageReports::kFrozen, "frozen"},
    {UsageReports::kAbsurd, "absurd"},
});

struct WorkerFaults {
  bool fail_tasks = false;     ///< every task that is started fails at once
  bool refuse_starts = false;  ///< every start is answered with 403
  UsageReports usage = UsageReports::kNormal;
  std::int64_t usage_lag_ms = 0;  ///< age of the reported use
};

struct WorkerServiceOptions {
  std::string boot_id;
  Resources capacity;
  std::int64_t usage_lag_ms = 0;
};

/// A worker that runs tasks under leases.
class WorkerService final : public StandinService {
 public:
  WorkerService(const WorkerServiceOptions& options, EventRecord& record);
  ~WorkerService() override;

  StandinResponse Handle(const StandinRequest& request) override;
  void ReadFaults(JsonObjectReader& reader) override;
  void ApplyFaults() override;
  nlohmann::json Faults() const override;
  void Stop() override;

 private:
  using Key = std::pair<TaskId, AttemptNumber>;

  StandinResponse Command(const std::string& verb, JsonObjectReader& reader, const JsonErrors& errors);
  StandinResponse Start(const Key& key, JsonObjectReader& reader, const JsonErrors& errors);
  StandinResponse ApplyTo(WorkerTaskRun& run, const std::string& verb, std::int64_t argument);
  StandinResponse Report();
  Resources ObservedUse(const WorkerTaskRun& run, std::int64_t now_ms) const;
  Resources Reserved() const;
  void AdvanceAll();
  void RunTimer();

  const WorkerServiceOptions m_options;
  EventRecord& m_record;
  mutable std::mutex m_mutex;
  std::condition_variable m_changed;
  std::map<Key, WorkerTaskRun> m_runs;
  WorkerFaults m_faults;
  WorkerFaults m_next_faults;
  std::map<Key, Resources> m_frozen_use;  ///< as it was reported when the reports were frozen
  bool m_stopped = false;
  std::thread m_timer;
};

}  // namespace berylgauge
