#pragma once

#include "base/ids.h"

namespace berylgauge {

/// A random incarnation, never 0, from the system's entropy source.
Incarnation RandomIncarnation();

}  // namespace berylgauge
