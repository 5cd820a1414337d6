#include "workflow/interference_model.h"

#include <algorithm>

namespace berylgauge::workflow {
namespace {

/// Weight of a sample after the next one of the same image. A few hundred samples count, which are some ten seconds.
constexpr double kForgetting = 0.997;
/// Pulls a coefficient to the default; the square of noise (10 ms) over the usual spread of coefficients (20 ms).
constexpr double kRidge = 0.5;
/// Tails beyond this say only that the worker was overloaded.
constexpr double kLongestTailMs = 300;
constexpr int kDescentRounds = 40;

}  // namespace

void InterferenceModel::AddSample(const std::string& serving_image, double tail_ms, const FillingUse& use) {
  Sums& sums = m_sums[serving_image];
  if (sums.products.empty()) {
    sums.products.assign(1, std::vector<double>(1, 0.0));
    sums.targets.assign(1, 0.0);
  }
  std::vector<std::pair<std::size_t, double>> row = {{0, 1.0}};
  for (const auto& [image, cores] : use) {
    if (cores > 0) row.emplace_back(ColumnOf(sums, image), cores);
  }
  for (std::vector<double>& products : sums.products) {
    for (double& product : products) product *= kForgetting;
  }
  for (double& target : sums.targets) target *= kForgetting;
  const double tail = std::min(tail_ms, kLongestTailMs);
  for (const auto& [column, cores] : row) {
    for (const auto& [other, other_cores] : row) sums.products[column][other] += cores * other_cores;
    sums.targets[column] += cores * tail;
  }
  sums.changed = true;
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
  const std::size_t columns = sums.targets.size();
  std::vector<double> solution(columns, InterferenceTable::kDefaultMsPerCore);
  solution[0] = kDefaultBaseMs;
  for (int round = 0; round < kDescentRounds; ++round) {
    for (std::size_t column = 0; column < columns; ++column) {
      const double prior = column == 0 ? kDefaultBaseMs : InterferenceTable::kDefaultMsPerCore;
      double residual = sums.targets[column] + kRidge * prior;
      for (std::size_t other = 0; other < columns; ++other) {
        if (other != column) residual -= sums.products[column][other] * solution[other];
      }
      solution[column] = std::max(0.0, residual / (sums.products[column][column] + kRidge));
    }
  }
  return solution;
}

std::vector<InterferenceEntry> InterferenceModel::Estimate(const std::string& serving_image) const {
  const auto found = m_sums.find(serving_image);
  if (found == m_sums.end()) return {};
  const Sums& sums = found->second;
  const std::vector<double> solution = Solve(sums);
  std::vector<InterferenceEntry> entries;
  for (std::size_t i = 0; i < sums.filling_images.size(); ++i) {
    entries.push_back(
        {.serving_image = serving_image, .filling_image = sums.filling_images[i], .ms_per_core = solution[i + 1]});
  }
  return entries;
}

void InterferenceModel::Refresh() {
  for (auto& [image, sums] : m_sums) {
    if (!sums.changed) continue;
    sums.changed = false;
    const std::vector<double> solution = Solve(sums);
    sums.base = solution[0];
    for (std::size_t i = 0; i < sums.filling_images.size(); ++i) {
      m_table.Set({.serving_image = image, .filling_image = sums.filling_images[i], .ms_per_core = solution[i + 1]});
    }
  }
}

double InterferenceModel::BaseOf(const std::string& serving_image) const {
  const auto found = m_sums.find(serving_image);
  return found == m_sums.end() ? kDefaultBaseMs : found->second.base;
}

}  // namespace berylgauge::workflow
