#pragma once

#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/monotonic_time.h"
#include "daemon/common/periodic_thread.h"
#include "membership/heartbeat_reply.h"

namespace berylgauge {

class AgentCore;
class Clock;
class StreamClient;

struct HeartbeatSenderOptions {
  std::vector<std::string> entries;  ///< "ip:port" from the settings, always tried
  absl::Duration interval = absl::Milliseconds(500);
  absl::Duration timeout = absl::Milliseconds(1500);
};

/// Tells every entry each interval how the worker is and takes in the replies.
///
/// The entries are those of the settings and those that the replies list.
class HeartbeatSender {
 public:
  using ClientFactory = std::function<std::unique_ptr<StreamClient>(const std::string& address)>;

  HeartbeatSender(AgentCore& core, const Clock& clock, ClientFactory make_client, HeartbeatSenderOptions options);
  ~HeartbeatSender();

  /// Sends the next heartbeat at once.
  void Wake();

  /// Entries that answered within the last three intervals.
  int HeardEntries() const;

 private:
  struct Peer {
    std::unique_ptr<StreamClient> client;
    bool in_flight = false;
    MonotonicTime last_reply = InfinitePast();
    MonotonicTime last_listed = InfinitePast();  ///< when a reply named it; the infinite future for configured ones
  };

  void SendAll();
  void Send(const std::string& address, Peer& peer, MonotonicTime now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  void NoteReply(const std::string& address, const HeartbeatReply& reply);
  void ForgetUnlisted(MonotonicTime now);

  AgentCore& m_core;
  const Clock& m_clock;
  const ClientFactory m_make_client;
  const HeartbeatSenderOptions m_options;
  mutable absl::Mutex m_mutex;
  std::map<std::string, Peer> m_peers ABSL_GUARDED_BY(m_mutex);
  std::unique_ptr<PeriodicThread> m_thread;
};

}  // namespace berylgauge
