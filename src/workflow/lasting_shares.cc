#include "workflow/lasting_shares.h"

#include <algorithm>
#include <cstddef>
#include <tuple>
#include <utility>

namespace berylgauge::workflow {
namespace {

constexpr std::size_t kTenth = 10;
constexpr std::size_t kFifth = 5;

using StepIterator = std::vector<const LastingStepState*>::const_iterator;

double MeanShare(StepIterator begin, StepIterator end) {
  if (begin == end) return 1;
  double sum = 0;
  for (auto step = begin; step != end; ++step) sum += (*step)->Share();
  return sum / static_cast<double>(end - begin);
}

LastingShares SharesOf(std::vector<const LastingStepState*> steps) {
  std::sort(steps.begin(), steps.end(), [](const LastingStepState* a, const LastingStepState* b) {
    return std::tie(b->size, a->name) < std::tie(a->size, b->name);
  });
  const std::size_t tenth = (steps.size() + kTenth - 1) / kTenth;
  const std::size_t fifth = std::min((steps.size() + kFifth - 1) / kFifth, steps.size() - tenth);
  const auto tenth_end = steps.cbegin() + static_cast<std::ptrdiff_t>(tenth);
  const auto least = std::min_element(steps.cbegin(), steps.cend(),
                                      [](const auto* a, const auto* b) { return a->Share() < b->Share(); });
  return {.steps = static_cast<int>(steps.size()),
          .all = MeanShare(steps.cbegin(), steps.cend()),
          .largest_tenth = MeanShare(steps.cbegin(), tenth_end),
          .next_fifth = MeanShare(tenth_end, tenth_end + static_cast<std::ptrdiff_t>(fifth)),
          .least = (*least)->Share(),
          .least_step = (*least)->name};
}

}  // namespace

std::map<std::string, LastingShares> SharesByQueue(const std::vector<LastingStepState>& steps) {
  std::map<std::string, std::vector<const LastingStepState*>> by_queue;
  for (const LastingStepState& step : steps) by_queue[step.queue].push_back(&step);
  std::map<std::string, LastingShares> shares;
  for (auto& [queue, of_queue] : by_queue) shares.emplace(queue, SharesOf(std::move(of_queue)));
  return shares;
}

}  // namespace berylgauge::workflow
