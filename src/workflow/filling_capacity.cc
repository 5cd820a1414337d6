#include "workflow/filling_capacity.h"

#include <algorithm>
#include <cstddef>

namespace berylgauge::workflow {
namespace {

constexpr double kMillisPerCore = 1000;

}  // namespace

void FillingCapacity::Update(const InterferenceTable& table, const FillerDemand& demand, MonotonicTime now) {
  m_fillers.clear();
  m_losses.clear();
  absl::flat_hash_map<std::string, std::size_t> positions;
  for (const auto& [image, share] : demand.Shares(now)) {
    positions[image] = m_fillers.size();
    m_fillers.push_back({.image = image, .share = share});
  }
  table.ForEach([&](const std::string& serving, const std::string& filler, double loss_per_core) {
    const auto position = positions.find(filler);
    if (position == positions.end()) return;
    std::vector<double>& losses = m_losses[serving];
    losses.resize(m_fillers.size(), kUnknownLoss);
    losses[position->second] = loss_per_core;
  });
}

double FillingCapacity::Of(const FillingRoom& room) const {
  const double idle_cores = std::max(room.idle_cpu, 0.0) / kMillisPerCore;
  std::vector<double> cores(m_fillers.size(), idle_cores);
  for (const FillingRoom::Serving& serving : room.serving) {
    const double headroom = std::max(serving.headroom, 0.0);
    const double default_loss = DefaultLossPerCore(serving.tail_target_ms);
    const auto losses = m_losses.find(serving.image);
    for (std::size_t i = 0; i < cores.size(); ++i) {
      const double known = losses == m_losses.end() ? kUnknownLoss : losses->second[i];
      const double loss = known == kUnknownLoss ? default_loss : known;
      if (loss > 0) cores[i] = std::min(cores[i], headroom / loss);
    }
  }
  double mean = 0;
  for (std::size_t i = 0; i < cores.size(); ++i) mean += m_fillers[i].share * cores[i];
  return mean * kMillisPerCore;
}

double FillingCapacity::DisturbingShare(const std::string& serving_image) const {
  const auto losses = m_losses.find(serving_image);
  double share = 0;
  for (std::size_t i = 0; i < m_fillers.size(); ++i) {
    if (losses == m_losses.end() || losses->second[i] != 0) share += m_fillers[i].share;
  }
  return share;
}

}  // namespace berylgauge::workflow
