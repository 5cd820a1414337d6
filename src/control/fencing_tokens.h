#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <string>

#include "workflow/worker_report.h"

namespace berylgauge::control {

/// Gives each life of a host's worker a fence token above those of the lives before it, for one owner.
///
/// A worker that was started again under its id accepts every call for its former life until it has seen a higher
/// token.
class FencingTokens {
 public:
  explicit FencingTokens(std::int64_t epoch) : m_epoch(epoch) {}

  /// The agent of the host has heard of that life. An empty one changes nothing.
  void OnAnnounced(const std::string& host, const workflow::WorkerLife& life);

  struct Grant {
    workflow::WorkerLife life;  ///< newest life announced at the host; empty if none is known
    std::int64_t token = 0;     ///< for calls to it; 0 for none
  };
  Grant GrantFor(const std::string& host) const;

 private:
  struct HostLife {
    workflow::WorkerLife life;
    std::int64_t number = 0;
  };

  const std::int64_t m_epoch;
  absl::flat_hash_map<std::string, HostLife> m_lives;  ///< newest, by host
};

}  // namespace berylgauge::control
