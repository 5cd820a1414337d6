#include "web/path_router.h"

#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>

#include <optional>
#include <set>
#include <utility>

#include "web/json_error_response.h"

namespace berylgauge {
namespace {

constexpr int kMethodNotAllowed = 405;

using Segments = std::vector<std::string>;

bool IsParameter(const std::string& segment) { return segment.starts_with('{') && segment.ends_with('}'); }

bool IsLongParameter(const std::string& segment) { return IsParameter(segment) && segment.ends_with("*}"); }

std::string NameOf(const std::string& segment) {
  const std::size_t decoration = IsLongParameter(segment) ? 3 : 2;
  return segment.substr(1, segment.size() - decoration);
}

/// Parameters of `path` if it matches `pattern`. At most one long parameter is supported.
std::optional<PathParameters> Match(const Segments& pattern, const Segments& path) {
  PathParameters parameters;
  if (path.size() < pattern.size()) return std::nullopt;
  const std::size_t extra = path.size() - pattern.size();
  std::size_t at = 0;
  for (const std::string& segment : pattern) {
    const std::size_t count = IsLongParameter(segment) ? extra + 1 : 1;
    const auto first = path.begin() + static_cast<std::ptrdiff_t>(at);
    const std::string text = absl::StrJoin(first, first + static_cast<std::ptrdiff_t>(count), "/");
    at += count;
    if (!IsParameter(segment)) {
      if (segment != text) return std::nullopt;
      continue;
    }
    if (text.empty()) return std::nullopt;
    parameters[NameOf(segment)] = text;
  }
  if (at != path.size()) return std::nullopt;
  return parameters;
}

}  // namespace

void PathRouter::Add(std::string method, std::string_view pattern, Handler handler) {
  m_entries.push_back({.method = std::move(method),
                       .segments = absl::StrSplit(std::string(pattern), '/'),
                       .handler = std::move(handler)});
}

void PathRouter::Route(WebRequest request, const WebServer::Responder& responder) const {
  const Segments path = absl::StrSplit(request.path, '/');
  const std::string method = request.method == "HEAD" ? "GET" : request.method;
  std::set<std::string> allowed;
  for (const Entry& entry : m_entries) {
    const std::optional<PathParameters> parameters = Match(entry.segments, path);
    if (!parameters) continue;
    if (entry.method == method) return entry.handler(*parameters, std::move(request), responder);
    allowed.insert(entry.method);
  }
  if (allowed.empty()) {
    return responder(JsonErrorResponse(
        {.code = FailureCode::kNotFound, .message = "there is nothing at this path", .field = "url"}));
  }
  WebResponse response = JsonErrorResponse(
      {.code = FailureCode::kInvalidArgument, .message = "the method is not allowed for this path", .field = "method"},
      kMethodNotAllowed);
  response.headers.emplace_back("Allow", absl::StrJoin(allowed, ", "));
  responder(std::move(response));
}

}  // namespace berylgauge
