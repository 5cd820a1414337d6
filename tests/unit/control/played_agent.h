#pragma once

#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "control/agent_messages.h"
#include "transport/event_loop.h"
#include "transport/stream_server.h"

namespace berylgauge::control {

/// An agent with a worker that starts whatever it is told to. Used on the loop's thread, but for the constructor and
/// the destructor.
class PlayedAgent {
 public:
  /// A later process of the agent has a higher `incarnation`, and reads a later time on the worker's clock.
  explicit PlayedAgent(EventLoop& loop, Incarnation incarnation = 1);
  ~PlayedAgent();

  bool keeps_orders = false;    ///< orders have no answer and no effect
  bool refuses_orders = false;  ///< orders are answered as those of a former owner, without effect
  int stale_starts = 0;         ///< so many starts have no effect, because a newer owner has given orders
  int failed_orders = 0;        ///< so many messages of orders are answered by a failure, without effect
  int omitted_starts = 0;       ///< so many starts have no effect and are missing in the answer

  int port() const { return m_port; }
  /// Whether the task has ever been started.
  bool HasStarted(const std::string& task) const { return m_starts.contains(task); }
  /// How many tasks have ever been started.
  std::size_t started() const { return m_starts.size(); }
  /// How many stops were carried out.
  int stops() const { return m_stops; }
  /// All starts that arrived, in order.
  const std::vector<workflow::StartOrder>& orders() const { return m_orders; }
  /// Ends the task's run as done.
  void EndDone(const std::string& task);

 private:
  void Handle(const StreamRequest& request, const StreamServer::Responder& respond);
  WatchAnswer MakeWatchAnswer(const WatchRequest& request);
  OrdersAnswer CarryOut(const OrdersRequest& request);

  EventLoop& m_loop;
  const workflow::WorkerLife m_life{.worker = "w1", .born = 1};
  const Incarnation m_incarnation;
  std::int64_t m_clock_ms;
  std::vector<workflow::StartOrder> m_orders;
  int m_stops = 0;
  std::map<std::string, int> m_starts;  ///< run by task
  std::map<std::string, int> m_runs;    ///< of these, what runs now
  std::vector<workflow::RunEnd> m_ends;
  std::vector<StreamServer::Responder> m_kept;  ///< of orders without an answer
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
  std::unique_ptr<StreamServer> m_server;
  int m_port = 0;
};

}  // namespace berylgauge::control
