#include "transport/http2_session.h"

#include <array>
#include <cstdint>
#include <new>
#include <string_view>

#include "transport/http2_events.h"

namespace berylgauge {
namespace {

// A client cancels each request that times out, hundreds per second when a peer is overloaded. The defaults of nghttp2
// (a burst of 1,000, then 33 per second) would end such a connection.
constexpr std::uint64_t kResetBurst = 10'000;
constexpr std::uint64_t kResetsPerSecond = 1'000;

Http2Events& EventsOf(void* user_data) { return *static_cast<Http2Events*>(user_data); }

std::string_view Text(const std::uint8_t* data, std::size_t size) {
  return {reinterpret_cast<const char*>(data), size};
}

int OnBeginHeaders(nghttp2_session*, const nghttp2_frame* frame, void* user_data) {
  EventsOf(user_data).OnBeginHeaders(*frame);
  return 0;
}

int OnHeader(nghttp2_session*, const nghttp2_frame* frame, const std::uint8_t* name, std::size_t name_size,
             const std::uint8_t* value, std::size_t value_size, std::uint8_t, void* user_data) {
  EventsOf(user_data).OnHeader(*frame, Text(name, name_size), Text(value, value_size));
  return 0;
}

int OnDataChunk(nghttp2_session*, std::uint8_t, std::int32_t stream_id, const std::uint8_t* data, std::size_t size,
                void* user_data) {
  EventsOf(user_data).OnBodyData(stream_id, Text(data, size));
  return 0;
}

int OnFrameReceived(nghttp2_session*, const nghttp2_frame* frame, void* user_data) {
  EventsOf(user_data).OnFrameReceived(*frame);
  return 0;
}

int OnBeforeFrameSent(nghttp2_session*, const nghttp2_frame* frame, void* user_data) {
  EventsOf(user_data).OnBeforeFrameSent(*frame);
  return 0;
}

int OnStreamClosed(nghttp2_session*, std::int32_t stream_id, std::uint32_t error_code, void* user_data) {
  EventsOf(user_data).OnStreamClosed(stream_id, error_code);
  return 0;
}

nghttp2_session_callbacks* MakeCallbacks() {
  nghttp2_session_callbacks* callbacks = nullptr;
  if (nghttp2_session_callbacks_new(&callbacks) != 0) throw std::bad_alloc();
  nghttp2_session_callbacks_set_on_begin_headers_callback(callbacks, OnBeginHeaders);
  nghttp2_session_callbacks_set_on_header_callback(callbacks, OnHeader);
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, OnDataChunk);
  nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, OnFrameReceived);
  nghttp2_session_callbacks_set_before_frame_send_callback(callbacks, OnBeforeFrameSent);
  nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, OnStreamClosed);
  return callbacks;
}

nghttp2_option* MakeOption() {
  nghttp2_option* option = nullptr;
  if (nghttp2_option_new(&option) != 0) throw std::bad_alloc();
  nghttp2_option_set_no_closed_streams(option, 1);
  nghttp2_option_set_stream_reset_rate_limit(option, kResetBurst, kResetsPerSecond);
  return option;
}

}  // namespace

Http2Session::Http2Session(const Http2SessionOptions& options, Http2Events& events) {
  // nghttp2 copies both tables into each session; they live as long as the process.
  static const nghttp2_session_callbacks* const kCallbacks = MakeCallbacks();
  static const nghttp2_option* const kOption = MakeOption();
  nghttp2_session* session = nullptr;
  const int created = options.role == Http2Role::kServer
                          ? nghttp2_session_server_new2(&session, kCallbacks, &events, kOption)
                          : nghttp2_session_client_new2(&session, kCallbacks, &events, kOption);
  if (created != 0) throw std::bad_alloc();
  m_session.reset(session);

  const std::array<nghttp2_settings_entry, 4> settings = {{
      {NGHTTP2_SETTINGS_ENABLE_PUSH, 0},
      {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, options.max_concurrent_streams},
      {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, static_cast<std::uint32_t>(options.stream_window_bytes)},
      {NGHTTP2_SETTINGS_MAX_HEADER_LIST_SIZE, options.max_header_list_bytes},
  }};
  if (nghttp2_submit_settings(session, NGHTTP2_FLAG_NONE, settings.data(), settings.size()) != 0 ||
      nghttp2_session_set_local_window_size(session, NGHTTP2_FLAG_NONE, 0, options.connection_window_bytes) != 0) {
    throw std::bad_alloc();
  }
}

}  // namespace berylgauge
