#include "workflow/interference_model.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace berylgauge::workflow {
namespace {

/// Samples lose half of their weight in this time, however many there are: a pair that was not seen together for some
/// seconds is still known, in a fleet of any size.
constexpr absl::Duration kHalfLife = absl::Seconds(30);
/// Pulls a coefficient to the default, in cores squared: the square of the noise (5 to 9/s) over that of the usual
/// spread of the coefficients (3 to 5/s for each core).
constexpr double kRidge = 3;
constexpr int kDescentRounds = 40;
/// Pairs that cost less than this share of the rate at the target for each core count as harmless.
constexpr double kLeastLossShare = 0.06;

}  // namespace

void InterferenceModel::AddSample(const Sample& sample, MonotonicTime now) {
  const auto [found, is_new] = m_sums.try_emplace(sample.serving_image);
  Sums& sums = found->second;
  if (is_new) {
    sums.products.assign(1, std::vector<double>(1, 0.0));
    sums.targets.assign(1, 0.0);
    sums.updated_at = now;
  }
  Forget(sums, now);
  sums.tail_target_ms = sample.tail_target_ms;
  std::vector<std::pair<std::size_t, double>> row = {{0, 1.0}};
  for (const auto& [image, cores] : sample.use) {
    if (cores > 0) row.emplace_back(ColumnOf(sums, image), cores);
  }
  for (const auto& [column, cores] : row) {
    for (const auto& [other, other_cores] : row) sums.products[column][other] += cores * other_cores;
    sums.targets[column] += cores * sample.lost_rate;
  }
  sums.changed = true;
}

void InterferenceModel::Forget(Sums& sums, MonotonicTime now) {
  const double kept = std::exp2(-absl::FDivDuration(std::max(now - sums.updated_at, absl::ZeroDuration()), kHalfLife));
  sums.updated_at = now;
  for (std::vector<double>& products : sums.products) {
    for (double& product : products) product *= kept;
  }
  for (double& target : sums.targets) target *= kept;
}

std::size_t InterferenceModel::ColumnOf(Sums& sums, const std::string& filling_image) {
  const auto found = std::find(sums.filling_images.begin(), sums.filling_images.end(), filling_image);
  if (found != sums.filling_images.end()) return 1 + static_cast<std::size_t>(found - sums.filling_images.begin());
  sums.filling_images.push_back(filling_image);
  for (std::vector<double>& products : sums.products) products.push_back(0);
  sums.products.emplace_back(sums.products.size() + 1, 0.0);
  sums.targets.push_back(0);
  return sums.filling_images.size();
}

std::vector<double> InterferenceModel::Solve(const Sums& sums) {
  const double default_loss = DefaultLossPerCore(sums.tail_target_ms);
  std::vector<double> solution(sums.targets.size(), default_loss);
  solution[0] = 0;
  Descend(sums, solution);
  // Most pairs are nearly harmless. What noise gives to them is missing from the estimates of the harmful ones.
  const double least = kLeastLossShare * SpareRate(sums.tail_target_ms);
  for (std::size_t column = 1; column < solution.size(); ++column) {
    if (solution[column] < least) solution[column] = 0;
  }
  Descend(sums, solution);
  return solution;
}

void InterferenceModel::Descend(const Sums& sums, std::vector<double>& solution) {
  const double default_loss = DefaultLossPerCore(sums.tail_target_ms);
  for (int round = 0; round < kDescentRounds; ++round) {
    for (std::size_t column = 0; column < solution.size(); ++column) {
      const bool is_offset = column == 0;
      if (!is_offset && solution[column] == 0) continue;
      double residual = sums.targets[column] + kRidge * (is_offset ? 0 : default_loss);
      for (std::size_t other = 0; other < solution.size(); ++other) {
        if (other != column) residual -= sums.products[column][other] * solution[other];
      }
      solution[column] = std::max(0.0, residual / (sums.products[column][column] + kRidge));
    }
  }
}

void InterferenceModel::Refresh() {
  for (auto& [image, sums] : m_sums) {
    if (!sums.changed) continue;
    sums.changed = false;
    const std::vector<double> solution = Solve(sums);
    for (std::size_t i = 0; i < sums.filling_images.size(); ++i) {
      m_table.Set({.serving_image = image, .filling_image = sums.filling_images[i], .loss_per_core = solution[i + 1]});
    }
  }
}

}  // namespace berylgauge::workflow
