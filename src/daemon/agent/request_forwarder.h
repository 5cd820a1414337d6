#pragma once

#include <absl/synchronization/mutex.h>

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "base/monotonic_time.h"
#include "clients/endpoint_client.h"
#include "daemon/common/thread_pool.h"
#include "daemon/messages/request_messages.h"
#include "routing/agent_request_gate.h"
#include "transport/stream_server.h"

namespace berylgauge {

class AgentCore;
class Clock;
class Counter;
class MetricsRegistry;

/// Passes callers' requests from entries to the endpoints beside the agent.
class RequestForwarder {
 public:
  using ClientFactory = std::function<std::unique_ptr<EndpointClient>(const std::string& address)>;

  /// `threads` bounds the requests passed on at the same time.
  RequestForwarder(AgentCore& core, const Clock& clock, MetricsRegistry& metrics, ClientFactory make_client,
                   std::size_t threads);

  /// Handles a message of `kRequestPath`; does not block.
  void Handle(StreamRequest message, const StreamServer::Responder& responder);

 private:
  void Forward(const ForwardedRequest& request, MonotonicTime deadline, const StreamServer::Responder& responder);
  void Refuse(const RequestId& id, const GateAnswer& answer, const StreamServer::Responder& responder);
  std::shared_ptr<EndpointClient> ClientFor(const std::string& address);

  AgentCore& m_core;
  const Clock& m_clock;
  const ClientFactory m_make_client;
  Counter& m_forwarded;
  Counter& m_refused;
  Counter& m_broken;
  Counter& m_abandoned;
  absl::Mutex m_mutex;
  std::map<std::string, std::shared_ptr<EndpointClient>> m_clients ABSL_GUARDED_BY(m_mutex);
  ThreadPool m_pool;
};

}  // namespace berylgauge
