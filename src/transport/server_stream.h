#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "base/monotonic_time.h"
#include "transport/message_types.h"

namespace berylgauge {

/// One stream of a server's connection, until nghttp2 has closed it.
struct ServerStream {
  enum class State {
    kReceiving,  ///< the request is not whole
    kHandling,   ///< the handler has it
    kSending,    ///< the answer is not serialised whole
    kAborted,    ///< RST_STREAM is queued
  };

  State state = State::kReceiving;
  std::int32_t id = 0;
  MonotonicTime deadline;  ///< of receiving or sending
  std::string method;
  StreamRequest request;
  bool headers_received = false;
  bool handled = false;  ///< the handler was called
  std::size_t header_bytes = 0;
  std::size_t reserved = 0;  ///< bytes taken from the budget of bodies

  StreamResponse response;
  std::string status;
  std::string content_length;
  std::size_t body_serialised = 0;
};

}  // namespace berylgauge
