#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/failure.h"
#include "control/fencing_tokens.h"
#include "workflow/interference_table.h"
#include "workflow/orders.h"
#include "workflow/worker_report.h"

namespace berylgauge::control {

inline constexpr std::string_view kWatchPath = "/internal/watch";
inline constexpr std::string_view kOrdersPath = "/internal/orders";

/// Status of an answer to an owner whose epoch is lower than one that the agent has seen.
inline constexpr int kStatusStaleOwner = 409;

/// What pacing needs to know of a task.
struct TaskTraits {
  std::string task;
  bool fills_idle_cpu = false;
  int tail_target_ms = 0;
  std::string image;
  std::int64_t demand_cpu = 0;  ///< thousandths of a core
};

/// From the owner: renews the lease and asks for news.
struct WatchRequest {
  std::int64_t epoch = 0;
  std::uint64_t known_version = 0;  ///< of the last answer; 0 asks for an answer at once
  Incarnation known_incarnation = 0;
  int wait_ms = 0;
  FencingTokens::Grant fence;
  workflow::WorkerLife life;                              ///< to which the following refer; may be empty
  std::int64_t lease_end_ms = 0;                          ///< on the worker's clock; 0 grants nothing
  std::int64_t acknowledged = 0;                          ///< number of the last end that is durable
  std::int64_t notable = 0;                               ///< number of the last end that the worker may forget
  std::vector<workflow::InterferenceEntry> interference;  ///< what was learnt of the images on the worker
  std::vector<TaskTraits> traits;                         ///< of all runs, for an agent that was started again
};

struct WatchAnswer {
  std::uint64_t version = 0;
  workflow::WorkerReport report;
};

/// Starts of one job share its payload.
struct JobStarts {
  std::string payload;
  std::vector<workflow::StartOrder> starts;
};

struct OrdersRequest {
  std::int64_t epoch = 0;
  workflow::WorkerLife life;
  std::int64_t lease_end_ms = 0;
  std::vector<JobStarts> jobs;
  std::vector<workflow::StopOrder> stops;
};

struct OrdersAnswer {
  struct Started {
    std::string task;
    int run = 0;
    workflow::StartAnswer answer;
  };
  struct Stopped {
    std::string task;
    int run = 0;
    /// Whether the worker's lists, the rest of a list that was cut, or the lists of its next life tell what became of
    /// the run; else it is not there and never will be.
    bool end_listed = false;
  };
  /// Whether the agent has had an answer of the worker since it was started. Otherwise nothing was done, and nothing is
  /// known of what its former process did.
  bool is_worker_known = true;
  std::vector<Started> starts;
  std::vector<Stopped> stops;
};

std::string EncodeWatchRequest(const WatchRequest& message);
Result<WatchRequest> DecodeWatchRequest(std::string_view bytes);
std::string EncodeWatchAnswer(const WatchAnswer& message);
Result<WatchAnswer> DecodeWatchAnswer(std::string_view bytes);
std::string EncodeOrdersRequest(const OrdersRequest& message);
Result<OrdersRequest> DecodeOrdersRequest(std::string_view bytes);
std::string EncodeOrdersAnswer(const OrdersAnswer& message);
Result<OrdersAnswer> DecodeOrdersAnswer(std::string_view bytes);

}  // namespace berylgauge::control
