#include "base/log_budget.h"

#include "base/absl_string_view.h"

namespace berylgauge {
namespace {

constexpr absl::Duration kWindow = absl::Seconds(1);

}  // namespace

bool LogBudget::Allow(std::string_view event, MonotonicTime now) {
  auto found = m_windows.find(ToAbsl(event));
  if (found == m_windows.end()) found = m_windows.emplace(std::string(event), Window()).first;
  Window& window = found->second;
  if (now - window.begun >= kWindow) {
    window.begun = now;
    window.written = 0;
  }
  if (window.written < m_lines_per_second) {
    ++window.written;
    return true;
  }
  ++window.omitted;
  ++m_omitted;
  return false;
}

std::vector<std::pair<std::string, std::uint64_t>> LogBudget::TakeOmitted(MonotonicTime now) {
  std::vector<std::pair<std::string, std::uint64_t>> omitted;
  if (m_omitted == 0) return omitted;
  for (auto& [event, window] : m_windows) {
    if (window.omitted == 0 || now - window.begun < kWindow) continue;
    omitted.emplace_back(event, window.omitted);
    m_omitted -= window.omitted;
    window.omitted = 0;
  }
  return omitted;
}

}  // namespace berylgauge
