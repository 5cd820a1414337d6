#pragma once

#include <absl/container/flat_hash_map.h>

#include <string>

#include "base/monotonic_time.h"

namespace berylgauge::workflow {

/// Learns for each rack which share of the waits for its capacity ends with a run there, with decay.
///
/// It has an entry for each rack for which a task has waited, and tasks wait only for racks that have workers.
class LocalityHistory {
 public:
  void Record(const std::string& rack, bool is_success, MonotonicTime now);

  /// 0 to 1; for a rack without recent waits `kPriorSuccesses` / (`kPriorSuccesses` + `kPriorFailures`).
  double SuccessRate(const std::string& rack, MonotonicTime now) const;

 private:
  struct Outcomes {
    double successes = 0;
    double failures = 0;
    MonotonicTime counted_at;
  };

  static Outcomes Decayed(const Outcomes& outcomes, MonotonicTime now);

  absl::flat_hash_map<std::string, Outcomes> m_outcomes;
};

}  // namespace berylgauge::workflow
