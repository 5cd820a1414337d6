#pragma once

#include <string>
#include <string_view>

#include "clients/connection_rule.h"
#include "clients/header_list.h"

namespace berylgauge {

/// A request over HTTP/1.1 without TLS.
struct HttpRequest {
  std::string method;          ///< in capitals
  std::string url;             ///< "http://HOST[:PORT][/PATH][?QUERY]"; path and query are sent exactly as given
  HeaderList headers;          ///< without the fields that frame the message: connection, content-length, expect, ...
  std::string_view body = {};  ///< not copied; must live until the call returns
  ConnectionRule connections = {};
};

/// A whole answer.
struct HttpResponse {
  int status = 0;
  HeaderList headers;  ///< as received, without trailers
  std::string body;    ///< without chunk encoding; a content encoding is left as it is
  int local_port = 0;  ///< of the connection; tells apart those to one address that are open at the same time

  /// Value of the first header with this lower-case name; empty if it is absent.
  std::string_view Header(std::string_view name) const {
    for (const auto& [key, value] : headers) {
      if (key == name) return value;
    }
    return {};
  }
};

}  // namespace berylgauge
