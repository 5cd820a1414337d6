#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "workflow/interference_table.h"

namespace berylgauge::workflow {

/// Learns the interference between images from what workers measure.
///
/// For each serving image a linear model: tail latency = base + sum over filling images of (ms per core x cores in
/// use). Ridge regression with non-negative coefficients on sums that forget old samples, solved by coordinate descent.
class InterferenceModel {
 public:
  /// Cores in use on one worker, by filling image.
  using FillingUse = std::map<std::string, double>;

  /// One half-second figure of a serving task and what filled beside it.
  void AddSample(const std::string& serving_image, double tail_ms, const FillingUse& use);

  /// Estimates for the serving image, of all filling images seen beside it.
  std::vector<InterferenceEntry> Estimate(const std::string& serving_image) const;

  /// Brings the table up to date for the serving images that have new samples.
  void Refresh();

  const InterferenceTable& table() const { return m_table; }
  /// Tail latency of the serving image with nothing beside it; a default before there are samples.
  double BaseOf(const std::string& serving_image) const;

 private:
  /// Sums of one serving image; column 0 stands for the base.
  struct Sums {
    std::vector<std::string> filling_images;  ///< of columns 1 and up
    std::vector<std::vector<double>> products;
    std::vector<double> targets;
    double weight = 0;
    bool changed = false;
    double base = kDefaultBaseMs;
  };

  static constexpr double kDefaultBaseMs = 20;

  static std::vector<double> Solve(const Sums& sums);
  static std::size_t ColumnOf(Sums& sums, const std::string& filling_image);

  absl::flat_hash_map<std::string, Sums> m_sums;
  InterferenceTable m_table;
};

}  // namespace berylgauge::workflow
