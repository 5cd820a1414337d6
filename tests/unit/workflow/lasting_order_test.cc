#include "workflow/lasting_order.h"

#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <vector>

namespace berylgauge::workflow {
namespace {

struct OrderStep {
  std::string name;
  int tasks = 0;
  int placed = 0;  ///< the first ones
  absl::Duration deadline;
};

struct OrderRow {
  const char* name;
  LastingTurns turns;
  std::vector<OrderStep> steps;
  int room = 0;  ///< for tasks of any step
  std::string order;
};

// Guards against a step that takes all room in its turn while others wait with less, and against images that are spread
// over the fleet where all fit.
TEST_CASE("the least served step that lasts has its turn first", "[lasting]") {
  const OrderRow row =
      GENERATE(OrderRow{"by share, not by number of tasks",
                        LastingTurns::kSingleTasks,
                        {{"a", 4, 0, absl::Seconds(1)}, {"b", 8, 0, absl::Seconds(2)}},
                        6,
                        "abbabb"},
               OrderRow{"one that came late catches up",
                        LastingTurns::kSingleTasks,
                        {{"a", 4, 2, absl::Seconds(1)}, {"b", 4, 0, absl::Seconds(2)}},
                        4,
                        "bbab"},
               OrderRow{"equal shares by deadline, then by name",
                        LastingTurns::kSingleTasks,
                        {{"c", 2, 0, absl::Seconds(2)}, {"b", 2, 0, absl::Seconds(2)}, {"a", 2, 0, absl::Seconds(3)}},
                        4,
                        "bcab"},
               OrderRow{"whole steps where room is ample",
                        LastingTurns::kWholeSteps,
                        {{"a", 3, 1, absl::Seconds(1)}, {"b", 3, 0, absl::Seconds(2)}},
                        9,
                        "bbbaa"});
  INFO(row.name);
  std::vector<std::unique_ptr<WorkflowStep>> steps;
  LastingOrder order(row.turns);
  for (const OrderStep& of_row : row.steps) {
    steps.push_back(std::make_unique<WorkflowStep>());
    WorkflowStep& step = *steps.back();
    step.name = of_row.name;
    step.deadline = MonotonicTime(absl::Hours(1)) + of_row.deadline;
    step.tasks.resize(static_cast<std::size_t>(of_row.tasks));
    step.runtimes.resize(step.tasks.size());
    std::vector<std::size_t> waiting;
    for (std::size_t i = 0; i < step.tasks.size(); ++i) {
      const bool is_placed = static_cast<int>(i) < of_row.placed;
      if (is_placed) step.tasks[i].state = TaskState::kPlaced;
      if (!is_placed) waiting.push_back(i);
    }
    order.Add(step, waiting);
  }
  std::string taken;
  while (!order.IsEmpty() && static_cast<int>(taken.size()) < row.room) {
    taken += order.Next().step->name;
    order.Advance(true);
  }
  CHECK(taken == row.order);
}

}  // namespace
}  // namespace berylgauge::workflow
