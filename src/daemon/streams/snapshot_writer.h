#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "base/ids.h"
#include "daemon/streams/shared_state.h"

namespace berylgauge {

class LogClient;

/// Appends a snapshot to its stream. A failure leaves an incomplete set of parts, which readers ignore.
///
/// Returns true if all parts were appended.
bool WriteSnapshotParts(LogClient& log, const std::string& stream, const std::string& writer, Offset covers,
                        const nlohmann::json& state);

/// Appends a snapshot of `shared`.
template <typename State>
bool WriteSnapshot(LogClient& log, const std::string& stream, const std::string& writer,
                   const SharedState<State>& shared) {
  const std::pair<Offset, nlohmann::json> copy =
      shared.Read([](const State& state) { return std::make_pair(state.offset(), state.ToJson()); });
  return WriteSnapshotParts(log, stream, writer, copy.first, copy.second);
}

}  // namespace berylgauge
