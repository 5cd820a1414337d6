#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <string>
#include <vector>

#include "base/resources.h"

namespace berylgauge::workflow {

inline constexpr std::size_t kMaxSteps = 1000;
/// The record of a step has some 60 bytes for each task, and the store takes records of 262,144 bytes.
inline constexpr int kMaxTasksPerStep = 4000;
/// Far above any objective, and low enough for times to stay finite.
inline constexpr double kMaxStretch = 1e9;

/// One step of a job: a number of equal tasks.
struct StepDefinition {
  int task_count = 1;
  Resources demand;              ///< of one task
  std::int64_t estimate_ms = 0;  ///< rough run time of one task
  std::vector<int> after;        ///< numbers of earlier steps that must be done first
  bool saves_progress = false;   ///< its runs produce checkpoints
  bool gang = false;             ///< its tasks work only together
  bool same_rack = false;        ///< its tasks are slower when spread over racks
  bool speculative = false;      ///< copies of a task may run in parallel
  bool long_running = false;     ///< its tasks run until the job is cancelled
  bool fills_idle_cpu = false;   ///< uses only the processor time that other tasks leave; its `cpu` is not reserved
  std::string required_label;    ///< of the worker; empty for any
  std::string data_rack;         ///< label of the rack that holds its data; empty for none
  std::string image;             ///< tasks of one image behave alike
  int max_per_worker = 0;        ///< tasks of one occurrence on one worker; 0 for no limit
  int tail_target_ms = 0;        ///< upper bound of the tail latency of a serving task; 0 for none
  int may_miss = -1;             ///< tasks that the system may take away at a time; -1 for no such limit

  bool operator==(const StepDefinition&) const = default;
};

/// Settings of a queue that hold for a job from its acceptance on.
struct QueuePolicy {
  std::string name;
  std::string service;        ///< names the workers that run its tasks
  int priority = 0;           ///< 0 comes first
  int max_attempts = 1;       ///< failed runs of a task after which its job has failed
  double stretch = 1;         ///< objective: this times the longest chain of work
  int target_latency_ms = 0;  ///< added to the objective
  bool needs_advice = false;  ///< only workers that the advice service names may run a step
  int advice_valid_ms = 0;    ///< how long a ticket of the advice service is accepted

  bool operator==(const QueuePolicy&) const = default;
};

/// A job as a client submitted it.
struct JobDefinition {
  std::string id;
  QueuePolicy queue;
  std::string payload;  ///< passed to each task unchanged
  std::vector<StepDefinition> steps;
  std::int64_t occurrences = 0;        ///< how many times the steps run; 0: once, without a due time
  std::int64_t first_due_unix_ms = 0;  ///< of occurrence 0
  std::int64_t interval_ms = 0;        ///< between the due times of two occurrences
  std::int64_t accepted_unix_ms = 0;   ///< by the clock of the entry that accepted it; 0 if not recorded

  bool IsScheduled() const { return occurrences > 0; }
  /// The latest time there is for an occurrence that would be due after it.
  std::int64_t DueUnixMs(std::int64_t occurrence) const {
    constexpr std::int64_t kLatest = std::numeric_limits<std::int64_t>::max();
    if (interval_ms > 0 && occurrence > (kLatest - first_due_unix_ms) / interval_ms) return kLatest;
    return first_due_unix_ms + occurrence * interval_ms;
  }
  bool operator==(const JobDefinition&) const = default;
};

}  // namespace berylgauge::workflow
