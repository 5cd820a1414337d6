#include "clients/http_worker_client.h"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

#include "clients/json_answer.h"

namespace berylgauge {
namespace {

constexpr std::size_t kMaxTasksInReport = 100'000;
constexpr std::size_t kMaxCheckpointBytes = 1024;
constexpr std::size_t kMaxDetailBytes = 4096;
/// Far above any machine, and low enough that sums over all workers do not overflow.
constexpr std::int64_t kMaxAmount = 1'000'000'000'000;

nlohmann::json ToJson(const Resources& resources) {
  return {{"cpu_millis", resources.cpu_millis},
          {"memory_mb", resources.memory_mb},
          {"accelerators", resources.accelerators},
          {"slots", resources.slots}};
}

Resources ReadResources(JsonObjectReader reader, const IntegerRule& rule) {
  const Resources resources{.cpu_millis = reader.Integer("cpu_millis", rule),
                            .memory_mb = reader.Integer("memory_mb", rule),
                            .accelerators = reader.Integer("accelerators", rule),
                            .slots = reader.Integer("slots", rule)};
  reader.Finish();
  return resources;
}

Resources ReadAmounts(JsonObjectReader reader) { return ReadResources(std::move(reader), {.max = kMaxAmount}); }

Resources ReadObserved(JsonObjectReader reader, const Resources& capacity) {
  const Resources raw = ReadResources(std::move(reader), {.min = std::numeric_limits<std::int64_t>::min()});
  const auto limit = [](std::int64_t amount, std::int64_t available) {
    return std::clamp(amount, std::int64_t{0}, available);
  };
  return {.cpu_millis = limit(raw.cpu_millis, capacity.cpu_millis),
          .memory_mb = limit(raw.memory_mb, capacity.memory_mb),
          .accelerators = limit(raw.accelerators, capacity.accelerators),
          .slots = limit(raw.slots, capacity.slots)};
}

AttemptNumber ReadAttempt(JsonObjectReader& reader) {
  return static_cast<AttemptNumber>(
      reader.Integer("attempt", {.min = 1, .max = std::numeric_limits<AttemptNumber>::max()}));
}

WorkerTask ReadTask(JsonObjectReader& reader, const Resources& capacity) {
  WorkerTask task;
  task.task = TaskId(reader.String("task"));
  task.attempt = ReadAttempt(reader);
  task.state = reader.Enum("state", kWorkerTaskStateNames);
  task.declared = ReadAmounts(reader.Object("declared"));
  task.observed = ReadObserved(reader.Object("observed"), capacity);
  task.checkpoint = reader.String("checkpoint", {.min_length = 0, .max_length = kMaxCheckpointBytes});
  task.detail = reader.String("detail", {.min_length = 0, .max_length = kMaxDetailBytes});
  reader.Finish();
  return task;
}

void ReadReport(JsonObjectReader& answer, WorkerReport& report) {
  report.boot_id = answer.String("boot_id");
  report.capacity = ReadAmounts(answer.Object("capacity"));
  std::set<std::pair<TaskId, AttemptNumber>> known;
  for (JsonObjectReader& reader : answer.Objects("tasks", kMaxTasksInReport)) {
    WorkerTask task = ReadTask(reader, report.capacity);
    if (!known.emplace(task.task, task.attempt).second) reader.AddError("attempt", "is reported twice");
    report.tasks.push_back(std::move(task));
  }
}

Result<void> CheckAttempt(const TaskId& task, AttemptNumber attempt) {
  if (task.empty()) return NotRun(FailureCode::kInvalidArgument, "task must not be empty", "task");
  if (attempt == 0) return NotRun(FailureCode::kInvalidArgument, "attempts are numbered from 1", "attempt");
  return {};
}

/// Whole milliseconds, rounded down so that the worker's lease is never longer than the one that was asked for.
Result<std::int64_t> ToLeaseMillis(absl::Duration lease) {
  const std::int64_t millis = absl::ToInt64Milliseconds(lease);
  if (millis < 1) return NotRun(FailureCode::kInvalidArgument, "lease must be at least 1 ms", "lease");
  return millis;
}

}  // namespace

HttpWorkerClient::HttpWorkerClient(HttpClient& http, const std::string& address)
    : m_http(http), m_url("http://" + address + "/v1/") {}

Result<void> HttpWorkerClient::Start(const WorkerStartOptions& options, absl::Duration timeout) {
  const Result<std::int64_t> lease_ms = ToLeaseMillis(options.lease);
  if (!lease_ms) return tl::make_unexpected(lease_ms.error());
  return Command("start", options.task, options.attempt,
                 {{"resources", ToJson(options.resources)},
                  {"lease_ms", *lease_ms},
                  {"command", options.command},
                  {"checkpoint", options.checkpoint}},
                 timeout);
}

Result<void> HttpWorkerClient::Renew(const TaskId& task, AttemptNumber attempt, absl::Duration lease,
                                     absl::Duration timeout) {
  const Result<std::int64_t> lease_ms = ToLeaseMillis(lease);
  if (!lease_ms) return tl::make_unexpected(lease_ms.error());
  return Command("renew", task, attempt, {{"lease_ms", *lease_ms}}, timeout);
}

Result<void> HttpWorkerClient::Stop(const TaskId& task, AttemptNumber attempt, bool with_checkpoint,
                                    absl::Duration timeout) {
  return Command("stop", task, attempt, {{"with_checkpoint", with_checkpoint}}, timeout);
}

Result<void> HttpWorkerClient::Throttle(const TaskId& task, AttemptNumber attempt, int percent,
                                        absl::Duration timeout) {
  if (percent < 1 || percent > 100) {
    return NotRun(FailureCode::kInvalidArgument, "percent must be from 1 to 100", "percent");
  }
  return Command("throttle", task, attempt, {{"percent", percent}}, timeout);
}

Result<void> HttpWorkerClient::Forget(const TaskId& task, AttemptNumber attempt, absl::Duration timeout) {
  return Command("forget", task, attempt, nlohmann::json::object(), timeout);
}

Result<WorkerReport> HttpWorkerClient::Report(absl::Duration timeout) {
  const Result<HttpResponse> response = m_http.Call({.method = "GET", .url = m_url + "report"}, timeout);
  if (!response) return tl::make_unexpected(response.error());
  WorkerReport report;
  const Result<void> read = ReadJsonAnswer(*response, [&](JsonObjectReader& answer) { ReadReport(answer, report); });
  if (!read) return tl::make_unexpected(read.error());
  return report;
}

Result<void> HttpWorkerClient::Command(const std::string& verb, const TaskId& task, AttemptNumber attempt,
                                       nlohmann::json body, absl::Duration timeout) {
  if (const Result<void> checked = CheckAttempt(task, attempt); !checked) return checked;
  body["task"] = task.value();
  body["attempt"] = attempt;
  // A command with bytes that are not UTF-8 cannot be sent as JSON.
  std::string text;
  try {
    text = body.dump();
  } catch (const nlohmann::json::type_error&) {
    return NotRun(FailureCode::kInvalidArgument, "command must be UTF-8", "command");
  }
  const HttpRequest request{
      .method = "POST", .url = m_url + verb, .headers = {{"content-type", "application/json"}}, .body = text};
  const Result<HttpResponse> response = m_http.Call(request, timeout);
  if (!response) return tl::make_unexpected(response.error());
  return ReadJsonAnswer(*response, [&](JsonObjectReader& answer) {
    if (answer.String("task") != task.value()) answer.AddError("task", "is not the task of the request");
    if (ReadAttempt(answer) != attempt) answer.AddError("attempt", "is not the attempt of the request");
  });
}

}  // namespace berylgauge
