#pragma once

#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>

#include <atomic>
#include <string>
#include <thread>

#include "base/ids.h"
#include "daemon/streams/tail_proof.h"

namespace berylgauge {

class Clock;
class FoldTarget;
class LogClient;

/// What a `StreamFollower` reads and how.
struct StreamFollowerOptions {
  std::string stream;
  std::string snapshot_stream;  ///< empty if the stream has no snapshots
  Offset tail_records = 0;      ///< above 0: begin with the newest records and skip gaps, for streams of heartbeats
  absl::Duration poll_wait = absl::Milliseconds(300);  ///< longest wait of one read for new records
  absl::Duration read_timeout = absl::Seconds(2);
  absl::Duration retry_delay = absl::Milliseconds(100);  ///< after a failed read
};

/// Reads a stream on a thread of its own and folds it into a `FoldTarget`.
///
/// Begins with the newest complete snapshot. If the record after the present position is no longer retained, it loads
/// a newer snapshot; without one it reports the gap and tries again, and `TailProofNow` gives no newer proof.
class StreamFollower {
 public:
  StreamFollower(LogClient& log, const Clock& clock, FoldTarget& target, StreamFollowerOptions options);
  ~StreamFollower();
  StreamFollower(const StreamFollower&) = delete;
  StreamFollower& operator=(const StreamFollower&) = delete;

  /// The newest proof; its time is in the infinite past until the tail was reached once.
  TailProof TailProofNow() const;

  /// True while the record after the present position is no longer retained and no snapshot covers it.
  bool HasGap() const;

  /// Waits until the batch at `offset` has been folded; false if that takes longer than `timeout`.
  bool WaitForOffset(Offset offset, absl::Duration timeout) const;

 private:
  void Run();
  bool Bootstrap();
  bool SkipToTail();
  bool LoadSnapshot();
  void ReadOnce();
  void PublishPosition();
  void ReportGap(Offset from);
  void Fold(Offset offset, const std::string& payload);
  void PauseAfterFailure();

  LogClient& m_log;
  const Clock& m_clock;
  FoldTarget& m_target;
  const StreamFollowerOptions m_options;

  mutable absl::Mutex m_mutex;
  TailProof m_proof ABSL_GUARDED_BY(m_mutex);
  Offset m_position ABSL_GUARDED_BY(m_mutex) = kNoOffset;
  bool m_stopping ABSL_GUARDED_BY(m_mutex) = false;
  bool m_has_gap ABSL_GUARDED_BY(m_mutex) = false;
  bool m_failure_reported = false;
  std::thread m_thread;
};

}  // namespace berylgauge
