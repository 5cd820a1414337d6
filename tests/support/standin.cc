#include "support/standin.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace berylgauge {
namespace {

/// Allows for a machine that is busy; no control call takes long by itself.
constexpr absl::Duration kControlTimeout = absl::Seconds(20);
constexpr std::size_t kMaxRecordBytes = std::size_t{256} << 20;

nlohmann::json DocumentOf(const Result<HttpResponse>& response, const std::string& what) {
  if (!response) throw std::runtime_error(what + ": " + response.error().message);
  if (response->status != 200) throw std::runtime_error(what + ": " + response->body);
  return nlohmann::json::parse(response->body);
}

}  // namespace

Standin::Standin(const std::string& name, const std::vector<std::string>& arguments)
    : m_process(std::string(STANDINS_FOLDER) + "/" + name, arguments), m_http({.max_body_bytes = kMaxRecordBytes}) {}

nlohmann::json Standin::Control(const std::string& path, const nlohmann::json& document) {
  const std::string body = document.dump();
  const std::string url = "http://" + Address() + "/control/" + path;
  return DocumentOf(m_http.Call({.method = "POST", .url = url, .body = body}, kControlTimeout), url);
}

std::vector<nlohmann::json> Standin::Events() { return ReadRecord(0, absl::ZeroDuration())["events"]; }

std::vector<nlohmann::json> Standin::Events(const std::string& kind) {
  std::vector<nlohmann::json> events = Events();
  std::erase_if(events, [&](const nlohmann::json& event) { return event["kind"] != kind; });
  return events;
}

std::vector<nlohmann::json> Standin::WaitForEvents(const std::string& kind, std::size_t count, absl::Duration timeout) {
  const absl::Time deadline = absl::Now() + timeout;
  std::vector<nlohmann::json> found;
  std::size_t next = 0;
  while (found.size() < count) {
    const absl::Duration left = deadline - absl::Now();
    if (left <= absl::ZeroDuration()) {
      throw std::runtime_error(absl::StrCat("only ", found.size(), " of ", count, " events \"", kind, "\" in time"));
    }
    const nlohmann::json page = ReadRecord(next, left);
    for (const nlohmann::json& event : page["events"]) {
      if (event["kind"] == kind) found.push_back(event);
    }
    next = page["next"];
  }
  return found;
}

nlohmann::json Standin::ReadRecord(std::size_t from, absl::Duration wait) {
  const std::string url =
      absl::StrCat("http://", Address(), "/control/record?from=", from, "&wait_ms=", absl::ToInt64Milliseconds(wait));
  return DocumentOf(m_http.Call({.method = "GET", .url = url}, wait + kControlTimeout), url);
}

}  // namespace berylgauge
