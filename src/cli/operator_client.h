#pragma once

#include <absl/time/time.h>

#include <nlohmann/json.hpp>
#include <string>

#include "base/failure.h"
#include "clients/http_client.h"

namespace berylgauge {

/// Where the operators' interface of an entry is and who asks.
struct OperatorClientOptions {
  std::string entry;  ///< "ip:port"
  std::string token;
  std::string operator_name;
  absl::Duration timeout = absl::Seconds(15);
};

/// Calls the operators' interface of an entry.
class OperatorClient {
 public:
  explicit OperatorClient(OperatorClientOptions options);

  Result<nlohmann::json> Get(const std::string& path);
  Result<nlohmann::json> Post(const std::string& path, const nlohmann::json& body, const HeaderList& headers = {});
  Result<nlohmann::json> Delete(const std::string& path);

  const std::string& operator_name() const { return m_options.operator_name; }

 private:
  Result<nlohmann::json> Call(const std::string& method, const std::string& path, const std::string& body,
                              HeaderList headers);

  const OperatorClientOptions m_options;
  HttpClient m_http;
};

}  // namespace berylgauge
