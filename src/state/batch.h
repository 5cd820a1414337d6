#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "base/failure.h"
#include "base/ids.h"

namespace berylgauge {

/// Largest payload of one append, in bytes.
inline constexpr std::size_t kMaxBatchBytes = 1 << 20;

/// Records that one writer appends to a stream together.
///
/// (writer, incarnation, sequence) identifies the batch, so that an append that was repeated after a lost answer takes
/// effect once.
struct Batch {
  std::string writer;
  Incarnation incarnation = 0;
  std::uint64_t sequence = 0;  ///< from 1 for each writer, incarnation and stream
  Offset seen = kNoOffset;     ///< last offset of the stream that the writer had folded
  std::vector<nlohmann::json> records;
};

/// CBOR of `batch`.
std::string EncodeBatch(const Batch& batch);

/// Fails with `FailureCode::kCorrupt` on anything but a whole batch.
Result<Batch> DecodeBatch(const std::string& payload);

}  // namespace berylgauge
