#pragma once

namespace berylgauge {

inline constexpr const char* kHeartbeatPath = "/internal/heartbeat";

}  // namespace berylgauge
