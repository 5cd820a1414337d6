#include "state/batch_deduplicator.h"

#include <algorithm>

#include "base/json_object_reader.h"
#include "state/batch.h"
#include "state/decimal_text.h"

namespace berylgauge {
namespace {

/// Writers remembered. 55 hosts restarted a day leave each writer remembered for weeks, far longer than any retry.
constexpr std::size_t kMaxWriters = 2'000;

}  // namespace

bool BatchDeduplicator::Accept(const Batch& batch, Offset offset) {
  Position& position = m_positions[{batch.writer, batch.incarnation}];
  if (batch.sequence <= position.sequence) return false;
  position = {.sequence = batch.sequence, .offset = offset};
  if (m_positions.size() > kMaxWriters) DropOldest();
  return true;
}

void BatchDeduplicator::DropOldest() {
  const auto oldest = std::min_element(m_positions.begin(), m_positions.end(),
                                       [](const auto& a, const auto& b) { return a.second.offset < b.second.offset; });
  m_positions.erase(oldest);
}

nlohmann::json BatchDeduplicator::ToJson() const {
  nlohmann::json list = nlohmann::json::array();
  for (const auto& [key, position] : m_positions) {
    list.push_back({{"writer", key.first},
                    {"incarnation", std::to_string(key.second)},
                    {"sequence", position.sequence},
                    {"offset", position.offset}});
  }
  return list;
}

void BatchDeduplicator::Restore(JsonObjectReader& reader) {
  m_positions.clear();
  for (JsonObjectReader& item : reader.Objects("writers", kMaxWriters + 1)) {
    const std::string writer = item.String("writer");
    const Incarnation incarnation = ReadDecimalText(item, "incarnation");
    Position& position = m_positions[{writer, incarnation}];
    position.sequence = static_cast<std::uint64_t>(item.Integer("sequence"));
    position.offset = item.Integer("offset", {.min = kNoOffset});
    item.Finish();
  }
}

}  // namespace berylgauge
