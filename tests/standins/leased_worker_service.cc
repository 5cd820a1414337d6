#include "leased_worker_service.h"

#include <absl/time/clock.h>

#include <algorithm>
#include <chrono>
#include <optional>
#include <utility>

namespace berylgauge {
namespace {

using nlohmann::json;

constexpr auto kTick = std::chrono::milliseconds(10);
constexpr auto kHeartbeatInterval = std::chrono::milliseconds(200);
/// Less than the time for which a control call is waited for.
constexpr std::int64_t kMaxDownMs = 10'000;
constexpr std::int64_t kMaxFailAfterMs = 600'000;  // as `delay_ms` of all stand-ins
constexpr std::size_t kMaxListedEnds = 500;
constexpr int kLeaveAttempts = 5;
/// Specification of a task that lasts.
constexpr const char* kLastingSpec = "lasts";

std::optional<WorkerCall> CallAt(const std::string& path) {
  if (path == "/v1/run-start") return WorkerCall::kStart;
  if (path == "/v1/run-stop") return WorkerCall::kStop;
  if (path == "/v1/hold") return WorkerCall::kHold;
  if (path == "/v1/pace") return WorkerCall::kPace;
  return std::nullopt;
}

/// The calls named under `key`; `present` if the key is absent.
std::set<WorkerCall> ReadCalls(JsonObjectReader& reader, const std::string& key, std::set<WorkerCall> present) {
  const bool is_given = reader.Has(key);
  const std::vector<std::string> names = reader.Strings(key, kWorkerCallNames.entries().size(), false);
  if (!is_given) return present;
  std::set<WorkerCall> calls;
  for (const std::string& name : names) {
    const std::optional<WorkerCall> call = kWorkerCallNames.ValueOf(name);
    if (call) {
      calls.insert(*call);
    } else {
      reader.AddError(key, "unknown call " + name);
    }
  }
  return calls;
}

json NamesOf(const std::set<WorkerCall>& calls) {
  json names = json::array();
  for (const WorkerCall call : calls) names.push_back(kWorkerCallNames.NameOf(call));
  return names;
}

/// What tells a call apart in the record.
json Describe(WorkerCall call, const StandinRequest& request) {
  json description = {{"call", kWorkerCallNames.NameOf(call)}};
  const json body = json::parse(request.body, nullptr, false);
  for (const char* key : {"task", "run", "fence_token", "last_seen", "until_ms"}) {
    if (body.is_object() && body.contains(key)) description[key] = body[key];
  }
  return description;
}

std::string HeaderOf(const StandinRequest& request, const std::string& name, const std::string& fallback) {
  const auto found = std::find_if(request.headers.begin(), request.headers.end(),
                                  [&](const auto& header) { return header.first == name; });
  return found == request.headers.end() ? fallback : found->second;
}

}  // namespace

LeasedWorkerService::LeasedWorkerService(LeasedWorkerOptions options, EventRecord& record)
    : m_options(std::move(options)), m_record(record) {
  BeginLife(m_options.clock_ms);
  m_timer = std::thread([this] { RunTimer(); });
  m_heartbeats = std::thread([this] { SendHeartbeats(); });
}

LeasedWorkerService::~LeasedWorkerService() {
  LeasedWorkerService::Stop();
  m_timer.join();
  m_heartbeats.join();
}

void LeasedWorkerService::Stop() {
  const std::lock_guard lock(m_mutex);
  m_stopped = true;
  m_changed.notify_all();
}

// ---- Faults and control calls

void LeasedWorkerService::ReadFaults(JsonObjectReader& reader) {
  const std::lock_guard lock(m_mutex);
  m_next_faults = {.draining = reader.Boolean("draining", m_faults.draining),
                   .quiet = reader.Boolean("quiet", m_faults.quiet),
                   .keep = ReadCalls(reader, "keep", m_faults.keep),
                   .mute = ReadCalls(reader, "mute", m_faults.mute),
                   .late_lists = reader.Boolean("late_lists", m_faults.late_lists),
                   .fail_runs_after_ms = reader.Integer(
                       "fail_runs_after_ms", {.default_value = m_faults.fail_runs_after_ms, .max = kMaxFailAfterMs})};
}

void LeasedWorkerService::ApplyFaults() {
  const std::lock_guard lock(m_mutex);
  if (m_is_up) Update();  // what has ended by now ended under the former faults
  m_faults = m_next_faults;
  m_changed.notify_all();
}

json LeasedWorkerService::Faults() const {
  const std::lock_guard lock(m_mutex);
  return {{"draining", m_faults.draining},     {"quiet", m_faults.quiet},
          {"keep", NamesOf(m_faults.keep)},    {"mute", NamesOf(m_faults.mute)},
          {"late_lists", m_faults.late_lists}, {"fail_runs_after_ms", m_faults.fail_runs_after_ms}};
}

StandinResponse LeasedWorkerService::HandleControl(const StandinRequest& request) {
  const bool is_rebirth = request.path == "/control/rebirth";
  const bool is_leave = request.path == "/control/leave";
  if (!is_rebirth && !is_leave && request.path != "/control/play-kept") return StandinService::HandleControl(request);
  const json document = json::parse(request.body, nullptr, false);
  if (document.is_discarded()) return StandinResponse::Error(400, "not JSON");
  JsonErrors errors;
  JsonObjectReader reader(document, "$", errors);
  const std::int64_t down_ms = is_rebirth ? reader.Integer("down_ms", {.default_value = 0, .max = kMaxDownMs}) : 0;
  const std::set<WorkerCall> calls =
      is_leave ? std::set<WorkerCall>{} : ReadCalls(reader, is_rebirth ? "play_kept" : "kinds", {});
  const std::set<WorkerCall> keep = is_rebirth ? ReadCalls(reader, "keep", {}) : std::set<WorkerCall>{};
  reader.Finish();
  if (!errors.empty()) return StandinResponse::Error(400, errors.ToFailure().message);
  std::unique_lock lock(m_mutex);
  if (!m_is_up || m_is_leaving) return StandinResponse::Error(409, "the worker is down or leaves");
  if (is_leave) {
    if (!Leave(lock)) return StandinResponse::Error(502, "the agent does not answer");
    return StandinResponse::Json({{"born", m_life.born}});
  }
  if (is_rebirth) {
    Die();
    m_faults.keep = keep;
    m_changed.wait_for(lock, std::chrono::milliseconds(down_ms), [this] { return m_stopped; });
    BeginLife(0);
    m_record.Add("born", {{"born", m_life.born}});
  }
  const int played = PlayKept(calls);
  return StandinResponse::Json({{"born", m_life.born}, {"played", played}});
}

// ---- Lives

void LeasedWorkerService::BeginLife(std::int64_t clock_ms) {
  const std::int64_t former = m_life.born;
  // Lives are told apart by it, also those that begin within one millisecond.
  m_life = {.born = std::max(absl::ToUnixMillis(absl::Now()), former + 1),
            .clock_zero_ms = MonotonicMillis() - clock_ms,
            .runs = {},
            .ended_runs = {},
            .ends = {}};
  m_is_up = true;
  m_changed.notify_all();
}

void LeasedWorkerService::Die() {
  Update();
  m_record.Add("death", {{"born", m_life.born}});
  m_life.runs.clear();
  m_is_up = false;
  CloseConnections();
  m_changed.notify_all();
}

bool LeasedWorkerService::Leave(std::unique_lock<std::mutex>& lock) {
  m_is_leaving = true;
  m_faults.draining = true;
  m_changed.wait(lock, [this] { return m_stopped || !m_is_telling; });  // a heartbeat must not arrive after the message
  const auto tell = [&](const std::string& message, const json& body) {
    for (int i = 0; i < kLeaveAttempts && !m_stopped; ++i) {
      if (TellAgent(message, body, lock)) return true;
    }
    return false;
  };
  const bool is_told = tell("heartbeat", MakeHeartbeat()) && tell("leave", {{"born", m_life.born}});
  Update();
  m_record.Add("left", {{"born", m_life.born}});
  m_life.runs.clear();
  m_is_up = false;
  m_changed.notify_all();
  return is_told;
}

std::int64_t LeasedWorkerService::ClockMs() const { return MonotonicMillis() - m_life.clock_zero_ms + 1; }

void LeasedWorkerService::Finish(const std::string& task, const std::string& how) {
  const Run run = m_life.runs.at(task);
  m_life.runs.erase(task);
  m_life.ended_runs[task] = std::max(m_life.ended_runs[task], run.number);
  m_life.ends.push_back({.number = ++m_life.last_end, .task = task, .run = run.number, .how = how});
  m_record.Add("run-end", {{"task", task}, {"run", run.number}, {"how", how}});
  m_changed.notify_all();
}

std::optional<std::string> LeasedWorkerService::EndOf(const Run& run) const {
  const std::int64_t age = ClockMs() - run.begun_ms;
  if (m_faults.fail_runs_after_ms > 0) {
    if (age >= m_faults.fail_runs_after_ms) return "failed";
    return std::nullopt;
  }
  if (!run.lasts && age >= m_options.work_ms) return "done";
  return std::nullopt;
}

std::int64_t LeasedWorkerService::PercentOf(const Run& run) const {
  // A run that is going to fail never has all of its work done.
  const std::int64_t limit = m_faults.fail_runs_after_ms > 0 ? 99 : 100;
  return std::min(limit, 100 * (ClockMs() - run.begun_ms) / m_options.work_ms);
}

void LeasedWorkerService::Update() {
  const bool lapsed = ClockMs() > m_life.lease_end_ms;
  std::vector<std::pair<std::string, std::string>> over;
  for (const auto& [task, run] : m_life.runs) {
    const std::optional<std::string> how = lapsed ? "lapsed" : EndOf(run);
    if (how) over.emplace_back(task, *how);
  }
  for (const auto& [task, how] : over) Finish(task, how);
  if (!lapsed) return;
  for (End& end : m_life.ends) end.lapsed = true;
}

void LeasedWorkerService::RunTimer() {
  std::unique_lock lock(m_mutex);
  while (!m_stopped) {
    m_changed.wait_for(lock, kTick);
    if (m_is_up) Update();
  }
}

// ---- Calls

StandinResponse LeasedWorkerService::Accepted() const { return StandinResponse::Json({{"clock_ms", ClockMs()}}); }

StandinResponse LeasedWorkerService::Refusal(int status, const std::string& reason) const {
  return StandinResponse::Json({{"clock_ms", ClockMs()}, {"reason", reason}}, status);
}

StandinResponse LeasedWorkerService::Handle(const StandinRequest& request) {
  const std::optional<WorkerCall> call = CallAt(request.path);
  if (!call) return StandinResponse::Error(404, "no such path: " + request.path);
  std::unique_lock lock(m_mutex);
  if (!m_is_up || request.IsCut()) return {.closed = true};
  if (m_faults.keep.contains(*call)) return Keep(*call, request, lock);
  StandinResponse answer = CarryOut(*call, request);
  if (*call == WorkerCall::kHold && answer.status == 200) return AnswerHold(request, lock);
  if (m_faults.mute.contains(*call)) return {.closed = true};
  return answer;
}

StandinResponse LeasedWorkerService::AnswerHold(const StandinRequest& request, std::unique_lock<std::mutex>& lock) {
  const std::int64_t born = m_life.born;
  const std::chrono::milliseconds wait(json::parse(request.body).value("wait_ms", std::int64_t{0}));
  m_record.Add("hold", {{"wait_ms", wait.count()}});
  m_changed.wait_for(lock, wait, [&] { return m_stopped || !IsIn(born) || !m_life.ends.empty(); });
  if (!IsIn(born) || m_faults.mute.contains(WorkerCall::kHold)) return {.closed = true};
  StandinResponse answer = Lists();
  NoteListed();
  const auto is_dead = [&] { return !IsIn(born) && !m_is_leaving; };
  if (!m_life.ends.empty()) {
    m_changed.wait(lock, [&] { return m_stopped || !m_faults.late_lists || is_dead(); });
  }
  if (is_dead()) return {.closed = true};
  return answer;
}

void LeasedWorkerService::NoteListed() {
  for (std::size_t i = 0; i < std::min(kMaxListedEnds, m_life.ends.size()); ++i) {
    End& end = m_life.ends[i];
    if (end.listed) continue;
    end.listed = true;
    m_record.Add("listed", {{"task", end.task}, {"run", end.run}, {"how", end.how}});
  }
}

StandinResponse LeasedWorkerService::Keep(WorkerCall call, const StandinRequest& request,
                                          std::unique_lock<std::mutex>& lock) {
  const std::int64_t number = ++m_last_kept;
  const std::int64_t born = m_life.born;
  m_kept.push_back({.number = number, .call = call, .request = request});
  m_record.Add("kept", Describe(call, request));
  m_changed.wait(lock, [&] {
    return m_stopped || !IsIn(born) ||
           std::none_of(m_kept.begin(), m_kept.end(), [&](const KeptCall& kept) { return kept.number == number; });
  });
  return {.closed = true};
}

int LeasedWorkerService::PlayKept(const std::set<WorkerCall>& calls) {
  int played = 0;
  for (const KeptCall& kept : m_kept) {
    if (!calls.contains(kept.call)) continue;
    ++played;
    const StandinResponse answer = CarryOut(kept.call, kept.request);
    json event = Describe(kept.call, kept.request);
    event["status"] = answer.status;
    event["reason"] = json::parse(answer.body).value("reason", "");
    m_record.Add("played", std::move(event));
  }
  std::erase_if(m_kept, [&](const KeptCall& kept) { return calls.contains(kept.call); });
  m_changed.notify_all();
  return played;
}

StandinResponse LeasedWorkerService::CarryOut(WorkerCall call, const StandinRequest& request) {
  Update();
  if (HeaderOf(request, "expect-instance", m_options.id) != m_options.id) return Refusal(421, "instance");
  const json body = json::parse(request.body, nullptr, false);
  if (!body.is_object()) return StandinResponse::Error(400, "body must be an object");
  const std::int64_t token = body.value("fence_token", std::int64_t{0});
  if (token < m_life.fence_token) return Refusal(409, "fence");
  m_life.fence_token = token;
  switch (call) {
    case WorkerCall::kStart:
      return Start(body);
    case WorkerCall::kStop:
      return StopRun(body);
    case WorkerCall::kHold:
      return Hold(body);
    case WorkerCall::kPace:
      break;
  }
  return Accepted();
}

void LeasedWorkerService::ExtendLease(std::int64_t until_ms) {
  const bool is_first = m_life.lease_end_ms == 0;
  m_life.lease_end_ms = std::max(m_life.lease_end_ms, std::min(until_ms, ClockMs() + m_options.hold_max_ms));
  if (is_first && m_life.lease_end_ms > 0) m_record.Add("leased", {{"born", m_life.born}});
}

StandinResponse LeasedWorkerService::Start(const json& body) {
  const std::string task = body.at("task");
  const int run = body.at("run");
  const std::int64_t until = body.at("until_ms");
  if (until < ClockMs()) return Refusal(409, "late");
  ExtendLease(until);
  const auto present = m_life.runs.find(task);
  if (present != m_life.runs.end() && present->second.number == run) return Accepted();
  if (m_life.ended_runs.contains(task) && run <= m_life.ended_runs[task]) return Refusal(409, "old");
  const bool lasts = body.value("spec", "") == kLastingSpec;
  m_life.runs[task] = {.number = run, .begun_ms = ClockMs(), .lasts = lasts};
  m_record.Add("run-start", {{"task", task}, {"run", run}});
  return Accepted();
}

StandinResponse LeasedWorkerService::StopRun(const json& body) {
  const std::string task = body.at("task");
  const int run = body.at("run");
  const auto present = m_life.runs.find(task);
  if (present != m_life.runs.end() && present->second.number == run) Finish(task, "stopped");
  m_life.ended_runs[task] = std::max(m_life.ended_runs[task], run);
  return Accepted();
}

StandinResponse LeasedWorkerService::Hold(const json& body) {
  const std::int64_t last_seen = body.value("last_seen", std::int64_t{0});
  for (const End& end : m_life.ends) {
    if (end.number <= last_seen && !end.lapsed) {
      m_record.Add("noted", {{"task", end.task}, {"run", end.run}, {"how", end.how}});
    }
  }
  std::erase_if(m_life.ends, [&](const End& end) { return end.number <= last_seen; });
  ExtendLease(body.value("until_ms", std::int64_t{0}));
  return Lists();
}

StandinResponse LeasedWorkerService::Lists() const {
  json running = json::array();
  for (const auto& [task, run] : m_life.runs) {
    running.push_back(json::array({task, run.number, "", PercentOf(run), 0}));
  }
  json ended = json::array();
  for (const End& end : m_life.ends) {
    if (ended.size() == kMaxListedEnds) break;
    ended.push_back(json::array({end.number, end.task, end.run, end.how, ""}));
  }
  return StandinResponse::Json(
      {{"clock_ms", ClockMs()}, {"born", m_life.born}, {"running", std::move(running)}, {"ended", std::move(ended)}});
}

// ---- Heartbeats

json LeasedWorkerService::MakeHeartbeat() {
  return {{"service", m_options.service},
          {"zone", m_options.zone},
          {"state", m_faults.draining ? "draining" : "ready"},
          {"labels", {"a", "r0"}},
          {"capacity", {{"cpu", 16000}, {"mem_mb", 64000}, {"gpu", 0}}},
          {"born", m_life.born},
          {"seq", ++m_life.heartbeats}};
}

bool LeasedWorkerService::TellAgent(const std::string& message, const json& body, std::unique_lock<std::mutex>& lock) {
  m_is_telling = true;
  lock.unlock();
  const Result<HttpResponse> answer =
      m_http.Call({.method = "POST",
                   .url = "http://" + m_options.agent + "/v1/instances/" + m_options.id + "/" + message,
                   .headers = {{"content-type", "application/json"}},
                   .body = body.dump()},
                  absl::Seconds(1));
  lock.lock();
  m_is_telling = false;
  m_changed.notify_all();
  return answer && answer->status / 100 == 2;
}

void LeasedWorkerService::SendHeartbeats() {
  std::unique_lock lock(m_mutex);
  while (!m_stopped) {
    if (m_is_up && !m_is_leaving && !m_faults.quiet) {
      // An agent that is away is told again with the next heartbeat.
      static_cast<void>(TellAgent("heartbeat", MakeHeartbeat(), lock));
    }
    if (!m_stopped) m_changed.wait_for(lock, kHeartbeatInterval);
  }
}

}  // namespace berylgauge
