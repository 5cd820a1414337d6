#pragma once

#include "transport/stream_server.h"

namespace berylgauge {

class AgentCore;
class Clock;
class WorkerDriver;

/// Answers the owners' messages about attempts: start, withdraw, stop and terms.
class AttemptService {
 public:
  AttemptService(AgentCore& core, WorkerDriver& driver, const Clock& clock);

  /// Returns true if the path was one of its own and has been answered.
  bool Handle(const StreamRequest& message, const StreamServer::Responder& responder);

 private:
  StreamResponse Start(const StreamRequest& message);
  StreamResponse End(const StreamRequest& message);
  StreamResponse RestoreTerms(const StreamRequest& message);

  AgentCore& m_core;
  WorkerDriver& m_driver;
  const Clock& m_clock;
};

}  // namespace berylgauge
