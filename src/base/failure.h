#pragma once

#include <string>
#include <tl/expected.hpp>

#include "base/enum_names.h"
#include "base/verdict.h"

namespace berylgauge {

enum class FailureCode {
  kInvalidArgument,    ///< Malformed input; `Failure::field` names the field.
  kNotFound,           ///< The named object does not exist.
  kConflict,           ///< The state has changed since the caller read it.
  kRefused,            ///< A rule or a limit forbids the operation.
  kOverloaded,         ///< No capacity at present; may be retried later.
  kConnectionRefused,  ///< No process listens at the address.
  kUnavailable,        ///< The other side could not be reached or is shutting down.
  kDeadlineExceeded,   ///< The time allowed has passed.
  kCorrupt,            ///< The data read cannot be decoded.
  kExpired,            ///< The record or the right is no longer available.
  kInternal,           ///< A fault of this program.
};

inline constexpr auto kFailureCodeNames = MakeEnumNames<FailureCode>({
    {FailureCode::kInvalidArgument, "invalid-argument"},
    {FailureCode::kNotFound, "not-found"},
    {FailureCode::kConflict, "conflict"},
    {FailureCode::kRefused, "refused"},
    {FailureCode::kOverloaded, "overloaded"},
    {FailureCode::kConnectionRefused, "connection-refused"},
    {FailureCode::kUnavailable, "unavailable"},
    {FailureCode::kDeadlineExceeded, "deadline-exceeded"},
    {FailureCode::kCorrupt, "corrupt"},
    {FailureCode::kExpired, "expired"},
    {FailureCode::kInternal, "internal"},
});

/// Why an operation failed, and whether it may have had an effect all the same.
struct Failure {
  FailureCode code = FailureCode::kInternal;
  Verdict verdict = Verdict::kNotRun;
  std::string message;
  std::string field;  ///< JSON path or header of the offending input; empty if there is none.
};

template <typename T>
using Result = tl::expected<T, Failure>;

/// Shorthand for a failed `Result` without an effect.
inline tl::unexpected<Failure> NotRun(FailureCode code, std::string message, std::string field = {}) {
  return tl::make_unexpected(Failure{.code = code, .message = std::move(message), .field = std::move(field)});
}

/// Shorthand for a failed `Result` whose effect is unknown.
inline tl::unexpected<Failure> MayHaveRun(FailureCode code, std::string message) {
  return tl::make_unexpected(
      Failure{.code = code, .verdict = Verdict::kMayHaveRun, .message = std::move(message), .field = {}});
}

}  // namespace berylgauge
