#include "state/snapshot.h"

#include "base/json_object_reader.h"
#include "base/stable_hash.h"
#include "state/decimal_text.h"

namespace berylgauge {
namespace {

constexpr std::size_t kPartBytes = std::size_t{256} * 1024;
constexpr std::int64_t kMaxParts = 10'000;

}  // namespace

std::vector<std::string> EncodeSnapshot(const std::string& snapshot_id, Offset covers, const nlohmann::json& state) {
  std::string whole;
  nlohmann::json::to_cbor(state, whole);
  const std::size_t part_count = (whole.size() + kPartBytes - 1) / kPartBytes;
  const std::string digest = std::to_string(StableHash64(whole));
  std::vector<std::string> payloads;
  for (std::size_t i = 0; i < part_count; ++i) {
    const std::string data = whole.substr(i * kPartBytes, kPartBytes);
    const nlohmann::json part = {{"id", snapshot_id}, {"covers", covers},
                                 {"part", i},         {"parts", part_count},
                                 {"digest", digest},  {"data", nlohmann::json::binary({data.begin(), data.end()})}};
    std::string payload;
    nlohmann::json::to_cbor(part, payload);
    payloads.push_back(std::move(payload));
  }
  return payloads;
}

Result<void> SnapshotAssembler::Add(const std::string& payload) {
  const nlohmann::json document = nlohmann::json::from_cbor(payload, true, false);
  JsonErrors errors;
  JsonObjectReader reader(document, "$", errors);
  const std::string id = reader.String("id");
  const Offset covers = reader.Integer("covers", {.min = kNoOffset});
  const std::int64_t part = reader.Integer("part", {.max = kMaxParts});
  const std::int64_t part_count = reader.Integer("parts", {.min = 1, .max = kMaxParts});
  const std::uint64_t digest = ReadDecimalText(reader, "digest");
  const nlohmann::json data = reader.Json("data");
  if (!data.is_binary()) errors.Add("$.data", "must be binary");
  if (!errors.empty()) return NotRun(FailureCode::kCorrupt, errors.ToFailure().message);

  PartialSnapshot& snapshot = m_partial[id];
  snapshot.covers = covers;
  snapshot.part_count = part_count;
  snapshot.digest = digest;
  snapshot.parts[part] = std::string(data.get_binary().begin(), data.get_binary().end());
  if (static_cast<std::int64_t>(snapshot.parts.size()) == part_count) {
    Complete(snapshot);
    m_partial.erase(id);
  }
  return {};
}

void SnapshotAssembler::Complete(const PartialSnapshot& snapshot) {
  if (m_state && snapshot.covers <= m_covers) return;
  std::string whole;
  for (const auto& [part, data] : snapshot.parts) whole += data;
  if (StableHash64(whole) != snapshot.digest) return;
  nlohmann::json state = nlohmann::json::from_cbor(whole, true, false);
  if (state.is_discarded()) return;
  m_state = std::move(state);
  m_covers = snapshot.covers;
}

}  // namespace berylgauge
