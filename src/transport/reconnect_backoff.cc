#include "transport/reconnect_backoff.h"

#include <absl/random/uniform_real_distribution.h>

#include <algorithm>

namespace berylgauge {
namespace {

constexpr int kGrowth = 2;
constexpr double kMinFraction = 0.5;

}  // namespace

absl::Duration ReconnectBackoff::NextDelay(absl::BitGenRef random) {
  const absl::Duration nominal = std::min(m_next, m_max);
  m_next = std::min(nominal * kGrowth, m_max);
  return nominal * absl::uniform_real_distribution<double>(kMinFraction, 1.0)(random);
}

}  // namespace berylgauge
