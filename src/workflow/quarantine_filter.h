#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstddef>
#include <string>
#include <vector>

#include "base/monotonic_time.h"
#include "schedule/worker_quarantine.h"
#include "workflow/worker_pool.h"

namespace berylgauge::workflow {

/// How far a task is let onto workers in quarantine. Each value includes the workers of the ones before it.
enum class QuarantineAccess {
  kNone,   ///< workers that are not in quarantine
  kTrial,  ///< also workers whose trial is due
  kEarly,  ///< also workers whose trial would be due if most were out: for tasks that have waited for long
  kAll,    ///< all workers
};

/// The workers that the quarantine leaves to tasks during one pass of placement.
class QuarantineFilter {
 public:
  /// `workers` and `quarantine` must outlive the filter.
  QuarantineFilter(const std::vector<PoolWorker*>& workers, const WorkerQuarantine& quarantine, MonotonicTime now);

  const std::vector<PoolWorker*>& Candidates(QuarantineAccess access) const;

  /// Least access with which the worker is a candidate.
  QuarantineAccess AccessNeededFor(const PoolWorker& worker) const;

  /// A run was placed on the worker.
  void OnPlaced(const PoolWorker& worker);

  /// Extent of the quarantine among the workers of the service that are ready and give lists.
  QuarantineExtent ExtentIn(const std::string& service) const;

  /// Whether under half of the processors of these workers is reserved.
  bool IsMostlyFree(const std::string& service) const;

  bool HasQuarantined() const { return m_has_quarantined; }

  /// When the next worker becomes a candidate of `kTrial`; `InfiniteFuture()` if none does by time alone.
  MonotonicTime NextTrial() const { return m_next_trial; }
  /// The same for `kEarly`.
  MonotonicTime NextEarlyTrial() const { return m_next_early_trial; }

 private:
  struct ServiceState {
    std::size_t workers = 0;
    std::size_t out = 0;
    Resources capacity;
    Resources reserved;
  };

  static std::size_t Index(QuarantineAccess access) { return static_cast<std::size_t>(access); }
  const std::vector<PoolWorker*>& m_workers;
  const WorkerQuarantine& m_quarantine;
  const MonotonicTime m_now;
  absl::flat_hash_map<std::string, ServiceState> m_services;
  std::vector<PoolWorker*> m_lists[4];  ///< by access
  bool m_has_quarantined = false;
  MonotonicTime m_next_trial = InfiniteFuture();
  MonotonicTime m_next_early_trial = InfiniteFuture();
};

}  // namespace berylgauge::workflow
