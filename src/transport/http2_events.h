#pragma once

#include <nghttp2/nghttp2.h>

#include <cstdint>
#include <string_view>

namespace berylgauge {

/// What `Http2Session` reports while it reads or serialises frames. The functions must not end the session and must
/// not call user code; they may submit frames.
class Http2Events {
 public:
  virtual ~Http2Events() = default;

  /// A header block begins.
  virtual void OnBeginHeaders(const nghttp2_frame& frame) = 0;
  virtual void OnHeader(const nghttp2_frame& frame, std::string_view name, std::string_view value) = 0;
  virtual void OnBodyData(std::int32_t stream_id, std::string_view data) = 0;

  /// A whole frame that passed the checks of nghttp2 (among them content-length at the end of a stream).
  virtual void OnFrameReceived(const nghttp2_frame& frame) = 0;

  /// `frame`, which is not DATA, is serialised next.
  virtual void OnBeforeFrameSent(const nghttp2_frame& frame) = 0;

  /// The stream has ended; `error_code` is of RFC 9113, 7. Not called for streams that are open when the session ends.
  virtual void OnStreamClosed(std::int32_t stream_id, std::uint32_t error_code) = 0;
};

}  // namespace berylgauge
