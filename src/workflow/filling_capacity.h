#pragma once

#include <absl/container/flat_hash_map.h>

#include <map>
#include <string>
#include <vector>

#include "base/monotonic_time.h"
#include "workflow/filler_demand.h"
#include "workflow/interference_table.h"

namespace berylgauge::workflow {

/// What one worker offers to filler tasks.
struct FillingRoom {
  /// Serving tasks of one image.
  struct Serving {
    std::string image;
    int tail_target_ms = 0;
    double headroom = 0;  ///< spare rate above the required one, 1/s
  };

  double idle_cpu = 0;  ///< thousandths of a core
  std::vector<Serving> serving;
};

/// Estimates the CPU that filler tasks could use on a worker without pushing a serving task over its target.
///
/// It works on a snapshot of the interference table and of the demand, so that one estimate costs one look-up for each
/// serving image on the worker.
class FillingCapacity {
 public:
  /// Takes over what is known now.
  void Update(const InterferenceTable& table, const FillerDemand& demand, MonotonicTime now);

  /// Whether filler tasks were requested of late.
  bool HasDemand() const { return !m_fillers.empty(); }

  /// CPU for filler tasks on the worker in thousandths of a core, averaged over the images in demand; 0 without demand.
  double Of(const FillingRoom& room) const;

  /// Share of the demand, 0 to 1, whose images are not known to be harmless to the serving image.
  double DisturbingShare(const std::string& serving_image) const;

 private:
  /// Marks a pair that was not seen together in `m_losses`.
  static constexpr double kUnknownLoss = -1;

  struct Filler {
    std::string image;
    double share = 0;  ///< of the demand
  };

  std::vector<Filler> m_fillers;
  /// By serving image: loss for each core, 1/s, in the order of `m_fillers`.
  absl::flat_hash_map<std::string, std::vector<double>> m_losses;
};

}  // namespace berylgauge::workflow
