#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "state/batch_deduplicator.h"
#include "state/claims_records.h"
#include "state/fold_outcome.h"

namespace berylgauge {

struct Batch;

/// What the fold did with one record of a batch.
struct ClaimsEffect {
  ClaimKey key;       ///< empty for a window step and a malformed record
  RequestId request;  ///< likewise
  bool is_claim = false;
  bool is_step = false;
  FoldOutcome outcome = FoldOutcome::kRepeat;
};

/// A claim that holds its key.
struct HeldClaim {
  KeyClaimed claim;
  std::optional<KeyOutcome> outcome;  ///< empty while the request may be under way
};

/// Fold of one `claims-K` stream: who may run the request with a key, and how it ended.
///
/// Depends on the records and their order alone. Time enters it through `WindowStep` records: a step is accepted only
/// if its writer had folded the former accepted one, and writers wait a fixed time after that, so that two accepted
/// steps are at least that time apart. A claim is kept until `window_steps` further steps were accepted; its age is
/// that of the batch's `seen`, which every reader knows, wherever it began to read.
///
/// A reader that begins in the middle of the stream is complete when it has seen a whole window. It cannot tell which
/// of the claims that it saw before then had been preceded by one that it did not see, so it treats their keys as
/// unknown until a window has passed without a further claim of the key.
class ClaimsState {
 public:
  struct Options {
    std::size_t window_steps = 32;
    std::size_t max_claims_per_step = 2'500;          ///< bounds the memory to this for each step of the window
    std::size_t max_answer_bytes_per_step = 1 << 19;  ///< further answers are not kept
  };

  enum class KeyStatus {
    kFree,
    kHeld,
    kUnknown,  ///< the reader may have missed a claim of this key
  };

  ClaimsState() : ClaimsState(Options{}) {}
  explicit ClaimsState(Options options) : m_options(options) {}

  /// Folds the batch at `offset` and returns the effect of each of its records.
  std::vector<ClaimsEffect> Apply(const Batch& batch, Offset offset);

  /// Goes on after `offset` without the records up to it.
  void SkipTo(Offset offset);

  Offset offset() const { return m_offset; }

  /// True if every claim of the window is known.
  bool IsComplete() const { return m_is_complete; }

  /// True if no further claim is accepted before the next window step.
  bool IsFull() const { return m_claims_since_step >= m_options.max_claims_per_step; }

  KeyStatus StatusOf(const ClaimKey& key) const;

  /// The claim that holds the key; nullptr unless its status is `kHeld`.
  const HeldClaim* Find(const ClaimKey& key) const;

  /// Keys that are kept.
  std::size_t size() const { return m_keys.size(); }

 private:
  struct KeyEntry {
    HeldClaim held;
    Offset at = kNoOffset;  ///< `seen` of the batch of the claim
    bool is_unknown = false;
  };

  ClaimsEffect ApplyRecord(const ClaimsRecord& record, Offset seen, Offset offset);
  FoldOutcome Fold(const KeyClaimed& record, Offset seen);
  FoldOutcome Fold(const KeyOutcome& record);
  FoldOutcome Fold(const KeyReleased& record);
  FoldOutcome Fold(const WindowStep& record, Offset offset);
  void ForgetOldClaims();

  Options m_options;
  Offset m_offset = kNoOffset;
  BatchDeduplicator m_writers;
  absl::flat_hash_map<ClaimKey, KeyEntry> m_keys;
  std::deque<Offset> m_steps;  ///< the last `window_steps` accepted ones, oldest first
  /// Offset of the last accepted step, or the highest that it may have if this reader began after it.
  Offset m_last_step = kNoOffset;
  bool m_knows_last_step = true;
  bool m_is_complete = true;
  std::size_t m_claims_since_step = 0;
  std::size_t m_answer_bytes_since_step = 0;
};

}  // namespace berylgauge
