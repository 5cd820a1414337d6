#include "workflow/late_calls.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "base/absl_string_view.h"

namespace berylgauge::workflow {

const LateCall* LateCalls::Find(std::string_view task, int run) const {
  const auto calls = m_by_task.find(ToAbsl(task));
  if (calls == m_by_task.end()) return nullptr;
  const auto found =
      std::find_if(calls->second.begin(), calls->second.end(), [&](const LateCall& call) { return call.run == run; });
  return found == calls->second.end() ? nullptr : &*found;
}

void LateCalls::Add(LateCall call) {
  if (const LateCall* known = Find(call.task, call.run)) {
    call.sent_at = std::max(known->sent_at, call.sent_at);
    call.first_sent_at = std::min(known->first_sent_at, call.first_sent_at);
  }
  Replace(std::move(call));
}

void LateCalls::Replace(LateCall call) {
  Remove(call.task, call.run);
  std::vector<LateCall>& calls = m_by_task[call.task];
  calls.push_back(std::move(call));
}

void LateCalls::NoteStopped(std::string_view task, int run) {
  const LateCall* known = Find(task, run);
  if (known == nullptr) return;
  LateCall stopped = *known;
  stopped.is_stopped = true;
  Replace(std::move(stopped));
}

void LateCalls::Remove(std::string_view task, int run) {
  const auto calls = m_by_task.find(ToAbsl(task));
  if (calls == m_by_task.end()) return;
  std::erase_if(calls->second, [&](const LateCall& call) { return call.run == run; });
  if (calls->second.empty()) m_by_task.erase(calls);
}

std::vector<std::string> LateCalls::RemoveIf(const std::function<bool(const LateCall&)>& condition) {
  std::vector<std::string> without;
  absl::erase_if(m_by_task, [&](auto& entry) {
    std::erase_if(entry.second, condition);
    if (entry.second.empty()) without.push_back(entry.first);
    return entry.second.empty();
  });
  return without;
}

std::vector<std::string> LateCalls::RemoveOtherWorkers(std::string_view agent, std::string_view present_worker) {
  return RemoveIf([&](const LateCall& call) { return call.agent == agent && call.worker != present_worker; });
}

std::vector<std::string> LateCalls::RemoveSentUntil(MonotonicTime sent_until) {
  return RemoveIf([&](const LateCall& call) { return call.sent_at <= sent_until; });
}

bool LateCalls::HasUnstopped(std::string_view task, int run) const {
  const LateCall* call = Find(task, run);
  return call != nullptr && !call->is_stopped;
}

bool LateCalls::HasAny(std::string_view task, MonotonicTime sent_after) const {
  const auto calls = m_by_task.find(ToAbsl(task));
  return calls != m_by_task.end() && std::any_of(calls->second.begin(), calls->second.end(),
                                                 [&](const LateCall& call) { return call.sent_at > sent_after; });
}

const LateCall* LateCalls::FindAny(std::string_view task) const {
  const auto calls = m_by_task.find(ToAbsl(task));
  return calls == m_by_task.end() ? nullptr : &calls->second.back();
}

std::vector<LateCall> LateCalls::CallsIf(const std::function<bool(const LateCall&)>& condition) const {
  std::vector<LateCall> found;
  for (const auto& [task, calls] : m_by_task) {
    std::copy_if(calls.begin(), calls.end(), std::back_inserter(found), condition);
  }
  return found;
}

}  // namespace berylgauge::workflow
