#pragma once

#include <condition_variable>
#include <cstddef>
#include <mutex>
#include <vector>

#include "transport/stream_server.h"

namespace berylgauge {

/// Keeps the responders of a handler, so that a test decides when they answer. May be used from any thread.
class HeldResponders {
 public:
  /// A handler that keeps each responder and answers nothing.
  StreamServer::Handler handler();

  /// Waits until `count` requests have arrived.
  void WaitForCount(std::size_t count);

  /// Answers all requests that have arrived. The responders are kept.
  void AnswerAll(const StreamResponse& response);

 private:
  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::vector<StreamServer::Responder> m_responders;
};

}  // namespace berylgauge
