#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <string>
#include <utility>
#include <vector>

#include "workflow/serving_load.h"

namespace berylgauge::workflow {

/// How much one image of a filling task takes of the spare rate (`SpareRate`) of one image of a serving task.
struct InterferenceEntry {
  std::string serving_image;
  std::string filling_image;
  double loss_per_core = 0;  ///< 1/s for each core that the filling task uses on the same worker

  friend bool operator==(const InterferenceEntry&, const InterferenceEntry&) = default;
};

/// Loss for each core that is assumed of a pair that was never seen together, as a share of the rate at the target:
/// between the two kinds of pairs that are common, nearly harmless ones and ones that take a quarter for each core.
inline double DefaultLossPerCore(int tail_target_ms) {
  constexpr double kDefaultShare = 0.1;
  return kDefaultShare * SpareRate(tail_target_ms);
}

/// Estimates by pair of images; pairs that were never seen together have the default.
class InterferenceTable {
 public:
  double Get(const std::string& serving_image, const std::string& filling_image, int tail_target_ms) const {
    const auto found = m_entries.find({serving_image, filling_image});
    return found == m_entries.end() ? DefaultLossPerCore(tail_target_ms) : found->second;
  }

  void Set(const InterferenceEntry& entry) {
    m_entries[{entry.serving_image, entry.filling_image}] = entry.loss_per_core;
  }

  std::size_t size() const { return m_entries.size(); }

 private:
  absl::flat_hash_map<std::pair<std::string, std::string>, double> m_entries;
};

}  // namespace berylgauge::workflow
