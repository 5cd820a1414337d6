#pragma once

#include <nghttp2/nghttp2.h>

#include <memory>

namespace berylgauge {

class Http2Events;

enum class Http2Role { kClient, kServer };

struct Http2SessionOptions {
  Http2Role role = Http2Role::kClient;
  std::int32_t stream_window_bytes = 0;
  std::int32_t connection_window_bytes = 0;
  std::uint32_t max_header_list_bytes = 0;
  std::uint32_t max_concurrent_streams = 0;  ///< that the peer may open
};

/// Owns the state of one HTTP/2 connection in nghttp2.
class Http2Session {
 public:
  /// Creates the session and queues the SETTINGS. Throws std::bad_alloc without memory.
  Http2Session(const Http2SessionOptions& options, Http2Events& events);

  nghttp2_session* get() const { return m_session.get(); }

 private:
  struct Deleter {
    void operator()(nghttp2_session* session) const { nghttp2_session_del(session); }
  };

  std::unique_ptr<nghttp2_session, Deleter> m_session;
};

}  // namespace berylgauge
