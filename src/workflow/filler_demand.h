#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <map>
#include <string>

#include "base/monotonic_time.h"

namespace berylgauge::workflow {

/// Records how much CPU filler tasks of each image have requested of late.
///
/// Tasks are counted when their job arrives, not when they are placed, so that an image for which there is little room
/// keeps its weight. Declared durations do not count, because they are wrong by factors of 0.2 to 5.
class FillerDemand {
 public:
  void Add(const std::string& image, std::int64_t cpu_millis, MonotonicTime now);

  /// Share of each image in the recent demand; they sum to 1. Empty if there was none.
  std::map<std::string, double> Shares(MonotonicTime now) const;

 private:
  struct Entry {
    double cpu_millis = 0;  ///< as of `updated_at`
    MonotonicTime updated_at;
  };

  static double WeightAt(const Entry& entry, MonotonicTime now);

  absl::flat_hash_map<std::string, Entry> m_entries;
};

}  // namespace berylgauge::workflow
