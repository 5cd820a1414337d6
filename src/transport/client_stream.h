#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <memory>
#include <optional>
#include <string>

#include "base/failure.h"
#include "base/monotonic_time.h"
#include "transport/event_loop.h"
#include "transport/message_types.h"
#include "transport/stream_client.h"

namespace berylgauge {

class ClientConnection;

/// One request of a client from `Send` to its callback, and the stream that carries it.
///
/// It stays allocated until nghttp2 has closed the stream, because nghttp2 refers to its strings without copying them.
struct ClientStream {
  using Queue = std::list<std::unique_ptr<ClientStream>>;

  StreamRequest request;
  MonotonicTime deadline = InfiniteFuture();
  StreamClient::Callback callback;
  std::optional<Failure> refusal;  ///< set if the request was refused before it reached the loop's thread
  EventLoop::TimerId timer;
  bool counted = false;   ///< counts towards max_queued_requests and max_request_bytes
  bool finished = false;  ///< the callback has been handed over

  std::optional<Queue::iterator> queue_position;  ///< while it waits for a stream

  ClientConnection* connection = nullptr;  ///< that carries the stream
  std::int32_t id = 0;
  std::string content_length;
  std::size_t body_serialised = 0;
  std::optional<std::uint64_t> headers_position;  ///< of the first byte in the output; empty before it is serialised

  StreamResponse response;
  bool response_begun = false;
  bool final_headers_received = false;
  std::size_t header_bytes = 0;
  std::size_t response_reserved = 0;  ///< bytes taken from the budget of responses
  std::optional<std::size_t> response_length;
};

}  // namespace berylgauge
