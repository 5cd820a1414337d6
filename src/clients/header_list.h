#pragma once

#include <string>
#include <utility>
#include <vector>

namespace berylgauge {

/// Header fields in order; names in lower case.
using HeaderList = std::vector<std::pair<std::string, std::string>>;

}  // namespace berylgauge
