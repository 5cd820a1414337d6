#pragma once

#include <nlohmann/json.hpp>

#include "base/failure.h"
#include "base/ids.h"

namespace berylgauge {

struct Batch;

/// State that a `StreamFollower` keeps up to date. All methods are called from the follower's thread.
class FoldTarget {
 public:
  virtual ~FoldTarget() = default;

  /// Last folded offset.
  virtual Offset Position() const = 0;

  /// Folds a batch; the offset is above `Position()`.
  virtual void Apply(const Batch& batch, Offset offset) = 0;

  /// Moves the position past a payload that is no valid batch.
  virtual void Skip(Offset offset) = 0;

  /// Replaces the state by a snapshot.
  virtual Result<void> Restore(const nlohmann::json& snapshot) = 0;
};

}  // namespace berylgauge
