#include "workflow/room_planner.h"

#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "scheduler_world.h"
#include "workflow/interference_model.h"

namespace berylgauge::workflow {
namespace {

/// 16 cores, and the reserve of short tasks.
constexpr std::int64_t kWorkerCpu = 16000 + PlacementOptions{}.short_task_reserve_cpu;

/// A step of equal tasks that last.
struct StepRow {
  std::string name;
  int tasks = 10;
  int priority = 0;
  std::int64_t cpu = 4000;
  int may_miss = -1;
  int on_others = 0;  ///< tasks at work on workers without room
  absl::Duration age = absl::Minutes(1);
  bool settled = true;
};

struct RunRow {
  std::string step;
  std::string worker;
};

struct PlanRow {
  const char* name;
  std::vector<std::string> workers;
  StepRow waiting;
  std::vector<StepRow> others;
  std::vector<RunRow> runs;
  std::string worker;                ///< cleared; empty for no plan
  std::vector<std::string> stopped;  ///< steps of the stopped tasks
  int losses = 0;
};

/// Workers with room for 16 cores of tasks that last, and steps with tasks at work on them.
class PlannerWorld {
 public:
  explicit PlannerWorld(const PlanRow& row) {
    for (const std::string& name : row.workers) {
      m_workers.push_back(std::make_unique<PoolWorker>());
      PoolWorker& worker = *m_workers.back();
      worker.life = {.worker = name, .born = 1};
      worker.service = "dispatch";
      worker.reconciled = true;
      worker.clock_read_at = m_now;
      worker.capacity = {.cpu_millis = kWorkerCpu, .memory_mb = 64000};
      m_candidates.push_back(&worker);
    }
    AddStep(row.waiting);
    for (const StepRow& other : row.others) AddStep(other);
    for (const RunRow& run : row.runs) {
      for (std::size_t i = 0; i < m_workers.size(); ++i) {
        if (m_workers[i]->life.worker == run.worker) AddRun(StepOf(run.step), m_workers[i].get());
      }
    }
  }

  std::optional<RoomPlan> Plan() const {
    const RoomPlanner planner(m_policy, m_limits, m_candidates, {}, m_now);
    return planner.Plan(*m_steps.front());
  }

 private:
  void AddStep(const StepRow& row) {
    m_jobs.push_back(std::make_unique<WorkflowJob>());
    WorkflowJob& job = *m_jobs.back();
    StepDefinition definition = LastingStep(row.tasks);
    definition.demand.cpu_millis = row.cpu;
    definition.may_miss = row.may_miss;
    job.definition = SingleStepJob(row.name, definition);
    job.definition.queue.priority = row.priority;
    m_steps.push_back(std::make_unique<WorkflowStep>());
    WorkflowStep& step = *m_steps.back();
    step.job = &job;
    step.definition = &job.definition.steps.front();
    step.name = row.name;
    step.tasks.resize(static_cast<std::size_t>(row.tasks));
    step.runtimes.resize(step.tasks.size());
    for (TaskRuntime& runtime : step.runtimes) {
      runtime.is_start_settled = row.settled;
      runtime.started_at = m_now - row.age;
    }
    for (int i = 0; i < row.on_others; ++i) AddRun(step, nullptr);
  }

  void AddRun(WorkflowStep& step, PoolWorker* worker) {
    for (std::size_t i = 0; i < step.tasks.size(); ++i) {
      if (step.tasks[i].state != TaskState::kWaiting) continue;
      step.tasks[i].state = TaskState::kPlaced;
      step.runtimes[i].stage = RunStage::kRunning;
      step.runtimes[i].has_begun = true;
      step.runtimes[i].percent = 100;
      if (worker == nullptr) return;
      step.tasks[i].worker = worker->life.worker;
      const TaskRef task = {.step = &step, .index = static_cast<int>(i)};
      worker->runs.emplace(task, HeldDemand(*step.definition));
      worker->reserved += HeldDemand(*step.definition);
      return;
    }
  }

  WorkflowStep& StepOf(const std::string& name) {
    for (const std::unique_ptr<WorkflowStep>& step : m_steps) {
      if (step->name == name) return *step;
    }
    throw std::invalid_argument(name);
  }

  const MonotonicTime m_now{absl::Hours(2)};
  const InterferenceModel m_model;
  const PlacementPolicy m_policy{m_model, {}};
  const PlacementLimits m_limits;
  std::vector<std::unique_ptr<PoolWorker>> m_workers;
  std::vector<PoolWorker*> m_candidates;
  std::vector<std::unique_ptr<WorkflowJob>> m_jobs;
  std::vector<std::unique_ptr<WorkflowStep>> m_steps;  ///< the waiting one first
};

// Guards against large tasks that wait beside free room in pieces, and against stops that take more from others than
// the waiting step may have.
TEST_CASE("room for a lasting task is made where it takes least from others", "[lasting]") {
  const PlanRow row =
      GENERATE(PlanRow{"a task moves into a hole elsewhere",
                       {"w1", "w2"},
                       {.name = "big", .cpu = 10000},
                       {{.name = "small", .cpu = 3000}, {.name = "mid", .cpu = 5000}},
                       {{"small", "w1"}, {"mid", "w1"}, {"mid", "w2"}, {"mid", "w2"}},
                       "w1",
                       {"small"},
                       0},
               PlanRow{"the share of the step does not matter for a move",
                       {"w1", "w2"},
                       {.name = "big", .cpu = 10000, .on_others = 9},
                       {{.name = "small", .cpu = 3000}, {.name = "mid", .cpu = 5000}},
                       {{"small", "w1"}, {"mid", "w1"}, {"mid", "w2"}, {"mid", "w2"}},
                       "w1",
                       {"small"},
                       0},
               PlanRow{"the reserve of short tasks is left where the task moves to",
                       {"w1", "w2"},
                       {.name = "big", .cpu = 10000, .on_others = 9},
                       {{.name = "small", .cpu = 3000}, {.name = "mid", .cpu = 6500}},
                       {{"small", "w1"}, {"mid", "w1"}, {"mid", "w2"}, {"mid", "w2"}},
                       "",
                       {}},
               PlanRow{"nothing where the task has room already",
                       {"w1"},
                       {.name = "small", .cpu = 4000},
                       {{.name = "rich", .cpu = 8000, .on_others = 8}},
                       {{"rich", "w1"}},
                       "",
                       {}},
               PlanRow{"a step that is served better gives a task",
                       {"w1"},
                       {.name = "big", .cpu = 8000},
                       {{.name = "rich", .cpu = 8000, .on_others = 8}},
                       {{"rich", "w1"}, {"rich", "w1"}},
                       "w1",
                       {"rich"},
                       1},
               PlanRow{"the step that is served best gives it",
                       {"w1"},
                       {.name = "big", .cpu = 8000},
                       {{.name = "rich", .cpu = 8000, .on_others = 4}, {.name = "richer", .cpu = 8000, .on_others = 8}},
                       {{"rich", "w1"}, {"richer", "w1"}},
                       "w1",
                       {"richer"},
                       1},
               PlanRow{"a step that is served alike gives none",
                       {"w1"},
                       {.name = "big", .cpu = 8000, .on_others = 4},
                       {{.name = "even", .cpu = 8000, .on_others = 4}},
                       {{"even", "w1"}, {"even", "w1"}},
                       "",
                       {}},
               PlanRow{"no more than two tasks",
                       {"w1"},
                       {.name = "big", .cpu = 10000},
                       {{.name = "rich", .on_others = 8}, {.name = "other", .on_others = 8}},
                       {{"rich", "w1"}, {"rich", "w1"}, {"other", "w1"}, {"other", "w1"}},
                       "",
                       {}},
               PlanRow{"two tasks of different steps",
                       {"w1"},
                       {.name = "big", .cpu = 8000},
                       {{.name = "rich", .on_others = 8}, {.name = "other", .on_others = 8}},
                       {{"rich", "w1"}, {"rich", "w1"}, {"other", "w1"}, {"other", "w1"}},
                       "w1",
                       {"other", "rich"},
                       2},
               PlanRow{"no task of a more important queue",
                       {"w1"},
                       {.name = "big", .priority = 1, .cpu = 8000},
                       {{.name = "rich", .cpu = 8000, .on_others = 8}},
                       {{"rich", "w1"}, {"rich", "w1"}},
                       "",
                       {}},
               PlanRow{"no more tasks away than the client allows",
                       {"w1"},
                       {.name = "big", .cpu = 8000},
                       {{.name = "rich", .cpu = 8000, .may_miss = 1, .on_others = 7}},
                       {{"rich", "w1"}, {"rich", "w1"}},
                       "",
                       {}},
               PlanRow{"a task that the client allows to be away",
                       {"w1"},
                       {.name = "big", .cpu = 8000},
                       {{.name = "rich", .cpu = 8000, .may_miss = 1, .on_others = 8}},
                       {{"rich", "w1"}, {"rich", "w1"}},
                       "w1",
                       {"rich"},
                       1},
               PlanRow{"no run that has just begun",
                       {"w1"},
                       {.name = "big", .cpu = 8000},
                       {{.name = "rich", .cpu = 8000, .on_others = 8, .age = absl::Seconds(3)}},
                       {{"rich", "w1"}, {"rich", "w1"}},
                       "",
                       {}},
               PlanRow{"no run whose start has a call without an answer",
                       {"w1"},
                       {.name = "big", .cpu = 8000},
                       {{.name = "rich", .cpu = 8000, .on_others = 8, .settled = false}},
                       {{"rich", "w1"}, {"rich", "w1"}},
                       "",
                       {}});
  INFO(row.name);
  const PlannerWorld world(row);
  const std::optional<RoomPlan> plan = world.Plan();
  CHECK((plan ? plan->worker->life.worker : "") == row.worker);
  if (!plan) return;
  std::vector<std::string> stopped;
  for (const TaskRef task : plan->stops) stopped.push_back(task.step->name);
  CHECK(stopped == row.stopped);
  CHECK(plan->losses == row.losses);
}

}  // namespace
}  // namespace berylgauge::workflow
