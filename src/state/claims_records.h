#pragma once

#include <cstddef>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "base/failure.h"
#include "base/ids.h"
#include "base/verdict.h"

namespace berylgauge {

/// Largest answer that an outcome record holds: names and values of its headers and its body together, in bytes.
inline constexpr std::size_t kMaxKeptAnswerBytes = 4096;

/// Most headers of an answer that an outcome record holds.
inline constexpr std::size_t kMaxKeptHeaders = 100;

/// An idempotency key of the callers of one service.
struct ClaimKey {
  ServiceId service;
  std::string digest;  ///< of the key, see `StableDigest128`

  bool operator==(const ClaimKey&) const = default;

  template <typename H>
  friend H AbslHashValue(H h, const ClaimKey& key) {
    return H::combine(std::move(h), key.service, key.digest);
  }
};

/// An entry asks for the right to run the request with this key; the first claim in log order has it.
struct KeyClaimed {
  ClaimKey key;
  std::string request_digest;  ///< of method, target and body
  EntryId entry;
  Incarnation entry_incarnation = 0;
  RequestId request;  ///< names the claim; unique among the callers' requests of all entries
};

/// An answer that repeats of the request receive again.
struct KeptAnswer {
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;

  bool operator==(const KeptAnswer&) const = default;
};

/// How the request that holds the claim ended: `kRan` or `kMayHaveRun`.
struct KeyOutcome {
  ClaimKey key;
  RequestId request;
  Verdict verdict = Verdict::kMayHaveRun;
  int status = 0;                    ///< HTTP status of the answer
  std::optional<KeptAnswer> answer;  ///< only with `kRan`, and only if it is small enough
};

/// The request was not run and never will be; the key may be claimed again.
struct KeyReleased {
  ClaimKey key;
  RequestId request;
};

/// One step of the window within which claims are kept. Valid only if the writer had folded the former step at `at`.
struct WindowStep {
  Offset at = kNoOffset;  ///< last offset that the writer had folded when it decided on the step
};

using ClaimsRecord = std::variant<KeyClaimed, KeyOutcome, KeyReleased, WindowStep>;

nlohmann::json EncodeClaimsRecord(const ClaimsRecord& record);
Result<ClaimsRecord> DecodeClaimsRecord(const nlohmann::json& document);

}  // namespace berylgauge
