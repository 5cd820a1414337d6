#include "worker_service.h"

#include <algorithm>
#include <chrono>
#include <limits>

namespace berylgauge {
namespace {

constexpr std::int64_t kMaxAmount = 1'000'000'000;
constexpr std::int64_t kMaxMillis = 1'000'000'000;
constexpr std::int64_t kAbsurdAmount = 1'000'000'000'000'000;
constexpr std::size_t kMaxCommandBytes = 65'536;

nlohmann::json ToJson(const Resources& resources) {
  return {{"cpu_millis", resources.cpu_millis},
          {"memory_mb", resources.memory_mb},
          {"accelerators", resources.accelerators},
          {"slots", resources.slots}};
}

Resources ReadResources(JsonObjectReader reader) {
  const IntegerRule rule{.max = kMaxAmount};
  const Resources resources{.cpu_millis = reader.Integer("cpu_millis", rule),
                            .memory_mb = reader.Integer("memory_mb", rule),
                            .accelerators = reader.Integer("accelerators", rule),
                            .slots = reader.Integer("slots", rule)};
  reader.Finish();
  return resources;
}

TaskBehaviour ReadBehaviour(const std::string& command, const Resources& declared, JsonErrors& errors) {
  const nlohmann::json document = nlohmann::json::parse(command, nullptr, false);
  JsonObjectReader reader(document, "$.command", errors);
  const IntegerRule optional_ms{.default_value = 0, .max = kMaxMillis};
  const TaskBehaviour behaviour{
      .run_ms = reader.Integer("run_ms", optional_ms),
      .fail = reader.Boolean("fail", false),
      .checkpoint_ms = reader.Integer("checkpoint_ms", optional_ms),
      .checkpoint_every_ms = reader.Integer("checkpoint_every_ms", optional_ms),
      .use_cpu_millis = reader.Integer("use_cpu_millis", {.default_value = declared.cpu_millis, .max = kMaxAmount}),
      .use_memory_mb = reader.Integer("use_memory_mb", {.default_value = declared.memory_mb, .max = kMaxAmount}),
  };
  reader.Finish();
  return behaviour;
}

nlohmann::json Describe(const WorkerTaskRun& run) {
  return {{"task", run.task().value()},
          {"attempt", run.attempt()},
          {"state", kWorkerTaskStateNames.NameOf(run.state())},
          {"checkpoint", run.checkpoint()}};
}

}  // namespace

WorkerService::WorkerService(const WorkerServiceOptions& options, EventRecord& record)
    : m_options(options),
      m_record(record),
      m_faults{.usage_lag_ms = options.usage_lag_ms},
      m_next_faults(m_faults),
      m_timer([this] { RunTimer(); }) {}

WorkerService::~WorkerService() {
  WorkerService::Stop();
  m_timer.join();
}

StandinResponse WorkerService::Handle(const StandinRequest& request) {
  if (request.method == "GET" && request.path == "/v1/report") return Report();
  constexpr std::string_view kPrefix = "/v1/";
  if (request.method != "POST" || !request.path.starts_with(kPrefix)) {
    return StandinResponse::Error(404, "no such path: " + request.path);
  }
  const nlohmann::json document = nlohmann::json::parse(request.body, nullptr, false);
  if (document.is_discarded()) return StandinResponse::Error(400, "not JSON");
  JsonErrors errors;
  JsonObjectReader reader(document, "$", errors);
  return Command(request.path.substr(kPrefix.size()), reader, errors);
}

StandinResponse WorkerService::Command(const std::string& verb, JsonObjectReader& reader, const JsonErrors& errors) {
  const Key key{TaskId(reader.String("task")),
                static_cast<AttemptNumber>(
                    reader.Integer("attempt", {.min = 1, .max = std::numeric_limits<AttemptNumber>::max()}))};
  const std::lock_guard lock(m_mutex);
  AdvanceAll();
  if (verb == "start") return Start(key, reader, errors);
  std::int64_t argument = 0;
  if (verb == "renew") {
    argument = reader.Integer("lease_ms", {.min = 1, .max = kMaxMillis});
  } else if (verb == "stop") {
    argument = reader.Boolean("with_checkpoint") ? 1 : 0;
  } else if (verb == "throttle") {
    argument = reader.Integer("percent", {.min = 1, .max = 100});
  } else if (verb != "forget") {
    return StandinResponse::Error(404, "no such command: " + verb);
  }
  reader.Finish();
  if (!errors.empty()) return StandinResponse::Error(400, errors.ToFailure().message);
  const auto it = m_runs.find(key);
  if (it == m_runs.end()) return StandinResponse::Error(404, "unknown attempt");
  const StandinResponse answer = ApplyTo(it->second, verb, argument);
  if (verb == "forget" && answer.status == 200) m_runs.erase(it);
  AdvanceAll();
  m_changed.notify_all();
  return answer;
}

StandinResponse WorkerService::Start(const Key& key, JsonObjectReader& reader, const JsonErrors& errors) {
  JsonErrors command_errors;
  const WorkerStartOptions options{
      .task = key.first,
      .attempt = key.second,
      .resources = ReadResources(reader.Object("resources")),
      .lease = absl::Milliseconds(reader.Integer("lease_ms", {.min = 1, .max = kMaxMillis})),
      .command = reader.String("command", {.min_length = 0, .max_length = kMaxCommandBytes}),
      .checkpoint = reader.String("checkpoint", {.min_length = 0, .max_length = 1024}),
  };
  const TaskBehaviour behaviour = ReadBehaviour(options.command, options.resources, command_errors);
  reader.Finish();
  if (!errors.empty()) return StandinResponse::Error(400, errors.ToFailure().message);
  if (!command_errors.empty()) return StandinResponse::Error(400, command_errors.ToFailure().message);
  const auto progress_ms = WorkerTaskRun::ProgressOf(options.checkpoint);
  if (!progress_ms) return StandinResponse::Error(400, "unknown checkpoint");
  const nlohmann::json fields = {{"task", key.first.value()}, {"attempt", key.second}};
  if (m_runs.contains(key)) return StandinResponse::Json(fields);
  if (m_faults.refuse_starts) {
    m_record.Add("refused", fields);
    return StandinResponse::Error(403, "the worker refuses to start tasks");
  }
  if (!(Reserved() + options.resources).FitsIn(m_options.capacity)) {
    m_record.Add("over-capacity", fields);
    return StandinResponse::Error(429, "the worker has no room");
  }
  const std::int64_t now_ms = MonotonicMillis();
  WorkerTaskRun& run = m_runs.try_emplace(key, options, behaviour, *progress_ms, now_ms).first->second;
  m_record.Add("start", Describe(run));
  if (m_faults.fail_tasks) {
    run.Fail("the worker fails every task", now_ms);
    m_record.Add("end", Describe(run));
  }
  m_changed.notify_all();
  return StandinResponse::Json(fields);
}

StandinResponse WorkerService::ApplyTo(WorkerTaskRun& run, const std::string& verb, std::int64_t argument) {
  const std::int64_t now_ms = MonotonicMillis();
  const nlohmann::json fields = {{"task", run.task().value()}, {"attempt", run.attempt()}};
  if (verb == "forget") {
    if (run.IsRunning()) return StandinResponse::Error(409, "the attempt is running");
    m_record.Add("forget", fields);
  } else if (verb == "stop") {
    if (run.IsRunning()) m_record.Add("stop", fields);
    run.Stop(argument == 1, now_ms);
  } else if (!run.IsRunning()) {
    return StandinResponse::Error(409, "the attempt has ended");
  } else if (verb == "renew") {
    run.Renew(argument, now_ms);
  } else {
    run.Throttle(static_cast<int>(argument), now_ms);
    m_record.Add("throttle", {{"task", run.task().value()}, {"attempt", run.attempt()}, {"percent", argument}});
  }
  return StandinResponse::Json(fields);
}

StandinResponse WorkerService::Report() {
  const std::lock_guard lock(m_mutex);
  AdvanceAll();
  const std::int64_t now_ms = MonotonicMillis();
  nlohmann::json tasks = nlohmann::json::array();
  for (const auto& [key, run] : m_runs) {
    nlohmann::json task = Describe(run);
    task["declared"] = ToJson(run.declared());
    task["observed"] = ToJson(ObservedUse(run, now_ms));
    task["detail"] = run.detail();
    tasks.push_back(std::move(task));
  }
  return StandinResponse::Json(
      {{"boot_id", m_options.boot_id}, {"capacity", ToJson(m_options.capacity)}, {"tasks", std::move(tasks)}});
}

Resources WorkerService::ObservedUse(const WorkerTaskRun& run, std::int64_t now_ms) const {
  if (m_faults.usage == UsageReports::kAbsurd) return {.cpu_millis = -kAbsurdAmount, .memory_mb = kAbsurdAmount};
  if (m_faults.usage == UsageReports::kFrozen) {
    const auto it = m_frozen_use.find({run.task(), run.attempt()});
    return it == m_frozen_use.end() ? Resources{} : it->second;
  }
  return run.UseAt(now_ms - m_faults.usage_lag_ms);
}

Resources WorkerService::Reserved() const {
  Resources reserved;
  for (const auto& [key, run] : m_runs) {
    if (run.IsRunning()) reserved += run.declared();
  }
  return reserved;
}

void WorkerService::AdvanceAll() {
  const std::int64_t now_ms = MonotonicMillis();
  for (auto& [key, run] : m_runs) {
    if (!run.IsRunning()) continue;
    run.Advance(now_ms);
    if (!run.IsRunning()) m_record.Add("end", Describe(run));
  }
}

void WorkerService::RunTimer() {
  std::unique_lock lock(m_mutex);
  while (!m_stopped) {
    AdvanceAll();
    std::int64_t next_ms = std::numeric_limits<std::int64_t>::max();
    for (const auto& [key, run] : m_runs) next_ms = std::min(next_ms, run.NextChangeMs());
    constexpr std::int64_t kMaxSleepMs = 60'000;
    const std::int64_t sleep_ms = std::clamp(next_ms - MonotonicMillis(), std::int64_t{1}, kMaxSleepMs);
    m_changed.wait_for(lock, std::chrono::milliseconds(sleep_ms));
  }
}

void WorkerService::ReadFaults(JsonObjectReader& reader) {
  const std::lock_guard lock(m_mutex);
  m_next_faults.fail_tasks = reader.Boolean("fail_tasks", m_faults.fail_tasks);
  m_next_faults.refuse_starts = reader.Boolean("refuse_starts", m_faults.refuse_starts);
  m_next_faults.usage = reader.Enum("usage", kUsageReportsNames, std::optional(m_faults.usage));
  m_next_faults.usage_lag_ms =
      reader.Integer("usage_lag_ms", {.default_value = m_faults.usage_lag_ms, .max = kMaxMillis});
}

void WorkerService::ApplyFaults() {
  const std::lock_guard lock(m_mutex);
  if (m_faults.usage != UsageReports::kFrozen && m_next_faults.usage == UsageReports::kFrozen) {
    const std::int64_t now_ms = MonotonicMillis();
    m_frozen_use.clear();
    for (const auto& [key, run] : m_runs) m_frozen_use[key] = ObservedUse(run, now_ms);
  }
  m_faults = m_next_faults;
}

nlohmann::json WorkerService::Faults() const {
  const std::lock_guard lock(m_mutex);
  return {{"fail_tasks", m_faults.fail_tasks},
          {"refuse_starts", m_faults.refuse_starts},
          {"usage", kUsageReportsNames.NameOf(m_faults.usage)},
          {"usage_lag_ms", m_faults.usage_lag_ms}};
}

void WorkerService::Stop() {
  const std::lock_guard lock(m_mutex);
  m_stopped = true;
  m_changed.notify_all();
}

}  // namespace berylgauge
