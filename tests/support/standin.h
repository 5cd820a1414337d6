#pragma once

#include <absl/time/time.h>

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "clients/http_client.h"
#include "support/child_process.h"

namespace berylgauge {

/// A stand-in of the platform with its control interface (tests/standins/README.md).
///
/// The control calls throw std::runtime_error if the stand-in does not answer as expected.
class Standin {
 public:
  /// Starts the program `name`, for example "standin_log".
  explicit Standin(const std::string& name, const std::vector<std::string>& arguments = {});

  ChildProcess& process() { return m_process; }
  std::string Address() const { return m_process.Address(); }

  /// Sends a document to a path under /control/ and returns the answer.
  nlohmann::json Control(const std::string& path, const nlohmann::json& document);

  /// Switches faults; those that are not named stay as they are.
  void SetFaults(const nlohmann::json& faults) { Control("faults", faults); }

  /// All events so far.
  std::vector<nlohmann::json> Events();

  /// All events so far of one kind.
  std::vector<nlohmann::json> Events(const std::string& kind);

  /// Waits until there are `count` events of this kind, and returns them; throws after `timeout`.
  std::vector<nlohmann::json> WaitForEvents(const std::string& kind, std::size_t count,
                                            absl::Duration timeout = absl::Seconds(20));

 private:
  nlohmann::json ReadRecord(std::size_t from, absl::Duration wait);

  ChildProcess m_process;
  HttpClient m_http;
};

}  // namespace berylgauge
