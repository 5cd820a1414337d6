#pragma once

#include <cstdint>
#include <optional>
#include <utility>

#include "base/ids.h"

namespace berylgauge {

/// Number of one attempt of a request, unique among all attempts of all entries.
///
/// An entry numbers its attempts in the order of sending, so that an agent can bound its memory of old ones by a floor.
/// Each attempt has its own number: an agent that refused one never runs it, but may run the next.
struct RequestKey {
  Incarnation entry_incarnation = 0;
  std::uint64_t number = 0;  ///< from 1

  bool operator==(const RequestKey&) const = default;

  template <typename H>
  friend H AbslHashValue(H h, const RequestKey& key) {
    return H::combine(std::move(h), key.entry_incarnation, key.number);
  }
};

/// "INCARNATION-NUMBER", both in lower-case hexadecimal, the incarnation with 16 digits.
RequestId FormatRequestId(const RequestKey& key);

/// Accepts exactly what `FormatRequestId` returns, so that one key has one spelling.
std::optional<RequestKey> ParseRequestId(const RequestId& id);

}  // namespace berylgauge
