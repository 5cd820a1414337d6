#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>

#include "clients/http_client.h"
#include "clients/worker_client.h"

namespace berylgauge {

/// A worker of the platform over HTTP. Makes one request for each call and retries nothing.
///
/// A command for an attempt that the worker does not know fails with `kNotFound`, one that does not suit the attempt's
/// state with `kConflict`, a start that exceeds the capacity with `kOverloaded` and a refused start with `kRefused`.
class HttpWorkerClient final : public WorkerClient {
 public:
  /// `address` is "IP:PORT" of the worker; `http` must outlive this object.
  HttpWorkerClient(HttpClient& http, const std::string& address);

  Result<void> Start(const WorkerStartOptions& options, absl::Duration timeout) override;
  Result<void> Renew(const TaskId& task, AttemptNumber attempt, absl::Duration lease, absl::Duration timeout) override;
  Result<void> Stop(const TaskId& task, AttemptNumber attempt, bool with_checkpoint, absl::Duration timeout) override;
  Result<void> Throttle(const TaskId& task, AttemptNumber attempt, int percent, absl::Duration timeout) override;
  Result<void> Forget(const TaskId& task, AttemptNumber attempt, absl::Duration timeout) override;

  /// Observed amounts are limited to what the worker has, because the measurements of a faulty worker can be arbitrary
  /// numbers while the states of its tasks are still needed.
  Result<WorkerReport> Report(absl::Duration timeout) override;

 private:
  /// Sends a command for one attempt and checks that the answer names the same attempt.
  Result<void> Command(const std::string& verb, const TaskId& task, AttemptNumber attempt, nlohmann::json body,
                       absl::Duration timeout);

  HttpClient& m_http;
  const std::string m_url;
};

}  // namespace berylgauge
