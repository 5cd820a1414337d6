#include "workflow/lasting_order.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace berylgauge::workflow {

int HeldTasks(const WorkflowStep& step) {
  int held = 0;
  for (std::size_t i = 0; i < step.tasks.size(); ++i) {
    if (step.tasks[i].state == TaskState::kPlaced && step.runtimes[i].stage != RunStage::kStopping) ++held;
  }
  return held;
}

bool LastingOrder::IsServedLess::operator()(const Entry& a, const Entry& b) const {
  return std::tie(a.share, a.deadline, a.step->name) < std::tie(b.share, b.deadline, b.step->name);
}

void LastingOrder::Add(WorkflowStep& step, std::vector<std::size_t> waiting) {
  if (waiting.empty()) return;
  const int held = HeldTasks(step);
  m_entries.insert({.share = static_cast<double>(held) / static_cast<double>(step.tasks.size()),
                    .deadline = step.deadline,
                    .step = &step,
                    .held = held,
                    .waiting = std::move(waiting)});
}

LastingOrder::Turn LastingOrder::Next() const {
  const Entry& entry = *m_entries.begin();
  return {.step = entry.step, .index = static_cast<int>(entry.waiting[entry.next])};
}

void LastingOrder::Advance(bool is_placed) {
  Entry entry = std::move(m_entries.extract(m_entries.begin()).value());
  if (is_placed) ++entry.held;
  if (m_turns == LastingTurns::kSingleTasks) {
    entry.share = static_cast<double>(entry.held) / static_cast<double>(entry.step->tasks.size());
  }
  if (++entry.next < entry.waiting.size()) m_entries.insert(std::move(entry));
}

}  // namespace berylgauge::workflow
