#pragma once

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "web/web_server.h"

namespace berylgauge {

/// Values of the `{name}` parts of a pattern.
using PathParameters = std::map<std::string, std::string>;

/// Passes each request to the handler registered for its method and path.
///
/// A pattern such as `/v1/jobs/{id}` consists of fixed segments and of parameters; `{id}` matches one segment that is
/// not empty, `{id*}` one or more (task ids contain '/'). Patterns are tried in the order of registration. HEAD is
/// passed to the handler for GET. Unknown paths receive 404, unknown methods 405 with `Allow`. Immutable while in use.
class PathRouter {
 public:
  using Handler = std::function<void(const PathParameters&, WebRequest, WebServer::Responder)>;

  void Add(std::string method, std::string_view pattern, Handler handler);

  void Route(WebRequest request, const WebServer::Responder& responder) const;

 private:
  struct Entry {
    std::string method;
    std::vector<std::string> segments;
    Handler handler;
  };

  std::vector<Entry> m_entries;
};

}  // namespace berylgauge
