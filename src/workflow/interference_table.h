#pragma once

#include <absl/container/flat_hash_map.h>

#include <string>
#include <utility>
#include <vector>

namespace berylgauge::workflow {

/// How much one image of a filling task raises the tail latency of one image of a serving task.
struct InterferenceEntry {
  std::string serving_image;
  std::string filling_image;
  double ms_per_core = 0;  ///< for each core that the filling task uses on the same worker

  friend bool operator==(const InterferenceEntry&, const InterferenceEntry&) = default;
};

/// Estimates by pair of images; pairs that were never seen together have the default.
class InterferenceTable {
 public:
  /// Between the two kinds of pairs that are common: nearly harmless ones and ones of tens of milliseconds.
  static constexpr double kDefaultMsPerCore = 8;

  double Get(const std::string& serving_image, const std::string& filling_image) const {
    const auto found = m_entries.find({serving_image, filling_image});
    return found == m_entries.end() ? kDefaultMsPerCore : found->second;
  }

  void Set(const InterferenceEntry& entry) {
    m_entries[{entry.serving_image, entry.filling_image}] = entry.ms_per_core;
  }

  std::size_t size() const { return m_entries.size(); }

 private:
  absl::flat_hash_map<std::pair<std::string, std::string>, double> m_entries;
};

}  // namespace berylgauge::workflow
