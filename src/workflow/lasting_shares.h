#pragma once

#include <map>
#include <string>
#include <vector>

#include "workflow/lasting_step_state.h"

namespace berylgauge::workflow {

/// Parts of the tasks that are at work among the steps of one queue, 0 to 1, by size (`LastingStepState::size`).
struct LastingShares {
  int steps = 0;
  double all = 1;            ///< mean over the steps
  double largest_tenth = 1;  ///< mean over the largest tenth, one step at least
  double next_fifth = 1;     ///< mean over the fifth below it, one step at least where there are two
  double least = 1;          ///< of the step that is served worst
  std::string least_step;    ///< its name
};

/// Shares by queue. Steps of equal size are taken by name.
std::map<std::string, LastingShares> SharesByQueue(const std::vector<LastingStepState>& steps);

}  // namespace berylgauge::workflow
