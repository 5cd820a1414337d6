#include "workflow/task_name.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include "base/absl_string_view.h"

namespace berylgauge::workflow {
namespace {

/// Removes the part after the last dot and reads it as a number.
template <typename T>
bool TakeNumber(std::string_view& text, T& number) {
  const std::size_t dot = text.rfind('.');
  if (dot == std::string_view::npos) return false;
  if (!absl::SimpleAtoi(ToAbsl(text.substr(dot + 1)), &number) || number < 0) return false;
  text.remove_suffix(text.size() - dot);
  return true;
}

}  // namespace

std::string StepName::ToString() const { return absl::StrCat(job, ".", occurrence, ".", step); }

std::optional<StepName> StepName::Parse(std::string_view text) {
  StepName name;
  if (!TakeNumber(text, name.step) || !TakeNumber(text, name.occurrence)) return std::nullopt;
  if (text.empty()) return std::nullopt;
  name.job = std::string(text);
  return name;
}

std::string TaskName::ToString() const { return absl::StrCat(step.ToString(), ".", index); }

std::optional<TaskName> TaskName::Parse(std::string_view text) {
  TaskName name;
  if (!TakeNumber(text, name.index)) return std::nullopt;
  std::optional<StepName> step = StepName::Parse(text);
  if (!step) return std::nullopt;
  name.step = std::move(*step);
  return name;
}

}  // namespace berylgauge::workflow
