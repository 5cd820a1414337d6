#pragma once

#include <cstddef>
#include <set>
#include <vector>

#include "base/monotonic_time.h"
#include "workflow/workflow_job.h"

namespace berylgauge::workflow {

/// Tasks of the step that have a run which is not being stopped.
int HeldTasks(const WorkflowStep& step);

/// How many tasks of a step get room before another step has its turn.
enum class LastingTurns {
  kWholeSteps,   ///< all that wait: images stay together, which disturbs filling tasks least
  kSingleTasks,  ///< one, so that steps share room that is short
};

/// The order in which waiting tasks of steps that last get room: that of the step that has the least part of its tasks
/// placed (max-min fairness), then of the one with the earlier deadline, then by name.
class LastingOrder {
 public:
  explicit LastingOrder(LastingTurns turns) : m_turns(turns) {}

  /// A step whose turn it is.
  struct Turn {
    WorkflowStep* step = nullptr;
    int index = 0;  ///< of the task
  };

  /// `waiting` are the tasks of the step that may be placed, in their order.
  void Add(WorkflowStep& step, std::vector<std::size_t> waiting);

  bool IsEmpty() const { return m_entries.empty(); }
  Turn Next() const;
  /// The task of `Next` has got room, or waits for a better place.
  void Advance(bool is_placed);
  /// No worker has room for a task of the step of `Next`.
  void DropStep() { m_entries.erase(m_entries.begin()); }

 private:
  struct Entry {
    double share = 0;
    MonotonicTime deadline;
    WorkflowStep* step = nullptr;
    int held = 0;
    std::size_t next = 0;  ///< in `waiting`
    std::vector<std::size_t> waiting;
  };
  struct IsServedLess {
    /// Compares by `share`, which is not brought up to date while a step has its turn.
    bool operator()(const Entry& a, const Entry& b) const;
  };

  const LastingTurns m_turns;
  std::set<Entry, IsServedLess> m_entries;
};

}  // namespace berylgauge::workflow
