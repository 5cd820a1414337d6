#pragma once

#include <functional>
#include <string>

#include "base/enum_names.h"
#include "base/ids.h"
#include "base/monotonic_time.h"
#include "state/claims_records.h"

namespace berylgauge {

/// A caller's request that asks for the right to run under its idempotency key.
struct ClaimRequest {
  ClaimKey key;
  std::string request_digest;
  RequestId request;  ///< unique among the callers' requests of all entries
  MonotonicTime deadline;
};

enum class ClaimResult {
  kGranted,       ///< the request holds the key and may be sent
  kFinished,      ///< another request with the key ended; its outcome is in the answer
  kMayHaveRun,    ///< another request with the key may have run, and its outcome is not known
  kOtherRequest,  ///< the key belongs to a request with other content
  kNotRun,        ///< the key could not be claimed; the caller may try again
};

inline constexpr auto kClaimResultNames = MakeEnumNames<ClaimResult>({
    {ClaimResult::kGranted, "granted"},
    {ClaimResult::kFinished, "finished"},
    {ClaimResult::kMayHaveRun, "may-have-run"},
    {ClaimResult::kOtherRequest, "other-request"},
    {ClaimResult::kNotRun, "not-run"},
});

struct ClaimAnswer {
  ClaimResult result = ClaimResult::kNotRun;
  std::string reason;
  KeyOutcome outcome;  ///< meaningful with `kFinished`
};

/// Decides which of the requests with the same idempotency key may run. May be used from several threads.
class IdempotencyClaims {
 public:
  using Callback = std::function<void(ClaimAnswer)>;

  virtual ~IdempotencyClaims() = default;

  /// Claims the key and calls back once, by the deadline and possibly before the call returns.
  virtual void Claim(const ClaimRequest& request, Callback callback) = 0;

  /// Stores how a granted request ended.
  virtual void Finish(const KeyOutcome& outcome) = 0;

  /// Gives up the claim of a granted request that was not run and never will be.
  virtual void Release(const ClaimKey& key, const RequestId& request) = 0;
};

}  // namespace berylgauge
