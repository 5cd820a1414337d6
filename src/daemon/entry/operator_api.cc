#include "daemon/entry/operator_api.h"

#include <absl/strings/str_cat.h>

#include <utility>

#include "base/clock.h"
#include "base/event_log.h"
#include "base/json_document.h"
#include "base/json_object_reader.h"
#include "base/stable_hash.h"
#include "daemon/common/await_drained.h"
#include "daemon/common/random_incarnation.h"
#include "daemon/entry/config_stream.h"
#include "daemon/entry/entry_directory.h"
#include "daemon/entry/intent.h"
#include "daemon/entry/share_map.h"
#include "daemon/entry/worker_directory.h"
#include "daemon/entry/worker_view_of.h"
#include "state/queries/config_queries.h"
#include "state/queries/job_queries.h"
#include "web/json_error_response.h"

namespace berylgauge {
namespace {

/// How long an operator waits for the log before the outcome is reported as unknown.
constexpr absl::Duration kLogWait = absl::Seconds(10);

/// How long a plan waits for the tail of the log, and the age up to which `status` calls the log fresh.
constexpr absl::Duration kFreshFor = absl::Seconds(2);

constexpr std::size_t kThreads = 8;
constexpr std::size_t kMaxIdempotencyKeyBytes = 200;

Result<nlohmann::json> ParseBody(const WebRequest& request) {
  Result<nlohmann::json> document = ParseJsonDocument(request.body);
  if (!document) return NotRun(FailureCode::kInvalidArgument, "the body " + document.error().message, "$");
  return document;
}

/// The same key gives the same job id through every entry, so that a repeated submission is one job.
JobId MakeJobId(const std::string& idempotency_key) {
  if (idempotency_key.empty()) return JobId("job-" + absl::StrCat(absl::Hex(RandomIncarnation(), absl::kZeroPad16)));
  const std::uint64_t high = StableHash64(idempotency_key, 1);
  const std::uint64_t low = StableHash64(idempotency_key, 2);
  return JobId(absl::StrCat("job-", absl::Hex(high, absl::kZeroPad16), absl::Hex(low, absl::kZeroPad16)));
}

std::string Get(const PathParameters& parameters, const std::string& name) {
  const auto it = parameters.find(name);
  return it == parameters.end() ? "" : it->second;
}

WebResponse JsonResponse(int status, const nlohmann::json& document) {
  return {.status = status, .headers = {{"Content-Type", "application/json"}}, .body = document.dump() + "\n"};
}

}  // namespace

OperatorApi::OperatorApi(const OperatorApiContext& context, BearerTokenCheck token, HealthHandler health)
    : m_context(context),
      m_token(std::move(token)),
      m_health(std::move(health)),
      m_plans(context.clock, context.config, context.shares, context.workers),
      m_pool(kThreads) {
  Add("POST", "/v1/plans", 201, &OperatorApi::MakePlan);
  Add("POST", "/v1/plans/{id}/confirm", 200, &OperatorApi::ConfirmPlan);
  Add("GET", "/v1/status", 200, &OperatorApi::Status);
  Add("GET", "/v1/audit", 200, &OperatorApi::Audit);
  Add("POST", "/v1/jobs", 201, &OperatorApi::SubmitJob);
  Add("GET", "/v1/jobs", 200, &OperatorApi::ListAllJobs);
  Add("GET", "/v1/jobs/{id}", 200, &OperatorApi::ShowOneJob);
  Add("DELETE", "/v1/jobs/{id}", 200, &OperatorApi::CancelJob);
  // The last segment of a task id is its index, so the id spans two segments of the path.
  Add("GET", "/v1/tasks/{job}/{index}/explain", 200, &OperatorApi::Explain);
}

void OperatorApi::Add(const std::string& method, const std::string& pattern, int status, Operation operation) {
  m_router.Add(method, pattern,
               [this, status, operation](const PathParameters& parameters, WebRequest request,
                                         const WebServer::Responder& responder) {
                 m_pool.Post([this, status, operation, parameters, request = std::move(request), responder] {
                   const Result<nlohmann::json> result = (this->*operation)(parameters, request);
                   responder(result ? JsonResponse(status, *result) : JsonErrorResponse(result.error()));
                 });
               });
}

void OperatorApi::Handle(WebRequest request, const WebServer::Responder& responder) {
  if (std::optional<WebResponse> answer = m_health.Answer(request)) {
    responder(std::move(*answer));
    return;
  }
  if (std::optional<WebResponse> refusal = m_token.Refusal(request)) {
    responder(std::move(*refusal));
    return;
  }
  m_router.Route(std::move(request), responder);
}

Result<nlohmann::json> OperatorApi::MakePlan(const PathParameters& /*parameters*/, const WebRequest& request) {
  const Result<nlohmann::json> body = ParseBody(request);
  if (!body) return body;
  const Result<Intent> intent = ParseIntent(*body);
  if (!intent) return tl::make_unexpected(intent.error());
  // A plan must contain every change confirmed before it was asked for, through whatever entry, so only a read that was
  // begun after the request counts.
  const MonotonicTime arrived = m_context.clock.Now();
  const auto is_known = [&] { return m_context.config.TailProofNow().at >= arrived; };
  if (!AwaitDrained(m_context.clock, kFreshFor, absl::ZeroDuration(), is_known)) {
    return NotRun(FailureCode::kUnavailable, "the log cannot be read, so the present configuration is not known");
  }
  const Result<Plan> plan = m_plans.Make(*intent);
  if (!plan) return tl::make_unexpected(plan.error());
  const Result<Offset> offset = m_context.config.AppendAndWait({plan->proposal}, kLogWait);
  if (!offset) return tl::make_unexpected(offset.error());
  return plan->ToJson();
}

Result<nlohmann::json> OperatorApi::ConfirmPlan(const PathParameters& parameters, const WebRequest& request) {
  const PlanId id(Get(parameters, "id"));
  const Result<nlohmann::json> body = ParseBody(request);
  if (!body) return body;
  JsonErrors errors;
  JsonObjectReader reader(*body, "$", errors);
  const std::string operator_name = reader.String("operator", {.max_length = 100});
  reader.Finish();
  if (!errors.empty()) return tl::make_unexpected(errors.ToFailure());

  ConfigVersion based_on = -1;
  m_context.config.state().Read([&](const ConfigState& config) {
    if (const PlanProposed* plan = config.FindPlan(id)) based_on = plan->based_on;
    return 0;
  });
  if (based_on < 0) return NotRun(FailureCode::kNotFound, "there is no plan " + id.value() + " to confirm", "id");
  const PlanConfirmed confirmed{
      .plan = id, .operator_name = operator_name, .confirmed_unix_ms = absl::ToUnixMillis(m_context.clock.WallNow())};
  const Result<Offset> offset = m_context.config.AppendAndWait({confirmed}, kLogWait);
  if (!offset) return tl::make_unexpected(offset.error());
  return m_context.config.state().Read([&](const ConfigState& config) -> Result<nlohmann::json> {
    // The plan took effect if the first change after its version is its own; the operator's own repeat of a
    // confirmation whose answer was lost finds it too.
    const nlohmann::json changes = ChangesSince(config, based_on);
    for (const nlohmann::json& change : changes) {
      if (change["version"] == based_on + 1 && change["plan"] == id.value()) {
        LogEvent(LogLevel::kInfo, "plan_confirmed", {{"plan", id.value()}, {"version", based_on + 1}});
        return nlohmann::json{{"plan", id.value()}, {"version", based_on + 1}};
      }
    }
    return NotRun(FailureCode::kConflict, "the configuration has changed since the plan was made: " + changes.dump(),
                  "id");
  });
}

Result<nlohmann::json> OperatorApi::Status(const PathParameters& /*parameters*/, const WebRequest& /*request*/) {
  const MonotonicTime now = m_context.clock.Now();
  nlohmann::json document = {{"entry", m_context.entry.value()}};
  const TailProof proof = m_context.config.TailProofNow();
  const bool known = proof.at != InfinitePast();
  document["log"] = {{"fresh", known && now - proof.at <= kFreshFor},
                     {"proof_age_ms", known ? absl::ToInt64Milliseconds(now - proof.at) : -1}};
  m_context.config.state().Read([&](const ConfigState& config) {
    document["config"] = DescribeConfig(config);
    return 0;
  });
  nlohmann::json workers = nlohmann::json::array();
  for (const WorkerDirectory::Entry& entry : m_context.workers.Workers(now)) {
    nlohmann::json endpoints = nlohmann::json::array();
    for (const EndpointReport& endpoint : entry.last.endpoints) {
      endpoints.push_back({{"service", endpoint.service.value()},
                           {"address", endpoint.address},
                           {"slots", endpoint.slots},
                           {"outstanding", endpoint.outstanding},
                           {"leaving", endpoint.leaving}});
    }
    const WorkerView view =
        m_context.config.state().Read([&](const ConfigState& config) { return WorkerViewOf(entry, config); });
    workers.push_back({{"worker", entry.last.worker.value()},
                       {"availability_zone", entry.last.availability_zone.value()},
                       {"rack", entry.last.rack.value()},
                       {"liveness", kWorkerLivenessNames.NameOf(entry.liveness)},
                       {"draining", entry.last.draining},
                       {"takes_tasks", !view.suspected && !view.drained},
                       {"tasks", entry.last.running.size()},
                       {"endpoints", std::move(endpoints)}});
  }
  document["workers"] = std::move(workers);
  nlohmann::json shares = nlohmann::json::array();
  for (const std::unique_ptr<ShareRunner>& runner : m_context.shares.runners()) {
    shares.push_back(runner->state().Read([](const JobsState& state) {
      return nlohmann::json{{"owner", state.owner().value()},    {"epoch", state.epoch()},
                            {"released", state.released()},      {"offset", state.offset()},
                            {"waiting", state.waiting().size()}, {"live", state.live().size()}};
    }));
  }
  document["shares"] = std::move(shares);
  nlohmann::json entries = nlohmann::json::array();
  for (const EntryAnnouncement& entry : m_context.entries.Live(now)) {
    entries.push_back({{"entry", entry.entry.value()},
                       {"availability_zone", entry.availability_zone.value()},
                       {"leaving", entry.leaving}});
  }
  document["entries"] = std::move(entries);
  return document;
}

Result<nlohmann::json> OperatorApi::Audit(const PathParameters& /*parameters*/, const WebRequest& /*request*/) {
  return m_context.config.state().Read([](const ConfigState& config) { return ListAudit(config); });
}

Result<nlohmann::json> OperatorApi::SubmitJob(const PathParameters& /*parameters*/, const WebRequest& request) {
  const Result<nlohmann::json> body = ParseBody(request);
  if (!body) return body;
  JsonErrors errors;
  const JobSpec spec = ReadJobSpec(JsonObjectReader(*body, "$", errors));
  if (!errors.empty()) return tl::make_unexpected(errors.ToFailure());
  const std::string key = request.Header("idempotency-key");
  if (key.size() > kMaxIdempotencyKeyBytes) {
    return NotRun(FailureCode::kInvalidArgument, "the idempotency key is longer than 200 bytes", "Idempotency-Key");
  }
  const JobId id = MakeJobId(key);
  ShareRunner& runner = m_context.shares.RunnerOf(id);
  const std::int64_t limit =
      m_context.config.state().Read([](const ConfigState& config) { return config.Limit(LimitName::kMaxJobs); });
  const auto unfinished = static_cast<std::int64_t>(
      runner.state().Read([](const JobsState& state) { return state.waiting().size() + state.live().size(); }));
  if (unfinished >= limit) return NotRun(FailureCode::kOverloaded, "too many unfinished tasks in the share of the job");
  const JobSubmitted submitted{
      .job = id, .spec = spec, .submitted_unix_ms = absl::ToUnixMillis(m_context.clock.WallNow())};
  const Result<Offset> offset = runner.AppendAndWait({submitted}, kLogWait);
  if (!offset) return tl::make_unexpected(offset.error());
  return nlohmann::json{{"id", id.value()}, {"share", m_context.shares.ShareOf(id)}};
}

Result<nlohmann::json> OperatorApi::ListAllJobs(const PathParameters& /*parameters*/, const WebRequest& /*request*/) {
  nlohmann::json list = nlohmann::json::array();
  for (const std::unique_ptr<ShareRunner>& runner : m_context.shares.runners()) {
    for (nlohmann::json& job : runner->state().Read([](const JobsState& state) { return ListJobs(state); })) {
      list.push_back(std::move(job));
    }
  }
  return list;
}

Result<nlohmann::json> OperatorApi::ShowOneJob(const PathParameters& parameters, const WebRequest& /*request*/) {
  const JobId id(Get(parameters, "id"));
  return m_context.shares.RunnerOf(id).state().Read([&](const JobsState& state) { return ShowJob(state, id); });
}

Result<nlohmann::json> OperatorApi::CancelJob(const PathParameters& parameters, const WebRequest& request) {
  const JobId id(Get(parameters, "id"));
  ShareRunner& runner = m_context.shares.RunnerOf(id);
  const auto find = [&](const JobsState& state) { return ShowJob(state, id); };
  const Result<nlohmann::json> before = runner.state().Read(find);
  if (!before) return before;
  if ((*before)["final"].get<bool>()) return NotRun(FailureCode::kConflict, "the job has ended already", "id");
  const std::string operator_name = request.Header("berylgauge-operator");
  const Result<Offset> offset =
      runner.AppendAndWait({JobCancelled{.job = id, .requested_by = operator_name}}, kLogWait);
  if (!offset) return tl::make_unexpected(offset.error());
  return runner.state().Read(find);
}

Result<nlohmann::json> OperatorApi::Explain(const PathParameters& parameters, const WebRequest& /*request*/) {
  const JobId job(Get(parameters, "job"));
  const TaskId task(job.value() + "/" + Get(parameters, "index"));
  ShareRunner& runner = m_context.shares.RunnerOf(job);
  Result<nlohmann::json> document =
      runner.state().Read([&](const JobsState& state) { return ExplainTask(state, task); });
  if (!document) return document;
  if (runner.IsOwner()) (*document)["wait_reason"] = runner.WaitReason(task);
  return document;
}

}  // namespace berylgauge
