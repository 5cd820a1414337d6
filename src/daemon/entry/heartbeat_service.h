#pragma once

#include <functional>

#include "membership/heartbeat.h"
#include "membership/heartbeat_reply.h"
#include "membership/worker_registry.h"
#include "transport/stream_server.h"

namespace berylgauge {

class Clock;
class ConfigState;
class ConfigStream;
class EntryDirectory;
class ShareMap;
class WorkerDirectory;

/// Takes in the agents' heartbeats and answers with configuration, proof and acknowledgements.
class HeartbeatService {
 public:
  /// Called with each accepted heartbeat, before the reply.
  using Listener = std::function<void(const Heartbeat&, const HeartbeatOutcome&, MonotonicTime now)>;

  HeartbeatService(const EntryId& entry, Incarnation incarnation, const Clock& clock, WorkerDirectory& workers,
                   ConfigStream& config, const EntryDirectory& entries, const ShareMap& shares, Listener listener);

  /// Handles a message of `kHeartbeatPath`.
  void Handle(const StreamRequest& message, const StreamServer::Responder& responder);

 private:
  void Reply(const Heartbeat& heartbeat, MonotonicTime now, const StreamServer::Responder& responder) const;
  HeartbeatReply MakeReply(const Heartbeat& heartbeat, MonotonicTime now) const;

  const EntryId m_entry;
  const Incarnation m_incarnation;
  const Clock& m_clock;
  WorkerDirectory& m_workers;
  ConfigStream& m_config;
  const EntryDirectory& m_entries;
  const ShareMap& m_shares;
  const Listener m_listener;
};

}  // namespace berylgauge
