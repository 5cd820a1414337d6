#pragma once

#include <absl/functional/function_ref.h>
#include <absl/time/time.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "base/monotonic_time.h"
#include "base/resources.h"
#include "workflow/worker_pool.h"

namespace berylgauge::workflow {

/// What a task needs of a worker.
struct CapacityNeed {
  Resources counted;          ///< that are reserved for it
  std::int64_t idle_cpu = 0;  ///< processor time that it uses, reserved or not, in thousandths of a core
  bool fills_idle_cpu = false;

  static CapacityNeed Of(const StepDefinition& definition);
};

/// Estimates when the workers of one rack will have room for tasks, from the expected ends of their runs and the tasks
/// that are ahead.
///
/// It is made for one pass of placement. Each task that will use the capacity is reserved, so that a later one of the
/// same pass gets a later time.
class RackOutlook {
 public:
  struct Release {
    MonotonicTime at;
    CapacityNeed amounts;
  };

  /// Room on one worker from a time on.
  struct Slot {
    std::size_t row = 0;
    MonotonicTime at = InfiniteFuture();
  };

  /// `free` and `idle_cpu` are what the worker has free at present.
  void AddWorker(const PoolWorker& worker, const Resources& free, std::int64_t idle_cpu,
                 const std::vector<Release>& releases);

  /// The earliest slot on the workers that `may_use` accepts, nothing if no worker is expected to have room.
  std::optional<Slot> Find(const CapacityNeed& need, absl::FunctionRef<bool(const PoolWorker&)> may_use,
                           MonotonicTime now) const;

  const PoolWorker& WorkerOf(const Slot& slot) const { return *m_rows[slot.row].worker; }

  /// A task will use the slot for `run_time`.
  void Reserve(const Slot& slot, const CapacityNeed& need, absl::Duration run_time);

  /// A task was placed on the worker, which need not be of this rack.
  void NotePlaced(const PoolWorker& worker, const CapacityNeed& need, absl::Duration run_time, MonotonicTime now);

 private:
  struct Level {
    Resources free;
    std::int64_t idle_cpu = 0;

    bool Has(const CapacityNeed& need) const {
      return need.counted.FitsIn(free) && (!need.fills_idle_cpu || need.idle_cpu <= idle_cpu);
    }
    Level& operator+=(const Level& other);
    Level& operator-=(const Level& other);
  };
  struct Row {
    const PoolWorker* worker = nullptr;
    Level free;
    std::map<MonotonicTime, Level> changes;
  };

  static MonotonicTime EarliestOn(const Row& row, const CapacityNeed& need, MonotonicTime now);

  std::vector<Row> m_rows;
};

}  // namespace berylgauge::workflow
