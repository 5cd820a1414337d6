#include "daemon/streams/snapshot_writer.h"

#include <absl/time/time.h>

#include "base/event_log.h"
#include "clients/log_client.h"
#include "daemon/common/random_incarnation.h"
#include "state/snapshot.h"

namespace berylgauge {
namespace {

constexpr absl::Duration kPartTimeout = absl::Seconds(5);

}  // namespace

bool WriteSnapshotParts(LogClient& log, const std::string& stream, const std::string& writer, Offset covers,
                        const nlohmann::json& state) {
  // A random part keeps two snapshots of one writer apart, whatever became of the first.
  const std::string id = writer + "-" + std::to_string(RandomIncarnation());
  for (const std::string& part : EncodeSnapshot(id, covers, state)) {
    const Result<Offset> offset = log.Append(stream, part, kPartTimeout);
    if (offset) continue;
    LogEvent(LogLevel::kWarning, "snapshot_not_written", {{"stream", stream}, {"reason", offset.error().message}});
    return false;
  }
  LogEvent(LogLevel::kInfo, "snapshot_written", {{"stream", stream}, {"covers", covers}});
  return true;
}

}  // namespace berylgauge
