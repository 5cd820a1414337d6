#pragma once

#include <absl/time/time.h>

#include <string>
#include <vector>

#include "base/failure.h"
#include "base/ids.h"

namespace berylgauge {

/// One record of a stream as the log returns it.
struct LogRecord {
  Offset offset = kNoOffset;
  std::string payload;
};

/// Answer to a read of a stream.
struct LogPage {
  std::vector<LogRecord> records;  ///< in offset order, beginning at the requested offset
  Offset first_offset = 0;         ///< oldest offset that is still retained
  Offset next_offset = 0;          ///< offset that the next append will get
};

/// Range of the offsets of a stream that can be read.
struct LogBounds {
  Offset first_offset = 0;  ///< oldest offset that is still retained
  Offset next_offset = 0;   ///< offset that the next append will get
};

/// The platform's append-only log with offsets.
///
/// All calls block for at most the given time and may be made from several threads.
class LogClient {
 public:
  virtual ~LogClient() = default;

  /// Appends `payload` and returns its offset. A failure with `Verdict::kMayHaveRun` means that the record may have
  /// been appended; the caller appends the same bytes again and readers drop the repeat.
  virtual Result<Offset> Append(const std::string& stream, const std::string& payload, absl::Duration timeout) = 0;

  /// Reads up to `max_records` from `from` on; waits up to `wait` if there are none yet. A stream that was never
  /// written is empty and has `next_offset` 0. Fails with `FailureCode::kExpired` if `from` is no longer retained.
  virtual Result<LogPage> Read(const std::string& stream, Offset from, int max_records, absl::Duration wait,
                               absl::Duration timeout) = 0;

  /// Range of the retained offsets; both are 0 for a stream that was never written.
  virtual Result<LogBounds> Bounds(const std::string& stream, absl::Duration timeout) = 0;
};

}  // namespace berylgauge
