#pragma once

#include "base/enum_names.h"

namespace berylgauge {

/// What the fold of a stream did with a record. Every reader reaches the same outcome for the same offset.
enum class FoldOutcome {
  kAccepted,
  kRepeat,         ///< the batch or the object was known already
  kStaleEpoch,     ///< written by a former owner of the share
  kStaleVersion,   ///< the configuration has changed since the plan was made
  kWrongState,     ///< the task or plan is not in a state that allows the record
  kUnknownObject,  ///< names a job, task or plan that does not exist
  kOverLimit,      ///< more records of its kind than are kept
  kMalformed,
};

inline constexpr auto kFoldOutcomeNames = MakeEnumNames<FoldOutcome>({
    {FoldOutcome::kAccepted, "accepted"},
    {FoldOutcome::kRepeat, "repeat"},
    {FoldOutcome::kStaleEpoch, "stale-epoch"},
    {FoldOutcome::kStaleVersion, "stale-version"},
    {FoldOutcome::kWrongState, "wrong-state"},
    {FoldOutcome::kUnknownObject, "unknown-object"},
    {FoldOutcome::kOverLimit, "over-limit"},
    {FoldOutcome::kMalformed, "malformed"},
});

}  // namespace berylgauge
