#pragma once

#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

#include "transport/message_types.h"

namespace berylgauge {

class EventLoop;
class ServerConnection;

/// Carries answers from the handler's threads to the connection's loop, and outlives the connection.
class ResponseInbox : public std::enable_shared_from_this<ResponseInbox> {
 public:
  ResponseInbox(EventLoop& loop, ServerConnection& connection) : m_loop(loop), m_connection(&connection) {}

  /// Hands over the answer of a stream, or nothing if the handler gave it up. Any thread.
  void Push(std::int32_t stream_id, std::optional<StreamResponse> response);

  /// Drops everything from now on; on the loop's thread. Neither connection nor loop is used afterwards.
  void Detach();

 private:
  void Deliver();

  EventLoop& m_loop;
  std::mutex m_mutex;
  ServerConnection* m_connection;  ///< guarded by m_mutex for other threads; changed only on the loop's thread
  std::vector<std::pair<std::int32_t, std::optional<StreamResponse>>> m_responses;  ///< guarded by m_mutex
};

}  // namespace berylgauge
