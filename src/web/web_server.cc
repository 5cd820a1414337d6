#include "web/web_server.h"

namespace berylgauge {

std::string WebRequest::Header(std::string_view name) const {
  for (const auto& [key, value] : headers) {
    if (key == name) return value;
  }
  return {};
}

}  // namespace berylgauge
