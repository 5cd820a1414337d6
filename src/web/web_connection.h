#pragma once

#include <chrono>
#include <memory>
#include <mutex>
#include <string>

#include "web/web_exchange.h"
#include "web/web_server.h"

namespace berylgauge {

/// State of one connection; used by its listener thread, except the deadline, which its server's mutex protects.
struct WebConnection {
  int socket = -1;
  std::string peer;                  ///< IP address
  std::string target;                ///< of the request that is being read
  const char* target_end = nullptr;  ///< in the memory of the library, which separates it from the version by one byte
  WebRequest request;
  std::shared_ptr<WebExchange> exchange;  ///< set from the end of the head to the end of the answer
  bool dispatched = false;                ///< the handler has been called
  bool close_after_answer = false;
  std::size_t discarded_bytes = 0;  ///< of a body that exceeds the limit
  std::size_t declared_bytes = 0;   ///< length of the body according to its head; 0 if it is chunked or absent
  ConnectionId id = 0;              ///< at `RequestMemory`; 0 without one

  /// Protects the members below and `request.body` until the request is dispatched; the connection may be closed by
  /// another thread to free its memory.
  std::mutex body_mutex;
  bool receives_body = false;
  bool closed_for_memory = false;

  /// When the present transfer must be complete; the maximum while the handler works.
  std::chrono::steady_clock::time_point deadline;
};

}  // namespace berylgauge
