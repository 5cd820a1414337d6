#pragma once

#include <string>

namespace berylgauge {

/// A URL of the settings without its scheme and without '/' at its end: "IP:PORT" or "IP:PORT/PATH".
std::string AuthorityOf(const std::string& url);

}  // namespace berylgauge
