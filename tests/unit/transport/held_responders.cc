#include "held_responders.h"

#include <chrono>
#include <stdexcept>
#include <utility>

namespace berylgauge {
namespace {

// Reached only when something hangs.
constexpr std::chrono::seconds kWaitLimit{60};

}  // namespace

StreamServer::Handler HeldResponders::handler() {
  return [this](const StreamRequest&, StreamServer::Responder responder) {
    const std::lock_guard lock(m_mutex);
    m_responders.push_back(std::move(responder));
    m_changed.notify_all();
  };
}

void HeldResponders::WaitForCount(std::size_t count) {
  std::unique_lock lock(m_mutex);
  if (!m_changed.wait_for(lock, kWaitLimit, [&] { return m_responders.size() >= count; })) {
    throw std::runtime_error("only " + std::to_string(m_responders.size()) + " requests arrived");
  }
}

void HeldResponders::AnswerAll(const StreamResponse& response) {
  const std::lock_guard lock(m_mutex);
  for (const StreamServer::Responder& responder : m_responders) responder(response);
}

}  // namespace berylgauge
