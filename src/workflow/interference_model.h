#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "base/monotonic_time.h"
#include "workflow/interference_table.h"

namespace berylgauge::workflow {

/// Learns the interference between images from what workers measure.
///
/// For each serving image a linear model: lost spare rate = offset + sum over filling images of (loss per core x cores
/// in use). Ridge regression with non-negative coefficients on sums that forget old samples, solved by coordinate
/// descent.
class InterferenceModel {
 public:
  /// Cores in use on one worker, by filling image.
  using FillingUse = std::map<std::string, double>;

  /// One half-second figure of a serving task and what filled beside it.
  struct Sample {
    std::string serving_image;
    int tail_target_ms = 0;
    double lost_rate = 0;  ///< spare rate without interference less the measured one, 1/s
    FillingUse use;
  };

  void AddSample(const Sample& sample, MonotonicTime now);

  /// Brings the table up to date for the serving images that have new samples.
  void Refresh();

  const InterferenceTable& table() const { return m_table; }

 private:
  /// Sums of one serving image; column 0 stands for the offset.
  struct Sums {
    std::vector<std::string> filling_images;  ///< of columns 1 and up
    std::vector<std::vector<double>> products;
    std::vector<double> targets;
    MonotonicTime updated_at;
    int tail_target_ms = 0;
    bool changed = false;
  };

  static std::vector<double> Solve(const Sums& sums);
  /// Improves the coefficients that are not 0, each in turn; a coefficient that becomes 0 stays so.
  static void Descend(const Sums& sums, std::vector<double>& solution);
  static std::size_t ColumnOf(Sums& sums, const std::string& filling_image);
  static void Forget(Sums& sums, MonotonicTime now);

  absl::flat_hash_map<std::string, Sums> m_sums;
  InterferenceTable m_table;
};

}  // namespace berylgauge::workflow
