#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace berylgauge {

/// The record that one process of a stand-in wrote (tests/standins/README.md).
struct RecordFile {
  std::string path;
  std::string availability_zone;
  std::int64_t ended_ms = 0;  ///< when the process was killed, which ended what it ran; 0 while it runs

  /// All events so far.
  std::vector<nlohmann::json> Events() const;
};

/// A time in which no task may start.
struct ClosedTime {
  std::string availability_zone;  ///< empty for all
  std::int64_t from_ms = 0;
  std::int64_t until_ms = 0;
};

/// One caller's request to an endpoint, as the caller saw it.
struct OrderOutcome {
  std::string target;     ///< as the endpoint sees it; different for each request
  std::string verdict;    ///< of the response, or empty if the connection broke
  std::string detail;     ///< status and message
  bool is_whole = false;  ///< the response has status 200 and exactly the body of this request
};

/// Checks the workers' records: no task in two places at once, none that starts or succeeds twice, no worker above its
/// capacity, no start in a closed time. Returns one text for each violation.
std::vector<std::string> CheckTasks(const std::vector<RecordFile>& workers, const std::vector<ClosedTime>& closed);

/// Checks the endpoints' records: non-idempotent requests run at most once, those that were reported as not run never,
/// and those that were answered have the whole answer. Returns one text for each violation.
std::vector<std::string> CheckOrders(const std::vector<RecordFile>& endpoints,
                                     const std::vector<OrderOutcome>& outcomes);

}  // namespace berylgauge
