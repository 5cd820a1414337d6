#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/monotonic_time.h"
#include "control/agent_messages.h"
#include "transport/event_loop.h"
#include "transport/stream_client.h"

namespace berylgauge::control {

struct AgentLinkOptions {
  std::string host;     ///< name of the agent's host
  std::string address;  ///< numeric IP address
  int port = 0;
  /// How long the agent may hold a watch; also the time between two lease grants when nothing happens.
  absl::Duration watch_wait = absl::Milliseconds(900);
  absl::Duration answer_timeout = absl::Milliseconds(1000);
  /// Time allowed for orders: a worker may take a while, and the orders are repeated after it.
  absl::Duration orders_timeout = absl::Milliseconds(2500);
  absl::Duration retry_pause = absl::Milliseconds(150);
};

/// The owner's connection to one agent: asks for news without end, and sends orders. Used on the loop's thread.
class AgentLink {
 public:
  struct Listener {
    /// Adds the lease, the acknowledgement and, for an agent that was started again, the traits.
    std::function<void(const std::string& host, bool with_traits, WatchRequest& request)> on_prepare;
    std::function<void(const std::string& host, const workflow::WorkerReport& report)> on_report;
    std::function<void(const std::string& host, const OrdersRequest& request, const OrdersAnswer& answer)>
        on_orders_answer;
    /// The orders were not answered; with verdict `kNotRun` they were not received either.
    std::function<void(const std::string& host, const OrdersRequest& request, const Failure& failure)>
        on_orders_failure;
    /// The agent has seen a newer owner.
    std::function<void()> on_stale;
  };

  AgentLink(EventLoop& loop, AgentLinkOptions options, std::int64_t epoch, Listener listener);
  ~AgentLink();

  void Start();
  /// Ends in `on_orders_answer` or `on_orders_failure`, unless the orders are taken back before.
  void SendOrders(OrdersRequest request);
  /// The orders that have no answer yet; no callback follows for them. Each may have been carried out, or may be yet.
  std::vector<OrdersRequest> TakeUnanswered();

  const AgentLinkOptions& options() const { return m_options; }

 private:
  void Watch();
  /// `named_worker`: the request was about a worker that the owner knows.
  void OnWatch(Result<StreamResponse> response, bool named_worker);
  void WatchLater();
  void OnOrders(std::uint64_t number, const Result<StreamResponse>& response);

  EventLoop& m_loop;
  const AgentLinkOptions m_options;
  const std::int64_t m_epoch;
  Listener m_listener;
  std::unique_ptr<StreamClient> m_client;
  std::map<std::uint64_t, OrdersRequest> m_unanswered;  ///< by the number of the message
  std::uint64_t m_newest_orders = 0;
  std::uint64_t m_known_version = 0;
  Incarnation m_known_incarnation = 0;
  bool m_send_traits = true;
  bool m_reachable = false;
  EventLoop::TimerId m_timer;
  std::shared_ptr<bool> m_alive;
};

}  // namespace berylgauge::control
