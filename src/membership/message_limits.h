#pragma once

#include <cstddef>

namespace berylgauge {

// Limits of the heartbeat messages. The page expects 17 tasks and a few endpoints per worker; the limits leave room
// for workers that are some hundred times larger and bound what one peer can make another one allocate.
inline constexpr std::size_t kMaxHeartbeatBytes = std::size_t{512} * 1024;
inline constexpr std::size_t kMaxHeartbeatReplyBytes = std::size_t{128} * 1024;
inline constexpr std::size_t kMaxIdBytes = 128;
inline constexpr std::size_t kMaxAddressBytes = 64;
inline constexpr std::size_t kMaxDetailBytes = 256;
inline constexpr std::size_t kMaxReportedEndpoints = 64;
inline constexpr std::size_t kMaxRunningAttempts = 4096;
inline constexpr std::size_t kMaxEndedAttempts = 256;
inline constexpr std::size_t kMaxLiveEntries = 64;
inline constexpr int kMaxSlots = 1'000'000;

}  // namespace berylgauge
