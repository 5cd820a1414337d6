#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/metrics.h"
#include "base/monotonic_time.h"
#include "membership/heartbeat.h"
#include "membership/heartbeat_reply.h"
#include "schedule/attempt_key.h"
#include "transport/listener.h"
#include "transport/server_context.h"
#include "transport/server_shard.h"
#include "transport/stream_client.h"

namespace berylgauge {

/// Size and times of a `Fleet`.
struct FleetOptions {
  std::vector<std::string> entries;  ///< "ip:port" of the internal listeners
  int workers = 10;
  int attempts = 17;  ///< running from the beginning on each worker; no log knows them
  int endpoints = 3;  ///< announced by each worker
  int port = 7411;    ///< of the internal listeners, which have the addresses 127.32.0.0 and up
  absl::Duration heartbeat = absl::Milliseconds(500);
  absl::Duration run_time = absl::Seconds(2);  ///< of an attempt that an entry starts
  bool print_starts = false;                   ///< a line for each start command
};

/// Plays the agents of many workers towards real entries: heartbeats, start and stop commands.
///
/// Everything runs on one event loop. Start commands are always admitted; what they start ends after the run time.
class Fleet {
 public:
  struct Totals {
    std::uint64_t heartbeats = 0;
    std::uint64_t replies = 0;
    std::uint64_t failures = 0;  ///< heartbeats without a reply of status 200
    std::uint64_t starts = 0;
    std::uint64_t acknowledged = 0;  ///< ended attempts that an entry has recorded
    std::uint64_t bytes_out = 0;     ///< both of the agents' connections to entries, HTTP/2 frames included
    std::uint64_t bytes_in = 0;
    std::size_t running = 0;
    std::int64_t latest_lag_us = 0;  ///< greatest delay of a round of heartbeats
  };

  explicit Fleet(FleetOptions options);
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  /// Opens the listeners and begins to send heartbeats.
  Result<void> Start();
  Totals Count();

 private:
  struct Worker {
    Heartbeat heartbeat;
    std::map<AttemptKey, Resources> started;
    std::vector<std::unique_ptr<StreamClient>> clients;
    std::vector<bool> in_flight;
    ConfigVersion config_version = 0;
    std::unique_ptr<Listener> listener;
  };

  void MakeWorker(int index);
  void ScheduleRound(std::size_t worker, MonotonicTime at);
  void SendHeartbeats(Worker& worker);
  void Send(Worker& worker, std::size_t entry);
  void ApplyReply(Worker& worker, const HeartbeatReply& reply);
  void NoteConfigVersion(Worker& worker, ConfigVersion version);
  StreamResponse Handle(const StreamRequest& message);
  StreamResponse HandleStart(const StreamRequest& message);
  StreamResponse HandleEnd(const StreamRequest& message);
  void End(Worker& worker, const AttemptKey& key, ReportedAttemptOutcome outcome);

  const FleetOptions m_options;
  const SystemClock m_clock;
  MetricsRegistry m_client_metrics;
  ServerContext m_server;
  std::vector<std::unique_ptr<Worker>> m_workers;
  std::map<WorkerId, Worker*> m_workers_by_id;
  std::map<AttemptKey, Worker*> m_places;
  std::map<ConfigVersion, int> m_workers_by_version;
  Totals m_totals;
  bool m_stopping = false;
  ServerShard m_shard;  ///< last, so that its loop's thread ends before the rest is destroyed
};

}  // namespace berylgauge
