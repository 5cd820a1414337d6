#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>
#include <utility>

#include "transport/message_types.h"
#include "transport/response_inbox.h"

namespace berylgauge {

/// The obligation to answer one stream; resets the stream if it is destroyed without an answer.
class PendingResponse {
 public:
  PendingResponse(std::shared_ptr<ResponseInbox> inbox, std::int32_t stream_id)
      : m_inbox(std::move(inbox)), m_stream_id(stream_id) {}
  ~PendingResponse() {
    if (!m_answered.load()) m_inbox->Push(m_stream_id, std::nullopt);
  }
  PendingResponse(const PendingResponse&) = delete;
  PendingResponse& operator=(const PendingResponse&) = delete;

  /// Sends the answer; does nothing from the second call on.
  void Answer(StreamResponse response) {
    if (!m_answered.exchange(true)) m_inbox->Push(m_stream_id, std::move(response));
  }

 private:
  const std::shared_ptr<ResponseInbox> m_inbox;
  const std::int32_t m_stream_id;
  std::atomic<bool> m_answered{false};
};

}  // namespace berylgauge
