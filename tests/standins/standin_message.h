#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "clients/header_list.h"

namespace berylgauge {

/// A whole request to a stand-in.
struct StandinRequest {
  std::string method;
  std::string target;  ///< path and query as received
  std::string path;    ///< without query
  std::map<std::string, std::string> query;
  HeaderList headers;  ///< names in lower case
  std::string body;
  int peer_port = 0;  ///< tells connections apart
  /// Set when the stand-in closes the connection by itself, whatever is under way on it.
  std::shared_ptr<const std::atomic<bool>> is_cut;

  bool IsCut() const { return is_cut != nullptr && *is_cut; }
};

/// Answer of a stand-in.
struct StandinResponse {
  int status = 200;
  HeaderList headers;
  std::string body;
  bool truncated = false;  ///< the connection is closed after half of the body
  bool closed = false;     ///< the connection is closed without an answer

  static StandinResponse Json(const nlohmann::json& document, int status = 200) {
    return {.status = status, .headers = {{"content-type", "application/json"}}, .body = document.dump()};
  }

  static StandinResponse Error(int status, const std::string& message) { return Json({{"error", message}}, status); }
};

}  // namespace berylgauge
