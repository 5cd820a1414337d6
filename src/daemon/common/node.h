#pragma once

#include "base/failure.h"

namespace berylgauge {

/// A process of the system in one of its roles.
class Node {
 public:
  virtual ~Node() = default;

  /// Opens the listeners and starts working.
  virtual Result<void> Start() = 0;

  /// The settings file may have changed. A node whose settings hold until its next start ignores it.
  virtual void Reload() {}

  /// Shuts down gracefully: announces leaving, takes nothing new, finishes what is under way. Returns true if
  /// everything was finished within the limit.
  virtual bool Shutdown() = 0;
};

}  // namespace berylgauge
