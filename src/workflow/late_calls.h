#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "base/monotonic_time.h"
#include "base/resources.h"

namespace berylgauge::workflow {

/// A start of which a call was sent and has no answer. For a while the call may be carried out by the life of the
/// worker that it was for, or by a later one under the same id.
struct LateCall {
  std::string task;
  int run = 0;
  std::string agent;      ///< host of the worker
  std::string worker;     ///< id of the worker; its lives are not told apart
  MonotonicTime sent_at;  ///< of the newest such call, at the latest
  /// Before this no call of the start was sent, so what knows of all calls since then knows of all of this start.
  MonotonicTime first_sent_at = InfinitePast();
  Resources demand;  ///< that the run takes if it begins; none if unknown
  /// The run was stopped, so the life that answered the stop refuses the call, and only a later one may carry it out.
  bool is_stopped = false;
};

/// Remembers starts with a call without an answer, whatever becomes of the run, of the worker's life and of the job.
///
/// An agent keeps those of its own calls, the owner keeps those of all workers. How long a call counts is said by the
/// caller: `sent_after` is the time of the oldest call that does.
class LateCalls {
 public:
  // Commands.

  /// Adds the call, or widens the time in which a known one may have been sent.
  void Add(LateCall call);
  /// Puts the call in the place of a known one.
  void Replace(LateCall call);
  void NoteStopped(std::string_view task, int run);
  void Remove(std::string_view task, int run);
  /// Another worker was found at the host, so the calls for former ones have no effect: it has another id. Returns the
  /// tasks that have none left.
  std::vector<std::string> RemoveOtherWorkers(std::string_view agent, std::string_view present_worker);
  /// Forgets calls that were sent until then. Returns the tasks that have none left.
  std::vector<std::string> RemoveSentUntil(MonotonicTime sent_until);

  // Queries.

  bool empty() const { return m_by_task.empty(); }
  /// Tasks with a call.
  std::size_t size() const { return m_by_task.size(); }
  bool Has(std::string_view task, int run) const { return Find(task, run) != nullptr; }
  /// Whether the life that the run was for may carry a call out.
  bool HasUnstopped(std::string_view task, int run) const;
  /// Whether a call of any run of the task was sent after that time.
  bool HasAny(std::string_view task, MonotonicTime sent_after = InfinitePast()) const;
  /// A call of the task; null if there is none.
  const LateCall* FindAny(std::string_view task) const;
  std::vector<LateCall> CallsIf(const std::function<bool(const LateCall&)>& condition) const;

 private:
  /// Returns the tasks that have none left.
  std::vector<std::string> RemoveIf(const std::function<bool(const LateCall&)>& condition);
  const LateCall* Find(std::string_view task, int run) const;

  absl::flat_hash_map<std::string, std::vector<LateCall>> m_by_task;
};

}  // namespace berylgauge::workflow
