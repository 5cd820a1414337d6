#include "state/batch.h"

#include "base/json_object_reader.h"
#include "state/decimal_text.h"

namespace berylgauge {
namespace {

/// Bounds the work that one batch can cause.
constexpr std::size_t kMaxRecordsPerBatch = 10'000;

}  // namespace

std::string EncodeBatch(const Batch& batch) {
  const nlohmann::json document = {
      {"w", batch.writer}, {"i", std::to_string(batch.incarnation)}, {"q", batch.sequence},
      {"s", batch.seen},   {"r", nlohmann::json(batch.records)},
  };
  std::string payload;
  nlohmann::json::to_cbor(document, payload);
  return payload;
}

Result<Batch> DecodeBatch(const std::string& payload) {
  const nlohmann::json document = nlohmann::json::from_cbor(payload, true, false);
  if (document.is_discarded()) return NotRun(FailureCode::kCorrupt, "batch is not valid CBOR");
  JsonErrors errors;
  JsonObjectReader reader(document, "$", errors);
  Batch batch;
  batch.writer = reader.String("w");
  batch.incarnation = ReadDecimalText(reader, "i");
  batch.sequence = static_cast<std::uint64_t>(reader.Integer("q", {.min = 1}));
  batch.seen = reader.Integer("s", {.min = kNoOffset});
  if (!document.is_object() || !document.contains("r") || !document["r"].is_array() ||
      document["r"].size() > kMaxRecordsPerBatch) {
    errors.Add("$.r", "must be a list of records");
  } else {
    batch.records = document["r"].get<std::vector<nlohmann::json>>();
  }
  if (errors.empty()) return batch;
  Failure failure = errors.ToFailure();
  failure.code = FailureCode::kCorrupt;
  return tl::make_unexpected(failure);
}

}  // namespace berylgauge
