#include "daemon/entry/config_stream.h"

#include <utility>

#include "daemon/streams/append_and_wait.h"

namespace berylgauge {
namespace {

std::vector<nlohmann::json> Encode(const std::vector<ConfigRecord>& records) {
  std::vector<nlohmann::json> encoded;
  encoded.reserve(records.size());
  for (const ConfigRecord& record : records) encoded.push_back(EncodeConfigRecord(record));
  return encoded;
}

}  // namespace

ConfigStream::ConfigStream(LogClient& log, const Clock& clock, const std::string& writer, Incarnation incarnation,
                           SharedState<ConfigState>::OnChange on_change)
    : m_state(std::move(on_change)),
      m_follower(log, clock, m_state, {.stream = kConfigStream, .snapshot_stream = kConfigSnapshotStream}),
      m_writer(log, {.stream = kConfigStream, .writer = writer, .incarnation = incarnation},
               [this] { return m_state.Position(); }) {}

Result<Offset> ConfigStream::AppendAndWait(const std::vector<ConfigRecord>& records, absl::Duration timeout) {
  return berylgauge::AppendAndWait(m_writer, m_follower, Encode(records), timeout);
}

void ConfigStream::Append(const std::vector<ConfigRecord>& records) {
  m_writer.Append(Encode(records), [](const Result<Offset>&) {});
}

}  // namespace berylgauge
