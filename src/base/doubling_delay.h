#pragma once

#include <absl/time/time.h>

namespace berylgauge {

/// Delay after the failure numbered `failures`, from 1: `first`, doubled with each further failure up to `longest`.
absl::Duration DoublingDelay(int failures, absl::Duration first, absl::Duration longest);

}  // namespace berylgauge
