#include "workflow/filler_demand.h"

#include <absl/time/time.h>

#include <algorithm>
#include <cmath>

namespace berylgauge::workflow {
namespace {

/// Demand loses half of its weight in this time. Serving tasks stay for long, so the figure must not follow single jobs
/// of filler tasks, which arrive every few seconds.
constexpr absl::Duration kHalfLife = absl::Seconds(60);
/// Images below this demand are ignored, and forgotten at the next addition: a job of 36 cores after 14 min.
constexpr double kLeastCpuMillis = 2;

}  // namespace

double FillerDemand::WeightAt(const Entry& entry, MonotonicTime now) {
  const absl::Duration age = std::max(now - entry.updated_at, absl::ZeroDuration());
  return entry.cpu_millis * std::exp2(-absl::FDivDuration(age, kHalfLife));
}

void FillerDemand::Add(const std::string& image, std::int64_t cpu_millis, MonotonicTime now) {
  absl::erase_if(m_entries, [&](const auto& entry) { return WeightAt(entry.second, now) < kLeastCpuMillis; });
  Entry& entry = m_entries[image];
  entry.cpu_millis = WeightAt(entry, now) + static_cast<double>(cpu_millis);
  entry.updated_at = now;
}

std::map<std::string, double> FillerDemand::Shares(MonotonicTime now) const {
  std::map<std::string, double> shares;
  double sum = 0;
  for (const auto& [image, entry] : m_entries) {
    const double weight = WeightAt(entry, now);
    if (weight < kLeastCpuMillis) continue;
    shares[image] = weight;
    sum += weight;
  }
  for (auto& [image, share] : shares) share /= sum;
  return shares;
}

}  // namespace berylgauge::workflow
