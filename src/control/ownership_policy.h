#pragma once

#include <absl/time/time.h>

#include "base/monotonic_time.h"
#include "workflow/owner_record.h"

namespace berylgauge::control {

struct OwnershipOptions {
  /// Silence of the owner in the progress partition after which another entry claims: three missed signs of life.
  absl::Duration silence = absl::Milliseconds(1300);
  /// Additional silence of this entry, so that entries do not claim at the same time; drawn once at the start.
  absl::Duration stagger = absl::ZeroDuration();
  /// Pause after a claim that failed.
  absl::Duration claim_pause = absl::Milliseconds(300);
};

/// What an entry knows when it considers a claim.
struct OwnershipView {
  bool loaded = false;           ///< both partitions were read to their end
  bool at_end = false;           ///< the last read of the progress partition returned nothing new
  MonotonicTime answered_at;     ///< of that read
  bool has_owner = false;        ///< an owner is recorded that has not handed over
  bool owner_is_self = false;    ///< this process is recorded but does not act as owner
  bool owner_has_ended = false;  ///< an earlier process of this host is recorded
  MonotonicTime last_sign;       ///< when the last record of the owner was read
};

/// How long owners before a claimant may go on granting leases after its claim, at most `longest`. `owner` is the
/// recorded one; `has_ended` says that its process has ended or has handed over.
inline absl::Duration GrantsOfFormerOwners(const workflow::OwnerRecord& owner, bool has_ended, absl::Duration longest) {
  // An owner before the recorded one may be cut off from the store and not know that it was replaced.
  return has_ended && owner.is_sole ? absl::ZeroDuration() : longest;
}

/// Decides when an entry claims the ownership. Safety does not depend on it: the store accepts one claim at a time.
class OwnershipPolicy {
 public:
  explicit OwnershipPolicy(const OwnershipOptions& options) : m_options(options) {}

  bool ShouldClaim(const OwnershipView& view, MonotonicTime now) const {
    if (!view.loaded || !view.at_end || now < m_next_claim) return false;
    if (!view.has_owner) return now - view.last_sign >= m_options.stagger;
    if (view.owner_is_self || view.owner_has_ended) return true;
    return view.answered_at - view.last_sign >= m_options.silence + m_options.stagger;
  }

  void OnClaimFailed(MonotonicTime now) { m_next_claim = now + m_options.claim_pause; }

 private:
  const OwnershipOptions m_options;
  MonotonicTime m_next_claim = InfinitePast();
};

}  // namespace berylgauge::control
