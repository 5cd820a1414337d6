#include "base/doubling_delay.h"

#include <algorithm>

namespace berylgauge {

absl::Duration DoublingDelay(int failures, absl::Duration first, absl::Duration longest) {
  absl::Duration delay = first;
  for (int i = 1; i < failures && delay < longest; ++i) delay *= 2;
  return std::min(delay, longest);
}

}  // namespace berylgauge
