#pragma once

#include <string>

#include "daemon/common/thread_pool.h"
#include "daemon/entry/plan_maker.h"
#include "web/bearer_token_check.h"
#include "web/health_handler.h"
#include "web/path_router.h"
#include "web/web_server.h"

namespace berylgauge {

class Clock;
class ConfigStream;
class EntryDirectory;
class ShareMap;
class WorkerDirectory;

/// What the operators' interface works with; all of it outlives the interface.
struct OperatorApiContext {
  const EntryId& entry;
  const Clock& clock;
  ConfigStream& config;
  const EntryDirectory& entries;
  const ShareMap& shares;
  const WorkerDirectory& workers;
};

/// The operators' interface of an entry: plans, jobs, status, explanations and the audit trail.
class OperatorApi {
 public:
  OperatorApi(const OperatorApiContext& context, BearerTokenCheck token, HealthHandler health);

  /// Handles one request; answers later from a thread of its own where the log is needed.
  void Handle(WebRequest request, const WebServer::Responder& responder);

 private:
  using Operation = Result<nlohmann::json> (OperatorApi::*)(const PathParameters&, const WebRequest&);

  void Add(const std::string& method, const std::string& pattern, int status, Operation operation);

  Result<nlohmann::json> MakePlan(const PathParameters& parameters, const WebRequest& request);
  Result<nlohmann::json> ConfirmPlan(const PathParameters& parameters, const WebRequest& request);
  Result<nlohmann::json> Status(const PathParameters& parameters, const WebRequest& request);
  Result<nlohmann::json> Audit(const PathParameters& parameters, const WebRequest& request);
  Result<nlohmann::json> SubmitJob(const PathParameters& parameters, const WebRequest& request);
  Result<nlohmann::json> ListAllJobs(const PathParameters& parameters, const WebRequest& request);
  Result<nlohmann::json> ShowOneJob(const PathParameters& parameters, const WebRequest& request);
  Result<nlohmann::json> CancelJob(const PathParameters& parameters, const WebRequest& request);
  Result<nlohmann::json> Explain(const PathParameters& parameters, const WebRequest& request);

  const OperatorApiContext m_context;
  const BearerTokenCheck m_token;
  const HealthHandler m_health;
  const PlanMaker m_plans;
  PathRouter m_router;
  ThreadPool m_pool;
};

}  // namespace berylgauge
