#pragma once

#include <absl/time/time.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "daemon/streams/shared_state.h"
#include "daemon/streams/stream_follower.h"
#include "daemon/streams/stream_writer.h"
#include "state/config_records.h"
#include "state/config_state.h"

namespace berylgauge {

class Clock;
class LogClient;

inline constexpr const char* kConfigStream = "config";
inline constexpr const char* kConfigSnapshotStream = "snapshot-config";

/// The `config` stream as an entry reads and writes it.
class ConfigStream {
 public:
  ConfigStream(LogClient& log, const Clock& clock, const std::string& writer, Incarnation incarnation,
               SharedState<ConfigState>::OnChange on_change);

  /// Appends records and waits until they are folded; returns the offset of the batch.
  Result<Offset> AppendAndWait(const std::vector<ConfigRecord>& records, absl::Duration timeout);

  /// Appends records without waiting.
  void Append(const std::vector<ConfigRecord>& records);

  const SharedState<ConfigState>& state() const { return m_state; }
  TailProof TailProofNow() const { return m_follower.TailProofNow(); }
  bool HasGap() const { return m_follower.HasGap(); }

 private:
  SharedState<ConfigState> m_state;
  StreamFollower m_follower;
  StreamWriter m_writer;
};

}  // namespace berylgauge
