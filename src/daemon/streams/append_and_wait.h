#pragma once

#include <absl/time/time.h>

#include <nlohmann/json.hpp>
#include <vector>

#include "base/failure.h"
#include "base/ids.h"

namespace berylgauge {

class StreamFollower;
class StreamWriter;

/// Appends records and waits until this process has folded them; returns the offset of their batch.
///
/// After `timeout` it fails with `kMayHaveRun`: the writer goes on trying to append them.
Result<Offset> AppendAndWait(StreamWriter& writer, const StreamFollower& follower, std::vector<nlohmann::json> records,
                             absl::Duration timeout);

}  // namespace berylgauge
