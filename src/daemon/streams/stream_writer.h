#pragma once

#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>

#include <deque>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "base/failure.h"
#include "base/ids.h"

namespace berylgauge {

class LogClient;

/// Identity of a writer and limits of its batches.
struct StreamWriterOptions {
  std::string stream;
  std::string writer;
  Incarnation incarnation = 0;
  std::size_t max_records_per_batch = 500;
  std::size_t max_queued_records = 20'000;  ///< further records are refused with `not run`
  absl::Duration append_timeout = absl::Seconds(2);
  absl::Duration retry_delay = absl::Milliseconds(100);
};

/// Appends records to a stream, several in one append, one append at a time.
///
/// A batch whose append failed or got no answer is appended again with the same bytes until it is acknowledged, so
/// that readers can drop the repeat and the records keep their order.
class StreamWriter {
 public:
  /// Receives the offset of the batch; called on the writer's thread, must not block.
  using Callback = std::function<void(Result<Offset>)>;

  /// `seen` returns the last offset of the stream that this process has folded.
  StreamWriter(LogClient& log, StreamWriterOptions options, std::function<Offset()> seen);

  /// Stops after the append under way; records that were never sent fail with `not run`, others with `may have run`.
  ~StreamWriter();
  StreamWriter(const StreamWriter&) = delete;
  StreamWriter& operator=(const StreamWriter&) = delete;

  /// Queues records that are appended together in one batch.
  void Append(std::vector<nlohmann::json> records, Callback callback);

  /// Waits until everything queued has been acknowledged; false if that takes longer than `timeout`.
  bool Flush(absl::Duration timeout) const;

 private:
  struct Item {
    std::vector<nlohmann::json> records;
    Callback callback;
  };

  void Run();
  std::vector<Item> TakeBatch();
  Result<Offset> AppendUntilAcknowledged(const std::string& payload);

  LogClient& m_log;
  const StreamWriterOptions m_options;
  const std::function<Offset()> m_seen;
  std::uint64_t m_sequence = 0;

  mutable absl::Mutex m_mutex;
  std::deque<Item> m_queue ABSL_GUARDED_BY(m_mutex);
  std::size_t m_queued_records ABSL_GUARDED_BY(m_mutex) = 0;
  bool m_busy ABSL_GUARDED_BY(m_mutex) = false;
  bool m_stopping ABSL_GUARDED_BY(m_mutex) = false;
  std::thread m_thread;
};

}  // namespace berylgauge
